package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// message encodes one message of version 3 of PostgreSQL's wire protocol.
func message(kind byte, body string) []byte {
	b := []byte{kind, 0, 0, 0, 0}
	binary.BigEndian.PutUint32(b[1:], uint32(len(body)+4))
	return append(b, body...)
}

// query encodes a simple query.
func query(text string) []byte { return message('Q', text+"\x00") }

// startup encodes the startup message of a client.
func startup() []byte {
	body := "\x00\x03\x00\x00user\x00portal\x00database\x00crm\x00\x00"
	b := make([]byte, 4, 4+len(body))
	binary.BigEndian.PutUint32(b, uint32(len(body)+4))
	return append(b, body...)
}

// readMessage reads one message.
func readMessage(r *bufio.Reader) (kind byte, body []byte, err error) {
	var head [5]byte
	if _, err = io.ReadFull(r, head[:]); err != nil {
		return 0, nil, err
	}
	body = make([]byte, binary.BigEndian.Uint32(head[1:])-4)
	_, err = io.ReadFull(r, body)
	return head[0], body, err
}

// errorCode returns the SQLSTATE of an ErrorResponse.
func errorCode(body []byte) string {
	for _, field := range strings.Split(string(body), "\x00") {
		if strings.HasPrefix(field, "C") {
			return field[1:]
		}
	}
	return "?"
}

// reply is what a server answers to one query.
type reply struct {
	value    string        // of the row, unless there is a code
	code     string        // SQLSTATE of an ErrorResponse
	position int64         // in Unix milliseconds, 0 for none
	delay    time.Duration // before the answer
	silent   bool          // there is no answer
}

// server is a stand-in for a database server.
type server struct {
	id, role string
	rec      *record
	listener net.Listener
	// answer is called for each query when its last byte has arrived.
	answer func(s *server, text string) reply
	mu     sync.Mutex
	conns  map[net.Conn]struct{}
}

// startServer starts a server on a free port.
func startServer(rec *record, id, role string, answer func(s *server, text string) reply) *server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("%v", err)
	}
	s := &server{id: id, role: role, rec: rec, listener: l, answer: answer, conns: map[net.Conn]struct{}{}}
	go s.accept()
	return s
}

func (s *server) addr() string { return s.listener.Addr().String() }

func (s *server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

func (s *server) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReaderSize(c, 64<<10)
	var size [4]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return
	}
	if _, err := io.CopyN(io.Discard, r, int64(binary.BigEndian.Uint32(size[:]))-4); err != nil {
		return
	}
	if _, err := c.Write(append(message('R', "\x00\x00\x00\x00"), message('Z', "I")...)); err != nil {
		return
	}
	for {
		kind, body, err := readMessage(r)
		if err != nil || kind != 'Q' {
			return
		}
		text := strings.TrimRight(string(body), "\x00")
		if text == "" {
			c.Write(append(message('I', ""), message('Z', "I")...))
			continue
		}
		a := s.answer(s, text)
		time.Sleep(a.delay)
		if a.silent {
			io.Copy(io.Discard, r) // until the gateway gives the attempt up
			return
		}
		c.Write(s.encode(a))
	}
}

// encode encodes an answer with the server's role and position.
func (s *server) encode(a reply) (b []byte) {
	if a.code != "" {
		b = message('E', "SERROR\x00VERROR\x00C"+a.code+"\x00Mas the test wants\x00\x00")
	} else {
		b = message('T', "\x00\x01data\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01")
		n := make([]byte, 4)
		binary.BigEndian.PutUint32(n, uint32(len(a.value)))
		b = append(b, message('D', "\x00\x01"+string(n)+a.value)...)
		b = append(b, message('C', "SELECT 1\x00")...)
	}
	b = append(b, message('S', "role\x00"+s.role+"\x00")...)
	if a.position > 0 {
		b = append(b, message('S', "applied_ms\x00"+strconv.FormatInt(a.position, 10)+"\x00")...)
	}
	return append(b, message('Z', "I")...)
}

// report is the value with which a server answers a probe.
func (s *server) report() reply {
	primary := 0
	if s.role == "primary" {
		primary = 1
	}
	return reply{value: fmt.Sprintf("x0=%.3f,x1=%d", float64(time.Now().UnixMilli())/1000, primary)}
}

// field returns a field of the comment of a statement.
func field(text, name string) string {
	start := strings.LastIndex(text, "/*")
	if start < 0 {
		return ""
	}
	for _, f := range strings.Split(strings.TrimSuffix(strings.TrimSpace(text[start+2:]), "*/"), ",") {
		if n, v, ok := strings.Cut(strings.TrimSpace(f), "="); ok && n == name {
			return strings.TrimSpace(v)
		}
	}
	return ""
}

// client is a client's connection to the gateway.
type client struct {
	net.Conn
	r *bufio.Reader
}

// dialGateway opens a connection and awaits the end of the startup.
func dialGateway(addr string) (*client, error) {
	c, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return nil, err
	}
	cl := &client{Conn: c, r: bufio.NewReader(c)}
	if _, err = c.Write(startup()); err == nil {
		_, err = cl.await()
	}
	return cl, err
}

// await reads up to ReadyForQuery or the end of the connection, and returns the value, or the code of an error.
func (c *client) await() (answer string, err error) {
	for {
		kind, body, err := readMessage(c.r)
		if err != nil {
			return answer + " (closed)", err
		}
		switch kind {
		case 'Z':
			return answer, nil
		case 'D':
			answer += "row " + string(body[6:])
		case 'E':
			answer += "error " + errorCode(body)
		case 'I':
			answer += "empty"
		}
	}
}
