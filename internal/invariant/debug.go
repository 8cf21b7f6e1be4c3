//go:build debug

package invariant

func fail(text string) { panic("broken: " + text) }
