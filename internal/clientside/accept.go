// Package clientside takes ops from clients and answers them. Its files follow an op: accept, read, answer.
package clientside

import (
	"context"
	"errors"
	"log"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"gorsewell/internal/counters"
	"gorsewell/internal/deployment"
	"gorsewell/internal/exchange"
	"gorsewell/internal/pgwire"
)

// lastCalls is for how long after a planned stop begins clients may still arrive: 0.4 s, and a margin.
const lastCalls = 500 * time.Millisecond

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
}

// New makes a front for at most most connections.
func New(clock exchange.Clock, desk exchange.Desk, counts *counters.Set, told *deployment.Told, most int) *Front {
	f := &Front{clock: clock, desk: desk, counts: counts, told: told, opTypes: map[string]uint8{},
		most: int64(most), conns: map[*conn]struct{}{}}
	for i, name := range told.OpTypeNames {
		f.opTypes[name] = uint8(i)
	}
	return f
}

// Serve takes clients in until the context ends and some time beyond, then lets each finish what it has asked
// for, and returns when the last one has gone.
func (f *Front) Serve(ctx context.Context, l *net.TCPListener) error {
	var group errgroup.Group
	ended := make(chan struct{})
	group.Go(func() error {
		select {
		case <-ended:
			return nil
		case <-ctx.Done():
		}
		time.Sleep(lastCalls)
		f.closing.Store(true)
		l.Close()
		f.mu.Lock()
		defer f.mu.Unlock()
		for c := range f.conns {
			c.net.SetReadDeadline(past)
		}
		return nil
	})
	err := f.accept(l, &group)
	close(ended)
	return errors.Join(err, group.Wait())
}

func (f *Front) accept(l *net.TCPListener, group *errgroup.Group) error {
	for {
		nc, err := l.AcceptTCP()
		if errors.Is(err, net.ErrClosed) && f.closing.Load() {
			return nil
		}
		if err != nil {
			var ne net.Error
			if errors.As(err, &ne) && !errors.Is(err, net.ErrClosed) {
				log.Printf("event=accept_failed error=%q", err)
				time.Sleep(10 * time.Millisecond)
				continue
			}
			return err
		}
		f.counts.ClientConns.Add(1)
		c := &conn{front: f, net: nc, queue: make(chan reply, queueSize)}
		group.Go(func() error {
			c.run()
			return nil
		})
	}
}

// past is a deadline that has gone by: it ends a read at once.
var past = time.Unix(1, 0)

// conn is one client's connection. Its reader owns the window and the list of ops, its answerer the writes.
type conn struct {
	front  *Front
	net    net.Conn
	window pgwire.Window
	queue  chan reply // in the order of the commands
	open   []*exchange.Exchange
	owed   atomic.Int32 // replies queued and not written
}

// run serves the connection until either end closes it.
func (c *conn) run() {
	f := c.front
	full := f.counts.ClientOpen.Add(1) > f.most
	defer f.counts.ClientOpen.Add(-1)
	f.mu.Lock()
	f.conns[c] = struct{}{}
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		delete(f.conns, c)
		f.mu.Unlock()
		c.net.Close()
	}()
	var group errgroup.Group
	group.Go(func() error { return c.answer() })
	c.read(full)
	for _, x := range c.open {
		f.desk.Left(x)
	}
	close(c.queue)
	group.Wait()
}
