package emulator

import (
	"cmp"
	"slices"
	"time"

	"gorsewell/choice"
)

// Policies are the names by which an arm asks for one.
var Policies = []string{"module", "oracle", "primary", "turns", "least", "two"}

// decide makes what decides in a gateway.
func (r *simulation) newPolicy(g *gateway) policy {
	if r.testPolicy != nil {
		return r.testPolicy(g)
	}
	d := r.deployment(g)
	var choose func(p *baselinePolicy, o *baselineOp) *server
	switch r.arm.Policy {
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
	p.isOracle = r.arm.Policy == "oracle"
	return p
}

func newBaselinePolicy(g *gateway, d *choice.Deployment, choose func(p *baselinePolicy, o *baselineOp) *server) *baselinePolicy {
	p := &baselinePolicy{gateway: g, deployment: d, ops: map[uint32]*baselineOp{}, choose: choose, openSends: map[uint32]int{}, states: map[uint32]choice.State{}}
	if d.ListOnRequest {
		g.WatchList()
	}
	g.Timer(0, 0)
	return p
}

// plain is a gateway with a simple policy, to compare the module with. It keeps rules 1, 2 and 3; whether it keeps 4 and 5
// is up to the policy, and the checker tells.
type baselinePolicy struct {
	gateway    *gateway
	deployment *choice.Deployment
	ops        map[uint32]*baselineOp
	held       []*baselineOp
	choose     func(p *baselinePolicy, o *baselineOp) *server
	rotation   int
	drawCount  uint64
	isOracle   bool
	openSends  map[uint32]int // own sends out, by server
	states     map[uint32]choice.State
}

type baselineOp struct {
	id             uint32
	typeNumber     uint8
	valuePerWork   float64
	opType         *choice.OpType
	group          *group
	clientLeavesAt time.Duration
	targetAt       time.Duration
	minPosition    time.Duration // of the gateway's clock
	sendCount      int
	sentTo         *server
	sentAt         time.Duration
	mayHaveRun     bool
	mayHaveRunAt   time.Duration
}

func (p *baselinePolicy) Op(now time.Duration, id uint32, kind uint8, session uint64, due time.Duration, inGroup uint16, wroteAgo time.Duration, again bool) {
	t := &p.deployment.OpTypes[kind]
	o := &baselineOp{id: id, typeNumber: kind, opType: t, valuePerWork: t.Value / float64(p.gateway.sim.opTypes[kind].Work), group: p.gateway.sim.groups[inGroup], clientLeavesAt: due, targetAt: now + t.Target, minPosition: choice.LongPast}
	if t.Need == choice.Session && wroteAgo > 0 {
		o.minPosition = now - wroteAgo
	}
	if p.isOracle { // a retry earns by when its first try was made
		o.targetAt = p.gateway.ops[id].request.askedAt - p.gateway.clockBase + t.Target
	}
	p.ops[id] = o
	p.dispatch(now, o)
}

// place sends an op, holds it while there is nowhere to send it, or gives it up.
func (p *baselinePolicy) dispatch(now time.Duration, o *baselineOp) {
	may := o.sendCount < p.deployment.MaxSends && (!o.mayHaveRun || o.opType.Effect == choice.Retryable ||
		o.opType.Effect == choice.Tokened && o.opType.Scope != choice.ScopeZone && now-o.mayHaveRunAt < o.opType.Window-2*p.deployment.EventInterval)
	last := p.usefulUntil(o)
	if !may || now >= last-2*p.deployment.EventInterval || p.isOracle && now+p.gateway.sim.opTypes[o.typeNumber].Work/2 > last {
		p.unhold(o)
		delete(p.ops, o.id)
		if !o.mayHaveRun || o.opType.Effect == choice.Retryable || o.opType.Effect == choice.Tokened && o.opType.Scope == choice.ScopeAll {
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

// last is when an ack earns nothing any more.
func (p *baselinePolicy) usefulUntil(o *baselineOp) time.Duration {
	if o.opType.LateValue == 0 {
		return min(o.clientLeavesAt, o.targetAt)
	}
	return o.clientLeavesAt
}

func (p *baselinePolicy) unhold(o *baselineOp) {
	p.held = slices.DeleteFunc(p.held, func(x *baselineOp) bool { return x == o })
}

func (p *baselinePolicy) Answer(now time.Duration, id uint32, send uint8, at uint32, result choice.Result, took time.Duration, final bool, role choice.Role, pos time.Duration) {
	p.openSends[at]--
	o := p.ops[id]
	if o == nil {
		return
	}
	o.sentTo = nil
	switch result {
	case choice.ServerFull, choice.NoConnection, choice.NotSent, choice.Declined:
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
	if result == choice.ServerFull || result == choice.NoConnection { // at once it would be no better
		p.held = append(p.held, o)
		return
	}
	p.dispatch(now, o)
}

func (p *baselinePolicy) Timer(now time.Duration, _ uint32) {
	p.gateway.Timer(0, now+p.deployment.EventInterval)
	p.dispatchHeld(now)
}

// wake places what is held.
func (p *baselinePolicy) dispatchHeld(now time.Duration) {
	if p.isOracle { // the most valuable work first, the newest of equal worth
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
func (p *baselinePolicy) ready(s *server) bool                                            { return p.states[s.id] == choice.Ready }
func (p *baselinePolicy) random() float64                                                 { p.drawCount++; return draw(p.deployment.Seed, p.drawCount) }
func (p *baselinePolicy) primaryOnly(o *baselineOp) bool {
	return o.opType.Need == choice.Write || o.opType.Need == choice.Fresh
}

// home sends all to the primary, which it knows as soon as there is one: the floor that anything else must beat.
func (p *baselinePolicy) primary(o *baselineOp) *server {
	if s := o.group.primary; s != nil && p.ready(s) {
		return s
	}
	return nil
}

// turns sends reads to all members in turn, whatever is known of them.
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

// least sends reads to the member that owes this gateway the fewest answers.
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

// two sends reads to the better of two members drawn by chance.
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

// oracle sees the true state of all servers and of what is under way to them: the top that nothing real reaches. It sends
// an op to where it will be done first, and holds it while nowhere is good.
func (p *baselinePolicy) oracle(o *baselineOp) (best *server) {
	w := p.gateway.sim
	now := w.now
	least := time.Duration(1 << 62)
	for _, s := range o.group.members {
		if !s.isUp() || s.hung || s.draining || s.refusing || !w.reaches(p.gateway, s, true) || !w.reaches(p.gateway, s, false) || !p.ready(s) {
			continue
		}
		if s.errorShare >= 0.9 { // it fails nearly all
			continue
		}
		if l := p.gateway.pool(s); s.connectionLimit > 0 && s.openConnections >= s.connectionLimit && (l.generation != s.generation || len(l.idleSince) == 0) {
			continue
		}
		want := choice.LongPast
		switch o.opType.Need {
		case choice.Write, choice.Fresh:
			if !s.isPrimary() {
				continue
			}
		case choice.Session:
			if o.minPosition != choice.LongPast {
				want = o.minPosition + p.gateway.clockBase
			}
		case choice.Bounded:
			want = now - o.opType.Bound
		}
		if !s.isPrimary() && want > s.position() {
			continue
		}
		pace := s.currentSpeed()
		if s.speedShare(now) < 1 && float64(s.openAttempts) > float64(s.cores)*1.5 { // what is cold is not pushed over
			continue
		}
		wait := time.Duration(float64(max(0, s.openAttempts-s.cores+1)) * float64(w.meanWork) / (float64(s.cores) * pace))
		wait += time.Duration(float64(w.meanWork)/pace) + 2*w.world.Network.Within
		if p.gateway.zone != s.zone {
			wait += 2 * (w.world.Network.Between - w.world.Network.Within)
		}
		if s.errorShare > 0 {
			wait = time.Duration(float64(wait) / (1 - s.errorShare))
		}
		if s.isPrimary() && !p.primaryOnly(o) {
			wait += wait / 2 // it alone can do writes
		}
		if wait < least {
			best, least = s, wait
		}
	}
	if best == nil || best.openAttempts >= best.cores+2 ||
		now-p.gateway.clockBase+least > p.usefulUntil(o) && o.opType.LateValue == 0 {
		return nil // it would only wait there instead of here
	}
	return best
}
