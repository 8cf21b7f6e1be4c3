package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"
)

// nextAgenda draws a request of the deployment's mix for one of the slices from the second on.
func nextAgenda(id string) (string, time.Duration, string) {
	group, key := 1+rand.IntN(2), fmt.Sprintf("%016x", rand.Uint64())
	switch x := rand.Float64(); {
	case x < 0.5:
		wait := between(400, 1000)
		return "slot-browse", wait, readStatement(id, "slot-browse", key, wait, group, time.Time{})
	case x < 0.86:
		wait := between(800, 2000)
		return "own-view", wait, readStatement(id, "own-view", key, wait, group, time.Now().Add(-500*time.Millisecond))
	}
	wait := between(2000, 5000)
	return "book", wait, writeStatement(id, "book", key, "9f03", "", wait, group)
}

// stall: the gateway stands still while requests come in, and the primary that they need hangs.
func stall(r *rig) {
	const stallTime, wait = 950 * time.Millisecond, 2 * time.Second
	work := func(class, _ string) time.Duration {
		if class == "own-view" {
			return between(82, 140)
		}
		return between(55, 95)
	}
	bounds := map[string]time.Duration{"slot-browse": 1500 * time.Millisecond}
	for group := range 3 {
		for i := range 5 {
			r.startServer(fmt.Sprintf("s-%08x", 16*(group+1)+i), group, i == 0, 4, work, bounds)
		}
	}
	r.startDiscovery()
	g := r.startGateway("n0", agenda(20), 192, 1024)
	requests := r.usualClients(6, g, time.Now().Add(9*time.Second), 200*time.Millisecond, nextAgenda)
	time.Sleep(3 * time.Second)
	book := func(id string) string {
		return writeStatement(id, "book", fmt.Sprintf("%016x", rand.Uint64()), "9f03", "", wait, 0)
	}
	var clients []*client
	for range 5 {
		c, err := dial(g.addr)
		if err != nil {
			r.cannotRun("connecting: %v", err)
		}
		defer c.Close()
		clients = append(clients, c)
		id := r.newID()
		if q := r.ask(c, g, id, "book", wait, book(id)); q.answer.kind != "acked" {
			r.cannotRun("a request before the trouble ended with %s", q.answer.kind)
		}
	}
	if trouble := os.Getenv("TROUBLE"); r.trouble && trouble != "stall" {
		r.say("the primary of slice 0 hangs from now on")
		r.servers[0].hangs.Store(true)
		time.AfterFunc(5500*time.Millisecond, func() {
			r.servers[0].hangs.Store(false)
			r.note(time.Now(), "the primary of slice 0 answers again")
		})
	}
	if trouble := os.Getenv("TROUBLE"); r.trouble && trouble != "hang" {
		r.say("the gateway stands still for %v", stallTime)
		g.cmd.Process.Signal(syscall.SIGSTOP)
		time.AfterFunc(stallTime, func() {
			g.cmd.Process.Signal(syscall.SIGCONT)
			r.note(time.Now(), "the gateway goes on")
		})
	}
	time.Sleep(20 * time.Millisecond)
	var wg sync.WaitGroup
	judged := make([]*request, len(clients))
	for i, c := range clients {
		id := r.newID()
		wg.Go(func() { judged[i] = r.ask(c, g, id, "book", wait, book(id)) })
	}
	wg.Wait()
	requests()
	lost := 0
	for _, q := range judged {
		r.say("book %s: %s %.3f s after its client's time of %v", q.id, q.answer.kind, q.lateBy().Seconds(), q.wait)
		if q.lateBy() > 550*time.Millisecond {
			lost++
		}
	}
	r.verdict(lost > 0, "%d of %d requests had no answer half a second after their clients' time", lost, len(judged))
}
