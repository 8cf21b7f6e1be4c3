package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"gorsewell/internal/experiment"
)

func experimentCommand() *cobra.Command {
	all := &cobra.Command{
		Use:   "experiment",
		Short: "Play experiments in the emulator and tell what came of them",
		Args:  checkArgs(cobra.NoArgs),
		RunE: func(*cobra.Command, []string) error {
			return usageError{errors.New("experiment needs one of run and metrics")}
		},
	}
	all.AddCommand(experimentRun(), experimentMetrics())
	return all
}

func experimentRun() *cobra.Command {
	var o experiment.Options
	var asJSON bool
	c := &cobra.Command{
		Use:   "run FILE",
		Short: "Play an experiment: every arm with every seed",
		Long: "Plays every arm of an experiment with every seed, runs side by side on all cores, and tells the figures with their intervals.\n" +
			"The same file and seeds give the same figures on any machine. A play that was interrupted goes on where it stopped, if it is\n" +
			"given the same folder. Exit code 3: it ran, and an expectation fell short.",
		Example: "  gorsewellctl experiment run experiments/gossip-faults.yaml --out /tmp/faults\n" +
			"  gorsewellctl experiment run experiments/gossip-liars.yaml --seeds 3 --json",
		Args: checkArgs(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			e, err := experiment.Load(args[0])
			if err != nil {
				return err
			}
			if isTerminal(os.Stderr) {
				o.Progress = func(done, all int) { fmt.Fprintf(os.Stderr, "\r%s: %d of %d runs ", e.Name, done, all) }
			}
			r, err := e.Play(c.Context(), o)
			if o.Progress != nil {
				fmt.Fprintln(os.Stderr)
			}
			if err != nil {
				return err
			}
			if asJSON {
				c.OutOrStdout().Write(r.JSON())
			} else {
				fmt.Fprint(c.OutOrStdout(), r.Table())
			}
			if !r.Holds() {
				return errExpectationFailed
			}
			return nil
		},
	}
	c.Flags().StringVar(&o.Out, "out", "", "folder for the result, its table, its charts and the runs")
	c.Flags().IntVar(&o.Seeds, "seeds", 0, "number of seeds, instead of the file's")
	c.Flags().Uint64Var(&o.SeedFrom, "seed-from", 0, "first seed, instead of the file's")
	c.Flags().IntVar(&o.Workers, "workers", 0, "runs at a time; all cores if 0")
	c.Flags().BoolVar(&asJSON, "json", false, "print one object instead of tables")
	return c
}

func experimentMetrics() *cobra.Command {
	return &cobra.Command{
		Use:   "metrics",
		Short: "List the metrics that expectations and charts can name",
		Args:  checkArgs(cobra.NoArgs),
		Run: func(c *cobra.Command, _ []string) {
			for _, m := range experiment.MetricDocs() {
				fmt.Fprintf(c.OutOrStdout(), "%-22s %s\n", m[0], m[1])
			}
		},
	}
}
