package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gorsewell/internal/standin"
)

// The test's own binary is the gateway where this variable is set.
const runAsGateway = "GORSEWELL_TEST_RUN"

func TestMain(m *testing.M) {
	if os.Getenv(runAsGateway) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

var addressCount atomic.Int32

const lookupQuery = "SELECT data FROM facts WHERE code = 'k' /* id=%d,c=lookup,d=2500,cluster=0 */"

// gateway runs the program against a group until the test ends it.
func startGateway(t *testing.T, answer func(role, query string) ([]byte, bool), env ...string) (*exec.Cmd, string, *strings.Builder, string) {
	t.Helper()
	return startGatewayWith(t, answer, func(string) string { return "" }, env...)
}

// changed does so with a configuration that was changed; where nothing comes of that, it is as the group has it.
func startGatewayWith(t *testing.T, answer func(role, query string) ([]byte, bool), change func(config string) string, env ...string) (*exec.Cmd,
	string, *strings.Builder, string) {
	t.Helper()
	n := addressCount.Add(1) // an address of its own: a port that was free a moment ago may be some client's by now
	addr := fmt.Sprintf("127.77.%d.%d:5432", n>>8, n&0xff)
	group, err := standin.Start(addr, answer)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(group.Close)
	path := filepath.Join(t.TempDir(), "config.json")
	config := cmp.Or(change(string(group.Config)), string(group.Config))
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), runAsGateway+"=1", "LB_CONFIG="+path)
	cmd.Env = append(cmd.Env, env...)
	out := &strings.Builder{}
	cmd.Stderr = out
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill() })
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if c, err := standin.Dial(addr); err == nil {
			c.Close()
			return cmd, addr, out, path
		} else if time.Now().After(end) {
			t.Fatalf("not up: %v, %s", err, out)
		}
	}
}

func TestGatewayFromStartToPlannedStop(t *testing.T) {
	slow := make(chan struct{})
	cmd, addr, out, _ := startGateway(t, func(role, query string) ([]byte, bool) {
		if strings.Contains(query, "id=9,") {
			<-slow
		}
		return standin.Row("from a "+role, role, time.Now().UnixMilli()), true
	})
	c, err := standin.Dial(addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if got, err := c.Query(""); err != nil || got != "I" {
		t.Errorf("an empty query: %q, %v", got, err)
	}
	for id := range 3 {
		if got, err := c.Query(fmt.Sprintf(lookupQuery, id)); err != nil || got != "from a replica" {
			t.Errorf("%q, %v", got, err)
		}
	}
	cmd.Process.Signal(syscall.SIGUSR1)
	var held sync.WaitGroup
	held.Go(func() {
		if got, err := c.Query(fmt.Sprintf(lookupQuery, 9)); err != nil || got != "from a replica" {
			t.Errorf("the held op: %q, %v", got, err)
		}
	})
	time.Sleep(100 * time.Millisecond)
	cmd.Process.Signal(syscall.SIGTERM)
	time.Sleep(200 * time.Millisecond)
	late, err := standin.Dial(addr)
	if err != nil {
		t.Fatal(err)
	}
	defer late.Close()
	if got, err := late.Query(fmt.Sprintf(lookupQuery, 4)); err != nil || got != "from a replica" {
		t.Errorf("after SIGTERM: %q, %v", got, err)
	}
	time.Sleep(600 * time.Millisecond)
	close(slow)
	held.Wait()
	if err := cmd.Wait(); err != nil {
		t.Errorf("%v: %s", err, out)
	}
	log := out.String()
	if !strings.Contains(log, "event=counters taken=") || !strings.Contains(log, "event=stopped taken=5 acked=5 ") ||
		!strings.Contains(log, " held=0 ") || !strings.Contains(log, " server_open=0 ") || !strings.Contains(log, "assertions_broken=0") {
		t.Error(log)
	}
}

// The environment names the old discovery for good. Each reload is over before the next begins, as the log shows.
func TestSIGHUPMovesToDiscoveryOfNewFile(t *testing.T) {
	asked := make(chan string, 16)
	discovery := func(name string) string {
		s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			asked <- name + r.URL.RawQuery
			<-r.Context().Done()
		}))
		t.Cleanup(s.Close)
		return strings.TrimPrefix(s.URL, "http://")
	}
	old, next := discovery("old "), discovery("new ")
	cmd, addr, out, path := startGateway(t, func(role, _ string) ([]byte, bool) {
		return standin.Row("v", role, time.Now().UnixMilli()), true
	}, "LB_DISCOVERY="+old)
	if got := <-asked; got != "old since=1&timeout_ms=10" {
		t.Errorf("asked %q", got)
	}
	good, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var file struct{ Discovery string }
	if err := json.Unmarshal(good, &file); err != nil {
		t.Fatal(err)
	}
	moved := strings.Replace(string(good), file.Discovery, next, 1)
	for _, text := range []string{"", moved[:len(moved)/2], strings.Replace(moved, `"round":5000000`, `"round":"soon"`, 1),
		strings.Replace(moved, next, "nowhere", 1), moved, moved, moved} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		cmd.Process.Signal(syscall.SIGHUP)
		time.Sleep(50 * time.Millisecond)
	}
	if got := <-asked; got != "new " {
		t.Errorf("asked %q", got)
	}
	c, err := standin.Dial(addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if got, err := c.Query(fmt.Sprintf(lookupQuery, 1)); err != nil || got != "v" {
		t.Errorf("%q, %v", got, err)
	}
	cmd.Process.Signal(syscall.SIGTERM)
	cmd.Process.Signal(syscall.SIGHUP)
	if err := cmd.Wait(); err != nil {
		t.Errorf("%v: %s", err, out)
	}
	log := out.String()
	if strings.Count(log, "event=reload_failed") != 4 || strings.Count(log, "event=discovery_moved") != 1 ||
		len(asked) > 0 {
		t.Errorf("%d more calls, %s", len(asked), log)
	}
}

func TestRunRejectsMissingOrInvalidConfig(t *testing.T) {
	good, err := standin.Start("127.0.0.1:0", nil)
	if err != nil {
		t.Fatal(err)
	}
	defer good.Close()
	write := func(text string) string {
		path := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	change := func(edit func(map[string]any)) string {
		all := map[string]any{}
		if err := json.Unmarshal(good.Config, &all); err != nil {
			t.Fatal(err)
		}
		edit(all)
		text, err := json.Marshal(all)
		if err != nil {
			t.Fatal(err)
		}
		return write(string(text))
	}
	for name, config := range map[string]string{
		"no config":        "",
		"no such file":     filepath.Join(t.TempDir(), "none"),
		"not JSON":         write("{"),
		"no listen":        change(func(m map[string]any) { delete(m, "listen") }),
		"bad listen":       change(func(m map[string]any) { m["listen"] = "nowhere" }),
		"another's listen": change(func(m map[string]any) { m["listen"] = "192.0.2.1:5432" }),
		"bad discovery":    change(func(m map[string]any) { m["discovery"] = "nowhere" }),
		"bad seed":         change(func(m map[string]any) { m["seed"] = "xyz" }),
		"no settings":      change(func(m map[string]any) { delete(m, "settings") }),
		"bad setting":      change(func(m map[string]any) { m["settings"] = map[string]any{"round": "soon"} }),
		"few descriptors":  change(func(m map[string]any) { m["limits"] = map[string]any{"sockets": 40} }),
		"no op type":       change(func(m map[string]any) { m["settings"] = map[string]any{} }),
		"a name twice": change(func(m map[string]any) {
			classes := m["settings"].(map[string]any)["classes"].([]any)
			classes[1].(map[string]any)["name"] = classes[0].(map[string]any)["name"]
		}),
		"limits of words": change(func(m map[string]any) { m["limits"] = "none" }),
		"bad server":      change(func(m map[string]any) { m["known"] = map[string]any{"servers": []any{map[string]any{"id": "s-1"}}} }),
	} {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), runAsGateway+"=1", "LB_CONFIG="+config)
		out, err := cmd.CombinedOutput()
		if cmd.ProcessState.ExitCode() != 1 || strings.Count(string(out), "\n") != 1 || !strings.HasPrefix(string(out), "gorsewell: ") {
			t.Errorf("%s: %v, %q", name, err, out)
		}
	}
}
