package clientside

import (
	"errors"
	"io"
	"syscall"
	"time"

	"gorsewell/internal/membudget"
)

// The end of a client's stream arrives behind all that the client has sent. While unread input fills the buffers of both
// machines, nothing tells whether the client has left. So input is read ahead before an op is submitted, and while
// open ops wait for their answers.

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
	bytes  []byte
	readAt time.Duration
	memory membudget.Reservation
}

// readAhead holds input that was read from the socket and has not been processed.
type readAhead struct {
	pieces []aheadPiece

	// size is the number of bytes in all pieces.
	size int
}

// take moves bytes from the front into a buffer and returns how many, and when they were read.
func (r *readAhead) take(buffer []byte) (n int, readAt time.Duration) {
	if r.size == 0 {
		return 0, 0
	}
	front := &r.pieces[0]
	n, readAt = copy(buffer, front.bytes), front.readAt
	front.bytes = front.bytes[n:]
	r.size -= n
	if len(front.bytes) == 0 {
		front.memory.Release()
		r.pieces = r.pieces[1:]
	}
	return n, readAt
}

// release drops everything.
func (r *readAhead) release() {
	for i := range r.pieces {
		r.pieces[i].memory.Release()
	}
	*r = readAhead{}
}

// readAheadOnce reads ahead what has arrived, up to a piece. It returns 0 if nothing has arrived, errNoMemory if there is
// no memory for it, and errClientGone if the client has left.
func (c *conn) readAheadOnce() (n int, err error) {
	if c.clientClosed() {
		return 0, errClientGone
	}
	if c.acceptor.finalReads.Load() { // no op is sent any more, and what is not processed has to stay unread
		return 0, nil
	}
	arrived := unreadBytes(c.raw)
	if arrived == 0 {
		return 0, nil
	}
	size := min(arrived, readAheadPiece)
	budget := c.acceptor.budgets.ahead
	if share := budget.Limit() / max(1, int64(c.acceptor.pipelining.Load())); int64(c.ahead.size+size) > share {
		return 0, errNoMemory
	}
	memory, ok := budget.TryReserve(size)
	if !ok {
		return 0, errNoMemory
	}
	piece := aheadPiece{bytes: make([]byte, size), memory: memory}
	n, err = c.readNow(piece.bytes)
	if n <= 0 {
		memory.Release()
		if err == syscall.EAGAIN {
			return 0, nil
		}
		return 0, errClientGone
	}
	piece.bytes, piece.readAt = piece.bytes[:n], c.acceptor.clock.Now()
	c.lastActivity.Store(int64(piece.readAt))
	c.ahead.pieces = append(c.ahead.pieces, piece)
	c.ahead.size += n
	return n, nil
}

// confirmPresence returns nil if the client has not left, as all that it has sent has been read. It returns errMoreInput
// if there is more to read ahead than may be read in a turn, errNoMemory if there is no memory for it, and
// errClientGone if the client has left.
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

// awaitClientLeaving waits until the client leaves, and returns true, or until the read deadline passes. Meanwhile it
// reads ahead.
func (c *conn) awaitClientLeaving() (gone bool) {
	err := c.raw.Read(func(uintptr) bool {
		gone = c.confirmPresenceInTurns() == errClientGone
		return gone
	})
	return gone || err != nil && !isTimeout(err)
}

// confirmPresenceInTurns is like confirmPresence but takes as many turns as it needs.
func (c *conn) confirmPresenceInTurns() (err error) {
	for err = errMoreInput; err == errMoreInput; {
		if err = c.confirmPresence(); err == errMoreInput {
			c.acceptor.turns.await(c.flow)
			c.acceptor.turns.end(c.flow)
		}
	}
	return err
}

// readNow reads without waiting and counts the time that it takes.
func (c *conn) readNow(space []byte) (n int, err error) {
	start := c.acceptor.clock.Now()
	rawErr := c.raw.Control(func(fd uintptr) { n, err = readFile(fd, space) })
	c.flow.readTime += c.acceptor.clock.Now() - start
	if rawErr != nil {
		return 0, rawErr
	}
	if n == 0 && err == nil {
		return 0, io.EOF
	}
	return n, err
}

// readFile reads from a descriptor, again if a signal interrupts it.
func readFile(fd uintptr, space []byte) (n int, err error) {
	for err = syscall.EINTR; err == syscall.EINTR; {
		n, err = syscall.Read(int(fd), space)
	}
	return n, err
}
