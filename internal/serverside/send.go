package serverside

import (
	"syscall"

	"gorsewell/choice"
	"gorsewell/internal/exchange"
	"gorsewell/internal/invariant"
	"gorsewell/internal/pgwire"
)

// execute carries one job. The connection must not be used again unless it is whole.
func (c *conn) execute(j *job) (e exchange.Ended, whole bool) {
	p := c.pool
	if !c.startJob(j) {
		return exchange.Ended{Result: choice.NotSent, Position: choice.LongPast}, true
	}
	invariant.Check(len(c.readBuffer.Bytes()) == 0, "a connection that takes a send has no bytes left over")
	c.buildQuery(j)
	if n, err := c.net.Write(c.query); err != nil || n < len(c.query) {
		p.counts.ServerBroken.Add(1)
		return exchange.Ended{Result: choice.NoConnection, Position: choice.LongPast}, false
	}
	if j.op != nil {
		p.counts.Sent.Add(1)
	}
	if e, whole = c.receive(j); !whole {
		p.counts.ServerBroken.Add(1)
	}
	return e, whole
}

// startJob gives the connection the job's time; with it the job has begun. It is false for one that was given up, whose op has
// ended, or that may not begin any more.
func (c *conn) startJob(j *job) bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if j.cancelled || j.op != nil && j.op.Over() || c.pool.clock.Now() >= j.startBy {
		return false
	}
	j.started = true
	c.net.SetDeadline(c.pool.clock.Time(j.deadline))
	return true
}

// buildQuery puts together the query that one write sends.
func (c *conn) buildQuery(j *job) {
	c.query = c.query[:0]
	switch {
	case j.op != nil:
		c.query = j.op.Statement.AppendQuery(c.query, j.deadline-c.pool.clock.Now())
	case len(c.pool.settings.ReportNames) > 0:
		c.query = pgwire.AppendQuery(c.query, "SHOW load")
	default:
		c.query = pgwire.AppendQuery(c.query, "SELECT 1")
	}
}

// isStale tells whether the server has closed the connection, or sent what nobody asked for, without reading.
func (c *conn) isStale() bool {
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
