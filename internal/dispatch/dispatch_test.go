package dispatch

import (
	"context"
	"testing"
	"time"

	"gorsewell/choice"
	"gorsewell/internal/counters"
	"gorsewell/internal/exchange"
	"gorsewell/internal/standin"
)

// fakeServers records the calls that the module makes. A send or probe has a result only if the test reports one.
type fakeServers struct {
	sent      []sendCall
	cancelled int
	probed    int
	closed    int
	located   map[uint32]string
	forgotten int
	withdrawn int
}

type sendCall struct {
	x       *exchange.Exchange
	number  uint8
	server  uint32
	beginBy time.Duration
}

func (s *fakeServers) Send(x *exchange.Exchange, number uint8, server uint32, beginBy time.Duration) {
	s.sent = append(s.sent, sendCall{x, number, server, beginBy})
}
func (s *fakeServers) Withdraw(uint32)                  { s.withdrawn++ }
func (s *fakeServers) Cancel(*exchange.Exchange, uint8) { s.cancelled++ }
func (s *fakeServers) Probe(uint32)                     { s.probed++ }
func (s *fakeServers) CloseIdle(uint32)                 { s.closed++ }
func (s *fakeServers) Locate(addrs map[uint32]string)   { s.located = addrs }
func (s *fakeServers) Forget(uint32)                    { s.forgotten++ }

// fakeDiscovery counts the calls that the module makes.
type fakeDiscovery struct{ asked, watched, forgotten int }

func (f *fakeDiscovery) Ask()   { f.asked++ }
func (f *fakeDiscovery) Watch() { f.watched++ }

func (f *fakeDiscovery) Forget(uint32) { f.forgotten++ }

const primary, replica = 1, 2

// startDispatch returns a Dispatch with one group of a primary and a replica, and three op types: a read, a write and a
// read that must see its session's last write.
func startDispatch(t *testing.T) (*Dispatch, *fakeServers, *fakeDiscovery) {
	t.Helper()
	settings := &choice.Deployment{Gateways: 1, EventInterval: 5 * time.Millisecond, ListOnRequest: true, AskWithin: 10 * time.Second,
		MaxSends: 8, MayCancel: true, AnswersCarryPosition: true, WriteAgeCarried: true, OpTypes: []choice.OpType{
			{Effect: choice.Retryable, Need: choice.Any, Target: 500 * time.Millisecond, Timeout: time.Second, Value: 1},
			{Need: choice.Write, Target: 500 * time.Millisecond, Timeout: time.Second, Value: 1, LateValue: 0.5},
			{Effect: choice.Retryable, Need: choice.Session, Target: 500 * time.Millisecond, Timeout: time.Second, Value: 1},
		}}
	d, s, l := New(exchange.StartClock(), &counters.Set{}), &fakeServers{}, &fakeDiscovery{}
	d.Start(s, l, settings, []choice.Listed{
		{ID: primary, State: choice.Ready, Primary: true, Started: choice.LongPast},
		{ID: replica, State: choice.Ready, Started: choice.LongPast}}, nil)
	return d, s, l
}

func submitOp(d *Dispatch, opType uint8, timeout time.Duration) *exchange.Exchange {
	x := &exchange.Exchange{OpType: opType, Deadline: d.clock.Now() + timeout, MinPosition: choice.LongPast, Done: make(chan struct{})}
	d.Submit(x)
	return x
}

func TestAckOfSendEndsOp(t *testing.T) {
	d, s, l := startDispatch(t)
	read, write := submitOp(d, 0, time.Second), submitOp(d, 1, time.Second)
	if len(s.sent) != 2 || s.sent[0].server != replica || s.sent[1].server != primary || s.sent[0].beginBy < read.Deadline || l.watched != 1 {
		t.Fatalf("got calls %+v and %+v, want the read sent to the replica, the write to the primary, and one watch", s, l)
	}
	d.SendEnded(read, 0, replica, exchange.AttemptResult{Result: choice.Acked, Position: choice.LongPast, Answer: exchange.Answer{Bytes: []byte("row")}})
	<-read.Done
	if read.Outcome != exchange.Acked || string(read.Answer.Bytes) != "row" || write.IsDone() {
		t.Errorf("got read %+v and write %+v, want an acked read with its answer and a pending write", read, write)
	}
}

func TestSendThatNeverRanIsRetried(t *testing.T) {
	d, s, _ := startDispatch(t)
	x := submitOp(d, 0, time.Second)
	d.SendEnded(x, 0, replica, exchange.AttemptResult{Result: choice.NoConnection, Position: choice.LongPast})
	for range 100 { // the module waits for a short time before it retries
		time.Sleep(5 * time.Millisecond)
		if d.tick(); len(s.sent) > 1 {
			break
		}
	}
	if len(s.sent) != 2 || s.sent[1].number != 1 || x.IsDone() {
		t.Errorf("got sends %+v, want a second one while the op is pending", s.sent)
	}
}

func TestNonRetryableOpEndsInErrorIfItMayHaveRun(t *testing.T) {
	d, s, _ := startDispatch(t)
	x := submitOp(d, 1, time.Second)
	d.SendEnded(x, 0, primary, exchange.AttemptResult{Result: choice.Reset, Position: choice.LongPast})
	if x.Outcome != exchange.Errored || len(s.sent) != 1 {
		t.Errorf("got %+v, want an error after one send", x)
	}
}

func TestOpPastItsDeadlineGetsBusyReply(t *testing.T) {
	d, s, _ := startDispatch(t)
	if x := submitOp(d, 0, 0); x.Outcome != exchange.BusyReplied || len(s.sent) != 0 {
		t.Errorf("got %+v, want a busy reply without a send", x)
	}
}

func TestStopEndsPendingOpsWithAndWithoutSends(t *testing.T) {
	d, s, _ := startDispatch(t)
	write, read := submitOp(d, 1, time.Second), submitOp(d, 0, time.Second)
	s.withdrawn = 0
	d.HandleList(choice.ListChanges, []choice.Listed{{ID: primary, State: choice.Draining, Started: choice.LongPast},
		{ID: replica, State: choice.Draining, Started: choice.LongPast}}, nil)
	unsent := submitOp(d, 1, time.Second)
	if s.withdrawn != 2 || unsent.IsDone() || read.IsDone() || write.IsDone() {
		t.Errorf("got %d withdrawals, want 2; ops %+v, %+v, %+v, want all pending", s.withdrawn, unsent, read, write)
	}
	d.Stop()
	if unsent.Outcome != exchange.BusyReplied || read.Outcome != exchange.BusyReplied || write.Outcome != exchange.Errored {
		t.Errorf("got outcomes %d without a send, %d of a read in flight, %d of a write in flight; want busy replies and an error",
			unsent.Outcome, read.Outcome, write.Outcome)
	}
	sent := len(d.table)
	if late := submitOp(d, 0, time.Second); late.Outcome != exchange.BusyReplied || late.InFlight {
		t.Errorf("op after Stop: got outcome %d, in flight %v, want a busy reply and no send", late.Outcome, late.InFlight)
	}
	if len(d.table) != sent {
		t.Errorf("got %d ops in the table, want %d as before", len(d.table), sent)
	}
}

func TestCountersAddUpOverAllOutcomes(t *testing.T) {
	d, s, _ := startDispatch(t)
	if standin.BreaksAssertion(func() { exerciseAllOutcomes(t, d, s) }) {
		t.Error("an assertion failed, want none")
	}
}

// exerciseAllOutcomes ends ops in every way and checks the counters.
func exerciseAllOutcomes(t *testing.T, d *Dispatch, s *fakeServers) {
	left := submitOp(d, 0, time.Second)
	d.ClientLeft(left)
	d.ClientLeft(left) // a second call has no effect
	acked, errored := submitOp(d, 0, time.Second), submitOp(d, 1, time.Second)
	d.SendEnded(acked, 0, replica, exchange.AttemptResult{Result: choice.Acked, Position: choice.LongPast})
	d.ClientLeft(acked) // the client leaves after the op has ended
	d.SendEnded(errored, 0, primary, exchange.AttemptResult{Result: choice.TimedOut, Position: choice.LongPast})
	submitOp(d, 0, 0)
	submitOp(d, 1, time.Second)                                                                            // stays pending
	d.SendEnded(left, 0, replica, exchange.AttemptResult{Result: choice.Acked, Position: choice.LongPast}) // the op has ended already
	c := d.counts
	if c.Taken.Load() != 5 || c.Acked.Load() != 1 || c.Errored.Load() != 1 || c.BusyReplied.Load() != 1 || c.Left.Load() != 1 ||
		c.Held.Load() != 1 || s.cancelled != 1 || len(d.table) != 1 {
		t.Errorf("got %s; %d cancelled, want 1; %d in the table, want 1", c, s.cancelled, len(d.table))
	}
}

func TestRemovedServerIsForgottenByServersAndDiscovery(t *testing.T) {
	d, s, l := startDispatch(t)
	d.HandleList(choice.ListChanges, []choice.Listed{{ID: replica, State: choice.Gone}, {ID: 3, State: choice.Ready}},
		map[uint32]string{3: "127.0.0.1:5"})
	d.mu.Lock()
	d.gateway.Timer(d.now()+time.Second, 0)
	d.mu.Unlock()
	if s.forgotten != 1 || l.forgotten != 1 || s.located[3] == "" {
		t.Errorf("got calls %+v and %+v, want one Forget each and the new server's address", s, l)
	}
}

func TestTimerEndsPendingOp(t *testing.T) {
	d, s, _ := startDispatch(t)
	d.HandleList(choice.ListChanges, []choice.Listed{{ID: primary, State: choice.Draining}, {ID: replica, State: choice.Draining}}, nil)
	x := submitOp(d, 1, 100*time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx) }()
	<-x.Done
	if now := d.clock.Now(); x.Outcome != exchange.BusyReplied || now > x.Deadline || len(s.sent) != 0 {
		t.Errorf("got outcome %d at %v, want a busy reply by %v without a send", x.Outcome, now, x.Deadline)
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

func TestAssertionsFailOnMisuse(t *testing.T) {
	timedOut := exchange.AttemptResult{Result: choice.TimedOut, Position: choice.LongPast}
	for name, f := range map[string]func(d *Dispatch, x *exchange.Exchange){
		"second result of a send": func(d *Dispatch, x *exchange.Exchange) {
			d.SendEnded(x, 0, replica, timedOut)
			x.InFlight = false
			d.SendEnded(x, 0, replica, timedOut)
		},
		"second outcome":                  func(d *Dispatch, x *exchange.Exchange) { d.finish(x, exchange.ClientLeft); d.finish(x, exchange.Acked) },
		"send while another is in flight": func(d *Dispatch, x *exchange.Exchange) { d.Send(x.ID, primary, 0) },
		"send for an unknown op":          func(d *Dispatch, _ *exchange.Exchange) { d.Send(1<<31, primary, 0) },
		"time going back":                 func(d *Dispatch, x *exchange.Exchange) { d.lastTime = time.Hour; d.ClientLeft(x) },
	} {
		d, _, _ := startDispatch(t)
		x := submitOp(d, 0, time.Second)
		if !standin.BreaksAssertion(func() { f(d, x) }) {
			t.Errorf("%s: no assertion failed, want one", name)
		}
	}
}

func TestOnlyEarlierTimerWakesRun(t *testing.T) {
	d, _, _ := startDispatch(t)
	d.tick()
	for _, c := range []struct {
		at    time.Duration
		wakes int
	}{{d.nextWake + time.Millisecond, 0}, {d.nextWake - time.Millisecond, 1}} {
		if d.Timer(1, c.at); len(d.wakeEarlier) != c.wakes {
			t.Errorf("timer at %v with the next wake at %v: got %d signals, want one only for an earlier timer", c.at, d.nextWake, len(d.wakeEarlier))
		}
	}
}

func TestRoundedUpSessionPositionIsNotTakenForNone(t *testing.T) {
	d, s, _ := startDispatch(t)
	for after, sends := range map[time.Duration]int{choice.LongPast: 1, d.clock.Now() + time.Second: 0} {
		s.sent = nil // the second position was rounded up past the present: no replica is known to have reached it
		d.Submit(&exchange.Exchange{OpType: 2, Deadline: time.Second, MinPosition: after, Done: make(chan struct{})})
		if len(s.sent) != sends {
			t.Errorf("read of a write at %v: got sends %+v, want one only if no position is required", after, s.sent)
		}
	}
}

// A clock that was wrong at the start is corrected by what primaries state, so that their positions count again.
func TestWrongWallClockIsCorrected(t *testing.T) {
	for _, wrongBy := range []time.Duration{time.Hour, -time.Hour, 2 * time.Second} {
		d, _, _ := startDispatch(t)
		for end := time.Now().Add(1200 * time.Millisecond); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			stated, _ := d.clock.FromUnix(time.Now().Add(wrongBy).UnixMilli())
			x := submitOp(d, 1, time.Second)
			d.SendEnded(x, 0, primary, exchange.AttemptResult{Result: choice.Acked, Took: time.Millisecond, Role: choice.Primary,
				Position: choice.LongPast, Stated: stated})
		}
		at, _ := d.clock.FromUnix(time.Now().Add(wrongBy).UnixMilli())
		if off := (at - d.clock.Now()).Abs(); off > 50*time.Millisecond {
			t.Errorf("clock wrong by %v: got a conversion that is off by %v after the correction", wrongBy, off)
		}
	}
}

// An op whose client was not known to be there is sent as soon as it is known to be there again.
func TestOpIsSentOnceItsClientIsKnown(t *testing.T) {
	d, s, _ := startDispatch(t)
	presence := choice.Presence{AsOf: choice.LongPast}
	x := &exchange.Exchange{OpType: 1, Deadline: d.clock.Now() + time.Second, MinPosition: choice.LongPast, Done: make(chan struct{}),
		Presence: func() choice.Presence { return presence }}
	d.Submit(x)
	d.SendEnded(x, 0, primary, exchange.AttemptResult{Result: choice.ClientUnknown, Position: choice.LongPast})
	if d.tick(); len(s.sent) != 1 || x.MayHaveRun {
		t.Fatalf("got %d sends, want no second one while the client is unknown", len(s.sent))
	}
	presence.AsOf = d.clock.Now()
	if d.tick(); len(s.sent) != 2 || len(d.unknown) != 0 {
		t.Fatalf("got %d sends and %d unknown clients, want a second send", len(s.sent), len(d.unknown))
	}
	d.SendEnded(x, 1, primary, exchange.AttemptResult{Result: choice.ClientUnknown, Position: choice.LongPast})
	d.ClientLeft(x)
	if d.tick(); len(d.unknown) != 0 || len(d.table) != 0 || x.Outcome != exchange.ClientLeft {
		t.Errorf("got %d unknown clients and %d ops in the table, want none after the client has left", len(d.unknown), len(d.table))
	}
}
