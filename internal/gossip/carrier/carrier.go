// Package carrier runs the gossip of a gateway instance over UDP and TCP. It sends and receives datagrams, opens and
// serves streams, manages the keyring, and connects the gossip node to the gateway of the same process. It makes no
// decisions about members or servers; the node does. One goroutine owns the node, and all other goroutines pass it
// functions to run.
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

// RumourReceiver is the gateway's side: it receives the rumours about servers of its list.
type RumourReceiver interface {
	// Rumour reports the weighted number of observers that currently see the server in trouble; 0 when none does any
	// more.
	Rumour(server uint32, weight float64)
}

// Carrier connects one instance's gossip node to the network and to the gateway. It implements gossip.Host and
// dispatch.Gossip.
type Carrier struct {
	settings config.Gossip
	name     string
	clock    exchange.Clock
	gateway  RumourReceiver
	serverID func(server uint32) string // ID, in the list, of a server that the list names

	udp           *net.UDPConn
	tcp           *net.TCPListener
	node          *gossip.Node // used only by the goroutine of Run
	runID         uint64
	events        chan func()     // run by the goroutine that owns the node
	stopped       chan struct{}   // closed when the node is no longer owned by a goroutine
	evidence      chan struct{}   // signals that troubles or acks are not empty
	timer         *time.Timer     // calls Node.Timer
	inboundSlots  chan struct{}   // one element for each open inbound stream
	outboundSlots chan struct{}   // one element for each open outbound stream
	tasks         *errgroup.Group // receiving, accepting and the open streams

	codecMu sync.Mutex // guards codec
	codec   *wire.Codec

	mu            sync.Mutex                // guards the five fields below and those of the log limit
	hashByServer  map[uint32]uint64         // servers of the list, with the hashes by which gossip names them
	serverByHash  map[uint64]uint32         // the inverse of hashByServer
	troubles      map[uint32]choice.Trouble // latest troubles not passed to the node yet
	acks          map[uint32]time.Duration  // latest send times of acked sends not passed to the node yet
	listedServers int                       // length of hashByServer

	rumouredServers atomic.Pointer[map[uint32]struct{}] // servers with rumours by others; only their acks matter

	counts          Counts
	linesLogged     int           // in the current log window of one minute
	logWindowStart  time.Duration // by clock
	linesSuppressed int           // in the current log window
	certNotAfter    time.Time     // expiry of the instance's own certificate
}

// Counts holds the carrier's counters. Log names are derived from the names and order of its fields.
type Counts struct {
	// Messages, items and events dropped before they reached the node, by cause.
	Form      atomic.Int64 // malformed
	Version   atomic.Int64 // unsupported protocol version
	Cluster   atomic.Int64 // of another cluster
	Stranger  atomic.Int64 // unknown key
	Tag       atomic.Int64 // tag does not match
	Signature atomic.Int64 // invalid signature
	Expired   atomic.Int64 // expired certificate
	Authority atomic.Int64 // certificate of an unknown authority
	Budget    atomic.Int64 // datagrams beyond the receive budget
	Queue     atomic.Int64 // events dropped because the event queue was full
	Oversized atomic.Int64 // datagrams larger than the limit

	Datagrams     atomic.Int64 // received, valid or not
	Streams       atomic.Int64 // finished, inbound and outbound, failed ones included
	StreamsFailed atomic.Int64 // failed, or refused because too many inbound ones were open
	Unsent        atomic.Int64 // datagrams that could not be encoded or sent
}

const (
	eventQueueSize       = 256 // functions waiting for the goroutine that owns the node
	maxOutboundStreams   = 2   // open at once
	maxLogLinesPerMinute = 30
	seedLookupInterval   = 30 * time.Second
)

// New returns a carrier with open sockets. Run does the work and closes them. The keyring's certificate must be for
// the given name. The function serverID returns the ID, in the list, of a server that the list names.
func New(settings config.Gossip, name string, keyring *keys.Keyring, clock exchange.Clock, gateway RumourReceiver,
	serverID func(uint32) string) (*Carrier, error) {
	if keyring.Certificate.Name != name {
		return nil, fmt.Errorf("certificate is for instance %q, expected %q", keyring.Certificate.Name, name)
	}
	addr, err := net.ResolveUDPAddr("udp", settings.Listen)
	if err != nil {
		return nil, err
	}
	udp, tcp, err := listen(addr)
	if err != nil {
		return nil, err
	}
	ownAddr := udp.LocalAddr().(*net.UDPAddr).AddrPort()
	ownAddr = netip.AddrPortFrom(ownAddr.Addr().Unmap(), ownAddr.Port())
	if settings.Advertise != "" {
		a, err := net.ResolveUDPAddr("udp", settings.Advertise)
		if err != nil {
			return nil, errors.Join(err, udp.Close(), tcp.Close())
		}
		ownAddr = netip.AddrPortFrom(a.AddrPort().Addr().Unmap(), a.AddrPort().Port())
	}
	c := &Carrier{settings: settings, name: name, clock: clock, gateway: gateway, serverID: serverID, udp: udp, tcp: tcp,
		events: make(chan func(), eventQueueSize), stopped: make(chan struct{}), evidence: make(chan struct{}, 1),
		timer: time.NewTimer(time.Hour), inboundSlots: make(chan struct{}, settings.Limits.Streams),
		outboundSlots: make(chan struct{}, maxOutboundStreams), hashByServer: map[uint32]uint64{},
		serverByHash: map[uint64]uint32{}, troubles: map[uint32]choice.Trouble{}, acks: map[uint32]time.Duration{}}
	c.rumouredServers.Store(&map[uint32]struct{}{})
	runID := rand.Uint64()
	c.runID = runID
	c.codec = wire.NewCodec(keyring, settings.Cluster, runID, settings.Limits.Members, time.Now)
	c.certNotAfter = time.Unix(keyring.Certificate.NotAfter, 0)
	limits := &settings.Limits
	c.node = gossip.New(c, gossip.Config{Name: name, Key: keyring.Certificate.KeyID(), Run: runID, Seed: rand.Uint64(),
		Addr: ownAddr, LearnAddr: ownAddr.Addr().IsUnspecified(), ProbeEvery: settings.ProbeEvery,
		ProbeTimeout: settings.ProbeTimeout, SuspectFor: settings.SuspectFor, TellEvery: settings.TellEvery,
		SyncEvery: settings.SyncEvery, RumourLife: settings.RumourLife, Members: limits.Members, Rumours: limits.Rumours,
		RumoursPerObserver: limits.RumoursPerObserver, ObserversPerServer: limits.ObserversPerServer,
		Datagram: int(limits.Datagram), DatagramsPerTell: limits.DatagramsPerTell,
		BytesPerSecond: int(limits.BytesPerSecond), Seeds: c.resolveSeeds(context.Background(), true)})
	return c, nil
}

// listen opens the same port for UDP and TCP. With port 0 it tries up to 20 ports that the system chooses until one
// is free for both.
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

// Addr returns the address at which the carrier listens.
func (c *Carrier) Addr() netip.AddrPort { return c.udp.LocalAddr().(*net.UDPAddr).AddrPort() }

// resolveSeeds returns the addresses of the seeds. With literalOnly it skips seeds given by name instead of looking
// them up, which can block.
func (c *Carrier) resolveSeeds(ctx context.Context, literalOnly bool) (seeds []netip.AddrPort) {
	for _, s := range c.settings.Seeds {
		if a, err := netip.ParseAddrPort(s); err == nil {
			seeds = append(seeds, a)
			continue
		}
		if literalOnly {
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

// Run runs the gossip until the context ends, and then tells other members that this instance leaves.
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

// hasSeedNames reports whether any seed is given by name.
func (c *Carrier) hasSeedNames() bool {
	return len(c.resolveSeeds(context.Background(), true)) < len(c.settings.Seeds)
}

// refreshSeeds looks up the seeds given by name at intervals, as their addresses may change.
func (c *Carrier) refreshSeeds(ctx context.Context) error {
	for {
		limited, cancel := context.WithTimeout(ctx, 5*time.Second)
		seeds := c.resolveSeeds(limited, false)
		cancel()
		if len(seeds) > 0 {
			c.enqueue(func() { c.node.SetSeeds(c.clock.Now(), seeds) })
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(seedLookupInterval):
		}
	}
}

// runNode owns the node: until the context ends only its goroutine calls the node's methods.
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

// enqueue passes a function to the goroutine that owns the node. It returns false if the queue is full.
func (c *Carrier) enqueue(f func()) bool {
	select {
	case c.events <- f:
		return true
	default:
		c.counts.Queue.Add(1)
		return false
	}
}

// checkExpiry removes peers whose certificates have expired, and logs if the instance's own has expired or expires
// within a day.
func (c *Carrier) checkExpiry() {
	c.codecMu.Lock()
	expired := c.codec.RemoveExpired()
	c.codecMu.Unlock()
	for _, id := range expired {
		c.node.Expelled(c.clock.Now(), id)
	}
	if validity := time.Until(c.certNotAfter); validity < 0 {
		slog.Error("gossip", "what", "certificate_expired", "name", c.name)
	} else if validity < 24*time.Hour {
		slog.Warn("gossip", "what", "certificate_expires", "name", c.name, "in", validity.Round(time.Minute))
	}
}

// Rekey replaces the keyring. The new certificate must be for the same name; the key and the authorities may differ.
func (c *Carrier) Rekey(keyring *keys.Keyring) error {
	if keyring.Certificate.Name != c.name {
		return fmt.Errorf("certificate is for instance %q, expected %q", keyring.Certificate.Name, c.name)
	}
	done := make(chan struct{})
	if !c.enqueue(func() {
		defer close(done)
		c.codecMu.Lock()
		rejected := c.codec.Rekey(keyring)
		c.codecMu.Unlock()
		c.certNotAfter = time.Unix(keyring.Certificate.NotAfter, 0)
		now := c.clock.Now()
		c.node.Rekey(now, keyring.Certificate.KeyID())
		for _, id := range rejected {
			c.node.Expelled(now, id)
		}
	}) {
		return errors.New("keyring not replaced: event queue is full")
	}
	select {
	case <-done:
	case <-c.stopped:
	}
	return nil
}

// Datagram signs a message and sends it. It implements gossip.Host, as do Exchange, Wake, WeightChanged and Log.
func (c *Carrier) Datagram(to netip.AddrPort, key gossip.KeyID, m *gossip.Message) {
	c.codecMu.Lock()
	d, err := c.codec.EncodeDatagram(key, m)
	c.codecMu.Unlock()
	if err == nil {
		_, err = c.udp.WriteToUDPAddrPort(d, to)
	}
	if err != nil {
		c.counts.Unsent.Add(1)
	}
}

// Wake sets the timer that calls Node.Timer.
func (c *Carrier) Wake(at time.Duration) { c.timer.Reset(max(0, at-c.clock.Now())) }

// WeightChanged reports the weight of a server's rumours to the gateway if its list names the server.
func (c *Carrier) WeightChanged(server uint64, weight float64) {
	c.mu.Lock()
	id, ok := c.serverByHash[server]
	c.mu.Unlock()
	if ok {
		c.reportRumour(id, weight)
	}
}

// reportRumour passes a weight to the gateway and updates rumouredServers.
func (c *Carrier) reportRumour(id uint32, weight float64) {
	old := *c.rumouredServers.Load()
	if _, rumoured := old[id]; rumoured != (weight > 0) {
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

// Log writes an event to the log, unless the limit of lines per minute is reached.
func (c *Carrier) Log(event, name string) { c.log(slog.LevelInfo, event, name) }

// log writes a line, or suppresses it beyond the limit per minute. The number of suppressed lines is logged when the
// next window begins.
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
	withinLimit := c.linesLogged <= maxLogLinesPerMinute
	if !withinLimit {
		c.linesSuppressed++
	}
	c.mu.Unlock()
	if withinLimit {
		slog.Log(context.Background(), level, "gossip", "what", event, "name", name)
	}
}

// Trouble records the gateway's own trouble with a server. It implements dispatch.Gossip, as do Acked, Forget and
// Listed. They are called with the gateway's lock held and must not block.
func (c *Carrier) Trouble(server uint32, t choice.Trouble) {
	c.mu.Lock()
	c.troubles[server] = t // a newer trouble replaces an older one
	c.mu.Unlock()
	c.signalEvidence()
}

// Acked records an acked send to a server. It is ignored unless others have rumours about the server,
// as only then it matters.
func (c *Carrier) Acked(server uint32, sentAt time.Duration) {
	if _, ok := (*c.rumouredServers.Load())[server]; !ok {
		return
	}
	c.mu.Lock()
	c.acks[server] = max(c.acks[server], sentAt)
	c.mu.Unlock()
	c.signalEvidence()
}

// Forget removes a server that the list no longer names, and withdraws the gateway's own trouble with it.
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
			c.node.SetServerCount(now, c.listedServerCount())
		})
	}
}

func (c *Carrier) listedServerCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.listedServers
}

// Listed adds servers that the list names. Rumours that already exist about a new one are now reported to the gateway.
func (c *Carrier) Listed(addrs map[uint32]string) {
	c.mu.Lock()
	var added []uint32
	for id := range addrs {
		if _, ok := c.hashByServer[id]; !ok {
			hash := xxhash.Sum64String(c.serverID(id))
			c.hashByServer[id], c.serverByHash[hash] = hash, id
			added = append(added, id)
		}
	}
	c.listedServers = len(c.hashByServer)
	c.mu.Unlock()
	if len(added) == 0 {
		return
	}
	c.enqueue(func() {
		now := c.clock.Now()
		c.node.SetServerCount(now, c.listedServerCount())
		for _, id := range added {
			c.mu.Lock()
			hash, ok := c.hashByServer[id]
			c.mu.Unlock()
			if w := c.node.Weight(now, hash); ok && w > 0 {
				c.reportRumour(id, w)
			}
		}
	})
}

// signalEvidence wakes the goroutine that owns the node to call deliverEvidence.
func (c *Carrier) signalEvidence() {
	select {
	case c.evidence <- struct{}{}:
	default:
	}
}

// deliverEvidence passes the recorded troubles and acks to the node.
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
			c.node.ReportSymptom(now, h, s, s.Strength())
		}
	}
}

// Peers returns the members that the node currently knows; nil if it does not answer in time.
func (c *Carrier) Peers() []gossip.Peer {
	peers, _ := callNode(c, c.node.Peers)
	return peers
}

// RunID returns the random ID of this run of the instance. It is part of each datagram, claim and rumour of the run.
func (c *Carrier) RunID() uint64 { return c.runID }

// Attrs returns the counters for a log line: the number of members by state, the node's counters, and the carrier's
// own. It returns nil if the event queue is full or the carrier stops before answering.
func (c *Carrier) Attrs() (all []slog.Attr) {
	select {
	case <-c.stopped:
		return c.attrs() // no other goroutine uses the node any more
	default:
	}
	result := make(chan []slog.Attr, 1)
	if c.enqueue(func() { result <- c.attrs() }) {
		select {
		case all = <-result:
		case <-c.stopped:
		}
	}
	return all
}
