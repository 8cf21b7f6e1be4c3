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

// land is a small network in virtual time for the tests of this package; the emulator has a larger one.
type simNetwork struct {
	t          *testing.T
	now        time.Duration
	seq        int
	queue      events
	rng        *rand.Rand
	nodes      []*simNode
	loss       float64
	blocked    func(from, to int) bool
	onDelivery func(from, to int, m *Message)
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

// inhabitant is one instance; it is the node's Host.
type simNode struct {
	*Node
	net         *simNetwork
	index       int
	startedAt   time.Duration // when this run started
	run         uint64
	counter     uint64
	wakeSeq     int
	down        bool
	pausedUntil time.Duration // until
	weights     map[uint64]float64
	log         []string
	bytes       int
}

func nodeAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7946)
}

func newSimNetwork(t *testing.T, count int, seed uint64) *simNetwork {
	l := &simNetwork{t: t, rng: rand.New(rand.NewPCG(seed, 7))}
	for i := range count {
		h := &simNode{net: l, index: i}
		l.nodes = append(l.nodes, h)
		h.start(nil)
	}
	return l
}

// start makes a run of the instance that knows nothing of earlier ones.
func (h *simNode) start(change func(*Setup)) {
	h.run = h.net.rng.Uint64()
	h.startedAt, h.counter, h.down, h.weights = h.net.now, 0, false, map[uint64]float64{}
	s := Setup{Name: fmt.Sprintf("n%03d", h.index), Key: KeyID{byte(h.index >> 8), byte(h.index), 1}, Run: h.run, Seed: uint64(h.index), Addr: nodeAddr(h.index),
		Seeds: []netip.AddrPort{nodeAddr(0), nodeAddr(1)}, ProbeEvery: time.Second, ProbeTimeout: 400 * time.Millisecond,
		SuspectFor: 4 * time.Second, TellEvery: 200 * time.Millisecond, SyncEvery: 20 * time.Second, RumourLife: 30 * time.Second,
		Members: 512, Rumours: 2048, RumoursPerObserver: 64, ObserversPerServer: 5, Datagram: 1200, DatagramsPerTell: 3, BytesPerSecond: 8000}
	if change != nil {
		change(&s)
	}
	h.Node = New(h, s)
	n := h.Node
	h.net.schedule(h.net.now+time.Duration(h.net.rng.IntN(1000))*time.Millisecond, func() {
		if h.Node == n && !h.down {
			n.Start(h.localTime())
		}
	})
}

func (h *simNode) localTime() time.Duration { return h.net.now - h.startedAt }

func (l *simNetwork) schedule(at time.Duration, do func()) {
	l.seq++
	heap.Push(&l.queue, event{at, l.seq, do})
}

func (l *simNetwork) run(until time.Duration) {
	for len(l.queue) > 0 && l.queue[0].at <= until {
		e := heap.Pop(&l.queue).(event)
		l.now = e.at
		e.do()
	}
	l.now = until
}

// scheduleHere does something at an instance, later if it is paused, never if it has gone meanwhile.
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

func (l *simNetwork) randomDelay() time.Duration {
	return time.Duration(500+l.rng.IntN(2000)) * time.Microsecond
}

func (l *simNetwork) nodeAt(at netip.AddrPort) *simNode {
	a := at.Addr().As4()
	if i := int(a[2])<<8 | int(a[3]); i < len(l.nodes) {
		return l.nodes[i]
	}
	return nil
}

func (h *simNode) Datagram(to netip.AddrPort, _ KeyID, m *Message) {
	l, x := h.net, h.net.nodeAt(to)
	h.counter++
	h.bytes += m.Bytes()
	d := Datagram{From: h.config.Name, Key: h.own.Key, Run: h.run, Counter: h.counter, Message: m}
	if m.Bytes() > h.config.Datagram+28 {
		l.t.Errorf("a datagram of %d bytes", m.Bytes())
	}
	if x == nil || l.blocked != nil && l.blocked(h.index, x.index) || l.rng.Float64() < l.loss {
		return
	}
	if l.onDelivery != nil {
		l.onDelivery(h.index, x.index, m)
	}
	x.scheduleHere(l.randomDelay(), func() { x.Received(x.localTime(), d) })
	if l.loss > 0 && l.rng.Float64() < l.loss { // and where there is loss, some come twice, out of order
		x.scheduleHere(l.randomDelay()*5, func() { x.Received(x.localTime(), d) })
	}
}

func (h *simNode) Exchange(with netip.AddrPort, d *Digest) {
	l, x := h.net, h.net.nodeAt(with)
	if x == nil || x.down || l.blocked != nil && (l.blocked(h.index, x.index) || l.blocked(x.index, h.index)) {
		h.scheduleHere(time.Second, func() { h.ExchangeFailed(h.localTime(), with) })
		return
	}
	x.scheduleHere(l.randomDelay(), func() {
		items := x.Asked(x.localTime(), d, nodeAddr(h.index).Addr())
		h.scheduleHere(l.randomDelay(), func() {
			if give := h.Exchanged(h.localTime(), items); give != nil {
				x.scheduleHere(l.randomDelay(), func() { x.Given(x.localTime(), give) })
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

func (h *simNode) Rumoured(server uint64, weight float64) { h.weights[server] = weight }
func (h *simNode) Log(event, name string)                 { h.log = append(h.log, event+" "+name) }

// countStatuses counts, over all instances that run, how they hold the others.
func (l *simNetwork) countStatuses() map[Standing]int {
	all := map[Standing]int{}
	for _, h := range l.nodes {
		if !h.down {
			for _, p := range h.Peers() {
				all[p.Standing]++
			}
		}
	}
	return all
}

// countInformed counts who is told of a server.
func (l *simNetwork) countInformed(server uint64) (count int) {
	for _, h := range l.nodes {
		if !h.down && h.weights[server] > 0 {
			count++
		}
	}
	return count
}

func TestMembersDiscoverEachOtherThroughSeed(t *testing.T) {
	l := newSimNetwork(t, 50, 1)
	l.run(60 * time.Second)
	if got := l.countStatuses(); got[IsAlive] != 50*49 || len(got) != 1 {
		t.Errorf("%v", got)
	}
}

func TestRumourAndWithdrawalReachAllMembers(t *testing.T) {
	l := newSimNetwork(t, 50, 2)
	l.run(60 * time.Second)
	h := l.nodes[7]
	h.Symptom(h.localTime(), 99, Silent, 255)
	at := l.now
	for l.countInformed(99) < 49 && l.now < at+10*time.Second {
		l.run(l.now + 50*time.Millisecond)
	}
	if took := l.now - at; took > 2*time.Second {
		t.Errorf("known to %d after %v", l.countInformed(99), took)
	}
	if slices.ContainsFunc(l.nodes, func(x *simNode) bool { return x.weights[99] > 0.34 }) {
		t.Error("one observer counts for more than one")
	}
	h.Recovered(h.localTime(), 99)
	l.run(l.now + 2*time.Second)
	if l.countInformed(99) > 1 {
		t.Errorf("%d still hold it", l.countInformed(99))
	}
	l.run(l.now + 30*time.Second) // who missed it hears when it compares tables
	if l.countInformed(99) > 0 {
		t.Errorf("%d hold it for good", l.countInformed(99))
	}
}

func TestAllMembersDetectDeadMember(t *testing.T) {
	l := newSimNetwork(t, 50, 3)
	l.run(60 * time.Second)
	h := l.nodes[20]
	h.Symptom(h.localTime(), 99, Silent, 255)
	l.run(l.now + 2*time.Second)
	h.down = true
	l.run(l.now + 12*time.Second)
	if got := l.countStatuses(); got[IsDead] != 49 || got[IsSuspect] > 0 {
		t.Errorf("%v", got)
	}
	if l.countInformed(99) > 0 {
		t.Errorf("%d hold a rumour of a dead observer", l.countInformed(99))
	}
	h.start(nil)
	l.run(l.now + 30*time.Second)
	if got := l.countStatuses(); got[IsAlive] != 50*49 {
		t.Errorf("after its return: %v", got)
	}
}
