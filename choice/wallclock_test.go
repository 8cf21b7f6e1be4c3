package choice

import (
	"testing"
	"time"
)

// A clock that was wrong when the process started let bounded reads see no fresh replica, and cold servers look warm, for
// the whole life of the process.
func TestWrongWallClockIsNoticedFromPrimaries(t *testing.T) {
	const took = 20 * ms
	position := func(wrongBy time.Duration) func(now time.Duration) time.Duration {
		return func(now time.Duration) time.Duration { return now - took/2 + wrongBy }
	}
	for name, c := range map[string]struct {
		position  func(now time.Duration) time.Duration
		corrected time.Duration // 0: not at all
	}{
		"right":             {position(0), 0},
		"a little late":     {position(-200 * ms), 0},
		"an hour behind":    {position(time.Hour), -time.Hour},
		"an hour ahead":     {position(-time.Hour), time.Hour},
		"two seconds ahead": {position(-2 * time.Second), 2 * time.Second},
		"position stands":   {func(time.Duration) time.Duration { return -2 * time.Second }, 0},
		"one in three is wrong": {func(now time.Duration) time.Duration {
			if now/(50*ms)%3 == 0 {
				return now - time.Hour
			}
			return now
		}, 0},
	} {
		var w WallClockCheck
		corrected := time.Duration(0)
		for now := time.Duration(0); now < 10*time.Second; now += 50 * ms {
			corrected += w.Observe(now, now-took, c.position(now)+corrected)
		}
		if off := (corrected - c.corrected).Abs(); off > took {
			t.Errorf("%s: got a correction of %v, want %v", name, corrected, c.corrected)
		}
	}
}

func TestCorrectionOfWallClockMovesWhatWasConverted(t *testing.T) {
	const wrongBy = time.Hour // the clock is ahead: all that others tell looks an hour older than it is
	g, h := newTestGateway(nil)
	started := Listed{ID: 4, State: Ready, Started: time.Second - wrongBy}
	g.List(2*time.Second, ListChanges, []Listed{started})
	s := g.servers[4]
	s.position = 2*time.Second - wrongBy
	if g.capacityShare(2*time.Second, s) < 1 {
		t.Fatal("the server does not look warm")
	}
	g.lastTimerAt = 2 * time.Second
	g.WallClockCorrected(wrongBy)
	if share := g.capacityShare(2*time.Second, s); share > 0.5 || s.position != 2*time.Second || g.servers[2].position != wrongBy {
		t.Errorf("got a capacity share of %v and positions %v and %v", share, s.position, g.servers[2].position)
	}
	started.Started += wrongBy
	h.withdrawn = nil
	if g.List(2*time.Second, ListChanges, []Listed{started}); len(h.withdrawn) > 0 {
		t.Error("the server was taken for a restarted one")
	}
}
