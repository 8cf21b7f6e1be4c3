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

// runAsGateway is an environment variable. If it is set, the test binary runs as the gateway.
const runAsGateway = "GORSEWELL_TEST_RUN"

func TestMain(m *testing.M) {
	if os.Getenv(runAsGateway) != "" {
		main()
		return
	}
	if clients := os.Getenv(runAsFlood); clients != "" {
		floodFromEnvironment(clients)
		return
	}
	os.Exit(m.Run())
}

// addressCount is the number of listen addresses assigned to gateways.
var addressCount atomic.Int32

// lookupQuery is a read; the format's argument is the op's id.
const lookupQuery = "SELECT data FROM facts WHERE code = 'k' /* id=%d,c=lookup,d=2500,cluster=0 */"

// startGateway starts a gateway process with a group of servers and waits until it accepts clients. It returns the
// process, the gateway's address, its standard error and the path of its configuration. The process is killed when the
// test ends.
func startGateway(t *testing.T, answer func(role, query string) ([]byte, bool), env ...string) (
	*exec.Cmd, string, *strings.Builder, string) {
	t.Helper()
	return startGatewayWith(t, answer, func(string) string { return "" }, env...)
}

// startGatewayWith is like startGateway, but changes the gateway's configuration with a function. If the function
// returns "", the configuration is that of the group.
func startGatewayWith(t *testing.T, answer func(role, query string) ([]byte, bool),
	change func(config string) string, env ...string) (*exec.Cmd, string, *strings.Builder, string) {
	t.Helper()
	// Each gateway has its own address, as a client's connection could take a free port before the gateway listens on
	// it. Those of another test process are others.
	n := addressCount.Add(1)
	addr := fmt.Sprintf("127.%d.%d.%d:5432", 64+os.Getpid()%128, n>>8, n&0xff)
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
			t.Fatalf("the gateway does not accept clients: %v, log %s", err, out)
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
		t.Errorf("empty query: got %q, %v, want I", got, err)
	}
	for id := range 3 {
		if got, err := c.Query(fmt.Sprintf(lookupQuery, id)); err != nil || got != "from a replica" {
			t.Errorf("got %q, %v, want an answer from a replica", got, err)
		}
	}
	cmd.Process.Signal(syscall.SIGUSR1)
	var held sync.WaitGroup
	held.Go(func() {
		if got, err := c.Query(fmt.Sprintf(lookupQuery, 9)); err != nil || got != "from a replica" {
			t.Errorf("op that is open at SIGTERM: got %q, %v, want an answer from a replica", got, err)
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
		t.Errorf("op after SIGTERM: got %q, %v, want an answer from a replica", got, err)
	}
	time.Sleep(600 * time.Millisecond)
	close(slow)
	held.Wait()
	if err := cmd.Wait(); err != nil {
		t.Errorf("got %v, want exit code 0; log %s", err, out)
	}
	log := out.String()
	if !strings.Contains(log, "event=counters taken=") || !strings.Contains(log, "event=stopped taken=5 acked=5 ") ||
		!strings.Contains(log, " held=0 ") || !strings.Contains(log, " server_open=0 ") ||
		!strings.Contains(log, "assertions_broken=0") {
		t.Error(log)
	}
}

// LB_DISCOVERY names the old discovery service during the whole test. Each reload ends before the next SIGHUP, which
// the counts in the log confirm.
func TestSIGHUPMovesToDiscoveryOfNewFile(t *testing.T) {
	requests := make(chan string, 16)
	startDiscovery := func(name string) string {
		s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			requests <- name + r.URL.RawQuery
			<-r.Context().Done()
		}))
		t.Cleanup(s.Close)
		return strings.TrimPrefix(s.URL, "http://")
	}
	oldAddr, newAddr := startDiscovery("old "), startDiscovery("new ")
	cmd, addr, out, path := startGateway(t, func(role, _ string) ([]byte, bool) {
		return standin.Row("v", role, time.Now().UnixMilli()), true
	}, "LB_DISCOVERY="+oldAddr)
	if got := <-requests; got != "old since=1&timeout_ms=10" {
		t.Errorf("got request %q, want a watch at the old discovery", got)
	}
	good, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var file struct{ Discovery string }
	if err := json.Unmarshal(good, &file); err != nil {
		t.Fatal(err)
	}
	moved := strings.Replace(string(good), file.Discovery, newAddr, 1)
	for _, text := range []string{"", moved[:len(moved)/2],
		strings.Replace(moved, `"round":5000000`, `"round":"soon"`, 1),
		strings.Replace(moved, newAddr, "nowhere", 1), moved, moved, moved} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		cmd.Process.Signal(syscall.SIGHUP)
		time.Sleep(50 * time.Millisecond)
	}
	if got := <-requests; got != "new " {
		t.Errorf("got request %q, want one for the whole list at the new discovery", got)
	}
	c, err := standin.Dial(addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if got, err := c.Query(fmt.Sprintf(lookupQuery, 1)); err != nil || got != "v" {
		t.Errorf("op after the reloads: got %q, %v, want v", got, err)
	}
	cmd.Process.Signal(syscall.SIGTERM)
	cmd.Process.Signal(syscall.SIGHUP)
	if err := cmd.Wait(); err != nil {
		t.Errorf("got %v, want exit code 0; log %s", err, out)
	}
	log := out.String()
	if strings.Count(log, "event=reload_failed") != 4 || strings.Count(log, "event=discovery_moved") != 1 ||
		len(requests) > 0 {
		t.Errorf("got %d more requests, want 0 of them, 4 failed reloads and 1 move; log %s", len(requests), log)
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
	edited := func(edit func(map[string]any)) string {
		config := map[string]any{}
		if err := json.Unmarshal(good.Config, &config); err != nil {
			t.Fatal(err)
		}
		edit(config)
		text, err := json.Marshal(config)
		if err != nil {
			t.Fatal(err)
		}
		return write(string(text))
	}
	for name, config := range map[string]string{
		"no config":             "",
		"no such file":          filepath.Join(t.TempDir(), "none"),
		"not JSON":              write("{"),
		"no listen":             edited(func(m map[string]any) { delete(m, "listen") }),
		"bad listen":            edited(func(m map[string]any) { m["listen"] = "nowhere" }),
		"another host's listen": edited(func(m map[string]any) { m["listen"] = "192.0.2.1:5432" }),
		"bad discovery":         edited(func(m map[string]any) { m["discovery"] = "nowhere" }),
		"bad seed":              edited(func(m map[string]any) { m["seed"] = "xyz" }),
		"no settings":           edited(func(m map[string]any) { delete(m, "settings") }),
		"bad setting":           edited(func(m map[string]any) { m["settings"] = map[string]any{"round": "soon"} }),
		"too few sockets":       edited(func(m map[string]any) { m["limits"] = map[string]any{"sockets": 40} }),
		"no op types":           edited(func(m map[string]any) { m["settings"] = map[string]any{} }),
		"duplicate name": edited(func(m map[string]any) {
			opTypes := m["settings"].(map[string]any)["classes"].([]any)
			opTypes[1].(map[string]any)["name"] = opTypes[0].(map[string]any)["name"]
		}),
		"limits not an object": edited(func(m map[string]any) { m["limits"] = "none" }),
		"bad server": edited(func(m map[string]any) {
			m["known"] = map[string]any{"servers": []any{map[string]any{"id": "s-1"}}}
		}),
	} {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), runAsGateway+"=1", "LB_CONFIG="+config)
		out, err := cmd.CombinedOutput()
		if cmd.ProcessState.ExitCode() != 1 || strings.Count(string(out), "\n") != 1 ||
			!strings.HasPrefix(string(out), "gorsewell: ") {
			t.Errorf("%s: got %v and output %q, want exit code 1 and one line of output", name, err, out)
		}
	}
}
