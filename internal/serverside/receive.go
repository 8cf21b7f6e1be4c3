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

// readMessage reads one message, which stays valid until the readMessage call.
func (c *conn) readMessage() (pgwire.Message, error) {
	for {
		m, ok, err := c.readBuffer.NextAnswer()
		if ok || err != nil {
			if err != nil {
				c.pool.counts.MalformedAnswers.Add(1)
			}
			return m, err
		}
		n, err := c.net.Read(c.readBuffer.Room())
		c.readBuffer.Filled(n)
		if n == 0 && err != nil {
			return m, err
		}
	}
}

// answer is what has been read of one.
type answer struct {
	exchange.Ended
	lastType  byte // the type of the newest message of the value
	complete  bool // one of the messages that end a query has come
	bytesRead int  // bytes
}

var errReady = errors.New("ready for the next query")

// receive reads the answer to a query that was written whole, up to ReadyForQuery. Its role and position come
// only there. The connection is whole if it got so far.
func (c *conn) receive(j *job) (e exchange.Ended, whole bool) {
	a := answer{Ended: exchange.Ended{Position: choice.LongPast}}
	var err error
	for err == nil {
		var m pgwire.Message
		if m, err = c.readMessage(); err == nil {
			err = c.processMessage(j, m, &a)
		}
	}
	switch {
	case a.complete: // the answer is known, whatever follows it or does not
		return a.Ended, err == errReady
	case errors.Is(err, os.ErrDeadlineExceeded):
		a.Result = choice.TimedOut
	default:
		a.Result = choice.Reset
	}
	return exchange.Ended{Result: a.Result, Position: choice.LongPast}, false // a spoilt answer tells nothing else
}

// processMessage looks at one message of an answer.
func (c *conn) processMessage(j *job, m pgwire.Message, a *answer) error {
	if a.bytesRead += 5 + len(m.Body); a.bytesRead > 2*c.readBuffer.Longest() {
		return c.malformed()
	}
	switch m.Type {
	case pgwire.RowDescription, pgwire.DataRow, pgwire.CommandComplete:
		value, fits := parseValueMessage(m, a.lastType)
		if a.complete || !fits {
			return c.malformed()
		}
		if j.op != nil {
			a.Answer = pgwire.AppendRaw(a.Answer, m)
		} else if m.Type == pgwire.DataRow {
			a.Report = c.parseReport(string(value))
		}
		a.lastType, a.complete = m.Type, m.Type == pgwire.CommandComplete
	case pgwire.ErrorResponse:
		code, err := pgwire.Code(m.Body)
		if err != nil || a.complete {
			return c.malformed()
		}
		a.complete = true
		a.Result = resultOfSQLState(string(code))
	case pgwire.ParameterStatus:
		if name, value, err := pgwire.Parameter(m.Body); err == nil { // one that cannot be read tells nothing
			c.processParameter(string(name), string(value), a)
		}
	case pgwire.NoticeResponse, pgwire.NotificationResp:
	case pgwire.ReadyForQuery:
		if !a.complete || len(c.readBuffer.Bytes()) > 0 {
			return c.malformed()
		}
		return errReady
	default:
		return c.malformed()
	}
	return nil
}

// parseValueMessage tells whether the message is the next of a value, after the type that came last: one column, one row of it, the end.
func parseValueMessage(m pgwire.Message, last byte) (value []byte, fits bool) {
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

// resultOfSQLState tells what an SQLSTATE proves.
func resultOfSQLState(code string) choice.Result {
	switch code {
	case "25006", "72000":
		return choice.Miss
	case "53300", "57P03":
		return choice.ServerFull
	}
	return choice.ServerError
}

func (c *conn) processParameter(name, value string, a *answer) {
	switch name {
	case "role":
		a.Role = parseRole(value)
	case "applied_ms":
		ms, _ := strconv.ParseInt(value, 10, 64)
		a.Position = c.validPosition(ms)
	case "load":
		a.Report = c.parseReport(value)
	}
}

func parseRole(name string) choice.Role {
	switch name {
	case "primary":
		return choice.Primary
	case "replica":
		return choice.Replica
	}
	return choice.RoleUnknown
}

// validPosition is a time at which a server may stand. One clock is read by all, so a time well past the present is noise.
func (c *conn) validPosition(ms int64) time.Duration {
	at, ok := c.pool.clock.FromUnix(ms)
	if !ok || at > c.pool.clock.Now()+c.pool.settings.ConnectTimeout {
		return choice.LongPast
	}
	return at
}

// parseReport reads the values of a load parseReport that are known here, as in x0=1767225600.123,x1=1. A parseReport of which any
// field cannot be read is none.
func (c *conn) parseReport(text string) *exchange.Report {
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
			if r.Position = c.validPosition(int64(v*1000) - 1); r.Position == choice.LongPast {
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
