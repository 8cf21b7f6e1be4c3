package clientside

import (
	"bytes"
	"errors"
	"os"
	"slices"
	"time"

	"golang.org/x/sys/unix"

	"gorsewell/choice"
	"gorsewell/internal/exchange"
	"gorsewell/internal/pgwire"
)

// queueSize is how many commands of one client may wait for their answers; no more are read until one is answered.
const queueSize = 16

// besides is how many replies there may be that answer no command: encryption declined three times, a welcome, a protest.
const besides = 5

// Why a connection is read no longer.
var (
	errGone      = errors.New("the client has gone")
	errProtested = errors.New("the client is told that nothing more is taken, and why")
	errEnds      = errors.New("the connection is to be closed")
)

// read takes what the client sends until it goes, or is to go.
func (c *conn) read() error {
	c.wait(time.Now().Add(readTimeout))
	if err := c.startup(); err != nil {
		return err
	}
	for {
		if err := c.pause(); err != nil {
			return err
		}
		m, err := c.next()
		switch {
		case err != nil:
			return c.protest(err)
		case m.Type == pgwire.Terminate:
			return errGone
		case m.Type != pgwire.Query: // no other command is spoken here
			return c.protest(pgwire.ErrMalformed)
		}
		if err := c.query(m.Body); err != nil {
			return c.protest(err)
		}
	}
}

// protest answers bytes that cannot be read with a fatal error; any other reason to end passes through.
func (c *conn) protest(err error) error {
	code := "08P01"
	switch err {
	case pgwire.ErrMalformed, pgwire.ErrVersion:
	case pgwire.ErrTooLong:
		code = "54000"
		c.front.counts.Unusable.Add(1)
	default:
		return err
	}
	c.front.counts.Malformed.Add(1)
	c.say(pgwire.AppendError(nil, "FATAL", code, err.Error(), ""))
	return errProtested
}

// pause holds back a client that has as many commands waiting as there may be: nothing is read until one is answered, and its
// leaving is seen meanwhile. Commands that have been read already are taken afterwards, also at a planned stop.
func (c *conn) pause() error {
	for c.waiting.Load() >= queueSize {
		c.mu.Lock()
		c.paused = c.waiting.Load() >= queueSize // else its answerer has passed by and wakes nobody
		c.net.SetReadDeadline(time.Time{})
		c.mu.Unlock()
		gone := c.paused && c.leaves()
		c.mu.Lock()
		c.paused = false // from here on no late wake ends another wait
		c.wait(time.Time{})
		c.mu.Unlock()
		if gone {
			return errGone
		}
	}
	return nil
}

// resume wakes a reader that pauses.
func (c *conn) resume() {
	c.mu.Lock()
	if c.paused {
		c.net.SetReadDeadline(exchange.Past)
	}
	c.mu.Unlock()
}

// startup reads the packet with which a session begins and lets the client in.
func (c *conn) startup() error {
	for declined := 0; ; {
		o, n, err := pgwire.Startup(c.window.Bytes())
		if declined > 2 { // a client asks for either kind of encryption once
			err = pgwire.ErrMalformed
		}
		if err != nil {
			return c.protest(err)
		}
		c.window.Take(n)
		switch {
		case n == 0:
			if err := c.fill(); err != nil {
				return err
			}
		case o == pgwire.OpensEncryption:
			declined++
			c.say([]byte{'N'}) // there is none: the client goes on in the clear
		case o == pgwire.OpensCancel:
			return errProtested
		case !c.front.findsRoom(c):
			c.front.counts.ClientRefused.Add(1)
			c.say(pgwire.AppendError(nil, "FATAL", "53300", "too many connections", ""))
			return errProtested
		default:
			c.say(pgwire.AppendWelcome(nil))
			return nil
		}
	}
}

// next reads one message, which stays valid until the next call.
func (c *conn) next() (pgwire.Message, error) {
	for limited := !c.spoke.Load(); ; {
		m, ok, err := c.window.Next()
		if ok && limited {
			c.wait(time.Time{})
		}
		if ok || err != nil {
			return m, err
		}
		if !limited && len(c.window.Bytes()) > 0 { // a message that has begun is to end
			limited = true
			c.wait(time.Now().Add(readTimeout))
		}
		if err := c.fill(); err != nil {
			return m, err
		}
	}
}

// fill reads more bytes. A read that ends in time is a sign that the connection is to be closed, as all are, or as it has
// been quiet for too long: then it gives up where the client is owed nothing and no command of it is on its way.
//
// At a planned stop it looks once for a command on its way and reads nothing more after that, however busy the connection
// is: a client that asks again within moments of each answer would else be served on it until the process is killed, and
// lose what is under way then. What stays unread in the socket makes the end a reset, by which its client knows that it was
// not taken.
func (c *conn) fill() error {
	for last := false; ; {
		n, err := c.net.Read(c.window.Room())
		c.window.Filled(n)
		switch {
		case n > 0:
			c.heard.Store(int64(c.front.clock.Now()))
			c.leaving.Store(false)
			return nil
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return errGone
		case c.owed.Load() > 0 && c.front.closing.Load():
			return errEnds
		case c.owed.Load() > 0:
			last = false
			c.leaving.Store(false)
			c.wait(time.Time{})
		case last || c.looked:
			return errEnds
		default:
			last, c.looked = true, c.front.closing.Load()
			look := linger
			if c.leaving.Load() && !c.spoke.Load() {
				look = time.Millisecond // what it had to say would be here: newcomers do not leave
			}
			c.net.SetReadDeadline(time.Now().Add(look))
		}
	}
}

// discarded is how much of what follows a protest is thrown away as fast as it comes; of a flood, the rest is slowed down.
const discarded = 1 << 20

// await waits until all that was taken is answered, and tells whether the client leaves before: then what is under way for it
// must not be sent on. What follows a protest is thrown away, so that its end shows. What comes once a planned stop has looked
// its last stays unread, by which its client can tell that it was not taken, and the kernel is asked for the end behind it.
func (c *conn) await(why error) error {
	c.ending.Store(true) // from here on the answerer ends the wait after the last answer
	for left := discarded; ; {
		if c.net.SetReadDeadline(time.Time{}); c.owed.Load() == 0 {
			return why
		}
		if why == errEnds {
			if c.leaves() {
				return errGone
			}
			continue
		}
		n, err := c.net.Read(c.window.Room())
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return errGone
		}
		if left -= n; left < 0 {
			time.Sleep(time.Millisecond)
		}
	}
}

// leaves waits, reading nothing, until the client has closed its end, or the read deadline has passed: false.
func (c *conn) leaves() (gone bool) {
	raw, err := c.net.SyscallConn()
	if err != nil {
		return true
	}
	err = raw.Read(func(fd uintptr) bool {
		gone = closed(fd)
		return gone
	})
	return gone || err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// hasLeft tells whether the client has closed its end, whatever lies unread before that.
func (c *conn) hasLeft() (gone bool) {
	raw, err := c.net.SyscallConn()
	if err != nil {
		return true
	}
	err = raw.Control(func(fd uintptr) { gone = closed(fd) })
	return gone || err != nil
}

// closed asks the kernel whether the other end of a socket is closed, or half closed, which counts as leaving too.
func closed(fd uintptr) bool { return polled(fd, unix.POLLRDHUP) }

// polled asks the kernel whether something has happened at a socket, without waiting.
func polled(fd uintptr, what int16) bool {
	look := []unix.PollFd{{Fd: int32(fd), Events: what}}
	n, err := unix.Poll(look, 0)
	return err == nil && n > 0
}

// wait lets reads wait until then, and not at all once the connection, or all of them, are to be closed. Who wants that says so
// first and ends the wait then: whichever of the two comes last, the read ends.
func (c *conn) wait(until time.Time) {
	c.net.SetReadDeadline(until)
	if c.front.closing.Load() || c.leaving.Load() {
		c.net.SetReadDeadline(exchange.Past)
	}
}

// query takes one command.
func (c *conn) query(body []byte) error {
	text, err := pgwire.Text(body)
	if err != nil {
		return err
	}
	if trimmed := bytes.Trim(text, " ;\n\t"); len(trimmed) == 0 {
		c.spoke.Store(true)
		c.answers(pgwire.AppendReady(pgwire.AppendMessage(nil, pgwire.EmptyQuery)))
		return nil
	}
	s, err := pgwire.Describe(bytes.Clone(text)) // it outlives the buffer: it may be sent again
	kind, known := c.front.opTypes[string(s.OpType)]
	switch {
	case err != nil:
		return c.unusable("42601", "no usable comment")
	case !known:
		return c.unusable("22023", "unknown op type")
	case !c.front.opens(string(s.ID)):
		return c.unusable("42710", "an op of this id is open")
	}
	// A command may have waited for long, in the listener's queue or while the process stood still, and its client have left.
	if c.hasLeft() {
		c.front.closed(string(s.ID))
		return errGone
	}
	c.spoke.Store(true)
	now := c.front.clock.Now()
	x := &exchange.Exchange{Statement: s, OpType: kind, Group: s.Group, Session: session(s.Key), Again: s.Again,
		Due: now + min(s.Remaining, c.front.told.OpTypes[kind].Timeout), Target: c.front.told.OpTypes[kind].Target, After: choice.LongPast, Done: make(chan struct{})}
	if at, ok := c.front.clock.FromUnix(s.After); ok {
		x.After = at
	}
	c.open = append(slices.DeleteFunc(c.open, (*exchange.Exchange).Over), x)
	c.front.desk.Take(x)
	c.put(reply{x: x, id: string(s.ID), command: true})
	return nil
}

// unusable answers a command that can be read but is no op.
func (c *conn) unusable(code, what string) error {
	c.front.counts.Unusable.Add(1)
	c.answers(pgwire.AppendReady(pgwire.AppendError(nil, "ERROR", code, what, "")))
	return nil
}

// session is the number of the session that a key names.
func session(key []byte) uint64 {
	h := uint64(14695981039346656037)
	for _, b := range key {
		h = (h ^ uint64(b)) * 1099511628211
	}
	return h
}
