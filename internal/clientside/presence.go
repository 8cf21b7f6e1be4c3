package clientside

import (
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"gorsewell/choice"
)

// presence is what is known of the client of a connection. The reader tells the tracker of its reads; goroutines that send
// ops ask it.
type presence struct {
	// mu guards the tracker. It is held during reads, so that nobody finds the socket empty before the tracker has heard
	// of the read that emptied it.
	mu      sync.Mutex
	tracker choice.PresenceTracker
}

// mustDrain reports whether a send needs input to be read even if there is no memory for it.
func (p *presence) mustDrain() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.MustDrain()
}

// clientPresence returns what is known of the client, for a send that may begin now. If that is too old for the send, a
// paused reader goes on reading. It may be called from any goroutine.
func (c *conn) clientPresence() choice.Presence {
	known, drain := c.askPresence()
	if drain {
		c.resumeReading()
	}
	return known
}

// askPresence returns what is known of the client, and whether input has to be read to know more.
func (c *conn) askPresence() (known choice.Presence, drain bool) {
	c.presence.mu.Lock()
	defer c.presence.mu.Unlock()
	now := c.acceptor.clock.Now()
	switch unread, closed := c.pollInput(); {
	case closed:
		return choice.Presence{Left: true, AsOf: choice.LongPast}, false
	case !unread:
		c.presence.tracker.InputDrained(now)
	}
	return c.presence.tracker.Ask(now), c.presence.tracker.MustDrain()
}

// pollInput asks the kernel whether input waits unread, and whether the client is known to have closed its end.
func (c *conn) pollInput() (unread, closed bool) {
	fds := []unix.PollFd{{Events: unix.POLLIN | unix.POLLRDHUP}}
	err := c.raw.Control(func(fd uintptr) {
		fds[0].Fd = int32(fd)
		unix.Poll(fds, 0)
	})
	const ended = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR | unix.POLLNVAL
	return fds[0].Revents&unix.POLLIN != 0, err != nil || fds[0].Revents&ended != 0
}

// trackRead performs a read that does not wait, and tells the tracker of it. It returns when the input had arrived.
func (c *conn) trackRead(fd uintptr, read func() (int, error)) (n int, arrival choice.InputArrival, err error) {
	c.presence.mu.Lock()
	defer c.presence.mu.Unlock()
	start := c.acceptor.clock.Now()
	n, err = read()
	switch {
	case n > 0:
		now := c.acceptor.clock.Now()
		arrival = c.arrivalOfInput(fd, now)
		c.presence.tracker.InputRead(now, n)
	case err == syscall.EAGAIN:
		c.presence.tracker.InputDrained(start)
	}
	return n, arrival, err
}

// arrivalOfInput returns when the input had arrived that was just read. The kernel is asked for the time only after a
// stall of the process; if it does not tell, the earliest possible time is taken.
func (c *conn) arrivalOfInput(fd uintptr, now time.Duration) choice.InputArrival {
	origin := choice.InputOrigin{Stall: c.acceptor.clock.LatestStall(), DrainedAt: c.presence.tracker.DrainedAt(), NewestAt: now}
	if !origin.MayHaveWaited(now) {
		return origin.Arrival(now)
	}
	info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return origin.Arrival(now)
	}
	origin.NewestAt = now - time.Duration(info.Last_data_recv)*time.Millisecond
	origin.IsLast = !poll(fd, unix.POLLIN)
	return origin.Arrival(now)
}

// findInput returns how many bytes wait unread, and errClientGone if the client has closed its end.
func (c *conn) findInput() (unread int, err error) {
	c.presence.mu.Lock()
	defer c.presence.mu.Unlock()
	start := c.acceptor.clock.Now()
	if c.clientClosed() {
		return 0, errClientGone
	}
	if unread = unreadBytes(c.raw); unread == 0 {
		c.presence.tracker.InputDrained(start)
	}
	return unread, nil
}

// drainTooSlow reports whether input has been waiting unread for too long to take a command.
func (c *conn) drainTooSlow() bool {
	c.presence.mu.Lock()
	defer c.presence.mu.Unlock()
	return c.presence.tracker.DrainTooSlow(c.acceptor.clock.Now())
}
