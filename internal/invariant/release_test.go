//go:build !debug

package invariant

import "testing"

func TestAReleaseBuildCounts(t *testing.T) {
	before := Broken()
	if Check(false, "is false"); Broken() != before+1 {
		t.Errorf("%d counted", Broken()-before)
	}
}
