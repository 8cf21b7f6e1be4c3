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
	w     *emulator.World
	seed  uint64
	check *checker
	lists *discovery

	mu      sync.Mutex // guards all below and in the servers; held for moments only
	servers []*server
	groups  []*group
	closed  bool
	conns   sync.WaitGroup
}

type group struct {
	f       *fleet
	members []*server
	primary *server
	lostAt  int64 // Unix milliseconds
	term    int
	tokens  map[string]*token
}

// token is what a group remembers of a tokened op.
type token struct {
	seen, at time.Time
	done     bool
	commit   int64
	open     int
}

// server is one stand-in database server.
type server struct {
	f     *fleet
	num   int
	group *group
	zone  int
	addr  string
	speed float64
	cores int

	l        net.Listener // nil while it is down
	life     int
	live     map[net.Conn]struct{}
	started  time.Time // zero: long ago
	draining bool
	hung     bool
	refuses  bool
	slow     float64
	fails    float64
	slowLog  float64

	busy    int
	queue   []*job
	stuck   []func()
	backlog []int64
	applied int64
	apply   bool
}

// job is one query at a server.
type job struct {
	s      *server
	life   int
	id     string
	op     uint64 // the client's request
	try    int
	t      *emulator.OpType
	write  bool
	after  int64 // position to see, Unix milliseconds; 0: any
	token  *token
	key    string
	sentAt time.Time
	done   chan answer
}

// answer is what a server says; code is empty for a value.
type answer struct {
	code    string
	value   string
	role    string
	applied int64
	reset   bool
}

func newFleet(w *emulator.World, seed uint64, check *checker) (*fleet, error) {
	f := &fleet{w: w, seed: seed, check: check}
	f.lists = newDiscovery(f)
	for i := range w.Servers.Groups {
		g := &group{f: f, tokens: map[string]*token{}}
		f.groups = append(f.groups, g)
		for j := range w.Servers.Members {
			k := w.Servers.Kinds[i%len(w.Servers.Kinds)]
			s := &server{f: f, num: len(f.servers) + 1, group: g, zone: (i + j) % w.Zones, cores: k.Cores, speed: k.Speed, slow: 1, slowLog: 1,
				live: map[net.Conn]struct{}{}, applied: time.Now().UnixMilli()}
			f.servers = append(f.servers, s)
			g.members = append(g.members, s)
			if err := s.listen(); err != nil {
				return nil, errors.Join(err, f.close())
			}
		}
		g.primary = g.members[0]
	}
	f.lists.begin()
	return f, nil
}

func (f *fleet) close() error {
	f.mu.Lock()
	f.closed = true
	for _, s := range f.servers {
		s.down()
	}
	f.mu.Unlock()
	f.conns.Wait()
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
	s.addr, s.l = l.Addr().String(), l
	life := s.life
	s.f.conns.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.f.mu.Lock()
			fits := s.life == life && !s.f.closed && (s.f.w.Servers.Conns == 0 || len(s.live) < s.f.w.Servers.Conns)
			if fits {
				s.live[c] = struct{}{}
			}
			s.f.mu.Unlock()
			if !fits {
				c.Close()
				continue
			}
			s.f.conns.Go(func() {
				s.serve(c, life)
				c.Close()
				s.f.mu.Lock()
				delete(s.live, c)
				s.f.mu.Unlock()
			})
		}
	})
	return nil
}

// down ends the process: connections are reset, new ones refused. The lock is held.
func (s *server) down() {
	if s.l == nil {
		return
	}
	s.applied = s.position()
	s.l.Close()
	s.l = nil
	s.life++
	s.busy, s.queue, s.stuck, s.backlog, s.apply, s.hung = 0, nil, nil, nil, false, false
	for c := range s.live {
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
	s.f.mu.Lock()
	handshake := time.Duration(float64(s.f.w.Servers.Handshake) / s.pace())
	s.f.mu.Unlock()
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
		if _, err := c.Write(a.bytes()); err != nil {
			return
		}
	}
}

// waitWhileHung waits until the server goes on; true if it ended instead.
func (s *server) waitWhileHung(life int) bool {
	for {
		s.f.mu.Lock()
		hung, ended := s.hung, s.life != life
		s.f.mu.Unlock()
		if ended || !hung {
			return ended
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// bytes is the answer on the wire.
func (a answer) bytes() []byte {
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
		b = pgwire.AppendMessage(b, pgwire.ParameterStatus, "applied_ms\x00", strconv.FormatInt(a.applied, 10), "\x00")
	}
	return pgwire.AppendReady(b)
}

// fields reads the comment of a statement.
func fields(text string) map[string]string {
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
		if s.waitWhileHungProbe(life) {
			return answer{reset: true}
		}
		s.f.mu.Lock()
		defer s.f.mu.Unlock()
		role := 0
		if s.group.primary == s {
			role = 1
		}
		return answer{value: fmt.Sprintf("x0=%.3f,x1=%d", float64(s.position())/1000, role)}
	}
	v := fields(text)
	id := v["id"]
	var op uint64
	var try int
	if _, err := fmt.Sscanf(id, "%x.%d", &op, &try); err != nil {
		return answer{code: "08P01"}
	}
	j := &job{s: s, life: life, id: id, op: op, try: try, key: v["k"], sentAt: time.Now(), done: make(chan answer, 1)}
	for i := range s.f.w.OpTypes {
		if t := &s.f.w.OpTypes[i]; t.Name == v["c"] {
			j.t = t
		}
	}
	if j.t == nil {
		return answer{code: "08P01"}
	}
	j.write = j.t.Need == "write"
	switch j.t.Need {
	case "session":
		j.after, _ = strconv.ParseInt(v["after"], 10, 64)
	case "bounded":
		j.after = j.sentAt.Add(-j.t.Bound).UnixMilli()
	}
	s.f.check.arrived(s, j)
	s.f.mu.Lock()
	s.arrive(j)
	s.f.mu.Unlock()
	a := <-j.done
	s.f.check.answered(s, j, a)
	return a
}

// waitWhileHungProbe is for probes: a server that hangs may still answer them.
func (s *server) waitWhileHungProbe(life int) bool {
	if s.f.w.Reports.OnHung {
		return false
	}
	return s.waitWhileHung(life)
}

// ramp and pace are as in the emulator. The lock is held.
func (s *server) ramp() float64 {
	if s.started.IsZero() {
		return 1
	}
	c := &s.f.w.Servers
	return min(1, c.ColdFrom+(1-c.ColdFrom)*float64(time.Since(s.started))/float64(max(1, c.ColdTime)))
}

func (s *server) pace() float64 { return s.speed * s.ramp() / s.slow }

// position is how far the server's data reach. The lock is held.
func (s *server) position() int64 {
	now := time.Now().UnixMilli()
	ship := s.f.w.Log.Ship.Milliseconds()
	p := s.group.primary
	switch {
	case p == s:
		return now
	case len(s.backlog) > 0:
		return max(s.applied, s.backlog[0]-1)
	case p != nil && p.l != nil && !p.hung:
		return max(s.applied, now-ship)
	}
	return max(s.applied, s.group.lostAt-ship)
}

// arrive takes a job whose last byte has come. The lock is held.
func (s *server) arrive(j *job) {
	switch {
	case s.life != j.life:
		j.done <- answer{reset: true}
	case s.hung:
		s.stuck = append(s.stuck, func() { s.arrive(j) })
	case s.draining || s.refuses:
		s.reply(j, "53300")
	case j.write && s.group.primary != s:
		s.reply(j, "25006")
	case !j.write && s.f.w.Reports.Checks == "refuses" && s.group.primary != s && j.after > s.position():
		s.reply(j, "72000")
	case s.busy >= s.cores && len(s.queue) >= s.f.w.Servers.Queue*s.cores:
		s.reply(j, "53300")
	default:
		s.group.comes(j)
		s.begin(j)
	}
}

// comes notes that a tokened op has come in. The lock is held.
func (g *group) comes(j *job) {
	if !j.write || j.t.Effect != "tokened" || j.key == "" {
		return
	}
	k := g.tokens[j.key]
	if k == nil || k.open == 0 && time.Since(k.seen) > j.t.Window {
		k = &token{}
		g.tokens[j.key] = k
	}
	k.seen = time.Now()
	k.open++
	j.token = k
	if len(g.tokens) > 4096 {
		for key, old := range g.tokens {
			if old.open == 0 && time.Since(old.seen) > 2*j.t.Window {
				delete(g.tokens, key)
			}
		}
	}
}

// begin lets a job work, or wait for a core. The lock is held.
func (s *server) begin(j *job) {
	if s.busy >= s.cores {
		s.queue = append(s.queue, j)
		return
	}
	s.busy++
	s.f.check.began(s, j, s.position())
	work := j.t.Draw(s.f.seed, j.op, j.try, s.num)
	time.AfterFunc(time.Duration(float64(work)/s.pace()), func() {
		s.f.mu.Lock()
		defer s.f.mu.Unlock()
		s.finish(j)
	})
}

// finish ends a job's work. The lock is held.
func (s *server) finish(j *job) {
	switch {
	case s.life != j.life:
		j.done <- answer{reset: true}
		return
	case s.hung:
		s.stuck = append(s.stuck, func() { s.finish(j) })
		return
	}
	s.busy--
	for len(s.queue) > 0 && s.busy < s.cores {
		next := s.queue[0]
		s.queue = s.queue[1:]
		s.begin(next)
	}
	failed := s.fails > 0 && emulator.Chance(s.f.seed, 0xfa17, j.op, uint64(j.try), uint64(s.num)) < s.fails
	if j.token != nil {
		j.token.open--
	}
	if j.write {
		if s.group.primary != s {
			s.reply(j, "XX000")
			return
		}
		if j.token == nil || !j.token.done {
			commit := time.Now().UnixMilli()
			if j.token != nil {
				j.token.done, j.token.commit = true, commit
			}
			s.f.check.effect(s, j)
			s.group.commit(commit)
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
	a := answer{code: code, role: "replica", applied: s.position()}
	if s.group.primary == s {
		a.role = "primary"
	}
	if code == "" {
		a.value = fmt.Sprintf("%s by %d", j.id, s.num)
		if j.write && j.token != nil {
			a.applied = j.token.commit
		}
	}
	j.done <- a
}

// commit ships a write to the replicas. The lock is held.
func (g *group) commit(at int64) {
	for _, s := range g.members {
		if s == g.primary || s.l == nil {
			continue
		}
		life := s.life
		time.AfterFunc(g.f.w.Log.Ship, func() {
			g.f.mu.Lock()
			defer g.f.mu.Unlock()
			if s.life == life && s.group.primary != s {
				s.backlog = append(s.backlog, at)
				s.applies()
			}
		})
	}
}

// applies works on the next commit. The lock is held.
func (s *server) applies() {
	if s.apply || len(s.backlog) == 0 || s.hung || s.l == nil || s.group.primary == s {
		return
	}
	s.apply = true
	life, commit := s.life, s.backlog[0]
	u := emulator.Chance(s.f.seed, 0x10f, uint64(s.num), uint64(commit))
	work := time.Duration(float64(s.f.w.Log.Apply) * emulator.Exponential(u) * s.slowLog / s.pace())
	time.AfterFunc(work, func() {
		s.f.mu.Lock()
		defer s.f.mu.Unlock()
		if s.life != life || !s.apply {
			return
		}
		s.apply = false
		s.backlog = s.backlog[1:]
		s.applied = max(s.applied, commit)
		s.applies()
	})
}

// lost is called when a member is dead or hung. The lock is held.
func (g *group) lost(s *server) {
	if g.primary != s {
		return
	}
	g.lostAt = time.Now().UnixMilli()
	term := g.term
	time.AfterFunc(g.f.w.Failover.Detect, func() {
		g.f.mu.Lock()
		defer g.f.mu.Unlock()
		if g.term != term || s.l != nil && !s.hung && g.primary == s {
			return
		}
		s.applied = max(s.applied, g.lostAt)
		g.primary = nil
		g.elect(g.f.w.Failover.Elect)
	})
}

// elect makes the member that is furthest a primary, after a time. The lock is held.
func (g *group) elect(after time.Duration) {
	time.AfterFunc(after, func() {
		g.f.mu.Lock()
		defer g.f.mu.Unlock()
		if g.primary != nil || g.f.closed {
			return
		}
		var best *server
		for _, s := range g.members {
			if s.l != nil && !s.hung && !s.draining && (best == nil || s.position() > best.position()) {
				best = s
			}
		}
		if best == nil {
			g.elect(g.f.w.Failover.Elect)
			return
		}
		g.term++
		best.backlog, best.apply, best.applied = nil, false, time.Now().UnixMilli()
		g.primary = best
		g.f.check.event("server %d is primary", best.num)
	})
}

// crash ends a server's process.
func (s *server) crash() {
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	s.down()
	s.group.lost(s)
	s.f.lists.changed(s, s.f.w.List.Down)
}

// start brings it back, cold.
func (s *server) start() error {
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	if s.l != nil || s.f.closed {
		return nil
	}
	s.started = time.Now()
	if s.group.primary == s {
		s.group.term++
		s.group.primary = nil
		s.group.elect(s.f.w.Failover.Elect)
	}
	s.applied = max(s.applied, time.Now().Add(-2*time.Second).UnixMilli()) // it catches up from what the others kept
	if err := s.listen(); err != nil {
		return err
	}
	s.f.lists.changed(s, s.f.w.List.Added)
	return nil
}

// set changes what ails a server.
func (s *server) set(change func(s *server)) {
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	wasHung := s.hung
	change(s)
	switch {
	case s.hung && !wasHung:
		s.group.lost(s)
	case wasHung && !s.hung:
		stuck := s.stuck
		s.stuck = nil
		for _, do := range stuck {
			do()
		}
		s.applies()
	}
}
