// Package exchange holds the state of one op from its arrival to its final answer, and the types that the client side
// and the server side share. These two depend on each other through this package only.
package exchange

import (
	"sync/atomic"
	"time"

	"gorsewell/choice"
	"gorsewell/internal/membudget"
)

// Outcome is how an op ended.
type Outcome uint8

// The outcomes of an op.
const (
	Pending     Outcome = iota // the op has not ended yet
	Acked                      // a server has answered it
	BusyReplied                // the client got a busy reply
	Errored                    // the client got an error
	ClientLeft                 // the client has disconnected: no answer is owed
)

// Statement is the request of a client, independent of the client's protocol. It belongs to the exchange.
type Statement interface {
	// AppendQuery appends the query to send to a server: the client's query with the remaining time updated.
	AppendQuery(b []byte, remaining time.Duration) []byte
}

// Exchange is one op. The client side fills in the fields above Done and then waits for Done. Until Done is closed, the
// fields below it belong to the Dispatcher.
type Exchange struct {
	Statement   Statement
	ClientID    string // the client's id for the op
	OpType      uint8  // index of the op type in the settings
	Group       uint16
	Session     uint64
	IsRetry     bool          // the client has tried the same op before
	OpenBefore  int           // see choice.Arrival
	Deadline    time.Duration // when the client stops waiting
	Target      time.Duration // the latency target of the op type
	MinPosition time.Duration // the position that a session read has to see, or choice.LongPast

	// Presence returns what is known of the op's client, for a send that may begin now. It may be called from any goroutine.
	// Without it, as in tests, the client never leaves.
	Presence func() choice.Presence

	// Memory is reserved for the statement, its copies and the rest of the op.
	Memory membudget.Reservation

	// releases counts the calls of Release.
	releases atomic.Int32

	Done       chan struct{} // closed when the op has ended
	ID         uint32
	Outcome    Outcome
	RetryAfter time.Duration // after which a client that got a busy reply should retry; 0 if not stated
	Answer     Answer        // the server's messages up to ReadyForQuery, if the op was acked
	InFlight   bool          // whether a send is in flight
	MayHaveRun bool          // whether a send of the op may have run or may run yet; set when Done is closed
}

// Release frees the statement at its second call. The client side calls it once when the op's reply is written or will
// never be, the Dispatcher once when the op has ended and no send uses the statement any more.
func (x *Exchange) Release() {
	if x.releases.Add(1) == 2 {
		x.Statement = nil
		x.Memory.Release()
	}
}

// Answer is the response of a server up to ReadyForQuery.
type Answer struct {
	Bytes []byte

	// Memory is reserved for a long answer.
	Memory membudget.Reservation
}

// Release frees the answer.
func (a *Answer) Release() {
	a.Bytes = nil
	a.Memory.Release()
}

// IsDone reports whether the op has ended.
func (x *Exchange) IsDone() bool {
	select {
	case <-x.Done:
		return true
	default:
		return false
	}
}

// AttemptResult is the result of a send or a probe.
type AttemptResult struct {
	Result   choice.Result
	Took     time.Duration
	Role     choice.Role
	Position time.Duration // the server's position in the log, or choice.LongPast if it stated none
	Stated   time.Duration // the same, also if it cannot be right
	Answer   Answer        // the server's messages up to ReadyForQuery
	Report   *Report       // nil if the server sent none
}

// Report is what a server states about itself in a load report, as of the time at which the report was made.
type Report struct {
	Role     choice.Role
	Position time.Duration // in the log, or choice.LongPast if the report states none
}

// Dispatcher handles the ops that the client side submits.
type Dispatcher interface {
	// Submit starts the op. Done is closed when it has ended.
	Submit(x *Exchange)
	// ClientLeft reports that the client has disconnected.
	ClientLeft(x *Exchange)
	// Stop ends all pending ops, as the process is about to exit.
	Stop()
}

// Events handles the results that the server side reports.
type Events interface {
	SendEnded(x *Exchange, number uint8, server uint32, result AttemptResult)
	ProbeEnded(server uint32, result AttemptResult)
}
