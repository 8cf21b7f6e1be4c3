package emulator

import (
	"fmt"
	"slices"
	"time"

	"gorsewell/choice"
)

// checker watches the five rules from outside: it sees what gateways took, sent and answered, what they were told, and what
// servers did, and shares no code with what decides. What it finds is kept with the op's story.
type checker struct {
	sim   *simulation
	known map[*gateway]map[*server]knownState // what each gateway was told of each server
}

// told is what a gateway knows, as far as the rule on drains goes.
type knownState struct {
	since       time.Duration
	state       choice.State
	wasDraining bool // it was listed as draining at some time, which alone binds where a server called gone may run
}

type finalKind uint8

const (
	finalAcked finalKind = iota
	finalBusy
	finalError
)

// watched is what the checker notes of one op at one gateway.
type opRecord struct {
	finalAnswers    int
	openSends       int
	mayHaveRun      bool          // a send may have run
	mayHaveRunAt    time.Duration // when the first such was sent
	mayHaveRunGroup *group
	effects         int
	sendTimes       []time.Duration
	sendGroups      []*group
}

func newChecker(r *simulation) *checker {
	return &checker{sim: r, known: map[*gateway]map[*server]knownState{}}
}

// broke records a broken rule.
func (c *checker) recordViolation(rule int, t *gatewayOp, what string) {
	c.sim.result.Broken[rule-1]++
	if len(c.sim.result.Stories) >= maxStories {
		return
	}
	story := Story{Rule: rule, At: c.sim.now, What: what}
	if t != nil {
		story.Gateway, story.Op = t.gateway.index, t.request.id
		story.OpType = t.request.opType.Name
	}
	c.sim.result.Stories = append(c.sim.result.Stories, story)
}

// taken: from here on the gateway owes one final answer.
func (c *checker) opAccepted(t *gatewayOp) {
	c.sim.result.Taken++
	c.sim.traceOp(t, "taken by gateway %d, try %d, for %v more", t.gateway.index, t.tryNumber, t.clientLeavesAt-c.sim.now)
	c.sim.after(max(0, t.clientLeavesAt-c.sim.now)+c.sim.world.Rules.Slack, func() { c.checkDeadline(t) })
}

// due looks whether the answer came in its client's time. A gateway that stands still cannot answer, and is given its time
// again when it goes on.
func (c *checker) checkDeadline(t *gatewayOp) {
	g := t.gateway
	if t.record.finalAnswers > 0 || g.ops[t.id] != t {
		return // answered, or its gateway has died
	}
	if c.sim.now < g.pausedUntil+c.sim.world.Rules.Slack {
		c.sim.at(g.pausedUntil+c.sim.world.Rules.Slack, func() { c.checkDeadline(t) })
		return
	}
	if g.down {
		return
	}
	c.recordViolation(1, t, "no final answer in its client's time")
	t.record.finalAnswers = -1 // told once
}

func (c *checker) finalAnswer(t *gatewayOp, kind finalKind) {
	if t == nil {
		return // of an op that the gateway does not hold: nothing is answered
	}
	if t.record.finalAnswers++; t.record.finalAnswers > 1 {
		c.recordViolation(1, t, "a second final answer")
	}
	names := [...]string{"acked", "busy-replied", "errored"}
	c.sim.traceOp(t, "%s", names[kind])
	if kind != finalBusy {
		return
	}
	// A busy reply says that trying again is harmless.
	e, s := t.request.opType.config.Effect, t.request.opType.config.Scope
	if (t.record.mayHaveRun || t.record.openSends > 0) && (e == choice.NonRetryable || e == choice.Tokened && s != choice.ScopeAll) {
		c.recordViolation(2, t, "busy-replied though a send may have run")
	}
}

// sent: every send passes here before anything is done with it.
func (c *checker) sendStarted(g *gateway, t *gatewayOp, op uint32, s *server) {
	now := c.sim.now
	if t == nil {
		c.recordViolation(1, nil, fmt.Sprintf("gateway %d sent for op %d, which it does not hold", g.index, op))
		return
	}
	w := &t.record
	if t.done || w.finalAnswers > 0 {
		c.recordViolation(1, t, "a send after the final answer")
	}
	if w.openSends > 0 {
		c.recordViolation(2, t, "two sends out at a time")
	}
	switch t.request.opType.config.Effect {
	case choice.NonRetryable:
		if w.mayHaveRun {
			c.recordViolation(2, t, "sent again though it may have run")
		}
	case choice.Tokened:
		scope := t.request.opType.config.Scope
		if w.mayHaveRun && (now-w.mayHaveRunAt > t.request.opType.Window || scope != choice.ScopeAll && w.mayHaveRunGroup != s.group || scope == choice.ScopeZone) {
			c.recordViolation(2, t, "sent again outside of where, or when, repeats are dropped")
		}
	}
	w.openSends++
	w.sendTimes = append(w.sendTimes, now)
	w.sendGroups = append(w.sendGroups, s.group)
	if s.group != t.request.group {
		c.recordViolation(2, t, fmt.Sprintf("sent to server %d of another group", s.id))
	}
	if k, ok := c.known[g][s]; ok && k.state != choice.Ready && now > k.since+c.sim.world.Rules.Grace &&
		(!c.sim.world.Reports.GoneRuns || k.wasDraining) {
		c.recordViolation(3, t, fmt.Sprintf("sent to server %d, %v after it was told that this drains or is gone", s.id, now-k.since))
	} else if !ok || k.state == choice.Ready {
		// Who neither watches nor asks is deemed told in the end.
		if c.sim.world.List.Asked && !g.watchesList && now-g.lastListAt > c.sim.world.List.Within+c.sim.world.Rules.Grace && !c.sim.discovery.down {
			if e := c.sim.discovery.entries[s]; e != nil && e.state != choice.Ready && (!c.sim.world.Reports.GoneRuns || e.state == choice.Draining) {
				c.recordViolation(3, t, fmt.Sprintf("sent to server %d, which the list calls drained or gone, without asking for %v", s.id, now-g.lastListAt))
			}
		}
	}
}

// ended: a result has reached the gateway.
func (c *checker) sendEnded(t *gatewayOp, a *attempt, result choice.Result, role choice.Role) {
	w := &t.record
	w.openSends--
	switch result {
	case choice.ServerFull, choice.NoConnection, choice.NotSent, choice.Declined:
	default:
		if !w.mayHaveRun {
			w.mayHaveRun, w.mayHaveRunAt, w.mayHaveRunGroup = true, w.sendTimes[a.number], w.sendGroups[a.number]
		}
	}
}

// listed notes what a gateway is told of servers.
func (c *checker) listDelivered(g *gateway, scope choice.ListScope, lines []listEntry) {
	if c.known[g] == nil || scope == choice.ListCached {
		c.known[g] = map[*server]knownState{}
	}
	k := c.known[g]
	for _, e := range lines {
		old, ok := k[e.server]
		switch {
		case !ok || e.state == choice.Ready || old.state == choice.Ready:
			k[e.server] = knownState{c.sim.now, e.state, e.state == choice.Draining}
		case e.state == choice.Draining && !old.wasDraining:
			k[e.server] = knownState{old.since, e.state, true}
		}
	}
	if scope == choice.ListChanges {
		return
	}
	for _, e := range c.sim.servers { // a full list tells of those it leaves out, too
		if old, ok := k[e]; ok && old.state == choice.Ready && !slices.ContainsFunc(lines, func(l listEntry) bool { return l.server == e }) {
			k[e] = knownState{c.sim.now, choice.Gone, false}
		}
	}
}

// began: a server has begun to work on a send.
func (c *checker) workBegan(s *server, a *attempt) {
	c.sim.result.Worked += time.Duration(a.work)
	a.dataPosition = s.position()
}

// effect: a write has taken effect.
func (c *checker) writeTookEffect(s *server, a *attempt) {
	w := &a.op.record
	if w.effects++; w.effects > 1 && a.opType.config.Effect != choice.Retryable {
		c.recordViolation(2, a.op, "took effect twice")
	}
}

// promoted is called when a server becomes primary.
func (c *checker) promoted(s *server) { s.wasPrimary = true }

// value: the answer of a send is about to reach the client. What it was read from counts, as it stood when the work began.
func (c *checker) checkFreshness(t *gatewayOp, a *attempt) {
	if a.opType.need == choice.Write || a.minPosition <= a.dataPosition {
		return
	}
	// A server that has been primary may be taken for one until an answer told otherwise.
	if a.server.wasPrimary && !t.gateway.knewReplica(a.server, a.sentAt) {
		c.sim.result.StaleExcused++
		return
	}
	c.recordViolation(5, t, fmt.Sprintf("server %d answered from data %v older than allowed", a.server.id, a.minPosition-a.dataPosition))
}

// end looks at what is left when the day is over.
func (c *checker) checkUnanswered() {
	for _, g := range c.sim.gateways {
		for _, t := range g.opsByID() {
			if t.record.finalAnswers == 0 && !g.down && c.sim.now > t.clientLeavesAt+c.sim.world.Rules.Slack && c.sim.now > g.pausedUntil {
				c.recordViolation(1, t, "never answered")
			}
		}
	}
}
