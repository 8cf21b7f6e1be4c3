package choice

import (
	"math/rand/v2"
	"testing"
	"time"
)

// inputModel plays connections that always have input, and one that asks for a turn now and then, in virtual time.
type inputModel struct {
	scheduler *InputScheduler
	now       time.Duration
	busy      time.Duration // time spent in turns
	turns     map[*InputFlow]int
	current   *InputFlow // whose turn has begun, or nil
}

// playUntil plays all turns of connections that always have input, up to a time. Each asks for a turn when one has ended.
func (m *inputModel) playUntil(end time.Duration, took func() time.Duration) {
	for m.now < end {
		f, wait := m.current, time.Duration(0)
		if f == nil {
			f, wait = m.scheduler.Next(m.now)
		}
		if f == nil {
			m.now += min(max(wait, 1), end-m.now)
			continue
		}
		length := took()
		m.now += length
		m.busy += length
		m.turns[f]++
		m.scheduler.End(m.now, 0)
		m.current = nil
		if m.scheduler.Request(m.now, f) {
			m.current = f
		}
	}
}

func TestBackloggedInputTakesBoundedTimeAndIsSharedFairly(t *testing.T) {
	for _, clients := range []int{1, 6, 64} {
		for _, cores := range []float64{0, 0.25, 1, 4} {
			m := &inputModel{scheduler: NewInputScheduler(0, cores), turns: map[*InputFlow]int{}}
			m.scheduler.inTurn = true
			for range clients {
				m.scheduler.Request(0, &InputFlow{Backlogged: true})
			}
			m.scheduler.inTurn = false
			rng := rand.New(rand.NewPCG(1, uint64(clients)))
			m.playUntil(10*time.Second, func() time.Duration { return time.Duration(rng.IntN(int(200 * time.Microsecond))) })
			share := float64(m.busy) / float64(m.now)
			most := map[float64]float64{0: backlogShare, 0.25: backlogShare / 4, 1: backlogShare, 4: 1}[cores]
			if share > most+0.01 || share < most-0.01 {
				t.Errorf("%d clients, %v cores: got %.3f of the time, want %.3f", clients, cores, share, most)
			}
			fewest, greatest := 1<<60, 0
			for _, n := range m.turns {
				fewest, greatest = min(fewest, n), max(greatest, n)
			}
			if len(m.turns) != clients || greatest-fewest > 1 {
				t.Errorf("%d clients: got %d to %d turns, want as many for each", clients, fewest, greatest)
			}
		}
	}
}

// A connection that asks for few turns waits for the turn that has begun, and not for those that wait.
func TestOccasionalInputGoesBeforeBackloggedInput(t *testing.T) {
	const turn = 100 * time.Microsecond
	for _, clients := range []int{1, 6, 64} {
		m := &inputModel{scheduler: NewInputScheduler(0, 1), turns: map[*InputFlow]int{}}
		m.scheduler.inTurn = true
		for range clients {
			m.scheduler.Request(0, &InputFlow{Backlogged: true})
		}
		m.scheduler.inTurn = false
		usual := &InputFlow{}
		for n := range time.Duration(100) {
			m.playUntil((n+1)*10*time.Millisecond, func() time.Duration { return turn })
			m.scheduler.inTurn = true // a turn of another connection is under way
			if m.scheduler.Request(m.now, usual) {
				t.Fatal("got two turns at a time")
			}
			m.now += turn
			m.scheduler.End(m.now, 0)
			if m.current != nil {
				m.scheduler.Request(m.now, m.current)
				m.current = nil
			}
			if f, wait := m.scheduler.Next(m.now); f != usual {
				t.Fatalf("%d clients: got another turn or a wait of %v, want the occasional one", clients, wait)
			}
			m.now += turn
			m.scheduler.End(m.now, 0)
		}
	}
}

// A turn that takes long, because the process stands still in it, must not stop all input for long.
func TestLongTurnCausesBoundedWait(t *testing.T) {
	s := NewInputScheduler(0, 0.5)
	f := &InputFlow{Backlogged: true}
	if !s.Request(0, f) {
		t.Fatal("got no turn")
	}
	s.End(time.Minute, 0)
	if s.Request(time.Minute, f) {
		t.Error("got a turn of a backlogged connection at once, want a wait")
	}
	if _, wait := s.Next(time.Minute); wait > 50*time.Millisecond || wait <= 0 {
		t.Errorf("got a wait of %v, want at most 50ms", wait)
	}
	if s.LiftLimits(); s.timeUntilAllowed(time.Minute, f) != 0 {
		t.Error("got a wait without limits, want none")
	}
}

// Accepting, which asks for one turn after the other, had one turn in N + 1 beside N backlogged connections. It must not keep
// out others either.
func TestAcceptingHasTurnsBesideManyBackloggedConnections(t *testing.T) {
	const connections, rounds = 300, 20
	s := NewInputScheduler(0, 1)
	s.LiftLimits()
	accepting := &InputFlow{Backlogged: true, Weight: AcceptWeight}
	turns := map[*InputFlow]int{}
	for range connections {
		s.Request(0, &InputFlow{Backlogged: true})
	}
	acceptingWaits := false
	for range rounds * connections {
		s.End(0, 0)
		next, _ := s.Next(0)
		turns[next]++
		if next == accepting {
			acceptingWaits = false
			continue // it asks again only after the next turn has begun
		}
		s.Request(0, next)
		if !acceptingWaits {
			acceptingWaits = true
			s.Request(0, accepting)
		}
	}
	if got, want := turns[accepting], rounds*connections*AcceptWeight/(connections+AcceptWeight); got < want*9/10 || got > want*11/10 {
		t.Errorf("got %d turns for accepting, want about %d", got, want)
	}
	occasional := &InputFlow{}
	s.Request(0, occasional)
	s.End(0, 0)
	if next, _ := s.Next(0); next != occasional {
		t.Error("want the next turn for a connection that is not backlogged")
	}
}
