package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

func TestCommandExitCodes(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	good, bad := write("good.yaml", "log: {level: warn}\n"), write("bad.yaml", "log: {level: loud}\ngosip: 1\n")
	for _, c := range []struct {
		args   string
		code   int
		output string
	}{
		{"version", 0, "gorsewell " + version},
		{"check " + good, 0, "good.yaml: ok"},
		{"check " + bad, 2, "bad.yaml:1: log.level: expected debug, info, warn or error, found \"loud\"\n" +
			bad + ":2: gosip: unknown key; did you mean gossip?"},
		{"check", 2, "accepts 1 arg(s)"},
		{"check " + filepath.Join(dir, "none"), 1, "no such file"},
		{"run --config " + bad, 2, "bad.yaml:1: log.level"},
		{"--config " + bad, 2, "bad.yaml:1: log.level"},
		{"run --config " + good, 1, "LB_CONFIG is not set"},
		{"run --colour", 2, "unknown flag: --colour"},
		{"fly", 2, "unknown command"},
		{"--help", 0, "check       Check a settings file"},
	} {
		cmd := exec.Command(os.Args[0], strings.Fields(c.args)...)
		cmd.Env = append(os.Environ(), runAsGateway+"=1", "LB_CONFIG=")
		out, _ := cmd.CombinedOutput()
		if code := cmd.ProcessState.ExitCode(); code != c.code || !strings.Contains(string(out), c.output) {
			t.Errorf("%s: got exit code %d and output %s", c.args, code, out)
		}
	}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), runAsGateway+"=1", "LB_CONFIG=", settingsVariable+"="+bad)
	if out, _ := cmd.CombinedOutput(); cmd.ProcessState.ExitCode() != 2 {
		t.Errorf("invalid file named by the environment variable: want exit code 2, got output %s", out)
	}
}
