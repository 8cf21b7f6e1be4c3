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
	settings config.Gossip
	name     string
	clock    exchange.Clock
	gateway  Desk
	serverID func(server uint32) string // of servers in the list

	udp           *net.UDPConn
	tcp           *net.TCPListener
	node          *gossip.Node // owned by Run
	runID         uint64
	events        chan func()
	stopped       chan struct{} // closed when the owner has ended
	evidence      chan struct{}
	timer         *time.Timer
	inboundSlots  chan struct{} // as many as streams may be open
	outboundSlots chan struct{}
	tasks         *errgroup.Group

	codecMu sync.Mutex
	codec   *wire.Book

	mu            sync.Mutex // guards what comes from the gateway
	hashByServer  map[uint32]uint64
	serverByHash  map[uint64]uint32
	troubles      map[uint32]choice.Trouble
	acks          map[uint32]time.Duration
	listedServers int

	rumouredServers atomic.Pointer[map[uint32]struct{}] // servers of which others say something: whose acks matter

	counts          Counts
	linesLogged     int
	logWindowStart  time.Duration
	linesSuppressed int
	certNotAfter    time.Time
}

// Counts is what the carrier counts by itself: what was dropped, by cause, before it reached the node.
type Counts struct {
	Form, Version, Cluster, Stranger, Tag, Signature, Expired, Authority atomic.Int64
	Budget, Queue, Oversized                                             atomic.Int64
	Datagrams, Streams, StreamsFailed, Unsent                            atomic.Int64
}

const (
	eventQueueSize       = 256
	maxOutboundStreams   = 2
	maxLogLinesPerMinute = 30
	seedLookupInterval   = 30 * time.Second
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
	c := &Carrier{settings: set, name: name, clock: clock, gateway: desk, serverID: ids, udp: udp, tcp: tcp, events: make(chan func(), eventQueueSize),
		stopped: make(chan struct{}), evidence: make(chan struct{}, 1), timer: time.NewTimer(time.Hour), inboundSlots: make(chan struct{}, set.Limits.Streams), outboundSlots: make(chan struct{}, maxOutboundStreams),
		hashByServer: map[uint32]uint64{}, serverByHash: map[uint64]uint32{}, troubles: map[uint32]choice.Trouble{}, acks: map[uint32]time.Duration{}}
	c.rumouredServers.Store(&map[uint32]struct{}{})
	run := rand.Uint64()
	c.runID = run
	c.codec = wire.NewBook(ring, set.Cluster, run, set.Limits.Members, time.Now)
	c.certNotAfter = time.Unix(ring.Certificate.NotAfter, 0)
	l := &set.Limits
	c.node = gossip.New(c, gossip.Setup{Name: name, Key: ring.Certificate.Key(), Run: run, Seed: rand.Uint64(), Addr: own,
		Learn: own.Addr().IsUnspecified(), ProbeEvery: set.ProbeEvery, ProbeTimeout: set.ProbeTimeout, SuspectFor: set.SuspectFor,
		TellEvery: set.TellEvery, SyncEvery: set.SyncEvery, RumourLife: set.RumourLife, Members: l.Members, Rumours: l.Rumours,
		RumoursPerObserver: l.RumoursPerObserver, ObserversPerServer: l.ObserversPerServer, Datagram: int(l.Datagram),
		DatagramsPerTell: l.DatagramsPerTell, BytesPerSecond: int(l.BytesPerSecond), Seeds: c.resolveSeeds(context.Background(), true)})
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

// resolveSeeds finds where the seeds are. Names are looked up only if that may take its time.
func (c *Carrier) resolveSeeds(ctx context.Context, atOnce bool) (seeds []netip.AddrPort) {
	for _, s := range c.settings.Seeds {
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
	group.Go(func() error { return c.receiveDatagrams(inner) })
	group.Go(func() error { return c.acceptStreams(inner) })
	if c.hasSeedNames() {
		group.Go(func() error { return c.refreshSeeds(inner) })
	}
	c.runNode(inner)
	c.node.Leave(c.clock.Now())
	close(c.stopped)
	c.tcp.Close()
	c.udp.SetReadDeadline(exchange.Past)
	err := group.Wait()
	c.udp.Close()
	return err
}

func (c *Carrier) hasSeedNames() bool {
	return len(c.resolveSeeds(context.Background(), true)) < len(c.settings.Seeds)
}

// refreshSeeds looks seeds up by name, now and again: they may move.
func (c *Carrier) refreshSeeds(ctx context.Context) error {
	for {
		limited, cancel := context.WithTimeout(ctx, 5*time.Second)
		seeds := c.resolveSeeds(limited, false)
		cancel()
		if len(seeds) > 0 {
			c.enqueue(func() { c.node.Reseed(c.clock.Now(), seeds) })
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(seedLookupInterval):
		}
	}
}

// runNode is the goroutine that the node belongs to.
func (c *Carrier) runNode(ctx context.Context) {
	c.node.Start(c.clock.Now())
	minute := time.NewTicker(time.Minute)
	defer minute.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-c.events:
			f()
		case <-c.timer.C:
			c.node.Timer(c.clock.Now())
		case <-c.evidence:
			c.deliverEvidence()
		case <-minute.C:
			c.checkExpiry()
		}
	}
}

// enqueue hands something to the owner; false if that has too much to enqueue.
func (c *Carrier) enqueue(f func()) bool {
	select {
	case c.events <- f:
		return true
	default:
		c.counts.Queue.Add(1)
		return false
	}
}

// checkExpiry ends what certificates no longer bear.
func (c *Carrier) checkExpiry() {
	c.codecMu.Lock()
	ended := c.codec.Expired()
	c.codecMu.Unlock()
	for _, id := range ended {
		c.node.Expelled(c.clock.Now(), id)
	}
	if left := time.Until(c.certNotAfter); left < 0 {
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
	if !c.enqueue(func() {
		defer close(done)
		c.codecMu.Lock()
		ended := c.codec.Rekey(ring)
		c.codecMu.Unlock()
		c.certNotAfter = time.Unix(ring.Certificate.NotAfter, 0)
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
	case <-c.stopped:
	}
	return nil
}

// Datagram implements gossip.Host, as do Exchange, Wake, Rumoured and Log.
func (c *Carrier) Datagram(to netip.AddrPort, key gossip.KeyID, m *gossip.Message) {
	c.codecMu.Lock()
	d, err := c.codec.Datagram(key, m)
	c.codecMu.Unlock()
	if err == nil {
		_, err = c.udp.WriteToUDPAddrPort(d, to)
	}
	if err != nil {
		c.counts.Unsent.Add(1)
	}
}

// Wake sets the one timer.
func (c *Carrier) Wake(at time.Duration) { c.timer.Reset(max(0, at-c.clock.Now())) }

// Rumoured tells the gateway, if the server is one that its list names.
func (c *Carrier) Rumoured(server uint64, weight float64) {
	c.mu.Lock()
	id, ok := c.serverByHash[server]
	c.mu.Unlock()
	if ok {
		c.reportRumour(id, weight)
	}
}

func (c *Carrier) reportRumour(id uint32, weight float64) {
	old := *c.rumouredServers.Load()
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
		c.rumouredServers.Store(&next)
	}
	c.gateway.Rumour(id, weight)
}

// Log writes what an operator wants to know, as long as it is not too much of it.
func (c *Carrier) Log(event, name string) { c.log(slog.LevelInfo, event, name) }

func (c *Carrier) log(level slog.Level, event, name string) {
	c.mu.Lock()
	now := c.clock.Now()
	if now-c.logWindowStart > time.Minute {
		if c.linesSuppressed > 0 {
			slog.Info("gossip", "what", "more_lines_untold", "count", c.linesSuppressed)
		}
		c.linesLogged, c.logWindowStart, c.linesSuppressed = 0, now, 0
	}
	c.linesLogged++
	tell := c.linesLogged <= maxLogLinesPerMinute
	if !tell {
		c.linesSuppressed++
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
	c.signalEvidence()
}

// Acked matters only for servers of which others say that they are in trouble.
func (c *Carrier) Acked(server uint32, sentAt time.Duration) {
	if _, ok := (*c.rumouredServers.Load())[server]; !ok {
		return
	}
	c.mu.Lock()
	c.acks[server] = max(c.acks[server], sentAt)
	c.mu.Unlock()
	c.signalEvidence()
}

// Forget drops a server that has gone, and with it the gateway's own trouble with it.
func (c *Carrier) Forget(server uint32) {
	c.mu.Lock()
	hash, ok := c.hashByServer[server]
	delete(c.hashByServer, server)
	delete(c.serverByHash, hash)
	delete(c.troubles, server)
	delete(c.acks, server)
	c.listedServers = len(c.hashByServer)
	c.mu.Unlock()
	if ok {
		c.enqueue(func() {
			now := c.clock.Now()
			c.node.Recovered(now, hash)
			c.node.Servers(now, c.listedServerCount())
		})
	}
}

func (c *Carrier) listedServerCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.listedServers
}

// Listed takes servers that the list names. What is said of one that is new here is told to the gateway then.
func (c *Carrier) Listed(addrs map[uint32]string) {
	c.mu.Lock()
	var fresh []uint32
	for id := range addrs {
		if _, ok := c.hashByServer[id]; !ok {
			hash := xxhash.Sum64String(c.serverID(id))
			c.hashByServer[id], c.serverByHash[hash] = hash, id
			fresh = append(fresh, id)
		}
	}
	c.listedServers = len(c.hashByServer)
	c.mu.Unlock()
	if len(fresh) == 0 {
		return
	}
	c.enqueue(func() {
		now := c.clock.Now()
		c.node.Servers(now, c.listedServerCount())
		for _, id := range fresh {
			c.mu.Lock()
			hash, ok := c.hashByServer[id]
			c.mu.Unlock()
			if w := c.node.Weight(now, hash); ok && w > 0 {
				c.reportRumour(id, w)
			}
		}
	})
}

func (c *Carrier) signalEvidence() {
	select {
	case c.evidence <- struct{}{}:
	default:
	}
}

// deliverEvidence hands the gateway's own evidence to the node.
func (c *Carrier) deliverEvidence() {
	c.mu.Lock()
	troubles, acks := c.troubles, c.acks
	c.troubles, c.acks = map[uint32]choice.Trouble{}, map[uint32]time.Duration{}
	hashes := make(map[uint32]uint64, len(troubles)+len(acks))
	for id := range troubles {
		if h, ok := c.hashByServer[id]; ok {
			hashes[id] = h
		}
	}
	for id := range acks {
		if h, ok := c.hashByServer[id]; ok {
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
	peers, _ := callNode(c, c.node.Peers)
	return peers
}

// RunNumber is drawn at the start of this instance; all that it signs bears it.
func (c *Carrier) RunNumber() uint64 { return c.runID }

// Attrs gives the counters for a log line: how members stand, what the node has counted, what was dropped before it.
func (c *Carrier) Attrs() (all []slog.Attr) {
	select {
	case <-c.stopped:
		return c.attrs() // nobody else looks at the node any more
	default:
	}
	got := make(chan []slog.Attr, 1)
	if c.enqueue(func() { got <- c.attrs() }) {
		select {
		case all = <-got:
		case <-c.stopped:
		}
	}
	return all
}
