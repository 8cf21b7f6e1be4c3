// Package invariant checks assertions. A build with the tag debug panics when an assertion fails; any other build
// counts and logs the failure.
package invariant

import "sync/atomic"

var broken atomic.Int64

// Broken returns the number of assertions that have failed so far.
func Broken() int64 { return broken.Load() }

// Check asserts that the condition, which the text describes, is true.
func Check(condition bool, text string) {
	if !condition {
		broken.Add(1)
		fail(text)
	}
}
