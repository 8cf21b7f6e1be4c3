package serverside

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"os"
	"slices"
	"syscall"
	"time"

	"gorsewell/choice"
	"gorsewell/internal/exchange"
	"gorsewell/internal/membudget"
	"gorsewell/internal/pgwire"
)

const (
	// user is the user that the gateway names to servers, whoever its clients are.
	user = "gorsewell"

	// database is the database that the gateway names. Every server has it.
	database = "postgres"
)

// quietPeriod is how long a connection must stay silent after a response before the next query is written to it.
const quietPeriod = 5 * time.Millisecond

// conn is one connection to a server.
type conn struct {
	pool       *Pool
	server     uint32
	net        net.Conn
	readBuffer pgwire.ReadBuffer

	// answerMemory is reserved for a long message of the current response.
	answerMemory membudget.Reservation

	// query is the encoded query that is being written.
	query []byte

	// releasedAt is when the last response was complete. It is guarded by the pool's mutex.
	releasedAt time.Duration

	// job is the job that was handed over while the connection was idle. It is guarded by the pool's mutex.
	job *job

	// closing is true once the connection is no longer idle and has to be closed. It is guarded by the pool's mutex.
	closing bool
}

// connect opens a connection for the job, then executes it and later jobs until the connection closes.
func (p *Pool) connect(ctx context.Context, j *job, addr string) {
	netConn, err := p.dial(ctx, "tcp", addr)
	if err != nil {
		p.connectFailed(j, err)
		return
	}
	defer netConn.Close()
	p.counts.ServerConns.Add(1)
	c := &conn{pool: p, server: j.server, net: netConn,
		readBuffer: pgwire.ReadBuffer{MaxMessage: p.settings.MaxMessageBytes}}
	deadline, _ := ctx.Deadline()
	netConn.SetDeadline(deadline)
	defer c.answerMemory.Release()
	if !p.attach(j, c) {
		p.connectFailed(j, nil)
		return
	}
	if err := c.startup(); err != nil {
		p.connectFailed(j, err)
		return
	}
	for j != nil {
		result, reusable := c.execute(j)
		if reusable = reusable && c.requestConfirmation(); reusable {
			c.release() // before the result is reported, as that may lead to the next job
		} else {
			netConn.Close() // before the result is reported, as the op may then be sent again and must not have two open sends
		}
		p.finish(j, result)
		if !reusable {
			return
		}
		j = c.awaitJob()
	}
}

// connectFailed finishes a job for which no connection could be opened. The server is not at fault, and the result is
// NotSent, if this machine had no resources for a connection, or if the job's beginBy was earlier than its deadline and
// ended the attempt. err is nil if the job was cancelled.
func (p *Pool) connectFailed(j *job, err error) {
	p.counts.ServerRefused.Add(1)
	result := exchange.AttemptResult{Result: choice.NoConnection, Position: choice.LongPast}
	if p.isLocalFault(err) {
		result.Result = choice.NotSent
	}
	if j.beginBy < j.deadline && p.clock.Now() >= j.beginBy {
		result.Result = choice.NotSent
	}
	p.finish(j, result)
}

// isLocalFault reports whether a call failed for want of resources of this machine, and logs it then.
func (p *Pool) isLocalFault(err error) bool {
	if !isLocalError(err) {
		return false
	}
	p.localErrors.Info("connection_failed_locally", slog.String("error", err.Error()))
	return true
}

// isLocalError reports whether an error tells of a want of resources of this machine.
func isLocalError(err error) bool {
	for _, local := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
		syscall.EADDRNOTAVAIL, syscall.EAGAIN} {
		if errors.Is(err, local) {
			return true
		}
	}
	return false
}

// attach records the connection of the job. It returns false if the job was cancelled in the meantime.
func (p *Pool) attach(j *job, c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	j.conn = c
	return !j.cancelled
}

// errStartup means that a server has answered the startup message with something else than that it is ready.
var errStartup = errors.New("startup refused or malformed")

// startup sends the StartupMessage and reads until the server is ready for a query. It returns why that failed.
func (c *conn) startup() error {
	c.query = pgwire.AppendStartup(c.query[:0], user, database)
	if _, err := c.net.Write(c.query); err != nil {
		return err
	}
	for bytesRead := 0; ; {
		m, err := c.readMessage(nil)
		bytesRead += 5 + len(m.Body)
		switch {
		case err != nil:
			return err
		case m.Type == pgwire.ReadyForQuery && len(c.readBuffer.Bytes()) == 0:
			return nil
		case m.Type == pgwire.ReadyForQuery: // surplus bytes would be read as part of the first response
			return errStartup
		case m.Type == pgwire.ErrorResponse, bytesRead > pgwire.DefaultMaxMessage:
			return errStartup
		case m.Type == pgwire.Authentication && string(m.Body) != "\x00\x00\x00\x00":
			return errStartup
		}
	}
}

// release returns the connection to the idle list. It has written the query that confirms the end of the response.
func (c *conn) release() {
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	c.job, c.releasedAt = nil, p.clock.Now()
	if c.closing = p.closed; c.closing {
		c.net.SetDeadline(exchange.Past)
		return
	}
	c.net.SetDeadline(p.clock.Time(c.releasedAt + confirmTimeout))
	p.idle[c.server] = append(p.idle[c.server], c)
}

// awaitJob waits for the next job. It returns nil if the connection has to be closed.
func (c *conn) awaitJob() *job {
	p := c.pool
	usable := c.awaitConfirmation()
	if usable && c.startIdling() {
		_, err := c.net.Read(c.readBuffer.Space()) // data or EOF closes the connection, a job ends the read
		usable = errors.Is(err, os.ErrDeadlineExceeded)
	}
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
	if usable && c.staysQuiet() && !c.isStale() {
		return j
	}
	// The server closed the connection or sent surplus bytes. Nothing was written, so the job can use another
	// connection.
	p.counts.ServerBroken.Add(1)
	p.mu.Lock()
	j.conn = nil
	p.assign(j)
	p.mu.Unlock()
	return nil
}

// startIdling sets the deadline of an idle connection. It returns false if the connection has a job already.
func (c *conn) startIdling() bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if c.job != nil || c.closing {
		return false
	}
	// Close the connection long before the server closes it, so that no query crosses the server's close.
	var deadline time.Time
	if idle := c.pool.settings.IdleTimeout; idle > 0 {
		deadline = time.Now().Add(idle / 2)
	}
	c.net.SetDeadline(deadline)
	return true
}

// staysQuiet waits until the quiet period after the last response is over. In it the server's close or surplus bytes,
// which must not be taken for the next response, have time to arrive. It returns false if anything arrived.
func (c *conn) staysQuiet() bool {
	if quietUntil := c.releasedAt + c.pool.quietPeriod; c.pool.clock.Now() < quietUntil {
		c.net.SetReadDeadline(c.pool.clock.Time(quietUntil))
		_, err := c.net.Read(c.readBuffer.Space())
		return errors.Is(err, os.ErrDeadlineExceeded)
	}
	return true
}

// removeIdle removes the connection from the idle list. The caller holds the mutex.
func (p *Pool) removeIdle(c *conn) {
	if i := slices.Index(p.idle[c.server], c); i >= 0 {
		p.removeIdleAt(c.server, i)
	}
}

// shutdown closes a connection that was removed from the idle list. The caller holds the mutex.
func (c *conn) shutdown() {
	c.closing = true
	c.net.SetDeadline(exchange.Past)
}
