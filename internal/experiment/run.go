package experiment

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"sync"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"gorsewell/internal/emulator"
)

// Options configures a run of an experiment.
type Options struct {
	Seeds    int                 // number of seeds; the file's if 0
	SeedFrom uint64              // first seed; the file's if 0
	Workers  int                 // number of concurrent runs; the number of CPUs if 0
	Out      string              // folder for runs and results; none are stored if empty
	Progress func(done, all int) // called after each run, if not nil
}

// Run is the result of one arm with one seed.
type Run struct {
	Arm     string             `json:"arm"`
	Seed    uint64             `json:"seed"`
	Key     string             `json:"key"`     // hash of everything that determines the run
	Metrics map[string]float64 `json:"metrics"` // by name
	Windows []emulator.Window  `json:"windows"` // one per second
	Events  []emulator.Event   `json:"events,omitempty"`
	Stories []emulator.Story   `json:"stories,omitempty"`
}

// Result is the result of an experiment.
type Result struct {
	Name    string                         `json:"experiment"`
	Seeds   []uint64                       `json:"seeds"`
	Arms    map[string]map[string]Estimate `json:"arms"` // by arm and metric
	Expect  []Outcome                      `json:"expect"`
	Order   []string                       `json:"order"`             // names of the arms in the order of the file
	Stories []emulator.Story               `json:"stories,omitempty"` // the first violations of rules in all runs

	source *File    // nil if the result was read from a folder
	runs   [][]*Run // by arm and seed
}

// Outcome is the outcome of one expectation.
type Outcome struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Low   float64 `json:"low"`   // lower end of the confidence interval; Value if it is the least or most of the seeds
	High  float64 `json:"high"`  // upper end of it, likewise
	Bound string  `json:"bound"` // the expected bounds as text
	Holds bool    `json:"holds"`
}

// Holds reports whether all expectations hold.
func (r *Result) Holds() bool {
	for _, o := range r.Expect {
		if !o.Holds {
			return false
		}
	}
	return true
}

// Run runs an experiment. Runs that an earlier, interrupted call has stored in the folder are not repeated.
func (e *File) Run(ctx context.Context, o Options) (*Result, error) {
	seeds, seedFrom := e.Seeds, e.SeedFrom
	if o.Seeds > 0 {
		seeds = o.Seeds
	}
	if o.SeedFrom > 0 {
		seedFrom = o.SeedFrom
	}
	workers := o.Workers
	if workers <= 0 {
		workers = runtime.NumCPU()
	}
	if o.Out != "" {
		if err := os.MkdirAll(filepath.Join(o.Out, "runs"), 0o755); err != nil {
			return nil, err
		}
	}
	result := &Result{Name: e.Name, Arms: map[string]map[string]Estimate{}, source: e}
	for i := range seeds {
		result.Seeds = append(result.Seeds, seedFrom+uint64(i))
	}
	for _, a := range e.Arms {
		result.Order = append(result.Order, a.Name)
		result.runs = append(result.runs, make([]*Run, seeds))
	}
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(workers)
	var mu sync.Mutex
	done := 0
	// The runs of all arms with one seed come before those with the next one, so that the arms can be compared after an
	// interruption.
	for s, seed := range result.Seeds {
		for a := range e.Arms {
			if groupCtx.Err() != nil {
				break
			}
			group.Go(func() error {
				if err := groupCtx.Err(); err != nil {
					return err
				}
				run, err := e.runOnce(&e.Arms[a], seed, o.Out)
				if err != nil {
					return err
				}
				mu.Lock()
				defer mu.Unlock()
				result.runs[a][s] = run
				done++
				if o.Progress != nil {
					o.Progress(done, seeds*len(e.Arms))
				}
				return nil
			})
		}
	}
	if err := errors.Join(group.Wait(), ctx.Err()); err != nil {
		return nil, err
	}
	result.summarize()
	if o.Out != "" {
		return result, result.writeFiles(o.Out)
	}
	return result, nil
}

// key returns a hash of everything that determines a run.
func (a *Arm) key(seed uint64) string {
	text, err := json.Marshal(struct {
		Model   int
		World   emulator.World
		Faults  []emulator.Fault
		Decides emulator.Arm
		Seed    uint64
	}{emulator.ModelVersion, a.World, a.Faults, a.Decider, seed})
	if err != nil {
		panic(err) // cannot happen: all of its types can be encoded
	}
	return fmt.Sprintf("%016x", xxhash.Sum64(text))
}

// runOnce runs one arm with one seed, or returns the stored run from the folder.
func (e *File) runOnce(a *Arm, seed uint64, out string) (*Run, error) {
	key := a.key(seed)
	path := filepath.Join(out, "runs", fmt.Sprintf("%s-%d.json", a.Name, seed))
	if out != "" {
		stored := &Run{}
		if text, err := os.ReadFile(path); err == nil && json.Unmarshal(text, stored) == nil && stored.Key == key {
			return stored, nil
		}
	}
	result, err := emulator.Run(a.World, a.Faults, a.Decider, seed)
	if err != nil {
		return nil, fmt.Errorf("arm %s, seed %d: %w", a.Name, seed, err)
	}
	run := &Run{Arm: a.Name, Seed: seed, Key: key, Metrics: computeMetrics(result, a.World.Length.Seconds()),
		Windows: result.Windows, Stories: result.Stories, Events: result.Events}
	if out == "" {
		return run, nil
	}
	text, err := json.Marshal(run)
	if err == nil {
		err = writeFileAtomically(path, text)
	}
	return run, err
}

// writeFileAtomically writes a file by way of a temporary file, so that it is never incomplete.
func writeFileAtomically(path string, text []byte) error {
	if err := os.WriteFile(path+".next", text, 0o644); err != nil {
		return err
	}
	return os.Rename(path+".next", path)
}

// summarize computes the estimates and the outcomes of the expectations from all runs, and collects the first
// violations.
func (r *Result) summarize() {
	for a, name := range r.Order {
		r.Arms[name] = map[string]Estimate{}
		for _, metric := range r.source.Metrics() {
			if values, ok := r.values(a, metric); ok {
				r.Arms[name][metric] = estimate(values)
			}
		}
		for _, run := range r.runs[a] {
			for _, s := range run.Stories {
				if len(r.Stories) < 20 {
					s.What = fmt.Sprintf("arm %s, seed %d: %s", name, run.Seed, s.What)
					r.Stories = append(r.Stories, s)
				}
			}
		}
	}
	for i := range r.source.Expect {
		r.Expect = append(r.Expect, r.evaluate(&r.source.Expect[i]))
	}
}

// values returns a metric of an arm by seed, and whether any run has it. It is 0 for runs that do not have it.
func (r *Result) values(arm int, metric string) (values []float64, ok bool) {
	for _, run := range r.runs[arm] {
		v, has := run.Metrics[metric]
		ok = ok || has
		values = append(values, v)
	}
	return values, ok
}

// armIndex returns the index of the arm with a name, or -1 if there is none.
func (r *Result) armIndex(name string) int {
	for i, n := range r.Order {
		if n == name {
			return i
		}
	}
	return -1
}

// evaluate returns the outcome of an expectation.
func (r *Result) evaluate(expectation *Expectation) Outcome {
	outcome := Outcome{Name: expectation.Name}
	armValues, _ := r.values(r.armIndex(expectation.Arm), expectation.Metric)
	var e Estimate
	if len(expectation.Between) == 2 {
		floor, _ := r.values(r.armIndex(expectation.Between[0]), expectation.Metric)
		top, _ := r.values(r.armIndex(expectation.Between[1]), expectation.Metric)
		fraction := func(sample []int) float64 {
			var armSum, floorSum, topSum float64
			for _, i := range sample {
				armSum, floorSum, topSum = armSum+armValues[i], floorSum+floor[i], topSum+top[i]
			}
			return ratio(armSum-floorSum, topSum-floorSum)
		}
		allSeeds := make([]int, len(armValues))
		for i := range allSeeds {
			allSeeds[i] = i
		}
		e.Mean = fraction(allSeeds)
		e.Low, e.High = bootstrap(len(armValues), fraction)
		e.Least, e.Most = e.Mean, e.Mean
		for i := range armValues {
			v := fraction([]int{i})
			e.Least, e.Most = min(e.Least, v), max(e.Most, v)
		}
	} else {
		values := append([]float64(nil), armValues...)
		if other := expectation.Over + expectation.Less; other != "" {
			otherValues, _ := r.values(r.armIndex(other), expectation.Metric)
			for i := range values {
				if expectation.Over != "" {
					values[i] = ratio(values[i], otherValues[i])
				} else {
					values[i] -= otherValues[i]
				}
			}
		}
		e = estimate(values)
	}
	outcome.Value, outcome.Low, outcome.High = e.Mean, e.Low, e.High
	switch expectation.Of {
	case "least":
		outcome.Value, outcome.Low, outcome.High = e.Least, e.Least, e.Least
	case "most":
		outcome.Value, outcome.Low, outcome.High = e.Most, e.Most, e.Most
	}
	outcome.Holds = true
	if expectation.AtLeast != nil {
		outcome.Bound = fmt.Sprintf("at least %g", *expectation.AtLeast)
		outcome.Holds = outcome.Value >= *expectation.AtLeast
	}
	if expectation.AtMost != nil {
		if outcome.Bound != "" {
			outcome.Bound += ", "
		}
		outcome.Bound += fmt.Sprintf("at most %g", *expectation.AtMost)
		outcome.Holds = outcome.Holds && outcome.Value <= *expectation.AtMost
	}
	return outcome
}
