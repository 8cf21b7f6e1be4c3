package clientside

import (
	"bytes"
	"errors"
	"log/slog"
	"os"
	"slices"
	"time"

	"gorsewell/choice"
	"gorsewell/internal/exchange"
	"gorsewell/internal/membudget"
	"gorsewell/internal/pgwire"
)

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
	c.limitInputTime()
	if err := c.startup(); err != nil {
		return err
	}
	for {
		if err := c.awaitQueueSpace(); err != nil {
			return err
		}
		m, err := c.readMessage()
		switch {
		case err == errNoMemory:
			c.rejectBusy()
			continue
		case err != nil:
			return c.reject(err)
		case m.Type == pgwire.Terminate:
			return errClientGone
		case m.Type != pgwire.Query: // no other command is supported
			return c.reject(pgwire.ErrMalformed)
		}
		for err = errMoreInput; err == errMoreInput; {
			c.acceptor.turns.await(c.flow)
			err = c.handleQuery(m.Body)
			c.acceptor.turns.end(c.flow)
		}
		if err != nil {
			return c.reject(err)
		}
		c.flow.Backlogged = true // until a read has to wait
		c.releaseInput()
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

// hasQueueSpace reports whether another command may wait for its reply.
func (c *conn) hasQueueSpace() bool {
	limit := choice.OpenCommandLimit(int(c.acceptor.pipelining.Load()))
	return int(c.pendingCommands.Load()) < limit
}

// awaitQueueSpace pauses reading while as many commands as are allowed wait for their replies. Meanwhile it notices if the
// client disconnects. Commands that are already in the read buffer are processed afterwards, even during a planned
// stop.
func (c *conn) awaitQueueSpace() error {
	for !c.hasQueueSpace() {
		c.mu.Lock()
		c.readPaused = !c.hasQueueSpace() // else the writer wakes nobody any more
		c.net.SetReadDeadline(time.Time{})
		c.mu.Unlock()
		gone := c.readPaused && c.awaitClientLeaving()
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
		case size == 0 && !c.ensureSpace(pgwire.StartupSize(c.readBuffer.Bytes())):
			return c.rejectConnection()
		case size == 0:
			if err := c.fillInTurn(); err != nil {
				return err
			}
		case kind == pgwire.StartupEncryption:
			refused++
			c.enqueueBytes([]byte{'N'}) // encryption is not supported: the client continues without it
		case kind == pgwire.StartupCancel:
			return errRejected
		default:
			c.releaseInput()
			return c.startSession()
		}
	}
}

// startSession replies to the startup packet. If there is no room for the connection and several commands have already
// arrived, the session starts, but closes once they are answered: they have been taken, and an error in place of the
// session would answer the first of them only.
func (c *conn) startSession() error {
	if !c.acceptor.awaitSessionCapacity(c) {
		if !c.hasSeveralCommands() {
			return c.rejectConnection()
		}
		c.closeWhenIdle()
	}
	c.enqueueBytes(pgwire.AppendStartupReply(nil))
	return nil
}

// hasSeveralCommands reports whether more has arrived than one command, at most.
func (c *conn) hasSeveralCommands() bool {
	arrived := c.readBuffer.Bytes()
	size := pgwire.MessageSize(arrived)
	return size > 0 && len(arrived) > size || c.hasUnreadInput()
}

// rejectConnection tells a client that there is no room for its connection and returns errClosing: commands that arrive
// from now on stay unread, which tells the client to send them to another gateway.
func (c *conn) rejectConnection() error {
	c.acceptor.counts.ClientRefused.Add(1)
	c.closeWhenIdle()
	c.enqueueBytes(pgwire.AppendError(nil, "FATAL", "53300", "too many connections", ""))
	return errClosing
}

// readMessage reads one message, which stays valid until the next call. The rest of an incomplete message has to arrive
// within readTimeout.
func (c *conn) readMessage() (pgwire.Message, error) {
	for {
		m, ok, err := c.readBuffer.Next()
		if ok {
			c.endInputTime()
		}
		if ok || err != nil {
			return m, err
		}
		if c.inputDeadline.IsZero() && c.messageBegun() {
			c.limitInputTime()
		}
		size := pgwire.MessageSize(c.readBuffer.Bytes())
		switch {
		case c.readBuffer.Holds(size):
			err = c.fillInTurn()
		case c.readBuffer.Bytes()[0] != pgwire.Query: // no other command can be long
			err = pgwire.ErrMalformed
		case !c.ensureSpace(size):
			err = c.skipMessage(size)
		}
		if err != nil {
			return m, err
		}
	}
}

// messageBegun reports whether the beginning of an incomplete message has been read.
func (c *conn) messageBegun() bool { return len(c.readBuffer.Bytes()) > 0 || c.readBuffer.Skipping() }

// limitInputTime starts the time in which the next message has to be complete.
func (c *conn) limitInputTime() {
	c.inputDeadline = time.Now().Add(readTimeout)
	c.setReadDeadline(c.inputDeadline)
}

// endInputTime ends that time, as the message is complete.
func (c *conn) endInputTime() {
	if !c.inputDeadline.IsZero() {
		c.inputDeadline = time.Time{}
		c.setReadDeadline(c.inputDeadline)
	}
}

// inputOverdue reports whether the time is over in which a message had to be complete.
func (c *conn) inputOverdue() bool {
	return !c.inputDeadline.IsZero() && !time.Now().Before(c.inputDeadline)
}

// fillInTurn reads more bytes. If these do not complete a message, it waits for a turn, as there would be no other limit to
// how much is read.
func (c *conn) fillInTurn() error {
	if err := c.fill(); err != nil {
		return err
	}
	if size := pgwire.MessageSize(c.readBuffer.Bytes()); size == 0 || size > len(c.readBuffer.Bytes()) {
		c.acceptor.turns.await(c.flow)
		c.acceptor.turns.end(c.flow)
	}
	return nil
}

// fill reads more bytes. A read that times out is a sign that the connection has to be closed, by eviction, because of
// the read timeout or during a planned stop. Then fill returns errClosing if no reply is pending and no command arrives
// within a short grace period. It goes on reading if replies are pending, or if the reason to close has passed: input
// that arrives with the eviction may be read before the deadline is noticed.
func (c *conn) fill() error {
	for graceUsed := false; !c.isClosing(); {
		_, err := c.readOnce(c.readBuffer.Space())
		switch {
		case err == nil && graceUsed:
			c.setReadDeadline(c.inputDeadline)
			return nil
		case err == nil || !errors.Is(err, os.ErrDeadlineExceeded):
			return err
		case c.inputOverdue():
			return c.fillOverdue()
		case c.pendingReplies.Load() > 0 || !c.evicting.Load():
			graceUsed = false
			c.evicting.Store(false)
			c.setReadDeadline(c.inputDeadline)
		case graceUsed:
			return errClosing
		default:
			graceUsed = true
			grace := closeGrace
			if c.evicting.Load() && !c.sentCommand.Load() {
				grace = time.Millisecond // eviction waits for firstBytesWait: a command would have arrived
			}
			c.net.SetReadDeadline(time.Now().Add(grace))
		}
	}
	return c.fillWhileClosing()
}

// fillOverdue reads more bytes of a message that is overdue. What has arrived is read first, as the process may have
// stood still meanwhile. When nothing is left the connection has to be closed.
func (c *conn) fillOverdue() error {
	if !c.hasUnreadInput() {
		return errClosing
	}
	c.net.SetReadDeadline(time.Time{}) // the read will not wait
	_, err := c.readOnce(c.readBuffer.Space())
	c.setReadDeadline(c.inputDeadline)
	if errors.Is(err, os.ErrDeadlineExceeded) { // the connection was evicted just now
		return nil
	}
	return err
}

// readOnce reads n bytes into the given free space of the read buffer. It returns errClientGone for any error but a
// timeout.
func (c *conn) readOnce(space []byte) (n int, err error) {
	if left := c.readBuffer.SkipLeft(); left > len(space) && c.ahead.size == 0 && !c.acceptor.finalReads.Load() {
		n, err = c.skipSocket(left)
		c.readBuffer.Skipped(n)
	} else {
		n, err = c.readSocket(space)
		c.readBuffer.Filled(n)
	}
	switch {
	case n > 0:
		c.readAt = c.acceptor.clock.Now()
		c.lastActivity.Store(int64(c.readAt))
		c.evicting.Store(false)
		return n, nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		return 0, err
	}
	return 0, errClientGone
}

// maxFastDiscard is how many bytes after rejected input are discarded as fast as they arrive. Beyond that, discarding
// is slowed down.
const maxFastDiscard = 1 << 20

// discardInput reads once and discards what it has read, in a turn of its own.
func (c *conn) discardInput() (n int, err error) {
	n, err = c.readSocket(c.readBuffer.Space())
	if err == nil {
		c.acceptor.turns.await(c.flow)
		c.acceptor.turns.end(c.flow)
	}
	return n, err
}

// awaitReplies waits until all pending replies are written and then returns the reason. It returns errClientGone if the
// client disconnects earlier: its open ops must then not be sent to a server again. Input after rejected input is
// discarded, so that the end of the stream becomes visible. Other input stays unread, which tells the client that it was
// not processed, and the kernel is asked whether the client has closed the connection.
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
		n, err := c.discardInput()
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return errClientGone
		}
		if fastLeft -= n; fastLeft < 0 {
			time.Sleep(time.Millisecond)
		}
	}
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

// handleQuery processes one command. It returns errMoreInput if it has to be called again.
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
	statement, err := pgwire.ParseStatement(text)
	if err != nil {
		return c.rejectQuery("42601", "no usable comment")
	}
	opType, known := c.acceptor.opTypes[string(statement.OpType)]
	if !known {
		return c.rejectQuery("22023", "unknown op type")
	}
	switch err := c.confirmPresence(); err {
	case nil:
	case errNoMemory: // it is not known whether the client has left
		return c.rejectBusy()
	default:
		return err
	}
	owned, memory, ok := c.takeMemory(text)
	if !ok {
		return c.rejectBusy()
	}
	if statement, err = pgwire.ParseStatement(owned); err != nil {
		return err
	}
	if !c.acceptor.claimID(statement.ID) {
		memory.Release()
		return c.rejectQuery("42710", "an op of this id is open or may have run")
	}
	c.submit(statement, opType, memory)
	return nil
}

// submit submits the op of a statement. The op owns the statement and the memory reserved for it.
func (c *conn) submit(s *pgwire.Statement, opType uint8, memory membudget.Reservation) {
	c.sentCommand.Store(true)
	op := &exchange.Exchange{Statement: s, ClientID: string(s.ID), OpType: opType, Group: s.Group, Session: sessionHash(s.Key), IsRetry: s.Retry,
		Deadline: c.readAt + min(s.Remaining, c.acceptor.settings.OpTypes[opType].Timeout),
		Target:   c.acceptor.settings.OpTypes[opType].Target, MinPosition: choice.LongPast, Memory: memory,
		ClientClosed: c.clientClosed, Done: make(chan struct{})}
	if position, ok := c.acceptor.clock.FromUnix(s.After); ok {
		op.MinPosition = position
	}
	c.openOps = slices.DeleteFunc(c.openOps, (*exchange.Exchange).IsDone)
	op.OpenBefore = len(c.openOps)
	if c.flow.Backlogged { // it waited for another command, even if that is answered by now
		op.OpenBefore = max(op.OpenBefore, 1)
	}
	c.openOps = append(c.openOps, op)
	c.acceptor.dispatcher.Submit(op)
	c.enqueue(reply{op: op, answersCommand: true})
}

// rejectBusy replies to a command for which there is no memory. The connection stays open.
func (c *conn) rejectBusy() error {
	c.acceptor.counts.CommandsSkipped.Add(1)
	c.logEvent("command_refused", slog.String("code", "53300"), slog.String("reason", "no memory"))
	c.enqueueCommandReply(pgwire.AppendReady(pgwire.AppendError(nil, "ERROR", "53300", errNoMemory.Error(), "")))
	return nil
}

// rejectQuery replies to a well-formed command that is not a valid op. The connection stays open.
func (c *conn) rejectQuery(code, message string) error {
	c.acceptor.counts.Unusable.Add(1)
	c.logEvent("command_refused", slog.String("code", code), slog.String("reason", message))
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
