package simwire

import (
	"fmt"
	"math"
	"time"

	"gorsewell/choice"
)

// instance is one gateway of the simulator. It implements choice.Host: it encodes the gateway's calls as actions.
type instance struct {
	conn          *conn
	id            uint16
	startClock    uint64        // simulator clock at the instance's start, in nanoseconds
	positionEpoch time.Duration // time from which positions in the log count, since the instance's start
	opTypeCount   int
	reportNames   []string // names of the values in a load report
	gateway       *choice.Gateway
}

// now returns the time of the frame being handled, since the instance's start.
func (in *instance) now() time.Duration { return in.sinceStart(in.conn.clock) }

// sinceStart converts a simulator clock time to a time since the instance's start.
func (in *instance) sinceStart(clock uint64) time.Duration {
	return time.Duration(clock - in.startClock)
}

// clockAt converts a time since the instance's start to a simulator clock time.
func (in *instance) clockAt(at time.Duration) uint64 { return in.startClock + uint64(at) }

// recoverPanic recovers from a panic of the decision module and reports it as an action, so that the process goes on.
func (in *instance) recoverPanic(err *error) {
	if p := recover(); p != nil {
		in.appendText(actionBug, fmt.Sprint(p))
		*err = nil
	}
}

// passReport passes the load report of a server to the gateway. A record has room for four values of a report. Values
// with unknown names are skipped.
func (in *instance) passReport(b []byte, server uint32) {
	n := min(int(b[0]), len(in.reportNames), 4)
	if n == 0 {
		return
	}
	pos, role, seen := choice.LongPast, choice.RoleUnknown, false
	for i := range n {
		v := float32At(b[1+4*i:])
		switch in.reportNames[i] {
		case "x0":
			// The value may have been rounded up. The next smaller float is never ahead of the server's position.
			lowerBound := math.Nextafter32(v, 0)
			pos, seen = in.positionEpoch+time.Duration(float64(lowerBound)*float64(time.Second)), true
		case "x1":
			role, seen = choice.Replica, true
			if v == 1 {
				role = choice.Primary
			}
		}
	}
	if seen {
		in.gateway.Report(in.now(), server, role, pos)
	}
}

// Codes of actions.
const (
	actionCloseIdle = 0
	actionTimer     = 1
	actionCancel    = 2
	actionSend      = 3
	actionError     = 4
	actionBug       = 5 // a panic of the decision module
	actionAskList   = 6
	actionLog       = 7
	actionBusyReply = 8
	actionWatchList = 10
	actionProbe     = 11
)

// appendAction appends an action to the reply and returns its record, in which only the code and the instance are set.
func (in *instance) appendAction(code byte) []byte {
	c := in.conn
	n := len(c.actionRecords)
	c.actionRecords = append(c.actionRecords, make([]byte, actionSize)...)
	c.actionCount++
	r := c.actionRecords[n:]
	r[0] = code
	bigEndian.PutUint16(r[1:], in.id)
	return r
}

// appendText appends an action with a text. The text goes to the tail of the reply.
func (in *instance) appendText(code byte, line string) {
	r := in.appendAction(code)
	bigEndian.PutUint32(r[3:], uint32(len(in.conn.actionTail)))
	bigEndian.PutUint32(r[7:], uint32(len(line)))
	in.conn.actionTail = append(in.conn.actionTail, line...)
}

// Send implements choice.Host. In the simulator a send begins at once, so the time by which it has to begin has no
// effect.
func (in *instance) Send(op, server uint32, _ time.Duration) {
	r := in.appendAction(actionSend)
	bigEndian.PutUint32(r[3:], op)
	bigEndian.PutUint32(r[7:], server)
}

// BusyReply implements choice.Host.
func (in *instance) BusyReply(op uint32, retryAfter time.Duration) {
	r := in.appendAction(actionBusyReply)
	bigEndian.PutUint32(r[3:], op)
	bigEndian.PutUint64(r[7:], uint64(retryAfter))
}

// Error implements choice.Host.
func (in *instance) Error(op uint32) { bigEndian.PutUint32(in.appendAction(actionError)[3:], op) }

// Cancel implements choice.Host.
func (in *instance) Cancel(op uint32, send uint8) {
	r := in.appendAction(actionCancel)
	bigEndian.PutUint32(r[3:], op)
	r[7] = send
}

// Withdraw implements choice.Host. It does nothing, as every send has begun.
func (in *instance) Withdraw(uint32) {}

// Probe implements choice.Host.
func (in *instance) Probe(server uint32) {
	bigEndian.PutUint32(in.appendAction(actionProbe)[3:], server)
}

// Timer implements choice.Host.
func (in *instance) Timer(id uint32, at time.Duration) {
	r := in.appendAction(actionTimer)
	bigEndian.PutUint32(r[3:], id)
	bigEndian.PutUint64(r[7:], in.clockAt(at))
}

// AskList implements choice.Host.
func (in *instance) AskList() { in.appendAction(actionAskList) }

// WatchList implements choice.Host.
func (in *instance) WatchList() { in.appendAction(actionWatchList)[3] = 1 }

// Forget implements choice.Host. It does nothing, as an instance keeps nothing of a server.
func (in *instance) Forget(uint32) {}

// Trouble implements choice.Host. It does nothing, as the simulator's gateways do not use gossip.
func (in *instance) Trouble(uint32, choice.Trouble) {}

// CloseIdle implements choice.Host.
func (in *instance) CloseIdle(server uint32) {
	bigEndian.PutUint32(in.appendAction(actionCloseIdle)[3:], server)
}

// Decided implements choice.Host. The simulator's log gets decisions about servers only.
func (in *instance) Decided(e choice.Event) {
	if !e.Kind.ConcernsOp() {
		in.appendText(actionLog, e.Kind.String())
	}
}
