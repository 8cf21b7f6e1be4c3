package clientside

import (
	"errors"
	"strconv"
	"time"

	"gorsewell/internal/exchange"
	"gorsewell/internal/invariant"
	"gorsewell/internal/pgwire"
)

// reply is what one command is answered with: bytes, or how an op ends. What is said beside commands is one too.
type reply struct {
	bytes          []byte
	op             *exchange.Exchange
	opID           string // by which the client knows the op
	answersCommand bool
}

func (c *conn) enqueueBytes(bytes []byte) { c.enqueue(reply{bytes: bytes}) }

// enqueueCommandReply is say for a command.
func (c *conn) enqueueCommandReply(bytes []byte) {
	c.enqueue(reply{bytes: bytes, answersCommand: true})
}

func (c *conn) enqueue(r reply) {
	if r.answersCommand {
		c.pendingCommands.Add(1)
	}
	c.pendingReplies.Add(1)
	c.replies <- r
}

// writeReplies writes the replies in order, each with one write. After a write that fails the rest is dropped.
func (c *conn) writeReplies() error {
	var failed error
	for r := range c.replies {
		if r.op != nil {
			<-r.op.Done
			c.acceptor.releaseID(r.opID)
			r.bytes = finalReply(r.op)
		}
		// A client gets as long to take an answer as a server to take a connection, or all that is left of its time.
		until := c.acceptor.clock.Now() + c.acceptor.settings.ConnectTimeout
		if r.op != nil {
			until = max(until, r.op.Due)
		}
		if failed == nil && len(r.bytes) > 0 {
			c.net.SetWriteDeadline(c.acceptor.clock.Time(until))
			if _, failed = c.net.Write(r.bytes); failed != nil {
				c.net.Close() // a value that is not whole must not look whole
			}
		}
		c.lastActivity.Store(int64(c.acceptor.clock.Now()))
		if r.answersCommand {
			c.pendingCommands.Add(-1)
			c.resumeReading()
		}
		owed := c.pendingReplies.Add(-1)
		invariant.Check(owed >= 0, "no more replies are written than are owed")
		if owed == 0 && (c.readingDone.Load() || c.acceptor.stopping.Load()) {
			c.net.SetReadDeadline(exchange.Past)
		}
	}
	return errors.Join(failed, c.net.SetWriteDeadline(time.Time{}))
}

// finalReply is the answer to an op that has ended; none where its client has left.
func finalReply(x *exchange.Exchange) []byte {
	switch x.Outcome {
	case exchange.Acked:
		return pgwire.AppendReady(x.Answer)
	case exchange.BusyReplied:
		hint := ""
		if x.ComeBackIn > 0 {
			hint = strconv.FormatInt(x.ComeBackIn.Milliseconds(), 10)
		}
		return pgwire.AppendReady(pgwire.AppendError(nil, "ERROR", "53300", "busy, try again", hint))
	case exchange.Errored:
		return pgwire.AppendReady(pgwire.AppendError(nil, "ERROR", "08007", "gave up, its effect is unknown", ""))
	}
	return nil
}
