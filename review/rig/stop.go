package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"time"
)

// stop: a planned restart begins shortly after a client has sent many commands at once.
func stop(r *rig) {
	const commands, wait = 100, 3 * time.Second
	r.capitolServers(capitolWork)
	g := r.startGateway("n0", capitol(2), 192, 1024)
	requests := r.usualClients(3, g, time.Now().Add(3*time.Second), 300*time.Millisecond, nextCapitol)
	time.Sleep(2 * time.Second)
	c, err := dial(g.addr)
	if err != nil {
		r.cannotRun("connecting: %v", err)
	}
	defer c.Close()
	var batch []byte
	var all []*request
	for range commands {
		q := &request{id: r.newID(), class: "declaration-save", gateway: g, wait: wait}
		batch = append(batch, queryMessage(writeStatement(q.id, q.class, fmt.Sprintf("%016x", rand.Uint64()), "9f03", q.id, wait, 0))...)
		all = append(all, q)
	}
	c.SetDeadline(time.Now().Add(8 * time.Second))
	if _, err := c.Write(batch); err != nil {
		r.cannotRun("writing: %v", err)
	}
	sentAt := time.Now()
	r.say("a client has sent %d commands, %d bytes, at once", commands, len(batch))
	if r.trouble {
		time.AfterFunc(100*time.Millisecond, func() {
			r.say("SIGTERM, 0.1 s after the commands")
			g.stopping.Store(true)
			g.cmd.Process.Signal(syscall.SIGTERM)
			time.Sleep(3700 * time.Millisecond) // the earliest SIGKILL
			select {
			case <-g.ended:
			default:
				r.say("SIGKILL")
				g.cmd.Process.Kill()
			}
		})
	}
	lost := 0
	for _, q := range all {
		q.sentAt = sentAt
		if q.answer = c.read(); strings.HasPrefix(q.answer.kind, "no answer") {
			if lost++; lost == 1 {
				r.say("the connection ended %.3f s after the commands were sent: %s", time.Since(sentAt).Seconds(), q.answer.kind)
			}
		}
		r.note(q.answer.at, "client got  %-16s id=%s after %.3f s: %s", q.class, q.id, q.answer.at.Sub(sentAt).Seconds(), q.answer.kind)
	}
	requests()
	got := map[string]int{}
	for _, q := range all {
		got[q.answer.kind]++
	}
	r.say("answers to the %d commands: %v", commands, got)
	if r.trouble {
		<-g.ended
		r.say("the gateway ended with status %d", g.cmd.ProcessState.ExitCode())
	}
	r.verdict(lost > 0, "%d of %d requests were taken and not answered", lost, commands)
}
