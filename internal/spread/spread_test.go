package spread

import (
	"testing"
	"time"
)

// near leaves room for the width of a histogram's bins.
func near(a, b float64) bool { return a > b*0.998 && a < b*1.002 }

// play plays one second in which a group is asked for reads, each number of them at a server.
func play(m *Meter, at time.Duration, reads ...int) {
	for s, n := range reads {
		for i := range n {
			now := at + time.Duration(i)*time.Second/100
			m.Asked(now, 0)
			m.Read(now, s)
		}
	}
	m.until(at + time.Second)
}

func TestOnlyFitReplicasInBusySecondsCount(t *testing.T) {
	m := New(2)
	for s := range 4 {
		m.Fit(0, 0, s, s > 0) // server 0 is primary
	}
	play(m, 0, 50, 4, 4, 4)
	if f := m.Figures(time.Second); !near(f.P99, 1) || f.Idle != 0 || f.Seconds != 1 {
		t.Errorf("an even second with a loaded primary: %+v", f)
	}
	play(m, time.Second, 0, 12, 0, 0)
	if f := m.Figures(2 * time.Second); !near(f.P99, 3) || f.Idle != 2./6 {
		t.Errorf("all to one of three: %+v", f)
	}
	play(m, 2*time.Second, 0, 7, 0, 0)
	if f := m.Figures(3 * time.Second); f.Seconds != 2 {
		t.Errorf("a second of seven reads counted: %+v", f)
	}
	m.Fit(3500*time.Millisecond, 0, 1, false)
	play(m, 3*time.Second, 0, 0, 6, 6) // it left within this second, so nobody can be blamed for what it did not get
	if f := m.Figures(4 * time.Second); f.Idle != 2./8 || f.Seconds != 3 {
		t.Errorf("one that does not fit counted: %+v", f)
	}
}

func TestTheHerdIsCountedForAWhileAfterSomethingCame(t *testing.T) {
	m := New(1)
	for s := range 2 {
		m.Fit(0, 0, s, true)
	}
	play(m, 0, 9, 1)
	m.ServerCame(1100*time.Millisecond, 0)
	play(m, 2*time.Second, 8, 8)
	play(m, 9*time.Second, 9, 1)
	f := m.Figures(10 * time.Second)
	if f.HerdSeconds != 1 || !near(f.HerdP99, 1) || f.Seconds != 3 {
		t.Errorf("%+v", f)
	}
	m.GatewayCame(10 * time.Second)
	play(m, 10*time.Second, 9, 1)
	if f := m.Figures(11 * time.Second); f.HerdSeconds != 2 || !near(f.HerdP99, 1.8) {
		t.Errorf("%+v", f)
	}
}

func TestOffloadAndConnections(t *testing.T) {
	m := New(1)
	for i := range 10 {
		m.Served(i == 0)
		m.Connections(i)
	}
	if f := m.Figures(0); f.Offload != 0.9 || f.Connections != 4.5 {
		t.Errorf("%+v", f)
	}
}
