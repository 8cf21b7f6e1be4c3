package clientside

import (
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
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

// fakeDispatcher calls onSubmit for each op that is submitted. The ops of disconnected clients are sent to left.
type fakeDispatcher struct {
	mu        sync.Mutex
	submitted []*exchange.Exchange
	left      chan *exchange.Exchange
	onSubmit  func(op *exchange.Exchange)

	// ignoresStop makes Stop leave the open ops open.
	ignoresStop bool

	// onStop, if not nil, is called at Stop.
	onStop func()
}

func (d *fakeDispatcher) Submit(op *exchange.Exchange) {
	opIDs.Store(op, string(op.Statement.(*pgwire.Statement).ID))
	d.mu.Lock()
	d.submitted = append(d.submitted, op)
	d.mu.Unlock()
	go d.onSubmit(op)
}

func (d *fakeDispatcher) ClientLeft(op *exchange.Exchange) { d.left <- op }

// Stop ends all open ops with an error.
func (d *fakeDispatcher) Stop() {
	if d.onStop != nil {
		d.onStop()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, op := range d.submitted {
		if !op.IsDone() && !d.ignoresStop {
			finish(op, exchange.Errored)
		}
	}
}

// waitUntil waits for a condition that another goroutine fulfils.
func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting until: %s", what)
		}
	}
}

// numberedQueries returns n queries with the ids 0 to n-1.
func numberedQueries(n int) (queries []byte) {
	for i := range n {
		queries = pgwire.AppendQuery(queries, strings.Replace(lookupQuery, "id=1", fmt.Sprintf("id=%d", i), 1))
	}
	return queries
}

func finish(op *exchange.Exchange, outcome exchange.Outcome) {
	op.Outcome = outcome
	close(op.Done)
	op.Release()
}

// opIDs holds the client's ids for the submitted ops. An op's statement is freed at its end, while tests still ask for its id.
var opIDs sync.Map

// opID returns the client's id for the op.
func opID(op *exchange.Exchange) string {
	id, _ := opIDs.Load(op)
	return id.(string)
}

func ack(op *exchange.Exchange) {
	row := standin.Row("v"+opID(op), "primary", 1)
	op.Answer.Bytes = row[:len(row)-6] // without ReadyForQuery, which the acceptor adds
	finish(op, exchange.Acked)
}

// startAcceptor starts an acceptor on a port of its own. The function stop stops it and waits for its end.
func startAcceptor(t *testing.T, maxConns int, onSubmit func(*exchange.Exchange)) (a *Acceptor, d *fakeDispatcher,
	addr string, stop func()) {
	t.Helper()
	return startAcceptorWith(t, deployment.Settings{}, maxConns, onSubmit)
}

// startAcceptorWith is like startAcceptor with the limits on messages and memory of the given settings.
func startAcceptorWith(t *testing.T, limits deployment.Settings, maxConns int, onSubmit func(*exchange.Exchange)) (a *Acceptor,
	d *fakeDispatcher, addr string, stop func()) {
	t.Helper()
	d = &fakeDispatcher{left: make(chan *exchange.Exchange, 1024), onSubmit: onSubmit}
	settings := &deployment.Settings{OpTypeNames: []string{"lookup", "save"}, ConnectTimeout: 30 * time.Millisecond,
		MaxMessageBytes: limits.MaxMessageBytes, MemoryBytes: limits.MemoryBytes, Cores: float64(runtime.GOMAXPROCS(0))}
	settings.OpTypes = []choice.OpType{{Timeout: time.Second}, {Timeout: time.Second}}
	a = New(exchange.StartClock(), d, &counters.Set{}, settings, maxConns)
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- a.Serve(ctx, l) }()
	stop = sync.OnceFunc(func() {
		cancel()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(stop)
	return a, d, l.Addr().String(), stop
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
	if got, err := c.ReadAnswer(); err != nil || got != want {
		t.Errorf("got %q, %v, want %q", got, err, want)
	}
}

func TestStartupAndQuerySplitAcrossReads(t *testing.T) {
	t.Parallel()
	texts := make(chan string, 3)
	_, d, addr, _ := startAcceptor(t, 8, func(op *exchange.Exchange) {
		texts <- string(op.Statement.(*pgwire.Statement).Text)
		ack(op)
	})
	input := pgwire.AppendQuery(pgwire.AppendStartup(nil, "portal", "crm"), lookupQuery)
	for _, step := range []int{1, 9, len(input)} {
		c, err := standin.DialTCP(addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		for rest := input; len(rest) > 0; rest = rest[min(step, len(rest)):] {
			if err := c.WriteBytes(rest[:min(step, len(rest))]); err != nil {
				t.Fatal(err)
			}
		}
		expect(t, c, "")
		expect(t, c, "v1")
	}
	if op := d.submitted[0]; <-texts != lookupQuery || op.OpType != 0 || op.Group != 3 || op.IsRetry ||
		op.MinPosition != choice.LongPast {
		t.Errorf("got op %+v", op)
	}
}

func TestRepliesKeepOrderOfCommands(t *testing.T) {
	t.Parallel()
	_, _, addr, _ := startAcceptor(t, 8, func(op *exchange.Exchange) {
		if opID(op) == "1" {
			time.Sleep(50 * time.Millisecond)
		}
		ack(op)
	})
	c := dial(t, addr)
	queries := pgwire.AppendQuery(pgwire.AppendQuery(nil, lookupQuery), strings.Replace(lookupQuery, "id=1", "id=2", 1))
	if err := c.WriteBytes(pgwire.AppendQuery(queries, ";")); err != nil {
		t.Fatal(err)
	}
	expect(t, c, "v1")
	expect(t, c, "v2")
	expect(t, c, "I")
}

func TestFinalReplies(t *testing.T) {
	t.Parallel()
	outcome := exchange.BusyReplied
	_, _, addr, _ := startAcceptor(t, 8, func(op *exchange.Exchange) {
		op.RetryAfter = 250 * time.Millisecond
		finish(op, outcome)
	})
	c := dial(t, addr)
	if got, err := c.Query(lookupQuery); err != nil || got != "C53300D250" {
		t.Errorf("busy reply: got %q, %v, want C53300D250", got, err)
	}
	outcome = exchange.Errored
	if got, err := c.Query(lookupQuery); err != nil || got != "C08007" {
		t.Errorf("error: got %q, %v, want C08007", got, err)
	}
}

// An op that ended at its op timeout was never answered when the write deadline was computed at the time the reply was
// queued.
func TestOpThatEndsLateIsAnswered(t *testing.T) {
	t.Parallel()
	_, _, addr, _ := startAcceptor(t, 8, func(op *exchange.Exchange) {
		time.Sleep(80 * time.Millisecond) // longer than its remaining time and the time for a write
		finish(op, exchange.Errored)
	})
	c := dial(t, addr)
	if got, err := c.Query(strings.Replace(lookupQuery, "d=400", "d=40", 1)); err != nil || got != "C08007" {
		t.Errorf("got %q, %v, want C08007", got, err)
	}
	if got, err := c.Query(";"); err != nil || got != "I" {
		t.Errorf("next query: got %q, %v, want I", got, err)
	}
}

func TestClientDisconnectIsDetected(t *testing.T) {
	t.Parallel()
	for name, leave := range map[string]func(c *standin.Client){
		"close":     func(c *standin.Client) { c.Close() },
		"terminate": func(c *standin.Client) { c.WriteBytes(pgwire.AppendMessage(nil, pgwire.Terminate)) },
	} {
		_, d, addr, _ := startAcceptor(t, 8, func(*exchange.Exchange) {})
		c := dial(t, addr)
		c.WriteBytes(pgwire.AppendQuery(nil, lookupQuery))
		time.Sleep(20 * time.Millisecond)
		leave(c)
		select {
		case op := <-d.left:
			finish(op, exchange.ClientLeft)
		case <-time.After(5 * time.Second):
			t.Fatalf("%s: disconnect not detected", name)
		}
	}
}

// A disconnect is detected at once, whatever the client sent before: its waiting ops must not be sent to a server any
// more.
func TestClientDisconnectIsDetectedBehindUnreadInput(t *testing.T) {
	t.Parallel()
	rejected := func(a *Acceptor) bool { return a.counts.Malformed.Load() == 1 }
	for name, c := range map[string]struct {
		input      []byte
		more       string // sent once the condition holds
		once       func(a *Acceptor) bool
		disconnect func(c *standin.Client) error
		want       int
	}{
		"many at once": {input: numberedQueries(300), once: func(a *Acceptor) bool {
			return submittedCount(a.dispatcher.(*fakeDispatcher)) == choice.MaxOpenCommands
		}, want: choice.MaxOpenCommands},
		"invalid": {input: append(numberedQueries(1), "z\x00\x00\x00\x04"...), once: rejected, want: 1},
		"a flood": {input: append(numberedQueries(1), "z\x00\x00\x00\x04"...), once: rejected, more: strings.Repeat("x", 3*maxFastDiscard),
			want: 1},
		"half closed": {input: numberedQueries(3), once: func(a *Acceptor) bool { return submittedCount(a.dispatcher.(*fakeDispatcher)) == 3 },
			disconnect: func(c *standin.Client) error { return c.Conn.(*net.TCPConn).CloseWrite() }, want: 3},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a, d, addr, _ := startAcceptor(t, 8, func(*exchange.Exchange) {})
			client := dial(t, addr)
			client.WriteBytes(c.input)
			waitUntil(t, name, func() bool { return c.once(a) })
			client.WriteBytes([]byte(c.more))
			if c.disconnect == nil {
				client.Close()
			} else if err := c.disconnect(client); err != nil {
				t.Fatal(err)
			}
			for range c.want {
				select {
				case op := <-d.left:
					finish(op, exchange.ClientLeft)
				case <-time.After(20 * time.Second):
					t.Fatal("disconnect not detected")
				}
			}
			if len(d.submitted) != c.want {
				t.Errorf("got %d ops submitted, want as many as in the case", len(d.submitted))
			}
		})
	}
}

// A command may be read long after it was sent, when the client has already disconnected. Such a command is not
// submitted.
func TestCommandOfDisconnectedClientIsNotSubmitted(t *testing.T) {
	t.Parallel()
	_, d, addr, _ := startAcceptor(t, 8, ack)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	a, _, _, _ := startAcceptor(t, 8, ack)
	a.dispatcher = d
	for _, disconnect := range []func(c *net.TCPConn) error{(*net.TCPConn).Close, (*net.TCPConn).CloseWrite} {
		clientEnd, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer clientEnd.Close()
		acceptedEnd, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		clientEnd.Write(pgwire.AppendQuery(pgwire.AppendStartup(nil, "portal", "crm"), lookupQuery))
		if err := disconnect(clientEnd.(*net.TCPConn)); err != nil { // before anything is read
			t.Fatal(err)
		}
		c, err := a.newConn(acceptedEnd.(*net.TCPConn))
		if err != nil {
			t.Fatal(err)
		}
		a.counts.ClientOpen.Add(1)
		waitUntil(t, "the disconnect has arrived", c.clientClosed)
		c.run()
	}
	if n := submittedCount(d); n != 0 || a.ids.OpenCount() != 0 {
		t.Errorf("got %d ops submitted and %d open ids, want none", n, a.ids.OpenCount())
	}
	if got, err := dial(t, addr).Query(lookupQuery); err != nil || got != "v1" {
		t.Errorf("connected client: got %q, %v, want v1", got, err)
	}
}

// stoppingClient returns a client with an open op on an acceptor that is stopping. The client has sent another command
// after the acceptor's last read from it.
func stoppingClient(t *testing.T) (d *fakeDispatcher, c *standin.Client, stopped chan struct{}) {
	t.Helper()
	a, d, addr, stop := startAcceptor(t, 8, func(*exchange.Exchange) {})
	d.ignoresStop = true
	c = dial(t, addr)
	c.WriteBytes(numberedQueries(1))
	waitUntil(t, "the op is submitted", func() bool { return submittedCount(d) == 1 })
	stopped = make(chan struct{})
	go func() {
		defer close(stopped)
		stop()
	}()
	waitUntil(t, "the last read is over", func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		for c := range a.conns {
			return c.readingDone.Load()
		}
		return false
	})
	c.WriteBytes(pgwire.AppendQuery(nil, strings.Replace(lookupQuery, "id=1", "id=2", 1)))
	return d, c, stopped
}

// The disconnect must be detected behind a command that stays unread.
func TestDisconnectDuringStopIsDetectedBehindUnreadCommand(t *testing.T) {
	t.Parallel()
	d, c, stopped := stoppingClient(t)
	c.Close()
	select {
	case op := <-d.left:
		finish(op, exchange.ClientLeft)
	case <-time.After(20 * time.Second):
		t.Fatal("disconnect not detected")
	}
	<-stopped
	if n := submittedCount(d); n != 1 {
		t.Errorf("got %d ops submitted, want 1", n)
	}
}

// A command that arrives after the last read of a planned stop stays unread. The reset after the replies tells the
// client that it was not processed, and the client sends it to another gateway.
func TestCommandAfterLastReadOfStopStaysUnread(t *testing.T) {
	t.Parallel()
	d, c, stopped := stoppingClient(t)
	time.Sleep(20 * time.Millisecond) // long enough for the command to be read
	ack(d.submitted[0])
	expect(t, c, "v0")
	<-stopped
	expectReset(t, c)
	if n := submittedCount(d); n != 1 {
		t.Errorf("got %d ops submitted, want 1", n)
	}
}

// expectReset waits until the connection of a client is reset.
func expectReset(t *testing.T, c *standin.Client) {
	t.Helper()
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "the connection is reset", func() (reset bool) {
		raw.Control(func(fd uintptr) {
			fds := []unix.PollFd{{Fd: int32(fd)}}
			unix.Poll(fds, 0)
			reset = fds[0].Revents&unix.POLLERR != 0
		})
		return reset
	})
}

func submittedCount(d *fakeDispatcher) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.submitted)
}

// A connection may be in the listener's queue when the acceptor stops accepting. The kernel has already accepted it, so
// its client relies on its command being processed.
func TestStopAcceptsConnectionsInListenerQueue(t *testing.T) {
	t.Parallel()
	a, d, _, _ := startAcceptor(t, 8, ack)
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := standin.DialTCP(l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.WriteBytes(pgwire.AppendQuery(pgwire.AppendStartup(nil, "portal", "crm"), lookupQuery))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	l.SetDeadline(exchange.Past) // the time to accept is over before the first call
	var group errgroup.Group
	if err := a.accept(ctx, l, &group); err != nil {
		t.Fatal(err)
	}
	expect(t, c, "")
	expect(t, c, "v1")
	c.Close()
	group.Wait()
	if n := submittedCount(d); n != 1 {
		t.Errorf("got %d ops submitted, want 1", n)
	}
}

// Ops that are open when the process is killed are lost, so they are ended with an error before that.
func TestStopEndsOpsThatWouldOutlastProcess(t *testing.T) {
	t.Parallel()
	a, d, addr, stop := startAcceptor(t, 8, func(*exchange.Exchange) {})
	for timeout, want := range map[time.Duration]time.Duration{time.Second: time.Second, time.Minute: maxDrain} {
		if a.settings.OpTypes[1].Timeout = timeout; a.longestOpTimeout() != want {
			t.Errorf("op timeout %v: got a wait of %v", timeout, a.longestOpTimeout())
		}
	}
	a.settings.OpTypes[1].Timeout = time.Second
	c := dial(t, addr)
	c.WriteBytes(numberedQueries(1))
	waitUntil(t, "the op is submitted", func() bool { return submittedCount(d) == 1 })
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		stop()
	}()
	expect(t, c, "C08007")
	expect(t, c, "$")
	<-stopped
}

func TestInvalidInput(t *testing.T) {
	t.Parallel()
	tooLong := "Q\x00\x7f\x00\x00"
	for _, c := range []struct{ name, in, want string }{
		{"unknown message", "z\x00\x00\x00\x04", "C08P01$"},
		{"extended query", "P\x00\x00\x00\x04", "C08P01$"},
		{"invalid length", "Q\x00\x00\x00\x01", "C08P01$"},
		{"query without terminator", "Q\x00\x00\x00\x05x", "C08P01$"},
		{"too long", tooLong + strings.Repeat("x", 9000), "C54000$"},
		{"no comment", string(pgwire.AppendQuery(nil, "SELECT 1")), "C42601"},
		{"invalid number", string(pgwire.AppendQuery(nil, "/* id=1,c=lookup,d=9e9 */")), "C42601"},
		{"unknown op type", string(pgwire.AppendQuery(nil, "/* id=1,c=none,d=9 */")), "C22023"},
	} {
		a, _, addr, _ := startAcceptor(t, 8, ack)
		other, invalid := dial(t, addr), dial(t, addr)
		if err := invalid.WriteBytes([]byte(c.in)); err != nil {
			t.Fatal(err)
		}
		if got, err := invalid.ReadAnswer(); err != nil || got != c.want {
			t.Errorf("%s: got %q, %v, want %q", c.name, got, err, c.want)
		}
		if n := a.counts.Malformed.Load() + a.counts.Unusable.Load(); n == 0 {
			t.Errorf("%s: got no invalid input counted", c.name)
		}
		if got, err := other.Query(lookupQuery); err != nil || got != "v1" {
			t.Errorf("%s: other connection: got %q, %v, want v1", c.name, got, err)
		}
	}
}

// A client without a complete message is disconnected within 3 s of connecting. A client that has sent a command keeps
// its connection until it leaves a later message incomplete.
func TestClientsWithoutCompleteMessageAreDisconnected(t *testing.T) {
	t.Parallel()
	_, _, addr, _ := startAcceptor(t, 8, ack)
	startup := pgwire.AppendStartup(nil, "portal", "crm")
	for name, input := range map[string][]byte{
		"nothing":        nil,
		"half a startup": startup[:9],
		"no command":     startup,
		"half a command": pgwire.AppendQuery(startup, lookupQuery)[:len(startup)+40],
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, err := standin.DialTCP(addr)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			c.WriteBytes(input)
			c.SetDeadline(time.Now().Add(2900 * time.Millisecond))
			if _, err := io.Copy(io.Discard, c.Conn); err != nil {
				t.Error(err)
			}
		})
	}
	t.Run("half a later command", func(t *testing.T) {
		t.Parallel()
		c := dial(t, addr)
		c.Query(lookupQuery)
		time.Sleep(readTimeout + 100*time.Millisecond)
		if got, err := c.Query(lookupQuery); err != nil || got != "v1" {
			t.Errorf("an idle client: got %q, %v, want v1", got, err)
		}
		c.WriteBytes(pgwire.AppendQuery(nil, lookupQuery)[:30])
		c.SetDeadline(time.Now().Add(2900 * time.Millisecond))
		expect(t, c, "$")
	})
}

func TestQuietConnectionsAreEvicted(t *testing.T) {
	t.Parallel()
	a, _, addr, _ := startAcceptor(t, 3, func(op *exchange.Exchange) {
		if opID(op) == "1" {
			time.Sleep(idleTimeout + 500*time.Millisecond)
		}
		ack(op)
	})
	busy, idle := dial(t, addr), dial(t, addr)
	idle.Query(strings.Replace(lookupQuery, "id=1", "id=2", 1))
	busy.WriteBytes(pgwire.AppendQuery(nil, lookupQuery))
	time.Sleep(idleTimeout + 50*time.Millisecond)
	recent := dial(t, addr)
	recent.Query(strings.Replace(lookupQuery, "id=1", "id=3", 1))
	silent, err := standin.DialTCP(addr) // takes the place of the idle one
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	expect(t, idle, "$")
	next := dial(t, addr) // takes the place of the silent one
	expect(t, silent, "$")
	next.Query(strings.Replace(lookupQuery, "id=1", "id=4", 1))
	dial(t, addr)
	if a.counts.ClientRefused.Load() != 1 || a.counts.ClientIdleClosed.Load() != 2 {
		t.Errorf("got counters %s, want 1 refused and 2 evicted: the others are or were just in use", a.counts)
	}
	expect(t, busy, "v1")
	if got, err := recent.Query(strings.Replace(lookupQuery, "id=1", "id=5", 1)); err != nil || got != "v5" {
		t.Errorf("got %q, %v, want v5", got, err)
	}
}

// Hundreds of connections that sent nothing once caused later connections to be closed without being served.
func TestFloodOfSilentConnectionsKeepsNobodyOut(t *testing.T) {
	t.Parallel()
	a, _, addr, _ := startAcceptor(t, 16, ack)
	for range 10 {
		for range 40 {
			c, err := standin.DialTCP(addr)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { c.Close() })
		}
		start := time.Now()
		if got, err := dial(t, addr).Query(lookupQuery); err != nil || got != "v1" || time.Since(start) > time.Second {
			t.Errorf("got %q, %v after %v, want v1 within 1s", got, err, time.Since(start))
		}
	}
	if a.counts.ClientRefused.Load() != 0 || a.counts.ClientIdleClosed.Load() < 300 {
		t.Errorf("got counters %s, want none refused and at least 300 evicted", a.counts)
	}
}

// Under a flood of connections on one core, connections were marked for eviction just when their reader set its next
// read deadline after a command. They stayed open, counted as being evicted, and once maxConns of them existed no other
// connection was admitted.
func TestEvictionEndsReadThatStartsConcurrently(t *testing.T) {
	t.Parallel()
	a, _, addr, _ := startAcceptor(t, 1, ack)
	c := dial(t, addr)
	c.Query(lookupQuery)
	a.mu.Lock()
	for k := range a.conns { // the reader sets its next deadline after the eviction has been marked
		waitUntil(t, "no reply is pending", func() bool { return k.pendingReplies.Load() == 0 })
		k.evicting.Store(true)
		k.net.SetReadDeadline(exchange.Past)
		k.setReadDeadline(time.Time{})
	}
	a.mu.Unlock()
	expect(t, c, "$")
}

// A command that arrives just when its connection is chosen for eviction, with no reply pending yet, is answered, and
// the connection stays open.
func TestCommandDuringEvictionIsAnswered(t *testing.T) {
	t.Parallel()
	held := make(chan *exchange.Exchange, 1)
	a, d, addr, _ := startAcceptor(t, 8, func(op *exchange.Exchange) { held <- op })
	c := dial(t, addr)
	for n := range 3 {
		c.WriteBytes(pgwire.AppendQuery(nil, strings.Replace(lookupQuery, "id=1", fmt.Sprintf("id=%d", n), 1)))
		op := <-held
		a.mu.Lock()
		for k := range a.conns {
			k.evicting.Store(true)
			k.net.SetReadDeadline(exchange.Past)
			waitUntil(t, "the eviction is revoked", func() bool { return !k.evicting.Load() })
		}
		a.mu.Unlock()
		ack(op)
		expect(t, c, fmt.Sprintf("v%d", n))
	}
	if len(d.left) > 0 {
		t.Error("the client counts as disconnected")
	}
}

func TestDuplicateOpenIDIsRejected(t *testing.T) {
	t.Parallel()
	end := make(chan struct{})
	a, _, addr, _ := startAcceptor(t, 8, func(op *exchange.Exchange) {
		<-end
		ack(op)
	})
	first, second := dial(t, addr), dial(t, addr)
	first.WriteBytes(pgwire.AppendQuery(nil, lookupQuery))
	time.Sleep(50 * time.Millisecond)
	if got, err := second.Query(lookupQuery); err != nil || got != "C42710" {
		t.Errorf("got %q, %v, want C42710", got, err)
	}
	close(end)
	expect(t, first, "v1")
	if got, err := second.Query(lookupQuery); err != nil || got != "v1" {
		t.Errorf("after the end of the first op: got %q, %v, want v1", got, err)
	}
	if a.ids.OpenCount() != 0 {
		t.Errorf("got %d open ids, want none", a.ids.OpenCount())
	}
}

// Reading pauses for a client that sends more commands at once than may be pending. Each is answered, in order, and the
// number of open ops stays limited.
func TestPipelinedCommandsAreAllAnswered(t *testing.T) {
	t.Parallel()
	var open, maxOpen atomic.Int32
	_, d, addr, _ := startAcceptor(t, 8, func(op *exchange.Exchange) {
		if n := open.Add(1); n > maxOpen.Load() {
			maxOpen.Store(n)
		}
		time.Sleep(time.Millisecond)
		open.Add(-1)
		ack(op)
	})
	c := dial(t, addr)
	c.WriteBytes(numberedQueries(300))
	for n := range 300 {
		expect(t, c, fmt.Sprintf("v%d", n))
	}
	if len(d.submitted) != 300 || maxOpen.Load() > choice.MaxOpenCommands+1 { // an ended op may still count
		t.Errorf("got %d ops submitted, up to %d at once, want 300 and up to choice.MaxOpenCommands+1", len(d.submitted), maxOpen.Load())
	}
}

// Commands that were read from a client whose reading is paused are processed even if a planned stop begins in the
// meantime: the client cannot tell that it should send them to another gateway.
func TestStopProcessesCommandsOfPausedClient(t *testing.T) {
	t.Parallel()
	a, d, addr, stop := startAcceptor(t, 8, func(*exchange.Exchange) {})
	c := dial(t, addr)
	c.WriteBytes(numberedQueries(choice.MaxOpenCommands + 3))
	waitUntil(t, "reading is paused", func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		for c := range a.conns {
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
	waitUntil(t, "the acceptor is stopping", a.stopping.Load)
	for n := range choice.MaxOpenCommands + 3 {
		waitUntil(t, "the op is submitted", func() bool { return submittedCount(d) > n })
		d.mu.Lock()
		op := d.submitted[n]
		d.mu.Unlock()
		ack(op)
		expect(t, c, fmt.Sprintf("v%d", n))
	}
	<-stopped
}

func TestOpTimeoutLimitsRemainingTime(t *testing.T) {
	t.Parallel()
	a, d, addr, _ := startAcceptor(t, 8, ack)
	if _, err := dial(t, addr).Query(strings.Replace(lookupQuery, "d=400", "d=4000000000", 1)); err != nil {
		t.Fatal(err)
	}
	if left := d.submitted[0].Deadline - a.clock.Now(); left > time.Second {
		t.Errorf("got %v left, want at most 1s", left)
	}
}

func TestOpenOpsAreAnsweredBeforeFatalError(t *testing.T) {
	t.Parallel()
	_, d, addr, _ := startAcceptor(t, 8, func(op *exchange.Exchange) {
		time.Sleep(30 * time.Millisecond)
		ack(op)
	})
	c := dial(t, addr)
	c.WriteBytes(append(pgwire.AppendQuery(nil, lookupQuery), "z\x00\x00\x00\x04"...))
	expect(t, c, "v1")
	expect(t, c, "C08P01$")
	if len(d.left) > 0 {
		t.Error("the client of the op counts as disconnected")
	}
}

func TestOtherStartupPackets(t *testing.T) {
	t.Parallel()
	_, _, addr, _ := startAcceptor(t, 8, ack)
	c, err := standin.DialTCP(addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.WriteBytes([]byte{0, 0, 0, 8, 4, 210, 22, 47}) // SSLRequest
	var response [1]byte
	if _, err := c.Read(response[:]); err != nil || response[0] != 'N' {
		t.Errorf("got %q, %v, want 'N'", response, err)
	}
	c.WriteBytes(pgwire.AppendQuery(pgwire.AppendStartup(nil, "portal", "crm"), lookupQuery))
	expect(t, c, "")
	expect(t, c, "v1")
	for want, in := range map[string]string{
		"C08P01$": "GET / HTTP/1.1\r\n\r\n",
		"$":       "\x00\x00\x00\x10\x04\xd2\x16\x2e\x00\x00\x00\x01\x00\x00\x00\x01", // CancelRequest
	} {
		c, err := standin.DialTCP(addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.WriteBytes([]byte(in))
		expect(t, c, want)
	}
}

func TestConnectionsBeyondLimitAreRejected(t *testing.T) {
	t.Parallel()
	a, _, addr, _ := startAcceptor(t, 1, ack)
	first := dial(t, addr)
	first.Query(lookupQuery)
	second, err := standin.DialTCP(addr)
	if err != nil {
		t.Fatal(err)
	}
	defer second.Close()
	second.WriteBytes(pgwire.AppendQuery(pgwire.AppendStartup(nil, "portal", "crm"), lookupQuery))
	expect(t, second, "C53300$")
	if got, err := first.Query(lookupQuery); err != nil || got != "v1" || a.counts.ClientRefused.Load() != 1 {
		t.Errorf("got %q, %v and %d refused connections, want v1 and 1", got, err, a.counts.ClientRefused.Load())
	}
}

func TestClientThatDoesNotReadBlocksNoOther(t *testing.T) {
	t.Parallel()
	longValue := strings.Repeat("x", 1<<20)
	a, _, addr, _ := startAcceptor(t, 8, func(op *exchange.Exchange) {
		op.Answer.Bytes = pgwire.AppendMessage(nil, pgwire.DataRow, longValue)
		finish(op, exchange.Acked)
	})
	stuck, other := dial(t, addr), dial(t, addr)
	stuck.Conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	for n := range choice.MaxOpenCommands { // replies beyond what both ends can buffer; the client never reads
		stuck.WriteBytes(pgwire.AppendQuery(nil, strings.Replace(lookupQuery, "id=1,c=lookup,d=400", fmt.Sprintf("id=%d,c=lookup,d=1", n), 1)))
	}
	if got, err := other.Query(";"); err != nil || got != "I" {
		t.Errorf("got %q, %v, want I", got, err)
	}
	for end := time.Now().Add(5 * time.Second); a.counts.ClientOpen.Load() > 1; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the connection of the stuck client is still open")
		}
	}
}

func TestStopAnswersAllOpenOps(t *testing.T) {
	t.Parallel()
	a, d, addr, stop := startAcceptor(t, 8, func(op *exchange.Exchange) {
		if opID(op) == "1" {
			time.Sleep(150 * time.Millisecond)
			ack(op)
		}
	})
	disconnecting := dial(t, addr)
	disconnecting.WriteBytes(pgwire.AppendQuery(nil, strings.Replace(lookupQuery, "id=1", "id=2", 1)))
	idle, busy := dial(t, addr), dial(t, addr)
	stopped := make(chan struct{})
	go func() {
		stop()
		close(stopped)
	}()
	time.Sleep(stopAcceptPeriod / 2)
	late := dial(t, addr) // clients still connect and use open connections
	if got, err := late.Query(lookupQuery); err != nil || got != "v1" {
		t.Errorf("late client: got %q, %v, want v1", got, err)
	}
	if got, err := idle.Query(";"); err != nil || got != "I" {
		t.Errorf("open connection: got %q, %v, want I", got, err)
	}
	time.Sleep(stopAcceptPeriod/2 - 200*time.Millisecond)
	busy.WriteBytes(pgwire.AppendQuery(nil, lookupQuery)) // ends after the acceptor has begun to close connections
	expect(t, busy, "v1")
	expect(t, busy, "$")
	expect(t, idle, "$")
	disconnecting.Close()
	finish(<-d.left, exchange.ClientLeft) // a disconnect is still detected
	select {
	case <-stopped:
	case <-time.After(5 * time.Second):
		t.Fatal("the acceptor has not stopped")
	}
	if n := a.counts.ClientOpen.Load(); n != 0 {
		t.Errorf("%d connections are still open, want 0", n)
	}
}

// A client that sends its next command right after each reply must not keep its connection to a stopping gateway open:
// an op that is open when the process is killed is lost. A command after the last read stays unread, so that the client
// can tell.
func TestStopClosesConnectionOfBusyClient(t *testing.T) {
	t.Parallel()
	a, d, addr, stop := startAcceptor(t, 8, func(op *exchange.Exchange) {
		time.Sleep(closeGrace / 4)
		ack(op)
	})
	c := dial(t, addr)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	answered, ended := 0, make(chan struct{})
	go func() {
		defer close(ended)
		for ; ctx.Err() == nil; answered++ {
			if got, err := c.Query(lookupQuery); err != nil || got != "v1" {
				return // the connection is closed: this command was not processed
			}
		}
	}()
	stop()
	select {
	case <-ended:
	case <-ctx.Done():
		t.Fatal("the connection is still open")
	}
	if n := len(d.submitted); n != answered {
		t.Errorf("got %d ops submitted and %d answered, want the same number", n, answered)
	}
	if n := a.counts.ClientOpen.Load(); n != 0 {
		t.Errorf("%d connections are still open, want 0", n)
	}
}

// While no connection closes and new ones keep arriving, none may stay in the listener's queue for long, as its
// client's time runs there.
func TestConnectionsDoNotStayInListenerQueue(t *testing.T) {
	t.Parallel()
	a, _, addr, _ := startAcceptor(t, 1, func(*exchange.Exchange) {})
	c := dial(t, addr)
	c.WriteBytes(pgwire.AppendQuery(nil, lookupQuery)) // a reply is pending, so it is not evicted
	waitUntil(t, "the op is submitted", func() bool { return submittedCount(a.dispatcher.(*fakeDispatcher)) == 1 })
	a.counts.ClientOpen.Add(overflowConns) // stands for others that are not evicted
	start := time.Now()
	for range 40 { // all at once: separately, each could wait for a moment
		c, err := standin.DialTCP(addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	waitUntil(t, "all are refused", func() bool { return a.counts.ClientRefused.Load() >= 40 })
	if took := time.Since(start); took > 40*overflowConns*firstBytesWait/4 { // one alone may wait for overflowConns*firstBytesWait
		t.Errorf("the last connection was refused after %v", took)
	}
	a.counts.ClientOpen.Add(-overflowConns)
}
