package wire

import (
	"crypto/ed25519"
	"crypto/rand"
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"gorsewell/internal/gossip"
	"gorsewell/internal/gossip/keys"
)

var start = time.Unix(1_800_000_000, 0)

// house is an authority with instances, and a clock that the test moves.
type house struct {
	t   testing.TB
	a   *keys.Authority
	now time.Time
}

func newHouse(t testing.TB) *house {
	a, err := keys.NewAuthority("home")
	if err != nil {
		t.Fatal(err)
	}
	return &house{t: t, a: a, now: start}
}

func (h *house) ring(name string, authorities ...*keys.Authority) *keys.Keyring {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		h.t.Fatal(err)
	}
	c, err := h.a.Issue(name, public, h.now.Add(time.Hour))
	if err != nil {
		h.t.Fatal(err)
	}
	k, err := keys.NewKeyring(c, private, append(authorities, h.a), h.now)
	if err != nil {
		h.t.Fatal(err)
	}
	return k
}

func (h *house) book(name, cluster string) *Book {
	return NewBook(h.ring(name), cluster, uint64(len(name))*77, 8, func() time.Time { return h.now })
}

// met makes two instances that know each other.
func (h *house) met(a, b *Book) {
	if _, err := a.meet(b.cert); err != nil {
		h.t.Fatal(err)
	}
	if _, err := b.meet(a.cert); err != nil {
		h.t.Fatal(err)
	}
}

var where = netip.MustParseAddrPort("10.1.2.3:7946")

func claimOf(b *Book) gossip.Claim {
	return gossip.Claim{Kind: gossip.Alive, Name: b.ring.Certificate.Name, By: b.ring.Certificate.Name, Key: b.own, Run: b.run, Incarnation: 7,
		Addr: where, Clock: 5 * time.Second}
}

func rumourOf(b *Book, number uint32) gossip.Rumour {
	return gossip.Rumour{Observer: b.ring.Certificate.Name, Key: b.own, Run: b.run, Server: 1 << 63, Symptom: gossip.Silent, Strength: 255,
		Number: number, Made: 99 * time.Hour}
}

func none(t testing.TB) func(error) {
	return func(err error) {
		t.Helper()
		t.Errorf("dropped: %v", err)
	}
}

func TestAMessageComesAsItWasSentAndItemsCanBePassedOn(t *testing.T) {
	h := newHouse(t)
	a, b, c := h.book("alpha", "x"), h.book("beta", "x"), h.book("gamma", "x")
	h.met(a, b)
	h.met(b, c)
	accused := gossip.Claim{Kind: gossip.Accused, Name: "delta", By: "alpha", Key: a.own, Run: a.run, Incarnation: 3, Clock: time.Second}
	m := &gossip.Message{Kind: gossip.PingFor, Number: 9, Prove: true, Target: "gamma", TargetAt: where, Clock: time.Minute,
		Claims: []gossip.Claim{claimOf(a), accused}, Rumours: []gossip.Told{{Rumour: rumourOf(a, 1), Age: 1500 * time.Millisecond}}}
	d, err := a.Datagram(b.own, m)
	if err != nil {
		t.Fatal(err)
	}
	got, err := b.Open(d, none(t))
	if err != nil {
		t.Fatal(err)
	}
	if got.From != "alpha" || got.Key != a.own || got.Run != a.run || got.Counter != 1 {
		t.Errorf("%+v", got)
	}
	bare := *got.Message
	for i := range bare.Claims {
		if bare.Claims[i].Raw == nil {
			t.Error("a claim cannot be passed on")
		}
		bare.Claims[i].Raw = nil
	}
	passed := bare.Rumours[0]
	bare.Rumours = slices.Clone(bare.Rumours)
	bare.Rumours[0].Raw = nil
	if !reflect.DeepEqual(&bare, m) {
		t.Errorf("sent %+v\ncame %+v", m, &bare)
	}
	// Passed on by one who cannot have made it, with the certificate of who did.
	fromA := got.Message.Claims[0]
	fromA.Raw = a.encodeClaim(&gossip.Claim{Kind: gossip.Alive, Name: "alpha", Run: a.run, Incarnation: 7, Addr: where, Clock: 5 * time.Second})
	d, err = b.Datagram(c.own, &gossip.Message{Kind: gossip.Tell, Claims: []gossip.Claim{fromA}, Rumours: []gossip.Told{passed}})
	if err != nil {
		t.Fatal(err)
	}
	got, err = c.Open(d, none(t))
	if err != nil || got.Message.Rumours[0].Observer != "alpha" || got.Message.Claims[0].By != "alpha" || got.From != "beta" {
		t.Errorf("%+v, %v", got, err)
	}
}

// Whatever is changed, and wherever it is cut, nothing of it is taken.
func TestAnAlteredDatagramIsDropped(t *testing.T) {
	h := newHouse(t)
	a, b := h.book("alpha", "x"), h.book("beta", "x")
	h.met(a, b)
	d, err := a.Datagram(b.own, &gossip.Message{Kind: gossip.Ping, Number: 1, Rumours: []gossip.Told{{Rumour: rumourOf(a, 1)}}})
	if err != nil {
		t.Fatal(err)
	}
	for i := range d {
		bad := slices.Clone(d)
		bad[i] ^= 1
		if _, err := b.Open(bad, func(error) {}); err == nil {
			t.Fatalf("taken with byte %d changed", i)
		}
		if _, err := b.Open(d[:i], func(error) {}); err == nil {
			t.Fatalf("taken when cut at %d", i)
		}
	}
	if _, err := b.Open(append(slices.Clone(d), 0), func(error) {}); err == nil {
		t.Error("taken with a byte too many")
	}
}

func TestWhatIsDroppedAndWhy(t *testing.T) {
	h := newHouse(t)
	a, b := h.book("alpha", "x"), h.book("beta", "x")
	other, stranger := h.book("beta", "y"), h.book("stranger", "x")
	foreign := newHouse(t).book("foreign", "x")
	h.met(a, b)
	h.met(a, other)
	h.met(stranger, b)
	delete(b.peers, stranger.own)
	ping := &gossip.Message{Kind: gossip.Ping}
	send := func(from *Book, to *Book, m *gossip.Message) []byte {
		d, err := from.Datagram(to.own, m)
		if err != nil {
			t.Fatal(err)
		}
		return d
	}
	open := func(d []byte, want error) {
		t.Helper()
		if _, err := b.Open(d, func(error) {}); !errors.Is(err, want) {
			t.Errorf("%v, want %v", err, want)
		}
	}
	other.tag, other.cluster = b.tag, "y" // who forges the cluster's mark still lacks its secret
	d := send(other, a, ping)
	if _, err := a.Open(d, func(error) {}); err == nil {
		t.Error("a datagram of another cluster was taken")
	}
	open(send(a, other, ping), ErrTag) // meant for another
	open(send(stranger, b, ping), ErrStranger)
	open(send(stranger, b, &gossip.Message{Kind: gossip.Ping, Claims: []gossip.Claim{claimOf(stranger)}}), nil) // who brings a certificate is met
	foreign.peers[b.own] = &Peer{Key: b.own, Until: 1 << 60, Shared: []byte("guessed")}
	open(send(foreign, b, &gossip.Message{Kind: gossip.Ping, Claims: []gossip.Claim{claimOf(foreign)}}), ErrAuthority)
	old := send(a, b, ping)
	old[2] = 2
	open(old, ErrVersion)
	open([]byte("gw"), ErrForm)
	open(slices.Concat([]byte("gw\x01\x00"), make([]byte, 400)), ErrCluster)

	late := send(a, b, ping)
	h.now = h.now.Add(2 * time.Hour)
	open(late, ErrExpired)
	if got := b.Expired(); len(got) != 2 || b.Knows(a.own) {
		t.Errorf("expired %v", got)
	}
	open(late, ErrStranger)
}

// A relay cannot make a rumour, nor a word on a member, that it has not been given.
func TestNobodySignsForAnother(t *testing.T) {
	h := newHouse(t)
	a, b, liar := h.book("alpha", "x"), h.book("beta", "x"), h.book("liar", "x")
	h.met(a, b)
	h.met(liar, b)
	h.met(liar, a)
	forged := rumourOf(a, 5) // in alpha's name, signed by the liar
	claim := claimOf(a)
	claim.Raw = marshal(&claimItem{Body: marshal(&claimBody{Kind: gossip.Alive, Name: "alpha", Incarnation: 99, Addr: addrBytes(where)}), Signer: liar.cert,
		Proof: make([]byte, 64)})
	resigned := claimOf(a)
	body := marshal(&claimBody{Kind: gossip.Alive, Name: "alpha", Incarnation: 99, Addr: addrBytes(where)})
	resigned.Raw = marshal(&claimItem{Body: body, Signer: a.cert, Proof: ed25519.Sign(liar.ring.Private, append([]byte(claimDomain+"x\x00"), body...))})
	var causes []error
	d, err := liar.Datagram(b.own, &gossip.Message{Kind: gossip.Tell, Claims: []gossip.Claim{claim, resigned}, Rumours: []gossip.Told{{Rumour: forged}}})
	if err != nil {
		t.Fatal(err)
	}
	got, err := b.Open(d, func(err error) { causes = append(causes, err) })
	if err != nil || len(got.Message.Claims) != 0 || len(got.Message.Rumours) != 0 ||
		!slices.Equal(causes, []error{ErrForm, ErrSignature, ErrSignature}) {
		t.Errorf("%v, %+v, %v", err, got.Message, causes)
	}
	// A signature of one kind does not pass for another.
	if b.fits(a.ring.Certificate.Public, rumourDomain, body, ed25519.Sign(a.ring.Private, append([]byte(claimDomain+"x\x00"), body...))) {
		t.Error("a claim's signature passes for a rumour's")
	}
}

func TestRotationOfKeysAndAuthorities(t *testing.T) {
	h, next := newHouse(t), newHouse(t)
	a, b := h.book("alpha", "x"), NewBook(h.ring("beta", next.a), "x", 1, 8, func() time.Time { return h.now })
	h.met(a, b)
	c, err := next.a.Issue("alpha", a.ring.Certificate.Public, h.now.Add(time.Hour))
	if err != nil {
		t.Fatal(err)
	}
	both, err := keys.NewKeyring(c, a.ring.Private, []*keys.Authority{h.a, next.a}, h.now)
	if err != nil {
		t.Fatal(err)
	}
	a.Rekey(both)
	if !a.Knows(b.own) {
		t.Error("forgot one whose authority counts still")
	}
	d, err := a.Datagram(b.own, &gossip.Message{Kind: gossip.Ping, Claims: []gossip.Claim{claimOf(a)}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := b.Open(d, none(t)); err != nil {
		t.Error("during the rotation:", err)
	}
	only, err := keys.NewKeyring(c, a.ring.Private, []*keys.Authority{next.a}, h.now)
	if err != nil {
		t.Fatal(err)
	}
	if ended := a.Rekey(only); !slices.Equal(ended, []gossip.KeyID{b.own}) || a.Knows(b.own) {
		t.Errorf("after the withdrawal: ended %v", ended)
	}
}

func TestTheSizesThatTheNodeReckonsWithAreKept(t *testing.T) {
	h := newHouse(t)
	name := strings.Repeat("n", keys.MaxName)
	a, b := NewBook(h.ring(name), "x", 1<<63, 8, func() time.Time { return h.now }), h.book("beta", "x")
	h.met(a, b)
	claim := claimOf(a)
	claim.Incarnation, claim.Clock, claim.Addr = 1<<31, maxClock*time.Microsecond/2, netip.MustParseAddrPort("[2001:db8:ffff:ffff:ffff:ffff:ffff:ffff]:65535")
	claim.Raw = a.encodeClaim(&claim)
	accused := gossip.Claim{Kind: gossip.Accused, Name: name[1:] + "x", By: name, Key: a.own, Run: a.run, Incarnation: 1 << 31, Clock: claim.Clock}
	m := &gossip.Message{Kind: gossip.PingFor, Number: 1 << 31, Target: name, TargetAt: claim.Addr, Clock: claim.Clock, Claims: []gossip.Claim{claim, accused}}
	for i := range 3 {
		r := rumourOf(a, 1<<31+uint32(i))
		r.Run = 1 << 63
		m.Rumours = append(m.Rumours, gossip.Told{Rumour: r, Age: time.Hour})
	}
	d, err := a.Datagram(b.own, m)
	if err != nil {
		t.Fatal(err)
	}
	if got := len(d) + 28; got > m.Bytes() {
		t.Errorf("%d bytes, reckoned with %d", got, m.Bytes())
	}
	items := &gossip.Items{Claims: m.Claims, Rumours: m.Rumours, Wants: make([]gossip.Mark, 50), SeenAt: claim.Addr.Addr()}
	for i := range items.Wants {
		items.Wants[i] = 1 << 31
	}
	if got := len(a.EncodeItems(items)); got > items.Bytes() {
		t.Errorf("items of %d bytes, reckoned with %d", got, items.Bytes())
	}
	digest := &gossip.Digest{Own: claimOf(a), Members: items.Wants, Dead: items.Wants, Rumours: items.Wants}
	raw := a.EncodeDigest(digest)
	if len(raw) > digest.Bytes() {
		t.Errorf("a digest of %d bytes, reckoned with %d", len(raw), digest.Bytes())
	}
	if got, err := b.Digest(raw, b.peers[a.own]); err != nil || !slices.Equal(got.Rumours, digest.Rumours) || got.Own.Name != name {
		t.Errorf("%+v, %v", got, err)
	}
	if _, err := b.Digest(raw, &Peer{Name: "another", Key: a.own}); err == nil {
		t.Error("an instance speaks for another")
	}
	for _, m := range []*gossip.Message{{Kind: gossip.Ping}, {Kind: gossip.Ping, Claims: m.Claims[:1]}, {Kind: gossip.Tell, Rumours: m.Rumours[:1]}} {
		d, err := a.Datagram(b.own, m)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%d claims, %d rumours: %d bytes, reckoned with %d", len(m.Claims), len(m.Rumours), len(d)+28, m.Bytes())
	}
}

// A signature that was checked is not checked again, and what is remembered is bounded.
func TestProofsArePeersAreBounded(t *testing.T) {
	h := newHouse(t)
	a := h.book("alpha", "x")
	for i := range 40 {
		if _, err := a.meet(h.book(fmt.Sprint("p", i), "x").cert); err != nil {
			t.Fatal(err)
		}
	}
	if len(a.peers) > 16 {
		t.Errorf("%d peers", len(a.peers))
	}
	for i := range uint32(1000) {
		r := rumourOf(a, i)
		a.encodeRumour(&r)
	}
	if len(a.signed) > mostSigned || len(a.signedBy) > mostSigned {
		t.Errorf("%d signed", len(a.signed))
	}
}

func FuzzOpen(f *testing.F) {
	h := newHouse(f)
	a, b := h.book("alpha", "x"), h.book("beta", "x")
	h.met(a, b)
	for _, m := range []*gossip.Message{{Kind: gossip.Ping}, {Kind: gossip.Tell, Claims: []gossip.Claim{claimOf(a)}, Rumours: []gossip.Told{{Rumour: rumourOf(a, 1)}}}} {
		d, err := a.Datagram(b.own, m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(d)
		f.Add(d[headerSize:])
	}
	f.Add(a.EncodeItems(&gossip.Items{Claims: []gossip.Claim{claimOf(a)}, Wants: []gossip.Mark{1}}))
	f.Add(a.EncodeDigest(&gossip.Digest{Own: claimOf(a), Members: []gossip.Mark{1}}))
	f.Fuzz(func(t *testing.T, d []byte) {
		b.Open(d, func(error) {})
		// What an attacker with a good key can put into a body.
		b.message(d, func(error) {})
		b.Items(d, func(error) {})
		b.Digest(d, b.peers[a.own])
		b.meet(d)
	})
}

func BenchmarkOpen(b *testing.B) {
	h := newHouse(b)
	x, y := h.book("alpha", "x"), h.book("beta", "x")
	h.met(x, y)
	m := &gossip.Message{Kind: gossip.Tell}
	for i := range uint32(7) {
		m.Rumours = append(m.Rumours, gossip.Told{Rumour: rumourOf(x, i)})
	}
	good, err := x.Datagram(y.own, m)
	if err != nil {
		b.Fatal(err)
	}
	spoilt := slices.Clone(good)
	spoilt[50] ^= 1
	foreign := slices.Clone(good)
	foreign[5] ^= 1
	for name, d := range map[string][]byte{"good": good, "altered": spoilt, "foreign": foreign} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				y.Open(d, func(error) {})
			}
		})
	}
}
