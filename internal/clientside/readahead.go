package clientside

import (
	"errors"
	"io"
	"syscall"

	"gorsewell/choice"
	"gorsewell/internal/membudget"
)

// The end of a client's stream arrives behind all that the client has sent. While unread input fills the buffers of both
// machines, nothing tells whether the client has left. So input is read ahead before an op is submitted, and while
// open ops wait for their answers. Beyond the memory for that it is read only as far as sends need it, see discard.go.

const (
	// readAheadMemoryDivisor is the part of the memory for input that was read ahead.
	readAheadMemoryDivisor = 16

	// readAheadPiece is how many bytes are read ahead at a time at most.
	readAheadPiece = 64 << 10

	// readAheadTurn is how many bytes are read ahead in one turn.
	readAheadTurn = 256 << 10
)

// errMoreInput means that there is more to read ahead.
var errMoreInput = errors.New("more input has arrived")

// aheadPiece is a piece of input that was read ahead.
type aheadPiece struct {
	bytes   []byte
	arrival choice.InputArrival
	memory  membudget.Reservation
}

// readAhead holds input that was read from the socket and has not been processed.
type readAhead struct {
	pieces []aheadPiece

	// size is the number of bytes in all pieces.
	size int

	// scanner has scanned all input up to the end of what was read ahead.
	scanner commandScanner

	// discarding is true if input behind the pieces was discarded, see discard.go.
	discarding bool
}

// isEmpty reports whether nothing was read ahead.
func (r *readAhead) isEmpty() bool { return r.size == 0 && !r.discarding }

// add adds a piece that was read.
func (r *readAhead) add(piece aheadPiece) {
	r.pieces = append(r.pieces, piece)
	r.size += len(piece.bytes)
	r.scanner.scan(piece.bytes)
}

// dropEnd drops up to n bytes from the end and returns how many.
func (r *readAhead) dropEnd(n int) (dropped int) {
	for dropped < n && r.size > 0 {
		last := &r.pieces[len(r.pieces)-1]
		size := min(n-dropped, len(last.bytes))
		last.bytes = last.bytes[:len(last.bytes)-size]
		r.size -= size
		dropped += size
		if len(last.bytes) == 0 {
			last.memory.Release()
			r.pieces = r.pieces[:len(r.pieces)-1]
		}
	}
	return dropped
}

// take moves bytes from the front into a buffer and returns how many, and when they had arrived.
func (r *readAhead) take(buffer []byte) (n int, arrival choice.InputArrival) {
	if r.size == 0 {
		return 0, arrival
	}
	front := &r.pieces[0]
	n, arrival = copy(buffer, front.bytes), front.arrival
	front.bytes = front.bytes[n:]
	r.size -= n
	if len(front.bytes) == 0 {
		front.memory.Release()
		r.pieces = r.pieces[1:]
	} else {
		arrival.Newest = arrival.Earliest // its newest byte stays behind
	}
	return n, arrival
}

// release drops everything.
func (r *readAhead) release() {
	for i := range r.pieces {
		r.pieces[i].memory.Release()
	}
	*r = readAhead{}
}

// readAheadOnce reads ahead what has arrived, up to a piece. It returns 0 if nothing has arrived and errClientGone if the
// client has left. If there is no memory it discards what it reads, provided that a send needs to know whether the client
// is there, and returns errNoMemory otherwise.
func (c *conn) readAheadOnce() (n int, err error) {
	arrived, err := c.findInput()
	if err != nil {
		return 0, err
	}
	if c.acceptor.finalReads.Load() { // no op is sent any more, and what is not processed has to stay unread
		return 0, nil
	}
	if arrived == 0 {
		return 0, nil
	}
	if c.ahead.isEmpty() {
		c.ahead.scanner = commandScanner{maxMessage: c.readBuffer.MessageLimit()}
		c.ahead.scanner.scan(c.readBuffer.Bytes())
	}
	memory, ok := c.reserveAhead(min(arrived, readAheadPiece))
	switch {
	case ok:
		n, err = c.readPiece(min(arrived, readAheadPiece), memory)
	case c.ahead.discarding || c.presence.mustDrain():
		n, err = c.discardAhead()
	default:
		return 0, errNoMemory
	}
	switch {
	case n > 0:
		c.lastActivity.Store(int64(c.acceptor.clock.Now()))
		return n, nil
	case err == syscall.EAGAIN:
		return 0, nil
	}
	return 0, errClientGone
}

// reserveAhead reserves memory to read ahead, a fair part of which is left to other connections. It returns false if there
// is none, or if input that was discarded comes before.
func (c *conn) reserveAhead(size int) (memory membudget.Reservation, ok bool) {
	budget := c.acceptor.budgets.ahead
	share := budget.Limit() / max(1, int64(c.acceptor.pipelining.Load()))
	if c.ahead.discarding || int64(c.ahead.size+size) > share {
		return memory, false
	}
	return budget.TryReserve(size)
}

// readPiece reads a piece ahead into reserved memory.
func (c *conn) readPiece(size int, memory membudget.Reservation) (n int, err error) {
	bytes := make([]byte, size)
	n, arrival, err := c.readNow(bytes)
	if n <= 0 {
		memory.Release()
		return n, err
	}
	c.ahead.add(aheadPiece{bytes: bytes[:n], memory: memory, arrival: arrival})
	return n, nil
}

// confirmPresence returns nil if the client has not left, as all that it has sent has been read. It returns errMoreInput
// if there is more to read ahead than may be read in a turn, errNoMemory if there is no memory for it and no send needs to
// know more, and errClientGone if the client has left.
func (c *conn) confirmPresence() error {
	for total := 0; ; {
		n, err := c.readAheadOnce()
		if n == 0 || err != nil {
			return err
		}
		if total += n; total >= readAheadTurn {
			return errMoreInput
		}
	}
}

// awaitClientLeaving waits until the client leaves, and returns true, or until the read deadline passes or there is space
// for another command. Meanwhile it reads ahead.
func (c *conn) awaitClientLeaving() (gone bool) {
	err := c.raw.Read(func(uintptr) bool {
		err := c.confirmPresenceInTurns()
		gone = err == errClientGone
		return gone || err == errMoreInput
	})
	return gone || err != nil && !isTimeout(err)
}

// confirmPresenceInTurns is like confirmPresence but takes as many turns as it needs, until there is space for another
// command.
func (c *conn) confirmPresenceInTurns() (err error) {
	for err = errMoreInput; err == errMoreInput && !c.hasQueueSpace(); {
		if err = c.confirmPresence(); err == errMoreInput {
			c.acceptor.turns.await(c.flow)
			c.acceptor.turns.end(c.flow)
		}
	}
	return err
}

// readNow reads without waiting and counts the time that it takes.
func (c *conn) readNow(space []byte) (n int, arrival choice.InputArrival, err error) {
	start := c.acceptor.clock.Now()
	rawErr := c.raw.Control(func(fd uintptr) {
		n, arrival, err = c.trackRead(fd, func() (int, error) { return readFile(fd, space) })
	})
	c.flow.readTime += c.acceptor.clock.Now() - start
	switch {
	case rawErr != nil:
		return 0, arrival, rawErr
	case n == 0 && err == nil:
		return 0, arrival, io.EOF
	}
	return n, arrival, err
}

// readFile reads from a descriptor, again if a signal interrupts it.
func readFile(fd uintptr, space []byte) (n int, err error) {
	for err = syscall.EINTR; err == syscall.EINTR; {
		n, err = syscall.Read(int(fd), space)
	}
	return n, err
}
