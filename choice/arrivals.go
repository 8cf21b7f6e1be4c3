package choice

// Ops that come in, and how they end without an ack.

import (
	"cmp"
	"time"
)

// Arrival is a client's op that has come in.
type Arrival struct {
	ID             uint32
	OpType         uint8 // number of the op type
	Session        uint64
	ClientLeavesAt time.Duration // when its client stops waiting
	Group          uint16
	WriteAge       time.Duration // age of the session's last write, 0 if it is not known
	IsRetry        bool          // its client marked it as a retry
	OpenBefore     int           // open ops that its connection has or for which it waited
}

// Op handles a client's op that has come in.
func (g *Gateway) Op(now time.Duration, a Arrival) {
	g.detectStall(now)
	t := &g.opTypes[a.OpType]
	o := &op{id: a.ID, opType: t, group: cmp.Or(g.groups[a.Group], &group{}), session: a.Session, openBefore: a.OpenBefore,
		admissionDraw: g.random(), minPosition: never, mayHaveRunAt: never, targetEnd: now + t.Target,
		holdEnd: now + t.Target/holdDivisor, clientLeavesAt: a.ClientLeavesAt, clientSeenAt: now, retriesEnd: now + t.Timeout}
	t.lastArrival, t.meanArrivalGap = now, t.meanArrivalGap+(now-t.lastArrival-t.meanArrivalGap)/averagingSamples
	g.matchRetry(now, o, a.IsRetry)
	switch t.Need {
	case Session:
		if g.writeAgeCarried && a.WriteAge > 0 {
			o.minPosition = now - a.WriteAge + a.WriteAge>>20 // the age was a float: keep its rounding on the safe side
		} else if g.writeAgeCarried { // no write to see; where ages are not carried, only the primary is sure to have it
			o.minPosition = LongPast
		}
	case Bounded:
		o.holdEnd = now + g.shortWait
	case Any:
		o.minPosition = LongPast
	}
	g.ops[a.ID] = o
	if g.stopped {
		g.giveUp(now, o, ReasonStopping)
		return
	}
	g.probeBudget += probesPerOp
	if g.steadyProbing {
		g.probeLongestUnprobed(now, o.group)
	}
	g.place(now, o)
}

// ClientGone handles the departure of a client, which needs no answer to its op any more.
func (g *Gateway) ClientGone(now time.Duration, id uint32) {
	if o := g.ops[id]; o != nil && !o.done {
		g.expectRetry(now, o, 0)
		g.closeOp(o)
	}
}

// Stop gives up all ops before the process ends, while their clients can still be answered. Ops that arrive later are
// given up at once.
func (g *Gateway) Stop(now time.Duration) {
	g.stopped = true
	for _, o := range g.ops {
		if !o.done {
			g.giveUp(now, o, ReasonStopping)
		}
	}
}

// closeOp closes an op. Its open send is cancelled, which saves the work if the server still has it in a queue.
func (g *Gateway) closeOp(o *op) {
	o.done = true
	o.removeFromHeld()
	if o.sentTo == nil {
		delete(g.ops, o.id)
	} else if g.mayCancel {
		g.host.Cancel(o.id, uint8(o.sends-1))
	}
}

// giveUp ends an op at once with a busy reply or an error. The busy reply invites another try. Rule 2, which forbids
// double effects, therefore allows it only for an op that cannot have run or that may run again.
func (g *Gateway) giveUp(now time.Duration, o *op, reason Reason) {
	g.host.Decided(Event{Kind: OpGivenUp, Op: o.id, Reason: reason})
	if t := o.opType; o.mayHaveRunAt == never || t.Effect == Retryable || t.Effect == Tokened && t.Scope == ScopeAll {
		retryAfter := min(g.maxRetryAfter, map[bool]time.Duration{true: t.Target, false: t.Timeout}[t.LateValue > 0])
		g.host.BusyReply(o.id, retryAfter) // without a late value, a retry is of no use before the op timeout
		if !o.failsEverywhere {
			g.expectRetry(now, o, retryAfter)
		}
	} else {
		g.host.Error(o.id)
	}
	g.closeOp(o)
}

// latestUsefulSend returns the latest time at which sending the op can still earn any of its value.
func (g *Gateway) latestUsefulSend(o *op) time.Duration {
	end := o.targetEnd
	if o.opType.LateValue > 0 {
		end = o.clientLeavesAt
	}
	return min(min(end, o.clientLeavesAt)-o.opType.meanAnswerTime(), o.clientLeavesAt-2*g.tick)
}

// reasonToGiveUp returns why an op cannot be answered any more, or NoReason if it still can.
func (g *Gateway) reasonToGiveUp(now time.Duration, o *op) Reason {
	switch {
	case o.failsEverywhere:
		return ReasonFailsEverywhere
	case len(o.group.members) == 0:
		return ReasonNoServers
	case now >= g.latestAllowedSend(o):
		return ReasonNoSendAllowed
	case now >= g.latestUsefulSend(o):
		return ReasonNoTimeLeft
	}
	return NoReason
}
