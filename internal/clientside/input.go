package clientside

import (
	"errors"
	"os"
	"time"

	"gorsewell/internal/exchange"
	"gorsewell/internal/pgwire"
)

// readMessage reads one message, which stays valid until the next call. The rest of an incomplete message has to arrive
// within readTimeout.
func (c *conn) readMessage() (pgwire.Message, error) {
	for {
		m, ok, err := c.readBuffer.Next()
		if ok {
			c.endInputTime()
		}
		if ok || err != nil {
			return m, err
		}
		if c.atDiscardedInput() {
			return m, c.passDiscardedInput()
		}
		if c.inputDeadline.IsZero() && c.messageBegun() {
			c.limitInputTime()
		}
		size := pgwire.MessageSize(c.readBuffer.Bytes())
		switch {
		case c.readBuffer.Holds(size):
			err = c.fillInTurn()
		case c.readBuffer.Bytes()[0] != pgwire.Query: // no other command can be long
			err = pgwire.ErrMalformed
		case !c.ensureSpace(size):
			err = c.skipMessage(size)
		}
		if err != nil {
			return m, err
		}
	}
}

// messageBegun reports whether the beginning of an incomplete message has been read.
func (c *conn) messageBegun() bool { return len(c.readBuffer.Bytes()) > 0 || c.readBuffer.Skipping() }

// limitInputTime starts the time in which the next message has to be complete.
func (c *conn) limitInputTime() {
	c.inputDeadline = time.Now().Add(readTimeout)
	c.setReadDeadline(c.inputDeadline)
}

// endInputTime ends that time, as the message is complete.
func (c *conn) endInputTime() {
	if !c.inputDeadline.IsZero() {
		c.inputDeadline = time.Time{}
		c.setReadDeadline(c.inputDeadline)
	}
}

// inputOverdue reports whether the time is over in which a message had to be complete.
func (c *conn) inputOverdue() bool {
	return !c.inputDeadline.IsZero() && !time.Now().Before(c.inputDeadline)
}

// fillInTurn reads more bytes. If these do not complete a message, it waits for a turn, as there would be no other limit to
// how much is read.
func (c *conn) fillInTurn() error {
	if err := c.fill(); err != nil {
		return err
	}
	if size := pgwire.MessageSize(c.readBuffer.Bytes()); size == 0 || size > len(c.readBuffer.Bytes()) {
		c.acceptor.turns.await(c.flow)
		c.acceptor.turns.end(c.flow)
	}
	return nil
}

// fill reads more bytes. A read that times out is a sign that the connection has to be closed, by eviction, because of
// the read timeout or during a planned stop. Then fill returns errClosing if no reply is pending and no command arrives
// within a short grace period. It goes on reading if replies are pending, or if the reason to close has passed: input
// that arrives with the eviction may be read before the deadline is noticed.
func (c *conn) fill() error {
	for graceUsed := false; !c.isClosing(); {
		_, err := c.readOnce(c.readBuffer.Space())
		switch {
		case err == nil && graceUsed:
			c.setReadDeadline(c.inputDeadline)
			return nil
		case err == nil || !errors.Is(err, os.ErrDeadlineExceeded):
			return err
		case c.inputOverdue():
			return c.fillOverdue()
		case c.pendingReplies.Load() > 0 || !c.evicting.Load():
			graceUsed = false
			c.evicting.Store(false)
			c.setReadDeadline(c.inputDeadline)
		case graceUsed:
			return errClosing
		default:
			graceUsed = true
			grace := closeGrace
			if c.evicting.Load() && !c.sentCommand.Load() {
				grace = time.Millisecond // eviction waits for firstBytesWait: a command would have arrived
			}
			c.net.SetReadDeadline(time.Now().Add(grace))
		}
	}
	return c.fillWhileClosing()
}

// fillOverdue reads more bytes of a message that is overdue. What has arrived is read first, as the process may have
// stood still meanwhile. When nothing is left the connection has to be closed.
func (c *conn) fillOverdue() error {
	if !c.hasUnreadInput() {
		return errClosing
	}
	c.net.SetReadDeadline(time.Time{}) // the read will not wait
	_, err := c.readOnce(c.readBuffer.Space())
	c.setReadDeadline(c.inputDeadline)
	if errors.Is(err, os.ErrDeadlineExceeded) { // the connection was evicted just now
		return nil
	}
	return err
}

// readOnce reads n bytes into the given free space of the read buffer. It returns errClientGone for any error but a
// timeout.
func (c *conn) readOnce(space []byte) (n int, err error) {
	if left := c.readBuffer.SkipLeft(); left > len(space) && c.ahead.size == 0 && !c.acceptor.finalReads.Load() {
		n, err = c.skipSocket(left)
		c.readBuffer.Skipped(n)
	} else {
		n, err = c.readSocket(space)
		c.readBuffer.Filled(n)
	}
	switch {
	case n > 0:
		c.lastActivity.Store(int64(c.acceptor.clock.Now()))
		c.evicting.Store(false)
		return n, nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		return 0, err
	}
	return 0, errClientGone
}

// setReadDeadline sets the deadline of reads, or ends them at once if the connection is being evicted or the acceptor
// is stopping. Evicting and stopping set their flag first and the deadline second, so whichever of the two calls is
// last ends the read.
func (c *conn) setReadDeadline(deadline time.Time) {
	c.net.SetReadDeadline(deadline)
	if c.acceptor.stopping.Load() || c.evicting.Load() {
		c.net.SetReadDeadline(exchange.Past)
	}
}
