package clientside

import (
	"bytes"
	"errors"
	"net"
	"slices"
	"time"

	"gorsewell/choice"
	"gorsewell/internal/exchange"
	"gorsewell/internal/pgwire"
)

// queueSize is how many commands of one client may wait for their answers.
const queueSize = 16

var errGone = errors.New("the client has gone")

// read takes what the client sends until it goes, or is to go.
func (c *conn) read(full bool) {
	if !c.startup(full) {
		return
	}
	for {
		m, err := c.next()
		if err != nil {
			c.protest(err)
			return
		}
		switch m.Type {
		case pgwire.Query:
			if !c.query(m.Body) {
				return
			}
		case pgwire.Terminate:
			return
		default: // no other command is spoken here
			c.protest(pgwire.ErrMalformed)
			return
		}
	}
}

// protest answers bytes that cannot be read with a fatal error.
func (c *conn) protest(err error) {
	code, text := "08P01", "malformed message"
	switch err {
	case pgwire.ErrMalformed, pgwire.ErrVersion:
	case pgwire.ErrTooLong:
		code, text = "54000", "message too long"
		c.front.counts.Unusable.Add(1)
	default:
		return
	}
	c.front.counts.Malformed.Add(1)
	c.say(pgwire.AppendError(nil, "FATAL", code, text, ""))
}

// startup reads the packet with which a session begins and lets the client in.
func (c *conn) startup(full bool) bool {
	for {
		o, n, err := pgwire.Startup(c.window.Bytes())
		if err != nil {
			c.protest(err)
			return false
		}
		c.window.Take(n)
		switch {
		case n == 0:
			if c.fill() != nil {
				return false
			}
		case o == pgwire.OpensEncryption:
			c.say([]byte{'N'}) // there is none: the client goes on in the clear
		case o == pgwire.OpensCancel:
			return false
		case full:
			c.front.counts.ClientRefused.Add(1)
			c.say(pgwire.AppendError(nil, "FATAL", "53300", "too many connections", ""))
			return false
		default:
			c.say(pgwire.AppendWelcome(nil))
			return true
		}
	}
}

// next reads one message, which stays valid until the next call.
func (c *conn) next() (pgwire.Message, error) {
	for {
		m, ok, err := c.window.Next()
		if ok || err != nil {
			return m, err
		}
		if err := c.fill(); err != nil {
			return m, err
		}
	}
}

// fill reads more bytes. Once connections are being closed, it ends where the client is owed nothing.
func (c *conn) fill() error {
	for {
		n, err := c.net.Read(c.window.Room())
		c.window.Filled(n)
		if n > 0 {
			return nil
		}
		var ne net.Error
		if !errors.As(err, &ne) || !ne.Timeout() {
			return errGone
		}
		if c.owed.Load() == 0 {
			return errGone
		}
		c.net.SetReadDeadline(time.Time{}) // the answerer ends the wait once nothing is owed
		if c.owed.Load() == 0 {
			return errGone
		}
	}
}

// query takes one command.
func (c *conn) query(body []byte) bool {
	text, err := pgwire.Text(body)
	if err != nil {
		c.protest(err)
		return false
	}
	if trimmed := bytes.Trim(text, " ;\n\t"); len(trimmed) == 0 {
		c.say(pgwire.AppendReady(pgwire.AppendMessage(nil, pgwire.EmptyQuery)))
		return true
	}
	s, err := pgwire.Describe(bytes.Clone(text)) // it outlives the buffer: it may be sent again
	kind, known := c.front.opTypes[string(s.OpType)]
	if err != nil || !known {
		c.front.counts.Unusable.Add(1)
		code, what := "42601", "no usable comment"
		if err == nil {
			code, what = "22023", "unknown op type"
		}
		c.say(pgwire.AppendReady(pgwire.AppendError(nil, "ERROR", code, what, "")))
		return true
	}
	now := c.front.clock.Now()
	x := &exchange.Exchange{Statement: s, OpType: kind, Session: session(s.Key), After: choice.LongPast,
		Due: now + time.Duration(s.Remaining)*time.Millisecond, Done: make(chan struct{})}
	if s.After > 0 {
		x.After = c.front.clock.FromUnix(time.Duration(s.After) * time.Millisecond)
	}
	c.open = append(slices.DeleteFunc(c.open, finished), x)
	c.front.desk.Take(x)
	c.put(reply{x: x})
	return true
}

func finished(x *exchange.Exchange) bool {
	select {
	case <-x.Done:
		return true
	default:
		return false
	}
}

// session is the number of the session that a key names.
func session(key []byte) uint64 {
	h := uint64(14695981039346656037)
	for _, b := range key {
		h = (h ^ uint64(b)) * 1099511628211
	}
	return h
}
