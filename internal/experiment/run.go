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

// Options say how an experiment is played.
type Options struct {
	Seeds    int    // instead of the file's, where more than 0
	SeedFrom uint64 // instead of the file's, where more than 0
	Workers  int    // runs at a time; all cores where 0
	Out      string // folder that keeps runs and results; none where empty
	Progress func(done, all int)
}

// Run is one day of one arm.
type Run struct {
	Arm     string             `json:"arm"`
	Seed    uint64             `json:"seed"`
	Key     string             `json:"key"` // of all that determines it
	Metrics map[string]float64 `json:"metrics"`
	Windows []emulator.Window  `json:"windows"`
	Events  []emulator.Event   `json:"events,omitempty"`
	Stories []emulator.Story   `json:"stories,omitempty"`
}

// Result is what came of an experiment.
type Result struct {
	Name    string                       `json:"experiment"`
	Seeds   []uint64                     `json:"seeds"`
	Arms    map[string]map[string]Figure `json:"arms"`
	Expect  []Outcome                    `json:"expect"`
	Order   []string                     `json:"order"` // of the arms
	Stories []emulator.Story             `json:"stories,omitempty"`

	source *File
	runs   [][]*Run // by arm, by seed
}

// Outcome is what came of an expectation.
type Outcome struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Low   float64 `json:"low"`
	High  float64 `json:"high"`
	Bound string  `json:"bound"`
	Holds bool    `json:"holds"`
}

// Holds tells whether all expectations do.
func (r *Result) Holds() bool {
	for _, o := range r.Expect {
		if !o.Holds {
			return false
		}
	}
	return true
}

// Play plays an experiment. Runs that a folder keeps from an earlier, interrupted play are not played again.
func (e *File) Play(ctx context.Context, o Options) (*Result, error) {
	seeds, from := e.Seeds, e.SeedFrom
	if o.Seeds > 0 {
		seeds = o.Seeds
	}
	if o.SeedFrom > 0 {
		from = o.SeedFrom
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
	res := &Result{Name: e.Name, Arms: map[string]map[string]Figure{}, source: e}
	for i := range seeds {
		res.Seeds = append(res.Seeds, from+uint64(i))
	}
	for _, a := range e.Arms {
		res.Order = append(res.Order, a.Name)
		res.runs = append(res.runs, make([]*Run, seeds))
	}
	group, inner := errgroup.WithContext(ctx)
	group.SetLimit(workers)
	var mu sync.Mutex
	done := 0
	// Seed by seed, so that what an interrupted play leaves can be compared.
	for s, seed := range res.Seeds {
		for a := range e.Arms {
			if inner.Err() != nil {
				break
			}
			group.Go(func() error {
				if err := inner.Err(); err != nil {
					return err
				}
				run, err := e.runOnce(&e.Arms[a], seed, o.Out)
				if err != nil {
					return err
				}
				mu.Lock()
				defer mu.Unlock()
				res.runs[a][s] = run
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
	res.summarize()
	if o.Out != "" {
		return res, res.writeFiles(o.Out)
	}
	return res, nil
}

// key is a hash of all that determines a run.
func (a *Arm) key(seed uint64) string {
	text, err := json.Marshal(struct {
		Model   int
		World   emulator.World
		Faults  []emulator.Fault
		Decides emulator.Arm
		Seed    uint64
	}{emulator.Model, a.World, a.Faults, a.Decides, seed})
	if err != nil {
		panic(err) // nothing in it can fail to be encoded
	}
	return fmt.Sprintf("%016x", xxhash.Sum64(text))
}

// one plays one run, or takes it from the folder.
func (e *File) runOnce(a *Arm, seed uint64, out string) (*Run, error) {
	key := a.key(seed)
	path := filepath.Join(out, "runs", fmt.Sprintf("%s-%d.json", a.Name, seed))
	if out != "" {
		kept := &Run{}
		if text, err := os.ReadFile(path); err == nil && json.Unmarshal(text, kept) == nil && kept.Key == key {
			return kept, nil
		}
	}
	r, err := emulator.Run(a.World, a.Faults, a.Decides, seed)
	if err != nil {
		return nil, fmt.Errorf("arm %s, seed %d: %w", a.Name, seed, err)
	}
	run := &Run{Arm: a.Name, Seed: seed, Key: key, Metrics: computeMetrics(r, a.World.Length.Seconds()), Windows: r.Windows, Stories: r.Stories, Events: r.Events}
	if out == "" {
		return run, nil
	}
	text, err := json.Marshal(run)
	if err == nil {
		err = writeFileAtomically(path, text)
	}
	return run, err
}

// replace writes a file whole or not at all.
func writeFileAtomically(path string, text []byte) error {
	if err := os.WriteFile(path+".next", text, 0o644); err != nil {
		return err
	}
	return os.Rename(path+".next", path)
}

// sum adds the runs up.
func (r *Result) summarize() {
	for a, name := range r.Order {
		r.Arms[name] = map[string]Figure{}
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

// values are a metric's by seed; false where the arm has none.
func (r *Result) values(arm int, metric string) (values []float64, ok bool) {
	for _, run := range r.runs[arm] {
		v, has := run.Metrics[metric]
		ok = ok || has
		values = append(values, v)
	}
	return values, ok
}

func (r *Result) armIndex(name string) int {
	for i, n := range r.Order {
		if n == name {
			return i
		}
	}
	return -1
}

// judge compares an expectation with what came.
func (r *Result) evaluate(x *Expectation) Outcome {
	o := Outcome{Name: x.Name}
	mine, _ := r.values(r.armIndex(x.Arm), x.Metric)
	var f Figure
	if len(x.Between) == 2 {
		floor, _ := r.values(r.armIndex(x.Between[0]), x.Metric)
		top, _ := r.values(r.armIndex(x.Between[1]), x.Metric)
		part := func(draw []int) float64 {
			var m, lo, hi float64
			for _, i := range draw {
				m, lo, hi = m+mine[i], lo+floor[i], hi+top[i]
			}
			return ratio(m-lo, hi-lo)
		}
		all := make([]int, len(mine))
		for i := range all {
			all[i] = i
		}
		f.Mean = part(all)
		f.Low, f.High = bootstrap(len(mine), part)
		f.Least, f.Most = f.Mean, f.Mean
		for i := range mine {
			v := part([]int{i})
			f.Least, f.Most = min(f.Least, v), max(f.Most, v)
		}
	} else {
		values := append([]float64(nil), mine...)
		if other := x.Over + x.Less; other != "" {
			theirs, _ := r.values(r.armIndex(other), x.Metric)
			for i := range values {
				if x.Over != "" {
					values[i] = ratio(values[i], theirs[i])
				} else {
					values[i] -= theirs[i]
				}
			}
		}
		f = estimate(values)
	}
	o.Value, o.Low, o.High = f.Mean, f.Low, f.High
	switch x.Of {
	case "least":
		o.Value, o.Low, o.High = f.Least, f.Least, f.Least
	case "most":
		o.Value, o.Low, o.High = f.Most, f.Most, f.Most
	}
	o.Holds = true
	if x.AtLeast != nil {
		o.Bound = fmt.Sprintf("at least %g", *x.AtLeast)
		o.Holds = o.Value >= *x.AtLeast
	}
	if x.AtMost != nil {
		if o.Bound != "" {
			o.Bound += ", "
		}
		o.Bound += fmt.Sprintf("at most %g", *x.AtMost)
		o.Holds = o.Holds && o.Value <= *x.AtMost
	}
	return o
}
