//go:build debug

package invariant

import "testing"

func TestFailedCheckPanicsInDebugBuild(t *testing.T) {
	defer func() {
		if got := recover(); got != "assertion failed: is false" {
			t.Errorf("got panic value %v, want the text with the prefix \"assertion failed: \"", got)
		}
	}()
	Check(false, "is false")
}
