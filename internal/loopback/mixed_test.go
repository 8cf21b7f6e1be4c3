package loopback

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"gorsewell/internal/emulator"
)

// The move's two shapes of deployment, before the same servers: even instances run in the old one.
func changeSettings(index int, told map[string]any) (marks bool) {
	if index%2 == 0 {
		told["clients"] = map[string]any{"marks_retry": true}
		return true
	}
	told["registry_mode"] = "pushed"
	told["clients"] = map[string]any{"marks_retry": false}
	told["family_info"].(map[string]any)["tells_position"] = false
	told["family_info"].(map[string]any)["checks"] = "await"
	told["limits"].(map[string]any)["max_attempts"] = 6
	delete(told["rules"].(map[string]any), "must_ask_in") // nothing binds an instance that is told by itself
	return false
}

// playMixed plays a day on which a primary dies and comes back cold, and a replica errs.
func runMixed(t *testing.T, program string, shape func(int, map[string]any) bool) *Result {
	t.Helper()
	w := emulator.Default()
	w.Length = 6 * time.Second
	w.Gateways.Count = 6
	w.Servers.Groups, w.Servers.Members, w.Servers.Kinds = 2, 4, []emulator.Kind{{Name: "plain", Cores: 4, Speed: 1}}
	w.Load.PerSecond = 90
	w.List.Asked, w.List.Within = true, 10*time.Second
	w.Reports.Checks, w.Reports.Carried = "refuses", true
	for i := range w.OpTypes {
		if w.OpTypes[i].Need == "write" {
			w.OpTypes[i].Effect = "non_retryable"
		}
	}
	res, err := Play(context.Background(), Day{World: w, Seed: 5, Program: program, Shape: shape, Faults: []emulator.Fault{
		{Kind: "crash", At: 1500 * time.Millisecond, For: 1500 * time.Millisecond, Count: 1, Of: "primaries"},
		{Kind: "error", At: time.Second, For: 4 * time.Second, Share: 1, Of: "primaries", Size: 0.3}}})
	if err != nil {
		t.Fatal(err)
	}
	return res
}

// service is what instances of either shape earned of what their clients asked for.
func serviceByShape(res *Result) (byShape [2]float64) {
	var value [2]float64
	for i, h := range res.Homes {
		value[i%2] += h.Value
		byShape[i%2] += h.Earned
	}
	for i := range byShape {
		byShape[i] /= max(1, value[i])
	}
	return byShape
}

// starved tells whether instances of one shape earn much less than those of the other.
func starved(byShape [2]float64) bool {
	return min(byShape[0], byShape[1]) < 0.75*max(byShape[0], byShape[1])
}

// Guards against a move on which instances of both shapes, before the same servers, break a rule or starve one another. The
// two mutants show that the checks can fail: one shape that is told that its writes may run again, and one that is told of
// latency targets that nothing can meet.
func TestInstancesWithDifferentSettingsKeepRulesAndShareLoad(t *testing.T) {
	program := filepath.Join(t.TempDir(), "gorsewell")
	if out, err := exec.Command("go", "build", "-o", program, "gorsewell/cmd/gorsewell").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	for name, c := range map[string]struct {
		wrong          func(told map[string]any)
		broken, starve bool
	}{
		"both as they are": {wrong: func(map[string]any) {}},
		"writes may run again": {broken: true, wrong: func(told map[string]any) {
			for _, class := range told["classes"].([]any) {
				class.(map[string]any)["effect"] = "retryable"
			}
		}},
		"targets of a millisecond": {starve: true, wrong: func(told map[string]any) {
			for _, class := range told["classes"].([]any) {
				class.(map[string]any)["target"], class.(map[string]any)["late_value"] = int64(time.Millisecond), 0
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			res := runMixed(t, program, func(index int, told map[string]any) bool {
				marks := changeSettings(index, told)
				if index%2 == 1 {
					c.wrong(told)
				}
				return marks
			})
			byShape := serviceByShape(res)
			t.Logf("service of the old shape %.3f, of the new %.3f; rules broken %v", byShape[0], byShape[1], res.Broken)
			if broken := res.RulesBroken() > 0; broken != c.broken {
				t.Errorf("rules broken: %v, want %v: %q", res.Broken, c.broken, res.Stories)
			}
			if starved(byShape) != c.starve {
				t.Errorf("service of the old shape %.3f, of the new %.3f, one starved: want %v", byShape[0], byShape[1], c.starve)
			}
		})
	}
}
