package emulator

import (
	"testing"
	"time"
)

// fleet is a world of some instances, each of which sees few ops.
func fleet(n int) World {
	w := Default()
	w.Gateways.Count = n
	w.Servers.Groups, w.Servers.Kinds = 4, []Kind{{"plain", 3, 1}}
	w.Length, w.Gossip.Warm = 25*time.Second, 30*time.Second
	return w
}

// A fifth of all instances says again and again that healthy primaries are gone, in its own name and under many: no write
// leaves them, no op is lost, probes stay inside the ration, and service is what it was.
func TestPrimariesAreNotTalkedAway(t *testing.T) {
	for _, how := range []string{"primaries", "names"} {
		w := fleet(30)
		quiet := play(t, w, nil, Arm{Gossip: true}, 1)
		r := play(t, w, []Fault{{Kind: "liar", Share: 0.2, How: how}}, Arm{Gossip: true}, 1)
		if r.RulesBroken() > 0 {
			t.Errorf("%s: %v %+v", how, r.Broken, r.Stories)
		}
		// Writes that go elsewhere are turned away there. A slow answer makes a gateway look round now and then, lies or not.
		if missed, writes := r.SendEnds[8], r.Types[2].Asked; missed*200 > writes {
			t.Errorf("%s: %d sends missed, of %d writes", how, missed, writes)
		}
		// Held reads ask beside the ration, liars or not.
		if most := float64(quiet.Probes) + 0.25*float64(r.Taken); float64(r.Probes) > most {
			t.Errorf("%s: %d probes, %d without liars, the ration adds %.0f at most", how, r.Probes, quiet.Probes, most)
		}
		if r.Service() < 0.99*quiet.Service() {
			t.Errorf("%s: service %.4f, without liars %.4f", how, r.Service(), quiet.Service())
		}
	}
}

// Whatever lies are told on a day on which servers hang, service is no worse than without gossip, and no rule breaks.
func TestNoLieCostsService(t *testing.T) {
	hang := Fault{Kind: "hang", At: 5 * time.Second, For: 10 * time.Second, Share: 0.2, Of: "replicas"}
	w := fleet(30)
	without := play(t, w, []Fault{hang}, Arm{}, 2)
	for _, how := range append(Lies, "mixed") {
		r := play(t, w, []Fault{hang, {Kind: "liar", Share: 0.2, How: how}}, Arm{Gossip: true}, 2)
		if r.RulesBroken() > 0 {
			t.Errorf("%s: %v %+v", how, r.Broken, r.Stories)
		}
		if r.Service() < 0.985*without.Service() {
			t.Errorf("%s: service %.4f, without gossip %.4f", how, r.Service(), without.Service())
		}
		if r.Gossip.False > 0 {
			t.Errorf("%s: %d false deaths", how, r.Gossip.False)
		}
	}
}

// A server that half the instances can reach and half cannot: each keeps what works for it. Those that reach it see by their
// own acks that it does, and the others' word loses its weight with them.
func TestAServerThatHalfCanReach(t *testing.T) {
	w := fleet(30)
	w.Length = 40 * time.Second
	f := []Fault{{Kind: "one_sided", At: 2 * time.Second, Count: 1, Of: "replicas", Size: 0.5}}
	r, err := newRun(w, f, Arm{Gossip: true}, 3)
	if err != nil {
		t.Fatal(err)
	}
	r.play()
	with, without := r.result, play(t, w, f, Arm{}, 3)
	if with.RulesBroken() > 0 || with.Service() < 0.995*without.Service() {
		t.Errorf("service %.4f with gossip, %.4f without, rules %v", with.Service(), without.Service(), with.Broken)
	}
	if with.Gossip.Counts.Contradicted == 0 {
		t.Error("nobody saw otherwise")
	}
	var struck *server
	reach := map[int]bool{}
	for _, c := range r.cuts {
		for id := range c.servers {
			struck = r.servers[id-1]
		}
		reach = c.gateways
	}
	used := 0
	for i, g := range r.gateways {
		if !reach[i] && len(g.link(struck).idle) > 0 {
			used++
		}
	}
	if used < 12 {
		t.Errorf("of 15 that reach it %d still use it", used)
	}
}

// Instances that die and return with nothing, in turn, while servers hang.
func TestInstancesDieWhileTheyGossip(t *testing.T) {
	f := []Fault{{Kind: "hang", At: 5 * time.Second, For: 10 * time.Second, Share: 0.2}, {Kind: "gateway_crash", At: 3 * time.Second, Share: 0.2, Back: 2 * time.Second, Every: 4 * time.Second},
		{Kind: "gateway_pause", At: 6 * time.Second, Count: 3, Back: 5 * time.Second}}
	w := fleet(30)
	with, without := play(t, w, f, Arm{Gossip: true}, 4), play(t, w, f, Arm{}, 4)
	if with.RulesBroken() > 0 || with.Service() < 0.98*without.Service() {
		t.Errorf("service %.4f with gossip, %.4f without, rules %v %+v", with.Service(), without.Service(), with.Broken, with.Stories)
	}
}

// Rumours reach nearly all within two seconds, deaths within ten.
func TestNewsTravels(t *testing.T) {
	w := fleet(60)
	f := []Fault{{Kind: "hang", At: 3 * time.Second, For: 20 * time.Second, Share: 0.2}, {Kind: "gateway_crash", At: 6 * time.Second, Count: 2, Back: 15 * time.Second}}
	r := play(t, w, f, Arm{Gossip: true}, 5)
	if len(r.Gossip.Known) == 0 || len(r.Gossip.Died) == 0 {
		t.Fatalf("%d rumours and %d deaths were measured", len(r.Gossip.Known), len(r.Gossip.Died))
	}
	for _, d := range r.Gossip.Known {
		if d > 4*time.Second {
			t.Errorf("a rumour took %v", d)
		}
	}
	for _, d := range r.Gossip.Died {
		if d > 10*time.Second {
			t.Errorf("a death took %v", d)
		}
	}
}
