package serverside

import (
	"syscall"

	"gorsewell/choice"
	"gorsewell/internal/exchange"
	"gorsewell/internal/pgwire"
)

// serve carries one job; false if the connection must not be used again.
func (c *conn) serve(j *job) bool {
	p := c.pool
	p.mu.Lock()
	cancelled := j.cancelled
	if !cancelled {
		c.net.SetDeadline(p.clock.Time(j.due))
	}
	p.mu.Unlock()
	if cancelled {
		p.end(j, exchange.Ended{Result: choice.Cancelled, Position: choice.LongPast})
		return true
	}
	c.write(j)
	if n, err := c.net.Write(c.query); err != nil || n < len(c.query) {
		p.counts.ServerBroken.Add(1)
		p.end(j, exchange.Ended{Result: choice.NoConnection, Position: choice.LongPast})
		return false
	}
	if j.x != nil {
		p.counts.Sent.Add(1)
	}
	e, whole := c.receive(j)
	if !whole {
		p.counts.ServerBroken.Add(1)
	}
	p.end(j, e)
	return whole
}

// write makes the one write of the job's query.
func (c *conn) write(j *job) {
	c.query = c.query[:0]
	switch {
	case j.x != nil:
		left := max(0, j.due-c.pool.clock.Now())
		c.query = j.x.Statement.AppendQuery(c.query, uint64(left.Milliseconds()))
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
