package emulator

import (
	"fmt"
	"math"
	"time"
)

// coldWork is work that arrived at a cold server.
type coldWork struct {
	at         time.Duration
	work       float64 // in nanoseconds of a core of speed 1
	typeWork   float64 // mean work of its op type
	startKnown bool    // its gateway knew of the server's start, or counts as knowing it
}

// ColdLoad is what one cold server was sent within Rules.FallTime, over two thirds of it by gateways that knew of its
// start. Both figures are in ops of mean work.
type ColdLoad struct {
	Sent    float64
	Allowed float64 // Rules.Overload times what the server could do in that time
}

// fewOps is the number of allowed ops below which random variation may add more.
const fewOps = 30

// Limit returns what may be sent at most, with what random variation may add.
func (l ColdLoad) Limit() float64 {
	if l.Allowed < fewOps {
		return l.Allowed + 3*math.Sqrt(l.Allowed) + 3
	}
	return l.Allowed + 2*math.Sqrt(l.Allowed) + 2
}

// share returns the part of the limit that was sent.
func (l ColdLoad) share() float64 { return l.Sent / l.Limit() }

// recordColdLoad records what the server was sent in the present window if that is the greatest part of a limit so far.
// allowedWork is the work that is allowed in the window, in nanoseconds of a core of speed 1.
func (s *server) recordColdLoad(allowedWork float64) {
	sent, known := 0.0, 0.0
	for _, c := range s.coldWindow {
		sent += c.typeWork
		if c.startKnown {
			known += c.typeWork
		}
	}
	mean := float64(s.sim.meanWork)
	load := ColdLoad{Sent: sent / mean, Allowed: allowedWork / mean}
	if worst := &s.sim.result.Cold; known > sent*2/3 && load.share() > worst.share() {
		*worst = load
	}
}

// countColdWork counts the work that arrives at a cold server, and crashes the server if that is too much. The crash is
// a violation of rule 4 if at least two thirds of the work came from gateways that knew of the start.
func (s *server) countColdWork(a *attempt) {
	if s.startedAt <= longAgo || s.sim.world.Rules.Overload <= 0 || s.speedShare(s.sim.now) >= 1 {
		return
	}
	rules := &s.sim.world.Rules
	s.coldWindow = append(s.coldWindow, coldWork{s.sim.now, a.work, float64(a.opType.Work), a.op.gateway.knowsStart(s)})
	s.coldWorkSum += a.work
	for s.coldWindow[0].at <= s.sim.now-rules.FallTime {
		s.coldWorkSum -= s.coldWindow[0].work
		s.coldWindow = s.coldWindow[1:]
	}
	// The mean capacity over the window is taken to be that at its middle, as the speed grows linearly.
	capacity := float64(s.cores) * s.speed *
		s.speedShare(max(s.startedAt, s.sim.now-rules.FallTime/2)) * float64(rules.FallTime)
	s.recordColdLoad(rules.Overload * capacity)
	slack := 4 * float64(s.sim.meanWork) // so that random bursts alone do not crash a server
	if s.coldWorkSum <= rules.Overload*capacity+slack {
		return
	}
	knownWork := 0.0
	for _, c := range s.coldWindow {
		if c.startKnown {
			knownWork += c.work
		}
	}
	s.sim.recordEvent("server %d pushed over while cold", s.id)
	if knownWork >= s.coldWorkSum*2/3 {
		s.sim.checker.recordViolation(4, a.op, fmt.Sprintf("server %d was sent %v of work in %v, %.1f times what it can do",
			s.id, time.Duration(s.coldWorkSum).Round(time.Millisecond), rules.FallTime, s.coldWorkSum/capacity))
	}
	s.crash(serverOverloaded)
}
