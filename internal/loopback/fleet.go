// Package loopback runs a deployment on sockets of 127.0.0.0/8: stand-in database servers with queues, cores, a
// replicated log and failover, a stand-in discovery service, clients that send ops at times drawn beforehand, and
// gateways, each a process of its own. It takes the same description of a world as the emulator, so that both can run
// it and their results can be compared.
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

// fleet holds the stand-in servers of a world.
type fleet struct {
	world     *emulator.World
	seed      uint64
	checker   *checker
	discovery *discovery

	mu      sync.Mutex // guards all fields below and the state of the servers and groups; only held briefly
	servers []*server
	groups  []*group
	closed  bool
	running sync.WaitGroup // accept loops and connections
}

// group is a primary and its replicas.
type group struct {
	fleet         *fleet
	members       []*server
	primary       *server // nil during an election
	primaryLostAt int64   // time at which the last primary was lost, Unix milliseconds
	term          int     // incremented by each election and when the process of the primary starts again
	tokens        map[string]*token
}

// token is a group's record of a tokened op.
type token struct {
	lastSeen  time.Time // when the last job with this token was accepted
	committed bool
	position  int64 // of the commit in the log
	pending   int   // jobs with this token that are queued or running
}

// server is one stand-in database server.
type server struct {
	fleet *fleet
	num   int // from 1
	group *group
	zone  int // from 0
	addr  string
	speed float64 // of a core, relative to a core of speed 1
	cores int

	listener      net.Listener // nil while it is down
	generation    int          // number of ended processes; work of an earlier generation is discarded
	conns         map[net.Conn]struct{}
	started       time.Time // zero if it has run for so long that it is not cold
	draining      bool      // from the start of a drain fault on, also after the process has started again
	hung          bool
	refusing      bool    // it answers every op with SQLSTATE 53300
	slowdown      float64 // factor on all work; 1 without a fault
	errorShare    float64 // fraction of ops that fail after their work; writes take effect all the same
	applySlowdown float64 // factor on the time that the log takes to apply; 1 without a fault

	busy      int // cores in use
	queue     []*job
	suspended []func() // work to resume once the server no longer hangs
	backlog   []int64  // positions of commits that have arrived but are not applied
	applied   int64    // position in the log up to which commits are applied, Unix milliseconds
	applying  bool     // the first commit of the backlog is being applied
}

// job is one query at a server.
type job struct {
	server      *server
	generation  int // of the server when the query arrived
	id          string
	op          uint64 // number of the client's op
	attempt     int    // number of the client's attempt
	opType      *emulator.OpType
	write       bool
	minPosition int64 // position in the log that a read must see, Unix milliseconds; 0 if any
	token       *token
	tokenKey    string      // token of a tokened op as the gateway sends it
	sentAt      time.Time   // when the query arrived
	done        chan answer // receives the answer
}

// answer is a server's answer to a query.
type answer struct {
	empty    bool   // the query was empty
	code     string // SQLSTATE; empty for a value
	value    string
	role     string // primary or replica; empty if the answer does not carry it
	position int64  // in the log: of the server, or of the commit for a write with a token
	reset    bool   // the connection ends without an answer
}

// newFleet starts all servers and fills the list.
func newFleet(world *emulator.World, seed uint64, checker *checker) (*fleet, error) {
	f := &fleet{world: world, seed: seed, checker: checker}
	f.discovery = newDiscovery(f)
	for i := range world.Servers.Groups {
		g := &group{fleet: f, tokens: map[string]*token{}}
		f.groups = append(f.groups, g)
		for j := range world.Servers.Members {
			kind := world.Servers.Kinds[i%len(world.Servers.Kinds)]
			s := &server{fleet: f, num: len(f.servers) + 1, group: g, zone: (i + j) % world.Zones, cores: kind.Cores,
				speed: kind.Speed, slowdown: 1, applySlowdown: 1,
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

// close ends all servers and waits for their connections.
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

// listen accepts connections at the server's own address. The caller holds the lock, except while the fleet is set up.
func (s *server) listen() error {
	addr := s.addr
	if addr == "" {
		addr = fmt.Sprintf("127.%d.%d.%d:0", 10+s.num>>16&0x7f, s.num>>8&0xff, s.num&0xff)
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	s.addr, s.listener = listener.Addr().String(), listener
	generation := s.generation
	s.fleet.running.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.fleet.mu.Lock()
			accepted := s.generation == generation && !s.fleet.closed &&
				(s.fleet.world.Servers.Conns == 0 || len(s.conns) < s.fleet.world.Servers.Conns)
			if accepted {
				s.conns[conn] = struct{}{}
			}
			s.fleet.mu.Unlock()
			if !accepted {
				conn.Close()
				continue
			}
			s.fleet.running.Go(func() {
				s.serve(conn, generation)
				conn.Close()
				s.fleet.mu.Lock()
				delete(s.conns, conn)
				s.fleet.mu.Unlock()
			})
		}
	})
	return nil
}

// shutDown simulates the end of the process: connections are reset, new ones refused and all work is discarded. The
// caller holds the lock.
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

// serve handles one connection.
func (s *server) serve(conn net.Conn, generation int) {
	var buffer pgwire.ReadBuffer
	read := func() bool {
		n, err := conn.Read(buffer.Space())
		buffer.Filled(n)
		return err == nil || n > 0
	}
	for size := 0; size == 0; {
		var err error
		if _, size, err = pgwire.ParseStartup(buffer.Bytes()); err != nil || size == 0 && !read() {
			return
		}
		buffer.Discard(size)
	}
	if s.waitWhileHung(generation) {
		return
	}
	s.fleet.mu.Lock()
	handshake := time.Duration(float64(s.fleet.world.Servers.Handshake) / s.currentSpeed())
	s.fleet.mu.Unlock()
	time.Sleep(handshake) // the cost of a new connection
	if _, err := conn.Write(pgwire.AppendStartupReply(nil)); err != nil {
		return
	}
	for {
		message, ok, err := buffer.Next()
		switch {
		case err != nil || !ok && !read():
			return
		case !ok:
			continue
		case message.Type != pgwire.Query:
			return
		}
		text := string(message.Body[:len(message.Body)-1])
		answer := s.query(text, generation)
		if answer.reset {
			return
		}
		if _, err := conn.Write(answer.encode()); err != nil {
			return
		}
	}
}

// waitWhileHung waits until the server no longer hangs. The result is true if the process has ended instead.
func (s *server) waitWhileHung(generation int) bool {
	for {
		s.fleet.mu.Lock()
		hung, ended := s.hung, s.generation != generation
		s.fleet.mu.Unlock()
		if ended || !hung {
			return ended
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// encode returns the messages of the answer on the wire.
func (a answer) encode() []byte {
	var b []byte
	if a.empty {
		b = pgwire.AppendMessage(nil, pgwire.EmptyQueryResponse)
	} else if a.code != "" {
		b = pgwire.AppendError(nil, "ERROR", a.code, "as the stand-in has it", "")
	} else {
		n := len(a.value)
		b = pgwire.AppendMessage(nil, pgwire.RowDescription,
			"\x00\x01data\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01")
		b = pgwire.AppendMessage(b, pgwire.DataRow, "\x00\x01",
			string([]byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)}), a.value)
		b = pgwire.AppendMessage(b, pgwire.CommandComplete, "SELECT 1\x00")
	}
	if a.role != "" {
		b = pgwire.AppendMessage(b, pgwire.ParameterStatus, "role\x00", a.role, "\x00")
		b = pgwire.AppendMessage(b, pgwire.ParameterStatus, "applied_ms\x00", strconv.FormatInt(a.position, 10), "\x00")
	}
	return pgwire.AppendReady(b)
}

// parseComment returns the fields in the comment of a statement by name, or nil if the statement has no comment.
func parseComment(text string) map[string]string {
	_, rest, ok := strings.Cut(text, "/*")
	body, _, ok2 := strings.Cut(rest, "*/")
	if !ok || !ok2 {
		return nil
	}
	fields := map[string]string{}
	for part := range strings.SplitSeq(body, ",") {
		if name, value, ok := strings.Cut(strings.TrimSpace(part), "="); ok {
			fields[name] = value
		}
	}
	return fields
}

// query handles one query and waits for its answer.
func (s *server) query(text string, generation int) answer {
	switch text {
	case "":
		return answer{empty: true}
	case "SHOW load":
		if s.waitProbeWhileHung(generation) {
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
	fields := parseComment(text)
	id := fields["id"]
	var op uint64
	var attempt int
	if _, err := fmt.Sscanf(id, "%x.%d", &op, &attempt); err != nil {
		return answer{code: "08P01"}
	}
	j := &job{server: s, generation: generation, id: id, op: op, attempt: attempt, tokenKey: fields["k"],
		sentAt: time.Now(), done: make(chan answer, 1)}
	for i := range s.fleet.world.OpTypes {
		if t := &s.fleet.world.OpTypes[i]; t.Name == fields["c"] {
			j.opType = t
		}
	}
	if j.opType == nil {
		return answer{code: "08P01"}
	}
	j.write = j.opType.Need == "write"
	switch j.opType.Need {
	case "session":
		j.minPosition, _ = strconv.ParseInt(fields["after"], 10, 64)
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

// waitProbeWhileHung is waitWhileHung for probes, which a hung server may still answer.
func (s *server) waitProbeWhileHung(generation int) bool {
	if s.fleet.world.Reports.OnHung {
		return false
	}
	return s.waitWhileHung(generation)
}

// warmUpFactor returns the fraction of its full speed that a cold server has reached, as in the emulator. The caller
// holds the lock.
func (s *server) warmUpFactor() float64 {
	if s.started.IsZero() {
		return 1
	}
	c := &s.fleet.world.Servers
	return min(1, c.ColdFrom+(1-c.ColdFrom)*float64(time.Since(s.started))/float64(max(1, c.ColdTime)))
}

// currentSpeed returns the speed at which the server works now, as in the emulator. The caller holds the lock.
func (s *server) currentSpeed() float64 { return s.speed * s.warmUpFactor() / s.slowdown }

// position returns the position in the log that the server's data have reached, in Unix milliseconds. The caller holds
// the lock.
func (s *server) position() int64 {
	now := time.Now().UnixMilli()
	shipTime := s.fleet.world.Log.Ship.Milliseconds()
	primary := s.group.primary
	switch {
	case primary == s:
		return now
	case len(s.backlog) > 0:
		return max(s.applied, s.backlog[0]-1)
	case primary != nil && primary.listener != nil && !primary.hung:
		return max(s.applied, now-shipTime)
	}
	return max(s.applied, s.group.primaryLostAt-shipTime)
}

// admit accepts or rejects a job that has arrived in full. The caller holds the lock.
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

// trackToken records a job of a tokened write under its token. The caller holds the lock.
func (g *group) trackToken(j *job) {
	if !j.write || j.opType.Effect != "tokened" || j.tokenKey == "" {
		return
	}
	t := g.tokens[j.tokenKey]
	if t == nil || t.pending == 0 && time.Since(t.lastSeen) > j.opType.Window {
		t = &token{}
		g.tokens[j.tokenKey] = t
	}
	t.lastSeen = time.Now()
	t.pending++
	j.token = t
	if len(g.tokens) > 4096 { // removes expired tokens, to bound the memory
		for key, old := range g.tokens {
			if old.pending == 0 && time.Since(old.lastSeen) > 2*j.opType.Window {
				delete(g.tokens, key)
			}
		}
	}
}

// startWork starts the work of a job, or queues the job if no core is free. The caller holds the lock.
func (s *server) startWork(j *job) {
	if s.busy >= s.cores {
		s.queue = append(s.queue, j)
		return
	}
	s.busy++
	s.fleet.checker.workStarted(s, j, s.position())
	work := j.opType.DrawWork(s.fleet.seed, j.op, j.attempt, s.num)
	time.AfterFunc(time.Duration(float64(work)/s.currentSpeed()), func() {
		s.fleet.mu.Lock()
		defer s.fleet.mu.Unlock()
		s.finishWork(j)
	})
}

// finishWork ends the work of a job, starts queued jobs and answers. The caller holds the lock.
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
	failed := s.errorShare > 0 &&
		emulator.Uniform(s.fleet.seed, 0xfa17, j.op, uint64(j.attempt), uint64(s.num)) < s.errorShare
	if j.token != nil {
		j.token.pending--
	}
	if j.write {
		if s.group.primary != s {
			s.reply(j, "XX000")
			return
		}
		if j.token == nil || !j.token.committed {
			position := time.Now().UnixMilli()
			if j.token != nil {
				j.token.committed, j.token.position = true, position
			}
			s.fleet.checker.writeApplied(s, j)
			s.group.replicate(position)
		}
	}
	if failed {
		s.reply(j, "XX000")
		return
	}
	s.reply(j, "")
}

// reply answers a job, with a value if the code is empty. The caller holds the lock.
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

// replicate ships a commit to the replicas. The caller holds the lock.
func (g *group) replicate(position int64) {
	for _, s := range g.members {
		if s == g.primary || s.listener == nil {
			continue
		}
		generation := s.generation
		time.AfterFunc(g.fleet.world.Log.Ship, func() {
			g.fleet.mu.Lock()
			defer g.fleet.mu.Unlock()
			if s.generation == generation && s.group.primary != s {
				s.backlog = append(s.backlog, position)
				s.applyNext()
			}
		})
	}
}

// applyNext starts to apply the first commit of the backlog, if the server can. The caller holds the lock.
func (s *server) applyNext() {
	if s.applying || len(s.backlog) == 0 || s.hung || s.listener == nil || s.group.primary == s {
		return
	}
	s.applying = true
	generation, position := s.generation, s.backlog[0]
	uniform := emulator.Uniform(s.fleet.seed, 0x10f, uint64(s.num), uint64(position))
	work := time.Duration(float64(s.fleet.world.Log.Apply) * emulator.Exponential(uniform) * s.applySlowdown /
		s.currentSpeed())
	time.AfterFunc(work, func() {
		s.fleet.mu.Lock()
		defer s.fleet.mu.Unlock()
		if s.generation != generation || !s.applying {
			return
		}
		s.applying = false
		s.backlog = s.backlog[1:]
		s.applied = max(s.applied, position)
		s.applyNext()
	})
}

// memberLost starts a failover if a member that is dead or hung is the primary. The caller holds the lock.
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

// elect makes the most advanced member the primary after a delay. If no member is eligible, it tries again. The caller
// holds the lock.
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

// crash ends the server's process.
func (s *server) crash() {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	s.shutDown()
	s.group.memberLost(s)
	s.fleet.discovery.publishAfter(s, s.fleet.world.List.Down)
}

// start starts the server's process again; the server is cold.
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
	s.applied = max(s.applied, time.Now().Add(-2*time.Second).UnixMilli()) // it has caught up from other members
	if err := s.listen(); err != nil {
		return err
	}
	s.fleet.discovery.publishAfter(s, s.fleet.world.List.Added)
	return nil
}

// update changes the faults of the server, and acts on the start and the end of a hang.
func (s *server) update(change func(s *server)) {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	wasHung := s.hung
	change(s)
	switch {
	case s.hung && !wasHung:
		s.group.memberLost(s)
	case wasHung && !s.hung:
		suspended := s.suspended
		s.suspended = nil
		for _, resume := range suspended {
			resume()
		}
		s.applyNext()
	}
}
