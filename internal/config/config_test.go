package config

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"gorsewell/internal/yamlfile"
)

const exampleFile = "../../deploy/gorsewell.yaml"

func TestExampleFileHasEveryKeyWithItsDefault(t *testing.T) {
	text, err := os.ReadFile(exampleFile)
	if err != nil {
		t.Fatal(err)
	}
	// Read into nothing, what the example leaves out would stay zero and differ.
	got := &Settings{}
	f := yamlfile.Read(exampleFile, text, got)
	if err := f.Err(); err != nil {
		t.Fatal(err)
	}
	want := Default()
	want.Gossip.Seeds, want.Gossip.Authorities = []string{}, []string{}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("the example says %+v, the defaults are %+v", got, want)
	}
	var walk func(prefix string, of reflect.Type)
	walk = func(prefix string, of reflect.Type) {
		names, index := yamlfile.Fields(of)
		for _, name := range names {
			if !f.Names(prefix + name) {
				t.Errorf("%s is missing", prefix+name)
			}
			if field := of.FieldByIndex(index[name]).Type; field.Kind() == reflect.Struct && field != reflect.TypeFor[Level]() {
				walk(prefix+name+".", field)
			}
		}
	}
	walk("", reflect.TypeFor[Settings]())
	if _, err := Load(exampleFile); err != nil {
		t.Error(err)
	}
}

func TestParseReportsAllProblemsWithTheirLines(t *testing.T) {
	_, err := Parse("f.yaml", []byte(`log:
  level: loud
gossip:
  enabled: true
  listn: "127.0.0.1:1"
  listen: nowhere
  probe_every: 10
  suspect_for: 10ms
  limits:
    members: many
    datagram: 64GiB
`))
	want := []string{`f.yaml:2: log.level: "loud" is no level`, "f.yaml:3: gossip.cluster: is needed", "f.yaml:3: gossip.certificate: is needed",
		"f.yaml:3: gossip.key: is needed", "f.yaml:3: gossip.authorities: needs", "f.yaml:5: gossip.listn: unknown key; is listen meant?",
		`f.yaml:6: gossip.listen: "nowhere" is no address`, `f.yaml:7: gossip.probe_every: "10" is no time`,
		"f.yaml:8: gossip.suspect_for: 10ms is less than 1s", `f.yaml:10: gossip.limits.members: must be a whole number, not "many"`,
		"f.yaml:11: gossip.limits.datagram: 68719476736 is more than 8192"}
	var problems yamlfile.Problems
	if !errors.As(err, &problems) || len(problems) != len(want) {
		t.Fatalf("%d problems: %v", len(problems), err)
	}
	for _, w := range want {
		if !strings.Contains(err.Error(), w) {
			t.Errorf("%q is not among\n%v", w, err)
		}
	}
}

func TestLoadResolvesPathsAgainstFolderOfFile(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "s.yaml")
	if err := os.WriteFile(path, []byte("gossip: {enabled: true, cluster: c, key: k, certificate: /c, authorities: [a]}"), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := Load(path)
	if err != nil {
		t.Fatal(err)
	}
	if g := s.Gossip; g.Key != filepath.Join(dir, "k") || g.Certificate != "/c" || g.Authorities[0] != filepath.Join(dir, "a") {
		t.Errorf("%+v", g)
	}
	if _, err := Load(filepath.Join(dir, "none")); err == nil || errors.As(err, new(yamlfile.Problems)) {
		t.Errorf("a missing file: %v", err)
	}
	if s, err := Load(""); err != nil || !reflect.DeepEqual(s, Default()) {
		t.Errorf("no file: %+v, %v", s, err)
	}
}
