package serverside

import (
	"errors"
	"os"
	"time"

	"gorsewell/internal/exchange"
	"gorsewell/internal/pgwire"
)

// A server may send more than a response, such as a second copy of it, and a surplus must not be taken for the response to
// the next query. So an empty query follows each response. It has no effect and is answered at once, and as the bytes of
// a connection keep their order, all that a server has sent before it read the empty query comes before the answer to
// that. The connection is used again only if that answer comes with nothing before it.

// confirmTimeout is how long the answer to the empty query may take.
const confirmTimeout = 50 * time.Millisecond

// requestConfirmation writes the empty query. It returns false if that fails.
func (c *conn) requestConfirmation() bool {
	c.net.SetWriteDeadline(time.Now().Add(confirmTimeout))
	c.query = pgwire.AppendQuery(c.query[:0], "")
	n, err := c.net.Write(c.query)
	return err == nil && n == len(c.query)
}

// awaitConfirmation reads the answer to the empty query. It returns false if anything else comes, or if it does not come in
// time. A job that the connection gets meanwhile waits.
func (c *conn) awaitConfirmation() bool {
	for answered := false; ; {
		m, ok, err := c.readBuffer.NextServerMessage()
		switch {
		case err != nil:
			return false
		case !ok:
			if !c.readConfirmation() {
				return false
			}
		case m.Type == pgwire.EmptyQueryResponse && !answered:
			answered = true
		case m.Type == pgwire.ReadyForQuery && answered:
			return len(c.readBuffer.Bytes()) == 0
		case m.Type != pgwire.ParameterStatus && m.Type != pgwire.NoticeResponse:
			return false
		}
	}
}

// readConfirmation reads more bytes. It goes on if a job or a cancel ends the read early, unless the connection is to be
// closed.
func (c *conn) readConfirmation() bool {
	if size := pgwire.MessageSize(c.readBuffer.Bytes()); !c.readBuffer.Holds(size) {
		return false
	}
	for {
		n, err := c.net.Read(c.readBuffer.Space())
		c.readBuffer.Filled(n)
		switch {
		case n > 0:
			return true
		case !errors.Is(err, os.ErrDeadlineExceeded) || !c.extendConfirmation():
			return false
		}
	}
}

// extendConfirmation sets the deadline for the answer to the empty query again. It returns false if that is over.
func (c *conn) extendConfirmation() bool {
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	deadline := c.releasedAt + confirmTimeout
	if c.closing || p.clock.Now() >= deadline {
		c.net.SetDeadline(exchange.Past)
		return false
	}
	c.net.SetDeadline(p.clock.Time(deadline))
	return true
}
