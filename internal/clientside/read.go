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

// maxPendingCommands is how many commands of one client may wait for their answers; no more are read until one is answered.
const maxPendingCommands = 16

// extraReplies is how many replies there may be that answer no command: encryption declined three times, a welcome, a protest.
const extraReplies = 5

// Why a connection is read no longer.
var (
	errClientGone = errors.New("the client has gone")
	errRejected   = errors.New("the client is told that nothing more is taken, and why")
	errClosing    = errors.New("the connection is to be closed")
)

// read takes what the client sends until it goes, or is to go.
func (c *conn) read() error {
	c.setReadDeadline(time.Now().Add(readTimeout))
	if err := c.startup(); err != nil {
		return err
	}
	for {
		if err := c.awaitQueueSpace(); err != nil {
			return err
		}
		m, err := c.readMessage()
		switch {
		case err != nil:
			return c.reject(err)
		case m.Type == pgwire.Terminate:
			return errClientGone
		case m.Type != pgwire.Query: // no other command is spoken here
			return c.reject(pgwire.ErrMalformed)
		}
		if err := c.handleQuery(m.Body); err != nil {
			return c.reject(err)
		}
	}
}

// reject answers bytes that cannot be read with a fatal error; any other reason to end passes through.
func (c *conn) reject(err error) error {
	code := "08P01"
	switch err {
	case pgwire.ErrMalformed, pgwire.ErrVersion:
	case pgwire.ErrTooLong:
		code = "54000"
		c.acceptor.counts.Unusable.Add(1)
	default:
		return err
	}
	c.acceptor.counts.Malformed.Add(1)
	c.enqueueBytes(pgwire.AppendError(nil, "FATAL", code, err.Error(), ""))
	return errRejected
}

// awaitQueueSpace holds back a client that has as many commands waiting as there may be: nothing is read until one is answered, and its
// leaving is seen meanwhile. Commands that have been read already are taken afterwards, also at a planned stop.
func (c *conn) awaitQueueSpace() error {
	for c.pendingCommands.Load() >= maxPendingCommands {
		c.mu.Lock()
		c.readPaused = c.pendingCommands.Load() >= maxPendingCommands // else its answerer has passed by and wakes nobody
		c.net.SetReadDeadline(time.Time{})
		c.mu.Unlock()
		gone := c.readPaused && c.awaitClientClose()
		c.mu.Lock()
		c.readPaused = false // from here on no late wake ends another wait
		c.setReadDeadline(time.Time{})
		c.mu.Unlock()
		if gone {
			return errClientGone
		}
	}
	return nil
}

// resumeReading wakes a reader that pauses.
func (c *conn) resumeReading() {
	c.mu.Lock()
	if c.readPaused {
		c.net.SetReadDeadline(exchange.Past)
	}
	c.mu.Unlock()
}

// startup reads the packet with which a session begins and lets the client in.
func (c *conn) startup() error {
	for declined := 0; ; {
		o, n, err := pgwire.Startup(c.readBuffer.Bytes())
		if declined > 2 { // a client asks for either kind of encryption once
			err = pgwire.ErrMalformed
		}
		if err != nil {
			return c.reject(err)
		}
		c.readBuffer.Take(n)
		switch {
		case n == 0:
			if err := c.fill(); err != nil {
				return err
			}
		case o == pgwire.OpensEncryption:
			declined++
			c.enqueueBytes([]byte{'N'}) // there is none: the client goes on in the clear
		case o == pgwire.OpensCancel:
			return errRejected
		case !c.acceptor.awaitSessionCapacity(c):
			c.acceptor.counts.ClientRefused.Add(1)
			c.enqueueBytes(pgwire.AppendError(nil, "FATAL", "53300", "too many connections", ""))
			return errRejected
		default:
			c.enqueueBytes(pgwire.AppendWelcome(nil))
			return nil
		}
	}
}

// readMessage reads one message, which stays valid until the readMessage call.
func (c *conn) readMessage() (pgwire.Message, error) {
	for limited := !c.sentCommand.Load(); ; {
		m, ok, err := c.readBuffer.Next()
		if ok && limited {
			c.setReadDeadline(time.Time{})
		}
		if ok || err != nil {
			return m, err
		}
		if !limited && len(c.readBuffer.Bytes()) > 0 { // a message that has begun is to end
			limited = true
			c.setReadDeadline(time.Now().Add(readTimeout))
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
		n, err := c.net.Read(c.readBuffer.Room())
		c.readBuffer.Filled(n)
		switch {
		case n > 0:
			c.lastActivity.Store(int64(c.acceptor.clock.Now()))
			c.evicting.Store(false)
			return nil
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return errClientGone
		case c.pendingReplies.Load() > 0 && c.acceptor.stopping.Load():
			return errClosing
		case c.pendingReplies.Load() > 0:
			last = false
			c.evicting.Store(false)
			c.setReadDeadline(time.Time{})
		case last || c.finalReadDone:
			return errClosing
		default:
			last, c.finalReadDone = true, c.acceptor.stopping.Load()
			look := closeGrace
			if c.evicting.Load() && !c.sentCommand.Load() {
				look = time.Millisecond // what it had to say would be here: newcomers do not leave
			}
			c.net.SetReadDeadline(time.Now().Add(look))
		}
	}
}

// maxFastDiscard is how much of what follows a protest is thrown away as fast as it comes; of a flood, the rest is slowed down.
const maxFastDiscard = 1 << 20

// awaitReplies waits until all that was taken is answered, and tells whether the client leaves before: then what is under way for it
// must not be sent on. What follows a protest is thrown away, so that its end shows. What comes once a planned stop has looked
// its last stays unread, by which its client can tell that it was not taken, and the kernel is asked for the end behind it.
func (c *conn) awaitReplies(why error) error {
	c.readingDone.Store(true) // from here on the answerer ends the wait after the last answer
	for left := maxFastDiscard; ; {
		if c.net.SetReadDeadline(time.Time{}); c.pendingReplies.Load() == 0 {
			return why
		}
		if why == errClosing {
			if c.awaitClientClose() {
				return errClientGone
			}
			continue
		}
		n, err := c.net.Read(c.readBuffer.Room())
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return errClientGone
		}
		if left -= n; left < 0 {
			time.Sleep(time.Millisecond)
		}
	}
}

// awaitClientClose waits, reading nothing, until the client has closed its end, or the read deadline has passed: false.
func (c *conn) awaitClientClose() (gone bool) {
	raw, err := c.net.SyscallConn()
	if err != nil {
		return true
	}
	err = raw.Read(func(fd uintptr) bool {
		gone = peerClosed(fd)
		return gone
	})
	return gone || err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// clientClosed tells whether the client has closed its end, whatever lies unread before that.
func (c *conn) clientClosed() (gone bool) {
	raw, err := c.net.SyscallConn()
	if err != nil {
		return true
	}
	err = raw.Control(func(fd uintptr) { gone = peerClosed(fd) })
	return gone || err != nil
}

// peerClosed asks the kernel whether the other end of a socket is peerClosed, or half peerClosed, which counts as leaving too.
func peerClosed(fd uintptr) bool { return poll(fd, unix.POLLRDHUP) }

// poll asks the kernel whether something has happened at a socket, without waiting.
func poll(fd uintptr, what int16) bool {
	look := []unix.PollFd{{Fd: int32(fd), Events: what}}
	n, err := unix.Poll(look, 0)
	return err == nil && n > 0
}

// setReadDeadline lets reads setReadDeadline until then, and not at all once the connection, or all of them, are to be closed. Who wants that says so
// first and ends the setReadDeadline then: whichever of the two comes last, the read ends.
func (c *conn) setReadDeadline(until time.Time) {
	c.net.SetReadDeadline(until)
	if c.acceptor.stopping.Load() || c.evicting.Load() {
		c.net.SetReadDeadline(exchange.Past)
	}
}

// handleQuery takes one command.
func (c *conn) handleQuery(body []byte) error {
	text, err := pgwire.Text(body)
	if err != nil {
		return err
	}
	if trimmed := bytes.Trim(text, " ;\n\t"); len(trimmed) == 0 {
		c.sentCommand.Store(true)
		c.enqueueCommandReply(pgwire.AppendReady(pgwire.AppendMessage(nil, pgwire.EmptyQuery)))
		return nil
	}
	s, err := pgwire.Describe(bytes.Clone(text)) // it outlives the buffer: it may be sent again
	kind, known := c.acceptor.opTypes[string(s.OpType)]
	switch {
	case err != nil:
		return c.rejectQuery("42601", "no usable comment")
	case !known:
		return c.rejectQuery("22023", "unknown op type")
	case !c.acceptor.claimID(string(s.ID)):
		return c.rejectQuery("42710", "an op of this id is open")
	}
	// A command may have waited for long, in the listener's queue or while the process stood still, and its client have left.
	if c.clientClosed() {
		c.acceptor.releaseID(string(s.ID))
		return errClientGone
	}
	c.sentCommand.Store(true)
	now := c.acceptor.clock.Now()
	x := &exchange.Exchange{Statement: s, OpType: kind, Group: s.Group, Session: sessionHash(s.Key), Again: s.Again,
		Due: now + min(s.Remaining, c.acceptor.settings.OpTypes[kind].Timeout), Target: c.acceptor.settings.OpTypes[kind].Target, After: choice.LongPast, Done: make(chan struct{})}
	if at, ok := c.acceptor.clock.FromUnix(s.After); ok {
		x.After = at
	}
	c.openOps = append(slices.DeleteFunc(c.openOps, (*exchange.Exchange).Over), x)
	c.acceptor.dispatcher.Take(x)
	c.enqueue(reply{op: x, opID: string(s.ID), answersCommand: true})
	return nil
}

// rejectQuery answers a command that can be read but is no op.
func (c *conn) rejectQuery(code, what string) error {
	c.acceptor.counts.Unusable.Add(1)
	c.enqueueCommandReply(pgwire.AppendReady(pgwire.AppendError(nil, "ERROR", code, what, "")))
	return nil
}

// sessionHash is the number of the sessionHash that a key names.
func sessionHash(key []byte) uint64 {
	h := uint64(14695981039346656037)
	for _, b := range key {
		h = (h ^ uint64(b)) * 1099511628211
	}
	return h
}
