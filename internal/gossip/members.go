package gossip

import (
	"net/netip"
	"slices"
	"time"
)

type state uint8

// The states of a member, each this instance's own judgement: nobody is held dead because others say so.
const (
	alive state = iota
	suspect
	dead
	left
)

// member is another instance.
type member struct {
	name     string
	hash     uint64
	key      KeyID
	run      uint64
	addr     netip.AddrPort
	claim    Claim // the newest of itself, to be passed on
	state    state
	since    time.Duration // of the state
	heardAt  time.Duration // when it last proved to be there, to this instance
	knowsUs  bool          // it has sent us something, so it need not be told who we are
	ahead    time.Duration // its clock less ours, at least
	clocked  bool          // ahead is known from a datagram of its own
	seen     window        // of its datagrams in this run
	failed   int           // own probes in a row that it did not answer
	checking bool          // it stands in checks
	deadAt   time.Duration // when a dead one is tried again
	revived  time.Duration // when it was last told that it had been held dead
	toldAt   time.Duration // when a run that is not the one held was last told so

	suspectTill time.Duration
	accusedBy   []accuser

	// Its word on servers, as far as this instance could see for itself; both fade.
	borne, contradicted float64
	creditAt            time.Duration
	said                float64 // rumours of it that were taken of late
	saidAt              time.Duration
	// Its word on members.
	falseWord   float64
	falseWordAt time.Duration
}

type accuser struct {
	name string
	at   time.Duration // when it came
}

// window knows which datagrams of a run have come: the newest number, and the 64 before it.
type window struct {
	newest uint64
	mask   uint64
}

// take notes a number; false if it has come before or is too old to tell.
func (w *window) take(number uint64) bool {
	switch {
	case number == 0:
		return false
	case number > w.newest:
		if shift := number - w.newest; shift < 64 {
			w.mask = w.mask<<shift | 1
		} else {
			w.mask = 1
		}
		w.newest = number
		return true
	case w.newest-number >= 64 || w.mask>>(w.newest-number)&1 == 1:
		return false
	}
	w.mask |= 1 << (w.newest - number)
	return true
}

// clock is at least what a member's own clock shows now.
func (m *member) clock(now time.Duration) time.Duration { return now + m.ahead }

// Received takes a datagram. What does not come from a known run of a member, or has come before, is dropped before it can
// change anything; a claim of the sender's own that is newer comes first, as it may tell of that run.
func (n *Node) Received(now time.Duration, d Datagram) {
	n.mind(now)
	if n.quiet && n.own.Kind == Left {
		return
	}
	n.counts.Received++
	if d.From == n.set.Name {
		n.counts.OwnName++
		return
	}
	msg := d.Message
	m := n.byName[d.From]
	if m == nil || m.run != d.Run || m.key != d.Key {
		for i := range msg.Claims {
			if c := &msg.Claims[i]; c.Kind == Alive && c.Name == d.From && c.Run == d.Run && c.Key == d.Key {
				n.claimed(now, c, false)
			}
		}
		if m = n.byName[d.From]; m == nil || m.key != d.Key {
			n.counts.Strange++
			return
		} else if m.run != d.Run {
			// Either an old datagram, or a new run that does not know how far the one before it had counted.
			n.counts.StaleRun++
			if m.toldAt == 0 || now-m.toldAt >= n.set.ProbeEvery {
				m.toldAt = now
				n.send(now, m, &Message{Kind: Tell, Claims: []Claim{m.claim}})
			}
			return
		}
	}
	if !m.seen.take(d.Counter) {
		n.counts.Replayed++
		return
	}
	m.knowsUs = true
	n.hears(now, m, msg.Clock)
	for i := range msg.Claims {
		n.claimed(now, &msg.Claims[i], false)
	}
	for i := range msg.Rumours {
		n.rumour(now, &msg.Rumours[i])
	}
	n.answer(now, m, msg)
	n.plan(now)
}

// hears notes that a member has just proved to be there. Its clock only ever moves ahead of what was known of it: an old
// word that comes late, or again, makes nothing look younger.
func (n *Node) hears(now time.Duration, m *member, clock time.Duration) {
	if ahead := clock - now; !m.clocked || ahead > m.ahead {
		m.ahead, m.clocked = ahead, true
	}
	n.there(now, m)
}

// there takes a proof of life.
func (n *Node) there(now time.Duration, m *member) {
	m.heardAt, m.failed = now, 0
	for _, a := range m.accusedBy {
		if by := n.byName[a.name]; by != nil {
			by.lied(now)
		}
	}
	m.accusedBy = nil
	switch m.state {
	case suspect:
		m.state, m.since = alive, now
	case dead:
		n.counts.Revived++
		m.state, m.since = alive, now
		n.host.Log("member_back", m.name)
		n.nextSync = min(n.nextSync, now+n.jitter(n.set.TellEvery)) // it, or we, have been away: compare tables
		if m.revived == 0 || now-m.revived > 2*n.set.SuspectFor {
			m.revived = now
			n.tellItems(now, m)
		}
	}
}

// tellItems makes known to one member who we are, at once.
func (n *Node) tellItems(now time.Duration, m *member) {
	n.send(now, m, &Message{Kind: Tell, Claims: []Claim{n.self(now)}})
}

// lied notes that what a member said of another was not so here. It fades over some minutes.
func (m *member) lied(now time.Duration) {
	m.falseWord = m.falseWordNow(now) + 1
	m.falseWordAt = now
}

func (m *member) falseWordNow(now time.Duration) float64 {
	return fade(m.falseWord, now-m.falseWordAt, fadeTime)
}

// claimed takes a claim; viaSync tells that it came in a comparison of tables.
func (n *Node) claimed(now time.Duration, c *Claim, viaSync bool) {
	switch {
	case c.Name == n.set.Name:
		n.aboutUs(now, c)
	case c.Kind == Accused:
		n.accused(now, c)
	case c.By != c.Name:
		n.counts.StaleClaims++ // nobody speaks for another
	default:
		n.introduced(now, c, viaSync)
	}
}

// introduced takes what a member says of itself.
func (n *Node) introduced(now time.Duration, c *Claim, viaSync bool) {
	m := n.byName[c.Name]
	if m != nil && !newer(c, &m.claim) {
		n.counts.StaleClaims++
		if m.run == c.Run && c.Clock > m.claim.Clock && c.Incarnation == m.claim.Incarnation && c.Kind == m.claim.Kind {
			n.vouched(now, m, c)
		}
		return
	}
	if by := n.byKey[c.Key]; by != nil && by != m {
		// One key is one voice. A second name under it counts only once the first has gone.
		if by.state == alive || by.state == suspect {
			n.counts.ClaimsFull++
			return
		}
		n.drop(by)
	}
	if m == nil {
		if c.Kind == Left || !n.roomForMember(now) {
			n.counts.ClaimsFull++
			return
		}
		m = &member{name: c.Name, hash: hash(c.Name), creditAt: now, heardAt: now - n.set.ProbeEvery}
		m.key = c.Key
		n.byName[m.name] = m
		n.members = append(n.members, m)
		n.turns = append(n.turns, m)
		if i := n.rng.IntN(len(n.turns)); true {
			n.turns[i], n.turns[len(n.turns)-1] = m, n.turns[i]
		}
		m.state, m.since = alive, now
		n.host.Log("member_new", m.name)
	}
	if m.run != c.Run {
		// Another run has other numbers and another clock, and what the earlier one said ends with it.
		m.run, m.seen, m.clocked, m.knowsUs = c.Run, window{}, false, false
		n.table.end(n, now, m)
		if m.state == dead || m.state == suspect { // that was the run before; whether this one is there will show
			m.state, m.since, m.failed = alive, now, 0
			n.check(m)
		}
	}
	if n.byKey[m.key] == m {
		delete(n.byKey, m.key)
	}
	m.key, m.addr, m.claim = c.Key, c.Addr, *c
	n.byKey[m.key] = m
	m.accusedBy = nil
	if !m.clocked {
		m.ahead = c.Clock - now
	}
	if c.Kind == Left {
		n.gone(now, m, left)
	} else {
		n.vouched(now, m, c)
		if m.state == left {
			m.state, m.since = alive, now // under a new incarnation it has come back
		}
	}
	n.spread(now, item{claim: *c, about: m.name})
}

// newer tells whether a claim of a member makes another void. Runs that took the same incarnation are told apart by their
// number, so that all agree in the end.
func newer(c, than *Claim) bool {
	if c.Incarnation != than.Incarnation {
		return c.Incarnation > than.Incarnation
	}
	return c.Run != than.Run && c.Run > than.Run || c.Run == than.Run && c.Kind == Left && than.Kind == Alive
}

// vouched takes a claim of a member itself as proof of life, if it was made after what makes us doubt it.
func (n *Node) vouched(now time.Duration, m *member, c *Claim) {
	made := min(now, c.Clock-m.ahead) // by our clock
	if m.claim.Run == c.Run && c.Clock > m.claim.Clock {
		m.claim = *c
	}
	switch {
	case m.state == suspect && made > m.since, m.state == dead && made > now-n.set.ProbeEvery:
		n.there(now, m)
	case m.clocked:
		m.heardAt = max(m.heardAt, made)
	}
}

// roomForMember makes room among the members if it can: those that are gone give way, the longest gone first. Members
// that are there are never displaced by newcomers.
func (n *Node) roomForMember(now time.Duration) bool {
	if len(n.members) < n.set.Members-1 {
		return true
	}
	var oldest *member
	for _, m := range n.members {
		if (m.state == dead || m.state == left) && (oldest == nil || m.since < oldest.since) {
			oldest = m
		}
	}
	if oldest != nil {
		n.drop(oldest)
	}
	return oldest != nil
}

// drop forgets a member.
func (n *Node) drop(m *member) {
	is := func(x *member) bool { return x == m }
	n.members = slices.DeleteFunc(n.members, is)
	n.turns = slices.DeleteFunc(n.turns, is)
	n.checks = slices.DeleteFunc(n.checks, is)
	n.probes = slices.DeleteFunc(n.probes, func(p *probe) bool { return p.m == m })
	delete(n.byName, m.name)
	if n.byKey[m.key] == m {
		delete(n.byKey, m.key)
	}
	n.table.end(n, n.timedAt, m)
}

// gone ends a member; its rumours end with it.
func (n *Node) gone(now time.Duration, m *member, how state) {
	if m.state == how {
		return
	}
	m.state, m.since, m.accusedBy = how, now, nil
	if how == dead {
		n.counts.Died++
		m.deadAt = now + n.deadEvery()
		n.host.Log("member_dead", m.name)
	} else {
		n.host.Log("member_left", m.name)
	}
	n.table.end(n, now, m)
}

// accused takes the word of another that a member does not answer. It makes this instance look, and no more.
func (n *Node) accused(now time.Duration, c *Claim) {
	n.counts.Accusations++
	m, by := n.byName[c.Name], n.byName[c.By]
	if m == nil || by == nil || by.run != c.Run || by.key != c.Key || by.state == dead || by.state == left || m == by ||
		c.Incarnation < m.claim.Incarnation || m.state == dead || m.state == left || c.Clock > by.clock(now)+n.set.SuspectFor ||
		by.clock(now)-c.Clock > 2*n.set.SuspectFor || m.accused(c.By) {
		n.counts.AccusationsIgnored++
		return
	}
	pending := 0
	for _, x := range n.members {
		if x.accused(c.By) {
			pending++
		}
	}
	// Whoever has been heard of since it was made is there, which is no lie: it may have been away before.
	if by.falseWordNow(now) >= mostFalse || len(m.accusedBy) >= accusers || pending >= accusedByOne ||
		m.heardAt > now-(by.clock(now)-c.Clock) {
		n.counts.AccusationsIgnored++
		return
	}
	m.accusedBy = append(m.accusedBy, accuser{c.By, now})
	n.spread(now, item{claim: *c, about: m.name})
	n.check(m)
	if m.state == suspect {
		n.confirm(now, m)
	}
}

func (m *member) accused(by string) bool {
	return slices.ContainsFunc(m.accusedBy, func(a accuser) bool { return a.name == by })
}

// suspects is this instance's own judgement after a probe that nothing came back from.
func (n *Node) suspects(now time.Duration, m *member) {
	m.failed++
	switch m.state {
	case alive:
		n.counts.Suspected++
		m.state, m.since = suspect, now
		m.suspectTill = now + 2*n.scaled(n.set.SuspectFor)
		n.confirm(now, m)
		if len(m.accusedBy) < accusers && !n.quiet {
			c := Claim{Kind: Accused, Name: m.name, Incarnation: m.claim.Incarnation, By: n.set.Name, Key: n.own.Key, Run: n.own.Run, Clock: now}
			m.accusedBy = append(m.accusedBy, accuser{n.set.Name, now})
			n.spread(now, item{claim: c, about: m.name})
		}
		n.check(m)
	case suspect:
		n.confirm(now, m)
		if m.failed >= 2 && now >= m.suspectTill {
			n.gone(now, m, dead)
			return
		}
		n.check(m)
	}
}

// confirm shortens a suspicion that others share.
func (n *Node) confirm(now time.Duration, m *member) {
	others := 0
	for _, a := range m.accusedBy {
		if a.name != n.set.Name {
			others++
		}
	}
	if others > 0 {
		m.suspectTill = min(m.suspectTill, m.since+n.scaled(n.set.SuspectFor))
	}
}

// aboutUs takes what is said of this instance under its name.
func (n *Node) aboutUs(now time.Duration, c *Claim) {
	if c.Kind == Accused {
		if c.Incarnation >= n.own.Incarnation && !n.quiet && (n.refutedAt == 0 || now-n.refutedAt >= n.set.ProbeEvery) {
			n.counts.Refutations++
			n.refutedAt = now
			n.own.Incarnation = c.Incarnation // no accuser makes it jump
			n.doubts(1)
			n.assert(now)
		}
		return
	}
	if c.Run == n.own.Run || c.By != c.Name || n.own.Kind == Left {
		return
	}
	switch {
	case c.Kind == Left || c.Addr == n.own.Addr || !n.joined:
		// An earlier run of our own, or one that will turn out to hold the name: go beyond it.
		if c.Incarnation >= n.own.Incarnation && c.Incarnation < 1<<31 {
			n.own.Incarnation = c.Incarnation
			n.assert(now)
		}
	case newer(c, &n.own):
		if !n.quiet {
			n.counts.OwnName++
			n.host.Log("name_taken", c.Addr.String())
		}
		n.quiet, n.joined = true, false
		n.joinAt = now + n.set.SyncEvery
		n.own.Incarnation = c.Incarnation
	}
}

// assert goes beyond all that was said of this instance, and says so.
func (n *Node) assert(now time.Duration) {
	n.own.Incarnation++
	if n.joined {
		n.spread(now, item{claim: n.self(now), about: n.set.Name})
	}
}

// self is what this instance says of itself now.
func (n *Node) self(now time.Duration) Claim {
	c := n.own
	c.Clock = now
	return c
}
