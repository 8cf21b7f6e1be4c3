package choice

// What servers state about their role and position.

import (
	"time"
)

// updateRoleAndPosition records what a server stated about itself. asOf is the time of the evidence for its role. A
// primary's position is the present, so it replaces asOf.
func (g *Gateway) updateRoleAndPosition(now time.Duration, s *server, role Role, pos, asOf time.Duration) {
	if pos != LongPast {
		s.position, s.lag = max(s.position, pos), now-max(s.position, pos)
	}
	if role == Primary && pos != LongPast {
		asOf = pos
	}
	if role == RoleUnknown || asOf < s.roleAsOf {
		return
	}
	s.role, s.roleAsOf = role, asOf
	if p := s.group.primary; role == Primary && p != s && (p == nil || asOf >= p.roleAsOf) {
		if s.group.primary = s; p != nil {
			g.host.Withdraw(p.id) // rule 5: sends that have not begun there were meant for a primary
		}
		g.host.Decided(Event{Kind: PrimaryFound, Server: s.id})
	} else if role == Replica && p == s {
		s.group.primary = nil
		g.host.Withdraw(s.id)
	}
}

// Report handles a server's report of its role and position. It is called before the answer that brought the report.
// The position is also the time as of which the report speaks. A report of being a replica counts as of its arrival,
// however, if servers do not check reads themselves: rule 5, no data older than the op type allows, then rests on the
// gateway knowing who is not the primary.
//
// Reports may be seconds old. So the lag is reduced by twice their mean age, as otherwise every replica would look
// stale.
func (g *Gateway) Report(now time.Duration, id uint32, role Role, pos time.Duration) {
	if s := g.servers[id]; s != nil && (pos == LongPast || role == Replica && !g.replicasCheck) {
		g.updateRoleAndPosition(now, s, role, pos, now)
	} else if s != nil {
		if g.updateRoleAndPosition(now, s, role, pos, pos); role == Primary {
			// A primary's position is the present, so the difference is the age of the report.
			g.reportAge += (now - pos - g.reportAge) / averagingSamples
		}
		s.lag = max(0, s.lag-2*g.reportAge)
	}
}
