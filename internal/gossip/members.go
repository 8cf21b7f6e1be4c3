package gossip

import (
	"net/netip"
	"slices"
	"time"
)

type memberState uint8

// The states of a member, each this instance's own judgement: nobody is held dead because others say so.
const (
	alive memberState = iota
	suspect
	dead
	left
)

// member is another instance.
type member struct {
	name               string
	hash               uint64
	key                KeyID
	run                uint64
	addr               netip.AddrPort
	claim              Claim // the newest of itself, to be passed on
	state              memberState
	since              time.Duration // of the state
	lastHeardAt        time.Duration // when it last proved to be there, to this instance
	knowsUs            bool          // it has sent us something, so it need not be told who we are
	clockOffset        time.Duration // its clock less ours, at least
	clockKnown         bool          // ahead is known from a datagram of its own
	received           replayWindow  // of its datagrams in this run
	failedProbes       int           // own probes in a row that it did not answer
	checkQueued        bool          // it stands in checks
	retryAt            time.Duration // when a dead one is tried again
	revivalNotifiedAt  time.Duration // when it was last told that it had been held dead
	staleRunNotifiedAt time.Duration // when a run that is not the one held was last told so

	suspectUntil time.Duration
	accusedBy    []accuser

	// Its word on servers, as far as this instance could see for itself; both fade.
	confirmed, contradicted float64
	creditUpdatedAt         time.Duration
	rumourLevel             float64 // rumours of it that were taken of late
	rumourLevelAt           time.Duration
	// Its word on members.
	falseAccusations   float64
	falseAccusationsAt time.Duration
}

type accuser struct {
	name string
	at   time.Duration // when it came
}

// window knows which datagrams of a run have come: the newest number, and the 64 before it.
type replayWindow struct {
	newest uint64
	mask   uint64
}

// take notes a number; false if it has come before or is too old to tell.
func (w *replayWindow) accept(number uint64) bool {
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
func (m *member) clock(now time.Duration) time.Duration { return now + m.clockOffset }

// Received takes a datagram. What does not come from a known run of a member, or has come before, is dropped before it can
// change anything; a claim of the sender's own that is newer comes first, as it may tell of that run.
func (n *Node) Received(now time.Duration, d Datagram) {
	n.detectPause(now)
	if n.inactive && n.own.Kind == Left {
		return
	}
	n.counts.Received++
	if d.From == n.config.Name {
		n.counts.OwnName++
		return
	}
	msg := d.Message
	m := n.byName[d.From]
	if m == nil || m.run != d.Run || m.key != d.Key {
		for i := range msg.Claims {
			if c := &msg.Claims[i]; c.Kind == Alive && c.Name == d.From && c.Run == d.Run && c.Key == d.Key {
				n.handleClaim(now, c, false)
			}
		}
		if m = n.byName[d.From]; m == nil || m.key != d.Key {
			n.counts.Strange++
			return
		} else if m.run != d.Run {
			// Either an old datagram, or a new run that does not know how far the one before it had counted.
			n.counts.StaleRun++
			if m.staleRunNotifiedAt == 0 || now-m.staleRunNotifiedAt >= n.config.ProbeEvery {
				m.staleRunNotifiedAt = now
				n.send(now, m, &Message{Kind: Tell, Claims: []Claim{m.claim}})
			}
			return
		}
	}
	if !m.received.accept(d.Counter) {
		n.counts.Replayed++
		return
	}
	m.knowsUs = true
	n.heardFrom(now, m, msg.Clock)
	for i := range msg.Claims {
		n.handleClaim(now, &msg.Claims[i], false)
	}
	for i := range msg.Rumours {
		n.handleRumour(now, &msg.Rumours[i])
	}
	n.handleMessage(now, m, msg)
	n.scheduleWake(now)
}

// heardFrom notes that a member has just proved to be there. Its clock only ever moves ahead of what was known of it: an old
// word that comes late, or again, makes nothing look younger.
func (n *Node) heardFrom(now time.Duration, m *member, clock time.Duration) {
	if ahead := clock - now; !m.clockKnown || ahead > m.clockOffset {
		m.clockOffset, m.clockKnown = ahead, true
	}
	n.markAlive(now, m)
}

// markAlive takes a proof of life.
func (n *Node) markAlive(now time.Duration, m *member) {
	m.lastHeardAt, m.failedProbes = now, 0
	for _, a := range m.accusedBy {
		if by := n.byName[a.name]; by != nil {
			by.addFalseAccusation(now)
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
		n.nextSync = min(n.nextSync, now+n.jitter(n.config.TellEvery)) // it, or we, have been away: compare tables
		if m.revivalNotifiedAt == 0 || now-m.revivalNotifiedAt > 2*n.config.SuspectFor {
			m.revivalNotifiedAt = now
			n.introduceTo(now, m)
		}
	}
}

// introduceTo makes known to one member who we are, at once.
func (n *Node) introduceTo(now time.Duration, m *member) {
	n.send(now, m, &Message{Kind: Tell, Claims: []Claim{n.selfClaim(now)}})
}

// addFalseAccusation notes that what a member said of another was not so here. It fades over some minutes.
func (m *member) addFalseAccusation(now time.Duration) {
	m.falseAccusations = m.falseAccusationsNow(now) + 1
	m.falseAccusationsAt = now
}

func (m *member) falseAccusationsNow(now time.Duration) float64 {
	return decay(m.falseAccusations, now-m.falseAccusationsAt, creditDecayTime)
}

// handleClaim takes a claim; viaSync tells that it came in a comparison of tables.
func (n *Node) handleClaim(now time.Duration, c *Claim, viaSync bool) {
	switch {
	case c.Name == n.config.Name:
		n.handleClaimAboutSelf(now, c)
	case c.Kind == Accused:
		n.handleAccusation(now, c)
	case c.By != c.Name:
		n.counts.StaleClaims++ // nobody speaks for another
	default:
		n.handleOwnClaim(now, c, viaSync)
	}
}

// handleOwnClaim takes what a member says of itself.
func (n *Node) handleOwnClaim(now time.Duration, c *Claim, viaSync bool) {
	m := n.byName[c.Name]
	if m != nil && !supersedes(c, &m.claim) {
		n.counts.StaleClaims++
		if m.run == c.Run && c.Clock > m.claim.Clock && c.Incarnation == m.claim.Incarnation && c.Kind == m.claim.Kind {
			n.handleFreshClaim(now, m, c)
		}
		return
	}
	if by := n.byKey[c.Key]; by != nil && by != m {
		// One key is one voice. A second name under it counts only once the first has gone.
		if by.state == alive || by.state == suspect {
			n.counts.ClaimsFull++
			return
		}
		n.removeMember(by)
	}
	if m == nil {
		if c.Kind == Left || !n.makeRoomForMember(now) {
			n.counts.ClaimsFull++
			return
		}
		m = &member{name: c.Name, hash: hash(c.Name), creditUpdatedAt: now, lastHeardAt: now - n.config.ProbeEvery}
		m.key = c.Key
		n.byName[m.name] = m
		n.members = append(n.members, m)
		n.probeOrder = append(n.probeOrder, m)
		if i := n.rng.IntN(len(n.probeOrder)); true {
			n.probeOrder[i], n.probeOrder[len(n.probeOrder)-1] = m, n.probeOrder[i]
		}
		m.state, m.since = alive, now
		n.host.Log("member_new", m.name)
	}
	if m.run != c.Run {
		// Another run has other numbers and another clock, and what the earlier one said ends with it.
		m.run, m.received, m.clockKnown, m.knowsUs = c.Run, replayWindow{}, false, false
		n.rumours.removeAllOf(n, now, m)
		if m.state == dead || m.state == suspect { // that was the run before; whether this one is there will show
			m.state, m.since, m.failedProbes = alive, now, 0
			n.queueCheck(m)
		}
	}
	if n.byKey[m.key] == m {
		delete(n.byKey, m.key)
	}
	m.key, m.addr, m.claim = c.Key, c.Addr, *c
	n.byKey[m.key] = m
	m.accusedBy = nil
	if !m.clockKnown {
		m.clockOffset = c.Clock - now
	}
	if c.Kind == Left {
		n.markGone(now, m, left)
	} else {
		n.handleFreshClaim(now, m, c)
		if m.state == left {
			m.state, m.since = alive, now // under a new incarnation it has come back
		}
	}
	n.queueUpdate(now, update{claim: *c, subject: m.name})
}

// newer tells whether a claim of a member makes another void. Runs that took the same incarnation are told apart by their
// number, so that all agree in the end.
func supersedes(c, than *Claim) bool {
	if c.Incarnation != than.Incarnation {
		return c.Incarnation > than.Incarnation
	}
	return c.Run != than.Run && c.Run > than.Run || c.Run == than.Run && c.Kind == Left && than.Kind == Alive
}

// handleFreshClaim takes a claim of a member itself as proof of life, if it was made after what makes us doubt it.
func (n *Node) handleFreshClaim(now time.Duration, m *member, c *Claim) {
	made := min(now, c.Clock-m.clockOffset) // by our clock
	if m.claim.Run == c.Run && c.Clock > m.claim.Clock {
		m.claim = *c
	}
	switch {
	case m.state == suspect && made > m.since, m.state == dead && made > now-n.config.ProbeEvery:
		n.markAlive(now, m)
	case m.clockKnown:
		m.lastHeardAt = max(m.lastHeardAt, made)
	}
}

// makeRoomForMember makes room among the members if it can: those that are gone give way, the longest gone first. Members
// that are there are never displaced by newcomers.
func (n *Node) makeRoomForMember(now time.Duration) bool {
	if len(n.members) < n.config.Members-1 {
		return true
	}
	var oldest *member
	for _, m := range n.members {
		if (m.state == dead || m.state == left) && (oldest == nil || m.since < oldest.since) {
			oldest = m
		}
	}
	if oldest != nil {
		n.removeMember(oldest)
	}
	return oldest != nil
}

// removeMember forgets a member.
func (n *Node) removeMember(m *member) {
	is := func(x *member) bool { return x == m }
	n.members = slices.DeleteFunc(n.members, is)
	n.probeOrder = slices.DeleteFunc(n.probeOrder, is)
	n.checks = slices.DeleteFunc(n.checks, is)
	n.probes = slices.DeleteFunc(n.probes, func(p *probe) bool { return p.target == m })
	delete(n.byName, m.name)
	if n.byKey[m.key] == m {
		delete(n.byKey, m.key)
	}
	n.rumours.removeAllOf(n, n.lastActiveAt, m)
}

// markGone ends a member; its rumours end with it.
func (n *Node) markGone(now time.Duration, m *member, how memberState) {
	if m.state == how {
		return
	}
	m.state, m.since, m.accusedBy = how, now, nil
	if how == dead {
		n.counts.Died++
		m.retryAt = now + n.deadProbeInterval()
		n.host.Log("member_dead", m.name)
	} else {
		n.host.Log("member_left", m.name)
	}
	n.rumours.removeAllOf(n, now, m)
}

// handleAccusation takes the word of another that a member does not answer. It makes this instance look, and no more.
func (n *Node) handleAccusation(now time.Duration, c *Claim) {
	n.counts.Accusations++
	m, by := n.byName[c.Name], n.byName[c.By]
	if m == nil || by == nil || by.run != c.Run || by.key != c.Key || by.state == dead || by.state == left || m == by ||
		c.Incarnation < m.claim.Incarnation || m.state == dead || m.state == left || c.Clock > by.clock(now)+n.config.SuspectFor ||
		by.clock(now)-c.Clock > 2*n.config.SuspectFor || m.isAccusedBy(c.By) {
		n.counts.AccusationsIgnored++
		return
	}
	pending := 0
	for _, x := range n.members {
		if x.isAccusedBy(c.By) {
			pending++
		}
	}
	// Whoever has been heard of since it was made is there, which is no lie: it may have been away before.
	if by.falseAccusationsNow(now) >= maxFalseAccusations || len(m.accusedBy) >= maxAccusers || pending >= maxAccusedByOne ||
		m.lastHeardAt > now-(by.clock(now)-c.Clock) {
		n.counts.AccusationsIgnored++
		return
	}
	m.accusedBy = append(m.accusedBy, accuser{c.By, now})
	n.queueUpdate(now, update{claim: *c, subject: m.name})
	n.queueCheck(m)
	if m.state == suspect {
		n.applyConfirmations(now, m)
	}
}

func (m *member) isAccusedBy(by string) bool {
	return slices.ContainsFunc(m.accusedBy, func(a accuser) bool { return a.name == by })
}

// handleProbeFailure is this instance's own judgement after a probe that nothing came back from.
func (n *Node) handleProbeFailure(now time.Duration, m *member) {
	m.failedProbes++
	switch m.state {
	case alive:
		n.counts.Suspected++
		m.state, m.since = suspect, now
		m.suspectUntil = now + 2*n.scaled(n.config.SuspectFor)
		n.applyConfirmations(now, m)
		if len(m.accusedBy) < maxAccusers && !n.inactive {
			c := Claim{Kind: Accused, Name: m.name, Incarnation: m.claim.Incarnation, By: n.config.Name, Key: n.own.Key, Run: n.own.Run, Clock: now}
			m.accusedBy = append(m.accusedBy, accuser{n.config.Name, now})
			n.queueUpdate(now, update{claim: c, subject: m.name})
		}
		n.queueCheck(m)
	case suspect:
		n.applyConfirmations(now, m)
		if m.failedProbes >= 2 && now >= m.suspectUntil {
			n.markGone(now, m, dead)
			return
		}
		n.queueCheck(m)
	}
}

// applyConfirmations shortens a suspicion that others share.
func (n *Node) applyConfirmations(now time.Duration, m *member) {
	others := 0
	for _, a := range m.accusedBy {
		if a.name != n.config.Name {
			others++
		}
	}
	if others > 0 {
		m.suspectUntil = min(m.suspectUntil, m.since+n.scaled(n.config.SuspectFor))
	}
}

// handleClaimAboutSelf takes what is said of this instance under its name.
func (n *Node) handleClaimAboutSelf(now time.Duration, c *Claim) {
	if c.Kind == Accused {
		if c.Incarnation >= n.own.Incarnation && !n.inactive && (n.refutedAt == 0 || now-n.refutedAt >= n.config.ProbeEvery) {
			n.counts.Refutations++
			n.refutedAt = now
			n.own.Incarnation = c.Incarnation // no accuser makes it jump
			n.adjustHealthScore(1)
			n.bumpIncarnation(now)
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
			n.bumpIncarnation(now)
		}
	case supersedes(c, &n.own):
		if !n.inactive {
			n.counts.OwnName++
			n.host.Log("name_taken", c.Addr.String())
		}
		n.inactive, n.joined = true, false
		n.joinAt = now + n.config.SyncEvery
		n.own.Incarnation = c.Incarnation
	}
}

// bumpIncarnation goes beyond all that was said of this instance, and says so.
func (n *Node) bumpIncarnation(now time.Duration) {
	n.own.Incarnation++
	if n.joined {
		n.queueUpdate(now, update{claim: n.selfClaim(now), subject: n.config.Name})
	}
}

// selfClaim is what this instance says of itself now.
func (n *Node) selfClaim(now time.Duration) Claim {
	c := n.own
	c.Clock = now
	return c
}
