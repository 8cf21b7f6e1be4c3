package serverside

import (
	"errors"
	"io"
	"math"
	"os"
	"strconv"
	"strings"
	"time"

	"gorsewell/choice"
	"gorsewell/internal/exchange"
	"gorsewell/internal/pgwire"
)

// next reads one message, which stays valid until the next call.
func (c *conn) next() (pgwire.Message, error) {
	for {
		m, ok, err := c.window.NextAnswer()
		if ok || err != nil {
			if err != nil {
				c.pool.counts.MalformedAnswers.Add(1)
			}
			return m, err
		}
		n, err := c.net.Read(c.window.Room())
		c.window.Filled(n)
		if n == 0 && err != nil {
			return m, err
		}
	}
}

// answer is what has been read of one.
type answer struct {
	exchange.Ended
	last byte // the type of the newest message of the value
	over bool // one of the messages that end a query has come
	read int  // bytes
}

var errReady = errors.New("ready for the next query")

// receive reads the answer to a query that was written whole, up to ReadyForQuery. Its role and position come
// only there. The connection is whole if it got so far.
func (c *conn) receive(j *job) (e exchange.Ended, whole bool) {
	a := answer{Ended: exchange.Ended{Position: choice.LongPast}}
	var err error
	for err == nil {
		var m pgwire.Message
		if m, err = c.next(); err == nil {
			err = c.take(j, m, &a)
		}
	}
	switch {
	case a.over: // the answer is known, whatever follows it or does not
		return a.Ended, err == errReady
	case errors.Is(err, os.ErrDeadlineExceeded):
		a.Result = choice.TimedOut
	default:
		a.Result = choice.Reset
	}
	return exchange.Ended{Result: a.Result, Position: choice.LongPast}, false // a spoilt answer tells nothing else
}

// take looks at one message of an answer.
func (c *conn) take(j *job, m pgwire.Message, a *answer) error {
	if a.read += 5 + len(m.Body); a.read > 2*c.window.Longest() {
		return c.malformed()
	}
	switch m.Type {
	case pgwire.RowDescription, pgwire.DataRow, pgwire.CommandComplete:
		value, fits := part(m, a.last)
		if a.over || !fits {
			return c.malformed()
		}
		if j.x != nil {
			a.Answer = pgwire.AppendRaw(a.Answer, m)
		} else if m.Type == pgwire.DataRow {
			a.Report = c.report(string(value))
		}
		a.last, a.over = m.Type, m.Type == pgwire.CommandComplete
	case pgwire.ErrorResponse:
		code, err := pgwire.Code(m.Body)
		if err != nil || a.over {
			return c.malformed()
		}
		a.over = true
		a.Result = resultOf(string(code))
	case pgwire.ParameterStatus:
		if name, value, err := pgwire.Parameter(m.Body); err == nil { // one that cannot be read tells nothing
			c.parameter(string(name), string(value), a)
		}
	case pgwire.NoticeResponse, pgwire.NotificationResp:
	case pgwire.ReadyForQuery:
		if !a.over || len(c.window.Bytes()) > 0 {
			return c.malformed()
		}
		return errReady
	default:
		return c.malformed()
	}
	return nil
}

// part tells whether the message is the next of a value, after the type that came last: one column, one row of it, the end.
func part(m pgwire.Message, last byte) (value []byte, fits bool) {
	switch m.Type {
	case pgwire.RowDescription:
		return nil, last == 0 && pgwire.OneColumn(m.Body)
	case pgwire.DataRow:
		value, err := pgwire.Column(m.Body)
		return value, last == pgwire.RowDescription && err == nil
	}
	_, err := pgwire.Text(m.Body)
	return nil, last == pgwire.DataRow && err == nil
}

func (c *conn) malformed() error {
	c.pool.counts.MalformedAnswers.Add(1)
	return io.ErrUnexpectedEOF
}

// resultOf tells what an SQLSTATE proves.
func resultOf(code string) choice.Result {
	switch code {
	case "25006", "72000":
		return choice.Miss
	case "53300", "57P03":
		return choice.ServerFull
	}
	return choice.ServerError
}

func (c *conn) parameter(name, value string, a *answer) {
	switch name {
	case "role":
		a.Role = roleOf(value)
	case "applied_ms":
		ms, _ := strconv.ParseInt(value, 10, 64)
		a.Position = c.position(ms)
	case "load":
		a.Report = c.report(value)
	}
}

func roleOf(name string) choice.Role {
	switch name {
	case "primary":
		return choice.Primary
	case "replica":
		return choice.Replica
	}
	return choice.RoleUnknown
}

// position is a time at which a server may stand. One clock is read by all, so a time well past the present is noise.
func (c *conn) position(ms int64) time.Duration {
	at, ok := c.pool.clock.FromUnix(ms)
	if !ok || at > c.pool.clock.Now()+c.pool.told.ConnectTimeout {
		return choice.LongPast
	}
	return at
}

// report reads the values of a load report that are known here, as in x0=1767225600.123,x1=1. A report of which any
// field cannot be read is none.
func (c *conn) report(text string) *exchange.Report {
	r := &exchange.Report{Position: choice.LongPast}
	for field := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || !(math.Abs(v) < 1<<40) {
			return nil
		}
		switch name {
		case "x0":
			// The number may have been rounded up: a millisecond less never claims too much.
			if r.Position = c.position(int64(v*1000) - 1); r.Position == choice.LongPast {
				return nil
			}
		case "x1":
			r.Role = choice.Replica
			if v == 1 {
				r.Role = choice.Primary
			}
		}
	}
	return r
}
