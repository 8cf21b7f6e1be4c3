package gossip

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// strict is a Host that holds a node to what it promises of each call.
type strict struct {
	t       *rapid.T
	n       *Node
	now     time.Duration
	sent    int // bytes
	weights map[uint64]float64
}

func (h *strict) Datagram(to netip.AddrPort, _ KeyID, m *Message) {
	if m.Bytes() > h.n.set.Datagram+28 {
		h.t.Fatalf("a datagram of %d bytes", m.Bytes())
	}
	h.sent += m.Bytes()
	for _, r := range m.Rumours {
		if r.Age > h.n.set.RumourLife || r.Age < 0 {
			h.t.Fatalf("tells a rumour of age %v", r.Age)
		}
	}
	for _, c := range m.Claims {
		if c.By == h.n.set.Name && c.Kind == Accused && c.Name == c.By {
			h.t.Fatal("accuses itself")
		}
	}
}

func (h *strict) Exchange(netip.AddrPort, *Digest) {}
func (h *strict) Wake(at time.Duration) {
	if at < h.now {
		h.t.Fatalf("wakes at %v, it is %v", at, h.now)
	}
}
func (h *strict) Rumoured(server uint64, weight float64) {
	if weight < 0 || weight > float64(h.n.set.ObserversPerServer) {
		h.t.Fatalf("weight %v", weight)
	}
	h.weights[server] = weight
}
func (h *strict) Log(string, string) {}

// Whatever comes, in whatever order, however wrong its figures: no bound is passed, nothing panics, nothing is said of servers
// that the instance has not seen by itself, and no member is held dead that has just been heard.
func TestNoOrderOfEventsBreaksABound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &strict{t: t, weights: map[uint64]float64{}}
		set := Setup{Name: "me", Key: KeyID{1}, Run: 7, Seed: rapid.Uint64().Draw(t, "seed"), Addr: addrOf(0), ProbeEvery: time.Second,
			ProbeTimeout: 400 * time.Millisecond, SuspectFor: 4 * time.Second, TellEvery: 200 * time.Millisecond, SyncEvery: 5 * time.Second,
			RumourLife: 10 * time.Second, Members: 6, Rumours: 12, RumoursPerObserver: 4, ObserversPerServer: 3, Datagram: 1200, DatagramsPerTell: 3,
			BytesPerSecond: 4000, Seeds: []netip.AddrPort{addrOf(9)}}
		n := New(h, set)
		h.n = n
		n.Start(0)
		counters := map[uint64]uint64{}
		own := map[uint64]bool{}
		name := func() (string, KeyID, uint64) {
			i := rapid.IntRange(0, 9).Draw(t, "who")
			k := i
			if i == 9 { // under another's key
				k = 0
			}
			if i == 8 { // under our name
				return "me", KeyID{1}, 8
			}
			return fmt.Sprint("m", i), KeyID{2, byte(k)}, uint64(k*10 + rapid.IntRange(1, 2).Draw(t, "run"))
		}
		span := func(label string) time.Duration {
			return time.Duration(rapid.Int64Range(int64(-time.Hour), int64(time.Hour)).Draw(t, label))
		}
		claim := func() Claim {
			who, key, run := name()
			by, byKey, byRun := who, key, run
			kind := rapid.SampledFrom([]ClaimKind{Alive, Alive, Alive, Left, Accused}).Draw(t, "kind")
			if kind == Accused {
				by, byKey, byRun = name()
			}
			return Claim{Kind: kind, Name: who, Incarnation: uint32(rapid.SampledFrom([]int{0, 1, 2, 3, 1 << 31}).Draw(t, "incarnation")), By: by, Key: byKey,
				Run: byRun, Addr: addrOf(rapid.IntRange(0, 5).Draw(t, "addr")), Clock: h.now + span("clock")}
		}
		told := func() Told {
			who, key, run := name()
			return Told{Age: span("age"), Rumour: Rumour{Observer: who, Key: key, Run: run, Server: uint64(rapid.IntRange(0, 8).Draw(t, "server")),
				Symptom: Symptom(rapid.IntRange(0, 4).Draw(t, "symptom")), Strength: rapid.Byte().Draw(t, "strength"),
				Number: uint32(rapid.IntRange(0, 30).Draw(t, "number")), Made: h.now + span("made")}}
		}
		message := func() *Message {
			m := &Message{Kind: Kind(rapid.IntRange(1, 5).Draw(t, "message")), Number: uint32(rapid.IntRange(0, 20).Draw(t, "probe")), Target: "m1",
				TargetAt: addrOf(1), Clock: h.now + span("clock"), Prove: rapid.Bool().Draw(t, "prove")}
			for range rapid.IntRange(0, 3).Draw(t, "claims") {
				m.Claims = append(m.Claims, claim())
			}
			for range rapid.IntRange(0, 4).Draw(t, "rumours") {
				m.Rumours = append(m.Rumours, told())
			}
			return m
		}
		marks := func() (all []Mark) {
			for range rapid.IntRange(0, 4).Draw(t, "marks") {
				all = append(all, Mark(rapid.Uint32Range(0, 20).Draw(t, "mark")))
			}
			return all
		}
		items := func() *Items {
			i := &Items{Wants: marks(), Lacks: marks(), Alive: marks(), SeenAt: addrOf(3).Addr()}
			for range rapid.IntRange(0, 4).Draw(t, "claims") {
				i.Claims = append(i.Claims, claim())
			}
			for range rapid.IntRange(0, 4).Draw(t, "rumours") {
				i.Rumours = append(i.Rumours, told())
			}
			return i
		}
		for range rapid.IntRange(1, 120).Draw(t, "events") {
			h.now += time.Duration(rapid.SampledFrom([]int{0, 1, 50, 300, 1000, 5000, 60000}).Draw(t, "later")) * time.Millisecond
			server := uint64(rapid.IntRange(0, 8).Draw(t, "server"))
			switch rapid.IntRange(0, 11).Draw(t, "event") {
			case 0, 1, 2, 3:
				who, key, run := name()
				counters[run]++
				n.Received(h.now, Datagram{From: who, Key: key, Run: run, Counter: counters[run] - uint64(rapid.IntRange(0, 1).Draw(t, "old")), Message: message()})
			case 4:
				n.Timer(h.now)
			case 5:
				own[server] = true
				n.Symptom(h.now, server, Symptom(rapid.IntRange(1, 4).Draw(t, "symptom")), 255)
			case 6:
				n.Recovered(h.now, server)
			case 7:
				n.Acked(h.now, server, h.now-time.Second)
			case 8:
				n.Asked(h.now, &Digest{Own: claim(), Members: marks(), Dead: marks(), Rumours: marks()}, addrOf(2).Addr())
			case 9:
				n.Exchanged(h.now, items())
			case 10:
				n.Given(h.now, items())
			case 11:
				n.Servers(h.now, rapid.IntRange(0, 9).Draw(t, "servers"))
			}
			check(t, n, h, own)
		}
		before := h.sent
		from := h.now
		for h.now < from+20*time.Second {
			h.now += 50 * time.Millisecond
			n.Timer(h.now)
			check(t, n, h, own)
		}
		// Tells keep the budget; probes and answers, which are few, come beside it.
		if sent := h.sent - before; sent > 20*set.BytesPerSecond+30000 {
			t.Fatalf("%d bytes in 20 s", sent)
		}
	})
}

func check(t *rapid.T, n *Node, h *strict, own map[uint64]bool) {
	if len(n.members) >= n.set.Members || len(n.byName) != len(n.members) {
		t.Fatalf("%d members of %d at most, %d by name", len(n.members), n.set.Members-1, len(n.byName))
	}
	if n.table.size > n.set.Rumours {
		t.Fatalf("%d rumours", n.table.size)
	}
	sum := 0
	for name, list := range n.table.byObserver {
		if len(list) > n.set.RumoursPerObserver {
			t.Fatalf("%d rumours of %s", len(list), name)
		}
		sum += len(list)
		for _, e := range list {
			if name == n.set.Name && !own[e.Server] {
				t.Fatalf("speaks of server %d, which it never had trouble with", e.Server)
			}
			if name != n.set.Name && (n.byName[name] == nil || n.byName[name] != e.m) {
				t.Fatalf("holds word of %s, who is no member", name)
			}
		}
	}
	held := 0
	for _, s := range n.serverOrder {
		held += len(s.entries)
		live := 0
		for _, e := range s.entries {
			if e.m != nil && e.Symptom != Well {
				live++
			}
		}
		if live > n.set.ObserversPerServer {
			t.Fatalf("%d observers of one server", live)
		}
		if w := s.weighed(h.now); w < 0 || w > float64(live) {
			t.Fatalf("%d observers weigh %v", live, w)
		}
	}
	if sum != n.table.size || held != n.table.size || len(n.rumoured) != len(n.serverOrder) {
		t.Fatalf("size %d, by observer %d, by server %d", n.table.size, sum, held)
	}
	if len(n.news) > 2*n.set.Members+n.set.Rumours || len(n.checks) > n.set.Members || len(n.helping) > 4*helpers || len(n.probes) > 2*n.set.Members {
		t.Fatalf("%d news, %d checks, %d errands, %d probes", len(n.news), len(n.checks), len(n.helping), len(n.probes))
	}
	voices := map[KeyID]string{}
	for _, m := range n.members {
		if c := m.credit(h.now); c < 0 || c > 1 {
			t.Fatalf("credit %v", c)
		}
		if m.state == alive || m.state == suspect {
			if other, ok := voices[m.key]; ok {
				t.Fatalf("%s and %s are one voice", m.name, other)
			}
			voices[m.key] = m.name
		}
	}
}

func BenchmarkReceived(b *testing.B) {
	x := alone(&testing.T{}, 200, nil)
	m := &Message{Kind: Tell}
	for i := range 7 {
		m.Rumours = append(m.Rumours, x.rumour(i, uint64(i), 1))
	}
	b.ReportAllocs()
	for b.Loop() {
		x.hear(100, m)
	}
}

func BenchmarkRound(b *testing.B) {
	x := alone(&testing.T{}, 200, nil)
	for i := range 60 {
		x.hear(i, &Message{Kind: Tell, Rumours: []Told{x.rumour(i, uint64(i%20), 1)}})
	}
	b.ReportAllocs()
	for b.Loop() {
		x.l.now += 200 * time.Millisecond
		for _, m := range x.members {
			m.heardAt = x.l.now
		}
		x.Timer(x.l.now)
	}
}
