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
	n      *instance
	how    string
	rng    *rand.Rand
	number uint32
	turn   int
	kept   []gossip.RelayedRumour // of others, to be said again later
	keptAt []time.Duration
	over   bool
}

// Lies are the ways in which a liar lies.
var Lies = []string{"primaries", "all", "accuse", "replay", "future", "contradict", "praise", "names"}

// lie makes liars of some instances until the returned function is called.
func (gs *gossips) lie(f *Fault, gateways []*gateway) (end func()) {
	var liars []*liar
	for i, g := range gateways {
		how := f.How
		if how == "" || how == "mixed" {
			how = Lies[i%len(Lies)]
		}
		l := &liar{n: gs.nodes[g.index], how: how, rng: rand.New(rand.NewPCG(gs.r.seed, 0x11a4+uint64(g.index))), number: 1 << 20}
		l.n.liar = l
		liars = append(liars, l)
		l.next()
	}
	return func() {
		for _, l := range liars {
			l.over = true
			l.n.liar = nil
		}
	}
}

// next lies now and again after a while.
func (l *liar) next() {
	if l.over {
		return
	}
	if !l.n.g.down && l.n.g.life == l.n.life {
		for range 5 {
			l.speak()
		}
	} else if n := l.n.gs.nodes[l.n.g.index]; n != nil && n != l.n { // it lies on after a restart
		l.n = n
		n.liar = l
	}
	l.n.gs.r.after(l.n.gs.r.world.Gossip.TellEvery, l.next)
}

// hears keeps what others have signed.
func (l *liar) hears(m *gossip.Message) {
	for _, t := range m.Rumours {
		if t.Observer != l.n.name && t.Symptom != gossip.Well {
			l.kept, l.keptAt = append(l.kept, t), append(l.keptAt, l.n.gs.r.now)
		}
	}
	if over := len(l.kept) - 500; over > 0 {
		l.kept, l.keptAt = l.kept[over:], l.keptAt[over:]
	}
}

// rumour is one in its own name.
func (l *liar) rumour(server uint32, what gossip.Symptom) gossip.RelayedRumour {
	l.number++
	return gossip.RelayedRumour{Rumour: gossip.Rumour{Observer: l.n.name, Key: l.n.key, Run: l.n.run, Server: uint64(server), Symptom: what,
		Strength: 255, Number: l.number, Made: l.n.here()}}
}

// speak sends one datagram of lies to somebody.
func (l *liar) speak() {
	r := l.n.gs.r
	to := l.rng.IntN(len(r.gateways))
	if to == l.n.g.index {
		return
	}
	m := &gossip.Message{Kind: gossip.Tell, Clock: l.n.here()}
	for range 7 {
		l.turn++
		s := r.servers[l.turn%len(r.servers)]
		switch l.how {
		case "primaries":
			g := r.groups[l.turn%len(r.groups)]
			if g.primary != nil {
				m.Rumours = append(m.Rumours, l.rumour(g.primary.id, gossip.Unreachable))
			}
		case "all":
			m.Rumours = append(m.Rumours, l.rumour(s.id, gossip.Silent))
		case "accuse":
			i := l.rng.IntN(len(r.gateways))
			if n := l.n.gs.nodes[i]; n != nil && n != l.n {
				m.Claims = append(m.Claims, gossip.Claim{Kind: gossip.Accused, Name: n.name, Incarnation: n.Incarnation(), By: l.n.name, Key: l.n.key,
					Run: l.n.run, Clock: l.n.here()})
			}
		case "replay": // what was true some time ago, as if it were new
			i := slices.IndexFunc(l.keptAt, func(at time.Duration) bool { return r.now-at > 10*time.Second })
			if i >= 0 {
				t := l.kept[l.rng.IntN(i+1)]
				t.Age = 0
				m.Rumours = append(m.Rumours, t)
			}
		case "future":
			t := l.rumour(s.id, gossip.Silent)
			t.Made += time.Duration(l.rng.IntN(3600)) * time.Second
			t.Age = -time.Hour
			m.Rumours = append(m.Rumours, t)
		case "contradict":
			what := gossip.Silent
			if l.turn/7%2 == 0 {
				what = gossip.Well
			}
			m.Rumours = append(m.Rumours, l.rumour(s.id, what))
		case "praise": // withdraws on every server, and vouches for others with old words of theirs
			m.Rumours = append(m.Rumours, l.rumour(s.id, gossip.Well))
		case "names": // its one key under many names, each with rumours of its own
			name := fmt.Sprintf("x%04d", l.turn%64)
			m.Claims = append(m.Claims, gossip.Claim{Kind: gossip.Alive, Name: name, By: name, Incarnation: uint32(l.turn), Key: l.n.key, Run: l.n.run,
				Addr: address(l.n.g.index), Clock: l.n.here()})
			t := l.rumour(s.id, gossip.Silent)
			t.Observer = name
			m.Rumours = append(m.Rumours, t)
		}
		if m.Bytes() > int(r.world.Gossip.Datagram) {
			break
		}
	}
	l.n.carry(address(to), m)
}
