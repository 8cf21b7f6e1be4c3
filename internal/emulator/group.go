package emulator

import (
	"slices"
	"time"

	"gorsewell/choice"
)

// group is a primary with its replicas.
type group struct {
	sim           *simulation
	index         int
	members       []*server
	primary       *server // or nil while there is none
	primaryLostAt time.Duration
	commits       []time.Duration // the newest, for those that come back
	electing      bool
	term          int               // counts primaries
	tokens        map[uint64]*token // of tokened ops
	tokensSweptAt time.Duration
}

// token is what a group remembers of a tokened op: repeats that come in within its window are known as such, and of all
// that are known to belong together one has an effect.
type token struct {
	lastSeenAt time.Duration // when it last came in
	pending    int           // sends of it that have come in and are not done
	done       bool
	doneAt     time.Duration // of its effect
}

// comes notes that a tokened op has come in.
func (g *group) noteTokenedSend(a *attempt) {
	if a.opType.config.Effect != choice.Tokened || a.opType.need != choice.Write {
		return
	}
	now, window := g.sim.now, a.opType.Window
	if now-g.tokensSweptAt > 4*window {
		g.tokensSweptAt = now
		for id, k := range g.tokens {
			if k.pending <= 0 && now-k.lastSeenAt > 2*window {
				delete(g.tokens, id)
			}
		}
	}
	k := g.tokens[a.request.id]
	if k == nil || k.pending <= 0 && now-k.lastSeenAt > window {
		k = &token{}
		g.tokens[a.request.id] = k
	}
	k.lastSeenAt = now
	k.pending++
	a.token = k
}

// fresh tells whether a write is to have its effect, and when that was or is.
func (g *group) takesEffect(now time.Duration, a *attempt) bool {
	a.committedAt = now
	k := a.token
	if k == nil {
		return true
	}
	k.pending--
	if k.done {
		a.committedAt = k.doneAt
		return false
	}
	k.done, k.doneAt = true, now
	return true
}

// lost is called when a member is dead, hung or cut off. A primary is given up after a while, and another takes over.
func (g *group) memberLost(s *server) {
	if g.primary != s {
		return
	}
	g.primaryLostAt = g.sim.now
	term := g.term
	f := &g.sim.world.Failover
	g.sim.after(f.Detect, func() {
		if g.term != term || s.isUp() && !s.hung && g.primary == s {
			return
		}
		s.appliedTo = max(s.appliedTo, g.primaryLostAt)
		g.primary = nil
		g.elect(f.Elect)
	})
}

// handover moves the role away from a primary that drains.
func (g *group) handOver(s *server) {
	if g.primary != s {
		return
	}
	g.primaryLostAt = g.sim.now
	s.appliedTo = g.sim.now
	g.primary = nil
	g.elect(g.sim.world.Failover.Hand)
}

// elect makes the member that is furthest a primary, after a time.
func (g *group) elect(after time.Duration) {
	if g.electing {
		return
	}
	g.electing = true
	g.sim.after(after, func() {
		g.electing = false
		if g.primary != nil {
			return
		}
		var best *server
		for _, s := range g.members {
			if s.isUp() && !s.hung && !s.draining && (best == nil || s.position() > best.position()) {
				best = s
			}
		}
		if best == nil {
			g.elect(g.sim.world.Failover.Elect)
			return
		}
		g.promote(best)
	})
}

func (g *group) promote(s *server) {
	g.term++
	g.primary = s
	// What was shipped to it is applied before it takes the role; what was not is lost with the old primary.
	s.backlog, s.applying, s.appliedTo = nil, false, g.sim.now
	g.sim.recordEvent("server %d is primary of group %d", s.id, g.index)
	g.sim.checker.promoted(s)
	for _, a := range s.waitingReads {
		g.sim.after(0, func() { s.begin(a) })
	}
	s.waitingReads = nil
	g.sim.discovery.serverChanged(s)
}

// rejoin brings a member back as a replica that stands where it stood.
func (g *group) rejoin(s *server) {
	if g.primary == s { // it returned before it was given up
		g.term++
		g.primary = nil
		g.elect(g.sim.world.Failover.Elect)
	}
	from, _ := slices.BinarySearch(g.commits, s.appliedTo+1)
	s.backlog = append(s.backlog[:0], g.commits[from:]...)
	s.apply()
}

// replace puts a new server, under a new id, into the place of one that leaves.
func (g *group) replace(old *server) *server {
	s := g.sim.addServer(g, old.zone, old.kind)
	s.startedAt = g.sim.now
	s.appliedTo = g.sim.now - g.sim.world.Log.Seed
	g.rejoin(s)
	g.sim.discovery.serverChanged(s)
	return s
}

// line is a server's line in the list, as the list service knows it now.
type listEntry struct {
	server    *server
	state     choice.State
	primary   bool
	startedAt time.Duration
}

// lists is the service that tells gateways of servers, late.
type discoveryService struct {
	sim         *simulation
	entries     map[*server]*listEntry
	ordered     []*listEntry
	down        bool // does not answer
	frozen      bool // answers what it knew
	falseStates map[*server]choice.State
	busyUntil   time.Duration
}

// changed notices, late, what has become of a server.
func (l *discoveryService) serverChanged(s *server) {
	c := &l.sim.world.List
	late := c.Added
	switch {
	case s.state == serverVanished:
		late = c.Vanished
	case !s.isUp():
		late = c.Down
	case s.draining:
		late = c.Added
	}
	life, draining := s.generation, s.draining
	l.sim.after(late, func() {
		if s.generation == life && s.draining == draining {
			l.update(s)
		}
	})
}

// note takes a server's present state into the list and tells those who watch.
func (l *discoveryService) update(s *server) {
	if l.frozen {
		return
	}
	e := l.entries[s]
	if e == nil {
		e = &listEntry{server: s}
		l.entries[s] = e
		l.ordered = append(l.ordered, e)
	}
	e.state, e.startedAt = choice.Ready, s.startedAt
	switch {
	case !s.isUp():
		e.state = choice.Gone
	case s.draining:
		e.state = choice.Draining
	}
	if l.sim.world.List.Roles == "late" {
		e.primary = s.isPrimary()
	}
	l.push([]*listEntry{e})
}

// roles notes, where the list shows roles late, who is primary now.
func (l *discoveryService) updateRoles() {
	if l.sim.world.List.Roles != "late" || l.frozen {
		return
	}
	var changes []*listEntry
	for _, e := range l.ordered {
		if is := e.server.isPrimary(); is != e.primary {
			e.primary = is
			changes = append(changes, e)
		}
	}
	l.push(changes)
}

func (l *discoveryService) push(changes []*listEntry) {
	if l.down || len(changes) == 0 {
		return
	}
	for _, g := range l.sim.gateways {
		if g.watchesList && g.isUp() {
			g := g
			late := time.Duration(draw(l.sim.seed, 0x115, uint64(g.index), uint64(l.sim.now)) * float64(l.sim.world.List.Spread))
			told := l.snapshot(changes)
			life := g.generation
			l.sim.after(late, func() {
				if g.generation == life && g.watchesList && !l.down {
					g.deliverList(choice.ListChanges, told)
				}
			})
		}
	}
}

// copy is the lines as they are told now.
func (l *discoveryService) snapshot(lines []*listEntry) []listEntry {
	told := make([]listEntry, 0, len(lines))
	for _, e := range lines {
		t := *e
		if state, ok := l.falseStates[e.server]; ok {
			t.state = state
		}
		told = append(told, t)
	}
	return told
}

// call answers a gateway's asking for the whole list. Calls are handled one after another.
func (l *discoveryService) requestList(g *gateway, watch bool) {
	life := g.generation
	c := &l.sim.world.List
	if l.down {
		l.sim.after(c.Timeout/8, func() {
			if g.generation == life {
				g.deliverList(choice.ListFailed, nil)
			}
		})
		return
	}
	l.busyUntil = max(l.busyUntil, l.sim.now) + c.Call
	if l.busyUntil-l.sim.now > c.Timeout {
		l.busyUntil -= c.Call
		l.sim.after(c.Timeout, func() {
			if g.generation == life {
				g.deliverList(choice.ListFailed, nil)
			}
		})
		return
	}
	l.sim.at(l.busyUntil+2*l.sim.world.Network.Within, func() {
		switch {
		case g.generation != life:
		case l.down:
			g.deliverList(choice.ListFailed, nil)
		default:
			g.watchesList = g.watchesList || watch
			var there []*listEntry
			for _, e := range l.ordered {
				if e.state != choice.Gone {
					there = append(there, e)
				}
			}
			g.deliverList(choice.ListFull, l.snapshot(there))
		}
	})
}

// breaks ends all watches; who watched is told so.
func (l *discoveryService) setDown(down bool) {
	if l.down = down; down {
		l.endWatches(func(*gateway) time.Duration { return l.sim.world.List.Timeout / 8 })
	}
}

// A silent watch is given up between these times after it was opened, by chance.
const (
	minSilentWatch = 4 * time.Second
	maxSilentWatch = 4600 * time.Millisecond
)

// silence has nobody hear of changes until it has given its watch up.
func (l *discoveryService) silenceWatches() {
	l.endWatches(func(g *gateway) time.Duration {
		return minSilentWatch + time.Duration(draw(l.sim.seed, 0x511, uint64(g.index), uint64(l.sim.now))*float64(maxSilentWatch-minSilentWatch))
	})
}

// unwatch ends all watches, of which each gateway learns after a time.
func (l *discoveryService) endWatches(after func(g *gateway) time.Duration) {
	for _, g := range l.sim.gateways {
		if g.watchesList && g.isUp() && l.sim.world.List.Asked {
			g.watchesList = false
			life := g.generation
			l.sim.after(after(g), func() {
				if g.generation == life {
					g.deliverList(choice.ListFailed, nil)
				}
			})
		}
	}
}
