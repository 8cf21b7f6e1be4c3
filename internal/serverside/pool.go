// Package serverside carries sends and probes to the database servers and brings back how they ended. Its
// files follow a send: pool (finds a connection), connect, send, receive.
package serverside

import (
	"context"
	"net"
	"slices"
	"sort"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"gorsewell/choice"
	"gorsewell/internal/counters"
	"gorsewell/internal/deployment"
	"gorsewell/internal/exchange"
	"gorsewell/internal/invariant"
)

// Pool holds the connections to all servers. A connection carries one send at a time and belongs to one
// goroutine, which also watches it while it is idle.
type Pool struct {
	clock    exchange.Clock
	events   exchange.Events
	counts   *counters.Set
	told     *deployment.Told
	maxConns int

	settling time.Duration // how long a connection rests after an answer

	ctx    context.Context
	group  *errgroup.Group
	mu     sync.Mutex // guards all below and the jobs' and connections' fields that say so
	addrs  map[uint32]string
	idle   map[uint32][]*conn // the one used last comes last
	out    map[*exchange.Exchange]*job
	probes map[uint32]*job // that are out, by server
	open   int
	closed bool
}

// job is one send, or one probe where x is nil.
type job struct {
	x      *exchange.Exchange
	number uint8
	server uint32
	sentAt time.Duration
	by     time.Duration // it begins before that or not at all
	due    time.Duration // its answer comes before that or not at all

	// Guarded by the pool's mutex:
	begun     bool // from here on bytes of it are written: up to then it can be withdrawn, as it has never run
	cancelled bool
	conn      *conn              // that carries it, or nil
	stop      context.CancelFunc // ends its connecting
}

// New makes a pool for at most maxConns connections. Wait must be called in the end.
func New(ctx context.Context, clock exchange.Clock, events exchange.Events, counts *counters.Set,
	told *deployment.Told, maxConns int) *Pool {
	group, ctx := errgroup.WithContext(ctx)
	return &Pool{clock: clock, events: events, counts: counts, told: told, maxConns: maxConns, settling: settling, ctx: ctx, group: group,
		addrs: map[uint32]string{}, idle: map[uint32][]*conn{}, out: map[*exchange.Exchange]*job{}, probes: map[uint32]*job{}}
}

// Wait closes all connections once the pool's context has ended, and returns when their goroutines have.
func (p *Pool) Wait() error {
	<-p.ctx.Done()
	p.mu.Lock()
	p.closed = true
	for server := range p.idle {
		p.closeIdle(server)
	}
	for _, j := range p.out {
		p.cancel(j)
	}
	p.mu.Unlock()
	return p.group.Wait()
}

// Locate tells where servers are. Connections to where they were before are not used again.
func (p *Pool) Locate(addrs map[uint32]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for server, addr := range addrs {
		if old, ok := p.addrs[server]; ok && old != addr {
			p.closeIdle(server)
		}
		p.addrs[server] = addr
	}
}

// Forget drops what is kept of a server.
func (p *Pool) Forget(server uint32) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdle(server)
	delete(p.addrs, server)
}

// Send starts a send, of which SendEnded tells the result. Where it has not begun by the time given, it never ran.
func (p *Pool) Send(x *exchange.Exchange, number uint8, server uint32, by time.Duration) {
	p.start(&job{x: x, number: number, server: server, by: min(by, x.Due), due: x.Due})
}

// Probe starts a probe, of which ProbeEnded tells the result.
func (p *Pool) Probe(server uint32) {
	p.counts.Probes.Add(1)
	due := p.clock.Now() + p.told.ConnectTimeout
	p.start(&job{server: server, by: due, due: due})
}

func (p *Pool) start(j *job) {
	j.sentAt = p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if j.x != nil {
		invariant.Check(p.out[j.x] == nil, "one send at a time is out for an op")
		p.out[j.x] = j
	} else {
		p.probes[j.server] = j
	}
	p.place(j)
}

// place gives the job an idle connection or a new one. The mutex is held.
func (p *Pool) place(j *job) {
	if c := p.rested(j.server); c != nil {
		p.counts.ServerReused.Add(1)
		c.job, j.conn = j, c
		c.net.SetReadDeadline(exchange.Past) // ends the watch of the idle connection
		return
	}
	ctx, stop := context.WithDeadline(p.ctx, p.clock.Time(min(j.sentAt+p.told.ConnectTimeout, j.by)))
	j.stop = stop
	addr := p.addrs[j.server]
	opens := addr != "" && (p.open < p.maxConns || p.makeRoom())
	if opens {
		p.open++
		p.counts.ServerOpen.Add(1)
	}
	// A goroutine even where none opens: the result must not come before this call has returned.
	p.group.Go(func() error {
		defer stop()
		if !opens {
			p.end(j, exchange.Ended{Result: choice.NotSent, Position: choice.LongPast})
			return nil
		}
		p.connect(ctx, j, addr)
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		p.counts.ServerOpen.Add(-1)
		return nil
	})
}

// rested takes an idle connection to a server, if there is one: of those that have settled the one used last, else the one
// that will be the first to settle. The mutex is held.
func (p *Pool) rested(server uint32) *conn {
	list := p.idle[server]
	if len(list) == 0 {
		return nil
	}
	settled := p.clock.Now() - p.settling
	i := max(0, sort.Search(len(list), func(i int) bool { return list[i].freed > settled })-1)
	c := list[i]
	p.take(server, i)
	return c
}

// take takes a connection out of the idle ones. The mutex is held.
func (p *Pool) take(server uint32, i int) {
	if list := slices.Delete(p.idle[server], i, i+1); len(list) > 0 {
		p.idle[server] = list
	} else {
		delete(p.idle, server)
	}
}

// makeRoom closes an idle connection, if there is one. The mutex is held.
func (p *Pool) makeRoom() bool {
	for server, list := range p.idle {
		c := list[0]
		p.take(server, 0)
		c.quit()
		return true
	}
	return false
}

// Cancel gives up a send. Its result follows all the same.
func (p *Pool) Cancel(x *exchange.Exchange, number uint8) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if j := p.out[x]; j != nil && j.number == number {
		p.cancel(j)
	}
}

// Withdraw gives up what is to go to a server and has not begun. Between the decision to send and the first byte a connection
// may have to come up: by then the server may have been announced as leaving.
func (p *Pool) Withdraw(server uint32) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if j := p.probes[server]; j != nil && !j.begun {
		p.cancel(j)
	}
	for _, j := range p.out {
		if j.server == server && !j.begun {
			p.cancel(j)
		}
	}
}

func (p *Pool) cancel(j *job) {
	j.cancelled = true
	if j.conn != nil {
		j.conn.net.SetDeadline(exchange.Past)
	} else {
		j.stop()
	}
}

// CloseIdle closes the connections to a server that are not in use.
func (p *Pool) CloseIdle(server uint32) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdle(server)
}

func (p *Pool) closeIdle(server uint32) {
	for _, c := range p.idle[server] {
		c.quit()
	}
	delete(p.idle, server)
}

// end tells the one result of a job.
func (p *Pool) end(j *job, e exchange.Ended) {
	e.Took = p.clock.Now() - j.sentAt
	p.mu.Lock()
	switch {
	case j.cancelled && !j.begun:
		e.Result = choice.NotSent
	case j.cancelled && e.Result != choice.Acked:
		e.Result = choice.Cancelled
	}
	if j.x != nil {
		delete(p.out, j.x)
	} else if p.probes[j.server] == j {
		delete(p.probes, j.server)
	}
	p.mu.Unlock()
	if j.x != nil {
		p.counts.SendEnds[e.Result].Add(1)
		p.events.SendEnded(j.x, j.number, j.server, e)
		return
	}
	if e.Result == choice.Acked {
		p.counts.ProbesAcked.Add(1)
	}
	p.events.ProbeEnded(j.server, e)
}

var dialer = net.Dialer{KeepAlive: -1}
