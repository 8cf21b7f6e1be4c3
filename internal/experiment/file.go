// Package experiment runs a world in the emulator in several arms with many seeds, and computes metrics with their
// confidence intervals. An experiment is a file; the same file and seeds give the same result on any machine and with
// any number of workers.
package experiment

import (
	"fmt"
	"slices"
	"sort"
	"strings"

	"gorsewell/internal/emulator"
	"gorsewell/internal/yamlfile"
)

// File is an experiment. docs/operators/experiments.md describes each key.
type File struct {
	Name     string            `yaml:"name"`
	About    string            `yaml:"about"` // text that introduces the tables
	World    emulator.World    `yaml:"world"`
	Faults   []emulator.Fault  `yaml:"faults"`
	ArmsRaw  map[string]RawArm `yaml:"arms"`
	Seeds    int               `yaml:"seeds"`     // number of seeds, each of which is run once in each arm
	SeedFrom uint64            `yaml:"seed_from"` // first seed; the others follow it
	Expect   []Expectation     `yaml:"expect"`
	Charts   []Chart           `yaml:"charts"`
	Base     string            `yaml:"base"` // arm to compare others with; only checked to exist

	Arms []Arm // in the order of the file
}

// RawArm is an arm as written in the file. Keys that it omits have the values of the file's own world and faults.
type RawArm struct {
	Policy  string       `yaml:"policy"`
	Gossip  bool         `yaml:"gossip"`
	World   yamlfile.Raw `yaml:"world"`   // values that replace those of the file's world
	Faults  yamlfile.Raw `yaml:"faults"`  // replace the file's faults
	More    yamlfile.Raw `yaml:"more"`    // faults added to the file's
	Without []string     `yaml:"without"` // kinds of faults that are removed
	Label   string       `yaml:"label"`   // name in tables and charts; that of the arm if empty
}

// Arm is one of the variants that an experiment compares.
type Arm struct {
	Name    string
	Label   string // name in tables and charts
	World   emulator.World
	Faults  []emulator.Fault
	Decider emulator.Arm // the policy that decides, and whether gateways gossip
}

// Expectation is a bound on a metric, or on a comparison of arms by a metric.
type Expectation struct {
	Name    string   `yaml:"name"`
	Metric  string   `yaml:"metric"`
	Arm     string   `yaml:"arm"`
	Over    string   `yaml:"over"`     // another arm: the value is the ratio of Arm to it, for each seed
	Less    string   `yaml:"less"`     // another arm: the value is the difference of Arm and it, for each seed
	Between []string `yaml:"between"`  // two arms, floor and top: (mean of Arm - floor) / (top - floor)
	Of      string   `yaml:"of"`       // mean, least or most over the seeds; mean if empty
	AtLeast *float64 `yaml:"at_least"` // lower bound; none if nil
	AtMost  *float64 `yaml:"at_most"`  // upper bound; none if nil
}

// Chart is a chart of the experiment's result.
type Chart struct {
	Name   string   `yaml:"name"`   // of the file, without .svg
	Kind   string   `yaml:"kind"`   // bars: metric by arm; time: service over time; line: metric over the arms' labels
	Metric string   `yaml:"metric"` // service if empty
	Arms   []string `yaml:"arms"`   // all if empty
	Title  string   `yaml:"title"`
	X      string   `yaml:"x"` // label of the horizontal axis; kind time has its own
	Y      string   `yaml:"y"` // label of the vertical axis; the metric if empty
}

// Load reads and validates an experiment file. Errors in the file are returned as yamlfile.Problems.
func Load(path string) (*File, error) {
	e := &File{World: emulator.Default(), Seeds: 8, SeedFrom: 1}
	f, err := yamlfile.Load(path, e)
	if f == nil {
		return nil, err
	}
	return e.prepare(f)
}

// Parse reads and validates an experiment from text. Errors call the text by the given name, as if it were a file.
func Parse(name string, text []byte) (*File, error) {
	e := &File{World: emulator.Default(), Seeds: 8, SeedFrom: 1}
	return e.prepare(yamlfile.Read(name, text, e))
}

// prepare builds the arms and validates the experiment, unless the file could not be read without errors.
func (e *File) prepare(f *yamlfile.File) (*File, error) {
	if f.Err() == nil {
		e.buildArms(f)
		e.validate(f)
	}
	return e, f.Err()
}

// buildArms builds the arms from the file's world and faults and each arm's own keys.
func (e *File) buildArms(f *yamlfile.File) {
	names := make([]string, 0, len(e.ArmsRaw))
	for name := range e.ArmsRaw {
		names = append(names, name)
	}
	// Results list the arms in the order of the file.
	sort.Slice(names, func(i, j int) bool {
		a, b := f.Line("arms."+names[i]), f.Line("arms."+names[j])
		return a < b || a == b && names[i] < names[j]
	})
	for _, name := range names {
		raw := e.ArmsRaw[name]
		key := "arms." + name
		a := Arm{Name: name, Label: raw.Label, World: e.World, Decider: emulator.Arm{Policy: raw.Policy, Gossip: raw.Gossip}}
		if a.Label == "" {
			a.Label = name
		}
		if raw.Policy != "" && !slices.Contains(emulator.Policies, raw.Policy) {
			f.AddProblem(key+".policy", "%q is not a policy; expected one of %s", raw.Policy,
				strings.Join(emulator.Policies, ", "))
		}
		// Arms do not share slices, because each may change its own.
		a.World.OpTypes = slices.Clone(e.World.OpTypes)
		a.World.Servers.Kinds = slices.Clone(e.World.Servers.Kinds)
		raw.World.ReadInto(&a.World)
		a.Faults = slices.Clone(e.Faults)
		if raw.Faults.IsSet() {
			a.Faults = nil
			raw.Faults.ReadInto(&a.Faults)
		}
		var more []emulator.Fault
		raw.More.ReadInto(&more)
		a.Faults = append(a.Faults, more...)
		a.Faults = slices.DeleteFunc(a.Faults,
			func(fault emulator.Fault) bool { return slices.Contains(raw.Without, fault.Kind) })
		a.World.Valid(f, key+".world")
		emulator.ValidFaults(f, key+".faults", a.Faults, &a.World)
		e.Arms = append(e.Arms, a)
	}
}

// validate checks the values of all keys.
func (e *File) validate(f *yamlfile.File) {
	if e.Name == "" || strings.ContainsAny(e.Name, "/\\ ") {
		f.AddProblem("name", "%q is not a valid name; it must not be empty or contain slashes, backslashes or spaces", e.Name)
	}
	if len(e.Arms) == 0 {
		f.AddProblem("arms", "expected at least one arm, found none")
	}
	if e.Seeds < 1 || e.Seeds > 10000 {
		f.AddProblem("seeds", "%d is out of range; expected 1 to 10000", e.Seeds)
	}
	e.World.Valid(f, "world")
	emulator.ValidFaults(f, "faults", e.Faults, &e.World)
	checkArm := func(key, name string) {
		if name != "" && e.Arm(name) == nil {
			f.AddProblem(key, "%q is not an arm; expected one of %s", name, strings.Join(e.armNames(), ", "))
		}
	}
	checkArm("base", e.Base)
	for i, expectation := range e.Expect {
		key := fmt.Sprintf("expect[%d]", i)
		if expectation.Name == "" {
			f.AddProblem(key, "expected a name, found none")
		}
		if expectation.Arm == "" {
			f.AddProblem(key, "expected an arm, found none")
		}
		checkArm(key+".arm", expectation.Arm)
		checkArm(key+".over", expectation.Over)
		checkArm(key+".less", expectation.Less)
		for j, name := range expectation.Between {
			checkArm(fmt.Sprintf("%s.between[%d]", key, j), name)
		}
		if len(expectation.Between) != 0 && len(expectation.Between) != 2 {
			f.AddProblem(key+".between", "expected two arms, the floor and the top")
		}
		comparisons := 0
		for _, isSet := range []bool{expectation.Over != "", expectation.Less != "", len(expectation.Between) > 0} {
			if isSet {
				comparisons++
			}
		}
		if comparisons > 1 {
			f.AddProblem(key, "expected at most one of over, less and between")
		}
		if !slices.Contains([]string{"", "mean", "least", "most"}, expectation.Of) {
			f.AddProblem(key+".of", "%q is not valid; expected mean, least or most", expectation.Of)
		}
		if expectation.AtLeast == nil && expectation.AtMost == nil {
			f.AddProblem(key, "expected at_least or at_most, found neither")
		}
		if !e.hasMetric(expectation.Metric) {
			f.AddProblem(key+".metric", "%q is not a metric; expected one of %s", expectation.Metric,
				strings.Join(e.Metrics(), ", "))
		}
	}
	for i, chart := range e.Charts {
		key := fmt.Sprintf("charts[%d]", i)
		if chart.Name == "" || strings.ContainsAny(chart.Name, "/\\ ") {
			f.AddProblem(key+".name", "%q is not a valid file name; it must not be empty or contain slashes, backslashes or spaces",
				chart.Name)
		}
		if !slices.Contains([]string{"bars", "time", "line"}, chart.Kind) {
			f.AddProblem(key+".kind", "%q is not valid; expected bars, time or line", chart.Kind)
		}
		if chart.Metric != "" && !e.hasMetric(chart.Metric) {
			f.AddProblem(key+".metric", "%q is not a metric; expected one of %s", chart.Metric, strings.Join(e.Metrics(), ", "))
		}
		for j, name := range chart.Arms {
			checkArm(fmt.Sprintf("%s.arms[%d]", key, j), name)
		}
	}
}

// armNames returns the names of all arms.
func (e *File) armNames() (names []string) {
	for _, a := range e.Arms {
		names = append(names, a.Name)
	}
	return names
}

// Arm returns the arm with a name, or nil if there is none.
func (e *File) Arm(name string) *Arm {
	for i := range e.Arms {
		if e.Arms[i].Name == name {
			return &e.Arms[i]
		}
	}
	return nil
}
