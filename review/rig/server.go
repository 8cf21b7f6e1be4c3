package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// attempt is one statement that a database server received.
type attempt struct {
	at     time.Time // when its last byte was read
	server string
	id     string
	class  string
	told   time.Duration // field d: for how long the gateway says it will wait
}

// server is a stand-in for a database server of one group. It follows the protocol page: a write at a replica is
// declined with 25006, a read for which its data is too old with 72000, and what exceeds its queue with 53300. Its role
// never changes. A closed connection stops no work.
type server struct {
	id      string
	group   int
	primary bool
	lag     time.Duration                               // of a replica
	work    func(class, statement string) time.Duration // of one statement
	cores   chan struct{}
	queue   int32 // statements that may wait or run at once
	bounds  map[string]time.Duration
	rig     *rig

	addr   string // as discovery lists it
	open   atomic.Int32
	hangs  atomic.Bool // takes statements and probes and answers none
	pieces bool        // answers come in pieces, up to maxGap apart
	copies float64     // share of answers with a second copy right behind, if nothing waits on the connection then

	mu       sync.Mutex
	attempts []attempt
}

// startServer starts a server with some cores.
func (r *rig) startServer(id string, group int, primary bool, cores int, work func(class, statement string) time.Duration,
	bounds map[string]time.Duration) *server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.cannotRun("listening: %v", err)
	}
	s := &server{id: id, group: group, primary: primary, lag: 10 * time.Millisecond, work: work, cores: make(chan struct{}, cores),
		queue: int32(cores * 16), bounds: bounds, rig: r, addr: l.Addr().String()}
	r.servers = append(r.servers, s)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

// role returns what the server says of itself.
func (s *server) role() string {
	if s.primary {
		return "primary"
	}
	return "replica"
}

// position returns the time up to which the server has applied the log.
func (s *server) position() time.Time {
	if s.primary {
		return time.Now()
	}
	return time.Now().Add(-s.lag)
}

// status returns the end of an answer: role, position and ReadyForQuery.
func (s *server) status(position time.Time) []byte {
	b := frame('S', "role\x00", s.role(), "\x00")
	if s.rig.tellsPosition {
		b = append(b, frame('S', "applied_ms\x00", fmt.Sprint(position.UnixMilli()), "\x00")...)
	}
	return append(b, frame('Z', "I")...)
}

// row returns an answer with one value.
func (s *server) row(value, tag string, position time.Time) []byte {
	b := frame('T', "\x00\x01data\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01")
	b = append(b, frame('D', "\x00\x01", string(binary.BigEndian.AppendUint32(nil, uint32(len(value)))), value)...)
	return append(append(b, frame('C', tag, "\x00")...), s.status(position)...)
}

// failure returns an answer with an error.
func (s *server) failure(code string) []byte {
	return append(frame('E', "SERROR\x00VERROR\x00C", code, "\x00Mno\x00\x00"), s.status(s.position())...)
}

func (s *server) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	var head [4]byte
	if _, err := io.ReadFull(reader, head[:]); err != nil {
		return
	}
	if _, err := io.CopyN(io.Discard, reader, int64(binary.BigEndian.Uint32(head[:]))-4); err != nil {
		return
	}
	if s.hangs.Load() {
		io.Copy(io.Discard, reader)
		return
	}
	c.Write(append(frame('R', "\x00\x00\x00\x00"), frame('Z', "I")...))
	for {
		m, err := readMessage(reader)
		if err != nil || m.kind != 'Q' {
			return
		}
		statement := strings.TrimRight(string(m.body), "\x00")
		reply := s.process(statement)
		whole := reply
		if reply == nil { // hangs: the connection stays open and quiet
			io.Copy(io.Discard, reader)
			return
		}
		if s.pieces && len(reply) > 1 {
			cut := 1 + rand.IntN(len(reply)-1)
			c.Write(reply[:cut])
			time.Sleep(pieceGap())
			reply = reply[cut:]
		}
		if _, err := c.Write(reply); err != nil {
			return
		}
		gap := pieceGap()
		if id := comment(statement)["id"]; id != "" && rand.Float64() < s.copies && !hasInput(c, reader, gap) {
			s.rig.note(time.Now(), "server %s sends a second copy of the answer to id=%s, %.1f ms behind it", s.id, id,
				gap.Seconds()*1000)
			if _, err := c.Write(whole); err != nil {
				return
			}
		}
	}
}

// pieceGap returns the time between two pieces of what a server sends.
func pieceGap() time.Duration {
	return time.Duration((1 + rand.Float64()*7) * float64(time.Millisecond))
}

// hasInput reports whether anything arrives on a connection within a time.
func hasInput(c net.Conn, reader *bufio.Reader, within time.Duration) bool {
	c.SetReadDeadline(time.Now().Add(within))
	defer c.SetReadDeadline(time.Time{})
	_, err := reader.Peek(1)
	return err == nil
}

// process returns the answer to a statement, or nil if there is none.
func (s *server) process(statement string) []byte {
	now := time.Now()
	switch statement {
	case "SHOW load":
		if s.hangs.Load() {
			return nil
		}
		isPrimary := 0
		if s.primary {
			isPrimary = 1
		}
		p := s.position()
		return s.row(fmt.Sprintf("x0=%d.%03d,x1=%d", p.Unix(), p.UnixMilli()%1000, isPrimary), "SELECT 1", p)
	case "SELECT 1":
		return s.row("1", "SELECT 1", s.position())
	}
	fields := comment(statement)
	a := attempt{at: now, server: s.id, id: fields["id"], class: fields["c"]}
	told, _ := strconv.ParseInt(fields["d"], 10, 64)
	a.told = time.Duration(told) * time.Millisecond
	s.mu.Lock()
	s.attempts = append(s.attempts, a)
	s.mu.Unlock()
	s.rig.note(now, "server %s got  %-16s id=%s d=%d", s.id, a.class, a.id, a.told.Milliseconds())
	if s.hangs.Load() {
		return nil
	}
	isWrite := strings.HasPrefix(statement, "INSERT")
	if isWrite && !s.primary {
		return s.failure("25006")
	}
	position := s.position()
	if after := unixMillis(fields["after"]); !s.primary && (position.Before(after) ||
		s.bounds[a.class] > 0 && position.Before(now.Add(-s.bounds[a.class]))) {
		return s.failure("72000")
	}
	if s.open.Add(1) > s.queue {
		s.open.Add(-1)
		return s.failure("53300")
	}
	s.cores <- struct{}{}
	time.Sleep(s.work(a.class, statement))
	<-s.cores
	s.open.Add(-1)
	if s.hangs.Load() {
		return nil
	}
	if isWrite {
		return s.row(valueOf(a.id), "INSERT 0 1", time.Now().Add(time.Millisecond))
	}
	return s.row(valueOf(a.id), "SELECT 1", s.position())
}

// valueOf returns the value that a server gives for the request of an id.
func valueOf(id string) string { return "value of " + id }
