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
	r       *rig
	c       *carrier.Carrier
	clock   exchange.Clock
	how     string
	name    string
	key     gossip.KeyID
	rng     *rand.Rand
	number  uint32
	turn    int
	stop    context.CancelFunc
	running sync.WaitGroup
}

// nobody is the gateway of a liar: it does not listen.
type nobody struct{}

func (nobody) Rumour(uint32, float64) {}

// lie makes a liar of an instance for the rest of the day.
func (r *rig) lie(p *process, how string) {
	name := fmt.Sprintf("g%04d", p.index)
	base := filepath.Join(r.dir, name)
	ring, err := keys.LoadKeyring(base+".crt", base+".key", []string{filepath.Join(r.dir, "day.authority")}, time.Now())
	if err != nil {
		r.check.event("liar %d: %v", p.index, err)
		return
	}
	s := config.Default().Gossip
	g := &r.World.Gossip
	s.Cluster, s.Listen, s.Seeds = "day", p.gossip, []string{r.gateways[0].gossip, r.gateways[1].gossip, r.gateways[2].gossip}
	s.ProbeEvery, s.ProbeTimeout, s.SuspectFor, s.TellEvery, s.SyncEvery, s.RumourLife = g.ProbeEvery, g.ProbeTimeout, g.SuspectFor, g.TellEvery, g.SyncEvery, g.RumourLife
	l := &liar{r: r, how: how, name: name, key: ring.Certificate.KeyID(), rng: rand.New(rand.NewPCG(r.Seed, 0x11a4+uint64(p.index))), number: 1 << 20,
		clock: exchange.StartClock()}
	if l.c, err = carrier.New(s, name, ring, l.clock, nobody{}, func(uint32) string { return "" }); err != nil {
		r.check.event("liar %d: %v", p.index, err)
		return
	}
	ctx, stop := context.WithCancel(context.Background())
	l.stop = stop
	l.running.Go(func() { l.c.Run(ctx) })
	l.running.Go(func() { l.lies(ctx, s.TellEvery) })
	r.mu.Lock()
	r.liars[p.index] = l
	r.mu.Unlock()
}

func (l *liar) end() {
	l.stop()
	l.running.Wait()
}

func (l *liar) lies(ctx context.Context, every time.Duration) {
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		peers := l.c.Peers()
		for range 5 {
			if len(peers) > 0 {
				l.speak(peers)
			}
		}
	}
}

func (l *liar) rumour(num int, what gossip.Symptom, ahead time.Duration) gossip.RelayedRumour {
	l.number++
	return gossip.RelayedRumour{Rumour: gossip.Rumour{Observer: l.name, Key: l.key, Run: l.c.RunID(), Server: xxhash.Sum64String(fmt.Sprintf("s-%08x", num)),
		Symptom: what, Strength: 255, Number: l.number, Made: l.clock.Now() + ahead}}
}

// speak sends one datagram of lies to somebody. What it would have to sign for others it cannot say.
func (l *liar) speak(peers []gossip.Peer) {
	to := peers[l.rng.IntN(len(peers))]
	m := &gossip.Message{Kind: gossip.Tell, Clock: l.clock.Now()}
	servers := l.r.fleet.servers
	for range 7 {
		l.turn++
		num := servers[l.turn%len(servers)].num
		switch l.how {
		case "primaries":
			g := l.r.fleet.groups[l.turn%len(l.r.fleet.groups)]
			m.Rumours = append(m.Rumours, l.rumour(g.members[0].num, gossip.Unreachable, 0))
		case "accuse":
			p := peers[l.rng.IntN(len(peers))]
			m.Claims = append(m.Claims, gossip.Claim{Kind: gossip.Accused, Name: p.Name, Incarnation: 1 << 20, By: l.name, Key: l.key, Run: l.c.RunID(),
				Clock: l.clock.Now()})
		case "future":
			m.Rumours = append(m.Rumours, l.rumour(num, gossip.Silent, time.Duration(l.rng.IntN(3600))*time.Second))
		case "contradict":
			what := gossip.Silent
			if l.turn/7%2 == 0 {
				what = gossip.Well
			}
			m.Rumours = append(m.Rumours, l.rumour(num, what, 0))
		case "praise":
			m.Rumours = append(m.Rumours, l.rumour(num, gossip.Well, 0))
		default: // all, and those lies that need others' signatures
			m.Rumours = append(m.Rumours, l.rumour(num, gossip.Silent, 0))
		}
	}
	l.c.Datagram(to.Addr, to.Key, m)
}
