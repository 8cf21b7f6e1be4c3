package choice

// When servers are probed.

import (
	"time"
)

// probeLongestUnprobed probes the member whose last probe is the oldest. It is used where only probes tell positions.
func (g *Gateway) probeLongestUnprobed(now time.Duration, gr *group) {
	s := &server{nextProbeAt: never}
	for _, m := range gr.members {
		if m.state == Ready && m.nextProbeAt < s.nextProbeAt {
			s = m
		}
	}
	g.probe(now, s)
}

// probe probes a server if that is allowed, it is due and the probe budget has room.
func (g *Gateway) probe(now time.Duration, s *server) {
	if g.mayProbe && s.state == Ready && now >= s.nextProbeAt && g.probeBudget >= 1 {
		g.probeBudget--
		s.nextProbeAt = never
		g.host.Probe(s.id)
	}
}

// ProbeAnswer handles the end of a probe and is called once for each.
func (g *Gateway) ProbeAnswer(now time.Duration, id uint32, result Result, took time.Duration) {
	g.detectStall(now)
	s := g.servers[id]
	if s == nil {
		return
	}
	defer g.placeHeld(now, s.group)
	if (result == NoConnection || result == TimedOut) && g.stalledSince(now-took) {
		result = NotSent // its time may have passed in the stall
	}
	if result == NoConnection || result == Reset || result == TimedOut {
		g.markLost(now, s)
		g.backOff(now, s, ReasonUnreachable, false)
	} else if result != NotSent { // an error is an answer too, as probes may fail at servers that serve ops
		if s.probesNeeded == 1 && s.backoff > 0 {
			g.host.Decided(Event{Kind: ServerReturned, Server: s.id})
		}
		s.probesNeeded = max(0, s.probesNeeded-1)
		g.markAlive(now, s, now-took)
	}
	s.nextProbeAt = now + max(s.backoff, g.shortWait)
}
