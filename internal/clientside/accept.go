// Package clientside takes ops from clients and answers them. Its files follow an op: accept, read, answer.
package clientside

import (
	"cmp"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"

	"gorsewell/internal/counters"
	"gorsewell/internal/deployment"
	"gorsewell/internal/exchange"
	"gorsewell/internal/pgwire"
)

// What the protocol's pages fix.
const (
	stopAcceptPeriod = 500 * time.Millisecond  // a planned stop is followed by 0.4 s of arrivals, and a margin
	closeGrace       = 20 * time.Millisecond   // for which a connection to be closed is still looked at
	firstBytesWait   = 10 * time.Millisecond   // in which the first bytes of a client that has some to say are here
	readTimeout      = 2500 * time.Millisecond // who has said nothing whole is owed an end 3 s after connecting
	idleTimeout      = 2 * time.Second         // after which a connection that owes nothing may be closed
	overflowConns    = 16                      // connections beyond maxConns, which leave or are told so
	maxBacklogAge    = 50 * time.Millisecond   // for which there may be connections in the listener's queue
	maxDrain         = 3 * time.Second         // a planned stop leaves the longest op timeout, but no more than this,
	killGrace        = 700 * time.Millisecond  // and this before the process is killed
	finalReplyTime   = 150 * time.Millisecond  // which is left for answers to what is given up then
)

// Front is where clients come in.
type Front struct {
	clock      exchange.Clock
	dispatcher exchange.Desk
	counts     *counters.Set
	settings   *deployment.Told
	opTypes    map[string]uint8
	maxConns   int64 // connections at a time

	stopping   atomic.Bool // connections are closed between ops
	mu         sync.Mutex
	conns      map[*conn]struct{}
	connClosed chan struct{}       // a connection has been closed
	openIDs    map[string]struct{} // of the ops that are open
}

// New makes a front for at most maxConns connections.
func New(clock exchange.Clock, desk exchange.Desk, counts *counters.Set, told *deployment.Told, maxConns int) *Front {
	f := &Front{clock: clock, dispatcher: desk, counts: counts, settings: told, opTypes: map[string]uint8{},
		maxConns: int64(maxConns), conns: map[*conn]struct{}{}, connClosed: make(chan struct{}, 1), openIDs: map[string]struct{}{}}
	for i, name := range told.OpTypeNames {
		f.opTypes[name] = uint8(i)
	}
	return f
}

// Serve takes clients in until the context ends and some time beyond, then lets each finish what it has asked
// for, and returns when the last one has gone. What would outlast the process is given up before it is killed.
func (f *Front) Serve(ctx context.Context, l *net.TCPListener) error {
	var group errgroup.Group
	stop := context.AfterFunc(ctx, func() {
		slog.Info("stopping")
		l.SetDeadline(time.Now().Add(stopAcceptPeriod))
	})
	err := f.accept(ctx, l, &group)
	stop()
	l.Close()
	f.stopping.Store(true)
	giveUp := time.AfterFunc(f.longestOpTimeout()+killGrace-stopAcceptPeriod-finalReplyTime, f.dispatcher.Stop)
	defer giveUp.Stop()
	f.mu.Lock()
	for c := range f.conns {
		c.net.SetReadDeadline(exchange.Past)
	}
	f.mu.Unlock()
	return errors.Join(err, group.Wait())
}

// longestOpTimeout is the op timeout for which a planned stop waits.
func (f *Front) longestOpTimeout() time.Duration {
	var longest time.Duration
	for _, t := range f.settings.OpTypes {
		longest = max(longest, t.Timeout)
	}
	return min(longest, maxDrain)
}

// accept takes connections until the listener fails, or its time is up after the context's end.
func (f *Front) accept(ctx context.Context, l *net.TCPListener, group *errgroup.Group) error {
	queue := &backlog{listener: l, clock: f.clock, lastEmpty: f.clock.Now()}
	for failing, last := false, false; ; {
		queue.age()
		nc, err := l.AcceptTCP()
		switch {
		case err != nil && errors.Is(err, os.ErrDeadlineExceeded) && ctx.Err() != nil:
			if last {
				return nil
			}
			// Once more: who waits in the listener's queue has been accepted by the machine, and may have asked.
			last = true
			l.SetDeadline(time.Now().Add(closeGrace))
			continue
		case err != nil && errors.Is(err, net.ErrClosed):
			return err
		case err != nil: // out of descriptors, or a connection that broke before it was taken
			if !failing {
				slog.Error("accept_failed", "error", err)
			}
			failing = true
			time.Sleep(closeGrace)
			continue
		}
		failing = false
		f.counts.ClientConns.Add(1)
		f.counts.ClientOpen.Add(1)
		if !f.awaitAcceptCapacity(queue) { // nobody leaves
			f.counts.ClientRefused.Add(1)
			f.counts.ClientOpen.Add(-1)
			nc.Close()
			continue
		}
		c := &conn{acceptor: f, net: nc, readBuffer: pgwire.Window{Most: f.settings.LongestMessage}, replies: make(chan reply, maxPendingCommands+extraReplies)}
		c.lastActivity.Store(int64(f.clock.Now()))
		f.mu.Lock()
		f.conns[c] = struct{}{}
		f.mu.Unlock()
		f.ensureCapacity(nil)
		group.Go(func() error {
			c.run()
			return nil
		})
	}
}

// awaitAcceptCapacity waits for the moment that those take which are on their way out; false where none leaves in time. While it waits
// others wait in the listener's queue, and their time runs unseen: where some always have for long, nobody is waited for, unless
// most places are held by clients that have said nothing, who leave within moments.
func (f *Front) awaitAcceptCapacity(b *backlog) bool {
	for i := 0; f.counts.ClientOpen.Load() > f.maxConns+overflowConns; i++ {
		if i >= overflowConns || b.age() >= maxBacklogAge && !f.mostlySilent() {
			return false
		}
		f.ensureCapacity(nil)
		select {
		case <-f.connClosed:
		case <-time.After(firstBytesWait):
		}
	}
	return true
}

// mostlySilent tells whether most of those who are here have said nothing of use.
func (f *Front) mostlySilent() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	silent := 0
	for c := range f.conns {
		if !c.sentCommand.Load() {
			silent++
		}
	}
	return 2*silent > len(f.conns)
}

// backlog is the listener's queue, as its acceptor sees it.
type backlog struct {
	listener  *net.TCPListener
	clock     exchange.Clock
	lastEmpty time.Duration // when it was last seen empty
}

// age tells for how long there have been connections in the queue, at most.
func (b *backlog) age() time.Duration {
	waiting, now := true, b.clock.Now()
	if raw, err := b.listener.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { waiting = poll(fd, unix.POLLIN) })
	}
	if !waiting {
		b.lastEmpty = now
	}
	return now - b.lastEmpty
}

// ensureCapacity tells whether no more connections than maxConns will be open once those have closed that are on their way
// out. Else it lets those go that have been quiet for longest, of those that are owed nothing and have either been idle for
// long enough or never said anything of use: clients that keep a connection for good, or connect and say nothing, must
// not keep out those who ask. The one that asks for room is not among them.
func (f *Front) ensureCapacity(forOne *conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, stay := f.clock.Now(), int64(0)
	var quiet []*conn
	for c := range f.conns {
		if c.evicting.Load() {
			continue
		}
		stay++
		idle := now - time.Duration(c.lastActivity.Load())
		if c != forOne && c.pendingReplies.Load() == 0 && (idle >= idleTimeout || idle >= firstBytesWait && !c.sentCommand.Load()) {
			quiet = append(quiet, c)
		}
	}
	if stay <= f.maxConns {
		return true
	}
	slices.SortFunc(quiet, func(a, b *conn) int { return cmp.Compare(a.lastActivity.Load(), b.lastActivity.Load()) })
	for _, c := range quiet[:min(int64(len(quiet)), stay-f.maxConns)] {
		stay--
		f.counts.ClientIdleClosed.Add(1)
		c.evicting.Store(true)
		c.net.SetReadDeadline(exchange.Past)
	}
	return stay <= f.maxConns
}

// awaitSessionCapacity waits for a moment for room: those who came just before may turn out to have nothing to say.
func (f *Front) awaitSessionCapacity(c *conn) bool {
	for range 3 {
		if f.ensureCapacity(c) {
			return true
		}
		time.Sleep(firstBytesWait)
	}
	return f.ensureCapacity(c)
}

// claimID takes note of an op that is open; false if another of its id is.
func (f *Front) claimID(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, taken := f.openIDs[id]; taken {
		return false
	}
	f.openIDs[id] = struct{}{}
	return true
}

// releaseID forgets an op.
func (f *Front) releaseID(id string) {
	f.mu.Lock()
	delete(f.openIDs, id)
	f.mu.Unlock()
}

// conn is one client's connection. Its reader owns the window and the list of ops, its answerer the writes.
type conn struct {
	acceptor       *Front
	net            *net.TCPConn
	readBuffer     pgwire.Window
	replies        chan reply // in the order of the commands
	openOps        []*exchange.Exchange
	finalReadDone  bool         // for a last command, at a planned stop
	mu             sync.Mutex   // around the reader's going to sleep and its waking
	readPaused     bool         // the reader waits for an answer to be written
	pendingReplies atomic.Int32 // replies queued and not written

	pendingCommands atomic.Int32 // of them, those to commands
	lastActivity    atomic.Int64 // when the last bytes came or went, a span
	sentCommand     atomic.Bool  // a command has come that could be taken
	evicting        atomic.Bool  // it is to make room and has not been heard of since
	readingDone     atomic.Bool  // no command is read any more: what was taken is answered, then it is closed
}

// run serves the connection until either end closes it. What was taken is answered first, unless the client
// has gone.
func (c *conn) run() {
	f := c.acceptor
	var group errgroup.Group
	group.Go(c.writeReplies)
	why := c.read()
	if why != errClientGone {
		why = c.awaitReplies(why)
	}
	if why == errClientGone {
		for _, x := range c.openOps {
			f.dispatcher.Left(x)
		}
	}
	close(c.replies)
	group.Wait()
	switch { // closing on unread bytes would take back what was just written
	case why == errRejected:
		c.net.CloseWrite()
		c.net.SetReadDeadline(time.Now().Add(closeGrace))
		io.Copy(io.Discard, c.net)
	case why == errClosing && f.stopping.Load(): // a command that crosses this is not to look read
		c.net.CloseWrite()
		time.Sleep(closeGrace)
	}
	c.net.Close()
	f.mu.Lock()
	delete(f.conns, c)
	f.mu.Unlock()
	f.counts.ClientOpen.Add(-1)
	select {
	case f.connClosed <- struct{}{}:
	default:
	}
}
