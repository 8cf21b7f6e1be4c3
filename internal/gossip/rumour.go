package gossip

import (
	"slices"
	"time"
)

// entry is a rumour that is held. One that withdraws is held too until it is too old to matter, or what it withdraws could
// come in later by another way.
type entry struct {
	Rumour
	observer       *member // its observer; nil where that is this instance
	arrivedAt      time.Duration
	ageOnArrival   time.Duration // its age then
	confirmed      bool          // this instance has seen the same since
	contradictedAt time.Duration // when it was last held against its observer
}

func (e *entry) age(now time.Duration) time.Duration { return e.ageOnArrival + now - e.arrivedAt }

// server is one that somebody says something about, or that this instance has a symptom of.
type server struct {
	id      uint64
	entries []*entry // in the order in which they came
	weight  float64  // last told to the module
	own     ownSymptom
}

// symptom is this instance's own trouble with a server.
type ownSymptom struct {
	Symptom
	strength    uint8
	since       time.Duration
	lastSeenAt  time.Duration // newest evidence
	announced   bool
	announcedAt time.Duration
}

// table holds rumours, by observer; by server they hang on the servers.
type rumourTable struct {
	byObserver map[string][]*entry
	observers  []string // in the order in which they came
	size       int
}

const (
	futureToleranceDivisor = 4   // part of a rumour's life by which it may seem to come from the future
	sufficientWeight       = 2.0 // weight of others' word beyond which this instance's own adds nothing
	alwaysPlausibleServers = 4   // servers of which one may always find all in trouble
	minRelayCredit         = 0.1 // whose word is not passed on any more
	minDifference          = 0.05
	minRumourShare         = 4 // rumours that anybody may make in a rumour's life
	symptomDelayDivisor    = 4 // part of a probe round for which a symptom must last to be told
)

// serverFor returns what is held serverFor a server, and makes it where it is not.
func (n *Node) serverFor(id uint64) *server {
	s := n.serversByID[id]
	if s == nil {
		s = &server{id: id}
		n.serversByID[id] = s
		n.serverOrder = append(n.serverOrder, s)
	}
	return s
}

// handleRumour takes one handleRumour, from whomever it came.
func (n *Node) handleRumour(now time.Duration, t *Told) {
	r := &t.Rumour
	m := n.byName[r.Observer]
	if r.Observer == n.config.Name {
		n.counts.RumoursKnown++
		return
	}
	if m == nil || m.key != r.Key || m.run != r.Run || m.state == dead || m.state == left {
		n.counts.RumoursStrange++
		return
	}
	ahead := r.Made - m.clock(now)
	if m.clockKnown && ahead > n.config.RumourLife/futureToleranceDivisor {
		n.counts.RumoursFuture++
		m.addContradicted(now, 1)
		return
	}
	if ahead > 0 {
		m.clockOffset += ahead // it cannot have been made later than now
	}
	age := max(t.Age, m.clock(now)-r.Made, 0)
	if age > n.config.RumourLife {
		n.counts.RumoursOld++
		return
	}
	s, had := n.serversByID[r.Server], false
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
	if !m.allowRumour(now, max(minRumourShare, float64(n.config.RumoursPerObserver)*m.credit(now)), n.config.RumourLife) {
		n.counts.RumoursDropped++
		return
	}
	if old != nil {
		n.rumours.remove(n, old)
	}
	e := &entry{Rumour: *r, observer: m, arrivedAt: now, ageOnArrival: age}
	if !n.rumours.makeRoom(n, now, e) {
		n.counts.RumoursDropped++
		n.updateWeight(now, r.Server)
		return
	}
	n.counts.RumoursTaken++
	s = n.serverFor(r.Server)
	n.rumours.add(s, e)
	if s.own.Symptom != Well && e.Symptom != Well {
		e.confirmed = true
		m.addConfirmed(now, 0.25) // it tells what is known here already
	}
	// A liar's word goes no further, nor does the withdrawal of what nobody here has heard.
	if m.credit(now) >= minRelayCredit && (had || e.Symptom != Well) {
		n.queueUpdate(now, update{rumour: e})
	}
	n.updateWeight(now, r.Server)
}

// allowRumour tells whether an observer may say one thing more: as many at once as its credit leaves of its share of the table, and
// as many again in the time that a rumour lives. So liars soon take little of what all may send.
func (m *member) allowRumour(now time.Duration, share float64, life time.Duration) bool {
	m.rumourLevel = max(0, m.rumourLevel-float64(now-m.rumourLevelAt)/float64(life)*share)
	m.rumourLevelAt = now
	if m.rumourLevel+1 > share {
		return false
	}
	m.rumourLevel++
	return true
}

// makeRoom makes room for a rumour, or says that there is none. A share for each observer, few observers for each server,
// and where the whole table is full the observer with the most in it gives way: whoever is loud displaces himself.
func (t *rumourTable) makeRoom(n *Node, now time.Duration, e *entry) bool {
	if mine := t.byObserver[e.Observer]; len(mine) >= n.config.RumoursPerObserver {
		t.remove(n, mine[0])
	}
	if s := n.serversByID[e.Server]; s != nil && e.Symptom != Well {
		var least *entry
		count := 0
		for _, o := range s.entries {
			if o.Symptom != Well && o.observer != nil {
				count++
				if least == nil || o.observer.credit(now) < least.observer.credit(now) {
					least = o
				}
			}
		}
		if count >= n.config.ObserversPerServer {
			if e.observer == nil || e.observer.credit(now) <= least.observer.credit(now)+minDifference {
				return e.observer == nil
			}
			t.remove(n, least)
		}
	}
	if t.size >= n.config.Rumours {
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
		n.updateWeight(now, victim.Server)
	}
	return true
}

func (t *rumourTable) add(s *server, e *entry) {
	s.entries = append(s.entries, e)
	if len(t.byObserver[e.Observer]) == 0 {
		t.observers = append(t.observers, e.Observer)
	}
	t.byObserver[e.Observer] = append(t.byObserver[e.Observer], e)
	t.size++
}

// remove takes an entry out. Settle follows for its server.
func (t *rumourTable) remove(n *Node, e *entry) {
	is := func(o *entry) bool { return o == e }
	t.byObserver[e.Observer] = slices.DeleteFunc(t.byObserver[e.Observer], is)
	if len(t.byObserver[e.Observer]) == 0 {
		delete(t.byObserver, e.Observer)
		t.observers = slices.DeleteFunc(t.observers, func(name string) bool { return name == e.Observer })
	}
	if s := n.serversByID[e.Server]; s != nil {
		s.entries = slices.DeleteFunc(s.entries, is)
	}
	t.size--
	n.dequeueRumour(e)
}

// removeAllOf drops all that a member has said.
func (t *rumourTable) removeAllOf(n *Node, now time.Duration, m *member) {
	for _, e := range slices.Clone(t.byObserver[m.name]) {
		t.remove(n, e)
		n.updateWeight(now, e.Server)
	}
}

// updateWeight weighs what is said of a server anew, tells the module where that has changed, and forgets it where nothing is
// left to hold.
func (n *Node) updateWeight(now time.Duration, id uint64) {
	s := n.serversByID[id]
	if s == nil {
		return
	}
	if w := s.totalWeight(now); w != s.weight && (w == 0 || w-s.weight > minDifference || s.weight-w > minDifference) {
		s.weight = w
		n.host.Rumoured(id, w)
	}
	if len(s.entries) == 0 && s.own.Symptom == Well {
		delete(n.serversByID, id)
		n.serverOrder = slices.DeleteFunc(n.serverOrder, func(o *server) bool { return o == s })
	}
}

// totalWeight is how many others say that a server is in trouble, each counted by its credit.
func (s *server) totalWeight(now time.Duration) (sum float64) {
	for _, e := range s.entries {
		if e.observer != nil && e.Symptom != Well {
			sum += e.observer.credit(now) * float64(e.Strength) / 255
		}
	}
	return sum
}

// sweep ends what is too old, and tells or tells again what this instance sees by itself.
func (n *Node) sweep(now time.Duration) {
	for _, s := range slices.Clone(n.serverOrder) {
		for _, e := range slices.Clone(s.entries) {
			if e.age(now) > n.config.RumourLife {
				n.rumours.remove(n, e)
			}
		}
		if s.own.Symptom != Well {
			n.announceIfDue(now, s)
		}
		n.updateWeight(now, s.id)
	}
	if len(n.members) > 0 {
		for _, m := range slices.Clone(n.members) {
			if (m.state == left || m.state == dead) && now-m.since > deadRetentionRounds*n.config.ProbeEvery && len(n.members) > n.config.Members/2 {
				n.removeMember(m)
			}
		}
	}
}

// Symptom is called whenever this instance has seen a server in trouble by itself. It must never be called because of what
// others say: rumours do not breed rumours.
func (n *Node) Symptom(now time.Duration, id uint64, what Symptom, strength uint8) {
	n.detectPause(now)
	if what == Well {
		n.Recovered(now, id)
		return
	}
	s := n.serverFor(id)
	if s.own.Symptom == Well {
		s.own.since = now
		for _, e := range s.entries {
			if e.observer != nil && e.Symptom != Well && !e.confirmed {
				e.confirmed = true
				e.observer.addConfirmed(now, 1)
				n.counts.BorneOut++
			}
		}
	}
	s.own.Symptom, s.own.strength, s.own.lastSeenAt = what, strength, now
	n.announceIfDue(now, s)
	n.updateWeight(now, id)
	n.scheduleWake(now)
}

// Recovered is called when the instance's own trouble with a server has ended.
func (n *Node) Recovered(now time.Duration, id uint64) {
	n.detectPause(now)
	s := n.serversByID[id]
	if s == nil || s.own.Symptom == Well {
		return
	}
	told := s.own.announced
	s.own = ownSymptom{}
	if told {
		n.counts.RumoursWithdrawn++
		n.addOwnRumour(now, s, Well, 0)
	}
	n.updateWeight(now, id)
	n.scheduleWake(now)
}

// Acked is called when a server has acked, in time, an op that was sent at a time. That speaks against those who said
// before then that it does not work, by how much they said it does not.
func (n *Node) Acked(now time.Duration, id uint64, sentAt time.Duration) {
	s := n.serversByID[id]
	if s == nil {
		return
	}
	held := false
	for _, e := range s.entries {
		if e.observer == nil || e.Symptom == Well || e.arrivedAt > sentAt || e.contradictedAt > 0 && now-e.contradictedAt < 2*n.config.ProbeEvery {
			continue
		}
		e.contradictedAt, held = now, true
		n.counts.Contradicted++
		switch e.Symptom {
		case Silent, Unreachable:
			e.observer.addContradicted(now, 1)
		default: // a server that fails or delays some ops acks others in time
			e.observer.addContradicted(now, 0.3)
		}
	}
	if held {
		n.updateWeight(now, id)
	}
}

// announceIfDue tells of the instance's own symptom, unless enough others do or it has reason to doubt itself; and tells again
// what is half through its life.
func (n *Node) announceIfDue(now time.Duration, s *server) {
	if !n.joined || n.inactive || n.healthScore >= maxHealthScore/2 {
		return
	}
	switch {
	case now-s.own.since < n.config.ProbeEvery/symptomDelayDivisor: // where ops are many the next answer may end it
		return
	case s.own.announced && (now-s.own.announcedAt < n.config.RumourLife/2 || s.own.lastSeenAt <= s.own.announcedAt): // nothing new to say
		return
	case s.own.announcedAt > 0 && now-s.own.announcedAt < n.config.ProbeEvery, !s.own.announced && now-s.own.lastSeenAt > n.config.RumourLife/2:
		return
	}
	if s.totalWeight(now) >= sufficientWeight {
		s.own.announced = false // it ends by its age
		return
	}
	if sick := n.countTroubledServers(); sick > alwaysPlausibleServers && 2*sick > n.serverCount {
		return // most of all servers in trouble is most likely a trouble of this instance's own
	}
	n.addOwnRumour(now, s, s.own.Symptom, s.own.strength)
	s.own.announced, s.own.announcedAt = true, now
}

func (n *Node) countTroubledServers() (count int) {
	for _, s := range n.serverOrder {
		if s.own.Symptom != Well {
			count++
		}
	}
	return count
}

// addOwnRumour puts a rumour of this instance's own into the table and among the news.
func (n *Node) addOwnRumour(now time.Duration, s *server, what Symptom, strength uint8) {
	if i := slices.IndexFunc(s.entries, func(e *entry) bool { return e.observer == nil }); i >= 0 {
		n.rumours.remove(n, s.entries[i])
	}
	n.lastRumourNumber++
	e := &entry{arrivedAt: now, Rumour: Rumour{Observer: n.config.Name, Key: n.own.Key, Run: n.own.Run, Server: s.id, Symptom: what,
		Strength: strength, Number: n.lastRumourNumber, Made: now}}
	if !n.rumours.makeRoom(n, now, e) {
		n.counts.RumoursDropped++
		return
	}
	n.counts.RumoursMade++
	n.rumours.add(s, e)
	n.queueUpdate(now, update{rumour: e})
}
