package emulator

import (
	"fmt"
	"slices"
	"time"

	"gorsewell/choice"
)

// checker checks the five rules, which the documentation of package choice lists, from outside the gateways. It is
// notified of the ops that gateways accept, send and answer, of the lists that they receive and of what servers do, and
// shares no code with the policies. It counts violations in Result.Broken and describes the first ones in
// Result.Stories.
type checker struct {
	sim   *simulation
	known map[*gateway]map[*server]knownState // by gateway: each server as the list last described it
}

// knownState is the state of a server as a gateway last learned it from the list, for rule 3.
type knownState struct {
	// When the gateway learned that the server is draining or gone, or of its last listing as ready.
	since time.Duration
	state choice.State
	// The server has been listed as draining since it was last ready. With Reports.GoneRuns only that forbids sends, as a
	// server listed as gone may still be running.
	wasDraining bool
}

// finalKind is the kind of a final answer.
type finalKind uint8

const (
	finalAcked finalKind = iota
	finalBusy
	finalError
)

// opRecord is what the checker keeps of one op at one gateway.
type opRecord struct {
	finalAnswers    int             // number of final answers; -1: a missing one has been reported
	openSends       int             // sends without a result so far
	mayHaveRun      bool            // a send has ended that may have run
	mayHaveRunAt    time.Duration   // when the first such send started
	mayHaveRunGroup *group          // the group to which it went
	effects         int             // times that the op took effect
	sendTimes       []time.Duration // when each send started, by its number
	sendGroups      []*group        // to which group each send went, by its number
}

func newChecker(sim *simulation) *checker {
	return &checker{sim: sim, known: map[*gateway]map[*server]knownState{}}
}

// recordViolation counts a violation of a rule and adds a Story of it, unless Result.Stories is full. op is nil if the
// gateway does not hold the op.
func (c *checker) recordViolation(rule int, op *gatewayOp, what string) {
	c.sim.result.Broken[rule-1]++
	if len(c.sim.result.Stories) >= maxStories {
		return
	}
	story := Story{Rule: rule, At: c.sim.now, What: what}
	if op != nil {
		story.Gateway, story.Op = op.gateway.index, op.request.id
		story.OpType = op.request.opType.Name
	}
	c.sim.result.Stories = append(c.sim.result.Stories, story)
}

// opAccepted is called when a gateway accepts an op. From then on the gateway owes it one final answer.
func (c *checker) opAccepted(op *gatewayOp) {
	c.sim.result.Taken++
	c.sim.traceOp(op, "taken by gateway %d, try %d, for %v more", op.gateway.index, op.tryNumber,
		op.clientLeavesAt-c.sim.now)
	c.sim.after(max(0, op.clientLeavesAt-c.sim.now)+c.sim.world.Rules.Slack, func() { c.checkDeadline(op) })
}

// checkDeadline checks that the final answer came before the client left. A gateway that is paused cannot answer, so
// the check is repeated Rules.Slack after the pause.
func (c *checker) checkDeadline(op *gatewayOp) {
	g := op.gateway
	if op.record.finalAnswers > 0 || g.ops[op.id] != op {
		return // it has been answered, or the gateway has crashed
	}
	if c.sim.now < g.pausedUntil+c.sim.world.Rules.Slack {
		c.sim.at(g.pausedUntil+c.sim.world.Rules.Slack, func() { c.checkDeadline(op) })
		return
	}
	if g.down {
		return
	}
	c.recordViolation(1, op, "no final answer in its client's time")
	op.record.finalAnswers = -1 // so that it is not reported again
}

// finalAnswer is called for each final answer that the policy gives.
func (c *checker) finalAnswer(op *gatewayOp, kind finalKind) {
	if op == nil {
		return // the gateway does not hold the op, so no client is answered
	}
	if op.record.finalAnswers++; op.record.finalAnswers > 1 {
		c.recordViolation(1, op, "a second final answer")
	}
	names := [...]string{"acked", "busy-replied", "errored"}
	c.sim.traceOp(op, "%s", names[kind])
	if kind != finalBusy {
		return
	}
	// A busy reply tells the client that trying again is harmless.
	effect, scope := op.request.opType.config.Effect, op.request.opType.config.Scope
	if (op.record.mayHaveRun || op.record.openSends > 0) &&
		(effect == choice.NonRetryable || effect == choice.Tokened && scope != choice.ScopeAll) {
		c.recordViolation(2, op, "busy-replied though a send may have run")
	}
}

// sendStarted is called for each send before it has any effect.
func (c *checker) sendStarted(g *gateway, op *gatewayOp, opID uint32, s *server) {
	now := c.sim.now
	if op == nil {
		c.recordViolation(1, nil, fmt.Sprintf("gateway %d sent for op %d, which it does not hold", g.index, opID))
		return
	}
	record := &op.record
	if op.done || record.finalAnswers > 0 {
		c.recordViolation(1, op, "a send after the final answer")
	}
	if record.openSends > 0 {
		c.recordViolation(2, op, "two sends out at a time")
	}
	switch op.request.opType.config.Effect {
	case choice.NonRetryable:
		if record.mayHaveRun {
			c.recordViolation(2, op, "sent again though it may have run")
		}
	case choice.Tokened:
		scope := op.request.opType.config.Scope
		if record.mayHaveRun && (now-record.mayHaveRunAt > op.request.opType.Window ||
			scope != choice.ScopeAll && record.mayHaveRunGroup != s.group || scope == choice.ScopeZone) {
			c.recordViolation(2, op, "sent again outside of where, or when, repeats are dropped")
		}
	}
	record.openSends++
	record.sendTimes = append(record.sendTimes, now)
	record.sendGroups = append(record.sendGroups, s.group)
	if s.group != op.request.group {
		c.recordViolation(2, op, fmt.Sprintf("sent to server %d of another group", s.id))
	}
	if known, ok := c.known[g][s]; ok && known.state != choice.Ready && now > known.since+c.sim.world.Rules.Grace &&
		(!c.sim.world.Reports.GoneRuns || known.wasDraining) {
		c.recordViolation(3, op, fmt.Sprintf("sent to server %d, %v after it was told that this drains or is gone", s.id,
			now-known.since))
	} else if !ok || known.state == choice.Ready {
		// A gateway that neither watches nor requests the list counts as knowing it after List.Within, as long as
		// discovery is up.
		if c.sim.world.List.Asked && !g.watchesList &&
			now-g.lastListAt > c.sim.world.List.Within+c.sim.world.Rules.Grace && !c.sim.discovery.down {
			if entry := c.sim.discovery.entries[s]; entry != nil && entry.state != choice.Ready &&
				(!c.sim.world.Reports.GoneRuns || entry.state == choice.Draining) {
				c.recordViolation(3, op,
					fmt.Sprintf("sent to server %d, which the list calls drained or gone, without asking for %v",
						s.id, now-g.lastListAt))
			}
		}
	}
}

// sendEnded is called when the result of a send reaches the gateway.
func (c *checker) sendEnded(op *gatewayOp, a *attempt, result choice.Result, role choice.Role) {
	record := &op.record
	record.openSends--
	switch result {
	case choice.ServerFull, choice.NoConnection, choice.NotSent, choice.Declined, choice.ClientUnknown:
	default:
		if !record.mayHaveRun {
			record.mayHaveRun, record.mayHaveRunAt, record.mayHaveRunGroup =
				true, record.sendTimes[a.number], record.sendGroups[a.number]
		}
	}
}

// listDelivered records what a gateway learns of servers from the list.
func (c *checker) listDelivered(g *gateway, scope choice.ListScope, entries []listEntry) {
	if c.known[g] == nil || scope == choice.ListCached {
		c.known[g] = map[*server]knownState{}
	}
	known := c.known[g]
	for _, e := range entries {
		old, ok := known[e.server]
		switch {
		case !ok || e.state == choice.Ready || old.state == choice.Ready:
			known[e.server] = knownState{c.sim.now, e.state, e.state == choice.Draining}
		case e.state == choice.Draining && !old.wasDraining:
			known[e.server] = knownState{old.since, e.state, true}
		}
	}
	if scope == choice.ListChanges {
		return
	}
	for _, e := range c.sim.servers { // servers missing from a full list are gone
		if old, ok := known[e]; ok && old.state == choice.Ready &&
			!slices.ContainsFunc(entries, func(l listEntry) bool { return l.server == e }) {
			known[e] = knownState{c.sim.now, choice.Gone, false}
		}
	}
}

// workBegan is called when a server begins to work on a send.
func (c *checker) workBegan(s *server, a *attempt) {
	c.sim.result.Worked += time.Duration(a.work)
	a.dataPosition = s.position()
}

// writeTookEffect is called when a write takes effect.
func (c *checker) writeTookEffect(s *server, a *attempt) {
	record := &a.op.record
	if record.effects++; record.effects > 1 && a.opType.config.Effect != choice.Retryable {
		c.recordViolation(2, a.op, "took effect twice")
	}
}

// promoted is called when a server becomes primary.
func (c *checker) promoted(s *server) { s.wasPrimary = true }

// checkFreshness is called when an ack reaches the gateway. What counts is the position of the server's data when it
// began to work on the send.
func (c *checker) checkFreshness(op *gatewayOp, a *attempt) {
	if a.opType.need == choice.Write || a.minPosition <= a.dataPosition {
		return
	}
	// A gateway may take a former primary for the primary until an answer or report says that it is a replica.
	if a.server.wasPrimary && !op.gateway.knewReplica(a.server, a.sentAt) {
		c.sim.result.StaleExcused++
		return
	}
	c.recordViolation(5, op, fmt.Sprintf("server %d answered from data %v older than allowed",
		a.server.id, a.minPosition-a.dataPosition))
}

// checkUnanswered is called at the end of a run and reports the ops that have had no final answer.
func (c *checker) checkUnanswered() {
	for _, g := range c.sim.gateways {
		for _, op := range g.opsByID() {
			if op.record.finalAnswers == 0 && !g.down &&
				c.sim.now > op.clientLeavesAt+c.sim.world.Rules.Slack && c.sim.now > g.pausedUntil {
				c.recordViolation(1, op, "never answered")
			}
		}
	}
}
