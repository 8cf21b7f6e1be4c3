package gossip

import (
	"slices"
	"time"
)

// probe is a ping that is out.
type probe struct {
	m      *member
	number uint32
	began  time.Duration
	helpAt time.Duration // when others are asked, 0 once they have been
	end    time.Duration
	asked  int // helpers
	nacks  int // of them that are there but have not heard from the member either
}

func (p *probe) due() time.Duration {
	if p.helpAt > 0 {
		return min(p.helpAt, p.end)
	}
	return p.end
}

// errand is a ping on behalf of another.
type errand struct {
	number  uint32 // of our ping
	to      *member
	theirs  uint32 // number of the probe that it is for
	forWhom *member
	nackAt  time.Duration
	end     time.Duration
	nacked  bool
}

// round probes the next member in turn and those that there is reason to look at.
func (n *Node) round(now time.Duration) {
	n.nextProbe = now + n.scaled(n.set.ProbeEvery)
	if n.quiet || !n.joined {
		return
	}
	if m := n.nextTurn(now); m != nil {
		n.probe(now, m)
	}
	checks := n.checks
	n.checks = nil
	for i, m := range checks {
		if i >= checksARound {
			n.checks = append(n.checks, m)
			continue
		}
		m.checking = false
		if m.state != left && !n.probing(m) {
			n.probe(now, m)
		}
	}
}

// nextTurn is the next member to be probed: each once, in an order that is drawn anew for each turn. Dead ones are tried
// now and then, as both sides of a partition hold the other side dead.
func (n *Node) nextTurn(now time.Duration) *member {
	for tries := len(n.members) + 1; tries > 0; tries-- {
		if len(n.turns) == 0 {
			if len(n.members) == 0 {
				return nil
			}
			n.turns = append(n.turns, n.members...)
			n.rng.Shuffle(len(n.turns), func(i, j int) { n.turns[i], n.turns[j] = n.turns[j], n.turns[i] })
		}
		m := n.turns[len(n.turns)-1]
		n.turns = n.turns[:len(n.turns)-1]
		switch {
		case m.state == left || n.probing(m) || m.checking:
		case m.state == dead && now < m.deadAt:
		default:
			if m.state == dead {
				m.deadAt = now + n.deadEvery()
			}
			return m
		}
	}
	return nil
}

// deadEvery is how long a dead member is left alone. Among many instances somebody still tries each every few rounds.
func (n *Node) deadEvery() time.Duration {
	return n.set.ProbeEvery * time.Duration(10+len(n.members)/10)
}

func (n *Node) probing(m *member) bool {
	return slices.ContainsFunc(n.probes, func(p *probe) bool { return p.m == m })
}

// check has a member probed beside its turn.
func (n *Node) check(m *member) {
	if !m.checking && len(n.checks) < n.set.Members {
		m.checking = true
		n.checks = append(n.checks, m)
	}
}

func (n *Node) probe(now time.Duration, m *member) {
	n.counter++
	p := &probe{m: m, number: n.counter, began: now, helpAt: now + n.scaled(n.set.ProbeTimeout), end: now + n.scaled(n.set.ProbeEvery)}
	n.probes = append(n.probes, p)
	n.send(now, m, n.loaded(now, m, &Message{Kind: Ping, Number: p.number}))
}

// timeOuts looks at what is out: helpers are asked, failures judged.
func (n *Node) timeOuts(now time.Duration) {
	var failed []*probe
	n.probes = slices.DeleteFunc(n.probes, func(p *probe) bool {
		if p.helpAt > 0 && now >= p.helpAt {
			p.helpAt = 0
			if p.m.state != dead { // one that is only tried again is not worth others' datagrams
				for _, h := range n.some(helpers, func(h *member) bool { return h != p.m && h.state == alive }) {
					p.asked++
					n.send(now, h, &Message{Kind: PingFor, Number: p.number, Target: p.m.name, TargetAt: p.m.addr})
				}
			}
		}
		if now < p.end {
			return false
		}
		failed = append(failed, p)
		return true
	})
	for _, p := range failed {
		if p.m.heardAt >= p.began { // it was heard of by another way
			continue
		}
		// Helpers that do not even say that they are there hint at a trouble of our own.
		if p.asked > 0 && p.nacks == 0 {
			n.doubts(1)
		}
		n.suspects(now, p.m)
	}
	n.helping = slices.DeleteFunc(n.helping, func(e *errand) bool {
		if !e.nacked && now >= e.nackAt {
			e.nacked = true
			n.send(now, e.forWhom, &Message{Kind: Nack, Number: e.theirs})
		}
		return now >= e.end
	})
}

// answer does what a message asks for.
func (n *Node) answer(now time.Duration, m *member, msg *Message) {
	if n.quiet {
		return
	}
	switch msg.Kind {
	case Ping:
		ack := &Message{Kind: Ack, Number: msg.Number}
		if msg.Prove {
			ack.Claims = []Claim{n.self(now)}
		}
		n.send(now, m, n.loaded(now, m, ack))
	case Ack:
		if i := slices.IndexFunc(n.probes, func(p *probe) bool { return p.number == msg.Number && p.m == m }); i >= 0 {
			n.probes = slices.Delete(n.probes, i, i+1)
			n.doubts(-1)
		} else if i := slices.IndexFunc(n.helping, func(e *errand) bool { return e.number == msg.Number && e.to == m }); i >= 0 {
			e := n.helping[i]
			n.helping = slices.Delete(n.helping, i, i+1)
			n.send(now, e.forWhom, &Message{Kind: Ack, Number: e.theirs, Claims: []Claim{m.claim}})
		}
	case PingFor:
		if to := n.byName[msg.Target]; to != nil && to != m && len(n.helping) < 4*helpers && to.state != left {
			n.counter++
			n.helping = append(n.helping, &errand{number: n.counter, to: to, theirs: msg.Number, forWhom: m,
				nackAt: now + n.set.ProbeTimeout, end: now + n.set.ProbeEvery})
			n.send(now, to, &Message{Kind: Ping, Number: n.counter, Prove: true})
		}
	case Nack:
		for _, p := range n.probes {
			if p.number == msg.Number && p.nacks < p.asked {
				p.nacks++
			}
		}
	}
}
