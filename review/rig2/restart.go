package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// restart kills a gateway and starts it again with the list that it last had, while a replica drains and discovery, whose
// changes are pushed, is slow. It judges whether the replica gets anything later than the grace after the new process began.
func restart(rec *record, folder string, trouble bool) int {
	const grace, slack = 1000 * time.Millisecond, 50 * time.Millisecond
	got := &arrivals{at: map[string][]time.Time{}}
	servers, entries := group(rec, 5, func(s *server, text string) reply {
		if text == "SHOW load" {
			rec.add("%s gets a probe", s.id)
			return s.report()
		}
		got.add(s.id)
		rec.add("%s (%s) gets id=%s", s.id, s.role, field(text, "id"))
		return reply{value: "v", delay: 20 * time.Millisecond, position: time.Now().UnixMilli()}
	})
	d := startDiscovery(rec, entries)
	g := startGateway(rec, folder, "n0", platform(d, 128, agenda()))
	time.Sleep(500 * time.Millisecond)
	g.signal(syscall.SIGKILL)
	<-g.ended
	d.set(servers[4].id, "terminating")
	if trouble {
		d.setDelay(1500 * time.Millisecond)
		rec.add("discovery needs 1.5 s for each answer")
	}
	time.Sleep(300 * time.Millisecond)
	began := time.Now()
	g.start()
	var clients sync.WaitGroup
	for i := range 2 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			c, err := dialGateway(g.addr)
			if err != nil {
				return
			}
			defer c.Close()
			for n := 0; time.Since(began) < 3*time.Second; n++ {
				id := fmt.Sprintf("a%d%04d", i, n)
				c.Write(query(fmt.Sprintf("SELECT data FROM facts WHERE code = 'x' /* id=%s,c=slot-browse,d=1000,cluster=0 */", id)))
				answer, err := c.await()
				rec.add("client %d gets %q for id=%s", i, answer, id)
				if err != nil {
					return
				}
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
	clients.Wait()
	code := held
	got.mu.Lock()
	defer got.mu.Unlock()
	for _, t := range got.at[servers[4].id] {
		if late := t.Sub(began); late > grace+slack {
			rec.add("BROKEN: the draining server was sent an op %.3f s after the new process began", late.Seconds())
			code = broken
		}
	}
	return code
}
