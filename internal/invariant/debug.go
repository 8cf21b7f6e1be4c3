//go:build debug

package invariant

func fail(text string) { panic("assertion failed: " + text) }
