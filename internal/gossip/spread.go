package gossip

import (
	"cmp"
	"slices"
	"time"
)

// item is news: a claim, or a rumour where that is set. It is told a bounded number of times, the newest and least told
// first.
type item struct {
	claim  Claim
	rumour *entry
	about  string // of a claim: whom it is of
	told   int
	at     time.Duration
}

// done tells whether an item has been told often enough. Where each hearer tells k others drawn by chance, about one in
// e^k hears nothing, however many there are. A rumour on a server is to reach nearly all within a second or two; who misses
// a word on a member hears it at the next comparison of tables, and those words are long.
func (i *item) done() bool { return i.told >= tellRumour || i.rumour == nil && i.told >= tellClaim }

// replaces tells whether one item makes another stale.
func (i *item) replaces(o *item) bool {
	if i.rumour != nil || o.rumour != nil {
		return i.rumour == o.rumour
	}
	if i.about != o.about || (i.claim.Kind == Accused) != (o.claim.Kind == Accused) {
		return i.about == o.about && i.claim.Kind != Accused // what a member says of itself ends accusations
	}
	return i.claim.Kind != Accused || i.claim.By == o.claim.By
}

// spread queues news. What it makes stale is told no more.
func (n *Node) spread(now time.Duration, i item) {
	if n.quiet {
		return
	}
	i.at = now
	n.news = slices.DeleteFunc(n.news, func(o *item) bool { return i.replaces(o) })
	if most := 2*n.set.Members + n.set.Rumours; len(n.news) >= most {
		n.news = slices.Delete(n.news, 0, 1) // the oldest; a comparison of tables heals what is missed
	}
	n.news = append(n.news, &i)
	n.nextTell = max(n.nextTell, now)
	n.sooner(n.nextTell)
}

// unspread takes a rumour that has ended out of the news.
func (n *Node) unspread(e *entry) {
	n.news = slices.DeleteFunc(n.news, func(i *item) bool { return i.rumour == e })
}

// tell sends what is new to some members drawn by chance, as far as the byte budget allows.
func (n *Node) tell(now time.Duration) {
	n.nextTell = now + n.set.TellEvery
	if len(n.news) == 0 || n.quiet || !n.joined {
		return
	}
	for _, m := range n.some(n.set.DatagramsPerTell, func(m *member) bool { return m.state == alive }) {
		if len(n.news) == 0 {
			return
		}
		if !n.affords(now) {
			n.counts.TellsPutOff++
			return
		}
		n.send(now, m, n.loaded(now, m, &Message{Kind: Tell}))
	}
}

// loaded fills a message with news, as much as fits into a datagram. Who may not know us is told who we are where an answer
// will show whether it does.
func (n *Node) loaded(now time.Duration, to *member, msg *Message) *Message {
	if msg.Kind != Tell && !to.knowsUs && !slices.ContainsFunc(msg.Claims, func(c Claim) bool { return c.Name == n.set.Name }) {
		msg.Claims = append(msg.Claims, n.self(now))
	}
	if len(n.news) == 0 || !n.affords(now) {
		return msg
	}
	slices.SortStableFunc(n.news, func(a, b *item) int {
		return cmp.Or(cmp.Compare(a.told, b.told), cmp.Compare(b.at, a.at))
	})
	room := n.set.Datagram + 28 - msg.Bytes()
	n.fill(msg, to, &room, room/2, func(i *item) bool { return i.rumour == nil }, now) // members first: rumours hang on them
	n.fill(msg, to, &room, room, func(i *item) bool { return i.rumour != nil }, now)
	n.news = slices.DeleteFunc(n.news, (*item).done)
	return msg
}

// fill puts news of one kind into a message, as far as its part of the room goes.
func (n *Node) fill(msg *Message, to *member, room *int, part int, kind func(*item) bool, now time.Duration) {
	for _, i := range n.news {
		if !kind(i) {
			continue
		}
		switch {
		case i.rumour != nil:
			if size := i.rumour.bytes(); size <= part {
				part -= size
				*room -= size
				i.told++
				msg.Rumours = append(msg.Rumours, Told{i.rumour.Rumour, i.rumour.age(now)})
			}
		case i.about == to.name && i.claim.Kind != Accused:
			i.told++ // it knows that best
		default:
			if size := i.claim.bytes(); size <= part {
				part -= size
				*room -= size
				i.told++
				msg.Claims = append(msg.Claims, i.claim)
			}
		}
		if part < accusedBytes {
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
	n.spent = max(0, n.spent-float64(n.set.BytesPerSecond)*(now-n.spentAt).Seconds()) + float64(bytes)
	n.spentAt = now
}

// affords tells whether the budget has room for a full datagram.
func (n *Node) affords(now time.Duration) bool {
	n.charge(now, 0)
	return n.spent+float64(n.set.Datagram) <= float64(max(burst*n.set.BytesPerSecond, 2*n.set.Datagram))
}
