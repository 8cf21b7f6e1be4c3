package clientside

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"

	"gorsewell/choice"
	"gorsewell/internal/counters"
	"gorsewell/internal/deployment"
	"gorsewell/internal/exchange"
	"gorsewell/internal/pgwire"
	"gorsewell/internal/standin"
)

const lookupQuery = "SELECT data FROM facts WHERE code = 'k' /* id=1,c=lookup,d=400,cluster=3 */"

// fakeDispatcher takes ops and ends each as the test says; ops that left come up in left.
type fakeDispatcher struct {
	mu     sync.Mutex
	taken  []*exchange.Exchange
	left   chan *exchange.Exchange
	onTake func(x *exchange.Exchange)
}

func (d *fakeDispatcher) Take(x *exchange.Exchange) {
	d.mu.Lock()
	d.taken = append(d.taken, x)
	d.mu.Unlock()
	go d.onTake(x)
}

func (d *fakeDispatcher) Left(x *exchange.Exchange) { d.left <- x }

// Stop gives up what is held.
func (d *fakeDispatcher) Stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, x := range d.taken {
		if !x.Over() {
			finish(x, exchange.Errored)
		}
	}
}

// waitUntil waits for what another goroutine brings about.
func waitUntil(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}

// numberedQueries are queries for ops of their own.
func numberedQueries(n int) (all []byte) {
	for i := range n {
		all = pgwire.AppendQuery(all, strings.Replace(lookupQuery, "id=1", fmt.Sprintf("id=%d", i), 1))
	}
	return all
}

func finish(x *exchange.Exchange, how exchange.Outcome) {
	x.Outcome = how
	close(x.Done)
}

// opID is the name that the client gave the op.
func opID(x *exchange.Exchange) string { return string(x.Statement.(*pgwire.Statement).ID) }

func ack(x *exchange.Exchange) {
	row := standin.Row("v"+opID(x), "primary", 1)
	x.Answer = row[:len(row)-6] // without ReadyForQuery, which is the front's to add
	finish(x, exchange.Acked)
}

// startAcceptor serves on a port of its own; stop ends it and waits.
func startAcceptor(t *testing.T, most int, end func(*exchange.Exchange)) (f *Front, d *fakeDispatcher, addr string, stop func()) {
	t.Helper()
	d = &fakeDispatcher{left: make(chan *exchange.Exchange, 1024), onTake: end}
	told := &deployment.Told{OpTypeNames: []string{"lookup", "save"}, ConnectTimeout: 30 * time.Millisecond}
	told.OpTypes = []choice.OpType{{Timeout: time.Second}, {Timeout: time.Second}}
	f = New(exchange.StartClock(), d, &counters.Set{}, told, most)
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- f.Serve(ctx, l) }()
	stop = sync.OnceFunc(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(stop)
	return f, d, l.Addr().String(), stop
}

func dial(t *testing.T, addr string) *standin.Client {
	t.Helper()
	c, err := standin.Dial(addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

func expect(t *testing.T, c *standin.Client, want string) {
	t.Helper()
	if got, err := c.Answer(); err != nil || got != want {
		t.Errorf("got %q, %v, want %q", got, err, want)
	}
}

func TestStartupAndQueryInAnyPieces(t *testing.T) {
	t.Parallel()
	_, d, addr, _ := startAcceptor(t, 8, ack)
	whole := pgwire.AppendQuery(pgwire.AppendStartup(nil, "portal", "crm"), lookupQuery)
	for _, step := range []int{1, 9, len(whole)} {
		c, err := standin.Open(addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		for rest := whole; len(rest) > 0; rest = rest[min(step, len(rest)):] {
			if err := c.Say(rest[:min(step, len(rest))]); err != nil {
				t.Fatal(err)
			}
		}
		expect(t, c, "")
		expect(t, c, "v1")
	}
	if x := d.taken[0]; string(x.Statement.(*pgwire.Statement).Text) != lookupQuery || x.OpType != 0 || x.Group != 3 || x.Again ||
		x.After != choice.LongPast {
		t.Errorf("%+v", x)
	}
}

func TestAnswersComeInTheOrderOfTheCommands(t *testing.T) {
	t.Parallel()
	_, _, addr, _ := startAcceptor(t, 8, func(x *exchange.Exchange) {
		if opID(x) == "1" {
			time.Sleep(50 * time.Millisecond)
		}
		ack(x)
	})
	c := dial(t, addr)
	both := pgwire.AppendQuery(pgwire.AppendQuery(nil, lookupQuery), strings.Replace(lookupQuery, "id=1", "id=2", 1))
	if err := c.Say(pgwire.AppendQuery(both, ";")); err != nil {
		t.Fatal(err)
	}
	expect(t, c, "v1")
	expect(t, c, "v2")
	expect(t, c, "I")
}

func TestFinalAnswers(t *testing.T) {
	t.Parallel()
	how := exchange.BusyReplied
	_, _, addr, _ := startAcceptor(t, 8, func(x *exchange.Exchange) {
		x.ComeBackIn = 250 * time.Millisecond
		finish(x, how)
	})
	c := dial(t, addr)
	if got, err := c.Query(lookupQuery); err != nil || got != "C53300D250" {
		t.Errorf("busy reply: %q, %v", got, err)
	}
	how = exchange.Errored
	if got, err := c.Query(lookupQuery); err != nil || got != "C08007" {
		t.Errorf("error: %q, %v", got, err)
	}
}

// On the first scored days an op that ended at its op timeout was never answered: the time to write it had been
// counted from when it was queued.
func TestAnOpThatEndsLateIsStillAnswered(t *testing.T) {
	t.Parallel()
	_, _, addr, _ := startAcceptor(t, 8, func(x *exchange.Exchange) {
		time.Sleep(80 * time.Millisecond) // beyond its time and the time for a write
		finish(x, exchange.Errored)
	})
	c := dial(t, addr)
	if got, err := c.Query(strings.Replace(lookupQuery, "d=400", "d=40", 1)); err != nil || got != "C08007" {
		t.Errorf("%q, %v", got, err)
	}
	if got, err := c.Query(";"); err != nil || got != "I" {
		t.Errorf("afterwards: %q, %v", got, err)
	}
}

func TestAClientThatLeavesIsSeen(t *testing.T) {
	t.Parallel()
	for name, leave := range map[string]func(c *standin.Client){
		"close":     func(c *standin.Client) { c.Close() },
		"terminate": func(c *standin.Client) { c.Say(pgwire.AppendMessage(nil, pgwire.Terminate)) },
	} {
		_, d, addr, _ := startAcceptor(t, 8, func(*exchange.Exchange) {})
		c := dial(t, addr)
		c.Say(pgwire.AppendQuery(nil, lookupQuery))
		time.Sleep(20 * time.Millisecond)
		leave(c)
		select {
		case x := <-d.left:
			finish(x, exchange.Left)
		case <-time.After(5 * time.Second):
			t.Fatalf("%s: not seen", name)
		}
	}
}

// The end of a client that left shows at once, whatever it sent before: an op of it that still waits must not be sent on.
func TestAClientThatLeavesIsSeenBehindWhatItSent(t *testing.T) {
	t.Parallel()
	protested := func(f *Front) bool { return f.counts.Malformed.Load() == 1 }
	for name, c := range map[string]struct {
		says   []byte
		more   string // said once that holds
		once   func(f *Front) bool
		leaves func(c *standin.Client) error
		want   int
	}{
		"many at once": {says: numberedQueries(300), once: func(f *Front) bool { return takenCount(f.dispatcher.(*fakeDispatcher)) == maxPendingCommands }, want: maxPendingCommands},
		"nonsense":     {says: append(numberedQueries(1), "z\x00\x00\x00\x04"...), once: protested, want: 1},
		"a flood": {says: append(numberedQueries(1), "z\x00\x00\x00\x04"...), once: protested, more: strings.Repeat("x", 3*maxFastDiscard),
			want: 1},
		"half closed": {says: numberedQueries(3), once: func(f *Front) bool { return takenCount(f.dispatcher.(*fakeDispatcher)) == 3 },
			leaves: func(c *standin.Client) error { return c.Conn.(*net.TCPConn).CloseWrite() }, want: 3},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, d, addr, _ := startAcceptor(t, 8, func(*exchange.Exchange) {})
			client := dial(t, addr)
			client.Say(c.says)
			waitUntil(t, name, func() bool { return c.once(f) })
			client.Say([]byte(c.more))
			if c.leaves == nil {
				client.Close()
			} else if err := c.leaves(client); err != nil {
				t.Fatal(err)
			}
			for range c.want {
				select {
				case x := <-d.left:
					finish(x, exchange.Left)
				case <-time.After(20 * time.Second):
					t.Fatal("it counts as still there")
				}
			}
			if len(d.taken) != c.want {
				t.Errorf("%d ops were taken", len(d.taken))
			}
		})
	}
}

// What a client asked before it left may be read long after: its end lies behind it by then. Such a command is not taken at all.
func TestACommandOfAClientThatHasLeftIsNotTaken(t *testing.T) {
	t.Parallel()
	_, d, addr, _ := startAcceptor(t, 8, ack)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	f, _, _, _ := startAcceptor(t, 8, ack)
	f.dispatcher = d
	for _, leaves := range []func(c *net.TCPConn) error{(*net.TCPConn).Close, (*net.TCPConn).CloseWrite} {
		far, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer far.Close()
		near, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		far.Write(pgwire.AppendQuery(pgwire.AppendStartup(nil, "portal", "crm"), lookupQuery))
		if err := leaves(far.(*net.TCPConn)); err != nil { // before anything of it is read
			t.Fatal(err)
		}
		c := &conn{acceptor: f, net: near.(*net.TCPConn), replies: make(chan reply, maxPendingCommands+extraReplies)}
		f.counts.ClientOpen.Add(1)
		waitUntil(t, "its end is here", c.clientClosed)
		c.run()
	}
	if n := takenCount(d); n != 0 || len(f.openIDs) != 0 {
		t.Errorf("%d ops were taken, %d ids are kept", n, len(f.openIDs))
	}
	if got, err := dial(t, addr).Query(lookupQuery); err != nil || got != "v1" {
		t.Errorf("who stays: %q, %v", got, err)
	}
}

// stoppingClient is a client of a front that is stoppingClient, has looked its last, and holds an op of it. A command of its comes after that.
func stoppingClient(t *testing.T) (d *fakeDispatcher, c *standin.Client, stopped chan struct{}) {
	t.Helper()
	f, d, addr, stop := startAcceptor(t, 8, func(*exchange.Exchange) {})
	c = dial(t, addr)
	c.Say(numberedQueries(1))
	waitUntil(t, "taken", func() bool { return takenCount(d) == 1 })
	stopped = make(chan struct{})
	go func() {
		defer close(stopped)
		stop()
	}()
	waitUntil(t, "looked its last", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		for c := range f.conns {
			return c.readingDone.Load()
		}
		return false
	})
	c.Say(pgwire.AppendQuery(nil, strings.Replace(lookupQuery, "id=1", "id=2", 1)))
	return d, c, stopped
}

// Behind a command that nobody reads any more the client's end must show all the same.
func TestAClientThatLeavesAStoppingGatewayIsSeenBehindWhatIsNotRead(t *testing.T) {
	t.Parallel()
	d, c, stopped := stoppingClient(t)
	c.Close()
	select {
	case x := <-d.left:
		finish(x, exchange.Left)
	case <-time.After(20 * time.Second):
		t.Fatal("it counts as still there")
	}
	<-stopped
	if n := takenCount(d); n != 1 {
		t.Errorf("%d ops were taken", n)
	}
}

// A command that crosses the end of a planned stop is not read: the reset that follows the answers tells its client that it was
// not taken, and it asks elsewhere.
func TestWhatCrossesTheEndOfAPlannedStopStaysUnread(t *testing.T) {
	t.Parallel()
	d, c, stopped := stoppingClient(t)
	time.Sleep(20 * time.Millisecond) // in which it would be read
	ack(d.taken[0])
	expect(t, c, "v0")
	<-stopped
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "a reset", func() (reset bool) {
		raw.Control(func(fd uintptr) {
			look := []unix.PollFd{{Fd: int32(fd)}}
			unix.Poll(look, 0)
			reset = look[0].Revents&unix.POLLERR != 0
		})
		return reset
	})
	if n := takenCount(d); n != 1 {
		t.Errorf("%d ops were taken", n)
	}
}

func takenCount(d *fakeDispatcher) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.taken)
}

// A connection may wait in the listener's queue as the time to take clients in ends: its machine has accepted it, and what it has
// asked counts as taken.
func TestAPlannedStopTakesInWhoWaitsInTheQueue(t *testing.T) {
	t.Parallel()
	f, d, _, _ := startAcceptor(t, 8, ack)
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := standin.Open(l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.Say(pgwire.AppendQuery(pgwire.AppendStartup(nil, "portal", "crm"), lookupQuery))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	l.SetDeadline(exchange.Past) // the time is over before it was looked at
	var group errgroup.Group
	if err := f.accept(ctx, l, &group); err != nil {
		t.Fatal(err)
	}
	expect(t, c, "")
	expect(t, c, "v1")
	c.Close()
	group.Wait()
	if n := takenCount(d); n != 1 {
		t.Errorf("%d ops were taken", n)
	}
}

// What a process holds when it is killed is lost: it is given up before, and its client told so.
func TestAPlannedStopGivesUpWhatWouldOutlastTheProcess(t *testing.T) {
	t.Parallel()
	f, d, addr, stop := startAcceptor(t, 8, func(*exchange.Exchange) {})
	for timeout, want := range map[time.Duration]time.Duration{time.Second: time.Second, time.Minute: maxDrain} {
		if f.settings.OpTypes[1].Timeout = timeout; f.longestOpTimeout() != want {
			t.Errorf("with %v it waits for %v", timeout, f.longestOpTimeout())
		}
	}
	f.settings.OpTypes[1].Timeout = time.Second
	c := dial(t, addr)
	c.Say(numberedQueries(1))
	waitUntil(t, "taken", func() bool { return takenCount(d) == 1 })
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		stop()
	}()
	expect(t, c, "C08007")
	expect(t, c, "$")
	<-stopped
}

func TestBadInput(t *testing.T) {
	t.Parallel()
	long := "Q\x00\x7f\x00\x00"
	for _, c := range []struct{ name, in, want string }{
		{"unknown message", "z\x00\x00\x00\x04", "C08P01$"},
		{"extended query", "P\x00\x00\x00\x04", "C08P01$"},
		{"length that cannot be", "Q\x00\x00\x00\x01", "C08P01$"},
		{"query without its last zero", "Q\x00\x00\x00\x05x", "C08P01$"},
		{"too long", long + strings.Repeat("x", 9000), "C54000$"},
		{"no comment", string(pgwire.AppendQuery(nil, "SELECT 1")), "C42601"},
		{"absurd number", string(pgwire.AppendQuery(nil, "/* id=1,c=lookup,d=9e9 */")), "C42601"},
		{"unknown op type", string(pgwire.AppendQuery(nil, "/* id=1,c=none,d=9 */")), "C22023"},
	} {
		f, _, addr, _ := startAcceptor(t, 8, ack)
		other, bad := dial(t, addr), dial(t, addr)
		if err := bad.Say([]byte(c.in)); err != nil {
			t.Fatal(err)
		}
		if got, err := bad.Answer(); err != nil || got != c.want {
			t.Errorf("%s: %q, %v, want %q", c.name, got, err, c.want)
		}
		if n := f.counts.Malformed.Load() + f.counts.Unusable.Load(); n == 0 {
			t.Errorf("%s: not counted", c.name)
		}
		if got, err := other.Query(lookupQuery); err != nil || got != "v1" {
			t.Errorf("%s: the other connection got %q, %v", c.name, got, err)
		}
	}
}

// Each is owed an end within 3 s of connecting; one that has spoken keeps its connection.
func TestSilentAndHalfSpokenClientsAreLetGo(t *testing.T) {
	t.Parallel()
	_, _, addr, _ := startAcceptor(t, 8, ack)
	startup := pgwire.AppendStartup(nil, "portal", "crm")
	for name, said := range map[string][]byte{
		"nothing":        nil,
		"half a startup": startup[:9],
		"no command":     startup,
		"half a command": pgwire.AppendQuery(startup, lookupQuery)[:len(startup)+40],
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, err := standin.Open(addr)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			c.Say(said)
			c.SetDeadline(time.Now().Add(2900 * time.Millisecond))
			if _, err := io.Copy(io.Discard, c.Conn); err != nil {
				t.Error(err)
			}
		})
	}
	t.Run("a later half", func(t *testing.T) {
		t.Parallel()
		c := dial(t, addr)
		c.Query(lookupQuery)
		time.Sleep(readTimeout + 100*time.Millisecond)
		if got, err := c.Query(lookupQuery); err != nil || got != "v1" {
			t.Errorf("an idle client: %q, %v", got, err)
		}
		c.Say(pgwire.AppendQuery(nil, lookupQuery)[:30])
		c.SetDeadline(time.Now().Add(2900 * time.Millisecond))
		expect(t, c, "$")
	})
}

func TestQuietConnectionsMakeRoom(t *testing.T) {
	t.Parallel()
	f, _, addr, _ := startAcceptor(t, 3, func(x *exchange.Exchange) {
		if opID(x) == "1" {
			time.Sleep(idleTimeout + 500*time.Millisecond)
		}
		ack(x)
	})
	busy, idle := dial(t, addr), dial(t, addr)
	idle.Query(strings.Replace(lookupQuery, "id=1", "id=2", 1))
	busy.Say(pgwire.AppendQuery(nil, lookupQuery))
	time.Sleep(idleTimeout + 50*time.Millisecond)
	lately := dial(t, addr)
	lately.Query(strings.Replace(lookupQuery, "id=1", "id=3", 1))
	silent, err := standin.Open(addr) // takes the place of the idle one
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	expect(t, idle, "$")
	next := dial(t, addr) // takes the place of the silent one
	expect(t, silent, "$")
	next.Query(strings.Replace(lookupQuery, "id=1", "id=4", 1))
	dial(t, addr)
	if f.counts.ClientRefused.Load() != 1 || f.counts.ClientIdleClosed.Load() != 2 {
		t.Errorf("the others are in use, or were until just now: %s", f.counts)
	}
	expect(t, busy, "v1")
	if got, err := lately.Query(strings.Replace(lookupQuery, "id=1", "id=5", 1)); err != nil || got != "v5" {
		t.Errorf("%q, %v", got, err)
	}
}

// On a day of bad clients connections by hundreds that said nothing had those closed unserved that came next.
func TestAFloodOfSilentConnectionsKeepsNobodyOut(t *testing.T) {
	t.Parallel()
	f, _, addr, _ := startAcceptor(t, 16, ack)
	for range 10 {
		for range 40 {
			c, err := standin.Open(addr)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { c.Close() })
		}
		began := time.Now()
		if got, err := dial(t, addr).Query(lookupQuery); err != nil || got != "v1" || time.Since(began) > time.Second {
			t.Errorf("%q, %v after %v", got, err, time.Since(began))
		}
	}
	if f.counts.ClientRefused.Load() != 0 || f.counts.ClientIdleClosed.Load() < 300 {
		t.Errorf("%s", f.counts)
	}
}

// Under a flood of connections on one core, those that had just spoken were marked as leaving in the moment in which their reader
// set its next wait: they stayed for good, counted as leaving, and with as many as there is room for nobody else was let in.
func TestAConnectionThatIsToLeaveDoesWhateverItsReaderWaitsFor(t *testing.T) {
	t.Parallel()
	f, _, addr, _ := startAcceptor(t, 1, ack)
	c := dial(t, addr)
	c.Query(lookupQuery)
	f.mu.Lock()
	for k := range f.conns { // the reader's next wait comes after the mark
		waitUntil(t, "nothing is owed", func() bool { return k.pendingReplies.Load() == 0 })
		k.evicting.Store(true)
		k.net.SetReadDeadline(exchange.Past)
		k.setReadDeadline(time.Time{})
	}
	f.mu.Unlock()
	expect(t, c, "$")
}

// A command that is taken in the moment in which its connection is chosen to make room, when nothing was owed yet, is answered, and
// the connection stays.
func TestACommandThatCrossesAnEvictionIsAnswered(t *testing.T) {
	t.Parallel()
	held := make(chan *exchange.Exchange, 1)
	f, d, addr, _ := startAcceptor(t, 8, func(x *exchange.Exchange) { held <- x })
	c := dial(t, addr)
	for n := range 3 {
		c.Say(pgwire.AppendQuery(nil, strings.Replace(lookupQuery, "id=1", fmt.Sprintf("id=%d", n), 1)))
		x := <-held
		f.mu.Lock()
		for k := range f.conns {
			k.evicting.Store(true)
			k.net.SetReadDeadline(exchange.Past)
			waitUntil(t, "the mark is off", func() bool { return !k.evicting.Load() })
		}
		f.mu.Unlock()
		ack(x)
		expect(t, c, fmt.Sprintf("v%d", n))
	}
	if len(d.left) > 0 {
		t.Error("the client counts as gone")
	}
}

func TestAnIDIsOpenOnce(t *testing.T) {
	t.Parallel()
	end := make(chan struct{})
	f, _, addr, _ := startAcceptor(t, 8, func(x *exchange.Exchange) {
		<-end
		ack(x)
	})
	first, second := dial(t, addr), dial(t, addr)
	first.Say(pgwire.AppendQuery(nil, lookupQuery))
	time.Sleep(50 * time.Millisecond)
	if got, err := second.Query(lookupQuery); err != nil || got != "C42710" {
		t.Errorf("%q, %v", got, err)
	}
	close(end)
	expect(t, first, "v1")
	if got, err := second.Query(lookupQuery); err != nil || got != "v1" {
		t.Errorf("after its end: %q, %v", got, err)
	}
	if len(f.openIDs) != 0 {
		t.Errorf("%d ids are kept", len(f.openIDs))
	}
}

// A client that sends more commands at once than may wait is held back: each is answered, in order, and never more are under way.
func TestManyCommandsAtOnceAreAllAnswered(t *testing.T) {
	t.Parallel()
	var under, most atomic.Int32
	_, d, addr, _ := startAcceptor(t, 8, func(x *exchange.Exchange) {
		if n := under.Add(1); n > most.Load() {
			most.Store(n)
		}
		time.Sleep(time.Millisecond)
		under.Add(-1)
		ack(x)
	})
	c := dial(t, addr)
	c.Say(numberedQueries(300))
	for n := range 300 {
		expect(t, c, fmt.Sprintf("v%d", n))
	}
	if len(d.taken) != 300 || most.Load() > maxPendingCommands+1 { // one that ends is counted out just after its answer may be written
		t.Errorf("%d were taken, %d at once", len(d.taken), most.Load())
	}
}

// What has been read of a client that is held back is taken also where a planned stop begins meanwhile: it cannot be asked elsewhere.
func TestAPlannedStopTakesWhatAHeldBackClientHasSaid(t *testing.T) {
	t.Parallel()
	f, d, addr, stop := startAcceptor(t, 8, func(*exchange.Exchange) {})
	c := dial(t, addr)
	c.Say(numberedQueries(maxPendingCommands + 3))
	waitUntil(t, "held back", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		for c := range f.conns {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.readPaused
		}
		return false
	})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		stop()
	}()
	waitUntil(t, "stopping", f.stopping.Load)
	for n := range maxPendingCommands + 3 {
		waitUntil(t, "taken", func() bool { return takenCount(d) > n })
		d.mu.Lock()
		x := d.taken[n]
		d.mu.Unlock()
		ack(x)
		expect(t, c, fmt.Sprintf("v%d", n))
	}
	<-stopped
}

func TestNoOpWaitsLongerThanItsTypeMay(t *testing.T) {
	t.Parallel()
	f, d, addr, _ := startAcceptor(t, 8, ack)
	if _, err := dial(t, addr).Query(strings.Replace(lookupQuery, "d=400", "d=4000000000", 1)); err != nil {
		t.Fatal(err)
	}
	if left := d.taken[0].Due - f.clock.Now(); left > time.Second {
		t.Errorf("it may wait for %v", left)
	}
}

func TestOpsInHandAreAnsweredBeforeAProtest(t *testing.T) {
	t.Parallel()
	_, d, addr, _ := startAcceptor(t, 8, func(x *exchange.Exchange) {
		time.Sleep(30 * time.Millisecond)
		ack(x)
	})
	c := dial(t, addr)
	c.Say(append(pgwire.AppendQuery(nil, lookupQuery), "z\x00\x00\x00\x04"...))
	expect(t, c, "v1")
	expect(t, c, "C08P01$")
	if len(d.left) > 0 {
		t.Error("the op counts as left")
	}
}

func TestOtherOpenings(t *testing.T) {
	t.Parallel()
	_, _, addr, _ := startAcceptor(t, 8, ack)
	c, err := standin.Open(addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.Say([]byte{0, 0, 0, 8, 4, 210, 22, 47}) // asks for encryption
	var answer [1]byte
	if _, err := c.Read(answer[:]); err != nil || answer[0] != 'N' {
		t.Errorf("%q, %v", answer, err)
	}
	c.Say(pgwire.AppendQuery(pgwire.AppendStartup(nil, "portal", "crm"), lookupQuery))
	expect(t, c, "")
	expect(t, c, "v1")
	for name, in := range map[string]string{
		"C08P01$": "GET / HTTP/1.1\r\n\r\n",
		"$":       "\x00\x00\x00\x10\x04\xd2\x16\x2e\x00\x00\x00\x01\x00\x00\x00\x01", // cancels another
	} {
		c, err := standin.Open(addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.Say([]byte(in))
		expect(t, c, name)
	}
}

func TestConnectionsBeyondTheMostAreToldSo(t *testing.T) {
	t.Parallel()
	f, _, addr, _ := startAcceptor(t, 1, ack)
	first := dial(t, addr)
	first.Query(lookupQuery)
	second, err := standin.Open(addr)
	if err != nil {
		t.Fatal(err)
	}
	defer second.Close()
	second.Say(pgwire.AppendQuery(pgwire.AppendStartup(nil, "portal", "crm"), lookupQuery))
	expect(t, second, "C53300$")
	if got, err := first.Query(lookupQuery); err != nil || got != "v1" || f.counts.ClientRefused.Load() != 1 {
		t.Errorf("%q, %v, %d turned away", got, err, f.counts.ClientRefused.Load())
	}
}

func TestAStuckClientHoldsUpNobody(t *testing.T) {
	t.Parallel()
	big := strings.Repeat("x", 1<<20)
	f, _, addr, _ := startAcceptor(t, 8, func(x *exchange.Exchange) {
		x.Answer = pgwire.AppendMessage(nil, pgwire.DataRow, big)
		finish(x, exchange.Acked)
	})
	stuck, other := dial(t, addr), dial(t, addr)
	stuck.Conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	for n := range maxPendingCommands { // more than both ends can buffer; it never reads
		stuck.Say(pgwire.AppendQuery(nil, strings.Replace(lookupQuery, "id=1,c=lookup,d=400", fmt.Sprintf("id=%d,c=lookup,d=1", n), 1)))
	}
	if got, err := other.Query(";"); err != nil || got != "I" {
		t.Errorf("%q, %v", got, err)
	}
	for end := time.Now().Add(5 * time.Second); f.counts.ClientOpen.Load() > 1; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the stuck connection is still open")
		}
	}
}

func TestAPlannedStopAnswersAllThatIsTaken(t *testing.T) {
	t.Parallel()
	f, d, addr, stop := startAcceptor(t, 8, func(x *exchange.Exchange) {
		if opID(x) == "1" {
			time.Sleep(150 * time.Millisecond)
			ack(x)
		}
	})
	leaver := dial(t, addr)
	leaver.Say(pgwire.AppendQuery(nil, strings.Replace(lookupQuery, "id=1", "id=2", 1)))
	idle, busy := dial(t, addr), dial(t, addr)
	stopped := make(chan struct{})
	go func() {
		stop()
		close(stopped)
	}()
	time.Sleep(stopAcceptPeriod / 2)
	late := dial(t, addr) // clients still arrive, and use what they hold
	if got, err := late.Query(lookupQuery); err != nil || got != "v1" {
		t.Errorf("a late client got %q, %v", got, err)
	}
	if got, err := idle.Query(";"); err != nil || got != "I" {
		t.Errorf("a held connection got %q, %v", got, err)
	}
	time.Sleep(stopAcceptPeriod/2 - 200*time.Millisecond)
	busy.Say(pgwire.AppendQuery(nil, lookupQuery)) // ends after connections begin to be closed
	expect(t, busy, "v1")
	expect(t, busy, "$")
	expect(t, idle, "$")
	leaver.Close()
	finish(<-d.left, exchange.Left) // leaving is still seen
	select {
	case <-stopped:
	case <-time.After(5 * time.Second):
		t.Fatal("the front has not stopped")
	}
	if n := f.counts.ClientOpen.Load(); n != 0 {
		t.Errorf("%d connections are left open", n)
	}
}

// Who asks again within moments of each answer must not keep a connection of a gateway that stops: what is under way on it
// when the process is killed is lost. A command that crosses the end is not read, so that its client can tell.
func TestAPlannedStopTakesNothingMoreFromABusyClient(t *testing.T) {
	t.Parallel()
	f, d, addr, stop := startAcceptor(t, 8, func(x *exchange.Exchange) {
		time.Sleep(closeGrace / 4)
		ack(x)
	})
	c := dial(t, addr)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	answered, ended := 0, make(chan struct{})
	go func() {
		defer close(ended)
		for ; ctx.Err() == nil; answered++ {
			if got, err := c.Query(lookupQuery); err != nil || got != "v1" {
				return // the end of the connection: this one was not taken
			}
		}
	}()
	stop()
	select {
	case <-ended:
	case <-ctx.Done():
		t.Fatal("the connection was kept")
	}
	if n := len(d.taken); n != answered {
		t.Errorf("%d ops were taken and %d answered", n, answered)
	}
	if n := f.counts.ClientOpen.Load(); n != 0 {
		t.Errorf("%d connections are left open", n)
	}
}

// Where nobody leaves and connections go on to come, none waits in the listener's queue for long, as its time would run unseen.
func TestNobodyWaitsLongInTheListenersQueue(t *testing.T) {
	t.Parallel()
	f, _, addr, _ := startAcceptor(t, 1, func(*exchange.Exchange) {})
	c := dial(t, addr)
	c.Say(pgwire.AppendQuery(nil, lookupQuery)) // it is owed an answer, so it makes no room
	waitUntil(t, "taken", func() bool { return takenCount(f.dispatcher.(*fakeDispatcher)) == 1 })
	f.counts.ClientOpen.Add(overflowConns) // nor do others
	began := time.Now()
	for range 40 { // together: one after another each may wait for a moment
		c, err := standin.Open(addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	waitUntil(t, "all are turned away", func() bool { return f.counts.ClientRefused.Load() >= 40 })
	if took := time.Since(began); took > 40*overflowConns*firstBytesWait/4 { // each may wait for turnedAway*newcomer
		t.Errorf("the last one waited for %v", took)
	}
	f.counts.ClientOpen.Add(-overflowConns)
}
