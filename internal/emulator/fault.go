package emulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"gorsewell/choice"
)

// Fault is one fault that is injected into a run, for a time.
type Fault struct {
	Kind  string        `yaml:"kind"`  // one of FaultKinds
	At    time.Duration `yaml:"at"`    // counted from the first op
	For   time.Duration `yaml:"for"`   // how long it lasts; 0: to the end
	Share float64       `yaml:"share"` // share of the possible targets that it strikes, rounded; at least one is struck
	Count int           `yaml:"count"` // number of targets that it strikes if Share is 0; at least one is struck
	Of    string        `yaml:"of"`    // which servers it may strike: all, primaries or replicas; empty: all
	Zone  int           `yaml:"zone"`  // it strikes only servers of this zone, counted from 1; 0: of any zone
	Group int           `yaml:"group"` // it strikes only servers of this group, counted from 1; 0: of any group
	Size  float64       `yaml:"size"`  // strength, whose meaning depends on the kind; 0: the default of the kind
	Back  time.Duration `yaml:"back"`  // time until the targets are back, for kinds whose description names it
	Every time.Duration `yaml:"every"` // period after which it strikes again, at targets drawn anew; 0: it strikes once
	How   string        `yaml:"how"`   // variant, for kinds that have variants

	order int        // index among the faults of the run
	rng   *rand.Rand // source of its own, so that other faults do not change what it draws
	kind  *faultKind
}

// faultKind describes a kind of fault and holds its code.
type faultKind struct {
	doc         string     // description; size, how and back stand for the fields of Fault
	defaultSize float64    // default of Fault.Size
	target      targetKind // what it strikes
	// begin starts the fault at its targets. The returned end stops it.
	begin func(f *Fault, sim *simulation, servers []*server, gateways []*gateway) (end func())
}

// targetKind is the kind of targets that a fault strikes.
type targetKind uint8

const (
	targetNone targetKind = iota
	targetServers
	targetGateways
	targetBoth
)

// faultKinds holds the kinds of faults by name.
var faultKinds = map[string]*faultKind{}

func init() {
	// forEachServer makes a begin function from one that strikes a single server and returns what undoes it.
	forEachServer := func(do func(f *Fault, s *server) func()) func(*Fault, *simulation, []*server, []*gateway) func() {
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
	faultKinds["crash"] = &faultKind{doc: "server processes end; they start again, cold, at the end of the fault",
		target: targetServers,
		begin:  forEachServer(func(f *Fault, s *server) func() { s.crash(serverCrashed); return s.start })}
	faultKinds["vanish"] = &faultKind{doc: "machines stop answering; they are back, cold, at the end of the fault",
		target: targetServers,
		begin:  forEachServer(func(f *Fault, s *server) func() { s.crash(serverVanished); return s.start })}
	faultKinds["hang"] = &faultKind{doc: "servers accept ops and answer none until the end of the fault",
		target: targetServers,
		begin:  forEachServer(func(f *Fault, s *server) func() { s.setHung(true); return func() { s.setHung(false) } })}
	faultKinds["slow"] = &faultKind{doc: "all work takes size times as long", defaultSize: 5, target: targetServers,
		begin: forEachServer(func(f *Fault, s *server) func() {
			s.slowdown *= f.Size
			return func() { s.slowdown /= f.Size }
		})}
	faultKinds["error"] = &faultKind{doc: "servers answer ops with an error, with probability size",
		defaultSize: 0.6, target: targetServers,
		begin: forEachServer(func(f *Fault, s *server) func() { s.errorShare = f.Size; return func() { s.errorShare = 0 } })}
	faultKinds["refuse"] = &faultKind{doc: "servers refuse all ops as if they were full", target: targetServers,
		begin: forEachServer(func(f *Fault, s *server) func() { s.refusing = true; return func() { s.refusing = false } })}
	faultKinds["slow_apply"] = &faultKind{doc: "replicas take size times as long to apply the log",
		defaultSize: 8, target: targetServers,
		begin: forEachServer(func(f *Fault, s *server) func() {
			s.applySlowdown *= f.Size
			return func() { s.applySlowdown /= f.Size }
		})}
	faultKinds["lying_position"] = &faultKind{
		doc:         "servers report a position that is size seconds ahead of the true one; reads from them may be stale",
		defaultSize: 1, target: targetServers,
		begin: forEachServer(func(f *Fault, s *server) func() {
			s.positionLead = time.Duration(f.Size * float64(time.Second))
			return func() { s.positionLead = 0 }
		})}
	faultKinds["probe_fail"] = &faultKind{doc: "probes fail, with probability size, while ops are served",
		defaultSize: 1, target: targetServers,
		begin: forEachServer(func(f *Fault, s *server) func() {
			s.probeErrorShare = f.Size
			return func() { s.probeErrorShare = 0 }
		})}
	faultKinds["squeeze"] = &faultKind{
		doc:         "servers accept only their part of size connections per gateway plus one per core, and close unused ones",
		defaultSize: 3, target: targetServers,
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
	faultKinds["neighbour"] = &faultKind{doc: "another program takes the share size of the machine, on and off",
		defaultSize: 0.5, target: targetServers, begin: slowByNeighbour}
	faultKinds["drain"] = &faultKind{
		doc:    "servers drain and end; replacements under new ids start, cold, after the time back",
		target: targetServers, begin: replaceServers}
	faultKinds["deploy"] = &faultKind{
		doc:         "a rolling deploy over the time of the fault: drains and replaces servers, the share size at a time",
		defaultSize: 0.1, target: targetServers, begin: replaceServers}
	faultKinds["mass_restart"] = &faultKind{doc: "servers end all at once and are back, cold, after the time back",
		target: targetServers,
		begin: func(f *Fault, sim *simulation, servers []*server, _ []*gateway) func() {
			for _, s := range servers {
				s.crash(serverCrashed)
				sim.after(max(f.Back, time.Second)+time.Duration(f.rng.Int64N(int64(500*time.Millisecond))), s.start)
			}
			return func() {}
		}}
	faultKinds["burst"] = &faultKind{doc: "ops come in at size times the usual rate",
		defaultSize: 1.8, target: targetNone,
		begin: func(f *Fault, sim *simulation, _ []*server, _ []*gateway) func() {
			sim.clients.bursts = append(sim.clients.bursts, f)
			return func() {
				sim.clients.bursts = slices.DeleteFunc(sim.clients.bursts, func(b *Fault) bool { return b == f })
			}
		}}
	faultKinds["list_down"] = &faultKind{doc: "discovery answers no request and ends all watches", target: targetNone,
		begin: func(f *Fault, sim *simulation, _ []*server, _ []*gateway) func() {
			sim.discovery.setDown(true)
			return func() { sim.discovery.setDown(false) }
		}}
	faultKinds["list_silent"] = &faultKind{
		doc:    "open watches receive nothing more; each instance gives up its own after a few seconds",
		target: targetNone,
		begin: func(f *Fault, sim *simulation, _ []*server, _ []*gateway) func() {
			sim.discovery.silenceWatches()
			return func() {}
		}}
	faultKinds["list_frozen"] = &faultKind{doc: "discovery does not update its list", target: targetNone,
		begin: func(f *Fault, sim *simulation, _ []*server, _ []*gateway) func() {
			sim.discovery.frozen = true
			return func() {
				sim.discovery.frozen = false
				for _, s := range sim.servers {
					sim.discovery.update(s)
				}
			}
		}}
	faultKinds["list_wrong"] = &faultKind{doc: "discovery lists running servers as gone", target: targetServers,
		begin: func(f *Fault, sim *simulation, servers []*server, _ []*gateway) func() {
			push := func() {
				for _, s := range servers {
					if e := sim.discovery.entries[s]; e != nil {
						sim.discovery.push([]*listEntry{e})
					}
				}
			}
			for _, s := range servers {
				sim.discovery.falseStates[s] = choice.Gone
			}
			push()
			return func() {
				for _, s := range servers {
					delete(sim.discovery.falseStates, s)
				}
				push()
			}
		}}
	faultKinds["gateway_crash"] = &faultKind{
		doc:    "instances crash and are back after the time back, with no state but the cached server list",
		target: targetGateways,
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
	faultKinds["gateway_pause"] = &faultKind{doc: "instances are suspended for the time back", target: targetGateways,
		begin: func(f *Fault, sim *simulation, _ []*server, gateways []*gateway) func() {
			for _, g := range gateways {
				if !g.down {
					g.pause(max(f.Back, 100*time.Millisecond))
				}
			}
			return func() {}
		}}
	faultKinds["gateway_roll"] = &faultKind{
		doc:    "instances crash one after another over the time of the fault, and each is back after the time back",
		target: targetGateways,
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
	faultKinds["one_sided"] = &faultKind{
		doc:         "the struck servers and the share size of the instances cannot reach each other; with how sends or answers only these are lost",
		defaultSize: 0.5, target: targetServers,
		begin: func(f *Fault, sim *simulation, servers []*server, _ []*gateway) func() {
			cut := &networkCut{gateways: map[int]bool{}, servers: map[int]bool{},
				toServer: f.How != "answers", toInstance: f.How != "sends"}
			for _, i := range f.rng.Perm(len(sim.gateways))[:max(1, int(f.Size*float64(len(sim.gateways))))] {
				cut.gateways[i] = true
			}
			for _, s := range servers {
				cut.servers[int(s.id)] = true
			}
			return sim.addCut(cut)
		}}
	faultKinds["partition"] = &faultKind{
		doc:         "the share size of the instances and the others cannot gossip with each other; with how one_way only what the former send is lost",
		defaultSize: 0.5, target: targetNone,
		begin: func(f *Fault, sim *simulation, _ []*server, _ []*gateway) func() {
			sideA, sideB := map[int]bool{}, map[int]bool{}
			for i, g := range f.rng.Perm(len(sim.gateways)) {
				if i < int(f.Size*float64(len(sim.gateways))) {
					sideA[g] = true
				} else {
					sideB[g] = true
				}
			}
			end := sim.addCut(&networkCut{betweenGateways: true, fromGateways: sideA, toGateways: sideB})
			endOther := func() {}
			if f.How != "one_way" {
				endOther = sim.addCut(&networkCut{betweenGateways: true, fromGateways: sideB, toGateways: sideA})
			}
			return func() { end(); endOther() }
		}}
	faultKinds["network"] = &faultKind{
		doc:         "the share size of all datagrams is lost; as many arrive twice and as many late",
		defaultSize: 0.1, target: targetNone,
		begin: func(f *Fault, sim *simulation, _ []*server, _ []*gateway) func() {
			network := &sim.world.Network
			before := *network
			network.Loss, network.Twice, network.Reorder = f.Size, f.Size, f.Size
			return func() { network.Loss, network.Twice, network.Reorder = before.Loss, before.Twice, before.Reorder }
		}}
	faultKinds["liar"] = &faultKind{
		doc:    "instances send false gossip; how: primaries, all, accuse, replay, future, contradict, praise, names, mixed",
		target: targetGateways,
		begin: func(f *Fault, sim *simulation, _ []*server, gateways []*gateway) func() {
			if sim.gossipNet == nil {
				return func() {}
			}
			return sim.gossipNet.startLiars(f, gateways)
		}}
}

// FaultKinds returns the names of the kinds of faults, sorted, and a description of each.
func FaultKinds() (names []string, descriptions map[string]string) {
	descriptions = map[string]string{}
	for name, k := range faultKinds {
		names = append(names, name)
		descriptions[name] = k.doc
	}
	slices.Sort(names)
	return names, descriptions
}

// addCut interrupts part of the network until the returned function is called.
func (sim *simulation) addCut(cut *networkCut) func() {
	sim.cuts = append(sim.cuts, cut)
	return func() {
		sim.cuts = slices.DeleteFunc(sim.cuts, func(x *networkCut) bool { return x == cut })
	}
}

// closeIdleConnections closes the unused connections of all gateways to a server.
func (sim *simulation) closeIdleConnections(s *server) {
	for _, g := range sim.gateways {
		if int(s.id) <= len(g.pools) && g.pools[s.id-1] != nil && g.pools[s.id-1].generation == s.generation {
			pool := g.pools[s.id-1]
			s.openConnections -= len(pool.idleSince)
			pool.idleSince = nil
		}
	}
}

// slowByNeighbour slows machines down, on and off for 1 to 3 seconds each, as another program on the machine would.
func slowByNeighbour(f *Fault, sim *simulation, servers []*server, _ []*gateway) func() {
	ended := false
	factor := 1 / (1 - min(0.95, f.Size))
	for _, s := range servers {
		slowed := false
		var toggle func()
		toggle = func() {
			if slowed {
				s.slowdown /= factor
			}
			if slowed = !slowed && !ended; slowed {
				s.slowdown *= factor
			}
			if !ended {
				sim.after(time.Duration((0.5+f.rng.Float64())*float64(2*time.Second)), toggle)
			}
		}
		toggle()
	}
	return func() { ended = true }
}

// replaceServers drains servers and replaces them. A deploy replaces the share Size of them at a time, spread over the
// fault's time; a drain replaces all at once.
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

// prepare checks the kind of a fault and gives the fault its defaults and its own source of random numbers.
func (f *Fault) prepare(sim *simulation, order int) error {
	f.kind = faultKinds[f.Kind]
	if f.kind == nil {
		return fmt.Errorf("faults[%d].kind: unknown kind of fault %q", order, f.Kind)
	}
	if f.Size == 0 {
		f.Size = f.kind.defaultSize
	}
	f.order = order
	f.rng = rand.New(rand.NewPCG(sim.seed, 0xfa01+uint64(order)))
	return nil
}

// schedule lets the fault strike at its time. start is the time of the first op, from which Fault.At counts.
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

// targetNames lists the targets of a fault, for an Event.
func targetNames(servers []*server, gateways []*gateway) (list string) {
	const maxNames = 8
	for i, target := range servers {
		if i == maxNames {
			return fmt.Sprintf("%s and %d more", list, len(servers)-maxNames)
		}
		list += fmt.Sprintf(" server %d", target.id)
	}
	for i, target := range gateways {
		if i == maxNames {
			return fmt.Sprintf("%s and %d more", list, len(gateways)-maxNames)
		}
		list += fmt.Sprintf(" gateway %d", target.index)
	}
	return list
}

// pickTargets draws the servers or gateways that the fault strikes.
func (f *Fault) pickTargets(sim *simulation) (servers []*server, gateways []*gateway) {
	amount := func(available int) int {
		count := f.Count
		if f.Share > 0 {
			count = int(f.Share*float64(available) + 0.5)
		}
		return min(available, max(1, count))
	}
	if f.kind.target == targetServers || f.kind.target == targetBoth {
		var candidates []*server
		for _, s := range sim.servers {
			if !s.isUp() || s.draining || f.Zone > 0 && s.zone != f.Zone-1 || f.Group > 0 && s.group.index != f.Group-1 ||
				f.Of == "primaries" && !s.isPrimary() || f.Of == "replicas" && s.isPrimary() {
				continue
			}
			candidates = append(candidates, s)
		}
		if len(candidates) > 0 {
			for _, i := range f.rng.Perm(len(candidates))[:amount(len(candidates))] {
				servers = append(servers, candidates[i])
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
