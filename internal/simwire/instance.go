package simwire

import (
	"fmt"
	"math"
	"time"

	"gorsewell/choice"
)

// instance is one gateway's end of the wire; it is the gateway's Host.
type instance struct {
	conn          *conn
	id            uint16
	startClock    uint64        // the clock at its start
	positionEpoch time.Duration // where positions count from
	opTypeCount   int           // how many op types there are
	reportNames   []string      // of the load report's values
	gateway       *choice.Gateway
}

func (in *instance) now() time.Duration                 { return in.sinceStart(in.conn.clock) }
func (in *instance) sinceStart(at uint64) time.Duration { return time.Duration(at - in.startClock) }
func (in *instance) clockAt(at time.Duration) uint64    { return in.startClock + uint64(at) }

// caught reports a panic of the decision module instead of ending the process.
func (in *instance) recoverPanic(err *error) {
	if p := recover(); p != nil {
		in.appendText(actionBug, fmt.Sprint(p))
		*err = nil
	}
}

// report hands over the values of a load report that are known here; unknown ones are skipped.
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
			// The float may have been rounded up: the next one below never claims too much.
			below := math.Nextafter32(v, 0)
			pos, seen = in.positionEpoch+time.Duration(float64(below)*float64(time.Second)), true
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

// The codes of actions.
const (
	actionCloseIdle = 0
	actionTimer     = 1
	actionCancel    = 2
	actionSend      = 3
	actionError     = 4
	actionBug       = 5
	actionAskList   = 6
	actionLog       = 7
	actionBusyReply = 8
	actionWatchList = 10
	actionProbe     = 11
)

// record appends an action and returns its 24 bytes, with the fields still zero.
func (in *instance) appendAction(code byte) []byte {
	x := in.conn
	n := len(x.actionRecords)
	x.actionRecords = append(x.actionRecords, make([]byte, actionSize)...)
	x.actionCount++
	r := x.actionRecords[n:]
	r[0] = code
	bigEndian.PutUint16(r[1:], in.id)
	return r
}

func (in *instance) appendText(code byte, line string) {
	r := in.appendAction(code)
	bigEndian.PutUint32(r[3:], uint32(len(in.conn.actionTail)))
	bigEndian.PutUint32(r[7:], uint32(len(line)))
	in.conn.actionTail = append(in.conn.actionTail, line...)
}

// Send implements choice.Host. On the bench's wire a send begins when it is decided.
func (in *instance) Send(op, server uint32, _ time.Duration) {
	r := in.appendAction(actionSend)
	bigEndian.PutUint32(r[3:], op)
	bigEndian.PutUint32(r[7:], server)
}

func (in *instance) BusyReply(op uint32, comeBackIn time.Duration) {
	r := in.appendAction(actionBusyReply)
	bigEndian.PutUint32(r[3:], op)
	bigEndian.PutUint64(r[7:], uint64(comeBackIn))
}

func (in *instance) Error(op uint32) { bigEndian.PutUint32(in.appendAction(actionError)[3:], op) }

func (in *instance) Cancel(op uint32, send uint8) {
	r := in.appendAction(actionCancel)
	bigEndian.PutUint32(r[3:], op)
	r[7] = send
}

// Withdraw implements choice.Host: every send has begun.
func (in *instance) Withdraw(uint32) {}

func (in *instance) Probe(server uint32) {
	bigEndian.PutUint32(in.appendAction(actionProbe)[3:], server)
}

func (in *instance) Timer(id uint32, at time.Duration) {
	r := in.appendAction(actionTimer)
	bigEndian.PutUint32(r[3:], id)
	bigEndian.PutUint64(r[7:], in.clockAt(at))
}

func (in *instance) AskList()   { in.appendAction(actionAskList) }
func (in *instance) WatchList() { in.appendAction(actionWatchList)[3] = 1 }

// Forget implements choice.Host: the bench keeps no names of its own.
func (in *instance) Forget(uint32) {}

// Trouble implements choice.Host: gateways on the bench share nothing.
func (in *instance) Trouble(uint32, choice.Trouble) {}

func (in *instance) CloseIdle(server uint32) {
	bigEndian.PutUint32(in.appendAction(actionCloseIdle)[3:], server)
}
func (in *instance) Log(line string) { in.appendText(actionLog, line) }
