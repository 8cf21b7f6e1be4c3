// Package spread measures how evenly reads lie on the replicas of a fleet. The emulator and the rig on sockets feed it with what
// their servers saw, so that both tell the same figures by the same rule. It sees nothing of what decides.
package spread

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// What the figures are counted over.
const (
	// Busy is how many reads a group is asked for in a second that counts: of fewer, chance alone makes any spread.
	Busy = 8
	// Fresh is how long after a server came, or a gateway started, a second counts for the herd.
	Fresh = 3 * time.Second

	second = time.Second
	scale  = 1000 // ratios are kept in thousandths
)

// Meter counts. It is not safe for use by several goroutines; times never go back.
type Meter struct {
	groups  []group
	servers map[int]*member
	ends    time.Duration // of the second being counted
	begun   bool
	came    time.Duration // when a gateway last started
	home    int64         // reads served by primaries
	spread  int64         // by replicas
	all     *hdrhistogram.Histogram
	herd    *hdrhistogram.Histogram
	idle    int64
	counted int64
	conns   float64
	samples float64
}

type group struct {
	members []*member
	asked   int           // reads in this second
	came    time.Duration // when a member last came
}

// member is one server as a place for reads.
type member struct {
	reads int           // in this second
	fits  bool          // it is a replica that is up, not draining and warm
	since time.Duration // for so long
}

const never = time.Duration(-1 << 62)

// New makes a meter for so many groups.
func New(groups int) *Meter {
	m := &Meter{groups: make([]group, groups), servers: map[int]*member{}, came: never,
		all: hdrhistogram.New(1, 1000*scale, 3), herd: hdrhistogram.New(1, 1000*scale, 3)}
	for i := range m.groups {
		m.groups[i].came = never
	}
	return m
}

// Fit tells, for a server of a group, whether it is a replica that is up, not draining and warm.
func (m *Meter) Fit(now time.Duration, inGroup, server int, fits bool) {
	m.until(now)
	s := m.servers[server]
	if s == nil {
		s = &member{}
		m.servers[server] = s
		m.groups[inGroup].members = append(m.groups[inGroup].members, s)
	}
	if s.fits != fits {
		s.fits, s.since = fits, now
	}
}

// ServerCame tells that a server of a group has started, or has come back.
func (m *Meter) ServerCame(now time.Duration, inGroup int) {
	m.until(now)
	m.groups[inGroup].came = now
}

// GatewayCame tells that a gateway has started.
func (m *Meter) GatewayCame(now time.Duration) {
	m.until(now)
	m.came = now
}

// Asked tells of a read that a replica may serve, at a gateway.
func (m *Meter) Asked(now time.Duration, inGroup int) {
	m.until(now)
	m.groups[inGroup].asked++
}

// Read tells that a server has taken such a read.
func (m *Meter) Read(now time.Duration, server int) {
	m.until(now)
	if s := m.servers[server]; s != nil {
		s.reads++
	}
}

// Served tells that such a read was answered, and whether by a primary.
func (m *Meter) Served(byPrimary bool) {
	if byPrimary {
		m.home++
	} else {
		m.spread++
	}
}

// Connections tells how many connections a server has open; it is called as often for each.
func (m *Meter) Connections(open int) {
	m.conns += float64(open)
	m.samples++
}

// until closes the seconds that have ended.
func (m *Meter) until(now time.Duration) {
	if !m.begun {
		m.begun, m.ends = true, now+second
	}
	for now >= m.ends {
		m.close(m.ends - second)
		m.ends += second
	}
}

// close takes in the second that began then.
func (m *Meter) close(began time.Duration) {
	for i := range m.groups {
		g := &m.groups[i]
		if g.asked >= Busy {
			m.take(g, began)
		}
		g.asked = 0
		for _, s := range g.members {
			s.reads = 0
		}
	}
}

func (m *Meter) take(g *group, began time.Duration) {
	sum, most, n := 0, 0, 0
	for _, s := range g.members {
		if !s.fits || s.since > began {
			continue
		}
		n++
		sum, most = sum+s.reads, max(most, s.reads)
		m.counted++
		if s.reads == 0 {
			m.idle++
		}
	}
	if n < 2 || sum < Busy {
		return // nothing to choose between, or too few went to replicas
	}
	ratio := int64(most) * int64(n) * scale / int64(sum)
	m.all.RecordValue(ratio)
	if began < max(g.came, m.came)+Fresh {
		m.herd.RecordValue(ratio)
	}
}

// Figures are what came of a run.
type Figures struct {
	Offload     float64 // share of the reads served that replicas served
	P50, P99    float64 // the most loaded replica's reads over the mean
	HerdP99     float64 // the same in the first seconds after something came
	Idle        float64 // share of replicas' seconds without a read
	Connections float64 // open at a server, in the mean
	Seconds     int64   // of groups that counted
	HerdSeconds int64
}

// Figures tells what was counted in the seconds that have ended. The one under way is left out.
func (m *Meter) Figures(now time.Duration) Figures {
	m.until(now)
	f := Figures{Seconds: m.all.TotalCount(), HerdSeconds: m.herd.TotalCount(), Offload: 1}
	if all := m.home + m.spread; all > 0 {
		f.Offload = float64(m.spread) / float64(all)
	}
	quantile := func(h *hdrhistogram.Histogram, q float64) float64 {
		if h.TotalCount() == 0 {
			return 1
		}
		return float64(h.ValueAtQuantile(q)) / scale
	}
	f.P50, f.P99, f.HerdP99 = quantile(m.all, 50), quantile(m.all, 99), quantile(m.herd, 99)
	if m.counted > 0 {
		f.Idle = float64(m.idle) / float64(m.counted)
	}
	if m.samples > 0 {
		f.Connections = m.conns / m.samples
	}
	return f
}
