package clientside

import (
	"errors"
	"io"
	"os"

	"golang.org/x/sys/unix"
)

// readSocket reads into the given space and records whether it had to wait for input.
func (c *conn) readSocket(space []byte) (n int, err error) {
	c.flow.Backlogged = true
	if n = c.ahead.take(space); n > 0 {
		return n, nil
	}
	rawErr := c.raw.Read(func(fd uintptr) bool {
		start := c.acceptor.clock.Now()
		n, err = readFile(fd, space)
		c.flow.readTime += c.acceptor.clock.Now() - start
		if err == unix.EAGAIN {
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
	if c.ahead.size > 0 {
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
