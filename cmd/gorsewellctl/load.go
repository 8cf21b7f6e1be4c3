package main

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"gorsewell/internal/experiment"
	"gorsewell/internal/loopback"
)

func loadCommand() *cobra.Command {
	var arm, program, logDir string
	var seed uint64
	var warmUp time.Duration
	var asJSON bool
	c := &cobra.Command{
		Use:   "load FILE",
		Short: "Run an arm of an experiment over sockets on this machine",
		Long: "Runs an arm of an experiment in real time over sockets: stand-in servers, discovery and clients in this process, and one\n" +
			"gateway process for each instance. Clients send ops at times that are fixed in advance, no matter how earlier ops ended (open\n" +
			"loop). Latencies are measured from the intended time of an op; the delay with which this process sent the ops is reported too.",
		Example: "  gorsewellctl load experiments/loopback-gossip.yaml --arm with --program bin/gorsewell",
		Args:    checkArgs(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			e, err := experiment.Load(args[0])
			if err != nil {
				return err
			}
			a := &e.Arms[0]
			if arm != "" {
				if a = e.Arm(arm); a == nil {
					return usageError{fmt.Errorf("--arm %q: %s has no arm of this name", arm, args[0])}
				}
			}
			if a.Decider.Policy != "" && a.Decider.Policy != "module" {
				return usageError{fmt.Errorf("arm %s has policy %q; over sockets only module is supported",
					a.Name, a.Decider.Policy)}
			}
			if _, err := os.Stat(program); err != nil {
				return usageError{fmt.Errorf("--program: %w", err)}
			}
			slog.SetLogLoggerLevel(slog.LevelError) // hides the log lines of gossip instances in this process
			r, err := loopback.Run(c.Context(), loopback.Scenario{World: a.World, Faults: a.Faults,
				Gossip: a.Decider.Gossip, Seed: seed, Program: program, WarmUp: warmUp, LogDir: logDir})
			if err != nil {
				return err
			}
			if asJSON {
				return json.NewEncoder(c.OutOrStdout()).Encode(summarize(a.Name, seed, r))
			}
			printSummary(c.OutOrStdout(), a.Name, seed, r)
			return nil
		},
	}
	c.Flags().StringVar(&arm, "arm", "", "name of the arm; the file's first if empty")
	c.Flags().StringVar(&program, "program", "bin/gorsewell", "the gateway's binary")
	c.Flags().StringVar(&logDir, "keep", "", "folder to keep the gateways' logs in; none are kept if empty")
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the random numbers")
	c.Flags().DurationVar(&warmUp, "warm", 5*time.Second, "time that gateways run before the first op")
	c.Flags().BoolVar(&asJSON, "json", false, "print the result as one JSON object instead of text")
	return c
}

// loadSummary is the result of a run in the form printed with --json.
type loadSummary struct {
	Arm           string                    `json:"arm"`
	Seed          uint64                    `json:"seed"`
	Service       float64                   `json:"service"`           // share of the value of all ops that was earned
	Asked         float64                   `json:"asked"`             // number of ops
	Broken        [5]int64                  `json:"rules_broken"`      // violations of each rule of package choice
	Busy          int64                     `json:"busy"`              // number of busy replies
	Errored       int64                     `json:"errored"`           // number of final errors
	Lost          int64                     `json:"lost_tries"`        // tries that ended without an answer
	Unsent        int64                     `json:"unsent"`            // ops not sent, as too many others were in progress
	Sends         int64                     `json:"sends"`             // ops' attempts at servers
	LatenessP50ms float64                   `json:"lateness_p50_ms"`   // median delay of ops after their intended time
	LatenessP99ms float64                   `json:"lateness_p99_ms"`   // 99th percentile of that delay
	Types         map[string]typeSummary    `json:"types"`             // by the name of the op type
	Gossip        map[string]counterSummary `json:"gossip,omitempty"`  // by the name of the counter
	Stories       []string                  `json:"stories,omitempty"` // descriptions of violations of the rules
}

// typeSummary is the result for one op type.
type typeSummary struct {
	Service float64 `json:"service"` // share of the value of its ops that was earned
	P50ms   float64 `json:"p50_ms"`  // median latency
	P99ms   float64 `json:"p99_ms"`  // 99th percentile of the latency
}

// counterSummary is the sum and the maximum of a counter over all instances that logged it.
type counterSummary struct {
	Sum int64 `json:"sum"`
	Max int64 `json:"most"`
}

// summarize summarizes the result of a run.
func summarize(arm string, seed uint64, r *loopback.Result) loadSummary {
	d := loadSummary{Arm: arm, Seed: seed, Service: r.Service(), Asked: r.Asked, Broken: r.Broken, Busy: r.Busy,
		Errored: r.Errored, Lost: r.Lost, Unsent: r.Unsent, Sends: r.Sends,
		LatenessP50ms: float64(r.Lateness.ValueAtQuantile(50)) / 1000,
		LatenessP99ms: float64(r.Lateness.ValueAtQuantile(99)) / 1000,
		Types:         map[string]typeSummary{}, Stories: r.Stories, Gossip: map[string]counterSummary{}}
	for _, t := range r.Types {
		service := 1.0
		if t.Value > 0 {
			service = t.Earned / t.Value
		}
		d.Types[t.Name] = typeSummary{service, float64(t.Latency.ValueAtQuantile(50)) / 1000,
			float64(t.Latency.ValueAtQuantile(99)) / 1000}
	}
	for _, log := range r.CounterLogs {
		for line := range strings.Lines(log) {
			if !strings.Contains(line, "event=gossip_counters") {
				continue
			}
			for _, field := range strings.Fields(line) {
				name, value, _ := strings.Cut(field, "=")
				var n int64
				if _, err := fmt.Sscanf(value, "%d", &n); err == nil && name != "time" {
					s := d.Gossip[name]
					d.Gossip[name] = counterSummary{s.Sum + n, max(s.Max, n)}
				}
			}
		}
	}
	return d
}

// printSummary prints the result of a run as text.
func printSummary(w io.Writer, arm string, seed uint64, r *loopback.Result) {
	d := summarize(arm, seed, r)
	fmt.Fprintf(w, "arm %s, seed %d: %.0f ops, service %.4f, rules broken %v\n",
		d.Arm, d.Seed, d.Asked, d.Service, d.Broken)
	fmt.Fprintf(w, "busy replies %d, errors %d, tries without an answer %d, sends %d\n",
		d.Busy, d.Errored, d.Lost, d.Sends)
	fmt.Fprintf(w, "this end asked %.1f ms late in the median, %.1f ms at most in 99 of 100; %d ops it could not ask\n",
		d.LatenessP50ms, d.LatenessP99ms, d.Unsent)
	for _, t := range r.Types {
		x := d.Types[t.Name]
		fmt.Fprintf(w, "  %-12s asked %6d  service %.4f  median %6.1f ms  99 of 100 %7.1f ms\n",
			t.Name, t.Asked, x.Service, x.P50ms, x.P99ms)
	}
	for _, name := range []string{"sent_bytes", "received", "died", "rumours_made", "rumours_taken", "contradicted",
		"borne_out"} {
		if s, ok := d.Gossip[name]; ok {
			fmt.Fprintf(w, "  gossip %-14s %10d in all, %8d at most\n", name, s.Sum, s.Max)
		}
	}
	for _, e := range r.Events {
		fmt.Fprintf(w, "  %8.3f s %s\n", e.At.Seconds(), e.What)
	}
	for _, s := range r.Stories {
		fmt.Fprintln(w, " ", s)
	}
}
