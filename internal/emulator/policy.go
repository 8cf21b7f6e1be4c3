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
func (r *run) decide(g *gateway) decider {
	if r.mutant != nil {
		return r.mutant(g)
	}
	d := r.deployment(g)
	var choose func(p *plain, o *plainOp) *server
	switch r.arm.Policy {
	case "", "module":
		return choice.New(g, d)
	case "oracle":
		choose = (*plain).oracle
	case "primary":
		choose = (*plain).home
	case "turns":
		choose = (*plain).turns
	case "least":
		choose = (*plain).least
	case "two":
		choose = (*plain).two
	}
	p := newPlain(g, d, choose)
	p.oracular = r.arm.Policy == "oracle"
	return p
}

func newPlain(g *gateway, d *choice.Deployment, choose func(p *plain, o *plainOp) *server) *plain {
	p := &plain{g: g, d: d, ops: map[uint32]*plainOp{}, choose: choose, out: map[uint32]int{}, states: map[uint32]choice.State{}}
	if d.ListOnRequest {
		g.WatchList()
	}
	g.Timer(0, 0)
	return p
}

// plain is a gateway with a simple policy, to compare the module with. It keeps rules 1, 2 and 3; whether it keeps 4 and 5
// is up to the policy, and the checker tells.
type plain struct {
	g        *gateway
	d        *choice.Deployment
	ops      map[uint32]*plainOp
	held     []*plainOp
	choose   func(p *plain, o *plainOp) *server
	turn     int
	draws    uint64
	oracular bool
	out      map[uint32]int // own sends out, by server
	states   map[uint32]choice.State
}

type plainOp struct {
	id       uint32
	kind     uint8
	worth    float64
	t        *choice.OpType
	group    *group
	due      time.Duration
	target   time.Duration
	mark     time.Duration // of the gateway's clock
	sends    int
	out      *server
	outAt    time.Duration
	maybe    bool
	maybeAt  time.Duration
	canceled bool
}

func (p *plain) Op(now time.Duration, id uint32, kind uint8, session uint64, due time.Duration, inGroup uint16, wroteAgo time.Duration, again bool) {
	t := &p.d.OpTypes[kind]
	o := &plainOp{id: id, kind: kind, t: t, worth: t.Value / float64(p.g.w.types[kind].Work), group: p.g.w.groups[inGroup], due: due, target: now + t.Target, mark: choice.LongPast}
	if t.Need == choice.Session && wroteAgo > 0 {
		o.mark = now - wroteAgo
	}
	if p.oracular { // a retry earns by when its first try was made
		o.target = p.g.trials[id].req.at - p.g.base + t.Target
	}
	p.ops[id] = o
	p.place(now, o)
}

// place sends an op, holds it while there is nowhere to send it, or gives it up.
func (p *plain) place(now time.Duration, o *plainOp) {
	may := o.sends < p.d.MaxSends && (!o.maybe || o.t.Effect == choice.Retryable ||
		o.t.Effect == choice.Tokened && o.t.Scope != choice.ScopeZone && now-o.maybeAt < o.t.Window-2*p.d.EventInterval)
	last := p.last(o)
	if !may || now >= last-2*p.d.EventInterval || p.oracular && now+p.g.w.types[o.kind].Work/2 > last {
		p.unhold(o)
		delete(p.ops, o.id)
		if !o.maybe || o.t.Effect == choice.Retryable || o.t.Effect == choice.Tokened && o.t.Scope == choice.ScopeAll {
			p.g.BusyReply(o.id, min(o.t.Target, p.d.MaxRetryAfter))
		} else {
			p.g.Error(o.id)
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
	o.out, o.outAt = s, now
	o.sends++
	p.out[s.id]++
	p.g.Send(o.id, s.id, 0)
}

// last is when an ack earns nothing any more.
func (p *plain) last(o *plainOp) time.Duration {
	if o.t.LateValue == 0 {
		return min(o.due, o.target)
	}
	return o.due
}

func (p *plain) unhold(o *plainOp) {
	p.held = slices.DeleteFunc(p.held, func(x *plainOp) bool { return x == o })
}

func (p *plain) Answer(now time.Duration, id uint32, send uint8, at uint32, result choice.Result, took time.Duration, final bool, role choice.Role, pos time.Duration) {
	p.out[at]--
	o := p.ops[id]
	if o == nil {
		return
	}
	o.out = nil
	switch result {
	case choice.ServerFull, choice.NoConnection, choice.NotSent, choice.Declined:
	default:
		if !o.maybe {
			o.maybe, o.maybeAt = true, o.outAt
		}
	}
	if final || result == choice.Acked {
		delete(p.ops, id)
		if p.oracular {
			p.wake(now)
		}
		return
	}
	if result == choice.ServerFull || result == choice.NoConnection { // at once it would be no better
		p.held = append(p.held, o)
		return
	}
	p.place(now, o)
}

func (p *plain) Timer(now time.Duration, _ uint32) {
	p.g.Timer(0, now+p.d.EventInterval)
	p.wake(now)
}

// wake places what is held.
func (p *plain) wake(now time.Duration) {
	if p.oracular { // the most valuable work first, the newest of equal worth
		slices.SortStableFunc(p.held, func(a, b *plainOp) int {
			return cmp.Or(cmp.Compare(b.worth, a.worth), cmp.Compare(b.target, a.target))
		})
	}
	for _, o := range slices.Clone(p.held) {
		p.place(now, o)
	}
}

func (p *plain) List(now time.Duration, scope choice.ListScope, listed []choice.Listed) {
	if scope == choice.ListFailed {
		p.g.then(p.d.AskWithin/4, p.g.WatchList)
		return
	}
	if scope != choice.ListChanges {
		clear(p.states)
	}
	for _, l := range listed {
		p.states[l.ID] = l.State
	}
}

func (p *plain) Report(time.Duration, uint32, choice.Role, time.Duration)        {}
func (p *plain) ProbeAnswer(time.Duration, uint32, choice.Result, time.Duration) {}
func (p *plain) ClientGone(time.Duration, uint32)                                {}
func (p *plain) Rumour(time.Duration, uint32, float64)                           {}
func (p *plain) ready(s *server) bool                                            { return p.states[s.id] == choice.Ready }
func (p *plain) chance() float64                                                 { p.draws++; return draw(p.d.Seed, p.draws) }
func (p *plain) primaryOnly(o *plainOp) bool {
	return o.t.Need == choice.Write || o.t.Need == choice.Fresh
}

// home sends all to the primary, which it knows as soon as there is one: the floor that anything else must beat.
func (p *plain) home(o *plainOp) *server {
	if s := o.group.primary; s != nil && p.ready(s) {
		return s
	}
	return nil
}

// turns sends reads to all members in turn, whatever is known of them.
func (p *plain) turns(o *plainOp) *server {
	if p.primaryOnly(o) {
		return p.home(o)
	}
	p.turn++
	for i := range o.group.members {
		if s := o.group.members[(p.turn+i)%len(o.group.members)]; p.ready(s) {
			return s
		}
	}
	return nil
}

// least sends reads to the member that owes this gateway the fewest answers.
func (p *plain) least(o *plainOp) (best *server) {
	if p.primaryOnly(o) {
		return p.home(o)
	}
	p.turn++
	for i := range o.group.members {
		s := o.group.members[(p.turn+i)%len(o.group.members)]
		if p.ready(s) && (best == nil || p.out[s.id] < p.out[best.id]) {
			best = s
		}
	}
	return best
}

// two sends reads to the better of two members drawn by chance.
func (p *plain) two(o *plainOp) (best *server) {
	if p.primaryOnly(o) {
		return p.home(o)
	}
	for range 2 {
		s := o.group.members[int(p.chance()*float64(len(o.group.members)))]
		if p.ready(s) && (best == nil || p.out[s.id] < p.out[best.id]) {
			best = s
		}
	}
	return best
}

// oracle sees the true state of all servers and of what is under way to them: the top that nothing real reaches. It sends
// an op to where it will be done first, and holds it while nowhere is good.
func (p *plain) oracle(o *plainOp) (best *server) {
	w := p.g.w
	now := w.now
	least := time.Duration(1 << 62)
	for _, s := range o.group.members {
		if !s.runs() || s.hung || s.draining || s.refuses || !w.passes(p.g, s, true) || !w.passes(p.g, s, false) || !p.ready(s) {
			continue
		}
		if s.fails >= 0.9 { // it fails nearly all
			continue
		}
		if l := p.g.link(s); s.squeezed > 0 && s.open >= s.squeezed && (l.life != s.life || len(l.idle) == 0) {
			continue
		}
		want := choice.LongPast
		switch o.t.Need {
		case choice.Write, choice.Fresh:
			if !s.primary() {
				continue
			}
		case choice.Session:
			if o.mark != choice.LongPast {
				want = o.mark + p.g.base
			}
		case choice.Bounded:
			want = now - o.t.Bound
		}
		if !s.primary() && want > s.position() {
			continue
		}
		pace := s.pace()
		if s.ramp(now) < 1 && float64(s.inflight) > float64(s.cores)*1.5 { // what is cold is not pushed over
			continue
		}
		wait := time.Duration(float64(max(0, s.inflight-s.cores+1)) * float64(w.meanWork) / (float64(s.cores) * pace))
		wait += time.Duration(float64(w.meanWork)/pace) + 2*w.world.Network.Within
		if p.g.zone != s.zone {
			wait += 2 * (w.world.Network.Between - w.world.Network.Within)
		}
		if s.fails > 0 {
			wait = time.Duration(float64(wait) / (1 - s.fails))
		}
		if s.primary() && !p.primaryOnly(o) {
			wait += wait / 2 // it alone can do writes
		}
		if wait < least {
			best, least = s, wait
		}
	}
	if best == nil || best.inflight >= best.cores+2 ||
		now-p.g.base+least > p.last(o) && o.t.LateValue == 0 {
		return nil // it would only wait there instead of here
	}
	return best
}
