package choice

import (
	"testing"
	"time"
)

// A new process sent to a server that had begun to drain before its start for as long as discovery was slow.
func TestCachedListIsUsedUntilGraceIsOver(t *testing.T) {
	const grace = time.Second
	for _, c := range []struct {
		name  string
		limit time.Duration
		scope ListScope // what discovery tells after the grace
		until time.Duration
	}{
		{"answered", grace, ListFull, 1500 * ms},
		{"failed", grace, ListFailed, 1500 * ms},
		{"changes only", grace, ListChanges, 1500 * ms},
		{"no limit", 0, ListFull, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			g, h := newTestGateway(func(d *Deployment) { d.CachedListTime = c.limit })
			submitOp(g, 100*ms, 1, freshRead)
			wantActions(t, h, "send 1 to 1")
			if c.limit > 0 && (h.beginBy > grace || h.beginBy < grace-50*ms) {
				t.Errorf("got a send that may begin until %v, want about %v", h.beginBy, grace)
			}
			g.Answer(110*ms, 1, 0, 1, Acked, 10*ms, true, Primary, LongPast)
			submitOp(g, grace, 2, freshRead)
			if c.limit == 0 {
				wantActions(t, h, "send 2 to 1")
				return
			}
			wantActions(t, h)
			submitOp(g, c.until, 3, freshRead) // without a stall of the gateway
			wantActions(t, h)
			listed := []Listed{{ID: 1, State: Ready, Primary: true, Started: LongPast}, {ID: 2, State: Ready, Started: LongPast},
				{ID: 3, State: Draining, Started: LongPast}}
			if c.scope == ListFailed {
				listed = nil
			}
			g.List(c.until, c.scope, listed)
			h.actions = nil
			g.Timer(c.until, 0)
			if len(h.actions) == 0 {
				t.Error("got no send, want the held ops sent once discovery has answered or failed")
			}
		})
	}
}
