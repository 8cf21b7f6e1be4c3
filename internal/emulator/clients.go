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
	id       uint64
	t        *opType
	group    *group
	session  uint64
	home     int // the gateway that the front would take
	at       time.Duration
	work     float64 // nanoseconds of a core of speed 1
	patience float64 // share of the op timeout for which its client waits
	honours  bool    // comes back when it is told to
	tries    int
	over     bool
}

// clients asks, and keeps what it is answered.
type clients struct {
	w        *run
	rng      *rand.Rand // draws what is asked; nothing that a gateway does changes its course
	lastID   uint64
	open     int
	rate     float64 // ops a second where the curve's factor is 1
	shares   []float64
	weights  []float64 // of groups, added up
	writes   [][]recent
	marks    map[uint64]time.Duration // by session: the newest commit that its client knows of
	arrival  int
	start    time.Duration
	bursts   []*Fault
	perHome  int
	homeless int
}

type recent struct {
	session uint64
	home    int
	at      time.Duration
}

func newClients(r *run) *clients {
	c := &clients{w: r, rng: rand.New(rand.NewPCG(r.seed, 3)), marks: map[uint64]time.Duration{}}
	sum := 0.0
	for _, t := range r.types {
		sum += t.Share
		c.shares = append(c.shares, sum)
	}
	total := 0.0
	for i := range r.groups {
		total += 1 + r.world.Load.Skew*(2*draw(r.seed, 0x5e3, uint64(i))-1)
		c.weights = append(c.weights, total)
	}
	c.rate = r.world.Load.PerSecond
	if c.rate == 0 {
		capacity := 0.0
		for _, s := range r.servers {
			capacity += s.capacity()
		}
		c.rate = r.world.Load.Use * capacity / r.meanWork.Seconds()
	}
	c.writes = make([][]recent, len(r.groups))
	return c
}

// factor is the load's at a time.
func (c *clients) factor(now time.Duration) float64 {
	f := 1.0
	if curve := c.w.world.Load.Curve; len(curve) > 0 {
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
func (c *clients) begin(start time.Duration) {
	c.start = start
	c.w.at(start, c.next)
}

// next lets an op come in, after the one before.
func (c *clients) next() {
	l := &c.w.world.Load
	var gap time.Duration
	if len(l.Arrivals) > 0 {
		if c.arrival >= len(l.Arrivals) {
			return
		}
		gap = c.start + time.Duration(l.Arrivals[c.arrival]*float64(time.Second)) - c.w.now
		c.arrival++
	} else {
		rate := c.rate * c.factor(c.w.now-c.start)
		if rate <= 0 {
			c.w.after(10*time.Millisecond, c.next)
			return
		}
		gap = min(time.Second, time.Duration(c.rng.ExpFloat64()/rate*float64(time.Second)))
	}
	at := c.w.now + gap
	if at >= c.start+c.w.world.Length {
		return
	}
	c.w.at(at, func() {
		c.ask()
		c.next()
	})
}

func pick(rng *rand.Rand, added []float64) int {
	x := rng.Float64() * added[len(added)-1]
	i, _ := slices.BinarySearch(added, x)
	return min(i, len(added)-1)
}

// ask draws an op and has it sent.
func (c *clients) ask() {
	w := &c.w.world
	t := c.w.types[pick(c.rng, c.shares)]
	g := pick(c.rng, c.weights)
	count := max(1, w.Clients.Sessions) * w.Gateways.Count
	session := uint64(c.rng.IntN(count)) + 1
	home := int(session) % w.Gateways.Count
	c.lastID++
	q := &request{id: c.lastID, t: t, group: c.w.groups[g], session: session, home: home, at: c.w.now, tries: 0}
	u1, u2, u3, u4, u5 := c.rng.Float64(), c.rng.Float64(), c.rng.Float64(), c.rng.Float64(), c.rng.Float64()
	if t.need == choice.Session && u1 < w.Clients.Follows {
		// Soon after a write: the one whose age is nearest to a gap drawn by chance.
		wanted := time.Duration(exponential(u2) * float64(w.Clients.Gap))
		best := -1
		for i, r := range c.writes[g] {
			if d := abs(c.w.now - r.at - wanted); best < 0 || d < abs(c.w.now-c.writes[g][best].at-wanted) {
				best = i
			}
		}
		if best >= 0 {
			q.session, q.home = c.writes[g][best].session, c.writes[g][best].home
		}
	}
	if t.need == choice.Write {
		if len(c.writes[g]) >= 32 {
			c.writes[g] = append(c.writes[g][:0], c.writes[g][16:]...)
		}
		c.writes[g] = append(c.writes[g], recent{q.session, q.home, c.w.now})
	}
	if u3 < w.Clients.Roam {
		q.home = int(u3 / w.Clients.Roam * float64(w.Gateways.Count))
	}
	q.patience = w.Clients.Patience + (1-w.Clients.Patience)*math.Sqrt(u4) // most wait for most of their time
	q.honours = u5 < w.Clients.Honour
	q.work = float64(t.Work) * lognormal(c.rng.Float64(), t.Vary)
	if t.Exp {
		q.work = float64(t.Work) * c.rng.ExpFloat64()
	}
	c.open++
	c.w.result.asked(q)
	c.try(q)
}

func abs(d time.Duration) time.Duration { return max(d, -d) }

// try sends a request to a gateway.
func (c *clients) try(q *request) {
	g := c.front(q)
	sentAt, tryNo := c.w.now, q.tries
	q.tries++
	due := sentAt + time.Duration(q.patience*float64(q.t.Timeout))
	way := c.w.jittered(c.w.world.Network.Client)
	c.w.after(way, func() {
		if g.down {
			c.w.after(way, func() { c.again(q, 0, true) })
			return
		}
		g.do(g.life, func() {
			mark, ago := c.mark(g, q)
			g.take(q, tryNo, sentAt, max(due, c.w.now), mark, ago)
		})
		if c.w.now < g.until { // it will be read when the gateway goes on; its client may have left by then
			life := g.life
			c.w.at(due, func() {
				if g.life != life {
					c.again(q, 0, true)
				}
			})
		}
	})
}

// mark is what a session's read must see, and how long ago that was.
func (c *clients) mark(g *gateway, q *request) (mark, ago time.Duration) {
	if q.t.need != choice.Session {
		return choice.LongPast, 0
	}
	key := q.session
	if !c.w.world.Reports.Carried {
		key = q.session<<20 | uint64(g.index)<<8 | uint64(g.life&0xff)
	}
	at, ok := c.marks[key]
	if !ok {
		return choice.LongPast, 0
	}
	return at, max(1, c.w.now-at)
}

// front picks the instance: the one that is a client's own, or another once the front has noticed that it is dead.
func (c *clients) front(q *request) *gateway {
	all := c.w.gateways
	for i := range all {
		g := all[(q.home+i)%len(all)]
		if !g.down || c.w.now-g.downAt < c.w.world.Gateways.FrontKnows {
			return g
		}
	}
	return all[q.home]
}

// acked takes the answer to its client.
func (c *clients) acked(t *trial, a *attempt) {
	q := t.req
	if a.t.need == choice.Write {
		at, session := a.committed, q.session
		key := session
		if !c.w.world.Reports.Carried {
			key = session<<20 | uint64(t.gw.index)<<8 | uint64(t.gw.life&0xff)
			c.marks[key] = max(c.marks[key], at)
		} else {
			c.w.after(c.w.world.Network.Client, func() { c.marks[key] = max(c.marks[key], at) })
		}
	}
	c.w.after(c.w.jittered(c.w.world.Network.Client), func() {
		if q.over {
			return
		}
		late := c.w.now > t.due+2*c.w.world.Network.Client
		c.w.result.acked(q, c.w.now-q.at, late)
		c.finish(q)
	})
}

// busy takes a busy reply to its client, who may come back.
func (c *clients) busy(t *trial, comeBack time.Duration) {
	q := t.req
	c.w.result.Busy++
	c.w.after(c.w.world.Network.Client, func() {
		wait := time.Duration(0)
		if q.honours {
			wait = min(comeBack, c.w.world.Gateways.ComeBack)
		}
		c.again(q, wait, true)
	})
}

// errored takes an error to its client, who repeats only what may run again.
func (c *clients) errored(t *trial) {
	q := t.req
	c.w.result.Errored++
	c.w.after(c.w.world.Network.Client, func() { c.again(q, 0, c.repeatable(q)) })
}

// lost tells a client that its gateway has died under its op.
func (c *clients) lost(t *trial) {
	q := t.req
	c.w.after(c.w.world.Network.Client, func() { c.again(q, 0, c.repeatable(q)) })
}

func (c *clients) repeatable(q *request) bool {
	return q.t.told.Effect == choice.Retryable || q.t.told.Effect == choice.Tokened && q.t.told.Scope == choice.ScopeAll
}

// again tries once more, if the client does.
func (c *clients) again(q *request, wait time.Duration, harmless bool) {
	if q.over {
		return
	}
	if !harmless || q.tries > c.w.world.Clients.Retries {
		c.w.result.failed(q)
		c.finish(q)
		return
	}
	c.w.result.Retries++
	c.w.after(wait+c.w.world.Clients.Backoff, func() {
		if !q.over {
			c.try(q)
		}
	})
}

func (c *clients) finish(q *request) {
	q.over = true
	c.open--
}
