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
	// Read into empty settings, so that a key that the example lacks keeps the zero value and differs from the default.
	got := &Settings{}
	f := yamlfile.Read(exampleFile, text, got)
	if err := f.Err(); err != nil {
		t.Fatal(err)
	}
	want := Default()
	want.Gossip.Seeds, want.Gossip.Authorities = []string{}, []string{}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got settings %+v from the example, want the defaults %+v", got, want)
	}
	var walk func(prefix string, structType reflect.Type)
	walk = func(prefix string, structType reflect.Type) {
		names, index := yamlfile.Fields(structType)
		for _, name := range names {
			if !f.Has(prefix + name) {
				t.Errorf("%s is missing in the example", prefix+name)
			}
			if field := structType.FieldByIndex(index[name]).Type; field.Kind() == reflect.Struct &&
				field != reflect.TypeFor[Level]() {
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
	want := []string{`f.yaml:2: log.level: expected debug, info, warn or error, found "loud"`,
		"f.yaml:3: gossip.cluster: is required", "f.yaml:3: gossip.certificate: is required",
		"f.yaml:3: gossip.key: is required", "f.yaml:3: gossip.authorities: must name",
		"f.yaml:5: gossip.listn: unknown key; did you mean listen?",
		`f.yaml:6: gossip.listen: expected an address host:port, found "nowhere"`,
		`f.yaml:7: gossip.probe_every: expected a duration with its unit, such as 250ms, 1.5s or 2m, found "10"`,
		"f.yaml:8: gossip.suspect_for: 10ms is less than the minimum 1s",
		`f.yaml:10: gossip.limits.members: must be a whole number, not "many"`,
		"f.yaml:11: gossip.limits.datagram: 68719476736 is more than the maximum 8192"}
	var problems yamlfile.Problems
	if !errors.As(err, &problems) || len(problems) != len(want) {
		t.Fatalf("got %d problems, want one for each mistake: %v", len(problems), err)
	}
	for _, w := range want {
		if !strings.Contains(err.Error(), w) {
			t.Errorf("want %q, got only\n%v", w, err)
		}
	}
}

func TestLoadResolvesPathsAgainstFolderOfFile(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "s.yaml")
	if err := os.WriteFile(path,
		[]byte("gossip: {enabled: true, cluster: c, key: k, certificate: /c, authorities: [a]}"), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := Load(path)
	if err != nil {
		t.Fatal(err)
	}
	if g := s.Gossip; g.Key != filepath.Join(dir, "k") || g.Certificate != "/c" ||
		g.Authorities[0] != filepath.Join(dir, "a") {
		t.Errorf("got %+v, want relative paths joined to the folder of the file", g)
	}
	if _, err := Load(filepath.Join(dir, "none")); err == nil || errors.As(err, new(yamlfile.Problems)) {
		t.Errorf("missing file: got error %v, want one that is not yamlfile.Problems", err)
	}
	if s, err := Load(""); err != nil || !reflect.DeepEqual(s, Default()) {
		t.Errorf("empty path: got %+v, %v, want the defaults", s, err)
	}
}
