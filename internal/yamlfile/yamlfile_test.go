package yamlfile

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"
)

type testPart struct {
	Name string        `yaml:"name"`
	Wait time.Duration `yaml:"wait"`
	Size Size          `yaml:"size"`
}

func (p *testPart) SetDefaults() { p.Wait = time.Second }

type testSettings struct {
	Share float64             `yaml:"share"`
	Count uint16              `yaml:"count"`
	On    bool                `yaml:"on"`
	Parts []testPart          `yaml:"parts"`
	By    map[string]testPart `yaml:"by"`
	Maybe *testPart           `yaml:"maybe"`
	Depth *testSettings       `yaml:"depth"`
}

func TestReadValuesDefaultsAndUnits(t *testing.T) {
	got := testSettings{Count: 7, Share: 2}
	f := Read("f", []byte("# a comment\nshare: 1\non: true\nparts:\n  - {name: a, size: 2KiB}\n  - name: 12\n    wait: 1.5s\nby:\n  x: {wait: 2ms}\nmaybe: {name: m}\n"), &got)
	want := testSettings{Count: 7, Share: 1, On: true,
		Parts: []testPart{{"a", time.Second, 2048}, {"12", 1500 * time.Millisecond, 0}},
		By:    map[string]testPart{"x": {"", 2 * time.Millisecond, 0}}, Maybe: &testPart{"m", time.Second, 0}}
	if f.Err() != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v and error %v, want the values of the file and the defaults", got, f.Err())
	}
	f.AddProblem("parts[1].wait", "too long")
	f.AddProblem("parts[1].size", "not there") // gets the line of the enclosing parts[1]
	if got := f.Err().Error(); got != "f:6: parts[1].size: not there\nf:7: parts[1].wait: too long" {
		t.Error(got)
	}
}

func TestReadRejectsInvalidInput(t *testing.T) {
	for text, want := range map[string]string{
		"share: [1]":                    "f:1: share: must be a number, not a list",
		"share: .nan":                   "f:1: share: must be a number",
		"count: -1":                     "f:1: count: must be a whole number of 0 or more",
		"count: 70000":                  "f:1: count: 70000 is out of range",
		"count: 1.5":                    "f:1: count: must be a whole number",
		"on: yes":                       "f:1: on: must be true or false",
		"on:":                           "f:1: on: has no value",
		"on: true\non: false":           "f:2: on: duplicate key; first defined at line 1",
		"parts: {name: a}":              "f:1: parts: must be a list, not a mapping",
		"parts: [{name: [a]}]":          "f:1: parts[0].name: must be a string",
		"parts:\n- wait: 5":             `f:2: parts[0].wait: expected a duration with its unit, such as 250ms, 1.5s or 2m, found "5"`,
		"maybe:\n  size: 3 apples":      `f:2: maybe.size: expected a size such as 1200, 64KiB or 8MB, found "3 apples"`,
		"a: &x 1":                       "f:1: a: unknown key",
		"share: &x 1":                   "f:1: share: anchors",
		"share: !!float 1":              "f:1: share: anchors",
		"colour: red":                   "f:1: colour: unknown key; expected one of share, count",
		"share: 1\n---\nshare: 2":       "f:3: found a second document",
		"share: 1\n bad: [":             "invalid YAML",
		"- 1":                           "f:1: must be a mapping, not a list",
		"share: \"\xff":                 "invalid YAML",
		strings.Repeat("depth: {", 200): "invalid YAML",
		strings.Repeat("{depth: ", 90) + "{}" + strings.Repeat("}", 90): "nested more than 40 levels deep",
	} {
		if err := Read("f", []byte(text), &testSettings{}).Err(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got error %v, want %q", text, err, want)
		}
	}
	if err := Read("f", make([]byte, MaxFile+1), &testSettings{}).Err(); err == nil {
		t.Error("a file larger than MaxFile: got no error")
	}
	many := Read("f", []byte(strings.Repeat("x: 1\n", 1000)), &testSettings{})
	if n := len(many.problems); n != maxProblems {
		t.Errorf("got %d problems, want maxProblems", n)
	}
}

func TestReadEmptyFileKeepsDefaults(t *testing.T) {
	for _, text := range []string{"", "# nothing\n", "---\n"} {
		got := testSettings{Count: 7}
		if err := Read("f", []byte(text), &got).Err(); err != nil || got.Count != 7 {
			t.Errorf("%q: got error %v and %+v, want no error and the default Count 7", text, err, got)
		}
	}
}

func FuzzRead(f *testing.F) {
	for _, s := range []string{"share: 1", "parts:\n- {name: a}", "by: {x: {wait: 1s}}", "maybe: &a {}\ndepth: *a",
		"? [a]\n: b"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		file := Read("f", text, &testSettings{})
		if err := file.Err(); err != nil {
			_ = fmt.Sprint(err)
		}
	})
}
