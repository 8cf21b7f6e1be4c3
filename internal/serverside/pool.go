// Package serverside executes sends and probes on the database servers and reports their results. Its files follow
// the path of a send: pool (finds a connection), connect, send, receive.
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
	"gorsewell/internal/eventlog"
	"gorsewell/internal/exchange"
	"gorsewell/internal/invariant"
	"gorsewell/internal/membudget"
)

// Pool holds the connections to all servers. A connection executes one job at a time and has its own goroutine, which
// also watches it while it is idle.
type Pool struct {
	clock    exchange.Clock
	events   exchange.Events
	counts   *counters.Set
	settings *deployment.Settings
	maxConns int

	// answers limits the memory of long messages from servers.
	answers *membudget.Budget

	// localErrors logs connections that could not be opened for want of resources of this machine.
	localErrors *eventlog.Log

	// dial opens a connection.
	dial func(ctx context.Context, network, addr string) (net.Conn, error)

	// quietPeriod is the constant of this name, except in tests.
	quietPeriod time.Duration

	ctx   context.Context
	group *errgroup.Group

	// mu guards all fields below and those fields of jobs and connections that say so.
	mu sync.Mutex

	// addrs holds the address of each server.
	addrs map[uint32]string

	// idle holds the idle connections to each server, the most recently used one last.
	idle map[uint32][]*conn

	// sends holds the open send of each op.
	sends map[*exchange.Exchange]*job

	// probes holds the open probe of each server.
	probes map[uint32]*job

	// openConns is the number of connections that are open or being opened.
	openConns int

	// closed is true once no connection may become idle any more.
	closed bool
}

// job is a send, or a probe if op is nil.
type job struct {
	op *exchange.Exchange

	// number is the number of the send among the sends of its op.
	number uint8

	server      uint32
	submittedAt time.Duration

	// beginBy is the time before which the job has to start. Otherwise it is not executed.
	beginBy time.Duration

	// deadline is the time before which the response has to arrive.
	deadline time.Duration

	// started is true once the job's query is being written. Until then the job can be withdrawn and is known not to
	// have run. It is guarded by the pool's mutex.
	started bool

	// cancelled is guarded by the pool's mutex.
	cancelled bool

	// conn is the connection of the job, or nil. It is guarded by the pool's mutex.
	conn *conn

	// cancelConnect cancels the opening of a connection. It is guarded by the pool's mutex.
	cancelConnect context.CancelFunc

	// cancelWait cancels the wait for memory, if there is one. It is guarded by the pool's mutex.
	cancelWait context.CancelFunc
}

// New returns a pool of at most maxConns connections. The caller has to call Wait at the end.
func New(ctx context.Context, clock exchange.Clock, events exchange.Events, counts *counters.Set,
	settings *deployment.Settings, maxConns int) *Pool {
	group, ctx := errgroup.WithContext(ctx)
	return &Pool{clock: clock, events: events, counts: counts, settings: settings, maxConns: maxConns,
		answers: newAnswerBudget(settings.MemoryBytes), quietPeriod: quietPeriod,
		localErrors: eventlog.New(), dial: dialer.DialContext, ctx: ctx, group: group, addrs: map[uint32]string{}, idle: map[uint32][]*conn{},
		sends: map[*exchange.Exchange]*job{}, probes: map[uint32]*job{}}
}

// Wait waits for the end of the pool's context, closes all connections and returns when their goroutines have returned.
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

// Locate sets the addresses of servers. Idle connections to a previous address are closed.
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

// Forget removes the address of a server and closes the idle connections to it.
func (p *Pool) Forget(server uint32) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdle(server)
	delete(p.addrs, server)
}

// Send submits a send. SendEnded reports its result. A send that has not started by beginBy is never executed.
func (p *Pool) Send(op *exchange.Exchange, number uint8, server uint32, beginBy time.Duration) {
	p.submit(&job{op: op, number: number, server: server, beginBy: min(beginBy, op.Deadline), deadline: op.Deadline})
}

// Probe submits a probe. ProbeEnded reports its result.
func (p *Pool) Probe(server uint32) {
	p.counts.Probes.Add(1)
	deadline := p.clock.Now() + p.settings.ConnectTimeout
	p.submit(&job{server: server, beginBy: deadline, deadline: deadline})
}

func (p *Pool) submit(j *job) {
	j.submittedAt = p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if j.op != nil {
		invariant.Check(p.sends[j.op] == nil, "an op has at most one open send")
		p.sends[j.op] = j
	} else {
		p.probes[j.server] = j
	}
	p.assign(j)
}

// assign hands the job to an idle connection or opens a new one for it. The caller holds the mutex.
func (p *Pool) assign(j *job) {
	if c := p.takeIdle(j.server); c != nil {
		p.counts.ServerReused.Add(1)
		c.job, j.conn = j, c
		c.net.SetReadDeadline(exchange.Past) // wakes the goroutine that watches the idle connection
		return
	}
	ctx, cancel := context.WithDeadline(p.ctx, p.clock.Time(min(j.submittedAt+p.settings.ConnectTimeout, j.beginBy)))
	j.cancelConnect = cancel
	addr := p.addrs[j.server]
	canConnect := addr != "" && (p.openConns < p.maxConns || p.evictIdle())
	if canConnect {
		p.openConns++
		p.counts.ServerOpen.Add(1)
	}
	// A goroutine is used even if no connection can be opened: the result must not be reported before this call has
	// returned.
	p.group.Go(func() error {
		defer cancel()
		if !canConnect {
			p.finish(j, exchange.AttemptResult{Result: choice.NotSent, Position: choice.LongPast})
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

// takeIdle removes and returns an idle connection to the server, or returns nil if there is none. It prefers the most
// recently used connection whose quiet period is over, else the one whose quiet period ends first. The caller holds the
// mutex.
func (p *Pool) takeIdle(server uint32) *conn {
	idle := p.idle[server]
	if len(idle) == 0 {
		return nil
	}
	quietSince := p.clock.Now() - p.quietPeriod
	i := max(0, sort.Search(len(idle), func(i int) bool { return idle[i].releasedAt > quietSince })-1)
	c := idle[i]
	p.removeIdleAt(server, i)
	return c
}

// removeIdleAt removes the connection at index i from the idle list of the server. The caller holds the mutex.
func (p *Pool) removeIdleAt(server uint32, i int) {
	if idle := slices.Delete(p.idle[server], i, i+1); len(idle) > 0 {
		p.idle[server] = idle
	} else {
		delete(p.idle, server)
	}
}

// evictIdle closes an idle connection and returns false if there is none. The caller holds the mutex.
func (p *Pool) evictIdle() bool {
	for server, idle := range p.idle {
		c := idle[0]
		p.removeIdleAt(server, 0)
		c.shutdown()
		return true
	}
	return false
}

// Cancel cancels a send. Its result is still reported.
func (p *Pool) Cancel(op *exchange.Exchange, number uint8) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if j := p.sends[op]; j != nil && j.number == number {
		p.cancel(j)
	}
}

// Withdraw cancels the jobs for a server that have not started. A connection may have to be opened between the decision
// to send and the first byte, and in the meantime the server may have been announced as leaving.
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

// cancel ends the I/O of the job. The caller holds the mutex.
func (p *Pool) cancel(j *job) {
	j.cancelled = true
	if j.cancelWait != nil {
		j.cancelWait()
	}
	if j.conn != nil {
		j.conn.net.SetDeadline(exchange.Past)
	} else {
		j.cancelConnect()
	}
}

// CloseIdle closes the idle connections to a server.
func (p *Pool) CloseIdle(server uint32) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdle(server)
}

// closeIdle is CloseIdle for a caller that holds the mutex.
func (p *Pool) closeIdle(server uint32) {
	for _, c := range p.idle[server] {
		c.shutdown()
	}
	delete(p.idle, server)
}

// finish reports the result of a job. It is called exactly once for each job.
func (p *Pool) finish(j *job, result exchange.AttemptResult) {
	result.Took = p.clock.Now() - j.submittedAt
	p.mu.Lock()
	switch {
	case j.cancelled && !j.started:
		result.Result = choice.NotSent
	case j.cancelled && result.Result != choice.Acked:
		result.Result = choice.Cancelled
	}
	if j.op != nil {
		delete(p.sends, j.op)
	} else if p.probes[j.server] == j {
		delete(p.probes, j.server)
	}
	p.mu.Unlock()
	if j.op != nil {
		p.counts.SendEnds[result.Result].Add(1)
		p.events.SendEnded(j.op, j.number, j.server, result)
		return
	}
	if result.Result == choice.Acked {
		p.counts.ProbesAcked.Add(1)
	}
	p.events.ProbeEnded(j.server, result)
}

// dialer disables TCP keep-alive.
var dialer = net.Dialer{KeepAlive: -1}
