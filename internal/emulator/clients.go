package emulator

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"gorsewell/choice"
)

// request is what a client wants, with all its tries.
type request struct {
	id                uint64
	opType            *opType
	group             *group
	session           uint64
	homeGateway       int // the gateway that the front would take
	askedAt           time.Duration
	work              float64 // nanoseconds of a core of speed 1
	patience          float64 // share of the op timeout for which its client waits
	honoursRetryAfter bool    // comes back when it is told to
	tryCount          int
	finished          bool
}

// clients asks, and keeps what it is answered.
type clients struct {
	sim                    *simulation
	rng                    *rand.Rand // draws what is asked; nothing that a gateway does changes its course
	lastID                 uint64
	openRequests           int
	baseRate               float64 // ops a second where the curve's factor is 1
	cumulativeShares       []float64
	cumulativeGroupWeights []float64 // of groups, added up
	recentWrites           [][]recentWrite
	knownCommits           map[uint64]time.Duration // by session: the newest commit that its client knows of
	nextArrival            int
	firstOpAt              time.Duration
	bursts                 []*Fault
}

type recentWrite struct {
	session     uint64
	homeGateway int
	at          time.Duration
}

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

// factor is the load's at a time.
func (c *clients) loadFactor(now time.Duration) float64 {
	f := 1.0
	if curve := c.sim.world.Load.Curve; len(curve) > 0 {
		i, _ := slices.BinarySearchFunc(curve, now, func(p Point, at time.Duration) int { return int(p.At - at) })
		switch {
		case i == 0:
			f = curve[0].Factor
		case i == len(curve):
			f = curve[i-1].Factor
		default:
			a, b := curve[i-1], curve[i]
			f = a.Factor + (b.Factor-a.Factor)*float64(now-a.At)/float64(b.At-a.At)
		}
	}
	for _, b := range c.bursts {
		f *= b.Size
	}
	return f
}

// begin lets ops come in from a time on.
func (c *clients) startLoad(start time.Duration) {
	c.firstOpAt = start
	c.sim.at(start, c.scheduleNext)
}

// next lets an op come in, after the one before.
func (c *clients) scheduleNext() {
	l := &c.sim.world.Load
	var gap time.Duration
	if len(l.Arrivals) > 0 {
		if c.nextArrival >= len(l.Arrivals) {
			return
		}
		gap = c.firstOpAt + time.Duration(l.Arrivals[c.nextArrival]*float64(time.Second)) - c.sim.now
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

func pickWeighted(rng *rand.Rand, added []float64) int {
	x := rng.Float64() * added[len(added)-1]
	i, _ := slices.BinarySearch(added, x)
	return min(i, len(added)-1)
}

// ask draws an op and has it sent.
func (c *clients) newRequest() {
	w := &c.sim.world
	t := c.sim.opTypes[pickWeighted(c.rng, c.cumulativeShares)]
	g := pickWeighted(c.rng, c.cumulativeGroupWeights)
	count := max(1, w.Clients.Sessions) * w.Gateways.Count
	session := uint64(c.rng.IntN(count)) + 1
	home := int(session) % w.Gateways.Count
	c.lastID++
	q := &request{id: c.lastID, opType: t, group: c.sim.groups[g], session: session, homeGateway: home, askedAt: c.sim.now, tryCount: 0}
	u1, u2, u3, u4, u5 := c.rng.Float64(), c.rng.Float64(), c.rng.Float64(), c.rng.Float64(), c.rng.Float64()
	if t.need == choice.Session && u1 < w.Clients.Follows {
		// Soon after a write: the one whose age is nearest to a gap drawn by chance.
		wanted := time.Duration(exponential(u2) * float64(w.Clients.Gap))
		best := -1
		for i, r := range c.recentWrites[g] {
			if d := abs(c.sim.now - r.at - wanted); best < 0 || d < abs(c.sim.now-c.recentWrites[g][best].at-wanted) {
				best = i
			}
		}
		if best >= 0 {
			q.session, q.homeGateway = c.recentWrites[g][best].session, c.recentWrites[g][best].homeGateway
		}
	}
	if t.need == choice.Write {
		if len(c.recentWrites[g]) >= 32 {
			c.recentWrites[g] = append(c.recentWrites[g][:0], c.recentWrites[g][16:]...)
		}
		c.recentWrites[g] = append(c.recentWrites[g], recentWrite{q.session, q.homeGateway, c.sim.now})
	}
	if u3 < w.Clients.Roam {
		q.homeGateway = int(u3 / w.Clients.Roam * float64(w.Gateways.Count))
	}
	q.patience = w.Clients.Patience + (1-w.Clients.Patience)*math.Sqrt(u4) // most wait for most of their time
	q.honoursRetryAfter = u5 < w.Clients.Honour
	q.work = float64(t.Work) * lognormal(c.rng.Float64(), t.Vary)
	if t.Exp {
		q.work = float64(t.Work) * c.rng.ExpFloat64()
	}
	c.openRequests++
	c.sim.result.opAsked(q)
	c.try(q)
}

func abs(d time.Duration) time.Duration { return max(d, -d) }

// try sends a request to a gateway.
func (c *clients) try(q *request) {
	g := c.chooseGateway(q)
	sentAt, tryNo := c.sim.now, q.tryCount
	q.tryCount++
	due := sentAt + time.Duration(q.patience*float64(q.opType.Timeout))
	way := c.sim.withJitter(c.sim.world.Network.Client)
	c.sim.after(way, func() {
		if g.down {
			c.sim.after(way, func() { c.retry(q, 0, true) })
			return
		}
		g.runIfAlive(g.generation, func() {
			mark, ago := c.lastWrite(g, q)
			g.accept(q, tryNo, sentAt, max(due, c.sim.now), mark, ago)
		})
		if c.sim.now < g.pausedUntil { // it will be read when the gateway goes on; its client may have left by then
			life := g.generation
			c.sim.at(due, func() {
				if g.generation != life {
					c.retry(q, 0, true)
				}
			})
		}
	})
}

// mark is what a session's read must see, and how long ago that was.
func (c *clients) lastWrite(g *gateway, q *request) (mark, ago time.Duration) {
	if q.opType.need != choice.Session {
		return choice.LongPast, 0
	}
	key := q.session
	if !c.sim.world.Reports.Carried {
		key = q.session<<20 | uint64(g.index)<<8 | uint64(g.generation&0xff)
	}
	at, ok := c.knownCommits[key]
	if !ok {
		return choice.LongPast, 0
	}
	return at, max(1, c.sim.now-at)
}

// front picks the instance: the one that is a client's own, or another once the front has noticed that it is dead.
func (c *clients) chooseGateway(q *request) *gateway {
	all := c.sim.gateways
	for i := range all {
		g := all[(q.homeGateway+i)%len(all)]
		if !g.down || c.sim.now-g.downAt < c.sim.world.Gateways.FrontKnows {
			return g
		}
	}
	return all[q.homeGateway]
}

// acked takes the answer to its client.
func (c *clients) acked(t *gatewayOp, a *attempt) {
	q := t.request
	if a.opType.need == choice.Write {
		at, session := a.committedAt, q.session
		key := session
		if !c.sim.world.Reports.Carried {
			key = session<<20 | uint64(t.gateway.index)<<8 | uint64(t.gateway.generation&0xff)
			c.knownCommits[key] = max(c.knownCommits[key], at)
		} else {
			c.sim.after(c.sim.world.Network.Client, func() { c.knownCommits[key] = max(c.knownCommits[key], at) })
		}
	}
	c.sim.after(c.sim.withJitter(c.sim.world.Network.Client), func() {
		if q.finished {
			return
		}
		late := c.sim.now > t.clientLeavesAt+2*c.sim.world.Network.Client
		c.sim.result.opAcked(q, c.sim.now-q.askedAt, late)
		c.finish(q)
	})
}

// busy takes a busy reply to its client, who may come back.
func (c *clients) busyReplied(t *gatewayOp, comeBack time.Duration) {
	q := t.request
	c.sim.result.Busy++
	c.sim.after(c.sim.world.Network.Client, func() {
		wait := time.Duration(0)
		if q.honoursRetryAfter {
			wait = min(comeBack, c.sim.world.Gateways.ComeBack)
		}
		c.retry(q, wait, true)
	})
}

// errored takes an error to its client, who repeats only what may run again.
func (c *clients) errored(t *gatewayOp) {
	q := t.request
	c.sim.result.Errored++
	c.sim.after(c.sim.world.Network.Client, func() { c.retry(q, 0, c.mayRepeat(q)) })
}

// lost tells a client that its gateway has died under its op.
func (c *clients) gatewayLost(t *gatewayOp) {
	q := t.request
	c.sim.after(c.sim.world.Network.Client, func() { c.retry(q, 0, c.mayRepeat(q)) })
}

func (c *clients) mayRepeat(q *request) bool {
	return q.opType.config.Effect == choice.Retryable || q.opType.config.Effect == choice.Tokened && q.opType.config.Scope == choice.ScopeAll
}

// again tries once more, if the client does.
func (c *clients) retry(q *request, wait time.Duration, harmless bool) {
	if q.finished {
		return
	}
	if !harmless || q.tryCount > c.sim.world.Clients.Retries {
		c.sim.result.opFailed(q)
		c.finish(q)
		return
	}
	c.sim.result.Retries++
	c.sim.after(wait+c.sim.world.Clients.Backoff, func() {
		if !q.finished {
			c.try(q)
		}
	})
}

func (c *clients) finish(q *request) {
	q.finished = true
	c.openRequests--
}
