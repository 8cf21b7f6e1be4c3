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
	w     *run
	told  map[*gateway]map[*server]told // what each gateway was told of each server
	trace bool
}

// told is what a gateway knows, as far as the rule on drains goes.
type told struct {
	at    time.Duration
	state choice.State
	drain bool // it was listed as draining at some time, which alone binds where a server called gone may run
}

type finalKind uint8

const (
	finalAcked finalKind = iota
	finalBusy
	finalError
)

// watched is what the checker notes of one op at one gateway.
type watched struct {
	finals    int
	out       int
	mayHave   bool          // a send may have run
	mayAt     time.Duration // when the first such was sent
	mayGroup  *group
	effects   int
	sentTimes []time.Duration
	groups    []*group
}

func newChecker(r *run) *checker {
	return &checker{w: r, told: map[*gateway]map[*server]told{}}
}

// broke records a broken rule.
func (c *checker) broke(rule int, t *trial, what string) {
	c.w.result.Broken[rule-1]++
	if len(c.w.result.Stories) >= maxStories {
		return
	}
	story := Story{Rule: rule, At: c.w.now, What: what}
	if t != nil {
		story.Gateway, story.Op = t.gw.index, t.req.id
		story.OpType = t.req.t.Name
	}
	c.w.result.Stories = append(c.w.result.Stories, story)
}

// taken: from here on the gateway owes one final answer.
func (c *checker) taken(t *trial) {
	c.w.result.Taken++
	c.w.trace(t, "taken by gateway %d, try %d, for %v more", t.gw.index, t.tryNo, t.due-c.w.now)
	c.w.after(max(0, t.due-c.w.now)+c.w.world.Rules.Slack, func() { c.due(t) })
}

// due looks whether the answer came in its client's time. A gateway that stands still cannot answer, and is given its time
// again when it goes on.
func (c *checker) due(t *trial) {
	g := t.gw
	if t.watch.finals > 0 || g.trials[t.id] != t {
		return // answered, or its gateway has died
	}
	if c.w.now < g.until+c.w.world.Rules.Slack {
		c.w.at(g.until+c.w.world.Rules.Slack, func() { c.due(t) })
		return
	}
	if g.down {
		return
	}
	c.broke(1, t, "no final answer in its client's time")
	t.watch.finals = -1 // told once
}

func (c *checker) final(t *trial, kind finalKind) {
	if t == nil {
		return // of an op that the gateway does not hold: nothing is answered
	}
	if t.watch.finals++; t.watch.finals > 1 {
		c.broke(1, t, "a second final answer")
	}
	names := [...]string{"acked", "busy-replied", "errored"}
	c.w.trace(t, "%s", names[kind])
	if kind != finalBusy {
		return
	}
	// A busy reply says that trying again is harmless.
	e, s := t.req.t.told.Effect, t.req.t.told.Scope
	if (t.watch.mayHave || t.watch.out > 0) && (e == choice.NonRetryable || e == choice.Tokened && s != choice.ScopeAll) {
		c.broke(2, t, "busy-replied though a send may have run")
	}
}

// sent: every send passes here before anything is done with it.
func (c *checker) sent(g *gateway, t *trial, op uint32, s *server) {
	now := c.w.now
	if t == nil {
		c.broke(1, nil, fmt.Sprintf("gateway %d sent for op %d, which it does not hold", g.index, op))
		return
	}
	w := &t.watch
	if t.done || w.finals > 0 {
		c.broke(1, t, "a send after the final answer")
	}
	if w.out > 0 {
		c.broke(2, t, "two sends out at a time")
	}
	switch t.req.t.told.Effect {
	case choice.NonRetryable:
		if w.mayHave {
			c.broke(2, t, "sent again though it may have run")
		}
	case choice.Tokened:
		scope := t.req.t.told.Scope
		if w.mayHave && (now-w.mayAt > t.req.t.Window || scope != choice.ScopeAll && w.mayGroup != s.group || scope == choice.ScopeZone) {
			c.broke(2, t, "sent again outside of where, or when, repeats are dropped")
		}
	}
	w.out++
	w.sentTimes = append(w.sentTimes, now)
	w.groups = append(w.groups, s.group)
	if s.group != t.req.group {
		c.broke(2, t, fmt.Sprintf("sent to server %d of another group", s.id))
	}
	if k, ok := c.told[g][s]; ok && k.state != choice.Ready && now > k.at+c.w.world.Rules.Grace &&
		(!c.w.world.Reports.GoneRuns || k.drain) {
		c.broke(3, t, fmt.Sprintf("sent to server %d, %v after it was told that this drains or is gone", s.id, now-k.at))
	} else if !ok || k.state == choice.Ready {
		// Who neither watches nor asks is deemed told in the end.
		if c.w.world.List.Asked && !g.watching && now-g.askedAt > c.w.world.List.Within+c.w.world.Rules.Grace && !c.w.lists.down {
			if e := c.w.lists.lines[s]; e != nil && e.state != choice.Ready && (!c.w.world.Reports.GoneRuns || e.state == choice.Draining) {
				c.broke(3, t, fmt.Sprintf("sent to server %d, which the list calls drained or gone, without asking for %v", s.id, now-g.askedAt))
			}
		}
	}
}

// ended: a result has reached the gateway.
func (c *checker) ended(t *trial, a *attempt, result choice.Result, role choice.Role) {
	w := &t.watch
	w.out--
	switch result {
	case choice.ServerFull, choice.NoConnection, choice.NotSent, choice.Declined:
	default:
		if !w.mayHave {
			w.mayHave, w.mayAt, w.mayGroup = true, w.sentTimes[a.number], w.groups[a.number]
		}
	}
}

// listed notes what a gateway is told of servers.
func (c *checker) listed(g *gateway, scope choice.ListScope, lines []line) {
	if c.told[g] == nil || scope == choice.ListCached {
		c.told[g] = map[*server]told{}
	}
	k := c.told[g]
	for _, e := range lines {
		old, ok := k[e.s]
		switch {
		case !ok || e.state == choice.Ready || old.state == choice.Ready:
			k[e.s] = told{c.w.now, e.state, e.state == choice.Draining}
		case e.state == choice.Draining && !old.drain:
			k[e.s] = told{old.at, e.state, true}
		}
	}
	if scope == choice.ListChanges {
		return
	}
	for _, e := range c.w.servers { // a full list tells of those it leaves out, too
		if old, ok := k[e]; ok && old.state == choice.Ready && !slices.ContainsFunc(lines, func(l line) bool { return l.s == e }) {
			k[e] = told{c.w.now, choice.Gone, false}
		}
	}
}

// began: a server has begun to work on a send.
func (c *checker) began(s *server, a *attempt) {
	c.w.result.Worked += time.Duration(a.work)
	a.readAt = s.position()
}

// effect: a write has taken effect.
func (c *checker) effect(s *server, a *attempt) {
	w := &a.trial.watch
	if w.effects++; w.effects > 1 && a.t.told.Effect != choice.Retryable {
		c.broke(2, a.trial, "took effect twice")
	}
}

// promoted is called when a server becomes primary.
func (c *checker) promoted(s *server) { s.wasPrimary = true }

// value: the answer of a send is about to reach the client. What it was read from counts, as it stood when the work began.
func (c *checker) value(t *trial, a *attempt) {
	if a.t.need == choice.Write || a.want <= a.readAt {
		return
	}
	// A server that has been primary may be taken for one until an answer told otherwise.
	if a.s.wasPrimary && !t.gw.saidReplica(a.s, a.sentAt) {
		c.w.result.StaleExcused++
		return
	}
	c.broke(5, t, fmt.Sprintf("server %d answered from data %v older than allowed", a.s.id, a.want-a.readAt))
}

// end looks at what is left when the day is over.
func (c *checker) end() {
	for _, g := range c.w.gateways {
		for _, t := range g.ordered() {
			if t.watch.finals == 0 && !g.down && c.w.now > t.due+c.w.world.Rules.Slack && c.w.now > g.until {
				c.broke(1, t, "never answered")
			}
		}
	}
}
