// Package experiment plays a world under several arms and many seeds, and says what came of it with its uncertainty. An
// experiment is a file; the same file and seeds give the same result on any machine and with any number of workers.
package experiment

import (
	"fmt"
	"slices"
	"sort"
	"strings"

	"gorsewell/internal/emulator"
	"gorsewell/internal/yamlfile"
)

// File is an experiment. docs/operators/experiments.md describes each field.
type File struct {
	Name     string            `yaml:"name"`
	About    string            `yaml:"about"`
	World    emulator.World    `yaml:"world"`
	Faults   []emulator.Fault  `yaml:"faults"`
	ArmsRaw  map[string]RawArm `yaml:"arms"`
	Seeds    int               `yaml:"seeds"`
	SeedFrom uint64            `yaml:"seed_from"`
	Expect   []Expectation     `yaml:"expect"`
	Charts   []Chart           `yaml:"charts"`
	Base     string            `yaml:"base"` // the arm that others are compared with in tables; none where it says nothing

	Arms []Arm // in the order in which the file has them
}

// RawArm is an arm as the file has it: what is not named is as in the file's own world and faults.
type RawArm struct {
	Policy  string       `yaml:"policy"`
	Gossip  bool         `yaml:"gossip"`
	World   yamlfile.Raw `yaml:"world"`   // laid over the file's
	Faults  yamlfile.Raw `yaml:"faults"`  // instead of the file's
	More    yamlfile.Raw `yaml:"more"`    // faults beside the file's
	Without []string     `yaml:"without"` // kinds of faults that this arm is spared
	Label   string       `yaml:"label"`
}

// Arm is one of what is compared, ready to be played.
type Arm struct {
	Name, Label string
	World       emulator.World
	Faults      []emulator.Fault
	Decides     emulator.Arm
}

// Expectation is a bound that a figure has to keep.
type Expectation struct {
	Name    string   `yaml:"name"`
	Metric  string   `yaml:"metric"`
	Arm     string   `yaml:"arm"`
	Over    string   `yaml:"over"`    // another arm: the figure is the ratio of the two, seed by seed
	Less    string   `yaml:"less"`    // another arm: the figure is the difference, seed by seed
	Between []string `yaml:"between"` // two arms, floor and top: the figure is the part of the way from one to the other, in the means
	Of      string   `yaml:"of"`      // mean, least or most over the seeds; mean where it says nothing
	AtLeast *float64 `yaml:"at_least"`
	AtMost  *float64 `yaml:"at_most"`
}

// Chart is a picture that belongs to the experiment.
type Chart struct {
	Name   string   `yaml:"name"`
	Kind   string   `yaml:"kind"`   // bars: a metric by arm; time: service over the day; line: a metric over what arms' labels say
	Metric string   `yaml:"metric"` // service where it says nothing
	Arms   []string `yaml:"arms"`   // all where it says nothing
	Title  string   `yaml:"title"`
	X      string   `yaml:"x"`
	Y      string   `yaml:"y"`
}

// Load reads and checks an experiment. Problems come back as yamlfile.Problems.
func Load(path string) (*File, error) {
	e := &File{World: emulator.Default(), Seeds: 8, SeedFrom: 1}
	f, err := yamlfile.Load(path, e)
	if f == nil {
		return nil, err
	}
	return e.prepare(f)
}

// Parse reads an experiment from text.
func Parse(name string, text []byte) (*File, error) {
	e := &File{World: emulator.Default(), Seeds: 8, SeedFrom: 1}
	return e.prepare(yamlfile.Read(name, text, e))
}

func (e *File) prepare(f *yamlfile.File) (*File, error) {
	if f.Err() == nil {
		e.buildArms(f)
		e.validate(f)
	}
	return e, f.Err()
}

// arms makes the arms out of the file's world and what each says for itself.
func (e *File) buildArms(f *yamlfile.File) {
	names := make([]string, 0, len(e.ArmsRaw))
	for name := range e.ArmsRaw {
		names = append(names, name)
	}
	// In the order in which the file has them, as that is how they are told.
	sort.Slice(names, func(i, j int) bool {
		a, b := f.Line("arms."+names[i]), f.Line("arms."+names[j])
		return a < b || a == b && names[i] < names[j]
	})
	for _, name := range names {
		raw := e.ArmsRaw[name]
		key := "arms." + name
		a := Arm{Name: name, Label: raw.Label, World: e.World, Decides: emulator.Arm{Policy: raw.Policy, Gossip: raw.Gossip}}
		if a.Label == "" {
			a.Label = name
		}
		if raw.Policy != "" && !slices.Contains(emulator.Policies, raw.Policy) {
			f.Wrong(key+".policy", "%q is no policy; %s are", raw.Policy, strings.Join(emulator.Policies, ", "))
		}
		// Slices are not shared between arms: one may change its own.
		a.World.OpTypes = slices.Clone(e.World.OpTypes)
		a.World.Servers.Kinds = slices.Clone(e.World.Servers.Kinds)
		raw.World.Into(&a.World)
		a.Faults = slices.Clone(e.Faults)
		if raw.Faults.Given() {
			a.Faults = nil
			raw.Faults.Into(&a.Faults)
		}
		var more []emulator.Fault
		raw.More.Into(&more)
		a.Faults = append(a.Faults, more...)
		a.Faults = slices.DeleteFunc(a.Faults, func(x emulator.Fault) bool { return slices.Contains(raw.Without, x.Kind) })
		a.World.Valid(f, key+".world")
		emulator.ValidFaults(f, key+".faults", a.Faults, &a.World)
		e.Arms = append(e.Arms, a)
	}
}

func (e *File) validate(f *yamlfile.File) {
	if e.Name == "" || strings.ContainsAny(e.Name, "/\\ ") {
		f.Wrong("name", "%q is no name; letters, digits and dashes", e.Name)
	}
	if len(e.Arms) == 0 {
		f.Wrong("arms", "at least one is needed")
	}
	if e.Seeds < 1 || e.Seeds > 10000 {
		f.Wrong("seeds", "%d is not within 1 to 10000", e.Seeds)
	}
	e.World.Valid(f, "world")
	emulator.ValidFaults(f, "faults", e.Faults, &e.World)
	arm := func(key, name string) {
		if name != "" && e.Arm(name) == nil {
			f.Wrong(key, "%q is no arm; %s are", name, strings.Join(e.armNames(), ", "))
		}
	}
	arm("base", e.Base)
	for i, x := range e.Expect {
		key := fmt.Sprintf("expect[%d]", i)
		if x.Name == "" {
			f.Wrong(key, "has no name")
		}
		if x.Arm == "" {
			f.Wrong(key, "names no arm")
		}
		arm(key+".arm", x.Arm)
		arm(key+".over", x.Over)
		arm(key+".less", x.Less)
		for j, name := range x.Between {
			arm(fmt.Sprintf("%s.between[%d]", key, j), name)
		}
		if len(x.Between) != 0 && len(x.Between) != 2 {
			f.Wrong(key+".between", "wants two arms, the floor and the top")
		}
		given := 0
		for _, on := range []bool{x.Over != "", x.Less != "", len(x.Between) > 0} {
			if on {
				given++
			}
		}
		if given > 1 {
			f.Wrong(key, "only one of over, less and between can be meant")
		}
		if !slices.Contains([]string{"", "mean", "least", "most"}, x.Of) {
			f.Wrong(key+".of", "%q is none of mean, least and most", x.Of)
		}
		if x.AtLeast == nil && x.AtMost == nil {
			f.Wrong(key, "says neither at_least nor at_most")
		}
		if !e.hasMetric(x.Metric) {
			f.Wrong(key+".metric", "%q is no metric; %s are", x.Metric, strings.Join(e.Metrics(), ", "))
		}
	}
	for i, c := range e.Charts {
		key := fmt.Sprintf("charts[%d]", i)
		if c.Name == "" || strings.ContainsAny(c.Name, "/\\ ") {
			f.Wrong(key+".name", "%q is no name for a file", c.Name)
		}
		if !slices.Contains([]string{"bars", "time", "line"}, c.Kind) {
			f.Wrong(key+".kind", "%q is none of bars, time and line", c.Kind)
		}
		if c.Metric != "" && !e.hasMetric(c.Metric) {
			f.Wrong(key+".metric", "%q is no metric; %s are", c.Metric, strings.Join(e.Metrics(), ", "))
		}
		for j, name := range c.Arms {
			arm(fmt.Sprintf("%s.arms[%d]", key, j), name)
		}
	}
}

func (e *File) armNames() (names []string) {
	for _, a := range e.Arms {
		names = append(names, a.Name)
	}
	return names
}

// Arm finds one by its name; nil if there is none.
func (e *File) Arm(name string) *Arm {
	for i := range e.Arms {
		if e.Arms[i].Name == name {
			return &e.Arms[i]
		}
	}
	return nil
}
