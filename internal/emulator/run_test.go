package emulator

import (
	"encoding/json"
	"math"
	"slices"
	"testing"
	"time"

	"gorsewell/choice"
)

// smallWorld returns a world that runs in a fraction of a second.
func smallWorld() World {
	w := Default()
	w.Length, w.Gossip.Warm = 20*time.Second, 5*time.Second
	return w
}

// runWorld runs a world and fails the test on an error.
func runWorld(t *testing.T, w World, faults []Fault, arm Arm, seed uint64) *Result {
	t.Helper()
	r, err := Run(w, faults, arm, seed)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestRunIsDeterministic(t *testing.T) {
	w := smallWorld()
	w.Network.Loss, w.Network.Twice, w.Network.Reorder = 0.1, 0.1, 0.1
	faults := []Fault{{Kind: "hang", At: 2 * time.Second, For: 5 * time.Second, Count: 2},
		{Kind: "gateway_crash", At: 4 * time.Second, Count: 1, Back: time.Second},
		{Kind: "deploy", At: 5 * time.Second, For: 8 * time.Second, Share: 0.5},
		{Kind: "liar", Count: 1, How: "all"},
		{Kind: "gateway_pause", At: 9 * time.Second, Count: 1, Back: 2 * time.Second}}
	var first []byte
	for i := range 3 {
		r := runWorld(t, w, faults, Arm{Gossip: true}, 7)
		text, err := json.Marshal(struct {
			*Result
			Latency []float64
		}{r, []float64{r.Types[0].Latency.Mean()}})
		if err != nil {
			t.Fatal(err)
		}
		if i == 0 {
			first = text
		} else if !slices.Equal(first, text) {
			t.Errorf("two runs with the same seed differ: want\n%s\ngot\n%s", first, text)
		}
	}
	if other := runWorld(t, w, faults, Arm{Gossip: true}, 8); other.Asked == runWorld(t, w, faults, Arm{}, 7).Asked {
		t.Error("got the same number of ops with another seed, want another number")
	}
}

// TestArmsGetSameOps guards against ops that depend on the policy or the gossip: arms could not be compared then.
func TestArmsGetSameOps(t *testing.T) {
	faults := []Fault{{Kind: "crash", At: 2 * time.Second, For: 5 * time.Second, Share: 0.2},
		{Kind: "burst", At: 3 * time.Second, For: 3 * time.Second}}
	asked := runWorld(t, smallWorld(), faults, Arm{}, 1).Types
	for _, policy := range Policies {
		for i, other := range runWorld(t, smallWorld(), faults, Arm{Policy: policy, Gossip: true}, 1).Types {
			if other.Asked != asked[i].Asked || other.Value != asked[i].Value {
				t.Errorf("%s: op type %s: got %d ops, want %d as with the module", policy, other.Name, other.Asked, asked[i].Asked)
			}
		}
	}
}

// TestModuleKeepsRulesUnderEveryFault checks that the decision module keeps the rules under every kind of fault, with
// and without gossip, and that its service does not exceed that of the oracle, which is an upper bound.
func TestModuleKeepsRulesUnderEveryFault(t *testing.T) {
	names, _ := FaultKinds()
	for i, name := range names {
		w := smallWorld()
		w.Length, w.Servers.Groups, w.Servers.Members = 12*time.Second, 2, 3+i%3
		w.Reports.Checks = []string{"none", "refuses", "waits"}[i%3]
		faults := []Fault{{Kind: name, At: 3 * time.Second, For: 8 * time.Second, Share: 0.3, Back: 2 * time.Second}}
		with, without := runWorld(t, w, faults, Arm{Gossip: true}, uint64(i)), runWorld(t, w, faults, Arm{}, uint64(i))
		oracle := runWorld(t, w, faults, Arm{Policy: "oracle"}, uint64(i))
		lyingPosition := name == "lying_position" // stale reads are the fault of the servers then
		for arm, r := range map[string]*Result{"with": with, "without": without} {
			if r.RulesBroken() > 0 && !(lyingPosition && r.RulesBroken() == r.Broken[4]) {
				t.Errorf("%s, %s gossip: got violations %v, want none: %+v", name, arm, r.Broken, r.Stories)
			}
			if r.Service() > oracle.Service()+0.02 {
				t.Errorf("%s, %s gossip: got service %.3f, want at most %.3f, the oracle's, plus 0.02", name, arm, r.Service(),
					oracle.Service())
			}
			if r.Service() < 0.3 {
				t.Errorf("%s, %s gossip: got service %.3f, want at least 0.3", name, arm, r.Service())
			}
		}
	}
}

// runMutant runs a world with a policy that is made to break a rule by choose, or by wrap if that is not nil.
func runMutant(t *testing.T, w World, faults []Fault, choose func(p *baselinePolicy, o *baselineOp) *server,
	wrap func(p *baselinePolicy) policy) *Result {
	t.Helper()
	sim, err := newSimulation(w, faults, Arm{}, 1)
	if err != nil {
		t.Fatal(err)
	}
	sim.testPolicy = func(g *gateway) policy {
		p := newBaselinePolicy(g, sim.deployment(g), choose)
		if wrap != nil {
			return wrap(p)
		}
		return p
	}
	sim.run()
	return sim.result
}

// expectOnly checks that a run broke one rule and no other, and that its first story describes a violation of it.
func expectOnly(t *testing.T, r *Result, rule int) {
	t.Helper()
	for i, n := range r.Broken {
		if n > 0 != (i == rule-1) {
			t.Errorf("rule %d: got violations %v, want some of this rule only: %+v", rule, r.Broken, r.Stories)
			return
		}
	}
	if len(r.Stories) == 0 || r.Stories[0].Rule != rule || r.Stories[0].What == "" {
		t.Errorf("rule %d: got no description of a violation of it in the first story, want one", rule)
	}
}

// forgetfulPolicy ignores one op in ten.
type forgetfulPolicy struct{ *baselinePolicy }

func (m forgetfulPolicy) Op(now time.Duration, a choice.Arrival) {
	if a.ID%10 > 0 {
		m.baselinePolicy.Op(now, a)
	}
}

// resendingPolicy sends one op in ten again after its final answer.
type resendingPolicy struct{ *baselinePolicy }

func (m resendingPolicy) Answer(now time.Duration, id uint32, number uint8, serverID uint32, result choice.Result,
	took time.Duration, final bool, role choice.Role, pos time.Duration) {
	m.baselinePolicy.Answer(now, id, number, serverID, result, took, final, role, pos)
	if final && id%10 == 0 && number == 0 {
		m.gateway.Send(id, serverID, 0)
	}
}

// duplicatingPolicy sends one op in ten to the same server again while its first send is open.
type duplicatingPolicy struct{ *baselinePolicy }

func (m duplicatingPolicy) Op(now time.Duration, a choice.Arrival) {
	m.baselinePolicy.Op(now, a)
	if o := m.ops[a.ID]; o != nil && o.sentTo != nil && a.ID%10 == 0 {
		m.gateway.Send(a.ID, o.sentTo.id, 0)
	}
}

func TestCheckersDetectViolations(t *testing.T) {
	expectOnly(t, runMutant(t, smallWorld(), nil, (*baselinePolicy).roundRobinFresh,
		func(p *baselinePolicy) policy { return forgetfulPolicy{p} }), 1)
	expectOnly(t, runMutant(t, smallWorld(), nil, (*baselinePolicy).roundRobinFresh,
		func(p *baselinePolicy) policy { return resendingPolicy{p} }), 1)
	expectOnly(t, runMutant(t, smallWorld(), nil, (*baselinePolicy).roundRobinFresh,
		func(p *baselinePolicy) policy { return duplicatingPolicy{p} }), 2)

	// The policy takes all ops for retryable and sends every failed op again.
	w := smallWorld()
	w.OpTypes[2].Effect = "non_retryable"
	errors := []Fault{{Kind: "error", At: time.Second, Size: 0.5, Of: "primaries", Share: 1}}
	expectOnly(t, runMutant(t, w, errors, (*baselinePolicy).roundRobinFresh, func(p *baselinePolicy) policy {
		for i := range p.deployment.OpTypes {
			p.deployment.OpTypes[i].Effect = choice.Retryable
		}
		return p
	}), 2)

	// The policy sends ops to draining servers.
	drains := []Fault{{Kind: "drain", At: 3 * time.Second, Count: 3, Of: "replicas", Back: time.Second}}
	w = smallWorld()
	w.Servers.Drain = 4 * time.Second
	expectOnly(t, runMutant(t, w, drains, (*baselinePolicy).roundRobinFresh,
		func(p *baselinePolicy) policy { return drainIgnoringPolicy{p} }), 3)

	// The policy sends all reads to the server that started last, which is cold.
	w = smallWorld()
	w.Servers.ColdFrom, w.Servers.ColdTime, w.Rules.FallTime = 0.05, 20*time.Second, time.Second
	w.Load.Use = 0.8
	w.OpTypes[0].Need, w.OpTypes[1].Need = "any", "any"
	w.List.Added, w.List.Spread = time.Millisecond, time.Millisecond
	restart := []Fault{{Kind: "mass_restart", At: 3 * time.Second, Group: 1, Of: "replicas", Count: 1, Back: time.Second}}
	r := runMutant(t, w, restart, (*baselinePolicy).newestStarted, nil)
	expectOnly(t, r, 4)

	// The policy sends session reads to replicas that are behind.
	w = smallWorld()
	w.OpTypes[0].Need = "any"
	expectOnly(t, runMutant(t, w, []Fault{{Kind: "slow_apply", At: time.Second, Share: 1, Of: "replicas"}},
		(*baselinePolicy).roundRobin, nil), 5)
}

// drainIgnoringPolicy takes draining servers for ready ones.
type drainIgnoringPolicy struct{ *baselinePolicy }

func (m drainIgnoringPolicy) List(now time.Duration, scope choice.ListScope, listed []choice.Listed) {
	for _, l := range listed {
		if l.State == choice.Draining {
			l.State = choice.Ready
		}
		m.baselinePolicy.List(now, choice.ListChanges, []choice.Listed{l})
	}
}

// roundRobinFresh picks for reads the warm members in turn whose true position is new enough.
func (p *baselinePolicy) roundRobinFresh(o *baselineOp) *server {
	if p.primaryOnly(o) {
		return p.primary(o)
	}
	for range o.group.members {
		p.rotation++
		s := o.group.members[p.rotation%len(o.group.members)]
		minPosition := o.minPosition + p.gateway.clockBase
		if o.opType.Need == choice.Bounded {
			minPosition = p.gateway.sim.now - o.opType.Bound
		}
		if p.ready(s) && (s.isPrimary() || s.position() >= minPosition &&
			(s.startedAt == longAgo || s.speedShare(p.gateway.sim.now) >= 1)) {
			return s
		}
	}
	return nil
}

// newestStarted picks for reads the member that started last among those whose true position is new enough.
func (p *baselinePolicy) newestStarted(o *baselineOp) (best *server) {
	if p.primaryOnly(o) {
		return p.primary(o)
	}
	for _, s := range o.group.members {
		minPosition := o.minPosition + p.gateway.clockBase
		if o.opType.Need == choice.Bounded {
			minPosition = p.gateway.sim.now - o.opType.Bound
		}
		if s.isUp() && p.ready(s) && (s.isPrimary() || s.position() >= minPosition) &&
			(best == nil || s.startedAt > best.startedAt) {
			best = s
		}
	}
	return best
}

func TestDrawDistributions(t *testing.T) {
	const n = 200000
	var sum, exponentials, lognormals, lognormalSquares float64
	for i := range uint64(n) {
		u := draw(3, i, 5)
		if u <= 0 || u >= 1 {
			t.Fatal(u)
		}
		sum += u
		exponentials += exponential(u)
		x := lognormal(u, 0.8)
		lognormals += x
		lognormalSquares += x * x
	}
	mean, deviation := lognormals/n, math.Sqrt(lognormalSquares/n-lognormals/n*lognormals/n)
	if math.Abs(sum/n-0.5) > 0.003 || math.Abs(exponentials/n-1) > 0.01 || math.Abs(mean-1) > 0.01 ||
		math.Abs(deviation-0.8) > 0.03 {
		t.Errorf("got means %v %v %v and deviation %v, want 0.5 1 1 and 0.8", sum/n, exponentials/n, mean, deviation)
	}
}
