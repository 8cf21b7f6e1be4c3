// Package loopback plays a deployment on sockets of 127.0.0.0/8: stand-in servers with queues, cores, a log that replicas
// apply and failover, a list service, clients that ask with intended start times, and gateways, each a process of its own. It
// takes the same description of a world as the emulator, so that a day can be played in both and compared.
package loopback

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"gorsewell/internal/emulator"
	"gorsewell/internal/pgwire"
)

// fleet is the servers of a world.
type fleet struct {
	world     *emulator.World
	seed      uint64
	checker   *checker
	discovery *discovery

	mu      sync.Mutex // guards all below and in the servers; held for moments only
	servers []*server
	groups  []*group
	closed  bool
	running sync.WaitGroup
}

type group struct {
	fleet         *fleet
	members       []*server
	primary       *server
	primaryLostAt int64 // Unix milliseconds
	term          int
	tokens        map[string]*token
}

// token is what a group remembers of a tokened op.
type token struct {
	lastSeen, at time.Time
	committed    bool
	position     int64
	pending      int
}

// server is one stand-in database server.
type server struct {
	fleet *fleet
	num   int
	group *group
	zone  int
	addr  string
	speed float64
	cores int

	listener      net.Listener // nil while it is down
	generation    int
	conns         map[net.Conn]struct{}
	started       time.Time // zero: long ago
	draining      bool
	hung          bool
	refusing      bool
	slowdown      float64
	errorShare    float64
	applySlowdown float64

	busy      int
	queue     []*job
	suspended []func()
	backlog   []int64
	applied   int64
	applying  bool
}

// job is one query at a server.
type job struct {
	server      *server
	generation  int
	id          string
	op          uint64 // the client's request
	attempt     int
	opType      *emulator.OpType
	write       bool
	minPosition int64 // position to see, Unix milliseconds; 0: any
	token       *token
	tokenKey    string
	sentAt      time.Time
	done        chan answer
}

// answer is what a server says; code is empty for a value.
type answer struct {
	code     string
	value    string
	role     string
	position int64
	reset    bool
}

func newFleet(w *emulator.World, seed uint64, check *checker) (*fleet, error) {
	f := &fleet{world: w, seed: seed, checker: check}
	f.discovery = newDiscovery(f)
	for i := range w.Servers.Groups {
		g := &group{fleet: f, tokens: map[string]*token{}}
		f.groups = append(f.groups, g)
		for j := range w.Servers.Members {
			k := w.Servers.Kinds[i%len(w.Servers.Kinds)]
			s := &server{fleet: f, num: len(f.servers) + 1, group: g, zone: (i + j) % w.Zones, cores: k.Cores, speed: k.Speed, slowdown: 1, applySlowdown: 1,
				conns: map[net.Conn]struct{}{}, applied: time.Now().UnixMilli()}
			f.servers = append(f.servers, s)
			g.members = append(g.members, s)
			if err := s.listen(); err != nil {
				return nil, errors.Join(err, f.close())
			}
		}
		g.primary = g.members[0]
	}
	f.discovery.init()
	return f, nil
}

func (f *fleet) close() error {
	f.mu.Lock()
	f.closed = true
	for _, s := range f.servers {
		s.shutDown()
	}
	f.mu.Unlock()
	f.running.Wait()
	return nil
}

// listen takes connections at the server's own address. The lock is not needed before the day begins.
func (s *server) listen() error {
	at := s.addr
	if at == "" {
		at = fmt.Sprintf("127.%d.%d.%d:0", 10+s.num>>16&0x7f, s.num>>8&0xff, s.num&0xff)
	}
	l, err := net.Listen("tcp", at)
	if err != nil {
		return err
	}
	s.addr, s.listener = l.Addr().String(), l
	life := s.generation
	s.fleet.running.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.fleet.mu.Lock()
			fits := s.generation == life && !s.fleet.closed && (s.fleet.world.Servers.Conns == 0 || len(s.conns) < s.fleet.world.Servers.Conns)
			if fits {
				s.conns[c] = struct{}{}
			}
			s.fleet.mu.Unlock()
			if !fits {
				c.Close()
				continue
			}
			s.fleet.running.Go(func() {
				s.serve(c, life)
				c.Close()
				s.fleet.mu.Lock()
				delete(s.conns, c)
				s.fleet.mu.Unlock()
			})
		}
	})
	return nil
}

// down ends the process: connections are reset, new ones refused. The lock is held.
func (s *server) shutDown() {
	if s.listener == nil {
		return
	}
	s.applied = s.position()
	s.listener.Close()
	s.listener = nil
	s.generation++
	s.busy, s.queue, s.suspended, s.backlog, s.applying, s.hung = 0, nil, nil, nil, false, false
	for c := range s.conns {
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		c.Close()
	}
}

// serve answers one connection.
func (s *server) serve(c net.Conn, life int) {
	var w pgwire.ReadBuffer
	read := func() bool {
		n, err := c.Read(w.Space())
		w.Filled(n)
		return err == nil || n > 0
	}
	for size := 0; size == 0; {
		var err error
		if _, size, err = pgwire.ParseStartup(w.Bytes()); err != nil || size == 0 && !read() {
			return
		}
		w.Discard(size)
	}
	if s.waitWhileHung(life) {
		return
	}
	s.fleet.mu.Lock()
	handshake := time.Duration(float64(s.fleet.world.Servers.Handshake) / s.currentSpeed())
	s.fleet.mu.Unlock()
	time.Sleep(handshake) // what a new connection costs
	if _, err := c.Write(pgwire.AppendStartupReply(nil)); err != nil {
		return
	}
	for {
		m, ok, err := w.Next()
		switch {
		case err != nil || !ok && !read():
			return
		case !ok:
			continue
		case m.Type != pgwire.Query:
			return
		}
		text := string(m.Body[:len(m.Body)-1])
		a := s.query(text, life)
		if a.reset {
			return
		}
		if _, err := c.Write(a.encode()); err != nil {
			return
		}
	}
}

// waitWhileHung waits until the server goes on; true if it ended instead.
func (s *server) waitWhileHung(life int) bool {
	for {
		s.fleet.mu.Lock()
		hung, ended := s.hung, s.generation != life
		s.fleet.mu.Unlock()
		if ended || !hung {
			return ended
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// bytes is the answer on the wire.
func (a answer) encode() []byte {
	var b []byte
	if a.code != "" {
		b = pgwire.AppendError(nil, "ERROR", a.code, "as the stand-in has it", "")
	} else {
		n := len(a.value)
		b = pgwire.AppendMessage(nil, pgwire.RowDescription,
			"\x00\x01data\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01")
		b = pgwire.AppendMessage(b, pgwire.DataRow, "\x00\x01", string([]byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)}), a.value)
		b = pgwire.AppendMessage(b, pgwire.CommandComplete, "SELECT 1\x00")
	}
	if a.role != "" {
		b = pgwire.AppendMessage(b, pgwire.ParameterStatus, "role\x00", a.role, "\x00")
		b = pgwire.AppendMessage(b, pgwire.ParameterStatus, "applied_ms\x00", strconv.FormatInt(a.position, 10), "\x00")
	}
	return pgwire.AppendReady(b)
}

// fields reads the comment of a statement.
func parseComment(text string) map[string]string {
	_, rest, ok := strings.Cut(text, "/*")
	body, _, ok2 := strings.Cut(rest, "*/")
	if !ok || !ok2 {
		return nil
	}
	all := map[string]string{}
	for part := range strings.SplitSeq(body, ",") {
		if name, value, ok := strings.Cut(strings.TrimSpace(part), "="); ok {
			all[name] = value
		}
	}
	return all
}

// query takes one query and waits for its answer.
func (s *server) query(text string, life int) answer {
	switch text {
	case "":
		return answer{code: "00000"}
	case "SHOW load":
		if s.waitProbeWhileHung(life) {
			return answer{reset: true}
		}
		s.fleet.mu.Lock()
		defer s.fleet.mu.Unlock()
		role := 0
		if s.group.primary == s {
			role = 1
		}
		return answer{value: fmt.Sprintf("x0=%.3f,x1=%d", float64(s.position())/1000, role)}
	}
	v := parseComment(text)
	id := v["id"]
	var op uint64
	var try int
	if _, err := fmt.Sscanf(id, "%x.%d", &op, &try); err != nil {
		return answer{code: "08P01"}
	}
	j := &job{server: s, generation: life, id: id, op: op, attempt: try, tokenKey: v["k"], sentAt: time.Now(), done: make(chan answer, 1)}
	for i := range s.fleet.world.OpTypes {
		if t := &s.fleet.world.OpTypes[i]; t.Name == v["c"] {
			j.opType = t
		}
	}
	if j.opType == nil {
		return answer{code: "08P01"}
	}
	j.write = j.opType.Need == "write"
	switch j.opType.Need {
	case "session":
		j.minPosition, _ = strconv.ParseInt(v["after"], 10, 64)
	case "bounded":
		j.minPosition = j.sentAt.Add(-j.opType.Bound).UnixMilli()
	}
	s.fleet.checker.opArrived(s, j)
	s.fleet.mu.Lock()
	s.admit(j)
	s.fleet.mu.Unlock()
	a := <-j.done
	s.fleet.checker.answerReady(s, j, a)
	return a
}

// waitWhileHungProbe is for probes: a server that hangs may still answer them.
func (s *server) waitProbeWhileHung(life int) bool {
	if s.fleet.world.Reports.OnHung {
		return false
	}
	return s.waitWhileHung(life)
}

// ramp and pace are as in the emulator. The lock is held.
func (s *server) warmUpFactor() float64 {
	if s.started.IsZero() {
		return 1
	}
	c := &s.fleet.world.Servers
	return min(1, c.ColdFrom+(1-c.ColdFrom)*float64(time.Since(s.started))/float64(max(1, c.ColdTime)))
}

func (s *server) currentSpeed() float64 { return s.speed * s.warmUpFactor() / s.slowdown }

// position is how far the server's data reach. The lock is held.
func (s *server) position() int64 {
	now := time.Now().UnixMilli()
	ship := s.fleet.world.Log.Ship.Milliseconds()
	p := s.group.primary
	switch {
	case p == s:
		return now
	case len(s.backlog) > 0:
		return max(s.applied, s.backlog[0]-1)
	case p != nil && p.listener != nil && !p.hung:
		return max(s.applied, now-ship)
	}
	return max(s.applied, s.group.primaryLostAt-ship)
}

// arrive takes a job whose last byte has come. The lock is held.
func (s *server) admit(j *job) {
	switch {
	case s.generation != j.generation:
		j.done <- answer{reset: true}
	case s.hung:
		s.suspended = append(s.suspended, func() { s.admit(j) })
	case s.draining || s.refusing:
		s.reply(j, "53300")
	case j.write && s.group.primary != s:
		s.reply(j, "25006")
	case !j.write && s.fleet.world.Reports.Checks == "refuses" && s.group.primary != s && j.minPosition > s.position():
		s.reply(j, "72000")
	case s.busy >= s.cores && len(s.queue) >= s.fleet.world.Servers.Queue*s.cores:
		s.reply(j, "53300")
	default:
		s.group.trackToken(j)
		s.startWork(j)
	}
}

// comes notes that a tokened op has come in. The lock is held.
func (g *group) trackToken(j *job) {
	if !j.write || j.opType.Effect != "tokened" || j.tokenKey == "" {
		return
	}
	k := g.tokens[j.tokenKey]
	if k == nil || k.pending == 0 && time.Since(k.lastSeen) > j.opType.Window {
		k = &token{}
		g.tokens[j.tokenKey] = k
	}
	k.lastSeen = time.Now()
	k.pending++
	j.token = k
	if len(g.tokens) > 4096 {
		for key, old := range g.tokens {
			if old.pending == 0 && time.Since(old.lastSeen) > 2*j.opType.Window {
				delete(g.tokens, key)
			}
		}
	}
}

// begin lets a job work, or wait for a core. The lock is held.
func (s *server) startWork(j *job) {
	if s.busy >= s.cores {
		s.queue = append(s.queue, j)
		return
	}
	s.busy++
	s.fleet.checker.workStarted(s, j, s.position())
	work := j.opType.Draw(s.fleet.seed, j.op, j.attempt, s.num)
	time.AfterFunc(time.Duration(float64(work)/s.currentSpeed()), func() {
		s.fleet.mu.Lock()
		defer s.fleet.mu.Unlock()
		s.finishWork(j)
	})
}

// finish ends a job's work. The lock is held.
func (s *server) finishWork(j *job) {
	switch {
	case s.generation != j.generation:
		j.done <- answer{reset: true}
		return
	case s.hung:
		s.suspended = append(s.suspended, func() { s.finishWork(j) })
		return
	}
	s.busy--
	for len(s.queue) > 0 && s.busy < s.cores {
		next := s.queue[0]
		s.queue = s.queue[1:]
		s.startWork(next)
	}
	failed := s.errorShare > 0 && emulator.Chance(s.fleet.seed, 0xfa17, j.op, uint64(j.attempt), uint64(s.num)) < s.errorShare
	if j.token != nil {
		j.token.pending--
	}
	if j.write {
		if s.group.primary != s {
			s.reply(j, "XX000")
			return
		}
		if j.token == nil || !j.token.committed {
			commit := time.Now().UnixMilli()
			if j.token != nil {
				j.token.committed, j.token.position = true, commit
			}
			s.fleet.checker.writeApplied(s, j)
			s.group.replicate(commit)
		}
	}
	if failed {
		s.reply(j, "XX000")
		return
	}
	s.reply(j, "")
}

// reply answers. The lock is held.
func (s *server) reply(j *job, code string) {
	a := answer{code: code, role: "replica", position: s.position()}
	if s.group.primary == s {
		a.role = "primary"
	}
	if code == "" {
		a.value = fmt.Sprintf("%s by %d", j.id, s.num)
		if j.write && j.token != nil {
			a.position = j.token.position
		}
	}
	j.done <- a
}

// commit ships a write to the replicas. The lock is held.
func (g *group) replicate(at int64) {
	for _, s := range g.members {
		if s == g.primary || s.listener == nil {
			continue
		}
		life := s.generation
		time.AfterFunc(g.fleet.world.Log.Ship, func() {
			g.fleet.mu.Lock()
			defer g.fleet.mu.Unlock()
			if s.generation == life && s.group.primary != s {
				s.backlog = append(s.backlog, at)
				s.applyNext()
			}
		})
	}
}

// applies works on the next commit. The lock is held.
func (s *server) applyNext() {
	if s.applying || len(s.backlog) == 0 || s.hung || s.listener == nil || s.group.primary == s {
		return
	}
	s.applying = true
	life, commit := s.generation, s.backlog[0]
	u := emulator.Chance(s.fleet.seed, 0x10f, uint64(s.num), uint64(commit))
	work := time.Duration(float64(s.fleet.world.Log.Apply) * emulator.Exponential(u) * s.applySlowdown / s.currentSpeed())
	time.AfterFunc(work, func() {
		s.fleet.mu.Lock()
		defer s.fleet.mu.Unlock()
		if s.generation != life || !s.applying {
			return
		}
		s.applying = false
		s.backlog = s.backlog[1:]
		s.applied = max(s.applied, commit)
		s.applyNext()
	})
}

// lost is called when a member is dead or hung. The lock is held.
func (g *group) memberLost(s *server) {
	if g.primary != s {
		return
	}
	g.primaryLostAt = time.Now().UnixMilli()
	term := g.term
	time.AfterFunc(g.fleet.world.Failover.Detect, func() {
		g.fleet.mu.Lock()
		defer g.fleet.mu.Unlock()
		if g.term != term || s.listener != nil && !s.hung && g.primary == s {
			return
		}
		s.applied = max(s.applied, g.primaryLostAt)
		g.primary = nil
		g.elect(g.fleet.world.Failover.Elect)
	})
}

// elect makes the member that is furthest a primary, after a time. The lock is held.
func (g *group) elect(after time.Duration) {
	time.AfterFunc(after, func() {
		g.fleet.mu.Lock()
		defer g.fleet.mu.Unlock()
		if g.primary != nil || g.fleet.closed {
			return
		}
		var best *server
		for _, s := range g.members {
			if s.listener != nil && !s.hung && !s.draining && (best == nil || s.position() > best.position()) {
				best = s
			}
		}
		if best == nil {
			g.elect(g.fleet.world.Failover.Elect)
			return
		}
		g.term++
		best.backlog, best.applying, best.applied = nil, false, time.Now().UnixMilli()
		g.primary = best
		g.fleet.checker.event("server %d is primary", best.num)
	})
}

// crash ends a server's process.
func (s *server) crash() {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	s.shutDown()
	s.group.memberLost(s)
	s.fleet.discovery.publishAfter(s, s.fleet.world.List.Down)
}

// start brings it back, cold.
func (s *server) start() error {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	if s.listener != nil || s.fleet.closed {
		return nil
	}
	s.started = time.Now()
	if s.group.primary == s {
		s.group.term++
		s.group.primary = nil
		s.group.elect(s.fleet.world.Failover.Elect)
	}
	s.applied = max(s.applied, time.Now().Add(-2*time.Second).UnixMilli()) // it catches up from what the others kept
	if err := s.listen(); err != nil {
		return err
	}
	s.fleet.discovery.publishAfter(s, s.fleet.world.List.Added)
	return nil
}

// set changes what ails a server.
func (s *server) update(change func(s *server)) {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	wasHung := s.hung
	change(s)
	switch {
	case s.hung && !wasHung:
		s.group.memberLost(s)
	case wasHung && !s.hung:
		stuck := s.suspended
		s.suspended = nil
		for _, do := range stuck {
			do()
		}
		s.applyNext()
	}
}
