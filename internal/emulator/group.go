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
	primary       *server           // nil while the group has none
	primaryLostAt time.Duration     // when the last primary was lost
	commits       []time.Duration   // times of the newest commits, oldest first, for members that come back
	electing      bool              // an election is under way
	term          int               // increases when a primary takes over, or returns before it was given up
	tokens        map[uint64]*token // by request id
	tokensSweptAt time.Duration     // when expired tokens were last dropped
}

// token is what a group remembers of a tokened op. Sends that arrive within the window of an earlier one, or while one
// is pending, are recognized as repeats, and only one of them takes effect.
type token struct {
	lastSeenAt time.Duration // when the last send of the op arrived
	pending    int           // sends of the op that have arrived and are unfinished
	done       bool          // the op has taken effect
	doneAt     time.Duration // when it did
}

// noteTokenedSend records the arrival of a tokened write, and drops expired tokens from time to time.
func (g *group) noteTokenedSend(a *attempt) {
	if a.opType.config.Effect != choice.Tokened || a.opType.need != choice.Write {
		return
	}
	now, window := g.sim.now, a.opType.Window
	if now-g.tokensSweptAt > 4*window {
		g.tokensSweptAt = now
		for id, t := range g.tokens {
			if t.pending <= 0 && now-t.lastSeenAt > 2*window {
				delete(g.tokens, id)
			}
		}
	}
	t := g.tokens[a.request.id]
	if t == nil || t.pending <= 0 && now-t.lastSeenAt > window {
		t = &token{}
		g.tokens[a.request.id] = t
	}
	t.lastSeenAt = now
	t.pending++
	a.token = t
}

// takesEffect reports whether a write takes effect now, and sets its committedAt: now or, if another send of the same
// tokened op has taken effect before, the time at which that did.
func (g *group) takesEffect(now time.Duration, a *attempt) bool {
	a.committedAt = now
	t := a.token
	if t == nil {
		return true
	}
	t.pending--
	if t.done {
		a.committedAt = t.doneAt
		return false
	}
	t.done, t.doneAt = true, now
	return true
}

// memberLost is called when a member has crashed, has vanished or hangs. If it is the primary and has not recovered
// within Failover.Detect, another one is elected.
func (g *group) memberLost(s *server) {
	if g.primary != s {
		return
	}
	g.primaryLostAt = g.sim.now
	term := g.term
	failover := &g.sim.world.Failover
	g.sim.after(failover.Detect, func() {
		if g.term != term || s.isUp() && !s.hung && g.primary == s {
			return
		}
		s.appliedTo = max(s.appliedTo, g.primaryLostAt)
		g.primary = nil
		g.elect(failover.Elect)
	})
}

// handOver moves the role of primary away from a server that drains.
func (g *group) handOver(s *server) {
	if g.primary != s {
		return
	}
	g.primaryLostAt = g.sim.now
	s.appliedTo = g.sim.now
	g.primary = nil
	g.elect(g.sim.world.Failover.Hand)
}

// elect promotes, after a time, the member with the newest position. While no member can take the role it tries again
// every Failover.Elect.
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

// promote makes a server the primary.
func (g *group) promote(s *server) {
	g.term++
	g.primary = s
	// The commits that were shipped to the server are applied before it takes the role. The others are lost with the old
	// primary.
	s.backlog, s.applying, s.appliedTo = nil, false, g.sim.now
	g.sim.recordEvent("server %d is primary of group %d", s.id, g.index)
	g.sim.checker.promoted(s)
	for _, a := range s.waitingReads {
		g.sim.after(0, func() { s.begin(a) })
	}
	s.waitingReads = nil
	g.sim.discovery.serverChanged(s)
}

// rejoin brings a member back as a replica, which continues from the position that it had.
func (g *group) rejoin(s *server) {
	if g.primary == s { // it has returned before the group gave it up
		g.term++
		g.primary = nil
		g.elect(g.sim.world.Failover.Elect)
	}
	from, _ := slices.BinarySearch(g.commits, s.appliedTo+1)
	s.backlog = append(s.backlog[:0], g.commits[from:]...)
	s.apply()
}

// replace adds a new server under a new id in place of one that leaves.
func (g *group) replace(old *server) *server {
	s := g.sim.addServer(g, old.zone, old.kind)
	s.startedAt = g.sim.now
	s.appliedTo = g.sim.now - g.sim.world.Log.Seed
	g.rejoin(s)
	g.sim.discovery.serverChanged(s)
	return s
}

// listEntry is a server's entry in the list, as discovery knows it.
type listEntry struct {
	server    *server
	state     choice.State
	primary   bool // always false unless the list includes roles
	startedAt time.Duration
}

// discoveryService keeps the list of servers and sends it to the gateways. It learns of changes with a delay.
type discoveryService struct {
	sim         *simulation
	entries     map[*server]*listEntry
	ordered     []*listEntry             // the same entries in the order in which they were added
	down        bool                     // it answers no request and pushes nothing
	frozen      bool                     // it does not update the list
	falseStates map[*server]choice.State // states that it sends instead of the true ones
	busyUntil   time.Duration            // when it has handled all requests received so far
}

// serverChanged updates the entry of a server after the time that discovery takes to notice the change.
func (d *discoveryService) serverChanged(s *server) {
	list := &d.sim.world.List
	delay := list.Added
	switch {
	case s.state == serverVanished:
		delay = list.Vanished
	case !s.isUp():
		delay = list.Down
	case s.draining:
		delay = list.Added
	}
	generation, draining := s.generation, s.draining
	d.sim.after(delay, func() {
		if s.generation == generation && s.draining == draining {
			d.update(s)
		}
	})
}

// update brings a server's entry up to date and pushes it to the gateways that watch the list.
func (d *discoveryService) update(s *server) {
	if d.frozen {
		return
	}
	e := d.entries[s]
	if e == nil {
		e = &listEntry{server: s}
		d.entries[s] = e
		d.ordered = append(d.ordered, e)
	}
	e.state, e.startedAt = choice.Ready, s.startedAt
	switch {
	case !s.isUp():
		e.state = choice.Gone
	case s.draining:
		e.state = choice.Draining
	}
	if d.sim.world.List.Roles == "late" {
		e.primary = s.isPrimary()
	}
	d.push([]*listEntry{e})
}

// updateRoles brings the roles in the list up to date, if List.Roles is late, and pushes the changes.
func (d *discoveryService) updateRoles() {
	if d.sim.world.List.Roles != "late" || d.frozen {
		return
	}
	var changes []*listEntry
	for _, e := range d.ordered {
		if is := e.server.isPrimary(); is != e.primary {
			e.primary = is
			changes = append(changes, e)
		}
	}
	d.push(changes)
}

// push sends changes to the gateways that watch the list, to each after a random delay of up to List.Spread.
func (d *discoveryService) push(changes []*listEntry) {
	if d.down || len(changes) == 0 {
		return
	}
	for _, g := range d.sim.gateways {
		if g.watchesList && g.isUp() {
			g := g
			delay := time.Duration(draw(d.sim.seed, 0x115, uint64(g.index), uint64(d.sim.now)) *
				float64(d.sim.world.List.Spread))
			entries := d.snapshot(changes)
			generation := g.generation
			d.sim.after(delay, func() {
				if g.generation == generation && g.watchesList && !d.down {
					g.deliverList(choice.ListChanges, entries)
				}
			})
		}
	}
}

// snapshot copies entries as they are sent now, false states included.
func (d *discoveryService) snapshot(entries []*listEntry) []listEntry {
	copies := make([]listEntry, 0, len(entries))
	for _, e := range entries {
		entry := *e
		if state, ok := d.falseStates[e.server]; ok {
			entry.state = state
		}
		copies = append(copies, entry)
	}
	return copies
}

// requestList answers a request for the whole list. Requests are handled one after another, each in List.Call, and fail
// if they would wait for longer than List.Timeout.
func (d *discoveryService) requestList(g *gateway, watch bool) {
	generation := g.generation
	list := &d.sim.world.List
	if d.down {
		d.sim.after(list.Timeout/8, func() {
			if g.generation == generation {
				g.deliverList(choice.ListFailed, nil)
			}
		})
		return
	}
	d.busyUntil = max(d.busyUntil, d.sim.now) + list.Call
	if d.busyUntil-d.sim.now > list.Timeout {
		d.busyUntil -= list.Call
		d.sim.after(list.Timeout, func() {
			if g.generation == generation {
				g.deliverList(choice.ListFailed, nil)
			}
		})
		return
	}
	d.sim.at(d.busyUntil+2*d.sim.world.Network.Within, func() {
		switch {
		case g.generation != generation:
		case d.down:
			g.deliverList(choice.ListFailed, nil)
		default:
			g.watchesList = g.watchesList || watch
			var listed []*listEntry
			for _, e := range d.ordered {
				if e.state != choice.Gone {
					listed = append(listed, e)
				}
			}
			g.deliverList(choice.ListFull, d.snapshot(listed))
		}
	})
}

// setDown starts or ends an outage. At its start all watches end, and the gateways learn of it soon.
func (d *discoveryService) setDown(down bool) {
	if d.down = down; down {
		d.endWatches(func(*gateway) time.Duration { return d.sim.world.List.Timeout / 8 })
	}
}

// A gateway gives up a silenced watch at a random time between these, which count from the start of the silence.
const (
	minSilentWatch = 4 * time.Second
	maxSilentWatch = 4600 * time.Millisecond
)

// silenceWatches ends all watches without notice. Each gateway learns of it when it gives up its own.
func (d *discoveryService) silenceWatches() {
	d.endWatches(func(g *gateway) time.Duration {
		return minSilentWatch +
			time.Duration(draw(d.sim.seed, 0x511, uint64(g.index), uint64(d.sim.now))*
				float64(maxSilentWatch-minSilentWatch))
	})
}

// endWatches ends all watches that gateways requested, and each gateway learns of it after the given time. It has no
// effect if the list is pushed without a request, see List.Asked.
func (d *discoveryService) endWatches(after func(g *gateway) time.Duration) {
	for _, g := range d.sim.gateways {
		if g.watchesList && g.isUp() && d.sim.world.List.Asked {
			g.watchesList = false
			generation := g.generation
			d.sim.after(after(g), func() {
				if g.generation == generation {
					g.deliverList(choice.ListFailed, nil)
				}
			})
		}
	}
}
