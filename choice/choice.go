package choice

import (
	"cmp"
	"encoding/binary"
	"hash/crc32"
	"math"
	"slices"
	"time"
)

// Tuning constants. Nearly all are ratios, so that they fit any deployment.
const (
	// holdDivisor: a session read is held for at most its latency target divided by this, until a replica is fresh
	// enough. A marked retry of an op whose first try is unknown counts as having the same share of its latency target
	// left.
	holdDivisor = 4

	// queueingDivisor: an answer that took longer than the latency target divided by this shows queueing at the server.
	queueingDivisor = 6

	// limitDecrease is the factor by which an answer that shows queueing reduces the limit of open sends at a server.
	// Each congestion level reduces the share of admitted ops by the same factor.
	limitDecrease = 0.8

	// connShortageWaits is the time, in short waits, for which a shortage of connections is assumed to last.
	connShortageWaits = 128

	// stallTicks is the time without a timer event, in ticks, that shows that the gateway process itself stood still.
	stallTicks = 8

	// congestionDecrease is what a timely answer takes off the congestion level. A late answer from a server whose own
	// limit is at 1 adds 1, so the level stays constant when one such answer comes for every two timely ones.
	congestionDecrease = 1. / 2

	// maxCongestion bounds the congestion level, so that the end of the congestion is noticed soon.
	maxCongestion = 8

	// initialLimit is the limit of open sends, of all gateways together, at a server of which nothing is known. Each
	// gateway may have at least one.
	initialLimit = 8

	// sampleSize scales the samples of answer times: a histogram is halved when one of its bins holds half of
	// this, and its mean is used from an eighth of this. The probe budget is limited to a quarter of this plus one
	// probe for each server.
	sampleSize = 64

	// overdueFactor is the number of mean answer times after which an answer is overdue. A server is silent when one of
	// its answers is overdue and the waits for all of them add up to more than twice that, or to more than that if
	// rumours have reached rumourThreshold.
	overdueFactor = 3

	// lostFactor is the number of mean answer times, for each send of the op, after which a send is cancelled as lost.
	lostFactor = 12

	// probesToReturn is the number of answered probes that bring back a server that was set aside.
	probesToReturn = 2

	// probesPerOp is what each op that comes in adds to the probe budget.
	probesPerOp = 0.25

	// averagingSamples is the number of samples over which report ages and times between ops are averaged.
	averagingSamples = 8

	// shortWaitDivisor: the short wait, the unit of backoff times, is the shortest latency target divided by this.
	shortWaitDivisor = 16

	// rumourThreshold is the weighted number of other gateways that must report trouble at a server for their reports
	// to have an effect.
	rumourThreshold = 1

	// rumouredWeightDivisor divides the weight in the rotation of a replica that others report to be in trouble.
	rumouredWeightDivisor = 8

	// rumouredReplicasDivisor: at most the number of replicas in use divided by this have a reduced weight.
	rumouredReplicasDivisor = 3

	// maxBackoffWaits is the longest backoff from a server, in short waits.
	maxBackoffWaits = 32

	// coldBurstDivisor: the allowance of a cold server accumulates, unused, for the overload time divided by this.
	coldBurstDivisor = 8

	// coldSafetyFactor is the part of a cold server's allowance that is used, as mean answer times only estimate work.
	coldSafetyFactor = 0.8

	// never is a time that does not come.
	never = time.Duration(math.MaxInt64)

	// maxExpectedRetries is the number of unanswered ops kept to recognize their retries. The oldest is dropped first.
	maxExpectedRetries = 4096
)

// histogram counts answer times in bins whose bounds double, from 1/32 of a unit to twice that unit.
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

// mean returns the average answer time, or a quarter of the unit if there are too few samples.
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

// opType is an op type of the deployment with what the gateway has observed of it.
type opType struct {
	OpType
	answerTimes    histogram     // with the latency target as unit
	lastArrival    time.Duration // when the newest op of the type came in
	meanArrivalGap time.Duration // mean time between two ops of the type
}

func (t *opType) meanAnswerTime() time.Duration { return t.answerTimes.mean(t.Target) }

// op is one try of a client's op, from its arrival to its final answer and the end of its last send.
type op struct {
	id              uint32
	opType          *opType
	group           *group
	session         uint64
	openBefore      int           // see Arrival
	admissionDraw   float64       // random, from 0 to 1: it is admitted where at least this share of ops is
	heldValue       float64       // value that it can earn while it is held, see hold
	targetEnd       time.Duration // when its latency target ends
	holdEnd         time.Duration // until when it waits for a replica that is fresh enough
	clientLeavesAt  time.Duration // when its client stops waiting
	sentTo          *server       // where a send is out, or nil
	sends           int           // number of sends so far
	sentAt          time.Duration // time of the newest send
	waitStart       time.Duration // sentAt, or a later stall of the gateway or cancel, from which waiting is counted anew
	firstErrorFrom  *server       // the first server that answered it with an error
	minPosition     time.Duration // position that a replica must have reached to answer it
	mayHaveRunAt    time.Duration // time of the first send that may have run, or never
	lastResult      Result        // of the newest send that has ended
	retriesEnd      time.Duration // op timeout counted from the first try; there is no retry after it
	endedAt         time.Duration // when it ended without an answer
	retryFrom       time.Duration // when the client may retry, by the time named in the busy reply
	failsEverywhere bool          // two servers without other trouble answered it with an error
	held            bool          // it waits in its group's list of held ops
	declined        bool          // a server declined it for its role or its position
	done            bool          // it has its final answer, or needs none
}

// requiredPosition returns the position that a replica must have reached.
func (o *op) requiredPosition(now time.Duration) time.Duration {
	if o.opType.Need == Bounded {
		return now - o.opType.Bound
	}
	return o.minPosition
}

// server is what the gateway knows of one server.
type server struct {
	id                 uint32
	group              *group
	state              State
	machineKind        uint8 // as listed
	role               Role
	weight             float64       // share of the rotation, as listed
	credit             float64       // in the smooth weighted round robin over replicas
	coldAllowance      float64       // work that may still be sent while it is cold; negative after more was sent
	ackedWork          float64       // work acked recently, decaying over the overload time
	position           time.Duration // newest position known; it never goes back
	lag                time.Duration // how far its position was behind when it was learned
	listedStart        time.Duration // when it started, as listed
	warmUpStart        time.Duration // when its warm-up began: as listed, or as assumed after it was lost
	lostAt             time.Duration // when it was found not to be running, or never
	roleAsOf           time.Duration // time of the evidence for its role
	openSends          []*op         // oldest first
	lastHeardAt        time.Duration // time of its newest sign of life
	aliveAsOf          time.Duration // send time of the newest message that it answered
	limitDecreasedAt   time.Duration // when late answers last reduced limit
	limit              float64       // most open sends at it; below 1, the share of ops that may be sent to it
	allowanceUpdatedAt time.Duration // when coldAllowance was last computed
	nextProbeAt        time.Duration // when it may be probed; never while a probe is out
	probesNeeded       int           // answered probes needed before it is used, when new or set aside
	backoff            time.Duration // length of its newest backoff, 0 after an ack
	backoffEnd         time.Duration // it is avoided until then
	trouble            Trouble       // as last reported to the host
	rumour             float64       // weighted number of other gateways that report it to be in trouble
}

// group is a primary and its replicas, which hold the same data.
type group struct {
	members   []*server // in id order
	primary   *server   // the member with the newest evidence of being the primary, or nil
	held      []*op     // sorted by value rate, highest first
	openSends int       // at all members
}

// Gateway decides where every op of one gateway goes, see the package comment.
type Gateway struct {
	host       Host
	opTypes    []opType
	ops        map[uint32]*op
	servers    map[uint32]*server
	groups     map[uint16]*group
	groupOrder []*group // in the order in which they were first listed

	tick              time.Duration // time between two timer events
	shortWait         time.Duration // unit of backoff times, see shortWaitDivisor
	maxRetryAfter     time.Duration // longest wait in a busy reply that clients honour
	replicasCheck     bool          // servers check themselves whether a read's data is fresh enough
	writeAgeCarried   bool          // session reads carry the age of their session's last write
	steadyProbing     bool          // servers are probed all the time, as only probes tell their positions
	mayProbe          bool
	mayCancel         bool
	retriesMarked     bool          // clients mark retries
	maxSends          int           // for one op
	initialProbes     int           // answered probes needed before a new server is used
	nextListRequest   time.Duration // when to ask for the list again, 0 for not at all
	listBackoff       time.Duration // wait after the next failure of the list
	maxListBackoff    time.Duration // upper bound of listBackoff
	warmUpTime        time.Duration // time that a cold server takes to reach its full capacity
	overloadTime      time.Duration // time for which a cold server withstands overload
	coldCapacityShare float64       // share of its capacity that a server has when it starts
	overloadFactor    float64       // multiple of its capacity that a cold server withstands
	gatewayCount      float64

	reportAge         time.Duration // mean age of reports, measured on those of primaries
	warmWork          float64       // work sent to warm servers, decaying over the overload time
	warmRate          float64       // work per time that one warm server takes
	probeBudget       float64       // probes that may be sent
	primaryCongestion *[256]float64 // by kind of machine, see congestion
	replicaCongestion *[256]float64 // by kind of machine, see congestion
	lastTimerAt       time.Duration
	lastFullPassAt    time.Duration // when a timer event last handled all groups
	stallNoticedAt    time.Duration // when a stall of the gateway itself was last noticed, at its end
	connShortageEnd   time.Duration // until then connections are assumed to be scarce
	lastResetAt       time.Duration // when a connection was last reset

	stopped         bool  // the process is about to end
	expectedRetries []*op // ops that ended unanswered and that clients may retry, oldest first
	seed            uint64
	randomDraws     uint64 // random numbers drawn so far
}

// New returns the decision module of a gateway. The host calls List with the cached list next.
func New(h Host, d *Deployment) *Gateway {
	g := &Gateway{
		host: h, ops: map[uint32]*op{}, servers: map[uint32]*server{}, groups: map[uint16]*group{},
		tick: max(d.EventInterval, time.Millisecond), shortWait: time.Hour,
		replicasCheck: d.Checks != Unchecked, writeAgeCarried: d.WriteAgeCarried,
		mayProbe: d.MayProbe, mayCancel: d.MayCancel,
		steadyProbing: d.MayProbe && d.ReportsPosition && !d.AnswersCarryPosition && d.Checks != Unchecked,
		retriesMarked: !d.RetriesUnmarked, maxSends: max(1, d.MaxSends), initialProbes: map[bool]int{true: 1}[d.MayProbe],
		maxRetryAfter: d.MaxRetryAfter, maxListBackoff: cmp.Or(d.AskWithin, time.Minute) / 4, seed: d.Seed,
		coldCapacityShare: d.ColdFrom, overloadFactor: d.OverloadFactor, warmUpTime: max(1, d.ColdTime),
		overloadTime: max(1, d.OverloadTime), gatewayCount: max(1, float64(d.Gateways)),
		connShortageEnd: LongPast, lastResetAt: LongPast, stallNoticedAt: LongPast,
		primaryCongestion: new([256]float64), replicaCongestion: new([256]float64),
	}
	for _, t := range d.OpTypes {
		g.shortWait = min(g.shortWait, t.Target/shortWaitDivisor)
		g.opTypes = append(g.opTypes, opType{OpType: t})
	}
	if g.listBackoff = min(g.shortWait, g.maxListBackoff); d.ListOnRequest {
		h.WatchList()
	}
	h.Timer(0, g.tick)
	return g
}

// Arrival is a client's op that has come in.
type Arrival struct {
	ID             uint32
	OpType         uint8 // number of the op type
	Session        uint64
	ClientLeavesAt time.Duration // when its client stops waiting
	Group          uint16
	WriteAge       time.Duration // age of the session's last write, 0 if it is not known
	IsRetry        bool          // its client marked it as a retry
	OpenBefore     int           // open ops that its connection has or for which it waited
}

// Op handles a client's op that has come in.
func (g *Gateway) Op(now time.Duration, a Arrival) {
	g.detectStall(now)
	t := &g.opTypes[a.OpType]
	o := &op{id: a.ID, opType: t, group: cmp.Or(g.groups[a.Group], &group{}), session: a.Session, openBefore: a.OpenBefore,
		admissionDraw: g.random(), minPosition: never, mayHaveRunAt: never, targetEnd: now + t.Target,
		holdEnd: now + t.Target/holdDivisor, clientLeavesAt: a.ClientLeavesAt, retriesEnd: now + t.Timeout}
	t.lastArrival, t.meanArrivalGap = now, t.meanArrivalGap+(now-t.lastArrival-t.meanArrivalGap)/averagingSamples
	g.matchRetry(now, o, a.IsRetry)
	switch t.Need {
	case Session:
		if g.writeAgeCarried && a.WriteAge > 0 {
			o.minPosition = now - a.WriteAge + a.WriteAge>>20 // the age was a float: keep its rounding on the safe side
		} else if g.writeAgeCarried { // no write to see; where ages are not carried, only the primary is sure to have it
			o.minPosition = LongPast
		}
	case Bounded:
		o.holdEnd = now + g.shortWait
	case Any:
		o.minPosition = LongPast
	}
	g.ops[a.ID] = o
	if g.stopped {
		g.giveUp(now, o, ReasonStopping)
		return
	}
	g.probeBudget += probesPerOp
	if g.steadyProbing {
		g.probeLongestUnprobed(now, o.group)
	}
	g.place(now, o)
}

// probeLongestUnprobed probes the member whose last probe is the oldest. It is used where only probes tell positions.
func (g *Gateway) probeLongestUnprobed(now time.Duration, gr *group) {
	s := &server{nextProbeAt: never}
	for _, m := range gr.members {
		if m.state == Ready && m.nextProbeAt < s.nextProbeAt {
			s = m
		}
	}
	g.probe(now, s)
}

// probe probes a server if that is allowed, it is due and the probe budget has room.
func (g *Gateway) probe(now time.Duration, s *server) {
	if g.mayProbe && s.state == Ready && now >= s.nextProbeAt && g.probeBudget >= 1 {
		g.probeBudget--
		s.nextProbeAt = never
		g.host.Probe(s.id)
	}
}

// expectRetry records that the client of an op that ended unanswered will likely retry it.
func (g *Gateway) expectRetry(now time.Duration, o *op, retryAfter time.Duration) {
	o.endedAt, o.retryFrom = now, now+retryAfter
	g.expectedRetries = append(g.expectedRetries[max(0, len(g.expectedRetries)-maxExpectedRetries+1):], o)
}

// matchRetry looks for an earlier try of an op among the expected retries. If there is one, the op's latency target and
// op timeout count from the first try.
//
// An earlier try matches if its op timeout has not passed and if it has the same op type, group and session. That is
// enough for an op that its client marked as a retry and, where clients do not mark retries, for an op with a session.
// Where they do not, an op without a session must also arrive soon after the earlier try ended or soon after the time
// that its busy reply named. Soon means within the mean time between two ops of its type and group, and in the second
// case within a short wait at most. Where clients mark retries, an unmarked op matches none. If several tries match,
// the oldest is used.
//
// A marked retry without a match counts as having a share of its latency target left, see holdDivisor.
func (g *Gateway) matchRetry(now time.Duration, o *op, isRetry bool) {
	gap, found := o.opType.meanArrivalGap*time.Duration(len(g.groupOrder)), false
	if isRetry {
		o.targetEnd = now + o.opType.Target/holdDivisor
	}
	g.expectedRetries = slices.DeleteFunc(g.expectedRetries, func(e *op) bool {
		matches := !found && now < e.retriesEnd && e.opType == o.opType && e.group == o.group && e.session == o.session &&
			(isRetry || !g.retriesMarked && (e.session != 0 || now < e.endedAt+gap ||
				now >= e.retryFrom && now < e.retryFrom+min(gap, g.shortWait)))
		if matches {
			found, o.targetEnd, o.retriesEnd = true, e.targetEnd, e.retriesEnd
			// If the client left while a server worked on its op, it waits for less time than the op takes and would
			// leave again. So the latency target of its retry counts as missed.
			if e.sends > 0 && e.endedAt < e.targetEnd && e.endedAt-e.sentAt > e.opType.meanAnswerTime()/2 {
				o.targetEnd = now
			}
		}
		return matches || now >= e.retriesEnd
	})
}

// Answer handles the end of a send and is called once for each. number counts the op's sends from 0. final tells that
// the op has ended with this answer. role and pos are what the server stated about itself with its answer.
func (g *Gateway) Answer(now time.Duration, id uint32, number uint8, serverID uint32, result Result,
	took time.Duration, final bool, role Role, pos time.Duration) {
	g.detectStall(now)
	s, o := g.servers[serverID], g.ops[id]
	if s != nil { // a claim of being the primary may be as old as the send that it answers
		g.updateRoleAndPosition(now, s, role, pos, now-map[bool]time.Duration{true: took}[role == Primary])
	}
	if o == nil || o.sentTo == nil || int(number) != o.sends-1 {
		return
	}
	s, o.sentTo, o.lastResult = o.sentTo, nil, result
	s.openSends = slices.DeleteFunc(s.openSends, func(p *op) bool { return p == o })
	neverRan := result.NeverRan()
	if neverRan && o.mayHaveRunAt == o.sentAt {
		o.mayHaveRunAt = never
	}
	s.group.openSends--
	if !neverRan && g.capacityShare(now-g.overloadTime, s) >= 1 {
		g.warmWork += float64(o.opType.meanAnswerTime()) // an op that was turned away does not show what the server can take
	}
	// An error from a second server shows that the op is at fault, unless one of the two is in backoff itself.
	e := o.firstErrorFrom
	o.failsEverywhere = result == ServerError && e != nil && e != s && e.backoff == 0 && s.backoff == 0
	g.assessResult(now, s, o, result, took)
	o.declined = o.declined || result == Declined
	if final || o.done || result == Acked {
		delete(g.ops, id)
	} else {
		g.place(now, o)
	}
	g.placeHeld(now, s.group)
}

// detectStall notices from a missing timer event that the gateway process itself stood still. That is no fault of any
// server, so all waits are counted anew.
func (g *Gateway) detectStall(now time.Duration) {
	if now-g.lastTimerAt > stallTicks*g.tick && now > g.stallNoticedAt {
		g.stallNoticedAt = now
		for _, o := range g.ops {
			o.waitStart = now
		}
	}
}

// stalledSince reports whether the gateway process itself has stood still since a time.
func (g *Gateway) stalledSince(at time.Duration) bool { return g.stallNoticedAt > at }

// ClientGone handles the departure of a client, which needs no answer to its op any more.
func (g *Gateway) ClientGone(now time.Duration, id uint32) {
	if o := g.ops[id]; o != nil && !o.done {
		g.expectRetry(now, o, 0)
		g.closeOp(o)
	}
}

// Stop gives up all ops before the process ends, while their clients can still be answered. Ops that arrive later are
// given up at once.
func (g *Gateway) Stop(now time.Duration) {
	g.stopped = true
	for _, o := range g.ops {
		if !o.done {
			g.giveUp(now, o, ReasonStopping)
		}
	}
}

// closeOp closes an op. Its open send is cancelled, which saves the work if the server still has it in a queue.
func (g *Gateway) closeOp(o *op) {
	o.done = true
	o.removeFromHeld()
	if o.sentTo == nil {
		delete(g.ops, o.id)
	} else if g.mayCancel {
		g.host.Cancel(o.id, uint8(o.sends-1))
	}
}

// giveUp ends an op at once with a busy reply or an error. The busy reply invites another try. Rule 2, which forbids
// double effects, therefore allows it only for an op that cannot have run or that may run again.
func (g *Gateway) giveUp(now time.Duration, o *op, reason Reason) {
	g.host.Decided(Event{Kind: OpGivenUp, Op: o.id, Reason: reason})
	if t := o.opType; o.mayHaveRunAt == never || t.Effect == Retryable || t.Effect == Tokened && t.Scope == ScopeAll {
		retryAfter := min(g.maxRetryAfter, map[bool]time.Duration{true: t.Target, false: t.Timeout}[t.LateValue > 0])
		g.host.BusyReply(o.id, retryAfter) // without a late value, a retry is of no use before the op timeout
		if !o.failsEverywhere {
			g.expectRetry(now, o, retryAfter)
		}
	} else {
		g.host.Error(o.id)
	}
	g.closeOp(o)
}

// latestUsefulSend returns the latest time at which sending the op can still earn any of its value.
func (g *Gateway) latestUsefulSend(o *op) time.Duration {
	end := o.targetEnd
	if o.opType.LateValue > 0 {
		end = o.clientLeavesAt
	}
	return min(min(end, o.clientLeavesAt)-o.opType.meanAnswerTime(), o.clientLeavesAt-2*g.tick)
}

// reasonToGiveUp returns why an op cannot be answered any more, or NoReason if it still can.
func (g *Gateway) reasonToGiveUp(now time.Duration, o *op) Reason {
	switch {
	case o.failsEverywhere:
		return ReasonFailsEverywhere
	case len(o.group.members) == 0:
		return ReasonNoServers
	case now >= g.latestAllowedSend(o):
		return ReasonNoSendAllowed
	case now >= g.latestUsefulSend(o):
		return ReasonNoTimeLeft
	}
	return NoReason
}

// place sends an op to a server that is fit for it, holds it if there is none now, or gives it up if a send can no
// longer be useful or is no longer allowed.
func (g *Gateway) place(now time.Duration, o *op) {
	if reason := g.reasonToGiveUp(now, o); reason != NoReason {
		g.giveUp(now, o, reason)
	} else if s := g.chooseServer(now, o); s != nil && g.send(now, o, s) {
		o.removeFromHeld()
	} else if !o.held {
		g.hold(now, o)
	}
}

// chooseServer returns the server that an op is to be sent to now, or nil. Writes and fresh reads go to the primary;
// while that is unknown or failing, a write is tried at the members of the group one after the other. Other reads
// rotate over the replicas known to be fresh enough. If there is none and servers check reads themselves, the most
// advanced replica is tried, until a server has declined the read. A read for which this finds no replica is held until
// its holdEnd, a session read for a quarter of its latency target, and is then sent to the primary.
func (g *Gateway) chooseServer(now time.Duration, o *op) (s *server) {
	primary := o.group.primary
	switch {
	case o.opType.Need == Write && (!primary.usable() || primary.backoff > g.shortWait):
		return g.primaryCandidate(now, o)
	case o.opType.Need == Write || o.opType.Need == Fresh:
		return g.ifRoom(now, primary, o)
	}
	if s = g.nextReplica(now, o, o.requiredPosition(now)); s == nil && g.replicasCheck && !o.declined {
		s = g.mostAdvancedReplica(now, o)
	}
	if s == nil && now >= o.holdEnd {
		s = g.ifRoom(now, primary, o)
	}
	return s
}

func (s *server) usable() bool { return s != nil && s.state == Ready && s.probesNeeded == 0 }

// congestion returns the congestion level of the primaries, or of the replicas, on the server's kind of machine. It is
// kept for all of them together, as a single server may answer too seldom to tell.
func (g *Gateway) congestion(s *server) *float64 {
	if s == s.group.primary {
		return &g.primaryCongestion[s.machineKind]
	}
	return &g.replicaCongestion[s.machineKind]
}

// ifRoom returns the server if it can take the op now, else nil. One that answered the op with an error before
// cannot take it, unless it is the primary.
func (g *Gateway) ifRoom(now time.Duration, s *server, o *op) *server {
	if !s.usable() || now < s.backoffEnd || s == o.firstErrorFrom && s != s.group.primary ||
		float64(s.countOpenSends(now)) >= s.limit ||
		o.admissionDraw > min(s.limit, math.Pow(limitDecrease, *g.congestion(s))) {
		return nil
	}
	return s
}

// estimatedPosition returns a server's position. Servers that check reads are assumed to lag as much as they last did,
// as a wrong estimate does no harm there; else the newest position known counts.
func (g *Gateway) estimatedPosition(now time.Duration, s *server) time.Duration {
	if g.replicasCheck {
		return now - s.lag
	}
	return s.position
}

// nextReplica returns the next replica, by smooth weighted round robin, that has room and has reached minPosition.
// Replicas with overdue answers are chosen only if there is no other.
func (g *Gateway) nextReplica(now time.Duration, o *op, minPosition time.Duration) (best *server) {
	total, overdue := 0.0, true
	for _, s := range o.group.members {
		if s == o.group.primary || g.estimatedPosition(now, s) < minPosition || g.ifRoom(now, s, o) == nil ||
			!overdue && s.overdue(now) {
			continue
		}
		if overdue && !s.overdue(now) {
			best, total, overdue = nil, 0, false
		}
		weight := s.weight * g.capacityShare(now, s)
		if g.weightReduced(s) {
			weight /= rumouredWeightDivisor
		}
		s.credit, total = s.credit+weight, total+weight
		if best == nil || s.credit > best.credit {
			best = s
		}
	}
	if best != nil {
		best.credit -= total
	}
	return best
}

// mostAdvancedReplica returns the replica with room whose estimated position is the newest.
func (g *Gateway) mostAdvancedReplica(now time.Duration, o *op) (best *server) {
	for _, s := range o.group.members {
		if s != o.group.primary && g.ifRoom(now, s, o) != nil &&
			(best == nil || g.estimatedPosition(now, s) > g.estimatedPosition(now, best)) {
			best = s
		}
	}
	return best
}

// primaryCandidate returns the member to try a write at while the primary is unknown or failing, in id order. It never
// uses the op's last send, which is reserved for the primary.
func (g *Gateway) primaryCandidate(now time.Duration, o *op) *server {
	for _, s := range o.group.members {
		if o.sends < g.maxSends-1 && g.ifRoom(now, s, o) != nil && !s.overdue(now) &&
			(s.role != Replica || now-s.roleAsOf > g.shortWait) {
			return s
		}
	}
	return nil
}

// latestAllowedSend returns until when an op may be sent under rule 2: no double effect. An op that may have run is
// sent again only if it is retryable, or if it is tokened and servers still drop repeats. With tokens of zone scope it
// is not sent again at all, as a zone need not hold all servers of a group.
func (g *Gateway) latestAllowedSend(o *op) time.Duration {
	if o.sends < g.maxSends && (o.mayHaveRunAt == never || o.opType.Effect == Retryable) {
		return never
	} else if o.sends < g.maxSends && o.opType.Effect == Tokened && o.opType.Scope != ScopeZone {
		return o.mayHaveRunAt + o.opType.Window - 2*g.tick
	}
	return LongPast
}

// send sends an op to a server if all rules allow it, and returns whether it did. Every send passes through here, and
// each rule on sending is enforced here and nowhere else.
func (g *Gateway) send(now time.Duration, o *op, s *server) bool {
	beginBy, freshEnough := g.latestAllowedSend(o), s == o.group.primary || o.opType.Need == Write || g.replicasCheck
	if !freshEnough && o.opType.Need == Bounded { // rule 5: the bound must still hold when the send begins
		beginBy = min(beginBy, s.position+o.opType.Bound)
	}
	if o.done || o.sentTo != nil || now >= beginBy || // rules 1 and 2: one final answer, no double effect
		s.state != Ready || s.group != o.group || // rule 3: nothing new to a draining or gone server, even in its grace time
		!freshEnough && s.position < o.requiredPosition(now) || // rule 5: no data older than the op type allows
		!g.coldLimitAllows(now, o, s) { // rule 4: a cold server never gets more than its multiple
		return false
	}
	if o.sends > 0 {
		g.host.Decided(Event{Kind: OpRetried, Op: o.id, Server: s.id, Reason: reasonOfResult(o.lastResult)})
	}
	o.sentTo, o.sentAt, o.waitStart, o.mayHaveRunAt = s, now, now, min(o.mayHaveRunAt, now)
	o.sends++
	s.group.openSends++
	s.openSends = append(s.openSends, o)
	g.host.Send(o.id, s.id, beginBy) // it may wait for a connection
	return true
}

// capacityShare returns the least share of its full capacity that a server has at a time of its warm-up.
func (g *Gateway) capacityShare(now time.Duration, s *server) float64 {
	return min(1, g.coldCapacityShare+(1-g.coldCapacityShare)*max(0, float64(now-s.warmUpStart)/float64(g.warmUpTime)))
}

// coldLimitAllows enforces rule 4: a cold server never gets more work than the stated multiple of its present capacity,
// as it would fall over. It reports whether an op may be sent to the server now, and if so counts the op's work.
//
// The capacity is estimated in two ways, of which the greater counts. The first estimate is the work per time that one
// warm server takes, multiplied by the least share of its full capacity that the cold server had one overload time ago.
// The second is the work per time that the server acked recently.
//
// A token bucket limits the work. It fills at the estimated capacity times overloadFactor times coldSafetyFactor, holds
// what accumulates in overloadTime/coldBurstDivisor, and lets an op pass if its level is not below zero. It starts at a
// random level below zero, because the first sends of many gateways together could overload the server.
func (g *Gateway) coldLimitAllows(now time.Duration, o *op, s *server) bool {
	work, share := float64(o.opType.meanAnswerTime()), g.capacityShare(now-g.overloadTime, s)
	if share >= 1 {
		return true
	} else if s.allowanceUpdatedAt < s.warmUpStart {
		s.coldAllowance, s.ackedWork, s.allowanceUpdatedAt = -g.random()*work, 0,
			max(s.warmUpStart, now-g.overloadTime/coldBurstDivisor)
	}
	elapsed, window := float64(now-s.allowanceUpdatedAt), float64(g.overloadTime)
	s.ackedWork *= math.Exp(-elapsed / window)
	rate := max(g.warmRate*share, s.ackedWork/window) * g.overloadFactor * coldSafetyFactor
	s.coldAllowance, s.allowanceUpdatedAt = min(s.coldAllowance+rate*elapsed, rate*window/coldBurstDivisor), now
	if s.coldAllowance >= 0 {
		s.coldAllowance -= work
		return true
	}
	return false
}

// random returns a random number in [0, 1). The same seed and the same events give the same numbers.
func (g *Gateway) random() float64 {
	g.randomDraws++
	b := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, g.seed), g.randomDraws)
	return float64(crc32.ChecksumIEEE(b)) / (1 << 32)
}

// updateRoleAndPosition records what a server stated about itself. asOf is the time of the evidence for its role. A
// primary's position is the present, so it replaces asOf.
func (g *Gateway) updateRoleAndPosition(now time.Duration, s *server, role Role, pos, asOf time.Duration) {
	if pos != LongPast {
		s.position, s.lag = max(s.position, pos), now-max(s.position, pos)
	}
	if role == Primary && pos != LongPast {
		asOf = pos
	}
	if role == RoleUnknown || asOf < s.roleAsOf {
		return
	}
	s.role, s.roleAsOf = role, asOf
	if p := s.group.primary; role == Primary && p != s && (p == nil || asOf >= p.roleAsOf) {
		if s.group.primary = s; p != nil {
			g.host.Withdraw(p.id) // rule 5: sends that have not begun there were meant for a primary
		}
		g.host.Decided(Event{Kind: PrimaryFound, Server: s.id})
	} else if role == Replica && p == s {
		s.group.primary = nil
		g.host.Withdraw(s.id)
	}
}

// Report handles a server's report of its role and position. It is called before the answer that brought the report.
// The position is also the time as of which the report speaks. A report of being a replica counts as of its arrival,
// however, if servers do not check reads themselves: rule 5, no data older than the op type allows, then rests on the
// gateway knowing who is not the primary.
//
// Reports may be seconds old. So the lag is reduced by twice their mean age, as otherwise every replica would look
// stale.
func (g *Gateway) Report(now time.Duration, id uint32, role Role, pos time.Duration) {
	if s := g.servers[id]; s != nil && (pos == LongPast || role == Replica && !g.replicasCheck) {
		g.updateRoleAndPosition(now, s, role, pos, now)
	} else if s != nil {
		if g.updateRoleAndPosition(now, s, role, pos, pos); role == Primary {
			// A primary's position is the present, so the difference is the age of the report.
			g.reportAge += (now - pos - g.reportAge) / averagingSamples
		}
		s.lag = max(0, s.lag-2*g.reportAge)
	}
}

// markLost records that a server does not seem to be running. Members of a group may restart together:
// if two are lost and no member has been heard of since the first, all are assumed to be lost.
func (g *Gateway) markLost(now time.Duration, s *server) {
	firstLost, lastHeard := never, LongPast
	for _, m := range s.group.members {
		firstLost, lastHeard = min(firstLost, m.lostAt), max(lastHeard, m.lastHeardAt)
	}
	if s.lostAt < never {
		return
	} else if s.lostAt = now; lastHeard < firstLost && firstLost < never {
		for _, m := range s.group.members {
			m.lostAt = min(m.lostAt, now)
		}
	}
}

// markAlive records that a server answered what was sent at sentAt. If it had been lost, it has likely restarted: it
// counts as cold until the list, which is late, gives its start, or it has had time to warm up.
func (g *Gateway) markAlive(now time.Duration, s *server, sentAt time.Duration) {
	if s.lostAt < never {
		s.lostAt, s.warmUpStart = never, now
	}
	s.lastHeardAt, s.aliveAsOf = now, max(s.aliveAsOf, sentAt)
}

// assessResult updates what the gateway knows of a server from the result of one send:
//   - An answer of any kind shows that the server runs. A connection that fails at once may show that connections are
//     scarce.
//   - An ack resets the length of the server's backoff. Troubles start a backoff and lengthen it, see backOff.
//   - Acks, refusals of a full server and timeouts change the limit of open sends and the congestion level.
func (g *Gateway) assessResult(now time.Duration, s *server, o *op, result Result, took time.Duration) {
	slow := took > o.opType.Target/queueingDivisor
	switch result {
	case Acked, Declined, ServerFull, ServerError:
		g.markAlive(now, s, o.sentAt)
	case Reset: // a bad network path or a dead process, not a lack of connections
		g.lastResetAt, g.connShortageEnd = now, LongPast
	case NoConnection: // if it came at once and without a recent reset, connections are scarce, so idle ones are closed
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
			g.backOff(now, e, ReasonFailing, false) // a primary that fails some ops is still the only server for writes
		}
	case result == ServerError && o.firstErrorFrom == nil:
		o.firstErrorFrom = s // the fault is the server's or the op's; another server's answer will tell which
	case result == ServerFull:
		g.backOff(now, s, ReasonFull, false)
	case result == NoConnection && g.stalledSince(o.sentAt): // the time to connect may have passed in the stall
	case result == NoConnection, result == Reset:
		// A reset may concern the connection alone, so it does not count here.
		if result == NoConnection && s.backoff > 0 && o.sentAt >= s.aliveAsOf {
			g.markLost(now, s)
		}
		g.backOff(now, s, ReasonUnreachable, false)
	}
	// Only acks, full servers and timeouts show how much a server can take. A send that timed out although a later one
	// was answered may have been lost rather than late, so it shows nothing. Nor does a result that arrives just when a
	// stall of the gateway is noticed, as it is not known how late the answer came.
	noEvidence := result != TimedOut || o.sentAt < s.aliveAsOf
	if result != Acked && result != ServerFull && noEvidence || now == g.stallNoticedAt {
		return
	}
	// An ack that shows queueing reduces the limit, but to no less than 1 and at most once within the time of an
	// answer. An ack that shows none raises a limit of 1 or more.
	if result == Acked {
		o.opType.answerTimes.add(took, o.opType.Target)
		s.ackedWork += float64(o.opType.meanAnswerTime())
		if slow && now-s.limitDecreasedAt > took {
			s.limit, s.limitDecreasedAt = max(s.limit*limitDecrease, min(s.limit, 1)), now
		} else if !slow && s.limit >= 1 {
			s.limit += 1 / (s.limit * g.gatewayCount) // all gateways together allow about one more open send per round
		}
	}
	// A late answer raises the congestion level of the server's kind of machine only if the server's own limit is
	// exactly 1. A greater limit can still be reduced, and one below 1 was reduced by an earlier late answer, so that
	// one bad server does not count for all of its kind. A limit below 1 is the share of ops that may be sent to the
	// server. Each late answer reduces it further and, once it is below the square of limitDecrease, is reported as a
	// trouble unless the server was full. Timely answers bring the limit back to 1.
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

// backOff avoids a server for a backoff that doubles with each trouble since its last ack. At the second trouble, or at
// the first if rumours have reached rumourThreshold, the server is set aside: it is not used until it has answered
// probes. A primary is set aside only if the caller is certain, as writes have no other place. At most half of a group
// is set aside.
//
// The reason is reported as a trouble to the host if this gateway itself has seen it.
func (g *Gateway) backOff(now time.Duration, s *server, reason Reason, certain bool) {
	if trouble := troubleOfReason(reason); trouble != NoTrouble {
		g.reportTrouble(s, trouble)
	}
	if now < s.backoffEnd {
		return
	}
	certain = certain || (s.backoff > 0 || s.rumour >= rumourThreshold) && s != s.group.primary
	s.backoff = min(max(2*s.backoff, g.shortWait/4), maxBackoffWaits*g.shortWait)
	s.backoffEnd = now + s.backoff
	setAside := 1
	for _, m := range s.group.members {
		if m.probesNeeded > 0 && m.backoff > 0 {
			setAside++
		}
	}
	if s.probesNeeded > 0 {
		s.probesNeeded = probesToReturn
	} else if g.mayProbe && certain && 2*setAside <= len(s.group.members) {
		s.probesNeeded, s.nextProbeAt = probesToReturn, s.backoffEnd
		g.host.Decided(Event{Kind: ServerSetAside, Server: s.id, Reason: reason})
	}
}

// reportTrouble tells the host of each symptom that this gateway itself has seen of a server, and once of its end.
func (g *Gateway) reportTrouble(s *server, t Trouble) {
	if s.trouble != t || t != NoTrouble {
		s.trouble = t
		g.host.Trouble(s.id, t)
	}
}

// Rumour handles a change of the weighted number of other gateways that report a server to be in trouble. From
// rumourThreshold on, a rumour spends a probe on the server, lets the first symptom that this gateway sees count as the
// second, reduces the server's weight in the rotation, and repeats a failed request for the list at once.
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

// weightReduced reports whether a replica's weight is reduced for the rumours about it. That needs more of them while
// replicas are congested, and applies to at most a third of the replicas in use, those with the most rumours.
func (g *Gateway) weightReduced(s *server) bool {
	rumoured, inUse := 0, 0
	for _, m := range s.group.members {
		if m.usable() && m != s.group.primary {
			inUse++
			if m.rumour > s.rumour || m.rumour == s.rumour && m.id <= s.id {
				rumoured++
			}
		}
	}
	return s.rumour >= rumourThreshold*(1+*g.congestion(s)) && rumouredReplicasDivisor*rumoured <= inUse
}

// countOpenSends counts the sends that a server presumably still works on. A send that is overdue although the server
// answered a later one is presumed lost.
func (s *server) countOpenSends(now time.Duration) (n int) {
	for _, o := range s.openSends {
		if o.sentAt >= s.aliveAsOf || now-o.waitStart <= overdueFactor*o.opType.meanAnswerTime() {
			n++
		}
	}
	return n
}

// overdue reports whether a server has owed an answer for longer than overdueFactor mean answer times of its op type.
func (s *server) overdue(now time.Duration) bool {
	return slices.ContainsFunc(s.openSends, func(o *op) bool {
		return now-o.waitStart > overdueFactor*o.opType.meanAnswerTime()
	})
}

// silent reports whether a server, and not just one connection, has been quiet for longer than random variation
// explains. It sums the waits since the server was last heard of, in mean answer times, over the sends that no answer
// has overtaken. The sum must exceed minSum and the longest wait overdueFactor.
func (s *server) silent(now time.Duration, minSum float64) bool {
	sum, longestWait := 0.0, 0.0
	for _, o := range s.openSends {
		if o.sentAt >= s.aliveAsOf {
			wait := float64(now-max(o.waitStart, s.lastHeardAt)) / float64(o.opType.meanAnswerTime())
			sum, longestWait = sum+wait, max(longestWait, wait)
		}
	}
	return sum > minSum && longestWait > overdueFactor
}

// cancelLostSends cancels sends that have been out for so long that they must be lost, if there is time to send the op
// again and it may be.
func (g *Gateway) cancelLostSends(now time.Duration, s *server) {
	for _, o := range s.openSends {
		lostAfter := time.Duration(lostFactor*o.sends) * o.opType.meanAnswerTime()
		if g.mayCancel && !o.done && now-o.waitStart > lostAfter && now < min(g.latestUsefulSend(o), g.latestAllowedSend(o)) {
			o.waitStart = now
			g.host.Cancel(o.id, uint8(o.sends-1))
		}
	}
}

// ProbeAnswer handles the end of a probe and is called once for each.
func (g *Gateway) ProbeAnswer(now time.Duration, id uint32, result Result, took time.Duration) {
	g.detectStall(now)
	s := g.servers[id]
	if s == nil {
		return
	}
	defer g.placeHeld(now, s.group)
	if (result == NoConnection || result == TimedOut) && g.stalledSince(now-took) {
		result = NotSent // its time may have passed in the stall
	}
	if result == NoConnection || result == Reset || result == TimedOut {
		g.markLost(now, s)
		g.backOff(now, s, ReasonUnreachable, false)
	} else if result != NotSent { // an error is an answer too, as probes may fail at servers that serve ops
		if s.probesNeeded == 1 && s.backoff > 0 {
			g.host.Decided(Event{Kind: ServerReturned, Server: s.id})
		}
		s.probesNeeded = max(0, s.probesNeeded-1)
		g.markAlive(now, s, now-took)
	}
	s.nextProbeAt = now + max(s.backoff, g.shortWait)
}

// List handles the server list: as the host last cached it, in full, or changes to it, or the failure to get it.
func (g *Gateway) List(now time.Duration, scope ListScope, listed []Listed) {
	if scope == ListFailed {
		// Half of the wait is random, so that gateways that failed together do not ask together.
		g.nextListRequest = now + time.Duration((1+g.random())/2*float64(g.listBackoff))
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

// updateServer updates a server from its entry in the list. The first entry of a server creates it.
func (g *Gateway) updateServer(now time.Duration, l *Listed) {
	s := g.servers[l.ID]
	if s == nil {
		if g.groups[l.Group] == nil {
			g.groups[l.Group] = &group{}
			g.groupOrder = append(g.groupOrder, g.groups[l.Group])
		}
		// listedStart differs from the listed start, so that a new server is handled like a restarted one below. The
		// credit is random and not above zero, so that gateways do not all send their first reads to the same server.
		s = &server{id: l.ID, group: g.groups[l.Group], listedStart: l.Started - 1, position: LongPast, roleAsOf: LongPast,
			lastHeardAt: LongPast, aliveAsOf: LongPast, allowanceUpdatedAt: LongPast,
			credit: g.random() * (1/g.gatewayCount - 1)}
		g.servers[l.ID] = s
		s.group.members = append(s.group.members, s)
		slices.SortFunc(s.group.members, func(a, b *server) int { return cmp.Compare(a.id, b.id) })
	}
	restarted := s.listedStart != l.Started // a new or restarted server: what was known of it no longer holds
	if restarted {
		s.listedStart, s.warmUpStart, s.lostAt = l.Started, l.Started, never
		s.probesNeeded, s.limit = g.initialProbes, max(1, initialLimit/g.gatewayCount)
		g.probeBudget++ // for its first probe
		g.reportTrouble(s, NoTrouble)
	}
	s.state, s.machineKind, s.weight = l.State, l.Kind, cmp.Or(float64(l.Weight), 1)
	if restarted || s.state != Ready {
		// Sends that have not begun were decided on before this was known. They are withdrawn to keep rules 3 (nothing
		// new to a draining or gone server) and 4 (no more work to a cold server than its multiple).
		g.host.Withdraw(s.id)
		if s.group.primary == s {
			s.group.primary = nil
		}
	}
	if l.Primary && s.roleAsOf == LongPast { // the list is late, so what the server itself has said counts more
		g.updateRoleAndPosition(now, s, Primary, LongPast, LongPast)
	}
}

// forgetIfGone drops a server that is gone and has no open send or probe, and reports whether it did.
func (g *Gateway) forgetIfGone(s *server) bool {
	if s.state != Gone || len(s.openSends) > 0 || s.nextProbeAt == never {
		return false
	}
	delete(g.servers, s.id)
	g.host.Forget(s.id)
	return true
}

// Timer handles a timer that the gateway set and that is due. It does the periodic work: list requests, probes, checks
// for silent servers and lost sends, and held ops.
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
	// A full pass over all groups happens once per short wait only, as there may be many.
	allGroups, warmServers := now-g.lastFullPassAt >= g.shortWait, 0.0
	for _, gr := range g.groupOrder {
		if !allGroups && gr.openSends == 0 && len(gr.held) == 0 { // idle groups wait for the next full pass
			continue
		}
		for _, s := range gr.members {
			if s.usable() && g.capacityShare(now-g.overloadTime, s) >= 1 {
				warmServers++
			}
			if s.silent(now, 2*overdueFactor) {
				g.backOff(now, s, ReasonSilence, true)
			} else if s.rumour >= rumourThreshold && s.silent(now, overdueFactor) {
				g.backOff(now, s, ReasonRumouredSilence, true) // no trouble: without the rumour it would not be a symptom yet
			}
			g.cancelLostSends(now, s)
			if s.probesNeeded > 0 {
				g.probe(now, s)
			}
		}
		gr.members = slices.DeleteFunc(gr.members, g.forgetIfGone)
		g.placeHeld(now, gr)
	}
	if allGroups {
		if g.lastFullPassAt = now; warmServers > 0 { // with no warm server left, the rate of the last ones still holds
			g.warmRate = g.warmWork / float64(g.overloadTime) / warmServers
		}
	}
}
