package emulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"gorsewell/choice"
)

// Fault is one thing that goes wrong, for a time.
type Fault struct {
	Kind  string        `yaml:"kind"`
	At    time.Duration `yaml:"at"`    // after the first op
	For   time.Duration `yaml:"for"`   // 0: to the end
	Share float64       `yaml:"share"` // of what it can strike; at least one
	Count int           `yaml:"count"` // of what it can strike, where share says nothing
	Of    string        `yaml:"of"`    // all, primaries or replicas
	Zone  int           `yaml:"zone"`  // only there, counted from 1; 0: anywhere
	Group int           `yaml:"group"` // only there, counted from 1; 0: anywhere
	Size  float64       `yaml:"size"`  // how much; what that means depends on the kind
	Back  time.Duration `yaml:"back"`  // until what was struck is there again, for kinds that say so
	Every time.Duration `yaml:"every"` // strikes again and again, others each time; 0: once
	How   string        `yaml:"how"`   // a variant, for kinds that have some

	order int
	rng   *rand.Rand
	kind  *faultKind
}

// kind is what a fault does.
type faultKind struct {
	doc         string
	defaultSize float64 // where the file says nothing
	target      targetKind
	begin       func(f *Fault, sim *simulation, servers []*server, gateways []*gateway) (end func())
}

// strikes is what a fault is aimed at.
type targetKind uint8

const (
	targetNone targetKind = iota
	targetServers
	targetGateways
	targetBoth
)

var faultKinds = map[string]*faultKind{}

func init() {
	each := func(do func(f *Fault, s *server) func()) func(*Fault, *simulation, []*server, []*gateway) func() {
		return func(f *Fault, _ *simulation, servers []*server, _ []*gateway) func() {
			var ends []func()
			for _, s := range servers {
				ends = append(ends, do(f, s))
			}
			return func() {
				for _, end := range ends {
					end()
				}
			}
		}
	}
	faultKinds["crash"] = &faultKind{doc: "processes end; they start again, cold, at the fault's end", target: targetServers,
		begin: each(func(f *Fault, s *server) func() { s.crash(serverCrashed); return s.start })}
	faultKinds["vanish"] = &faultKind{doc: "machines fall silent; they are back, cold, at the fault's end", target: targetServers,
		begin: each(func(f *Fault, s *server) func() { s.crash(serverVanished); return s.start })}
	faultKinds["hang"] = &faultKind{doc: "servers take ops and answer none until the fault's end", target: targetServers,
		begin: each(func(f *Fault, s *server) func() { s.setHung(true); return func() { s.setHung(false) } })}
	faultKinds["slow"] = &faultKind{doc: "all work takes size times as long", defaultSize: 5, target: targetServers,
		begin: each(func(f *Fault, s *server) func() { s.slowdown *= f.Size; return func() { s.slowdown /= f.Size } })}
	faultKinds["error"] = &faultKind{doc: "a share of ops, size, ends with an error", defaultSize: 0.6, target: targetServers,
		begin: each(func(f *Fault, s *server) func() { s.errorShare = f.Size; return func() { s.errorShare = 0 } })}
	faultKinds["refuse"] = &faultKind{doc: "servers turn all ops away as if they were full", target: targetServers,
		begin: each(func(f *Fault, s *server) func() { s.refusing = true; return func() { s.refusing = false } })}
	faultKinds["slow_apply"] = &faultKind{doc: "replicas apply the log size times as slowly", defaultSize: 8, target: targetServers,
		begin: each(func(f *Fault, s *server) func() {
			s.applySlowdown *= f.Size
			return func() { s.applySlowdown /= f.Size }
		})}
	faultKinds["lying_position"] = &faultKind{doc: "servers tell a position that is size seconds too far ahead; reads from them may be stale", defaultSize: 1,
		target: targetServers, begin: each(func(f *Fault, s *server) func() {
			s.positionLead = time.Duration(f.Size * float64(time.Second))
			return func() { s.positionLead = 0 }
		})}
	faultKinds["probe_fail"] = &faultKind{doc: "a share of probes, size, fails while ops are served", defaultSize: 1, target: targetServers,
		begin: each(func(f *Fault, s *server) func() { s.probeErrorShare = f.Size; return func() { s.probeErrorShare = 0 } })}
	faultKinds["squeeze"] = &faultKind{doc: "servers take size connections for each gateway over all servers, and close idle ones", defaultSize: 3, target: targetServers,
		begin: func(f *Fault, sim *simulation, servers []*server, _ []*gateway) func() {
			for _, s := range servers {
				s.connectionLimit = max(1, int(f.Size*float64(len(sim.gateways))/float64(len(sim.servers)))) + s.cores
				sim.closeIdleConnections(s)
			}
			return func() {
				for _, s := range servers {
					s.connectionLimit = 0
				}
			}
		}}
	faultKinds["neighbour"] = &faultKind{doc: "another program takes a share of the machine, size, on and off", defaultSize: 0.5, target: targetServers, begin: slowByNeighbour}
	faultKinds["drain"] = &faultKind{doc: "servers drain and end; successors under new ids start cold after back", target: targetServers, begin: replaceServers}
	faultKinds["deploy"] = &faultKind{doc: "a rolling deploy over the fault's time: servers drain one after another, a share of size at a time", defaultSize: 0.1,
		target: targetServers, begin: replaceServers}
	faultKinds["mass_restart"] = &faultKind{doc: "servers end at once and are back, cold, after back", target: targetServers,
		begin: func(f *Fault, sim *simulation, servers []*server, _ []*gateway) func() {
			for _, s := range servers {
				s.crash(serverCrashed)
				sim.after(max(f.Back, time.Second)+time.Duration(f.rng.Int64N(int64(500*time.Millisecond))), s.start)
			}
			return func() {}
		}}
	faultKinds["burst"] = &faultKind{doc: "ops come in at size times the rate", defaultSize: 1.8, target: targetNone,
		begin: func(f *Fault, sim *simulation, _ []*server, _ []*gateway) func() {
			sim.clients.bursts = append(sim.clients.bursts, f)
			return func() {
				sim.clients.bursts = slices.DeleteFunc(sim.clients.bursts, func(b *Fault) bool { return b == f })
			}
		}}
	faultKinds["list_down"] = &faultKind{doc: "the list answers nobody and ends all watches", target: targetNone,
		begin: func(f *Fault, sim *simulation, _ []*server, _ []*gateway) func() {
			sim.discovery.setDown(true)
			return func() { sim.discovery.setDown(false) }
		}}
	faultKinds["list_silent"] = &faultKind{doc: "watches that are open hear nothing more; each instance gives its own up after a while", target: targetNone,
		begin: func(f *Fault, sim *simulation, _ []*server, _ []*gateway) func() {
			sim.discovery.silenceWatches()
			return func() {}
		}}
	faultKinds["list_frozen"] = &faultKind{doc: "the list goes on telling what it knew", target: targetNone,
		begin: func(f *Fault, sim *simulation, _ []*server, _ []*gateway) func() {
			sim.discovery.frozen = true
			return func() {
				sim.discovery.frozen = false
				for _, s := range sim.servers {
					sim.discovery.update(s)
				}
			}
		}}
	faultKinds["list_wrong"] = &faultKind{doc: "the list calls servers gone that run", target: targetServers,
		begin: func(f *Fault, sim *simulation, servers []*server, _ []*gateway) func() {
			tell := func() {
				for _, s := range servers {
					if e := sim.discovery.entries[s]; e != nil {
						sim.discovery.push([]*listEntry{e})
					}
				}
			}
			for _, s := range servers {
				sim.discovery.falseStates[s] = choice.Gone
			}
			tell()
			return func() {
				for _, s := range servers {
					delete(sim.discovery.falseStates, s)
				}
				tell()
			}
		}}
	faultKinds["gateway_crash"] = &faultKind{doc: "instances end at once and are back after back, with nothing but their list", target: targetGateways,
		begin: func(f *Fault, sim *simulation, _ []*server, gateways []*gateway) func() {
			for _, g := range gateways {
				g.crash()
				sim.after(max(f.Back, 100*time.Millisecond), func() {
					if g.down {
						g.start()
					}
				})
			}
			return func() {}
		}}
	faultKinds["gateway_pause"] = &faultKind{doc: "instances stand still for back", target: targetGateways,
		begin: func(f *Fault, sim *simulation, _ []*server, gateways []*gateway) func() {
			for _, g := range gateways {
				if !g.down {
					g.pause(max(f.Back, 100*time.Millisecond))
				}
			}
			return func() {}
		}}
	faultKinds["gateway_roll"] = &faultKind{doc: "instances end one after another over the fault's time and are back after back", target: targetGateways,
		begin: func(f *Fault, sim *simulation, _ []*server, gateways []*gateway) func() {
			for i, g := range gateways {
				sim.after(time.Duration(int64(f.For)*int64(i)/int64(len(gateways))), func() {
					g.crash()
					sim.after(max(f.Back, 100*time.Millisecond), func() {
						if g.down {
							g.start()
						}
					})
				})
			}
			return func() {}
		}}
	faultKinds["one_sided"] = &faultKind{doc: "a share of the instances, size, cannot reach the servers struck", defaultSize: 0.5, target: targetServers,
		begin: func(f *Fault, sim *simulation, servers []*server, _ []*gateway) func() {
			c := &networkCut{gateways: map[int]bool{}, servers: map[int]bool{}, toServer: f.How != "answers", toInstance: f.How != "sends"}
			for _, i := range f.rng.Perm(len(sim.gateways))[:max(1, int(f.Size*float64(len(sim.gateways))))] {
				c.gateways[i] = true
			}
			for _, s := range servers {
				c.servers[int(s.id)] = true
			}
			return sim.addCut(c)
		}}
	faultKinds["partition"] = &faultKind{doc: "a share of the instances, size, and the others do not hear each other; how: one_way, then only the others do not hear it",
		defaultSize: 0.5, target: targetNone, begin: func(f *Fault, sim *simulation, _ []*server, _ []*gateway) func() {
			in, out := map[int]bool{}, map[int]bool{}
			for i, g := range f.rng.Perm(len(sim.gateways)) {
				if i < int(f.Size*float64(len(sim.gateways))) {
					in[g] = true
				} else {
					out[g] = true
				}
			}
			end := sim.addCut(&networkCut{betweenGateways: true, fromGateways: in, toGateways: out})
			back := func() {}
			if f.How != "one_way" {
				back = sim.addCut(&networkCut{betweenGateways: true, fromGateways: out, toGateways: in})
			}
			return func() { end(); back() }
		}}
	faultKinds["network"] = &faultKind{doc: "a share of datagrams, size, is lost; as many come twice and as many late", defaultSize: 0.1, target: targetNone,
		begin: func(f *Fault, sim *simulation, _ []*server, _ []*gateway) func() {
			n := &sim.world.Network
			old := *n
			n.Loss, n.Twice, n.Reorder = f.Size, f.Size, f.Size
			return func() { n.Loss, n.Twice, n.Reorder = old.Loss, old.Twice, old.Reorder }
		}}
	faultKinds["liar"] = &faultKind{doc: "instances lie in the gossip; how: primaries, all, accuse, replay, future, contradict, praise or mixed", target: targetGateways,
		begin: func(f *Fault, sim *simulation, _ []*server, gateways []*gateway) func() {
			if sim.gossipNet == nil {
				return func() {}
			}
			return sim.gossipNet.startLiars(f, gateways)
		}}
}

// FaultKinds lists the kinds by name, with what each does.
func FaultKinds() (names []string, docs map[string]string) {
	docs = map[string]string{}
	for name, k := range faultKinds {
		names = append(names, name)
		docs[name] = k.doc
	}
	slices.Sort(names)
	return names, docs
}

// cut cuts a way until the returned function is called.
func (sim *simulation) addCut(c *networkCut) func() {
	sim.cuts = append(sim.cuts, c)
	return func() {
		sim.cuts = slices.DeleteFunc(sim.cuts, func(x *networkCut) bool { return x == c })
	}
}

// closeIdle closes all connections to a server that are not in use.
func (sim *simulation) closeIdleConnections(s *server) {
	for _, g := range sim.gateways {
		if int(s.id) <= len(g.pools) && g.pools[s.id-1] != nil && g.pools[s.id-1].generation == s.generation {
			l := g.pools[s.id-1]
			s.openConnections -= len(l.idleSince)
			l.idleSince = nil
		}
	}
}

// neighbour slows machines down, on and off.
func slowByNeighbour(f *Fault, sim *simulation, servers []*server, _ []*gateway) func() {
	over := false
	factor := 1 / (1 - min(0.95, f.Size))
	for _, s := range servers {
		on := false
		var turn func()
		turn = func() {
			if on {
				s.slowdown /= factor
			}
			if on = !on && !over; on {
				s.slowdown *= factor
			}
			if !over {
				sim.after(time.Duration((0.5+f.rng.Float64())*float64(2*time.Second)), turn)
			}
		}
		turn()
	}
	return func() { over = true }
}

// roll replaces servers, so many at a time, over the fault's time.
func replaceServers(f *Fault, sim *simulation, servers []*server, _ []*gateway) func() {
	atOnce := len(servers)
	if f.Kind == "deploy" {
		atOnce = max(1, int(f.Size*float64(len(servers))))
	}
	steps := (len(servers) + atOnce - 1) / atOnce
	for i, s := range servers {
		after := time.Duration(0)
		if f.For > 0 && steps > 1 {
			after = f.For / time.Duration(steps) * time.Duration(i/atOnce)
		}
		sim.after(after, func() {
			if !s.isUp() || s.draining {
				return
			}
			s.drain()
			sim.after(max(f.Back, 500*time.Millisecond), func() { s.group.replace(s) })
		})
	}
	return func() {}
}

// ready checks a fault and gives it its own chance.
func (f *Fault) prepare(sim *simulation, order int) error {
	f.kind = faultKinds[f.Kind]
	if f.kind == nil {
		return fmt.Errorf("faults[%d].kind: %q is no fault", order, f.Kind)
	}
	if f.Size == 0 {
		f.Size = f.kind.defaultSize
	}
	f.order = order
	f.rng = rand.New(rand.NewPCG(sim.seed, 0xfa01+uint64(order)))
	return nil
}

// plan lets the fault strike at its time, counted from the first op.
func (f *Fault) schedule(sim *simulation, start time.Duration) {
	var strike func()
	strike = func() {
		servers, gateways := f.pickTargets(sim)
		sim.recordEvent("%s begins%s", f.Kind, targetNames(servers, gateways))
		end := f.kind.begin(f, sim, servers, gateways)
		if f.For > 0 {
			sim.after(f.For, func() {
				end()
				sim.recordEvent("%s ends", f.Kind)
			})
		}
		if f.Every > 0 {
			sim.after(f.Every, func() {
				if sim.now < start+sim.world.Length {
					strike()
				}
			})
		}
	}
	sim.at(start+f.At, strike)
}

func targetNames(servers []*server, gateways []*gateway) (s string) {
	const most = 8
	for i, x := range servers {
		if i == most {
			return fmt.Sprintf("%s and %d more", s, len(servers)-most)
		}
		s += fmt.Sprintf(" server %d", x.id)
	}
	for i, x := range gateways {
		if i == most {
			return fmt.Sprintf("%s and %d more", s, len(gateways)-most)
		}
		s += fmt.Sprintf(" gateway %d", x.index)
	}
	return s
}

// targets draws what is struck.
func (f *Fault) pickTargets(sim *simulation) (servers []*server, gateways []*gateway) {
	amount := func(of int) int {
		n := f.Count
		if f.Share > 0 {
			n = int(f.Share*float64(of) + 0.5)
		}
		return min(of, max(1, n))
	}
	if f.kind.target == targetServers || f.kind.target == targetBoth {
		var fit []*server
		for _, s := range sim.servers {
			if !s.isUp() || s.draining || f.Zone > 0 && s.zone != f.Zone-1 || f.Group > 0 && s.group.index != f.Group-1 ||
				f.Of == "primaries" && !s.isPrimary() || f.Of == "replicas" && s.isPrimary() {
				continue
			}
			fit = append(fit, s)
		}
		if len(fit) > 0 {
			for _, i := range f.rng.Perm(len(fit))[:amount(len(fit))] {
				servers = append(servers, fit[i])
			}
		}
	}
	if f.kind.target == targetGateways || f.kind.target == targetBoth {
		for _, i := range f.rng.Perm(len(sim.gateways))[:amount(len(sim.gateways))] {
			gateways = append(gateways, sim.gateways[i])
		}
	}
	return servers, gateways
}
