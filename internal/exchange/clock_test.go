package exchange

import (
	"testing"
	"time"
)

func TestUnixTimesBecomeSpans(t *testing.T) {
	c := StartClock()
	at, ok := c.FromUnix(time.Now().Add(time.Minute).UnixMilli())
	if off := at - c.Now() - time.Minute; !ok || off > 0 || off < -time.Second {
		t.Errorf("off by %v", off)
	}
	for _, ms := range []int64{0, -1, 1 << 43, 1<<63 - 1} {
		if at, ok := c.FromUnix(ms); ok {
			t.Errorf("%d became %v", ms, at)
		}
	}
	if c.Time(time.Hour).Sub(c.Time(0)) != time.Hour {
		t.Error("spans are not kept")
	}
}
