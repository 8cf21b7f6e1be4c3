// Package dispatch runs the decision module: it owns the gateway, its timers and the table of exchanges, turns
// what happens into calls of the module and carries out what the module wants.
package dispatch

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"gorsewell/choice"
	"gorsewell/internal/counters"
	"gorsewell/internal/exchange"
	"gorsewell/internal/invariant"
)

// Servers is the server side as the module needs it. No call may block or call back.
type Servers interface {
	Send(x *exchange.Exchange, number uint8, server uint32, by time.Duration)
	Withdraw(server uint32)
	Cancel(x *exchange.Exchange, number uint8)
	Probe(server uint32)
	CloseIdle(server uint32)
	Locate(addrs map[uint32]string)
	Forget(server uint32)
}

// Discovery is the source of lists as the module needs it. No call may block or call back.
type Discovery interface {
	Ask()
	Watch()
	Forget(server uint32)
}

// Sharing passes on what this gateway sees of servers and takes what others see, by Dispatch.Rumour. No call may block
// or call back.
type Sharing interface {
	Trouble(server uint32, t choice.Trouble)
	Acked(server uint32, sentAt time.Duration)
	Forget(server uint32)
	Listed(addrs map[uint32]string) // servers that the list has named; Forget follows for those that go
}

// Dispatch is the host of one gateway's decision module.
type Dispatch struct {
	clock     exchange.Clock
	servers   Servers
	discovery Discovery
	gossip    Sharing // or nil
	counts    *counters.Set

	mu          sync.Mutex // around every call of the module, and all below
	gateway     *choice.Gateway
	table       map[uint32]*entry
	lastID      uint32        // id handed out
	lastTime    time.Duration // the newest time told to the module
	timers      map[uint32]time.Duration
	nextWake    time.Duration // when Run looks at the timers again
	wakeEarlier chan struct{} // a timer was set for before that
}

// entry is an exchange with the number of sends made for it.
type entry struct {
	*exchange.Exchange
	sends uint8
}

// New makes the module's host. Start follows once all parts are there.
func New(clock exchange.Clock, counts *counters.Set) *Dispatch {
	return &Dispatch{clock: clock, counts: counts, table: map[uint32]*entry{},
		timers: map[uint32]time.Duration{}, wakeEarlier: make(chan struct{}, 1)}
}

// Start makes the module and hands it the list that was known at the start.
func (d *Dispatch) Start(s Servers, l Discovery, told *choice.Deployment, known []choice.Listed, addrs map[uint32]string) {
	d.mu.Lock()
	d.servers, d.discovery = s, l
	d.gateway = choice.New(d, told)
	d.mu.Unlock()
	d.Listed(choice.ListCached, known, addrs)
}

// Run calls the module's timers until the context ends.
func (d *Dispatch) Run(ctx context.Context) error {
	wake := time.NewTimer(0)
	defer wake.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.wakeEarlier:
		case <-wake.C:
		}
		wake.Reset(d.tick())
	}
}

// tick calls the timers that are due and returns how long the next one is off.
func (d *Dispatch) tick() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	d.nextWake = now // what is set from here on needs no waking
	var due []uint32
	for id, at := range d.timers {
		if at <= now {
			due = append(due, id)
		}
	}
	for _, id := range due {
		delete(d.timers, id)
		d.gateway.Timer(now, id)
	}
	d.nextWake = now + time.Hour
	for _, at := range d.timers {
		d.nextWake = min(d.nextWake, at)
	}
	return max(0, d.nextWake-d.clock.Now())
}

// now is the time of the event being handled. The mutex is held.
func (d *Dispatch) now() time.Duration {
	now := d.clock.Now()
	invariant.Check(now >= d.lastTime, "the module's time never goes back")
	d.lastTime = now
	return now
}

// Take hands an op over; its time counts from here.
func (d *Dispatch) Take(x *exchange.Exchange) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	d.lastID++
	for d.table[d.lastID] != nil {
		d.lastID++
	}
	x.ID = d.lastID
	d.table[x.ID] = &entry{Exchange: x}
	d.counts.Taken.Add(1)
	d.counts.Held.Add(1)
	ago := time.Duration(0) // no last write is told
	if x.After != choice.LongPast {
		ago = max(1, now-x.After)
	}
	d.gateway.Op(now, x.ID, x.OpType, x.Session, x.Due, x.Group, ago, x.Again)
}

// Left says that an op's client has gone.
func (d *Dispatch) Left(x *exchange.Exchange) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if x.Outcome == exchange.Held {
		d.finish(x, exchange.Left)
		d.gateway.ClientGone(d.now(), x.ID)
	}
}

// Stop gives up what is held: the process is about to end, and to be told so is better than to be cut off.
func (d *Dispatch) Stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.gateway.Stop(d.now())
}

// finish gives an op its end, once.
func (d *Dispatch) finish(x *exchange.Exchange, how exchange.Outcome) {
	invariant.Check(x.Outcome == exchange.Held, "an op ends once")
	if x.Outcome != exchange.Held {
		return
	}
	x.Outcome = how
	d.counts.Held.Add(-1)
	switch how {
	case exchange.Acked:
		d.counts.Acked.Add(1)
	case exchange.BusyReplied:
		d.counts.BusyReplied.Add(1)
	case exchange.Errored:
		d.counts.Errored.Add(1)
	case exchange.Left:
		d.counts.Left.Add(1)
	}
	close(x.Done)
	d.removeIfDone(x)
}

// removeIfDone drops an exchange of which nothing more can come.
func (d *Dispatch) removeIfDone(x *exchange.Exchange) {
	if x.Outcome != exchange.Held && !x.Out {
		delete(d.table, x.ID)
	}
}

// SendEnded takes the one result of a send. The first ack goes to the client.
func (d *Dispatch) SendEnded(x *exchange.Exchange, number uint8, server uint32, e exchange.Ended) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	invariant.Check(x.Out, "a send ends once")
	x.Out = false
	if e.Result == choice.Acked && d.gossip != nil && e.Took <= x.Target {
		d.gossip.Acked(server, now-e.Took)
	}
	if e.Result == choice.Acked && x.Outcome == exchange.Held {
		x.Answer = e.Answer
		d.finish(x, exchange.Acked)
	}
	d.removeIfDone(x)
	d.report(now, server, e.Report)
	d.gateway.Answer(now, x.ID, number, server, e.Result, e.Took, x.Outcome != exchange.Held, e.Role, e.Position)
}

// ProbeEnded takes the one result of a probe.
func (d *Dispatch) ProbeEnded(server uint32, e exchange.Ended) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	d.report(now, server, e.Report)
	d.gateway.ProbeAnswer(now, server, e.Result, e.Took)
}

func (d *Dispatch) report(now time.Duration, server uint32, r *exchange.Report) {
	if r != nil {
		d.gateway.Report(now, server, r.Role, r.Position)
	}
}

// Share sets up sharing with other gateways. It is called before Start, or not at all.
func (d *Dispatch) Share(s Sharing) { d.gossip = s }

// Rumour hands over how many other gateways, weighed, say that a server is in trouble.
func (d *Dispatch) Rumour(server uint32, weight float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.gateway.Rumour(d.now(), server, weight)
}

// Listed hands over what discovery tells: addresses first, as the module may send at once, and under the mutex, as it may
// forget a server that is listed again.
func (d *Dispatch) Listed(scope choice.ListScope, listed []choice.Listed, addrs map[uint32]string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.servers.Locate(addrs)
	d.gateway.List(d.now(), scope, listed)
	if d.gossip != nil && scope != choice.ListFailed {
		d.gossip.Listed(addrs)
	}
}

// Send implements choice.Host, as do all methods below.
func (d *Dispatch) Send(op, server uint32, by time.Duration) {
	x := d.table[op]
	invariant.Check(x != nil && x.Outcome == exchange.Held && !x.Out, "a send is for a held op with none out")
	if x == nil {
		return
	}
	x.Out = true
	x.sends++
	d.servers.Send(x.Exchange, x.sends-1, server, by)
}

func (d *Dispatch) BusyReply(op uint32, comeBackIn time.Duration) {
	if x := d.table[op]; x != nil && x.Outcome == exchange.Held {
		x.ComeBackIn = comeBackIn
		d.finish(x.Exchange, exchange.BusyReplied)
	}
}

func (d *Dispatch) Error(op uint32) {
	if x := d.table[op]; x != nil && x.Outcome == exchange.Held {
		d.finish(x.Exchange, exchange.Errored)
	}
}

func (d *Dispatch) Cancel(op uint32, send uint8) {
	if x := d.table[op]; x != nil && x.Out {
		d.servers.Cancel(x.Exchange, send)
	}
}

func (d *Dispatch) Timer(id uint32, at time.Duration) {
	d.timers[id] = at
	if at >= d.nextWake {
		return
	}
	select {
	case d.wakeEarlier <- struct{}{}:
	default:
	}
}

func (d *Dispatch) Probe(server uint32)     { d.servers.Probe(server) }
func (d *Dispatch) Withdraw(server uint32)  { d.servers.Withdraw(server) }
func (d *Dispatch) AskList()                { d.discovery.Ask() }
func (d *Dispatch) WatchList()              { d.discovery.Watch() }
func (d *Dispatch) CloseIdle(server uint32) { d.servers.CloseIdle(server) }
func (d *Dispatch) Forget(server uint32) {
	d.servers.Forget(server)
	d.discovery.Forget(server)
	if d.gossip != nil {
		d.gossip.Forget(server)
	}
}

// Trouble hands what the gateway has seen of a server to those who share it with others, if there are any.
func (d *Dispatch) Trouble(server uint32, t choice.Trouble) {
	if d.gossip != nil {
		d.gossip.Trouble(server, t)
	}
}

func (d *Dispatch) Log(line string) { slog.Info("decision", "what", line) }
