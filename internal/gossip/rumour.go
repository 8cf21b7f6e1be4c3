package gossip

import (
	"slices"
	"time"
)

// entry is a rumour that is held. One that withdraws is held too until it is too old to matter, or what it withdraws could
// come in later by another way.
type entry struct {
	Rumour
	m       *member // its observer; nil where that is this instance
	arrived time.Duration
	aged    time.Duration // its age then
	borne   bool          // this instance has seen the same since
	heldAt  time.Duration // when it was last held against its observer
}

func (e *entry) age(now time.Duration) time.Duration { return e.aged + now - e.arrived }

// server is one that somebody says something about, or that this instance has a symptom of.
type server struct {
	id      uint64
	entries []*entry // in the order in which they came
	weight  float64  // last told to the module
	own     symptom
}

// symptom is this instance's own trouble with a server.
type symptom struct {
	Symptom
	strength uint8
	since    time.Duration
	seenAt   time.Duration // newest evidence
	told     bool
	toldAt   time.Duration
}

// table holds rumours, by observer; by server they hang on the servers.
type table struct {
	byObserver map[string][]*entry
	observers  []string // in the order in which they came
	size       int
}

const (
	futureShare = 4   // part of a rumour's life by which it may seem to come from the future
	enough      = 2.0 // weight of others' word beyond which this instance's own adds nothing
	fewest      = 4   // servers of which one may always find all in trouble
	lowCredit   = 0.1 // whose word is not passed on any more
	hardly      = 0.05
	leastPace   = 4 // rumours that anybody may make in a rumour's life
	holdOff     = 4 // part of a probe round for which a symptom must last to be told
)

// of returns what is held of a server, and makes it where it is not.
func (n *Node) of(id uint64) *server {
	s := n.rumoured[id]
	if s == nil {
		s = &server{id: id}
		n.rumoured[id] = s
		n.serverOrder = append(n.serverOrder, s)
	}
	return s
}

// rumour takes one rumour, from whomever it came.
func (n *Node) rumour(now time.Duration, t *Told) {
	r := &t.Rumour
	m := n.byName[r.Observer]
	if r.Observer == n.set.Name {
		n.counts.RumoursKnown++
		return
	}
	if m == nil || m.key != r.Key || m.run != r.Run || m.state == dead || m.state == left {
		n.counts.RumoursStrange++
		return
	}
	ahead := r.Made - m.clock(now)
	if m.clocked && ahead > n.set.RumourLife/futureShare {
		n.counts.RumoursFuture++
		m.against(now, 1)
		return
	}
	if ahead > 0 {
		m.ahead += ahead // it cannot have been made later than now
	}
	age := max(t.Age, m.clock(now)-r.Made, 0)
	if age > n.set.RumourLife {
		n.counts.RumoursOld++
		return
	}
	s, had := n.rumoured[r.Server], false
	var old *entry
	if s != nil {
		if i := slices.IndexFunc(s.entries, func(e *entry) bool { return e.Observer == r.Observer }); i >= 0 {
			e := s.entries[i]
			if r.Number <= e.Number {
				n.counts.RumoursKnown++
				return
			}
			old = e
			had = e.Symptom != Well
		}
	}
	if !m.paces(now, max(leastPace, float64(n.set.RumoursPerObserver)*m.credit(now)), n.set.RumourLife) {
		n.counts.RumoursDropped++
		return
	}
	if old != nil {
		n.table.remove(n, old)
	}
	e := &entry{Rumour: *r, m: m, arrived: now, aged: age}
	if !n.table.admits(n, now, e) {
		n.counts.RumoursDropped++
		n.settle(now, r.Server)
		return
	}
	n.counts.RumoursTaken++
	s = n.of(r.Server)
	n.table.add(s, e)
	if s.own.Symptom != Well && e.Symptom != Well {
		e.borne = true
		m.credited(now, 0.25) // it tells what is known here already
	}
	// A liar's word goes no further, nor does the withdrawal of what nobody here has heard.
	if m.credit(now) >= lowCredit && (had || e.Symptom != Well) {
		n.spread(now, item{rumour: e})
	}
	n.settle(now, r.Server)
}

// paces tells whether an observer may say one thing more: as many at once as its credit leaves of its share of the table, and
// as many again in the time that a rumour lives. So liars soon take little of what all may send.
func (m *member) paces(now time.Duration, share float64, life time.Duration) bool {
	m.said = max(0, m.said-float64(now-m.saidAt)/float64(life)*share)
	m.saidAt = now
	if m.said+1 > share {
		return false
	}
	m.said++
	return true
}

// admits makes room for a rumour, or says that there is none. A share for each observer, few observers for each server,
// and where the whole table is full the observer with the most in it gives way: whoever is loud displaces himself.
func (t *table) admits(n *Node, now time.Duration, e *entry) bool {
	if mine := t.byObserver[e.Observer]; len(mine) >= n.set.RumoursPerObserver {
		t.remove(n, mine[0])
	}
	if s := n.rumoured[e.Server]; s != nil && e.Symptom != Well {
		var least *entry
		count := 0
		for _, o := range s.entries {
			if o.Symptom != Well && o.m != nil {
				count++
				if least == nil || o.m.credit(now) < least.m.credit(now) {
					least = o
				}
			}
		}
		if count >= n.set.ObserversPerServer {
			if e.m == nil || e.m.credit(now) <= least.m.credit(now)+hardly {
				return e.m == nil
			}
			t.remove(n, least)
		}
	}
	if t.size >= n.set.Rumours {
		most := ""
		for _, name := range t.observers {
			if most == "" || len(t.byObserver[name]) > len(t.byObserver[most]) {
				most = name
			}
		}
		if len(t.byObserver[e.Observer]) >= len(t.byObserver[most]) {
			most = e.Observer
		}
		if len(t.byObserver[most]) == 0 {
			return false
		}
		victim := t.byObserver[most][0]
		t.remove(n, victim)
		n.settle(now, victim.Server)
	}
	return true
}

func (t *table) add(s *server, e *entry) {
	s.entries = append(s.entries, e)
	if len(t.byObserver[e.Observer]) == 0 {
		t.observers = append(t.observers, e.Observer)
	}
	t.byObserver[e.Observer] = append(t.byObserver[e.Observer], e)
	t.size++
}

// remove takes an entry out. Settle follows for its server.
func (t *table) remove(n *Node, e *entry) {
	is := func(o *entry) bool { return o == e }
	t.byObserver[e.Observer] = slices.DeleteFunc(t.byObserver[e.Observer], is)
	if len(t.byObserver[e.Observer]) == 0 {
		delete(t.byObserver, e.Observer)
		t.observers = slices.DeleteFunc(t.observers, func(name string) bool { return name == e.Observer })
	}
	if s := n.rumoured[e.Server]; s != nil {
		s.entries = slices.DeleteFunc(s.entries, is)
	}
	t.size--
	n.unspread(e)
}

// end drops all that a member has said.
func (t *table) end(n *Node, now time.Duration, m *member) {
	for _, e := range slices.Clone(t.byObserver[m.name]) {
		t.remove(n, e)
		n.settle(now, e.Server)
	}
}

// settle weighs what is said of a server anew, tells the module where that has changed, and forgets it where nothing is
// left to hold.
func (n *Node) settle(now time.Duration, id uint64) {
	s := n.rumoured[id]
	if s == nil {
		return
	}
	if w := s.weighed(now); w != s.weight && (w == 0 || w-s.weight > hardly || s.weight-w > hardly) {
		s.weight = w
		n.host.Rumoured(id, w)
	}
	if len(s.entries) == 0 && s.own.Symptom == Well {
		delete(n.rumoured, id)
		n.serverOrder = slices.DeleteFunc(n.serverOrder, func(o *server) bool { return o == s })
	}
}

// weighed is how many others say that a server is in trouble, each counted by its credit.
func (s *server) weighed(now time.Duration) (sum float64) {
	for _, e := range s.entries {
		if e.m != nil && e.Symptom != Well {
			sum += e.m.credit(now) * float64(e.Strength) / 255
		}
	}
	return sum
}

// sweep ends what is too old, and tells or tells again what this instance sees by itself.
func (n *Node) sweep(now time.Duration) {
	for _, s := range slices.Clone(n.serverOrder) {
		for _, e := range slices.Clone(s.entries) {
			if e.age(now) > n.set.RumourLife {
				n.table.remove(n, e)
			}
		}
		if s.own.Symptom != Well {
			n.consider(now, s)
		}
		n.settle(now, s.id)
	}
	if len(n.members) > 0 {
		for _, m := range slices.Clone(n.members) {
			if (m.state == left || m.state == dead) && now-m.since > deadKept*n.set.ProbeEvery && len(n.members) > n.set.Members/2 {
				n.drop(m)
			}
		}
	}
}

// Symptom is called whenever this instance has seen a server in trouble by itself. It must never be called because of what
// others say: rumours do not breed rumours.
func (n *Node) Symptom(now time.Duration, id uint64, what Symptom, strength uint8) {
	n.mind(now)
	if what == Well {
		n.Recovered(now, id)
		return
	}
	s := n.of(id)
	if s.own.Symptom == Well {
		s.own.since = now
		for _, e := range s.entries {
			if e.m != nil && e.Symptom != Well && !e.borne {
				e.borne = true
				e.m.credited(now, 1)
				n.counts.BorneOut++
			}
		}
	}
	s.own.Symptom, s.own.strength, s.own.seenAt = what, strength, now
	n.consider(now, s)
	n.settle(now, id)
	n.plan(now)
}

// Recovered is called when the instance's own trouble with a server has ended.
func (n *Node) Recovered(now time.Duration, id uint64) {
	n.mind(now)
	s := n.rumoured[id]
	if s == nil || s.own.Symptom == Well {
		return
	}
	told := s.own.told
	s.own = symptom{}
	if told {
		n.counts.RumoursWithdrawn++
		n.make(now, s, Well, 0)
	}
	n.settle(now, id)
	n.plan(now)
}

// Acked is called when a server has acked, in time, an op that was sent at a time. That speaks against those who said
// before then that it does not work, by how much they said it does not.
func (n *Node) Acked(now time.Duration, id uint64, sentAt time.Duration) {
	s := n.rumoured[id]
	if s == nil {
		return
	}
	held := false
	for _, e := range s.entries {
		if e.m == nil || e.Symptom == Well || e.arrived > sentAt || e.heldAt > 0 && now-e.heldAt < 2*n.set.ProbeEvery {
			continue
		}
		e.heldAt, held = now, true
		n.counts.Contradicted++
		switch e.Symptom {
		case Silent, Unreachable:
			e.m.against(now, 1)
		default: // a server that fails or delays some ops acks others in time
			e.m.against(now, 0.3)
		}
	}
	if held {
		n.settle(now, id)
	}
}

// consider tells of the instance's own symptom, unless enough others do or it has reason to doubt itself; and tells again
// what is half through its life.
func (n *Node) consider(now time.Duration, s *server) {
	if !n.joined || n.quiet || n.doubt >= mostDoubt/2 {
		return
	}
	switch {
	case now-s.own.since < n.set.ProbeEvery/holdOff: // where ops are many the next answer may end it
		return
	case s.own.told && (now-s.own.toldAt < n.set.RumourLife/2 || s.own.seenAt <= s.own.toldAt): // nothing new to say
		return
	case s.own.toldAt > 0 && now-s.own.toldAt < n.set.ProbeEvery, !s.own.told && now-s.own.seenAt > n.set.RumourLife/2:
		return
	}
	if s.weighed(now) >= enough {
		s.own.told = false // it ends by its age
		return
	}
	if sick := n.sick(); sick > fewest && 2*sick > n.servers {
		return // most of all servers in trouble is most likely a trouble of this instance's own
	}
	n.make(now, s, s.own.Symptom, s.own.strength)
	s.own.told, s.own.toldAt = true, now
}

func (n *Node) sick() (count int) {
	for _, s := range n.serverOrder {
		if s.own.Symptom != Well {
			count++
		}
	}
	return count
}

// make puts a rumour of this instance's own into the table and among the news.
func (n *Node) make(now time.Duration, s *server, what Symptom, strength uint8) {
	if i := slices.IndexFunc(s.entries, func(e *entry) bool { return e.m == nil }); i >= 0 {
		n.table.remove(n, s.entries[i])
	}
	n.lastNumber++
	e := &entry{arrived: now, Rumour: Rumour{Observer: n.set.Name, Key: n.own.Key, Run: n.own.Run, Server: s.id, Symptom: what,
		Strength: strength, Number: n.lastNumber, Made: now}}
	if !n.table.admits(n, now, e) {
		n.counts.RumoursDropped++
		return
	}
	n.counts.RumoursMade++
	n.table.add(s, e)
	n.spread(now, item{rumour: e})
}
