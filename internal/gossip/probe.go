package gossip

import (
	"slices"
	"time"
)

// probe is a probe in flight: a ping, and the requests for indirect pings that may follow it.
type probe struct {
	target       *member
	number       uint32
	startedAt    time.Duration
	indirectAt   time.Duration // when helpers are asked; 0 once they have been
	deadline     time.Duration
	helpersAsked int
	nacks        int // helpers that have answered that they have not heard from the target either
}

// nextEventAt returns when the probe next needs attention.
func (p *probe) nextEventAt() time.Duration {
	if p.indirectAt > 0 {
		return min(p.indirectAt, p.deadline)
	}
	return p.deadline
}

// relayedPing is a ping on behalf of another member.
type relayedPing struct {
	number          uint32 // of this instance's ping
	target          *member
	requesterNumber uint32 // number of the probe that it is for
	requester       *member
	nackAt          time.Duration // when a Nack is sent if the target hasn't answered
	deadline        time.Duration
	nacked          bool
}

// probeRound probes the next member in order, and those that are queued for a check.
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

// nextTarget returns the next member to probe. Each member comes once per pass, in an order that is shuffled for each
// pass. Dead members are probed now and then, because each side of a partition holds the other side dead.
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

// deadProbeInterval returns the time between probes of a dead member. It grows with the number of members, as among
// many instances one of them still probes each dead member every few rounds.
func (n *Node) deadProbeInterval() time.Duration {
	return n.config.ProbeEvery * time.Duration(10+len(n.members)/10)
}

// probing reports whether a probe of the member is in flight.
func (n *Node) probing(m *member) bool {
	return slices.ContainsFunc(n.probes, func(p *probe) bool { return p.target == m })
}

// queueCheck queues a member to be probed out of turn.
func (n *Node) queueCheck(m *member) {
	if !m.checkQueued && len(n.checks) < n.config.Members {
		m.checkQueued = true
		n.checks = append(n.checks, m)
	}
}

// startProbe pings a member.
func (n *Node) startProbe(now time.Duration, m *member) {
	n.lastProbeNumber++
	p := &probe{target: m, number: n.lastProbeNumber, startedAt: now,
		indirectAt: now + n.scaled(n.config.ProbeTimeout), deadline: now + n.scaled(n.config.ProbeEvery)}
	n.probes = append(n.probes, p)
	n.send(now, m, n.withUpdates(now, m, &Message{Kind: Ping, Number: p.number}))
}

// processTimeouts asks helpers for indirect pings where a probe has timed out, judges probes that have failed, and
// sends the Nacks that are due for relayed pings.
func (n *Node) processTimeouts(now time.Duration) {
	var failed []*probe
	n.probes = slices.DeleteFunc(n.probes, func(p *probe) bool {
		if p.indirectAt > 0 && now >= p.indirectAt {
			p.indirectAt = 0
			if p.target.state != dead { // no indirect pings for a dead member that is merely retried
				for _, h := range n.randomMembers(probeHelpers, func(h *member) bool { return h != p.target && h.state == alive }) {
					p.helpersAsked++
					n.send(now, h, &Message{Kind: PingReq, Number: p.number, Target: p.target.name, TargetAddr: p.target.addr})
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
		if p.target.lastHeardAt >= p.startedAt { // heard from by other means
			continue
		}
		// Helpers that send not even a Nack suggest that this instance itself is in trouble.
		if p.helpersAsked > 0 && p.nacks == 0 {
			n.adjustHealthScore(1)
		}
		n.handleProbeFailure(now, p.target)
	}
	n.relayedPings = slices.DeleteFunc(n.relayedPings, func(r *relayedPing) bool {
		if !r.nacked && now >= r.nackAt {
			r.nacked = true
			n.send(now, r.requester, &Message{Kind: Nack, Number: r.requesterNumber})
		}
		return now >= r.deadline
	})
}

// handleMessage acts on a message by its kind: it answers and relays pings, and matches acks and Nacks with probes.
func (n *Node) handleMessage(now time.Duration, m *member, msg *Message) {
	if n.inactive {
		return
	}
	switch msg.Kind {
	case Ping:
		ack := &Message{Kind: Ack, Number: msg.Number}
		if msg.WantClaim {
			ack.Claims = []Claim{n.selfClaim(now)}
		}
		n.send(now, m, n.withUpdates(now, m, ack))
	case Ack:
		if i := slices.IndexFunc(n.probes, func(p *probe) bool { return p.number == msg.Number && p.target == m }); i >= 0 {
			n.probes = slices.Delete(n.probes, i, i+1)
			n.adjustHealthScore(-1)
		} else if i := slices.IndexFunc(n.relayedPings, func(r *relayedPing) bool {
			return r.number == msg.Number && r.target == m
		}); i >= 0 {
			r := n.relayedPings[i]
			n.relayedPings = slices.Delete(n.relayedPings, i, i+1)
			n.send(now, r.requester, &Message{Kind: Ack, Number: r.requesterNumber, Claims: []Claim{m.claim}})
		}
	case PingReq:
		if to := n.byName[msg.Target]; to != nil && to != m && len(n.relayedPings) < 4*probeHelpers && to.state != left {
			n.lastProbeNumber++
			n.relayedPings = append(n.relayedPings, &relayedPing{number: n.lastProbeNumber, target: to, requesterNumber: msg.Number,
				requester: m, nackAt: now + n.config.ProbeTimeout, deadline: now + n.config.ProbeEvery})
			n.send(now, to, &Message{Kind: Ping, Number: n.lastProbeNumber, WantClaim: true})
		}
	case Nack:
		for _, p := range n.probes {
			if p.number == msg.Number && p.nacks < p.helpersAsked {
				p.nacks++
			}
		}
	}
}
