// Package invariant states what must hold. A build with the tag debug panics where it does not; any other
// build counts it.
package invariant

import "sync/atomic"

var broken atomic.Int64

// Broken tells how many assertions did not hold so far.
func Broken() int64 { return broken.Load() }

// Check asserts that what the text says holds.
func Check(holds bool, text string) {
	if !holds {
		broken.Add(1)
		fail(text)
	}
}
