package loopback

import (
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gorsewell/internal/emulator"
)

// buildGateway builds the gateway's binary and returns its path.
func buildGateway(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "gorsewell")
	if out, err := exec.Command("go", "build", "-o", path, "gorsewell/cmd/gorsewell").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return path
}

// Guards against gateway processes that break a rule, mix up answers or fail to restart while servers drain, gateways
// restart or watches fall silent. The stand-in servers and the clients check the rules.
func TestRulesHoldDuringDrainsAndRestarts(t *testing.T) {
	program := buildGateway(t)
	for name, test := range map[string]struct {
		change func(w *emulator.World)
		faults []emulator.Fault
		check  func(t *testing.T, res *Result)
	}{
		// A connection takes longer to set up than the grace after the start of a drain, and idle connections are closed
		// soon, so many dials are in progress when the drain starts.
		"servers drain during many dials": {
			change: func(w *emulator.World) {
				w.Length, w.Gateways.Count, w.Load.PerSecond = 5*time.Second, 20, 150
				w.Servers.Handshake, w.Servers.ConnectFor, w.Servers.Idle = 700*time.Millisecond, 2*time.Second, 60*time.Millisecond
				for i := range w.OpTypes {
					w.OpTypes[i].Target, w.OpTypes[i].Timeout, w.OpTypes[i].LateValue = 2*time.Second, 3*time.Second, 0.5
				}
			},
			faults: []emulator.Fault{{Kind: "drain", At: 2 * time.Second, For: 2500 * time.Millisecond, Share: 0.5}},
		},
		"70 percent of gateways are killed with ops in flight": {
			change: func(w *emulator.World) { w.Length, w.Gateways.Count = 4*time.Second, 10 },
			faults: []emulator.Fault{{Kind: "gateway_crash", At: time.Second, Share: 0.7, Back: 200 * time.Millisecond}},
			check: func(t *testing.T, res *Result) {
				if len(res.StartupTimes) != 7 || res.Lost+res.CloseRaces == 0 {
					t.Errorf("gateways restarted: got %d, want 7; attempts cut off: got %d, want more than 0",
						len(res.StartupTimes), res.Lost+res.CloseRaces)
				}
			},
		},
		"70 percent of gateways have a planned stop with ops in flight": {
			change: func(w *emulator.World) {
				w.Length, w.Gateways.Count, w.Clients.Patience = 5*time.Second, 10, 1
				w.Load.PerSecond, w.OpTypes[0].Timeout, w.OpTypes[2].Timeout = 50, 2*time.Second, 2*time.Second
				for i := range w.OpTypes { // ops are still in progress when the gateways start to close connections
					w.OpTypes[i].Work, w.OpTypes[i].Vary, w.OpTypes[i].Target = 450*time.Millisecond, 0.3, 1500*time.Millisecond
				}
			},
			faults: []emulator.Fault{{Kind: "gateway_roll", At: time.Second, Share: 0.7, Back: 200 * time.Millisecond}},
			check: func(t *testing.T, res *Result) {
				if len(res.StartupTimes) != 7 || res.Lost != 0 {
					t.Errorf("gateways restarted: got %d, want 7; attempts cut off: got %d, want 0", len(res.StartupTimes), res.Lost)
				}
				stopped, leftClients := 0, int64(0)
				for _, log := range res.CounterLogs {
					runs := strings.Split(strings.TrimSpace(log), "\n")
					stopped += len(runs)
					for _, run := range runs {
						var n int64
						_, rest, _ := strings.Cut(run, " left=")
						fmt.Sscan(rest, &n)
						leftClients += n
						if !strings.Contains(run, " held=0 ") || !strings.Contains(run, "assertions_broken=0") {
							t.Error(run)
						}
					}
				}
				if stopped != 17 || leftClients > res.TimedOut {
					t.Errorf("processes that logged their stop: got %d, want 17; clients that left: got %d, want at most the %d that timed out",
						stopped, leftClients, res.TimedOut)
				}
			},
		},
		"all watches fall silent before servers drain": {
			change: func(w *emulator.World) { w.Length, w.Gateways.Count = 9*time.Second, 6 },
			faults: []emulator.Fault{{Kind: "list_silent", At: 500 * time.Millisecond},
				{Kind: "drain", At: 600 * time.Millisecond, Share: 0.34}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := emulator.Default()
			w.Load.PerSecond, w.List.Within = 90, 10*time.Second
			test.change(&w)
			res, err := Run(context.Background(), Scenario{World: w, Seed: 5, Program: program, Faults: test.faults})
			if err != nil {
				t.Fatal(err)
			}
			if res.RulesBroken() > 0 || res.Mismatched > 0 {
				t.Errorf("violations by rule: got %v, want none: %q", res.Broken, res.Stories)
			}
			if res.Service() < 0.3 || res.Sends < 100 {
				t.Errorf("got service %.2f and %d sends, want at least 0.3 and 100 for a meaningful run", res.Service(), res.Sends)
			}
			for _, e := range res.Events {
				if strings.Contains(e.What, "does not start again") || strings.Contains(e.What, "is killed") {
					t.Error(e.What)
				}
			}
			for _, took := range res.StartupTimes {
				if took > 10*time.Second {
					t.Errorf("startup time: got %v, want at most 10s", took)
				}
			}
			if test.check != nil {
				test.check(t, res)
			}
			t.Logf("service %.2f, %d sends, %d attempts cut off, startup times %v", res.Service(), res.Sends, res.Lost,
				res.StartupTimes)
		})
	}
}
