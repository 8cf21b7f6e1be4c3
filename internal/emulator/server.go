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
	serverUp         condition = iota
	serverCrashed              // its process has ended: connections are reset, new ones refused
	serverVanished             // the machine is silent
	serverOverloaded           // it was pushed over while it was cold
)

// server is one database server. It works on as many ops at a time as it has cores, first come first served.
type server struct {
	sim   *simulation
	id    uint32
	group *group
	zone  int
	kind  uint8
	cores int
	speed float64 // drawn for the day

	state           condition
	draining        bool
	hung            bool
	slowdown        float64 // factor on its work, 1 as a rule
	errorShare      float64 // share of ops that end with an error
	refusing        bool
	probeErrorShare float64       // share of probes that fail while ops are served
	positionLead    time.Duration // by which it claims to be further than it is
	applySlowdown   float64       // factor on the applying of the log
	connectionLimit int           // connections it takes for now, 0: as usual
	startedAt       time.Duration
	generation      int // counts its starts; what belongs to an earlier one comes to nothing

	busyCores       int
	queue           []*attempt
	deferred        []func() // what waits for a hung server to go on
	openConnections int      // connections
	openAttempts    int      // attempts under way to it, as the oracle sees them

	// The log, on a replica: commits shipped and not applied, oldest first.
	backlog      []time.Duration
	applying     bool
	appliedTo    time.Duration // of what it has applied, the newest commit
	applyHolds   int           // long reads that stop the applying
	waitingReads []*attempt    // reads that wait for a position
	wasPrimary   bool

	// Work sent to it while cold, for the rule and for its falling over.
	coldWindow  []coldWork
	coldWorkSum float64
}

type coldWork struct {
	at         time.Duration
	work       float64
	startKnown bool // its gateway knew, or is deemed to have known, of the start
}

func (s *server) isUp() bool { return s.state == serverUp }

// ramp is the share of its speed that a server has after a start.
func (s *server) speedShare(now time.Duration) float64 {
	if s.startedAt <= longAgo {
		return 1
	}
	c := &s.sim.world.Servers
	return min(1, c.ColdFrom+(1-c.ColdFrom)*float64(now-s.startedAt)/float64(max(1, c.ColdTime)))
}

// pace is the work that one of its cores does in a second now.
func (s *server) currentSpeed() float64 { return s.speed * s.speedShare(s.sim.now) / s.slowdown }

func (s *server) isPrimary() bool { return s.group.primary == s }

// role is what the server says it is.
func (s *server) role() choice.Role {
	if s.isPrimary() {
		return choice.Primary
	}
	return choice.Replica
}

// position is how far the server's data reach: a primary stands at the present, a replica at what it has applied, or where
// nothing is left to apply, at what the primary can have shipped by now.
func (s *server) position() time.Duration {
	if s.isPrimary() {
		return s.sim.now
	}
	if len(s.backlog) > 0 {
		return max(s.appliedTo, s.backlog[0]-1) // all before the next commit is there
	}
	if p := s.group.primary; p != nil && p.isUp() && !p.hung {
		return max(s.appliedTo, s.sim.now-s.sim.world.Log.Ship)
	}
	return max(s.appliedTo, s.group.primaryLostAt-s.sim.world.Log.Ship)
}

// told is the position that the server tells.
func (s *server) reportedPosition() time.Duration { return s.position() + s.positionLead }

// commit is called when the primary has committed a write.
func (g *group) commit(now time.Duration) {
	g.commits = append(g.commits, now)
	if len(g.commits) > 4*keptCommits {
		g.commits = append(g.commits[:0], g.commits[len(g.commits)-keptCommits:]...)
	}
	for _, s := range g.members {
		if s != g.primary && s.isUp() {
			s.ship(now)
		}
	}
}

// keptCommits is how many commits of a group are kept for those that come back.
const keptCommits = 4096

func (s *server) ship(commit time.Duration) {
	life := s.generation
	s.sim.after(s.sim.world.Log.Ship, func() {
		if s.generation == life && s.isUp() && !s.isPrimary() {
			s.backlog = append(s.backlog, commit)
			s.apply()
		}
	})
}

// apply works on the next commit of the backlog, unless something holds it up.
func (s *server) apply() {
	if s.applying || len(s.backlog) == 0 || s.applyHolds > 0 || !s.isUp() || s.hung || s.isPrimary() {
		return
	}
	s.applying = true
	life, commit := s.generation, s.backlog[0]
	u := draw(s.sim.seed, 0x10f, uint64(s.id), uint64(commit))
	work := time.Duration(float64(s.sim.world.Log.Apply) * exponential(u) * s.applySlowdown / s.currentSpeed())
	s.sim.after(work, func() {
		if s.generation != life || !s.applying {
			return
		}
		s.applying = false
		s.backlog = s.backlog[1:]
		if !s.isUp() {
			return
		}
		s.appliedTo = max(s.appliedTo, commit)
		s.apply()
		s.serveWaitingReads()
	})
}

// reached serves the reads that waited for a position.
func (s *server) serveWaitingReads() {
	waiting := s.waitingReads
	s.waitingReads = nil
	for _, a := range waiting {
		if a.minPosition <= s.position() {
			s.begin(a)
		} else {
			s.waitingReads = append(s.waitingReads, a)
		}
	}
}

// arrive takes an attempt whose last byte has come. Where the process does not run the network has answered before.
func (s *server) arrive(a *attempt) {
	if s.hung {
		s.deferred = append(s.deferred, func() { s.arrive(a) })
		return
	}
	c := &s.sim.world.Servers
	s.countColdWork(a)
	if !s.isUp() { // it has just fallen over
		return
	}
	isWrite := a.opType.need == choice.Write
	switch {
	case s.draining || s.refusing:
		s.reply(a, choice.ServerFull)
	case isWrite && !s.isPrimary():
		s.reply(a, choice.Declined)
	case !isWrite && s.sim.checks == choice.Refuses && !s.isPrimary() && a.minPosition > s.reportedPosition():
		s.reply(a, choice.Declined)
	case !isWrite && s.sim.checks == choice.Waits && !s.isPrimary() && a.minPosition > s.reportedPosition():
		s.waitingReads = append(s.waitingReads, a)
	case s.busyCores >= s.cores && len(s.queue) >= c.Queue*s.cores:
		s.reply(a, choice.ServerFull)
	default:
		s.group.noteTokenedSend(a)
		s.begin(a)
	}
}

// begin lets an attempt work, or wait for a core.
func (s *server) begin(a *attempt) {
	if s.busyCores >= s.cores {
		s.queue = append(s.queue, a)
		return
	}
	s.busyCores++
	if a.opType.HoldsApply && !s.isPrimary() {
		s.applyHolds++
		a.holdsApply = true
	}
	a.running = true
	s.sim.checker.workBegan(s, a)
	life := s.generation
	took := time.Duration(a.work / s.currentSpeed())
	s.sim.after(took, func() { s.finish(a, life) })
}

// finish ends an attempt's work.
func (s *server) finish(a *attempt, life int) {
	if s.generation != life {
		return
	}
	if s.hung { // what was at work stands still too
		s.deferred = append(s.deferred, func() { s.finish(a, life) })
		return
	}
	s.busyCores--
	if a.holdsApply {
		s.applyHolds--
		s.apply()
	}
	for len(s.queue) > 0 && s.busyCores < s.cores {
		next := s.queue[0]
		s.queue = s.queue[1:]
		if !next.dropped {
			s.begin(next)
		}
	}
	failed := s.errorShare > 0 && draw(s.sim.seed, 0xfa17, a.request.id, uint64(a.op.gateway.index), uint64(a.number)) < s.errorShare
	if a.opType.need == choice.Write {
		switch {
		case !s.isPrimary(): // it lost the role while it worked
			s.reply(a, choice.ServerError)
			return
		case !failed || draw(s.sim.seed, 0xeffec7, a.request.id, uint64(a.number)) < 0.5:
			if s.group.takesEffect(s.sim.now, a) { // a repeat of a tokened op has no second effect
				s.sim.checker.writeTookEffect(s, a)
				s.group.commit(s.sim.now)
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
	if s.sim.world.Reports.Answers {
		role, pos = s.role(), s.reportedPosition()
	}
	s.sim.returnAnswer(a, result, role, pos)
}

// cold accounts for work that arrives at a cold server, and lets it fall over where that was too much.
func (s *server) countColdWork(a *attempt) {
	if s.startedAt <= longAgo || s.sim.world.Rules.Overload <= 0 || s.speedShare(s.sim.now) >= 1 {
		return
	}
	r := &s.sim.world.Rules
	s.coldWindow = append(s.coldWindow, coldWork{s.sim.now, a.work, a.op.gateway.knowsStart(s)})
	s.coldWorkSum += a.work
	for s.coldWindow[0].at <= s.sim.now-r.FallTime {
		s.coldWorkSum -= s.coldWindow[0].work
		s.coldWindow = s.coldWindow[1:]
	}
	// The ramp's mean over the window, as the server would have worked it off.
	can := float64(s.cores) * s.speed * s.speedShare(max(s.startedAt, s.sim.now-r.FallTime/2)) * float64(r.FallTime)
	slack := 4 * float64(s.sim.meanWork) // so that chance alone pushes nobody over
	if s.coldWorkSum <= r.Overload*can+slack {
		return
	}
	told := 0.0
	for _, c := range s.coldWindow {
		if c.startKnown {
			told += c.work
		}
	}
	s.sim.recordEvent("server %d pushed over while cold", s.id)
	if told >= s.coldWorkSum*2/3 {
		s.sim.checker.recordViolation(4, a.op, fmt.Sprintf("server %d was sent %v of work in %v, %.1f times what it can do", s.id,
			time.Duration(s.coldWorkSum).Round(time.Millisecond), r.FallTime, s.coldWorkSum/can))
	}
	s.crash(serverOverloaded)
}

// crash ends the process, or the machine.
func (s *server) crash(how condition) {
	if !s.isUp() {
		return
	}
	s.appliedTo = s.position()
	s.state = how
	s.generation++
	s.busyCores, s.applyHolds, s.applying = 0, 0, false
	s.queue, s.deferred, s.waitingReads, s.coldWindow, s.coldWorkSum, s.hung = nil, nil, nil, nil, 0, false
	s.sim.breakConnections(s, how != serverVanished)
	s.group.memberLost(s)
	s.sim.discovery.serverChanged(s)
}

// start brings a server back, cold, with the log where it stood.
func (s *server) start() {
	if s.isUp() {
		return
	}
	if s.state == serverVanished {
		s.sim.breakConnections(s, true) // connections that were open are reset when the machine is back
	}
	s.state, s.generation, s.startedAt, s.draining = serverUp, s.generation+1, s.sim.now, false
	s.backlog = nil
	s.group.rejoin(s)
	s.sim.discovery.serverChanged(s)
}

// freezes makes a server take ops and answer none, or go on.
func (s *server) setHung(hung bool) {
	if s.hung == hung || !s.isUp() {
		return
	}
	s.hung = hung
	if hung {
		s.group.memberLost(s)
		return
	}
	stuck := s.deferred
	s.deferred = nil
	for _, do := range stuck {
		do()
	}
	if s.applying { // its applying went on in the meantime, which is little
		return
	}
	s.apply()
}

// drains makes a server refuse what is new; it ends when it has had time to finish.
func (s *server) drain() {
	s.draining = true
	s.group.handOver(s)
	s.sim.discovery.serverChanged(s)
	life := s.generation
	s.sim.after(s.sim.world.Servers.Drain, func() {
		if s.generation == life && s.draining {
			s.crash(serverCrashed)
		}
	})
}

// capacity is the work that the server does in a second when it is well and warm.
func (s *server) capacity() float64 { return float64(s.cores) * s.speed }

// longAgo stands for a start before the day.
const longAgo = time.Duration(math.MinInt64 / 4)
