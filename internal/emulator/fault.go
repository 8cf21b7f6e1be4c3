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
	kind  *kind
}

// kind is what a fault does.
type kind struct {
	doc     string
	size    float64 // where the file says nothing
	strikes strikes
	begin   func(f *Fault, r *run, servers []*server, gateways []*gateway) (end func())
}

// strikes is what a fault is aimed at.
type strikes uint8

const (
	nothing strikes = iota
	someServers
	someGateways
	both
)

var kinds = map[string]*kind{}

func init() {
	each := func(do func(f *Fault, s *server) func()) func(*Fault, *run, []*server, []*gateway) func() {
		return func(f *Fault, _ *run, servers []*server, _ []*gateway) func() {
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
	kinds["crash"] = &kind{doc: "processes end; they start again, cold, at the fault's end", strikes: someServers,
		begin: each(func(f *Fault, s *server) func() { s.crash(crashed); return s.start })}
	kinds["vanish"] = &kind{doc: "machines fall silent; they are back, cold, at the fault's end", strikes: someServers,
		begin: each(func(f *Fault, s *server) func() { s.crash(vanished); return s.start })}
	kinds["hang"] = &kind{doc: "servers take ops and answer none until the fault's end", strikes: someServers,
		begin: each(func(f *Fault, s *server) func() { s.freezes(true); return func() { s.freezes(false) } })}
	kinds["slow"] = &kind{doc: "all work takes size times as long", size: 5, strikes: someServers,
		begin: each(func(f *Fault, s *server) func() { s.slow *= f.Size; return func() { s.slow /= f.Size } })}
	kinds["error"] = &kind{doc: "a share of ops, size, ends with an error", size: 0.6, strikes: someServers,
		begin: each(func(f *Fault, s *server) func() { s.fails = f.Size; return func() { s.fails = 0 } })}
	kinds["refuse"] = &kind{doc: "servers turn all ops away as if they were full", strikes: someServers,
		begin: each(func(f *Fault, s *server) func() { s.refuses = true; return func() { s.refuses = false } })}
	kinds["slow_apply"] = &kind{doc: "replicas apply the log size times as slowly", size: 8, strikes: someServers,
		begin: each(func(f *Fault, s *server) func() { s.slowLog *= f.Size; return func() { s.slowLog /= f.Size } })}
	kinds["lying_position"] = &kind{doc: "servers tell a position that is size seconds too far ahead; reads from them may be stale", size: 1,
		strikes: someServers, begin: each(func(f *Fault, s *server) func() {
			s.lies = time.Duration(f.Size * float64(time.Second))
			return func() { s.lies = 0 }
		})}
	kinds["probe_fail"] = &kind{doc: "a share of probes, size, fails while ops are served", size: 1, strikes: someServers,
		begin: each(func(f *Fault, s *server) func() { s.badProbe = f.Size; return func() { s.badProbe = 0 } })}
	kinds["squeeze"] = &kind{doc: "servers take size connections for each gateway over all servers, and close idle ones", size: 3, strikes: someServers,
		begin: func(f *Fault, r *run, servers []*server, _ []*gateway) func() {
			for _, s := range servers {
				s.squeezed = max(1, int(f.Size*float64(len(r.gateways))/float64(len(r.servers)))) + s.cores
				r.closeIdle(s)
			}
			return func() {
				for _, s := range servers {
					s.squeezed = 0
				}
			}
		}}
	kinds["neighbour"] = &kind{doc: "another program takes a share of the machine, size, on and off", size: 0.5, strikes: someServers, begin: neighbour}
	kinds["drain"] = &kind{doc: "servers drain and end; successors under new ids start cold after back", strikes: someServers, begin: roll}
	kinds["deploy"] = &kind{doc: "a rolling deploy over the fault's time: servers drain one after another, a share of size at a time", size: 0.1,
		strikes: someServers, begin: roll}
	kinds["mass_restart"] = &kind{doc: "servers end at once and are back, cold, after back", strikes: someServers,
		begin: func(f *Fault, r *run, servers []*server, _ []*gateway) func() {
			for _, s := range servers {
				s.crash(crashed)
				r.after(max(f.Back, time.Second)+time.Duration(f.rng.Int64N(int64(500*time.Millisecond))), s.start)
			}
			return func() {}
		}}
	kinds["burst"] = &kind{doc: "ops come in at size times the rate", size: 1.8, strikes: nothing,
		begin: func(f *Fault, r *run, _ []*server, _ []*gateway) func() {
			r.clients.bursts = append(r.clients.bursts, f)
			return func() { r.clients.bursts = slices.DeleteFunc(r.clients.bursts, func(b *Fault) bool { return b == f }) }
		}}
	kinds["list_down"] = &kind{doc: "the list answers nobody and ends all watches", strikes: nothing,
		begin: func(f *Fault, r *run, _ []*server, _ []*gateway) func() {
			r.lists.breaks(true)
			return func() { r.lists.breaks(false) }
		}}
	kinds["list_silent"] = &kind{doc: "watches that are open hear nothing more; each instance gives its own up after a while", strikes: nothing,
		begin: func(f *Fault, r *run, _ []*server, _ []*gateway) func() {
			r.lists.silence()
			return func() {}
		}}
	kinds["list_frozen"] = &kind{doc: "the list goes on telling what it knew", strikes: nothing,
		begin: func(f *Fault, r *run, _ []*server, _ []*gateway) func() {
			r.lists.frozen = true
			return func() {
				r.lists.frozen = false
				for _, s := range r.servers {
					r.lists.note(s)
				}
			}
		}}
	kinds["list_wrong"] = &kind{doc: "the list calls servers gone that run", strikes: someServers,
		begin: func(f *Fault, r *run, servers []*server, _ []*gateway) func() {
			tell := func() {
				for _, s := range servers {
					if e := r.lists.lines[s]; e != nil {
						r.lists.tell([]*line{e})
					}
				}
			}
			for _, s := range servers {
				r.lists.wrong[s] = choice.Gone
			}
			tell()
			return func() {
				for _, s := range servers {
					delete(r.lists.wrong, s)
				}
				tell()
			}
		}}
	kinds["gateway_crash"] = &kind{doc: "instances end at once and are back after back, with nothing but their list", strikes: someGateways,
		begin: func(f *Fault, r *run, _ []*server, gateways []*gateway) func() {
			for _, g := range gateways {
				g.crash()
				r.after(max(f.Back, 100*time.Millisecond), func() {
					if g.down {
						g.start()
					}
				})
			}
			return func() {}
		}}
	kinds["gateway_pause"] = &kind{doc: "instances stand still for back", strikes: someGateways,
		begin: func(f *Fault, r *run, _ []*server, gateways []*gateway) func() {
			for _, g := range gateways {
				if !g.down {
					g.pause(max(f.Back, 100*time.Millisecond))
				}
			}
			return func() {}
		}}
	kinds["gateway_roll"] = &kind{doc: "instances end one after another over the fault's time and are back after back", strikes: someGateways,
		begin: func(f *Fault, r *run, _ []*server, gateways []*gateway) func() {
			for i, g := range gateways {
				r.after(time.Duration(int64(f.For)*int64(i)/int64(len(gateways))), func() {
					g.crash()
					r.after(max(f.Back, 100*time.Millisecond), func() {
						if g.down {
							g.start()
						}
					})
				})
			}
			return func() {}
		}}
	kinds["one_sided"] = &kind{doc: "a share of the instances, size, cannot reach the servers struck", size: 0.5, strikes: someServers,
		begin: func(f *Fault, r *run, servers []*server, _ []*gateway) func() {
			c := &cut{gateways: map[int]bool{}, servers: map[int]bool{}, toServer: f.How != "answers", toInstance: f.How != "sends"}
			for _, i := range f.rng.Perm(len(r.gateways))[:max(1, int(f.Size*float64(len(r.gateways))))] {
				c.gateways[i] = true
			}
			for _, s := range servers {
				c.servers[int(s.id)] = true
			}
			return r.cut(c)
		}}
	kinds["partition"] = &kind{doc: "a share of the instances, size, and the others do not hear each other; how: one_way, then only the others do not hear it",
		size: 0.5, strikes: nothing, begin: func(f *Fault, r *run, _ []*server, _ []*gateway) func() {
			in, out := map[int]bool{}, map[int]bool{}
			for i, g := range f.rng.Perm(len(r.gateways)) {
				if i < int(f.Size*float64(len(r.gateways))) {
					in[g] = true
				} else {
					out[g] = true
				}
			}
			end := r.cut(&cut{among: true, fromGateway: in, toGateway: out})
			back := func() {}
			if f.How != "one_way" {
				back = r.cut(&cut{among: true, fromGateway: out, toGateway: in})
			}
			return func() { end(); back() }
		}}
	kinds["network"] = &kind{doc: "a share of datagrams, size, is lost; as many come twice and as many late", size: 0.1, strikes: nothing,
		begin: func(f *Fault, r *run, _ []*server, _ []*gateway) func() {
			n := &r.world.Network
			old := *n
			n.Loss, n.Twice, n.Reorder = f.Size, f.Size, f.Size
			return func() { n.Loss, n.Twice, n.Reorder = old.Loss, old.Twice, old.Reorder }
		}}
	kinds["liar"] = &kind{doc: "instances lie in the gossip; how: primaries, all, accuse, replay, future, contradict, praise or mixed", strikes: someGateways,
		begin: func(f *Fault, r *run, _ []*server, gateways []*gateway) func() {
			if r.gossips == nil {
				return func() {}
			}
			return r.gossips.lie(f, gateways)
		}}
}

// FaultKinds lists the kinds by name, with what each does.
func FaultKinds() (names []string, docs map[string]string) {
	docs = map[string]string{}
	for name, k := range kinds {
		names = append(names, name)
		docs[name] = k.doc
	}
	slices.Sort(names)
	return names, docs
}

// cut cuts a way until the returned function is called.
func (r *run) cut(c *cut) func() {
	r.cuts = append(r.cuts, c)
	return func() {
		r.cuts = slices.DeleteFunc(r.cuts, func(x *cut) bool { return x == c })
	}
}

// closeIdle closes all connections to a server that are not in use.
func (r *run) closeIdle(s *server) {
	for _, g := range r.gateways {
		if int(s.id) <= len(g.links) && g.links[s.id-1] != nil && g.links[s.id-1].life == s.life {
			l := g.links[s.id-1]
			s.open -= len(l.idle)
			l.idle = nil
		}
	}
}

// neighbour slows machines down, on and off.
func neighbour(f *Fault, r *run, servers []*server, _ []*gateway) func() {
	over := false
	factor := 1 / (1 - min(0.95, f.Size))
	for _, s := range servers {
		on := false
		var turn func()
		turn = func() {
			if on {
				s.slow /= factor
			}
			if on = !on && !over; on {
				s.slow *= factor
			}
			if !over {
				r.after(time.Duration((0.5+f.rng.Float64())*float64(2*time.Second)), turn)
			}
		}
		turn()
	}
	return func() { over = true }
}

// roll replaces servers, so many at a time, over the fault's time.
func roll(f *Fault, r *run, servers []*server, _ []*gateway) func() {
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
		r.after(after, func() {
			if !s.runs() || s.draining {
				return
			}
			s.drains()
			r.after(max(f.Back, 500*time.Millisecond), func() { s.group.replace(s) })
		})
	}
	return func() {}
}

// ready checks a fault and gives it its own chance.
func (f *Fault) ready(r *run, order int) error {
	f.kind = kinds[f.Kind]
	if f.kind == nil {
		return fmt.Errorf("faults[%d].kind: %q is no fault", order, f.Kind)
	}
	if f.Size == 0 {
		f.Size = f.kind.size
	}
	f.order = order
	f.rng = rand.New(rand.NewPCG(r.seed, 0xfa01+uint64(order)))
	return nil
}

// plan lets the fault strike at its time, counted from the first op.
func (f *Fault) plan(r *run, start time.Duration) {
	var strike func()
	strike = func() {
		servers, gateways := f.targets(r)
		r.event("%s begins%s", f.Kind, names(servers, gateways))
		end := f.kind.begin(f, r, servers, gateways)
		if f.For > 0 {
			r.after(f.For, func() {
				end()
				r.event("%s ends", f.Kind)
			})
		}
		if f.Every > 0 {
			r.after(f.Every, func() {
				if r.now < start+r.world.Length {
					strike()
				}
			})
		}
	}
	r.at(start+f.At, strike)
}

func names(servers []*server, gateways []*gateway) (s string) {
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
func (f *Fault) targets(r *run) (servers []*server, gateways []*gateway) {
	amount := func(of int) int {
		n := f.Count
		if f.Share > 0 {
			n = int(f.Share*float64(of) + 0.5)
		}
		return min(of, max(1, n))
	}
	if f.kind.strikes == someServers || f.kind.strikes == both {
		var fit []*server
		for _, s := range r.servers {
			if !s.runs() || s.draining || f.Zone > 0 && s.zone != f.Zone-1 || f.Group > 0 && s.group.index != f.Group-1 ||
				f.Of == "primaries" && !s.primary() || f.Of == "replicas" && s.primary() {
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
	if f.kind.strikes == someGateways || f.kind.strikes == both {
		for _, i := range f.rng.Perm(len(r.gateways))[:amount(len(r.gateways))] {
			gateways = append(gateways, r.gateways[i])
		}
	}
	return servers, gateways
}
