// Package clientside takes ops from clients and answers them. Its files follow an op: accept, read, answer.
package clientside

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"gorsewell/internal/counters"
	"gorsewell/internal/deployment"
	"gorsewell/internal/exchange"
	"gorsewell/internal/pgwire"
)

// What the protocol's pages fix.
const (
	lastCalls   = 500 * time.Millisecond  // a planned stop is followed by 0.4 s of arrivals, and a margin
	crossing    = 20 * time.Millisecond   // for which a connection to be closed is still looked at
	spokeWithin = 2500 * time.Millisecond // who has said nothing whole is owed an end 3 s after connecting
	idleFor     = 2 * time.Second         // after which a connection that owes nothing may be closed
	turnedAway  = 16                      // connections beyond the most, each of which is told so
)

// Front is where clients come in.
type Front struct {
	clock   exchange.Clock
	desk    exchange.Desk
	counts  *counters.Set
	told    *deployment.Told
	opTypes map[string]uint8
	most    int64 // connections at a time

	closing atomic.Bool // connections are closed between ops
	mu      sync.Mutex
	conns   map[*conn]struct{}
	ids     map[string]struct{} // of the ops that are open
}

// New makes a front for at most most connections.
func New(clock exchange.Clock, desk exchange.Desk, counts *counters.Set, told *deployment.Told, most int) *Front {
	f := &Front{clock: clock, desk: desk, counts: counts, told: told, opTypes: map[string]uint8{},
		most: int64(most), conns: map[*conn]struct{}{}, ids: map[string]struct{}{}}
	for i, name := range told.OpTypeNames {
		f.opTypes[name] = uint8(i)
	}
	return f
}

// Serve takes clients in until the context ends and some time beyond, then lets each finish what it has asked
// for, and returns when the last one has gone.
func (f *Front) Serve(ctx context.Context, l *net.TCPListener) error {
	var group errgroup.Group
	stop := context.AfterFunc(ctx, func() {
		log.Printf("event=stopping")
		l.SetDeadline(time.Now().Add(lastCalls))
	})
	err := f.accept(ctx, l, &group)
	stop()
	l.Close()
	f.closing.Store(true)
	f.mu.Lock()
	for c := range f.conns {
		c.net.SetReadDeadline(exchange.Past)
	}
	f.mu.Unlock()
	return errors.Join(err, group.Wait())
}

// accept takes connections until the listener fails, or its time is up after the context's end.
func (f *Front) accept(ctx context.Context, l *net.TCPListener, group *errgroup.Group) error {
	for failing := false; ; {
		nc, err := l.AcceptTCP()
		switch {
		case err != nil && errors.Is(err, os.ErrDeadlineExceeded) && ctx.Err() != nil:
			return nil
		case err != nil && errors.Is(err, net.ErrClosed):
			return err
		case err != nil: // out of descriptors, or a connection that broke before it was taken
			if !failing {
				log.Printf("event=accept_failed error=%q", err)
			}
			failing = true
			time.Sleep(crossing)
			continue
		}
		failing = false
		f.counts.ClientConns.Add(1)
		open := f.counts.ClientOpen.Add(1)
		if open > f.most+turnedAway {
			f.counts.ClientRefused.Add(1)
			f.counts.ClientOpen.Add(-1)
			nc.Close()
			continue
		}
		c := &conn{front: f, net: nc, window: pgwire.Window{Most: f.told.LongestMessage}, queue: make(chan reply, queueSize+1)}
		c.heard.Store(int64(f.clock.Now()))
		full := open > f.most && !f.makeRoom()
		f.mu.Lock()
		f.conns[c] = struct{}{}
		f.mu.Unlock()
		group.Go(func() error {
			c.run(full)
			return nil
		})
	}
}

// makeRoom lets the connection go that has been quiet for longest, if there is one that is owed nothing and has
// either been idle for long enough or never said anything whole: clients that keep a connection for good or connect and
// say nothing must not keep out those who ask.
func (f *Front) makeRoom() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	var quietest *conn
	since := int64(f.clock.Now())
	for c := range f.conns {
		heard := c.heard.Load()
		idle := f.clock.Now()-time.Duration(heard) >= idleFor || !c.spoke.Load()
		if idle && heard < since && c.owed.Load() == 0 && !c.leaving.Load() {
			quietest, since = c, heard
		}
	}
	if quietest == nil {
		return false
	}
	f.counts.ClientIdleClosed.Add(1)
	quietest.leaving.Store(true)
	quietest.net.SetReadDeadline(exchange.Past)
	return true
}

// opens takes note of an op that is open; false if another of its id is.
func (f *Front) opens(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, taken := f.ids[id]; taken {
		return false
	}
	f.ids[id] = struct{}{}
	return true
}

// closed forgets an op.
func (f *Front) closed(id string) {
	f.mu.Lock()
	delete(f.ids, id)
	f.mu.Unlock()
}

// conn is one client's connection. Its reader owns the window and the list of ops, its answerer the writes.
type conn struct {
	front  *Front
	net    *net.TCPConn
	window pgwire.Window
	queue  chan reply // in the order of the commands
	open   []*exchange.Exchange
	owed   atomic.Int32 // replies queued and not written

	heard   atomic.Int64 // when the last bytes came or went, a span
	spoke   atomic.Bool  // a whole command has come
	leaving atomic.Bool  // it is to make room and has not been heard of since
}

// run serves the connection until either end closes it. What was taken is answered first, unless the client
// has gone.
func (c *conn) run(full bool) {
	f := c.front
	var group errgroup.Group
	group.Go(c.answer)
	err := c.read(full)
	if errors.Is(err, errGone) {
		for _, x := range c.open {
			f.desk.Left(x)
		}
	}
	close(c.queue)
	group.Wait()
	if errors.Is(err, errOver) { // closing on unread bytes would take back what was just written
		c.net.CloseWrite()
		c.net.SetReadDeadline(time.Now().Add(crossing))
		io.Copy(io.Discard, c.net)
	}
	c.net.Close()
	f.mu.Lock()
	delete(f.conns, c)
	f.mu.Unlock()
	f.counts.ClientOpen.Add(-1)
}
