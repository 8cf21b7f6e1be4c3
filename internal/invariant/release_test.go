//go:build !debug

package invariant

import "testing"

func TestFailedCheckIsCountedInReleaseBuild(t *testing.T) {
	before := Broken()
	if Check(false, "is false"); Broken() != before+1 {
		t.Errorf("got %d failures counted, want 1", Broken()-before)
	}
}
