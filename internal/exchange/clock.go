package exchange

import "time"

// Past is a time long gone: as a connection's time limit it ends what waits there at once.
var Past = time.Unix(1, 0)

// Clock counts spans since the gateway's start. The wall clock is read once, so that a step of it moves nothing.
type Clock struct{ start time.Time }

// StartClock starts a clock now.
func StartClock() Clock { return Clock{time.Now()} }

// Now is the span since the start.
func (c Clock) Now() time.Duration { return time.Since(c.start) }

// Time is the moment at which the clock shows the span.
func (c Clock) Time(at time.Duration) time.Time { return c.start.Add(at) }

// FromUnix is the span at a Unix time in milliseconds. It is false for times that cannot be meant: none at all, or past
// what a span can hold.
func (c Clock) FromUnix(ms int64) (at time.Duration, ok bool) {
	if ms <= 0 || ms >= 1<<43 {
		return 0, false
	}
	return time.Duration(ms)*time.Millisecond - time.Duration(c.start.UnixNano()), true
}
