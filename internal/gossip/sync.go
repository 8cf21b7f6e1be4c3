package gossip

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// Bounds on one anti-entropy exchange. What does not fit follows in a later one.
const (
	maxDigestRumours = 256
	maxAnswerBytes   = 6 << 10
	minAnswerBytes   = 1 << 10 // granted to an answer however little of the budget is left
)

// fingerprint stands for the newest claim of the member.
func (m *member) fingerprint() Fingerprint {
	return Fingerprint(m.hash ^ m.claim.Run ^ uint64(m.claim.Incarnation)*0x9e3779b97f4a7c15>>7 ^ uint64(m.claim.Kind)<<13)
}

// fingerprint stands for the rumour.
func (e *entry) fingerprint() Fingerprint {
	return Fingerprint(hash(e.Observer) ^ e.Server*0x9e3779b97f4a7c15>>9 ^ uint64(e.Number)*0xd6e8feb86659fd93>>11)
}

// nameFingerprint stands for a name, given its hash.
func nameFingerprint(hash uint64) Fingerprint { return Fingerprint(hash >> 17) }

// answerBudget returns how many bytes the budget leaves for an answer on a stream.
func (n *Node) answerBudget(now time.Duration) int {
	n.charge(now, 0)
	return max(minAnswerBytes, min(maxAnswerBytes, budgetBurstSeconds*n.config.BytesPerSecond-int(n.budgetUsed)))
}

// join starts an exchange with a seed or, half of the time if members are known already, with one of those.
func (n *Node) join(now time.Duration) {
	n.joinAt = now + n.joinBackoff
	n.joinBackoff = min(2*n.joinBackoff, 10*n.config.ProbeEvery)
	if n.inactive && n.own.Kind == Left {
		return
	}
	candidates := n.config.Seeds
	if len(n.members) > 0 && n.rng.IntN(2) == 0 {
		candidates = nil
		for _, m := range n.members {
			candidates = append(candidates, m.addr)
		}
	}
	if len(candidates) == 0 {
		return
	}
	n.exchange(now, candidates[n.rng.IntN(len(candidates))])
}

// syncWithRandomMember starts an exchange with a member drawn at random, or now and then with a seed, because the
// members on one side of a partition may all have forgotten the other side.
func (n *Node) syncWithRandomMember(now time.Duration) {
	if n.inactive || !n.joined {
		return
	}
	if len(n.config.Seeds) > 0 && n.rng.IntN(8) == 0 {
		n.exchange(now, n.config.Seeds[n.rng.IntN(len(n.config.Seeds))])
		return
	}
	for _, m := range n.randomMembers(1, func(m *member) bool { return m.state == alive }) {
		n.exchange(now, m.addr)
	}
}

// exchange starts an anti-entropy exchange by sending the digest.
func (n *Node) exchange(now time.Duration, with netip.AddrPort) {
	if with == n.own.Addr {
		return
	}
	d := n.digest(now)
	n.charge(now, d.Bytes())
	n.counts.SentBytes += int64(d.Bytes())
	n.host.Exchange(with, d)
}

// digest summarizes what this instance holds.
func (n *Node) digest(now time.Duration) *Digest {
	d := &Digest{Own: n.selfClaim(now)}
	for _, m := range n.members {
		d.Members = append(d.Members, m.fingerprint())
		if m.state == dead {
			d.Dead = append(d.Dead, nameFingerprint(m.hash))
		}
	}
	for _, name := range n.rumours.observers {
		for _, e := range n.rumours.byObserver[name] {
			if len(d.Rumours) < maxDigestRumours {
				d.Rumours = append(d.Rumours, e.fingerprint())
			}
		}
	}
	return d
}

// ExchangeRequested handles the digest with which another instance has started an exchange, and returns the answer:
// what the other lacks, and what this instance wants. The digest came from the address observed.
func (n *Node) ExchangeRequested(now time.Duration, d *Digest, observed netip.Addr) *Items {
	n.detectPause(now)
	defer func() { n.scheduleWake(now) }()
	items := &Items{ObservedAddr: observed}
	if n.inactive && n.own.Kind == Left {
		return items
	}
	own := d.Own // the other's claim about itself
	if own.Kind == Alive && own.By == own.Name && own.Name != n.config.Name &&
		own.Addr.Addr().IsValid() && !own.Addr.Addr().IsUnspecified() {
		n.handleClaim(now, &own, true)
		if m := n.byName[own.Name]; m != nil && m.run == own.Run && m.key == own.Key {
			n.heardFrom(now, m, own.Clock)
		}
	} else if own.Name == n.config.Name {
		n.handleClaimAboutSelf(now, &own) // the other uses this instance's name
	}
	theirs, theirDead := fingerprintSet(d.Members), fingerprintSet(d.Dead)
	room := n.answerBudget(now)
	add := func(c Claim) {
		if size := c.maxBytes(); size <= room {
			room -= size
			items.Claims = append(items.Claims, c)
		}
	}
	add(n.selfClaim(now))
	if m := n.byName[own.Name]; m != nil && m.run != own.Run { // tells the other that its name is or was held by another run
		add(m.claim)
		if m.state == alive {
			items.Reachable = append(items.Reachable, nameFingerprint(m.hash))
		}
	}
	// Starts at a random member, so that an instance that lacks much gets another part from each instance that it asks.
	for i, start := 0, n.rng.IntN(len(n.members)+1); i < len(n.members); i++ {
		m := n.members[(start+i)%len(n.members)]
		has := theirs[m.fingerprint()]
		delete(theirs, m.fingerprint())
		switch {
		case m.name == own.Name: // the member is the other itself, which has been handled above
		case m.state == alive && theirDead[nameFingerprint(m.hash)]:
			items.Reachable = append(items.Reachable, nameFingerprint(m.hash)) // the other considers the member dead
		case m.state == dead && !theirDead[nameFingerprint(m.hash)] && has:
			n.queueCheck(m) // the other is in contact with the member, or hasn't detected its failure yet: probe it
		}
		if !has && m.name != own.Name && m.state != dead {
			add(m.claim)
		}
	}
	for _, f := range d.Members {
		if theirs[f] && f != n.ownFingerprint() {
			items.MissingClaims = append(items.MissingClaims, f)
		}
	}
	n.compareRumours(now, d.Rumours, items, &room)
	n.counts.Syncs++
	n.charge(now, items.Bytes())
	n.counts.SentBytes += int64(items.Bytes())
	return items
}

// ownFingerprint stands for this instance's claim about itself, as others hold it if they are up to date.
func (n *Node) ownFingerprint() Fingerprint {
	m := member{hash: hash(n.config.Name), claim: n.own}
	return m.fingerprint()
}

// fingerprintSet returns the fingerprints of a list as a set.
func fingerprintSet(list []Fingerprint) map[Fingerprint]bool {
	set := make(map[Fingerprint]bool, len(list))
	for _, f := range list {
		set[f] = true
	}
	return set
}

// compareRumours adds to items the rumours that the other lacks, the youngest first and as far as there is room, and
// the fingerprints of those that are lacking here.
func (n *Node) compareRumours(now time.Duration, theirs []Fingerprint, items *Items, room *int) {
	has := fingerprintSet(theirs)
	var missing []*entry
	for _, name := range n.rumours.observers {
		for _, e := range n.rumours.byObserver[name] {
			if f := e.fingerprint(); has[f] {
				delete(has, f)
			} else {
				missing = append(missing, e)
			}
		}
	}
	slices.SortStableFunc(missing, func(a, b *entry) int { return cmp.Compare(a.age(now), b.age(now)) })
	for _, e := range missing {
		if size := e.maxBytes(); size <= *room && e.age(now) < n.config.RumourLife {
			*room -= size
			items.Rumours = append(items.Rumours, RelayedRumour{e.Rumour, e.age(now)})
		}
	}
	for _, f := range theirs {
		if has[f] {
			items.MissingRumours = append(items.MissingRumours, f)
		}
	}
}

// ExchangeAnswered handles the answer to an exchange that this instance started, and returns what the other wants in
// turn, or nil if there is nothing to send.
func (n *Node) ExchangeAnswered(now time.Duration, items *Items) *Items {
	n.detectPause(now)
	defer func() { n.scheduleWake(now) }()
	n.counts.Syncs++
	if n.inactive && n.own.Kind == Left {
		return nil
	}
	responder := "" // name of the instance that has answered
	if len(items.Claims) > 0 && items.Claims[0].Kind == Alive {
		responder = items.Claims[0].Name // an answer begins with the sender's claim about itself
	}
	n.learnAddr(now, responder, items.ObservedAddr)
	n.applyItems(now, items)
	if slices.Contains(items.Reachable, nameFingerprint(hash(n.config.Name))) {
		return nil // another run holds this instance's name there, so no claim or rumour of this one would count
	}
	if !n.joined {
		n.joined, n.inactive = true, false
		n.joinBackoff = n.config.ProbeEvery
		n.host.Log("joined", responder)
		n.bumpIncarnation(now)
		n.nextProbe = now + n.jitter(n.config.ProbeEvery)
	}
	if len(items.Claims) > 8 { // much was missing, and there may be more
		n.nextSync = min(n.nextSync, now+n.config.ProbeEvery)
	}
	give := &Items{}
	room := n.answerBudget(now)
	missingClaims, missingRumours := fingerprintSet(items.MissingClaims), fingerprintSet(items.MissingRumours)
	for _, m := range n.members {
		if missingClaims[m.fingerprint()] && m.claim.maxBytes() <= room {
			room -= m.claim.maxBytes()
			give.Claims = append(give.Claims, m.claim)
		}
	}
	for _, name := range n.rumours.observers {
		for _, e := range n.rumours.byObserver[name] {
			if size := e.maxBytes(); missingRumours[e.fingerprint()] && size <= room {
				room -= size
				give.Rumours = append(give.Rumours, RelayedRumour{e.Rumour, e.age(now)})
			}
		}
	}
	if len(give.Claims)+len(give.Rumours) == 0 {
		return nil
	}
	n.charge(now, give.Bytes())
	n.counts.SentBytes += int64(give.Bytes())
	return give
}

// ExchangeCompleted handles what the instance that started an exchange sends last.
func (n *Node) ExchangeCompleted(now time.Duration, items *Items) {
	n.detectPause(now)
	n.applyItems(now, items)
	n.scheduleWake(now)
}

// ExchangeFailed is called when an exchange that this instance started has failed. It has no effect on membership.
func (n *Node) ExchangeFailed(now time.Duration, with netip.AddrPort) { n.counts.SyncsFailed++ }

// applyItems handles the claims and rumours that the other side of an exchange has sent.
func (n *Node) applyItems(now time.Duration, items *Items) {
	for i := range items.Claims {
		n.handleClaim(now, &items.Claims[i], true)
	}
	for i := range items.Rumours {
		n.handleRumour(now, &items.Rumours[i])
	}
	reachable := fingerprintSet(items.Reachable)
	for _, m := range n.members {
		if m.state == dead && reachable[nameFingerprint(m.hash)] {
			n.queueCheck(m) // another instance is in contact with the member: probe it
		}
	}
}

// learnAddr records the address at which another instance sees this one, if this one's address is to be learned. The
// address reported by most instances is used, as single ones may lie.
func (n *Node) learnAddr(now time.Duration, reporter string, addr netip.Addr) {
	if !n.config.LearnAddr || reporter == "" || !addr.IsValid() {
		return
	}
	addr = addr.Unmap()
	if n.observedAddrs[addr] == nil {
		if len(n.observedAddrs) >= 8 {
			return
		}
		n.observedAddrs[addr] = map[string]bool{}
	}
	if len(n.observedAddrs[addr]) < n.config.Members {
		n.observedAddrs[addr][reporter] = true
	}
	best := n.own.Addr.Addr()
	for a, reporters := range n.observedAddrs {
		if len(reporters) > len(n.observedAddrs[best]) ||
			len(reporters) == len(n.observedAddrs[best]) && best != n.own.Addr.Addr() && a.Less(best) {
			best = a
		}
	}
	if best != n.own.Addr.Addr() {
		n.own.Addr = netip.AddrPortFrom(best, n.own.Addr.Port())
		n.host.Log("address_learned", n.own.Addr.String())
		if n.joined {
			n.bumpIncarnation(now)
		}
	}
}
