package choice

// Which server an op goes to.

import (
	"math"
	"time"
)

// place sends an op to a server that is fit for it, holds it if there is none now, or gives it up if a send can no
// longer be useful or is no longer allowed.
func (g *Gateway) place(now time.Duration, o *op) {
	reason := g.reasonToGiveUp(now, o)
	isTry := reason == ReasonNoTimeLeft && !o.clientUnknown && g.mayTry(now, o)
	if reason != NoReason && !isTry {
		g.giveUp(now, o, reason)
		return
	}
	if o.clientUnknown {
		if !o.held {
			g.hold(now, o)
		}
		return
	}
	s := g.chooseServer(now, o)
	switch {
	case s != nil && g.send(now, o, s):
		o.removeFromHeld()
		if isTry {
			o.tryBegan()
		}
	case isTry:
		g.giveUp(now, o, reason)
	case !o.held:
		g.hold(now, o)
	}
}

// chooseServer returns the server that an op is to be sent to now, or nil. Writes and fresh reads go to the primary;
// while that is unknown or failing, a write is tried at the members of the group one after the other. Other reads
// rotate over the replicas known to be fresh enough. If there is none and servers check reads themselves, the most
// advanced replica is tried, until a server has declined the read. A read for which this finds no replica is held until
// its hold ends, see holdUntil, and is then sent to the primary.
func (g *Gateway) chooseServer(now time.Duration, o *op) (s *server) {
	primary := o.group.primary
	switch {
	case o.opType.Need == Write && (!primary.usable() || primary.backoff > g.shortWait):
		return g.primaryCandidate(now, o)
	case o.opType.Need == Write || o.opType.Need == Fresh:
		return g.ifRoom(now, primary, o)
	}
	if s = g.nextReplica(now, o, o.requiredPosition(now)); s == nil && g.replicasCheck && !o.declined {
		s = g.mostAdvancedReplica(now, o)
	}
	if s == nil && now >= g.holdUntil(o) {
		s = g.ifRoom(now, primary, o)
	}
	return s
}

// holdUntil returns until when a read is held for a replica that is fresh enough: a session read for a quarter of its
// latency target, but no read for so long that a send to the primary is of no use then.
func (g *Gateway) holdUntil(o *op) time.Duration {
	return min(o.holdEnd, g.latestUsefulSend(o)-holdMarginTicks*g.tick)
}

func (s *server) usable() bool { return s != nil && s.state == Ready && s.probesNeeded == 0 }

// ifRoom returns the server if it can take the op now, else nil. One that answered the op with an error before
// cannot take it, unless it is the primary.
func (g *Gateway) ifRoom(now time.Duration, s *server, o *op) *server {
	if !s.usable() || now < s.backoffEnd || s == o.firstErrorFrom && s != s.group.primary ||
		float64(s.countOpenSends(now)) >= s.limit ||
		o.admissionDraw > min(s.limit, math.Pow(limitDecrease, *g.congestion(s))) {
		return nil
	}
	return s
}

// estimatedPosition returns a server's position. Servers that check reads are assumed to lag as much as they last did,
// as a wrong estimate does no harm there; else the newest position known counts.
func (g *Gateway) estimatedPosition(now time.Duration, s *server) time.Duration {
	if g.replicasCheck {
		return now - s.lag
	}
	return s.position
}

// nextReplica returns the next replica, by smooth weighted round robin, that has room and has reached minPosition.
// Replicas with overdue answers are chosen only if there is no other.
func (g *Gateway) nextReplica(now time.Duration, o *op, minPosition time.Duration) (best *server) {
	total, overdue := 0.0, true
	for _, s := range o.group.members {
		if s == o.group.primary || g.estimatedPosition(now, s) < minPosition || g.ifRoom(now, s, o) == nil ||
			!overdue && s.overdue(now) {
			continue
		}
		if overdue && !s.overdue(now) {
			best, total, overdue = nil, 0, false
		}
		weight := s.weight * g.capacityShare(now, s)
		if g.weightReduced(s) {
			weight /= rumouredWeightDivisor
		}
		s.credit, total = s.credit+weight, total+weight
		if best == nil || s.credit > best.credit {
			best = s
		}
	}
	if best != nil {
		best.credit -= total
	}
	return best
}

// mostAdvancedReplica returns the replica with room whose estimated position is the newest.
func (g *Gateway) mostAdvancedReplica(now time.Duration, o *op) (best *server) {
	for _, s := range o.group.members {
		if s != o.group.primary && g.ifRoom(now, s, o) != nil &&
			(best == nil || g.estimatedPosition(now, s) > g.estimatedPosition(now, best)) {
			best = s
		}
	}
	return best
}

// primaryCandidate returns the member to try a write at while the primary is unknown or failing, in id order. It never
// uses the op's last send, which is reserved for the primary.
func (g *Gateway) primaryCandidate(now time.Duration, o *op) *server {
	for _, s := range o.group.members {
		if o.begunSends() < g.maxSends-1 && g.ifRoom(now, s, o) != nil && !s.overdue(now) &&
			(s.role != Replica || now-s.roleAsOf > g.shortWait) {
			return s
		}
	}
	return nil
}
