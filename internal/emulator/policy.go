package emulator

import (
	"cmp"
	"slices"
	"time"

	"gorsewell/choice"
)

// Policies lists the values of Arm.Policy: the decision module and the policies that it is compared with.
var Policies = []string{"module", "oracle", "primary", "turns", "least", "two"}

// newPolicy returns the policy of the arm for a gateway, or that of testPolicy in tests.
func (sim *simulation) newPolicy(g *gateway) policy {
	if sim.testPolicy != nil {
		return sim.testPolicy(g)
	}
	d := sim.deployment(g)
	var choose func(p *baselinePolicy, o *baselineOp) *server
	switch sim.arm.Policy {
	case "", "module":
		return choice.New(g, d)
	case "oracle":
		choose = (*baselinePolicy).oracle
	case "primary":
		choose = (*baselinePolicy).primary
	case "turns":
		choose = (*baselinePolicy).roundRobin
	case "least":
		choose = (*baselinePolicy).leastOpen
	case "two":
		choose = (*baselinePolicy).betterOfTwo
	}
	p := newBaselinePolicy(g, d, choose)
	p.isOracle = sim.arm.Policy == "oracle"
	return p
}

// newBaselinePolicy returns a policy that picks servers with choose, which returns nil if none is suitable for now.
func newBaselinePolicy(g *gateway, d *choice.Deployment,
	choose func(p *baselinePolicy, o *baselineOp) *server) *baselinePolicy {
	p := &baselinePolicy{gateway: g, deployment: d, ops: map[uint32]*baselineOp{}, choose: choose,
		openSends: map[uint32]int{}, states: map[uint32]choice.State{}}
	if d.ListOnRequest {
		g.WatchList()
	}
	g.Timer(0, 0)
	return p
}

// baselinePolicy is a simple policy to compare the decision module with. It keeps rules 1, 2 and 3 of package choice.
// Whether it keeps rules 4 and 5 depends on choose.
type baselinePolicy struct {
	gateway    *gateway
	deployment *choice.Deployment
	ops        map[uint32]*baselineOp
	held       []*baselineOp // ops without an open send, which dispatchHeld tries again
	choose     func(p *baselinePolicy, o *baselineOp) *server
	rotation   int                     // increases with each pick; selects the member with which the rotation begins
	drawCount  uint64                  // number of random numbers drawn
	isOracle   bool                    // choose is oracle
	openSends  map[uint32]int          // by server id: number of sends of this gateway without a result so far
	states     map[uint32]choice.State // by server id, from the list
}

// baselineOp is an op that the policy has not finished.
type baselineOp struct {
	id             uint32
	typeNumber     uint8
	valuePerWork   float64 // value per nanosecond of the mean work of the op type
	opType         *choice.OpType
	group          *group
	clientLeavesAt time.Duration
	targetAt       time.Duration // when its latency target ends
	minPosition    time.Duration // position that a session's read must see, by the gateway's clock
	sendCount      int           // number of sends so far
	sentTo         *server       // server of the open send, else nil
	sentAt         time.Duration // when the last send started
	mayHaveRun     bool          // a send has ended that may have run
	mayHaveRunAt   time.Duration // when the first such send started
}

func (p *baselinePolicy) Op(now time.Duration, a choice.Arrival) {
	opType := &p.deployment.OpTypes[a.OpType]
	o := &baselineOp{id: a.ID, typeNumber: a.OpType, opType: opType,
		valuePerWork: opType.Value / float64(p.gateway.sim.opTypes[a.OpType].Work), group: p.gateway.sim.groups[a.Group],
		clientLeavesAt: a.ClientLeavesAt, targetAt: now + opType.Target, minPosition: choice.LongPast}
	if opType.Need == choice.Session && a.WriteAge > 0 {
		o.minPosition = now - a.WriteAge
	}
	if p.isOracle { // the latency target of a retry counts from the first try of the request
		o.targetAt = p.gateway.ops[a.ID].request.askedAt - p.gateway.clockBase + opType.Target
	}
	p.ops[a.ID] = o
	p.dispatch(now, o)
}

// dispatch sends an op, holds it if no server is suitable, or gives it up if sending is no longer allowed or useful.
func (p *baselinePolicy) dispatch(now time.Duration, o *baselineOp) {
	maySend := o.sendCount < p.deployment.MaxSends && (!o.mayHaveRun || o.opType.Effect == choice.Retryable ||
		o.opType.Effect == choice.Tokened && o.opType.Scope != choice.ScopeZone &&
			now-o.mayHaveRunAt < o.opType.Window-2*p.deployment.EventInterval)
	usefulUntil := p.usefulUntil(o)
	if !maySend || now >= usefulUntil-2*p.deployment.EventInterval ||
		p.isOracle && now+p.gateway.sim.opTypes[o.typeNumber].Work/2 > usefulUntil {
		p.unhold(o)
		delete(p.ops, o.id)
		if !o.mayHaveRun || o.opType.Effect == choice.Retryable ||
			o.opType.Effect == choice.Tokened && o.opType.Scope == choice.ScopeAll {
			p.gateway.BusyReply(o.id, min(o.opType.Target, p.deployment.MaxRetryAfter))
		} else {
			p.gateway.Error(o.id)
		}
		return
	}
	s := p.choose(p, o)
	if s == nil {
		if !slices.Contains(p.held, o) {
			p.held = append(p.held, o)
		}
		return
	}
	p.unhold(o)
	o.sentTo, o.sentAt = s, now
	o.sendCount++
	p.openSends[s.id]++
	p.gateway.Send(o.id, s.id, 0)
}

// usefulUntil returns the time from which an ack earns nothing.
func (p *baselinePolicy) usefulUntil(o *baselineOp) time.Duration {
	if o.opType.LateValue == 0 {
		return min(o.clientLeavesAt, o.targetAt)
	}
	return o.clientLeavesAt
}

func (p *baselinePolicy) unhold(o *baselineOp) {
	p.held = slices.DeleteFunc(p.held, func(x *baselineOp) bool { return x == o })
}

func (p *baselinePolicy) Answer(now time.Duration, id uint32, number uint8, serverID uint32, result choice.Result,
	took time.Duration, final bool, role choice.Role, pos time.Duration) {
	p.openSends[serverID]--
	o := p.ops[id]
	if o == nil {
		return
	}
	o.sentTo = nil
	switch result {
	case choice.ServerFull, choice.NoConnection, choice.NotSent, choice.Declined, choice.ClientUnknown:
	default:
		if !o.mayHaveRun {
			o.mayHaveRun, o.mayHaveRunAt = true, o.sentAt
		}
	}
	if final || result == choice.Acked {
		delete(p.ops, id)
		if p.isOracle {
			p.dispatchHeld(now)
		}
		return
	}
	if result == choice.ServerFull || result == choice.NoConnection { // an immediate retry would probably end the same way
		p.held = append(p.held, o)
		return
	}
	p.dispatch(now, o)
}

func (p *baselinePolicy) Timer(now time.Duration, _ uint32) {
	p.gateway.Timer(0, now+p.deployment.EventInterval)
	p.dispatchHeld(now)
}

// dispatchHeld tries again to send the held ops.
func (p *baselinePolicy) dispatchHeld(now time.Duration) {
	if p.isOracle { // highest value per work first, among equals the latest target first
		slices.SortStableFunc(p.held, func(a, b *baselineOp) int {
			return cmp.Or(cmp.Compare(b.valuePerWork, a.valuePerWork), cmp.Compare(b.targetAt, a.targetAt))
		})
	}
	for _, o := range slices.Clone(p.held) {
		p.dispatch(now, o)
	}
}

func (p *baselinePolicy) List(now time.Duration, scope choice.ListScope, listed []choice.Listed) {
	if scope == choice.ListFailed {
		p.gateway.schedule(p.deployment.AskWithin/4, p.gateway.WatchList)
		return
	}
	if scope != choice.ListChanges {
		clear(p.states)
	}
	for _, l := range listed {
		p.states[l.ID] = l.State
	}
}

func (p *baselinePolicy) Report(time.Duration, uint32, choice.Role, time.Duration)        {}
func (p *baselinePolicy) ProbeAnswer(time.Duration, uint32, choice.Result, time.Duration) {}
func (p *baselinePolicy) ClientGone(time.Duration, uint32)                                {}
func (p *baselinePolicy) Rumour(time.Duration, uint32, float64)                           {}

func (p *baselinePolicy) ready(s *server) bool { return p.states[s.id] == choice.Ready }

func (p *baselinePolicy) random() float64 {
	p.drawCount++
	return draw(p.deployment.Seed, p.drawCount)
}

func (p *baselinePolicy) primaryOnly(o *baselineOp) bool {
	return o.opType.Need == choice.Write || o.opType.Need == choice.Fresh
}

// primary picks the primary for all ops, and learns of a new one without delay. It is a lower bound, which every other
// policy should exceed.
func (p *baselinePolicy) primary(o *baselineOp) *server {
	if s := o.group.primary; s != nil && p.ready(s) {
		return s
	}
	return nil
}

// roundRobin picks for reads the ready members in turn, whatever their position.
func (p *baselinePolicy) roundRobin(o *baselineOp) *server {
	if p.primaryOnly(o) {
		return p.primary(o)
	}
	p.rotation++
	for i := range o.group.members {
		if s := o.group.members[(p.rotation+i)%len(o.group.members)]; p.ready(s) {
			return s
		}
	}
	return nil
}

// leastOpen picks for reads the ready member with the fewest open sends of this gateway.
func (p *baselinePolicy) leastOpen(o *baselineOp) (best *server) {
	if p.primaryOnly(o) {
		return p.primary(o)
	}
	p.rotation++
	for i := range o.group.members {
		s := o.group.members[(p.rotation+i)%len(o.group.members)]
		if p.ready(s) && (best == nil || p.openSends[s.id] < p.openSends[best.id]) {
			best = s
		}
	}
	return best
}

// betterOfTwo draws two members for a read and picks the ready one with fewer open sends of this gateway.
func (p *baselinePolicy) betterOfTwo(o *baselineOp) (best *server) {
	if p.primaryOnly(o) {
		return p.primary(o)
	}
	for range 2 {
		s := o.group.members[int(p.random()*float64(len(o.group.members)))]
		if p.ready(s) && (best == nil || p.openSends[s.id] < p.openSends[best.id]) {
			best = s
		}
	}
	return best
}

// oracle picks the server that should finish the op first, or none while even that one is too busy or too late. It sees
// the true state of all servers and all open sends to them, and so is an upper bound that no real policy reaches.
func (p *baselinePolicy) oracle(o *baselineOp) (best *server) {
	sim := p.gateway.sim
	now := sim.now
	shortestWait := time.Duration(1 << 62)
	for _, s := range o.group.members {
		if !s.isUp() || s.hung || s.draining || s.refusing || !sim.reaches(p.gateway, s, true) ||
			!sim.reaches(p.gateway, s, false) || !p.ready(s) {
			continue
		}
		if s.errorShare >= 0.9 { // nearly all of its ops fail
			continue
		}
		if pool := p.gateway.pool(s); s.connectionLimit > 0 && s.openConnections >= s.connectionLimit &&
			(pool.generation != s.generation || len(pool.idleSince) == 0) {
			continue
		}
		minPosition := choice.LongPast
		switch o.opType.Need {
		case choice.Write, choice.Fresh:
			if !s.isPrimary() {
				continue
			}
		case choice.Session:
			if o.minPosition != choice.LongPast {
				minPosition = o.minPosition + p.gateway.clockBase
			}
		case choice.Bounded:
			minPosition = now - o.opType.Bound
		}
		if !s.isPrimary() && minPosition > s.position() {
			continue
		}
		speed := s.currentSpeed()
		if s.speedShare(now) < 1 && float64(s.openAttempts) > float64(s.cores)*1.5 { // a cold server must not be overloaded
			continue
		}
		wait := time.Duration(float64(max(0, s.openAttempts-s.cores+1)) * float64(sim.meanWork) / (float64(s.cores) * speed))
		wait += time.Duration(float64(sim.meanWork)/speed) + 2*sim.world.Network.Within
		if p.gateway.zone != s.zone {
			wait += 2 * (sim.world.Network.Between - sim.world.Network.Within)
		}
		if s.errorShare > 0 {
			wait = time.Duration(float64(wait) / (1 - s.errorShare))
		}
		if s.isPrimary() && !p.primaryOnly(o) {
			wait += wait / 2 // a penalty that keeps the primary free for writes
		}
		if wait < shortestWait {
			best, shortestWait = s, wait
		}
	}
	if best == nil || best.openAttempts >= best.cores+2 ||
		now-p.gateway.clockBase+shortestWait > p.usefulUntil(o) && o.opType.LateValue == 0 {
		return nil // the op would wait at the server instead of here, or be too late
	}
	return best
}
