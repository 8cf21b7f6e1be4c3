package main

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"
)

// save returns the statement of a declaration-save with a value of n bytes.
func save(id string, n int, d time.Duration) string {
	return fmt.Sprintf("INSERT INTO facts (code, data) VALUES ('c0de%s', '\\x%s') RETURNING data /* id=%s,c=declaration-save,d=%d,k=4b%s,cluster=0 */",
		id, strings.Repeat("9f", n), id, d.Milliseconds(), id)
}

// arrivals are the times at which servers got the queries of ops, by the op's id.
type arrivals struct {
	mu sync.Mutex
	at map[string][]time.Time
}

func (a *arrivals) add(id string) {
	a.mu.Lock()
	a.at[id] = append(a.at[id], time.Now())
	a.mu.Unlock()
}

// busyGroup starts a group whose servers answer a save after the given time.
func busyGroup(rec *record, got *arrivals, work time.Duration) []entry {
	_, entries := group(rec, 3, func(s *server, text string) reply {
		if text == "SHOW load" {
			return s.report()
		}
		id := field(text, "id")
		got.add(id)
		rec.add("%s (%s) gets id=%s d=%s, %d bytes", s.id, s.role, id, field(text, "d"), len(text))
		if s.role != "primary" {
			return reply{code: "25006", position: time.Now().UnixMilli()}
		}
		return reply{value: "\x9f", delay: work, position: time.Now().UnixMilli()}
	})
	return entries
}

// playLeave has usual clients keep the primary busy while other clients send a save, then more bytes, and go. It judges
// whether any command of these is sent to a server more than 0.1 s after its client has closed its connection.
func playLeave(rec *record, folder string, trouble bool, leavers int, more func(client int) []byte) int {
	const work = 800 * time.Millisecond // of the primary on one op
	got := &arrivals{at: map[string][]time.Time{}}
	d := startDiscovery(rec, busyGroup(rec, got, work))
	inputs := make([][]byte, leavers)
	for i := range inputs {
		inputs[i] = more(i)
	}
	g := startGateway(rec, folder, "n0", platform(d, 64, settings(8)))
	time.Sleep(500 * time.Millisecond) // the servers are probed
	var usual, leaving sync.WaitGroup
	for i := range 1 {
		usual.Add(1)
		go func() {
			defer usual.Done()
			c, err := dialGateway(g.addr)
			if err != nil {
				rec.add("usual client %d: %v", i, err)
				return
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(10 * time.Second))
			id := fmt.Sprintf("a%d0000", i)
			rec.add("usual client %d sends id=%s", i, id)
			c.Write(query(save(id, 2, 3*time.Second)))
			answer, _ := c.await()
			rec.add("usual client %d gets %q for id=%s", i, answer, id)
		}()
	}
	time.Sleep(50 * time.Millisecond)
	closed := make([]time.Time, leavers)
	for i := range leavers {
		leaving.Add(1)
		go func() {
			defer leaving.Done()
			c, err := dialGateway(g.addr)
			if err != nil {
				rec.add("client %d: %v", i, err)
				return
			}
			go io.Copy(io.Discard, c.r) // it reads what it is sent
			c.Write(query(save(fmt.Sprintf("b%d%04d", i, 0), 2, 3*time.Second)))
			rec.add("client %d sends id=b%d%04d and %d bytes more", i, i, 0, len(inputs[i]))
			time.Sleep(20 * time.Millisecond)
			c.SetWriteDeadline(time.Now().Add(400 * time.Millisecond))
			n, _ := io.Copy(c.Conn, bytes.NewReader(inputs[i]))
			if trouble {
				c.Conn.Close()
				closed[i] = time.Now()
				rec.add("client %d has written %d bytes and closed its connection", i, n)
			} else {
				rec.add("client %d has written %d bytes and stays", i, n)
			}
		}()
	}
	leaving.Wait()
	usual.Wait()
	time.Sleep(3500 * time.Millisecond)
	code := held
	got.mu.Lock()
	defer got.mu.Unlock()
	for i, at := range closed {
		for id, times := range got.at {
			for _, t := range times {
				late := t.Sub(at)
				if trouble && !at.IsZero() && strings.HasPrefix(id, fmt.Sprintf("b%d", i)) && late > 100*time.Millisecond {
					rec.add("BROKEN: id=%s was sent to a server %.3f s after its client had closed its connection", id, late.Seconds())
					code = broken
				}
			}
		}
	}
	if g.crashed() {
		rec.add("BROKEN: the gateway has ended")
		code = broken
	}
	return code
}

// leave has clients send many commands at once and go.
func leave(rec *record, folder string, trouble bool) int {
	return playLeave(rec, folder, trouble, 4, func(client int) (more []byte) {
		for i := range 400 {
			more = append(more, query(save(fmt.Sprintf("b%d%04d", client, i+1), 64<<10, 3*time.Second))...)
		}
		return more
	})
}

// noise has a client send a command and then 60 MB that cannot be read, and go.
func noise(rec *record, folder string, trouble bool) int {
	return playLeave(rec, folder, trouble, 1, func(int) []byte { return bytes.Repeat([]byte{0xee}, 60<<20) })
}
