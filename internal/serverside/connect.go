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

// settling is how long a connection rests after an answer.
const settling = 5 * time.Millisecond

// conn is one connection to a server.
type conn struct {
	pool   *Pool
	server uint32
	net    net.Conn
	window pgwire.Window
	query  []byte        // the query being written
	freed  time.Duration // when its last answer ended; guarded by the pool's mutex
	job    *job          // handed over while idle; guarded by the pool's mutex
	quits  bool          // taken out of the idle list to be closed; guarded by the pool's mutex
}

// connect opens a connection for the job and then serves with it until it closes.
func (p *Pool) connect(ctx context.Context, j *job, addr string) {
	nc, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		p.refused(j)
		return
	}
	defer nc.Close()
	p.counts.ServerConns.Add(1)
	c := &conn{pool: p, server: j.server, net: nc, window: pgwire.Window{Most: p.told.LongestMessage}}
	until, _ := ctx.Deadline()
	nc.SetDeadline(until)
	if !p.carry(j, c) || !c.open() {
		p.refused(j)
		return
	}
	for j != nil {
		e, whole := c.serve(j)
		if whole {
			c.free() // before the result is told, as that may bring the next job
		} else {
			nc.Close() // before it, as the op may be sent again, and two sends must never be out
		}
		p.end(j, e)
		if !whole {
			return
		}
		j = c.rest()
	}
}

// refused ends a job for which no connection came up. That is no fault of its server's where a rule ended the job's time first.
func (p *Pool) refused(j *job) {
	p.counts.ServerRefused.Add(1)
	e := exchange.Ended{Result: choice.NoConnection, Position: choice.LongPast}
	if j.by < j.due && p.clock.Now() >= j.by {
		e.Result = choice.NotSent
	}
	p.end(j, e)
}

// carry notes which connection has the job; false if it was given up meanwhile.
func (p *Pool) carry(j *job, c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	j.conn = c
	return !j.cancelled
}

// open says who comes and reads until the server is ready.
func (c *conn) open() bool {
	c.query = pgwire.AppendStartup(c.query[:0], user, database)
	if _, err := c.net.Write(c.query); err != nil {
		return false
	}
	for read := 0; ; {
		m, err := c.next()
		switch {
		case err != nil || m.Type == pgwire.ErrorResponse:
			return false
		case m.Type == pgwire.ReadyForQuery:
			return len(c.window.Bytes()) == 0 // what follows belongs to nothing
		case m.Type == pgwire.Authentication && string(m.Body) != "\x00\x00\x00\x00":
			return false
		}
		if read += 5 + len(m.Body); read > pgwire.MaxMessage {
			return false
		}
	}
}

// free puts the connection among the idle ones.
func (c *conn) free() {
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	c.job, c.freed = nil, p.clock.Now()
	if c.quits = p.closed; c.quits {
		c.net.SetDeadline(exchange.Past)
		return
	}
	// Closed long before the server does it, so that no query crosses the server's close.
	var until time.Time
	if p.told.IdleTime > 0 {
		until = time.Now().Add(p.told.IdleTime / 2)
	}
	c.net.SetDeadline(until)
	p.idle[c.server] = append(p.idle[c.server], c)
}

// rest waits for a job; nil if the connection is to be closed.
func (c *conn) rest() *job {
	p := c.pool
	_, err := c.net.Read(c.window.Room()) // nothing is due: a byte or an end closes it, a job ends the wait
	p.mu.Lock()
	j := c.job
	if j == nil && !c.quits {
		p.drop(c)
	}
	c.job = nil
	p.mu.Unlock()
	if j == nil {
		return nil
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.settles() && !c.gone() {
		return j
	}
	// The server closed it; as nothing was written the job takes another.
	p.counts.ServerBroken.Add(1)
	p.mu.Lock()
	j.conn = nil
	p.place(j)
	p.mu.Unlock()
	return nil
}

// settles waits until what belongs behind the last answer has had time to come: its server's close, or bytes that
// must not pass for the next answer. It is false if anything came.
func (c *conn) settles() bool {
	if until := c.freed + c.pool.settling; c.pool.clock.Now() < until {
		c.net.SetReadDeadline(c.pool.clock.Time(until))
		_, err := c.net.Read(c.window.Room())
		return errors.Is(err, os.ErrDeadlineExceeded)
	}
	return true
}

// drop takes the connection out of the idle list. The mutex is held.
func (p *Pool) drop(c *conn) {
	if i := slices.Index(p.idle[c.server], c); i >= 0 {
		p.take(c.server, i)
	}
}

// quit closes a connection that was taken out of the idle list. The mutex is held.
func (c *conn) quit() {
	c.quits = true
	c.net.SetDeadline(exchange.Past)
}
