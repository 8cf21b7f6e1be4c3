package emulator

import (
	"time"

	"gorsewell/choice"
)

// decider is what decides in a gateway: the module, or what it is compared with.
type decider interface {
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
	w      *run
	index  int
	zone   int
	life   int // counts its starts
	down   bool
	downAt time.Duration
	base   time.Duration // of its clock
	until  time.Duration // paused so long
	late   []func()      // what came while it was paused

	decider  decider
	trials   map[uint32]*trial
	lastOp   uint32
	links    []*link // by server
	watching bool
	askedAt  time.Duration
	heard    map[*server]time.Duration // when it was told of a server's start
	replicas map[*server]time.Duration // when an answer first said, since it last said otherwise, that one is a replica
	node     *instance                 // its part in the gossip, or nil
	listMsg  []choice.Listed
}

// link is the connections between a gateway and a server.
type link struct {
	idle []time.Duration // since when, the one used last comes last
	life int             // of the server
}

// trial is an op at a gateway.
type trial struct {
	gw      *gateway
	id      uint32
	req     *request
	again   bool
	tryNo   int
	sentAt  time.Duration // by the client
	due     time.Duration // when its client leaves
	mark    time.Duration // the position that a session's read must see
	takenAt time.Duration
	out     *attempt
	sends   int
	done    bool
	watch   watched // the checker's notes
}

// attempt is one send.
type attempt struct {
	trial     *trial
	req       *request
	t         *opType
	number    int
	s         *server
	life      int // of the server when it was sent
	work      float64
	want      time.Duration // the oldest position that may answer it
	sentAt    time.Duration
	ended     bool // its result has been told, or is on its way
	dropped   bool // called back while it waited
	running   bool
	holds     bool
	connected bool
	written   bool
	committed time.Duration // of a write: when
	token     *token
	readAt    time.Duration // position of the server when the work began
}

func (g *gateway) runs() bool { return !g.down }

func (g *gateway) here() time.Duration { return g.w.now - g.base }

// do does something at the gateway, later if it is paused, never if it has ended meanwhile.
func (g *gateway) do(life int, f func()) {
	switch {
	case g.life != life || g.down:
	case g.w.now < g.until:
		g.late = append(g.late, func() { g.do(life, f) })
	default:
		f()
	}
}

// then plans something at the gateway.
func (g *gateway) then(after time.Duration, f func()) {
	life := g.life
	g.w.after(after, func() { g.do(life, f) })
}

// pause stops the process; it goes on with all that came in the meantime.
func (g *gateway) pause(span time.Duration) {
	g.until = max(g.until, g.w.now+span)
	life, until := g.life, g.until
	g.w.after(span, func() {
		if g.life != life || g.until != until {
			return
		}
		late := g.late
		g.late = nil
		for _, f := range late {
			f()
		}
	})
}

// start begins another run of the gateway.
func (g *gateway) start() {
	g.boot()
	g.base = g.w.now
	g.opens()
}

// boot begins a run's life, as far as others see it.
func (g *gateway) boot() {
	g.life++
	g.down, g.base, g.until, g.late = false, -time.Duration(draw(g.w.seed, 0xba5e, uint64(g.index))*float64(time.Hour)), 0, nil
	if g.w.gossips != nil {
		g.node = g.w.gossips.start(g)
	}
}

// opens takes ops from now on. It holds nothing but the list that the platform keeps.
func (g *gateway) opens() {
	g.trials, g.lastOp, g.links, g.watching, g.askedAt = map[uint32]*trial{}, 0, nil, !g.w.world.List.Asked, g.w.now
	g.heard, g.replicas = map[*server]time.Duration{}, map[*server]time.Duration{}
	g.decider = g.w.decide(g)
	var there []*line
	for _, e := range g.w.lists.order {
		if e.state != choice.Gone {
			there = append(there, e)
		}
	}
	g.listed(choice.ListCached, g.w.lists.copy(there))
}

// crash ends the run; what it held is its clients' to ask for again.
func (g *gateway) crash() {
	if g.down {
		return
	}
	g.down, g.downAt = true, g.w.now
	g.life++
	for i, l := range g.links {
		if s := g.w.servers[i]; l != nil && l.life == s.life {
			s.open -= len(l.idle)
		}
	}
	for _, t := range g.ordered() {
		if a := t.out; a != nil {
			g.closes(a)
		}
	}
	open := g.trials
	g.trials = map[uint32]*trial{}
	for id := uint32(1); id <= g.lastOp; id++ {
		if t := open[id]; t != nil && !t.done {
			t.done = true
			g.w.clients.lost(t)
		}
	}
}

// take hands an op to the decider.
func (g *gateway) take(req *request, tryNo int, sentAt, due time.Duration, mark, wroteAgo time.Duration) *trial {
	g.lastOp++
	t := &trial{gw: g, id: g.lastOp, req: req, tryNo: tryNo, again: tryNo > 0 && g.w.world.Clients.Marks, sentAt: sentAt, due: due, mark: mark,
		takenAt: g.w.now}
	g.trials[t.id] = t
	g.w.check.taken(t)
	g.w.after(due-g.w.now, func() { g.timeOut(t) })
	g.decider.Op(g.here(), t.id, uint8(req.t.index), req.session, due-g.base, uint16(req.group.index), wroteAgo, t.again)
	return t
}

// timeOut ends the send that is out when the client leaves, as the time limit of its connection does.
func (g *gateway) timeOut(t *trial) {
	if t.done || g.trials[t.id] != t {
		return
	}
	if a := t.out; a != nil {
		g.closes(a)
		g.do(g.life, func() { g.told(a, choice.TimedOut, choice.RoleUnknown, choice.LongPast) })
	}
}

// Send implements choice.Host, as do the methods below.
func (g *gateway) Send(op, server uint32, _ time.Duration) {
	t := g.trials[op]
	s := g.w.servers[server-1]
	g.w.check.sent(g, t, op, s)
	if t == nil {
		return
	}
	a := &attempt{trial: t, req: t.req, t: t.req.t, number: t.sends, s: s, life: s.life, sentAt: g.w.now}
	a.work = t.req.work * lognormal(draw(g.w.seed, 0xa77e, t.req.id, uint64(t.tryNo), uint64(t.sends)), t.req.t.Noise)
	a.want = choice.LongPast
	switch a.t.need {
	case choice.Session:
		a.want = t.mark
	case choice.Bounded:
		a.want = g.w.now - a.t.Bound
	case choice.Fresh:
		a.want = t.sentAt
	}
	t.sends++
	t.out = a
	s.inflight++
	g.w.result.Sends++
	g.w.trace(t, "send %d to server %d", a.number, s.id)
	g.connect(a)
}

// link is what there is between the gateway and a server.
func (g *gateway) link(s *server) *link {
	i := int(s.id) - 1
	for len(g.links) <= i {
		g.links = append(g.links, make([]*link, max(1, len(g.w.servers)-len(g.links)))...)
	}
	if g.links[i] == nil {
		g.links[i] = &link{life: s.life}
	}
	return g.links[i]
}

// connect finds a connection, or makes one, and carries the attempt over it.
func (g *gateway) connect(a *attempt) {
	s, w := a.s, g.w
	c := &w.world.Servers
	l := g.link(s)
	if l.life != s.life { // what there was has been reset
		l.idle, l.life = nil, s.life
	}
	for len(l.idle) > 0 && c.Idle > 0 && l.idle[0] < w.now-c.Idle/2 {
		l.idle = l.idle[1:]
		s.open--
	}
	if n := len(l.idle); n > 0 {
		l.idle = l.idle[:n-1]
		a.connected = true
		g.write(a)
		return
	}
	limit := c.Conns
	if s.squeezed > 0 {
		limit = s.squeezed
	}
	fail := func(after time.Duration) {
		w.after(after, func() { g.ends(a, choice.NoConnection, choice.RoleUnknown, choice.LongPast) })
	}
	way := w.way(g.zone, s.zone)
	switch {
	case !w.passes(g, s, true) || !w.passes(g, s, false) || s.state == vanished || s.hung:
		fail(c.ConnectFor)
	case !s.runs() || limit > 0 && s.open >= limit:
		fail(2 * way)
	default:
		s.open++
		life := s.life
		took := 2*way*time.Duration(max(1, c.RoundTrips)) + time.Duration(float64(c.Handshake)/s.pace())
		if took > c.ConnectFor {
			s.open--
			fail(c.ConnectFor)
			return
		}
		w.after(took, func() {
			switch {
			case s.life != life:
				g.ends(a, choice.NoConnection, choice.RoleUnknown, choice.LongPast)
			case a.ended: // called back in the meantime
				s.open--
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
	life, s := a.s.life, a.s
	a.life = life
	if !g.w.passes(g, s, true) {
		return // until its time is up, or the way is back and the connection turns out broken
	}
	g.w.after(g.w.way(g.zone, s.zone), func() {
		if s.life == life && s.runs() {
			s.arrive(a)
		}
	})
}

// answer brings a server's answer back.
func (r *run) answer(a *attempt, result choice.Result, role choice.Role, pos time.Duration) {
	g := a.trial.gw
	if !r.passes(g, a.s, false) {
		return
	}
	r.after(r.way(g.zone, a.s.zone), func() { g.ends(a, result, role, pos) }) // what is on its way arrives even if the server ends
}

// ends gives an attempt its one result.
func (g *gateway) ends(a *attempt, result choice.Result, role choice.Role, pos time.Duration) {
	if a.ended {
		return
	}
	a.ended = true
	a.s.inflight--
	if a.connected && a.s.life == a.life && !g.down {
		l := g.link(a.s)
		if l.life == a.life {
			l.idle = append(l.idle, g.w.now)
		}
	}
	t := a.trial
	life := t.life()
	g.do(life, func() { g.told(a, result, role, pos) })
}

// life is that of the gateway at which the trial runs, or none if that has ended since.
func (t *trial) life() int {
	if t.gw.trials[t.id] != t {
		return -1
	}
	return t.gw.life
}

// closes gives an attempt up: its connection is closed, what it has begun goes on.
func (g *gateway) closes(a *attempt) {
	if a.ended {
		return
	}
	a.ended = true
	a.s.inflight--
	if a.connected && a.s.life == a.life {
		a.s.open--
	}
	if !a.running && g.w.world.Servers.CancelStop {
		a.dropped = true
	}
}

// told hands a result to the decider. The first ack ends the op.
func (g *gateway) told(a *attempt, result choice.Result, role choice.Role, pos time.Duration) {
	t := a.trial
	if t.out == a {
		t.out = nil
	}
	took := g.w.now - a.sentAt
	g.w.check.ended(t, a, result, role)
	g.says(a.s, role)
	g.w.result.sendEnded(result)
	g.w.trace(t, "send %d ended: %s", a.number, resultNames[result])
	if result == choice.Acked && took <= a.t.Target && g.node != nil {
		g.node.acked(a.s, a.sentAt)
	}
	if result == choice.Acked && !t.done {
		t.done = true
		g.w.check.value(t, a)
		g.w.check.final(t, finalAcked)
		g.w.clients.acked(t, a)
	}
	if t.done {
		delete(g.trials, t.id)
	}
	if pos != choice.LongPast {
		pos -= g.base
	}
	g.decider.Answer(g.here(), t.id, uint8(a.number), a.s.id, result, took, t.done, role, pos)
}

// BusyReply is final.
func (g *gateway) BusyReply(op uint32, comeBackIn time.Duration) {
	if t := g.trials[op]; t != nil && !t.done {
		t.done = true
		if t.out == nil {
			delete(g.trials, op)
		}
		g.w.check.final(t, finalBusy)
		g.w.clients.busy(t, comeBackIn)
	} else {
		g.w.check.final(t, finalBusy)
	}
}

// Error is final.
func (g *gateway) Error(op uint32) {
	if t := g.trials[op]; t != nil && !t.done {
		t.done = true
		if t.out == nil {
			delete(g.trials, op)
		}
		g.w.check.final(t, finalError)
		g.w.clients.errored(t)
	} else {
		g.w.check.final(t, finalError)
	}
}

// Cancel calls a send back.
func (g *gateway) Cancel(op uint32, send uint8) {
	t := g.trials[op]
	if t == nil || t.out == nil || t.out.number != int(send) || t.out.ended {
		return
	}
	a := t.out
	g.closes(a)
	life := g.life
	g.w.after(0, func() {
		g.do(life, func() { g.told(a, choice.Cancelled, choice.RoleUnknown, choice.LongPast) })
	})
}

// Withdraw implements choice.Host. Here a send counts from its decision, so there is nothing to take back.
func (g *gateway) Withdraw(uint32) {}

// Probe asks a server how it is.
func (g *gateway) Probe(server uint32) {
	w, s := g.w, g.w.servers[server-1]
	w.result.Probes++
	p := &w.world.Reports
	began := w.now
	tell := func(result choice.Result, role choice.Role, pos time.Duration) {
		g.do(g.life, func() {
			if role != choice.RoleUnknown && p.Probes {
				g.says(s, role)
				g.decider.Report(g.here(), server, role, pos-g.base)
			}
			g.decider.ProbeAnswer(g.here(), server, result, w.now-began)
		})
	}
	life, slife := g.life, s.life
	lost := func(after time.Duration, result choice.Result) {
		w.after(after, func() {
			if g.life == life {
				tell(result, choice.RoleUnknown, 0)
			}
		})
	}
	way := w.way(g.zone, s.zone)
	switch {
	case !w.passes(g, s, true) || !w.passes(g, s, false) || s.state == vanished || s.hung && !p.OnHung:
		lost(p.Timeout, choice.TimedOut)
	case !s.runs():
		lost(2*way, choice.NoConnection)
	case s.badProbe > 0 && draw(w.seed, 0xbad, uint64(server), uint64(g.index), uint64(w.now)) < s.badProbe:
		lost(2*way, choice.ServerError)
	default:
		w.after(2*way+time.Duration(float64(p.Work)/s.pace()), func() {
			if g.life != life {
				return
			}
			if s.life != slife {
				tell(choice.Reset, choice.RoleUnknown, 0)
				return
			}
			old := time.Duration(draw(w.seed, 0x01d, uint64(server), uint64(w.now)) * float64(p.Refresh))
			tell(choice.Acked, s.role(), s.told()-old)
		})
	}
}

// Timer calls the decider at a time of its clock.
func (g *gateway) Timer(id uint32, at time.Duration) {
	life := g.life
	g.w.at(at+g.base, func() {
		g.do(life, func() { g.decider.Timer(g.here(), id) })
	})
}

// AskList asks once.
func (g *gateway) AskList() { g.w.lists.call(g, false) }

// WatchList asks for all and then for changes.
func (g *gateway) WatchList() { g.w.lists.call(g, true) }

// CloseIdle closes connections that are not in use.
func (g *gateway) CloseIdle(server uint32) {
	s := g.w.servers[server-1]
	l := g.link(s)
	if l.life == s.life {
		s.open -= len(l.idle)
	}
	l.idle = nil
}

// Forget drops what is kept of a server.
func (g *gateway) Forget(server uint32) {
	g.CloseIdle(server)
	if g.node != nil {
		g.node.Recovered(g.node.here(), uint64(server))
	}
}

// Trouble tells the gossip what the gateway has seen by itself.
func (g *gateway) Trouble(server uint32, t choice.Trouble) {
	g.w.result.Troubles[t]++
	if g.node != nil {
		g.node.trouble(server, t)
	}
}

// Log notes what the module says.
func (g *gateway) Log(line string) { g.w.result.Logs[line]++ }

// listed hands a list to the decider.
func (g *gateway) listed(scope choice.ListScope, lines []line) {
	g.do(g.life, func() {
		g.askedAt = g.w.now
		g.listMsg = g.listMsg[:0]
		for _, e := range lines {
			l := choice.Listed{ID: e.s.id, Group: uint16(e.s.group.index), Zone: uint8(e.s.zone), Kind: e.s.kind, Primary: e.primary,
				State: e.state, Started: choice.LongPast, Weight: float32(e.s.cores)}
			if e.started > longAgo {
				l.Started = e.started - g.base
				g.heard[e.s] = e.started
			}
			g.listMsg = append(g.listMsg, l)
		}
		if scope != choice.ListFailed {
			g.w.check.listed(g, scope, lines)
		}
		g.decider.List(g.here(), scope, g.listMsg)
		if g.node != nil && scope != choice.ListFailed {
			g.node.SetServerCount(g.node.here(), len(g.w.lists.order))
		}
	})
}

// knowsStart tells whether the gateway has been told of a server's newest start, or is deemed to have been.
func (g *gateway) knowsStart(s *server) bool {
	return g.heard[s] == s.started || !g.watching && g.w.now-g.askedAt > g.w.world.List.Within
}

// broken ends what is under way between a server and all gateways: reset, or silent.
func (r *run) broken(s *server, reset bool) {
	s.open = 0
	for _, g := range r.gateways {
		if int(s.id) > len(g.links) || g.links[s.id-1] == nil {
			continue
		}
		g.links[s.id-1].idle = nil
		if !reset || !g.runs() {
			continue
		}
		for _, t := range g.ordered() {
			if a := t.out; a != nil && a.s == s && a.written && !a.ended {
				r.after(r.way(g.zone, s.zone), func() { g.ends(a, choice.Reset, choice.RoleUnknown, choice.LongPast) })
			}
		}
	}
}

// says notes what a server has told of its role.
func (g *gateway) says(s *server, role choice.Role) {
	switch {
	case role == choice.Primary:
		delete(g.replicas, s)
	case role == choice.Replica && g.replicas[s] == 0:
		g.replicas[s] = max(1, g.w.now)
	}
}

// saidReplica tells whether the gateway knew at a time that a server is no primary.
func (g *gateway) saidReplica(s *server, at time.Duration) bool {
	since, ok := g.replicas[s]
	return ok && since < at
}

// ordered lists the trials by their ids, as a map's own order would differ from run to run.
func (g *gateway) ordered() []*trial {
	all := make([]*trial, 0, len(g.trials))
	for _, t := range g.trials {
		all = append(all, t)
	}
	sortTrials(all)
	return all
}
