package emulator

import (
	"slices"
	"time"

	"gorsewell/choice"
)

// group is a primary with its replicas.
type group struct {
	w        *run
	index    int
	members  []*server
	primary  *server // or nil while there is none
	lostAt   time.Duration
	commits  []time.Duration // the newest, for those that come back
	electing bool
	term     int               // counts primaries
	tokens   map[uint64]*token // of tokened ops
	swept    time.Duration
}

// token is what a group remembers of a tokened op: repeats that come in within its window are known as such, and of all
// that are known to belong together one has an effect.
type token struct {
	seen    time.Duration // when it last came in
	waiting int           // sends of it that have come in and are not done
	done    bool
	at      time.Duration // of its effect
}

// comes notes that a tokened op has come in.
func (g *group) comes(a *attempt) {
	if a.t.told.Effect != choice.Tokened || a.t.need != choice.Write {
		return
	}
	now, window := g.w.now, a.t.Window
	if now-g.swept > 4*window {
		g.swept = now
		for id, k := range g.tokens {
			if k.waiting <= 0 && now-k.seen > 2*window {
				delete(g.tokens, id)
			}
		}
	}
	k := g.tokens[a.req.id]
	if k == nil || k.waiting <= 0 && now-k.seen > window {
		k = &token{}
		g.tokens[a.req.id] = k
	}
	k.seen = now
	k.waiting++
	a.token = k
}

// fresh tells whether a write is to have its effect, and when that was or is.
func (g *group) fresh(now time.Duration, a *attempt) bool {
	a.committed = now
	k := a.token
	if k == nil {
		return true
	}
	k.waiting--
	if k.done {
		a.committed = k.at
		return false
	}
	k.done, k.at = true, now
	return true
}

// lost is called when a member is dead, hung or cut off. A primary is given up after a while, and another takes over.
func (g *group) lost(s *server) {
	if g.primary != s {
		return
	}
	g.lostAt = g.w.now
	term := g.term
	f := &g.w.world.Failover
	g.w.after(f.Detect, func() {
		if g.term != term || s.runs() && !s.hung && g.primary == s {
			return
		}
		s.applied = max(s.applied, g.lostAt)
		g.primary = nil
		g.elect(f.Elect)
	})
}

// handover moves the role away from a primary that drains.
func (g *group) handover(s *server) {
	if g.primary != s {
		return
	}
	g.lostAt = g.w.now
	s.applied = g.w.now
	g.primary = nil
	g.elect(g.w.world.Failover.Hand)
}

// elect makes the member that is furthest a primary, after a time.
func (g *group) elect(after time.Duration) {
	if g.electing {
		return
	}
	g.electing = true
	g.w.after(after, func() {
		g.electing = false
		if g.primary != nil {
			return
		}
		var best *server
		for _, s := range g.members {
			if s.runs() && !s.hung && !s.draining && (best == nil || s.position() > best.position()) {
				best = s
			}
		}
		if best == nil {
			g.elect(g.w.world.Failover.Elect)
			return
		}
		g.promote(best)
	})
}

func (g *group) promote(s *server) {
	g.term++
	g.primary = s
	// What was shipped to it is applied before it takes the role; what was not is lost with the old primary.
	s.backlog, s.applying, s.applied = nil, false, g.w.now
	g.w.event("server %d is primary of group %d", s.id, g.index)
	g.w.check.promoted(s)
	for _, a := range s.waiting {
		g.w.after(0, func() { s.begin(a) })
	}
	s.waiting = nil
	g.w.lists.changed(s)
}

// rejoin brings a member back as a replica that stands where it stood.
func (g *group) rejoin(s *server) {
	if g.primary == s { // it returned before it was given up
		g.term++
		g.primary = nil
		g.elect(g.w.world.Failover.Elect)
	}
	from, _ := slices.BinarySearch(g.commits, s.applied+1)
	s.backlog = append(s.backlog[:0], g.commits[from:]...)
	s.apply()
}

// replace puts a new server, under a new id, into the place of one that leaves.
func (g *group) replace(old *server) *server {
	s := g.w.addServer(g, old.zone, old.kind)
	s.started = g.w.now
	s.applied = g.w.now - g.w.world.Log.Seed
	g.rejoin(s)
	g.w.lists.changed(s)
	return s
}

// line is a server's line in the list, as the list service knows it now.
type line struct {
	s       *server
	state   choice.State
	primary bool
	started time.Duration
}

// lists is the service that tells gateways of servers, late.
type lists struct {
	w      *run
	lines  map[*server]*line
	order  []*line
	down   bool // does not answer
	frozen bool // answers what it knew
	wrong  map[*server]choice.State
	busyTo time.Duration
}

// changed notices, late, what has become of a server.
func (l *lists) changed(s *server) {
	c := &l.w.world.List
	late := c.Added
	switch {
	case s.state == vanished:
		late = c.Vanished
	case !s.runs():
		late = c.Down
	case s.draining:
		late = c.Added
	}
	life, draining := s.life, s.draining
	l.w.after(late, func() {
		if s.life == life && s.draining == draining {
			l.note(s)
		}
	})
}

// note takes a server's present state into the list and tells those who watch.
func (l *lists) note(s *server) {
	if l.frozen {
		return
	}
	e := l.lines[s]
	if e == nil {
		e = &line{s: s}
		l.lines[s] = e
		l.order = append(l.order, e)
	}
	e.state, e.started = choice.Ready, s.started
	switch {
	case !s.runs():
		e.state = choice.Gone
	case s.draining:
		e.state = choice.Draining
	}
	if l.w.world.List.Roles == "late" {
		e.primary = s.primary()
	}
	l.tell([]*line{e})
}

// roles notes, where the list shows roles late, who is primary now.
func (l *lists) roles() {
	if l.w.world.List.Roles != "late" || l.frozen {
		return
	}
	var changes []*line
	for _, e := range l.order {
		if is := e.s.primary(); is != e.primary {
			e.primary = is
			changes = append(changes, e)
		}
	}
	l.tell(changes)
}

func (l *lists) tell(changes []*line) {
	if l.down || len(changes) == 0 {
		return
	}
	for _, g := range l.w.gateways {
		if g.watching && g.runs() {
			g := g
			late := time.Duration(draw(l.w.seed, 0x115, uint64(g.index), uint64(l.w.now)) * float64(l.w.world.List.Spread))
			told := l.copy(changes)
			life := g.life
			l.w.after(late, func() {
				if g.life == life && g.watching && !l.down {
					g.listed(choice.ListChanges, told)
				}
			})
		}
	}
}

// copy is the lines as they are told now.
func (l *lists) copy(lines []*line) []line {
	told := make([]line, 0, len(lines))
	for _, e := range lines {
		t := *e
		if state, ok := l.wrong[e.s]; ok {
			t.state = state
		}
		told = append(told, t)
	}
	return told
}

// call answers a gateway's asking for the whole list. Calls are handled one after another.
func (l *lists) call(g *gateway, watch bool) {
	life := g.life
	c := &l.w.world.List
	if l.down {
		l.w.after(c.Timeout/8, func() {
			if g.life == life {
				g.listed(choice.ListFailed, nil)
			}
		})
		return
	}
	l.busyTo = max(l.busyTo, l.w.now) + c.Call
	if l.busyTo-l.w.now > c.Timeout {
		l.busyTo -= c.Call
		l.w.after(c.Timeout, func() {
			if g.life == life {
				g.listed(choice.ListFailed, nil)
			}
		})
		return
	}
	l.w.at(l.busyTo+2*l.w.world.Network.Within, func() {
		switch {
		case g.life != life:
		case l.down:
			g.listed(choice.ListFailed, nil)
		default:
			g.watching = g.watching || watch
			var there []*line
			for _, e := range l.order {
				if e.state != choice.Gone {
					there = append(there, e)
				}
			}
			g.listed(choice.ListFull, l.copy(there))
		}
	})
}

// breaks ends all watches; who watched is told so.
func (l *lists) breaks(down bool) {
	if l.down = down; down {
		l.unwatch(func(*gateway) time.Duration { return l.w.world.List.Timeout / 8 })
	}
}

// A silent watch is given up between these times after it was opened, by chance.
const (
	givenUpFrom = 4 * time.Second
	givenUpTo   = 4600 * time.Millisecond
)

// silence has nobody hear of changes until it has given its watch up.
func (l *lists) silence() {
	l.unwatch(func(g *gateway) time.Duration {
		return givenUpFrom + time.Duration(draw(l.w.seed, 0x511, uint64(g.index), uint64(l.w.now))*float64(givenUpTo-givenUpFrom))
	})
}

// unwatch ends all watches, of which each gateway learns after a time.
func (l *lists) unwatch(after func(g *gateway) time.Duration) {
	for _, g := range l.w.gateways {
		if g.watching && g.runs() && l.w.world.List.Asked {
			g.watching = false
			life := g.life
			l.w.after(after(g), func() {
				if g.life == life {
					g.listed(choice.ListFailed, nil)
				}
			})
		}
	}
}
