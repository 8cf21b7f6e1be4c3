package emulator

import (
	"time"

	"gorsewell/choice"
)

// policy decides in a gateway which server each op is sent to and when. It is the decision module, choice.Gateway, or a
// baselinePolicy to compare that with.
type policy interface {
	Op(now time.Duration, a choice.Arrival)
	Answer(now time.Duration, id uint32, number uint8, serverID uint32, result choice.Result, took time.Duration,
		final bool, role choice.Role, pos time.Duration)
	Report(now time.Duration, id uint32, role choice.Role, pos time.Duration)
	ProbeAnswer(now time.Duration, id uint32, result choice.Result, took time.Duration)
	ClientGone(now time.Duration, id uint32)
	List(now time.Duration, scope choice.ListScope, listed []choice.Listed)
	Rumour(now time.Duration, id uint32, weight float64)
	Timer(now time.Duration, id uint32)
}

// gateway is one gateway instance. It is the choice.Host of its policy and makes no decisions itself.
type gateway struct {
	sim         *simulation
	index       int
	zone        int
	generation  int // number of starts and crashes
	down        bool
	downAt      time.Duration
	clockBase   time.Duration // virtual time at which the gateway's clock shows 0
	pausedUntil time.Duration
	deferred    []func() // events that came in during the pause, to be handled after it

	policy       policy
	ops          map[uint32]*gatewayOp
	lastOpID     uint32
	pools        []*connPool // index: server id - 1; nil before the first use
	watchesList  bool
	lastListAt   time.Duration             // when the policy was last handed the list, changes or a failure
	knownStarts  map[*server]time.Duration // latest start of each server according to the list
	replicaSince map[*server]time.Duration // since when each server has reported to be a replica
	gossipNode   *instance                 // nil without gossip
	listBuffer   []choice.Listed           // reused for each list
}

// connPool holds a gateway's unused connections to one server.
type connPool struct {
	idleSince  []time.Duration // when each connection became unused, the most recent last
	generation int             // generation of the server when they were opened
}

// gatewayOp is one try of a request at a gateway, which takes each try for an op of its own.
type gatewayOp struct {
	gateway        *gateway
	id             uint32
	request        *request
	isRetry        bool
	tryNumber      int           // number of the try, from 0
	sentAt         time.Duration // when the client sent it
	clientLeavesAt time.Duration // when the client stops waiting
	minPosition    time.Duration // position that a session's read must see
	acceptedAt     time.Duration
	openAttempt    *attempt // the send without a result so far, else nil
	sendCount      int      // sends so far
	done           bool     // it has its final answer, or the gateway has crashed
	record         opRecord // kept by the checker
}

// attempt is one send of an op to a server.
type attempt struct {
	op               *gatewayOp
	request          *request
	opType           *opType
	number           int // number of the send, from 0
	server           *server
	serverGeneration int           // generation of the server when the send was decided, then when it was written
	work             float64       // in nanoseconds of a core of speed 1
	minPosition      time.Duration // oldest position of data that may answer it
	sentAt           time.Duration
	ended            bool          // it has a result or has been abandoned
	dropped          bool          // abandoned before a core was free, so that the server skips it
	running          bool          // a server has begun to work on it
	holdsApply       bool          // it keeps the replica from applying the log
	connected        bool          // it has a connection
	written          bool          // it has been sent over the connection
	committedAt      time.Duration // of a write: when it took effect
	token            *token        // of a tokened write
	dataPosition     time.Duration // position of the server when the work began
}

func (g *gateway) isUp() bool { return !g.down }

// localTime returns the time by the gateway's own clock.
func (g *gateway) localTime() time.Duration { return g.sim.now - g.clockBase }

// runIfAlive calls f at once, or after the pause if the gateway is paused. It does not call f if the gateway is down or
// no longer of the given generation.
func (g *gateway) runIfAlive(generation int, f func()) {
	switch {
	case g.generation != generation || g.down:
	case g.sim.now < g.pausedUntil:
		g.deferred = append(g.deferred, func() { g.runIfAlive(generation, f) })
	default:
		f()
	}
}

// schedule calls f after a time, unless the gateway has ended by then.
func (g *gateway) schedule(after time.Duration, f func()) {
	generation := g.generation
	g.sim.after(after, func() { g.runIfAlive(generation, f) })
}

// pause suspends the process for a time. Afterwards it handles everything that came in meanwhile.
func (g *gateway) pause(duration time.Duration) {
	g.pausedUntil = max(g.pausedUntil, g.sim.now+duration)
	generation, pausedUntil := g.generation, g.pausedUntil
	g.sim.after(duration, func() {
		if g.generation != generation || g.pausedUntil != pausedUntil {
			return
		}
		deferred := g.deferred
		g.deferred = nil
		for _, f := range deferred {
			f()
		}
	})
}

// start restarts the gateway after a crash.
func (g *gateway) start() {
	g.boot()
	g.clockBase = g.sim.now
	g.startServing()
}

// boot begins a new generation of the gateway, with its gossip node. It does not accept ops before startServing.
func (g *gateway) boot() {
	g.generation++
	g.down, g.clockBase, g.pausedUntil, g.deferred =
		false, -time.Duration(draw(g.sim.seed, 0xba5e, uint64(g.index))*float64(time.Hour)), 0, nil
	if g.sim.gossipNet != nil {
		g.gossipNode = g.sim.gossipNet.start(g)
	}
}

// startServing makes the gateway accept ops. It has no state but the server list that the platform has cached.
func (g *gateway) startServing() {
	g.ops, g.lastOpID, g.pools, g.watchesList, g.lastListAt =
		map[uint32]*gatewayOp{}, 0, nil, !g.sim.world.List.Asked, g.sim.now
	g.knownStarts, g.replicaSince = map[*server]time.Duration{}, map[*server]time.Duration{}
	g.policy = g.sim.newPolicy(g)
	var listed []*listEntry
	for _, e := range g.sim.discovery.ordered {
		if e.state != choice.Gone {
			listed = append(listed, e)
		}
	}
	g.deliverList(choice.ListCached, g.sim.discovery.snapshot(listed))
}

// crash ends the process. The clients of its open ops may retry them.
func (g *gateway) crash() {
	if g.down {
		return
	}
	g.down, g.downAt = true, g.sim.now
	g.generation++
	for i, pool := range g.pools {
		if s := g.sim.servers[i]; pool != nil && pool.generation == s.generation {
			s.openConnections -= len(pool.idleSince)
		}
	}
	for _, op := range g.opsByID() {
		if a := op.openAttempt; a != nil {
			g.abandon(a)
		}
	}
	open := g.ops
	g.ops = map[uint32]*gatewayOp{}
	for id := uint32(1); id <= g.lastOpID; id++ {
		if op := open[id]; op != nil && !op.done {
			op.done = true
			g.sim.clients.gatewayLost(op)
		}
	}
}

// accept takes an op from a client and hands it to the policy. minPosition is the position that a session's read must
// see, writeAge the age of that position.
func (g *gateway) accept(req *request, tryNumber int, sentAt, clientLeavesAt time.Duration,
	minPosition, writeAge time.Duration) *gatewayOp {
	g.lastOpID++
	op := &gatewayOp{gateway: g, id: g.lastOpID, request: req, tryNumber: tryNumber,
		isRetry: tryNumber > 0 && g.sim.world.Clients.Marks, sentAt: sentAt, clientLeavesAt: clientLeavesAt,
		minPosition: minPosition, acceptedAt: g.sim.now}
	g.ops[op.id] = op
	g.sim.checker.opAccepted(op)
	g.sim.after(clientLeavesAt-g.sim.now, func() { g.timeOut(op) })
	g.policy.Op(g.localTime(), choice.Arrival{ID: op.id, OpType: uint8(req.opType.index), Session: req.session,
		ClientLeavesAt: clientLeavesAt - g.clockBase, Group: uint16(req.group.index), WriteAge: writeAge, IsRetry: op.isRetry})
	return op
}

// timeOut ends the open send as TimedOut when the client stops waiting, as a deadline of the connection would.
func (g *gateway) timeOut(op *gatewayOp) {
	if op.done || g.ops[op.id] != op {
		return
	}
	if a := op.openAttempt; a != nil {
		g.abandon(a)
		g.runIfAlive(g.generation, func() { g.deliverResult(a, choice.TimedOut, choice.RoleUnknown, choice.LongPast) })
	}
}

// Send implements choice.Host, as do the exported methods below.
func (g *gateway) Send(opID, server uint32, _ time.Duration) {
	op := g.ops[opID]
	s := g.sim.servers[server-1]
	g.sim.checker.sendStarted(g, op, opID, s)
	if op == nil {
		return
	}
	a := &attempt{op: op, request: op.request, opType: op.request.opType, number: op.sendCount, server: s,
		serverGeneration: s.generation, sentAt: g.sim.now}
	a.work = op.request.work *
		lognormal(draw(g.sim.seed, 0xa77e, op.request.id, uint64(op.tryNumber), uint64(op.sendCount)),
			op.request.opType.Noise)
	a.minPosition = choice.LongPast
	switch a.opType.need {
	case choice.Session:
		a.minPosition = op.minPosition
	case choice.Bounded:
		a.minPosition = g.sim.now - a.opType.Bound
	case choice.Fresh:
		a.minPosition = op.sentAt
	}
	op.sendCount++
	op.openAttempt = a
	s.openAttempts++
	g.sim.result.Sends++
	g.sim.traceOp(op, "send %d to server %d", a.number, s.id)
	g.connect(a)
}

// pool returns the pool of connections to a server, which it creates at the first use.
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

// connect takes a connection from the pool or opens one, and sends the attempt over it.
func (g *gateway) connect(a *attempt) {
	s, sim := a.server, g.sim
	settings := &sim.world.Servers
	pool := g.pool(s)
	if pool.generation != s.generation { // the earlier connections have been reset
		pool.idleSince, pool.generation = nil, s.generation
	}
	for len(pool.idleSince) > 0 && settings.Idle > 0 && pool.idleSince[0] < sim.now-settings.Idle/2 {
		pool.idleSince = pool.idleSince[1:]
		s.openConnections--
	}
	if n := len(pool.idleSince); n > 0 {
		pool.idleSince = pool.idleSince[:n-1]
		a.connected = true
		g.write(a)
		return
	}
	limit := settings.Conns
	if s.connectionLimit > 0 {
		limit = s.connectionLimit
	}
	fail := func(after time.Duration) {
		sim.after(after, func() { g.endAttempt(a, choice.NoConnection, choice.RoleUnknown, choice.LongPast) })
	}
	delay := sim.delay(g.zone, s.zone)
	switch {
	case !sim.reaches(g, s, true) || !sim.reaches(g, s, false) || s.state == serverVanished || s.hung:
		fail(settings.ConnectFor)
	case !s.isUp() || limit > 0 && s.openConnections >= limit:
		fail(2 * delay)
	default:
		s.openConnections++
		generation := s.generation
		took := 2*delay*time.Duration(max(1, settings.RoundTrips)) +
			time.Duration(float64(settings.Handshake)/s.currentSpeed())
		if took > settings.ConnectFor {
			s.openConnections--
			fail(settings.ConnectFor)
			return
		}
		sim.after(took, func() {
			switch {
			case s.generation != generation:
				g.endAttempt(a, choice.NoConnection, choice.RoleUnknown, choice.LongPast)
			case a.ended: // abandoned in the meantime
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
	generation, s := a.server.generation, a.server
	a.serverGeneration = generation
	if !g.sim.reaches(g, s, true) {
		return // the attempt ends by its timeout, or by a reset when the connection turns out to be broken
	}
	g.sim.after(g.sim.delay(g.zone, s.zone), func() {
		if s.generation == generation && s.isUp() {
			s.arrive(a)
		}
	})
}

// returnAnswer sends a server's answer back to the gateway.
func (sim *simulation) returnAnswer(a *attempt, result choice.Result, role choice.Role, pos time.Duration) {
	g := a.op.gateway
	if !sim.reaches(g, a.server, false) {
		return
	}
	// An answer under way arrives even if the server ends.
	sim.after(sim.delay(g.zone, a.server.zone), func() { g.endAttempt(a, result, role, pos) })
}

// endAttempt gives an attempt its result, unless it has one.
func (g *gateway) endAttempt(a *attempt, result choice.Result, role choice.Role, pos time.Duration) {
	if a.ended {
		return
	}
	a.ended = true
	a.server.openAttempts--
	if a.connected && a.server.generation == a.serverGeneration && !g.down {
		pool := g.pool(a.server)
		if pool.generation == a.serverGeneration {
			pool.idleSince = append(pool.idleSince, g.sim.now)
		}
	}
	op := a.op
	generation := op.generation()
	g.runIfAlive(generation, func() { g.deliverResult(a, result, role, pos) })
}

// generation returns the generation of the gateway that holds the op, or -1 if it no longer holds it.
func (op *gatewayOp) generation() int {
	if op.gateway.ops[op.id] != op {
		return -1
	}
	return op.gateway.generation
}

// abandon closes the connection of an attempt without waiting for its result. Work that the server has begun goes on.
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

// deliverResult hands the result of an attempt to the policy. The first ack ends the op.
func (g *gateway) deliverResult(a *attempt, result choice.Result, role choice.Role, pos time.Duration) {
	op := a.op
	if op.openAttempt == a {
		op.openAttempt = nil
	}
	took := g.sim.now - a.sentAt
	g.sim.checker.sendEnded(op, a, result, role)
	g.noteRole(a.server, role)
	g.sim.result.sendEnded(result)
	g.sim.traceOp(op, "send %d ended: %s", a.number, resultNames[result])
	if result == choice.Acked && took <= a.opType.Target && g.gossipNode != nil {
		g.gossipNode.opAcked(a.server, a.sentAt)
	}
	if result == choice.Acked && !op.done {
		op.done = true
		g.sim.checker.checkFreshness(op, a)
		g.sim.checker.finalAnswer(op, finalAcked)
		g.sim.clients.acked(op, a)
	}
	if op.done {
		delete(g.ops, op.id)
	}
	if pos != choice.LongPast {
		pos -= g.clockBase
	}
	g.policy.Answer(g.localTime(), op.id, uint8(a.number), a.server.id, result, took, op.done, role, pos)
}

// BusyReply sends a busy reply to the client, which is a final answer.
func (g *gateway) BusyReply(opID uint32, retryAfter time.Duration) {
	if op := g.ops[opID]; op != nil && !op.done {
		op.done = true
		if op.openAttempt == nil {
			delete(g.ops, opID)
		}
		g.sim.checker.finalAnswer(op, finalBusy)
		g.sim.clients.busyReplied(op, retryAfter)
	} else {
		g.sim.checker.finalAnswer(op, finalBusy)
	}
}

// Error sends an error to the client, which is a final answer.
func (g *gateway) Error(opID uint32) {
	if op := g.ops[opID]; op != nil && !op.done {
		op.done = true
		if op.openAttempt == nil {
			delete(g.ops, opID)
		}
		g.sim.checker.finalAnswer(op, finalError)
		g.sim.clients.errored(op)
	} else {
		g.sim.checker.finalAnswer(op, finalError)
	}
}

// Cancel cancels the open send, if it is the one with the given number.
func (g *gateway) Cancel(opID uint32, send uint8) {
	op := g.ops[opID]
	if op == nil || op.openAttempt == nil || op.openAttempt.number != int(send) || op.openAttempt.ended {
		return
	}
	a := op.openAttempt
	g.abandon(a)
	generation := g.generation
	g.sim.after(0, func() {
		g.runIfAlive(generation, func() { g.deliverResult(a, choice.Cancelled, choice.RoleUnknown, choice.LongPast) })
	})
}

// Withdraw does nothing: every send begins when it is decided, so there is none to take back.
func (g *gateway) Withdraw(uint32) {}

// Probe probes a server.
func (g *gateway) Probe(server uint32) {
	sim, s := g.sim, g.sim.servers[server-1]
	sim.result.Probes++
	reports := &sim.world.Reports
	startedAt := sim.now
	deliver := func(result choice.Result, role choice.Role, pos time.Duration) {
		g.runIfAlive(g.generation, func() {
			if role != choice.RoleUnknown && reports.Probes {
				g.noteRole(s, role)
				g.policy.Report(g.localTime(), server, role, pos-g.clockBase)
			}
			g.policy.ProbeAnswer(g.localTime(), server, result, sim.now-startedAt)
		})
	}
	generation, serverGeneration := g.generation, s.generation
	fail := func(after time.Duration, result choice.Result) {
		sim.after(after, func() {
			if g.generation == generation {
				deliver(result, choice.RoleUnknown, 0)
			}
		})
	}
	delay := sim.delay(g.zone, s.zone)
	switch {
	case !sim.reaches(g, s, true) || !sim.reaches(g, s, false) || s.state == serverVanished || s.hung && !reports.OnHung:
		fail(reports.Timeout, choice.TimedOut)
	case !s.isUp():
		fail(2*delay, choice.NoConnection)
	case s.probeErrorShare > 0 &&
		draw(sim.seed, 0xbad, uint64(server), uint64(g.index), uint64(sim.now)) < s.probeErrorShare:
		fail(2*delay, choice.ServerError)
	default:
		sim.after(2*delay+time.Duration(float64(reports.Work)/s.currentSpeed()), func() {
			if g.generation != generation {
				return
			}
			if s.generation != serverGeneration {
				deliver(choice.Reset, choice.RoleUnknown, 0)
				return
			}
			age := time.Duration(draw(sim.seed, 0x01d, uint64(server), uint64(sim.now)) * float64(reports.Refresh))
			deliver(choice.Acked, s.role(), s.reportedPosition()-age)
		})
	}
}

// Timer schedules a call of the policy's Timer at a time of the gateway's clock.
func (g *gateway) Timer(id uint32, at time.Duration) {
	generation := g.generation
	g.sim.at(at+g.clockBase, func() {
		g.runIfAlive(generation, func() { g.policy.Timer(g.localTime(), id) })
	})
}

// AskList requests the server list, without later changes.
func (g *gateway) AskList() { g.sim.discovery.requestList(g, false) }

// WatchList requests the server list and then its changes.
func (g *gateway) WatchList() { g.sim.discovery.requestList(g, true) }

// CloseIdle closes the unused connections to a server.
func (g *gateway) CloseIdle(server uint32) {
	s := g.sim.servers[server-1]
	pool := g.pool(s)
	if pool.generation == s.generation {
		s.openConnections -= len(pool.idleSince)
	}
	pool.idleSince = nil
}

// Forget closes the unused connections to a server and withdraws the instance's rumour about it.
func (g *gateway) Forget(server uint32) {
	g.CloseIdle(server)
	if g.gossipNode != nil {
		g.gossipNode.Recovered(g.gossipNode.localTime(), uint64(server))
	}
}

// Trouble passes on to the gossip node what the policy has observed of a server.
func (g *gateway) Trouble(server uint32, t choice.Trouble) {
	g.sim.result.Troubles[t]++
	if g.gossipNode != nil {
		g.gossipNode.reportTrouble(server, t)
	}
}

// Decided counts the policy's decisions about servers.
func (g *gateway) Decided(e choice.Event) {
	if !e.Kind.ConcernsOp() {
		g.sim.result.Logs[e.Kind.String()]++
	}
}

// deliverList hands the server list, or its changes, to the policy.
func (g *gateway) deliverList(scope choice.ListScope, entries []listEntry) {
	g.runIfAlive(g.generation, func() {
		g.lastListAt = g.sim.now
		g.listBuffer = g.listBuffer[:0]
		for _, e := range entries {
			listed := choice.Listed{ID: e.server.id, Group: uint16(e.server.group.index), Zone: uint8(e.server.zone),
				Kind: e.server.kind, Primary: e.primary, State: e.state, Started: choice.LongPast, Weight: float32(e.server.cores)}
			if e.startedAt > longAgo {
				listed.Started = e.startedAt - g.clockBase
				g.knownStarts[e.server] = e.startedAt
			}
			g.listBuffer = append(g.listBuffer, listed)
		}
		if scope != choice.ListFailed {
			g.sim.checker.listDelivered(g, scope, entries)
		}
		g.policy.List(g.localTime(), scope, g.listBuffer)
		if g.gossipNode != nil && scope != choice.ListFailed {
			g.gossipNode.SetServerCount(g.gossipNode.localTime(), len(g.sim.discovery.ordered))
		}
	})
}

// knowsStart reports whether the gateway has learned of a server's latest start from the list, or counts as knowing it
// because it has not received the list within List.Within.
func (g *gateway) knowsStart(s *server) bool {
	return g.knownStarts[s] == s.startedAt || !g.watchesList && g.sim.now-g.lastListAt > g.sim.world.List.Within
}

// breakConnections ends all connections between a server and the gateways. With reset, open attempts end as Reset;
// without, the gateways notice nothing and open attempts stay open until they time out.
func (sim *simulation) breakConnections(s *server, reset bool) {
	s.openConnections = 0
	for _, g := range sim.gateways {
		if int(s.id) > len(g.pools) || g.pools[s.id-1] == nil {
			continue
		}
		g.pools[s.id-1].idleSince = nil
		if !reset || !g.isUp() {
			continue
		}
		for _, op := range g.opsByID() {
			if a := op.openAttempt; a != nil && a.server == s && a.written && !a.ended {
				sim.after(sim.delay(g.zone, s.zone), func() { g.endAttempt(a, choice.Reset, choice.RoleUnknown, choice.LongPast) })
			}
		}
	}
}

// noteRole records the role that a server has reported.
func (g *gateway) noteRole(s *server, role choice.Role) {
	switch {
	case role == choice.Primary:
		delete(g.replicaSince, s)
	case role == choice.Replica && g.replicaSince[s] == 0:
		g.replicaSince[s] = max(1, g.sim.now)
	}
}

// knewReplica reports whether the gateway knew at a time that a server is a replica.
func (g *gateway) knewReplica(s *server, at time.Duration) bool {
	since, ok := g.replicaSince[s]
	return ok && since < at
}

// opsByID returns the open ops sorted by id, because the order of a map differs from run to run.
func (g *gateway) opsByID() []*gatewayOp {
	all := make([]*gatewayOp, 0, len(g.ops))
	for _, op := range g.ops {
		all = append(all, op)
	}
	sortOpsByID(all)
	return all
}
