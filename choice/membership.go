package choice

// The server list.

import (
	"cmp"
	"slices"
	"time"
)

// List handles the server list: as the host last cached it, in full, or changes to it, or the failure to get it.
func (g *Gateway) List(now time.Duration, scope ListScope, listed []Listed) {
	g.limitCachedList(now, scope)
	if scope == ListFailed {
		// Half of the wait is random, so that gateways that failed together do not ask together.
		g.nextListRequest = now + time.Duration((1+g.random())/2*float64(g.listBackoff))
		g.listBackoff = min(2*g.listBackoff, g.maxListBackoff)
		return
	} else if scope != ListCached {
		g.nextListRequest, g.listBackoff = 0, min(g.shortWait, g.maxListBackoff)
	}
	for _, gr := range g.groupOrder {
		for _, s := range gr.members {
			if scope != ListChanges && !slices.ContainsFunc(listed, func(l Listed) bool { return l.ID == s.id }) {
				g.updateServer(now, &Listed{ID: s.id, Started: s.listedStart})
			}
		}
	}
	for i := range listed {
		g.updateServer(now, &listed[i])
	}
}

// limitCachedList limits the use of the list that the host had stored before its start. What discovery knows counts as
// known from the start on where lists are pushed, so a drain that the cached list does not show is held against the
// gateway once the grace is over. A call that has failed shows that discovery cannot be reached, and the cached list is all
// there is.
func (g *Gateway) limitCachedList(now time.Duration, scope ListScope) {
	g.cachedListEnd = never
	if scope == ListCached && g.cachedListTime > 0 {
		g.cachedListEnd = now + max(0, g.cachedListTime-2*g.tick)
	}
}

// updateServer updates a server from its entry in the list. The first entry of a server creates it.
func (g *Gateway) updateServer(now time.Duration, l *Listed) {
	s := g.servers[l.ID]
	if s == nil {
		if g.groups[l.Group] == nil {
			g.groups[l.Group] = &group{}
			g.groupOrder = append(g.groupOrder, g.groups[l.Group])
		}
		// listedStart differs from the listed start, so that a new server is handled like a restarted one below. The
		// credit is random and not above zero, so that gateways do not all send their first reads to the same server.
		s = &server{id: l.ID, group: g.groups[l.Group], listedStart: l.Started - 1, position: LongPast, roleAsOf: LongPast,
			lastHeardAt: LongPast, aliveAsOf: LongPast, allowanceUpdatedAt: LongPast,
			credit: g.random() * (1/g.gatewayCount - 1)}
		g.servers[l.ID] = s
		s.group.members = append(s.group.members, s)
		slices.SortFunc(s.group.members, func(a, b *server) int { return cmp.Compare(a.id, b.id) })
	}
	restarted := s.listedStart != l.Started // a new or restarted server: what was known of it no longer holds
	if restarted {
		s.listedStart, s.warmUpStart, s.lostAt = l.Started, l.Started, never
		s.probesNeeded, s.limit = g.initialProbes, max(1, initialLimit/g.gatewayCount)
		g.probeBudget++ // for its first probe
		g.reportTrouble(s, NoTrouble)
	}
	s.state, s.machineKind, s.weight = l.State, l.Kind, cmp.Or(float64(l.Weight), 1)
	if restarted || s.state != Ready {
		// Sends that have not begun were decided on before this was known. They are withdrawn to keep rules 3 (nothing
		// new to a draining or gone server) and 4 (no more work to a cold server than its multiple).
		g.host.Withdraw(s.id)
		if s.group.primary == s {
			s.group.primary = nil
		}
	}
	if l.Primary && s.roleAsOf == LongPast { // the list is late, so what the server itself has said counts more
		g.updateRoleAndPosition(now, s, Primary, LongPast, LongPast)
	}
}

// forgetIfGone drops a server that is gone and has no open send or probe, and reports whether it did.
func (g *Gateway) forgetIfGone(s *server) bool {
	if s.state != Gone || len(s.openSends) > 0 || s.nextProbeAt == never {
		return false
	}
	delete(g.servers, s.id)
	g.host.Forget(s.id)
	return true
}
