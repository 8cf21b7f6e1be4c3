// Package choice decides, for one gateway, which database server each op goes to and when.
package choice

import "time"

// Host is all that a Gateway can do to the world. Every call takes effect at the time of the
// event being handled. Times handed over are spans since the gateway's start.
type Host interface {
	Send(op, server uint32, by time.Duration)      // it begins then at the latest, or ends as NotSent
	Withdraw(server uint32)                        // take back what has not begun there: it ends as NotSent
	BusyReply(op uint32, comeBackIn time.Duration) // final: trying again is harmless
	Error(op uint32)                               // final: no promise about its effect
	Cancel(op uint32, send uint8)                  // stop waiting for one send
	Probe(server uint32)
	Timer(id uint32, at time.Duration)
	AskList()
	WatchList()
	CloseIdle(server uint32)
	Forget(server uint32)             // it is gone and nothing of it is out
	Trouble(server uint32, t Trouble) // what the gateway has seen of it by itself has changed
	Log(line string)
}

// Effect says whether an op may run again.
type Effect uint8

// The three effects; NonRetryable is the zero value, so that an unknown word errs on the safe side.
const (
	NonRetryable Effect = iota
	Tokened
	Retryable
)

// Scope is the set of servers that drops repeats of a tokened op.
type Scope uint8

// The scopes, narrowest first.
const (
	ScopeGroup Scope = iota
	ScopeZone
	ScopeAll
)

// Need is how fresh the data must be that an op works on.
type Need uint8

// The needs; Write is the zero value, as only a primary satisfies it.
const (
	Write Need = iota
	Fresh
	Session
	Bounded
	Any
)

// Checks is what a server does with a read that it is too far behind for.
type Checks uint8

// The checks.
const (
	Unchecked Checks = iota
	Refuses
	Waits
)

// OpType is one kind of op, as told at start.
type OpType struct {
	Effect    Effect
	Scope     Scope
	Window    time.Duration // how long repeats of a tokened op are dropped
	Need      Need
	Bound     time.Duration // the oldest data a bounded read takes
	Target    time.Duration // latency target
	Timeout   time.Duration // op timeout
	Value     float64
	LateValue float64 // share of Value earned past the latency target
}

// Deployment is what a gateway is told of its surroundings at start.
type Deployment struct {
	OpTypes         []OpType
	Gateways        int
	Seed            uint64        // of this gateway's chance
	Round           time.Duration // the least time between two events
	ListAsked       bool          // the list comes only when asked for
	AskWithin       time.Duration // unasked for this long, a gateway is deemed told
	Checks          Checks
	TellsPosition   bool          // every answer carries a position
	MarksCarried    bool          // a session read says how old its last write is
	RetriesUnmarked bool          // clients do not mark an op that they ask for again
	Probes          bool          // probing is allowed
	Cancels         bool          // cancelling is allowed
	MaxComeBack     time.Duration // the longest wait named in a busy reply that a client honours
	MaxSends        int
	ColdFrom        float64       // a server starts at this share of its capacity or more
	ColdTime        time.Duration // and is warm after this time at the latest
	OverloadFactor  float64       // sent more than this multiple of present capacity
	OverloadTime    time.Duration // for this time, a cold server falls over
	ReportsPosition bool          // reports carry a position
	ReportsRole     bool          // reports carry a role
}

// State is what the list says of a server.
type State uint8

// The states of a listed server.
const (
	Gone State = iota
	Ready
	Draining
)

// Listed is one line of the server list.
type Listed struct {
	ID      uint32
	Group   uint16
	Zone    uint8
	Kind    uint8 // of machine: equal numbers are alike
	Primary bool
	State   State
	Started time.Duration // LongPast where the list does not say
	Weight  float32
}

// LongPast stands for a time before all that matters.
const LongPast = time.Duration(-1 << 62)

// ListScope tells what a list holds.
type ListScope uint8

// The scopes of a list.
const (
	ListCached ListScope = iota
	ListFull
	ListChanges
	ListFailed
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

// Trouble is what a gateway has seen of a server by itself, never what others say of it.
type Trouble uint8

// The troubles. NoTrouble says that what was told before has ended.
const (
	NoTrouble Trouble = iota
	Silence
	Unreachable
	Failing
	Late
)

// The results. ServerFull, NoConnection, NotSent and Miss prove that nothing ran.
const (
	Acked Result = iota
	ServerError
	ServerFull
	TimedOut
	NoConnection
	Reset
	Cancelled
	NotSent
	Miss
)
