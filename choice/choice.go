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

	// holdMarginTicks is how many ticks before the last useful send a held read goes to the primary.
	holdMarginTicks = 2

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

	// maxUnbegunSends is how many sends of an op may end as ClientUnknown.
	maxUnbegunSends = 64

	// maxExpectedRetries is the number of unanswered ops kept to recognize their retries. The oldest is dropped first.
	maxExpectedRetries = 4096
)

// opType is an op type of the deployment with what the gateway has observed of it.
type opType struct {
	OpType
	answerTimes    histogram     // with the latency target as unit
	lastArrival    time.Duration // when the newest op of the type came in
	meanArrivalGap time.Duration // mean time between two ops of the type
	tries          tries
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
	clientSeenAt    time.Duration // when its client was last known to be there
	unbegunSends    int           // number of those that ended as ClientUnknown
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
	isRetry         bool          // its client has tried it before
	tried           bool          // its open send is a try, see tries
	declined        bool          // a server declined it for its role or its position
	clientUnknown   bool          // it waits until its client is known to be there
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
	cachedListTime    time.Duration // how long the cached list is used, see Deployment
	cachedListEnd     time.Duration // when its use ends, or never
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
		cachedListTime: d.CachedListTime, cachedListEnd: never,
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

// random returns a random number in [0, 1). The same seed and the same events give the same numbers.
func (g *Gateway) random() float64 {
	g.randomDraws++
	b := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, g.seed), g.randomDraws)
	return float64(crc32.ChecksumIEEE(b)) / (1 << 32)
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
