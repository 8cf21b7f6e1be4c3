package choice

import (
	"testing"
	"time"
)

// watchingHost is a recordingHost that tells what is known of clients.
type watchingHost struct {
	*recordingHost
	presence Presence
	asked    int
}

func (h *watchingHost) Presence(uint32) Presence {
	h.asked++
	return h.presence
}

func TestPresenceAllowsSendOnlyWhileItIsFresh(t *testing.T) {
	const now = time.Second
	for _, c := range []struct {
		presence Presence
		want     bool
	}{
		{Presence{AsOf: now}, true},
		{Presence{AsOf: now - presenceLifetime}, true},
		{Presence{AsOf: now - presenceLifetime - 1}, false},
		{Presence{AsOf: LongPast}, false},
		{Presence{AsOf: now, Left: true}, false},
	} {
		if got := c.presence.AllowsSend(now); got != c.want {
			t.Errorf("%+v: got %v, want %v", c.presence, got, c.want)
		}
	}
}

// A client counts as present when its input is drained, but not while its machine may hold back more.
func TestPresenceIsKnownOnceInputIsDrained(t *testing.T) {
	tracker := NewPresenceTracker()
	step := func(what string, now time.Duration, wantKnown, wantDrain bool) {
		t.Helper()
		known := tracker.Ask(now).AllowsSend(now)
		if known != wantKnown || tracker.MustDrain() != wantDrain {
			t.Errorf("%s: got known %v and must drain %v, want %v and %v", what, known, tracker.MustDrain(), wantKnown, wantDrain)
		}
	}
	step("new connection", 0, false, true)
	tracker.InputRead(1*ms, 100)
	step("a short command was read", 1*ms, false, true)
	tracker.InputDrained(1 * ms)
	step("and nothing waits behind it", 1*ms, true, false)
	step("for some time", 1*ms+presenceLifetime, true, false)
	step("but not for longer", 2*ms+presenceLifetime, false, true)
	tracker.InputRead(500*ms, throttlingInput)
	tracker.InputDrained(501 * ms)
	step("its machine may hold back more", 501*ms, false, true)
	tracker.InputDrained(500*ms + throttlingEnd)
	step("nothing has followed", 500*ms+throttlingEnd, true, false)
}

func TestDrainIsTooSlowOnlyWhileInputWaits(t *testing.T) {
	tracker := NewPresenceTracker()
	if tracker.DrainTooSlow(time.Second) {
		t.Error("no input was read")
	}
	tracker.InputRead(time.Second, 100)
	if tracker.DrainTooSlow(time.Second+drainPatience) || !tracker.DrainTooSlow(time.Second+drainPatience+1) {
		t.Errorf("want the drain to be too slow after %v", drainPatience)
	}
	if tracker.InputDrained(2 * time.Second); tracker.DrainTooSlow(3 * time.Second) {
		t.Error("the input is drained")
	}
}

// An op that was held went to a server although nobody knew whether its client was still there.
func TestHeldOpIsSentOnlyOnceItsClientIsKnownToBeThere(t *testing.T) {
	g, recorded := newTestGateway(nil)
	host := &watchingHost{recordingHost: recorded}
	g.host = host
	submitOp(g, 100*ms, 1, freshRead) // comes in while its client is known to be there
	wantActions(t, recorded, "send 1 to 1")
	g.Answer(200*ms, 1, 0, 1, NoConnection, 0, false, RoleUnknown, LongPast)
	host.presence = Presence{AsOf: 100 * ms}
	for now := 200 * ms; now < 400*ms; now += 5 * ms {
		g.Timer(now, 0)
	}
	wantActions(t, recorded)
	if host.asked != 1 {
		t.Errorf("got the client asked for %d times, want once: the host tells when it is known", host.asked)
	}
	g.ClientPresent(400*ms, 1)
	wantActions(t, recorded, "send 1 to 1")
	host.presence = Presence{AsOf: 400 * ms, Left: true}
	g.Answer(500*ms, 1, 1, 1, NoConnection, 0, false, RoleUnknown, LongPast)
	for now := 500 * ms; now < 900*ms; now += 5 * ms {
		g.Timer(now, 0)
	}
	wantActions(t, recorded)
}

// A send that ends as ClientUnknown has not run, counts as no attempt and is no fault of its server.
func TestSendForUnknownClientWaitsForIt(t *testing.T) {
	g, h := newTestGateway(nil)
	submitOp(g, 100*ms, 1, writeNonRetryable)
	wantActions(t, h, "send 1 to 1")
	for n := range uint8(10) { // more often than an op may be sent
		now := 100*ms + time.Duration(n)*10*ms
		g.Answer(now, 1, n, 1, ClientUnknown, ms, false, RoleUnknown, LongPast)
		g.Timer(now, 0)
		wantActions(t, h)
		g.ClientPresent(now+5*ms, 1)
		wantActions(t, h, "send 1 to 1")
	}
	if s := g.servers[1]; s.backoff != 0 || len(h.troubles) > 0 {
		t.Errorf("got a backoff of %v and troubles %q, want none", s.backoff, h.troubles)
	}
	g.Answer(time.Second, 1, 10, 1, Acked, ms, true, Primary, LongPast)
	if len(g.ops) != 0 {
		t.Errorf("got %d ops left, want none", len(g.ops))
	}
}

// An op whose client stays unknown is given up in time, with a busy reply, as it cannot have run.
func TestOpOfUnknownClientIsGivenUpInTime(t *testing.T) {
	g, h := newTestGateway(nil)
	submitOp(g, 100*ms, 1, writeNonRetryable)
	g.Answer(110*ms, 1, 0, 1, ClientUnknown, ms, false, RoleUnknown, LongPast)
	h.actions = nil
	submitOp(g, 120*ms, 2, freshRead) // others are not kept waiting
	wantActions(t, h, "send 2 to 1")
	g.Answer(130*ms, 2, 0, 1, Acked, ms, true, Primary, LongPast)
	for now := 130 * ms; now < 2100*ms; now += 5 * ms {
		g.Timer(now, 0)
	}
	wantActions(t, h, "busy 1")
	g.ClientPresent(2200*ms, 1)
	wantActions(t, h)
}

// The sends of an op that do not begin are bounded.
func TestSendsForUnknownClientAreBounded(t *testing.T) {
	g, h := newTestGateway(nil)
	submitOp(g, 100*ms, 1, freshRead)
	for n := range maxUnbegunSends {
		g.Answer(100*ms, 1, uint8(n), 1, ClientUnknown, 0, false, RoleUnknown, LongPast)
		g.ClientPresent(100*ms, 1)
	}
	if last := h.actions[len(h.actions)-1]; last != "busy 1" || len(h.actions) != maxUnbegunSends+1 {
		t.Errorf("got %d actions, the last %q, want %d sends and a busy reply", len(h.actions), last, maxUnbegunSends)
	}
}
