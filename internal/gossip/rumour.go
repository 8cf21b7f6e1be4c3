package gossip

import (
	"slices"
	"time"
)

// entry is a rumour that is held. A withdrawal is held too until it expires; otherwise the rumour that it withdraws
// could arrive later by another path and be accepted.
type entry struct {
	Rumour
	observer       *member // nil for a rumour of this instance
	arrivedAt      time.Duration
	ageOnArrival   time.Duration
	confirmed      bool          // this instance has observed trouble with the server itself
	contradictedAt time.Duration // when the rumour last counted against its observer
}

// age returns the age of the rumour at now.
func (e *entry) age(now time.Duration) time.Duration { return e.ageOnArrival + now - e.arrivedAt }

// server is a server about which a rumour is held, or of which this instance has itself observed a symptom.
type server struct {
	id      uint64
	entries []*entry // in order of arrival
	weight  float64  // last reported to the decision module
	own     ownSymptom
}

// ownSymptom is the trouble that this instance itself has with a server.
type ownSymptom struct {
	Symptom
	strength    uint8
	since       time.Duration
	lastSeenAt  time.Duration // time of the newest evidence
	announced   bool          // this instance's current rumour tells of the symptom
	announcedAt time.Duration
}

// rumourTable holds the rumours by observer. The rumours about one server are in its server.
type rumourTable struct {
	byObserver map[string][]*entry
	observers  []string // keys of byObserver in order of arrival
	size       int
}

const (
	futureToleranceDivisor = 4    // a rumour may seem to come from the future by RumourLife divided by this
	sufficientWeight       = 2.0  // weight of the others' rumours at which this instance adds none of its own
	alwaysPlausibleServers = 4    // number of servers that may all be in trouble without casting doubt on this instance
	minRelayCredit         = 0.1  // rumours of observers with less credit are not passed on
	minDifference          = 0.05 // smaller differences of weight or credit are ignored
	minRumourShare         = 4    // rumours that even an observer without credit may make within RumourLife
	symptomDelayDivisor    = 4    // a symptom must last for ProbeEvery divided by this before it is announced
)

// serverFor returns the record of a server, which it creates if there is none.
func (n *Node) serverFor(id uint64) *server {
	s := n.serversByID[id]
	if s == nil {
		s = &server{id: id}
		n.serversByID[id] = s
		n.serverOrder = append(n.serverOrder, s)
	}
	return s
}

// handleRumour handles a rumour, whoever passed it on.
func (n *Node) handleRumour(now time.Duration, relayed *RelayedRumour) {
	r := &relayed.Rumour
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
		m.clockOffset += ahead // the rumour cannot have been made later than now
	}
	age := max(relayed.Age, m.clock(now)-r.Made, 0)
	if age > n.config.RumourLife {
		n.counts.RumoursOld++
		return
	}
	s, reportedTrouble := n.serversByID[r.Server], false
	var old *entry
	if s != nil {
		if i := slices.IndexFunc(s.entries, func(e *entry) bool { return e.Observer == r.Observer }); i >= 0 {
			e := s.entries[i]
			if r.Number <= e.Number {
				n.counts.RumoursKnown++
				return
			}
			old = e
			reportedTrouble = e.Symptom != Well
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
		m.addConfirmed(now, 0.25) // less than for a rumour that comes before this instance's own observation
	}
	// Rumours of observers without credit are not passed on, nor are withdrawals of rumours that were not held here.
	if m.credit(now) >= minRelayCredit && (reportedTrouble || e.Symptom != Well) {
		n.queueUpdate(now, update{rumour: e})
	}
	n.updateWeight(now, r.Server)
}

// allowRumour limits the rate of an observer's rumours by a leaky bucket and reports whether one more is allowed. The
// bucket's capacity is share, which depends on the observer's credit, and it drains fully within the life of a rumour.
// So an observer that lies soon takes little of the common capacity.
func (m *member) allowRumour(now time.Duration, share float64, life time.Duration) bool {
	m.rumourLevel = max(0, m.rumourLevel-float64(now-m.rumourLevelAt)/float64(life)*share)
	m.rumourLevelAt = now
	if m.rumourLevel+1 > share {
		return false
	}
	m.rumourLevel++
	return true
}

// makeRoom makes room for a rumour and reports whether there is any. The rumours of one observer and the observers of
// one server are bounded; of those the one with the least credit gives way to one with more. If the whole table is
// full, the observer with the most rumours loses its oldest one, so that an observer that sends many displaces its own.
func (t *rumourTable) makeRoom(n *Node, now time.Duration, e *entry) bool {
	if held := t.byObserver[e.Observer]; len(held) >= n.config.RumoursPerObserver {
		t.remove(n, held[0])
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

// add adds an entry to the table and to its server.
func (t *rumourTable) add(s *server, e *entry) {
	s.entries = append(s.entries, e)
	if len(t.byObserver[e.Observer]) == 0 {
		t.observers = append(t.observers, e.Observer)
	}
	t.byObserver[e.Observer] = append(t.byObserver[e.Observer], e)
	t.size++
}

// remove removes an entry. The caller must then call updateWeight for its server.
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

// removeAllOf removes all rumours of a member.
func (t *rumourTable) removeAllOf(n *Node, now time.Duration, m *member) {
	for _, e := range slices.Clone(t.byObserver[m.name]) {
		t.remove(n, e)
		n.updateWeight(now, e.Server)
	}
}

// updateWeight recomputes the weight of the rumours about a server and reports it to the host if it has become 0 or has
// changed by more than minDifference. It removes the server if there is nothing left to hold.
func (n *Node) updateWeight(now time.Duration, id uint64) {
	s := n.serversByID[id]
	if s == nil {
		return
	}
	if w := s.totalWeight(now); w != s.weight && (w == 0 || w-s.weight > minDifference || s.weight-w > minDifference) {
		s.weight = w
		n.host.WeightChanged(id, w)
	}
	if len(s.entries) == 0 && s.own.Symptom == Well {
		delete(n.serversByID, id)
		n.serverOrder = slices.DeleteFunc(n.serverOrder, func(o *server) bool { return o == s })
	}
}

// totalWeight returns the sum over the other observers that say that the server is in trouble, each counted by its
// credit and the strength of its rumour.
func (s *server) totalWeight(now time.Duration) (sum float64) {
	for _, e := range s.entries {
		if e.observer != nil && e.Symptom != Well {
			sum += e.observer.credit(now) * float64(e.Strength) / 255
		}
	}
	return sum
}

// sweep removes expired rumours and members that have been gone for long, and announces this instance's own symptoms
// that are due.
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
			if (m.state == left || m.state == dead) && now-m.since > deadRetentionRounds*n.config.ProbeEvery &&
				len(n.members) > n.config.Members/2 {
				n.removeMember(m)
			}
		}
	}
}

// ReportSymptom is called whenever this instance has itself observed a server in trouble. It must never be called
// because of rumours, as rumours would then cause further rumours.
func (n *Node) ReportSymptom(now time.Duration, id uint64, symptom Symptom, strength uint8) {
	n.detectPause(now)
	if symptom == Well {
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
	s.own.Symptom, s.own.strength, s.own.lastSeenAt = symptom, strength, now
	n.announceIfDue(now, s)
	n.updateWeight(now, id)
	n.scheduleWake(now)
}

// Recovered is called when this instance's own trouble with a server has ended. It withdraws the rumour about it, if
// one was announced.
func (n *Node) Recovered(now time.Duration, id uint64) {
	n.detectPause(now)
	s := n.serversByID[id]
	if s == nil || s.own.Symptom == Well {
		return
	}
	announced := s.own.announced
	s.own = ownSymptom{}
	if announced {
		n.counts.RumoursWithdrawn++
		n.addOwnRumour(now, s, Well, 0)
	}
	n.updateWeight(now, id)
	n.scheduleWake(now)
}

// Acked is called when a server has acked in time an op sent at sentAt. That contradicts the rumours about the server
// that arrived by then, and counts more against those that say that the server does not work at all.
func (n *Node) Acked(now time.Duration, id uint64, sentAt time.Duration) {
	s := n.serversByID[id]
	if s == nil {
		return
	}
	contradicted := false
	for _, e := range s.entries {
		if e.observer == nil || e.Symptom == Well || e.arrivedAt > sentAt ||
			e.contradictedAt > 0 && now-e.contradictedAt < 2*n.config.ProbeEvery {
			continue
		}
		e.contradictedAt, contradicted = now, true
		n.counts.Contradicted++
		switch e.Symptom {
		case Silent, Unreachable:
			e.observer.addContradicted(now, 1)
		default: // a server that fails or delays some ops may still ack others in time
			e.observer.addContradicted(now, 0.3)
		}
	}
	if contradicted {
		n.updateWeight(now, id)
	}
}

// announceIfDue announces this instance's own symptom of a server by a rumour, unless the rumours of others suffice or
// this instance has reason to suspect itself. It renews a rumour after half of its life.
func (n *Node) announceIfDue(now time.Duration, s *server) {
	if !n.joined || n.inactive || n.healthScore >= maxHealthScore/2 {
		return
	}
	switch {
	case now-s.own.since < n.config.ProbeEvery/symptomDelayDivisor: // on a busy server the next reply may end the symptom
		return
	// No renewal is due, or there is no new evidence.
	case s.own.announced && (now-s.own.announcedAt < n.config.RumourLife/2 || s.own.lastSeenAt <= s.own.announcedAt):
		return
	case s.own.announcedAt > 0 && now-s.own.announcedAt < n.config.ProbeEvery,
		!s.own.announced && now-s.own.lastSeenAt > n.config.RumourLife/2:
		return
	}
	if s.totalWeight(now) >= sufficientWeight {
		s.own.announced = false // a rumour made before expires by its age
		return
	}
	if troubled := n.countTroubledServers(); troubled > alwaysPlausibleServers && 2*troubled > n.serverCount {
		return // if most servers seem in trouble, this instance is most likely the one that is
	}
	n.addOwnRumour(now, s, s.own.Symptom, s.own.strength)
	s.own.announced, s.own.announcedAt = true, now
}

// countTroubledServers counts the servers of which this instance has itself observed a symptom.
func (n *Node) countTroubledServers() (count int) {
	for _, s := range n.serverOrder {
		if s.own.Symptom != Well {
			count++
		}
	}
	return count
}

// addOwnRumour makes a rumour of this instance, puts it into the table in place of the one before, and queues it.
func (n *Node) addOwnRumour(now time.Duration, s *server, symptom Symptom, strength uint8) {
	if i := slices.IndexFunc(s.entries, func(e *entry) bool { return e.observer == nil }); i >= 0 {
		n.rumours.remove(n, s.entries[i])
	}
	n.lastRumourNumber++
	e := &entry{arrivedAt: now, Rumour: Rumour{Observer: n.config.Name, Key: n.own.Key, Run: n.own.Run, Server: s.id,
		Symptom: symptom, Strength: strength, Number: n.lastRumourNumber, Made: now}}
	if !n.rumours.makeRoom(n, now, e) {
		n.counts.RumoursDropped++
		return
	}
	n.counts.RumoursMade++
	n.rumours.add(s, e)
	n.queueUpdate(now, update{rumour: e})
}
