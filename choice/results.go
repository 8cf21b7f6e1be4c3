package choice

// What the result of a send shows of a server and of the op.

import (
	"slices"
	"time"
)

// Answer handles the end of a send and is called once for each. number counts the op's sends from 0. final tells that
// the op has ended with this answer. role and pos are what the server stated about itself with its answer.
func (g *Gateway) Answer(now time.Duration, id uint32, number uint8, serverID uint32, result Result,
	took time.Duration, final bool, role Role, pos time.Duration) {
	g.detectStall(now)
	s, o := g.servers[serverID], g.ops[id]
	if s != nil { // a claim of being the primary may be as old as the send that it answers
		g.updateRoleAndPosition(now, s, role, pos, now-map[bool]time.Duration{true: took}[role == Primary])
	}
	if o == nil || o.sentTo == nil || int(number) != o.sends-1 {
		return
	}
	s, o.sentTo, o.lastResult = o.sentTo, nil, result
	o.tryEnded(now, result)
	s.openSends = slices.DeleteFunc(s.openSends, func(p *op) bool { return p == o })
	neverRan := result.NeverRan()
	if neverRan && o.mayHaveRunAt == o.sentAt {
		o.mayHaveRunAt = never
	}
	s.group.openSends--
	if !neverRan && g.capacityShare(now-g.overloadTime, s) >= 1 {
		g.warmWork += float64(o.opType.meanAnswerTime()) // an op that was turned away does not show what the server can take
	}
	// An error from a second server shows that the op is at fault, unless one of the two is in backoff itself.
	e := o.firstErrorFrom
	o.failsEverywhere = result == ServerError && e != nil && e != s && e.backoff == 0 && s.backoff == 0
	g.assessResult(now, s, o, result, took)
	o.declined = o.declined || result == Declined
	if result == ClientUnknown {
		o.sendEndedUnbegun()
	}
	if final || o.done || result == Acked {
		delete(g.ops, id)
	} else {
		g.place(now, o)
	}
	g.placeHeld(now, s.group)
}

// congestion returns the congestion level of the primaries, or of the replicas, on the server's kind of machine. It is
// kept for all of them together, as a single server may answer too seldom to tell.
func (g *Gateway) congestion(s *server) *float64 {
	if s == s.group.primary {
		return &g.primaryCongestion[s.machineKind]
	}
	return &g.replicaCongestion[s.machineKind]
}

// assessResult updates what the gateway knows of a server from the result of one send.
func (g *Gateway) assessResult(now time.Duration, s *server, o *op, result Result, took time.Duration) {
	g.assessReachability(now, s, o, result, took)
	g.assessFault(now, s, o, result)
	if g.showsLoad(now, s, o, result) {
		g.assessLoad(now, s, o, result, took)
	}
}

// assessReachability updates whether the server runs and whether connections are scarce. An answer of any kind shows that
// it runs. A connection that fails at once may show that connections are scarce.
func (g *Gateway) assessReachability(now time.Duration, s *server, o *op, result Result, took time.Duration) {
	switch result {
	case Acked, Declined, ServerFull, ServerError:
		g.markAlive(now, s, o.sentAt)
	case Reset: // a bad network path or a dead process, not a lack of connections
		g.lastResetAt, g.connShortageEnd = now, LongPast
	case NoConnection: // if it came at once and without a recent reset, connections are scarce, so idle ones are closed
		if took < g.shortWait && now-g.lastResetAt > connShortageWaits*g.shortWait {
			g.connShortageEnd = now + connShortageWaits*g.shortWait
		}
	}
	if now < g.connShortageEnd && len(s.openSends) == 0 {
		g.host.CloseIdle(s.id)
	}
}

// assessFault starts backoffs. An ack resets the length of the server's backoff; troubles start one and lengthen it, see
// backOff.
func (g *Gateway) assessFault(now time.Duration, s *server, o *op, result Result) {
	switch {
	case result == Acked:
		s.backoff = 0
		if e := o.firstErrorFrom; e != nil && e != s && e != e.group.primary {
			g.backOff(now, e, ReasonFailing, false) // a primary that fails some ops is still the only server for writes
		}
	case result == ServerError && o.firstErrorFrom == nil:
		o.firstErrorFrom = s // the fault is the server's or the op's; another server's answer will tell which
	case result == ServerFull:
		g.backOff(now, s, ReasonFull, false)
	case result == NoConnection && g.stalledSince(o.sentAt): // the time to connect may have passed in the stall
	case result == NoConnection, result == Reset:
		// A reset may concern the connection alone, so it does not count here.
		if result == NoConnection && s.backoff > 0 && o.sentAt >= s.aliveAsOf {
			g.markLost(now, s)
		}
		g.backOff(now, s, ReasonUnreachable, false)
	}
}

// showsLoad reports whether a result shows how much a server can take. Only acks, full servers and timeouts do. A send that
// timed out although a later one was answered may have been lost rather than late, so it shows nothing. Nor does a result
// that arrives just when a stall of the gateway is noticed, as it is not known how late the answer came.
func (g *Gateway) showsLoad(now time.Duration, s *server, o *op, result Result) bool {
	switch {
	case now == g.stallNoticedAt:
		return false
	case result == TimedOut:
		return o.sentAt >= s.aliveAsOf
	}
	return result == Acked || result == ServerFull
}

// assessLoad updates the limit of the server's open sends and the congestion level from a result that shows load.
func (g *Gateway) assessLoad(now time.Duration, s *server, o *op, result Result, took time.Duration) {
	if result == Acked {
		g.assessQueueing(now, s, o, took)
	}
	// A late answer raises the congestion level of the server's kind of machine only if the server's own limit is
	// exactly 1. A greater limit can still be reduced, and one below 1 was reduced by an earlier late answer, so that
	// one bad server does not count for all of its kind. A limit below 1 is the share of ops that may be sent to the
	// server. Each late answer reduces it further and, once it is below the square of limitDecrease, is reported as a
	// trouble unless the server was full. Timely answers bring the limit back to 1.
	if late := took > o.opType.Target/2 || result == ServerFull; late && s.limit <= 1 {
		if s.limit == 1 {
			*g.congestion(s) = min(*g.congestion(s)+1, maxCongestion)
		}
		if s.limit *= limitDecrease; s.limit < limitDecrease*limitDecrease && result != ServerFull {
			g.reportTrouble(s, Late)
		}
	} else if !late {
		g.reportTrouble(s, NoTrouble)
		*g.congestion(s) = max(0, *g.congestion(s)-congestionDecrease)
		s.limit = max(s.limit, min(1, s.limit/limitDecrease))
	}
}

// assessQueueing updates the limit of the server's open sends from an ack. An ack that shows queueing reduces the limit, but
// to no less than 1 and at most once within the time of an answer. An ack that shows none raises a limit of 1 or more.
func (g *Gateway) assessQueueing(now time.Duration, s *server, o *op, took time.Duration) {
	o.opType.answerTimes.add(took, o.opType.Target)
	s.ackedWork += float64(o.opType.meanAnswerTime())
	slow := took > o.opType.Target/queueingDivisor
	if slow && now-s.limitDecreasedAt > took {
		s.limit, s.limitDecreasedAt = max(s.limit*limitDecrease, min(s.limit, 1)), now
	} else if !slow && s.limit >= 1 {
		s.limit += 1 / (s.limit * g.gatewayCount) // all gateways together allow about one more open send per round
	}
}

// NeverRan reports whether the result proves that the op did not run.
func (r Result) NeverRan() bool {
	return r == ServerFull || r == NoConnection || r == NotSent || r == Declined || r == ClientUnknown
}
