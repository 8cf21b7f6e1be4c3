package serverside

import (
	"errors"
	"io"
	"math"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"gorsewell/choice"
	"gorsewell/internal/exchange"
	"gorsewell/internal/pgwire"
)

// readMessage reads one message, which stays valid until the next call. The job is nil while the connection starts.
func (c *conn) readMessage(j *job) (pgwire.Message, error) {
	for {
		m, ok, err := c.readBuffer.NextServerMessage()
		if ok || err != nil {
			if err != nil {
				c.pool.counts.MalformedAnswers.Add(1)
			}
			return m, err
		}
		if err := c.ensureSpace(j, pgwire.MessageSize(c.readBuffer.Bytes())); err != nil {
			return m, err
		}
		n, err := c.net.Read(c.readBuffer.Space())
		c.readBuffer.Filled(n)
		if n == 0 && err != nil {
			return m, err
		}
	}
}

// answer is the part of a response that has been read.
type answer struct {
	exchange.AttemptResult

	// lastType is the type of the last message of the value, 0 before the first.
	lastType byte

	// complete is true once CommandComplete or ErrorResponse has been read.
	complete bool

	// bytesRead is the size of all messages of the response.
	bytesRead int
}

// shortMessagesBytes is the room for the messages behind a row: CommandComplete and ReadyForQuery.
const shortMessagesBytes = 160

var errReady = errors.New("server is ready for the next query")

// receive reads the response to a query that was written completely, up to ReadyForQuery. The server's role and position
// arrive just before that. The connection is reusable if ReadyForQuery was read.
func (c *conn) receive(j *job) (result exchange.AttemptResult, reusable bool) {
	a := answer{AttemptResult: exchange.AttemptResult{Position: choice.LongPast, Stated: choice.LongPast}}
	var err error
	for err == nil {
		var m pgwire.Message
		if m, err = c.readMessage(j); err == nil {
			err = c.processMessage(j, m, &a)
		}
	}
	switch {
	case a.complete: // the result is known, whether or not the rest of the response arrives
		return a.AttemptResult, err == errReady
	case errors.Is(err, os.ErrDeadlineExceeded):
		a.Result = choice.TimedOut
	case c.pool.isLocalFault(err): // it may have run, and the server is not at fault
		a.Result = choice.Cancelled
	default:
		a.Result = choice.Reset
	}
	// The rest of a broken response is not trusted.
	return exchange.AttemptResult{Result: a.Result, Position: choice.LongPast, Stated: choice.LongPast}, false
}

// processMessage processes one message of a response. It returns errReady at the end of the response.
func (c *conn) processMessage(j *job, m pgwire.Message, a *answer) error {
	if a.bytesRead += 5 + len(m.Body); a.bytesRead > 2*c.readBuffer.MessageLimit() {
		return c.malformed()
	}
	switch m.Type {
	case pgwire.RowDescription, pgwire.DataRow, pgwire.CommandComplete:
		value, valid := parseValueMessage(m, a.lastType)
		if a.complete || !valid {
			return c.malformed()
		}
		if j.op != nil {
			a.appendMessage(m)
		} else if m.Type == pgwire.DataRow {
			a.Report = c.parseReport(string(value))
		}
		a.lastType, a.complete = m.Type, m.Type == pgwire.CommandComplete
	case pgwire.ErrorResponse:
		code, err := pgwire.ParseSQLState(m.Body)
		if err != nil || a.complete {
			return c.malformed()
		}
		a.complete = true
		a.Result = resultOfSQLState(string(code))
	case pgwire.ParameterStatus:
		if name, value, err := pgwire.ParseParameterStatus(m.Body); err == nil { // a malformed one is ignored
			c.processParameter(string(name), string(value), a)
		}
	case pgwire.NoticeResponse, pgwire.NotificationResponse:
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

// appendMessage appends a message to the answer. A row leaves room for the short messages that follow it, so that a long
// one is not copied again.
func (a *answer) appendMessage(m pgwire.Message) {
	if m.Type == pgwire.DataRow {
		a.Answer.Bytes = slices.Grow(a.Answer.Bytes, len(m.Body)+shortMessagesBytes)
	}
	a.Answer.Bytes = pgwire.AppendRaw(a.Answer.Bytes, m)
}

// parseValueMessage parses a message of a response that returns one value: a RowDescription of one column, one DataRow,
// then CommandComplete. It returns the value of a DataRow, and whether the message is valid after one of type lastType.
func parseValueMessage(m pgwire.Message, lastType byte) (value []byte, valid bool) {
	switch m.Type {
	case pgwire.RowDescription:
		return nil, lastType == 0 && pgwire.HasOneColumn(m.Body)
	case pgwire.DataRow:
		value, err := pgwire.ParseSingleColumn(m.Body)
		return value, lastType == pgwire.RowDescription && err == nil
	}
	_, err := pgwire.ParseString(m.Body)
	return nil, lastType == pgwire.DataRow && err == nil
}

// malformed counts a malformed response and returns an error that ends it.
func (c *conn) malformed() error {
	c.pool.counts.MalformedAnswers.Add(1)
	return io.ErrUnexpectedEOF
}

// resultOfSQLState returns the result for the SQLSTATE of an ErrorResponse.
func resultOfSQLState(code string) choice.Result {
	switch code {
	case "25006", "72000":
		return choice.Declined
	case "53300", "57P03":
		return choice.ServerFull
	}
	return choice.ServerError
}

// processParameter processes a ParameterStatus that the server appends to a response.
func (c *conn) processParameter(name, value string, a *answer) {
	switch name {
	case "role":
		a.Role = parseRole(value)
	case "applied_ms":
		millis, _ := strconv.ParseInt(value, 10, 64)
		a.Position = c.validPosition(millis)
		if stated, ok := c.pool.clock.FromUnix(millis); ok {
			a.Stated = stated
		}
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

// validPosition converts a server's log position from Unix milliseconds. It returns choice.LongPast for an invalid one:
// all processes read the same clock, so a position well after the present cannot be right.
func (c *conn) validPosition(millis int64) time.Duration {
	position, ok := c.pool.clock.FromUnix(millis)
	if !ok || position > c.pool.clock.Now()+c.pool.settings.ConnectTimeout {
		return choice.LongPast
	}
	return position
}

// parseReport parses the known fields of a load report such as x0=1767225600.123,x1=1. It returns nil if any field of
// the report cannot be parsed.
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
			// The number may have been rounded up. One millisecond less never claims a later position than the true one.
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
