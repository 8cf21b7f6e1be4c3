package exchange

import "time"

// Clock counts spans since the gateway's start. The wall clock is read once, so that a step of it moves nothing.
type Clock struct{ start time.Time }

// StartClock starts a clock now.
func StartClock() Clock { return Clock{time.Now()} }

// Now is the span since the start.
func (c Clock) Now() time.Duration { return time.Since(c.start) }

// Time is the moment at which the clock shows the span.
func (c Clock) Time(at time.Duration) time.Time { return c.start.Add(at) }

// FromUnix is the span at a Unix time.
func (c Clock) FromUnix(at time.Duration) time.Duration {
	return at - time.Duration(c.start.UnixNano())
}
