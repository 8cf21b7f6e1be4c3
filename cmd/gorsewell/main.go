// Command gorsewell is the gateway. It accepts ops from clients on a socket and sends each to a database server.
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

// Exit codes. All commands of this project use them.
const (
	exitFailure = 1 // the command could not run
	exitUsage   = 2 // invalid arguments or an invalid file
)

// usageError is an error in the arguments or in a file, as opposed to one of the environment.
type usageError struct{ error }

func main() { os.Exit(execute(os.Args[1:])) }

// execute runs the command and returns its exit code.
func execute(args []string) int {
	root := rootCommand()
	root.SetArgs(args)
	err := root.Execute()
	if err == nil {
		return 0
	}
	var problems yamlfile.Problems
	switch {
	case errors.As(err, &problems): // printed without a prefix, so that editors can parse FILE:LINE
		fmt.Fprintln(os.Stderr, problems)
		return exitUsage
	case errors.As(err, new(usageError)):
		fmt.Fprintln(os.Stderr, "gorsewell:", err)
		return exitUsage
	}
	fmt.Fprintln(os.Stderr, "gorsewell:", err)
	return exitFailure
}

// settingsVariable is the environment variable with the path of the settings file. The flag --config overrides it.
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
		Long:          "Without a sub-command, runs the gateway like `gorsewell run`.",
		Args:          checkArgs(cobra.NoArgs),
		RunE:          start,
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	runCommand := &cobra.Command{
		Use:     "run",
		Short:   "Run the gateway until SIGTERM",
		Long:    "Runs the gateway. The platform's configuration is read from the file at LB_CONFIG. The gateway's own settings are optional.",
		Example: "  LB_CONFIG=gateway.json gorsewell run --config deploy/gorsewell.yaml",
		Args:    checkArgs(cobra.NoArgs),
		RunE:    start,
	}
	for _, c := range []*cobra.Command{root, runCommand} {
		c.Flags().StringVar(&path, "config", "",
			"YAML file with the gateway's own settings; if empty, the value of "+settingsVariable+", if any")
	}
	root.AddCommand(runCommand, checkCommand(), keysCommand(), versionCommand())
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

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "check FILE",
		Short:   "Check a settings file and report all its problems",
		Long:    "Checks a settings file and prints one line for each problem, with file, line and key. The exit code is 2 if there are any.",
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
			goVersion := "unknown Go"
			if info, ok := debug.ReadBuildInfo(); ok {
				goVersion = info.GoVersion
			}
			fmt.Fprintf(c.OutOrStdout(), "gorsewell %s, %s\n", version, goVersion)
		},
	}
}

// version is the version of this source in CHANGELOG.md.
const version = "0.3.0-dev"
