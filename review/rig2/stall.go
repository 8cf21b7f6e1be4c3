package main

import (
	"fmt"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// agenda are settings of a small deployment with the figures of agenda-santiago.
func agenda() map[string]any {
	s := settings(20)
	s["registry_mode"] = "pushed"
	s["classes"] = []any{
		opClass("slot-browse", "retryable", 300, 1000, 0, 1, 0),
		opClass("own-view", "retryable", 600, 2000, 0, 3, 0),
		opClass("book", "fragile", 500, 5000, 0, 4, 0.7),
	}
	s["clients"] = map[string]any{"marks_retry": false}
	f := s["family_info"].(map[string]any)
	f["checks"], f["lag_allowed"], f["tells_position"], f["catch_up_wait"] = "await", []int64{1500000000, 0, 0}, false, 20000000
	l := s["limits"].(map[string]any)
	l["keepalive"], l["max_attempts"], l["max_retry_after"] = 15000000000, 6, 500000000
	r := s["rules"].(map[string]any)
	r["cold"], r["cold_from"], r["drain_grace"], r["fall"], r["overload_factor"] = 17000000000, 0.19, 1000000000, 2000000000, 2.5
	return s
}

// stall has the gateway stand still for 0.9 s, three times, while clients send bookings to a primary that answers none. It judges
// whether each booking gets its answer at most 0.5 s after its time, and whether the time that the server is told is at most
// 0.15 s more than is left.
func stall(rec *record, folder string, trouble bool) int {
	const still, wait, late, slack = 900 * time.Millisecond, 2 * time.Second, 500 * time.Millisecond, 150 * time.Millisecond
	var mu sync.Mutex
	sent, code := map[string]time.Time{}, held
	fail := func(format string, args ...any) {
		rec.add("BROKEN: "+format, args...)
		mu.Lock()
		code = broken
		mu.Unlock()
	}
	_, entries := group(rec, 5, func(s *server, text string) reply {
		if text == "SHOW load" {
			return s.report()
		}
		id, told := field(text, "id"), field(text, "d")
		mu.Lock()
		left := wait - time.Since(sent[id])
		mu.Unlock()
		rec.add("%s (%s) gets id=%s d=%s, its client has %.3f s left", s.id, s.role, id, told, left.Seconds())
		if ms, _ := strconv.Atoi(told); time.Duration(ms)*time.Millisecond > left+slack {
			fail("id=%s: the server is told %s ms, %.3f s are left", id, told, left.Seconds())
		}
		if s.role != "primary" {
			return reply{code: "25006"}
		}
		return reply{silent: true}
	})
	d := startDiscovery(rec, entries)
	g := startGateway(rec, folder, "n0", platform(d, 128, agenda()))
	time.Sleep(500 * time.Millisecond) // the servers are probed
	for round := range 3 {
		var clients sync.WaitGroup
		c, err := dialGateway(g.addr)
		if err != nil {
			cannotRun("%v", err)
		}
		if trouble {
			g.signal(syscall.SIGSTOP)
			time.Sleep(10 * time.Millisecond)
		}
		id := fmt.Sprintf("5ca1ab1e%d", round)
		clients.Add(1)
		go func() {
			defer clients.Done()
			defer c.Close()
			mu.Lock()
			sent[id] = time.Now()
			mu.Unlock()
			rec.add("client sends id=%s d=%d", id, wait.Milliseconds())
			c.Write(query(fmt.Sprintf("INSERT INTO facts (code, data) VALUES ('c0de', '\\x9f') RETURNING data /* id=%s,c=book,d=%d,cluster=0 */",
				id, wait.Milliseconds())))
			c.SetReadDeadline(time.Now().Add(wait + 3*time.Second))
			answer, err := c.await()
			took := time.Since(sent[id])
			rec.add("client gets %q for id=%s after %.3f s", answer, id, took.Seconds())
			if err != nil || took > wait+late {
				fail("id=%s has its final answer %.3f s after its time", id, (took - wait).Seconds())
			}
		}()
		if trouble {
			time.Sleep(still)
			g.signal(syscall.SIGCONT)
		}
		clients.Wait()
	}
	if g.crashed() {
		fail("the gateway has ended")
	}
	return code
}
