// Command rig plays the cases of the review: it starts gateways by the deploy file's command and stands in for their
// clients, database servers, discovery and platform, all on loopback addresses.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// rig is one play of a case.
type rig struct {
	root, temp    string
	trouble       bool
	tellsPosition bool // answers carry the server's position
	servers       []*server
	gateways      []*gateway
	discoveryAddr string
	start         time.Time
	lastID        atomic.Int64
	finishing     sync.Mutex

	mu    sync.Mutex
	lines []line
}

// line is a line of the record.
type line struct {
	at   time.Time
	text string
}

// gateway is a gateway process.
type gateway struct {
	rig      *rig
	name     string
	addr     string
	cmd      *exec.Cmd
	memoryMB int
	ended    chan struct{} // closed when the process has ended
	stopping atomic.Bool   // the rig has asked it to end
	killed   atomic.Bool   // the platform killed it, as it used more than its memory
	peakMB   atomic.Int64
}

// note adds a line to the record.
func (r *rig) note(at time.Time, format string, args ...any) {
	r.mu.Lock()
	r.lines = append(r.lines, line{at, fmt.Sprintf(format, args...)})
	r.mu.Unlock()
}

// say adds a line to the record and prints it.
func (r *rig) say(format string, args ...any) {
	r.note(time.Now(), format, args...)
	fmt.Printf(format+"\n", args...)
}

// finish ends all processes, writes the record and exits.
func (r *rig) finish(code int) {
	r.finishing.Lock() // for good: only one call finishes
	for _, g := range r.gateways {
		g.stopping.Store(true)
		g.cmd.Process.Signal(syscall.SIGCONT)
		g.cmd.Process.Kill()
		<-g.ended
	}
	r.mu.Lock()
	slices.SortStableFunc(r.lines, func(a, b line) int { return a.at.Compare(b.at) })
	var b strings.Builder
	for _, l := range r.lines {
		fmt.Fprintf(&b, "%8.3f %s\n", l.at.Sub(r.start).Seconds(), l.text)
	}
	r.mu.Unlock()
	for _, g := range r.gateways {
		if text, err := os.ReadFile(g.logPath()); err == nil {
			fmt.Fprintf(&b, "log of gateway %s:\n%s", g.name, text)
		}
	}
	fmt.Fprintf(&b, "exit %d\n", code)
	if err := os.WriteFile(os.Getenv("RECORD"), []byte(b.String()), 0o644); err != nil {
		fmt.Println(err)
		code = 2
	}
	os.RemoveAll(r.temp)
	os.Exit(code)
}

// cannotRun ends the play because the case could not run.
func (r *rig) cannotRun(format string, args ...any) {
	r.say("cannot run: "+format, args...)
	r.finish(2)
}

// verdict ends the play.
func (r *rig) verdict(broken bool, format string, args ...any) {
	r.say(format, args...)
	if broken {
		r.say("the rule was broken")
		r.finish(1)
	}
	r.say("the rule held")
	r.finish(0)
}

// startDiscovery starts a discovery service that lists the servers. The list never changes.
func (r *rig) startDiscovery() {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.cannotRun("listening: %v", err)
	}
	r.discoveryAddr = l.Addr().String()
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Query().Get("since") != strconv.Itoa(listVersion) {
			json.NewEncoder(w).Encode(r.list())
			return
		}
		wait, _ := strconv.Atoi(q.URL.Query().Get("timeout_ms"))
		select {
		case <-q.Context().Done():
		case <-time.After(time.Duration(wait) * time.Millisecond):
		}
		json.NewEncoder(w).Encode(map[string]any{"version": listVersion, "full": false, "servers": []any{}})
	}))
}

const listVersion = 41

// list returns discovery's list of the servers.
func (r *rig) list() map[string]any {
	var all []any
	for _, s := range r.servers {
		all = append(all, map[string]any{"id": s.id, "addr": s.addr, "zone": "a", "kind": "std",
			"cell": s.group, "state": "in_service", "role": s.role(), "weight": 1.0, "started_ms": 0})
	}
	return map[string]any{"version": listVersion, "full": true, "servers": all}
}

// runCommand returns the command of the deploy file that starts a gateway.
func (r *rig) runCommand() string {
	f, err := os.Open(filepath.Join(r.root, "deploy/balancer.toml"))
	if err != nil {
		r.cannotRun("%v", err)
	}
	defer f.Close()
	for s := bufio.NewScanner(f); s.Scan(); {
		if name, value, ok := strings.Cut(s.Text(), "="); ok && strings.TrimSpace(name) == "run" {
			if command, err := strconv.Unquote(strings.TrimSpace(value)); err == nil {
				return command
			}
		}
	}
	r.cannotRun("deploy/balancer.toml has no run command")
	return ""
}

// startGateway starts a gateway and waits until it answers an empty query.
func (r *rig) startGateway(name string, settings map[string]any, memoryMB, sockets int) *gateway {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.cannotRun("listening: %v", err)
	}
	addr := l.Addr().String()
	l.Close()
	config, err := json.MarshalIndent(map[string]any{"name": name, "listen": addr, "discovery": r.discoveryAddr,
		"seed": fmt.Sprintf("%x", 0x8c1f30d27a5be964+uint64(len(r.gateways))), "known": r.list(), "settings": settings,
		"limits": map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets}}, "", "  ")
	path := filepath.Join(r.temp, name+".json")
	if err == nil {
		err = os.WriteFile(path, config, 0o644)
	}
	g := &gateway{rig: r, name: name, addr: addr, memoryMB: memoryMB, ended: make(chan struct{})}
	log, logErr := os.Create(g.logPath())
	if err != nil || logErr != nil {
		r.cannotRun("writing the configuration: %v %v", err, logErr)
	}
	g.cmd = exec.Command("/bin/sh", "-c", r.runCommand())
	g.cmd.Dir, g.cmd.Stdout, g.cmd.Stderr = r.root, log, log
	g.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "TMPDIR=" + r.temp, "LB_NAME=" + name, "LB_LISTEN=" + addr,
		"LB_DISCOVERY=" + r.discoveryAddr, "LB_CONFIG=" + path}
	if err := g.cmd.Start(); err != nil {
		r.cannotRun("starting a gateway: %v", err)
	}
	r.gateways = append(r.gateways, g)
	go func() {
		err := g.cmd.Wait()
		if !g.stopping.Load() {
			r.say("gateway %s has ended: %v", name, err)
		}
		close(g.ended)
	}()
	go g.limitMemory()
	for ready := false; !ready; {
		if time.Since(r.start) > 10*time.Second {
			r.cannotRun("gateway %s is not ready", name)
		}
		time.Sleep(20 * time.Millisecond)
		if c, err := dial(addr); err == nil {
			c.SetDeadline(time.Now().Add(time.Second))
			c.Write(queryMessage(""))
			ready = c.read().kind == "empty"
			c.Close()
		}
	}
	r.note(time.Now(), "gateway %s is ready", name)
	return g
}

func (g *gateway) logPath() string { return filepath.Join(g.rig.temp, g.name+".log") }

// limitMemory does what the platform does: it kills the gateway when it uses more than its memory. Only anonymous
// memory is counted, which is less than the platform counts.
func (g *gateway) limitMemory() {
	for {
		select {
		case <-g.ended:
			return
		case <-time.After(5 * time.Millisecond):
		}
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.cmd.Process.Pid))
		if err != nil {
			continue
		}
		_, rest, ok := strings.Cut(string(text), "RssAnon:")
		if !ok {
			continue
		}
		kb, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
		g.peakMB.Store(max(g.peakMB.Load(), kb>>10))
		if kb>>10 > int64(g.memoryMB) {
			g.killed.Store(true)
			g.rig.say("platform: gateway %s uses %d MB of %d MB and is killed", g.name, kb>>10, g.memoryMB)
			g.cmd.Process.Kill()
			return
		}
	}
}

// newID returns a fresh id of a request.
func (r *rig) newID() string { return fmt.Sprintf("%016x", 0x1b1f03aa00000000+r.lastID.Add(1)) }

// request is one request of a client.
type request struct {
	id, class string
	gateway   *gateway
	wait      time.Duration // for which the client waits
	sentAt    time.Time     // when its last byte was written
	answer    answer
}

// lateBy returns how long after the client's time the answer came; no answer counts as an hour.
func (q *request) lateBy() time.Duration {
	if strings.HasPrefix(q.answer.kind, "no answer") {
		return time.Hour
	}
	return q.answer.at.Sub(q.sentAt) - q.wait
}

// ask sends a request on a connection and waits for its answer, at most 3 s longer than the client's time.
func (r *rig) ask(c *client, g *gateway, id, class string, wait time.Duration, statement string) *request {
	q := &request{id: id, class: class, gateway: g, wait: wait}
	c.SetDeadline(time.Now().Add(wait + 3*time.Second))
	_, err := c.Write(queryMessage(statement))
	q.sentAt = time.Now()
	if err != nil {
		q.answer = answer{kind: "not sent: " + errorName(err), at: q.sentAt}
	} else {
		q.answer = c.read()
	}
	if q.answer.kind == "acked" && q.answer.value != valueOf(id) {
		q.answer.kind = "no answer: foreign value"
		r.note(q.answer.at, "client got the %q for id=%s", q.answer.value, id)
	}
	r.note(q.sentAt, "client sent %-16s id=%s d=%d to gateway %s", class, id, wait.Milliseconds(), g.name)
	r.note(q.answer.at, "client got  %-16s id=%s after %.3f s: %s", class, id, q.answer.at.Sub(q.sentAt).Seconds(), q.answer.kind)
	return q
}

// readStatement and writeStatement return statements in the form of the protocol page.
func readStatement(id, class, key string, wait time.Duration, group int, after time.Time) string {
	suffix := ""
	if !after.IsZero() {
		suffix = fmt.Sprintf(",after=%d", after.UnixMilli())
	}
	return fmt.Sprintf("SELECT data FROM facts WHERE code = '%s' /* id=%s,c=%s,d=%d,cluster=%d%s */",
		key, id, class, wait.Milliseconds(), group, suffix)
}

func writeStatement(id, class, key, value, mark string, wait time.Duration, group int) string {
	if mark != "" {
		mark = ",k=" + mark
	}
	return fmt.Sprintf(`INSERT INTO facts (code, data) VALUES ('%s', '\x%s') RETURNING data /* id=%s,c=%s,d=%d%s,cluster=%d */`,
		key, value, id, class, wait.Milliseconds(), mark, group)
}

func main() {
	temp, err := os.MkdirTemp("", "review")
	if err != nil || len(os.Args) != 2 || os.Getenv("RECORD") == "" {
		fmt.Println("usage: RECORD=FILE rig CASE")
		os.Exit(2)
	}
	root, _ := os.Getwd()
	r := &rig{root: root, temp: temp, trouble: os.Getenv("TROUBLE") != "0", start: time.Now()}
	time.AfterFunc(110*time.Second, func() { r.cannotRun("it takes too long") })
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		r.cannotRun("interrupted")
	}()
	play, ok := cases[os.Args[1]]
	if !ok {
		r.cannotRun("no case %q", os.Args[1])
	}
	play(r)
}
