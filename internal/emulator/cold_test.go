package emulator

import (
	"cmp"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// coldFleets is an environment variable with the numbers of gateways of the fleets to play, separated by commas.
const coldFleets = "GORSEWELL_COLD_FLEETS"

// coldCase is how a server warms up and what it withstands meanwhile.
type coldCase struct {
	coldTime, fallTime time.Duration
	coldFrom, overload float64
}

// coldWorld returns a world in which half of all replicas restart before a burst, and the faults. The capacity of all
// servers follows the number of gateways.
func coldWorld(gateways int, c coldCase) (World, []Fault) {
	w := Default()
	w.Length = 20 * time.Second
	w.Gateways.Count = gateways
	w.Servers.Groups, w.Servers.Members = 2, 5
	w.Servers.Kinds = []Kind{{"plain", max(1, gateways/5), 1}}
	w.Servers.ColdFrom, w.Servers.ColdTime = c.coldFrom, c.coldTime
	w.Rules.Overload, w.Rules.FallTime = c.overload, c.fallTime
	w.Log.Apply = 200 * time.Microsecond // a cold replica keeps up with the log
	w.Load.Use = 0.6
	return w, []Fault{{Kind: "mass_restart", At: 4 * time.Second, Of: "replicas", Count: 4, Back: time.Second},
		{Kind: "burst", At: 6 * time.Second, For: 8 * time.Second, Size: 1.5}}
}

// A cold server gets no more ops than it may, from all gateways together, in fleets of any size.
func TestColdServersStayWithinLimitInFleetsOfAnySize(t *testing.T) {
	t.Parallel()
	for field := range strings.SplitSeq(cmp.Or(os.Getenv(coldFleets), "1,2,5,30"), ",") {
		gateways, err := strconv.Atoi(field)
		if err != nil {
			t.Fatal(err)
		}
		for _, c := range []coldCase{
			{coldTime: 12 * time.Second, fallTime: 3 * time.Second, coldFrom: 0.25, overload: 4},
			{coldTime: 12 * time.Second, fallTime: 500 * time.Millisecond, coldFrom: 0.1, overload: 2},
			{coldTime: 8 * time.Second, fallTime: time.Second, coldFrom: 0.05, overload: 1.5},
		} {
			t.Run(fmt.Sprintf("%d gateways, %v of %g", gateways, c.fallTime, c.overload), func(t *testing.T) {
				w, faults := coldWorld(gateways, c)
				r := runWorld(t, w, faults, Arm{}, 1)
				if r.Cold.Sent == 0 || r.Cold.Sent > r.Cold.Limit() {
					t.Errorf("got %.1f ops in %v at a cold server, want some and at most %.1f", r.Cold.Sent, c.fallTime, r.Cold.Limit())
				}
				w.Servers.ColdFrom = 1
				warm := runWorld(t, w, faults, Arm{}, 1)
				t.Logf("%.1f ops sent, %.1f allowed, limit %.1f; service %.3f, %.3f without a ramp", r.Cold.Sent, r.Cold.Allowed,
					r.Cold.Limit(), r.Service(), warm.Service())
			})
		}
	}
}

// The limit counts all ops of a window, and has the room for random variation that the rule gives.
func TestColdLoadLimit(t *testing.T) {
	for _, c := range []struct{ allowed, want float64 }{{0, 3}, {25, 43}, {36, 50}, {100, 122}} {
		if got := (ColdLoad{Allowed: c.allowed}).Limit(); got != c.want {
			t.Errorf("%g ops allowed: got a limit of %g, want %g", c.allowed, got, c.want)
		}
	}
}

// Gateways that had never seen a warm server sent nothing to any until the end of the ramp. Now they do, within the limit.
func TestFleetThatStartsWithColdServersServes(t *testing.T) {
	t.Parallel()
	for _, gateways := range []int{1, 2, 5, 30} {
		w, _ := coldWorld(gateways, coldCase{coldTime: 12 * time.Second, fallTime: 2 * time.Second, coldFrom: 0.2, overload: 2})
		w.Load.Use = 0.2
		all := []Fault{{Kind: "mass_restart", At: 4 * time.Second, Share: 1, Back: time.Second},
			{Kind: "gateway_crash", At: 4 * time.Second, Share: 1, Back: 4 * time.Second}}
		r := runWorld(t, w, all, Arm{}, 1)
		asked, earned := 0.0, 0.0
		for _, second := range r.Windows[10:15] {
			asked += second.Value
			earned += second.Earned
		}
		t.Logf("%d gateways: %.1f ops sent, %.1f allowed, limit %.1f; service %.3f from 10 to 15 s", gateways, r.Cold.Sent, r.Cold.Allowed,
			r.Cold.Limit(), earned/asked)
		if r.Cold.Sent > r.Cold.Limit() {
			t.Errorf("%d gateways: got %.1f ops at a cold server, want at most %.1f", gateways, r.Cold.Sent, r.Cold.Limit())
		}
		if earned < asked/5 {
			t.Errorf("%d gateways: got a service of %.3f, want at least a fifth", gateways, earned/asked)
		}
	}
}
