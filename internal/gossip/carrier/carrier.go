// Package carrier carries gossip: datagrams and streams on sockets, keys, and what passes between the gossip and the gateway
// beside it. It decides nothing. One goroutine owns the node; whatever else happens is handed to it.
package carrier

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"gorsewell/choice"
	"gorsewell/internal/config"
	"gorsewell/internal/exchange"
	"gorsewell/internal/gossip"
	"gorsewell/internal/gossip/keys"
	"gorsewell/internal/gossip/wire"
)

// Desk is the gateway's side.
type Desk interface {
	Rumour(server uint32, weight float64)
}

// Carrier is one instance's gossip.
type Carrier struct {
	set   config.Gossip
	name  string
	clock exchange.Clock
	desk  Desk
	ids   func(server uint32) string // of servers in the list

	udp      *net.UDPConn
	tcp      *net.TCPListener
	node     *gossip.Node // owned by Run
	run      uint64
	events   chan func()
	ended    chan struct{} // closed when the owner has ended
	poked    chan struct{}
	wake     *time.Timer
	inbound  chan struct{} // as many as streams may be open
	outbound chan struct{}
	tasks    *errgroup.Group

	bookMu sync.Mutex
	book   *wire.Book

	mu       sync.Mutex // guards what comes from the gateway
	hashes   map[uint32]uint64
	servers  map[uint64]uint32
	troubles map[uint32]choice.Trouble
	acks     map[uint32]time.Duration
	known    int

	rumoured atomic.Pointer[map[uint32]struct{}] // servers of which others say something: whose acks matter

	counts    Counts
	logged    int
	loggedAt  time.Duration
	untold    int
	certUntil time.Time
}

// Counts is what the carrier counts by itself: what was dropped, by cause, before it reached the node.
type Counts struct {
	Form, Version, Cluster, Stranger, Tag, Signature, Expired, Authority atomic.Int64
	Budget, Queue, Oversized                                             atomic.Int64
	Datagrams, Streams, StreamsFailed, Unsent                            atomic.Int64
}

const (
	queue        = 256
	outStreams   = 2
	linesAMinute = 30
	reseedEvery  = 30 * time.Second
)

// New opens the sockets. Run does the work, and closes them.
func New(set config.Gossip, name string, ring *keys.Keyring, clock exchange.Clock, desk Desk, ids func(uint32) string) (*Carrier, error) {
	if ring.Certificate.Name != name {
		return nil, fmt.Errorf("the certificate is of %q, this instance is %q", ring.Certificate.Name, name)
	}
	addr, err := net.ResolveUDPAddr("udp", set.Listen)
	if err != nil {
		return nil, err
	}
	udp, tcp, err := listen(addr)
	if err != nil {
		return nil, err
	}
	own := udp.LocalAddr().(*net.UDPAddr).AddrPort()
	own = netip.AddrPortFrom(own.Addr().Unmap(), own.Port())
	if set.Advertise != "" {
		a, err := net.ResolveUDPAddr("udp", set.Advertise)
		if err != nil {
			return nil, errors.Join(err, udp.Close(), tcp.Close())
		}
		own = netip.AddrPortFrom(a.AddrPort().Addr().Unmap(), a.AddrPort().Port())
	}
	c := &Carrier{set: set, name: name, clock: clock, desk: desk, ids: ids, udp: udp, tcp: tcp, events: make(chan func(), queue),
		ended: make(chan struct{}), poked: make(chan struct{}, 1), wake: time.NewTimer(time.Hour), inbound: make(chan struct{}, set.Limits.Streams), outbound: make(chan struct{}, outStreams),
		hashes: map[uint32]uint64{}, servers: map[uint64]uint32{}, troubles: map[uint32]choice.Trouble{}, acks: map[uint32]time.Duration{}}
	c.rumoured.Store(&map[uint32]struct{}{})
	run := rand.Uint64()
	c.run = run
	c.book = wire.NewBook(ring, set.Cluster, run, set.Limits.Members, time.Now)
	c.certUntil = time.Unix(ring.Certificate.NotAfter, 0)
	l := &set.Limits
	c.node = gossip.New(c, gossip.Setup{Name: name, Key: ring.Certificate.Key(), Run: run, Seed: rand.Uint64(), Addr: own,
		Learn: own.Addr().IsUnspecified(), ProbeEvery: set.ProbeEvery, ProbeTimeout: set.ProbeTimeout, SuspectFor: set.SuspectFor,
		TellEvery: set.TellEvery, SyncEvery: set.SyncEvery, RumourLife: set.RumourLife, Members: l.Members, Rumours: l.Rumours,
		RumoursPerObserver: l.RumoursPerObserver, ObserversPerServer: l.ObserversPerServer, Datagram: int(l.Datagram),
		DatagramsPerTell: l.DatagramsPerTell, BytesPerSecond: int(l.BytesPerSecond), Seeds: c.resolve(context.Background(), true)})
	return c, nil
}

// listen opens one port for datagrams and streams. Where any port will do, one is looked for that is free for both.
func listen(addr *net.UDPAddr) (udp *net.UDPConn, tcp *net.TCPListener, err error) {
	for range 20 {
		if udp, err = net.ListenUDP("udp", addr); err != nil {
			return nil, nil, err
		}
		port := udp.LocalAddr().(*net.UDPAddr).Port
		if tcp, err = net.ListenTCP("tcp", &net.TCPAddr{IP: addr.IP, Port: port, Zone: addr.Zone}); err == nil {
			return udp, tcp, nil
		}
		udp.Close()
		if addr.Port != 0 {
			break
		}
	}
	return nil, nil, err
}

// Addr is where the carrier listens.
func (c *Carrier) Addr() netip.AddrPort { return c.udp.LocalAddr().(*net.UDPAddr).AddrPort() }

// resolve finds where the seeds are. Names are looked up only if that may take its time.
func (c *Carrier) resolve(ctx context.Context, atOnce bool) (seeds []netip.AddrPort) {
	for _, s := range c.set.Seeds {
		if a, err := netip.ParseAddrPort(s); err == nil {
			seeds = append(seeds, a)
			continue
		}
		if atOnce {
			continue
		}
		host, port, _ := net.SplitHostPort(s)
		number, err := net.DefaultResolver.LookupPort(ctx, "udp", port)
		if err != nil {
			continue
		}
		all, err := net.DefaultResolver.LookupNetIP(ctx, "ip", host)
		if err != nil {
			c.log(slog.LevelWarn, "seed_unknown", s)
			continue
		}
		for _, a := range all {
			seeds = append(seeds, netip.AddrPortFrom(a.Unmap(), uint16(number)))
		}
	}
	return seeds
}

// Run gossips until the context ends, and then says that it leaves.
func (c *Carrier) Run(ctx context.Context) error {
	group, inner := errgroup.WithContext(ctx)
	c.tasks = group
	stop := context.AfterFunc(inner, func() {
		c.tcp.Close()
		c.udp.SetReadDeadline(exchange.Past)
	})
	defer stop()
	group.Go(func() error { return c.receive(inner) })
	group.Go(func() error { return c.accept(inner) })
	if c.hasNames() {
		group.Go(func() error { return c.reseed(inner) })
	}
	c.own(inner)
	c.node.Leave(c.clock.Now())
	close(c.ended)
	c.tcp.Close()
	c.udp.SetReadDeadline(exchange.Past)
	err := group.Wait()
	c.udp.Close()
	return err
}

func (c *Carrier) hasNames() bool {
	return len(c.resolve(context.Background(), true)) < len(c.set.Seeds)
}

// reseed looks seeds up by name, now and again: they may move.
func (c *Carrier) reseed(ctx context.Context) error {
	for {
		limited, cancel := context.WithTimeout(ctx, 5*time.Second)
		seeds := c.resolve(limited, false)
		cancel()
		if len(seeds) > 0 {
			c.do(func() { c.node.Reseed(c.clock.Now(), seeds) })
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(reseedEvery):
		}
	}
}

// own is the goroutine that the node belongs to.
func (c *Carrier) own(ctx context.Context) {
	c.node.Start(c.clock.Now())
	minute := time.NewTicker(time.Minute)
	defer minute.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-c.events:
			f()
		case <-c.wake.C:
			c.node.Timer(c.clock.Now())
		case <-c.poked:
			c.heed()
		case <-minute.C:
			c.ages()
		}
	}
}

// do hands something to the owner; false if that has too much to do.
func (c *Carrier) do(f func()) bool {
	select {
	case c.events <- f:
		return true
	default:
		c.counts.Queue.Add(1)
		return false
	}
}

// ages ends what certificates no longer bear.
func (c *Carrier) ages() {
	c.bookMu.Lock()
	ended := c.book.Expired()
	c.bookMu.Unlock()
	for _, id := range ended {
		c.node.Expelled(c.clock.Now(), id)
	}
	if left := time.Until(c.certUntil); left < 0 {
		slog.Error("gossip", "what", "certificate_expired", "name", c.name)
	} else if left < 24*time.Hour {
		slog.Warn("gossip", "what", "certificate_expires", "name", c.name, "in", left.Round(time.Minute))
	}
}

// Rekey goes on with another keyring: a certificate of the same name, other authorities, or both.
func (c *Carrier) Rekey(ring *keys.Keyring) error {
	if ring.Certificate.Name != c.name {
		return fmt.Errorf("the certificate is of %q, this instance is %q", ring.Certificate.Name, c.name)
	}
	done := make(chan struct{})
	if !c.do(func() {
		defer close(done)
		c.bookMu.Lock()
		ended := c.book.Rekey(ring)
		c.bookMu.Unlock()
		c.certUntil = time.Unix(ring.Certificate.NotAfter, 0)
		now := c.clock.Now()
		c.node.Rekey(now, ring.Certificate.Key())
		for _, id := range ended {
			c.node.Expelled(now, id)
		}
	}) {
		return errors.New("too busy to change keys")
	}
	select {
	case <-done:
	case <-c.ended:
	}
	return nil
}

// Datagram implements gossip.Host, as do Exchange, Wake, Rumoured and Log.
func (c *Carrier) Datagram(to netip.AddrPort, key gossip.KeyID, m *gossip.Message) {
	c.bookMu.Lock()
	d, err := c.book.Datagram(key, m)
	c.bookMu.Unlock()
	if err == nil {
		_, err = c.udp.WriteToUDPAddrPort(d, to)
	}
	if err != nil {
		c.counts.Unsent.Add(1)
	}
}

// Wake sets the one timer.
func (c *Carrier) Wake(at time.Duration) { c.wake.Reset(max(0, at-c.clock.Now())) }

// Rumoured tells the gateway, if the server is one that its list names.
func (c *Carrier) Rumoured(server uint64, weight float64) {
	c.mu.Lock()
	id, ok := c.servers[server]
	c.mu.Unlock()
	if ok {
		c.rumour(id, weight)
	}
}

func (c *Carrier) rumour(id uint32, weight float64) {
	old := *c.rumoured.Load()
	if _, had := old[id]; had != (weight > 0) {
		next := make(map[uint32]struct{}, len(old)+1)
		for s := range old {
			next[s] = struct{}{}
		}
		if weight > 0 {
			next[id] = struct{}{}
		} else {
			delete(next, id)
		}
		c.rumoured.Store(&next)
	}
	c.desk.Rumour(id, weight)
}

// Log writes what an operator wants to know, as long as it is not too much of it.
func (c *Carrier) Log(event, name string) { c.log(slog.LevelInfo, event, name) }

func (c *Carrier) log(level slog.Level, event, name string) {
	c.mu.Lock()
	now := c.clock.Now()
	if now-c.loggedAt > time.Minute {
		if c.untold > 0 {
			slog.Info("gossip", "what", "more_lines_untold", "count", c.untold)
		}
		c.logged, c.loggedAt, c.untold = 0, now, 0
	}
	c.logged++
	tell := c.logged <= linesAMinute
	if !tell {
		c.untold++
	}
	c.mu.Unlock()
	if tell {
		slog.Log(context.Background(), level, "gossip", "what", event, "name", name)
	}
}

// Trouble implements dispatch.Sharing, as do Acked, Forget and Listed. They are called with the gateway's lock held.
func (c *Carrier) Trouble(server uint32, t choice.Trouble) {
	c.mu.Lock()
	c.troubles[server] = t // the newest word counts
	c.mu.Unlock()
	c.poke()
}

// Acked matters only for servers of which others say that they are in trouble.
func (c *Carrier) Acked(server uint32, sentAt time.Duration) {
	if _, ok := (*c.rumoured.Load())[server]; !ok {
		return
	}
	c.mu.Lock()
	c.acks[server] = max(c.acks[server], sentAt)
	c.mu.Unlock()
	c.poke()
}

// Forget drops a server that has gone, and with it the gateway's own trouble with it.
func (c *Carrier) Forget(server uint32) {
	c.mu.Lock()
	hash, ok := c.hashes[server]
	delete(c.hashes, server)
	delete(c.servers, hash)
	delete(c.troubles, server)
	delete(c.acks, server)
	c.known = len(c.hashes)
	c.mu.Unlock()
	if ok {
		c.do(func() {
			now := c.clock.Now()
			c.node.Recovered(now, hash)
			c.node.Servers(now, c.count())
		})
	}
}

func (c *Carrier) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.known
}

// Listed takes servers that the list names. What is said of one that is new here is told to the gateway then.
func (c *Carrier) Listed(addrs map[uint32]string) {
	c.mu.Lock()
	var fresh []uint32
	for id := range addrs {
		if _, ok := c.hashes[id]; !ok {
			hash := xxhash.Sum64String(c.ids(id))
			c.hashes[id], c.servers[hash] = hash, id
			fresh = append(fresh, id)
		}
	}
	c.known = len(c.hashes)
	c.mu.Unlock()
	if len(fresh) == 0 {
		return
	}
	c.do(func() {
		now := c.clock.Now()
		c.node.Servers(now, c.count())
		for _, id := range fresh {
			c.mu.Lock()
			hash, ok := c.hashes[id]
			c.mu.Unlock()
			if w := c.node.Weight(now, hash); ok && w > 0 {
				c.rumour(id, w)
			}
		}
	})
}

func (c *Carrier) poke() {
	select {
	case c.poked <- struct{}{}:
	default:
	}
}

// heed hands the gateway's own evidence to the node.
func (c *Carrier) heed() {
	c.mu.Lock()
	troubles, acks := c.troubles, c.acks
	c.troubles, c.acks = map[uint32]choice.Trouble{}, map[uint32]time.Duration{}
	hashes := make(map[uint32]uint64, len(troubles)+len(acks))
	for id := range troubles {
		if h, ok := c.hashes[id]; ok {
			hashes[id] = h
		}
	}
	for id := range acks {
		if h, ok := c.hashes[id]; ok {
			hashes[id] = h
		}
	}
	c.mu.Unlock()
	now := c.clock.Now()
	for id, sentAt := range acks {
		if h, ok := hashes[id]; ok {
			c.node.Acked(now, h, sentAt)
		}
	}
	for id, t := range troubles {
		h, ok := hashes[id]
		switch {
		case !ok:
		case t == choice.NoTrouble:
			c.node.Recovered(now, h)
		default:
			s := gossip.Symptom(t)
			c.node.Symptom(now, h, s, s.Strength())
		}
	}
}

// Peers lists the members as the node holds them now; nothing if it is too busy to say.
func (c *Carrier) Peers() []gossip.Peer {
	peers, _ := ask(c, c.node.Peers)
	return peers
}

// RunNumber is drawn at the start of this instance; all that it signs bears it.
func (c *Carrier) RunNumber() uint64 { return c.run }

// Attrs gives the counters for a log line: how members stand, what the node has counted, what was dropped before it.
func (c *Carrier) Attrs() (all []slog.Attr) {
	select {
	case <-c.ended:
		return c.attrs() // nobody else looks at the node any more
	default:
	}
	got := make(chan []slog.Attr, 1)
	if c.do(func() { got <- c.attrs() }) {
		select {
		case all = <-got:
		case <-c.ended:
		}
	}
	return all
}
