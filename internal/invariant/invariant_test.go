package invariant

import "testing"

func TestPassedCheckIsNotCounted(t *testing.T) {
	before := Broken()
	if Check(true, "holds"); Broken() != before {
		t.Errorf("got %d failures counted, want 0", Broken()-before)
	}
}
