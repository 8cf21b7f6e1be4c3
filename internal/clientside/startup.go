package clientside

import "gorsewell/internal/pgwire"

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
