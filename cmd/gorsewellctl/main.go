// Command gorsewellctl holds the operators' tools: emulated days and experiments, and load on sockets.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"gorsewell/internal/yamlfile"
)

// The exit codes of all commands of this project.
const (
	exitFailure           = 1
	exitUsage             = 2
	exitExpectationFailed = 3
)

// badUsage marks an error as one of what was typed or written, not of the surroundings.
type usageError struct{ error }

// errShort says that all ran and something that was expected did not come.
var errExpectationFailed = errors.New("an expectation fell short")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	os.Exit(execute(ctx, os.Args[1:]))
}

// execute runs the command and gives its exit code.
func execute(ctx context.Context, args []string) int {
	root := rootCommand()
	root.SetArgs(args)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return 0
	}
	var problems yamlfile.Problems
	switch {
	case errors.As(err, &problems): // a line each, which an editor can follow
		fmt.Fprintln(os.Stderr, problems)
		return exitUsage
	case errors.Is(err, errExpectationFailed):
		fmt.Fprintln(os.Stderr, "gorsewellctl:", err)
		return exitExpectationFailed
	case errors.As(err, new(usageError)):
		fmt.Fprintln(os.Stderr, "gorsewellctl:", err)
		return exitUsage
	}
	fmt.Fprintln(os.Stderr, "gorsewellctl:", err)
	return exitFailure
}

func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "gorsewellctl",
		Short:         "Tools around gorsewell: emulated days, experiments, load",
		Args:          checkArgs(cobra.NoArgs),
		RunE:          func(c *cobra.Command, _ []string) error { return c.Help() },
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	root.AddCommand(experimentCommand(), loadCommand())
	return root
}

// usage marks what a check of arguments finds as bad usage.
func checkArgs(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if err := check(c, args); err != nil {
			return usageError{err}
		}
		return nil
	}
}

// terminal tells whether progress can be written over itself.
func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
