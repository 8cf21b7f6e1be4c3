package gossip

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// Bounds on one comparison of tables. What is left over follows in the next one.
const (
	maxDigestRumours = 256
	maxAnswerBytes   = 6 << 10
	minAnswerBytes   = 1 << 10 // that a comparison brings at least, however short the budget is
)

// fingerprint stands for the newest claim of a member.
func (m *member) fingerprint() Mark {
	return Mark(m.hash ^ m.claim.Run ^ uint64(m.claim.Incarnation)*0x9e3779b97f4a7c15>>7 ^ uint64(m.claim.Kind)<<13)
}

// fingerprint stands for a rumour.
func (e *entry) fingerprint() Mark {
	return Mark(hash(e.Observer) ^ e.Server*0x9e3779b97f4a7c15>>9 ^ uint64(e.Number)*0xd6e8feb86659fd93>>11)
}

// nameMark stands for a name.
func nameFingerprint(hash uint64) Mark { return Mark(hash >> 17) }

// answerBudget is how many bytes the budget leaves for an answer on a stream.
func (n *Node) answerBudget(now time.Duration) int {
	n.charge(now, 0)
	return max(minAnswerBytes, min(maxAnswerBytes, budgetBurstSeconds*n.config.BytesPerSecond-int(n.budgetUsed)))
}

// join asks a seed, or somebody that is known already, for what it holds.
func (n *Node) join(now time.Duration) {
	n.joinAt = now + n.joinBackoff
	n.joinBackoff = min(2*n.joinBackoff, 10*n.config.ProbeEvery)
	if n.inactive && n.own.Kind == Left {
		return
	}
	at := n.config.Seeds
	if len(n.members) > 0 && n.rng.IntN(2) == 0 {
		at = nil
		for _, m := range n.members {
			at = append(at, m.addr)
		}
	}
	if len(at) == 0 {
		return
	}
	n.exchange(now, at[n.rng.IntN(len(at))])
}

// syncWithRandomMember compares tables with a member drawn by chance; now and then with a seed, as the members of one half of a
// partition may all have forgotten the other half.
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

func (n *Node) exchange(now time.Duration, with netip.AddrPort) {
	if with == n.own.Addr {
		return
	}
	d := n.digest(now)
	n.charge(now, d.Bytes())
	n.counts.SentBytes += int64(d.Bytes())
	n.host.Exchange(with, d)
}

// digest is what this instance holds, in short.
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

// Asked takes another's digest and gives what that one lacks. It came from the address seenAt.
func (n *Node) Asked(now time.Duration, d *Digest, seenAt netip.Addr) *Items {
	n.detectPause(now)
	defer func() { n.scheduleWake(now) }()
	items := &Items{SeenAt: seenAt}
	if n.inactive && n.own.Kind == Left {
		return items
	}
	own := d.Own
	if own.Kind == Alive && own.By == own.Name && own.Name != n.config.Name && own.Addr.Addr().IsValid() && !own.Addr.Addr().IsUnspecified() {
		n.handleClaim(now, &own, true)
		if m := n.byName[own.Name]; m != nil && m.run == own.Run && m.key == own.Key {
			n.heardFrom(now, m, own.Clock)
		}
	} else if own.Name == n.config.Name {
		n.handleClaimAboutSelf(now, &own)
	}
	theirs, missed := fingerprintSet(d.Members), fingerprintSet(d.Dead)
	room := n.answerBudget(now)
	add := func(c Claim) {
		if size := c.maxBytes(); size <= room {
			room -= size
			items.Claims = append(items.Claims, c)
		}
	}
	add(n.selfClaim(now))
	if m := n.byName[own.Name]; m != nil && m.run != own.Run { // it is to know that its name was, or is, another's
		add(m.claim)
		if m.state == alive {
			items.Alive = append(items.Alive, nameFingerprint(m.hash))
		}
	}
	// From a random place on, so that one who lacks much gets another part from each that it asks.
	for i, start := 0, n.rng.IntN(len(n.members)+1); i < len(n.members); i++ {
		m := n.members[(start+i)%len(n.members)]
		has := theirs[m.fingerprint()]
		delete(theirs, m.fingerprint())
		switch {
		case m.name == own.Name:
		case m.state == alive && missed[nameFingerprint(m.hash)]:
			items.Alive = append(items.Alive, nameFingerprint(m.hash))
		case m.state == dead && !missed[nameFingerprint(m.hash)] && has:
			n.queueCheck(m) // they have contact with it, or have not missed it yet: look again
		}
		if !has && m.name != own.Name && m.state != dead {
			add(m.claim)
		}
	}
	for _, mark := range d.Members {
		if theirs[mark] && mark != n.ownFingerprint() {
			items.Wants = append(items.Wants, mark)
		}
	}
	n.compareRumours(now, d.Rumours, items, &room)
	n.counts.Syncs++
	n.charge(now, items.Bytes())
	n.counts.SentBytes += int64(items.Bytes())
	return items
}

// ownFingerprint is what others hold of this instance, if they are up to date.
func (n *Node) ownFingerprint() Mark {
	m := member{hash: hash(n.config.Name), claim: n.own}
	return m.fingerprint()
}

func fingerprintSet(all []Mark) map[Mark]bool {
	set := make(map[Mark]bool, len(all))
	for _, m := range all {
		set[m] = true
	}
	return set
}

// compareRumours gives the rumours that another lacks, the youngest first and as far as there is room, and asks for those that
// are lacking here.
func (n *Node) compareRumours(now time.Duration, theirs []Mark, items *Items, room *int) {
	has := fingerprintSet(theirs)
	var missing []*entry
	for _, name := range n.rumours.observers {
		for _, e := range n.rumours.byObserver[name] {
			if mark := e.fingerprint(); has[mark] {
				delete(has, mark)
			} else {
				missing = append(missing, e)
			}
		}
	}
	slices.SortStableFunc(missing, func(a, b *entry) int { return cmp.Compare(a.age(now), b.age(now)) })
	for _, e := range missing {
		if size := e.maxBytes(); size <= *room && e.age(now) < n.config.RumourLife {
			*room -= size
			items.Rumours = append(items.Rumours, Told{e.Rumour, e.age(now)})
		}
	}
	for _, mark := range theirs {
		if has[mark] {
			items.Lacks = append(items.Lacks, mark)
		}
	}
}

// Exchanged takes what the asked one sent and gives what it wants in turn; nothing if that is nil.
func (n *Node) Exchanged(now time.Duration, items *Items) *Items {
	n.detectPause(now)
	defer func() { n.scheduleWake(now) }()
	n.counts.Syncs++
	if n.inactive && n.own.Kind == Left {
		return nil
	}
	who := ""
	if len(items.Claims) > 0 && items.Claims[0].Kind == Alive {
		who = items.Claims[0].Name // the asked one speaks of itself first
	}
	n.learnAddr(now, who, items.SeenAt)
	n.applyItems(now, items)
	if slices.Contains(items.Alive, nameFingerprint(hash(n.config.Name))) {
		return nil // another run holds our name there: nothing that we say would count
	}
	if !n.joined {
		n.joined, n.inactive = true, false
		n.joinBackoff = n.config.ProbeEvery
		n.host.Log("joined", who)
		n.bumpIncarnation(now)
		n.nextProbe = now + n.jitter(n.config.ProbeEvery)
	}
	if len(items.Claims) > 8 { // there was much to learn, and there may be more
		n.nextSync = min(n.nextSync, now+n.config.ProbeEvery)
	}
	give := &Items{}
	room := n.answerBudget(now)
	wants, lacks := fingerprintSet(items.Wants), fingerprintSet(items.Lacks)
	for _, m := range n.members {
		if wants[m.fingerprint()] && m.claim.maxBytes() <= room {
			room -= m.claim.maxBytes()
			give.Claims = append(give.Claims, m.claim)
		}
	}
	for _, name := range n.rumours.observers {
		for _, e := range n.rumours.byObserver[name] {
			if size := e.maxBytes(); lacks[e.fingerprint()] && size <= room {
				room -= size
				give.Rumours = append(give.Rumours, Told{e.Rumour, e.age(now)})
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

// Given takes what the one that asked sends at last.
func (n *Node) Given(now time.Duration, items *Items) {
	n.detectPause(now)
	n.applyItems(now, items)
	n.scheduleWake(now)
}

// ExchangeFailed says that a comparison came to nothing. Membership does not hang on it.
func (n *Node) ExchangeFailed(now time.Duration, with netip.AddrPort) { n.counts.SyncsFailed++ }

func (n *Node) applyItems(now time.Duration, items *Items) {
	for i := range items.Claims {
		n.handleClaim(now, &items.Claims[i], true)
	}
	for i := range items.Rumours {
		n.handleRumour(now, &items.Rumours[i])
	}
	contact := fingerprintSet(items.Alive)
	for _, m := range n.members {
		if m.state == dead && contact[nameFingerprint(m.hash)] {
			n.queueCheck(m) // somebody has contact with it: look again
		}
	}
}

// learnAddr takes the address at which another sees us, where ours is not known. One may lie; most do not.
func (n *Node) learnAddr(now time.Duration, who string, seen netip.Addr) {
	if !n.config.Learn || who == "" || !seen.IsValid() {
		return
	}
	seen = seen.Unmap()
	if n.observedAddrs[seen] == nil {
		if len(n.observedAddrs) >= 8 {
			return
		}
		n.observedAddrs[seen] = map[string]bool{}
	}
	if len(n.observedAddrs[seen]) < n.config.Members {
		n.observedAddrs[seen][who] = true
	}
	best := n.own.Addr.Addr()
	for a, by := range n.observedAddrs {
		if len(by) > len(n.observedAddrs[best]) || len(by) == len(n.observedAddrs[best]) && best != n.own.Addr.Addr() && a.Less(best) {
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
