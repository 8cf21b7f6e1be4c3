package main

import (
	"bufio"
	"fmt"
	"net"
	"sort"
	"sync"
	"sync/atomic"
	"time"
)

// flood has usual clients send a request each on a new connection while many bad clients send hundreds of commands of an op type
// that does not exist at once, and again as soon as they are answered. It judges whether each usual request gets its final answer
// at most 0.5 s after its time.
func flood(rec *record, folder string, trouble bool) int {
	const bad, commands, length = 300, 300, 15 * time.Second
	const wait, late, between = 1200 * time.Millisecond, 500 * time.Millisecond, 10 * time.Millisecond
	_, entries := group(rec, 4, func(s *server, text string) reply {
		if text == "SHOW load" {
			return s.report()
		}
		return reply{value: "v", delay: 10 * time.Millisecond, position: time.Now().UnixMilli()}
	})
	d := startDiscovery(rec, entries)
	g := startGateway(rec, folder, "n0", platform(d, 192, settings(2)))
	time.Sleep(300 * time.Millisecond) // the servers are probed
	end := time.Now().Add(length)
	var clients sync.WaitGroup
	var refused atomic.Int64
	for i := range bad {
		if !trouble {
			break
		}
		clients.Add(1)
		go func() {
			defer clients.Done()
			for n := 0; time.Now().Before(end); {
				c, err := dialGateway(g.addr)
				if err != nil {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				c.SetDeadline(end.Add(5 * time.Second))
				for err == nil && time.Now().Before(end) {
					var all []byte
					for range commands {
						n++
						all = append(all, query(fmt.Sprintf("SELECT data FROM facts WHERE code = 'c0de' /* id=bad%dx%d,c=no-such,d=1200,cluster=0 */", i, n))...)
					}
					go c.Write(all)
					for k := 0; err == nil && k < commands; k++ {
						if _, err = c.await(); err == nil {
							refused.Add(1)
						}
					}
				}
				c.Close()
			}
		}()
	}
	if trouble {
		rec.add("%d bad clients begin", bad)
	}
	time.Sleep(500 * time.Millisecond)
	type result struct {
		id, answer string
		sent, took time.Duration
		ended      bool // the connection ended without an answer
	}
	var mu sync.Mutex
	var results []result
	for n := 0; time.Now().Before(end); n++ {
		clients.Add(1)
		go func() {
			defer clients.Done()
			conn, err := net.DialTimeout("tcp", g.addr, 2*time.Second)
			if err != nil {
				rec.add("usual client %d cannot connect: %v", n, err)
				return
			}
			defer conn.Close()
			c, id, sent := &client{Conn: conn, r: bufio.NewReader(conn)}, fmt.Sprintf("a%06d", n), time.Now()
			c.Write(append(startup(), query(fmt.Sprintf("SELECT data FROM facts WHERE code = 'c0de' /* id=%s,c=parcel-lookup,d=%d,cluster=0 */",
				id, wait.Milliseconds()))...))
			c.SetReadDeadline(time.Now().Add(20 * time.Second))
			_, err = c.await() // the startup
			answer := ""
			if err == nil {
				answer, err = c.await()
			}
			mu.Lock()
			results = append(results, result{id, answer, sent.Sub(rec.start), time.Since(sent), err != nil && answer == ""})
			mu.Unlock()
		}()
		time.Sleep(between)
	}
	clients.Wait()
	sort.Slice(results, func(i, j int) bool { return results[i].sent < results[j].sent })
	lost, longest, code := 0, time.Duration(0), held
	for _, r := range results {
		rec.add("usual id=%s sent at %.3f s: %q after %.3f s", r.id, r.sent.Seconds(), r.answer, r.took.Seconds())
		longest = max(longest, r.took)
		if r.took > wait+late && !r.ended {
			lost++
		}
	}
	rec.add("%d usual requests, the longest took %.3f s; %d commands of bad clients were answered", len(results), longest.Seconds(), refused.Load())
	if lost > 0 {
		rec.add("BROKEN: %d of %d usual requests got their final answer more than 0.5 s after their time of %.1f s", lost, len(results), wait.Seconds())
		code = broken
	}
	if g.crashed() {
		rec.add("BROKEN: the gateway has ended")
		code = broken
	}
	return code
}
