// Command adapter runs the decision modules of many gateways for the simulator. It reads events from standard input and
// writes actions to standard output.
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
