package choice

import (
	"testing"
	"time"
)

// playWaits plays ops of one client and type after the other, each with the same wait, on servers that answer after some
// time. It returns how many were sent and how many acked in time.
func playWaits(g *Gateway, h *recordingHost, opType uint8, from, wait, answerTime time.Duration, count int) (sent, acked int) {
	now := from
	for n := range uint32(count) {
		id := uint32(from) + n
		g.lastTimerAt = now
		h.actions = nil
		g.Op(now, Arrival{ID: id, OpType: opType, ClientLeavesAt: now + wait})
		if o := g.ops[id]; o != nil && o.sentTo != nil {
			sent++
			if server := o.sentTo.id; answerTime <= wait {
				acked++
				g.Answer(now+answerTime, id, 0, server, Acked, answerTime, true, RoleUnknown, LongPast)
			} else {
				g.Answer(now+wait, id, 0, server, TimedOut, wait, false, RoleUnknown, LongPast)
			}
		}
		now += wait + 50*ms
	}
	return sent, acked
}

// Requests with short waits were refused for ever by an idle gateway of healthy servers: a quarter of the latency target stood
// for answer times of which nothing was known, and only sends could change that.
func TestShortWaitsAreServedByHealthyServers(t *testing.T) {
	const target, count = 2 * time.Second, 40
	for _, opType := range []uint8{anyRead, writeTokened, writeNonRetryable} {
		for _, wait := range []time.Duration{30 * ms, 100 * ms, 217 * ms, 245 * ms, 300 * ms, 400 * ms, 800 * ms} {
			for _, answersBefore := range []time.Duration{0, ms, 700 * ms} {
				g, h := newTestGateway(func(d *Deployment) { d.OpTypes[opType].Target = target })
				start := time.Second
				if answersBefore > 0 { // others have learnt these times
					playWaits(g, h, opType, start, time.Second, answersBefore, 30)
					start = time.Minute
				}
				if _, acked := playWaits(g, h, opType, start, wait, ms, count); acked < count-3 {
					t.Errorf("type %d, wait %v, answers before took %v: got %d of %d acked", opType, wait, answersBefore, acked, count)
				}
			}
		}
	}
}

// While servers take longer than clients wait, tries cost one send for each latency target.
func TestTriesThatFailAreFew(t *testing.T) {
	const wait, count = 100 * ms, 400
	g, h := newTestGateway(nil)
	sent, _ := playWaits(g, h, anyRead, time.Second, wait, 300*ms, count)
	elapsed := count * (wait + 50*ms)
	if most := int(elapsed/g.opTypes[anyRead].Target) + 1; sent > most || sent < most/2 {
		t.Errorf("got %d tries in %v, want at most %d", sent, elapsed, most)
	}
}

// Ops that wait for a server go before tries.
func TestNothingIsTriedWhileOpsAreHeld(t *testing.T) {
	g, h := newTestGateway(nil)
	for _, s := range g.servers {
		s.limit = 0
	}
	submitOp(g, 0, 1, anyRead)
	g.servers[3].limit = 8
	g.Op(ms, Arrival{ID: 2, OpType: anyRead, ClientLeavesAt: 50 * ms})
	wantActions(t, h, "busy 2")
}
