package main

import "time"

// surplus: some answers bring a second copy right behind.
func surplus(r *rig) {
	r.capitolServers(capitolWork)
	for _, s := range r.servers {
		s.pieces = true
		s.addr = r.startLink(s.addr, 600*time.Microsecond)
		if r.trouble {
			s.copies = 0.05
		}
	}
	g := r.startGateway("n0", capitol(2), 192, 1024)
	all := r.usualClients(40, g, time.Now().Add(20*time.Second), 300*time.Millisecond, nextCapitol)()
	got, classes := map[string]int{}, map[string]int{}
	for _, q := range all {
		if got[q.answer.kind]++; q.answer.kind == "no answer: foreign value" {
			classes[q.class]++
		}
	}
	r.say("answers to %d requests: %v", len(all), got)
	r.say("of foreign values: %v", classes)
	foreign := got["no answer: foreign value"]
	r.verdict(foreign > 0, "%d requests were answered with another request's value", foreign)
}
