package exchange

import (
	"sync"
	"sync/atomic"
	"time"

	"gorsewell/choice"
)

// Past is a time in the distant past: as the deadline of a connection it makes pending reads and writes return at once.
var Past = time.Unix(1, 0)

// Clock measures the time since the gateway's start. It reads the wall clock only once, so that steps of the wall clock
// have no effect. If the wall clock was wrong then, Correct makes up for it. It also notices when the process stood still.
// Copies of a Clock share the correction and what was noticed.
type Clock struct {
	start time.Time

	// stalls is nil in the zero value only.
	stalls *stalls

	// correction is added to times converted by FromUnix, in nanoseconds.
	correction *atomic.Int64
}

// StartClock returns a Clock that starts now.
func StartClock() Clock {
	return Clock{start: time.Now(), stalls: &stalls{}, correction: &atomic.Int64{}}
}

// stalls is a StallWatch for several goroutines.
type stalls struct {
	mu    sync.Mutex
	watch choice.StallWatch
}

// Beat records that the process runs. It has to be called every few milliseconds.
func (c Clock) Beat() {
	c.stalls.mu.Lock()
	defer c.stalls.mu.Unlock()
	c.stalls.watch.Beat(c.Now())
}

// LatestStall returns the latest time in which the process stood still, or the zero value.
func (c Clock) LatestStall() choice.Stall {
	c.stalls.mu.Lock()
	defer c.stalls.mu.Unlock()
	return c.stalls.watch.Latest(c.Now())
}

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
