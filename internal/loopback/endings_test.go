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

// program builds the gateway.
func buildGateway(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "gorsewell")
	if out, err := exec.Command("go", "build", "-o", path, "gorsewell/cmd/gorsewell").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return path
}

// Several processes before the same servers, and a fault between them. The rules are checked by the servers and clients.
func TestRulesHoldDuringDrainsAndRestarts(t *testing.T) {
	gateway := buildGateway(t)
	for name, c := range map[string]struct {
		change func(w *emulator.World)
		faults []emulator.Fault
		holds  func(t *testing.T, res *Result)
	}{
		// Connections take longer to come up than a drain may be overlooked for, and few are kept.
		"a server drains while many dial it": {
			change: func(w *emulator.World) {
				w.Length, w.Gateways.Count, w.Load.PerSecond = 5*time.Second, 20, 150
				w.Servers.Handshake, w.Servers.ConnectFor, w.Servers.Idle = 700*time.Millisecond, 2*time.Second, 60*time.Millisecond
				for i := range w.OpTypes {
					w.OpTypes[i].Target, w.OpTypes[i].Timeout, w.OpTypes[i].LateValue = 2*time.Second, 3*time.Second, 0.5
				}
			},
			faults: []emulator.Fault{{Kind: "drain", At: 2 * time.Second, For: 2500 * time.Millisecond, Share: 0.5}},
		},
		"seven in ten are killed with ops in flight": {
			change: func(w *emulator.World) { w.Length, w.Gateways.Count = 4*time.Second, 10 },
			faults: []emulator.Fault{{Kind: "gateway_crash", At: time.Second, Share: 0.7, Back: 200 * time.Millisecond}},
			holds: func(t *testing.T, res *Result) {
				if len(res.Ready) != 7 || res.Lost+res.Crossed == 0 {
					t.Errorf("%d were started again, %d tries were cut off", len(res.Ready), res.Lost+res.Crossed)
				}
			},
		},
		"seven in ten are stopped by plan with ops in flight": {
			change: func(w *emulator.World) {
				w.Length, w.Gateways.Count, w.Clients.Patience = 5*time.Second, 10, 1
				w.Load.PerSecond, w.OpTypes[0].Timeout, w.OpTypes[2].Timeout = 50, 2*time.Second, 2*time.Second
				for i := range w.OpTypes { // still under way when connections begin to be closed
					w.OpTypes[i].Work, w.OpTypes[i].Vary, w.OpTypes[i].Target = 450*time.Millisecond, 0.3, 1500*time.Millisecond
				}
			},
			faults: []emulator.Fault{{Kind: "gateway_roll", At: time.Second, Share: 0.7, Back: 200 * time.Millisecond}},
			holds: func(t *testing.T, res *Result) {
				if len(res.Ready) != 7 || res.Lost != 0 {
					t.Errorf("%d were started again, %d tries were cut off", len(res.Ready), res.Lost)
				}
				stopped, left := 0, int64(0)
				for _, last := range res.Gateways {
					lives := strings.Split(strings.TrimSpace(last), "\n")
					stopped += len(lives)
					for _, life := range lives {
						var n int64
						_, rest, _ := strings.Cut(life, " left=")
						fmt.Sscan(rest, &n)
						left += n
						if !strings.Contains(life, " held=0 ") || !strings.Contains(life, "assertions_broken=0") {
							t.Error(life)
						}
					}
				}
				if stopped != 17 || left > res.TimedOut {
					t.Errorf("%d ended by themselves; they lost %d clients, %d of whom left by themselves", stopped, left, res.TimedOut)
				}
			},
		},
		"every watch falls silent before servers drain": {
			change: func(w *emulator.World) { w.Length, w.Gateways.Count = 9*time.Second, 6 },
			faults: []emulator.Fault{{Kind: "list_silent", At: 500 * time.Millisecond},
				{Kind: "drain", At: 600 * time.Millisecond, Share: 0.34}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := emulator.Default()
			w.Load.PerSecond, w.List.Within = 90, 10*time.Second
			c.change(&w)
			res, err := Play(context.Background(), Day{World: w, Seed: 5, Program: gateway, Faults: c.faults})
			if err != nil {
				t.Fatal(err)
			}
			if res.RulesBroken() > 0 || res.Garbled > 0 {
				t.Errorf("rules broken %v: %q", res.Broken, res.Stories)
			}
			if res.Service() < 0.3 || res.Sends < 100 {
				t.Errorf("service %.2f, %d sends: the day shows nothing", res.Service(), res.Sends)
			}
			for _, e := range res.Events {
				if strings.Contains(e.What, "does not start again") || strings.Contains(e.What, "is killed") {
					t.Error(e.What)
				}
			}
			for _, took := range res.Ready {
				if took > 10*time.Second {
					t.Errorf("ready after %v", took)
				}
			}
			if c.holds != nil {
				c.holds(t, res)
			}
			t.Logf("service %.2f, %d sends, %d tries cut off, ready after %v", res.Service(), res.Sends, res.Lost, res.Ready)
		})
	}
}
