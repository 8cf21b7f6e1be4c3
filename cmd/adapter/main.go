// Command adapter runs many gateways' decision modules on the bench's wire.
package main

import (
	"fmt"
	"os"

	"gorsewell/internal/simwire"
)

func main() {
	if err := simwire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}
