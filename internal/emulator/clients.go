package emulator

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"gorsewell/choice"
)

// request is an op of a client, with all its tries.
type request struct {
	id                uint64
	opType            *opType
	group             *group
	session           uint64
	homeGateway       int           // index of the gateway that the front end prefers for it
	askedAt           time.Duration // time of the first try
	work              float64       // in nanoseconds of a core of speed 1
	patience          float64       // share of the op timeout for which the client waits
	honoursRetryAfter bool          // the client waits as long as a busy reply says
	tryCount          int           // tries so far
	finished          bool
}

// clients simulates all clients: it sends the requests, receives the answers and retries.
type clients struct {
	sim                    *simulation
	rng                    *rand.Rand // draws the requests; nothing that a gateway does changes its sequence
	lastID                 uint64
	openRequests           int
	baseRate               float64                  // requests per second at load factor 1
	cumulativeShares       []float64                // of the op types, for pickWeighted
	cumulativeGroupWeights []float64                // of the groups, for pickWeighted
	recentWrites           [][]recentWrite          // by group, the newest last
	knownCommits           map[uint64]time.Duration // by key (see lastWrite): newest commit that a session knows of
	nextArrival            int                      // index into Load.Arrivals
	firstOpAt              time.Duration
	bursts                 []*Fault // burst faults in effect
}

// recentWrite is a write that a session read may follow, see Clients.Follows.
type recentWrite struct {
	session     uint64
	homeGateway int
	at          time.Duration
}

// newClients returns the clients of a run, which send no request before startLoad.
func newClients(sim *simulation) *clients {
	c := &clients{sim: sim, rng: rand.New(rand.NewPCG(sim.seed, 3)), knownCommits: map[uint64]time.Duration{}}
	sum := 0.0
	for _, t := range sim.opTypes {
		sum += t.Share
		c.cumulativeShares = append(c.cumulativeShares, sum)
	}
	total := 0.0
	for i := range sim.groups {
		total += 1 + sim.world.Load.Skew*(2*draw(sim.seed, 0x5e3, uint64(i))-1)
		c.cumulativeGroupWeights = append(c.cumulativeGroupWeights, total)
	}
	c.baseRate = sim.world.Load.PerSecond
	if c.baseRate == 0 {
		capacity := 0.0
		for _, s := range sim.servers {
			capacity += s.capacity()
		}
		c.baseRate = sim.world.Load.Use * capacity / sim.meanWork.Seconds()
	}
	c.recentWrites = make([][]recentWrite, len(sim.groups))
	return c
}

// loadFactor returns the factor on the load at a time, which counts from the first op.
func (c *clients) loadFactor(now time.Duration) float64 {
	factor := 1.0
	if curve := c.sim.world.Load.Curve; len(curve) > 0 {
		i, _ := slices.BinarySearchFunc(curve, now, func(p Point, at time.Duration) int { return int(p.At - at) })
		switch {
		case i == 0:
			factor = curve[0].Factor
		case i == len(curve):
			factor = curve[i-1].Factor
		default:
			a, b := curve[i-1], curve[i]
			factor = a.Factor + (b.Factor-a.Factor)*float64(now-a.At)/float64(b.At-a.At)
		}
	}
	for _, b := range c.bursts {
		factor *= b.Size
	}
	return factor
}

// startLoad starts the stream of requests at a time.
func (c *clients) startLoad(firstOpAt time.Duration) {
	c.firstOpAt = firstOpAt
	c.sim.at(firstOpAt, c.scheduleNext)
}

// scheduleNext schedules the next request, unless the load has ended by then.
func (c *clients) scheduleNext() {
	load := &c.sim.world.Load
	var gap time.Duration
	if len(load.Arrivals) > 0 {
		if c.nextArrival >= len(load.Arrivals) {
			return
		}
		gap = c.firstOpAt + time.Duration(load.Arrivals[c.nextArrival]*float64(time.Second)) - c.sim.now
		c.nextArrival++
	} else {
		rate := c.baseRate * c.loadFactor(c.sim.now-c.firstOpAt)
		if rate <= 0 {
			c.sim.after(10*time.Millisecond, c.scheduleNext)
			return
		}
		gap = min(time.Second, time.Duration(c.rng.ExpFloat64()/rate*float64(time.Second)))
	}
	at := c.sim.now + gap
	if at >= c.firstOpAt+c.sim.world.Length {
		return
	}
	c.sim.at(at, func() {
		c.newRequest()
		c.scheduleNext()
	})
}

// pickWeighted draws an index by its weight. cumulative holds the sums of the weights up to each index.
func pickWeighted(rng *rand.Rand, cumulative []float64) int {
	x := rng.Float64() * cumulative[len(cumulative)-1]
	i, _ := slices.BinarySearch(cumulative, x)
	return min(i, len(cumulative)-1)
}

// newRequest draws a request and sends its first try.
func (c *clients) newRequest() {
	world := &c.sim.world
	opType := c.sim.opTypes[pickWeighted(c.rng, c.cumulativeShares)]
	group := pickWeighted(c.rng, c.cumulativeGroupWeights)
	count := max(1, world.Clients.Sessions) * world.Gateways.Count
	session := uint64(c.rng.IntN(count)) + 1
	homeGateway := int(session) % world.Gateways.Count
	c.lastID++
	req := &request{id: c.lastID, opType: opType, group: c.sim.groups[group], session: session, homeGateway: homeGateway,
		askedAt: c.sim.now, tryCount: 0}
	follows, gap, roams, patience, honours :=
		c.rng.Float64(), c.rng.Float64(), c.rng.Float64(), c.rng.Float64(), c.rng.Float64()
	if opType.need == choice.Session && follows < world.Clients.Follows {
		// The read follows the write whose age is nearest to a random gap.
		wanted := time.Duration(exponential(gap) * float64(world.Clients.Gap))
		best := -1
		for i, r := range c.recentWrites[group] {
			if d := abs(c.sim.now - r.at - wanted); best < 0 || d < abs(c.sim.now-c.recentWrites[group][best].at-wanted) {
				best = i
			}
		}
		if best >= 0 {
			req.session, req.homeGateway = c.recentWrites[group][best].session, c.recentWrites[group][best].homeGateway
		}
	}
	if opType.need == choice.Write {
		if len(c.recentWrites[group]) >= 32 {
			c.recentWrites[group] = append(c.recentWrites[group][:0], c.recentWrites[group][16:]...)
		}
		c.recentWrites[group] = append(c.recentWrites[group], recentWrite{req.session, req.homeGateway, c.sim.now})
	}
	if roams < world.Clients.Roam {
		req.homeGateway = int(roams / world.Clients.Roam * float64(world.Gateways.Count))
	}
	// Most clients wait for most of the op timeout.
	req.patience = world.Clients.Patience + (1-world.Clients.Patience)*math.Sqrt(patience)
	req.honoursRetryAfter = honours < world.Clients.Honour
	req.work = float64(opType.Work) * lognormal(c.rng.Float64(), opType.Vary)
	if opType.Exp {
		req.work = float64(opType.Work) * c.rng.ExpFloat64()
	}
	c.openRequests++
	c.sim.result.opAsked(req)
	c.try(req)
}

func abs(d time.Duration) time.Duration { return max(d, -d) }

// try sends one try of a request to a gateway.
func (c *clients) try(req *request) {
	g := c.chooseGateway(req)
	sentAt, tryNumber := c.sim.now, req.tryCount
	req.tryCount++
	clientLeavesAt := sentAt + time.Duration(req.patience*float64(req.opType.Timeout))
	delay := c.sim.withJitter(c.sim.world.Network.Client)
	c.sim.after(delay, func() {
		if g.down {
			c.sim.after(delay, func() { c.retry(req, 0, true) })
			return
		}
		g.runIfAlive(g.generation, func() {
			minPosition, writeAge := c.lastWrite(g, req)
			g.accept(req, tryNumber, sentAt, max(clientLeavesAt, c.sim.now), minPosition, writeAge)
		})
		// A paused gateway reads the request after the pause. If it crashes instead, the client retries.
		if c.sim.now < g.pausedUntil {
			generation := g.generation
			c.sim.at(clientLeavesAt, func() {
				if g.generation != generation {
					c.retry(req, 0, true)
				}
			})
		}
	})
}

// lastWrite returns the position that a session's read must see, which is that of the session's last known write, and
// the age of that write. With Reports.Carried the client carries this age to any gateway, and the key in knownCommits
// is the session. Otherwise a gateway only knows of the writes that it has acked itself since its start, so the key
// includes the gateway and its generation.
func (c *clients) lastWrite(g *gateway, req *request) (minPosition, writeAge time.Duration) {
	if req.opType.need != choice.Session {
		return choice.LongPast, 0
	}
	key := req.session
	if !c.sim.world.Reports.Carried {
		key = req.session<<20 | uint64(g.index)<<8 | uint64(g.generation&0xff)
	}
	at, ok := c.knownCommits[key]
	if !ok {
		return choice.LongPast, 0
	}
	return at, max(1, c.sim.now-at)
}

// chooseGateway returns the home gateway of a request, or another one if the front end has noticed that it is down.
func (c *clients) chooseGateway(req *request) *gateway {
	all := c.sim.gateways
	for i := range all {
		g := all[(req.homeGateway+i)%len(all)]
		if !g.down || c.sim.now-g.downAt < c.sim.world.Gateways.FrontKnows {
			return g
		}
	}
	return all[req.homeGateway]
}

// acked delivers an ack to its client.
func (c *clients) acked(op *gatewayOp, a *attempt) {
	req := op.request
	if a.opType.need == choice.Write {
		at, session := a.committedAt, req.session
		key := session
		if !c.sim.world.Reports.Carried {
			key = session<<20 | uint64(op.gateway.index)<<8 | uint64(op.gateway.generation&0xff)
			c.knownCommits[key] = max(c.knownCommits[key], at)
		} else {
			c.sim.after(c.sim.world.Network.Client, func() { c.knownCommits[key] = max(c.knownCommits[key], at) })
		}
	}
	c.sim.after(c.sim.withJitter(c.sim.world.Network.Client), func() {
		if req.finished {
			return
		}
		tooLate := c.sim.now > op.clientLeavesAt+2*c.sim.world.Network.Client
		c.sim.result.opAcked(req, c.sim.now-req.askedAt, tooLate)
		c.finish(req)
	})
}

// busyReplied delivers a busy reply to its client, which may try again.
func (c *clients) busyReplied(op *gatewayOp, retryAfter time.Duration) {
	req := op.request
	c.sim.result.Busy++
	c.sim.after(c.sim.world.Network.Client, func() {
		wait := time.Duration(0)
		if req.honoursRetryAfter {
			wait = min(retryAfter, c.sim.world.Gateways.ComeBack)
		}
		c.retry(req, wait, true)
	})
}

// errored delivers an error to its client, which retries only if mayRepeat.
func (c *clients) errored(op *gatewayOp) {
	req := op.request
	c.sim.result.Errored++
	c.sim.after(c.sim.world.Network.Client, func() { c.retry(req, 0, c.mayRepeat(req)) })
}

// gatewayLost lets a client notice that the gateway that held its op has crashed. It retries only if mayRepeat.
func (c *clients) gatewayLost(op *gatewayOp) {
	req := op.request
	c.sim.after(c.sim.world.Network.Client, func() { c.retry(req, 0, c.mayRepeat(req)) })
}

// mayRepeat reports whether a client may repeat a request that may have run.
func (c *clients) mayRepeat(req *request) bool {
	return req.opType.config.Effect == choice.Retryable ||
		req.opType.config.Effect == choice.Tokened && req.opType.config.Scope == choice.ScopeAll
}

// retry tries a request again after wait and the backoff, or gives it up if repeating it is not harmless or the client
// has no retries left.
func (c *clients) retry(req *request, wait time.Duration, harmless bool) {
	if req.finished {
		return
	}
	if !harmless || req.tryCount > c.sim.world.Clients.Retries {
		c.sim.result.opFailed(req)
		c.finish(req)
		return
	}
	c.sim.result.Retries++
	c.sim.after(wait+c.sim.world.Clients.Backoff, func() {
		if !req.finished {
			c.try(req)
		}
	})
}

// finish ends a request, which ignores later answers.
func (c *clients) finish(req *request) {
	req.finished = true
	c.openRequests--
}
