package main

import (
	"fmt"
	"testing"
	"time"

	"gorsewell/internal/standin"
)

// Requests with short waits were all refused by an idle gateway of healthy servers.
func TestShortWaitsAreServed(t *testing.T) {
	for _, wait := range []time.Duration{30, 100, 217, 400, 800} {
		_, addr, out, _ := startGateway(t, func(role, _ string) ([]byte, bool) {
			time.Sleep(time.Millisecond)
			return standin.Row("v", role, time.Now().UnixMilli()), true
		})
		c, err := standin.Dial(addr)
		if err != nil {
			t.Fatal(err)
		}
		const count = 30
		served := 0
		for n := range count {
			if got, err := c.Query(fmt.Sprintf("SELECT data FROM facts WHERE code = 'k' /* id=%d,c=lookup,d=%d,cluster=0 */", n, wait)); err != nil {
				t.Fatal(err)
			} else if got == "v" {
				served++
			}
		}
		t.Logf("wait %d ms: %d of %d served", wait, served, count)
		if served < count-3 {
			t.Errorf("wait %d ms: got %d of %d served; log %s", wait, served, count, out)
		}
	}
}
