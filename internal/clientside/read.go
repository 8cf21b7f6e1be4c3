package clientside

import (
	"errors"
	"os"
	"time"

	"gorsewell/internal/pgwire"
)

// extraReplies is the maximum number of replies that answer no command: three refused encryption requests, one startup
// reply and one fatal error.
const extraReplies = 5

// The reasons to stop reading from a connection.
var (
	errClientGone = errors.New("client disconnected")
	errRejected   = errors.New("request rejected, connection is to be closed")
	errClosing    = errors.New("connection is to be closed")
)

// read reads from the client until it disconnects or the connection has to be closed.
func (c *conn) read() error {
	c.limitInputTime()
	if err := c.startup(); err != nil {
		return err
	}
	for {
		if err := c.awaitQueueSpace(); err != nil {
			return err
		}
		m, err := c.readMessage()
		switch {
		case err == errNoMemory:
			c.rejectBusy()
			continue
		case err == errInputDiscarded:
			continue
		case err != nil:
			return c.reject(err)
		case m.Type == pgwire.Terminate:
			return errClientGone
		case m.Type != pgwire.Query: // no other command is supported
			return c.reject(pgwire.ErrMalformed)
		}
		for err = errMoreInput; err == errMoreInput; {
			c.acceptor.turns.await(c.flow)
			err = c.handleQuery(m.Body)
			c.acceptor.turns.end(c.flow)
		}
		if err != nil {
			return c.reject(err)
		}
		c.flow.Backlogged = true // until a read has to wait
		c.releaseInput()
	}
}

// reject sends a fatal error for invalid input and returns errRejected. It returns any other error unchanged.
func (c *conn) reject(err error) error {
	code := "08P01"
	switch err {
	case pgwire.ErrMalformed, pgwire.ErrVersion:
	case pgwire.ErrTooLong:
		code = "54000"
		c.acceptor.counts.Unusable.Add(1)
	default:
		return err
	}
	c.acceptor.counts.Malformed.Add(1)
	c.enqueueBytes(pgwire.AppendError(nil, "FATAL", code, err.Error(), ""))
	return errRejected
}

// maxFastDiscard is how many bytes after rejected input are discarded as fast as they arrive. Beyond that a millisecond
// passes between two reads, each of up to discardPiece.
const maxFastDiscard = 1 << 20

// discardInput reads once and discards what it has read, in a turn of its own.
func (c *conn) discardInput() (n int, err error) {
	n, err = c.skipSocket(discardPiece)
	if err == nil {
		c.acceptor.turns.await(c.flow)
		c.acceptor.turns.end(c.flow)
	}
	return n, err
}

// awaitReplies waits until all pending replies are written and then returns the reason. It returns errClientGone if the
// client disconnects earlier: its open ops must then not be sent to a server again. Input after rejected input is
// discarded, so that the end of the stream becomes visible. Other input stays unread, which tells the client that it was
// not processed, and the kernel is asked whether the client has closed the connection.
func (c *conn) awaitReplies(reason error) error {
	c.readingDone.Store(true) // from here on the writer ends the wait after the last reply
	for fastLeft := maxFastDiscard; ; {
		if c.net.SetReadDeadline(time.Time{}); c.pendingReplies.Load() == 0 {
			return reason
		}
		if reason == errClosing {
			if c.awaitClientClose() {
				return errClientGone
			}
			continue
		}
		n, err := c.discardInput()
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return errClientGone
		}
		if fastLeft -= n; fastLeft < 0 {
			time.Sleep(time.Millisecond)
		}
	}
}
