//go:build debug

package invariant

import "testing"

func TestADebugBuildPanics(t *testing.T) {
	defer func() {
		if got := recover(); got != "broken: is false" {
			t.Errorf("panicked with %v", got)
		}
	}()
	Check(false, "is false")
}
