// Command gorsewellctl contains tools for operators. It runs experiments in the emulator and load tests over sockets.
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

// Exit codes. All commands of this project use them.
const (
	exitFailure           = 1 // the command could not run
	exitUsage             = 2 // invalid arguments or an invalid file
	exitExpectationFailed = 3 // the experiment ran, and an expectation was not met
)

// usageError is an error in the arguments or in a file, as opposed to one of the environment.
type usageError struct{ error }

// errExpectationFailed means that the experiment ran, and that at least one of its expectations was not met.
var errExpectationFailed = errors.New("at least one expectation was not met")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	os.Exit(execute(ctx, os.Args[1:]))
}

// execute runs the command and returns its exit code.
func execute(ctx context.Context, args []string) int {
	root := rootCommand()
	root.SetArgs(args)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return 0
	}
	var problems yamlfile.Problems
	switch {
	case errors.As(err, &problems): // printed without a prefix, so that editors can parse FILE:LINE
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
		Short:         "Tools for gorsewell: experiments in the emulator and load tests",
		Args:          checkArgs(cobra.NoArgs),
		RunE:          func(c *cobra.Command, _ []string) error { return c.Help() },
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	root.AddCommand(experimentCommand(), loadCommand())
	return root
}

// checkArgs returns a check of arguments whose errors are of type usageError.
func checkArgs(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if err := check(c, args); err != nil {
			return usageError{err}
		}
		return nil
	}
}

// isTerminal reports whether a file is a terminal, on which a progress line can be overwritten.
func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
