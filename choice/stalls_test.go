package choice

import (
	"testing"
	"time"
)

func TestStallIsNoticedByMissingHeartbeat(t *testing.T) {
	var w StallWatch
	if got := w.Latest(time.Hour); got != (Stall{}) {
		t.Errorf("without a heartbeat: got %+v, want no stall", got)
	}
	for now := 5 * ms; now <= 100*ms; now += 5 * ms {
		w.Beat(now)
	}
	if got := w.Latest(100*ms + shortestStall - 1); got != (Stall{}) {
		t.Errorf("got %+v, want no stall", got)
	}
	want := Stall{From: 100 * ms, To: 900 * ms}
	if got := w.Latest(900 * ms); got != want {
		t.Errorf("before the heartbeat comes again: got %+v, want %+v", got, want)
	}
	w.Beat(900 * ms)
	w.Beat(905 * ms)
	if got := w.Latest(910 * ms); got != want {
		t.Errorf("later: got %+v, want %+v", got, want)
	}
}

// The time of a request that had arrived during a stall was counted from its reading.
func TestInputThatArrivedDuringStallHasItsTimeOfArrival(t *testing.T) {
	stall := Stall{From: 100 * ms, To: 1000 * ms}
	const now = 1010 * ms
	for _, c := range []struct {
		name   string
		now    time.Duration
		origin InputOrigin
		want   InputArrival
	}{
		{"no stall", now, InputOrigin{DrainedAt: 50 * ms, NewestAt: 900 * ms, IsLast: true}, InputArrival{now, now}},
		{"drained since", now, InputOrigin{stall, 1005 * ms, now, true}, InputArrival{now, now}},
		{"one request", now, InputOrigin{stall, 50 * ms, 400 * ms, true}, InputArrival{100 * ms, 400 * ms}},
		{"others behind it", now, InputOrigin{stall, 50 * ms, 400 * ms, false}, InputArrival{100 * ms, 100 * ms}},
		{"new connection", now, InputOrigin{stall, LongPast, now, true}, InputArrival{100 * ms, now}},
		{"drained within it", now, InputOrigin{stall, 300 * ms, 900 * ms, true}, InputArrival{300 * ms, 900 * ms}},
		{"long before", 1000*ms + stallRelevance, InputOrigin{stall, 50 * ms, 400 * ms, true},
			InputArrival{1000*ms + stallRelevance, 1000*ms + stallRelevance}},
	} {
		if got := c.origin.Arrival(c.now); got != c.want {
			t.Errorf("%s: got %+v, want %+v", c.name, got, c.want)
		}
	}
}
