package clientside

import (
	"errors"
	"io"
	"os"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"

	"gorsewell/choice"
	"gorsewell/internal/invariant"
)

// discardPieces holds buffers for input that is discarded.
var discardPieces = sync.Pool{New: func() any { return new([discardPiece]byte) }}

// discardPiece is how many bytes of a message that is skipped are read at a time at most.
const discardPiece = 64 << 10

// readSocket reads into the given space and records whether it had to wait for input.
func (c *conn) readSocket(space []byte) (n int, err error) {
	if n, arrival := c.ahead.take(space); n > 0 {
		c.flow.Backlogged = true
		c.arrival = arrival
		return n, nil
	}
	return c.readWaiting(func(fd uintptr) (int, error) { return readFile(fd, space) })
}

// skipSocket reads and discards up to max bytes of a message that is skipped.
func (c *conn) skipSocket(max int) (n int, err error) {
	return c.readWaiting(func(fd uintptr) (int, error) {
		piece := discardPieces.Get().(*[discardPiece]byte)
		defer discardPieces.Put(piece)
		return readFile(fd, piece[:min(max, len(piece))])
	})
}

// readWaiting reads once there is input. It counts the time of the read, and records whether it had to wait.
func (c *conn) readWaiting(read func(fd uintptr) (int, error)) (n int, err error) {
	invariant.Check(!c.ahead.discarding, "input is read in its order")
	c.flow.Backlogged = true
	rawErr := c.raw.Read(func(fd uintptr) bool {
		start := c.acceptor.clock.Now()
		var arrival choice.InputArrival
		n, arrival, err = c.trackRead(fd, func() (int, error) { return read(fd) })
		if n > 0 {
			c.arrival = arrival
		}
		c.flow.readTime += c.acceptor.clock.Now() - start
		if err == syscall.EAGAIN {
			c.flow.Backlogged = false
			return false
		}
		return true
	})
	switch {
	case rawErr != nil:
		return 0, rawErr
	case err != nil:
		return 0, err
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// awaitClientClose waits, without reading, until the client closes its end and returns true. It returns false when the
// read deadline passes.
func (c *conn) awaitClientClose() (gone bool) {
	err := c.raw.Read(func(fd uintptr) bool {
		gone = peerClosed(fd)
		return gone
	})
	return gone || err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// clientClosed reports whether the client has closed its end, even if there are unread bytes before that.
func (c *conn) clientClosed() (gone bool) {
	err := c.raw.Control(func(fd uintptr) { gone = peerClosed(fd) })
	return gone || err != nil
}

// peerClosed asks the kernel whether the peer of a socket has closed it or shut down its writing side.
func peerClosed(fd uintptr) bool { return poll(fd, unix.POLLRDHUP) }

// hasUnreadInput reports whether a read would not wait: the client's bytes, or the end of its stream, have arrived.
func (c *conn) hasUnreadInput() (ready bool) {
	if !c.ahead.isEmpty() {
		return true
	}
	err := c.raw.Control(func(fd uintptr) { ready = poll(fd, unix.POLLIN) })
	return ready || err != nil
}

// poll asks the kernel, without waiting, whether any of the events has occurred on a socket.
func poll(fd uintptr, events int16) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: events}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0
}

// isTimeout reports whether a read ended by its deadline.
func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
