package emulator

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"gorsewell/choice"
	"gorsewell/internal/gossip"
)

// gossips is the network on which instances gossip, and what it costs.
type gossips struct {
	r     *run
	rng   *rand.Rand
	nodes []*instance // by gateway: the present run
	sent  int64       // bytes
	worst int64       // bytes in the worst second of any instance
	false int64
	past  gossip.Counts // of runs that have ended
	from  time.Duration // bytes count from here
}

// instance is a gateway's part in the gossip; it is its node's Host.
type instance struct {
	*gossip.Node
	gs      *gossips
	g       *gateway
	life    int // of the gateway
	base    time.Duration
	name    string
	key     gossip.KeyID
	run     uint64
	counter uint64
	wake    int
	second  int64 // for the bytes of the present one
	inIt    int64
	liar    *liar
}

func newGossips(r *run) *gossips {
	return &gossips{r: r, rng: rand.New(rand.NewPCG(r.seed, 4)), nodes: make([]*instance, r.world.Gateways.Count)}
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7946)
}

func indexOf(a netip.AddrPort) int {
	b := a.Addr().As4()
	return int(b[1])<<16 | int(b[2])<<8 | int(b[3])
}

// setup is what an instance's node is told.
func (gs *gossips) setup(i int, life int) gossip.Config {
	w := &gs.r.world.Gossip
	return gossip.Config{Name: fmt.Sprintf("g%04d", i), Key: gossip.KeyID{byte(i >> 8), byte(i), 1}, Run: mix(gs.r.seed ^ uint64(i)<<16 ^ uint64(life)),
		Seed: mix(gs.r.seed + uint64(i)), Addr: address(i), Seeds: []netip.AddrPort{address(0), address(min(1, gs.r.world.Gateways.Count-1))},
		ProbeEvery: w.ProbeEvery, ProbeTimeout: w.ProbeTimeout, SuspectFor: w.SuspectFor, TellEvery: w.TellEvery, SyncEvery: w.SyncEvery,
		RumourLife: w.RumourLife, Members: w.Members, Rumours: w.Rumours, RumoursPerObserver: w.RumoursPerObserver,
		ObserversPerServer: w.ObserversPerServer, Datagram: int(w.Datagram), DatagramsPerTell: w.DatagramsPerTell, BytesPerSecond: int(w.BytesPerSecond)}
}

// start makes the node of a gateway's run. That of the first run has begun before the day does.
func (gs *gossips) start(g *gateway) *instance {
	i := g.index
	if old := gs.nodes[i]; old != nil {
		if old.life == g.life {
			return old
		}
		gs.past = add(gs.past, old.Counts())
	}
	s := gs.setup(i, g.life)
	n := &instance{gs: gs, g: g, life: g.life, base: gs.r.now, name: s.Name, key: s.Key, run: s.Run}
	n.Node = gossip.New(n, s)
	gs.nodes[i] = n
	gs.r.after(time.Duration(draw(gs.r.seed, 0x90551, uint64(i), uint64(g.life))*float64(time.Second)), func() {
		g.do(n.life, func() { n.Node.Start(n.here()) })
	})
	return n
}

func (n *instance) here() time.Duration { return n.gs.r.now - n.base }

// later does something at the instance, if its run goes on until then.
func (n *instance) later(after time.Duration, f func()) {
	n.gs.r.after(after, func() { n.g.do(n.life, f) })
}

// way is drawn apart from the ways of ops, which are to be the same whether instances gossip or not.
func (n *instance) way(to *instance) time.Duration {
	net := &n.gs.r.world.Network
	d := net.Within
	if n.g.zone != to.g.zone {
		d = net.Between
	}
	return d + time.Duration(float64(d)*net.Jitter*n.gs.rng.ExpFloat64())
}

// charge counts bytes.
func (n *instance) charge(bytes int) {
	if n.gs.r.now < n.gs.from {
		return
	}
	n.gs.sent += int64(bytes)
	if second := int64(n.gs.r.now / time.Second); second != n.second {
		n.second, n.inIt = second, 0
	}
	if n.inIt += int64(bytes); n.liar == nil {
		n.gs.worst = max(n.gs.worst, n.inIt)
	}
}

// Datagram implements gossip.Host, as do the methods below.
func (n *instance) Datagram(to netip.AddrPort, _ gossip.KeyID, m *gossip.Message) {
	n.charge(m.Bytes())
	n.carry(to, m)
}

func (n *instance) carry(to netip.AddrPort, m *gossip.Message) {
	gs := n.gs
	n.counter++
	d := gossip.Datagram{From: n.name, Key: n.key, Run: n.run, Counter: n.counter, Message: m}
	net := &gs.r.world.Network
	i := indexOf(to)
	if i >= len(gs.nodes) || gs.nodes[i] == nil || !gs.r.talks(n.g.index, i) || net.Loss > 0 && gs.rng.Float64() < net.Loss {
		return
	}
	x := gs.nodes[i]
	way := n.way(x)
	if net.Reorder > 0 && gs.rng.Float64() < net.Reorder {
		way *= 10
	}
	take := func() {
		if x.liar != nil {
			x.liar.hears(m)
		}
		x.Received(x.here(), d)
	}
	x.later(way, take)
	if net.Twice > 0 && gs.rng.Float64() < net.Twice {
		x.later(3*way, take)
	}
}

func (n *instance) Exchange(with netip.AddrPort, d *gossip.Digest) {
	gs, i := n.gs, indexOf(with)
	n.charge(d.Bytes())
	if i >= len(gs.nodes) || gs.nodes[i] == nil || gs.nodes[i].g.down || !gs.r.talks(n.g.index, i) || !gs.r.talks(i, n.g.index) {
		n.later(time.Second, func() { n.ExchangeFailed(n.here(), with) })
		return
	}
	x := gs.nodes[i]
	x.later(2*n.way(x), func() {
		items := x.ExchangeRequested(x.here(), d, address(n.g.index).Addr())
		x.charge(items.Bytes())
		n.later(n.way(x), func() {
			if give := n.ExchangeAnswered(n.here(), items); give != nil {
				n.charge(give.Bytes())
				x.later(n.way(x), func() { x.ExchangeCompleted(x.here(), give) })
			}
		})
	})
}

func (n *instance) Wake(at time.Duration) {
	n.wake++
	wake := n.wake
	n.gs.r.at(at+n.base, func() {
		if n.wake == wake {
			n.g.do(n.life, func() {
				if n.wake == wake {
					n.Timer(n.here())
				}
			})
		}
	})
}

func (n *instance) WeightChanged(server uint64, weight float64) {
	if server >= 1 && server <= uint64(len(n.gs.r.servers)) && n.g.decider != nil && n.g.node == n {
		n.g.decider.Rumour(n.g.here(), uint32(server), weight)
	}
}

func (n *instance) Log(event, name string) {
	gs := n.gs
	if event != "member_dead" {
		return
	}
	var i int
	if _, err := fmt.Sscanf(name, "g%d", &i); err != nil || i >= len(gs.nodes) {
		return
	}
	if !gs.r.gateways[i].down && gs.r.talks(i, n.g.index) && gs.r.talks(n.g.index, i) {
		gs.false++
	}
}

// trouble takes what the gateway's own module has seen.
func (n *instance) trouble(server uint32, t choice.Trouble) {
	if t == choice.NoTrouble {
		n.Recovered(n.here(), uint64(server))
		return
	}
	s := gossip.Symptom(t)
	n.ReportSymptom(n.here(), uint64(server), s, s.Strength())
}

func (n *instance) acked(s *server, sentAt time.Duration) {
	n.Acked(n.here(), uint64(s.id), sentAt-n.base)
}

func (gs *gossips) result(start time.Duration) *GossipResult {
	res := &GossipResult{False: gs.false, Counts: gs.past}
	for _, n := range gs.nodes {
		if n != nil {
			res.Counts = add(res.Counts, n.Counts())
		}
	}
	res.Sent = float64(gs.sent) / (gs.r.now - start).Seconds() / float64(len(gs.nodes))
	res.WorstSent = float64(gs.worst)
	return res
}
