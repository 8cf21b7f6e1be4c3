package invariant

import "testing"

func TestWhatHoldsIsNotCounted(t *testing.T) {
	before := Broken()
	if Check(true, "holds"); Broken() != before {
		t.Errorf("%d counted", Broken()-before)
	}
}
