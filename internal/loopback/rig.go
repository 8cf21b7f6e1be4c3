package loopback

import (
	"bufio"
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	mathrand "math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"gorsewell/internal/emulator"
	"gorsewell/internal/gossip/keys"
	"gorsewell/internal/pgwire"
)

// Scenario describes a run on sockets.
type Scenario struct {
	World   emulator.World
	Faults  []emulator.Fault
	Gossip  bool
	Seed    uint64
	Program string        // path of the gateway's binary
	WarmUp  time.Duration // time that the gateways run before the first op
	LogDir  string        // folder for the gateways' logs; none are kept if it is empty

	// ChangeSettings, if not nil, changes the settings of one gateway and reports whether its clients mark retries as
	// such. It simulates a migration, in which gateways with different settings use the same servers.
	ChangeSettings func(index int, settings map[string]any) (marksRetries bool)
}

// marksRetries reports whether the clients of a gateway mark retries as such.
func (s *Scenario) marksRetries(index int) bool {
	if s.ChangeSettings == nil {
		return s.World.Clients.Marks
	}
	return s.ChangeSettings(index, deploymentSettings(&s.World))
}

// allocatedAddrs counts the calls of freeAddr, so that up to 250 of them each use another host.
var allocatedAddrs atomic.Int64

// harness runs one scenario.
type harness struct {
	Scenario
	dir           string // folder of the gateways' configuration, keys and certificates
	fleet         *fleet
	checker       *checker
	discoveryAddr string
	authority     *keys.Authority // issues the certificates of the gateways

	mu         sync.Mutex        // guards the fields below and those of the gateways
	gateways   []*gatewayProcess // by index
	liars      map[int]*liar     // by index of the gateway
	closing    bool              // stop has been called
	logReaders sync.WaitGroup    // goroutines that read the log of a process until it ends
}

// gatewayProcess is the process of one gateway. It may end and be started again.
type gatewayProcess struct {
	harness      *harness
	index        int
	addr         string
	gossipAddr   string
	env          []string      // environment of the process
	cmd          *exec.Cmd     // nil before the first start
	downSince    time.Time     // zero while it runs
	counterLines string        // log lines with counters
	lastLine     string        // last log line
	exited       chan struct{} // closed when the process has ended
}

// FaultKinds lists the kinds of faults that can be injected on sockets.
var FaultKinds = []string{"crash", "hang", "slow", "error", "refuse", "slow_apply", "drain", "list_silent",
	"gateway_crash", "gateway_roll", "gateway_pause", "liar"}

// Run runs a scenario. It takes as long as the scenario's world lasts and leaves nothing running. A cancelled context
// ends the run only before the first op.
func Run(ctx context.Context, scenario Scenario) (*Result, error) {
	for i, f := range scenario.Faults {
		if !slices.Contains(FaultKinds, f.Kind) {
			return nil, fmt.Errorf("faults[%d]: %q cannot be injected on sockets; expected one of %s", i, f.Kind,
				strings.Join(FaultKinds, ", "))
		}
	}
	dir, err := os.MkdirTemp("", "gorsewell-loopback-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	h := &harness{Scenario: scenario, dir: dir, liars: map[int]*liar{}}
	h.checker = newChecker(&h.World)
	if h.fleet, err = newFleet(&h.World, scenario.Seed, h.checker); err != nil {
		return nil, err
	}
	defer h.fleet.close()
	if h.discoveryAddr, err = h.fleet.discovery.listen(); err != nil {
		return nil, err
	}
	defer h.fleet.discovery.close()
	defer h.stop()
	if err := h.startGateways(); err != nil {
		return nil, err
	}
	select {
	case <-time.After(scenario.WarmUp):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	var addrs []string
	for _, p := range h.gateways {
		addrs = append(addrs, p.addr)
	}
	c := newClients(&h.World, scenario.Seed, addrs, h.pickGateway, h.marksRetries)
	h.checker.start = time.Now()
	stop := make(chan struct{})
	var faults sync.WaitGroup
	for i := range scenario.Faults {
		faults.Go(func() { h.injectFault(&scenario.Faults[i], i, stop) })
	}
	c.run()
	close(stop)
	faults.Wait()
	h.stop()
	res := c.result
	h.checker.mu.Lock()
	defer h.checker.mu.Unlock()
	for i, n := range h.checker.violations {
		res.Broken[i] += n
	}
	res.Stories = append(res.Stories, h.checker.stories...)
	res.Events, res.Sends = h.checker.events, h.checker.sends
	res.StartupTimes = h.checker.startupTimes
	for _, p := range h.gateways {
		res.CounterLogs = append(res.CounterLogs, p.counterLines)
	}
	return res, nil
}

// deploymentSettings returns the settings of the deployment that the gateways get.
func deploymentSettings(world *emulator.World) map[string]any {
	var classes []any
	var needs, bounds []any
	for _, t := range world.OpTypes {
		effect := map[string]string{"retryable": "retryable", "tokened": "dedup", "non_retryable": "fragile"}[t.Effect]
		scope := map[string]string{"group": "cell", "zone": "zone", "all": "all"}[t.Scope]
		classes = append(classes, map[string]any{"name": t.Name, "effect": effect, "dedup_scope": scope,
			"window": int64(t.Window), "target": int64(t.Target), "give_up": int64(t.Timeout), "worth": t.Value,
			"late_value": t.LateValue})
		needs = append(needs, map[string]string{"write": "mutate", "fresh": "strong", "session": "causal",
			"bounded": "lag_bound", "any": "eventual"}[t.Need])
		bound := int64(0)
		if t.Need == "bounded" {
			bound = int64(t.Bound)
		}
		bounds = append(bounds, bound)
	}
	checks := map[string]string{"none": "silent", "refuses": "bounce", "waits": "await"}[world.Reports.Checks]
	writeMarks := "kept"
	if world.Reports.Carried {
		writeMarks = "brought"
	}
	report := map[string]any{"via": "none"}
	if world.Reports.Probes {
		report = map[string]any{"via": "pull", "names": []any{"x0", "x1"}}
	}
	mode := "pushed"
	if world.List.Asked {
		mode = "on_request"
	}
	return map[string]any{"balancers": world.Gateways.Count, "round": int64(world.Gateways.Round), "registry_mode": mode,
		"classes": classes, "report": report,
		"family_info": map[string]any{"needs_by_class": needs, "lag_allowed": bounds, "tells_position": world.Reports.Answers,
			"write_marks": writeMarks, "checks": checks},
		"limits": map[string]any{"connect_timeout": int64(world.Servers.ConnectFor), "keepalive": int64(world.Servers.Idle),
			"max_attempts": world.Gateways.MaxSends, "may_cancel": world.Gateways.Cancels, "probing": world.Gateways.Probes,
			"retry_after": world.Gateways.ComeBack > 0, "max_retry_after": int64(world.Gateways.ComeBack)},
		"rules": map[string]any{"must_ask_in": int64(world.List.Within), "cold_from": world.Servers.ColdFrom,
			"cold": int64(world.Servers.ColdTime), "overload_factor": world.Rules.Overload, "fall": int64(world.Rules.FallTime),
			"only_draining_binds": world.Reports.GoneRuns}}
}

// freeAddr returns an address in 127.0.0.0/8 whose port is free for TCP and UDP.
func freeAddr() (string, error) {
	// Each address has a host of its own, because the port has to stay free while the process is down, and other processes
	// and outgoing connections take free ports of 127.0.0.1.
	host := fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()>>8%64, os.Getpid()&255, 1+allocatedAddrs.Add(1)%250)
	for range 20 {
		l, err := net.Listen("tcp", host+":0")
		if err != nil {
			return "", err
		}
		addr := l.Addr().String()
		u, err := net.ListenPacket("udp", addr)
		l.Close()
		if err == nil {
			u.Close()
			return addr, nil
		}
	}
	return "", errors.New("found no port that is free for TCP and UDP in 20 attempts")
}

// startGateways starts all gateways and waits until each accepts ops.
func (h *harness) startGateways() error {
	var err error
	if h.authority, err = keys.NewAuthority("day"); err != nil {
		return err
	}
	if _, _, err = keys.WriteAuthority(h.dir, h.authority); err != nil {
		return err
	}
	known, err := json.Marshal(h.fleet.discovery.listSince(0))
	if err != nil {
		return err
	}
	var seeds []string
	for i := range h.World.Gateways.Count {
		p := &gatewayProcess{harness: h, index: i}
		if p.addr, err = freeAddr(); err != nil {
			return err
		}
		if p.gossipAddr, err = freeAddr(); err != nil {
			return err
		}
		if len(seeds) < 3 {
			seeds = append(seeds, p.gossipAddr)
		}
		h.gateways = append(h.gateways, p)
	}
	for _, p := range h.gateways {
		values := deploymentSettings(&h.World)
		if h.ChangeSettings != nil {
			h.ChangeSettings(p.index, values)
		}
		settings, err := json.Marshal(values)
		if err != nil {
			return err
		}
		if err := p.writeFiles(known, settings, seeds); err != nil {
			return err
		}
		if err := p.start(); err != nil {
			return err
		}
	}
	for _, p := range h.gateways {
		if err := p.waitReady(); err != nil {
			return err
		}
	}
	return nil
}

// writeFiles writes the configuration files, key and certificate of the gateway and sets its environment.
func (p *gatewayProcess) writeFiles(known, settings []byte, seeds []string) error {
	name := fmt.Sprintf("g%04d", p.index)
	base := filepath.Join(p.harness.dir, name)
	text := fmt.Appendf(nil, `{"name":%q,"listen":%q,"discovery":%q,"seed":"%x","limits":{"cores":1,"memory_mb":96,"sockets":1024},"known":%s,"settings":%s}`,
		name, p.addr, p.harness.discoveryAddr, p.harness.Seed<<16|uint64(p.index), known, settings)
	if err := os.WriteFile(base+".json", text, 0o600); err != nil {
		return err
	}
	_, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return err
	}
	cert, err := p.harness.authority.Issue(name, private.Public().(ed25519.PublicKey), time.Now().Add(24*time.Hour))
	if err != nil {
		return err
	}
	if err := errors.Join(keys.WriteKey(base+".key", private), keys.WriteCertificate(base+".crt", cert)); err != nil {
		return err
	}
	p.env = append(os.Environ(), "LB_CONFIG="+base+".json", "LB_NAME=", "LB_LISTEN=", "LB_DISCOVERY=",
		"GORSEWELL_CONFIG=", "GOMAXPROCS=1")
	g := &p.harness.World.Gossip
	yaml := fmt.Sprintf("gossip:\n  enabled: true\n  cluster: day\n  listen: %q\n  seeds: [\"%s\"]\n  certificate: %s.crt\n  key: %s.key\n  authorities: [day.authority]\n"+
		"  probe_every: %v\n  probe_timeout: %v\n  suspect_for: %v\n  tell_every: %v\n  sync_every: %v\n  rumour_life: %v\n",
		p.gossipAddr, strings.Join(seeds, `", "`), name, name, g.ProbeEvery, g.ProbeTimeout, g.SuspectFor, g.TellEvery, g.SyncEvery, g.RumourLife)
	return os.WriteFile(base+".yaml", []byte(yaml), 0o600)
}

// isLiar reports whether a fault makes the gateway a liar. The harness then sends gossip in its name, and the process
// runs without gossip.
func (p *gatewayProcess) isLiar() bool { return slices.Contains(p.harness.liarIndexes(), p.index) }

// start starts the process.
func (p *gatewayProcess) start() error {
	args := []string{"run"}
	if p.harness.Gossip && !p.isLiar() {
		args = append(args, "--config", filepath.Join(p.harness.dir, fmt.Sprintf("g%04d.yaml", p.index)))
	}
	cmd := exec.Command(p.harness.Program, args...)
	cmd.Env = p.env
	out, err := cmd.StderrPipe()
	if err != nil {
		return err
	}
	var log io.Writer = io.Discard
	if p.harness.LogDir != "" {
		f, err := os.OpenFile(filepath.Join(p.harness.LogDir, fmt.Sprintf("g%04d.log", p.index)),
			os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return err
		}
		log = f
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.harness.mu.Lock()
	p.cmd, p.downSince, p.exited = cmd, time.Time{}, make(chan struct{})
	exited := p.exited
	p.harness.mu.Unlock()
	p.harness.logReaders.Go(func() {
		lines := bufio.NewScanner(out)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			fmt.Fprintln(log, lines.Text())
			p.harness.mu.Lock()
			p.lastLine = lines.Text()
			p.harness.mu.Unlock()
			if strings.Contains(lines.Text(), "event=gossip_counters") || strings.Contains(lines.Text(), "event=stopped") {
				p.harness.mu.Lock()
				p.counterLines += lines.Text() + "\n"
				p.harness.mu.Unlock()
			}
		}
		cmd.Wait()
		close(exited)
		if f, ok := log.(*os.File); ok {
			f.Close()
		}
	})
	return nil
}

// waitReady waits until the gateway accepts ops. It fails if the process ends, with its last log line, or if 20 s have
// passed. The texts of its errors become part of a run's events.
func (p *gatewayProcess) waitReady() error {
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if c, err := net.DialTimeout("tcp", p.addr, time.Second); err == nil {
			c.SetDeadline(time.Now().Add(time.Second))
			c.Write(append(pgwire.AppendStartup(nil, "portal", "crm"), pgwire.AppendQuery(nil, "")...))
			k := &conn{Conn: c}
			_, first := k.readResponse()
			_, second := k.readResponse()
			c.Close()
			if first == nil && second == nil {
				return nil
			}
		}
		select {
		case <-p.exited:
			p.harness.mu.Lock()
			defer p.harness.mu.Unlock()
			return fmt.Errorf("gateway %d ended at its start: %s", p.index, p.lastLine)
		default:
		}
		if time.Now().After(end) {
			return fmt.Errorf("gateway %d does not answer", p.index)
		}
	}
}

// pickGateway returns the index of the gateway to which a load balancer routes a client: the client's home gateway, or
// the next one once the load balancer has detected that the home gateway is down.
func (h *harness) pickGateway(home int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := len(h.gateways)
	for i := range n {
		p := h.gateways[(home+i)%n]
		if p.downSince.IsZero() || time.Since(p.downSince) < h.World.Gateways.FrontKnows {
			return p.index
		}
	}
	return home
}

// killAndRestart kills a gateway and starts it again after a delay.
func (h *harness) killAndRestart(p *gatewayProcess, back time.Duration, stop <-chan struct{}) {
	h.mu.Lock()
	cmd := p.cmd
	p.downSince = time.Now()
	h.mu.Unlock()
	cmd.Process.Kill()
	<-p.exited
	select {
	case <-time.After(back):
	case <-stop:
		return
	}
	h.mu.Lock()
	closing := h.closing
	h.mu.Unlock()
	if closing {
		return
	}
	began := time.Now()
	if err := errors.Join(p.start(), p.waitReady()); err != nil {
		h.checker.event("gateway %d does not start again: %v", p.index, err)
	}
	h.checker.gatewayReady(time.Since(began))
}

// Times of a planned stop, as the platform does it.
const (
	// frontDelay is how long the load balancer still routes clients to the gateway after the stop has begun.
	frontDelay = 300 * time.Millisecond
	// maxDrainTime is the longest time that a gateway has to end its ops; it has the longest op timeout if that is
	// shorter.
	maxDrainTime = 3 * time.Second
	// killMargin is how long after that time the process is killed if it is still running.
	killMargin = 700 * time.Millisecond
)

// stopAndRestart makes a planned stop of a gateway and starts it again after a delay.
func (h *harness) stopAndRestart(p *gatewayProcess, back time.Duration, stop <-chan struct{}) {
	longest := time.Duration(0)
	for _, t := range h.World.OpTypes {
		longest = max(longest, t.Timeout)
	}
	h.mu.Lock()
	cmd := p.cmd
	p.downSince = time.Now().Add(frontDelay - h.World.Gateways.FrontKnows) // pickGateway adds FrontKnows
	h.mu.Unlock()
	cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(min(longest, maxDrainTime) + killMargin):
		h.checker.event("gateway %d is killed: it did not end", p.index)
		cmd.Process.Kill()
		<-p.exited
	}
	select {
	case <-time.After(back):
	case <-stop:
		return
	}
	h.mu.Lock()
	closing := h.closing
	h.mu.Unlock()
	if closing {
		return
	}
	began := time.Now()
	if err := errors.Join(p.start(), p.waitReady()); err != nil {
		h.checker.event("gateway %d does not start again: %v", p.index, err)
	}
	h.checker.gatewayReady(time.Since(began))
}

// stop ends all liars and running gateways and waits for them. Gateways that have not ended 10 s after SIGTERM are
// killed.
func (h *harness) stop() {
	h.mu.Lock()
	alreadyCalled := h.closing
	h.closing = true
	var running []*gatewayProcess
	for _, p := range h.gateways {
		if p.cmd != nil && p.downSince.IsZero() {
			running = append(running, p)
		}
	}
	h.mu.Unlock()
	if alreadyCalled {
		return
	}
	for _, l := range h.liars {
		l.stop()
	}
	for _, p := range running {
		p.cmd.Process.Signal(syscall.SIGCONT)
		p.cmd.Process.Signal(syscall.SIGTERM)
	}
	for _, p := range running {
		select {
		case <-p.exited:
		case <-time.After(10 * time.Second):
			p.cmd.Process.Kill()
		}
	}
	h.logReaders.Wait()
}

// pickTargets draws the servers or gateways that a fault affects, as the emulator does.
func (h *harness) pickTargets(f *emulator.Fault, rng *mathrand.Rand) (servers []*server, gateways []*gatewayProcess) {
	amount := func(of int) int { // number of targets among the candidates
		n := f.Count
		if f.Share > 0 {
			n = int(f.Share*float64(of) + 0.5)
		}
		return min(of, max(1, n))
	}
	if strings.HasPrefix(f.Kind, "gateway") || f.Kind == "liar" {
		for _, i := range rng.Perm(len(h.gateways))[:amount(len(h.gateways))] {
			gateways = append(gateways, h.gateways[i])
		}
		return nil, gateways
	}
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	var candidates []*server
	for _, s := range h.fleet.servers {
		primary := s.group.primary == s
		if s.listener == nil || f.Zone > 0 && s.zone != f.Zone-1 || f.Group > 0 && s.groupIndex() != f.Group-1 ||
			f.Of == "primaries" && !primary || f.Of == "replicas" && primary {
			continue
		}
		candidates = append(candidates, s)
	}
	if len(candidates) > 0 {
		for _, i := range rng.Perm(len(candidates))[:amount(len(candidates))] {
			servers = append(servers, candidates[i])
		}
	}
	return servers, nil
}

// faultRand returns a source of the random numbers of the fault with an index. Each call begins at the first number, so
// that liarIndexes and injectFault pick the same gateways.
func (h *harness) faultRand(index int) *mathrand.Rand {
	return mathrand.New(mathrand.NewPCG(h.Seed, 0xfa01+uint64(index)))
}

// liarIndexes returns the indexes of the gateways that faults make liars at some time of the run.
func (h *harness) liarIndexes() (indexes []int) {
	for i := range h.Faults {
		if f := &h.Faults[i]; f.Kind == "liar" {
			_, gateways := h.pickTargets(f, h.faultRand(i))
			for _, p := range gateways {
				indexes = append(indexes, p.index)
			}
		}
	}
	return indexes
}

// injectFault injects the fault with an index at its times until the run stops.
func (h *harness) injectFault(f *emulator.Fault, index int, stop <-chan struct{}) {
	wait := func(d time.Duration) bool {
		select {
		case <-time.After(d):
			return true
		case <-stop:
			return false
		}
	}
	rng := h.faultRand(index)
	if f.At > 0 && !wait(f.At) {
		return
	}
	size := f.Size
	if size == 0 {
		size = map[string]float64{"slow": 5, "error": 0.6, "slow_apply": 8}[f.Kind]
	}
	if f.Kind == "list_silent" {
		h.checker.event("all watches fall silent")
		h.fleet.discovery.silenceWatches()
		return
	}
	for {
		servers, gateways := h.pickTargets(f, rng)
		h.checker.event("%s begins at %d servers, %d gateways", f.Kind, len(servers), len(gateways))
		var running sync.WaitGroup
		for i, p := range gateways {
			switch f.Kind {
			case "gateway_crash":
				running.Go(func() { h.killAndRestart(p, max(f.Back, 100*time.Millisecond), stop) })
			case "gateway_roll":
				running.Go(func() { h.stopAndRestart(p, max(f.Back, 100*time.Millisecond), stop) })
			case "gateway_pause":
				p.cmd.Process.Signal(syscall.SIGSTOP)
				running.Go(func() {
					wait(max(f.Back, 100*time.Millisecond))
					p.cmd.Process.Signal(syscall.SIGCONT)
				})
			case "liar":
				if h.Gossip {
					variant := f.How
					if variant == "" || variant == "mixed" {
						variant = emulator.LiarVariants[i%len(emulator.LiarVariants)]
					}
					h.startLiar(p, variant)
				}
			}
		}
		for _, s := range servers {
			h.setServerFault(f.Kind, s, size, true)
		}
		if f.For > 0 {
			wait(f.For)
			for _, s := range servers {
				h.setServerFault(f.Kind, s, size, false)
			}
			h.checker.event("%s ends", f.Kind)
		}
		running.Wait()
		if f.Every <= 0 || !wait(max(0, f.Every-f.For)) {
			return
		}
	}
}

// setServerFault starts or ends a fault of a server.
func (h *harness) setServerFault(kind string, s *server, severity float64, start bool) {
	switch kind {
	case "crash":
		if start {
			s.crash()
		} else if err := s.start(); err != nil {
			h.checker.event("server %d does not start again: %v", s.num, err)
		}
	case "drain": // when the fault ends, the process restarts cold and goes on draining
		if start {
			s.update(func(s *server) { s.draining = true })
			h.fleet.discovery.publishAfter(s, 0)
		} else {
			s.crash()
			if err := s.start(); err != nil {
				h.checker.event("server %d does not start again: %v", s.num, err)
			}
		}
	case "hang":
		s.update(func(s *server) { s.hung = start && s.listener != nil })
	case "slow":
		s.update(func(s *server) { s.slowdown = 1 + (severity-1)*boolToFloat(start) })
	case "error":
		s.update(func(s *server) { s.errorShare = severity * boolToFloat(start) })
	case "refuse":
		s.update(func(s *server) { s.refusing = start })
	case "slow_apply":
		s.update(func(s *server) { s.applySlowdown = 1 + (severity-1)*boolToFloat(start) })
	}
}

// boolToFloat returns 1 for true and 0 for false.
func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
