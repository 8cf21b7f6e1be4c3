// Package emulator plays a deployment in virtual time: clients, gateways, database servers that follow one another's log,
// the list of servers, the network, and what goes wrong. The gateways run the module that decides in service, and gossip's
// state machine; everything else is a model, which docs/emulator.md describes with what it leaves out.
//
// A run is determined by its world, its faults, its arm and its seed. What chance brings to an op depends on the op alone, so
// arms that are played with one seed meet the same ops, the same work and the same troubles.
package emulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"gorsewell/choice"
)

// Arm is what decides in the gateways of a run.
type Arm struct {
	Policy string `yaml:"policy"` // module, oracle, primary, turns, least or two; empty: module
	Gossip bool   `yaml:"gossip"`
}

// run is one day under way.
type simulation struct {
	eventLoop
	world      World
	arm        Arm
	seed       uint64
	rng        *rand.Rand // of the world's own making; never drawn from by what differs between arms
	networkRNG *rand.Rand // of the ways
	opTypes    []*opType
	checks     choice.Checks

	gateways   []*gateway
	servers    []*server
	groups     []*group
	discovery  *discoveryService
	clients    *clients
	checker    *checker
	cuts       []*networkCut
	gossipNet  *gossipNetwork
	result     *Result
	meanWork   time.Duration
	faults     []*Fault
	testPolicy func(g *gateway) policy // in tests: decides in the policy's place
}

// opType is an op type with what is derived from it.
type opType struct {
	OpType
	index  int
	need   choice.Need
	config choice.OpType
}

// Run plays a day. The faults' order does not matter. An error tells what does not make sense.
func Run(w World, faults []Fault, arm Arm, seed uint64) (*Result, error) {
	sim, err := newSimulation(w, faults, arm, seed)
	if err != nil {
		return nil, err
	}
	sim.play()
	return sim.result, nil
}

// Trace plays a day as Run does and keeps the life of one op.
func Trace(w World, faults []Fault, arm Arm, seed, op uint64) (*Result, error) {
	sim, err := newSimulation(w, faults, arm, seed)
	if err != nil {
		return nil, err
	}
	sim.result.tracedOp = op
	sim.play()
	return sim.result, nil
}

func newSimulation(w World, faults []Fault, arm Arm, seed uint64) (*simulation, error) {
	sim := &simulation{world: w, arm: arm, seed: seed, rng: rand.New(rand.NewPCG(seed, 1)), networkRNG: rand.New(rand.NewPCG(seed, 2))}
	if err := w.check(); err != nil {
		return nil, err
	}
	var shares, work float64
	for i, t := range w.OpTypes {
		o := &opType{OpType: t, index: i, need: needs[t.Need]}
		o.config = choice.OpType{Effect: effects[t.Effect], Scope: scopes[t.Scope], Window: t.Window, Need: o.need, Target: t.Target,
			Timeout: t.Timeout, Value: t.Value, LateValue: t.LateValue}
		if o.need == choice.Bounded {
			o.config.Bound = t.Bound
		}
		sim.opTypes = append(sim.opTypes, o)
		shares += t.Share
		work += t.Share * float64(t.Work)
	}
	sim.meanWork = time.Duration(work / shares)
	sim.checks = checksOf[w.Reports.Checks]
	sim.result = newResult(sim)
	sim.checker = newChecker(sim)
	sim.discovery = &discoveryService{sim: sim, entries: map[*server]*listEntry{}, falseStates: map[*server]choice.State{}}
	for i := range w.Servers.Groups {
		g := &group{sim: sim, index: i, primaryLostAt: longAgo, tokens: map[uint64]*token{}}
		sim.groups = append(sim.groups, g)
		for j := range w.Servers.Members {
			s := sim.addServer(g, (i+j)%w.Zones, uint8(i%len(w.Servers.Kinds)))
			s.startedAt, s.appliedTo = longAgo, 0
			e := &listEntry{server: s, state: choice.Ready, primary: j == 0 && w.List.Roles != "none", startedAt: longAgo}
			sim.discovery.entries[s] = e
			sim.discovery.ordered = append(sim.discovery.ordered, e)
		}
		g.primary = g.members[0]
		g.primary.wasPrimary = true
	}
	for i := range w.Gateways.Count {
		sim.gateways = append(sim.gateways, &gateway{sim: sim, index: i, zone: i % w.Zones})
	}
	sim.clients = newClients(sim)
	if arm.Gossip {
		sim.gossipNet = newGossipNetwork(sim)
	}
	for i := range faults {
		f := faults[i]
		if err := f.prepare(sim, i); err != nil {
			return nil, err
		}
		sim.faults = append(sim.faults, &f)
	}
	return sim, nil
}

// play plays the day to its end.
func (sim *simulation) play() {
	// Instances have found one another before the first op. Every arm begins at that time, so that days can be compared.
	start := sim.world.Gossip.Warm
	for _, g := range sim.gateways {
		g.boot()
		sim.at(start, g.startServing)
	}
	if sim.gossipNet != nil {
		sim.gossipNet.countFrom = start
	}
	sim.clients.startLoad(start)
	for _, f := range sim.faults {
		f.schedule(sim, start)
	}
	if late := sim.world.List.RolesLate; sim.world.List.Roles == "late" && late > 0 {
		var look func()
		look = func() {
			sim.discovery.updateRoles()
			sim.after(late/2, look)
		}
		sim.after(late/2, look)
	}
	end := start + sim.world.Length
	sim.runUntil(end)
	for i := 0; i < 60 && sim.clients.openRequests > 0; i++ { // until all is answered, or can no more be
		end += time.Second
		sim.runUntil(end)
	}
	sim.checker.checkUnanswered()
	sim.result.finish(start)
}

// addServer makes a server that does not run yet under the next id.
func (sim *simulation) addServer(g *group, zone int, kind uint8) *server {
	id := uint32(len(sim.servers) + 1)
	k := sim.world.Servers.Kinds[kind]
	speed := k.Speed * (1 + sim.world.Servers.Spread*(2*draw(sim.seed, 0x5beed, uint64(id))-1))
	s := &server{sim: sim, id: id, group: g, zone: zone, kind: kind, cores: k.Cores, speed: speed, slowdown: 1, applySlowdown: 1, generation: 1}
	sim.servers = append(sim.servers, s)
	g.members = append(g.members, s)
	return s
}

// event notes something that a reader of the day wants to see beside the figures.
func (sim *simulation) recordEvent(format string, args ...any) {
	if len(sim.result.Events) < maxEvents {
		sim.result.Events = append(sim.result.Events, Event{sim.now, fmt.Sprintf(format, args...)})
	}
}

// way is how long something takes between two zones.
func (sim *simulation) delay(a, b int) time.Duration {
	d := sim.world.Network.Within
	if a != b {
		d = sim.world.Network.Between
	}
	return sim.withJitter(d)
}

func (sim *simulation) withJitter(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*sim.world.Network.Jitter*sim.networkRNG.ExpFloat64())
}

// cut is a way that carries nothing.
type networkCut struct {
	fromGateways, toGateways map[int]bool // cut between these instances and the others
	gateways, servers        map[int]bool // cut between these instances and these servers
	toServer, toInstance     bool         // which way
	betweenGateways          bool         // the cut lies between instances
}

// passes tells whether what a gateway sends reaches a server, and the other way.
func (sim *simulation) reaches(g *gateway, s *server, there bool) bool {
	for _, c := range sim.cuts {
		if !c.betweenGateways && c.gateways[g.index] && c.servers[int(s.id)] && (there && c.toServer || !there && c.toInstance) {
			return false
		}
	}
	return true
}

// talks tells whether what one instance sends reaches another.
func (sim *simulation) gossipReaches(from, to int) bool {
	for _, c := range sim.cuts {
		if c.betweenGateways && (c.fromGateways[from] && c.toGateways[to]) {
			return false
		}
	}
	return true
}

var (
	needs = map[string]choice.Need{"write": choice.Write, "fresh": choice.Fresh, "session": choice.Session, "bounded": choice.Bounded,
		"any": choice.Any}
	effects  = map[string]choice.Effect{"retryable": choice.Retryable, "tokened": choice.Tokened, "non_retryable": choice.NonRetryable}
	scopes   = map[string]choice.Scope{"group": choice.ScopeGroup, "zone": choice.ScopeZone, "all": choice.ScopeAll}
	checksOf = map[string]choice.Checks{"none": choice.Unchecked, "refuses": choice.Refuses, "waits": choice.Waits}
)

// deployment is what a gateway is told at its start.
func (sim *simulation) deployment(g *gateway) *choice.Deployment {
	w := &sim.world
	d := &choice.Deployment{Gateways: w.Gateways.Count, Seed: mix(sim.seed ^ uint64(g.index)<<20 ^ uint64(g.generation)), EventInterval: w.Gateways.Round,
		ListOnRequest: w.List.Asked, AskWithin: w.List.Within, Checks: sim.checks, AnswersCarryPosition: w.Reports.Answers, WriteAgeCarried: w.Reports.Carried,
		MayProbe: w.Gateways.Probes, MayCancel: w.Gateways.Cancels, MaxRetryAfter: w.Gateways.ComeBack, MaxSends: w.Gateways.MaxSends,
		ColdFrom: w.Servers.ColdFrom, ColdTime: w.Servers.ColdTime, OverloadFactor: w.Rules.Overload,
		OverloadTime: w.Rules.FallTime, ReportsPosition: w.Reports.Probes, ReportsRole: w.Reports.Probes}
	for _, t := range sim.opTypes {
		d.OpTypes = append(d.OpTypes, t.config)
	}
	return d
}

// Model counts changes of the emulator or of what it runs that make earlier results unlike later ones. Kept runs of another
// count are played again.
const Model = 1
