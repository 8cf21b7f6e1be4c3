package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"gorsewell/internal/pgwire"
	"gorsewell/internal/standin"
)

// replaceField returns a JSON configuration in which the value of a key is replaced.
func replaceField(t *testing.T, config, name string, value any) string {
	t.Helper()
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal([]byte(config), &fields); err != nil {
		t.Fatal(err)
	}
	text, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	fields[name] = text
	if text, err = json.Marshal(fields); err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// unusedAddress returns an address at which nothing listens.
func unusedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// Idle, silent and half-open clients use up all connections while discovery is down and connections to servers are
// opened. Clients that send ops must still be answered, those with an open op must keep their connection, and the
// gateway must reach discovery as soon as it is up.
func TestIdleClientsDoNotExhaustDescriptors(t *testing.T) {
	const sockets = 96
	arrived, release, requests := make(chan struct{}, 64), make(chan struct{}), make(chan struct{}, 64)
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests <- struct{}{}
		if r.URL.RawQuery != "" {
			<-r.Context().Done()
		}
		fmt.Fprint(w, `{"version":1,"full":false,"servers":[]}`)
	}))
	t.Cleanup(discovery.Close)
	cmd, addr, out, path := startGatewayWith(t, func(role, query string) ([]byte, bool) {
		if strings.Contains(query, "id=9") {
			arrived <- struct{}{}
			<-release
		}
		return standin.Row("v", role, time.Now().UnixMilli()), true
	}, func(config string) string {
		config = replaceField(t, config, "discovery", unusedAddress(t))
		config = replaceField(t, config, "limits", map[string]any{"cores": 1, "memory_mb": 64, "sockets": sockets})
		return config
	})
	limit := unix.Rlimit{Cur: sockets, Max: sockets}
	if err := unix.Prlimit(cmd.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
		t.Fatal(err)
	}
	for n := range 3 * sockets { // connections above the limit get an error and are closed
		c, err := standin.DialTCP(addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		startup := pgwire.AppendStartup(nil, "portal", "crm")
		c.WriteBytes([][]byte{startup, startup[:9], nil, append(startup, pgwire.AppendQuery(nil, "")...)}[n%4])
	}
	if maxClients := sockets - reservedDescriptors - (sockets-reservedDescriptors)/3; maxClients < 20 {
		t.Fatalf("got a limit of %d clients, want at least 20", maxClients)
	}
	time.Sleep(2100 * time.Millisecond) // clients that have sent something count as idle after 2 s
	var waiting []*standin.Client
	for n := range 4 { // the op of each occupies a connection to a server
		c, err := standin.Dial(addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.WriteBytes(pgwire.AppendQuery(nil, fmt.Sprintf(lookupQuery, 900+n)))
		<-arrived
		waiting = append(waiting, c)
	}
	for n := range 5 {
		c, err := standin.Dial(addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if got, err := c.Query(fmt.Sprintf(lookupQuery, n)); err != nil || got != "v" {
			t.Errorf("new client: got %q, %v, want v", got, err)
		}
	}
	config, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	moved := replaceField(t, string(config), "discovery", strings.TrimPrefix(discovery.URL, "http://"))
	if err := os.WriteFile(path, []byte(moved), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd.Process.Signal(syscall.SIGHUP)
	<-requests // for the whole list
	<-requests // of a watch
	close(release)
	for _, c := range waiting {
		if got, err := c.ReadAnswer(); err != nil || got != "v" {
			t.Errorf("client with an open op: got %q, %v, want v", got, err)
		}
	}
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		t.Errorf("got %v, want exit code 0; log %s", err, out)
	}
	if log := out.String(); strings.Contains(log, "accept_failed") || !strings.Contains(log, "discovery_back") ||
		!strings.Contains(log, " held=0 ") || !strings.Contains(log, "assertions_broken=0") {
		t.Error(log)
	}
}

// A gateway accepts clients without waiting for discovery, which may be down, silent or overloaded, even if its
// configuration has an empty list.
func TestStartupDoesNotDependOnDiscovery(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	var gateways sync.WaitGroup
	for n := range 30 {
		gateways.Go(func() {
			start := time.Now()
			_, addr, _, _ := startGatewayWith(t, func(role, _ string) ([]byte, bool) {
				return standin.Row("v", role, 1), true
			}, func(config string) string {
				config = replaceField(t, config, "discovery", []string{silent.Addr().String(), unusedAddress(t)}[n%2])
				if n%3 == 0 {
					config = replaceField(t, config, "known", map[string]any{})
				}
				return config
			})
			c, err := standin.Dial(addr)
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			if got, err := c.Query(""); err != nil || got != "I" || time.Since(start) > 10*time.Second {
				t.Errorf("empty query: got %q, %v after %v, want I within 10 s", got, err, time.Since(start))
			}
		})
	}
	gateways.Wait()
}

// dialGateway connects to a gateway until the test ends.
func dialGateway(t *testing.T, addr string) *standin.Client {
	t.Helper()
	c, err := standin.Dial(addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// stopProcess sends SIGSTOP and waits until all threads of the process stand still.
func stopProcess(t *testing.T, process *os.Process) {
	t.Helper()
	process.Signal(syscall.SIGSTOP)
	standsStill := func(task string) bool {
		text, err := os.ReadFile(task)
		_, fields, found := strings.Cut(string(text), ") ") // behind the name of the program
		return err != nil || found && strings.HasPrefix(fields, "T")
	}
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		tasks, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", process.Pid))
		if len(tasks) > 0 && !slices.ContainsFunc(tasks, func(task string) bool { return !standsStill(task) }) {
			return
		}
		if time.Now().After(end) {
			t.Fatal("the process does not stand still after SIGSTOP")
		}
	}
}

// A gateway that stands still for longer than a message may take must not close the connection over its rest, which has
// arrived meanwhile.
func TestMessageThatArrivedWhileProcessStoodStillIsRead(t *testing.T) {
	cmd, addr, out, _ := startGateway(t, func(role, _ string) ([]byte, bool) {
		return standin.Row("v", role, time.Now().UnixMilli()), true
	})
	c, err := standin.Dial(addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	for n := range 10 { // so that answer times are known
		if got, err := c.Query(fmt.Sprintf(lookupQuery, 10+n)); err != nil || got != "v" {
			t.Fatalf("got %q, %v, want v; log %s", got, err, out)
		}
	}
	// Their clients wait until shortly after the gateway goes on.
	patient := strings.Replace(lookupQuery, "d=2500", "d=2990", 1)
	long := strings.Replace(fmt.Sprintf(patient, 1), "'k'", "'"+strings.Repeat("k", 40<<10)+"'", 1)
	input := append(pgwire.AppendQuery(nil, long), pgwire.AppendQuery(nil, fmt.Sprintf(patient, 2))...)
	c.WriteBytes(input[:20<<10])
	time.Sleep(50 * time.Millisecond) // the first piece is read
	stopProcess(t, cmd.Process)
	c.WriteBytes(input[20<<10:])
	time.Sleep(2600 * time.Millisecond) // longer than a message may take
	cmd.Process.Signal(syscall.SIGCONT)
	for range 2 {
		if got, err := c.ReadAnswer(); err != nil || got != "v" {
			t.Errorf("got %q, %v, want v; log %s", got, err, out)
		}
	}
}

// The time of requests that had arrived while the process stood still was counted from their reading: servers were told
// more than was left, and answers came after the clients' time.
func TestTimeOfRequestsRunsWhileProcessStandsStill(t *testing.T) {
	const wait, still, slack, lateness = 2 * time.Second, 900 * time.Millisecond, 150 * time.Millisecond, 500 * time.Millisecond
	var mu sync.Mutex
	var sentAt time.Time
	told := map[string]time.Duration{}
	cmd, addr, _, _ := startGateway(t, func(role, query string) ([]byte, bool) {
		_, rest, _ := strings.Cut(query, ",d=")
		digits, _, _ := strings.Cut(rest, ",")
		milliseconds, _ := strconv.Atoi(digits)
		mu.Lock()
		defer mu.Unlock()
		if id := queryID(query); id != "" {
			told[id] = max(told[id], time.Duration(milliseconds)*time.Millisecond-(wait-time.Since(sentAt)))
		}
		if strings.HasPrefix(query, "INSERT") {
			return nil, true // no answer
		}
		return standin.Row("v", role, time.Now().UnixMilli()), true
	})
	lookup := func(id int) string {
		return strings.Replace(fmt.Sprintf(lookupQuery, id), "d=2500", fmt.Sprintf("d=%d", wait.Milliseconds()), 1)
	}
	single, several := dialGateway(t, addr), dialGateway(t, addr)
	stopProcess(t, cmd.Process)
	newOne, err := standin.DialTCP(addr)
	if err != nil {
		t.Fatal(err)
	}
	defer newOne.Close()
	mu.Lock()
	sentAt = time.Now()
	mu.Unlock()
	single.WriteBytes(pgwire.AppendQuery(nil, saveStatement("hangs", 1, wait)))
	several.WriteBytes(append(pgwire.AppendQuery(nil, lookup(1)), pgwire.AppendQuery(nil, lookup(2))...))
	newOne.WriteBytes(append(pgwire.AppendStartup(nil, "portal", "crm"), pgwire.AppendQuery(nil, lookup(3))...))
	time.Sleep(still)
	cmd.Process.Signal(syscall.SIGCONT)
	for _, c := range []struct {
		client *standin.Client
		want   []string
	}{{several, []string{"v", "v"}}, {newOne, []string{"", "v"}}, {single, []string{"C08007"}}} {
		for _, want := range c.want {
			if got, err := c.client.ReadAnswer(); err != nil || got != want {
				t.Errorf("got %q, %v, want %q", got, err, want)
			}
		}
	}
	if took := time.Since(sentAt); took > wait+lateness {
		t.Errorf("the last answer came %v after its request, whose client waits for %v", took, wait)
	}
	mu.Lock()
	defer mu.Unlock()
	for _, id := range []string{"hangs", "1", "2", "3"} {
		if surplus, sent := told[id]; !sent || surplus > slack {
			t.Errorf("op %s: got servers told %v more than was left (sent: %v), want at most %v", id, surplus, sent, slack)
		}
	}
}

// A gateway that stands still for longer than a call of discovery may take must not report that discovery failed.
func TestDiscoveryIsNotBlamedForStallOfTheGateway(t *testing.T) {
	cmd, addr, out, _ := startGateway(t, func(role, _ string) ([]byte, bool) {
		return standin.Row("v", role, time.Now().UnixMilli()), true
	})
	cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(4 * time.Second)
	cmd.Process.Signal(syscall.SIGCONT)
	c, err := standin.Dial(addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if got, err := c.Query(fmt.Sprintf(lookupQuery, 1)); err != nil || got != "v" {
		t.Errorf("got %q, %v, want v", got, err)
	}
	c.Close()
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		t.Errorf("got %v, want exit code 0", err)
	}
	if log := out.String(); strings.Contains(log, "discovery_failed") || strings.Contains(log, "set aside") {
		t.Errorf("discovery or a server was blamed; log %s", log)
	}
}
