package choice

// A Gateway decides for one gateway. Its host makes one with New and calls a method for each event: List, Op,
// Answer, Report, ProbeAnswer, ClientGone, Rumour, Timer, Stop. It acts by calling the Host, see host.go.

import (
	"cmp"
	"encoding/binary"
	"hash/crc32"
	"math"
	"slices"
	"time"
)

// The few constants are ratios, so that they fit any deployment.
const (
	holdDivisor             = 4      // part of its latency target that a session read is held, that a marked retry has left
	queueingDivisor         = 6      // answers later than this part of the latency target show a queue at the server
	limitDecrease           = 0.8    // what a server may owe shrinks so at such an answer
	connShortageWaits       = 128    // brief waits for which trouble with connections is taken to last
	stallTicks              = 8      // ticks without a timer that show that the gateway itself stood still
	congestionDecrease      = 1. / 2 // of a strain for a timely answer: it stands still with one late answer in four
	maxCongestion           = 8      // strains at most: so that it can be seen when it has gone
	initialLimit            = 8      // sends owed by a server that nothing is known of
	sampleSize              = 64     // a histogram is halved at this many entries
	overdueFactor           = 3      // usual answer times after which an answer is overdue; twice that in all is silence
	lostFactor              = 12     // usual answer times, for each send of the op, after which one is called back
	probesToReturn          = 2      // probes that bring a server back that was set aside
	probesPerOp             = 0.25   // probes for each op that came in, beyond those that the design asks for
	averagingSamples        = 8      // reports of primaries over which their age is averaged
	shortWaitDivisor        = 16     // part of the shortest latency target that counts as a brief wait
	rumourThreshold         = 1      // how many others, weighed, must find a server in trouble for it to matter
	rumouredWeightDivisor   = 8      // part of its turn that a replica keeps of which they say so
	rumouredReplicasDivisor = 3      // part of the replicas in use that are passed over for what others say, at most
	maxBackoffWaits         = 32     // brief waits for which a server is passed over at most
	coldBurstDivisor        = 8      // part of the stated overload time for which a cold server's allowance adds up unused
	coldSafetyFactor        = 0.8    // of the allowance for a cold server that is used: usual times stand in for work
	never                   = time.Duration(math.MaxInt64)
	maxExpectedRetries      = 4096 // clients that may ask again; beyond that the oldest is forgotten
)

// histogram counts answer times in bins that double, from 1/32 of a unit to twice that unit.
type histogram [8]uint32

func (h *histogram) add(took, unit time.Duration) {
	_, i := math.Frexp(32 * float64(took) / float64(max(unit, 1)))
	i = max(0, min(len(h)-1, i))
	if h[i]++; h[i] >= sampleSize/2 {
		for j := range h {
			h[j] /= 2
		}
	}
}

// mean is the average, or the unit's quarter where too little is known.
func (h *histogram) mean(unit time.Duration) time.Duration {
	count, sum, middle := 0.0, 0.0, float64(unit)/32*0.75
	for _, n := range h {
		count, sum, middle = count+float64(n), sum+float64(n)*middle, 2*middle
	}
	if count < sampleSize/8 {
		return unit / 4
	}
	return time.Duration(sum / count)
}

type opType struct {
	OpType
	answerTimes                 histogram     // answer times as parts of the latency target
	lastArrival, meanArrivalGap time.Duration // when the newest came in; the mean time between two
}

func (t *opType) meanAnswerTime() time.Duration { return t.answerTimes.mean(t.Target) }

type op struct {
	id                                    uint32
	opType                                *opType
	group                                 *group
	session                               uint64
	admissionDraw, valueRate              float64       // whether it falls into a share; its value for a unit of time
	targetEnd, holdEnd, clientLeavesAt    time.Duration // its latency target; held for a replica; its client leaves
	sentTo                                *server       // where a send is out, or nil
	sends                                 int
	sentAt, waitStart                     time.Duration // the newest send; that or the end of an own pause
	firstErrorFrom                        *server       // the first that answered it with an error
	minPosition, mayHaveRunAt             time.Duration // the position to see; the first send that may have run, if any
	retriesEnd, endedAt, retryFrom        time.Duration // of all its tries; when it ended unanswered; till when
	failsEverywhere, held, declined, done bool          // it fails at any server; a replica turned it away
}

// requiredPosition is the position that a replica must have reached.
func (o *op) requiredPosition(now time.Duration) time.Duration {
	if o.opType.Need == Bounded {
		return now - o.opType.Bound
	}
	return o.minPosition
}

type server struct {
	id                                       uint32
	group                                    *group
	state                                    State
	machineKind                              uint8 // of machine, as listed
	role                                     Role
	weight, credit                           float64       // in the rotation
	coldAllowance, ackedWork                 float64       // work that a cold one may be sent, below 0: had more; has acked of late
	position                                 time.Duration // the newest position told, it never goes back
	lag                                      time.Duration // how far behind it was
	listedStart, warmUpStart                 time.Duration // as listed; when it began to warm up, as listed or as it seems
	lostAt, roleAsOf                         time.Duration // when nobody was there; how new what is known of the role is
	openSends                                []*op         // oldest first
	lastHeardAt, aliveAsOf, limitDecreasedAt time.Duration // newest sign of life; when what it answered was sent; limit last cut
	limit                                    float64       // sends that it may owe; below one, the chance that an op may be sent
	allowanceUpdatedAt, nextProbeAt          time.Duration // nextProbe: never while one is out
	probesNeeded                             int           // probes to be answered before it is used, at first or when set aside
	backoff, backoffEnd                      time.Duration // for which it was last passed over, 0 once it has acked; until when
	trouble                                  Trouble       // that was last told of it
	rumour                                   float64       // how many other gateways, weighed, say that it is in trouble
}

type group struct {
	members   []*server // in id order
	primary   *server   // the member with the newest evidence of being it
	held      []*op     // most valuable first
	openSends int       // sends out to members
}

// Gateway decides where every op of one gateway goes.
type Gateway struct {
	host       Host
	opTypes    []opType
	ops        map[uint32]*op
	servers    map[uint32]*server
	groups     map[uint16]*group
	groupOrder []*group // in the order in which they were first named

	tick, shortWait, maxRetryAfter                  time.Duration // between looks; brief wait; wait that clients honour
	replicasCheck, writeAgeCarried, steadyProbing   bool          // replicas check reads; reads tell marks; only probes do
	mayProbe, mayCancel, retriesMarked              bool          // allowed; allowed; clients mark what they ask for again
	maxSends, initialProbes                         int           // sends for an op; probes before first use
	nextListRequest, listBackoff, maxListBackoff    time.Duration // for the list again, 0: not; the next wait; the longest
	warmUpTime, overloadTime                        time.Duration
	coldCapacityShare, overloadFactor, gatewayCount float64

	reportAge                                   time.Duration // that reports have, by those of primaries
	warmWork, warmRate, probeBudget             float64       // work sent to warm servers of late; to one, per time; probes
	primaryCongestion, replicaCongestion        *[256]float64 // the strain on primaries and on replicas, by kind of machine
	lastTimerAt, lastFullPassAt, stallNoticedAt time.Duration // the last timer; walk of all groups; end of a pause of its own
	connShortageEnd, lastResetAt                time.Duration // connections are taken to be scarce; the last reset

	expectedRetries   []*op // that ended unanswered, oldest first: clients are likely to ask for the same
	seed, randomDraws uint64
}

// New makes a gateway's decision module. The host hands over the cached list next.
func New(h Host, d *Deployment) *Gateway {
	g := &Gateway{
		host: h, ops: map[uint32]*op{}, servers: map[uint32]*server{}, groups: map[uint16]*group{},
		tick: max(d.Round, time.Millisecond), shortWait: time.Hour,
		replicasCheck: d.Checks != Unchecked, writeAgeCarried: d.MarksCarried, mayProbe: d.Probes, mayCancel: d.Cancels,
		steadyProbing: d.Probes && d.ReportsPosition && !d.TellsPosition && d.Checks != Unchecked,
		retriesMarked: !d.RetriesUnmarked, maxSends: max(1, d.MaxSends), initialProbes: map[bool]int{true: 1}[d.Probes],
		maxRetryAfter: d.MaxComeBack, maxListBackoff: cmp.Or(d.AskWithin, time.Minute) / 4, seed: d.Seed,
		coldCapacityShare: d.ColdFrom, overloadFactor: d.OverloadFactor, warmUpTime: max(1, d.ColdTime),
		overloadTime: max(1, d.OverloadTime), gatewayCount: max(1, float64(d.Gateways)),
		connShortageEnd: LongPast, lastResetAt: LongPast, stallNoticedAt: LongPast,
		primaryCongestion: new([256]float64), replicaCongestion: new([256]float64),
	}
	for _, t := range d.OpTypes {
		g.shortWait = min(g.shortWait, t.Target/shortWaitDivisor)
		g.opTypes = append(g.opTypes, opType{OpType: t})
	}
	if g.listBackoff = min(g.shortWait, g.maxListBackoff); d.ListAsked {
		h.WatchList()
	}
	h.Timer(0, g.tick)
	return g
}

// Op is called when a client's op comes in. wroteAgo is 0 where the session's last write is not told.
func (g *Gateway) Op(now time.Duration, id uint32, kind uint8, session uint64, due time.Duration,
	inGroup uint16, wroteAgo time.Duration, again bool) {
	g.detectStall(now)
	t := &g.opTypes[kind]
	o := &op{id: id, opType: t, group: cmp.Or(g.groups[inGroup], &group{}), session: session, admissionDraw: g.random(),
		minPosition: never, mayHaveRunAt: never, targetEnd: now + t.Target, holdEnd: now + t.Target/holdDivisor, clientLeavesAt: due,
		retriesEnd: now + t.Timeout}
	t.lastArrival, t.meanArrivalGap = now, t.meanArrivalGap+(now-t.lastArrival-t.meanArrivalGap)/averagingSamples
	g.matchRetry(now, o, again)
	switch t.Need {
	case Session:
		if g.writeAgeCarried && wroteAgo > 0 {
			o.minPosition = now - wroteAgo + wroteAgo>>20 // the age is a float: keep its rounding on the safe side
		} else if g.writeAgeCarried { // else only the primary will do
			o.minPosition = LongPast
		}
	case Bounded:
		o.holdEnd = now + g.shortWait
	case Any:
		o.minPosition = LongPast
	}
	g.ops[id] = o
	g.probeBudget += probesPerOp
	if g.steadyProbing {
		g.probeLongestUnprobed(now, o.group)
	}
	g.place(now, o)
}

// probeLongestUnprobed probes the member that was looked at the longest ago, where only probes tell positions.
func (g *Gateway) probeLongestUnprobed(now time.Duration, gr *group) {
	s := &server{nextProbeAt: never}
	for _, m := range gr.members {
		if m.state == Ready && m.nextProbeAt < s.nextProbeAt {
			s = m
		}
	}
	g.probe(now, s)
}

// probe spends one probe of the ration, where that is allowed.
func (g *Gateway) probe(now time.Duration, s *server) {
	if g.mayProbe && s.state == Ready && now >= s.nextProbeAt && g.probeBudget >= 1 {
		g.probeBudget--
		s.nextProbeAt = never
		g.host.Probe(s.id)
	}
}

// expectRetry notes that the client of an op that ended unanswered will likely ask again.
func (g *Gateway) expectRetry(now time.Duration, o *op, comeBack time.Duration) {
	o.endedAt, o.retryFrom = now, now+comeBack
	g.expectedRetries = append(g.expectedRetries[max(0, len(g.expectedRetries)-maxExpectedRetries+1):], o)
}

// matchRetry counts an op's latency target from its client's first try. Where clients do not mark the
// next, one of a session is known by it; any other comes as soon after that, or the time named, as ops do.
func (g *Gateway) matchRetry(now time.Duration, o *op, again bool) {
	gap, found := o.opType.meanArrivalGap*time.Duration(len(g.groupOrder)), false
	if again {
		o.targetEnd = now + o.opType.Target/holdDivisor
	}
	g.expectedRetries = slices.DeleteFunc(g.expectedRetries, func(e *op) bool {
		is := !found && now < e.retriesEnd && e.opType == o.opType && e.group == o.group && e.session == o.session &&
			(again || !g.retriesMarked && (e.session != 0 || now < e.endedAt+gap ||
				now >= e.retryFrom && now < e.retryFrom+min(gap, g.shortWait)))
		if is {
			found, o.targetEnd, o.retriesEnd = true, e.targetEnd, e.retriesEnd
			// A client that left while its op was worked on waits for less than the op takes: it would do so again.
			if e.sends > 0 && e.endedAt < e.targetEnd && e.endedAt-e.sentAt > e.opType.meanAnswerTime()/2 {
				o.targetEnd = now
			}
		}
		return is || now >= e.retriesEnd
	})
}

// Answer is called once for each send, when it has ended.
func (g *Gateway) Answer(now time.Duration, id uint32, number uint8, at uint32, result Result,
	took time.Duration, final bool, role Role, pos time.Duration) {
	g.detectStall(now)
	s, o := g.servers[at], g.ops[id]
	if s != nil { // a claim of being primary may be as old as what it answers
		g.updateRoleAndPosition(now, s, role, pos, now-map[bool]time.Duration{true: took}[role == Primary])
	}
	if o == nil || o.sentTo == nil || int(number) != o.sends-1 {
		return
	}
	s, o.sentTo = o.sentTo, nil
	s.openSends = slices.DeleteFunc(s.openSends, func(p *op) bool { return p == o })
	neverRan := result == ServerFull || result == NoConnection || result == NotSent || result == Miss
	if neverRan && o.mayHaveRunAt == o.sentAt {
		o.mayHaveRunAt = never
	}
	s.group.openSends--
	if !neverRan && g.capacityShare(now-g.overloadTime, s) >= 1 {
		g.warmWork += float64(o.opType.meanAnswerTime()) // what is turned away does not show what a server takes
	}
	// An error of a second server too is the op's own fault, unless one of the two is in doubt itself.
	e := o.firstErrorFrom
	o.failsEverywhere = result == ServerError && e != nil && e != s && e.backoff == 0 && s.backoff == 0
	g.assessResult(now, s, o, result, took)
	o.declined = o.declined || result == Miss
	if final || o.done || result == Acked {
		delete(g.ops, id)
	} else {
		g.place(now, o)
	}
	g.placeHeld(now, s.group)
}

// detectStall notices by the timers that the gateway itself stood still: it is no servers' fault, waits begin anew.
func (g *Gateway) detectStall(now time.Duration) {
	if now-g.lastTimerAt > stallTicks*g.tick && now > g.stallNoticedAt {
		g.stallNoticedAt = now
		for _, o := range g.ops {
			o.waitStart = now
		}
	}
}

// ClientGone is called when a client has left: no answer is owed any more.
func (g *Gateway) ClientGone(now time.Duration, id uint32) {
	if o := g.ops[id]; o != nil && !o.done {
		g.expectRetry(now, o, 0)
		g.closeOp(o)
	}
}

// Stop is called when the process is about to end: what is held is given up while that can be told.
func (g *Gateway) Stop(now time.Duration) {
	for _, o := range g.ops {
		g.giveUp(now, o)
	}
}

// closeOp closes an op. What is still out is called back: queued work may yet be saved.
func (g *Gateway) closeOp(o *op) {
	o.done = true
	o.removeFromHeld()
	if o.sentTo == nil {
		delete(g.ops, o.id)
	} else if g.mayCancel {
		g.host.Cancel(o.id, uint8(o.sends-1))
	}
}

// giveUp ends an op at once. Rule 2: the busy reply, which invites another try, only where that is harmless.
func (g *Gateway) giveUp(now time.Duration, o *op) {
	if t := o.opType; o.mayHaveRunAt == never || t.Effect == Retryable || t.Effect == Tokened && t.Scope == ScopeAll {
		back := min(g.maxRetryAfter, map[bool]time.Duration{true: t.Target, false: t.Timeout}[t.LateValue > 0])
		g.host.BusyReply(o.id, back) // what earns nothing late need not come back before its op timeout
		if !o.failsEverywhere {
			g.expectRetry(now, o, back)
		}
	} else {
		g.host.Error(o.id)
	}
	g.closeOp(o)
}

// latestUsefulSend is the latest time at which sending an op can still earn anything.
func (g *Gateway) latestUsefulSend(o *op) time.Duration {
	end := o.targetEnd
	if o.opType.LateValue > 0 {
		end = o.clientLeavesAt
	}
	return min(min(end, o.clientLeavesAt)-o.opType.meanAnswerTime(), o.clientLeavesAt-2*g.tick)
}

// place sends an op where the design wants it, holds it, or gives it up.
func (g *Gateway) place(now time.Duration, o *op) {
	if o.failsEverywhere || now >= min(g.latestUsefulSend(o), g.latestAllowedSend(o)) || len(o.group.members) == 0 {
		g.giveUp(now, o)
	} else if s := g.chooseServer(now, o); s != nil && g.send(now, o, s) {
		o.removeFromHeld()
	} else if !o.held {
		o.held, o.valueRate = true, o.opType.Value/float64(o.opType.meanAnswerTime())
		if now >= o.targetEnd-o.opType.meanAnswerTime() {
			o.valueRate *= o.opType.LateValue
		}
		h := o.group.held
		i, _ := slices.BinarySearchFunc(h, o, func(a, b *op) int { return cmp.Compare(b.valueRate, a.valueRate) })
		o.group.held = slices.Insert(h, i, o)
	}
}

func (o *op) removeFromHeld() {
	o.held = false
	o.group.held = slices.DeleteFunc(o.group.held, func(p *op) bool { return p == o })
}

func (g *Gateway) placeHeld(now time.Duration, gr *group) {
	for _, o := range slices.Clone(gr.held) {
		g.place(now, o)
	}
}

// chooseServer follows the design: writes and fresh reads go home to the primary, other reads rotate over
// replicas that are fresh enough; session and bounded reads wait a little for one, then go home.
func (g *Gateway) chooseServer(now time.Duration, o *op) (s *server) {
	home := o.group.primary
	switch {
	case o.opType.Need == Write && (!home.usable() || home.backoff > g.shortWait):
		return g.primaryCandidate(now, o)
	case o.opType.Need == Write || o.opType.Need == Fresh:
		return g.ifRoom(now, home, o)
	}
	if s = g.nextReplica(now, o, o.requiredPosition(now)); s == nil && g.replicasCheck && !o.declined {
		s = g.mostAdvancedReplica(now, o)
	}
	if s == nil && now >= o.holdEnd {
		s = g.ifRoom(now, home, o)
	}
	return s
}

func (s *server) usable() bool { return s != nil && s.state == Ready && s.probesNeeded == 0 }

// congestion is how late primaries, or replicas, of a kind of machine are: one may answer too seldom to tell.
func (g *Gateway) congestion(s *server) *float64 {
	if s == s.group.primary {
		return &g.primaryCongestion[s.machineKind]
	}
	return &g.replicaCongestion[s.machineKind]
}

// ifRoom returns the server if it can take the op now: not one that erred on it before, unless that is home.
func (g *Gateway) ifRoom(now time.Duration, s *server, o *op) *server {
	if !s.usable() || now < s.backoffEnd || s == o.firstErrorFrom && s != s.group.primary ||
		float64(s.countOpenSends(now)) >= s.limit || o.admissionDraw > min(s.limit, math.Pow(limitDecrease, *g.congestion(s))) {
		return nil
	}
	return s
}

// estimatedPosition is a server's told position; one that checks reads is taken to be as far behind as it last was.
func (g *Gateway) estimatedPosition(now time.Duration, s *server) time.Duration {
	if g.replicasCheck {
		return now - s.lag
	}
	return s.position
}

// nextReplica takes the next replica in turn that reaches want, passing over those overdue while there are others.
func (g *Gateway) nextReplica(now time.Duration, o *op, want time.Duration) (best *server) {
	total, overdue := 0.0, true
	for _, s := range o.group.members {
		if s == o.group.primary || g.estimatedPosition(now, s) < want || g.ifRoom(now, s, o) == nil ||
			!overdue && s.overdue(now) {
			continue
		}
		if overdue && !s.overdue(now) {
			best, total, overdue = nil, 0, false
		}
		w := s.weight * g.capacityShare(now, s)
		if g.weightReduced(s) {
			w /= rumouredWeightDivisor
		}
		s.credit, total = s.credit+w, total+w
		if best == nil || s.credit > best.credit {
			best = s
		}
	}
	if best != nil {
		best.credit -= total
	}
	return best
}

// mostAdvancedReplica is the replica with room that is mostAdvancedReplica ahead.
func (g *Gateway) mostAdvancedReplica(now time.Duration, o *op) (best *server) {
	for _, s := range o.group.members {
		if s != o.group.primary && g.ifRoom(now, s, o) != nil &&
			(best == nil || g.estimatedPosition(now, s) > g.estimatedPosition(now, best)) {
			best = s
		}
	}
	return best
}

// primaryCandidate finds a member to try a write on while the primary is unknown, in id order. It keeps one send back.
func (g *Gateway) primaryCandidate(now time.Duration, o *op) *server {
	for _, s := range o.group.members {
		if o.sends < g.maxSends-1 && g.ifRoom(now, s, o) != nil && !s.overdue(now) &&
			(s.role != Replica || now-s.roleAsOf > g.shortWait) {
			return s
		}
	}
	return nil
}

// latestAllowedSend is rule 2: until when an op may be sent. A zone that drops repeats may not hold all of a group.
func (g *Gateway) latestAllowedSend(o *op) time.Duration {
	if o.sends < g.maxSends && (o.mayHaveRunAt == never || o.opType.Effect == Retryable) {
		return never
	} else if o.sends < g.maxSends && o.opType.Effect == Tokened && o.opType.Scope != ScopeZone {
		return o.mayHaveRunAt + o.opType.Window - 2*g.tick
	}
	return LongPast
}

// send is the gate that every send passes; each rule on sending is enforced here and nowhere else.
func (g *Gateway) send(now time.Duration, o *op, s *server) bool {
	by, fit := g.latestAllowedSend(o), s == o.group.primary || o.opType.Need == Write || g.replicasCheck
	if !fit && o.opType.Need == Bounded { // rule 5, also when it begins: what is known of the server grows old
		by = min(by, s.position+o.opType.Bound)
	}
	if o.done || o.sentTo != nil || now >= by || // rules 1 and 2
		s.state != Ready || s.group != o.group || // rule 3, with no use of the grace
		!fit && s.position < o.requiredPosition(now) || !g.coldLimitAllows(now, o, s) { // rules 5 and 4
		return false
	}
	o.sentTo, o.sentAt, o.waitStart, o.mayHaveRunAt = s, now, now, min(o.mayHaveRunAt, now)
	o.sends++
	s.group.openSends++
	s.openSends = append(s.openSends, o)
	g.host.Send(o.id, s.id, by) // it may wait for a connection
	return true
}

// capacityShare is the least share of its capacity that a server can have by now.
func (g *Gateway) capacityShare(now time.Duration, s *server) float64 {
	return min(1, g.coldCapacityShare+(1-g.coldCapacityShare)*max(0, float64(now-s.warmUpStart)/float64(g.warmUpTime)))
}

// coldLimitAllows is rule 4: a cold server is sent a cautious part of the stated multiple of its worst case, by
// what warm ones take, or of what it acked of late. It begins below zero by chance: gateways may be many.
func (g *Gateway) coldLimitAllows(now time.Duration, o *op, s *server) bool {
	work, r := float64(o.opType.meanAnswerTime()), g.capacityShare(now-g.overloadTime, s)
	if r >= 1 {
		return true
	} else if s.allowanceUpdatedAt < s.warmUpStart {
		s.coldAllowance, s.ackedWork, s.allowanceUpdatedAt = -g.random()*work, 0, max(s.warmUpStart, now-g.overloadTime/coldBurstDivisor)
	}
	since, over := float64(now-s.allowanceUpdatedAt), float64(g.overloadTime)
	s.ackedWork *= math.Exp(-since / over)
	rate := max(g.warmRate*r, s.ackedWork/over) * g.overloadFactor * coldSafetyFactor
	s.coldAllowance, s.allowanceUpdatedAt = min(s.coldAllowance+rate*since, rate*over/coldBurstDivisor), now
	if s.coldAllowance >= 0 {
		s.coldAllowance -= work
		return true
	}
	return false
}

// random draws from 0 to 1; the same seed and the same events give the same draws.
func (g *Gateway) random() float64 {
	g.randomDraws++
	b := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, g.seed), g.randomDraws)
	return float64(crc32.ChecksumIEEE(b)) / (1 << 32)
}

// updateRoleAndPosition takes in role and position; at dates the evidence, or a primary's position, as that is the present.
func (g *Gateway) updateRoleAndPosition(now time.Duration, s *server, role Role, pos, at time.Duration) {
	if pos != LongPast {
		s.position, s.lag = max(s.position, pos), now-max(s.position, pos)
	}
	if role == Primary && pos != LongPast {
		at = pos
	}
	if role == RoleUnknown || at < s.roleAsOf {
		return
	}
	s.role, s.roleAsOf = role, at
	if p := s.group.primary; role == Primary && p != s && (p == nil || at >= p.roleAsOf) {
		if s.group.primary = s; p != nil {
			g.host.Withdraw(p.id) // rule 5: what has not begun there was for a primary
		}
		g.host.Log("primary found")
	} else if role == Replica && p == s {
		s.group.primary = nil
		g.host.Withdraw(s.id)
	}
}

// Report is called before the answer that brought the report; its position is the time that it speaks of.
// Where nothing else keeps rule 5, a server that says that it is a replica is one from then on.
func (g *Gateway) Report(now time.Duration, id uint32, role Role, pos time.Duration) {
	if s := g.servers[id]; s != nil && (pos == LongPast || role == Replica && !g.replicasCheck) {
		g.updateRoleAndPosition(now, s, role, pos, now)
	} else if s != nil {
		if g.updateRoleAndPosition(now, s, role, pos, pos); role == Primary { // it stands at the present: the rest is age
			g.reportAge += (now - pos - g.reportAge) / averagingSamples
		}
		s.lag = max(0, s.lag-2*g.reportAge)
	}
}

// markLost notes that nobody was there. Members of a group may start again together: where two are markLost and
// no member has been heard of since the first, all are taken to be markLost.
func (g *Gateway) markLost(now time.Duration, s *server) {
	first, heard := never, LongPast
	for _, m := range s.group.members {
		first, heard = min(first, m.lostAt), max(heard, m.lastHeardAt)
	}
	if s.lostAt < never {
		return
	} else if s.lostAt = now; heard < first && first < never {
		for _, m := range s.group.members {
			m.lostAt = min(m.lostAt, now)
		}
	}
}

// markAlive takes in an answer to what was sent at a time. Where nobody had been there, the server has likely
// started again: it counts as cold until the list, which is late, says when, or it has had time to warm up.
func (g *Gateway) markAlive(now time.Duration, s *server, at time.Duration) {
	if s.lostAt < never {
		s.lostAt, s.warmUpStart = never, now
	}
	s.lastHeardAt, s.aliveAsOf = now, max(s.aliveAsOf, at)
}

// assessResult draws from one result what it says of a server's health and of how much it takes.
func (g *Gateway) assessResult(now time.Duration, s *server, o *op, result Result, took time.Duration) {
	slow := took > o.opType.Target/queueingDivisor
	switch result {
	case Acked, Miss, ServerFull, ServerError:
		g.markAlive(now, s, o.sentAt)
	case Reset: // a bad way or a dead process, no lack of connections
		g.lastResetAt, g.connShortageEnd = now, LongPast
	case NoConnection: // at once, with no reset of late: connections are scarce, so none is left open unused
		if took < g.shortWait && now-g.lastResetAt > connShortageWaits*g.shortWait {
			g.connShortageEnd = now + connShortageWaits*g.shortWait
		}
	}
	if now < g.connShortageEnd && len(s.openSends) == 0 {
		g.host.CloseIdle(s.id)
	}
	switch {
	case result == Acked:
		s.backoff = 0
		if e := o.firstErrorFrom; e != nil && e != s && e != e.group.primary {
			g.backOff(now, e, Failing, false) // a primary that fails some is still the only one for writes
		}
	case result == ServerError && o.firstErrorFrom == nil:
		o.firstErrorFrom = s // its own fault, or the op's: another server's answer will tell
	case result == ServerFull:
		g.backOff(now, s, NoTrouble, false) // it has much to do, which is no trouble of its own
	case result == NoConnection, result == Reset:
		if result == NoConnection && s.backoff > 0 && o.sentAt >= s.aliveAsOf { // a reset may be the connection alone
			g.markLost(now, s)
		}
		g.backOff(now, s, Unreachable, false)
	}
	lost := result != TimedOut || o.sentAt < s.aliveAsOf
	if result != Acked && result != ServerFull && lost || now == g.stallNoticedAt {
		return // after an own pause nobody knows how late an answer came; what was overtaken may be lost, not late
	}
	if result == Acked {
		o.opType.answerTimes.add(took, o.opType.Target)
		s.ackedWork += float64(o.opType.meanAnswerTime())
		if slow && now-s.limitDecreasedAt > took {
			s.limit, s.limitDecreasedAt = max(s.limit*limitDecrease, min(s.limit, 1)), now
		} else if !slow && s.limit >= 1 {
			s.limit += 1 / (s.limit * g.gatewayCount) // all gateways together try one send more
		}
	}
	// A limit that can shrink, or did at the last answer, goes before: one bad server is not all of them.
	if late := took > o.opType.Target/2 || result == ServerFull; late && s.limit <= 1 {
		if s.limit == 1 {
			*g.congestion(s) = min(*g.congestion(s)+1, maxCongestion)
		}
		if s.limit *= limitDecrease; s.limit < limitDecrease*limitDecrease && result != ServerFull {
			g.reportTrouble(s, Late)
		}
	} else if !late {
		g.reportTrouble(s, NoTrouble)
		*g.congestion(s) = max(0, *g.congestion(s)-congestionDecrease)
		s.limit = max(s.limit, min(1, s.limit/limitDecrease))
	}
}

// backOff passes a server over, twice as long for each trouble since it last acked. At a second, or if sure, it
// is set aside until it answers probes: no primary, as writes have no other place; half of a group at most.
func (g *Gateway) backOff(now time.Duration, s *server, why Trouble, sure bool) {
	if why != NoTrouble {
		g.reportTrouble(s, why)
	}
	if now < s.backoffEnd {
		return
	}
	sure = sure || (s.backoff > 0 || s.rumour >= rumourThreshold) && s != s.group.primary
	s.backoff = min(max(2*s.backoff, g.shortWait/4), maxBackoffWaits*g.shortWait)
	s.backoffEnd = now + s.backoff
	aside := 1
	for _, m := range s.group.members {
		if m.probesNeeded > 0 && m.backoff > 0 {
			aside++
		}
	}
	if s.probesNeeded > 0 {
		s.probesNeeded = probesToReturn
	} else if g.mayProbe && sure && 2*aside <= len(s.group.members) {
		s.probesNeeded, s.nextProbeAt = probesToReturn, s.backoffEnd
		g.host.Log("server set aside")
	}
}

// reportTrouble lets the host know what this gateway has seen of a server by itself, and once that it has ended.
func (g *Gateway) reportTrouble(s *server, t Trouble) {
	if s.trouble != t || t != NoTrouble {
		s.trouble = t
		g.host.Trouble(s.id, t)
	}
}

// Rumour is called with how many others, weighed, say that a server is in trouble. By itself it spends a
// probe, makes an own first symptom the second and a turn smaller, and has a failed list asked for sooner.
func (g *Gateway) Rumour(now time.Duration, id uint32, weight float64) {
	s := g.servers[id]
	if s == nil {
		return
	}
	if weight >= rumourThreshold && s.rumour < rumourThreshold {
		g.nextListRequest = min(g.nextListRequest, now)
		g.probe(now, s)
	}
	s.rumour = weight
}

// weightReduced tells whether others say so much of a replica, and of no more than a third, that its turn is smaller.
func (g *Gateway) weightReduced(s *server) bool {
	said, inUse := 0, 0
	for _, m := range s.group.members {
		if m.usable() && m != s.group.primary {
			inUse++
			if m.rumour > s.rumour || m.rumour == s.rumour && m.id <= s.id {
				said++
			}
		}
	}
	return s.rumour >= rumourThreshold*(1+*g.congestion(s)) && rumouredReplicasDivisor*said <= inUse
}

// countOpenSends counts what a server still works on, as far as can be told: not what was overtaken and is overdue.
func (s *server) countOpenSends(now time.Duration) (n int) {
	for _, o := range s.openSends {
		if o.sentAt >= s.aliveAsOf || now-o.waitStart <= overdueFactor*o.opType.meanAnswerTime() {
			n++
		}
	}
	return n
}

// overdue tells whether a server owes an answer for longer than its op type's answers take.
func (s *server) overdue(now time.Duration) bool {
	return slices.ContainsFunc(s.openSends, func(o *op) bool { return now-o.waitStart > overdueFactor*o.opType.meanAnswerTime() })
}

// silent tells whether a server, and not just a connection, is quieter than chance explains.
func (s *server) silent(now time.Duration, least float64) bool {
	sum, longest := 0.0, 0.0
	for _, o := range s.openSends {
		if o.sentAt >= s.aliveAsOf {
			wait := float64(now-max(o.waitStart, s.lastHeardAt)) / float64(o.opType.meanAnswerTime())
			sum, longest = sum+wait, max(longest, wait)
		}
	}
	return sum > least && longest > overdueFactor
}

// cancelLostSends ends sends out for so long that they must be lost, where the op may be sent again in time.
func (g *Gateway) cancelLostSends(now time.Duration, s *server) {
	for _, o := range s.openSends {
		lost := time.Duration(lostFactor*o.sends) * o.opType.meanAnswerTime()
		if g.mayCancel && !o.done && now-o.waitStart > lost && now < min(g.latestUsefulSend(o), g.latestAllowedSend(o)) {
			o.waitStart = now
			g.host.Cancel(o.id, uint8(o.sends-1))
		}
	}
}

// ProbeAnswer is called once for each probe.
func (g *Gateway) ProbeAnswer(now time.Duration, id uint32, result Result, took time.Duration) {
	s := g.servers[id]
	if s == nil {
		return
	}
	defer g.placeHeld(now, s.group)
	if result == NoConnection || result == Reset || result == TimedOut {
		g.markLost(now, s)
		g.backOff(now, s, Unreachable, false)
	} else if result != NotSent { // an error is an answer too: probes may fail at servers that serve
		s.probesNeeded = max(0, s.probesNeeded-1)
		g.markAlive(now, s, now-took)
	}
	s.nextProbeAt = now + max(s.backoff, g.shortWait)
}

// List is called with the server list as the host last held it, in full, or with changes to it.
func (g *Gateway) List(now time.Duration, scope ListScope, listed []Listed) {
	if scope == ListFailed {
		g.nextListRequest = now + time.Duration((1+g.random())/2*float64(g.listBackoff)) // not in step with others
		g.listBackoff = min(2*g.listBackoff, g.maxListBackoff)
		return
	} else if scope != ListCached {
		g.nextListRequest, g.listBackoff = 0, min(g.shortWait, g.maxListBackoff)
	}
	for _, gr := range g.groupOrder {
		for _, s := range gr.members {
			if scope != ListChanges && !slices.ContainsFunc(listed, func(l Listed) bool { return l.ID == s.id }) {
				g.updateServer(now, &Listed{ID: s.id, Started: s.listedStart})
			}
		}
	}
	for i := range listed {
		g.updateServer(now, &listed[i])
	}
}

func (g *Gateway) updateServer(now time.Duration, l *Listed) {
	s := g.servers[l.ID]
	if s == nil {
		if g.groups[l.Group] == nil {
			g.groups[l.Group] = &group{}
			g.groupOrder = append(g.groupOrder, g.groups[l.Group])
		}
		s = &server{id: l.ID, group: g.groups[l.Group], listedStart: l.Started - 1, position: LongPast, roleAsOf: LongPast,
			lastHeardAt: LongPast, aliveAsOf: LongPast, allowanceUpdatedAt: LongPast, credit: g.random() * (1/g.gatewayCount - 1)}
		g.servers[l.ID] = s
		s.group.members = append(s.group.members, s)
		slices.SortFunc(s.group.members, func(a, b *server) int { return cmp.Compare(a.id, b.id) })
	}
	again := s.listedStart != l.Started // it has started again: what was known of it holds no more
	if again {
		s.listedStart, s.warmUpStart, s.lostAt = l.Started, l.Started, never
		s.probesNeeded, s.limit = g.initialProbes, max(1, initialLimit/g.gatewayCount)
		g.probeBudget++ // its first
		g.reportTrouble(s, NoTrouble)
	}
	s.state, s.machineKind, s.weight = l.State, l.Kind, cmp.Or(float64(l.Weight), 1)
	if again || s.state != Ready {
		g.host.Withdraw(s.id) // rules 3 and 4: what has not begun was decided before this was known
		if s.group.primary == s {
			s.group.primary = nil
		}
	}
	if l.Primary && s.roleAsOf == LongPast { // the list is late: what the server has said itself counts before it
		g.updateRoleAndPosition(now, s, Primary, LongPast, LongPast)
	}
}

// forgetIfGone drops a server that is gone once nothing of it is out.
func (g *Gateway) forgetIfGone(s *server) bool {
	if s.state != Gone || len(s.openSends) > 0 || s.nextProbeAt == never {
		return false
	}
	delete(g.servers, s.id)
	g.host.Forget(s.id)
	return true
}

// Timer is called when a timer that the gateway set has come due.
func (g *Gateway) Timer(now time.Duration, id uint32) {
	g.detectStall(now)
	g.host.Timer(0, now+g.tick)
	if g.nextListRequest > 0 && now >= g.nextListRequest {
		g.nextListRequest = 0
		g.host.WatchList()
	}
	g.probeBudget = min(g.probeBudget, float64(sampleSize/4+len(g.servers)))
	g.warmWork *= math.Exp(-float64(now-g.lastTimerAt) / float64(g.overloadTime))
	g.lastTimerAt = now
	all, warm := now-g.lastFullPassAt >= g.shortWait, 0.0
	for _, gr := range g.groupOrder {
		if !all && gr.openSends == 0 && len(gr.held) == 0 { // looked at now and then only: a fleet may be large
			continue
		}
		for _, s := range gr.members {
			if s.usable() && g.capacityShare(now-g.overloadTime, s) >= 1 {
				warm++
			}
			if s.silent(now, 2*overdueFactor) {
				g.backOff(now, s, Silence, true)
			} else if s.rumour >= rumourThreshold && s.silent(now, overdueFactor) {
				g.backOff(now, s, NoTrouble, true) // not told: without the rumour it would be no symptom yet
			}
			g.cancelLostSends(now, s)
			if s.probesNeeded > 0 {
				g.probe(now, s)
			}
		}
		gr.members = slices.DeleteFunc(gr.members, g.forgetIfGone)
		g.placeHeld(now, gr)
	}
	if all {
		if g.lastFullPassAt = now; warm > 0 { // with no warm server left, what the last ones took still holds
			g.warmRate = g.warmWork / float64(g.overloadTime) / warm
		}
	}
}
