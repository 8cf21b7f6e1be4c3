// Command gorsewell is the gateway: it takes ops from clients on a socket and carries each to a database server.
package main

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/spf13/cobra"

	"gorsewell/internal/config"
	"gorsewell/internal/yamlfile"
)

// The exit codes of all commands of this project.
const (
	exitFailure = 1
	exitUsage   = 2
)

// badUsage marks an error as one of what was typed or written, not of the surroundings.
type usageError struct{ error }

func main() { os.Exit(execute(os.Args[1:])) }

// execute runs the command and gives its exit code.
func execute(args []string) int {
	root := rootCommand()
	root.SetArgs(args)
	err := root.Execute()
	if err == nil {
		return 0
	}
	var problems yamlfile.Problems
	switch {
	case errors.As(err, &problems): // a line each, which an editor can follow
		fmt.Fprintln(os.Stderr, problems)
		return exitUsage
	case errors.As(err, new(usageError)):
		fmt.Fprintln(os.Stderr, "gorsewell:", err)
		return exitUsage
	}
	fmt.Fprintln(os.Stderr, "gorsewell:", err)
	return exitFailure
}

// settingsVariable names the settings where the flag does not.
const settingsVariable = "GORSEWELL_CONFIG"

func rootCommand() *cobra.Command {
	var path string
	start := func(*cobra.Command, []string) error {
		if path == "" {
			path = os.Getenv(settingsVariable)
		}
		settings, err := config.Load(path)
		if err != nil {
			return err
		}
		return run(path, settings)
	}
	root := &cobra.Command{
		Use:           "gorsewell",
		Short:         "A gateway that spreads reads over database replicas so that no session outruns its own writes",
		Long:          "Without a sub-command it runs the gateway, as `gorsewell run` does.",
		Args:          checkArgs(cobra.NoArgs),
		RunE:          start,
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	runs := &cobra.Command{
		Use:     "run",
		Short:   "Run the gateway until SIGTERM",
		Long:    "Runs the gateway. The platform's surroundings are read from LB_CONFIG; settings of our own are optional.",
		Example: "  LB_CONFIG=gateway.json gorsewell run --config deploy/gorsewell.yaml",
		Args:    checkArgs(cobra.NoArgs),
		RunE:    start,
	}
	for _, c := range []*cobra.Command{root, runs} {
		c.Flags().StringVar(&path, "config", "", "YAML file of our own settings; else "+settingsVariable+" names it, else there are none")
	}
	root.AddCommand(runs, checkCommand(), keysCommand(), versionCommand())
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

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "check FILE",
		Short:   "Check a file of settings and tell all that is wrong with it",
		Long:    "Checks a file of settings. Each problem is one line with file, line and key; the exit code is then 2.",
		Example: "  gorsewell check deploy/gorsewell.yaml",
		Args:    checkArgs(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			if _, err := config.Load(args[0]); err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%s: ok\n", args[0])
			return nil
		},
	}
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  checkArgs(cobra.NoArgs),
		Run: func(c *cobra.Command, _ []string) {
			built := "unknown Go"
			if info, ok := debug.ReadBuildInfo(); ok {
				built = info.GoVersion
			}
			fmt.Fprintf(c.OutOrStdout(), "gorsewell %s, %s\n", version, built)
		},
	}
}

// version is what CHANGELOG.md calls the text that this was built from.
const version = "0.3.0-dev"
