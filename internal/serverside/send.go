package serverside

import (
	"syscall"

	"gorsewell/choice"
	"gorsewell/internal/exchange"
	"gorsewell/internal/invariant"
	"gorsewell/internal/pgwire"
)

// serve carries one job. The connection must not be used again unless it is whole.
func (c *conn) serve(j *job) (e exchange.Ended, whole bool) {
	p := c.pool
	if !c.ready(j) {
		return exchange.Ended{Result: choice.NotSent, Position: choice.LongPast}, true
	}
	invariant.Check(len(c.window.Bytes()) == 0, "a connection that takes a send has no bytes left over")
	c.compose(j)
	if n, err := c.net.Write(c.query); err != nil || n < len(c.query) {
		p.counts.ServerBroken.Add(1)
		return exchange.Ended{Result: choice.NoConnection, Position: choice.LongPast}, false
	}
	if j.x != nil {
		p.counts.Sent.Add(1)
	}
	if e, whole = c.receive(j); !whole {
		p.counts.ServerBroken.Add(1)
	}
	return e, whole
}

// ready gives the connection the job's time; with it the job has begun. It is false for one that was given up, whose op has
// ended, or that may not begin any more.
func (c *conn) ready(j *job) bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if j.cancelled || j.x != nil && j.x.Over() || c.pool.clock.Now() >= j.by {
		return false
	}
	j.begun = true
	c.net.SetDeadline(c.pool.clock.Time(j.due))
	return true
}

// compose puts together the query that one write sends.
func (c *conn) compose(j *job) {
	c.query = c.query[:0]
	switch {
	case j.x != nil:
		c.query = j.x.Statement.AppendQuery(c.query, j.due-c.pool.clock.Now())
	case len(c.pool.told.ReportNames) > 0:
		c.query = pgwire.AppendQuery(c.query, "SHOW load")
	default:
		c.query = pgwire.AppendQuery(c.query, "SELECT 1")
	}
}

// gone tells whether the server has closed the connection, or sent what nobody asked for, without reading.
func (c *conn) gone() bool {
	raw, err := c.net.(syscall.Conn).SyscallConn()
	if err != nil {
		return true
	}
	gone := true
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		gone = err != syscall.EAGAIN
	})
	return gone || err != nil
}
