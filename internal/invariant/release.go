//go:build !debug

package invariant

import "log"

func fail(text string) { log.Printf("event=broken what=%q", text) }
