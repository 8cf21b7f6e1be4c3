package emulator

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"gorsewell/choice"
	"gorsewell/internal/gossip"
)

// gossipNetwork is the network over which the instances gossip. It counts the bytes that they send.
type gossipNetwork struct {
	sim              *simulation
	rng              *rand.Rand
	instances        []*instance   // by gateway index: the present one of each gateway, or the last one if it is down
	sentBytes        int64         // bytes sent by all instances
	worstSecondBytes int64         // see GossipResult.WorstSent
	falselyDead      int64         // see GossipResult.False
	endedCounts      gossip.Counts // counters of the nodes that have ended
	countFrom        time.Duration // time from which bytes are counted
}

// instance is a gateway's gossip node and the node's Host.
type instance struct {
	*gossip.Node
	network            *gossipNetwork
	gateway            *gateway
	generation         int           // generation of the gateway to which it belongs
	clockBase          time.Duration // virtual time at which its clock shows 0
	name               string
	key                gossip.KeyID
	runID              uint64 // drawn anew at each start
	lastCounter        uint64 // counter of its last datagram
	wakeCount          int    // number of calls of Wake, of which only the last one has an effect
	currentSecond      int64  // second of virtual time in which it last sent
	currentSecondBytes int64  // bytes sent in currentSecond
	liar               *liar  // nil unless the fault liar strikes it
}

func newGossipNetwork(sim *simulation) *gossipNetwork {
	return &gossipNetwork{sim: sim, rng: rand.New(rand.NewPCG(sim.seed, 4)),
		instances: make([]*instance, sim.world.Gateways.Count)}
}

// address returns the address of the instance of the gateway with an index.
func address(index int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(index >> 16), byte(index >> 8), byte(index)}), 7946)
}

// gatewayIndex returns the index of the gateway whose instance has an address.
func gatewayIndex(a netip.AddrPort) int {
	b := a.Addr().As4()
	return int(b[1])<<16 | int(b[2])<<8 | int(b[3])
}

// config returns the settings of the node of a gateway in one of its generations.
func (net *gossipNetwork) config(index int, generation int) gossip.Config {
	settings := &net.sim.world.Gossip
	return gossip.Config{Name: fmt.Sprintf("g%04d", index), Key: gossip.KeyID{byte(index >> 8), byte(index), 1},
		Run: mix(net.sim.seed ^ uint64(index)<<16 ^ uint64(generation)), Seed: mix(net.sim.seed + uint64(index)),
		Addr: address(index), Seeds: []netip.AddrPort{address(0), address(min(1, net.sim.world.Gateways.Count-1))},
		ProbeEvery: settings.ProbeEvery, ProbeTimeout: settings.ProbeTimeout, SuspectFor: settings.SuspectFor,
		TellEvery: settings.TellEvery, SyncEvery: settings.SyncEvery, RumourLife: settings.RumourLife,
		Members: settings.Members, Rumours: settings.Rumours, RumoursPerObserver: settings.RumoursPerObserver,
		ObserversPerServer: settings.ObserversPerServer, Datagram: int(settings.Datagram),
		DatagramsPerTell: settings.DatagramsPerTell, BytesPerSecond: int(settings.BytesPerSecond)}
}

// start returns the node of a gateway's present generation, which it creates if there is none yet.
func (net *gossipNetwork) start(g *gateway) *instance {
	index := g.index
	if previous := net.instances[index]; previous != nil {
		if previous.generation == g.generation {
			return previous
		}
		net.endedCounts = addCounts(net.endedCounts, previous.Counts())
	}
	config := net.config(index, g.generation)
	n := &instance{network: net, gateway: g, generation: g.generation, clockBase: net.sim.now, name: config.Name,
		key: config.Key, runID: config.Run}
	n.Node = gossip.New(n, config)
	net.instances[index] = n
	net.sim.after(time.Duration(draw(net.sim.seed, 0x90551, uint64(index), uint64(g.generation))*float64(time.Second)),
		func() {
			g.runIfAlive(n.generation, func() { n.Node.Start(n.localTime()) })
		})
	return n
}

func (n *instance) localTime() time.Duration { return n.network.sim.now - n.clockBase }

// schedule calls f after a time, unless the instance's gateway has ended by then.
func (n *instance) schedule(after time.Duration, f func()) {
	n.network.sim.after(after, func() { n.gateway.runIfAlive(n.generation, f) })
}

// delay draws the time that a datagram takes to another instance. It draws from a source of its own, so that the delays
// of ops are the same with and without gossip.
func (n *instance) delay(to *instance) time.Duration {
	network := &n.network.sim.world.Network
	d := network.Within
	if n.gateway.zone != to.gateway.zone {
		d = network.Between
	}
	return d + time.Duration(float64(d)*network.Jitter*n.network.rng.ExpFloat64())
}

// countBytes counts bytes sent. The seconds of a liar do not count for worstSecondBytes.
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

// Datagram implements gossip.Host, as do the exported methods below.
func (n *instance) Datagram(to netip.AddrPort, _ gossip.KeyID, m *gossip.Message) {
	n.countBytes(m.Bytes())
	n.transmit(to, m)
}

// transmit carries a datagram to another instance, with the loss, repetition and reordering of the network.
func (n *instance) transmit(to netip.AddrPort, m *gossip.Message) {
	network := n.network
	n.lastCounter++
	d := gossip.Datagram{From: n.name, Key: n.key, Run: n.runID, Counter: n.lastCounter, Message: m}
	settings := &network.sim.world.Network
	index := gatewayIndex(to)
	if index >= len(network.instances) || network.instances[index] == nil ||
		!network.sim.gossipReaches(n.gateway.index, index) || settings.Loss > 0 && network.rng.Float64() < settings.Loss {
		return
	}
	receiver := network.instances[index]
	delay := n.delay(receiver)
	if settings.Reorder > 0 && network.rng.Float64() < settings.Reorder {
		delay *= 10
	}
	receive := func() {
		if receiver.liar != nil {
			receiver.liar.keepRumours(m)
		}
		receiver.Received(receiver.localTime(), d)
	}
	receiver.schedule(delay, receive)
	if settings.Twice > 0 && network.rng.Float64() < settings.Twice {
		receiver.schedule(3*delay, receive)
	}
}

func (n *instance) Exchange(with netip.AddrPort, d *gossip.Digest) {
	network, index := n.network, gatewayIndex(with)
	n.countBytes(d.Bytes())
	if index >= len(network.instances) || network.instances[index] == nil || network.instances[index].gateway.down ||
		!network.sim.gossipReaches(n.gateway.index, index) || !network.sim.gossipReaches(index, n.gateway.index) {
		n.schedule(time.Second, func() { n.ExchangeFailed(n.localTime(), with) })
		return
	}
	partner := network.instances[index]
	partner.schedule(2*n.delay(partner), func() {
		items := partner.ExchangeRequested(partner.localTime(), d, address(n.gateway.index).Addr())
		partner.countBytes(items.Bytes())
		n.schedule(n.delay(partner), func() {
			if missing := n.ExchangeAnswered(n.localTime(), items); missing != nil {
				n.countBytes(missing.Bytes())
				partner.schedule(n.delay(partner), func() { partner.ExchangeCompleted(partner.localTime(), missing) })
			}
		})
	})
}

func (n *instance) Wake(at time.Duration) {
	n.wakeCount++
	count := n.wakeCount
	n.network.sim.at(at+n.clockBase, func() {
		if n.wakeCount == count {
			n.gateway.runIfAlive(n.generation, func() {
				if n.wakeCount == count {
					n.Timer(n.localTime())
				}
			})
		}
	})
}

func (n *instance) WeightChanged(server uint64, weight float64) {
	if server >= 1 && server <= uint64(len(n.network.sim.servers)) && n.gateway.policy != nil &&
		n.gateway.gossipNode == n {
		n.gateway.policy.Rumour(n.gateway.localTime(), uint32(server), weight)
	}
}

// Log counts the instances that the node declares dead although they are up and reachable in both directions.
func (n *instance) Log(event, name string) {
	network := n.network
	if event != "member_dead" {
		return
	}
	var index int
	if _, err := fmt.Sscanf(name, "g%d", &index); err != nil || index >= len(network.instances) {
		return
	}
	if !network.sim.gateways[index].down && network.sim.gossipReaches(index, n.gateway.index) &&
		network.sim.gossipReaches(n.gateway.index, index) {
		network.falselyDead++
	}
}

// reportTrouble passes on to the node what the gateway's policy has observed of a server.
func (n *instance) reportTrouble(server uint32, t choice.Trouble) {
	if t == choice.NoTrouble {
		n.Recovered(n.localTime(), uint64(server))
		return
	}
	s := gossip.Symptom(t)
	n.ReportSymptom(n.localTime(), uint64(server), s, s.Strength())
}

// opAcked passes on to the node that a server has acked an op within its latency target.
func (n *instance) opAcked(s *server, sentAt time.Duration) {
	n.Acked(n.localTime(), uint64(s.id), sentAt-n.clockBase)
}

// result returns the totals of the run. start is the time from which bytes are counted.
func (net *gossipNetwork) result(start time.Duration) *GossipResult {
	res := &GossipResult{False: net.falselyDead, Counts: net.endedCounts}
	for _, n := range net.instances {
		if n != nil {
			res.Counts = addCounts(res.Counts, n.Counts())
		}
	}
	res.Sent = float64(net.sentBytes) / (net.sim.now - start).Seconds() / float64(len(net.instances))
	res.WorstSent = float64(net.worstSecondBytes)
	return res
}
