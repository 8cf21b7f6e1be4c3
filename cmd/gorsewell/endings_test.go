package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"gorsewell/internal/pgwire"
	"gorsewell/internal/standin"
)

// swap puts another value in the place of the one that a configuration has.
func replaceField(t *testing.T, config, name string, value any) string {
	t.Helper()
	all := map[string]json.RawMessage{}
	if err := json.Unmarshal([]byte(config), &all); err != nil {
		t.Fatal(err)
	}
	text, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	all[name] = text
	if text, err = json.Marshal(all); err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// dead is an address at which nobody listens.
func unusedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// Idle, silent and half-open clients take all the room that there is, while discovery is down and servers are dialled. Who asks is
// answered all the same, who is owed an answer keeps its connection, and discovery is reached as soon as it is there.
func TestIdleClientsDoNotExhaustDescriptors(t *testing.T) {
	const sockets = 96
	held, release, asked := make(chan struct{}, 64), make(chan struct{}), make(chan struct{}, 64)
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked <- struct{}{}
		if r.URL.RawQuery != "" {
			<-r.Context().Done()
		}
		fmt.Fprint(w, `{"version":1,"full":false,"servers":[]}`)
	}))
	t.Cleanup(discovery.Close)
	cmd, addr, out, path := startGatewayWith(t, func(role, query string) ([]byte, bool) {
		if strings.Contains(query, "id=9") {
			held <- struct{}{}
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
	for n := range 3 * sockets { // those that find no room are told so
		c, err := standin.Open(addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		startup := pgwire.AppendStartup(nil, "portal", "crm")
		c.Say([][]byte{startup, startup[:9], nil, append(startup, pgwire.AppendQuery(nil, "")...)}[n%4])
	}
	if bound := sockets - reservedDescriptors - (sockets-reservedDescriptors)/3; bound < 20 {
		t.Fatalf("%d clients fill nothing", bound)
	}
	time.Sleep(2100 * time.Millisecond) // those that have spoken count as idle after two seconds
	var owed []*standin.Client
	for n := range 4 { // each with a connection to a server of its own
		c, err := standin.Dial(addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.Say(pgwire.AppendQuery(nil, fmt.Sprintf(lookupQuery, 900+n)))
		<-held
		owed = append(owed, c)
	}
	for n := range 5 {
		c, err := standin.Dial(addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if got, err := c.Query(fmt.Sprintf(lookupQuery, n)); err != nil || got != "v" {
			t.Errorf("who asks: %q, %v", got, err)
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
	<-asked // for the whole list
	<-asked // and by a watch
	close(release)
	for _, c := range owed {
		if got, err := c.Answer(); err != nil || got != "v" {
			t.Errorf("who is owed an answer: %q, %v", got, err)
		}
	}
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		t.Errorf("%v: %s", err, out)
	}
	if log := out.String(); strings.Contains(log, "accept_failed") || !strings.Contains(log, "discovery_back") ||
		!strings.Contains(log, " held=0 ") || !strings.Contains(log, "assertions_broken=0") {
		t.Error(log)
	}
}

// Ready waits for nobody: not for discovery, which may be down, silent or overloaded, and not for a list that says something.
func TestStartupDoesNotDependOnDiscovery(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	var all sync.WaitGroup
	for n := range 30 {
		all.Go(func() {
			began := time.Now()
			_, addr, _, _ := startGatewayWith(t, func(role, _ string) ([]byte, bool) { return standin.Row("v", role, 1), true }, func(config string) string {
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
			if got, err := c.Query(""); err != nil || got != "I" || time.Since(began) > 10*time.Second {
				t.Errorf("an empty query: %q, %v after %v", got, err, time.Since(began))
			}
		})
	}
	all.Wait()
}
