package choice

// Which servers are avoided or set aside, and which sends are lost.

import (
	"slices"
	"time"
)

// detectStall notices from a missing timer event that the gateway process itself stood still. That is no fault of any
// server, so all waits are counted anew.
func (g *Gateway) detectStall(now time.Duration) {
	if now-g.lastTimerAt > stallTicks*g.tick && now > g.stallNoticedAt {
		g.stallNoticedAt = now
		for _, o := range g.ops {
			o.waitStart = now
		}
	}
}

// stalledSince reports whether the gateway process itself has stood still since a time.
func (g *Gateway) stalledSince(at time.Duration) bool { return g.stallNoticedAt > at }

// markLost records that a server does not seem to be running. Members of a group may restart together:
// if two are lost and no member has been heard of since the first, all are assumed to be lost.
func (g *Gateway) markLost(now time.Duration, s *server) {
	firstLost, lastHeard := never, LongPast
	for _, m := range s.group.members {
		firstLost, lastHeard = min(firstLost, m.lostAt), max(lastHeard, m.lastHeardAt)
	}
	if s.lostAt < never {
		return
	} else if s.lostAt = now; lastHeard < firstLost && firstLost < never {
		for _, m := range s.group.members {
			m.lostAt = min(m.lostAt, now)
		}
	}
}

// markAlive records that a server answered what was sent at sentAt. If it had been lost, it has likely restarted: it
// counts as cold until the list, which is late, gives its start, or it has had time to warm up.
func (g *Gateway) markAlive(now time.Duration, s *server, sentAt time.Duration) {
	if s.lostAt < never {
		s.lostAt, s.warmUpStart = never, now
	}
	s.lastHeardAt, s.aliveAsOf = now, max(s.aliveAsOf, sentAt)
}

// backOff avoids a server for a backoff that doubles with each trouble since its last ack. At the second trouble, or at
// the first if rumours have reached rumourThreshold, the server is set aside: it is not used until it has answered
// probes. A primary is set aside only if the caller is certain, as writes have no other place. At most half of a group
// is set aside.
//
// The reason is reported as a trouble to the host if this gateway itself has seen it.
func (g *Gateway) backOff(now time.Duration, s *server, reason Reason, certain bool) {
	if trouble := troubleOfReason(reason); trouble != NoTrouble {
		g.reportTrouble(s, trouble)
	}
	if now < s.backoffEnd {
		return
	}
	certain = certain || (s.backoff > 0 || s.rumour >= rumourThreshold) && s != s.group.primary
	s.backoff = min(max(2*s.backoff, g.shortWait/4), maxBackoffWaits*g.shortWait)
	s.backoffEnd = now + s.backoff
	setAside := 1
	for _, m := range s.group.members {
		if m.probesNeeded > 0 && m.backoff > 0 {
			setAside++
		}
	}
	if s.probesNeeded > 0 {
		s.probesNeeded = probesToReturn
	} else if g.mayProbe && certain && 2*setAside <= len(s.group.members) {
		s.probesNeeded, s.nextProbeAt = probesToReturn, s.backoffEnd
		g.host.Decided(Event{Kind: ServerSetAside, Server: s.id, Reason: reason})
	}
}

// reportTrouble tells the host of each symptom that this gateway itself has seen of a server, and once of its end.
func (g *Gateway) reportTrouble(s *server, t Trouble) {
	if s.trouble != t || t != NoTrouble {
		s.trouble = t
		g.host.Trouble(s.id, t)
	}
}

// Rumour handles a change of the weighted number of other gateways that report a server to be in trouble. From
// rumourThreshold on, a rumour spends a probe on the server, lets the first symptom that this gateway sees count as the
// second, reduces the server's weight in the rotation, and repeats a failed request for the list at once.
func (g *Gateway) Rumour(now time.Duration, id uint32, weight float64) {
	s := g.servers[id]
	if s == nil {
		return
	}
	if weight >= rumourThreshold && s.rumour < rumourThreshold {
		g.nextListRequest = min(g.nextListRequest, now)
		g.probe(now, s)
	}
	s.rumour = weight
}

// weightReduced reports whether a replica's weight is reduced for the rumours about it. That needs more of them while
// replicas are congested, and applies to at most a third of the replicas in use, those with the most rumours.
func (g *Gateway) weightReduced(s *server) bool {
	rumoured, inUse := 0, 0
	for _, m := range s.group.members {
		if m.usable() && m != s.group.primary {
			inUse++
			if m.rumour > s.rumour || m.rumour == s.rumour && m.id <= s.id {
				rumoured++
			}
		}
	}
	return s.rumour >= rumourThreshold*(1+*g.congestion(s)) && rumouredReplicasDivisor*rumoured <= inUse
}

// countOpenSends counts the sends that a server presumably still works on. A send that is overdue although the server
// answered a later one is presumed lost.
func (s *server) countOpenSends(now time.Duration) (n int) {
	for _, o := range s.openSends {
		if o.sentAt >= s.aliveAsOf || now-o.waitStart <= overdueFactor*o.opType.meanAnswerTime() {
			n++
		}
	}
	return n
}

// overdue reports whether a server has owed an answer for longer than overdueFactor mean answer times of its op type.
func (s *server) overdue(now time.Duration) bool {
	return slices.ContainsFunc(s.openSends, func(o *op) bool {
		return now-o.waitStart > overdueFactor*o.opType.meanAnswerTime()
	})
}

// silent reports whether a server, and not just one connection, has been quiet for longer than random variation
// explains. It sums the waits since the server was last heard of, in mean answer times, over the sends that no answer
// has overtaken. The sum must exceed minSum and the longest wait overdueFactor.
func (s *server) silent(now time.Duration, minSum float64) bool {
	sum, longestWait := 0.0, 0.0
	for _, o := range s.openSends {
		if o.sentAt >= s.aliveAsOf {
			wait := float64(now-max(o.waitStart, s.lastHeardAt)) / float64(o.opType.meanAnswerTime())
			sum, longestWait = sum+wait, max(longestWait, wait)
		}
	}
	return sum > minSum && longestWait > overdueFactor
}

// cancelLostSends cancels sends that have been out for so long that they must be lost, if there is time to send the op
// again and it may be.
func (g *Gateway) cancelLostSends(now time.Duration, s *server) {
	for _, o := range s.openSends {
		lostAfter := time.Duration(lostFactor*o.begunSends()) * o.opType.meanAnswerTime()
		if g.mayCancel && !o.done && now-o.waitStart > lostAfter && now < min(g.latestUsefulSend(o), g.latestAllowedSend(o)) {
			o.waitStart = now
			g.host.Cancel(o.id, uint8(o.sends-1))
		}
	}
}
