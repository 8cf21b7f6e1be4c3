package clientside

import (
	"runtime"
	"sync"
	"time"

	"gorsewell/choice"
	"gorsewell/internal/exchange"
)

// turns has the input of all connections processed in the order, and at the times, that a choice.InputScheduler
// decides.
type turns struct {
	clock exchange.Clock

	// mu guards all fields below.
	mu        sync.Mutex
	scheduler *choice.InputScheduler

	// waiting holds a channel for each flow that waits for its turn. A value is sent when the turn has begun.
	waiting map[*choice.InputFlow]chan<- struct{}

	// timer begins the next turn when the scheduler allows it.
	timer *time.Timer
}

func newTurns(clock exchange.Clock, cores float64) *turns {
	t := &turns{clock: clock, scheduler: choice.NewInputScheduler(clock.Now(), cores),
		waiting: map[*choice.InputFlow]chan<- struct{}{}}
	t.timer = time.AfterFunc(time.Hour, t.beginNext)
	return t
}

// flow is the input of one connection, or the accepting of connections.
type flow struct {
	choice.InputFlow
	begun chan struct{}

	// readTime is how long reads took since the last turn.
	readTime time.Duration
}

func newFlow() *flow { return &flow{begun: make(chan struct{}, 1)} }

// await waits for the turn of a flow. The caller has to call end soon, and must not wait for anything before that.
func (t *turns) await(f *flow) {
	t.mu.Lock()
	begun := t.scheduler.Request(t.clock.Now(), &f.InputFlow)
	if !begun {
		t.waiting[&f.InputFlow] = f.begun
		t.beginNextLocked()
	}
	t.mu.Unlock()
	if !begun {
		<-f.begun
	}
}

// end ends the turn that has begun, after all goroutines that are ready now have run. Among them are those that the turn has
// made ready, so that its time is that of all it has caused.
func (t *turns) end(f *flow) {
	runtime.Gosched()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.scheduler.End(t.clock.Now(), f.readTime)
	f.readTime = 0
	t.beginNextLocked()
}

// beginNext begins the next turn if the scheduler allows it.
func (t *turns) beginNext() {
	t.mu.Lock()
	t.beginNextLocked()
	t.mu.Unlock()
}

// beginNextLocked is beginNext for a caller that holds the mutex.
func (t *turns) beginNextLocked() {
	next, wait := t.scheduler.Next(t.clock.Now())
	switch {
	case next != nil:
		t.waiting[next] <- struct{}{}
		delete(t.waiting, next)
	case wait > 0:
		t.timer.Reset(wait)
	}
}

// liftLimits ends the limits on processor time.
func (t *turns) liftLimits() {
	t.mu.Lock()
	t.scheduler.LiftLimits()
	t.beginNextLocked()
	t.mu.Unlock()
}
