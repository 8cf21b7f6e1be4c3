package serverside

import (
	"errors"
	"io"
	"math"
	"os"
	"strconv"
	"strings"

	"gorsewell/choice"
	"gorsewell/internal/exchange"
	"gorsewell/internal/pgwire"
)

// next reads one message, which stays valid until the next call.
func (c *conn) next() (pgwire.Message, error) {
	for {
		m, ok, err := c.window.Next()
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
	over bool // one of the messages that end a query has come
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
	case errors.Is(err, os.ErrDeadlineExceeded):
		a.Result = choice.TimedOut
	default:
		a.Result = choice.Reset
	}
	return a.Ended, err == errReady
}

// take looks at one message of an answer.
func (c *conn) take(j *job, m pgwire.Message, a *answer) error {
	switch m.Type {
	case pgwire.RowDescription, pgwire.DataRow, pgwire.CommandComplete:
		if a.over || len(a.Answer)+len(m.Body) > pgwire.MaxMessage {
			return c.malformed()
		}
		if j.x == nil && m.Type == pgwire.DataRow {
			value, err := pgwire.Column(m.Body)
			if err != nil {
				return c.malformed()
			}
			a.Report = c.report(string(value))
		} else if j.x != nil {
			a.Answer = pgwire.AppendRaw(a.Answer, m)
		}
		a.over = m.Type == pgwire.CommandComplete
	case pgwire.ErrorResponse:
		code, err := pgwire.Code(m.Body)
		if err != nil || a.over {
			return c.malformed()
		}
		a.over = true
		a.Result = resultOf(string(code))
	case pgwire.ParameterStatus:
		name, value, err := pgwire.Parameter(m.Body)
		if err != nil {
			return c.malformed()
		}
		c.parameter(string(name), string(value), a)
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
		if at, ok := c.pool.clock.FromUnix(ms); ok {
			a.Position = at
		}
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

// report reads the values of a load report that are known here, as in x0=1767225600.123,x1=1.
func (c *conn) report(text string) *exchange.Report {
	r := &exchange.Report{Position: choice.LongPast}
	seen := false
	for field := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || !(math.Abs(v) < 1<<40) {
			continue
		}
		switch name {
		case "x0":
			// The number may have been rounded up: a millisecond less never claims too much.
			if at, ok := c.pool.clock.FromUnix(int64(v*1000) - 1); ok {
				r.Position, seen = at, true
			}
		case "x1":
			r.Role, seen = choice.Replica, true
			if v == 1 {
				r.Role = choice.Primary
			}
		}
	}
	if !seen {
		return nil
	}
	return r
}
