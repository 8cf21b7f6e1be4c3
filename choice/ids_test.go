package choice

import (
	"testing"
	"time"
)

func TestIDsOfOpsThatMayHaveRunAreRefusedForBoundedTime(t *testing.T) {
	g := NewIDGuard()
	if !g.Claim(0, 1) || g.Claim(0, 1) {
		t.Error("got the id of an open op taken twice")
	}
	g.Release(0, 1, NonRetryable, true)
	if g.Claim(spentIDTime-1, 1) || !g.Claim(spentIDTime, 1) {
		t.Errorf("got the id taken again before %v, or not then", spentIDTime)
	}
	for n := uint64(2); n < maxSpentIDs+3; n++ {
		g.Claim(time.Hour, n)
		g.Release(time.Hour, n, Tokened, true)
	}
	if len(g.spent) != maxSpentIDs || len(g.order) != maxSpentIDs || !g.Claim(time.Hour, 2) || g.Claim(time.Hour, 3) {
		t.Errorf("got %d ids kept, want the latest %d", len(g.spent), maxSpentIDs)
	}
	for _, effect := range []Effect{Retryable, NonRetryable} {
		id := uint64(1<<40) + uint64(effect)
		g.Claim(time.Hour, id)
		g.Release(time.Hour, id, effect, effect == Retryable)
		if !g.Claim(time.Hour, id) {
			t.Error("got the id of an op refused that may run again")
		}
	}
}
