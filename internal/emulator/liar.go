package emulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"gorsewell/internal/gossip"
)

// liar is an instance that lies in the gossip while it serves its clients as ever. It holds one key: it can say what it
// likes in its own name, pass on or hold back what others have signed, and give what it passes on any age. It cannot sign
// for others.
type liar struct {
	instance    *instance
	variant     string
	rng         *rand.Rand
	lastNumber  uint32
	turn        int
	keptRumours []gossip.RelayedRumour // of others, to be said again later
	keptAt      []time.Duration
	stopped     bool
}

// Lies are the ways in which a liar lies.
var Lies = []string{"primaries", "all", "accuse", "replay", "future", "contradict", "praise", "names"}

// lie makes liars of some instances until the returned function is called.
func (gs *gossipNetwork) startLiars(f *Fault, gateways []*gateway) (end func()) {
	var liars []*liar
	for i, g := range gateways {
		how := f.How
		if how == "" || how == "mixed" {
			how = Lies[i%len(Lies)]
		}
		l := &liar{instance: gs.instances[g.index], variant: how, rng: rand.New(rand.NewPCG(gs.sim.seed, 0x11a4+uint64(g.index))), lastNumber: 1 << 20}
		l.instance.liar = l
		liars = append(liars, l)
		l.lieRepeatedly()
	}
	return func() {
		for _, l := range liars {
			l.stopped = true
			l.instance.liar = nil
		}
	}
}

// next lies now and again after a while.
func (l *liar) lieRepeatedly() {
	if l.stopped {
		return
	}
	if !l.instance.gateway.down && l.instance.gateway.generation == l.instance.generation {
		for range 5 {
			l.sendLies()
		}
	} else if n := l.instance.network.instances[l.instance.gateway.index]; n != nil && n != l.instance { // it lies on after a restart
		l.instance = n
		n.liar = l
	}
	l.instance.network.sim.after(l.instance.network.sim.world.Gossip.TellEvery, l.lieRepeatedly)
}

// hears keeps what others have signed.
func (l *liar) keepRumours(m *gossip.Message) {
	for _, t := range m.Rumours {
		if t.Observer != l.instance.name && t.Symptom != gossip.Well {
			l.keptRumours, l.keptAt = append(l.keptRumours, t), append(l.keptAt, l.instance.network.sim.now)
		}
	}
	if over := len(l.keptRumours) - 500; over > 0 {
		l.keptRumours, l.keptAt = l.keptRumours[over:], l.keptAt[over:]
	}
}

// rumour is one in its own name.
func (l *liar) ownRumour(server uint32, what gossip.Symptom) gossip.RelayedRumour {
	l.lastNumber++
	return gossip.RelayedRumour{Rumour: gossip.Rumour{Observer: l.instance.name, Key: l.instance.key, Run: l.instance.runID, Server: uint64(server), Symptom: what,
		Strength: 255, Number: l.lastNumber, Made: l.instance.localTime()}}
}

// speak sends one datagram of lies to somebody.
func (l *liar) sendLies() {
	r := l.instance.network.sim
	to := l.rng.IntN(len(r.gateways))
	if to == l.instance.gateway.index {
		return
	}
	m := &gossip.Message{Kind: gossip.Tell, Clock: l.instance.localTime()}
	for range 7 {
		l.turn++
		s := r.servers[l.turn%len(r.servers)]
		switch l.variant {
		case "primaries":
			g := r.groups[l.turn%len(r.groups)]
			if g.primary != nil {
				m.Rumours = append(m.Rumours, l.ownRumour(g.primary.id, gossip.Unreachable))
			}
		case "all":
			m.Rumours = append(m.Rumours, l.ownRumour(s.id, gossip.Silent))
		case "accuse":
			i := l.rng.IntN(len(r.gateways))
			if n := l.instance.network.instances[i]; n != nil && n != l.instance {
				m.Claims = append(m.Claims, gossip.Claim{Kind: gossip.Accused, Name: n.name, Incarnation: n.Incarnation(), By: l.instance.name, Key: l.instance.key,
					Run: l.instance.runID, Clock: l.instance.localTime()})
			}
		case "replay": // what was true some time ago, as if it were new
			i := slices.IndexFunc(l.keptAt, func(at time.Duration) bool { return r.now-at > 10*time.Second })
			if i >= 0 {
				t := l.keptRumours[l.rng.IntN(i+1)]
				t.Age = 0
				m.Rumours = append(m.Rumours, t)
			}
		case "future":
			t := l.ownRumour(s.id, gossip.Silent)
			t.Made += time.Duration(l.rng.IntN(3600)) * time.Second
			t.Age = -time.Hour
			m.Rumours = append(m.Rumours, t)
		case "contradict":
			what := gossip.Silent
			if l.turn/7%2 == 0 {
				what = gossip.Well
			}
			m.Rumours = append(m.Rumours, l.ownRumour(s.id, what))
		case "praise": // withdraws on every server, and vouches for others with old words of theirs
			m.Rumours = append(m.Rumours, l.ownRumour(s.id, gossip.Well))
		case "names": // its one key under many names, each with rumours of its own
			name := fmt.Sprintf("x%04d", l.turn%64)
			m.Claims = append(m.Claims, gossip.Claim{Kind: gossip.Alive, Name: name, By: name, Incarnation: uint32(l.turn), Key: l.instance.key, Run: l.instance.runID,
				Addr: address(l.instance.gateway.index), Clock: l.instance.localTime()})
			t := l.ownRumour(s.id, gossip.Silent)
			t.Observer = name
			m.Rumours = append(m.Rumours, t)
		}
		if m.Bytes() > int(r.world.Gossip.Datagram) {
			break
		}
	}
	l.instance.transmit(address(to), m)
}
