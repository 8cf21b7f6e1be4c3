// Package emulator simulates a deployment in virtual time: clients, gateways, database servers that replicate a log,
// the discovery service, the network, and faults. The gateways run the decision module of package choice and the state
// machine of package gossip, the same code as in production. Everything else is a model, which docs/emulator.md
// describes together with what it leaves out. A checker tests the five rules of package choice throughout.
//
// A run is determined by its world, faults, arm and seed. The random numbers of an op depend on the op alone, so that
// arms run with one seed get the same ops, the same work and the same faults.
package emulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"gorsewell/choice"
)

// Arm is the setup of the gateways in a run: their policy and whether they gossip. Experiments compare arms.
type Arm struct {
	Policy string `yaml:"policy"` // one of Policies; empty: module
	Gossip bool   `yaml:"gossip"`
}

// simulation is the state of one run.
type simulation struct {
	eventLoop
	world      World
	arm        Arm
	seed       uint64
	rng        *rand.Rand // not drawn from at present; must not be by anything that differs between arms
	networkRNG *rand.Rand // draws the jitter of the network
	opTypes    []*opType
	checks     choice.Checks // what servers do with reads for which their data is too old

	gateways   []*gateway
	servers    []*server
	groups     []*group
	discovery  *discoveryService
	clients    *clients
	checker    *checker
	cuts       []*networkCut  // in effect at present
	gossipNet  *gossipNetwork // nil without gossip
	result     *Result
	meanWork   time.Duration // mean work of an op
	faults     []*Fault
	testPolicy func(g *gateway) policy // in tests: makes the policy instead of arm.Policy
}

// opType is an op type with what is derived from it.
type opType struct {
	OpType
	index  int
	need   choice.Need
	config choice.OpType // as it stands in the configuration of the gateways
}

// Run simulates a world with its faults, which need not be in order of time. It returns an error if the world is
// invalid or the kind of a fault unknown; ValidFaults checks the other fields of faults.
func Run(world World, faults []Fault, arm Arm, seed uint64) (*Result, error) {
	sim, err := newSimulation(world, faults, arm, seed)
	if err != nil {
		return nil, err
	}
	sim.run()
	return sim.result, nil
}

// Trace simulates as Run does, and also records the events of one op in Result.Trace.
func Trace(world World, faults []Fault, arm Arm, seed, op uint64) (*Result, error) {
	sim, err := newSimulation(world, faults, arm, seed)
	if err != nil {
		return nil, err
	}
	sim.result.tracedOp = op
	sim.run()
	return sim.result, nil
}

// newSimulation checks the world and sets up a run of it.
func newSimulation(world World, faults []Fault, arm Arm, seed uint64) (*simulation, error) {
	sim := &simulation{world: world, arm: arm, seed: seed, rng: rand.New(rand.NewPCG(seed, 1)),
		networkRNG: rand.New(rand.NewPCG(seed, 2))}
	if err := world.check(); err != nil {
		return nil, err
	}
	var shares, work float64
	for i, t := range world.OpTypes {
		o := &opType{OpType: t, index: i, need: needs[t.Need]}
		o.config = choice.OpType{Effect: effects[t.Effect], Scope: scopes[t.Scope], Window: t.Window, Need: o.need,
			Target: t.Target, Timeout: t.Timeout, Value: t.Value, LateValue: t.LateValue}
		if o.need == choice.Bounded {
			o.config.Bound = t.Bound
		}
		sim.opTypes = append(sim.opTypes, o)
		shares += t.Share
		work += t.Share * float64(t.Work)
	}
	sim.meanWork = time.Duration(work / shares)
	sim.checks = serverChecks[world.Reports.Checks]
	sim.result = newResult(sim)
	sim.checker = newChecker(sim)
	sim.discovery = &discoveryService{sim: sim, entries: map[*server]*listEntry{}, falseStates: map[*server]choice.State{}}
	for i := range world.Servers.Groups {
		g := &group{sim: sim, index: i, primaryLostAt: longAgo, tokens: map[uint64]*token{}}
		sim.groups = append(sim.groups, g)
		for j := range world.Servers.Members {
			s := sim.addServer(g, (i+j)%world.Zones, uint8(i%len(world.Servers.Kinds)))
			s.startedAt, s.appliedTo = longAgo, 0
			entry := &listEntry{server: s, state: choice.Ready, primary: j == 0 && world.List.Roles != "none",
				startedAt: longAgo}
			sim.discovery.entries[s] = entry
			sim.discovery.ordered = append(sim.discovery.ordered, entry)
		}
		g.primary = g.members[0]
		g.primary.wasPrimary = true
	}
	for i := range world.Gateways.Count {
		sim.gateways = append(sim.gateways, &gateway{sim: sim, index: i, zone: i % world.Zones})
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

// run runs the simulation to its end.
func (sim *simulation) run() {
	// The warm-up lets the instances find one another before the first op. Arms without gossip wait as long, so that
	// runs can be compared.
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
	if delay := sim.world.List.RolesLate; sim.world.List.Roles == "late" && delay > 0 {
		var updateRoles func()
		updateRoles = func() {
			sim.discovery.updateRoles()
			sim.after(delay/2, updateRoles)
		}
		sim.after(delay/2, updateRoles)
	}
	end := start + sim.world.Length
	sim.runUntil(end)
	for i := 0; i < 60 && sim.clients.openRequests > 0; i++ { // until all requests are answered, or for a minute at most
		end += time.Second
		sim.runUntil(end)
	}
	sim.checker.checkUnanswered()
	sim.result.finish(start)
}

// addServer adds a server to a group, under the next id. The caller sets startedAt and appliedTo.
func (sim *simulation) addServer(g *group, zone int, kind uint8) *server {
	id := uint32(len(sim.servers) + 1)
	k := sim.world.Servers.Kinds[kind]
	speed := k.Speed * (1 + sim.world.Servers.Spread*(2*draw(sim.seed, 0x5beed, uint64(id))-1))
	s := &server{sim: sim, id: id, group: g, zone: zone, kind: kind, cores: k.Cores, speed: speed,
		slowdown: 1, applySlowdown: 1, generation: 1}
	sim.servers = append(sim.servers, s)
	g.members = append(g.members, s)
	return s
}

// recordEvent adds an event to Result.Events, unless that is full.
func (sim *simulation) recordEvent(format string, args ...any) {
	if len(sim.result.Events) < maxEvents {
		sim.result.Events = append(sim.result.Events, Event{sim.now, fmt.Sprintf(format, args...)})
	}
}

// delay draws the time that a message takes from one zone to another, which may be the same.
func (sim *simulation) delay(a, b int) time.Duration {
	d := sim.world.Network.Within
	if a != b {
		d = sim.world.Network.Between
	}
	return sim.withJitter(d)
}

// withJitter adds a random delay to d.
func (sim *simulation) withJitter(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*sim.world.Network.Jitter*sim.networkRNG.ExpFloat64())
}

// networkCut is an interruption of part of the network.
type networkCut struct {
	fromGateways    map[int]bool // with betweenGateways, by index: what these send to toGateways is lost
	toGateways      map[int]bool // with betweenGateways, by index
	gateways        map[int]bool // without betweenGateways, by index: these are cut off from servers
	servers         map[int]bool // without betweenGateways, by id
	toServer        bool         // what gateways send to servers is lost
	toInstance      bool         // what servers send to gateways is lost
	betweenGateways bool         // the cut is between instances, else between instances and servers
}

// reaches reports whether what a gateway sends reaches a server if toServer, else whether what the server sends
// reaches the gateway.
func (sim *simulation) reaches(g *gateway, s *server, toServer bool) bool {
	for _, c := range sim.cuts {
		if !c.betweenGateways && c.gateways[g.index] && c.servers[int(s.id)] &&
			(toServer && c.toServer || !toServer && c.toInstance) {
			return false
		}
	}
	return true
}

// gossipReaches reports whether what one instance sends reaches another.
func (sim *simulation) gossipReaches(from, to int) bool {
	for _, c := range sim.cuts {
		if c.betweenGateways && (c.fromGateways[from] && c.toGateways[to]) {
			return false
		}
	}
	return true
}

// The values that the strings in a World stand for.
var (
	needs = map[string]choice.Need{"write": choice.Write, "fresh": choice.Fresh, "session": choice.Session,
		"bounded": choice.Bounded, "any": choice.Any}
	effects = map[string]choice.Effect{"retryable": choice.Retryable, "tokened": choice.Tokened,
		"non_retryable": choice.NonRetryable}
	scopes       = map[string]choice.Scope{"group": choice.ScopeGroup, "zone": choice.ScopeZone, "all": choice.ScopeAll}
	serverChecks = map[string]choice.Checks{"none": choice.Unchecked, "refuses": choice.Refuses, "waits": choice.Waits}
)

// deployment returns the configuration with which a gateway starts.
func (sim *simulation) deployment(g *gateway) *choice.Deployment {
	world := &sim.world
	d := &choice.Deployment{Gateways: world.Gateways.Count,
		Seed:          mix(sim.seed ^ uint64(g.index)<<20 ^ uint64(g.generation)),
		EventInterval: world.Gateways.Round, ListOnRequest: world.List.Asked, AskWithin: world.List.Within,
		Checks: sim.checks, AnswersCarryPosition: world.Reports.Answers, WriteAgeCarried: world.Reports.Carried,
		MayProbe: world.Gateways.Probes, MayCancel: world.Gateways.Cancels,
		MaxRetryAfter: world.Gateways.ComeBack, MaxSends: world.Gateways.MaxSends,
		ColdFrom: world.Servers.ColdFrom, ColdTime: world.Servers.ColdTime, OverloadFactor: world.Rules.Overload,
		OverloadTime: world.Rules.FallTime, ReportsPosition: world.Reports.Probes, ReportsRole: world.Reports.Probes}
	for _, t := range sim.opTypes {
		d.OpTypes = append(d.OpTypes, t.config)
	}
	return d
}

// ModelVersion increases with each change of the emulator, or of the code that it runs, that changes results. Stored
// runs of another version are run again.
const ModelVersion = 1
