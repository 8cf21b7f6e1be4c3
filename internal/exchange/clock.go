package exchange

import (
	"sync/atomic"
	"time"
)

// Past is a time in the distant past: as the deadline of a connection it makes pending reads and writes return at once.
var Past = time.Unix(1, 0)

// Clock measures the time since the gateway's start. It reads the wall clock only once, so that steps of the wall clock
// have no effect. If the wall clock was wrong then, Correct makes up for it. Copies of a Clock share the correction.
type Clock struct {
	start time.Time

	// correction is added to times converted by FromUnix, in nanoseconds.
	correction *atomic.Int64
}

// StartClock returns a Clock that starts now.
func StartClock() Clock { return Clock{time.Now(), &atomic.Int64{}} }

// Correct adds to all times that FromUnix returns from now on.
func (c Clock) Correct(by time.Duration) { c.correction.Add(int64(by)) }

// Now returns the time since the start.
func (c Clock) Now() time.Duration { return time.Since(c.start) }

// Time returns the wall-clock time that corresponds to a time since the start.
func (c Clock) Time(at time.Duration) time.Time { return c.start.Add(at) }

// FromUnix converts a Unix time in milliseconds to a time since the start. ok is false for values that cannot be valid:
// zero or negative ones, and those from 1<<43 on, which a time.Duration cannot hold.
func (c Clock) FromUnix(ms int64) (at time.Duration, ok bool) {
	if ms <= 0 || ms >= 1<<43 {
		return 0, false
	}
	sinceStart := time.Duration(ms)*time.Millisecond - time.Duration(c.start.UnixNano())
	return sinceStart + time.Duration(c.correction.Load()), true
}
