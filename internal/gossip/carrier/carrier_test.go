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

// testCluster is an authority with its instances on loopback.
type testCluster struct {
	t         *testing.T
	authority *keys.Authority
	seeds     []string
}

func newTestCluster(t *testing.T) *testCluster {
	a, err := keys.NewAuthority("home")
	if err != nil {
		t.Fatal(err)
	}
	return &testCluster{t: t, authority: a}
}

func (p *testCluster) issueKeyring(name string, lasts time.Duration, by *keys.Authority, counts ...*keys.Authority) *keys.Keyring {
	p.t.Helper()
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		p.t.Fatal(err)
	}
	c, err := by.Issue(name, public, time.Now().Add(lasts))
	if err != nil {
		p.t.Fatal(err)
	}
	k, err := keys.NewKeyring(c, private, append(counts, by), time.Now())
	if err != nil {
		p.t.Fatal(err)
	}
	return k
}

// rumourRecorder writes down what the gateway would be told.
type rumourRecorder struct {
	mu      sync.Mutex
	weights map[uint32]float64
}

func (d *rumourRecorder) Rumour(server uint32, weight float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.weights[server] = weight
}

func (d *rumourRecorder) weight(server uint32) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.weights[server]
}

type instance struct {
	*Carrier
	recorder *rumourRecorder
	stop     context.CancelFunc
	done     chan error
}

// start starts an instance; the first are the others' seeds. Its times are short, as a test waits for them.
func (p *testCluster) start(name string, ring *keys.Keyring, change func(*config.Gossip)) *instance {
	p.t.Helper()
	s := config.Default().Gossip
	s.Enabled, s.Cluster, s.Listen, s.Seeds = true, "test", "127.0.0.1:0", p.seeds
	s.ProbeEvery, s.ProbeTimeout, s.SuspectFor, s.TellEvery, s.SyncEvery = 200*time.Millisecond, 80*time.Millisecond, 600*time.Millisecond, 40*time.Millisecond, time.Second
	if change != nil {
		change(&s)
	}
	d := &rumourRecorder{weights: map[uint32]float64{}}
	c, err := New(s, name, ring, exchange.StartClock(), d, func(id uint32) string { return fmt.Sprint("s-", id) })
	if err != nil {
		p.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	i := &instance{c, d, stop, make(chan error, 1)}
	go func() { i.done <- c.Run(ctx) }()
	p.t.Cleanup(i.shutdown)
	p.seeds = append(p.seeds, c.Addr().String())
	c.Listed(map[uint32]string{1: "", 2: "", 3: "", 4: "", 5: "", 6: "", 7: "", 8: "", 9: ""})
	return i
}

func (i *instance) shutdown() {
	i.stop()
	if i.done != nil {
		<-i.done
		i.done = nil
	}
}

// countStanding counts the members that an instance holds so.
func (i *instance) countStanding(s gossip.Standing) (count int) {
	peers, _ := callNode(i.Carrier, i.node.Peers)
	for _, p := range peers {
		if p.Standing == s {
			count++
		}
	}
	return count
}

func (p *testCluster) waitUntil(what string, holds func() bool) {
	p.t.Helper()
	for end := time.Now().Add(20 * time.Second); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			p.t.Fatalf("not within 20 s: %s", what)
		}
	}
}

func TestInstancesFindOneAnotherShareAndLeave(t *testing.T) {
	p := newTestCluster(t)
	var all []*instance
	for n := range 5 {
		name := fmt.Sprint("n", n)
		all = append(all, p.start(name, p.issueKeyring(name, time.Hour, p.authority), nil))
	}
	for _, i := range all {
		p.waitUntil(i.name+" knows all", func() bool { return i.countStanding(gossip.IsAlive) == 4 })
	}
	for _, i := range all[:4] {
		i.Trouble(3, choice.Silence)
	}
	p.waitUntil("the fifth hears of server 3", func() bool { return all[4].recorder.weight(3) > 1 })
	if all[4].recorder.weight(2) != 0 {
		t.Error("a server of which nobody spoke")
	}
	for _, i := range all[:4] {
		i.Trouble(3, choice.NoTrouble)
	}
	p.waitUntil("it ends", func() bool { return all[4].recorder.weight(3) == 0 })
	all[0].shutdown()
	p.waitUntil("the first has left", func() bool { return all[4].countStanding(gossip.HasLeft) == 1 })
}

// What is said of a server before this gateway's list names it is told when it does.
func TestARumourWaitsForTheList(t *testing.T) {
	p := newTestCluster(t)
	a, b := p.start("a", p.issueKeyring("a", time.Hour, p.authority), nil), p.start("b", p.issueKeyring("b", time.Hour, p.authority), nil)
	p.waitUntil("they meet", func() bool { return a.countStanding(gossip.IsAlive) == 1 && b.countStanding(gossip.IsAlive) == 1 })
	b.Forget(7)
	a.Trouble(7, choice.Unreachable)
	p.waitUntil("b holds it", func() bool {
		w, err := callNode(b.Carrier, func() float64 { return b.node.Weight(0, xxhash.Sum64String("s-7")) })
		return err == nil && w > 0
	})
	if b.recorder.weight(7) != 0 {
		t.Error("told of a server that the list does not name")
	}
	b.Listed(map[uint32]string{7: ""})
	p.waitUntil("b is told", func() bool { return b.recorder.weight(7) > 0 })
}

func TestStrangersForeignersAndTheExpiredStayOut(t *testing.T) {
	p := newTestCluster(t)
	a := p.start("a", p.issueKeyring("a", time.Hour, p.authority), nil)
	b := p.start("b", p.issueKeyring("b", time.Hour, p.authority), nil)
	p.waitUntil("they meet", func() bool { return a.countStanding(gossip.IsAlive) == 1 })
	other, err := keys.NewAuthority("other")
	if err != nil {
		t.Fatal(err)
	}
	p.start("foreign", p.issueKeyring("foreign", time.Hour, other, p.authority), nil)
	p.start("elsewhere", p.issueKeyring("elsewhere", time.Hour, p.authority), func(s *config.Gossip) { s.Cluster = "another" })
	p.waitUntil("they tried", func() bool {
		return a.counts.Authority.Load()+b.counts.Authority.Load() > 1 && a.counts.Cluster.Load()+b.counts.Cluster.Load() > 1
	})
	if a.countStanding(gossip.IsAlive) != 1 || b.countStanding(gossip.IsAlive) != 1 {
		t.Error("somebody got in")
	}
	if _, err := keys.NewKeyring(p.issueKeyring("x", time.Hour, p.authority).Certificate, p.issueKeyring("x", time.Hour, p.authority).Private, nil, time.Now()); err == nil {
		t.Error("a certificate of another key was taken")
	}
	if _, err := New(config.Gossip{Listen: "127.0.0.1:0"}, "a", p.issueKeyring("b", time.Hour, p.authority), exchange.StartClock(), nil, nil); err == nil ||
		!strings.Contains(err.Error(), `is of "b"`) {
		t.Errorf("another's certificate: %v", err)
	}
}

// Both authorities count, then all certificates are of the new one, then the old one counts no more; whoever has not kept up
// is out, and everybody else hears each other all the time.
func TestKeysRotateWhileItRuns(t *testing.T) {
	p := newTestCluster(t)
	rings := map[string]*keys.Keyring{}
	var all []*instance
	for n := range 4 {
		name := fmt.Sprint("n", n)
		rings[name] = p.issueKeyring(name, time.Hour, p.authority)
		all = append(all, p.start(name, rings[name], nil))
	}
	know := func(count int, who ...*instance) {
		t.Helper()
		for _, i := range who {
			p.waitUntil(fmt.Sprintf("%s knows %d", i.name, count), func() bool { return i.countStanding(gossip.IsAlive) == count })
		}
	}
	know(3, all...)
	next, err := keys.NewAuthority("next")
	if err != nil {
		t.Fatal(err)
	}
	again := func(i *instance, by *keys.Authority, counts ...*keys.Authority) {
		t.Helper()
		old := rings[i.name]
		c, err := by.Issue(i.name, old.Certificate.Public, time.Now().Add(time.Hour))
		if err != nil {
			t.Fatal(err)
		}
		ring, err := keys.NewKeyring(c, old.Private, counts, time.Now())
		if err != nil {
			t.Fatal(err)
		}
		rings[i.name] = ring
		if err := i.Rekey(ring); err != nil {
			t.Fatal(err)
		}
	}
	for _, i := range all {
		again(i, p.authority, p.authority, next)
	}
	for _, i := range all[:3] {
		again(i, next, p.authority, next)
	}
	p.waitUntil("the new certificates are known", func() bool {
		fits := 0
		for _, i := range all[:3] {
			i.codecMu.Lock()
			for _, o := range all[:3] {
				if peer, err := i.codec.Meet(rings[o.name].Certificate.Encode()); err == nil && peer.Name == o.name {
					fits++
				}
			}
			i.codecMu.Unlock()
		}
		return fits == 9
	})
	know(3, all...)
	for _, i := range all[:3] {
		again(i, next, next)
	}
	know(2, all[:3]...)
	if n := all[0].countStanding(gossip.IsDead); n != 0 {
		t.Errorf("%d held dead during the rotation", n)
	}
	if err := all[0].Rekey(rings["n1"]); err == nil {
		t.Error("took another's certificate")
	}
}

// Bad datagrams are dropped before the node, by cause, and members still hear each other.
func TestBadDatagramsAreDroppedByCause(t *testing.T) {
	p := newTestCluster(t)
	a, b := p.start("a", p.issueKeyring("a", time.Hour, p.authority), nil), p.start("b", p.issueKeyring("b", time.Hour, p.authority), nil)
	p.waitUntil("they meet", func() bool { return a.countStanding(gossip.IsAlive) == 1 && b.countStanding(gossip.IsAlive) == 1 })
	c, err := net.Dial("udp", a.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	b.codecMu.Lock()
	good, err := b.codec.Datagram(ownKey(a), &gossip.Message{Kind: gossip.Ping, Number: 1})
	b.codecMu.Unlock()
	if err != nil {
		t.Fatal(err)
	}
	altered := append([]byte(nil), good...)
	altered[60] ^= 1
	p.waitUntil("all are counted", func() bool {
		c.Write([]byte("hello"))
		c.Write(make([]byte, 4000))
		c.Write(altered)
		c.Write(good) // the first is good, the others are replays
		n := &a.counts
		replayed, err := callNode(a.Carrier, func() int64 { return a.node.Counts().Replayed })
		return err == nil && n.Form.Load() >= 50 && n.Oversized.Load() >= 50 && n.Tag.Load() >= 50 && replayed >= 49
	})
	before, _ := callNode(a.Carrier, a.node.Counts)
	p.waitUntil("pings still pass", func() bool {
		now, err := callNode(a.Carrier, a.node.Counts)
		return err == nil && now.Received > before.Received+3
	})
	if a.countStanding(gossip.IsAlive) != 1 || b.countStanding(gossip.IsAlive) != 1 {
		t.Error("a member was lost")
	}
}

func ownKey(i *instance) gossip.KeyID {
	i.codecMu.Lock()
	defer i.codecMu.Unlock()
	return i.codec.Own()
}

func TestTheBudgetLeavesAFloodToTheSocket(t *testing.T) {
	p := newTestCluster(t)
	a := p.start("a", p.issueKeyring("a", time.Hour, p.authority), func(s *config.Gossip) { s.Limits.ReceivedPerSecond = 50 })
	c, err := net.Dial("udp", a.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	bad := make([]byte, 200)
	for range 20000 {
		c.Write(bad)
	}
	p.waitUntil("some are looked at", func() bool { return a.counts.Form.Load() > 100 })
	if n := a.counts.Form.Load() + a.counts.Budget.Load(); n > 15000 {
		t.Errorf("%d of 20000 were read", n)
	}
}

func TestAnInstanceThatListensEverywhereLearnsItsAddress(t *testing.T) {
	p := newTestCluster(t)
	a := p.start("a", p.issueKeyring("a", time.Hour, p.authority), nil)
	b := p.start("b", p.issueKeyring("b", time.Hour, p.authority), func(s *config.Gossip) { s.Listen = "0.0.0.0:0" })
	p.waitUntil("a reaches b", func() bool { return a.countStanding(gossip.IsAlive) == 1 && b.countStanding(gossip.IsAlive) == 1 })
	peers, err := callNode(a.Carrier, a.node.Peers)
	if want := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), b.Addr().Port()); err != nil || peers[0].Addr != want {
		t.Errorf("b is held to be at %v, is at %v", peers[0].Addr, want)
	}
}
