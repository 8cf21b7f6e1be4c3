package simwire

import (
	"fmt"
	"math"
	"time"

	"gorsewell/choice"
)

// instance is one gateway's end of the wire; it is the gateway's Host.
type instance struct {
	x       *wire
	who     uint16
	base    uint64        // the clock at its start
	zero    time.Duration // where positions count from
	types   int           // how many op types there are
	names   []string      // of the load report's values
	gateway *choice.Gateway
}

func (in *instance) now() time.Duration            { return in.span(in.x.clock) }
func (in *instance) span(at uint64) time.Duration  { return time.Duration(at - in.base) }
func (in *instance) clock(at time.Duration) uint64 { return in.base + uint64(at) }

// caught reports a panic of the decision module instead of ending the process.
func (in *instance) caught(err *error) {
	if p := recover(); p != nil {
		in.text(acBug, fmt.Sprint(p))
		*err = nil
	}
}

// report hands over the values of a load report that are known here; unknown ones are skipped.
func (in *instance) report(b []byte, server uint32) {
	n := min(int(b[0]), len(in.names), 4)
	if n == 0 {
		return
	}
	pos, role, seen := choice.LongPast, choice.RoleUnknown, false
	for i := range n {
		v := float32At(b[1+4*i:])
		switch in.names[i] {
		case "x0":
			// The float may have been rounded up: the next one below never claims too much.
			below := math.Nextafter32(v, 0)
			pos, seen = in.zero+time.Duration(float64(below)*float64(time.Second)), true
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
	acCloseIdle = 0
	acTimer     = 1
	acCancel    = 2
	acSend      = 3
	acError     = 4
	acBug       = 5
	acAskList   = 6
	acLog       = 7
	acBusy      = 8
	acWatch     = 10
	acProbe     = 11
)

// record appends an action and returns its 24 bytes, with the fields still zero.
func (in *instance) record(code byte) []byte {
	x := in.x
	n := len(x.out)
	x.out = append(x.out, make([]byte, actionSize)...)
	x.actions++
	r := x.out[n:]
	r[0] = code
	be.PutUint16(r[1:], in.who)
	return r
}

func (in *instance) text(code byte, line string) {
	r := in.record(code)
	be.PutUint32(r[3:], uint32(len(in.x.outTail)))
	be.PutUint32(r[7:], uint32(len(line)))
	in.x.outTail = append(in.x.outTail, line...)
}

// Send implements choice.Host. On the bench's wire a send begins when it is decided.
func (in *instance) Send(op, server uint32, _ time.Duration) {
	r := in.record(acSend)
	be.PutUint32(r[3:], op)
	be.PutUint32(r[7:], server)
}

func (in *instance) BusyReply(op uint32, comeBackIn time.Duration) {
	r := in.record(acBusy)
	be.PutUint32(r[3:], op)
	be.PutUint64(r[7:], uint64(comeBackIn))
}

func (in *instance) Error(op uint32) { be.PutUint32(in.record(acError)[3:], op) }

func (in *instance) Cancel(op uint32, send uint8) {
	r := in.record(acCancel)
	be.PutUint32(r[3:], op)
	r[7] = send
}

// Withdraw implements choice.Host: every send has begun.
func (in *instance) Withdraw(uint32) {}

func (in *instance) Probe(server uint32) { be.PutUint32(in.record(acProbe)[3:], server) }

func (in *instance) Timer(id uint32, at time.Duration) {
	r := in.record(acTimer)
	be.PutUint32(r[3:], id)
	be.PutUint64(r[7:], in.clock(at))
}

func (in *instance) AskList()   { in.record(acAskList) }
func (in *instance) WatchList() { in.record(acWatch)[3] = 1 }

// Forget implements choice.Host: the bench keeps no names of its own.
func (in *instance) Forget(uint32) {}

// Trouble implements choice.Host: gateways on the bench share nothing.
func (in *instance) Trouble(uint32, choice.Trouble) {}

func (in *instance) CloseIdle(server uint32) { be.PutUint32(in.record(acCloseIdle)[3:], server) }
func (in *instance) Log(line string)         { in.text(acLog, line) }
