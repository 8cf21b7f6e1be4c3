package carrier

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"gorsewell/choice"
	"gorsewell/internal/config"
	"gorsewell/internal/exchange"
	"gorsewell/internal/gossip"
	"gorsewell/internal/gossip/keys"
)

// testCluster is a set of instances on loopback with certificates of one authority.
type testCluster struct {
	t         *testing.T
	authority *keys.Authority
	seeds     []string // addresses of the instances started so far
}

func newTestCluster(t *testing.T) *testCluster {
	a, err := keys.NewAuthority("home")
	if err != nil {
		t.Fatal(err)
	}
	return &testCluster{t: t, authority: a}
}

// issueKeyring returns a keyring with a new key and a certificate by the issuer. The issuer's certificates and those
// of the other accepted authorities are valid for it.
func (tc *testCluster) issueKeyring(name string, validity time.Duration, issuer *keys.Authority, accepted ...*keys.Authority) *keys.Keyring {
	tc.t.Helper()
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		tc.t.Fatal(err)
	}
	c, err := issuer.Issue(name, public, time.Now().Add(validity))
	if err != nil {
		tc.t.Fatal(err)
	}
	k, err := keys.NewKeyring(c, private, append(accepted, issuer), time.Now())
	if err != nil {
		tc.t.Fatal(err)
	}
	return k
}

// rumourRecorder records the weights that the carrier reports to the gateway.
type rumourRecorder struct {
	mu      sync.Mutex
	weights map[uint32]float64
}

func (r *rumourRecorder) Rumour(server uint32, weight float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.weights[server] = weight
}

func (r *rumourRecorder) weight(server uint32) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.weights[server]
}

// instance is a running carrier.
type instance struct {
	*Carrier
	recorder *rumourRecorder
	stop     context.CancelFunc
	done     chan error
}

// start starts an instance with the instances started before it as seeds. Its intervals are short, as tests wait for
// them.
func (tc *testCluster) start(name string, keyring *keys.Keyring, change func(*config.Gossip)) *instance {
	tc.t.Helper()
	s := config.Default().Gossip
	s.Enabled, s.Cluster, s.Listen, s.Seeds = true, "test", "127.0.0.1:0", tc.seeds
	s.ProbeEvery, s.ProbeTimeout, s.SuspectFor, s.TellEvery, s.SyncEvery = 200*time.Millisecond, 80*time.Millisecond, 600*time.Millisecond, 40*time.Millisecond, time.Second
	if change != nil {
		change(&s)
	}
	recorder := &rumourRecorder{weights: map[uint32]float64{}}
	c, err := New(s, name, keyring, exchange.StartClock(), recorder, func(id uint32) string { return fmt.Sprint("s-", id) })
	if err != nil {
		tc.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	i := &instance{c, recorder, stop, make(chan error, 1)}
	go func() { i.done <- c.Run(ctx) }()
	tc.t.Cleanup(i.shutdown)
	tc.seeds = append(tc.seeds, c.Addr().String())
	c.Listed(map[uint32]string{1: "", 2: "", 3: "", 4: "", 5: "", 6: "", 7: "", 8: "", 9: ""})
	return i
}

// shutdown stops the instance and waits for it to end.
func (i *instance) shutdown() {
	i.stop()
	if i.done != nil {
		<-i.done
		i.done = nil
	}
}

// countByStatus returns the number of members with a status, as the instance sees it.
func (i *instance) countByStatus(s gossip.Status) (count int) {
	peers, _ := callNode(i.Carrier, i.node.Peers)
	for _, p := range peers {
		if p.Status == s {
			count++
		}
	}
	return count
}

// waitUntil waits up to 20 s for a condition and fails the test if it does not become true.
func (tc *testCluster) waitUntil(what string, condition func() bool) {
	tc.t.Helper()
	for end := time.Now().Add(20 * time.Second); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			tc.t.Fatalf("condition not met within 20 s: %s", what)
		}
	}
}

func TestInstancesJoinShareRumoursAndLeave(t *testing.T) {
	tc := newTestCluster(t)
	var all []*instance
	for n := range 5 {
		name := fmt.Sprint("n", n)
		all = append(all, tc.start(name, tc.issueKeyring(name, time.Hour, tc.authority), nil))
	}
	for _, i := range all {
		tc.waitUntil(i.name+" knows all 4 others", func() bool { return i.countByStatus(gossip.StatusAlive) == 4 })
	}
	for _, i := range all[:4] {
		i.Trouble(3, choice.Silence)
	}
	tc.waitUntil("the fifth instance has a rumour about server 3", func() bool { return all[4].recorder.weight(3) > 1 })
	if all[4].recorder.weight(2) != 0 {
		t.Error("server 2, which no instance reported: got a weight, want 0")
	}
	for _, i := range all[:4] {
		i.Trouble(3, choice.NoTrouble)
	}
	tc.waitUntil("the rumour about server 3 is withdrawn", func() bool { return all[4].recorder.weight(3) == 0 })
	all[0].shutdown()
	tc.waitUntil("the fifth instance holds the first as left", func() bool { return all[4].countByStatus(gossip.StatusLeft) == 1 })
}

// A rumour about a server that the gateway's list does not name yet is reported to the gateway when the list names it.
func TestRumourIsReportedOnceListNamesServer(t *testing.T) {
	tc := newTestCluster(t)
	a, b := tc.start("a", tc.issueKeyring("a", time.Hour, tc.authority), nil), tc.start("b", tc.issueKeyring("b", time.Hour, tc.authority), nil)
	tc.waitUntil("a and b are members of each other", func() bool {
		return a.countByStatus(gossip.StatusAlive) == 1 && b.countByStatus(gossip.StatusAlive) == 1
	})
	b.Forget(7)
	a.Trouble(7, choice.Unreachable)
	tc.waitUntil("b holds the rumour", func() bool {
		w, err := callNode(b.Carrier, func() float64 { return b.node.Weight(0, xxhash.Sum64String("s-7")) })
		return err == nil && w > 0
	})
	if b.recorder.weight(7) != 0 {
		t.Error("rumour about a server that the list does not name: got a report, want none")
	}
	b.Listed(map[uint32]string{7: ""})
	tc.waitUntil("the rumour is reported to b's gateway", func() bool { return b.recorder.weight(7) > 0 })
}

func TestForeignInstancesAreRejected(t *testing.T) {
	tc := newTestCluster(t)
	a := tc.start("a", tc.issueKeyring("a", time.Hour, tc.authority), nil)
	b := tc.start("b", tc.issueKeyring("b", time.Hour, tc.authority), nil)
	tc.waitUntil("b is a member at a", func() bool { return a.countByStatus(gossip.StatusAlive) == 1 })
	other, err := keys.NewAuthority("other")
	if err != nil {
		t.Fatal(err)
	}
	tc.start("foreign", tc.issueKeyring("foreign", time.Hour, other, tc.authority), nil)
	tc.start("elsewhere", tc.issueKeyring("elsewhere", time.Hour, tc.authority), func(s *config.Gossip) { s.Cluster = "another" })
	tc.waitUntil("the foreign instances have been rejected", func() bool {
		return a.counts.Authority.Load()+b.counts.Authority.Load() > 1 && a.counts.Cluster.Load()+b.counts.Cluster.Load() > 1
	})
	if a.countByStatus(gossip.StatusAlive) != 1 || b.countByStatus(gossip.StatusAlive) != 1 {
		t.Error("members after foreign instances tried to join: got more or fewer than 1, want 1")
	}
	if _, err := keys.NewKeyring(tc.issueKeyring("x", time.Hour, tc.authority).Certificate, tc.issueKeyring("x", time.Hour, tc.authority).Private, nil, time.Now()); err == nil {
		t.Error("NewKeyring with a certificate for another key: got no error, want one")
	}
	if _, err := New(config.Gossip{Listen: "127.0.0.1:0"}, "a", tc.issueKeyring("b", time.Hour, tc.authority), exchange.StartClock(), nil, nil); err == nil ||
		!strings.Contains(err.Error(), `is for instance "b"`) {
		t.Errorf("New with the certificate of instance b: got error %v, want one that names b", err)
	}
}

// The authority is rotated in three steps: all instances accept both authorities, then get certificates of the new
// one, then reject the old one. An instance that keeps its old certificate is expelled; the others stay members
// throughout.
func TestAuthorityRotationKeepsMembers(t *testing.T) {
	tc := newTestCluster(t)
	keyrings := map[string]*keys.Keyring{}
	var all []*instance
	for n := range 4 {
		name := fmt.Sprint("n", n)
		keyrings[name] = tc.issueKeyring(name, time.Hour, tc.authority)
		all = append(all, tc.start(name, keyrings[name], nil))
	}
	waitForMembers := func(count int, instances ...*instance) {
		t.Helper()
		for _, i := range instances {
			tc.waitUntil(fmt.Sprintf("%s knows %d members", i.name, count), func() bool { return i.countByStatus(gossip.StatusAlive) == count })
		}
	}
	waitForMembers(3, all...)
	next, err := keys.NewAuthority("next")
	if err != nil {
		t.Fatal(err)
	}
	rekey := func(i *instance, issuer *keys.Authority, accepted ...*keys.Authority) {
		t.Helper()
		old := keyrings[i.name]
		c, err := issuer.Issue(i.name, old.Certificate.Public, time.Now().Add(time.Hour))
		if err != nil {
			t.Fatal(err)
		}
		keyring, err := keys.NewKeyring(c, old.Private, accepted, time.Now())
		if err != nil {
			t.Fatal(err)
		}
		keyrings[i.name] = keyring
		if err := i.Rekey(keyring); err != nil {
			t.Fatal(err)
		}
	}
	for _, i := range all {
		rekey(i, tc.authority, tc.authority, next)
	}
	for _, i := range all[:3] {
		rekey(i, next, tc.authority, next)
	}
	tc.waitUntil("the first three instances verify the new certificates", func() bool {
		verified := 0
		for _, i := range all[:3] {
			i.codecMu.Lock()
			for _, o := range all[:3] {
				if peer, err := i.codec.VerifyPeer(keyrings[o.name].Certificate.Encode()); err == nil && peer.Name == o.name {
					verified++
				}
			}
			i.codecMu.Unlock()
		}
		return verified == 9
	})
	waitForMembers(3, all...)
	for _, i := range all[:3] {
		rekey(i, next, next)
	}
	waitForMembers(2, all[:3]...)
	if n := all[0].countByStatus(gossip.StatusDead); n != 0 {
		t.Errorf("dead members after the rotation: got %d, want 0", n)
	}
	if err := all[0].Rekey(keyrings["n1"]); err == nil {
		t.Error("Rekey with the certificate of another instance: got no error, want one")
	}
}

// Invalid datagrams are dropped before they reach the node and counted by cause, and members still reach each other.
func TestInvalidDatagramsAreDroppedByCause(t *testing.T) {
	tc := newTestCluster(t)
	a, b := tc.start("a", tc.issueKeyring("a", time.Hour, tc.authority), nil), tc.start("b", tc.issueKeyring("b", time.Hour, tc.authority), nil)
	tc.waitUntil("a and b are members of each other", func() bool {
		return a.countByStatus(gossip.StatusAlive) == 1 && b.countByStatus(gossip.StatusAlive) == 1
	})
	c, err := net.Dial("udp", a.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	b.codecMu.Lock()
	valid, err := b.codec.EncodeDatagram(ownKey(a), &gossip.Message{Kind: gossip.Ping, Number: 1})
	b.codecMu.Unlock()
	if err != nil {
		t.Fatal(err)
	}
	altered := append([]byte(nil), valid...)
	altered[60] ^= 1
	tc.waitUntil("all invalid datagrams are counted", func() bool {
		c.Write([]byte("hello"))
		c.Write(make([]byte, 4000))
		c.Write(altered)
		c.Write(valid) // the first is valid, the others are replays
		n := &a.counts
		replayed, err := callNode(a.Carrier, func() int64 { return a.node.Counts().Replayed })
		return err == nil && n.Form.Load() >= 50 && n.Oversized.Load() >= 50 && n.Tag.Load() >= 50 && replayed >= 49
	})
	before, _ := callNode(a.Carrier, a.node.Counts)
	tc.waitUntil("valid datagrams still arrive", func() bool {
		now, err := callNode(a.Carrier, a.node.Counts)
		return err == nil && now.Received > before.Received+3
	})
	if a.countByStatus(gossip.StatusAlive) != 1 || b.countByStatus(gossip.StatusAlive) != 1 {
		t.Error("alive members after invalid datagrams: got other than 1, want 1")
	}
}

// ownKey returns the ID of an instance's own key.
func ownKey(i *instance) gossip.KeyID {
	i.codecMu.Lock()
	defer i.codecMu.Unlock()
	return i.codec.OwnKey()
}

// Beyond the receive budget, datagrams of a flood stay in the socket's buffer, where the kernel drops them.
func TestReceiveBudgetLimitsFlood(t *testing.T) {
	tc := newTestCluster(t)
	a := tc.start("a", tc.issueKeyring("a", time.Hour, tc.authority), func(s *config.Gossip) { s.Limits.ReceivedPerSecond = 50 })
	c, err := net.Dial("udp", a.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	invalid := make([]byte, 200)
	for range 20000 {
		c.Write(invalid)
	}
	tc.waitUntil("more than 100 datagrams are handled", func() bool { return a.counts.Form.Load() > 100 })
	if n := a.counts.Form.Load() + a.counts.Budget.Load(); n > 15000 {
		t.Errorf("datagrams read of a flood of 20000: got %d, want at most 15000", n)
	}
}

func TestInstanceOnUnspecifiedAddressLearnsItsAddress(t *testing.T) {
	tc := newTestCluster(t)
	a := tc.start("a", tc.issueKeyring("a", time.Hour, tc.authority), nil)
	b := tc.start("b", tc.issueKeyring("b", time.Hour, tc.authority), func(s *config.Gossip) { s.Listen = "0.0.0.0:0" })
	tc.waitUntil("a reaches b", func() bool {
		return a.countByStatus(gossip.StatusAlive) == 1 && b.countByStatus(gossip.StatusAlive) == 1
	})
	peers, err := callNode(a.Carrier, a.node.Peers)
	if want := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), b.Addr().Port()); err != nil || peers[0].Addr != want {
		t.Errorf("address of b: got %v, want %v", peers[0].Addr, want)
	}
}
