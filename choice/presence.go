package choice

import "time"

// Presence is what is known of the client of an op.
type Presence struct {
	// Left tells that the client has closed its connection.
	Left bool

	// AsOf is the newest time at which the client is known not to have left, or LongPast.
	AsOf time.Duration
}

const (
	// presenceLifetime is how old the knowledge may be that a client has not left when a send for it begins. Rule 1 allows
	// 0.1 s after its leaving; the rest is for the end of its stream to arrive and for the send to begin.
	presenceLifetime = 60 * time.Millisecond

	// throttlingInput is how many bytes may wait unread, at most, without slowing down the client that sent them. The
	// smallest usual receive window is twice that.
	throttlingInput = 32 << 10

	// throttlingEnd is how long a client's machine may take to send what it has held back, once there is room for it.
	throttlingEnd = 10 * time.Millisecond

	// drainPatience is how long all that a client has sent may take to be read before its commands are refused.
	drainPatience = 100 * time.Millisecond
)

// AllowsSend reports whether a send for the client may begin.
func (p Presence) AllowsSend(now time.Duration) bool {
	return !p.Left && now-p.AsOf <= presenceLifetime
}

// PresenceTracker follows the input of one client and tells when the client was last known not to have left. The end of a
// client's stream arrives behind all that the client has sent. So it is known to have stayed when all that has arrived
// was read, unless its machine may hold back more: while much input waits unread, the receiver lets it send no further.
//
// Like a Gateway, it has no I/O, clock or goroutine of its own.
type PresenceTracker struct {
	knownAt       time.Duration // when the client was last known not to have left
	drainedAt     time.Duration // when no input was last waiting, or LongPast
	throttledAt   time.Duration // when its machine may last have held back input
	unreadSince   time.Duration // when input was first found to wait unread, or never
	presenceAsked bool          // a send needs newer knowledge than there is
}

// NewPresenceTracker returns the tracker of a new connection, of whose client nothing is known.
func NewPresenceTracker() PresenceTracker {
	return PresenceTracker{knownAt: LongPast, drainedAt: LongPast, throttledAt: LongPast, unreadSince: never}
}

// ConnectionBegan handles that the connection did not exist before a time.
func (t *PresenceTracker) ConnectionBegan(at time.Duration) { t.drainedAt = at }

// InputRead handles that n bytes of waiting input were read.
func (t *PresenceTracker) InputRead(now time.Duration, n int) {
	if n >= throttlingInput {
		t.throttledAt = now
	}
	t.unreadSince = min(t.unreadSince, now)
}

// InputDrained handles that no input waits unread, and that the client's stream has not ended.
func (t *PresenceTracker) InputDrained(now time.Duration) {
	t.unreadSince, t.drainedAt = never, now
	if now-t.throttledAt < throttlingEnd {
		return
	}
	t.knownAt = now
	t.presenceAsked = false
}

// DrainedAt returns when no input was last waiting, or LongPast.
func (t *PresenceTracker) DrainedAt() time.Duration { return t.drainedAt }

// Ask returns what is known of the client, for a send that may begin now. If that is too old for the send, input has to
// be read on.
func (t *PresenceTracker) Ask(now time.Duration) Presence {
	p := Presence{AsOf: t.knownAt}
	t.presenceAsked = !p.AllowsSend(now)
	return p
}

// MustDrain reports whether a send needs input to be read even if there is no memory for it.
func (t *PresenceTracker) MustDrain() bool { return t.presenceAsked }

// DrainTooSlow reports whether input has been waiting for so long that the client's commands are refused.
func (t *PresenceTracker) DrainTooSlow(now time.Duration) bool {
	return t.unreadSince != never && now-t.unreadSince > drainPatience
}

// PresenceHost is a Host whose clients may leave unseen, behind input that has not been read.
type PresenceHost interface {
	Host
	// Presence returns what is known of the client of an op. If that does not allow a send, the host calls
	// Gateway.ClientPresent as soon as it does.
	Presence(op uint32) Presence
}

// ClientPresent handles that the client of an op is known to be there, after its Presence did not allow a send.
func (g *Gateway) ClientPresent(now time.Duration, id uint32) {
	g.detectStall(now)
	if o := g.ops[id]; o != nil && !o.done && o.clientUnknown {
		o.clientUnknown, o.clientSeenAt = false, now
		g.place(now, o)
	}
}

// clientAllowsSend reports whether it is known that the client of an op is there. If not, the op waits until it is. Ops
// come in while that is known, so those that are sent at once need not ask.
func (g *Gateway) clientAllowsSend(now time.Duration, o *op) bool {
	host, ok := g.host.(PresenceHost)
	if !ok || now-o.clientSeenAt <= presenceLifetime {
		return true
	}
	presence := host.Presence(o.id)
	if o.clientUnknown = !presence.AllowsSend(now); o.clientUnknown {
		return false
	}
	o.clientSeenAt = presence.AsOf
	return true
}

// begunSends returns the number of sends of an op, without those for which its client was not known to be there.
func (o *op) begunSends() int { return o.sends - o.unbegunSends }

// waitsForServer reports whether a held op waits for a server, and not for its client.
func (o *op) waitsForServer() bool { return !o.clientUnknown }

// sendEndedUnbegun handles the result ClientUnknown: the op waits, held, until its client is known to be there.
func (o *op) sendEndedUnbegun() {
	o.clientUnknown = true
	o.unbegunSends++
}
