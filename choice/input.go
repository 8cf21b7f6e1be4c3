package choice

import (
	"cmp"
	"slices"
	"time"
)

// An InputScheduler decides whose input a gateway processes next, and when. It bounds the processor time that input
// takes, whatever it consists of, and shares it fairly among connections, so that clients that send as fast as they can
// do not delay the answers to others.
//
// Input is processed in turns, one at a time. A turn processes one command, or the bytes of one read that completed
// none, or accepts a connection, and lasts until all that it has caused has run. The order is start-time fair queueing: each
// turn of a connection begins, in virtual time, where its last one ended, or at the present virtual time if that is later.
// The earliest goes first, with a lead for connections that are not backlogged. So a connection that asks for few turns
// hardly waits for those that ask for many. Accepting has the weight of many connections, as each of its turns is for
// another client.
//
// Two time budgets limit turns, see the constants. The one for backlogged connections leaves the rest of the processor
// to the work on servers and to connections whose clients wait for answers.
//
// Like a Gateway, it has no I/O, clock or goroutine of its own.
type InputScheduler struct {
	all         timeBudget // limits all turns
	backlog     timeBudget // limits turns of backlogged connections
	virtualTime int64      // when the newest turn began
	turnStart   time.Duration
	inTurn      bool
	waiting     []*InputFlow // in the order of their turns
	unlimited   bool
}

const (
	// inputShare is the part of one core's time that turns may take, if there is no other core.
	inputShare = 0.75

	// backlogShare is the part of the time of all cores that turns of backlogged connections may take.
	backlogShare = 0.4

	// occasionalLead is by how many turns a connection that is not backlogged comes earlier: it may have so many while each
	// of the backlogged connections has one.
	occasionalLead = 8

	// turnLength is the virtual time that a turn of a flow of weight 1 takes.
	turnLength = AcceptWeight

	// inputBurst is how much unused time accumulates for all turns.
	inputBurst = 10 * time.Millisecond

	// backlogBurst is how much accumulates for backlogged connections. It is short, as the Go scheduler hardly looks for
	// network events, those of other connections among them, while turns follow each other.
	backlogBurst = 2 * time.Millisecond

	// maxInputDebt is the greatest debt of a budget after a turn that took long.
	maxInputDebt = 5 * time.Millisecond
)

// AcceptWeight is how many turns accepting connections may have while each backlogged connection has one.
const AcceptWeight = 64

// Limits of the commands that are processed at a time.
const (
	// MaxOpenCommands is how many commands of one connection are processed at a time.
	MaxOpenCommands = 16

	// sharedOpenCommands is how many commands those connections may have together that have several at a time, unless each
	// has only one.
	sharedOpenCommands = 128
)

// OpenCommandLimit returns how many commands of a connection may be processed at a time, if that many connections have
// several commands. Its further commands wait for the answers to these.
func OpenCommandLimit(connections int) int {
	return min(max(1, sharedOpenCommands/max(1, connections)), MaxOpenCommands)
}

// InputFlow is the input of one connection, or the accepting of connections. Its zero value is a connection that has had no turn.
type InputFlow struct {
	// Backlogged tells that the connection's next input had arrived before it was ready to process it.
	Backlogged bool

	// Weight is how many turns it may have while a connection has one, AcceptWeight at most. 0 counts as 1.
	Weight int64

	start, finish int64 // of the newest turn, in virtual time
}

// credit is the virtual time by which a turn may begin before the present one. A flow of greater weight that is backlogged
// asks for its next turn only some time after its last one. Others have turns meanwhile, which must not cost it its own.
func (f *InputFlow) credit() int64 {
	if f.Backlogged && f.Weight > 1 {
		return turnLength
	}
	return 0
}

// rank is the place of a waiting connection in the order of turns, the lowest first.
func (f *InputFlow) rank() int64 {
	if f.Backlogged {
		return f.start
	}
	return f.start - occasionalLead*turnLength
}

// compareRanks compares the ranks of two connections. Of equal ones the one that has had less comes first.
func compareRanks(a, b *InputFlow) int {
	return cmp.Or(cmp.Compare(a.rank(), b.rank()), cmp.Compare(a.finish, b.finish))
}

// NewInputScheduler returns the scheduler of a process that may use the given number of cores, 0 if that is not known. As
// there is one turn at a time, turns use one core at most.
func NewInputScheduler(now time.Duration, cores float64) *InputScheduler {
	if cores <= 0 {
		cores = 1
	}
	return &InputScheduler{all: newTimeBudget(now, min(1, inputShare*max(1, cores)), inputBurst),
		backlog: newTimeBudget(now, min(1, backlogShare*cores), backlogBurst)}
}

// Request asks for a turn. If it returns true, the turn has begun; else Next returns the connection later.
func (s *InputScheduler) Request(now time.Duration, f *InputFlow) bool {
	f.start = max(s.virtualTime-f.credit(), f.finish)
	if !s.inTurn && len(s.waiting) == 0 && s.timeUntilAllowed(now, f) == 0 {
		s.begin(now, f)
		return true
	}
	i, _ := slices.BinarySearchFunc(s.waiting, f, func(a, b *InputFlow) int { return cmp.Or(compareRanks(a, b), -1) })
	s.waiting = slices.Insert(s.waiting, i, f)
	return false
}

// Next begins the next turn if it may begin now and returns its connection. Otherwise it returns nil and how long to
// wait before it is called again, 0 if no connection waits for anything but the end of a turn.
func (s *InputScheduler) Next(now time.Duration) (*InputFlow, time.Duration) {
	if s.inTurn || len(s.waiting) == 0 {
		return nil, 0
	}
	f := s.waiting[0]
	if wait := s.timeUntilAllowed(now, f); wait > 0 {
		return nil, wait
	}
	s.waiting = slices.Delete(s.waiting, 0, 1)
	s.begin(now, f)
	return f, 0
}

// begin begins a turn.
func (s *InputScheduler) begin(now time.Duration, f *InputFlow) {
	s.inTurn, s.turnStart = true, now
	s.virtualTime = max(s.virtualTime, f.start)
	f.finish = f.start + turnLength/max(1, f.Weight)
}

// End ends the turn that has begun. readTime is the time that reading its input took before.
func (s *InputScheduler) End(now, readTime time.Duration) {
	s.inTurn = false
	used := now - s.turnStart + readTime
	s.all.use(now, used)
	s.backlog.use(now, used)
}

// timeUntilAllowed returns how long the budgets keep a connection from its turn.
func (s *InputScheduler) timeUntilAllowed(now time.Duration, f *InputFlow) time.Duration {
	if s.unlimited {
		return 0
	}
	wait := s.all.timeUntilPositive(now)
	if f.Backlogged {
		wait = max(wait, s.backlog.timeUntilPositive(now))
	}
	return wait
}

// LiftLimits ends the limits on time. The order stays.
func (s *InputScheduler) LiftLimits() { s.unlimited = true }

// timeBudget is time that accumulates at a rate and is used up by turns.
type timeBudget struct {
	rate      float64 // time gained per time
	most      time.Duration
	left      time.Duration
	updatedAt time.Duration
}

// newTimeBudget returns a full budget.
func newTimeBudget(now time.Duration, rate float64, most time.Duration) timeBudget {
	return timeBudget{rate: rate, most: most, left: most, updatedAt: now}
}

// update adds what has accumulated.
func (b *timeBudget) update(now time.Duration) {
	gained := time.Duration(b.rate * float64(now-b.updatedAt))
	b.left, b.updatedAt = min(b.left+gained, b.most), now
}

// use takes time off the budget.
func (b *timeBudget) use(now, used time.Duration) {
	b.update(now)
	b.left = max(b.left-used, -maxInputDebt)
}

// timeUntilPositive returns how long it takes until the budget has time left.
func (b *timeBudget) timeUntilPositive(now time.Duration) time.Duration {
	if b.update(now); b.left > 0 {
		return 0
	}
	return time.Duration(float64(1-b.left)/b.rate) + 1
}
