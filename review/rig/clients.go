package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// cases holds the plays by name.
var cases = map[string]func(*rig){"memory": memory, "stall": stall, "stop": stop, "surplus": surplus, "leave": leave}

// capitolServers starts two groups of a primary and three replicas with three cores each.
func (r *rig) capitolServers(work func(class, statement string) time.Duration) {
	r.tellsPosition = true
	bounds := map[string]time.Duration{"parcel-lookup": 200 * time.Millisecond}
	for group := range 2 {
		for i := range 4 {
			r.startServer(fmt.Sprintf("s-%08x", 16*(group+1)+i), group, i == 0, 3, work, bounds)
		}
	}
	r.startDiscovery()
}

// between returns a random time between two bounds in milliseconds.
func between(low, high int) time.Duration {
	return time.Duration(low+rand.IntN(high-low+1)) * time.Millisecond
}

// capitolWork is the work that the brief states: 90 to 160 ms for a read, 54 to 94 ms for a write.
func capitolWork(class, _ string) time.Duration {
	if class == "declaration-save" {
		return between(54, 94)
	}
	return between(90, 160)
}

// usualClient sends one request after another on one connection until the end. It connects anew when the gateway has
// closed the connection.
func (r *rig) usualClient(g *gateway, end time.Time, gap time.Duration, next func(id string) (class string, wait time.Duration, statement string)) (all []*request) {
	var c *client
	for time.Now().Before(end) {
		if c == nil {
			var err error
			if c, err = dial(g.addr); err != nil {
				time.Sleep(50 * time.Millisecond)
				continue
			}
		}
		var class, statement string
		var wait time.Duration
		id := r.newID()
		class, wait, statement = next(id)
		q := r.ask(c, g, id, class, wait, statement)
		all = append(all, q)
		if strings.HasPrefix(q.answer.kind, "no") {
			c.Close()
			c = nil
		}
		time.Sleep(time.Duration(rand.Float64() * 2 * float64(gap)))
	}
	if c != nil {
		c.Close()
	}
	return all
}

// usualClients runs some usual clients at once and returns all their requests.
func (r *rig) usualClients(n int, g *gateway, end time.Time, gap time.Duration,
	next func(id string) (string, time.Duration, string)) func() []*request {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var all []*request
	for range n {
		wg.Go(func() {
			mine := r.usualClient(g, end, gap, next)
			mu.Lock()
			all = append(all, mine...)
			mu.Unlock()
		})
	}
	return func() []*request {
		wg.Wait()
		return all
	}
}

// nextCapitol draws a request of the deployment's mix.
func nextCapitol(id string) (string, time.Duration, string) {
	group, key := rand.IntN(2), fmt.Sprintf("%016x", rand.Uint64())
	switch x := rand.Float64(); {
	case x < 0.53:
		wait := between(504, 1200)
		return "parcel-lookup", wait, readStatement(id, "parcel-lookup", key, wait, group, time.Time{})
	case x < 0.65:
		wait := between(840, 2000)
		return "own-edit-view", wait, readStatement(id, "own-edit-view", key, wait, group, time.Now().Add(-300*time.Millisecond))
	}
	wait := between(1260, 3000)
	return "declaration-save", wait, writeStatement(id, "declaration-save", key, "9f03", id, wait, group)
}
