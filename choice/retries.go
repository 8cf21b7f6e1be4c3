package choice

// Clients' retries, which count from their first try.

import (
	"slices"
	"time"
)

// expectRetry records that the client of an op that ended unanswered will likely retry it.
func (g *Gateway) expectRetry(now time.Duration, o *op, retryAfter time.Duration) {
	o.endedAt, o.retryFrom = now, now+retryAfter
	g.expectedRetries = append(g.expectedRetries[max(0, len(g.expectedRetries)-maxExpectedRetries+1):], o)
}

// matchRetry looks for an earlier try of an op among the expected retries. If there is one, the op's latency target and
// op timeout count from the first try.
//
// An earlier try matches if its op timeout has not passed and if it has the same op type, group and session. That is
// enough for an op that its client marked as a retry and, where clients do not mark retries, for an op with a session.
// Where they do not, an op without a session must also arrive soon after the earlier try ended or soon after the time
// that its busy reply named. Soon means within the mean time between two ops of its type and group, and in the second
// case within a short wait at most. Where clients mark retries, an unmarked op matches none. If several tries match,
// the oldest is used.
//
// A marked retry without a match counts as having a share of its latency target left, see holdDivisor.
func (g *Gateway) matchRetry(now time.Duration, o *op, isRetry bool) {
	o.isRetry = isRetry
	gap, found := o.opType.meanArrivalGap*time.Duration(len(g.groupOrder)), false
	if isRetry {
		o.targetEnd = now + o.opType.Target/holdDivisor
	}
	g.expectedRetries = slices.DeleteFunc(g.expectedRetries, func(e *op) bool {
		matches := !found && now < e.retriesEnd && e.opType == o.opType && e.group == o.group && e.session == o.session &&
			(isRetry || !g.retriesMarked && (e.session != 0 || now < e.endedAt+gap ||
				now >= e.retryFrom && now < e.retryFrom+min(gap, g.shortWait)))
		if matches {
			found, o.isRetry, o.targetEnd, o.retriesEnd = true, true, e.targetEnd, e.retriesEnd
			// If the client left while a server worked on its op, it waits for less time than the op takes and would
			// leave again. So the latency target of its retry counts as missed.
			if e.sends > 0 && e.endedAt < e.targetEnd && e.endedAt-e.sentAt > e.opType.meanAnswerTime()/2 {
				o.targetEnd = now
			}
		}
		return matches || now >= e.retriesEnd
	})
}
