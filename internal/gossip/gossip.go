// Package gossip implements membership and shared suspicion between gateway instances, in the manner of SWIM and
// Lifeguard. For one instance it decides which others are alive and how much weight their rumours about servers carry.
//
// The package does no I/O, reads no clock and starts no goroutine: a carrier calls one method for each event, with the
// time since the instance's start, and the node acts through its Host. The emulator calls the same methods in virtual
// time. The carrier authenticates everything before it reaches the node.
//
// Reports of others never decide on their own. An accusation makes this instance probe the accused member. A rumour
// about a server is weighed by how often its observer has been confirmed here; the total goes to the decision module,
// which may probe the server sooner because of it but must not act on it alone.
package gossip

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Host carries out a node's effects. Its methods return at once and never call back into the node.
type Host interface {
	// Datagram signs a message and sends it to the instance that holds a key. The message is not changed afterwards.
	Datagram(to netip.AddrPort, key KeyID, m *Message)
	// Exchange starts an anti-entropy exchange with the instance at an address. A call of ExchangeAnswered or
	// ExchangeFailed follows.
	Exchange(with netip.AddrPort, d *Digest)
	// Wake requests a call of Timer at a time. A later call replaces an earlier one.
	Wake(at time.Duration)
	// WeightChanged reports the new sum of the weights of the observers that say that a server is in trouble; 0 means
	// that none does any more.
	WeightChanged(server uint64, weight float64)
	// Log reports an event that an operator wants to know of. It is called rarely.
	Log(event, name string)
}

// Config holds the settings of a node.
type Config struct {
	Name      string           // unique among the instances
	Key       KeyID            // of the key that signs the instance's claims and rumours
	Run       uint64           // drawn anew at each start, so that two runs under one name can be told apart
	Seed      uint64           // of the node's random numbers
	Addr      netip.AddrPort   // under which the others reach the instance
	LearnAddr bool             // the host part of Addr is unknown and is learned from the others
	Seeds     []netip.AddrPort // instances through which the node joins

	ProbeEvery   time.Duration // period of probe rounds
	ProbeTimeout time.Duration // after which an unanswered probe is tried through other members
	SuspectFor   time.Duration // how long a suspicion lasts that others share; one that nobody shares lasts twice as long
	TellEvery    time.Duration // period of gossip rounds while there are updates to send
	SyncEvery    time.Duration // mean period of anti-entropy exchanges
	RumourLife   time.Duration // age at which a rumour expires

	Members            int // bounds the members held, this instance included
	Rumours            int // bounds the rumours held
	RumoursPerObserver int // bounds the rumours held of one observer
	ObserversPerServer int // bounds the observers whose rumours about one server are held

	Datagram         int // bounds a datagram, in bytes, without the headers of IP and UDP
	DatagramsPerTell int // members to which one gossip round sends
	BytesPerSecond   int // budget of bytes sent
}

// Constants that do not depend on the configuration.
const (
	probeHelpers        = 3  // members asked to probe a member that does not answer
	maxChecksPerRound   = 6  // members probed out of turn, because of an accusation or of an earlier failed probe
	maxAccusers         = 3  // accusers that are kept, and passed on, for one member
	maxAccusedByOne     = 8  // members that one accuser may accuse at a time; further accusations are ignored
	maxFalseAccusations = 6  // recent accusations proved false here at which an accuser is ignored
	maxHealthScore      = 8  // bounds the health score, and so how far a node slows its probing down
	rumourTransmissions = 7  // times that an instance sends a rumour
	claimTransmissions  = 4  // times that an instance sends a claim
	deadRetentionRounds = 90 // probe rounds for which a dead member is kept at least, as claims of it may still circulate
	budgetBurstSeconds  = 1  // seconds of the byte budget that may be spent at once
)

// Node is the state machine of one instance.
type Node struct {
	host   Host
	config Config
	rng    *rand.Rand

	own              Claim                          // the instance's claim about itself; holds its current incarnation
	joined           bool                           // no earlier run of the instance is known that others still hold
	inactive         bool                           // another run holds the instance's name, or the instance has left
	joinAt           time.Duration                  // when the next attempt to join is due
	joinBackoff      time.Duration                  // time from that attempt to the one after it
	observedAddrs    map[netip.Addr]map[string]bool // by address of this instance, the names of those that see it there
	lastProbeNumber  uint32
	healthScore      int           // Lifeguard's local health, 0 (healthy) to maxHealthScore; slows probing and suspicion
	lastActiveAt     time.Duration // when Timer last ran or a pause was last detected
	refutedAt        time.Duration // when the instance last refuted an accusation
	wakeAt           time.Duration // for which Host.Wake was last called
	nextProbe        time.Duration
	nextTell         time.Duration
	nextSync         time.Duration
	nextSweep        time.Duration
	budgetUsed       float64 // bytes sent that the budget has not yet made up for, as of budgetUpdatedAt
	budgetUpdatedAt  time.Duration
	members          []*member // in order of arrival
	byName           map[string]*member
	byKey            map[KeyID]*member
	probeOrder       []*member // those still to be probed in this pass, the next one last
	probes           []*probe  // those in flight
	checks           []*member // to be probed out of turn
	relayedPings     []*relayedPing
	updates          []*update // to be disseminated
	rumours          rumourTable
	lastRumourNumber uint32 // of the rumours of this instance
	serverCount      int    // servers that the decision module knows of
	serversByID      map[uint64]*server
	serverOrder      []*server // serversByID in order of arrival
	counts           Counts
}

// New returns a node that does nothing until Start is called.
func New(h Host, c Config) *Node {
	n := &Node{host: h, config: c, rng: rand.New(rand.NewPCG(c.Seed, c.Run)), byName: map[string]*member{},
		byKey: map[KeyID]*member{}, serversByID: map[uint64]*server{}, observedAddrs: map[netip.Addr]map[string]bool{}}
	n.rumours.byObserver = map[string][]*entry{}
	n.own = Claim{Kind: Alive, Name: c.Name, By: c.Name, Key: c.Key, Run: c.Run, Incarnation: 1, Addr: c.Addr}
	return n
}

// Start starts the node, which first joins through its seeds.
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

// jitter draws a duration from 0 to d.
func (n *Node) jitter(d time.Duration) time.Duration {
	return time.Duration(n.rng.Int64N(int64(d) + 1))
}

// hash returns the hash by which digests identify a name.
func hash(name string) uint64 { return xxhash.Sum64String(name) }

// Timer is called at the time that Wake requested; calls at other times are harmless.
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

// scheduleWake requests a call of Timer for when the next action is due.
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
	for _, r := range n.relayedPings {
		if r.nacked {
			at = min(at, r.deadline)
		} else {
			at = min(at, r.nackAt)
		}
	}
	at = max(at, now+time.Millisecond)
	n.wakeAt = at
	n.host.Wake(at)
}

// wakeBy requests a call of Timer at a time unless an earlier call is due.
func (n *Node) wakeBy(at time.Duration) {
	if at < n.wakeAt {
		n.wakeAt = at
		n.host.Wake(at)
	}
}

// detectPause detects that the node itself has been paused. Probes that went unanswered meanwhile are then no evidence
// against others, so they are discarded and suspicions are extended by the pause. Accusations that others made
// meanwhile are for this instance to refute.
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

// adjustHealthScore makes the node slower to judge others, or faster again: an instance that sees many failures is
// likely to be the faulty one.
func (n *Node) adjustHealthScore(delta int) {
	n.healthScore = max(0, min(maxHealthScore, n.healthScore+delta))
}

// scaled returns a duration multiplied by the health score plus one.
func (n *Node) scaled(d time.Duration) time.Duration { return d * time.Duration(1+n.healthScore) }

// Leave announces to some members that this instance leaves, and deactivates the node.
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

// Rekey switches the instance to another key, whose certificate has the same name.
func (n *Node) Rekey(now time.Duration, key KeyID) {
	n.own.Key = key
	n.bumpIncarnation(now)
	for _, s := range n.serverOrder {
		s.own.announced = false // rumours signed by the old key end with it
	}
}

// Expelled is called when the certificate of a key no longer counts. It removes the member with that key and its
// rumours.
func (n *Node) Expelled(now time.Duration, key KeyID) {
	if m := n.byKey[key]; m != nil {
		n.counts.Expelled++
		n.markGone(now, m, left)
		n.removeMember(m)
	}
}

// SetSeeds replaces the addresses of the seeds.
func (n *Node) SetSeeds(now time.Duration, seeds []netip.AddrPort) {
	n.config.Seeds = seeds
	if !n.joined {
		n.wakeBy(n.joinAt)
	}
}

// Weight returns the sum of the weights of the other observers that now say that a server is in trouble.
func (n *Node) Weight(now time.Duration, server uint64) float64 {
	if s := n.serversByID[server]; s != nil {
		return s.weight
	}
	return 0
}

// SetServerCount sets how many servers the decision module knows of. An instance that finds most of them in trouble
// does not announce it.
func (n *Node) SetServerCount(now time.Duration, count int) { n.serverCount = count }

// randomMembers draws up to count distinct members for which fits returns true.
func (n *Node) randomMembers(count int, fits func(*member) bool) (drawn []*member) {
	if len(n.members) == 0 {
		return nil
	}
	// In a long list a few random draws suffice. Otherwise, or if they don't, a walk from a random index finds the
	// rest.
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

func contains(members []*member, m *member) bool {
	for _, other := range members {
		if other == m {
			return true
		}
	}
	return false
}

// Counts holds what a node has counted since its start. The carrier derives names in the log from the names and the
// order of its fields.
type Counts struct {
	Sent               int64 // datagrams sent
	SentBytes          int64 // bytes sent in datagrams and anti-entropy exchanges
	Received           int64 // datagrams received, dropped ones included
	Replayed           int64 // datagrams dropped as received before or too old to tell
	Strange            int64 // datagrams dropped as from no known member, or not under its key
	StaleRun           int64 // datagrams dropped as from a run of the sender that is not the one held
	OwnName            int64 // datagrams dropped as sent under this instance's name, and times that another run took the name
	StaleClaims        int64 // claims dropped as not newer than the one held, or as made by another than the member
	FutureClaims       int64 // not used; always 0
	ClaimsFull         int64 // claims dropped for lack of room, under a key in use by another name, or as Left of unknown members
	Accusations        int64 // accusations received
	AccusationsIgnored int64 // accusations received that had no effect
	Refutations        int64 // accusations against this instance that it refuted
	Suspected          int64 // members that this instance began to suspect
	Died               int64 // members that this instance declared dead
	Revived            int64 // dead members that proved to be alive
	Expelled           int64 // members removed because their key no longer counts
	Paused             int64 // pauses of this instance itself
	RumoursTaken       int64 // rumours accepted
	RumoursOld         int64 // rumours dropped as older than the life of a rumour
	RumoursFuture      int64 // rumours dropped as made in the future by the observer's clock
	RumoursStrange     int64 // rumours dropped as their observer, with that key and run, is no member that is alive or suspect
	RumoursKnown       int64 // rumours dropped as held already, or as this instance's own
	RumoursDropped     int64 // rumours dropped because of a bound on rate or room
	RumoursMade        int64 // rumours made by this instance, withdrawals included
	RumoursWithdrawn   int64 // rumours of this instance that it withdrew
	RumoursHeld        int64 // rumours held now
	BorneOut           int64 // rumours that this instance's own observations confirmed
	Contradicted       int64 // times that an ack contradicted a rumour
	Syncs              int64 // anti-entropy exchanges answered or completed
	SyncsFailed        int64 // anti-entropy exchanges that failed
	TellsPutOff        int64 // gossip rounds cut short because the byte budget was used up
}

// Counts returns a copy of the counters.
func (n *Node) Counts() Counts {
	c := n.counts
	c.RumoursHeld = int64(n.rumours.size)
	return c
}

// Status is the state of a member as this instance judges it.
type Status uint8

// The statuses, in the order of the values of memberState.
const (
	StatusAlive   Status = iota // answers, as far as is known
	StatusSuspect               // has failed a probe of this instance
	StatusDead                  // has stayed silent for the whole suspicion
	StatusLeft                  // has left by its own claim, or its key no longer counts
)

// Peer describes a member as this instance holds it.
type Peer struct {
	Name   string
	Key    KeyID
	Addr   netip.AddrPort
	Status Status
	Credit float64 // weight of its rumours about servers, from 0 to 1
}

// Peers lists the members in order of arrival, without the instance itself.
func (n *Node) Peers() []Peer {
	peers := make([]Peer, len(n.members))
	for i, m := range n.members {
		peers[i] = Peer{m.name, m.key, m.addr, Status(m.state), m.credit(n.lastActiveAt)}
	}
	return peers
}

// Incarnation returns the instance's own incarnation number.
func (n *Node) Incarnation() uint32 { return n.own.Incarnation }
