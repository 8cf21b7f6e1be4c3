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

// liar is an instance whose gossip lies: a member like any, on sockets of its own and with a certificate that counts, that
// says what is not so five times in each telling round.
type liar struct {
	harness    *harness
	carrier    *carrier.Carrier
	clock      exchange.Clock
	variant    string
	name       string
	key        gossip.KeyID
	rng        *rand.Rand
	lastNumber uint32
	counter    int
	cancel     context.CancelFunc
	running    sync.WaitGroup
}

// nobody is the gateway of a liar: it does not listen.
type noGateway struct{}

func (noGateway) Rumour(uint32, float64) {}

// lie makes a liar of an instance for the rest of the day.
func (r *harness) startLiar(p *gatewayProcess, how string) {
	name := fmt.Sprintf("g%04d", p.index)
	base := filepath.Join(r.dir, name)
	ring, err := keys.LoadKeyring(base+".crt", base+".key", []string{filepath.Join(r.dir, "day.authority")}, time.Now())
	if err != nil {
		r.checker.event("liar %d: %v", p.index, err)
		return
	}
	s := config.Default().Gossip
	g := &r.World.Gossip
	s.Cluster, s.Listen, s.Seeds = "day", p.gossipAddr, []string{r.gateways[0].gossipAddr, r.gateways[1].gossipAddr, r.gateways[2].gossipAddr}
	s.ProbeEvery, s.ProbeTimeout, s.SuspectFor, s.TellEvery, s.SyncEvery, s.RumourLife = g.ProbeEvery, g.ProbeTimeout, g.SuspectFor, g.TellEvery, g.SyncEvery, g.RumourLife
	l := &liar{harness: r, variant: how, name: name, key: ring.Certificate.KeyID(), rng: rand.New(rand.NewPCG(r.Seed, 0x11a4+uint64(p.index))), lastNumber: 1 << 20,
		clock: exchange.StartClock()}
	if l.carrier, err = carrier.New(s, name, ring, l.clock, noGateway{}, func(uint32) string { return "" }); err != nil {
		r.checker.event("liar %d: %v", p.index, err)
		return
	}
	ctx, stop := context.WithCancel(context.Background())
	l.cancel = stop
	l.running.Go(func() { l.carrier.Run(ctx) })
	l.running.Go(func() { l.run(ctx, s.TellEvery) })
	r.mu.Lock()
	r.liars[p.index] = l
	r.mu.Unlock()
}

func (l *liar) stop() {
	l.cancel()
	l.running.Wait()
}

func (l *liar) run(ctx context.Context, every time.Duration) {
	tick := time.NewTicker(every)
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
				l.sendLies(peers)
			}
		}
	}
}

func (l *liar) newRumour(num int, what gossip.Symptom, ahead time.Duration) gossip.RelayedRumour {
	l.lastNumber++
	return gossip.RelayedRumour{Rumour: gossip.Rumour{Observer: l.name, Key: l.key, Run: l.carrier.RunID(), Server: xxhash.Sum64String(fmt.Sprintf("s-%08x", num)),
		Symptom: what, Strength: 255, Number: l.lastNumber, Made: l.clock.Now() + ahead}}
}

// speak sends one datagram of lies to somebody. What it would have to sign for others it cannot say.
func (l *liar) sendLies(peers []gossip.Peer) {
	to := peers[l.rng.IntN(len(peers))]
	m := &gossip.Message{Kind: gossip.Tell, Clock: l.clock.Now()}
	servers := l.harness.fleet.servers
	for range 7 {
		l.counter++
		num := servers[l.counter%len(servers)].num
		switch l.variant {
		case "primaries":
			g := l.harness.fleet.groups[l.counter%len(l.harness.fleet.groups)]
			m.Rumours = append(m.Rumours, l.newRumour(g.members[0].num, gossip.Unreachable, 0))
		case "accuse":
			p := peers[l.rng.IntN(len(peers))]
			m.Claims = append(m.Claims, gossip.Claim{Kind: gossip.Accused, Name: p.Name, Incarnation: 1 << 20, By: l.name, Key: l.key, Run: l.carrier.RunID(),
				Clock: l.clock.Now()})
		case "future":
			m.Rumours = append(m.Rumours, l.newRumour(num, gossip.Silent, time.Duration(l.rng.IntN(3600))*time.Second))
		case "contradict":
			what := gossip.Silent
			if l.counter/7%2 == 0 {
				what = gossip.Well
			}
			m.Rumours = append(m.Rumours, l.newRumour(num, what, 0))
		case "praise":
			m.Rumours = append(m.Rumours, l.newRumour(num, gossip.Well, 0))
		default: // all, and those lies that need others' signatures
			m.Rumours = append(m.Rumours, l.newRumour(num, gossip.Silent, 0))
		}
	}
	l.carrier.Datagram(to.Addr, to.Key, m)
}
