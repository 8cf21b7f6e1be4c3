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
//   - finalReplyTime before the process may be killed: all ops are ended, and a connection reads only what had arrived by
//     then. Clients that always have a command under way would otherwise keep their connection open until the kill.

// beginClosing begins the second phase: it wakes all readers, which then close their connections when they may.
func (a *Acceptor) beginClosing() {
	a.stopping.Store(true)
	a.wakeReaders()
}

// endOps begins the third phase.
func (a *Acceptor) endOps() {
	a.finalReads.Store(true)
	a.dispatcher.Stop()
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

// fillDuringStop reads more bytes once the acceptor is stopping. It returns errClosing when the connection has to be
// closed. Bytes that stay unread in the socket turn the close into a reset, which tells the client that a command was
// not processed.
//
// Without pending replies and unread input, the reader waits once for closeGrace, as a command may arrive at that very
// moment, and for closeGrace for each piece of a message that has begun.
func (c *conn) fillDuringStop() error {
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

// closeGraceEnd returns until when a connection waits for input during a planned stop although it has no pending reply.
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

// finalInput returns how many bytes may still be read in the last phase of a planned stop: at first as many as have
// arrived.
func (c *conn) finalInput() int {
	if !c.finalBytesKnown {
		c.finalBytesKnown = true
		c.finalBytes = c.unreadBytes()
	}
	return c.finalBytes
}
