// Package clientside accepts client connections, reads ops from them and writes the replies. Its files follow the path
// of an op: accept, read, answer.
package clientside

import (
	"cmp"
	"context"
	"errors"
	"hash/maphash"
	"log/slog"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"

	"gorsewell/choice"
	"gorsewell/internal/counters"
	"gorsewell/internal/deployment"
	"gorsewell/internal/eventlog"
	"gorsewell/internal/exchange"
	"gorsewell/internal/membudget"
	"gorsewell/internal/pgwire"
)

// Limits and periods, most of which follow from the documented behaviour of clients and of the platform.
const (
	// stopAcceptPeriod is how long connections are still accepted after the start of a planned stop: clients keep
	// arriving for 0.4 s, and this leaves a margin.
	stopAcceptPeriod = 500 * time.Millisecond

	// closeGrace is how long a connection that is about to be closed is still checked for a command. It is also the
	// interval between attempts to accept after a failure.
	closeGrace = 20 * time.Millisecond

	// firstBytesWait is the time in which the first bytes of a client that sends a command arrive.
	firstBytesWait = 10 * time.Millisecond

	// readTimeout is the limit for receiving a first command and for the rest of a message that has begun. A client
	// without a complete message has to be disconnected within 3 s of connecting.
	readTimeout = 2500 * time.Millisecond

	// idleTimeout is the time without traffic after which a connection without pending replies may be evicted.
	idleTimeout = 2 * time.Second

	// overflowConns is how many connections beyond maxConns are accepted. They close by themselves, replace an evicted
	// connection or are told that there are too many connections.
	overflowConns = 16

	// maxBacklogAge is how long there may be connections in the listener's queue before new ones are refused.
	maxBacklogAge = 50 * time.Millisecond

	// maxDrain limits the time that a planned stop leaves for open ops, which is otherwise the longest op timeout.
	maxDrain = 3 * time.Second

	// killGrace is the time from the end of the period left for open ops until the process is killed.
	killGrace = 700 * time.Millisecond

	// finalReplyTime is how long before the kill the ops that are still open are ended, so that the replies to them can
	// be written.
	finalReplyTime = 150 * time.Millisecond

	// finalReadTime is how long after that connections go on reading. What they read is given up at once.
	finalReadTime = 100 * time.Millisecond
)

// Listener is the part of a net.TCPListener that an Acceptor uses.
type Listener interface {
	AcceptTCP() (*net.TCPConn, error)
	SetDeadline(time.Time) error
	SyscallConn() (syscall.RawConn, error)
	Close() error
}

// Acceptor accepts client connections and serves them.
type Acceptor struct {
	clock      exchange.Clock
	dispatcher exchange.Dispatcher
	counts     *counters.Set
	events     *eventlog.Log
	settings   *deployment.Settings

	// opTypes maps the name of each op type to its index.
	opTypes map[string]uint8

	// budgets limits the memory of what clients have sent.
	budgets inputBudgets

	// maxConns is the maximum number of connections that stay open. Up to overflowConns more are accepted.
	maxConns int64

	turns *turns

	// pipelining is the number of connections with several pending commands.
	pipelining atomic.Int32

	// stopping is true from the second phase of a planned stop on, see stop.go.
	stopping atomic.Bool

	// finalReads is true at the end of a planned stop, when only what has arrived may still be read.
	finalReads atomic.Bool

	// mu guards conns and ids, and the reserved memory of connections.
	mu    sync.Mutex
	conns map[*conn]struct{}

	// connClosed receives a value when a connection has been closed.
	connClosed chan struct{}

	// ids guards the ids of ops, which it gets by hashes with this seed.
	ids    *choice.IDGuard
	idSeed maphash.Seed
}

// New returns an acceptor for at most maxConns connections.
func New(clock exchange.Clock, dispatcher exchange.Dispatcher, counts *counters.Set, settings *deployment.Settings,
	maxConns int) *Acceptor {
	a := &Acceptor{clock: clock, dispatcher: dispatcher, counts: counts, events: eventlog.New(), settings: settings, opTypes: map[string]uint8{},
		budgets: newInputBudgets(settings.MemoryBytes), turns: newTurns(clock, settings.Cores), maxConns: int64(maxConns), conns: map[*conn]struct{}{},
		connClosed: make(chan struct{}, 1), ids: choice.NewIDGuard(), idSeed: maphash.MakeSeed()}
	for i, name := range settings.OpTypeNames {
		a.opTypes[name] = uint8(i)
	}
	return a
}

// Serve accepts connections until the context ends and for stopAcceptPeriod after that. Then it closes each connection
// once all its commands are answered, and returns when the last one is closed. Ops that would outlast the process are
// ended shortly before the process is killed.
func (a *Acceptor) Serve(ctx context.Context, l Listener) error {
	var group errgroup.Group
	stop := context.AfterFunc(ctx, func() {
		slog.Info("stopping")
		l.SetDeadline(time.Now().Add(stopAcceptPeriod))
	})
	err := a.accept(ctx, l, &group)
	stop()
	l.Close()
	a.beginClosing()
	untilOpsEnd := a.longestOpTimeout() + killGrace - stopAcceptPeriod - finalReplyTime
	endOps := time.AfterFunc(untilOpsEnd, func() {
		a.dispatcher.Stop()
		a.turns.liftLimits()
	})
	defer endOps.Stop()
	limitReads := time.AfterFunc(untilOpsEnd+finalReadTime, a.limitReads)
	defer limitReads.Stop()
	return errors.Join(err, group.Wait())
}

// longestOpTimeout returns the longest op timeout, limited to maxDrain. A planned stop waits that long for open ops.
func (a *Acceptor) longestOpTimeout() time.Duration {
	var longest time.Duration
	for _, t := range a.settings.OpTypes {
		longest = max(longest, t.Timeout)
	}
	return min(longest, maxDrain)
}

// accept accepts connections until the listener is closed, or until its deadline passes after the end of the context.
func (a *Acceptor) accept(ctx context.Context, l Listener, group *errgroup.Group) error {
	queue := &backlog{listener: l, clock: a.clock, lastEmpty: a.clock.Now()}
	for failing, lastRound := false, false; ; {
		queue.age()
		netConn, err := l.AcceptTCP()
		switch {
		case err != nil && errors.Is(err, os.ErrDeadlineExceeded) && ctx.Err() != nil:
			if lastRound {
				return nil
			}
			// One more round: the kernel has already accepted the connections in the listener's queue, and their
			// clients may have sent a command.
			lastRound = true
			l.SetDeadline(time.Now().Add(closeGrace))
			continue
		case err != nil && errors.Is(err, net.ErrClosed):
			return err
		case isNetworkError(err): // of the connection that would have been accepted
			continue
		case err != nil: // for want of resources of this machine
			if !failing {
				slog.Error("accept_failed", "error", err)
			}
			failing = true
			time.Sleep(closeGrace)
			continue
		}
		failing = false
		a.counts.ClientConns.Add(1)
		a.counts.ClientOpen.Add(1)
		if !a.awaitAcceptCapacity(queue) {
			a.counts.ClientRefused.Add(1)
			a.counts.ClientOpen.Add(-1)
			refuseArrived(netConn, a.settings.MaxMessageBytes)
			netConn.Close()
			continue
		}
		c, err := a.newConn(netConn)
		if err != nil { // it is closed
			a.counts.ClientOpen.Add(-1)
			continue
		}
		a.mu.Lock()
		a.conns[c] = struct{}{}
		a.mu.Unlock()
		a.ensureCapacity(nil)
		group.Go(func() error {
			c.run()
			return nil
		})
	}
}

// isNetworkError reports whether accepting failed because of an error on the new connection. Linux passes these on, and
// the next connection may be accepted at once.
func isNetworkError(err error) bool {
	for _, pending := range []syscall.Errno{syscall.ECONNABORTED, syscall.EPROTO, syscall.ENETDOWN, syscall.ENOPROTOOPT,
		syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH, syscall.EOPNOTSUPP, syscall.ENETUNREACH, syscall.ETIMEDOUT,
		syscall.ECONNRESET, syscall.EINTR} {
		if errors.Is(err, pending) {
			return true
		}
	}
	return false
}

// awaitAcceptCapacity waits briefly for connections that are closing, and returns false if none closes in time.
// Meanwhile other connections wait in the listener's queue while their clients' time runs. So if that queue has not
// been empty for maxBacklogAge, it does not wait, unless most connections are of clients that have sent no command:
// those close within moments.
func (a *Acceptor) awaitAcceptCapacity(b *backlog) bool {
	for i := 0; a.counts.ClientOpen.Load() > a.maxConns+overflowConns; i++ {
		if i >= overflowConns || b.age() >= maxBacklogAge && !a.mostlySilent() {
			return false
		}
		a.ensureCapacity(nil)
		select {
		case <-a.connClosed:
		case <-time.After(firstBytesWait):
		}
	}
	return true
}

// mostlySilent reports whether more than half of the open connections have sent no valid command.
func (a *Acceptor) mostlySilent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	silent := 0
	for c := range a.conns {
		if !c.sentCommand.Load() {
			silent++
		}
	}
	return 2*silent > len(a.conns)
}

// backlog observes the listener's queue of connections that have not been accepted.
type backlog struct {
	listener Listener
	clock    exchange.Clock

	// lastEmpty is when the queue was last seen empty.
	lastEmpty time.Duration
}

// age returns an upper limit of the time for which the queue has not been empty.
func (b *backlog) age() time.Duration {
	waiting, now := true, b.clock.Now()
	if rawConn, err := b.listener.SyscallConn(); err == nil {
		rawConn.Control(func(fd uintptr) { waiting = poll(fd, unix.POLLIN) })
	}
	if !waiting {
		b.lastEmpty = now
	}
	return now - b.lastEmpty
}

// ensureCapacity reports whether at most maxConns connections stay open once those being evicted are closed. If not, it
// evicts the connections that have been quiet for longest, among those without pending replies that have been idle for
// idleTimeout or have sent no command for firstBytesWait. So clients that keep an unused connection, or connect and
// send nothing, do not keep out those that send commands. The connection requester, which may be nil, is not evicted.
func (a *Acceptor) ensureCapacity(requester *conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now, remaining := a.clock.Now(), int64(0)
	var evictable []*conn
	for c := range a.conns {
		if c.evicting.Load() {
			continue
		}
		remaining++
		idle := now - time.Duration(c.lastActivity.Load())
		if c != requester && c.pendingReplies.Load() == 0 &&
			(idle >= idleTimeout || idle >= firstBytesWait && !c.sentCommand.Load()) {
			evictable = append(evictable, c)
		}
	}
	if remaining <= a.maxConns {
		return true
	}
	sortByActivity(evictable)
	for _, c := range evictable[:min(int64(len(evictable)), remaining-a.maxConns)] {
		remaining--
		a.evict(c)
	}
	return remaining <= a.maxConns
}

// sortByActivity sorts connections by the time of their last activity, the earliest first.
func sortByActivity(conns []*conn) {
	slices.SortFunc(conns, func(first, second *conn) int {
		return cmp.Compare(first.lastActivity.Load(), second.lastActivity.Load())
	})
}

// evict makes a connection close unless a command arrives at that moment. The caller holds the mutex.
func (a *Acceptor) evict(c *conn) {
	a.counts.ClientIdleClosed.Add(1)
	c.evicting.Store(true)
	c.net.SetReadDeadline(exchange.Past)
}

// awaitSessionCapacity waits briefly until there is capacity for the connection's session: connections that were
// accepted just before may turn out to be evictable.
func (a *Acceptor) awaitSessionCapacity(c *conn) bool {
	for range 3 {
		if a.ensureCapacity(c) {
			return true
		}
		time.Sleep(firstBytesWait)
	}
	return a.ensureCapacity(c)
}

// claimID records the id of an op that comes in. It returns false if the id must not be used.
func (a *Acceptor) claimID(id []byte) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ids.Claim(a.clock.Now(), maphash.Bytes(a.idSeed, id))
}

// releaseID records that an op has ended.
func (a *Acceptor) releaseID(op *exchange.Exchange) {
	hash := maphash.String(a.idSeed, op.ClientID)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ids.Release(a.clock.Now(), hash, a.settings.OpTypes[op.OpType].Effect, op.MayHaveRun)
}

// conn is one client connection. Its reader goroutine owns all fields down to finalBytes but replies, its writer
// goroutine does all writes.
type conn struct {
	acceptor   *Acceptor
	net        *net.TCPConn
	raw        syscall.RawConn
	readBuffer pgwire.ReadBuffer

	// ahead is input that was read ahead.
	ahead readAhead

	// flow is the connection's input in the order of turns.
	flow *flow

	// readAt is the time of the last read that returned bytes.
	readAt time.Duration

	// replies holds the replies in the order of their commands.
	replies chan reply

	// inputMemory is reserved for the long message that is being read. The acceptor's mutex is held while it is set.
	inputMemory membudget.Reservation

	// openOps holds the ops of the connection that have not ended. Ended ones are removed when an op is added.
	openOps []*exchange.Exchange

	// inputDeadline is when the message that is being read has to be complete, zero if that time is not limited.
	inputDeadline time.Time

	// idleGraceEnd is until when the connection may be idle while it is closing, zero before it is.
	idleGraceEnd time.Time

	// finalBytesKnown is true once finalBytes has been set.
	finalBytesKnown bool

	// finalBytes is how many bytes may still be read at the end of a planned stop.
	finalBytes int

	// mu guards readPaused, and with it the read deadlines that pause and resume the reader.
	mu sync.Mutex

	// readPaused is true while the reader waits for a reply to be written.
	readPaused bool

	// pendingReplies is the number of replies that are queued and not written.
	pendingReplies atomic.Int32

	// pendingCommands is the number of those that answer a command.
	pendingCommands atomic.Int32

	// lastActivity is the time of the last read or reply, as a duration since the start of the clock.
	lastActivity atomic.Int64

	// sentCommand is true once the client has sent a valid command.
	sentCommand atomic.Bool

	// evicting is true if the connection was chosen to be closed and nothing has been received since.
	evicting atomic.Bool

	// surplus is true if there is no room for the connection.
	surplus atomic.Bool

	// readingDone is true once no further command is read. The connection closes after its pending replies.
	readingDone atomic.Bool
}

// newConn returns a connection that has to be served by run.
func (a *Acceptor) newConn(netConn *net.TCPConn) (*conn, error) {
	raw, err := netConn.SyscallConn()
	if err != nil {
		return nil, err
	}
	c := &conn{acceptor: a, net: netConn, raw: raw, flow: newFlow(),
		readBuffer: pgwire.ReadBuffer{MaxMessage: a.settings.MaxMessageBytes},
		replies:    make(chan reply, choice.MaxOpenCommands+extraReplies)}
	c.lastActivity.Store(int64(a.clock.Now()))
	return c, nil
}

// run serves the connection until either side closes it. Replies to commands that were read are written before that,
// unless the client has disconnected.
func (c *conn) run() {
	a := c.acceptor
	var group errgroup.Group
	group.Go(c.writeReplies)
	reason := c.read()
	c.readBuffer = pgwire.ReadBuffer{} // what it holds is not processed any more
	c.ahead.release()
	c.releaseInput()
	if reason != errClientGone {
		reason = c.awaitReplies(reason)
	}
	if reason == errClientGone {
		for _, op := range c.openOps {
			a.dispatcher.ClientLeft(op)
		}
	}
	close(c.replies)
	group.Wait()
	c.logClose(reason)
	switch { // closing a socket with unread bytes sends a reset, which could discard the last reply
	case reason == errRejected:
		c.net.CloseWrite()
		c.net.SetReadDeadline(time.Now().Add(closeGrace))
		for err := error(nil); err == nil; {
			_, err = c.discardInput()
		}
	case reason == errClosing && c.isClosing():
		// A command that arrives now stays unread, so that the client gets a reset.
		c.net.CloseWrite()
		time.Sleep(closeGrace)
	}
	c.net.Close()
	a.mu.Lock()
	delete(a.conns, c)
	a.mu.Unlock()
	a.counts.ClientOpen.Add(-1)
	select {
	case a.connClosed <- struct{}{}:
	default:
	}
}
