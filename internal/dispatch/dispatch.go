// Package dispatch runs the decision module, package choice. It owns the module's Gateway, its timers and the table of
// open exchanges, turns events into calls of the module, and carries out the actions that the module requests.
package dispatch

import (
	"context"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"gorsewell/choice"
	"gorsewell/internal/counters"
	"gorsewell/internal/eventlog"
	"gorsewell/internal/exchange"
	"gorsewell/internal/invariant"
)

// Servers is the server side of the gateway. Its methods are called with the Dispatch's mutex held: they must neither
// block nor call the Dispatch.
type Servers interface {
	// Send sends an op to a server. The send ends as NotSent if it has not begun by beginBy.
	Send(x *exchange.Exchange, number uint8, server uint32, beginBy time.Duration)
	// Withdraw ends the sends to a server that have not begun.
	Withdraw(server uint32)
	// Cancel stops waiting for the result of a send.
	Cancel(x *exchange.Exchange, number uint8)
	// Probe starts a probe.
	Probe(server uint32)
	// CloseIdle closes the idle connections to a server.
	CloseIdle(server uint32)
	// Locate sets the addresses of servers.
	Locate(addrs map[uint32]string)
	// Forget frees all resources of a server.
	Forget(server uint32)
}

// Discovery is the source of server lists. Its methods are called with the Dispatch's mutex held: they must neither
// block nor call the Dispatch.
type Discovery interface {
	// Ask requests the whole list.
	Ask()
	// Watch requests the changes of the list from now on.
	Watch()
	// Forget frees all resources of a server.
	Forget(server uint32)
}

// Gossip shares this gateway's observations of servers with other gateways, and reports theirs by Dispatch.Rumour. Its
// methods are called with the Dispatch's mutex held: they must neither block nor call the Dispatch.
type Gossip interface {
	// Trouble reports this gateway's observation of a server.
	Trouble(server uint32, t choice.Trouble)
	// Acked reports that a server acked a send within the latency target.
	Acked(server uint32, sentAt time.Duration)
	// Forget frees all resources of a server.
	Forget(server uint32)
	// Listed reports the servers that a list names. Forget follows for those that are removed from it.
	Listed(addrs map[uint32]string)
}

// Dispatch is the host of one gateway's decision module.
type Dispatch struct {
	clock     exchange.Clock
	servers   Servers
	discovery Discovery
	gossip    Gossip // nil if gossip is disabled
	counts    *counters.Set
	opEvents  *eventlog.Log
	serverID  func(server uint32) string

	mu          sync.Mutex // guards every call of the module, and the fields below
	wallClock   choice.WallClockCheck
	gateway     *choice.Gateway
	table       map[uint32]*entry
	lastID      uint32        // the ID assigned most recently
	lastTime    time.Duration // the latest time passed to the module
	timers      map[uint32]time.Duration
	unknown     map[uint32]*exchange.Exchange // ops with a send that ended as ClientUnknown, until their client is known
	nextWake    time.Duration                 // when Run checks the timers again
	wakeEarlier chan struct{}                 // signals that a timer was set to fire before nextWake
}

// entry is an open exchange and the number of sends made for it.
type entry struct {
	*exchange.Exchange
	sends uint8
}

// New returns a Dispatch that has to be started with Start once the other components exist.
func New(clock exchange.Clock, counts *counters.Set) *Dispatch {
	return &Dispatch{clock: clock, counts: counts, opEvents: eventlog.New(),
		serverID: func(server uint32) string { return strconv.FormatUint(uint64(server), 16) }, table: map[uint32]*entry{},
		timers: map[uint32]time.Duration{}, unknown: map[uint32]*exchange.Exchange{}, wakeEarlier: make(chan struct{}, 1)}
}

// Start creates the decision module and passes it the server list that was known at startup.
func (d *Dispatch) Start(servers Servers, discovery Discovery, settings *choice.Deployment, known []choice.Listed,
	addrs map[uint32]string) {
	d.mu.Lock()
	d.servers, d.discovery = servers, discovery
	d.gateway = choice.New(d, settings)
	d.mu.Unlock()
	d.HandleList(choice.ListCached, known, addrs)
}

// Run fires the module's timers until the context is cancelled.
func (d *Dispatch) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.wakeEarlier:
		case <-timer.C:
		}
		timer.Reset(d.tick())
	}
}

// tick fires the timers that are due and returns the time until the next one.
func (d *Dispatch) tick() time.Duration {
	d.clock.Beat()
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	d.nextWake = now // timers set during this call do not have to signal wakeEarlier
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
	d.checkUnknownClients(now)
	d.nextWake = now + time.Hour
	for _, at := range d.timers {
		d.nextWake = min(d.nextWake, at)
	}
	return max(0, d.nextWake-d.clock.Now())
}

// checkUnknownClients reports the ops whose client is known to be there by now. The mutex has to be held.
func (d *Dispatch) checkUnknownClients(now time.Duration) {
	for id, x := range d.unknown {
		if x.Outcome == exchange.Pending && !x.Presence().AllowsSend(now) {
			continue
		}
		delete(d.unknown, id)
		if x.Outcome == exchange.Pending {
			d.gateway.ClientPresent(now, id)
		}
	}
}

// now returns the time of the event being handled. The mutex has to be held.
func (d *Dispatch) now() time.Duration {
	now := d.clock.Now()
	invariant.Check(now >= d.lastTime, "the time passed to the module does not go back")
	d.lastTime = now
	return now
}

// Submit passes a new op to the module. The op's latency is measured from this call.
func (d *Dispatch) Submit(x *exchange.Exchange) {
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
	writeAge := time.Duration(0) // 0: the session's last write is not known
	if x.MinPosition != choice.LongPast {
		writeAge = max(1, now-x.MinPosition)
	}
	d.gateway.Op(now, choice.Arrival{ID: x.ID, OpType: x.OpType, Session: x.Session, ClientLeavesAt: x.Deadline,
		Group: x.Group, WriteAge: writeAge, IsRetry: x.IsRetry, OpenBefore: x.OpenBefore})
}

// ClientLeft reports that the client of an op has disconnected.
func (d *Dispatch) ClientLeft(x *exchange.Exchange) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if x.Outcome == exchange.Pending {
		d.finish(x, exchange.ClientLeft)
		d.gateway.ClientGone(d.now(), x.ID)
	}
}

// Stop gives up all pending ops before the process exits: a final reply is better for a client than a closed
// connection.
func (d *Dispatch) Stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.gateway.Stop(d.now())
}

// finish sets the outcome of a pending op and releases whoever waits for it.
func (d *Dispatch) finish(x *exchange.Exchange, outcome exchange.Outcome) {
	invariant.Check(x.Outcome == exchange.Pending, "an op ends exactly once")
	if x.Outcome != exchange.Pending {
		return
	}
	x.Outcome = outcome
	x.MayHaveRun = x.MayHaveRun || x.InFlight
	d.counts.Held.Add(-1)
	switch outcome {
	case exchange.Acked:
		d.counts.Acked.Add(1)
	case exchange.BusyReplied:
		d.counts.BusyReplied.Add(1)
	case exchange.Errored:
		d.counts.Errored.Add(1)
	case exchange.ClientLeft:
		d.counts.Left.Add(1)
	}
	close(x.Done)
	d.removeIfDone(x)
}

// removeIfDone removes an exchange from the table once its op has ended and no send is in flight.
func (d *Dispatch) removeIfDone(x *exchange.Exchange) {
	if e := d.table[x.ID]; e == nil || e.Exchange != x || x.Outcome == exchange.Pending || x.InFlight {
		return
	}
	delete(d.table, x.ID)
	x.Release()
}

// SendEnded handles the result of a send; it is called exactly once for each send. An ack ends the op if it is pending.
func (d *Dispatch) SendEnded(x *exchange.Exchange, number uint8, server uint32, result exchange.AttemptResult) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	d.checkWallClock(now, &result)
	invariant.Check(x.InFlight, "a send ends exactly once")
	x.InFlight = false
	if x.Outcome == exchange.Pending && !result.Result.NeverRan() {
		x.MayHaveRun = true
	}
	if result.Result != choice.Acked {
		d.opEvents.Info("send_ended", slog.String("id", x.ClientID), slog.Int("send", int(number)),
			slog.String("server", d.serverID(server)), slog.String("result", result.Result.String()),
			slog.Duration("took", result.Took))
	}
	if result.Result == choice.Acked && d.gossip != nil && result.Took <= x.Target {
		d.gossip.Acked(server, now-result.Took)
	}
	if result.Result == choice.Acked && x.Outcome == exchange.Pending {
		x.Answer = result.Answer
		d.finish(x, exchange.Acked)
	} else {
		result.Answer.Release()
	}
	if result.Result == choice.ClientUnknown && x.Outcome == exchange.Pending {
		d.unknown[x.ID] = x
	}
	d.removeIfDone(x)
	d.report(now, server, result.Report)
	d.gateway.Answer(now, x.ID, number, server, result.Result, result.Took, x.Outcome != exchange.Pending,
		result.Role, result.Position)
}

// checkWallClock compares the position that a primary stated with the present, and corrects the clock if it was wrong at
// the start. The mutex has to be held. A list that is being converted at that moment may have the time before the
// correction: its servers then look restarted, and cold, once.
func (d *Dispatch) checkWallClock(now time.Duration, result *exchange.AttemptResult) {
	if result.Role != choice.Primary || result.Stated == choice.LongPast || result.Stated == 0 {
		return
	}
	correction := d.wallClock.Observe(now, now-result.Took, result.Stated)
	if correction == 0 {
		return
	}
	slog.Warn("wall_clock_corrected", "by", correction)
	d.clock.Correct(correction)
	d.gateway.WallClockCorrected(correction)
	if result.Position != choice.LongPast {
		result.Position += correction
	}
}

// ProbeEnded handles the result of a probe; it is called exactly once for each probe.
func (d *Dispatch) ProbeEnded(server uint32, result exchange.AttemptResult) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	d.report(now, server, result.Report)
	d.gateway.ProbeAnswer(now, server, result.Result, result.Took)
}

// report passes the load report of a server, if there is one, to the module. The mutex has to be held.
func (d *Dispatch) report(now time.Duration, server uint32, r *exchange.Report) {
	if r != nil {
		d.gateway.Report(now, server, r.Role, r.Position)
	}
}

// SetServerIDs sets the function that returns the id of a server in the list. Without it the log has numbers.
func (d *Dispatch) SetServerIDs(id func(server uint32) string) { d.serverID = id }

// SetGossip enables gossip with other gateways. It must be called before Start, if at all.
func (d *Dispatch) SetGossip(g Gossip) { d.gossip = g }

// Rumour passes the module the weighted number of other gateways that report a server as being in trouble.
func (d *Dispatch) Rumour(server uint32, weight float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.gateway.Rumour(d.now(), server, weight)
}

// HandleList passes a list from discovery on. The addresses are set first, as the module may send at once. All of it is
// done with the mutex held, as the module may forget a server that this list names again.
func (d *Dispatch) HandleList(scope choice.ListScope, listed []choice.Listed, addrs map[uint32]string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.servers.Locate(addrs)
	d.gateway.List(d.now(), scope, listed)
	if d.gossip != nil && scope != choice.ListFailed {
		d.gossip.Listed(addrs)
	}
}

// Send implements choice.Host, as do all methods below. The module calls them with the mutex held.
func (d *Dispatch) Send(op, server uint32, beginBy time.Duration) {
	x := d.table[op]
	invariant.Check(x != nil && x.Outcome == exchange.Pending && !x.InFlight,
		"a send is for a pending op that has no send in flight")
	if x == nil {
		return
	}
	x.InFlight = true
	x.sends++
	d.servers.Send(x.Exchange, x.sends-1, server, beginBy)
}

func (d *Dispatch) BusyReply(op uint32, retryAfter time.Duration) {
	if x := d.table[op]; x != nil && x.Outcome == exchange.Pending {
		x.RetryAfter = retryAfter
		d.finish(x.Exchange, exchange.BusyReplied)
	}
}

func (d *Dispatch) Error(op uint32) {
	if x := d.table[op]; x != nil && x.Outcome == exchange.Pending {
		d.finish(x.Exchange, exchange.Errored)
	}
}

func (d *Dispatch) Cancel(op uint32, send uint8) {
	if x := d.table[op]; x != nil && x.InFlight {
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

// Presence implements choice.PresenceHost.
func (d *Dispatch) Presence(op uint32) choice.Presence {
	x := d.table[op]
	if x == nil || x.Exchange.Presence == nil {
		return choice.Presence{AsOf: d.lastTime}
	}
	presence := x.Exchange.Presence()
	if !presence.AllowsSend(d.lastTime) {
		d.unknown[op] = x.Exchange
	}
	return presence
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

// Trouble reports this gateway's observation of a server to the other gateways if gossip is enabled.
func (d *Dispatch) Trouble(server uint32, t choice.Trouble) {
	if d.gossip != nil {
		d.gossip.Trouble(server, t)
	}
}

// Decided logs a decision: each one about a server, and those about single ops at a limited rate.
func (d *Dispatch) Decided(e choice.Event) {
	what := slog.String("what", e.Kind.String())
	reason := slog.String("reason", e.Reason.String())
	if !e.Kind.ConcernsOp() {
		slog.LogAttrs(context.Background(), slog.LevelInfo, "decision", what, slog.String("server", d.serverID(e.Server)), reason)
		return
	}
	attributes := []slog.Attr{what, reason}
	if x := d.table[e.Op]; x != nil {
		attributes = append(attributes, slog.String("id", x.ClientID), slog.Int("sends", int(x.sends)))
	}
	if e.Kind == choice.OpGivenUp {
		d.counts.CountGivenUp(e.Reason)
	} else {
		attributes = append(attributes, slog.String("server", d.serverID(e.Server)))
	}
	d.opEvents.Info("decision", attributes...)
}
