package loopback

import (
	"context"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"gorsewell/internal/config"
	"gorsewell/internal/exchange"
	"gorsewell/internal/gossip"
	"gorsewell/internal/gossip/carrier"
	"gorsewell/internal/gossip/keys"
)

// liar sends false gossip in the name of a gateway. It is a regular member with sockets of its own and a valid
// certificate, and sends five datagrams with false rumours or claims in each gossip interval.
type liar struct {
	harness    *harness
	carrier    *carrier.Carrier
	clock      exchange.Clock
	variant    string // one of emulator.LiarVariants
	name       string
	key        gossip.KeyID
	rng        *rand.Rand
	lastNumber uint32 // number of the last rumour
	counter    int    // number of false rumours and claims so far
	cancel     context.CancelFunc
	running    sync.WaitGroup
}

// rumourDiscarder is a carrier.RumourReceiver that discards the rumours, because a liar does not serve clients.
type rumourDiscarder struct{}

func (rumourDiscarder) Rumour(uint32, float64) {}

// startLiar makes a gateway a liar for the rest of the run.
func (h *harness) startLiar(p *gatewayProcess, variant string) {
	name := fmt.Sprintf("g%04d", p.index)
	base := filepath.Join(h.dir, name)
	ring, err := keys.LoadKeyring(base+".crt", base+".key", []string{filepath.Join(h.dir, "day.authority")}, time.Now())
	if err != nil {
		h.checker.event("liar %d: %v", p.index, err)
		return
	}
	settings := config.Default().Gossip
	worldGossip := &h.World.Gossip
	settings.Cluster, settings.Listen, settings.Seeds = "day", p.gossipAddr,
		[]string{h.gateways[0].gossipAddr, h.gateways[1].gossipAddr, h.gateways[2].gossipAddr}
	settings.ProbeEvery, settings.ProbeTimeout, settings.SuspectFor, settings.TellEvery, settings.SyncEvery,
		settings.RumourLife = worldGossip.ProbeEvery, worldGossip.ProbeTimeout, worldGossip.SuspectFor, worldGossip.TellEvery,
		worldGossip.SyncEvery, worldGossip.RumourLife
	l := &liar{harness: h, variant: variant, name: name, key: ring.Certificate.KeyID(),
		rng: rand.New(rand.NewPCG(h.Seed, 0x11a4+uint64(p.index))), lastNumber: 1 << 20, clock: exchange.StartClock()}
	if l.carrier, err = carrier.New(settings, name, ring, l.clock, rumourDiscarder{},
		func(uint32) string { return "" }); err != nil {
		h.checker.event("liar %d: %v", p.index, err)
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	l.running.Go(func() { l.carrier.Run(ctx) })
	l.running.Go(func() { l.run(ctx, settings.TellEvery) })
	h.mu.Lock()
	h.liars[p.index] = l
	h.mu.Unlock()
}

// stop ends the liar and waits for its goroutines.
func (l *liar) stop() {
	l.cancel()
	l.running.Wait()
}

// run sends false gossip at an interval until the context is cancelled.
func (l *liar) run(ctx context.Context, interval time.Duration) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		peers := l.carrier.Peers()
		for range 5 {
			if len(peers) > 0 {
				l.sendFalseGossip(peers)
			}
		}
	}
}

// newRumour returns a rumour of the liar about a server. Its creation time is ahead of the clock by the given time.
func (l *liar) newRumour(serverNum int, symptom gossip.Symptom, ahead time.Duration) gossip.RelayedRumour {
	l.lastNumber++
	return gossip.RelayedRumour{Rumour: gossip.Rumour{Observer: l.name, Key: l.key, Run: l.carrier.RunID(),
		Server:  xxhash.Sum64String(fmt.Sprintf("s-%08x", serverNum)),
		Symptom: symptom, Strength: 255, Number: l.lastNumber, Made: l.clock.Now() + ahead}}
}

// sendFalseGossip sends one datagram of false gossip to a random peer. The liar holds one key, so it cannot send what
// other members would have to sign.
func (l *liar) sendFalseGossip(peers []gossip.Peer) {
	to := peers[l.rng.IntN(len(peers))]
	message := &gossip.Message{Kind: gossip.Tell, Clock: l.clock.Now()}
	servers := l.harness.fleet.servers
	for range 7 {
		l.counter++
		num := servers[l.counter%len(servers)].num
		switch l.variant {
		case "primaries":
			g := l.harness.fleet.groups[l.counter%len(l.harness.fleet.groups)]
			message.Rumours = append(message.Rumours, l.newRumour(g.members[0].num, gossip.Unreachable, 0))
		case "accuse":
			accused := peers[l.rng.IntN(len(peers))]
			message.Claims = append(message.Claims, gossip.Claim{Kind: gossip.Accused, Name: accused.Name,
				Incarnation: 1 << 20, By: l.name, Key: l.key, Run: l.carrier.RunID(), Clock: l.clock.Now()})
		case "future":
			message.Rumours = append(message.Rumours,
				l.newRumour(num, gossip.Silent, time.Duration(l.rng.IntN(3600))*time.Second))
		case "contradict":
			symptom := gossip.Silent
			if l.counter/7%2 == 0 {
				symptom = gossip.Well
			}
			message.Rumours = append(message.Rumours, l.newRumour(num, symptom, 0))
		case "praise":
			message.Rumours = append(message.Rumours, l.newRumour(num, gossip.Well, 0))
		default: // all, and the variants that would need the signatures of other members
			message.Rumours = append(message.Rumours, l.newRumour(num, gossip.Silent, 0))
		}
	}
	l.carrier.Datagram(to.Addr, to.Key, message)
}
