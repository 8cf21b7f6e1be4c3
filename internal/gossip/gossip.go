// Package gossip decides, for one instance, who else is there and what it believes of what they say about servers.
//
// It does no I/O, reads no clock and starts no goroutine: a carrier calls one method for each thing that happens, with the
// span since the instance's start, and the node acts through its Host. The emulator calls the same methods in virtual time.
// Everything that reaches it has been proved to come from whom it names; that is the carrier's part.
//
// Its one principle is that hearsay never decides. What others say of a member makes this instance probe that member; what
// they say of a server is weighed by how often each of them was borne out here, and handed to the decision module, which
// may look sooner but not act on it alone. docs/gossip.md tells why.
package gossip

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Host is all that a node can do to the world. Calls return at once and never call back.
type Host interface {
	// Datagram signs a message and sends it to the instance that holds a key. What it holds is not changed afterwards.
	Datagram(to netip.AddrPort, key KeyID, m *Message)
	// Exchange asks the instance at an address to compare tables. Exchanged or ExchangeFailed follows.
	Exchange(with netip.AddrPort, d *Digest)
	// Wake wants Timer to be called at a time; a later call takes an earlier one's place.
	Wake(at time.Duration)
	// Rumoured tells how many observers, weighed, now say that a server is in trouble; 0 when none does any more.
	Rumoured(server uint64, weight float64)
	// Log tells what an operator would want to know. It is called seldom.
	Log(event, name string)
}

// Setup is what a node is told at its start.
type Setup struct {
	Name  string
	Key   KeyID
	Run   uint64 // drawn anew at each start, so that two runs under one name can be told apart
	Seed  uint64 // of this node's chance
	Addr  netip.AddrPort
	Learn bool // Addr's host is not known: others tell from where they see us
	Seeds []netip.AddrPort

	ProbeEvery, ProbeTimeout, SuspectFor, TellEvery, SyncEvery, RumourLife time.Duration

	Members, Rumours, RumoursPerObserver, ObserversPerServer int
	Datagram, DatagramsPerTell, BytesPerSecond               int
}

// Ratios that fit any setup.
const (
	probeHelpers        = 3  // members asked to probe one that does not answer
	maxChecksPerRound   = 6  // members probed beside the regular one because of what others say or of an earlier failure
	maxAccusers         = 3  // that are kept, and passed on, for one member
	maxAccusedByOne     = 8  // members that one other accuses at a time, as far as it is listened to
	maxFalseAccusations = 6  // accusations of late that turned out false here, after which another is not listened to
	maxHealthScore      = 8  // steps by which a node may slow itself down
	rumourTransmissions = 7  // times that an instance tells a rumour
	claimTransmissions  = 4  // and a word on a member
	deadRetentionRounds = 90 // probe rounds for which a dead member's name is kept at least, in case its word still goes round
	budgetBurstSeconds  = 1  // seconds of the byte budget that may be spent at once
)

// Node is one instance's part in the gossip.
type Node struct {
	host   Host
	config Setup
	rng    *rand.Rand

	own              Claim // what is said of itself; its incarnation is its newest
	joined           bool  // it knows of no earlier run of its own that others still hold
	inactive         bool  // another run holds its name, or it has left
	joinAt           time.Duration
	joinBackoff      time.Duration
	observedAddrs    map[netip.Addr]map[string]bool // who sees us at which address
	lastProbeNumber  uint32                         // of probes
	healthScore      int                            // in itself, 0 to mostDoubt
	lastActiveAt     time.Duration
	refutedAt        time.Duration
	wakeAt           time.Duration
	nextProbe        time.Duration
	nextTell         time.Duration
	nextSync         time.Duration
	nextSweep        time.Duration
	budgetUsed       float64 // bytes beyond what time has paid for
	budgetUpdatedAt  time.Duration
	members          []*member // in the order in which they came; the order of probing is shuffled from it
	byName           map[string]*member
	byKey            map[KeyID]*member
	probeOrder       []*member // yet to be probed in this turn
	probes           []*probe  // out
	checks           []*member // to be probed soon
	relayedPings     []*relayedPing
	updates          []*update   // to be told
	rumours          rumourTable // of rumours
	lastRumourNumber uint32      // of its own rumours
	serverCount      int         // that the module knows of
	serversByID      map[uint64]*server
	serverOrder      []*server
	counts           Counts
}

// New makes a node. Start begins its work.
func New(h Host, s Setup) *Node {
	n := &Node{host: h, config: s, rng: rand.New(rand.NewPCG(s.Seed, s.Run)), byName: map[string]*member{}, byKey: map[KeyID]*member{},
		serversByID: map[uint64]*server{}, observedAddrs: map[netip.Addr]map[string]bool{}}
	n.rumours.byObserver = map[string][]*entry{}
	n.own = Claim{Kind: Alive, Name: s.Name, By: s.Name, Key: s.Key, Run: s.Run, Incarnation: 1, Addr: s.Addr}
	return n
}

// Start begins: seeds are asked for what they know.
func (n *Node) Start(now time.Duration) {
	n.lastActiveAt, n.budgetUpdatedAt = now, now
	n.joinBackoff = n.config.ProbeEvery
	n.nextProbe = now + n.jitter(n.config.ProbeEvery)
	n.nextTell = now + n.jitter(n.config.TellEvery)
	n.nextSync = now + n.config.SyncEvery/2 + n.jitter(n.config.SyncEvery/2)
	n.nextSweep = now + n.jitter(n.config.ProbeEvery)
	n.joinAt = now
	n.joined = len(n.config.Seeds) == 0
	n.Timer(now)
}

func (n *Node) jitter(d time.Duration) time.Duration {
	return time.Duration(n.rng.Int64N(int64(d) + 1))
}

// hash is by what a name goes in digests.
func hash(name string) uint64 { return xxhash.Sum64String(name) }

// Timer is called when the time has come that Wake asked for; calls at other times do no harm.
func (n *Node) Timer(now time.Duration) {
	n.detectPause(now)
	if !n.joined && now >= n.joinAt {
		n.join(now)
	}
	n.processTimeouts(now)
	if now >= n.nextProbe {
		n.probeRound(now)
	}
	if now >= n.nextSync {
		n.nextSync = now + n.config.SyncEvery/2 + n.jitter(n.config.SyncEvery)
		n.syncWithRandomMember(now)
	}
	if now >= n.nextSweep {
		n.nextSweep = now + n.config.ProbeEvery/symptomDelayDivisor
		n.sweep(now)
	}
	if now >= n.nextTell {
		n.sendUpdates(now)
	}
	n.lastActiveAt = now
	n.scheduleWake(now)
}

// scheduleWake asks to be woken when the next thing is due.
func (n *Node) scheduleWake(now time.Duration) {
	at := min(n.nextProbe, n.nextSync, n.nextSweep)
	if !n.joined {
		at = min(at, n.joinAt)
	}
	if len(n.updates) > 0 {
		at = min(at, n.nextTell)
	}
	for _, p := range n.probes {
		at = min(at, p.nextEventAt())
	}
	for _, e := range n.relayedPings {
		if e.nacked {
			at = min(at, e.deadline)
		} else {
			at = min(at, e.nackAt)
		}
	}
	at = max(at, now+time.Millisecond)
	n.wakeAt = at
	n.host.Wake(at)
}

// wakeBy asks to be woken at a time unless that will happen before.
func (n *Node) wakeBy(at time.Duration) {
	if at < n.wakeAt {
		n.wakeAt = at
		n.host.Wake(at)
	}
}

// detectPause notices that the node itself stood still: then nobody else is to blame for what did not come, and what others
// heard of it in the meantime is for it to put right.
func (n *Node) detectPause(now time.Duration) {
	gap := now - n.lastActiveAt
	if n.wakeAt > 0 {
		gap = now - max(n.lastActiveAt, n.wakeAt)
	}
	if gap < max(n.config.ProbeTimeout, n.config.ProbeEvery/2) {
		return
	}
	n.counts.Paused++
	n.healthScore = min(maxHealthScore, n.healthScore+2)
	n.probes, n.relayedPings = nil, nil
	for _, m := range n.members {
		if m.state == suspect {
			m.suspectUntil += gap
		}
	}
	n.lastActiveAt = now
}

// adjustHealthScore makes the node slower to judge, or faster again: who sees many fail is likely to be the one in trouble.
func (n *Node) adjustHealthScore(by int) {
	n.healthScore = max(0, min(maxHealthScore, n.healthScore+by))
}

// scaled is a time that grows with the node's doubt in itself.
func (n *Node) scaled(d time.Duration) time.Duration { return d * time.Duration(1+n.healthScore) }

// Leave tells some members that this instance ends by plan, and falls silent.
func (n *Node) Leave(now time.Duration) {
	if n.inactive {
		return
	}
	n.own.Kind = Left
	n.own.Incarnation++
	n.own.Clock = now
	for _, m := range n.randomMembers(2*n.config.DatagramsPerTell, func(m *member) bool { return m.state == alive }) {
		n.send(now, m, &Message{Kind: Tell, Claims: []Claim{n.own}})
	}
	n.inactive = true
}

// Rekey goes on under another key, whose certificate bears the same name.
func (n *Node) Rekey(now time.Duration, key KeyID) {
	n.own.Key = key
	n.bumpIncarnation(now)
	for _, s := range n.serverOrder {
		s.own.announced = false // what the old key has signed ends with that key
	}
}

// Expelled ends all that a key has said: its certificate no longer counts.
func (n *Node) Expelled(now time.Duration, key KeyID) {
	if m := n.byKey[key]; m != nil {
		n.counts.Expelled++
		n.markGone(now, m, left)
		n.removeMember(m)
	}
}

// Reseed tells where seeds are now.
func (n *Node) Reseed(now time.Duration, seeds []netip.AddrPort) {
	n.config.Seeds = seeds
	if !n.joined {
		n.wakeBy(n.joinAt)
	}
}

// Weight is how many others, weighed, now say that a server is in trouble.
func (n *Node) Weight(now time.Duration, server uint64) float64 {
	if s := n.serversByID[server]; s != nil {
		return s.weight
	}
	return 0
}

// Servers tells how many servers the module knows of: whoever finds most of them in trouble keeps that to itself.
func (n *Node) Servers(now time.Duration, count int) { n.serverCount = count }

// randomMembers draws up to count distinct members that fit.
func (n *Node) randomMembers(count int, fits func(*member) bool) (drawn []*member) {
	if len(n.members) == 0 {
		return nil
	}
	// A few random tries find enough among many; a walk from a random place finds them among few.
	start := n.rng.IntN(len(n.members))
	if len(n.members) > 4*count {
		for range 3 * count {
			if m := n.members[n.rng.IntN(len(n.members))]; len(drawn) < count && fits(m) && !contains(drawn, m) {
				drawn = append(drawn, m)
			}
		}
	}
	for i := 0; i < len(n.members) && len(drawn) < count; i++ {
		if m := n.members[(start+i)%len(n.members)]; fits(m) && !contains(drawn, m) {
			drawn = append(drawn, m)
		}
	}
	return drawn
}

func contains(all []*member, m *member) bool {
	for _, x := range all {
		if x == m {
			return true
		}
	}
	return false
}

// Counts is what a node has counted since its start.
type Counts struct {
	Sent, SentBytes, Received                    int64
	Replayed, Strange, StaleRun, OwnName         int64 // datagrams dropped: seen before, of nobody known, of an earlier run, under our name
	StaleClaims, FutureClaims, ClaimsFull        int64
	Accusations, AccusationsIgnored, Refutations int64
	Suspected, Died, Revived, Expelled, Paused   int64
	RumoursTaken, RumoursOld, RumoursFuture      int64
	RumoursStrange, RumoursKnown, RumoursDropped int64 // of observers that are not members; held already; by a bound
	RumoursMade, RumoursWithdrawn, RumoursHeld   int64
	BorneOut, Contradicted                       int64
	Syncs, SyncsFailed, TellsPutOff              int64
}

// Counts gives a copy of the counters.
func (n *Node) Counts() Counts {
	c := n.counts
	c.RumoursHeld = int64(n.rumours.size)
	return c
}

// Standing is how this instance holds a member.
type Standing uint8

// The standings.
const (
	IsAlive Standing = iota
	IsSuspect
	IsDead
	HasLeft
)

// Peer is a member as this instance holds it.
type Peer struct {
	Name     string
	Key      KeyID
	Addr     netip.AddrPort
	Standing Standing
	Credit   float64 // of what it says about servers, 0 to 1
}

// Peers lists the members in the order in which they came, without the instance itself.
func (n *Node) Peers() []Peer {
	all := make([]Peer, len(n.members))
	for i, m := range n.members {
		all[i] = Peer{m.name, m.key, m.addr, Standing(m.state), m.credit(n.lastActiveAt)}
	}
	return all
}

// Incarnation is the instance's own.
func (n *Node) Incarnation() uint32 { return n.own.Incarnation }
