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
	settings *deployment.Told
	maxConns int

	quietPeriod time.Duration // how long a connection rests after an answer

	ctx       context.Context
	group     *errgroup.Group
	mu        sync.Mutex // guards all below and the jobs' and connections' fields that say so
	addrs     map[uint32]string
	idle      map[uint32][]*conn // the one used last comes last
	sends     map[*exchange.Exchange]*job
	probes    map[uint32]*job // that are out, by server
	openConns int
	closed    bool
}

// job is one send, or one probe where x is nil.
type job struct {
	op          *exchange.Exchange
	number      uint8
	server      uint32
	submittedAt time.Duration
	startBy     time.Duration // it begins before that or not at all
	deadline    time.Duration // its answer comes before that or not at all

	// Guarded by the pool's mutex:
	started       bool // from here on bytes of it are written: up to then it can be withdrawn, as it has never run
	cancelled     bool
	conn          *conn              // that carries it, or nil
	cancelConnect context.CancelFunc // ends its connecting
}

// New makes a pool for at most maxConns connections. Wait must be called in the end.
func New(ctx context.Context, clock exchange.Clock, events exchange.Events, counts *counters.Set,
	told *deployment.Told, maxConns int) *Pool {
	group, ctx := errgroup.WithContext(ctx)
	return &Pool{clock: clock, events: events, counts: counts, settings: told, maxConns: maxConns, quietPeriod: quietPeriod, ctx: ctx, group: group,
		addrs: map[uint32]string{}, idle: map[uint32][]*conn{}, sends: map[*exchange.Exchange]*job{}, probes: map[uint32]*job{}}
}

// Wait closes all connections once the pool's context has ended, and returns when their goroutines have.
func (p *Pool) Wait() error {
	<-p.ctx.Done()
	p.mu.Lock()
	p.closed = true
	for server := range p.idle {
		p.closeIdle(server)
	}
	for _, j := range p.sends {
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
	p.submit(&job{op: x, number: number, server: server, startBy: min(by, x.Due), deadline: x.Due})
}

// Probe starts a probe, of which ProbeEnded tells the result.
func (p *Pool) Probe(server uint32) {
	p.counts.Probes.Add(1)
	due := p.clock.Now() + p.settings.ConnectTimeout
	p.submit(&job{server: server, startBy: due, deadline: due})
}

func (p *Pool) submit(j *job) {
	j.submittedAt = p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if j.op != nil {
		invariant.Check(p.sends[j.op] == nil, "one send at a time is out for an op")
		p.sends[j.op] = j
	} else {
		p.probes[j.server] = j
	}
	p.assign(j)
}

// assign gives the job an idle connection or a new one. The mutex is held.
func (p *Pool) assign(j *job) {
	if c := p.takeIdle(j.server); c != nil {
		p.counts.ServerReused.Add(1)
		c.job, j.conn = j, c
		c.net.SetReadDeadline(exchange.Past) // ends the watch of the idle connection
		return
	}
	ctx, stop := context.WithDeadline(p.ctx, p.clock.Time(min(j.submittedAt+p.settings.ConnectTimeout, j.startBy)))
	j.cancelConnect = stop
	addr := p.addrs[j.server]
	opens := addr != "" && (p.openConns < p.maxConns || p.evictIdle())
	if opens {
		p.openConns++
		p.counts.ServerOpen.Add(1)
	}
	// A goroutine even where none opens: the result must not come before this call has returned.
	p.group.Go(func() error {
		defer stop()
		if !opens {
			p.finish(j, exchange.Ended{Result: choice.NotSent, Position: choice.LongPast})
			return nil
		}
		p.connect(ctx, j, addr)
		p.mu.Lock()
		p.openConns--
		p.mu.Unlock()
		p.counts.ServerOpen.Add(-1)
		return nil
	})
}

// takeIdle takes an idle connection to a server, if there is one: of those that have settled the one used last, else the one
// that will be the first to settle. The mutex is held.
func (p *Pool) takeIdle(server uint32) *conn {
	list := p.idle[server]
	if len(list) == 0 {
		return nil
	}
	settled := p.clock.Now() - p.quietPeriod
	i := max(0, sort.Search(len(list), func(i int) bool { return list[i].releasedAt > settled })-1)
	c := list[i]
	p.removeIdleAt(server, i)
	return c
}

// removeIdleAt takes a connection out of the idle ones. The mutex is held.
func (p *Pool) removeIdleAt(server uint32, i int) {
	if list := slices.Delete(p.idle[server], i, i+1); len(list) > 0 {
		p.idle[server] = list
	} else {
		delete(p.idle, server)
	}
}

// evictIdle closes an idle connection, if there is one. The mutex is held.
func (p *Pool) evictIdle() bool {
	for server, list := range p.idle {
		c := list[0]
		p.removeIdleAt(server, 0)
		c.close()
		return true
	}
	return false
}

// Cancel gives up a send. Its result follows all the same.
func (p *Pool) Cancel(x *exchange.Exchange, number uint8) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if j := p.sends[x]; j != nil && j.number == number {
		p.cancel(j)
	}
}

// Withdraw gives up what is to go to a server and has not begun. Between the decision to send and the first byte a connection
// may have to come up: by then the server may have been announced as leaving.
func (p *Pool) Withdraw(server uint32) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if j := p.probes[server]; j != nil && !j.started {
		p.cancel(j)
	}
	for _, j := range p.sends {
		if j.server == server && !j.started {
			p.cancel(j)
		}
	}
}

func (p *Pool) cancel(j *job) {
	j.cancelled = true
	if j.conn != nil {
		j.conn.net.SetDeadline(exchange.Past)
	} else {
		j.cancelConnect()
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
		c.close()
	}
	delete(p.idle, server)
}

// finish tells the one result of a job.
func (p *Pool) finish(j *job, e exchange.Ended) {
	e.Took = p.clock.Now() - j.submittedAt
	p.mu.Lock()
	switch {
	case j.cancelled && !j.started:
		e.Result = choice.NotSent
	case j.cancelled && e.Result != choice.Acked:
		e.Result = choice.Cancelled
	}
	if j.op != nil {
		delete(p.sends, j.op)
	} else if p.probes[j.server] == j {
		delete(p.probes, j.server)
	}
	p.mu.Unlock()
	if j.op != nil {
		p.counts.SendEnds[e.Result].Add(1)
		p.events.SendEnded(j.op, j.number, j.server, e)
		return
	}
	if e.Result == choice.Acked {
		p.counts.ProbesAcked.Add(1)
	}
	p.events.ProbeEnded(j.server, e)
}

var dialer = net.Dialer{KeepAlive: -1}
