package gossip

import (
	"cmp"
	"slices"
	"time"
)

// item is news: a claim, or a rumour where that is set. It is told a bounded number of times, the newest and least told
// first.
type update struct {
	claim         Claim
	rumour        *entry
	subject       string // of a claim: whom it is of
	transmissions int
	queuedAt      time.Duration
}

// done tells whether an item has been told often enough. Where each hearer tells k others drawn by chance, about one in
// e^k hears nothing, however many there are. A rumour on a server is to reach nearly all within a second or two; who misses
// a word on a member hears it at the next comparison of tables, and those words are long.
func (i *update) done() bool {
	return i.transmissions >= rumourTransmissions || i.rumour == nil && i.transmissions >= claimTransmissions
}

// replaces tells whether one item makes another stale.
func (i *update) replaces(o *update) bool {
	if i.rumour != nil || o.rumour != nil {
		return i.rumour == o.rumour
	}
	if i.subject != o.subject || (i.claim.Kind == Accused) != (o.claim.Kind == Accused) {
		return i.subject == o.subject && i.claim.Kind != Accused // what a member says of itself ends accusations
	}
	return i.claim.Kind != Accused || i.claim.By == o.claim.By
}

// queueUpdate queues news. What it makes stale is told no more.
func (n *Node) queueUpdate(now time.Duration, i update) {
	if n.inactive {
		return
	}
	i.queuedAt = now
	n.updates = slices.DeleteFunc(n.updates, func(o *update) bool { return i.replaces(o) })
	if most := 2*n.config.Members + n.config.Rumours; len(n.updates) >= most {
		n.updates = slices.Delete(n.updates, 0, 1) // the oldest; a comparison of tables heals what is missed
	}
	n.updates = append(n.updates, &i)
	n.nextTell = max(n.nextTell, now)
	n.wakeBy(n.nextTell)
}

// dequeueRumour takes a rumour that has ended out of the news.
func (n *Node) dequeueRumour(e *entry) {
	n.updates = slices.DeleteFunc(n.updates, func(i *update) bool { return i.rumour == e })
}

// sendUpdates sends what is new to some members drawn by chance, as far as the byte budget allows.
func (n *Node) sendUpdates(now time.Duration) {
	n.nextTell = now + n.config.TellEvery
	if len(n.updates) == 0 || n.inactive || !n.joined {
		return
	}
	for _, m := range n.randomMembers(n.config.DatagramsPerTell, func(m *member) bool { return m.state == alive }) {
		if len(n.updates) == 0 {
			return
		}
		if !n.withinBudget(now) {
			n.counts.TellsPutOff++
			return
		}
		n.send(now, m, n.withUpdates(now, m, &Message{Kind: Tell}))
	}
}

// withUpdates fills a message with news, as much as fits into a datagram. Who may not know us is told who we are where an answer
// will show whether it does.
func (n *Node) withUpdates(now time.Duration, to *member, msg *Message) *Message {
	if msg.Kind != Tell && !to.knowsUs && !slices.ContainsFunc(msg.Claims, func(c Claim) bool { return c.Name == n.config.Name }) {
		msg.Claims = append(msg.Claims, n.selfClaim(now))
	}
	if len(n.updates) == 0 || !n.withinBudget(now) {
		return msg
	}
	slices.SortStableFunc(n.updates, func(a, b *update) int {
		return cmp.Or(cmp.Compare(a.transmissions, b.transmissions), cmp.Compare(b.queuedAt, a.queuedAt))
	})
	room := n.config.Datagram + 28 - msg.Bytes()
	n.addUpdates(msg, to, &room, room/2, func(i *update) bool { return i.rumour == nil }, now) // members first: rumours hang on them
	n.addUpdates(msg, to, &room, room, func(i *update) bool { return i.rumour != nil }, now)
	n.updates = slices.DeleteFunc(n.updates, (*update).done)
	return msg
}

// addUpdates puts news of one kind into a message, as far as its part of the room goes.
func (n *Node) addUpdates(msg *Message, to *member, room *int, part int, kind func(*update) bool, now time.Duration) {
	for _, i := range n.updates {
		if !kind(i) {
			continue
		}
		switch {
		case i.rumour != nil:
			if size := i.rumour.maxBytes(); size <= part {
				part -= size
				*room -= size
				i.transmissions++
				msg.Rumours = append(msg.Rumours, Told{i.rumour.Rumour, i.rumour.age(now)})
			}
		case i.subject == to.name && i.claim.Kind != Accused:
			i.transmissions++ // it knows that best
		default:
			if size := i.claim.maxBytes(); size <= part {
				part -= size
				*room -= size
				i.transmissions++
				msg.Claims = append(msg.Claims, i.claim)
			}
		}
		if part < maxAccusationBytes {
			return
		}
	}
}

// send hands a datagram to the host and charges it to the byte budget. Probes and answers are never put off: they are
// few, and who is silent is held dead.
func (n *Node) send(now time.Duration, m *member, msg *Message) {
	msg.Clock = now
	n.charge(now, msg.Bytes())
	n.counts.Sent++
	n.counts.SentBytes += int64(msg.Bytes())
	n.host.Datagram(m.addr, m.key, msg)
}

// charge takes bytes from the budget, which time fills up.
func (n *Node) charge(now time.Duration, bytes int) {
	n.budgetUsed = max(0, n.budgetUsed-float64(n.config.BytesPerSecond)*(now-n.budgetUpdatedAt).Seconds()) + float64(bytes)
	n.budgetUpdatedAt = now
}

// withinBudget tells whether the budget has room for a full datagram.
func (n *Node) withinBudget(now time.Duration) bool {
	n.charge(now, 0)
	return n.budgetUsed+float64(n.config.Datagram) <= float64(max(budgetBurstSeconds*n.config.BytesPerSecond, 2*n.config.Datagram))
}
