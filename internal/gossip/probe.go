package gossip

import (
	"slices"
	"time"
)

// probe is a ping that is out.
type probe struct {
	target       *member
	number       uint32
	startedAt    time.Duration
	indirectAt   time.Duration // when others are asked, 0 once they have been
	deadline     time.Duration
	helpersAsked int // helpers
	nacks        int // of them that are there but have not heard from the member either
}

func (p *probe) nextEventAt() time.Duration {
	if p.indirectAt > 0 {
		return min(p.indirectAt, p.deadline)
	}
	return p.deadline
}

// errand is a ping on behalf of another.
type relayedPing struct {
	number          uint32 // of our ping
	target          *member
	requesterNumber uint32 // number of the probe that it is for
	requester       *member
	nackAt          time.Duration
	deadline        time.Duration
	nacked          bool
}

// probeRound probes the next member in turn and those that there is reason to look at.
func (n *Node) probeRound(now time.Duration) {
	n.nextProbe = now + n.scaled(n.config.ProbeEvery)
	if n.inactive || !n.joined {
		return
	}
	if m := n.nextTarget(now); m != nil {
		n.startProbe(now, m)
	}
	checks := n.checks
	n.checks = nil
	for i, m := range checks {
		if i >= maxChecksPerRound {
			n.checks = append(n.checks, m)
			continue
		}
		m.checkQueued = false
		if m.state != left && !n.probing(m) {
			n.startProbe(now, m)
		}
	}
}

// nextTarget is the next member to be probed: each once, in an order that is drawn anew for each turn. Dead ones are tried
// now and then, as both sides of a partition hold the other side dead.
func (n *Node) nextTarget(now time.Duration) *member {
	for tries := len(n.members) + 1; tries > 0; tries-- {
		if len(n.probeOrder) == 0 {
			if len(n.members) == 0 {
				return nil
			}
			n.probeOrder = append(n.probeOrder, n.members...)
			n.rng.Shuffle(len(n.probeOrder), func(i, j int) { n.probeOrder[i], n.probeOrder[j] = n.probeOrder[j], n.probeOrder[i] })
		}
		m := n.probeOrder[len(n.probeOrder)-1]
		n.probeOrder = n.probeOrder[:len(n.probeOrder)-1]
		switch {
		case m.state == left || n.probing(m) || m.checkQueued:
		case m.state == dead && now < m.retryAt:
		default:
			if m.state == dead {
				m.retryAt = now + n.deadProbeInterval()
			}
			return m
		}
	}
	return nil
}

// deadProbeInterval is how long a dead member is left alone. Among many instances somebody still tries each every few rounds.
func (n *Node) deadProbeInterval() time.Duration {
	return n.config.ProbeEvery * time.Duration(10+len(n.members)/10)
}

func (n *Node) probing(m *member) bool {
	return slices.ContainsFunc(n.probes, func(p *probe) bool { return p.target == m })
}

// queueCheck has a member probed beside its turn.
func (n *Node) queueCheck(m *member) {
	if !m.checkQueued && len(n.checks) < n.config.Members {
		m.checkQueued = true
		n.checks = append(n.checks, m)
	}
}

func (n *Node) startProbe(now time.Duration, m *member) {
	n.lastProbeNumber++
	p := &probe{target: m, number: n.lastProbeNumber, startedAt: now, indirectAt: now + n.scaled(n.config.ProbeTimeout), deadline: now + n.scaled(n.config.ProbeEvery)}
	n.probes = append(n.probes, p)
	n.send(now, m, n.withUpdates(now, m, &Message{Kind: Ping, Number: p.number}))
}

// processTimeouts looks at what is out: helpers are asked, failures judged.
func (n *Node) processTimeouts(now time.Duration) {
	var failed []*probe
	n.probes = slices.DeleteFunc(n.probes, func(p *probe) bool {
		if p.indirectAt > 0 && now >= p.indirectAt {
			p.indirectAt = 0
			if p.target.state != dead { // one that is only tried again is not worth others' datagrams
				for _, h := range n.randomMembers(probeHelpers, func(h *member) bool { return h != p.target && h.state == alive }) {
					p.helpersAsked++
					n.send(now, h, &Message{Kind: PingFor, Number: p.number, Target: p.target.name, TargetAt: p.target.addr})
				}
			}
		}
		if now < p.deadline {
			return false
		}
		failed = append(failed, p)
		return true
	})
	for _, p := range failed {
		if p.target.lastHeardAt >= p.startedAt { // it was heard of by another way
			continue
		}
		// Helpers that do not even say that they are there hint at a trouble of our own.
		if p.helpersAsked > 0 && p.nacks == 0 {
			n.adjustHealthScore(1)
		}
		n.handleProbeFailure(now, p.target)
	}
	n.relayedPings = slices.DeleteFunc(n.relayedPings, func(e *relayedPing) bool {
		if !e.nacked && now >= e.nackAt {
			e.nacked = true
			n.send(now, e.requester, &Message{Kind: Nack, Number: e.requesterNumber})
		}
		return now >= e.deadline
	})
}

// handleMessage does what a message asks for.
func (n *Node) handleMessage(now time.Duration, m *member, msg *Message) {
	if n.inactive {
		return
	}
	switch msg.Kind {
	case Ping:
		ack := &Message{Kind: Ack, Number: msg.Number}
		if msg.Prove {
			ack.Claims = []Claim{n.selfClaim(now)}
		}
		n.send(now, m, n.withUpdates(now, m, ack))
	case Ack:
		if i := slices.IndexFunc(n.probes, func(p *probe) bool { return p.number == msg.Number && p.target == m }); i >= 0 {
			n.probes = slices.Delete(n.probes, i, i+1)
			n.adjustHealthScore(-1)
		} else if i := slices.IndexFunc(n.relayedPings, func(e *relayedPing) bool { return e.number == msg.Number && e.target == m }); i >= 0 {
			e := n.relayedPings[i]
			n.relayedPings = slices.Delete(n.relayedPings, i, i+1)
			n.send(now, e.requester, &Message{Kind: Ack, Number: e.requesterNumber, Claims: []Claim{m.claim}})
		}
	case PingFor:
		if to := n.byName[msg.Target]; to != nil && to != m && len(n.relayedPings) < 4*probeHelpers && to.state != left {
			n.lastProbeNumber++
			n.relayedPings = append(n.relayedPings, &relayedPing{number: n.lastProbeNumber, target: to, requesterNumber: msg.Number, requester: m,
				nackAt: now + n.config.ProbeTimeout, deadline: now + n.config.ProbeEvery})
			n.send(now, to, &Message{Kind: Ping, Number: n.lastProbeNumber, Prove: true})
		}
	case Nack:
		for _, p := range n.probes {
			if p.number == msg.Number && p.nacks < p.helpersAsked {
				p.nacks++
			}
		}
	}
}
