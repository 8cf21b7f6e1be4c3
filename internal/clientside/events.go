package clientside

import (
	"log/slog"

	"gorsewell/internal/exchange"
)

// logEvent logs an event of the connection, at a limited rate.
func (c *conn) logEvent(event string, attributes ...slog.Attr) {
	c.acceptor.events.Info(event, append(attributes, slog.String("client", c.net.RemoteAddr().String()))...)
}

// logClose logs why a connection is closed, unless its client has left without an open op.
func (c *conn) logClose(reason error) {
	openOps := 0
	for _, op := range c.openOps {
		if !op.IsDone() || op.Outcome == exchange.ClientLeft {
			openOps++
		}
	}
	if reason == errClientGone && openOps == 0 {
		return
	}
	c.logEvent("client_closed", slog.String("reason", c.closeReason(reason)), slog.Int("open_ops", openOps))
}

// closeReason returns why a connection is closed, for the log.
func (c *conn) closeReason(reason error) string {
	switch {
	case reason == errClientGone:
		return "client left"
	case reason == errRejected:
		return "malformed input or a cancel request"
	case c.acceptor.stopping.Load():
		return "stopping"
	case c.surplus.Load():
		return "no room"
	case c.inputOverdue():
		return "incomplete command"
	}
	return "idle"
}
