// Package clientside accepts client connections, reads ops from them and writes the replies. Its files follow the path
// of an op: accept, startup, input, command, answer.
package clientside

import (
	"context"
	"errors"
	"hash/maphash"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"gorsewell/choice"
	"gorsewell/internal/counters"
	"gorsewell/internal/deployment"
	"gorsewell/internal/eventlog"
	"gorsewell/internal/exchange"
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

	// turns has all input processed in turns.
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
	a := &Acceptor{
		clock:      clock,
		dispatcher: dispatcher,
		counts:     counts,
		events:     eventlog.New(),
		settings:   settings,
		opTypes:    map[string]uint8{},
		budgets:    newInputBudgets(settings.MemoryBytes),
		turns:      newTurns(clock, settings.Cores),
		maxConns:   int64(maxConns),
		conns:      map[*conn]struct{}{},
		connClosed: make(chan struct{}, 1),
		ids:        choice.NewIDGuard(),
		idSeed:     maphash.MakeSeed(),
	}
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
	queue := &backlog{listener: l, clock: a.clock, lastEmpty: a.clock.Now(), flow: newFlow()}
	queue.flow.Weight = choice.AcceptWeight
	for failing, lastRound := false, false; ; {
		queue.age()
		netConn, err := a.acceptNext(l, queue)
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
		hasRoom := a.awaitAcceptCapacity(queue)
		a.turns.await(queue.flow)
		a.begin(netConn, queue.lastEmpty, hasRoom, group)
		a.turns.end(queue.flow)
	}
}

// acceptNext accepts a connection. The time that this takes counts with the next turn, unless it was spent on waiting.
func (a *Acceptor) acceptNext(l Listener, queue *backlog) (*net.TCPConn, error) {
	queue.flow.Backlogged = queue.waiting
	start := a.clock.Now()
	netConn, err := l.AcceptTCP()
	if queue.waiting {
		queue.flow.readTime += a.clock.Now() - start
	}
	return netConn, err
}

// begin serves a new connection, which did not exist before a time, if there is room for it, and refuses it otherwise.
func (a *Acceptor) begin(netConn *net.TCPConn, began time.Duration, hasRoom bool, group *errgroup.Group) {
	if !hasRoom {
		a.counts.ClientRefused.Add(1)
		a.counts.ClientOpen.Add(-1)
		refuseArrived(netConn, a.settings.MaxMessageBytes)
		netConn.Close()
		return
	}
	c, err := a.newConn(netConn)
	if err != nil { // it is closed
		a.counts.ClientOpen.Add(-1)
		return
	}
	c.presence.tracker.ConnectionBegan(began)
	a.mu.Lock()
	a.conns[c] = struct{}{}
	a.mu.Unlock()
	a.ensureCapacity(nil)
	group.Go(func() error {
		c.run()
		return nil
	})
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
