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
	headerSize = 20
	eventSize  = 48
	actionSize = 24
	entrySize  = 25
	maxPages   = 16
)

var be = binary.BigEndian

type wire struct {
	in       *bufio.Reader
	frame    bytes.Buffer
	tail     []byte // the tail of the frame being read
	clock    uint64
	pages    [maxPages][]byte
	known    [maxPages]bool
	gateways map[uint16]*instance
	listed   []choice.Listed // reused for each list handed over
	out      []byte          // records of the reply
	outTail  []byte
	actions  uint32
}

// Serve answers batches from r on w until r ends. An error tells what is malformed and where.
func Serve(r io.Reader, w io.Writer) error {
	x := &wire{in: bufio.NewReaderSize(r, 1<<16), gateways: map[uint16]*instance{}}
	for n := 1; ; n++ {
		batch, err := x.read()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return fmt.Errorf("frame %d: %w", n, err)
		}
		if err := x.reply(w, batch); err != nil {
			return err
		}
	}
}

// read takes one frame and hands each of its events over.
func (x *wire) read() (batch uint32, err error) {
	var head [headerSize]byte
	if _, err := io.ReadFull(x.in, head[:]); err != nil {
		if err == io.ErrUnexpectedEOF {
			return 0, errors.New("input ends inside the header")
		}
		return 0, err
	}
	size, count := be.Uint32(head[0:]), be.Uint32(head[12:])
	x.clock, batch = be.Uint64(head[4:]), be.Uint32(head[16:])
	if size < headerSize {
		return 0, fmt.Errorf("length %d is shorter than the header", size)
	}
	body := int64(size) - headerSize
	if int64(count)*eventSize > body {
		return 0, fmt.Errorf("%d records do not fit into %d bytes", count, body)
	}
	x.frame.Reset()
	// CopyN grows the buffer only as bytes arrive, whatever length the header claims.
	if _, err := io.CopyN(&x.frame, x.in, body); err != nil {
		return 0, errors.New("input ends inside the frame")
	}
	all := x.frame.Bytes()
	records := all[:int(count)*eventSize]
	x.tail = all[len(records):]
	x.out, x.outTail, x.actions = x.out[:0], x.outTail[:0], 0
	for i := 0; i < len(records); i += eventSize {
		if err := x.event(records[i : i+eventSize]); err != nil {
			return 0, fmt.Errorf("record %d: %w", i/eventSize, err)
		}
	}
	return batch, nil
}

func (x *wire) reply(w io.Writer, batch uint32) error {
	var head [12]byte
	be.PutUint32(head[0:], uint32(len(head)+len(x.out)+len(x.outTail)))
	be.PutUint32(head[4:], x.actions)
	be.PutUint32(head[8:], batch)
	x.out = append(x.out, x.outTail...)
	if _, err := w.Write(append(head[:], x.out...)); err != nil {
		return fmt.Errorf("reply: %w", err)
	}
	return nil
}

// bytesAt returns n units of the tail from the place that the field names.
func (x *wire) bytesAt(field []byte, unit int) ([]byte, error) {
	off, n := int64(be.Uint32(field)), int64(be.Uint32(field[4:]))*int64(unit)
	if off+n > int64(len(x.tail)) {
		return nil, fmt.Errorf("offset %d with %d bytes lies outside the tail of %d", off, n, len(x.tail))
	}
	return x.tail[off : off+n], nil
}

// The codes of events.
const (
	evClientGone = iota
	evOp
	evStop
	evPeer
	evStart
	evTimer
	evList
	evProbed
	evPage
	evAnswer
	evFirst
)

func (x *wire) event(b []byte) (err error) {
	code := b[0]
	if code == evPage {
		return x.page(b)
	}
	if code > evFirst {
		return fmt.Errorf("unknown event code %d", code)
	}
	who := be.Uint16(b[1:])
	if code == evStart {
		return x.start(who, b)
	}
	in := x.gateways[who]
	if in == nil {
		return fmt.Errorf("event %d for instance %d, which is not running", code, who)
	}
	if code == evStop {
		delete(x.gateways, who)
		return nil
	}
	defer in.caught(&err)
	now, g := in.now(), in.gateway
	switch code {
	case evClientGone:
		g.ClientGone(now, be.Uint32(b[3:]))
	case evOp:
		if int(b[7]) >= in.types {
			return fmt.Errorf("op type %d of %d", b[7], in.types)
		}
		g.Op(now, be.Uint32(b[3:]), b[7], be.Uint64(b[12:]), in.span(be.Uint64(b[20:])),
			uint16(float32At(b[36:])), millis(float64(float32At(b[40:]))), b[44]&2 != 0)
	case evTimer:
		g.Timer(now, be.Uint32(b[3:]))
	case evList:
		return x.list(in, b)
	case evProbed:
		result, err := resultOf(be.Uint16(b[7:]))
		if err != nil {
			return err
		}
		in.report(b[17:], be.Uint32(b[3:]))
		g.ProbeAnswer(now, be.Uint32(b[3:]), result, time.Duration(be.Uint64(b[9:])))
	case evAnswer:
		result, err := resultOf(be.Uint16(b[12:]))
		if err != nil {
			return err
		}
		in.report(b[27:], be.Uint32(b[8:]))
		note := be.Uint32(b[23:])
		pos := in.zero + time.Duration(note>>2)*time.Millisecond
		if note>>2 == 0 {
			pos = choice.LongPast
		}
		g.Answer(now, be.Uint32(b[3:]), b[7], be.Uint32(b[8:]), result,
			time.Duration(be.Uint64(b[14:])), b[22] != 0, roleOf(note&3), pos)
	}
	return nil
}

func (x *wire) page(b []byte) error {
	n := be.Uint32(b[1:])
	if n >= maxPages {
		return fmt.Errorf("list number %d is over %d", n, maxPages-1)
	}
	entries, err := x.bytesAt(b[5:], entrySize)
	if err != nil {
		return err
	}
	x.pages[n] = append(x.pages[n][:0], entries...)
	x.known[n] = true
	return nil
}

func (x *wire) start(who uint16, b []byte) (err error) {
	text, err := x.bytesAt(b[11:], 1)
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
	told.Seed = be.Uint64(b[3:])
	in := &instance{x: x, who: who, base: x.clock, types: len(told.OpTypes), names: told.ReportNames}
	if told.PositionEpoch > 0 {
		in.zero = in.span(told.PositionEpoch)
	}
	x.gateways[who] = in
	defer in.caught(&err)
	in.gateway = choice.New(in, &told.Deployment)
	return nil
}

func (x *wire) list(in *instance, b []byte) error {
	scopes := [...]choice.ListScope{choice.ListCached, choice.ListFull, choice.ListFailed, choice.ListChanges}
	if int(b[11]) >= len(scopes) {
		return fmt.Errorf("unknown list scope %d", b[11])
	}
	scope := scopes[b[11]]
	x.listed = x.listed[:0]
	if scope != choice.ListFailed {
		n := be.Uint32(b[3:])
		if n >= maxPages || !x.known[n] {
			return fmt.Errorf("list number %d was never sent", n)
		}
		for e := x.pages[n]; len(e) > 0; e = e[entrySize:] {
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
			if at := be.Uint64(e[5:]); at != 0 {
				started = in.span(at)
			}
			x.listed = append(x.listed, choice.Listed{ID: be.Uint32(e[20:]), Group: be.Uint16(e[17:]),
				Zone: e[0], Kind: e[19], Primary: float32At(e[1:]) == 1, State: state, Started: started,
				Weight: float32At(e[13:])})
		}
	}
	in.gateway.List(in.now(), scope, x.listed)
	return nil
}

func float32At(b []byte) float32 { return math.Float32frombits(be.Uint32(b)) }

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

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
