package clientside

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gorsewell/choice"
	"gorsewell/internal/exchange"
	"gorsewell/internal/pgwire"
	"gorsewell/internal/standin"
)

// paddedQueries returns n queries with the ids 0 to n-1, each with a value of the given length.
func paddedQueries(n, valueBytes int) (queries []byte) {
	padded := strings.Replace(lookupQuery, "'k'", "'"+strings.Repeat("k", max(1, valueBytes))+"'", 1)
	for i := range n {
		queries = pgwire.AppendQuery(queries, strings.Replace(padded, "id=1", fmt.Sprintf("id=%d", i), 1))
	}
	return queries
}

// Commands that were sent before SIGTERM were lost: a planned stop closed the connection over those still unread in the
// socket because sixteen were under way.
func TestStopAnswersCommandsUnreadBehindOpenOps(t *testing.T) {
	t.Parallel()
	for _, test := range []struct{ commands, valueBytes int }{
		{choice.MaxOpenCommands + 1, 0}, {100, 0}, {1000, 0}, {40, 64 << 10},
	} {
		t.Run(fmt.Sprintf("%d commands with values of %d bytes", test.commands, test.valueBytes), func(t *testing.T) {
			t.Parallel()
			release := make(chan struct{})
			a, d, addr, stop := startAcceptor(t, 8, func(op *exchange.Exchange) {
				<-release
				ack(op)
			})
			c := dial(t, addr)
			c.SetDeadline(time.Now().Add(20 * time.Second))
			go c.WriteBytes(paddedQueries(test.commands, test.valueBytes))
			waitUntil(t, "sixteen ops are open", func() bool { return submittedCount(d) == choice.MaxOpenCommands })
			go stop()
			waitUntil(t, "connections are being closed", a.stopping.Load)
			close(release)
			for n := range test.commands {
				if expect(t, c, fmt.Sprintf("v%d", n)); t.Failed() {
					t.FailNow()
				}
			}
			expect(t, c, "$")
		})
	}
}

// A command that arrived while another one was under way was lost in the same way: its connection is not between two
// requests, so the client cannot tell that it should send the command to another gateway.
func TestStopAnswersCommandsThatArriveWhileReplyIsPending(t *testing.T) {
	t.Parallel()
	a, d, addr, stop := startAcceptor(t, 8, func(*exchange.Exchange) {})
	c := dial(t, addr)
	c.SetDeadline(time.Now().Add(20 * time.Second))
	queries := numberedQueries(3)
	size := len(queries) / 3
	c.WriteBytes(queries[:size])
	waitUntil(t, "the op is submitted", func() bool { return submittedCount(d) == 1 })
	go stop()
	waitUntil(t, "connections are being closed", a.stopping.Load)
	c.WriteBytes(queries[size : 2*size+size/2]) // the next one is in two pieces
	waitUntil(t, "the next op is submitted", func() bool { return submittedCount(d) == 2 })
	ack(d.submitted[0])
	expect(t, c, "v0")
	c.WriteBytes(queries[2*size+size/2:])
	waitUntil(t, "the last op is submitted", func() bool { return submittedCount(d) == 3 })
	ack(d.submitted[1])
	ack(d.submitted[2])
	expect(t, c, "v1")
	expect(t, c, "v2")
	expect(t, c, "$")
}

// More commands than fit into the buffers of the gateway's machine are answered, too, although none can be served any
// more: the client has written them.
func TestStopRefusesAllCommandsThatCannotBeServed(t *testing.T) {
	t.Parallel()
	const commands = 3000
	var stopped atomic.Bool
	a, d, addr, _ := startAcceptor(t, 8, func(op *exchange.Exchange) {
		if stopped.Load() { // as the dispatcher does
			finish(op, exchange.BusyReplied)
		}
	})
	d.onStop = func() { stopped.Store(true) }
	c := dial(t, addr)
	c.SetDeadline(time.Now().Add(20 * time.Second))
	go c.WriteBytes(paddedQueries(commands, 200))
	waitUntil(t, "sixteen ops are open", func() bool { return submittedCount(d) == choice.MaxOpenCommands })
	a.beginClosing() // the phases of a stop, without its times
	d.Stop()
	for n := range commands {
		want := "C53300"
		if n < choice.MaxOpenCommands {
			want = "C08007"
		}
		if expect(t, c, want); t.Failed() {
			t.Fatalf("command %d", n)
		}
	}
	expect(t, c, "$")
}

// A client that always has a command under way must not keep its connection open until the process is killed. All
// commands that were read are answered.
func TestStopEndsConnectionThatIsNeverIdle(t *testing.T) {
	t.Parallel()
	var d *fakeDispatcher
	var stopped atomic.Bool // from then on ops are given up at once
	started := make(chan struct{})
	_, d, addr, stop := startAcceptor(t, 8, func(*exchange.Exchange) {
		<-started
		d.mu.Lock()
		defer d.mu.Unlock()
		for i, op := range d.submitted {
			isLast := i == len(d.submitted)-1
			if !op.IsDone() && (!isLast || stopped.Load()) {
				ack(op) // each op ends when the next one is there
			}
		}
	})
	d.onStop = func() { stopped.Store(true) }
	close(started)
	c := dial(t, addr)
	c.SetDeadline(time.Now().Add(20 * time.Second))
	c.WriteBytes(numberedQueries(2))
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		stop()
	}()
	answered := 0
	for ; ; answered++ {
		if got, err := c.ReadAnswer(); err != nil || got != fmt.Sprintf("v%d", answered) && got != "C08007" {
			break
		}
		c.WriteBytes(pgwire.AppendQuery(nil, strings.Replace(lookupQuery, "id=1", fmt.Sprintf("id=%d", answered+2), 1)))
	}
	<-ended
	if !stopped.Load() { // after that ops end at once, and the connection may be idle
		t.Error("the connection was closed although a command was always under way")
	}
	if n := submittedCount(d); n != answered {
		t.Errorf("got %d ops submitted and %d answered, want the same number", n, answered)
	}
}

// A message that stays incomplete ends its connection, whatever else is under way on it and during a planned stop, too.
func TestIncompleteMessageBehindOpenOpEndsConnection(t *testing.T) {
	t.Parallel()
	for _, stopping := range []bool{false, true} {
		t.Run(fmt.Sprintf("stopping %v", stopping), func(t *testing.T) {
			t.Parallel()
			a, d, addr, stop := startAcceptor(t, 8, func(*exchange.Exchange) {})
			c := dial(t, addr)
			c.SetDeadline(time.Now().Add(20 * time.Second))
			queries := numberedQueries(2)
			c.WriteBytes(queries[:len(queries)-1])
			waitUntil(t, "the op is submitted", func() bool { return submittedCount(d) == 1 })
			a.settings.OpTypes[1].Timeout = maxDrain // the stop lasts longer than readTimeout
			if stopping {
				go stop()
			}
			waitUntil(t, "nothing more is read", func() bool { return onlyConn(a).readingDone.Load() })
			if a.finalReads.Load() {
				t.Error("the message was waited for until the end of the planned stop")
			}
			ack(d.submitted[0])
			expect(t, c, "v0")
			expect(t, c, "$")
		})
	}
}

// A client that sends a byte now and then does not keep an overdue message open.
func TestMessageInSmallPiecesEndsConnectionWhenOverdue(t *testing.T) {
	t.Parallel()
	a, d, addr, _ := startAcceptor(t, 8, ack)
	c := dial(t, addr)
	start := time.Now()
	query := paddedQueries(1, 64<<10)
	for n := 0; a.counts.ClientOpen.Load() > 0; n++ {
		c.WriteBytes(query[n : n+1])
		time.Sleep(closeGrace / 4)
		if time.Since(start) > 10*time.Second {
			t.Fatal("the connection is still open")
		}
	}
	if took := time.Since(start); took > 3*time.Second || submittedCount(d) != 0 {
		t.Errorf("the connection was closed after %v with %d ops submitted, want 3 s at most and none", took, submittedCount(d))
	}
}

// A connection that was to be evicted, but whose command arrived just then, stays open as any other.
func TestConnectionStaysOpenAfterEvictionWasCalledOff(t *testing.T) {
	t.Parallel()
	a, _, addr, _ := startAcceptor(t, 8, ack)
	c := dial(t, addr)
	expectReply := func() {
		t.Helper()
		if got, err := c.Query(lookupQuery); err != nil || got != "v1" {
			t.Fatalf("got %q, %v, want v1", got, err)
		}
	}
	expectReply()
	a.mu.Lock()
	for c := range a.conns {
		a.evict(c)
	}
	a.mu.Unlock()
	expectReply()
	waitUntil(t, "the eviction is called off", func() bool { return !onlyConn(a).evicting.Load() })
	time.Sleep(4 * closeGrace)
	expectReply()
}

// Commands that had arrived with the startup packet were lost when there was no room for their connection: the one error
// answered the first of them only.
func TestCommandsOfConnectionWithoutRoomAreAnswered(t *testing.T) {
	t.Parallel()
	for _, commands := range []int{2, 4, 100, 1000} {
		a, d, addr, _ := startAcceptor(t, 1, func(op *exchange.Exchange) {
			if opID(op) != "x" {
				ack(op)
			}
		})
		busy := dial(t, addr)
		busy.WriteBytes(pgwire.AppendQuery(nil, strings.Replace(lookupQuery, "id=1", "id=x", 1)))
		waitUntil(t, "the op is submitted", func() bool { return submittedCount(d) == 1 }) // so that it is not evicted
		c, err := standin.DialTCP(addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		go c.WriteBytes(append(pgwire.AppendStartup(nil, "portal", "crm"), numberedQueries(commands)...))
		expect(t, c, "")
		for n := range commands {
			if expect(t, c, fmt.Sprintf("v%d", n)); t.Failed() {
				t.FailNow()
			}
		}
		expect(t, c, "$")
		waitUntil(t, "the connection is closed", func() bool { return a.counts.ClientOpen.Load() == 1 })
		ack(d.submitted[0])
	}
}

// The same for a connection that is closed at once, as there is not even room to reject it: its commands are refused.
func TestCommandsOfConnectionBeyondOverflowAreRefused(t *testing.T) {
	t.Parallel()
	a, d, addr, _ := startAcceptor(t, 1, ack)
	a.counts.ClientOpen.Add(overflowConns + 2) // stands for others that are not evicted
	for _, commands := range []int{0, 1, 4, 500} {
		c, err := standin.DialTCP(addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		input, whole := pgwire.AppendStartup(nil, "portal", "crm"), 0
		for n := range commands { // long ones, too
			if input = append(input, longQuery(fmt.Sprint(n), 5000*(n%2))...); len(input) <= 60<<10 {
				whole++
			}
		}
		c.WriteBytes(input[:min(len(input), 60<<10)])
		if commands > 0 {
			expect(t, c, "")
		}
		for range whole {
			expect(t, c, "C53300")
		}
		if got, _ := c.ReadAnswer(); got != "$" && got != "" {
			t.Errorf("%d commands: got %q, want the end", commands, got)
		}
	}
	if submittedCount(d) != 0 {
		t.Errorf("got %d ops submitted, want none", submittedCount(d))
	}
	a.counts.ClientOpen.Add(-overflowConns - 2)
}

// A command that arrived behind the error for a connection without room was read and thrown away, so that its client could
// not tell that it was not processed. It stays unread now, and the client gets a reset.
func TestCommandBehindRejectionStaysUnread(t *testing.T) {
	t.Parallel()
	_, d, addr, _ := startAcceptor(t, 1, func(*exchange.Exchange) {})
	busy := dial(t, addr)
	busy.WriteBytes(numberedQueries(1))
	waitUntil(t, "the op is submitted", func() bool { return submittedCount(d) == 1 })
	c, err := standin.DialTCP(addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.WriteBytes(pgwire.AppendStartup(nil, "portal", "crm"))
	one := make([]byte, 1)
	if _, err := c.Read(one); err != nil || one[0] != pgwire.ErrorResponse {
		t.Fatalf("got %q, %v, want an error", one, err)
	}
	c.WriteBytes(numberedQueries(2))
	expectReset(t, c)
	ack(d.submitted[0])
}

// clientWithoutRoom returns a client whose open op, of the id x, takes the only room of an acceptor, and a second one for
// which there is no room and which has sent two commands.
func clientWithoutRoom(t *testing.T, addr string, d *fakeDispatcher) (busy, second *standin.Client) {
	t.Helper()
	busy = dial(t, addr)
	busy.WriteBytes(pgwire.AppendQuery(nil, strings.Replace(lookupQuery, "id=1", "id=x", 1)))
	waitUntil(t, "the op is submitted", func() bool { return submittedCount(d) == 1 })
	second, err := standin.DialTCP(addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { second.Close() })
	second.WriteBytes(append(pgwire.AppendStartup(nil, "portal", "crm"), numberedQueries(2)...))
	expect(t, second, "")
	return busy, second
}

// A connection without room goes on while there is a command, as its client cannot tell which of several were processed,
// and closes between two requests.
func TestConnectionWithoutRoomClosesBetweenRequests(t *testing.T) {
	t.Parallel()
	const commands = 200
	_, d, addr, _ := startAcceptor(t, 1, func(*exchange.Exchange) {})
	submitted := func(n int) *exchange.Exchange {
		t.Helper()
		waitUntil(t, "the op is submitted", func() bool { return submittedCount(d) > n })
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.submitted[n]
	}
	_, c := clientWithoutRoom(t, addr, d)
	busyOp := submitted(0)
	for n := range commands { // another one is under way when a reply is written, but for the last
		if n+1 < commands {
			submitted(n + 2)
		}
		ack(submitted(n + 1))
		expect(t, c, fmt.Sprintf("v%d", n))
		if n+2 < commands {
			c.WriteBytes(longQuery(fmt.Sprint(n+2), 1))
		}
	}
	expect(t, c, "$")
	ack(busyOp)
}

// A connection for which there is room again is like any other.
func TestConnectionStaysOpenOnceThereIsRoom(t *testing.T) {
	t.Parallel()
	a, d, addr, _ := startAcceptor(t, 1, func(*exchange.Exchange) {})
	busy, c := clientWithoutRoom(t, addr, d)
	waitUntil(t, "the ops are submitted", func() bool { return submittedCount(d) == 3 })
	ack(d.submitted[0])
	expect(t, busy, "vx")
	busy.Close()
	waitUntil(t, "there is room", func() bool { return a.counts.ClientOpen.Load() == 1 })
	ack(d.submitted[1])
	ack(d.submitted[2])
	expect(t, c, "v0")
	expect(t, c, "v1")
	time.Sleep(4 * closeGrace) // time in which it would be closed
	if got, err := c.Query(";"); err != nil || got != "I" {
		t.Errorf("got %q, %v, want I", got, err)
	}
}

// onlyConn returns the only open connection.
func onlyConn(a *Acceptor) *conn {
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.conns {
		return c
	}
	return nil
}
