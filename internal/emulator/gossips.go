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
type gossipNetwork struct {
	sim              *simulation
	rng              *rand.Rand
	instances        []*instance // by gateway: the present run
	sentBytes        int64       // bytes
	worstSecondBytes int64       // bytes in the worst second of any instance
	falselyDead      int64
	endedCounts      gossip.Counts // of runs that have ended
	countFrom        time.Duration // bytes count from here
}

// instance is a gateway's part in the gossip; it is its node's Host.
type instance struct {
	*gossip.Node
	network            *gossipNetwork
	gateway            *gateway
	generation         int // of the gateway
	clockBase          time.Duration
	name               string
	key                gossip.KeyID
	runID              uint64
	lastCounter        uint64
	wakeCount          int
	currentSecond      int64 // for the bytes of the present one
	currentSecondBytes int64
	liar               *liar
}

func newGossipNetwork(sim *simulation) *gossipNetwork {
	return &gossipNetwork{sim: sim, rng: rand.New(rand.NewPCG(sim.seed, 4)), instances: make([]*instance, sim.world.Gateways.Count)}
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7946)
}

func gatewayIndex(a netip.AddrPort) int {
	b := a.Addr().As4()
	return int(b[1])<<16 | int(b[2])<<8 | int(b[3])
}

// setup is what an instance's node is told.
func (gs *gossipNetwork) config(i int, life int) gossip.Config {
	w := &gs.sim.world.Gossip
	return gossip.Config{Name: fmt.Sprintf("g%04d", i), Key: gossip.KeyID{byte(i >> 8), byte(i), 1}, Run: mix(gs.sim.seed ^ uint64(i)<<16 ^ uint64(life)),
		Seed: mix(gs.sim.seed + uint64(i)), Addr: address(i), Seeds: []netip.AddrPort{address(0), address(min(1, gs.sim.world.Gateways.Count-1))},
		ProbeEvery: w.ProbeEvery, ProbeTimeout: w.ProbeTimeout, SuspectFor: w.SuspectFor, TellEvery: w.TellEvery, SyncEvery: w.SyncEvery,
		RumourLife: w.RumourLife, Members: w.Members, Rumours: w.Rumours, RumoursPerObserver: w.RumoursPerObserver,
		ObserversPerServer: w.ObserversPerServer, Datagram: int(w.Datagram), DatagramsPerTell: w.DatagramsPerTell, BytesPerSecond: int(w.BytesPerSecond)}
}

// start makes the node of a gateway's run. That of the first run has begun before the day does.
func (gs *gossipNetwork) start(g *gateway) *instance {
	i := g.index
	if old := gs.instances[i]; old != nil {
		if old.generation == g.generation {
			return old
		}
		gs.endedCounts = addCounts(gs.endedCounts, old.Counts())
	}
	s := gs.config(i, g.generation)
	n := &instance{network: gs, gateway: g, generation: g.generation, clockBase: gs.sim.now, name: s.Name, key: s.Key, runID: s.Run}
	n.Node = gossip.New(n, s)
	gs.instances[i] = n
	gs.sim.after(time.Duration(draw(gs.sim.seed, 0x90551, uint64(i), uint64(g.generation))*float64(time.Second)), func() {
		g.runIfAlive(n.generation, func() { n.Node.Start(n.localTime()) })
	})
	return n
}

func (n *instance) localTime() time.Duration { return n.network.sim.now - n.clockBase }

// later does something at the instance, if its run goes on until then.
func (n *instance) schedule(after time.Duration, f func()) {
	n.network.sim.after(after, func() { n.gateway.runIfAlive(n.generation, f) })
}

// way is drawn apart from the ways of ops, which are to be the same whether instances gossip or not.
func (n *instance) delay(to *instance) time.Duration {
	net := &n.network.sim.world.Network
	d := net.Within
	if n.gateway.zone != to.gateway.zone {
		d = net.Between
	}
	return d + time.Duration(float64(d)*net.Jitter*n.network.rng.ExpFloat64())
}

// charge counts bytes.
func (n *instance) countBytes(bytes int) {
	if n.network.sim.now < n.network.countFrom {
		return
	}
	n.network.sentBytes += int64(bytes)
	if second := int64(n.network.sim.now / time.Second); second != n.currentSecond {
		n.currentSecond, n.currentSecondBytes = second, 0
	}
	if n.currentSecondBytes += int64(bytes); n.liar == nil {
		n.network.worstSecondBytes = max(n.network.worstSecondBytes, n.currentSecondBytes)
	}
}

// Datagram implements gossip.Host, as do the methods below.
func (n *instance) Datagram(to netip.AddrPort, _ gossip.KeyID, m *gossip.Message) {
	n.countBytes(m.Bytes())
	n.transmit(to, m)
}

func (n *instance) transmit(to netip.AddrPort, m *gossip.Message) {
	gs := n.network
	n.lastCounter++
	d := gossip.Datagram{From: n.name, Key: n.key, Run: n.runID, Counter: n.lastCounter, Message: m}
	net := &gs.sim.world.Network
	i := gatewayIndex(to)
	if i >= len(gs.instances) || gs.instances[i] == nil || !gs.sim.gossipReaches(n.gateway.index, i) || net.Loss > 0 && gs.rng.Float64() < net.Loss {
		return
	}
	x := gs.instances[i]
	way := n.delay(x)
	if net.Reorder > 0 && gs.rng.Float64() < net.Reorder {
		way *= 10
	}
	take := func() {
		if x.liar != nil {
			x.liar.keepRumours(m)
		}
		x.Received(x.localTime(), d)
	}
	x.schedule(way, take)
	if net.Twice > 0 && gs.rng.Float64() < net.Twice {
		x.schedule(3*way, take)
	}
}

func (n *instance) Exchange(with netip.AddrPort, d *gossip.Digest) {
	gs, i := n.network, gatewayIndex(with)
	n.countBytes(d.Bytes())
	if i >= len(gs.instances) || gs.instances[i] == nil || gs.instances[i].gateway.down || !gs.sim.gossipReaches(n.gateway.index, i) || !gs.sim.gossipReaches(i, n.gateway.index) {
		n.schedule(time.Second, func() { n.ExchangeFailed(n.localTime(), with) })
		return
	}
	x := gs.instances[i]
	x.schedule(2*n.delay(x), func() {
		items := x.ExchangeRequested(x.localTime(), d, address(n.gateway.index).Addr())
		x.countBytes(items.Bytes())
		n.schedule(n.delay(x), func() {
			if give := n.ExchangeAnswered(n.localTime(), items); give != nil {
				n.countBytes(give.Bytes())
				x.schedule(n.delay(x), func() { x.ExchangeCompleted(x.localTime(), give) })
			}
		})
	})
}

func (n *instance) Wake(at time.Duration) {
	n.wakeCount++
	wake := n.wakeCount
	n.network.sim.at(at+n.clockBase, func() {
		if n.wakeCount == wake {
			n.gateway.runIfAlive(n.generation, func() {
				if n.wakeCount == wake {
					n.Timer(n.localTime())
				}
			})
		}
	})
}

func (n *instance) WeightChanged(server uint64, weight float64) {
	if server >= 1 && server <= uint64(len(n.network.sim.servers)) && n.gateway.policy != nil && n.gateway.gossipNode == n {
		n.gateway.policy.Rumour(n.gateway.localTime(), uint32(server), weight)
	}
}

func (n *instance) Log(event, name string) {
	gs := n.network
	if event != "member_dead" {
		return
	}
	var i int
	if _, err := fmt.Sscanf(name, "g%d", &i); err != nil || i >= len(gs.instances) {
		return
	}
	if !gs.sim.gateways[i].down && gs.sim.gossipReaches(i, n.gateway.index) && gs.sim.gossipReaches(n.gateway.index, i) {
		gs.falselyDead++
	}
}

// trouble takes what the gateway's own module has seen.
func (n *instance) reportTrouble(server uint32, t choice.Trouble) {
	if t == choice.NoTrouble {
		n.Recovered(n.localTime(), uint64(server))
		return
	}
	s := gossip.Symptom(t)
	n.ReportSymptom(n.localTime(), uint64(server), s, s.Strength())
}

func (n *instance) opAcked(s *server, sentAt time.Duration) {
	n.Acked(n.localTime(), uint64(s.id), sentAt-n.clockBase)
}

func (gs *gossipNetwork) result(start time.Duration) *GossipResult {
	res := &GossipResult{False: gs.falselyDead, Counts: gs.endedCounts}
	for _, n := range gs.instances {
		if n != nil {
			res.Counts = addCounts(res.Counts, n.Counts())
		}
	}
	res.Sent = float64(gs.sentBytes) / (gs.sim.now - start).Seconds() / float64(len(gs.instances))
	res.WorstSent = float64(gs.worstSecondBytes)
	return res
}
