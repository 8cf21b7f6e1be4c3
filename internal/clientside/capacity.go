package clientside

import (
	"cmp"
	"slices"
	"time"

	"golang.org/x/sys/unix"

	"gorsewell/internal/exchange"
)

// awaitAcceptCapacity waits briefly for connections that are closing, and returns false if none closes in time.
// Meanwhile other connections wait in the listener's queue while their clients' time runs. So if that queue has not
// been empty for maxBacklogAge, it does not wait, unless most connections are of clients that have sent no command:
// those close within moments.
func (a *Acceptor) awaitAcceptCapacity(b *backlog) bool {
	for i := 0; a.counts.ClientOpen.Load() > a.maxConns+overflowConns; i++ {
		if i >= overflowConns || b.age() >= maxBacklogAge && !a.mostlySilent() {
			return false
		}
		a.ensureCapacity(nil)
		select {
		case <-a.connClosed:
		case <-time.After(firstBytesWait):
		}
	}
	return true
}

// mostlySilent reports whether more than half of the open connections have sent no valid command.
func (a *Acceptor) mostlySilent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	silent := 0
	for c := range a.conns {
		if !c.sentCommand.Load() {
			silent++
		}
	}
	return 2*silent > len(a.conns)
}

// backlog observes the listener's queue of connections that have not been accepted.
type backlog struct {
	listener Listener
	clock    exchange.Clock

	// lastEmpty is when the queue was last seen empty.
	lastEmpty time.Duration

	// waiting tells whether there were connections in it.
	waiting bool

	// flow is that of accepting connections.
	flow *flow
}

// age returns an upper limit of the time for which the queue has not been empty.
func (b *backlog) age() time.Duration {
	now := b.clock.Now()
	b.waiting = true
	if rawConn, err := b.listener.SyscallConn(); err == nil {
		rawConn.Control(func(fd uintptr) { b.waiting = poll(fd, unix.POLLIN) })
	}
	if !b.waiting {
		b.lastEmpty = now
	}
	return now - b.lastEmpty
}

// ensureCapacity reports whether at most maxConns connections stay open once those being evicted are closed. If not, it
// evicts the connections that have been quiet for longest, among those without pending replies that have been idle for
// idleTimeout or have sent no command for firstBytesWait. So clients that keep an unused connection, or connect and
// send nothing, do not keep out those that send commands. The connection requester, which may be nil, is not evicted.
func (a *Acceptor) ensureCapacity(requester *conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now, remaining := a.clock.Now(), int64(0)
	var evictable []*conn
	for c := range a.conns {
		if c.evicting.Load() {
			continue
		}
		remaining++
		idle := now - time.Duration(c.lastActivity.Load())
		if c != requester && c.pendingReplies.Load() == 0 &&
			(idle >= idleTimeout || idle >= firstBytesWait && !c.sentCommand.Load()) {
			evictable = append(evictable, c)
		}
	}
	if remaining <= a.maxConns {
		return true
	}
	sortByActivity(evictable)
	for _, c := range evictable[:min(int64(len(evictable)), remaining-a.maxConns)] {
		remaining--
		a.evict(c)
	}
	return remaining <= a.maxConns
}

// sortByActivity sorts connections by the time of their last activity, the earliest first.
func sortByActivity(conns []*conn) {
	slices.SortFunc(conns, func(first, second *conn) int {
		return cmp.Compare(first.lastActivity.Load(), second.lastActivity.Load())
	})
}

// evict makes a connection close unless a command arrives at that moment. The caller holds the mutex.
func (a *Acceptor) evict(c *conn) {
	a.counts.ClientIdleClosed.Add(1)
	c.evicting.Store(true)
	c.net.SetReadDeadline(exchange.Past)
}

// awaitSessionCapacity waits briefly until there is capacity for the connection's session: connections that were
// accepted just before may turn out to be evictable.
func (a *Acceptor) awaitSessionCapacity(c *conn) bool {
	for range 3 {
		if a.ensureCapacity(c) {
			return true
		}
		time.Sleep(firstBytesWait)
	}
	return a.ensureCapacity(c)
}
