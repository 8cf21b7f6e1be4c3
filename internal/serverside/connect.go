package serverside

import (
	"context"
	"errors"
	"net"
	"os"
	"slices"
	"time"

	"gorsewell/choice"
	"gorsewell/internal/exchange"
	"gorsewell/internal/pgwire"
)

// The name under which the gateway comes to servers, whoever its clients are, and the database that every server has.
const (
	user     = "gorsewell"
	database = "postgres"
)

// quietPeriod is how long a connection rests after an answer.
const quietPeriod = 5 * time.Millisecond

// conn is one connection to a server.
type conn struct {
	pool       *Pool
	server     uint32
	net        net.Conn
	readBuffer pgwire.Window
	query      []byte        // the query being written
	releasedAt time.Duration // when its last answer ended; guarded by the pool's mutex
	job        *job          // handed over while idle; guarded by the pool's mutex
	closing    bool          // taken out of the idle list to be closed; guarded by the pool's mutex
}

// connect opens a connection for the job and then serves with it until it closes.
func (p *Pool) connect(ctx context.Context, j *job, addr string) {
	nc, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		p.connectFailed(j)
		return
	}
	defer nc.Close()
	p.counts.ServerConns.Add(1)
	c := &conn{pool: p, server: j.server, net: nc, readBuffer: pgwire.Window{Most: p.settings.LongestMessage}}
	until, _ := ctx.Deadline()
	nc.SetDeadline(until)
	if !p.attach(j, c) || !c.startup() {
		p.connectFailed(j)
		return
	}
	for j != nil {
		e, whole := c.execute(j)
		if whole {
			c.release() // before the result is told, as that may bring the next job
		} else {
			nc.Close() // before it, as the op may be sent again, and two sends must never be out
		}
		p.finish(j, e)
		if !whole {
			return
		}
		j = c.awaitJob()
	}
}

// connectFailed ends a job for which no connection came up. That is no fault of its server's where a rule ended the job's time first.
func (p *Pool) connectFailed(j *job) {
	p.counts.ServerRefused.Add(1)
	e := exchange.Ended{Result: choice.NoConnection, Position: choice.LongPast}
	if j.startBy < j.deadline && p.clock.Now() >= j.startBy {
		e.Result = choice.NotSent
	}
	p.finish(j, e)
}

// attach notes which connection has the job; false if it was given up meanwhile.
func (p *Pool) attach(j *job, c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	j.conn = c
	return !j.cancelled
}

// startup says who comes and reads until the server is ready.
func (c *conn) startup() bool {
	c.query = pgwire.AppendStartup(c.query[:0], user, database)
	if _, err := c.net.Write(c.query); err != nil {
		return false
	}
	for read := 0; ; {
		m, err := c.readMessage()
		switch {
		case err != nil || m.Type == pgwire.ErrorResponse:
			return false
		case m.Type == pgwire.ReadyForQuery:
			return len(c.readBuffer.Bytes()) == 0 // what follows belongs to nothing
		case m.Type == pgwire.Authentication && string(m.Body) != "\x00\x00\x00\x00":
			return false
		}
		if read += 5 + len(m.Body); read > pgwire.MaxMessage {
			return false
		}
	}
}

// release puts the connection among the idle ones.
func (c *conn) release() {
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	c.job, c.releasedAt = nil, p.clock.Now()
	if c.closing = p.closed; c.closing {
		c.net.SetDeadline(exchange.Past)
		return
	}
	// Closed long before the server does it, so that no query crosses the server's close.
	var until time.Time
	if p.settings.IdleTime > 0 {
		until = time.Now().Add(p.settings.IdleTime / 2)
	}
	c.net.SetDeadline(until)
	p.idle[c.server] = append(p.idle[c.server], c)
}

// awaitJob waits for a job; nil if the connection is to be closed.
func (c *conn) awaitJob() *job {
	p := c.pool
	_, err := c.net.Read(c.readBuffer.Room()) // nothing is due: a byte or an end closes it, a job ends the wait
	p.mu.Lock()
	j := c.job
	if j == nil && !c.closing {
		p.removeIdle(c)
	}
	c.job = nil
	p.mu.Unlock()
	if j == nil {
		return nil
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.staysQuiet() && !c.isStale() {
		return j
	}
	// The server closed it; as nothing was written the job takes another.
	p.counts.ServerBroken.Add(1)
	p.mu.Lock()
	j.conn = nil
	p.assign(j)
	p.mu.Unlock()
	return nil
}

// staysQuiet waits until what belongs behind the last answer has had time to come: its server's close, or bytes that
// must not pass for the next answer. It is false if anything came.
func (c *conn) staysQuiet() bool {
	if until := c.releasedAt + c.pool.quietPeriod; c.pool.clock.Now() < until {
		c.net.SetReadDeadline(c.pool.clock.Time(until))
		_, err := c.net.Read(c.readBuffer.Room())
		return errors.Is(err, os.ErrDeadlineExceeded)
	}
	return true
}

// removeIdle takes the connection out of the idle list. The mutex is held.
func (p *Pool) removeIdle(c *conn) {
	if i := slices.Index(p.idle[c.server], c); i >= 0 {
		p.removeIdleAt(c.server, i)
	}
}

// close closes a connection that was taken out of the idle list. The mutex is held.
func (c *conn) close() {
	c.closing = true
	c.net.SetDeadline(exchange.Past)
}
