package exchange

import (
	"testing"
	"time"
)

func TestFromUnixIsRelativeToStart(t *testing.T) {
	c := StartClock()
	at, ok := c.FromUnix(time.Now().Add(time.Minute).UnixMilli())
	if off := at - c.Now() - time.Minute; !ok || off > 0 || off < -time.Second {
		t.Errorf("got a time that is off by %v, want at most 1s too early", off)
	}
	for _, ms := range []int64{0, -1, 1 << 43, 1<<63 - 1} {
		if at, ok := c.FromUnix(ms); ok {
			t.Errorf("FromUnix(%d): got %v, want not ok", ms, at)
		}
	}
	if c.Time(time.Hour).Sub(c.Time(0)) != time.Hour {
		t.Error("Time(1h) is not an hour after Time(0)")
	}
}
