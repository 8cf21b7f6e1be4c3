package gossip

import (
	"cmp"
	"slices"
	"time"
)

// update is a claim, or a rumour where that is set, that is being disseminated. It is sent a bounded number of times.
// Updates sent fewer times go first, and the newest of those.
type update struct {
	claim         Claim
	rumour        *entry
	subject       string // of a claim: name of the member that it is about
	transmissions int
	queuedAt      time.Duration
}

// done reports whether the update has been sent often enough. When each receiver sends it to k others drawn at random,
// about one instance in e^k receives nothing, however many instances there are. A rumour about a server has to reach
// nearly all of them within a second or two. Claims are long, and an instance that misses one receives it in its next
// anti-entropy exchange, so they are sent fewer times.
func (u *update) done() bool {
	return u.transmissions >= rumourTransmissions || u.rumour == nil && u.transmissions >= claimTransmissions
}

// replaces reports whether the update makes another one stale.
func (u *update) replaces(o *update) bool {
	if u.rumour != nil || o.rumour != nil {
		return u.rumour == o.rumour
	}
	if u.subject != o.subject || (u.claim.Kind == Accused) != (o.claim.Kind == Accused) {
		return u.subject == o.subject && u.claim.Kind != Accused // a member's claim about itself ends accusations against it
	}
	return u.claim.Kind != Accused || u.claim.By == o.claim.By
}

// queueUpdate queues an update for dissemination and drops those that it makes stale.
func (n *Node) queueUpdate(now time.Duration, u update) {
	if n.inactive {
		return
	}
	u.queuedAt = now
	n.updates = slices.DeleteFunc(n.updates, func(o *update) bool { return u.replaces(o) })
	if limit := 2*n.config.Members + n.config.Rumours; len(n.updates) >= limit {
		n.updates = slices.Delete(n.updates, 0, 1) // the first in the queue; anti-entropy repairs what is missed
	}
	n.updates = append(n.updates, &u)
	n.nextTell = max(n.nextTell, now)
	n.wakeBy(n.nextTell)
}

// dequeueRumour removes a rumour that is no longer held from the updates.
func (n *Node) dequeueRumour(e *entry) {
	n.updates = slices.DeleteFunc(n.updates, func(u *update) bool { return u.rumour == e })
}

// sendUpdates runs one gossip round: it sends updates to some members drawn at random, as far as the byte budget
// allows.
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

// withUpdates adds to a message as many updates as fit into a datagram and returns the message. A probe or an answer to
// a member that may not know this instance also carries this instance's claim about itself. Gossip doesn't, because no
// answer to it would show whether the claim has arrived.
func (n *Node) withUpdates(now time.Duration, to *member, msg *Message) *Message {
	if msg.Kind != Tell && !to.knowsUs &&
		!slices.ContainsFunc(msg.Claims, func(c Claim) bool { return c.Name == n.config.Name }) {
		msg.Claims = append(msg.Claims, n.selfClaim(now))
	}
	if len(n.updates) == 0 || !n.withinBudget(now) {
		return msg
	}
	slices.SortStableFunc(n.updates, func(a, b *update) int {
		return cmp.Or(cmp.Compare(a.transmissions, b.transmissions), cmp.Compare(b.queuedAt, a.queuedAt))
	})
	// Bytes counts the 28 bytes of the headers of IP and UDP, Datagram doesn't.
	room := n.config.Datagram + 28 - msg.Bytes()
	// Claims go first, as a rumour is dropped where its observer is unknown.
	n.addUpdates(msg, to, &room, room/2, func(u *update) bool { return u.rumour == nil }, now)
	n.addUpdates(msg, to, &room, room, func(u *update) bool { return u.rumour != nil }, now)
	n.updates = slices.DeleteFunc(n.updates, (*update).done)
	return msg
}

// addUpdates adds the updates that match a filter to a message, up to limit bytes, and takes their size off the room.
func (n *Node) addUpdates(msg *Message, to *member, room *int, limit int, matches func(*update) bool, now time.Duration) {
	for _, u := range n.updates {
		if !matches(u) {
			continue
		}
		switch {
		case u.rumour != nil:
			if size := u.rumour.maxBytes(); size <= limit {
				limit -= size
				*room -= size
				u.transmissions++
				msg.Rumours = append(msg.Rumours, RelayedRumour{u.rumour.Rumour, u.rumour.age(now)})
			}
		case u.subject == to.name && u.claim.Kind != Accused:
			u.transmissions++ // the member itself needs no claim of its own
		default:
			if size := u.claim.maxBytes(); size <= limit {
				limit -= size
				*room -= size
				u.transmissions++
				msg.Claims = append(msg.Claims, u.claim)
			}
		}
		if limit < maxAccusationBytes {
			return
		}
	}
}

// send passes a datagram to the host and charges it to the byte budget. Probes and answers are sent even if the budget
// is used up: they are few, and a silent instance would be held dead.
func (n *Node) send(now time.Duration, m *member, msg *Message) {
	msg.Clock = now
	n.charge(now, msg.Bytes())
	n.counts.Sent++
	n.counts.SentBytes += int64(msg.Bytes())
	n.host.Datagram(m.addr, m.key, msg)
}

// charge takes bytes from the budget, which refills with time.
func (n *Node) charge(now time.Duration, bytes int) {
	n.budgetUsed = max(0, n.budgetUsed-float64(n.config.BytesPerSecond)*(now-n.budgetUpdatedAt).Seconds()) + float64(bytes)
	n.budgetUpdatedAt = now
}

// withinBudget reports whether the budget has room for a full datagram.
func (n *Node) withinBudget(now time.Duration) bool {
	n.charge(now, 0)
	return n.budgetUsed+float64(n.config.Datagram) <=
		float64(max(budgetBurstSeconds*n.config.BytesPerSecond, 2*n.config.Datagram))
}
