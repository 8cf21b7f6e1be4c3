package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// leave: a client sends many commands at once and goes.
func leave(r *rig) {
	const slowRead = 400 * time.Millisecond
	r.capitolServers(func(class, statement string) time.Duration {
		if strings.Contains(statement, "slow") {
			return slowRead
		}
		return capitolWork(class, statement)
	})
	g := r.startGateway("n0", capitol(2), 192, 1024)
	requests := r.usualClients(6, g, time.Now().Add(8*time.Second), 200*time.Millisecond, nextCapitol)
	time.Sleep(3 * time.Second)
	const commands, valueBytes = 100, 16 << 10
	var batch []byte
	ids := map[string]bool{}
	wait := 2500 * time.Millisecond
	for i := range commands {
		id := r.newID()
		ids[id] = true
		key := fmt.Sprintf("%016x", rand.Uint64())
		if i == 0 {
			batch = append(batch, queryMessage(readStatement(id, "own-edit-view", "slow"+key, 1500*time.Millisecond, 0,
				time.Now().Add(-time.Second)))...)
			continue
		}
		batch = append(batch, queryMessage(writeStatement(id, "declaration-save", key, strings.Repeat("9f", valueBytes), id, wait, 0))...)
	}
	c, err := dial(g.addr)
	if err != nil {
		r.cannotRun("connecting: %v", err)
	}
	start := time.Now()
	c.SetWriteDeadline(start.Add(20 * time.Millisecond))
	n, err := c.Write(batch)
	r.say("a client sent %d bytes of %d commands in %v (%v)", n, commands, time.Since(start), err)
	c.Close()
	left := time.Now()
	r.say("it has gone")
	requests()
	late := 0
	for _, s := range r.servers {
		s.mu.Lock()
		for _, a := range s.attempts {
			if ids[a.id] {
				r.say("%s at %s began %.3f s after the client had gone", a.class, a.server, a.at.Sub(left).Seconds())
				if a.at.Sub(left) > 150*time.Millisecond {
					late++
				}
			}
		}
		s.mu.Unlock()
	}
	r.verdict(late > 0, "%d attempts began more than 0.1 s (and 0.05 s of slack) after the client had gone", late)
}
