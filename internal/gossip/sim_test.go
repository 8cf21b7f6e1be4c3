package gossip

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"
)

// simNetwork is a small network in virtual time for the tests of this package; the emulator has a larger one.
type simNetwork struct {
	t          *testing.T
	now        time.Duration
	seq        int // orders events of the same time
	queue      events
	rng        *rand.Rand
	nodes      []*simNode
	loss       float64                        // probability that a datagram is lost
	blocked    func(from, to int) bool        // whether nothing gets through between two instances
	onDelivery func(from, to int, m *Message) // called for each datagram that is not lost
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simNode is one instance. It is the Host of its node.
type simNode struct {
	*Node
	net         *simNetwork
	index       int
	startedAt   time.Duration // of this run, by the network's clock
	run         uint64
	counter     uint64 // of the last datagram sent in this run
	wakeSeq     int    // identifies the latest Wake
	down        bool
	pausedUntil time.Duration
	weights     map[uint64]float64 // by server, as last reported by the node
	log         []string
	bytes       int // sent in datagrams
}

func nodeAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7946)
}

func newSimNetwork(t *testing.T, count int, seed uint64) *simNetwork {
	net := &simNetwork{t: t, rng: rand.New(rand.NewPCG(seed, 7))}
	for i := range count {
		h := &simNode{net: net, index: i}
		net.nodes = append(net.nodes, h)
		h.start(nil)
	}
	return net
}

// start starts a run of the instance that has no state of earlier runs.
func (h *simNode) start(adjust func(*Config)) {
	h.run = h.net.rng.Uint64()
	h.startedAt, h.counter, h.down, h.weights = h.net.now, 0, false, map[uint64]float64{}
	c := Config{Name: fmt.Sprintf("n%03d", h.index), Key: KeyID{byte(h.index >> 8), byte(h.index), 1}, Run: h.run,
		Seed: uint64(h.index), Addr: nodeAddr(h.index), Seeds: []netip.AddrPort{nodeAddr(0), nodeAddr(1)}, ProbeEvery: time.Second, ProbeTimeout: 400 * time.Millisecond,
		SuspectFor: 4 * time.Second, TellEvery: 200 * time.Millisecond, SyncEvery: 20 * time.Second, RumourLife: 30 * time.Second,
		Members: 512, Rumours: 2048, RumoursPerObserver: 64, ObserversPerServer: 5,
		Datagram: 1200, DatagramsPerTell: 3, BytesPerSecond: 8000}
	if adjust != nil {
		adjust(&c)
	}
	h.Node = New(h, c)
	n := h.Node
	h.net.schedule(h.net.now+time.Duration(h.net.rng.IntN(1000))*time.Millisecond, func() {
		if h.Node == n && !h.down {
			n.Start(h.localTime())
		}
	})
}

func (h *simNode) localTime() time.Duration { return h.net.now - h.startedAt }

func (net *simNetwork) schedule(at time.Duration, do func()) {
	net.seq++
	heap.Push(&net.queue, event{at, net.seq, do})
}

func (net *simNetwork) run(until time.Duration) {
	for len(net.queue) > 0 && net.queue[0].at <= until {
		e := heap.Pop(&net.queue).(event)
		net.now = e.at
		e.do()
	}
	net.now = until
}

// scheduleHere schedules an event at the instance. The event waits for the end of a pause and is dropped if the run has
// ended by then.
func (h *simNode) scheduleHere(after time.Duration, do func()) {
	n := h.Node
	var try func()
	try = func() {
		switch {
		case h.Node != n || h.down:
		case h.net.now < h.pausedUntil:
			h.net.schedule(h.pausedUntil, try)
		default:
			do()
		}
	}
	h.net.schedule(h.net.now+after, try)
}

func (net *simNetwork) randomDelay() time.Duration {
	return time.Duration(500+net.rng.IntN(2000)) * time.Microsecond
}

func (net *simNetwork) nodeAt(at netip.AddrPort) *simNode {
	a := at.Addr().As4()
	if i := int(a[2])<<8 | int(a[3]); i < len(net.nodes) {
		return net.nodes[i]
	}
	return nil
}

func (h *simNode) Datagram(to netip.AddrPort, _ KeyID, m *Message) {
	net, peer := h.net, h.net.nodeAt(to)
	h.counter++
	h.bytes += m.Bytes()
	d := Datagram{From: h.config.Name, Key: h.own.Key, Run: h.run, Counter: h.counter, Message: m}
	if m.Bytes() > h.config.Datagram+28 {
		net.t.Errorf("got a datagram of %d bytes, want at most Datagram plus the 28 bytes of IP and UDP headers", m.Bytes())
	}
	if peer == nil || net.blocked != nil && net.blocked(h.index, peer.index) || net.rng.Float64() < net.loss {
		return
	}
	if net.onDelivery != nil {
		net.onDelivery(h.index, peer.index, m)
	}
	peer.scheduleHere(net.randomDelay(), func() { peer.Received(peer.localTime(), d) })
	if net.loss > 0 && net.rng.Float64() < net.loss { // a lossy network also duplicates and reorders datagrams
		peer.scheduleHere(net.randomDelay()*5, func() { peer.Received(peer.localTime(), d) })
	}
}

func (h *simNode) Exchange(with netip.AddrPort, d *Digest) {
	net, peer := h.net, h.net.nodeAt(with)
	if peer == nil || peer.down || net.blocked != nil && (net.blocked(h.index, peer.index) || net.blocked(peer.index, h.index)) {
		h.scheduleHere(time.Second, func() { h.ExchangeFailed(h.localTime(), with) })
		return
	}
	peer.scheduleHere(net.randomDelay(), func() {
		items := peer.ExchangeRequested(peer.localTime(), d, nodeAddr(h.index).Addr())
		h.scheduleHere(net.randomDelay(), func() {
			if give := h.ExchangeAnswered(h.localTime(), items); give != nil {
				peer.scheduleHere(net.randomDelay(), func() { peer.ExchangeCompleted(peer.localTime(), give) })
			}
		})
	})
}

func (h *simNode) Wake(at time.Duration) {
	h.wakeSeq++
	wake := h.wakeSeq
	h.scheduleHere(max(0, at-h.localTime()), func() {
		if h.wakeSeq == wake {
			h.Timer(h.localTime())
		}
	})
}

func (h *simNode) WeightChanged(server uint64, weight float64) { h.weights[server] = weight }
func (h *simNode) Log(event, name string)                      { h.log = append(h.log, event+" "+name) }

// countStatuses counts the members by status, over all running instances.
func (net *simNetwork) countStatuses() map[Status]int {
	counts := map[Status]int{}
	for _, h := range net.nodes {
		if !h.down {
			for _, p := range h.Peers() {
				counts[p.Status]++
			}
		}
	}
	return counts
}

// countInformed counts the running instances at which rumours about a server have weight.
func (net *simNetwork) countInformed(server uint64) (count int) {
	for _, h := range net.nodes {
		if !h.down && h.weights[server] > 0 {
			count++
		}
	}
	return count
}

func TestMembersDiscoverEachOtherThroughSeed(t *testing.T) {
	net := newSimNetwork(t, 50, 1)
	net.run(60 * time.Second)
	if got := net.countStatuses(); got[StatusAlive] != 50*49 || len(got) != 1 {
		t.Errorf("got members by status %v, want 2450 alive and no others", got)
	}
}

func TestRumourAndWithdrawalReachAllMembers(t *testing.T) {
	net := newSimNetwork(t, 50, 2)
	net.run(60 * time.Second)
	h := net.nodes[7]
	h.ReportSymptom(h.localTime(), 99, Silent, 255)
	announcedAt := net.now
	for net.countInformed(99) < 49 && net.now < announcedAt+10*time.Second {
		net.run(net.now + 50*time.Millisecond)
	}
	if took := net.now - announcedAt; took > 2*time.Second {
		t.Errorf("%d instances informed after %v, want 49 within 2s", net.countInformed(99), took)
	}
	if slices.ContainsFunc(net.nodes, func(node *simNode) bool { return node.weights[99] > 0.34 }) {
		t.Error("got a weight above 0.34 from a rumour of one observer, want at most its initial credit")
	}
	h.Recovered(h.localTime(), 99)
	net.run(net.now + 2*time.Second)
	if net.countInformed(99) > 1 {
		t.Errorf("%d instances informed 2s after the withdrawal, want at most 1", net.countInformed(99))
	}
	net.run(net.now + 30*time.Second) // instances that missed the withdrawal receive it by anti-entropy
	if net.countInformed(99) > 0 {
		t.Errorf("%d instances informed 32s after the withdrawal, want 0", net.countInformed(99))
	}
}

func TestAllMembersDetectDeadMember(t *testing.T) {
	net := newSimNetwork(t, 50, 3)
	net.run(60 * time.Second)
	h := net.nodes[20]
	h.ReportSymptom(h.localTime(), 99, Silent, 255)
	net.run(net.now + 2*time.Second)
	h.down = true
	net.run(net.now + 12*time.Second)
	if got := net.countStatuses(); got[StatusDead] != 49 || got[StatusSuspect] > 0 {
		t.Errorf("got members by status %v, want 49 dead and none suspect", got)
	}
	if net.countInformed(99) > 0 {
		t.Errorf("%d instances hold a rumour of the dead observer, want 0", net.countInformed(99))
	}
	h.start(nil)
	net.run(net.now + 30*time.Second)
	if got := net.countStatuses(); got[StatusAlive] != 50*49 {
		t.Errorf("got members by status %v after the restart, want 2450 alive", got)
	}
}
