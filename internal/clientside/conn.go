package clientside

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"gorsewell/choice"
	"gorsewell/internal/exchange"
	"gorsewell/internal/membudget"
	"gorsewell/internal/pgwire"
)

// conn is one client connection. Its reader goroutine owns all fields down to finalBytes but replies, its writer
// goroutine does all writes.
type conn struct {
	acceptor   *Acceptor
	net        *net.TCPConn
	raw        syscall.RawConn
	readBuffer pgwire.ReadBuffer

	// ahead is input that was read ahead.
	ahead readAhead

	// presence is what is known of the client. It may be used by any goroutine.
	presence presence

	// flow is the connection's input in the order of turns.
	flow *flow

	// arrival is when the bytes had arrived that were added to the read buffer last.
	arrival choice.InputArrival

	// replies holds the replies in the order of their commands.
	replies chan reply

	// inputMemory is reserved for the long message that is being read. The acceptor's mutex is held while it is set.
	inputMemory membudget.Reservation

	// openOps holds the ops of the connection that have not ended. Ended ones are removed when an op is added.
	openOps []*exchange.Exchange

	// inputDeadline is when the message that is being read has to be complete, zero if that time is not limited.
	inputDeadline time.Time

	// idleGraceEnd is until when the connection may be idle while it is closing, zero before it is.
	idleGraceEnd time.Time

	// finalBytesKnown is true once finalBytes has been set.
	finalBytesKnown bool

	// finalBytes is how many bytes may still be read at the end of a planned stop.
	finalBytes int

	// mu guards readPaused, and with it the read deadlines that pause and resume the reader.
	mu sync.Mutex

	// readPaused is true while the reader waits for a reply to be written.
	readPaused bool

	// pendingReplies is the number of replies that are queued and not written.
	pendingReplies atomic.Int32

	// pendingCommands is the number of those that answer a command.
	pendingCommands atomic.Int32

	// lastActivity is the time of the last read or reply, as a duration since the start of the clock.
	lastActivity atomic.Int64

	// sentCommand is true once the client has sent a valid command.
	sentCommand atomic.Bool

	// evicting is true if the connection was chosen to be closed and nothing has been received since.
	evicting atomic.Bool

	// surplus is true if there is no room for the connection.
	surplus atomic.Bool

	// readingDone is true once no further command is read. The connection closes after its pending replies.
	readingDone atomic.Bool
}

// newConn returns a connection that has to be served by run.
func (a *Acceptor) newConn(netConn *net.TCPConn) (*conn, error) {
	raw, err := netConn.SyscallConn()
	if err != nil {
		return nil, err
	}
	c := &conn{acceptor: a, net: netConn, raw: raw, flow: newFlow(),
		readBuffer: pgwire.ReadBuffer{MaxMessage: a.settings.MaxMessageBytes},
		replies:    make(chan reply, choice.MaxOpenCommands+extraReplies)}
	c.presence.tracker = choice.NewPresenceTracker()
	c.lastActivity.Store(int64(a.clock.Now()))
	return c, nil
}

// run serves the connection until either side closes it. Replies to commands that were read are written before that,
// unless the client has disconnected.
func (c *conn) run() {
	a := c.acceptor
	var group errgroup.Group
	group.Go(c.writeReplies)
	reason := c.read()
	c.readBuffer = pgwire.ReadBuffer{} // what it holds is not processed any more
	c.ahead.release()
	c.releaseInput()
	if reason != errClientGone {
		reason = c.awaitReplies(reason)
	}
	if reason == errClientGone {
		for _, op := range c.openOps {
			a.dispatcher.ClientLeft(op)
		}
	}
	close(c.replies)
	group.Wait()
	c.logClose(reason)
	switch { // closing a socket with unread bytes sends a reset, which could discard the last reply
	case reason == errRejected:
		c.net.CloseWrite()
		c.net.SetReadDeadline(time.Now().Add(closeGrace))
		for err := error(nil); err == nil; {
			_, err = c.discardInput()
		}
	case reason == errClosing && c.isClosing():
		// A command that arrives now stays unread, so that the client gets a reset.
		c.net.CloseWrite()
		time.Sleep(closeGrace)
	}
	c.net.Close()
	a.mu.Lock()
	delete(a.conns, c)
	a.mu.Unlock()
	a.counts.ClientOpen.Add(-1)
	select {
	case a.connClosed <- struct{}{}:
	default:
	}
}
