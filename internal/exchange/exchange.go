// Package exchange holds one op from its arrival to its final answer, and what client side and server side
// share. They meet here only.
package exchange

import (
	"time"

	"gorsewell/choice"
)

// Outcome is how an op ended.
type Outcome uint8

// The outcomes. Held is no end: the op awaits one.
const (
	Held Outcome = iota
	Acked
	BusyReplied
	Errored
	Left // by its client: no answer is owed
)

// Statement is what the client asked for, in whatever protocol; it belongs to the exchange.
type Statement interface {
	// AppendQuery appends what a server is to be sent, unchanged but for the time that remains.
	AppendQuery(b []byte, remaining time.Duration) []byte
}

// Exchange is one op. The client side fills in what was asked and waits for Done; what is below belongs to
// the desk until then.
type Exchange struct {
	Statement Statement
	OpType    uint8
	Group     uint16
	Session   uint64
	Again     bool          // its client has tried before
	Due       time.Duration // when its client leaves
	Target    time.Duration // the latency target of its op type
	After     time.Duration // the position to see, or choice.LongPast

	Done       chan struct{} // closed at the end
	ID         uint32
	Outcome    Outcome
	ComeBackIn time.Duration // of a busy reply
	Answer     []byte        // of an acked op: the server's messages up to ReadyForQuery
	Out        bool          // a send is out
}

// Over tells whether the op has ended.
func (x *Exchange) Over() bool {
	select {
	case <-x.Done:
		return true
	default:
		return false
	}
}

// Ended is how a send or a probe ended.
type Ended struct {
	Result   choice.Result
	Took     time.Duration
	Role     choice.Role
	Position time.Duration // or choice.LongPast
	Answer   []byte
	Report   *Report
}

// Report is a server's word on itself, as of the time at which it was made.
type Report struct {
	Role     choice.Role
	Position time.Duration // or choice.LongPast
}

// Desk takes ops from the client side.
type Desk interface {
	Take(x *Exchange) // Done follows
	Left(x *Exchange) // the client has gone
	Stop()            // the process is about to end: each op that is held gets its end now
}

// Events takes what happens at the server side.
type Events interface {
	SendEnded(x *Exchange, number uint8, server uint32, e Ended)
	ProbeEnded(server uint32, e Ended)
}
