package emulator

import (
	"fmt"
	"math"
	"time"

	"gorsewell/choice"
)

// condition is what has become of a server's process or machine.
type condition uint8

const (
	up       condition = iota
	crashed            // its process has ended: connections are reset, new ones refused
	vanished           // the machine is silent
	fallen             // it was pushed over while it was cold
)

// server is one database server. It works on as many ops at a time as it has cores, first come first served.
type server struct {
	w     *run
	id    uint32
	group *group
	zone  int
	kind  uint8
	cores int
	speed float64 // drawn for the day

	state    condition
	draining bool
	hung     bool
	slow     float64 // factor on its work, 1 as a rule
	fails    float64 // share of ops that end with an error
	refuses  bool
	badProbe float64       // share of probes that fail while ops are served
	lies     time.Duration // by which it claims to be further than it is
	slowLog  float64       // factor on the applying of the log
	squeezed int           // connections it takes for now, 0: as usual
	started  time.Duration
	life     int // counts its starts; what belongs to an earlier one comes to nothing

	busy     int
	queue    []*attempt
	stuck    []func() // what waits for a hung server to go on
	open     int      // connections
	inflight int      // attempts under way to it, as the oracle sees them

	// The log, on a replica: commits shipped and not applied, oldest first.
	backlog    []time.Duration
	applying   bool
	applied    time.Duration // of what it has applied, the newest commit
	holding    int           // long reads that stop the applying
	waiting    []*attempt    // reads that wait for a position
	wasPrimary bool

	// Work sent to it while cold, for the rule and for its falling over.
	window []coldWork
	sum    float64
}

type coldWork struct {
	at   time.Duration
	work float64
	told bool // its gateway knew, or is deemed to have known, of the start
}

func (s *server) runs() bool { return s.state == up }

// ramp is the share of its speed that a server has after a start.
func (s *server) ramp(now time.Duration) float64 {
	if s.started <= longAgo {
		return 1
	}
	c := &s.w.world.Servers
	return min(1, c.ColdFrom+(1-c.ColdFrom)*float64(now-s.started)/float64(max(1, c.ColdTime)))
}

// pace is the work that one of its cores does in a second now.
func (s *server) pace() float64 { return s.speed * s.ramp(s.w.now) / s.slow }

func (s *server) primary() bool { return s.group.primary == s }

// role is what the server says it is.
func (s *server) role() choice.Role {
	if s.primary() {
		return choice.Primary
	}
	return choice.Replica
}

// position is how far the server's data reach: a primary stands at the present, a replica at what it has applied, or where
// nothing is left to apply, at what the primary can have shipped by now.
func (s *server) position() time.Duration {
	if s.primary() {
		return s.w.now
	}
	if len(s.backlog) > 0 {
		return max(s.applied, s.backlog[0]-1) // all before the next commit is there
	}
	if p := s.group.primary; p != nil && p.runs() && !p.hung {
		return max(s.applied, s.w.now-s.w.world.Log.Ship)
	}
	return max(s.applied, s.group.lostAt-s.w.world.Log.Ship)
}

// told is the position that the server tells.
func (s *server) told() time.Duration { return s.position() + s.lies }

// commit is called when the primary has committed a write.
func (g *group) commit(now time.Duration) {
	g.commits = append(g.commits, now)
	if len(g.commits) > 4*keptCommits {
		g.commits = append(g.commits[:0], g.commits[len(g.commits)-keptCommits:]...)
	}
	for _, s := range g.members {
		if s != g.primary && s.runs() {
			s.ship(now)
		}
	}
}

// keptCommits is how many commits of a group are kept for those that come back.
const keptCommits = 4096

func (s *server) ship(commit time.Duration) {
	life := s.life
	s.w.after(s.w.world.Log.Ship, func() {
		if s.life == life && s.runs() && !s.primary() {
			s.backlog = append(s.backlog, commit)
			s.apply()
		}
	})
}

// apply works on the next commit of the backlog, unless something holds it up.
func (s *server) apply() {
	if s.applying || len(s.backlog) == 0 || s.holding > 0 || !s.runs() || s.hung || s.primary() {
		return
	}
	s.applying = true
	life, commit := s.life, s.backlog[0]
	u := draw(s.w.seed, 0x10f, uint64(s.id), uint64(commit))
	work := time.Duration(float64(s.w.world.Log.Apply) * exponential(u) * s.slowLog / s.pace())
	s.w.after(work, func() {
		if s.life != life || !s.applying {
			return
		}
		s.applying = false
		s.backlog = s.backlog[1:]
		if !s.runs() {
			return
		}
		s.applied = max(s.applied, commit)
		s.apply()
		s.reached()
	})
}

// reached serves the reads that waited for a position.
func (s *server) reached() {
	waiting := s.waiting
	s.waiting = nil
	for _, a := range waiting {
		if a.want <= s.position() {
			s.begin(a)
		} else {
			s.waiting = append(s.waiting, a)
		}
	}
}

// arrive takes an attempt whose last byte has come. Where the process does not run the network has answered before.
func (s *server) arrive(a *attempt) {
	if s.hung {
		s.stuck = append(s.stuck, func() { s.arrive(a) })
		return
	}
	c := &s.w.world.Servers
	s.cold(a)
	if !s.runs() { // it has just fallen over
		return
	}
	isWrite := a.t.need == choice.Write
	switch {
	case s.draining || s.refuses:
		s.reply(a, choice.ServerFull)
	case isWrite && !s.primary():
		s.reply(a, choice.Declined)
	case !isWrite && s.w.checks == choice.Refuses && !s.primary() && a.want > s.told():
		s.reply(a, choice.Declined)
	case !isWrite && s.w.checks == choice.Waits && !s.primary() && a.want > s.told():
		s.waiting = append(s.waiting, a)
	case s.busy >= s.cores && len(s.queue) >= c.Queue*s.cores:
		s.reply(a, choice.ServerFull)
	default:
		s.group.comes(a)
		s.begin(a)
	}
}

// begin lets an attempt work, or wait for a core.
func (s *server) begin(a *attempt) {
	if s.busy >= s.cores {
		s.queue = append(s.queue, a)
		return
	}
	s.busy++
	if a.t.HoldsApply && !s.primary() {
		s.holding++
		a.holds = true
	}
	a.running = true
	s.w.check.began(s, a)
	life := s.life
	took := time.Duration(a.work / s.pace())
	s.w.after(took, func() { s.finish(a, life) })
}

// finish ends an attempt's work.
func (s *server) finish(a *attempt, life int) {
	if s.life != life {
		return
	}
	if s.hung { // what was at work stands still too
		s.stuck = append(s.stuck, func() { s.finish(a, life) })
		return
	}
	s.busy--
	if a.holds {
		s.holding--
		s.apply()
	}
	for len(s.queue) > 0 && s.busy < s.cores {
		next := s.queue[0]
		s.queue = s.queue[1:]
		if !next.dropped {
			s.begin(next)
		}
	}
	failed := s.fails > 0 && draw(s.w.seed, 0xfa17, a.req.id, uint64(a.trial.gw.index), uint64(a.number)) < s.fails
	if a.t.need == choice.Write {
		switch {
		case !s.primary(): // it lost the role while it worked
			s.reply(a, choice.ServerError)
			return
		case !failed || draw(s.w.seed, 0xeffec7, a.req.id, uint64(a.number)) < 0.5:
			if s.group.fresh(s.w.now, a) { // a repeat of a tokened op has no second effect
				s.w.check.effect(s, a)
				s.group.commit(s.w.now)
			}
		}
	}
	if failed {
		s.reply(a, choice.ServerError)
		return
	}
	s.reply(a, choice.Acked)
}

// reply sends the answer on its way.
func (s *server) reply(a *attempt, result choice.Result) {
	role, pos := choice.RoleUnknown, choice.LongPast
	if s.w.world.Reports.Answers {
		role, pos = s.role(), s.told()
	}
	s.w.answer(a, result, role, pos)
}

// cold accounts for work that arrives at a cold server, and lets it fall over where that was too much.
func (s *server) cold(a *attempt) {
	if s.started <= longAgo || s.w.world.Rules.Overload <= 0 || s.ramp(s.w.now) >= 1 {
		return
	}
	r := &s.w.world.Rules
	s.window = append(s.window, coldWork{s.w.now, a.work, a.trial.gw.knowsStart(s)})
	s.sum += a.work
	for s.window[0].at <= s.w.now-r.FallTime {
		s.sum -= s.window[0].work
		s.window = s.window[1:]
	}
	// The ramp's mean over the window, as the server would have worked it off.
	can := float64(s.cores) * s.speed * s.ramp(max(s.started, s.w.now-r.FallTime/2)) * float64(r.FallTime)
	slack := 4 * float64(s.w.meanWork) // so that chance alone pushes nobody over
	if s.sum <= r.Overload*can+slack {
		return
	}
	told := 0.0
	for _, c := range s.window {
		if c.told {
			told += c.work
		}
	}
	s.w.event("server %d pushed over while cold", s.id)
	if told >= s.sum*2/3 {
		s.w.check.broke(4, a.trial, fmt.Sprintf("server %d was sent %v of work in %v, %.1f times what it can do", s.id,
			time.Duration(s.sum).Round(time.Millisecond), r.FallTime, s.sum/can))
	}
	s.crash(fallen)
}

// crash ends the process, or the machine.
func (s *server) crash(how condition) {
	if !s.runs() {
		return
	}
	s.applied = s.position()
	s.state = how
	s.life++
	s.busy, s.holding, s.applying = 0, 0, false
	s.queue, s.stuck, s.waiting, s.window, s.sum, s.hung = nil, nil, nil, nil, 0, false
	s.w.broken(s, how != vanished)
	s.group.lost(s)
	s.w.lists.changed(s)
}

// start brings a server back, cold, with the log where it stood.
func (s *server) start() {
	if s.runs() {
		return
	}
	if s.state == vanished {
		s.w.broken(s, true) // connections that were open are reset when the machine is back
	}
	s.state, s.life, s.started, s.draining = up, s.life+1, s.w.now, false
	s.backlog = nil
	s.group.rejoin(s)
	s.w.lists.changed(s)
}

// freezes makes a server take ops and answer none, or go on.
func (s *server) freezes(hung bool) {
	if s.hung == hung || !s.runs() {
		return
	}
	s.hung = hung
	if hung {
		s.group.lost(s)
		return
	}
	stuck := s.stuck
	s.stuck = nil
	for _, do := range stuck {
		do()
	}
	if s.applying { // its applying went on in the meantime, which is little
		return
	}
	s.apply()
}

// drains makes a server refuse what is new; it ends when it has had time to finish.
func (s *server) drains() {
	s.draining = true
	s.group.handover(s)
	s.w.lists.changed(s)
	life := s.life
	s.w.after(s.w.world.Servers.Drain, func() {
		if s.life == life && s.draining {
			s.crash(crashed)
		}
	})
}

// capacity is the work that the server does in a second when it is well and warm.
func (s *server) capacity() float64 { return float64(s.cores) * s.speed }

// longAgo stands for a start before the day.
const longAgo = time.Duration(math.MinInt64 / 4)
