package gossip

import (
	"net/netip"
	"slices"
	"time"
)

// memberState is the state of a member.
type memberState uint8

// The states of a member, in the order of the constants of Status. Each is this instance's own judgement: reports of
// others alone make nobody dead.
const (
	alive memberState = iota
	suspect
	dead
	left
)

// member is another instance.
type member struct {
	name               string
	hash               uint64 // of the name
	key                KeyID
	run                uint64
	addr               netip.AddrPort
	claim              Claim // the member's newest claim about itself, to be passed on
	state              memberState
	since              time.Duration // when the member entered the state
	lastHeardAt        time.Duration // when the member last proved to this instance to be alive
	knowsUs            bool          // a datagram of the member has come in, so it needs no claim of this instance
	clockOffset        time.Duration // lower bound of the member's clock minus this instance's
	clockKnown         bool          // clockOffset comes from a datagram of the member itself
	received           replayWindow  // counters of the datagrams received in this run
	failedProbes       int           // consecutive failed probes of this instance
	checkQueued        bool          // the member is in Node.checks
	retryAt            time.Duration // when a dead member is probed again
	revivalNotifiedAt  time.Duration // when this instance last introduced itself to the member after holding it dead
	staleRunNotifiedAt time.Duration // when the claim held was last sent to a run of the member that is not the one held

	suspectUntil time.Duration
	accusedBy    []accuser

	// How far this instance's own observations agree with the member's rumours about servers. Both counts decay.
	confirmed       float64
	contradicted    float64
	creditUpdatedAt time.Duration

	rumourLevel   float64       // fill level of the leaky bucket that limits the member's rumours
	rumourLevelAt time.Duration // when the level was computed

	// Accusations by the member against others that proved false here. The count decays.
	falseAccusations   float64
	falseAccusationsAt time.Duration
}

// accuser is a member that has accused another.
type accuser struct {
	name string
	at   time.Duration // when the accusation arrived
}

// replayWindow records which datagrams of a run have been received: the highest counter, and the 64 counters up to it
// as a bit mask.
type replayWindow struct {
	highest uint64
	mask    uint64
}

// accept records a counter. It returns false if the counter has been received before or is too old to tell.
func (w *replayWindow) accept(counter uint64) bool {
	switch {
	case counter == 0:
		return false
	case counter > w.highest:
		if shift := counter - w.highest; shift < 64 {
			w.mask = w.mask<<shift | 1
		} else {
			w.mask = 1
		}
		w.highest = counter
		return true
	case w.highest-counter >= 64 || w.mask>>(w.highest-counter)&1 == 1:
		return false
	}
	w.mask |= 1 << (w.highest - counter)
	return true
}

// clock returns a lower bound of what the member's own clock shows now.
func (m *member) clock(now time.Duration) time.Duration { return now + m.clockOffset }

// Received handles a datagram. One that isn't from the known run of a member, or that has been received before, is
// dropped before it can change anything. Claims of the sender about itself are handled first, as they may announce its
// run.
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
			// Either an old datagram, or a new run that doesn't know the incarnation that the run before it had
			// reached.
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

// heardFrom records that a member has just proved to be alive, with its clock. The offset of that clock only ever
// grows, so that a message that is delayed or replayed makes nothing look younger.
func (n *Node) heardFrom(now time.Duration, m *member, clock time.Duration) {
	if ahead := clock - now; !m.clockKnown || ahead > m.clockOffset {
		m.clockOffset, m.clockKnown = ahead, true
	}
	n.markAlive(now, m)
}

// markAlive handles proof that a member is alive: it clears suspicion and accusations, and revives a dead member.
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
		n.nextSync = min(n.nextSync, now+n.jitter(n.config.TellEvery)) // it, or this instance, was cut off: synchronize
		if m.revivalNotifiedAt == 0 || now-m.revivalNotifiedAt > 2*n.config.SuspectFor {
			m.revivalNotifiedAt = now
			n.introduceTo(now, m)
		}
	}
}

// introduceTo sends this instance's claim about itself to one member at once.
func (n *Node) introduceTo(now time.Duration, m *member) {
	n.send(now, m, &Message{Kind: Tell, Claims: []Claim{n.selfClaim(now)}})
}

// addFalseAccusation records that an accusation by the member proved false here. The count decays over some minutes.
func (m *member) addFalseAccusation(now time.Duration) {
	m.falseAccusations = m.falseAccusationsNow(now) + 1
	m.falseAccusationsAt = now
}

// falseAccusationsNow returns the count of false accusations, decayed to now.
func (m *member) falseAccusationsNow(now time.Duration) float64 {
	return decay(m.falseAccusations, now-m.falseAccusationsAt, creditDecayTime)
}

// handleClaim handles a claim; viaSync says that it came in an anti-entropy exchange.
func (n *Node) handleClaim(now time.Duration, c *Claim, viaSync bool) {
	switch {
	case c.Name == n.config.Name:
		n.handleClaimAboutSelf(now, c)
	case c.Kind == Accused:
		n.handleAccusation(now, c)
	case c.By != c.Name:
		n.counts.StaleClaims++ // only a member itself makes claims about itself
	default:
		n.handleOwnClaim(now, c, viaSync)
	}
}

// handleOwnClaim handles a claim of another member about itself.
func (n *Node) handleOwnClaim(now time.Duration, c *Claim, viaSync bool) {
	m := n.byName[c.Name]
	if m != nil && !supersedes(c, &m.claim) {
		n.counts.StaleClaims++
		if m.run == c.Run && c.Clock > m.claim.Clock && c.Incarnation == m.claim.Incarnation && c.Kind == m.claim.Kind {
			n.handleFreshClaim(now, m, c)
		}
		return
	}
	if holder := n.byKey[c.Key]; holder != nil && holder != m {
		// One key is one observer. A second name under a key counts only once the first is dead or has left.
		if holder.state == alive || holder.state == suspect {
			n.counts.ClaimsFull++
			return
		}
		n.removeMember(holder)
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
		// Another run has other counters and another clock, and the rumours of the earlier run end with it.
		m.run, m.received, m.clockKnown, m.knowsUs = c.Run, replayWindow{}, false, false
		n.rumours.removeAllOf(n, now, m)
		if m.state == dead || m.state == suspect { // the judgement was on the run before; a probe decides on this one
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
			m.state, m.since = alive, now // it has returned under a new incarnation
		}
	}
	n.queueUpdate(now, update{claim: *c, subject: m.name})
}

// supersedes reports whether a claim of a member replaces the one held. Runs that took the same incarnation are ordered
// by their run number, so that all instances agree in the end.
func supersedes(c, held *Claim) bool {
	if c.Incarnation != held.Incarnation {
		return c.Incarnation > held.Incarnation
	}
	return c.Run != held.Run && c.Run > held.Run || c.Run == held.Run && c.Kind == Left && held.Kind == Alive
}

// handleFreshClaim takes a claim of a member about itself as proof that it is alive, if the claim was made after the
// event that casts doubt on it.
func (n *Node) handleFreshClaim(now time.Duration, m *member, c *Claim) {
	made := min(now, c.Clock-m.clockOffset) // by this instance's clock
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

// makeRoomForMember makes room for one more member and reports whether there is any. It removes the member that has
// been dead or left for longest; members that are alive or suspect are never displaced by new ones.
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

// removeMember removes a member and its rumours.
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

// markGone marks a member as dead or left and removes its rumours.
func (n *Node) markGone(now time.Duration, m *member, next memberState) {
	if m.state == next {
		return
	}
	m.state, m.since, m.accusedBy = next, now, nil
	if next == dead {
		n.counts.Died++
		m.retryAt = now + n.deadProbeInterval()
		n.host.Log("member_dead", m.name)
	} else {
		n.host.Log("member_left", m.name)
	}
	n.rumours.removeAllOf(n, now, m)
}

// handleAccusation handles a claim of one member that another does not answer. It only makes this instance probe the
// accused member.
func (n *Node) handleAccusation(now time.Duration, c *Claim) {
	n.counts.Accusations++
	m, by := n.byName[c.Name], n.byName[c.By]
	// An accusation is ignored if one of the two members is unknown here, is dead or has left, if it was made by
	// another run or under another key of the accuser, if it is about the accuser itself or an older incarnation of the accused, if by the
	// accuser's clock it was made too long ago or lies too far ahead, or if the accuser has accused the member already.
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
	// An accused member that has been heard from since the accusation was made is alive. The accusation need not be
	// false, as the member may have been unreachable before.
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

// isAccusedBy reports whether the member with a name has accused this one.
func (m *member) isAccusedBy(name string) bool {
	return slices.ContainsFunc(m.accusedBy, func(a accuser) bool { return a.name == name })
}

// handleProbeFailure judges a member after a probe that got no answer: an alive member becomes suspect, and a suspect
// one dead once its suspicion has run out and at least two probes in a row have failed.
func (n *Node) handleProbeFailure(now time.Duration, m *member) {
	m.failedProbes++
	switch m.state {
	case alive:
		n.counts.Suspected++
		m.state, m.since = suspect, now
		m.suspectUntil = now + 2*n.scaled(n.config.SuspectFor)
		n.applyConfirmations(now, m)
		if len(m.accusedBy) < maxAccusers && !n.inactive {
			c := Claim{Kind: Accused, Name: m.name, Incarnation: m.claim.Incarnation, By: n.config.Name,
				Key: n.own.Key, Run: n.own.Run, Clock: now}
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

// applyConfirmations shortens a suspicion that at least one other member shares.
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

// handleClaimAboutSelf handles a claim about this instance's name: an accusation is refuted, and a claim of another run
// under the name is superseded or, where that run holds the name, deactivates this one.
func (n *Node) handleClaimAboutSelf(now time.Duration, c *Claim) {
	if c.Kind == Accused {
		if c.Incarnation >= n.own.Incarnation && !n.inactive && (n.refutedAt == 0 || now-n.refutedAt >= n.config.ProbeEvery) {
			n.counts.Refutations++
			n.refutedAt = now
			n.own.Incarnation = c.Incarnation // so that the next incarnation supersedes the accusation
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
		// An earlier run of this instance, or one that turns out to hold the name: take a higher incarnation.
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

// bumpIncarnation takes the next incarnation, which supersedes all claims about this instance so far, and announces it.
func (n *Node) bumpIncarnation(now time.Duration) {
	n.own.Incarnation++
	if n.joined {
		n.queueUpdate(now, update{claim: n.selfClaim(now), subject: n.config.Name})
	}
}

// selfClaim returns this instance's claim about itself, with the current time.
func (n *Node) selfClaim(now time.Duration) Claim {
	c := n.own
	c.Clock = now
	return c
}
