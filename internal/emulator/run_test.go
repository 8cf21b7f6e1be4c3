package emulator

import (
	"encoding/json"
	"math"
	"slices"
	"testing"
	"time"

	"gorsewell/choice"
)

// small is a world that a test plays in a fraction of a second.
func smallWorld() World {
	w := Default()
	w.Length, w.Gossip.Warm = 20*time.Second, 5*time.Second
	return w
}

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
	faults := []Fault{{Kind: "hang", At: 2 * time.Second, For: 5 * time.Second, Count: 2}, {Kind: "gateway_crash", At: 4 * time.Second, Count: 1, Back: time.Second},
		{Kind: "deploy", At: 5 * time.Second, For: 8 * time.Second, Share: 0.5}, {Kind: "liar", Count: 1, How: "all"},
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
			t.Errorf("two plays of one day differ:\n%s\n%s", first, text)
		}
	}
	if other := runWorld(t, w, faults, Arm{Gossip: true}, 8); other.Asked == runWorld(t, w, faults, Arm{}, 7).Asked {
		t.Error("another seed gave as many ops")
	}
}

// What is asked does not depend on who answers, or arms could not be compared.
func TestArmsGetSameOps(t *testing.T) {
	faults := []Fault{{Kind: "crash", At: 2 * time.Second, For: 5 * time.Second, Share: 0.2}, {Kind: "burst", At: 3 * time.Second, For: 3 * time.Second}}
	asked := runWorld(t, smallWorld(), faults, Arm{}, 1).Types
	for _, policy := range Policies {
		for i, other := range runWorld(t, smallWorld(), faults, Arm{Policy: policy, Gossip: true}, 1).Types {
			if other.Asked != asked[i].Asked || other.Value != asked[i].Value {
				t.Errorf("%s: %s asked %d times, by the module %d", policy, other.Name, other.Asked, asked[i].Asked)
			}
		}
	}
}

// In every kind of trouble the module keeps the rules, with and without gossip, and the oracle does no worse than it.
func TestModuleKeepsRulesUnderEveryFault(t *testing.T) {
	names, _ := FaultKinds()
	for i, name := range names {
		w := smallWorld()
		w.Length, w.Servers.Groups, w.Servers.Members = 12*time.Second, 2, 3+i%3
		w.Reports.Checks = []string{"none", "refuses", "waits"}[i%3]
		f := []Fault{{Kind: name, At: 3 * time.Second, For: 8 * time.Second, Share: 0.3, Back: 2 * time.Second}}
		with, without := runWorld(t, w, f, Arm{Gossip: true}, uint64(i)), runWorld(t, w, f, Arm{}, uint64(i))
		oracle := runWorld(t, w, f, Arm{Policy: "oracle"}, uint64(i))
		lies := name == "lying_position" // then stale reads are the servers' own doing
		for arm, r := range map[string]*Result{"with": with, "without": without} {
			if r.RulesBroken() > 0 && !(lies && r.RulesBroken() == r.Broken[4]) {
				t.Errorf("%s, %s gossip: rules broken %v: %+v", name, arm, r.Broken, r.Stories)
			}
			if r.Service() > oracle.Service()+0.02 {
				t.Errorf("%s, %s gossip: service %.3f, by the oracle %.3f", name, arm, r.Service(), oracle.Service())
			}
			if r.Service() < 0.3 {
				t.Errorf("%s, %s gossip: service %.3f", name, arm, r.Service())
			}
		}
	}
}

// mutate plays a day on which a policy that breaks a rule decides.
func runMutant(t *testing.T, w World, faults []Fault, choose func(p *baselinePolicy, o *baselineOp) *server, change func(p *baselinePolicy) policy) *Result {
	t.Helper()
	r, err := newSimulation(w, faults, Arm{}, 1)
	if err != nil {
		t.Fatal(err)
	}
	r.testPolicy = func(g *gateway) policy {
		p := newBaselinePolicy(g, r.deployment(g), choose)
		if change != nil {
			return change(p)
		}
		return p
	}
	r.play()
	return r.result
}

// only tells that a mutant broke its rule, and no other.
func expectOnly(t *testing.T, r *Result, rule int) {
	t.Helper()
	for i, n := range r.Broken {
		if n > 0 != (i == rule-1) {
			t.Errorf("rule %d: broken %v, %+v", rule, r.Broken, r.Stories)
			return
		}
	}
	if len(r.Stories) == 0 || r.Stories[0].Rule != rule || r.Stories[0].What == "" {
		t.Errorf("rule %d: no story", rule)
	}
}

type forgetfulPolicy struct{ *baselinePolicy }

// Op forgets one op in ten.
func (m forgetfulPolicy) Op(now time.Duration, id uint32, kind uint8, session uint64, due time.Duration, inGroup uint16, wroteAgo time.Duration, again bool) {
	if id%10 > 0 {
		m.baselinePolicy.Op(now, id, kind, session, due, inGroup, wroteAgo, again)
	}
}

type resendingPolicy struct{ *baselinePolicy }

// Answer sends once more after the end.
func (m resendingPolicy) Answer(now time.Duration, id uint32, send uint8, at uint32, result choice.Result, took time.Duration, final bool, role choice.Role, pos time.Duration) {
	m.baselinePolicy.Answer(now, id, send, at, result, took, final, role, pos)
	if final && id%10 == 0 && send == 0 {
		m.gateway.Send(id, at, 0)
	}
}

type duplicatingPolicy struct{ *baselinePolicy }

// Op sends what has just been sent.
func (m duplicatingPolicy) Op(now time.Duration, id uint32, kind uint8, session uint64, due time.Duration, inGroup uint16, wroteAgo time.Duration, again bool) {
	m.baselinePolicy.Op(now, id, kind, session, due, inGroup, wroteAgo, again)
	if o := m.ops[id]; o != nil && o.sentTo != nil && id%10 == 0 {
		m.gateway.Send(id, o.sentTo.id, 0)
	}
}

func TestCheckersDetectViolations(t *testing.T) {
	expectOnly(t, runMutant(t, smallWorld(), nil, (*baselinePolicy).roundRobinFresh, func(p *baselinePolicy) policy { return forgetfulPolicy{p} }), 1)
	expectOnly(t, runMutant(t, smallWorld(), nil, (*baselinePolicy).roundRobinFresh, func(p *baselinePolicy) policy { return resendingPolicy{p} }), 1)
	expectOnly(t, runMutant(t, smallWorld(), nil, (*baselinePolicy).roundRobinFresh, func(p *baselinePolicy) policy { return duplicatingPolicy{p} }), 2)

	// Whatever has failed is sent again, and told to be harmless.
	w := smallWorld()
	w.OpTypes[2].Effect = "non_retryable"
	errors := []Fault{{Kind: "error", At: time.Second, Size: 0.5, Of: "primaries", Share: 1}}
	expectOnly(t, runMutant(t, w, errors, (*baselinePolicy).roundRobinFresh, func(p *baselinePolicy) policy {
		for i := range p.deployment.OpTypes {
			p.deployment.OpTypes[i].Effect = choice.Retryable
		}
		return p
	}), 2)

	// A draining server is as good as any.
	drains := []Fault{{Kind: "drain", At: 3 * time.Second, Count: 3, Of: "replicas", Back: time.Second}}
	w = smallWorld()
	w.Servers.Drain = 4 * time.Second
	expectOnly(t, runMutant(t, w, drains, (*baselinePolicy).roundRobinFresh, func(p *baselinePolicy) policy { return drainIgnoringPolicy{p} }), 3)

	// Whoever has just started has most room.
	w = smallWorld()
	w.Servers.ColdFrom, w.Servers.ColdTime, w.Rules.FallTime = 0.05, 20*time.Second, time.Second
	w.Load.Use = 0.8
	w.OpTypes[0].Need, w.OpTypes[1].Need = "any", "any"
	w.List.Added, w.List.Spread = time.Millisecond, time.Millisecond
	restart := []Fault{{Kind: "mass_restart", At: 3 * time.Second, Group: 1, Of: "replicas", Count: 1, Back: time.Second}}
	r := runMutant(t, w, restart, (*baselinePolicy).newestStarted, nil)
	expectOnly(t, r, 4)

	w = smallWorld()
	w.OpTypes[0].Need = "any"
	expectOnly(t, runMutant(t, w, []Fault{{Kind: "slow_apply", At: time.Second, Share: 1, Of: "replicas"}}, (*baselinePolicy).roundRobin, nil), 5)
}

type drainIgnoringPolicy struct{ *baselinePolicy }

func (m drainIgnoringPolicy) List(now time.Duration, scope choice.ListScope, listed []choice.Listed) {
	for _, l := range listed {
		if l.State == choice.Draining {
			l.State = choice.Ready
		}
		m.baselinePolicy.List(now, choice.ListChanges, []choice.Listed{l})
	}
}

// turnsFresh takes members in turn whose true position will do.
func (p *baselinePolicy) roundRobinFresh(o *baselineOp) *server {
	if p.primaryOnly(o) {
		return p.primary(o)
	}
	for range o.group.members {
		p.rotation++
		s := o.group.members[p.rotation%len(o.group.members)]
		want := o.minPosition + p.gateway.clockBase
		if o.opType.Need == choice.Bounded {
			want = p.gateway.sim.now - o.opType.Bound
		}
		if p.ready(s) && (s.isPrimary() || s.position() >= want && (s.startedAt == longAgo || s.speedShare(p.gateway.sim.now) >= 1)) {
			return s
		}
	}
	return nil
}

// coldest sends reads to what started last.
func (p *baselinePolicy) newestStarted(o *baselineOp) (best *server) {
	if p.primaryOnly(o) {
		return p.primary(o)
	}
	for _, s := range o.group.members {
		want := o.minPosition + p.gateway.clockBase
		if o.opType.Need == choice.Bounded {
			want = p.gateway.sim.now - o.opType.Bound
		}
		if s.isUp() && p.ready(s) && (s.isPrimary() || s.position() >= want) && (best == nil || s.startedAt > best.startedAt) {
			best = s
		}
	}
	return best
}

func TestDrawDistributions(t *testing.T) {
	const n = 200000
	var sum, exp, log, logSquare float64
	for i := range uint64(n) {
		u := draw(3, i, 5)
		if u <= 0 || u >= 1 {
			t.Fatal(u)
		}
		sum += u
		exp += exponential(u)
		x := lognormal(u, 0.8)
		log += x
		logSquare += x * x
	}
	mean, deviation := log/n, math.Sqrt(logSquare/n-log/n*log/n)
	if math.Abs(sum/n-0.5) > 0.003 || math.Abs(exp/n-1) > 0.01 || math.Abs(mean-1) > 0.01 || math.Abs(deviation-0.8) > 0.03 {
		t.Errorf("means %v %v %v, deviation %v", sum/n, exp/n, mean, deviation)
	}
}
