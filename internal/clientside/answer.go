package clientside

import (
	"bytes"
	"errors"
	"strconv"
	"time"

	"gorsewell/internal/exchange"
	"gorsewell/internal/invariant"
	"gorsewell/internal/pgwire"
)

// reply is queued bytes or the pending result of an op. Most replies answer a command.
type reply struct {
	bytes []byte
	op    *exchange.Exchange

	answersCommand bool

	// refusals is the number of discarded commands in a row that the reply answers, instead of one command.
	refusals int
}

// enqueueBytes queues bytes that do not answer a command.
func (c *conn) enqueueBytes(bytes []byte) { c.enqueue(reply{bytes: bytes}) }

// enqueueCommandReply queues bytes that answer a command.
func (c *conn) enqueueCommandReply(bytes []byte) {
	c.enqueue(reply{bytes: bytes, answersCommand: true})
}

// severalCommands is how many pending commands make a connection count as one that pipelines.
const severalCommands = 2

// refusalsPerWrite is how many refusals in a row are written at a time at most.
const refusalsPerWrite = 64

func (c *conn) enqueue(r reply) {
	if r.answersCommand && c.pendingCommands.Add(1) == severalCommands {
		c.acceptor.pipelining.Add(1)
	}
	c.pendingReplies.Add(1)
	c.replies <- r
}

// writeReplies writes the replies in order, each with a single write. After a failed write it drops the rest.
func (c *conn) writeReplies() error {
	var failed error
	for r := range c.replies {
		if r.op != nil {
			<-r.op.Done
			c.acceptor.releaseID(r.op)
			r.bytes = finalReply(r.op)
		}
		// A client gets as long to read a reply as a server gets to accept a connection, or longer until its op is due.
		deadline := c.acceptor.clock.Now() + c.acceptor.settings.ConnectTimeout
		if r.op != nil {
			deadline = max(deadline, r.op.Deadline)
		}
		if failed == nil && len(r.bytes) > 0 {
			failed = c.write(r.bytes, deadline)
		}
		for left := r.refusals; left > 0 && failed == nil; left -= refusalsPerWrite {
			refusals := bytes.Repeat(busyReply(), min(left, refusalsPerWrite))
			failed = c.write(refusals, c.acceptor.clock.Now()+c.acceptor.settings.ConnectTimeout)
		}
		c.lastActivity.Store(int64(c.acceptor.clock.Now()))
		if r.op != nil {
			c.acceptor.releaseOp(r.op)
			r = reply{answersCommand: r.answersCommand}
		}
		if r.answersCommand {
			if c.pendingCommands.Add(-1) == severalCommands-1 {
				c.acceptor.pipelining.Add(-1)
			}
			c.resumeReading()
		}
		pending := c.pendingReplies.Add(-1)
		invariant.Check(pending >= 0, "no more replies are written than were queued")
		if pending == 0 && (c.readingDone.Load() || c.isClosing()) {
			c.net.SetReadDeadline(exchange.Past)
		}
	}
	return errors.Join(failed, c.net.SetWriteDeadline(time.Time{}))
}

// write writes to the client before a deadline, or closes the connection.
func (c *conn) write(bytes []byte, deadline time.Duration) error {
	c.net.SetWriteDeadline(c.acceptor.clock.Time(deadline))
	_, err := c.net.Write(bytes)
	if err != nil {
		c.net.Close() // so that the client cannot take a partly written value for a complete one
	}
	return err
}

// busyReply returns the reply to a command for which there is no memory.
func busyReply() []byte {
	return pgwire.AppendReady(pgwire.AppendError(nil, "ERROR", "53300", errNoMemory.Error(), ""))
}

// finalReply returns the reply to an op that has ended, or nil if its client has disconnected.
func finalReply(op *exchange.Exchange) []byte {
	switch op.Outcome {
	case exchange.Acked:
		return pgwire.AppendReady(op.Answer.Bytes)
	case exchange.BusyReplied:
		retryAfter := ""
		if op.RetryAfter > 0 {
			retryAfter = strconv.FormatInt(op.RetryAfter.Milliseconds(), 10)
		}
		return pgwire.AppendReady(pgwire.AppendError(nil, "ERROR", "53300", "busy, try again", retryAfter))
	case exchange.Errored:
		return pgwire.AppendReady(pgwire.AppendError(nil, "ERROR", "08007", "gave up, its effect is unknown", ""))
	}
	return nil
}
