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
	bytes   []byte
	x       *exchange.Exchange
	id      string // by which the client knows the op
	command bool
}

func (c *conn) say(bytes []byte) { c.put(reply{bytes: bytes}) }

// answers is say for a command.
func (c *conn) answers(bytes []byte) { c.put(reply{bytes: bytes, command: true}) }

func (c *conn) put(r reply) {
	if r.command {
		c.waiting.Add(1)
	}
	c.owed.Add(1)
	c.queue <- r
}

// answer writes the replies in order, each with one write. After a write that fails the rest is dropped.
func (c *conn) answer() error {
	var failed error
	for r := range c.queue {
		if r.x != nil {
			<-r.x.Done
			c.front.closed(r.id)
			r.bytes = final(r.x)
		}
		// A client gets as long to take an answer as a server to take a connection, or all that is left of its time.
		until := c.front.clock.Now() + c.front.told.ConnectTimeout
		if r.x != nil {
			until = max(until, r.x.Due)
		}
		if failed == nil && len(r.bytes) > 0 {
			c.net.SetWriteDeadline(c.front.clock.Time(until))
			if _, failed = c.net.Write(r.bytes); failed != nil {
				c.net.Close() // a value that is not whole must not look whole
			}
		}
		c.heard.Store(int64(c.front.clock.Now()))
		if r.command {
			c.waiting.Add(-1)
			c.resume()
		}
		owed := c.owed.Add(-1)
		invariant.Check(owed >= 0, "no more replies are written than are owed")
		if owed == 0 && (c.ending.Load() || c.front.closing.Load()) {
			c.net.SetReadDeadline(exchange.Past)
		}
	}
	return errors.Join(failed, c.net.SetWriteDeadline(time.Time{}))
}

// final is the answer to an op that has ended; none where its client has left.
func final(x *exchange.Exchange) []byte {
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
