package loopback

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"gorsewell/internal/emulator"
)

// changeSettings gives the gateways with an even index the settings before a migration, and those with an odd index the
// settings after it. It reports whether the clients of the gateway mark retries as such.
func changeSettings(index int, settings map[string]any) (marksRetries bool) {
	if index%2 == 0 {
		settings["clients"] = map[string]any{"marks_retry": true}
		return true
	}
	settings["registry_mode"] = "pushed"
	settings["clients"] = map[string]any{"marks_retry": false}
	settings["family_info"].(map[string]any)["tells_position"] = false
	settings["family_info"].(map[string]any)["checks"] = "await"
	settings["limits"].(map[string]any)["max_attempts"] = 6
	delete(settings["rules"].(map[string]any), "must_ask_in") // does not bind gateways to which changes are pushed
	return false
}

// runMixed runs a scenario in which the servers that are primaries after 1 s fail 30 percent of their ops for 4 s, and
// one primary crashes and restarts cold in the meantime.
func runMixed(t *testing.T, program string, changeSettings func(int, map[string]any) bool) *Result {
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
	res, err := Run(context.Background(), Scenario{World: w, Seed: 5, Program: program, ChangeSettings: changeSettings,
		Faults: []emulator.Fault{
			{Kind: "crash", At: 1500 * time.Millisecond, For: 1500 * time.Millisecond, Count: 1, Of: "primaries"},
			{Kind: "error", At: time.Second, For: 4 * time.Second, Share: 1, Of: "primaries", Size: 0.3}}})
	if err != nil {
		t.Fatal(err)
	}
	return res
}

// serviceBySettings returns the service of the clients of gateways with the old settings, and of those with the new
// settings.
func serviceBySettings(res *Result) (bySettings [2]float64) {
	var value [2]float64
	for i, gateway := range res.ByGateway {
		value[i%2] += gateway.Value
		bySettings[i%2] += gateway.Earned
	}
	for i := range bySettings {
		bySettings[i] /= max(1, value[i])
	}
	return bySettings
}

// starved reports whether the clients of gateways with one kind of settings get much less service than the others.
func starved(bySettings [2]float64) bool {
	return min(bySettings[0], bySettings[1]) < 0.75*max(bySettings[0], bySettings[1])
}

// Guards against a migration during which gateways with old and new settings, which use the same servers, break a rule
// or starve one another. Two cases with wrong settings show that the checks can fail: in one, half of the gateways take
// writes for retryable; in the other, they have latency targets that nothing can meet.
func TestInstancesWithDifferentSettingsKeepRulesAndShareLoad(t *testing.T) {
	program := filepath.Join(t.TempDir(), "gorsewell")
	if out, err := exec.Command("go", "build", "-o", program, "gorsewell/cmd/gorsewell").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	for name, test := range map[string]struct {
		spoil  func(settings map[string]any) // makes the new settings wrong
		broken bool                          // rules are expected to be violated
		starve bool                          // one kind of settings is expected to be starved
	}{
		"old and new settings": {spoil: func(map[string]any) {}},
		"new settings make writes retryable": {broken: true, spoil: func(settings map[string]any) {
			for _, class := range settings["classes"].([]any) {
				class.(map[string]any)["effect"] = "retryable"
			}
		}},
		"new settings have latency targets of 1 ms": {starve: true, spoil: func(settings map[string]any) {
			for _, class := range settings["classes"].([]any) {
				class.(map[string]any)["target"], class.(map[string]any)["late_value"] = int64(time.Millisecond), 0
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			res := runMixed(t, program, func(index int, settings map[string]any) bool {
				marksRetries := changeSettings(index, settings)
				if index%2 == 1 {
					test.spoil(settings)
				}
				return marksRetries
			})
			bySettings := serviceBySettings(res)
			t.Logf("service with old settings %.3f, with new settings %.3f; violations by rule %v", bySettings[0],
				bySettings[1], res.Broken)
			if broken := res.RulesBroken() > 0; broken != test.broken {
				t.Errorf("violations by rule: got %v, want any: %v: %q", res.Broken, test.broken, res.Stories)
			}
			if starved(bySettings) != test.starve {
				t.Errorf("got service %.3f with old settings and %.3f with new settings, want one starved: %v", bySettings[0],
					bySettings[1], test.starve)
			}
		})
	}
}
