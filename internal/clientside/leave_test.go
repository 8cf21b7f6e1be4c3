package clientside

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"gorsewell/choice"
	"gorsewell/internal/deployment"
	"gorsewell/internal/exchange"
	"gorsewell/internal/pgwire"
)

// longQueries returns n queries with the ids 0 to n-1 and keys of the given length.
func longQueries(n, keyBytes int) (queries []byte) {
	key := "'" + strings.Repeat("k", keyBytes) + "'"
	for i := range n {
		query := strings.Replace(lookupQuery, "id=1", fmt.Sprintf("id=%d", i), 1)
		queries = pgwire.AppendQuery(queries, strings.Replace(query, "'k'", key, 1))
	}
	return queries
}

// Ops were sent on after their client had left, as the end of its stream was hidden behind unread input.
func TestLeavingBehindMuchUnreadInputIsNoticed(t *testing.T) {
	const commands, keyBytes = 100, 32 << 10
	for name, first := range map[string]int{"all at once": commands, "most while ops are open": choice.MaxOpenCommands} {
		t.Run(name, func(t *testing.T) {
			a, d, addr, _ := startAcceptorWith(t, deployment.Settings{MemoryBytes: 64 << 20}, 8, func(*exchange.Exchange) {})
			c := dial(t, addr)
			input := longQueries(commands, keyBytes)
			firstBytes := first * len(input) / commands
			c.WriteBytes(input[:firstBytes])
			waitUntil(t, "ops are open", func() bool { return submittedCount(d) >= choice.MaxOpenCommands-1 })
			c.WriteBytes(input[firstBytes:])
			c.Close()
			closed := time.Now()
			waitUntil(t, "all ops are reported as left", func() bool { return len(d.left) == submittedCount(d) })
			noticed := time.Since(closed)
			for len(d.left) > 0 {
				finish(<-d.left, exchange.ClientLeft)
			}
			waitUntil(t, "the connection has ended", func() bool { return a.counts.ClientOpen.Load() == 0 })
			if n := submittedCount(d); n > choice.MaxOpenCommands {
				t.Errorf("got %d ops submitted, want at most %d", n, choice.MaxOpenCommands)
			}
			if noticed > 100*time.Millisecond {
				t.Errorf("got the leaving noticed after %v, want at most 100ms", noticed)
			}
		})
	}
}

// Without memory to read ahead, nothing tells whether a client has left. Its commands get busy replies, and none is sent.
func TestCommandsBehindUnreadInputWithoutMemoryAreRefused(t *testing.T) {
	const commands, keyBytes = 100, 32 << 10
	release := make(chan struct{})
	a, d, addr, _ := startAcceptorWith(t, deployment.Settings{MemoryBytes: 8 << 20}, 8, func(op *exchange.Exchange) {
		<-release
		ack(op)
	})
	c := dial(t, addr)
	go c.WriteBytes(longQueries(commands, keyBytes))
	waitUntil(t, "a command has been skipped", func() bool { return a.counts.CommandsSkipped.Load() > 0 })
	close(release)
	acked, refused := 0, 0
	for n := range commands {
		got, err := c.ReadAnswer()
		switch {
		case err == nil && got == fmt.Sprintf("v%d", n):
			acked++
		case err == nil && strings.HasPrefix(got, "C53300"):
			refused++
		default:
			t.Fatalf("command %d: got %q, %v, want an answer or a busy reply", n, got, err)
		}
	}
	if acked != submittedCount(d) || refused == 0 {
		t.Errorf("got %d acked and %d refused commands, %d submitted", acked, refused, submittedCount(d))
	}
}

// At the end of a planned stop commands that are not processed any more were read ahead, and lost as no reset told of them.
func TestNothingIsReadAheadAtEndOfStop(t *testing.T) {
	a, _, _, _ := startAcceptor(t, 8, func(*exchange.Exchange) {})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	c, err := a.newConn(accepted.(*net.TCPConn))
	if err != nil {
		t.Fatal(err)
	}
	client.Write(numberedQueries(3))
	waitUntil(t, "the commands have arrived", func() bool { return unreadBytes(c.raw) > 0 })
	unread := unreadBytes(c.raw)
	a.finalReads.Store(true)
	if err := c.confirmPresence(); err != nil || c.ahead.size != 0 || unreadBytes(c.raw) != unread {
		t.Errorf("got %v and %d bytes read ahead, want none", err, c.ahead.size)
	}
	a.finalReads.Store(false)
	if err := c.confirmPresence(); err != nil || c.ahead.size != unread {
		t.Errorf("got %v and %d bytes read ahead before the end, want %d", err, c.ahead.size, unread)
	}
	a.finalReads.Store(true)
	client.Close()
	waitUntil(t, "the leaving is noticed", func() bool { return c.confirmPresence() == errClientGone })
}

// A non-retryable op whose client had left ran again when its id came again.
func TestIDOfNonRetryableOpThatMayHaveRunIsNotTakenAgain(t *testing.T) {
	for _, c := range []struct {
		name       string
		effect     choice.Effect
		mayHaveRun bool
		want       string
	}{
		{"non-retryable, may have run", choice.NonRetryable, true, "C42710"},
		{"tokened, may have run", choice.Tokened, true, "C42710"},
		{"non-retryable, never ran", choice.NonRetryable, false, "v1"},
		{"retryable, may have run", choice.Retryable, true, "v1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			first := make(chan struct{}, 1)
			a, d, addr, _ := startAcceptor(t, 8, func(op *exchange.Exchange) {
				select {
				case first <- struct{}{}: // stays open until its client leaves
				default:
					ack(op)
				}
			})
			a.settings.OpTypes[0].Effect = c.effect
			leaving := dial(t, addr)
			leaving.WriteBytes(pgwire.AppendQuery(nil, lookupQuery))
			waitUntil(t, "the op is open", func() bool { return len(first) == 1 })
			leaving.Close()
			left := <-d.left
			left.MayHaveRun = c.mayHaveRun
			finish(left, exchange.ClientLeft)
			waitUntil(t, "the connection has ended", func() bool { return a.counts.ClientOpen.Load() == 0 })
			if got, err := dial(t, addr).Query(lookupQuery); err != nil || got != c.want {
				t.Errorf("got %q, %v, want %s", got, err, c.want)
			}
		})
	}
}

// Servers were told more time than was left to clients whose commands had been read ahead.
func TestTimeOfCommandReadAheadRunsFromItsArrival(t *testing.T) {
	const commands, keyBytes, held, slack = 100, 32 << 10, 250 * time.Millisecond, 150 * time.Millisecond
	release := make(chan struct{})
	a, d, addr, _ := startAcceptorWith(t, deployment.Settings{MemoryBytes: 256 << 20}, 8, func(op *exchange.Exchange) {
		<-release
		ack(op)
	})
	c := dial(t, addr)
	if err := c.WriteBytes(longQueries(commands, keyBytes)); err != nil {
		t.Fatal(err)
	}
	sentAt := a.clock.Now()
	waitUntil(t, "the client has waited", func() bool { return a.clock.Now() >= sentAt+held })
	close(release)
	for n := range commands {
		expect(t, c, fmt.Sprintf("v%d", n))
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for n, op := range d.submitted {
		if late := op.Deadline - (sentAt + 400*time.Millisecond); late > slack {
			t.Fatalf("command %d: got a deadline %v after the end of its client's time, want at most %v", n, late, slack)
		}
	}
}
