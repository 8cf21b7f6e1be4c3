// Package simwire speaks the bench's binary wire: it decodes events into calls of a gateway's
// methods and encodes what the gateway does as actions.
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
	headerSize    = 20
	eventSize     = 48
	actionSize    = 24
	listEntrySize = 25
	maxLists      = 16
)

var bigEndian = binary.BigEndian

type conn struct {
	input         *bufio.Reader
	frame         bytes.Buffer
	tail          []byte // the tail of the frame being read
	clock         uint64
	lists         [maxLists][]byte
	listStored    [maxLists]bool
	instances     map[uint16]*instance
	listed        []choice.Listed // reused for each list handed over
	actionRecords []byte          // records of the reply
	actionTail    []byte
	actionCount   uint32
}

// Serve answers batches from r on w until r ends. An error tells what is malformed and where.
func Serve(r io.Reader, w io.Writer) error {
	x := &conn{input: bufio.NewReaderSize(r, 1<<16), instances: map[uint16]*instance{}}
	for n := 1; ; n++ {
		batch, err := x.readFrame()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return fmt.Errorf("frame %d: %w", n, err)
		}
		if err := x.writeReply(w, batch); err != nil {
			return err
		}
	}
}

// read takes one frame and hands each of its events over.
func (x *conn) readFrame() (batch uint32, err error) {
	var head [headerSize]byte
	if _, err := io.ReadFull(x.input, head[:]); err != nil {
		if err == io.ErrUnexpectedEOF {
			return 0, errors.New("input ends inside the header")
		}
		return 0, err
	}
	size, count := bigEndian.Uint32(head[0:]), bigEndian.Uint32(head[12:])
	x.clock, batch = bigEndian.Uint64(head[4:]), bigEndian.Uint32(head[16:])
	if size < headerSize {
		return 0, fmt.Errorf("length %d is shorter than the header", size)
	}
	body := int64(size) - headerSize
	if int64(count)*eventSize > body {
		return 0, fmt.Errorf("%d records do not fit into %d bytes", count, body)
	}
	x.frame.Reset()
	// CopyN grows the buffer only as bytes arrive, whatever length the header claims.
	if _, err := io.CopyN(&x.frame, x.input, body); err != nil {
		return 0, errors.New("input ends inside the frame")
	}
	all := x.frame.Bytes()
	records := all[:int(count)*eventSize]
	x.tail = all[len(records):]
	x.actionRecords, x.actionTail, x.actionCount = x.actionRecords[:0], x.actionTail[:0], 0
	for i := 0; i < len(records); i += eventSize {
		if err := x.handleEvent(records[i : i+eventSize]); err != nil {
			return 0, fmt.Errorf("record %d: %w", i/eventSize, err)
		}
	}
	return batch, nil
}

func (x *conn) writeReply(w io.Writer, batch uint32) error {
	var head [12]byte
	bigEndian.PutUint32(head[0:], uint32(len(head)+len(x.actionRecords)+len(x.actionTail)))
	bigEndian.PutUint32(head[4:], x.actionCount)
	bigEndian.PutUint32(head[8:], batch)
	x.actionRecords = append(x.actionRecords, x.actionTail...)
	if _, err := w.Write(append(head[:], x.actionRecords...)); err != nil {
		return fmt.Errorf("reply: %w", err)
	}
	return nil
}

// bytesAt returns n units of the tail from the place that the field names.
func (x *conn) tailBytes(field []byte, unit int) ([]byte, error) {
	off, n := int64(bigEndian.Uint32(field)), int64(bigEndian.Uint32(field[4:]))*int64(unit)
	if off+n > int64(len(x.tail)) {
		return nil, fmt.Errorf("offset %d with %d bytes lies outside the tail of %d", off, n, len(x.tail))
	}
	return x.tail[off : off+n], nil
}

// The codes of events.
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

func (x *conn) handleEvent(b []byte) (err error) {
	code := b[0]
	if code == eventListData {
		return x.storeList(b)
	}
	if code > eventFirst {
		return fmt.Errorf("unknown event code %d", code)
	}
	who := bigEndian.Uint16(b[1:])
	if code == eventStart {
		return x.startInstance(who, b)
	}
	in := x.instances[who]
	if in == nil {
		return fmt.Errorf("event %d for instance %d, which is not running", code, who)
	}
	if code == eventStop {
		delete(x.instances, who)
		return nil
	}
	defer in.recoverPanic(&err)
	now, g := in.now(), in.gateway
	switch code {
	case eventClientGone:
		g.ClientGone(now, bigEndian.Uint32(b[3:]))
	case eventOp:
		if int(b[7]) >= in.opTypeCount {
			return fmt.Errorf("op type %d of %d", b[7], in.opTypeCount)
		}
		g.Op(now, bigEndian.Uint32(b[3:]), b[7], bigEndian.Uint64(b[12:]), in.sinceStart(bigEndian.Uint64(b[20:])),
			uint16(float32At(b[36:])), milliseconds(float64(float32At(b[40:]))), b[44]&2 != 0)
	case eventTimer:
		g.Timer(now, bigEndian.Uint32(b[3:]))
	case eventList:
		return x.passList(in, b)
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
		note := bigEndian.Uint32(b[23:])
		pos := in.positionEpoch + time.Duration(note>>2)*time.Millisecond
		if note>>2 == 0 {
			pos = choice.LongPast
		}
		g.Answer(now, bigEndian.Uint32(b[3:]), b[7], bigEndian.Uint32(b[8:]), result,
			time.Duration(bigEndian.Uint64(b[14:])), b[22] != 0, roleOf(note&3), pos)
	}
	return nil
}

func (x *conn) storeList(b []byte) error {
	n := bigEndian.Uint32(b[1:])
	if n >= maxLists {
		return fmt.Errorf("list number %d is over %d", n, maxLists-1)
	}
	entries, err := x.tailBytes(b[5:], listEntrySize)
	if err != nil {
		return err
	}
	x.lists[n] = append(x.lists[n][:0], entries...)
	x.listStored[n] = true
	return nil
}

func (x *conn) startInstance(who uint16, b []byte) (err error) {
	text, err := x.tailBytes(b[11:], 1)
	if err != nil {
		return err
	}
	values, err := deployment.FromText(text)
	if err != nil {
		return err
	}
	told, err := values.Read()
	if err != nil {
		return err
	}
	told.Seed = bigEndian.Uint64(b[3:])
	in := &instance{conn: x, id: who, startClock: x.clock, opTypeCount: len(told.OpTypes), reportNames: told.ReportNames}
	if told.PositionEpoch > 0 {
		in.positionEpoch = in.sinceStart(told.PositionEpoch)
	}
	x.instances[who] = in
	defer in.recoverPanic(&err)
	in.gateway = choice.New(in, &told.Deployment)
	return nil
}

func (x *conn) passList(in *instance, b []byte) error {
	scopes := [...]choice.ListScope{choice.ListCached, choice.ListFull, choice.ListFailed, choice.ListChanges}
	if int(b[11]) >= len(scopes) {
		return fmt.Errorf("unknown list scope %d", b[11])
	}
	scope := scopes[b[11]]
	x.listed = x.listed[:0]
	if scope != choice.ListFailed {
		n := bigEndian.Uint32(b[3:])
		if n >= maxLists || !x.listStored[n] {
			return fmt.Errorf("list number %d was never sent", n)
		}
		for e := x.lists[n]; len(e) > 0; e = e[listEntrySize:] {
			state := choice.Gone
			switch e[24] {
			case 0:
			case 1:
				state = choice.Ready
			case 3:
				state = choice.Draining
			default:
				return fmt.Errorf("unknown server status %d", e[24])
			}
			started := choice.LongPast
			if at := bigEndian.Uint64(e[5:]); at != 0 {
				started = in.sinceStart(at)
			}
			x.listed = append(x.listed, choice.Listed{ID: bigEndian.Uint32(e[20:]), Group: bigEndian.Uint16(e[17:]),
				Zone: e[0], Kind: e[19], Primary: float32At(e[1:]) == 1, State: state, Started: started,
				Weight: float32At(e[13:])})
		}
	}
	in.gateway.List(in.now(), scope, x.listed)
	return nil
}

func float32At(b []byte) float32 { return math.Float32frombits(bigEndian.Uint32(b)) }

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func roleOf(n uint32) choice.Role {
	switch n {
	case 1:
		return choice.Primary
	case 2:
		return choice.Replica
	}
	return choice.RoleUnknown
}

func resultOf(rc uint16) (choice.Result, error) {
	switch rc {
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
	return 0, fmt.Errorf("unknown outcome %d", rc)
}
