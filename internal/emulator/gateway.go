package emulator

import (
	"time"

	"gorsewell/choice"
)

// decider is what decides in a gateway: the module, or what it is compared with.
type policy interface {
	Op(now time.Duration, id uint32, kind uint8, session uint64, due time.Duration, inGroup uint16, wroteAgo time.Duration, again bool)
	Answer(now time.Duration, id uint32, send uint8, at uint32, result choice.Result, took time.Duration, final bool, role choice.Role, pos time.Duration)
	Report(now time.Duration, id uint32, role choice.Role, pos time.Duration)
	ProbeAnswer(now time.Duration, id uint32, result choice.Result, took time.Duration)
	ClientGone(now time.Duration, id uint32)
	List(now time.Duration, scope choice.ListScope, listed []choice.Listed)
	Rumour(now time.Duration, id uint32, weight float64)
	Timer(now time.Duration, id uint32)
}

// gateway is one instance. It is its decider's Host and holds no decision itself.
type gateway struct {
	sim         *simulation
	index       int
	zone        int
	generation  int // counts its starts
	down        bool
	downAt      time.Duration
	clockBase   time.Duration // of its clock
	pausedUntil time.Duration // paused so long
	deferred    []func()      // what came while it was paused

	policy       policy
	ops          map[uint32]*gatewayOp
	lastOpID     uint32
	pools        []*connPool // by server
	watchesList  bool
	lastListAt   time.Duration
	knownStarts  map[*server]time.Duration // when it was told of a server's start
	replicaSince map[*server]time.Duration // when an answer first said, since it last said otherwise, that one is a replica
	gossipNode   *instance                 // its part in the gossip, or nil
	listBuffer   []choice.Listed
}

// link is the connections between a gateway and a server.
type connPool struct {
	idleSince  []time.Duration // since when, the one used last comes last
	generation int             // of the server
}

// trial is an op at a gateway.
type gatewayOp struct {
	gateway        *gateway
	id             uint32
	request        *request
	isRetry        bool
	tryNumber      int
	sentAt         time.Duration // by the client
	clientLeavesAt time.Duration // when its client leaves
	minPosition    time.Duration // the position that a session's read must see
	acceptedAt     time.Duration
	openAttempt    *attempt
	sendCount      int
	done           bool
	record         opRecord // the checker's notes
}

// attempt is one send.
type attempt struct {
	op               *gatewayOp
	request          *request
	opType           *opType
	number           int
	server           *server
	serverGeneration int // of the server when it was sent
	work             float64
	minPosition      time.Duration // the oldest position that may answer it
	sentAt           time.Duration
	ended            bool // its result has been told, or is on its way
	dropped          bool // called back while it waited
	running          bool
	holdsApply       bool
	connected        bool
	written          bool
	committedAt      time.Duration // of a write: when
	token            *token
	dataPosition     time.Duration // position of the server when the work began
}

func (g *gateway) isUp() bool { return !g.down }

func (g *gateway) localTime() time.Duration { return g.sim.now - g.clockBase }

// do does something at the gateway, later if it is paused, never if it has ended meanwhile.
func (g *gateway) runIfAlive(life int, f func()) {
	switch {
	case g.generation != life || g.down:
	case g.sim.now < g.pausedUntil:
		g.deferred = append(g.deferred, func() { g.runIfAlive(life, f) })
	default:
		f()
	}
}

// then plans something at the gateway.
func (g *gateway) schedule(after time.Duration, f func()) {
	life := g.generation
	g.sim.after(after, func() { g.runIfAlive(life, f) })
}

// pause stops the process; it goes on with all that came in the meantime.
func (g *gateway) pause(span time.Duration) {
	g.pausedUntil = max(g.pausedUntil, g.sim.now+span)
	life, until := g.generation, g.pausedUntil
	g.sim.after(span, func() {
		if g.generation != life || g.pausedUntil != until {
			return
		}
		late := g.deferred
		g.deferred = nil
		for _, f := range late {
			f()
		}
	})
}

// start begins another run of the gateway.
func (g *gateway) start() {
	g.boot()
	g.clockBase = g.sim.now
	g.startServing()
}

// boot begins a run's life, as far as others see it.
func (g *gateway) boot() {
	g.generation++
	g.down, g.clockBase, g.pausedUntil, g.deferred = false, -time.Duration(draw(g.sim.seed, 0xba5e, uint64(g.index))*float64(time.Hour)), 0, nil
	if g.sim.gossipNet != nil {
		g.gossipNode = g.sim.gossipNet.start(g)
	}
}

// opens takes ops from now on. It holds nothing but the list that the platform keeps.
func (g *gateway) startServing() {
	g.ops, g.lastOpID, g.pools, g.watchesList, g.lastListAt = map[uint32]*gatewayOp{}, 0, nil, !g.sim.world.List.Asked, g.sim.now
	g.knownStarts, g.replicaSince = map[*server]time.Duration{}, map[*server]time.Duration{}
	g.policy = g.sim.newPolicy(g)
	var there []*listEntry
	for _, e := range g.sim.discovery.ordered {
		if e.state != choice.Gone {
			there = append(there, e)
		}
	}
	g.deliverList(choice.ListCached, g.sim.discovery.snapshot(there))
}

// crash ends the run; what it held is its clients' to ask for again.
func (g *gateway) crash() {
	if g.down {
		return
	}
	g.down, g.downAt = true, g.sim.now
	g.generation++
	for i, l := range g.pools {
		if s := g.sim.servers[i]; l != nil && l.generation == s.generation {
			s.openConnections -= len(l.idleSince)
		}
	}
	for _, t := range g.opsByID() {
		if a := t.openAttempt; a != nil {
			g.abandon(a)
		}
	}
	open := g.ops
	g.ops = map[uint32]*gatewayOp{}
	for id := uint32(1); id <= g.lastOpID; id++ {
		if t := open[id]; t != nil && !t.done {
			t.done = true
			g.sim.clients.gatewayLost(t)
		}
	}
}

// take hands an op to the decider.
func (g *gateway) accept(req *request, tryNo int, sentAt, due time.Duration, mark, wroteAgo time.Duration) *gatewayOp {
	g.lastOpID++
	t := &gatewayOp{gateway: g, id: g.lastOpID, request: req, tryNumber: tryNo, isRetry: tryNo > 0 && g.sim.world.Clients.Marks, sentAt: sentAt, clientLeavesAt: due, minPosition: mark,
		acceptedAt: g.sim.now}
	g.ops[t.id] = t
	g.sim.checker.opAccepted(t)
	g.sim.after(due-g.sim.now, func() { g.timeOut(t) })
	g.policy.Op(g.localTime(), t.id, uint8(req.opType.index), req.session, due-g.clockBase, uint16(req.group.index), wroteAgo, t.isRetry)
	return t
}

// timeOut ends the send that is out when the client leaves, as the time limit of its connection does.
func (g *gateway) timeOut(t *gatewayOp) {
	if t.done || g.ops[t.id] != t {
		return
	}
	if a := t.openAttempt; a != nil {
		g.abandon(a)
		g.runIfAlive(g.generation, func() { g.deliverResult(a, choice.TimedOut, choice.RoleUnknown, choice.LongPast) })
	}
}

// Send implements choice.Host, as do the methods below.
func (g *gateway) Send(op, server uint32, _ time.Duration) {
	t := g.ops[op]
	s := g.sim.servers[server-1]
	g.sim.checker.sendStarted(g, t, op, s)
	if t == nil {
		return
	}
	a := &attempt{op: t, request: t.request, opType: t.request.opType, number: t.sendCount, server: s, serverGeneration: s.generation, sentAt: g.sim.now}
	a.work = t.request.work * lognormal(draw(g.sim.seed, 0xa77e, t.request.id, uint64(t.tryNumber), uint64(t.sendCount)), t.request.opType.Noise)
	a.minPosition = choice.LongPast
	switch a.opType.need {
	case choice.Session:
		a.minPosition = t.minPosition
	case choice.Bounded:
		a.minPosition = g.sim.now - a.opType.Bound
	case choice.Fresh:
		a.minPosition = t.sentAt
	}
	t.sendCount++
	t.openAttempt = a
	s.openAttempts++
	g.sim.result.Sends++
	g.sim.traceOp(t, "send %d to server %d", a.number, s.id)
	g.connect(a)
}

// link is what there is between the gateway and a server.
func (g *gateway) pool(s *server) *connPool {
	i := int(s.id) - 1
	for len(g.pools) <= i {
		g.pools = append(g.pools, make([]*connPool, max(1, len(g.sim.servers)-len(g.pools)))...)
	}
	if g.pools[i] == nil {
		g.pools[i] = &connPool{generation: s.generation}
	}
	return g.pools[i]
}

// connect finds a connection, or makes one, and carries the attempt over it.
func (g *gateway) connect(a *attempt) {
	s, w := a.server, g.sim
	c := &w.world.Servers
	l := g.pool(s)
	if l.generation != s.generation { // what there was has been reset
		l.idleSince, l.generation = nil, s.generation
	}
	for len(l.idleSince) > 0 && c.Idle > 0 && l.idleSince[0] < w.now-c.Idle/2 {
		l.idleSince = l.idleSince[1:]
		s.openConnections--
	}
	if n := len(l.idleSince); n > 0 {
		l.idleSince = l.idleSince[:n-1]
		a.connected = true
		g.write(a)
		return
	}
	limit := c.Conns
	if s.connectionLimit > 0 {
		limit = s.connectionLimit
	}
	fail := func(after time.Duration) {
		w.after(after, func() { g.endAttempt(a, choice.NoConnection, choice.RoleUnknown, choice.LongPast) })
	}
	way := w.delay(g.zone, s.zone)
	switch {
	case !w.reaches(g, s, true) || !w.reaches(g, s, false) || s.state == serverVanished || s.hung:
		fail(c.ConnectFor)
	case !s.isUp() || limit > 0 && s.openConnections >= limit:
		fail(2 * way)
	default:
		s.openConnections++
		life := s.generation
		took := 2*way*time.Duration(max(1, c.RoundTrips)) + time.Duration(float64(c.Handshake)/s.currentSpeed())
		if took > c.ConnectFor {
			s.openConnections--
			fail(c.ConnectFor)
			return
		}
		w.after(took, func() {
			switch {
			case s.generation != life:
				g.endAttempt(a, choice.NoConnection, choice.RoleUnknown, choice.LongPast)
			case a.ended: // called back in the meantime
				s.openConnections--
			default:
				a.connected = true
				g.write(a)
			}
		})
	}
}

// write sends the attempt over its connection.
func (g *gateway) write(a *attempt) {
	a.written = true
	life, s := a.server.generation, a.server
	a.serverGeneration = life
	if !g.sim.reaches(g, s, true) {
		return // until its time is up, or the way is back and the connection turns out broken
	}
	g.sim.after(g.sim.delay(g.zone, s.zone), func() {
		if s.generation == life && s.isUp() {
			s.arrive(a)
		}
	})
}

// answer brings a server's answer back.
func (r *simulation) returnAnswer(a *attempt, result choice.Result, role choice.Role, pos time.Duration) {
	g := a.op.gateway
	if !r.reaches(g, a.server, false) {
		return
	}
	r.after(r.delay(g.zone, a.server.zone), func() { g.endAttempt(a, result, role, pos) }) // what is on its way arrives even if the server ends
}

// ends gives an attempt its one result.
func (g *gateway) endAttempt(a *attempt, result choice.Result, role choice.Role, pos time.Duration) {
	if a.ended {
		return
	}
	a.ended = true
	a.server.openAttempts--
	if a.connected && a.server.generation == a.serverGeneration && !g.down {
		l := g.pool(a.server)
		if l.generation == a.serverGeneration {
			l.idleSince = append(l.idleSince, g.sim.now)
		}
	}
	t := a.op
	life := t.generation()
	g.runIfAlive(life, func() { g.deliverResult(a, result, role, pos) })
}

// life is that of the gateway at which the trial runs, or none if that has ended since.
func (t *gatewayOp) generation() int {
	if t.gateway.ops[t.id] != t {
		return -1
	}
	return t.gateway.generation
}

// closes gives an attempt up: its connection is closed, what it has begun goes on.
func (g *gateway) abandon(a *attempt) {
	if a.ended {
		return
	}
	a.ended = true
	a.server.openAttempts--
	if a.connected && a.server.generation == a.serverGeneration {
		a.server.openConnections--
	}
	if !a.running && g.sim.world.Servers.CancelStop {
		a.dropped = true
	}
}

// told hands a result to the decider. The first ack ends the op.
func (g *gateway) deliverResult(a *attempt, result choice.Result, role choice.Role, pos time.Duration) {
	t := a.op
	if t.openAttempt == a {
		t.openAttempt = nil
	}
	took := g.sim.now - a.sentAt
	g.sim.checker.sendEnded(t, a, result, role)
	g.noteRole(a.server, role)
	g.sim.result.sendEnded(result)
	g.sim.traceOp(t, "send %d ended: %s", a.number, resultNames[result])
	if result == choice.Acked && took <= a.opType.Target && g.gossipNode != nil {
		g.gossipNode.opAcked(a.server, a.sentAt)
	}
	if result == choice.Acked && !t.done {
		t.done = true
		g.sim.checker.checkFreshness(t, a)
		g.sim.checker.finalAnswer(t, finalAcked)
		g.sim.clients.acked(t, a)
	}
	if t.done {
		delete(g.ops, t.id)
	}
	if pos != choice.LongPast {
		pos -= g.clockBase
	}
	g.policy.Answer(g.localTime(), t.id, uint8(a.number), a.server.id, result, took, t.done, role, pos)
}

// BusyReply is final.
func (g *gateway) BusyReply(op uint32, comeBackIn time.Duration) {
	if t := g.ops[op]; t != nil && !t.done {
		t.done = true
		if t.openAttempt == nil {
			delete(g.ops, op)
		}
		g.sim.checker.finalAnswer(t, finalBusy)
		g.sim.clients.busyReplied(t, comeBackIn)
	} else {
		g.sim.checker.finalAnswer(t, finalBusy)
	}
}

// Error is final.
func (g *gateway) Error(op uint32) {
	if t := g.ops[op]; t != nil && !t.done {
		t.done = true
		if t.openAttempt == nil {
			delete(g.ops, op)
		}
		g.sim.checker.finalAnswer(t, finalError)
		g.sim.clients.errored(t)
	} else {
		g.sim.checker.finalAnswer(t, finalError)
	}
}

// Cancel calls a send back.
func (g *gateway) Cancel(op uint32, send uint8) {
	t := g.ops[op]
	if t == nil || t.openAttempt == nil || t.openAttempt.number != int(send) || t.openAttempt.ended {
		return
	}
	a := t.openAttempt
	g.abandon(a)
	life := g.generation
	g.sim.after(0, func() {
		g.runIfAlive(life, func() { g.deliverResult(a, choice.Cancelled, choice.RoleUnknown, choice.LongPast) })
	})
}

// Withdraw implements choice.Host. Here a send counts from its decision, so there is nothing to take back.
func (g *gateway) Withdraw(uint32) {}

// Probe asks a server how it is.
func (g *gateway) Probe(server uint32) {
	w, s := g.sim, g.sim.servers[server-1]
	w.result.Probes++
	p := &w.world.Reports
	began := w.now
	tell := func(result choice.Result, role choice.Role, pos time.Duration) {
		g.runIfAlive(g.generation, func() {
			if role != choice.RoleUnknown && p.Probes {
				g.noteRole(s, role)
				g.policy.Report(g.localTime(), server, role, pos-g.clockBase)
			}
			g.policy.ProbeAnswer(g.localTime(), server, result, w.now-began)
		})
	}
	life, slife := g.generation, s.generation
	lost := func(after time.Duration, result choice.Result) {
		w.after(after, func() {
			if g.generation == life {
				tell(result, choice.RoleUnknown, 0)
			}
		})
	}
	way := w.delay(g.zone, s.zone)
	switch {
	case !w.reaches(g, s, true) || !w.reaches(g, s, false) || s.state == serverVanished || s.hung && !p.OnHung:
		lost(p.Timeout, choice.TimedOut)
	case !s.isUp():
		lost(2*way, choice.NoConnection)
	case s.probeErrorShare > 0 && draw(w.seed, 0xbad, uint64(server), uint64(g.index), uint64(w.now)) < s.probeErrorShare:
		lost(2*way, choice.ServerError)
	default:
		w.after(2*way+time.Duration(float64(p.Work)/s.currentSpeed()), func() {
			if g.generation != life {
				return
			}
			if s.generation != slife {
				tell(choice.Reset, choice.RoleUnknown, 0)
				return
			}
			old := time.Duration(draw(w.seed, 0x01d, uint64(server), uint64(w.now)) * float64(p.Refresh))
			tell(choice.Acked, s.role(), s.reportedPosition()-old)
		})
	}
}

// Timer calls the decider at a time of its clock.
func (g *gateway) Timer(id uint32, at time.Duration) {
	life := g.generation
	g.sim.at(at+g.clockBase, func() {
		g.runIfAlive(life, func() { g.policy.Timer(g.localTime(), id) })
	})
}

// AskList asks once.
func (g *gateway) AskList() { g.sim.discovery.requestList(g, false) }

// WatchList asks for all and then for changes.
func (g *gateway) WatchList() { g.sim.discovery.requestList(g, true) }

// CloseIdle closes connections that are not in use.
func (g *gateway) CloseIdle(server uint32) {
	s := g.sim.servers[server-1]
	l := g.pool(s)
	if l.generation == s.generation {
		s.openConnections -= len(l.idleSince)
	}
	l.idleSince = nil
}

// Forget drops what is kept of a server.
func (g *gateway) Forget(server uint32) {
	g.CloseIdle(server)
	if g.gossipNode != nil {
		g.gossipNode.Recovered(g.gossipNode.localTime(), uint64(server))
	}
}

// Trouble tells the gossip what the gateway has seen by itself.
func (g *gateway) Trouble(server uint32, t choice.Trouble) {
	g.sim.result.Troubles[t]++
	if g.gossipNode != nil {
		g.gossipNode.reportTrouble(server, t)
	}
}

// Log notes what the module says.
func (g *gateway) Log(line string) { g.sim.result.Logs[line]++ }

// listed hands a list to the decider.
func (g *gateway) deliverList(scope choice.ListScope, lines []listEntry) {
	g.runIfAlive(g.generation, func() {
		g.lastListAt = g.sim.now
		g.listBuffer = g.listBuffer[:0]
		for _, e := range lines {
			l := choice.Listed{ID: e.server.id, Group: uint16(e.server.group.index), Zone: uint8(e.server.zone), Kind: e.server.kind, Primary: e.primary,
				State: e.state, Started: choice.LongPast, Weight: float32(e.server.cores)}
			if e.startedAt > longAgo {
				l.Started = e.startedAt - g.clockBase
				g.knownStarts[e.server] = e.startedAt
			}
			g.listBuffer = append(g.listBuffer, l)
		}
		if scope != choice.ListFailed {
			g.sim.checker.listDelivered(g, scope, lines)
		}
		g.policy.List(g.localTime(), scope, g.listBuffer)
		if g.gossipNode != nil && scope != choice.ListFailed {
			g.gossipNode.SetServerCount(g.gossipNode.localTime(), len(g.sim.discovery.ordered))
		}
	})
}

// knowsStart tells whether the gateway has been told of a server's newest start, or is deemed to have been.
func (g *gateway) knowsStart(s *server) bool {
	return g.knownStarts[s] == s.startedAt || !g.watchesList && g.sim.now-g.lastListAt > g.sim.world.List.Within
}

// broken ends what is under way between a server and all gateways: reset, or silent.
func (r *simulation) breakConnections(s *server, reset bool) {
	s.openConnections = 0
	for _, g := range r.gateways {
		if int(s.id) > len(g.pools) || g.pools[s.id-1] == nil {
			continue
		}
		g.pools[s.id-1].idleSince = nil
		if !reset || !g.isUp() {
			continue
		}
		for _, t := range g.opsByID() {
			if a := t.openAttempt; a != nil && a.server == s && a.written && !a.ended {
				r.after(r.delay(g.zone, s.zone), func() { g.endAttempt(a, choice.Reset, choice.RoleUnknown, choice.LongPast) })
			}
		}
	}
}

// says notes what a server has told of its role.
func (g *gateway) noteRole(s *server, role choice.Role) {
	switch {
	case role == choice.Primary:
		delete(g.replicaSince, s)
	case role == choice.Replica && g.replicaSince[s] == 0:
		g.replicaSince[s] = max(1, g.sim.now)
	}
}

// saidReplica tells whether the gateway knew at a time that a server is no primary.
func (g *gateway) knewReplica(s *server, at time.Duration) bool {
	since, ok := g.replicaSince[s]
	return ok && since < at
}

// ordered lists the trials by their ids, as a map's own order would differ from run to run.
func (g *gateway) opsByID() []*gatewayOp {
	all := make([]*gatewayOp, 0, len(g.ops))
	for _, t := range g.ops {
		all = append(all, t)
	}
	sortOpsByID(all)
	return all
}
