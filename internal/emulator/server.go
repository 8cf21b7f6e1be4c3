package emulator

import (
	"math"
	"time"

	"gorsewell/choice"
)

// condition is the state of a server's process and machine.
type condition uint8

const (
	serverUp         condition = iota // the process runs
	serverCrashed                     // the process has ended: connections are reset and new ones refused
	serverVanished                    // the machine does not answer at all
	serverOverloaded                  // the process has crashed because it was overloaded while cold
)

// server is one database server. It works on one op per core at a time, in the order in which they arrive.
type server struct {
	sim   *simulation
	id    uint32
	group *group
	zone  int
	kind  uint8 // index into Servers.Kinds
	cores int
	speed float64 // of a core when warm, drawn for the run

	state           condition
	draining        bool          // it refuses new ops and ends soon
	hung            bool          // it accepts ops but answers none
	slowdown        float64       // factor on the time of all work, 1 without faults
	errorShare      float64       // share of ops that end in an error
	refusing        bool          // it refuses all ops as if it were full
	probeErrorShare float64       // share of probes that fail although ops are served
	positionLead    time.Duration // time by which the reported position is ahead of the true one
	applySlowdown   float64       // factor on the time that applying the log takes, 1 without faults
	connectionLimit int           // limit in place of Servers.Conns, unless 0
	startedAt       time.Duration // time of the last start; longAgo: before the run
	generation      int           // number of starts and crashes; events of an earlier generation have no effect

	busyCores       int        // cores that work on an op
	queue           []*attempt // attempts that wait for a core
	deferred        []func()   // events that wait until a hung server resumes
	openConnections int        // connections with all gateways
	openAttempts    int        // attempts of all gateways without a result so far, for the oracle

	// The log, on a replica: times of the commits that are shipped but not applied, oldest first.
	backlog      []time.Duration
	applying     bool          // the oldest commit of the backlog is being applied
	appliedTo    time.Duration // time of the newest commit that has been applied
	applyHolds   int           // running reads that keep the log from being applied
	waitingReads []*attempt    // reads that wait until the position is new enough
	wasPrimary   bool          // it is or was the primary at some time

	// Work that arrived during the last Rules.FallTime while the server was cold, which decides whether the server crashes
	// and whether rule 4 is violated.
	coldWindow  []coldWork
	coldWorkSum float64 // sum of coldWindow, in nanoseconds of a core of speed 1
}

func (s *server) isUp() bool { return s.state == serverUp }

// speedShare returns the share of its full speed that the server has, which grows after a start.
func (s *server) speedShare(now time.Duration) float64 {
	if s.startedAt <= longAgo {
		return 1
	}
	settings := &s.sim.world.Servers
	return min(1, settings.ColdFrom+(1-settings.ColdFrom)*float64(now-s.startedAt)/float64(max(1, settings.ColdTime)))
}

// currentSpeed returns the present speed of one of the server's cores, compared to a core of speed 1.
func (s *server) currentSpeed() float64 { return s.speed * s.speedShare(s.sim.now) / s.slowdown }

func (s *server) isPrimary() bool { return s.group.primary == s }

// role returns the role of the server, which it also reports.
func (s *server) role() choice.Role {
	if s.isPrimary() {
		return choice.Primary
	}
	return choice.Replica
}

// position returns the time up to which the server's data includes all commits: now for a primary. For a replica it is
// just before the oldest unapplied commit or, with an empty backlog, the time up to which commits have been shipped.
func (s *server) position() time.Duration {
	if s.isPrimary() {
		return s.sim.now
	}
	if len(s.backlog) > 0 {
		return max(s.appliedTo, s.backlog[0]-1) // all commits before the oldest unapplied one are applied
	}
	if p := s.group.primary; p != nil && p.isUp() && !p.hung {
		return max(s.appliedTo, s.sim.now-s.sim.world.Log.Ship)
	}
	return max(s.appliedTo, s.group.primaryLostAt-s.sim.world.Log.Ship)
}

// reportedPosition returns the position that the server reports, which the fault lying_position moves ahead.
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

// keptCommits is the least number of newest commits of a group that are kept for members that come back.
const keptCommits = 4096

// ship sends a commit to the replica.
func (s *server) ship(commit time.Duration) {
	generation := s.generation
	s.sim.after(s.sim.world.Log.Ship, func() {
		if s.generation == generation && s.isUp() && !s.isPrimary() {
			s.backlog = append(s.backlog, commit)
			s.apply()
		}
	})
}

// apply applies the backlog, one commit at a time, unless that is under way already, a read holds it up or the server
// is hung, down or the primary.
func (s *server) apply() {
	if s.applying || len(s.backlog) == 0 || s.applyHolds > 0 || !s.isUp() || s.hung || s.isPrimary() {
		return
	}
	s.applying = true
	generation, commit := s.generation, s.backlog[0]
	u := draw(s.sim.seed, 0x10f, uint64(s.id), uint64(commit))
	work := time.Duration(float64(s.sim.world.Log.Apply) * exponential(u) * s.applySlowdown / s.currentSpeed())
	s.sim.after(work, func() {
		if s.generation != generation || !s.applying {
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

// serveWaitingReads begins the waiting reads for which the position is new enough by now.
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

// arrive handles an attempt that has been received. It is not called if the server is down.
func (s *server) arrive(a *attempt) {
	if s.hung {
		s.deferred = append(s.deferred, func() { s.arrive(a) })
		return
	}
	settings := &s.sim.world.Servers
	s.countColdWork(a)
	if !s.isUp() { // the attempt has overloaded it, and it has crashed
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
	case s.busyCores >= s.cores && len(s.queue) >= settings.Queue*s.cores:
		s.reply(a, choice.ServerFull)
	default:
		s.group.noteTokenedSend(a)
		s.begin(a)
	}
}

// begin starts work on an attempt, or queues it if no core is free.
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
	generation := s.generation
	took := time.Duration(a.work / s.currentSpeed())
	s.sim.after(took, func() { s.finish(a, generation) })
}

// finish ends the work on an attempt.
func (s *server) finish(a *attempt, generation int) {
	if s.generation != generation {
		return
	}
	if s.hung { // work in progress is suspended too
		s.deferred = append(s.deferred, func() { s.finish(a, generation) })
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
	failed := s.errorShare > 0 &&
		draw(s.sim.seed, 0xfa17, a.request.id, uint64(a.op.gateway.index), uint64(a.number)) < s.errorShare
	if a.opType.need == choice.Write {
		switch {
		case !s.isPrimary(): // it lost the role during the work
			s.reply(a, choice.ServerError)
			return
		case !failed || draw(s.sim.seed, 0xeffec7, a.request.id, uint64(a.number)) < 0.5:
			if s.group.takesEffect(s.sim.now, a) { // false for a repeat of a tokened op
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

// reply sends the answer to an attempt, with the role and the position if Reports.Answers.
func (s *server) reply(a *attempt, result choice.Result) {
	role, pos := choice.RoleUnknown, choice.LongPast
	if s.sim.world.Reports.Answers {
		role, pos = s.role(), s.reportedPosition()
	}
	s.sim.returnAnswer(a, result, role, pos)
}

// crash takes a server down. state says how: a process ends with resets, a vanished machine without notice.
func (s *server) crash(state condition) {
	if !s.isUp() {
		return
	}
	s.appliedTo = s.position()
	s.state = state
	s.generation++
	s.busyCores, s.applyHolds, s.applying = 0, 0, false
	s.queue, s.deferred, s.waitingReads, s.coldWindow, s.coldWorkSum, s.hung = nil, nil, nil, nil, 0, false
	s.sim.breakConnections(s, state != serverVanished)
	s.group.memberLost(s)
	s.sim.discovery.serverChanged(s)
}

// start restarts a server that is down. It is cold, and its log is at the position that it had.
func (s *server) start() {
	if s.isUp() {
		return
	}
	if s.state == serverVanished {
		s.sim.breakConnections(s, true) // connections still open at the gateways are reset when the machine is back
	}
	s.state, s.generation, s.startedAt, s.draining = serverUp, s.generation+1, s.sim.now, false
	s.backlog = nil
	s.group.rejoin(s)
	s.sim.discovery.serverChanged(s)
}

// setHung makes a server accept ops without answering any, or resume.
func (s *server) setHung(hung bool) {
	if s.hung == hung || !s.isUp() {
		return
	}
	s.hung = hung
	if hung {
		s.group.memberLost(s)
		return
	}
	deferred := s.deferred
	s.deferred = nil
	for _, resume := range deferred {
		resume()
	}
	if s.applying { // the commit being applied went on during the hang, which makes little difference
		return
	}
	s.apply()
}

// drain makes a server refuse new ops and hand over the role of primary. After Servers.Drain its process ends.
func (s *server) drain() {
	s.draining = true
	s.group.handOver(s)
	s.sim.discovery.serverChanged(s)
	generation := s.generation
	s.sim.after(s.sim.world.Servers.Drain, func() {
		if s.generation == generation && s.draining {
			s.crash(serverCrashed)
		}
	})
}

// capacity returns the speed of all cores together when the server is warm and without faults.
func (s *server) capacity() float64 { return float64(s.cores) * s.speed }

// longAgo stands for a time before the run, such as that of a server's start.
const longAgo = time.Duration(math.MinInt64 / 4)
