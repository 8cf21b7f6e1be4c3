// Package simwire implements the simulator's binary protocol. It decodes events into calls of the decision module,
// package choice, and encodes the calls that the module makes to its Host as actions. One connection carries the events
// and actions of many gateways, called instances.
//
// The input consists of frames: a header, records of fixed size, one for each event, and a tail of variable data that
// records refer to by offset and length. Each frame gets one reply of the same structure with records of actions.
// Numbers are big-endian.
package simwire

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"gorsewell/choice"
	"gorsewell/internal/deployment"
)

const (
	headerSize    = 20 // bytes of a frame's header
	eventSize     = 48 // bytes of an event record
	actionSize    = 24 // bytes of an action record
	listEntrySize = 25 // bytes of a server in a list
	maxLists      = 16 // lists stored by number
)

var bigEndian = binary.BigEndian

// conn is the connection to the simulator.
type conn struct {
	input         *bufio.Reader
	frame         bytes.Buffer     // records and tail of the frame being handled
	tail          []byte           // tail of the frame being handled
	clock         uint64           // simulator clock of that frame, in nanoseconds
	lists         [maxLists][]byte // entries of the stored lists, by number
	listStored    [maxLists]bool   // whether the list of that number has been sent; it may be empty
	instances     map[uint16]*instance
	listed        []choice.Listed // reused for each list passed to a gateway
	actionRecords []byte          // records of the reply
	actionTail    []byte          // tail of the reply
	actionCount   uint32          // number of records of the reply
}

// Serve handles the frames from r and writes the replies to w until r ends. It returns an error that says what is
// malformed and in which frame, or that the reply could not be written.
func Serve(r io.Reader, w io.Writer) error {
	c := &conn{input: bufio.NewReaderSize(r, 1<<16), instances: map[uint16]*instance{}}
	for n := 1; ; n++ {
		batch, err := c.readFrame()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return fmt.Errorf("frame %d: %w", n, err)
		}
		if err := c.writeReply(w, batch); err != nil {
			return err
		}
	}
}

// readFrame reads one frame and handles its events.
func (c *conn) readFrame() (batch uint32, err error) {
	var head [headerSize]byte
	if _, err := io.ReadFull(c.input, head[:]); err != nil {
		if err == io.ErrUnexpectedEOF {
			return 0, errors.New("input ends inside the header")
		}
		return 0, err
	}
	size, count := bigEndian.Uint32(head[0:]), bigEndian.Uint32(head[12:])
	c.clock, batch = bigEndian.Uint64(head[4:]), bigEndian.Uint32(head[16:])
	if size < headerSize {
		return 0, fmt.Errorf("length %d is shorter than the header of 20 bytes", size)
	}
	bodySize := int64(size) - headerSize
	if int64(count)*eventSize > bodySize {
		return 0, fmt.Errorf("%d records do not fit into %d bytes", count, bodySize)
	}
	c.frame.Reset()
	// CopyN grows the buffer only as bytes arrive, so that a wrong length in the header cannot cause a large
	// allocation.
	if _, err := io.CopyN(&c.frame, c.input, bodySize); err != nil {
		return 0, errors.New("input ends inside the frame")
	}
	body := c.frame.Bytes()
	records := body[:int(count)*eventSize]
	c.tail = body[len(records):]
	c.actionRecords, c.actionTail, c.actionCount = c.actionRecords[:0], c.actionTail[:0], 0
	for i := 0; i < len(records); i += eventSize {
		if err := c.handleEvent(records[i : i+eventSize]); err != nil {
			return 0, fmt.Errorf("record %d: %w", i/eventSize, err)
		}
	}
	return batch, nil
}

// writeReply writes the reply to the frame with the given batch number.
func (c *conn) writeReply(w io.Writer, batch uint32) error {
	var head [12]byte
	bigEndian.PutUint32(head[0:], uint32(len(head)+len(c.actionRecords)+len(c.actionTail)))
	bigEndian.PutUint32(head[4:], c.actionCount)
	bigEndian.PutUint32(head[8:], batch)
	c.actionRecords = append(c.actionRecords, c.actionTail...)
	if _, err := w.Write(append(head[:], c.actionRecords...)); err != nil {
		return fmt.Errorf("reply: %w", err)
	}
	return nil
}

// tailBytes returns the part of the frame's tail that a field refers to by its offset in bytes and its number of units,
// which are unitSize bytes each.
func (c *conn) tailBytes(field []byte, unitSize int) ([]byte, error) {
	offset, length := int64(bigEndian.Uint32(field)), int64(bigEndian.Uint32(field[4:]))*int64(unitSize)
	if offset+length > int64(len(c.tail)) {
		return nil, fmt.Errorf("offset %d and length %d are outside the tail of %d bytes", offset, length, len(c.tail))
	}
	return c.tail[offset : offset+length], nil
}

// Codes of events. eventPeer and eventFirst, which the decision module has no use for, are ignored.
const (
	eventClientGone = iota
	eventOp
	eventStop
	eventPeer
	eventStart
	eventTimer
	eventList
	eventProbeEnded
	eventListData
	eventSendEnded
	eventFirst
)

// handleEvent handles the event in the record b.
func (c *conn) handleEvent(b []byte) (err error) {
	code := b[0]
	if code == eventListData {
		return c.storeList(b)
	}
	if code > eventFirst {
		return fmt.Errorf("unknown event code %d; expected 0 to 10", code)
	}
	id := bigEndian.Uint16(b[1:])
	if code == eventStart {
		return c.startInstance(id, b)
	}
	in := c.instances[id]
	if in == nil {
		return fmt.Errorf("event code %d is for instance %d, which is not running", code, id)
	}
	if code == eventStop {
		delete(c.instances, id)
		return nil
	}
	defer in.recoverPanic(&err)
	now, g := in.now(), in.gateway
	switch code {
	case eventClientGone:
		g.ClientGone(now, bigEndian.Uint32(b[3:]))
	case eventOp:
		if int(b[7]) >= in.opTypeCount {
			return fmt.Errorf("op type %d is unknown: the settings define %d", b[7], in.opTypeCount)
		}
		// The group and the age of the session's last write, in milliseconds, are encoded as floats. Bit 1 of b[44] marks
		// a retry.
		g.Op(now, choice.Arrival{ID: bigEndian.Uint32(b[3:]), OpType: b[7], Session: bigEndian.Uint64(b[12:]),
			ClientLeavesAt: in.sinceStart(bigEndian.Uint64(b[20:])), Group: uint16(float32At(b[36:])),
			WriteAge: milliseconds(float64(float32At(b[40:]))), IsRetry: b[44]&2 != 0})
	case eventTimer:
		g.Timer(now, bigEndian.Uint32(b[3:]))
	case eventList:
		return c.passList(in, b)
	case eventProbeEnded:
		result, err := resultOf(bigEndian.Uint16(b[7:]))
		if err != nil {
			return err
		}
		in.passReport(b[17:], bigEndian.Uint32(b[3:]))
		g.ProbeAnswer(now, bigEndian.Uint32(b[3:]), result, time.Duration(bigEndian.Uint64(b[9:])))
	case eventSendEnded:
		result, err := resultOf(bigEndian.Uint16(b[12:]))
		if err != nil {
			return err
		}
		in.passReport(b[27:], bigEndian.Uint32(b[8:]))
		status := bigEndian.Uint32(b[23:]) // upper 30 bits: position in milliseconds, 0 if unknown; lower 2: role
		pos := in.positionEpoch + time.Duration(status>>2)*time.Millisecond
		if status>>2 == 0 {
			pos = choice.LongPast
		}
		g.Answer(now, bigEndian.Uint32(b[3:]), b[7], bigEndian.Uint32(b[8:]), result,
			time.Duration(bigEndian.Uint64(b[14:])), b[22] != 0, roleOf(status&3), pos)
	}
	return nil
}

// storeList stores a list under its number, for later events that refer to it.
func (c *conn) storeList(b []byte) error {
	n := bigEndian.Uint32(b[1:])
	if n >= maxLists {
		return fmt.Errorf("list number %d is more than the maximum %d", n, maxLists-1)
	}
	entries, err := c.tailBytes(b[5:], listEntrySize)
	if err != nil {
		return err
	}
	c.lists[n] = append(c.lists[n][:0], entries...)
	c.listStored[n] = true
	return nil
}

// startInstance starts a gateway with the settings that the event carries.
func (c *conn) startInstance(id uint16, b []byte) (err error) {
	text, err := c.tailBytes(b[11:], 1)
	if err != nil {
		return err
	}
	values, err := deployment.FromText(text)
	if err != nil {
		return err
	}
	settings, err := values.Read()
	if err != nil {
		return err
	}
	settings.Seed = bigEndian.Uint64(b[3:])
	in := &instance{conn: c, id: id, startClock: c.clock, opTypeCount: len(settings.OpTypes),
		reportNames: settings.ReportNames}
	if settings.PositionEpoch > 0 {
		in.positionEpoch = in.sinceStart(settings.PositionEpoch)
	}
	c.instances[id] = in
	defer in.recoverPanic(&err)
	in.gateway = choice.New(in, &settings.Deployment)
	return nil
}

// passList passes the list that an event refers to, or the failure to get one, to the gateway.
func (c *conn) passList(in *instance, b []byte) error {
	scopes := [...]choice.ListScope{choice.ListCached, choice.ListFull, choice.ListFailed, choice.ListChanges}
	if int(b[11]) >= len(scopes) {
		return fmt.Errorf("unknown list scope %d; expected 0 to 3", b[11])
	}
	scope := scopes[b[11]]
	c.listed = c.listed[:0]
	if scope != choice.ListFailed {
		n := bigEndian.Uint32(b[3:])
		if n >= maxLists || !c.listStored[n] {
			return fmt.Errorf("list number %d was never sent", n)
		}
		for e := c.lists[n]; len(e) > 0; e = e[listEntrySize:] {
			state := choice.Gone
			switch e[24] {
			case 0:
			case 1:
				state = choice.Ready
			case 3:
				state = choice.Draining
			default:
				return fmt.Errorf("unknown server status %d; expected 0, 1 or 3", e[24])
			}
			started := choice.LongPast
			if clock := bigEndian.Uint64(e[5:]); clock != 0 {
				started = in.sinceStart(clock)
			}
			c.listed = append(c.listed, choice.Listed{ID: bigEndian.Uint32(e[20:]), Group: bigEndian.Uint16(e[17:]),
				Zone: e[0], Kind: e[19], Primary: float32At(e[1:]) == 1, State: state, Started: started,
				Weight: float32At(e[13:])})
		}
	}
	in.gateway.List(in.now(), scope, c.listed)
	return nil
}

func float32At(b []byte) float32 { return math.Float32frombits(bigEndian.Uint32(b)) }

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func roleOf(code uint32) choice.Role {
	switch code {
	case 1:
		return choice.Primary
	case 2:
		return choice.Replica
	}
	return choice.RoleUnknown
}

// resultOf returns the result for an outcome code of the protocol.
func resultOf(code uint16) (choice.Result, error) {
	switch code {
	case 0:
		return choice.Acked, nil
	case 5:
		return choice.ServerError, nil
	case 11:
		return choice.ServerFull, nil
	case 110:
		return choice.TimedOut, nil
	case 111:
		return choice.NoConnection, nil
	case 104:
		return choice.Reset, nil
	case 125:
		return choice.Cancelled, nil
	case 114:
		return choice.NotSent, nil
	case 2:
		return choice.Declined, nil
	}
	return 0, fmt.Errorf("unknown outcome code %d; expected 0, 2, 5, 11, 104, 110, 111, 114 or 125", code)
}
