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
	var arm, program, keep string
	var seed uint64
	var warm time.Duration
	var asJSON bool
	c := &cobra.Command{
		Use:   "load FILE",
		Short: "Play an arm of an experiment on sockets of this machine",
		Long: "Plays an arm of an experiment on sockets: stand-in servers and a list service in this process, a gateway process for each\n" +
			"instance, and clients that ask at the times that were drawn before, whatever became of earlier ops. It takes as long as the\n" +
			"day. Latencies count from the intended time of an op; how late this end itself was is told beside them.",
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
					return usageError{fmt.Errorf("--arm %q: %s has none of that name", arm, args[0])}
				}
			}
			if a.Decides.Policy != "" && a.Decides.Policy != "module" {
				return usageError{fmt.Errorf("arm %s decides by %q; on sockets only the module does", a.Name, a.Decides.Policy)}
			}
			if _, err := os.Stat(program); err != nil {
				return usageError{fmt.Errorf("--program: %w", err)}
			}
			slog.SetLogLoggerLevel(slog.LevelError) // the rig's own instances have nothing to tell here
			r, err := loopback.Play(c.Context(), loopback.Day{World: a.World, Faults: a.Faults, Gossip: a.Decides.Gossip, Seed: seed, Program: program,
				Warm: warm, Keep: keep})
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
	c.Flags().StringVar(&arm, "arm", "", "which arm; the file's first if empty")
	c.Flags().StringVar(&program, "program", "bin/gorsewell", "the gateway's binary")
	c.Flags().StringVar(&keep, "keep", "", "folder for the gateways' logs")
	c.Flags().Uint64Var(&seed, "seed", 1, "what chance draws from")
	c.Flags().DurationVar(&warm, "warm", 5*time.Second, "how long gateways run before the first op")
	c.Flags().BoolVar(&asJSON, "json", false, "print one object instead of text")
	return c
}

// day is a day on sockets as an object.
type loadSummary struct {
	Arm           string                    `json:"arm"`
	Seed          uint64                    `json:"seed"`
	Service       float64                   `json:"service"`
	Asked         float64                   `json:"asked"`
	Broken        [5]int64                  `json:"rules_broken"`
	Busy          int64                     `json:"busy"`
	Errored       int64                     `json:"errored"`
	Lost          int64                     `json:"lost_tries"`
	Unsent        int64                     `json:"unsent"`
	Sends         int64                     `json:"sends"`
	LatenessP50ms float64                   `json:"lateness_p50_ms"`
	LatenessP99ms float64                   `json:"lateness_p99_ms"`
	Types         map[string]typeSummary    `json:"types"`
	Gossip        map[string]counterSummary `json:"gossip,omitempty"`
	Stories       []string                  `json:"stories,omitempty"`
}

type typeSummary struct {
	Service float64 `json:"service"`
	P50ms   float64 `json:"p50_ms"`
	P99ms   float64 `json:"p99_ms"`
}

// sumOfAll is a counter over all instances that told it.
type counterSummary struct {
	Sum int64 `json:"sum"`
	Max int64 `json:"most"`
}

func summarize(arm string, seed uint64, r *loopback.Result) loadSummary {
	d := loadSummary{Arm: arm, Seed: seed, Service: r.Service(), Asked: r.Asked, Broken: r.Broken, Busy: r.Busy, Errored: r.Errored, Lost: r.Lost, Unsent: r.Unsent,
		Sends: r.Sends, LatenessP50ms: float64(r.Lateness.ValueAtQuantile(50)) / 1000, LatenessP99ms: float64(r.Lateness.ValueAtQuantile(99)) / 1000,
		Types: map[string]typeSummary{}, Stories: r.Stories, Gossip: map[string]counterSummary{}}
	for _, t := range r.Types {
		s := 1.0
		if t.Value > 0 {
			s = t.Earned / t.Value
		}
		d.Types[t.Name] = typeSummary{s, float64(t.Latency.ValueAtQuantile(50)) / 1000, float64(t.Latency.ValueAtQuantile(99)) / 1000}
	}
	for _, words := range r.Gateways {
		for line := range strings.Lines(words) {
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

func printSummary(w io.Writer, arm string, seed uint64, r *loopback.Result) {
	d := summarize(arm, seed, r)
	fmt.Fprintf(w, "arm %s, seed %d: %.0f ops, service %.4f, rules broken %v\n", d.Arm, d.Seed, d.Asked, d.Service, d.Broken)
	fmt.Fprintf(w, "busy replies %d, errors %d, tries without an answer %d, sends %d\n", d.Busy, d.Errored, d.Lost, d.Sends)
	fmt.Fprintf(w, "this end asked %.1f ms late in the median, %.1f ms at most in 99 of 100; %d ops it could not ask\n", d.LatenessP50ms, d.LatenessP99ms, d.Unsent)
	for _, t := range r.Types {
		x := d.Types[t.Name]
		fmt.Fprintf(w, "  %-12s asked %6d  service %.4f  median %6.1f ms  99 of 100 %7.1f ms\n", t.Name, t.Asked, x.Service, x.P50ms, x.P99ms)
	}
	for _, name := range []string{"sent_bytes", "received", "died", "rumours_made", "rumours_taken", "contradicted", "borne_out"} {
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
