package serverside

import (
	"syscall"

	"gorsewell/choice"
	"gorsewell/internal/exchange"
	"gorsewell/internal/invariant"
	"gorsewell/internal/pgwire"
)

// execute executes one job. The connection must not be used again unless it is reusable.
func (c *conn) execute(j *job) (result exchange.AttemptResult, reusable bool) {
	p := c.pool
	if result, started := c.startJob(j); !started {
		return exchange.AttemptResult{Result: result, Position: choice.LongPast}, true
	}
	invariant.Check(len(c.readBuffer.Bytes()) == 0, "a connection that starts a job has no unread bytes")
	c.buildQuery(j)
	if n, err := c.net.Write(c.query); err != nil || n < len(c.query) {
		p.counts.ServerBroken.Add(1)
		result := exchange.AttemptResult{Result: choice.NoConnection, Position: choice.LongPast}
		if p.isLocalFault(err) {
			result.Result = choice.NotSent
		}
		return result, false
	}
	if j.op != nil {
		p.counts.Sent.Add(1)
	}
	if cap(c.query) > maxIdleQueryBytes {
		c.query = nil
	}
	if result, reusable = c.receive(j); !reusable {
		p.counts.ServerBroken.Add(1)
	}
	c.releaseInput(&result.Answer)
	return result, reusable
}

// startJob marks the job as started and applies its deadline to the connection. If it may not start it returns the result:
// NotSent if the job was cancelled, its op has ended, its client has left or its beginBy has passed, and ClientUnknown if it
// is not known whether its client is still there.
func (c *conn) startJob(j *job) (result choice.Result, started bool) {
	clock := c.pool.clock
	presence := choice.Presence{AsOf: clock.Now()}
	if j.op != nil && j.op.Presence != nil {
		presence = j.op.Presence()
	}
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	now := clock.Now()
	switch {
	case j.cancelled || j.op != nil && j.op.IsDone() || presence.Left || now >= j.beginBy:
		return choice.NotSent, false
	case !presence.AllowsSend(now):
		return choice.ClientUnknown, false
	}
	j.started = true
	c.net.SetDeadline(clock.Time(j.deadline))
	return choice.Acked, true
}

// buildQuery encodes the query of the job, which is sent with a single write.
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

// isStale reports, without reading, whether the server has closed the connection or sent unexpected bytes.
func (c *conn) isStale() bool {
	rawConn, err := c.net.(syscall.Conn).SyscallConn()
	if err != nil {
		return true
	}
	stale := true
	err = rawConn.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		stale = err != syscall.EAGAIN
	})
	return stale || err != nil
}
