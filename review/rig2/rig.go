package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	noRun  = 2
)

// cannotRun ends the process, as the case could not run.
func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "could not run: "+format+"\n", args...)
	endGateways()
	os.Exit(noRun)
}

// record is the file that tells what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	if err != nil {
		cannotRun("%v", err)
	}
	return &record{file: f, start: time.Now()}
}

// add writes a line with the time since the start.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// entry is a server in the list.
type entry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
	Role    string  `json:"role,omitempty"`
}

// list is an answer of discovery.
type list struct {
	Version int     `json:"version"`
	Full    bool    `json:"full"`
	Servers []entry `json:"servers"`
}

// discovery is a stand-in for the discovery service. It handles calls that wait for changes, and may be slow.
type discovery struct {
	rec      *record
	listener net.Listener
	mu       sync.Mutex
	current  list
	changed  map[string]int // version of the newest change of each server
	wake     chan struct{}  // closed at a change
	delay    time.Duration  // of every answer
}

func startDiscovery(rec *record, servers []entry) *discovery {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("%v", err)
	}
	d := &discovery{rec: rec, listener: l, changed: map[string]int{}, wake: make(chan struct{}),
		current: list{Version: 1, Full: true, Servers: servers}}
	for _, s := range servers {
		d.changed[s.ID] = 1
	}
	go http.Serve(l, http.HandlerFunc(d.handle))
	return d
}

func (d *discovery) addr() string { return d.listener.Addr().String() }

// set changes the state of a server.
func (d *discovery) set(id, state string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.current.Version++
	d.current.Servers = append([]entry(nil), d.current.Servers...)
	for i := range d.current.Servers {
		if d.current.Servers[i].ID == id {
			d.current.Servers[i].State = state
			d.changed[id] = d.current.Version
		}
	}
	close(d.wake)
	d.wake = make(chan struct{})
	d.rec.add("discovery: %s is %s from version %d on", id, state, d.current.Version)
}

// full returns the whole list.
func (d *discovery) full() list {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.current
}

func (d *discovery) setDelay(delay time.Duration) {
	d.mu.Lock()
	d.delay = delay
	d.mu.Unlock()
}

func (d *discovery) handle(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	delay := d.delay
	d.mu.Unlock()
	select {
	case <-time.After(delay):
	case <-r.Context().Done():
		return
	}
	since, err := strconv.Atoi(r.URL.Query().Get("since"))
	answer := d.full()
	if err == nil {
		wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
		end := time.After(time.Duration(wait) * time.Millisecond)
		for waiting := true; waiting; {
			d.mu.Lock()
			answer, waiting = d.current, d.current.Version <= since
			wake := d.wake
			d.mu.Unlock()
			if waiting {
				select {
				case <-wake:
				case <-end:
					waiting = false
				case <-r.Context().Done():
					return
				}
			}
		}
		d.mu.Lock()
		answer = list{Version: d.current.Version, Servers: []entry{}}
		for _, s := range d.current.Servers {
			if d.changed[s.ID] > since {
				answer.Servers = append(answer.Servers, s)
			}
		}
		d.mu.Unlock()
	}
	b, _ := json.Marshal(answer)
	w.Header().Set("Content-Type", "application/json")
	w.Write(b)
	if len(answer.Servers) > 0 {
		d.rec.add("discovery: answered %s with version %d, full=%v, %d servers", r.URL.RequestURI(), answer.Version,
			answer.Full, len(answer.Servers))
	}
}

// freeAddr returns a loopback address with a free port.
func freeAddr() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("%v", err)
	}
	defer l.Close()
	return l.Addr().String()
}

// gateway is a process of the gateway.
type gateway struct {
	addr, config string
	cmd          *exec.Cmd
	rec          *record
	log          string
	ended        chan struct{}
}

var gateways []*gateway

// endGateways kills all processes of gateways that still run.
func endGateways() {
	for _, g := range gateways {
		g.cmd.Process.Kill()
		<-g.ended
	}
}

// runCommand returns the command that the deploy file names.
func runCommand(root string) string {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		cannotRun("%v", err)
	}
	for line := range strings.Lines(string(text)) {
		if name, value, ok := strings.Cut(line, "="); ok && strings.TrimSpace(name) == "run" {
			command, err := strconv.Unquote(strings.TrimSpace(value))
			if err == nil {
				return command
			}
		}
	}
	cannotRun("no run command in the deploy file")
	return ""
}

// startGateway starts a gateway and waits until it answers an empty query.
func startGateway(rec *record, folder, name string, config map[string]any) *gateway {
	g := &gateway{addr: freeAddr(), rec: rec, ended: make(chan struct{})}
	config["name"], config["listen"] = name, g.addr
	if config["seed"] == nil {
		config["seed"] = "8c1f30d27a5be964"
	}
	text, err := json.Marshal(config)
	if err != nil {
		cannotRun("%v", err)
	}
	g.config, g.log = filepath.Join(folder, name+".json"), filepath.Join(folder, name+".log")
	if err := os.WriteFile(g.config, text, 0o644); err != nil {
		cannotRun("%v", err)
	}
	g.start()
	return g
}

// start starts the process.
func (g *gateway) start() {
	root := os.Getenv("REVIEW_ROOT")
	logFile, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		cannotRun("%v", err)
	}
	g.cmd = exec.Command("/bin/sh", "-c", runCommand(root))
	g.cmd.Dir = root
	g.cmd.Env = append(os.Environ(), "LB_CONFIG="+g.config)
	g.cmd.Stdout, g.cmd.Stderr = logFile, logFile
	g.ended = make(chan struct{})
	if err := g.cmd.Start(); err != nil {
		cannotRun("%v", err)
	}
	gateways = append(gateways, g)
	go func(cmd *exec.Cmd, ended chan struct{}) {
		cmd.Wait()
		logFile.Close()
		close(ended)
	}(g.cmd, g.ended)
	g.rec.add("gateway started")
	for end := time.Now().Add(10 * time.Second); ; {
		if c, err := dialGateway(g.addr); err == nil {
			c.SetDeadline(time.Now().Add(2 * time.Second))
			c.Write(query(""))
			answer, err := c.await()
			c.Close()
			if err == nil && answer == "empty" {
				g.rec.add("gateway ready")
				return
			}
		}
		if time.Now().After(end) {
			cannotRun("the gateway is not ready")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// signal sends a signal to the process.
func (g *gateway) signal(s syscall.Signal) {
	g.rec.add("gateway gets %v", s)
	g.cmd.Process.Signal(s)
}

// crashed reports whether the process has ended.
func (g *gateway) crashed() bool {
	select {
	case <-g.ended:
		return true
	default:
		return false
	}
}

// opClass is an op type in the settings. Times are in milliseconds.
func opClass(name, effect string, target, giveUp, window int, worth, late float64) map[string]any {
	return map[string]any{"name": name, "effect": effect, "dedup_scope": "cell", "target": target * 1e6,
		"give_up": giveUp * 1e6, "window": window * 1e6, "worth": worth, "late_value": late, "stream": false}
}

// settings are those of a small deployment with the figures of capitol-assessor.
func settings(gateways int) map[string]any {
	return map[string]any{
		"balancers": gateways, "round": 5000000, "registry_mode": "on_request",
		"classes": []any{
			opClass("parcel-lookup", "retryable", 500, 1200, 5000, 2, 0),
			opClass("own-edit-view", "retryable", 600, 2000, 5000, 1, 0),
			opClass("declaration-save", "dedup", 600, 3000, 2000, 3, 0.3),
		},
		"clients": map[string]any{"marks_retry": true},
		"family_info": map[string]any{"checks": "bounce", "lag_allowed": []int{200000000, 0, 0},
			"needs_by_class": []string{"lag_bound", "causal", "mutate"}, "tells_position": true,
			"role_in_list": "static", "write_marks": "brought"},
		"limits": map[string]any{"connect_timeout": 250000000, "keepalive": 30000000000, "max_attempts": 8,
			"max_retry_after": 2000000000, "may_cancel": true, "probing": true, "retry_after": true,
			"second_copies": false, "streams_per_conn": 1},
		"models": []string{"std-3core"}, "zones": []string{"capitol-annex", "records-bldg"},
		"report": map[string]any{"names": []string{"x0", "x1"}, "via": "pull"},
		"rules": map[string]any{"answer_slack": 20000000, "cold": 18000000000, "cold_from": 0.17,
			"drain_grace": 250000000, "fall": 3000000000, "must_ask_in": 10000000000, "overload_factor": 4.0},
	}
}

// group starts the servers of group 0, the first as its primary, and returns them with their entries in the list.
func group(rec *record, n int, answer func(s *server, text string) reply) (servers []*server, entries []entry) {
	for i := range n {
		role := "replica"
		if i == 0 {
			role = "primary"
		}
		s := startServer(rec, fmt.Sprintf("s-5be2a07%d", i), role, answer)
		servers = append(servers, s)
		entries = append(entries, entry{ID: s.id, Addr: s.addr(), Zone: "capitol-annex", Kind: "std-3core",
			State: "in_service", Weight: 1, Role: role})
	}
	return servers, entries
}

// platform returns the platform's configuration of a gateway.
func platform(d *discovery, memoryMB int, s map[string]any) map[string]any {
	return map[string]any{"discovery": d.addr(), "known": d.full(), "settings": s,
		"limits": map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": 1024}}
}
