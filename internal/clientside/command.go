package clientside

import (
	"bytes"
	"log/slog"
	"slices"
	"time"

	"gorsewell/choice"
	"gorsewell/internal/exchange"
	"gorsewell/internal/membudget"
	"gorsewell/internal/pgwire"
)

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
	switch err := c.confirmPresence(); {
	case err == errNoMemory, err == errMoreInput && c.ahead.discarding && c.drainTooSlow():
		return c.rejectBusy() // it is not known whether the client has left
	case err != nil:
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

// commandArrival returns when the command that was read last had arrived. Its last byte is the newest of all if none was
// read behind it.
func (c *conn) commandArrival() time.Duration {
	if len(c.readBuffer.Bytes()) == 0 {
		return c.arrival.Newest
	}
	return c.arrival.Earliest
}

// submit submits the op of a statement. The op owns the statement and the memory reserved for it.
func (c *conn) submit(s *pgwire.Statement, opType uint8, memory membudget.Reservation) {
	c.sentCommand.Store(true)
	settings := &c.acceptor.settings.OpTypes[opType]
	op := &exchange.Exchange{
		Statement:   s,
		ClientID:    string(s.ID),
		OpType:      opType,
		Group:       s.Group,
		Session:     sessionHash(s.Key),
		IsRetry:     s.Retry,
		Deadline:    c.commandArrival() + min(s.Remaining, settings.Timeout),
		Target:      settings.Target,
		MinPosition: choice.LongPast,
		Memory:      memory,
		Presence:    c.clientPresence,
		Done:        make(chan struct{}),
	}
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
	c.enqueueCommandReply(busyReply())
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
