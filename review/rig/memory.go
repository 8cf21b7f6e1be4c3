package main

import (
	"strings"
	"time"
)

// memory: clients begin commands and stop in the middle.
func memory(r *rig) {
	const memoryMB, badClients, valueBytes = 192, 100, 2_800_000
	r.capitolServers(capitolWork)
	g := r.startGateway("n0", capitol(2), memoryMB, 1024)
	requests := r.usualClients(12, g, time.Now().Add(12*time.Second), 200*time.Millisecond, nextCapitol)
	time.Sleep(5 * time.Second)
	r.say("after 5 s of usual traffic the gateway has used %d MB at most", g.peakMB.Load())
	if r.trouble {
		r.say("%d bad clients each send %d bytes of a longer command and stop", badClients, valueBytes)
		command := queryMessage(writeStatement(r.newID(), "declaration-save", "7f3a9c21e0b4d655", strings.Repeat("9f", valueBytes/2), "1",
			3*time.Second, 0))
		for range badClients {
			go func() {
				c, err := dial(g.addr)
				if err != nil {
					return
				}
				defer c.Close()
				c.SetDeadline(time.Now().Add(3 * time.Second))
				c.Write(command[:valueBytes])
				c.read()
			}()
		}
	}
	all := requests()
	unanswered := 0
	for _, q := range all {
		if q.lateBy() > 500*time.Millisecond {
			unanswered++
		}
	}
	r.say("%d usual requests, %d of them with no answer; the gateway used %d MB at most", len(all), unanswered, g.peakMB.Load())
	r.verdict(g.killed.Load(), "the platform killed the gateway: %v", g.killed.Load())
}
