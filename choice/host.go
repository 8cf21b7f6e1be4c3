// Package choice decides, for one gateway, which database server each op goes to and when.
//
// A Gateway has no I/O, clock or goroutine of its own. Its host creates it with New and calls a method for each event:
// List, Op, Answer, Report, ProbeAnswer, ClientGone, Rumour, Timer and Stop. Each call carries the time of the event,
// and the Gateway acts by calling the Host.
//
// Servers form groups of one primary and its replicas, which apply the primary's log with some lag. How far a server
// has got is its position, the time up to which it has applied the log. Writes and fresh reads go to the primary. All
// other reads rotate over the replicas that are known to be fresh enough: those that have the session's last write for
// session reads, those within the bound for bounded reads, all of them for the rest.
//
// If no replica is fresh enough for a session read, the read is held for up to a quarter of its latency target and sent
// to the first replica that becomes fresh enough. After that time replicas still come first, but the primary takes the
// read if none of them can. If session reads do not carry the age of the session's last write, no replica is known to
// be fresh enough. A bounded read is held for a shorter time. If servers check reads themselves, the most advanced
// replica is tried, and the read is held only after a server has declined it or while no replica has room.
//
// A held read is not sent at the moment at which a report brings a new position. Held ops are looked at again at each
// timer event and when a send to their group or a probe of it ends.
//
// An op for which no server has room is held too. It is given up, with a busy reply or an error, when sending it could
// no longer be useful or is no longer allowed.
//
// The package keeps five rules, which its comments refer to by number:
//
//  1. Each op gets exactly one final answer, within its client's time.
//  2. No op takes effect twice: it is sent again only as its op type allows.
//  3. Nothing new is sent to a server that is draining or gone.
//  4. A cold server never gets more work than a stated multiple of its capacity at that time.
//  5. No read is answered from data older than its op type allows.
package choice

import "time"

// Host is what a Gateway acts through. Every call takes effect at the time of the event being handled. Times are
// durations since the gateway's start.
type Host interface {
	// Send sends an op to a server. The send may wait for a connection. It ends as NotSent if it has not begun by
	// beginBy. It ends as ClientUnknown if the op's Presence does not allow it when it would begin, see PresenceHost.
	Send(op, server uint32, beginBy time.Duration)
	// Withdraw takes back all sends to a server that have not begun. They end as NotSent.
	Withdraw(server uint32)
	// BusyReply is a final answer to an op, which tells its client that trying again after retryAfter is harmless.
	BusyReply(op uint32, retryAfter time.Duration)
	// Error is a final answer to an op, without any promise about its effect.
	Error(op uint32)
	// Cancel stops waiting for one send of an op. Sends of an op are numbered from 0.
	Cancel(op uint32, send uint8)
	// Probe sends a probe to a server. ProbeAnswer is called once for it.
	Probe(server uint32)
	// Timer has Gateway.Timer called with the id at the time.
	Timer(id uint32, at time.Duration)
	// AskList requests the server list once.
	AskList()
	// WatchList requests the server list and then its changes.
	WatchList()
	// CloseIdle closes the unused connections to a server.
	CloseIdle(server uint32)
	// Forget drops what the host keeps of a server, which is gone and has no open send or probe.
	Forget(server uint32)
	// Trouble reports a symptom that the gateway itself has seen of a server, or with NoTrouble its end.
	Trouble(server uint32, t Trouble)
	// Decided reports a decision for the log.
	Decided(e Event)
}

// Effect says whether an op may run again.
type Effect uint8

// The effects. NonRetryable is the zero value, so that an unknown word errs on the safe side.
const (
	NonRetryable Effect = iota // must not run twice
	Tokened                    // carries a token by which the servers of its Scope drop repeats for some time
	Retryable                  // may run any number of times
)

// Scope is the set of servers that drops repeats of a tokened op.
type Scope uint8

// The scopes, narrowest first.
const (
	ScopeGroup Scope = iota // the servers of its group
	ScopeZone               // the servers of one zone
	ScopeAll                // all servers
)

// Need is how fresh the data must be that an op works on.
type Need uint8

// The needs. Write is the zero value, as only a primary satisfies it.
const (
	Write   Need = iota // a write
	Fresh               // a read of the current data
	Session             // a read that sees at least the last write of its session
	Bounded             // a read of data that is no older than OpType.Bound
	Any                 // a read of data of any age
)

// Checks is what a server does with a read for which its data is too old.
type Checks uint8

// The checks.
const (
	Unchecked Checks = iota // answers from the old data
	Refuses                 // declines the read
	Waits                   // waits until its data is new enough
)

// OpType is one type of op, as configured at start.
type OpType struct {
	Effect    Effect
	Scope     Scope         // of a tokened op
	Window    time.Duration // for how long the servers in Scope drop repeats of a tokened op
	Need      Need
	Bound     time.Duration // greatest age of the data that a bounded read accepts
	Target    time.Duration // latency target
	Timeout   time.Duration // op timeout
	Value     float64       // earned by an ack within the latency target
	LateValue float64       // share of Value earned by an ack after the latency target
}

// Deployment describes the surroundings of a gateway, as configured at start.
type Deployment struct {
	OpTypes              []OpType
	Gateways             int           // number of gateways
	Seed                 uint64        // of this gateway's random numbers
	EventInterval        time.Duration // least time between two events of the host
	ListOnRequest        bool          // the server list is sent only when asked for, else changes are pushed
	CachedListTime       time.Duration // how long the cached list is used before discovery has answered or failed; 0: no limit
	AskWithin            time.Duration // a gateway that has not asked for the list for this long counts as knowing it
	Checks               Checks
	AnswersCarryPosition bool          // every answer carries the server's position
	WriteAgeCarried      bool          // session reads carry the age of their session's last write
	RetriesUnmarked      bool          // clients do not mark retries
	MayProbe             bool          // servers may be probed
	MayCancel            bool          // sends may be cancelled
	MaxRetryAfter        time.Duration // longest wait named in a busy reply that clients honour
	MaxSends             int           // most sends of one op
	ColdFrom             float64       // least share of its capacity with which a server starts
	ColdTime             time.Duration // longest time that a server takes from then to its full capacity
	OverloadFactor       float64       // multiple of its present capacity that a cold server withstands
	OverloadTime         time.Duration // a cold server falls over when sent more than OverloadFactor allows for this time
	ReportsPosition      bool          // reports carry a position
	ReportsRole          bool          // reports carry a role
}

// State is the state of a server by the list.
type State uint8

// The states of a listed server.
const (
	Gone     State = iota // no longer there
	Ready                 // takes ops
	Draining              // finishes what it has and takes nothing new
)

// Listed is one entry of the server list.
type Listed struct {
	ID      uint32
	Group   uint16
	Zone    uint8
	Kind    uint8 // of machine; machines of the same kind perform alike
	Primary bool
	State   State
	Started time.Duration // LongPast if the list does not say
	Weight  float32       // in the rotation over replicas; 0 counts as 1
}

// LongPast is a time before all events. It also stands for an unknown position.
const LongPast = time.Duration(-1 << 62)

// ListScope says which entries of the server list a call of Gateway.List passes.
type ListScope uint8

// The scopes of a list.
const (
	ListCached  ListScope = iota // the full list that the host had stored before its start
	ListFull                     // the full list
	ListChanges                  // the entries that have changed
	ListFailed                   // none: the request for the list failed
)

// Role is what a server says it is.
type Role uint8

// The roles.
const (
	RoleUnknown Role = iota
	Primary
	Replica
)

// Result is how a send or a probe ended.
type Result uint8

// Trouble is what a gateway has seen of a server by itself. What other gateways report does not count.
type Trouble uint8

// The troubles. NoTrouble says that the trouble reported before has ended.
const (
	NoTrouble   Trouble = iota
	Silence             // no answers for longer than random variation explains
	Unreachable         // no connection, connections that are reset, or no answer to a probe
	Failing             // errors on ops that another server acked
	Late                // answers keep coming late
)

// The results. ServerFull, NoConnection, NotSent, Declined and ClientUnknown prove that nothing ran.
const (
	Acked         Result = iota
	ServerError          // the server answered with an error
	ServerFull           // the server turned the op away, as it has too much to do
	TimedOut             // no answer within the time
	NoConnection         // no connection could be made
	Reset                // the connection broke while the answer was awaited
	Cancelled            // cancelled by the gateway
	NotSent              // withdrawn, or not begun in time
	Declined             // the server is not the primary that the op needs, or its data is too old
	ClientUnknown        // not begun, as it was not known whether the client was still there
)
