package yamlfile

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"
)

type part struct {
	Name string        `yaml:"name"`
	Wait time.Duration `yaml:"wait"`
	Size Size          `yaml:"size"`
}

func (p *part) SetDefaults() { p.Wait = time.Second }

type whole3 struct {
	Share float64         `yaml:"share"`
	Count uint16          `yaml:"count"`
	On    bool            `yaml:"on"`
	Parts []part          `yaml:"parts"`
	By    map[string]part `yaml:"by"`
	Maybe *part           `yaml:"maybe"`
	Depth *whole3         `yaml:"depth"`
}

func TestValuesDefaultsAndUnits(t *testing.T) {
	got := whole3{Count: 7, Share: 2}
	f := Read("f", []byte("# a comment\nshare: 1\non: true\nparts:\n  - {name: a, size: 2KiB}\n  - name: 12\n    wait: 1.5s\nby:\n  x: {wait: 2ms}\nmaybe: {name: m}\n"), &got)
	want := whole3{Count: 7, Share: 1, On: true, Parts: []part{{"a", time.Second, 2048}, {"12", 1500 * time.Millisecond, 0}},
		By: map[string]part{"x": {"", 2 * time.Millisecond, 0}}, Maybe: &part{"m", time.Second, 0}}
	if f.Err() != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%+v, %v", got, f.Err())
	}
	f.Wrong("parts[1].wait", "too long")
	f.Wrong("parts[1].size", "not there")
	if got := f.Err().Error(); got != "f:6: parts[1].size: not there\nf:7: parts[1].wait: too long" {
		t.Error(got)
	}
}

func TestWhatIsRefused(t *testing.T) {
	for text, want := range map[string]string{
		"share: [1]":                    "f:1: share: must be a number, not a list",
		"share: .nan":                   "f:1: share: must be a number",
		"count: -1":                     "f:1: count: must be a whole number of 0 or more",
		"count: 70000":                  "f:1: count: 70000 is out of range",
		"count: 1.5":                    "f:1: count: must be a whole number",
		"on: yes":                       "f:1: on: must be true or false",
		"on:":                           "f:1: on: has no value",
		"on: true\non: false":           "f:2: on: stands here a second time; first at line 1",
		"parts: {name: a}":              "f:1: parts: must be a list, not keys",
		"parts: [{name: [a]}]":          "f:1: parts[0].name: must be a text",
		"parts:\n- wait: 5":             `f:2: parts[0].wait: "5" is no time`,
		"maybe:\n  size: 3 apples":      `f:2: maybe.size: "3 apples" is no size`,
		"a: &x 1":                       "f:1: a: unknown key",
		"share: &x 1":                   "f:1: share: anchors",
		"share: !!float 1":              "f:1: share: anchors",
		"colour: red":                   "f:1: colour: unknown key; known are share, count",
		"share: 1\n---\nshare: 2":       "f:3: a second document",
		"share: 1\n bad: [":             "no YAML",
		"- 1":                           "f:1: must be keys with values, not a list",
		"share: \"\xff":                 "no YAML",
		strings.Repeat("depth: {", 200): "no YAML",
		strings.Repeat("{depth: ", 90) + "{}" + strings.Repeat("}", 90): "nested more than 40 deep",
	} {
		if err := Read("f", []byte(text), &whole3{}).Err(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
	if err := Read("f", make([]byte, MaxFile+1), &whole3{}).Err(); err == nil {
		t.Error("a file without an end was read")
	}
	many := Read("f", []byte(strings.Repeat("x: 1\n", 1000)), &whole3{})
	if n := len(many.problems); n != maxTold {
		t.Errorf("%d problems told", n)
	}
}

func TestAnEmptyFileKeepsDefaults(t *testing.T) {
	for _, text := range []string{"", "# nothing\n", "---\n"} {
		got := whole3{Count: 7}
		if err := Read("f", []byte(text), &got).Err(); err != nil || got.Count != 7 {
			t.Errorf("%q: %v, %+v", text, err, got)
		}
	}
}

func FuzzRead(f *testing.F) {
	for _, s := range []string{"share: 1", "parts:\n- {name: a}", "by: {x: {wait: 1s}}", "maybe: &a {}\ndepth: *a", "? [a]\n: b"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		file := Read("f", text, &whole3{})
		if err := file.Err(); err != nil {
			_ = fmt.Sprint(err)
		}
	})
}
