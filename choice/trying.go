package choice

// Sends that look useless by the answer times known.

import (
	"slices"
	"time"
)

// tries limits the sends of one op type that, by the answer times known, can no longer be useful. Only sends change these
// times, so without such tries ops whose clients wait for less would be refused for ever.
type tries struct {
	open      int           // tries without a result
	successes int           // in-time acks of tries since the last failure
	allowedAt time.Duration // after a failure there are none until then
}

// maxOpenTries is how many tries of an op type are open at a time at most.
const maxOpenTries = 64

// mayTry reports whether an op that cannot be useful by the answer times known is sent all the same, for the first time. Ops
// that wait for a server go first. The first try is alone, and each success allows one more at a time. Clients' retries are not
// tried, as their first tries have shown something.
func (g *Gateway) mayTry(now time.Duration, o *op) bool {
	t := &o.opType.tries
	if o.begunSends() > 0 || o.isRetry || slices.ContainsFunc(o.group.held, (*op).waitsForServer) {
		return false
	}
	if now < t.allowedAt || t.open > min(t.successes, maxOpenTries-1) {
		return false
	}
	end := o.targetEnd
	if o.opType.LateValue > 0 {
		end = o.clientLeavesAt
	}
	return now < min(end, o.clientLeavesAt-2*g.tick)
}

// tryBegan records that an op was sent as a try.
func (o *op) tryBegan() {
	o.tried = true
	o.opType.tries.open++
}

// tryEnded records the result of a try. After a failure there is none for a latency target, as the answer times known may be
// right.
func (o *op) tryEnded(now time.Duration, result Result) {
	if !o.tried {
		return
	}
	o.tried = false
	t := &o.opType.tries
	t.open--
	if result == Acked && now < o.clientLeavesAt {
		t.successes++
		return
	}
	if !result.NeverRan() {
		t.successes, t.allowedAt = 0, now+o.opType.Target
	}
}
