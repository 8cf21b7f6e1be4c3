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

// maxPendingCommands is how many commands of one client may wait for their replies. Beyond that, reading pauses until
// one reply is written.
const maxPendingCommands = 16

// extraReplies is the maximum number of replies that answer no command: three refused encryption requests, one startup
// reply and one fatal error.
const extraReplies = 5

// The reasons to stop reading from a connection.
var (
	errClientGone = errors.New("client disconnected")
	errRejected   = errors.New("request rejected, connection is to be closed")
	errClosing    = errors.New("connection is to be closed")
)

// read reads from the client until it disconnects or the connection has to be closed.
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
		case m.Type != pgwire.Query: // no other command is supported
			return c.reject(pgwire.ErrMalformed)
		}
		if err := c.handleQuery(m.Body); err != nil {
			return c.reject(err)
		}
	}
}

// reject sends a fatal error for invalid input and returns errRejected. It returns any other error unchanged.
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

// awaitQueueSpace pauses reading while maxPendingCommands commands wait for their replies. Meanwhile it notices if the
// client disconnects. Commands that are already in the read buffer are processed afterwards, even during a planned
// stop.
func (c *conn) awaitQueueSpace() error {
	for c.pendingCommands.Load() >= maxPendingCommands {
		c.mu.Lock()
		c.readPaused = c.pendingCommands.Load() >= maxPendingCommands // else the writer wakes nobody any more
		c.net.SetReadDeadline(time.Time{})
		c.mu.Unlock()
		gone := c.readPaused && c.awaitClientClose()
		c.mu.Lock()
		c.readPaused = false // from here on a late wake-up cannot end another wait
		c.setReadDeadline(time.Time{})
		c.mu.Unlock()
		if gone {
			return errClientGone
		}
	}
	return nil
}

// resumeReading wakes a paused reader.
func (c *conn) resumeReading() {
	c.mu.Lock()
	if c.readPaused {
		c.net.SetReadDeadline(exchange.Past)
	}
	c.mu.Unlock()
}

// startup reads startup packets until a session starts, and sends the replies.
func (c *conn) startup() error {
	for refused := 0; ; {
		kind, size, err := pgwire.ParseStartup(c.readBuffer.Bytes())
		if refused > 2 { // a client asks once for each kind of encryption
			err = pgwire.ErrMalformed
		}
		if err != nil {
			return c.reject(err)
		}
		c.readBuffer.Discard(size)
		switch {
		case size == 0:
			if err := c.fill(); err != nil {
				return err
			}
		case kind == pgwire.StartupEncryption:
			refused++
			c.enqueueBytes([]byte{'N'}) // encryption is not supported: the client continues without it
		case kind == pgwire.StartupCancel:
			return errRejected
		case !c.acceptor.awaitSessionCapacity(c):
			c.acceptor.counts.ClientRefused.Add(1)
			c.enqueueBytes(pgwire.AppendError(nil, "FATAL", "53300", "too many connections", ""))
			return errRejected
		default:
			c.enqueueBytes(pgwire.AppendStartupReply(nil))
			return nil
		}
	}
}

// readMessage reads one message, which stays valid until the next call.
func (c *conn) readMessage() (pgwire.Message, error) {
	for limited := !c.sentCommand.Load(); ; {
		m, ok, err := c.readBuffer.Next()
		if ok && limited {
			c.setReadDeadline(time.Time{})
		}
		if ok || err != nil {
			return m, err
		}
		if !limited && len(c.readBuffer.Bytes()) > 0 { // the rest of an incomplete message has to arrive in time
			limited = true
			c.setReadDeadline(time.Now().Add(readTimeout))
		}
		if err := c.fill(); err != nil {
			return m, err
		}
	}
}

// fill reads more bytes. A read that times out is a sign that the connection has to be closed, during a planned stop,
// by eviction or because of the read timeout. Then fill returns errClosing if no reply is pending and no command
// arrives within a short grace period. If replies are pending it returns errClosing at once during a planned stop, else
// it goes on reading.
//
// During a planned stop it looks for such a command only once and reads nothing more after that, however busy the
// connection is. Otherwise a client that sends its next command right after each reply would be served on the
// connection until the process is killed, and its open ops would be lost. Bytes that stay unread in the socket turn the
// close into a reset, which tells the client that the command was not processed.
func (c *conn) fill() error {
	for graceUsed := false; ; {
		n, err := c.net.Read(c.readBuffer.Space())
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
			graceUsed = false
			c.evicting.Store(false)
			c.setReadDeadline(time.Time{})
		case graceUsed || c.finalReadDone:
			return errClosing
		default:
			graceUsed, c.finalReadDone = true, c.acceptor.stopping.Load()
			grace := closeGrace
			if c.evicting.Load() && !c.sentCommand.Load() {
				grace = time.Millisecond // eviction waits for firstBytesWait: a command would have arrived
			}
			c.net.SetReadDeadline(time.Now().Add(grace))
		}
	}
}

// maxFastDiscard is how many bytes after rejected input are discarded as fast as they arrive. Beyond that, discarding
// is slowed down.
const maxFastDiscard = 1 << 20

// awaitReplies waits until all pending replies are written and then returns the reason. It returns errClientGone if the
// client disconnects earlier: its open ops must then not be sent to a server again. Input after rejected input is
// discarded, so that the end of the stream becomes visible. Input after the last read of a planned stop stays unread,
// which tells the client that it was not processed, and the kernel is asked whether the client has closed the
// connection.
func (c *conn) awaitReplies(reason error) error {
	c.readingDone.Store(true) // from here on the writer ends the wait after the last reply
	for fastLeft := maxFastDiscard; ; {
		if c.net.SetReadDeadline(time.Time{}); c.pendingReplies.Load() == 0 {
			return reason
		}
		if reason == errClosing {
			if c.awaitClientClose() {
				return errClientGone
			}
			continue
		}
		n, err := c.net.Read(c.readBuffer.Space())
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return errClientGone
		}
		if fastLeft -= n; fastLeft < 0 {
			time.Sleep(time.Millisecond)
		}
	}
}

// awaitClientClose waits, without reading, until the client closes its end and returns true. It returns false when the
// read deadline passes.
func (c *conn) awaitClientClose() (gone bool) {
	rawConn, err := c.net.SyscallConn()
	if err != nil {
		return true
	}
	err = rawConn.Read(func(fd uintptr) bool {
		gone = peerClosed(fd)
		return gone
	})
	return gone || err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// clientClosed reports whether the client has closed its end, even if there are unread bytes before that.
func (c *conn) clientClosed() (gone bool) {
	rawConn, err := c.net.SyscallConn()
	if err != nil {
		return true
	}
	err = rawConn.Control(func(fd uintptr) { gone = peerClosed(fd) })
	return gone || err != nil
}

// peerClosed asks the kernel whether the peer of a socket has closed it or shut down its writing side.
func peerClosed(fd uintptr) bool { return poll(fd, unix.POLLRDHUP) }

// poll asks the kernel, without waiting, whether any of the events has occurred on a socket.
func poll(fd uintptr, events int16) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: events}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0
}

// setReadDeadline sets the deadline of reads, or ends them at once if the connection is being evicted or the acceptor
// is stopping. Evicting and stopping set their flag first and the deadline second, so whichever of the two calls is
// last ends the read.
func (c *conn) setReadDeadline(deadline time.Time) {
	c.net.SetReadDeadline(deadline)
	if c.acceptor.stopping.Load() || c.evicting.Load() {
		c.net.SetReadDeadline(exchange.Past)
	}
}

// handleQuery processes one command.
func (c *conn) handleQuery(body []byte) error {
	text, err := pgwire.ParseString(body)
	if err != nil {
		return err
	}
	if trimmed := bytes.Trim(text, " ;\n\t"); len(trimmed) == 0 {
		c.sentCommand.Store(true)
		c.enqueueCommandReply(pgwire.AppendReady(pgwire.AppendMessage(nil, pgwire.EmptyQueryResponse)))
		return nil
	}
	s, err := pgwire.ParseStatement(bytes.Clone(text)) // outlives the read buffer, as the op may be sent to a server again
	opType, known := c.acceptor.opTypes[string(s.OpType)]
	switch {
	case err != nil:
		return c.rejectQuery("42601", "no usable comment")
	case !known:
		return c.rejectQuery("22023", "unknown op type")
	case !c.acceptor.claimID(string(s.ID)):
		return c.rejectQuery("42710", "an op of this id is open")
	}
	// A command may have waited for long, in the listener's queue or while the process was suspended, and its client
	// may have disconnected in the meantime.
	if c.clientClosed() {
		c.acceptor.releaseID(string(s.ID))
		return errClientGone
	}
	c.sentCommand.Store(true)
	now := c.acceptor.clock.Now()
	op := &exchange.Exchange{Statement: s, OpType: opType, Group: s.Group, Session: sessionHash(s.Key), IsRetry: s.Retry,
		Deadline: now + min(s.Remaining, c.acceptor.settings.OpTypes[opType].Timeout),
		Target:   c.acceptor.settings.OpTypes[opType].Target, MinPosition: choice.LongPast, Done: make(chan struct{})}
	if position, ok := c.acceptor.clock.FromUnix(s.After); ok {
		op.MinPosition = position
	}
	c.openOps = append(slices.DeleteFunc(c.openOps, (*exchange.Exchange).IsDone), op)
	c.acceptor.dispatcher.Submit(op)
	c.enqueue(reply{op: op, opID: string(s.ID), answersCommand: true})
	return nil
}

// rejectQuery replies to a well-formed command that is not a valid op. The connection stays open.
func (c *conn) rejectQuery(code, message string) error {
	c.acceptor.counts.Unusable.Add(1)
	c.enqueueCommandReply(pgwire.AppendReady(pgwire.AppendError(nil, "ERROR", code, message, "")))
	return nil
}

// sessionHash returns the number of the session that a key belongs to, the 64-bit FNV-1a hash of the key.
func sessionHash(key []byte) uint64 {
	hash := uint64(14695981039346656037)
	for _, b := range key {
		hash = (hash ^ uint64(b)) * 1099511628211
	}
	return hash
}
