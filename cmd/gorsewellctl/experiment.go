package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"gorsewell/internal/experiment"
)

func experimentCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "experiment",
		Short: "Run experiments in the emulator and print their results",
		Args:  checkArgs(cobra.NoArgs),
		RunE: func(*cobra.Command, []string) error {
			return usageError{errors.New("expected a sub-command of experiment: run or metrics")}
		},
	}
	c.AddCommand(experimentRun(), experimentMetrics())
	return c
}

func experimentRun() *cobra.Command {
	var o experiment.Options
	var asJSON bool
	c := &cobra.Command{
		Use:   "run FILE",
		Short: "Run every arm of an experiment with every seed",
		Long: "Runs every arm of an experiment with every seed, in parallel on all cores, and prints the metrics with their intervals.\n" +
			"The same file and seeds give the same results on any machine. An experiment that was interrupted resumes where it stopped\n" +
			"if --out names the same folder. Exit code 3: the experiment ran, and an expectation was not met.",
		Example: "  gorsewellctl experiment run experiments/gossip-faults.yaml --out /tmp/faults\n" +
			"  gorsewellctl experiment run experiments/gossip-liars.yaml --seeds 3 --json",
		Args: checkArgs(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			e, err := experiment.Load(args[0])
			if err != nil {
				return err
			}
			if isTerminal(os.Stderr) {
				o.Progress = func(done, total int) {
					fmt.Fprintf(os.Stderr, "\r%s: %d of %d runs ", e.Name, done, total)
				}
			}
			r, err := e.Run(c.Context(), o)
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
	c.Flags().StringVar(&o.Out, "out", "", "folder to write the result, its table, its charts and the runs to")
	c.Flags().IntVar(&o.Seeds, "seeds", 0, "number of seeds; the file's if 0")
	c.Flags().Uint64Var(&o.SeedFrom, "seed-from", 0, "first seed; the file's if 0")
	c.Flags().IntVar(&o.Workers, "workers", 0, "number of parallel runs; one per core if 0")
	c.Flags().BoolVar(&asJSON, "json", false, "print the result as one JSON object instead of tables")
	return c
}

func experimentMetrics() *cobra.Command {
	return &cobra.Command{
		Use:   "metrics",
		Short: "List the metrics for expectations and charts",
		Args:  checkArgs(cobra.NoArgs),
		Run: func(c *cobra.Command, _ []string) {
			for _, m := range experiment.MetricDocs() {
				fmt.Fprintf(c.OutOrStdout(), "%-22s %s\n", m[0], m[1])
			}
		},
	}
}
