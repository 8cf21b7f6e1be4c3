package choice

// Whether an op may be sent to a server: the rules on sending.

import (
	"time"
)

// latestAllowedSend returns until when an op may be sent under rule 2: no double effect. An op that may have run is
// sent again only if it is retryable, or if it is tokened and servers still drop repeats. With tokens of zone scope it
// is not sent again at all, as a zone need not hold all servers of a group.
func (g *Gateway) latestAllowedSend(o *op) time.Duration {
	if o.unbegunSends >= maxUnbegunSends {
		return LongPast
	} else if o.begunSends() < g.maxSends && (o.mayHaveRunAt == never || o.opType.Effect == Retryable) {
		return never
	} else if o.begunSends() < g.maxSends && o.opType.Effect == Tokened && o.opType.Scope != ScopeZone {
		return o.mayHaveRunAt + o.opType.Window - 2*g.tick
	}
	return LongPast
}

// send sends an op to a server if all rules allow it, and returns whether it did. Every send passes through here, and
// each rule on sending is enforced here and nowhere else.
func (g *Gateway) send(now time.Duration, o *op, s *server) bool {
	beginBy, freshEnough := g.latestAllowedSend(o), s == o.group.primary || o.opType.Need == Write || g.replicasCheck
	if !freshEnough && o.opType.Need == Bounded { // rule 5: the bound must still hold when the send begins
		beginBy = min(beginBy, s.position+o.opType.Bound)
	}
	beginBy = min(beginBy, g.cachedListEnd)           // rule 3: the server may be draining by now
	if o.done || o.sentTo != nil || now >= beginBy || // rules 1 and 2: one final answer, no double effect
		s.state != Ready || s.group != o.group || // rule 3: nothing new to a draining or gone server, even in its grace time
		!freshEnough && s.position < o.requiredPosition(now) || // rule 5: no data older than the op type allows
		!g.clientAllowsSend(now, o) || // rule 1: no attempt for a client that has left
		!g.coldLimitAllows(now, o, s) { // rule 4: a cold server never gets more than its multiple
		return false
	}
	if o.sends > 0 {
		g.host.Decided(Event{Kind: OpRetried, Op: o.id, Server: s.id, Reason: reasonOfResult(o.lastResult)})
	}
	o.sentTo, o.sentAt, o.waitStart, o.mayHaveRunAt = s, now, now, min(o.mayHaveRunAt, now)
	o.sends++
	s.group.openSends++
	s.openSends = append(s.openSends, o)
	g.host.Send(o.id, s.id, beginBy) // it may wait for a connection
	return true
}
