package choice

// A Gateway decides for one gateway. Whoever speaks a protocol (the bench's adapter now, the service's own listener
// later) makes one with New and calls one method for each thing that happens: List, Op, Answer, Report, ProbeAnswer,
// ClientGone, Timer. Calls come one at a time, each with the span since the start; inside them the Gateway acts by
// calling its Host. That interface and the plain types handed over at start are in host.go.

import (
	"cmp"
	"encoding/binary"
	"hash/crc32"
	"math"
	"math/bits"
	"slices"
	"time"
)

// The few constants are ratios, so that they fit any deployment.
const (
	holdShare    = 4    // a session read is held for this part of its latency target; as much is left to a marked retry
	fullShare    = 6    // answers later than this part of the latency target show a queue at the server
	cut          = 0.8  // what a server may owe shrinks so at such an answer
	sameShare    = 0.02 // shares of the op timeout that differ by less are taken for the same
	scarce       = 128  // brief waits for which trouble with connections is taken to last
	pause        = 8    // ticks without a timer that show that the gateway itself stood still
	regain       = 1.08 // a pool's share grows so at a timely answer
	startLimit   = 8    // sends owed by a server that nothing is known of
	fullTurn     = 64   // a histogram is halved at this many entries
	overdueAfter = 3    // usual answer times after which one answer is overdue: one in twenty, by chance
	silentAfter  = 6    // usual answer times, over all sends owed, without a word: one in four hundred
	answered     = 2    // probes that bring a server back that was set aside
	probeShare   = 0.25 // probes for each op that came in, beyond those that the design asks for
	briefShare   = 16   // part of the shortest latency target that counts as a brief wait
	unspent      = 8    // part of the stated overload time for which a cold server's allowance adds up unused
	coldCaution  = 0.8  // of the allowance for a cold server that is used: usual times stand in for work
	rememberedAt = 4096 // session marks kept one by one; beyond that they fold into one floor
)

// histogram counts answer times in bins that double, from 1/32 of a unit to twice that unit.
type histogram struct {
	bins  [8]uint32
	total uint32
}

func (h *histogram) add(took, unit time.Duration) {
	h.bins[min(len(h.bins)-1, bits.Len64(uint64(32*took/max(unit, 1))))]++
	if h.total++; h.total >= fullTurn {
		h.total = 0
		for i := range h.bins {
			h.bins[i] /= 2
			h.total += h.bins[i]
		}
	}
}

// mean is the average, or the unit's quarter where too little is known.
func (h *histogram) mean(unit time.Duration) time.Duration {
	if h.total < fullTurn/8 {
		return unit / 4
	}
	sum, middle := 0.0, float64(unit)/32*0.75
	for _, n := range h.bins {
		sum += float64(n) * middle
		middle *= 2
	}
	return time.Duration(sum / float64(h.total))
}

type opType struct {
	OpType
	tryShare float64   // the share of the op timeout that most tries are given
	votes    int       // how often that was seen, less other shares
	took     histogram // answer times as parts of the latency target
}

// usual is what an answer to this type takes these days.
func (t *opType) usual() time.Duration { return t.took.mean(t.Target) }

type op struct {
	id                       uint32
	t                        *opType
	group                    *group
	session                  uint64
	luck, worth              float64       // whether it falls into a share; its value for a unit of time
	mark                     time.Duration // the position that a replica must have reached
	targetAt, holdUntil, due time.Duration // its client's latency target; held for a replica; its client leaves
	at                       *server       // where a send is out, or nil
	sends                    int
	sentAt, waitFrom         time.Duration // the newest send; the same or the end of this gateway's own pause
	maybeAt                  time.Duration // the first send that may have run; LongPast: none may have
	held, missed, asked      bool          // a replica turned it away; one was probed for it
	done                     bool
}

// want is the position that a replica must have reached for this op.
func (o *op) want(now time.Duration) time.Duration {
	if o.t.Need == Bounded {
		return now - o.t.Bound
	}
	return o.mark
}

type server struct {
	id                uint32
	group             *group
	state             State
	weight, credit    float64 // credit: in the rotation
	started           time.Duration
	role              Role
	roleAt            time.Duration // how new the newest evidence of the role is
	pos, behind       time.Duration // the newest position told, it never goes back; its distance from the present
	owed              []*op         // sends out, oldest first
	heard             time.Duration // its newest sign of life in answer to a send
	limit             float64       // sends that it may owe; below one, the chance that an op may be sent
	cutAt             time.Duration // when the limit last shrank
	allowed           float64       // work that it may be sent while cold; below 0 it has had more
	allowedAt         time.Duration
	needs             int           // probes that it must answer before it is used, at first or after being set aside
	nextProbe         time.Duration // never while one is out
	wait, shunnedTill time.Duration // for which it was last passed over, 0 once it has acked; until when
}

type group struct {
	members []*server     // in id order
	primary *server       // the member with the newest evidence of being it
	held    []*op         // most valuable first
	owed    int           // sends out to members
	heard   time.Duration // when a replica last told its position
}

// Gateway decides where every op of one gateway goes.
type Gateway struct {
	host    Host
	types   []opType
	ops     map[uint32]*op
	servers map[uint32]*server
	groups  map[uint16]*group
	listed  []*group // in the order in which they were first named

	tick, brief              time.Duration // between looks at the clock; the design's brief wait
	checked, carried, steady bool          // replicas check reads; session reads tell marks; only probes tell positions
	probes, cancels, asks    bool          // allowed; allowed; probes tell positions where replicas do not check
	goneMayRun, marked       bool          // the list's word 'gone' proves nothing; clients mark retries
	maxSends, firstNeeds     int           // sends for an op; probes that a server answers before it is used
	tightest, comeBack       time.Duration // bound of any op type; the longest wait a client honours, 0: none is told
	askAt, askWait           time.Duration // when to ask for the list again, 0: not; between askings
	coldTime, overloadTime   time.Duration
	coldFrom, coldMultiple   float64
	gateways                 float64
	seed, draws              uint64

	sentWarm, warm       float64       // work sent to warm servers of late; to one of them in a unit of time
	home, spread         float64       // shares of what is wanted that all primaries, all replicas are sent
	probing              float64       // probes that may be spent by now
	timedAt, walkedAt    time.Duration // the last timer; the last that walked all groups
	pausedAt             time.Duration // when this gateway last found that it had stood still
	crowdedTill, resetAt time.Duration // connections are taken to be scarce; the last reset

	marks map[uint64]time.Duration // the newest commit by session, as far as kept one by one
	floor time.Duration            // the newest mark that was dropped
}

// New makes a gateway's decision module. The host hands over the cached list next.
func New(h Host, d *Deployment) *Gateway {
	g := &Gateway{
		host: h, ops: map[uint32]*op{}, servers: map[uint32]*server{}, groups: map[uint16]*group{},
		tick: max(d.Round, time.Millisecond), brief: time.Hour, tightest: time.Hour,
		checked: d.Checks != Unchecked, carried: d.MarksCarried, probes: d.Probes, cancels: d.Cancels,
		asks: d.Probes && d.ReportsPosition && d.Checks == Unchecked, goneMayRun: d.OnlyDrainingBinds, marked: d.RetriesMarked, steady: d.ReportsPosition && !d.TellsPosition,
		maxSends: max(1, d.MaxSends), comeBack: d.MaxComeBack,
		coldFrom: d.ColdFrom, coldMultiple: d.OverloadFactor, coldTime: max(1, d.ColdTime),
		overloadTime: max(1, d.OverloadTime), crowdedTill: LongPast, resetAt: LongPast, pausedAt: LongPast, gateways: max(1, float64(d.Gateways)), seed: d.Seed,
		home: 1, spread: 1, marks: map[uint64]time.Duration{}, floor: LongPast,
	}
	for _, t := range d.OpTypes {
		g.brief = min(g.brief, t.Target/briefShare)
		g.types = append(g.types, opType{OpType: t})
		if t.Need == Bounded {
			g.tightest = min(g.tightest, t.Bound)
		}
	}
	if d.Probes {
		g.firstNeeds = 1
	}
	if d.ListAsked {
		g.askWait = d.AskWithin / 16
		g.askAt = g.askWait
		h.WatchList()
	}
	h.Timer(0, g.tick)
	return g
}

// Op is called when a client's op comes in. wroteAgo is 0 where the session's last write is not told.
func (g *Gateway) Op(now time.Duration, id uint32, kind uint8, session uint64, due time.Duration,
	inGroup uint16, wroteAgo time.Duration, again bool) {
	g.mind(now)
	t := &g.types[kind]
	o := &op{id: id, t: t, luck: g.chance(), group: g.group(inGroup), session: session, targetAt: now + t.Target, due: due,
		mark: math.MaxInt64, maybeAt: LongPast, holdUntil: now + t.Target/holdShare}
	// Clients give most tries the same part of the op timeout. One that gets another part has what its
	// client has left since its first try; so that start is known, and what an answer can still earn.
	switch share := float64(due-now) / float64(max(t.Timeout, 1)); {
	case math.Abs(share-t.tryShare) < sameShare:
		t.votes = min(t.votes+1, fullTurn)
	case now == g.pausedAt && share < t.tryShare: // it came while this gateway stood still
		o.targetAt = due - time.Duration(t.tryShare*float64(t.Timeout)) + t.Target
	case t.votes == 0:
		t.tryShare, t.votes = share, 1
	case g.marked && !again: // its client has little time, but has not tried before
		t.votes--
	default:
		t.votes--
		o.targetAt = due - t.Timeout + t.Target
	}
	if again {
		o.targetAt = min(o.targetAt, now+t.Target/holdShare)
	}
	switch t.Need {
	case Session:
		o.mark = g.markOf(now, session, wroteAgo)
	case Bounded:
		o.holdUntil = now + g.brief
	case Any:
		o.mark = LongPast
	}
	g.ops[id] = o
	if g.probing < fullTurn/4 {
		g.probing += probeShare
	}
	g.place(now, o)
}

// markOf is the position that a session's read must see.
func (g *Gateway) markOf(now time.Duration, session uint64, wroteAgo time.Duration) time.Duration {
	if g.carried && wroteAgo <= 0 {
		return LongPast
	} else if g.carried {
		return now - wroteAgo + wroteAgo>>20 // the age is a float: keep its rounding on the safe side
	}
	if m, ok := g.marks[session]; ok {
		return m
	}
	return g.floor
}

// remember keeps the commit position of a session's write. When there are too many, all fold into one
// floor for every session, so memory is bounded and no read sees less than it must.
func (g *Gateway) remember(session uint64, pos time.Duration) {
	if len(g.marks) >= rememberedAt {
		for _, m := range g.marks {
			g.floor = max(g.floor, m)
		}
		clear(g.marks)
	}
	g.marks[session] = max(pos, g.markOf(0, session, 0))
}

// Answer is called once for each send, when it has ended.
func (g *Gateway) Answer(now time.Duration, id uint32, send uint8, at uint32, result Result,
	took time.Duration, final bool, role Role, pos time.Duration) {
	g.mind(now)
	s, o := g.servers[at], g.ops[id]
	if s != nil {
		g.told(now, s, role, pos, now)
	}
	if o == nil || o.at == nil || int(send) != o.sends-1 {
		return
	}
	s, o.at = o.at, nil
	s.owed = slices.DeleteFunc(s.owed, func(p *op) bool { return p == o })
	if result == Acked && o.t.Need == Write && pos != LongPast {
		g.remember(o.session, pos)
	}
	neverRan := result == ServerFull || result == NoConnection || result == NotSent || result == Miss
	if !neverRan && o.maybeAt == LongPast {
		o.maybeAt = o.sentAt
	}
	s.group.owed--
	if !neverRan && g.ramp(now-g.overloadTime, s) >= 1 {
		g.sentWarm += float64(o.t.usual()) // what is turned away does not show what a server takes
	}
	g.judge(now, s, o, result, took)
	if final || o.done || result == Acked {
		delete(g.ops, id)
	} else {
		o.missed = o.missed || result == Miss
		g.place(now, o)
	}
	g.wake(now, s.group)
}

// mind notices that the gateway itself has stood still: timers come every tick. What it then finds at once
// says nothing of the servers, so their waits begin anew.
func (g *Gateway) mind(now time.Duration) {
	if now-g.timedAt > pause*g.tick && now > g.pausedAt {
		g.pausedAt = now
		for _, o := range g.ops {
			o.waitFrom = now
		}
	}
}

// ClientGone is called when a client has left; no answer is owed any more.
func (g *Gateway) ClientGone(now time.Duration, id uint32) {
	if o := g.ops[id]; o != nil {
		g.end(o)
	}
}

// end closes an op. What is still out is called back: queued work may yet be saved.
func (g *Gateway) end(o *op) {
	o.done = true
	o.unhold()
	if o.at == nil {
		delete(g.ops, o.id)
	}
	if o.at != nil && g.cancels {
		g.host.Cancel(o.id, uint8(o.sends-1))
	}
}

// giveUp ends an op that cannot be served any more, at once. Rule 2: the busy reply, which says that
// trying again is harmless, only where that is so.
func (g *Gateway) giveUp(o *op) {
	if t := o.t; o.maybeAt == LongPast || t.Effect == Retryable || t.Effect == Tokened && t.Scope == ScopeAll {
		g.host.BusyReply(o.id, min(t.Target, g.comeBack))
	} else {
		g.host.Error(o.id)
	}
	g.end(o)
}

// lastUseful is the latest time at which sending an op can still earn anything.
func (g *Gateway) lastUseful(o *op) time.Duration {
	end := o.targetAt
	if o.t.LateValue > 0 {
		end = o.due
	}
	return min(min(end, o.due)-o.t.usual(), o.due-2*g.tick)
}

// place sends an op where the design wants it, holds it, or gives it up.
func (g *Gateway) place(now time.Duration, o *op) {
	if now >= g.lastUseful(o) || !g.maySend(now, o) {
		g.giveUp(o)
		return
	}
	if s := g.choose(now, o); s != nil && g.send(now, o, s) {
		o.unhold()
	} else if !o.held {
		o.held, o.worth = true, o.t.Value/float64(o.t.usual())
		if now > o.targetAt {
			o.worth *= o.t.LateValue
		}
		i, _ := slices.BinarySearchFunc(o.group.held, o, func(a, b *op) int { return cmp.Compare(b.worth, a.worth) })
		o.group.held = slices.Insert(o.group.held, i, o)
	}
}

func (o *op) unhold() {
	o.held = false
	o.group.held = slices.DeleteFunc(o.group.held, func(p *op) bool { return p == o })
}

// wake tries the held ops of a group again.
func (g *Gateway) wake(now time.Duration, gr *group) {
	for _, o := range slices.Clone(gr.held) {
		g.place(now, o)
	}
}

// choose follows the design: writes and fresh reads go home to the primary, other reads rotate over
// replicas that are fresh enough; session and bounded reads wait a little for one, then go home.
func (g *Gateway) choose(now time.Duration, o *op) (s *server) {
	home := o.group.primary
	if o.t.Need == Write && (!home.usable() || home.wait > g.brief) {
		return g.scout(now, o)
	}
	if o.t.Need == Write || o.t.Need == Fresh {
		if o.luck <= g.home {
			s = home.room(now, o)
		}
		return s
	}
	if o.luck <= g.spread {
		// A read that runs for longer than a bound may keep its replica from applying the log for as long: such
		// reads share the replica that is furthest behind, so that the others stay fresh.
		if o.t.Need == Any && o.t.usual() > g.tightest && now < o.holdUntil {
			return g.furthest(now, o, -1).room(now, o)
		}
		if s = g.rotate(now, o, o.want(now)); s == nil && g.checked && !o.missed {
			s = g.furthest(now, o, 1)
		}
		if s == nil && now < o.holdUntil {
			g.ask(now, o)
		}
	}
	if s == nil && now >= o.holdUntil && o.luck <= g.home {
		s = home.room(now, o)
	}
	return s
}

// ask probes the replica next in turn for its position, once for a held read, where answers come too seldom
// to tell one in time: that is no reason to crowd the primary.
func (g *Gateway) ask(now time.Duration, o *op) {
	if !g.asks || o.asked || now-o.group.heard <= o.holdUntil-now {
		return
	}
	if s := g.rotate(now, o, LongPast); s != nil && s.nextProbe <= now {
		o.asked, s.nextProbe = true, math.MaxInt64
		g.host.Probe(s.id)
	}
}

func (s *server) usable() bool { return s != nil && s.state == Ready && s.needs == 0 }

// room returns the server if it is in use and owes less than it takes, below one send by the op's chance.
func (s *server) room(now time.Duration, o *op) *server {
	if !s.usable() || now < s.shunnedTill || float64(len(s.owed)) >= s.limit || o.luck > s.limit {
		return nil
	}
	return s
}

// reached is the position that a server is taken to have reached: what it told, where nothing else keeps
// rule 5; where replicas check reads themselves, as far behind the present as it last was, since with many
// gateways the last word of each replica is old.
func (g *Gateway) reached(now time.Duration, s *server) time.Duration {
	if g.checked {
		return now - s.behind
	}
	return s.pos
}

// rotate takes the next replica in turn whose position reaches want, passing over those with overdue
// answers while there are others. A cold one gets turns as its ramp allows.
func (g *Gateway) rotate(now time.Duration, o *op, want time.Duration) (best *server) {
	total, overdue := 0.0, true
	for _, s := range o.group.members {
		if s == o.group.primary || g.reached(now, s) < want || s.room(now, o) == nil || !overdue && s.overdue(now) {
			continue
		}
		if overdue && !s.overdue(now) {
			best, total, overdue = nil, 0, false
		}
		w := s.weight * g.ramp(now, s)
		s.credit += w
		total += w
		if best == nil || s.credit > best.credit {
			best = s
		}
	}
	if best != nil {
		best.credit -= total
	}
	return best
}

// furthest is the replica with room that is furthest ahead (way 1), or the warm one furthest behind (-1).
func (g *Gateway) furthest(now time.Duration, o *op, way time.Duration) (best *server) {
	for _, s := range o.group.members {
		fits := way > 0 && s.room(now, o) != nil || way < 0 && s.usable() && g.ramp(now, s) >= 1
		if s != o.group.primary && fits && (best == nil || (g.reached(now, s)-g.reached(now, best))*way > 0) {
			best = s
		}
	}
	return best
}

// scout finds a member to try a write on while the primary is unknown: in id order, each that has not
// just said that it is none. After one round of misses a brief wait passes before the next. The last send
// that an op has is kept for the primary once it is known.
func (g *Gateway) scout(now time.Duration, o *op) *server {
	for _, s := range o.group.members {
		if o.sends < g.maxSends-1 && s.room(now, o) != nil && !s.overdue(now) &&
			(s.role != Replica || now-s.roleAt > g.brief) {
			return s
		}
	}
	return nil
}

// maySend is rule 2: whether a further send of this op can be allowed. A zone that drops repeats does not
// help, as members of a group may stand in several.
func (g *Gateway) maySend(now time.Duration, o *op) bool {
	if o.sends >= g.maxSends || o.maybeAt == LongPast || o.t.Effect == Retryable {
		return o.sends < g.maxSends
	}
	return o.t.Effect == Tokened && o.t.Scope != ScopeZone && now-o.maybeAt < o.t.Window-2*g.tick
}

// send is the gate that every send passes; each rule on sending is enforced here and nowhere else.
func (g *Gateway) send(now time.Duration, o *op, s *server) bool {
	// Rule 5: the server is the primary, is known to have what is needed, or checks for itself.
	fresh := s == o.group.primary || o.t.Need == Write || g.checked || s.pos >= o.want(now)
	if o.done || o.at != nil || !g.maySend(now, o) || // rules 1 and 2
		s.state != Ready || s.group != o.group || // rule 3, with no use of the grace
		!fresh || !g.coldTakes(now, o, s) { // rules 5 and 4
		return false
	}
	o.at, o.sentAt, o.waitFrom = s, now, now
	o.sends++
	s.group.owed++
	s.owed = append(s.owed, o)
	g.host.Send(o.id, s.id, 0) // it may be called back
	return true
}

// ramp is the least share of its capacity that a server can have by now.
func (g *Gateway) ramp(now time.Duration, s *server) float64 {
	return min(1, g.coldFrom+(1-g.coldFrom)*max(0, float64(now-s.started)/float64(g.coldTime)))
}

// coldTakes is rule 4. A cold server is sent at most a cautious part of the stated multiple of its
// worst-case capacity, taken from what warm servers take from this gateway on average: all gateways
// together send those no more than they can do. The allowance starts below zero by chance, so that many
// gateways that each send little do not all begin with one send.
func (g *Gateway) coldTakes(now time.Duration, o *op, s *server) bool {
	work, r := float64(o.t.usual()), g.ramp(now-g.overloadTime, s)
	if r >= 1 {
		return true
	}
	if s.allowedAt < s.started {
		s.allowed, s.allowedAt = -g.chance()*work, max(s.started, 0)
	}
	rate := g.warm * r * g.coldMultiple * coldCaution
	s.allowed = min(s.allowed+rate*float64(now-s.allowedAt), rate*float64(g.overloadTime/unspent))
	s.allowedAt = now
	if s.allowed < 0 {
		return false
	}
	s.allowed -= work
	return true
}

// chance draws from 0 to 1; the same seed and the same events give the same draws.
func (g *Gateway) chance() float64 {
	g.draws++
	b := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, g.seed), g.draws)
	return float64(crc32.ChecksumIEEE(b)) / (1 << 32)
}

// told takes in what a server says of itself: role and position, the evidence being as old as at. A primary
// stands at the present, so its position dates its claim.
func (g *Gateway) told(now time.Duration, s *server, role Role, pos, at time.Duration) {
	s.pos = max(s.pos, pos)
	s.behind = now - s.pos
	gr := s.group
	if role == Replica {
		gr.heard = at
	} else if role == Primary && pos != LongPast {
		at = pos
	}
	if role == RoleUnknown || at < s.roleAt {
		return
	}
	s.role, s.roleAt = role, at
	if role == Primary && gr.primary != s && (gr.primary == nil || at >= gr.primary.roleAt) {
		gr.primary = s
		g.host.Log("primary found")
	} else if role == Replica && gr.primary == s {
		gr.primary = nil
	}
}

// Report is called with what a server's load report says, before the answer that brought it. It may be old: its
// position is the latest time that it surely speaks of.
func (g *Gateway) Report(now time.Duration, id uint32, role Role, pos time.Duration) {
	at := pos
	if pos == LongPast {
		at = now
	}
	if s := g.servers[id]; s != nil {
		g.told(now, s, role, pos, at)
	}
}

// judge draws from one result what it says of a server's health and of how much it takes.
func (g *Gateway) judge(now time.Duration, s *server, o *op, result Result, took time.Duration) {
	home, slow := s == s.group.primary, took > o.t.Target/fullShare
	switch result {
	case Acked, Miss, ServerFull, ServerError:
		s.heard = now
	case Reset: // a bad way or a dead process, no lack of connections
		g.resetAt, g.crowdedTill = now, LongPast
	case NoConnection:
		// One that is turned away at once, with none reset of late, shows servers that take no more connections:
		// for a while this gateway leaves none open that it does not use, as the others wait for them.
		if took < g.brief && now-g.resetAt > scarce*g.brief {
			g.crowdedTill = now + scarce*g.brief
		}
	}
	if now < g.crowdedTill && len(s.owed) == 0 {
		g.host.CloseIdle(s.id)
	}
	switch result {
	case Acked:
		s.wait = 0
	case ServerError, ServerFull, NoConnection, Reset:
		if result != ServerError || !home { // a primary that fails some is still the only one for writes
			g.doubt(now, s, false)
		}
	}
	if result != Acked && result != ServerFull && result != TimedOut || now == g.pausedAt {
		return // after a pause of its own nobody knows how late an answer came
	}
	if result == Acked {
		o.t.took.add(took, o.t.Target)
		if slow && now-s.cutAt > took {
			s.limit, s.cutAt = max(s.limit*cut, min(s.limit, 1)), now
		} else if !slow && s.limit >= 1 {
			s.limit += 1 / (s.limit * g.gateways) // all gateways together try one send more
		}
	}
	// With many gateways a single server answers too seldom to tell how it fares, so all primaries and all replicas
	// share what is known. Their share stands still with one answer in four later than half its latency target, or
	// none. Where a limit can still shrink, or did at the last answer, that is left to it: one bad server is not all.
	share := &g.spread
	if home {
		share = &g.home
	}
	if late := took > o.t.Target/2 || result == ServerFull; late && s.limit <= 1 {
		if s.limit == 1 {
			*share *= cut
		}
		s.limit *= cut
	} else if !late {
		*share = min(1, *share*regain)
		s.limit = max(s.limit, min(1, s.limit/cut))
	}
}

// doubt passes a server over, twice as long for each trouble since it last acked. At a second one in a row,
// or where it is sure, the server is set aside until it has answered probes. A primary that cannot be
// reached is tried again, as writes have no other place; and at most half of a group is set aside, as a
// gateway that finds more than that in trouble is more likely in trouble itself.
func (g *Gateway) doubt(now time.Duration, s *server, sure bool) {
	if now < s.shunnedTill || s.needs > 0 {
		return
	}
	sure = sure || s.wait > 0 && s != s.group.primary
	s.wait = min(max(2*s.wait, g.brief/4), 32*g.brief)
	s.shunnedTill = now + s.wait
	aside := 1
	for _, m := range s.group.members {
		if m.needs > 0 && m.wait > 0 {
			aside++
		}
	}
	if g.probes && sure && 2*aside <= len(s.group.members) {
		s.needs, s.nextProbe = answered, s.shunnedTill
		g.host.Log("server set aside")
	}
}

// overdue tells whether a server owes an answer for longer than its op type's answers take.
func (s *server) overdue(now time.Duration) bool {
	return slices.ContainsFunc(s.owed, func(o *op) bool { return now-o.waitFrom > overdueAfter*o.t.usual() })
}

// silent tells whether a server that owes answers has been quiet for longer than chance explains:
// hung, dead, cut off or jammed alike. The more it owes, the sooner it shows.
func (s *server) silent(now time.Duration) bool {
	sum, longest := 0.0, 0.0
	for _, o := range s.owed {
		wait := float64(now-max(o.waitFrom, s.heard)) / float64(o.t.usual())
		sum, longest = sum+wait, max(longest, wait)
	}
	return sum > silentAfter && longest > overdueAfter
}

// ProbeAnswer is called once for each probe.
func (g *Gateway) ProbeAnswer(now time.Duration, id uint32, result Result, took time.Duration) {
	s := g.servers[id]
	if s == nil {
		return
	}
	defer g.wake(now, s.group)
	switch unheard := result == NoConnection || result == Reset || result == TimedOut; {
	case unheard && s.needs == 0:
		g.doubt(now, s, false)
	case unheard:
		s.wait, s.needs = min(max(2*s.wait, g.brief/4), 32*g.brief), answered
	case s.needs > 0: // an error is an answer too: probes may fail at servers that serve
		s.needs--
	}
	s.nextProbe = now + max(s.wait, g.brief)
}

// List is called with the server list as the host last held it, in full, or with changes to it.
func (g *Gateway) List(now time.Duration, scope ListScope, listed []Listed) {
	switch scope {
	case ListFailed:
		g.askAt = now + g.askWait
		return
	case ListFull, ListChanges:
		g.askAt = 0
	}
	for _, gr := range g.listed {
		for _, s := range gr.members {
			if scope != ListChanges && !slices.ContainsFunc(listed, func(l Listed) bool { return l.ID == s.id }) {
				g.line(now, &Listed{ID: s.id, Started: s.started})
			}
		}
	}
	for i := range listed {
		g.line(now, &listed[i])
	}
}

func (g *Gateway) line(now time.Duration, l *Listed) {
	s := g.servers[l.ID]
	if s == nil {
		s = &server{id: l.ID, group: g.group(l.Group), pos: LongPast, roleAt: LongPast, started: l.Started,
			limit: max(1, startLimit/g.gateways), needs: g.firstNeeds, heard: LongPast,
			allowedAt: LongPast, credit: -g.chance() * (1 - 1/g.gateways)} // gateways must not all begin at one server
		g.probing++ // its first
		g.servers[l.ID] = s
		s.group.members = append(s.group.members, s)
		slices.SortFunc(s.group.members, func(a, b *server) int { return cmp.Compare(a.id, b.id) })
	}
	if l.State == Gone && g.goneMayRun && s.state == Ready {
		g.doubt(now, s, true)
		return
	}
	again := s.started != l.Started // it has started again: what was known of it holds no more
	if again {
		s.started, s.needs, s.limit = l.Started, g.firstNeeds, max(1, startLimit/g.gateways)
		g.probing++
	}
	s.state, s.weight = l.State, cmp.Or(float64(l.Weight), 1)
	if (again || s.state != Ready) && s.group.primary == s {
		s.group.primary = nil
	}
	// The list is late: its word on roles counts only where the server has not spoken itself.
	if l.Primary && s.roleAt == LongPast {
		g.told(now, s, Primary, LongPast, LongPast)
	}
}

func (g *Gateway) group(id uint16) *group {
	if g.groups[id] == nil {
		g.groups[id] = &group{}
		g.listed = append(g.listed, g.groups[id])
	}
	return g.groups[id]
}

// Timer is called when a timer that the gateway set has come due.
func (g *Gateway) Timer(now time.Duration, id uint32) {
	g.mind(now)
	g.host.Timer(0, now+g.tick)
	if g.askAt > 0 && now >= g.askAt {
		g.askAt = now + g.askWait
		g.host.WatchList()
	}
	g.sentWarm *= math.Exp(-float64(now-g.timedAt) / float64(g.overloadTime))
	g.timedAt = now
	// Groups where nothing is held or out are looked at now and then only: a fleet may be large.
	all, warm := now-g.walkedAt >= g.brief, 0.0
	if all {
		g.walkedAt = now
	}
	for _, gr := range g.listed {
		if !all && gr.owed == 0 && len(gr.held) == 0 {
			continue
		}
		for _, s := range gr.members {
			if s.usable() && g.ramp(now-g.overloadTime, s) >= 1 {
				warm++
			}
			if s.silent(now) {
				g.doubt(now, s, true)
			}
			// Probed is what is to be trusted, or where nothing else tells positions. Probes are rationed by the ops
			// that came in: with very many gateways or servers they would cost more than the ops.
			if g.probes && s.state == Ready && now >= s.nextProbe && (g.steady || s.needs > 0 && g.probing >= 1) {
				g.probing--
				s.nextProbe = math.MaxInt64
				g.host.Probe(s.id)
			}
		}
		g.wake(now, gr)
	}
	if all && warm > 0 { // with no warm server left, what the last ones took still holds
		g.warm = g.sentWarm / float64(g.overloadTime) / warm
	}
}
