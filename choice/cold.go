package choice

// How much a server that has just started may get.

import (
	"math"
	"time"
)

// capacityShare returns the least share of its full capacity that a server has at a time of its warm-up.
func (g *Gateway) capacityShare(now time.Duration, s *server) float64 {
	return min(1, g.coldCapacityShare+(1-g.coldCapacityShare)*max(0, float64(now-s.warmUpStart)/float64(g.warmUpTime)))
}

// coldLimitAllows enforces rule 4: a cold server never gets more work than the stated multiple of its present capacity,
// as it would fall over. It reports whether an op may be sent to the server now, and if so counts the op's work.
//
// The capacity is estimated in two ways, of which the greater counts. The first estimate is the work per time that one
// warm server takes, multiplied by the least share of its full capacity that the cold server had one overload time ago.
// If no warm server has taken any, it is that of a server which works on one op at a time, shared by all gateways. The
// second is the work per time that the server acked recently.
//
// A token bucket limits the work. It fills at the estimated capacity times overloadFactor times coldSafetyFactor, holds
// what accumulates in overloadTime/coldBurstDivisor, and lets an op pass if its level is not below zero. It starts at a
// random level below zero, because the first sends of many gateways together could overload the server.
func (g *Gateway) coldLimitAllows(now time.Duration, o *op, s *server) bool {
	work, share := float64(o.opType.meanAnswerTime()), g.capacityShare(now-g.overloadTime, s)
	if share >= 1 {
		return true
	} else if s.allowanceUpdatedAt < s.warmUpStart {
		s.coldAllowance, s.ackedWork, s.allowanceUpdatedAt = -g.random()*work, 0,
			max(s.warmUpStart, now-g.overloadTime/coldBurstDivisor)
	}
	elapsed, window := float64(now-s.allowanceUpdatedAt), float64(g.overloadTime)
	s.ackedWork *= math.Exp(-elapsed / window)
	warmRate := g.warmRate
	if warmRate == 0 {
		warmRate = 1 / g.gatewayCount
	}
	rate := max(warmRate*share, s.ackedWork/window) * g.overloadFactor * coldSafetyFactor
	s.coldAllowance, s.allowanceUpdatedAt = min(s.coldAllowance+rate*elapsed, rate*window/coldBurstDivisor), now
	if s.coldAllowance >= 0 {
		s.coldAllowance -= work
		return true
	}
	return false
}
