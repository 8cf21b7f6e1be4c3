package choice

import "time"

// IDGuard decides whether an id that a client gives to an op may be used. It refuses the id of an op that is open and, for
// some time, that of an op that must not run twice and may have run: its client may have left, and whoever sends the
// id again must not make it run again. Ids are given by hashes.
type IDGuard struct {
	open  map[uint64]struct{}
	spent map[uint64]struct{} // ids of ended ops that must not run again
	order []spentID           // the same, the earliest first
}

// spentID is the id of an op that must not run again.
type spentID struct {
	hash  uint64
	until time.Duration
}

const (
	// spentIDTime is how long the id of an op that must not run again is refused.
	spentIDTime = 5 * time.Minute

	// maxSpentIDs is how many such ids are kept. The earliest is dropped first.
	maxSpentIDs = 16384
)

// NewIDGuard returns a guard that knows no id.
func NewIDGuard() *IDGuard {
	return &IDGuard{open: map[uint64]struct{}{}, spent: map[uint64]struct{}{}}
}

// Claim records the id of an op that comes in. It returns false if the id must not be used.
func (g *IDGuard) Claim(now time.Duration, hash uint64) bool {
	g.dropExpired(now)
	if _, isOpen := g.open[hash]; isOpen {
		return false
	}
	if _, isSpent := g.spent[hash]; isSpent {
		return false
	}
	g.open[hash] = struct{}{}
	return true
}

// Release records that the op of an id has ended.
func (g *IDGuard) Release(now time.Duration, hash uint64, effect Effect, mayHaveRun bool) {
	delete(g.open, hash)
	if effect == Retryable || !mayHaveRun {
		return
	}
	g.spent[hash] = struct{}{}
	g.order = append(g.order, spentID{hash, now + spentIDTime})
	g.dropExpired(now)
}

// OpenCount returns the number of open ops.
func (g *IDGuard) OpenCount() int { return len(g.open) }

// dropExpired drops the spent ids whose time is over and those that are too many.
func (g *IDGuard) dropExpired(now time.Duration) {
	for len(g.order) > maxSpentIDs || len(g.order) > 0 && g.order[0].until <= now {
		delete(g.spent, g.order[0].hash)
		g.order = g.order[1:]
	}
}
