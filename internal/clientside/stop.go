package clientside

import (
	"errors"
	"os"
	"time"

	"gorsewell/internal/exchange"
)

// A planned stop has three phases, which begin at these times after the signal:
//
//   - At once: connections are still accepted and served as usual.
//   - stopAcceptPeriod: the listener is closed. A connection is closed as soon as it has no pending reply and no unread
//     input. Until then all its commands are processed: those that lie unread in the socket have been taken, too, and a
//     client cannot tell that they should be sent to another gateway.
//   - finalReplyTime before the process may be killed: all ops are ended, and further ones are given up at once.
//     finalReadTime later a connection reads only what has arrived by then. Clients that always have a command under way
//     would otherwise keep their connection open until the kill.

// A connection for which there is no room closes in the same way as in the second phase. There are overflowConns of these
// at most.

// closeWhenIdle makes a connection for which there is no room close as soon as it has neither a pending reply nor unread
// input.
func (c *conn) closeWhenIdle() {
	c.idleGraceEnd = time.Now()
	c.surplus.Store(true)
}

// hasRoomAgain reports whether there is room by now for a connection that had none. It is then like any other.
func (a *Acceptor) hasRoomAgain(c *conn) bool {
	if a.stopping.Load() || !a.ensureCapacity(c) {
		return false
	}
	c.surplus.Store(false)
	c.setReadDeadline(c.inputDeadline)
	return true
}

// isClosing reports whether the connection closes as soon as it may.
func (c *conn) isClosing() bool { return c.acceptor.stopping.Load() || c.surplus.Load() }

// beginClosing begins the second phase: it wakes all readers, which then close their connections when they may.
func (a *Acceptor) beginClosing() {
	a.stopping.Store(true)
	a.wakeReaders()
}

// limitReads makes connections read only what has arrived.
func (a *Acceptor) limitReads() {
	a.finalReads.Store(true)
	a.wakeReaders()
}

// wakeReaders ends all reads that wait for input.
func (a *Acceptor) wakeReaders() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.conns {
		c.net.SetReadDeadline(exchange.Past)
	}
}

// fillWhileClosing reads more bytes of a connection that is closing. It returns errClosing when it has to be closed.
// Bytes that stay unread in the socket turn the close into a reset, which tells the client that a command was not
// processed.
//
// Without pending replies and unread input, the reader waits once for closeGrace, as a command may arrive at that very
// moment, and for closeGrace for each piece of a message that has begun.
func (c *conn) fillWhileClosing() error {
	for graceEnd := (time.Time{}); ; {
		// The deadline is set before the conditions are checked: whoever changes one of them then ends the read.
		c.net.SetReadDeadline(c.inputDeadline)
		space := c.readBuffer.Space()
		switch {
		case c.acceptor.finalReads.Load():
			unread := c.finalInput()
			if unread == 0 {
				return errClosing
			}
			space = space[:min(len(space), unread)]
			c.net.SetReadDeadline(time.Time{}) // the read will not wait
		case c.hasUnreadInput():
			c.net.SetReadDeadline(time.Time{}) // the read will not wait
		case c.inputOverdue():
			return errClosing
		case c.pendingReplies.Load() > 0:
		case c.acceptor.hasRoomAgain(c):
			return nil
		default:
			if graceEnd.IsZero() {
				graceEnd = c.closeGraceEnd()
			}
			if !time.Now().Before(graceEnd) {
				return errClosing
			}
			c.net.SetReadDeadline(graceEnd)
		}
		n, err := c.readOnce(space)
		c.finalBytes -= n
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
	}
}

// closeGraceEnd returns until when a closing connection waits for input although it has no pending reply.
// A connection waits only once between two messages, however busy it is.
func (c *conn) closeGraceEnd() time.Time {
	now := time.Now()
	if c.messageBegun() {
		return now.Add(closeGrace)
	}
	if c.idleGraceEnd.IsZero() {
		c.idleGraceEnd = now.Add(closeGrace)
	}
	return c.idleGraceEnd
}

// finalInput returns how many bytes may still be read at the end of a planned stop: at first as many as have arrived.
func (c *conn) finalInput() int {
	if !c.finalBytesKnown {
		c.finalBytesKnown = true
		c.finalBytes = c.ahead.size + unreadBytes(c.raw)
	}
	return c.finalBytes
}
