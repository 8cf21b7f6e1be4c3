package emulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"gorsewell/internal/gossip"
)

// liar is an instance that sends false gossip while it serves its clients as usual. It holds one key: it can claim
// anything in its own name, relay or withhold what others have signed, and state any age for what it relays, but it
// cannot sign for others.
type liar struct {
	instance    *instance
	variant     string // one of LiarVariants
	rng         *rand.Rand
	lastNumber  uint32                 // number of the last rumour in its own name
	turn        int                    // selects in rotation the servers, groups and names that the false gossip is about
	keptRumours []gossip.RelayedRumour // rumours of others, to be replayed later
	keptAt      []time.Duration        // when each of keptRumours was received
	stopped     bool                   // the fault has ended
}

// LiarVariants lists the variants of the fault liar, which sendFalseGossip describes. With how empty or mixed the liars
// take them in turn.
var LiarVariants = []string{"primaries", "all", "accuse", "replay", "future", "contradict", "praise", "names"}

// startLiars makes the instances of some gateways liars until the returned function is called.
func (net *gossipNetwork) startLiars(f *Fault, gateways []*gateway) (end func()) {
	var liars []*liar
	for i, g := range gateways {
		variant := f.How
		if variant == "" || variant == "mixed" {
			variant = LiarVariants[i%len(LiarVariants)]
		}
		l := &liar{instance: net.instances[g.index], variant: variant,
			rng: rand.New(rand.NewPCG(net.sim.seed, 0x11a4+uint64(g.index))), lastNumber: 1 << 20}
		l.instance.liar = l
		liars = append(liars, l)
		l.sendRepeatedly()
	}
	return func() {
		for _, l := range liars {
			l.stopped = true
			l.instance.liar = nil
		}
	}
}

// sendRepeatedly sends five datagrams of false gossip every Gossip.TellEvery until the fault ends.
func (l *liar) sendRepeatedly() {
	if l.stopped {
		return
	}
	if !l.instance.gateway.down && l.instance.gateway.generation == l.instance.generation {
		for range 5 {
			l.sendFalseGossip()
		}
	} else if n := l.instance.network.instances[l.instance.gateway.index]; n != nil && n != l.instance {
		// The gateway has restarted: its new instance goes on as the liar.
		l.instance = n
		n.liar = l
	}
	l.instance.network.sim.after(l.instance.network.sim.world.Gossip.TellEvery, l.sendRepeatedly)
}

// keepRumours adds the rumours of a message that others have signed, except withdrawals, to keptRumours, which holds
// the newest 500.
func (l *liar) keepRumours(m *gossip.Message) {
	for _, rumour := range m.Rumours {
		if rumour.Observer != l.instance.name && rumour.Symptom != gossip.Well {
			l.keptRumours, l.keptAt = append(l.keptRumours, rumour), append(l.keptAt, l.instance.network.sim.now)
		}
	}
	if excess := len(l.keptRumours) - 500; excess > 0 {
		l.keptRumours, l.keptAt = l.keptRumours[excess:], l.keptAt[excess:]
	}
}

// ownRumour returns a new rumour in the liar's own name.
func (l *liar) ownRumour(server uint32, symptom gossip.Symptom) gossip.RelayedRumour {
	l.lastNumber++
	return gossip.RelayedRumour{Rumour: gossip.Rumour{Observer: l.instance.name, Key: l.instance.key,
		Run: l.instance.runID, Server: uint64(server), Symptom: symptom, Strength: 255,
		Number: l.lastNumber, Made: l.instance.localTime()}}
}

// sendFalseGossip sends one datagram with up to seven falsehoods to a random instance, or none if it draws its own.
func (l *liar) sendFalseGossip() {
	sim := l.instance.network.sim
	to := l.rng.IntN(len(sim.gateways))
	if to == l.instance.gateway.index {
		return
	}
	m := &gossip.Message{Kind: gossip.Tell, Clock: l.instance.localTime()}
	for range 7 {
		l.turn++
		s := sim.servers[l.turn%len(sim.servers)]
		switch l.variant {
		case "primaries": // the primaries are unreachable
			group := sim.groups[l.turn%len(sim.groups)]
			if group.primary != nil {
				m.Rumours = append(m.Rumours, l.ownRumour(group.primary.id, gossip.Unreachable))
			}
		case "all": // all servers are silent
			m.Rumours = append(m.Rumours, l.ownRumour(s.id, gossip.Silent))
		case "accuse": // accusations of random other instances
			i := l.rng.IntN(len(sim.gateways))
			if accused := l.instance.network.instances[i]; accused != nil && accused != l.instance {
				m.Claims = append(m.Claims, gossip.Claim{Kind: gossip.Accused, Name: accused.name,
					Incarnation: accused.Incarnation(), By: l.instance.name, Key: l.instance.key,
					Run: l.instance.runID, Clock: l.instance.localTime()})
			}
		case "replay": // rumours of others, more than ten seconds old, as if they were new
			i := slices.IndexFunc(l.keptAt, func(at time.Duration) bool { return sim.now-at > 10*time.Second })
			if i >= 0 {
				rumour := l.keptRumours[l.rng.IntN(i+1)]
				rumour.Age = 0
				m.Rumours = append(m.Rumours, rumour)
			}
		case "future": // rumours from up to an hour ahead, with a negative age
			rumour := l.ownRumour(s.id, gossip.Silent)
			rumour.Made += time.Duration(l.rng.IntN(3600)) * time.Second
			rumour.Age = -time.Hour
			m.Rumours = append(m.Rumours, rumour)
		case "contradict": // rumours and their withdrawals in turn
			symptom := gossip.Silent
			if l.turn/7%2 == 0 {
				symptom = gossip.Well
			}
			m.Rumours = append(m.Rumours, l.ownRumour(s.id, symptom))
		case "praise": // withdrawals for all servers
			m.Rumours = append(m.Rumours, l.ownRumour(s.id, gossip.Well))
		case "names": // many names under its one key, each with a rumour
			name := fmt.Sprintf("x%04d", l.turn%64)
			m.Claims = append(m.Claims, gossip.Claim{Kind: gossip.Alive, Name: name, By: name, Incarnation: uint32(l.turn),
				Key: l.instance.key, Run: l.instance.runID, Addr: address(l.instance.gateway.index), Clock: l.instance.localTime()})
			rumour := l.ownRumour(s.id, gossip.Silent)
			rumour.Observer = name
			m.Rumours = append(m.Rumours, rumour)
		}
		if m.Bytes() > int(sim.world.Gossip.Datagram) {
			break
		}
	}
	l.instance.transmit(address(to), m)
}
