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

var startTime = time.Unix(1_800_000_000, 0)

// fixture is an authority with instances, and a clock that the test moves.
type fixture struct {
	t         testing.TB
	authority *keys.Authority
	now       time.Time
}

func newFixture(t testing.TB) *fixture {
	a, err := keys.NewAuthority("home")
	if err != nil {
		t.Fatal(err)
	}
	return &fixture{t: t, authority: a, now: startTime}
}

func (h *fixture) issueKeyring(name string, authorities ...*keys.Authority) *keys.Keyring {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		h.t.Fatal(err)
	}
	c, err := h.authority.Issue(name, public, h.now.Add(time.Hour))
	if err != nil {
		h.t.Fatal(err)
	}
	k, err := keys.NewKeyring(c, private, append(authorities, h.authority), h.now)
	if err != nil {
		h.t.Fatal(err)
	}
	return k
}

func (h *fixture) newCodec(name, cluster string) *Book {
	return NewBook(h.issueKeyring(name), cluster, uint64(len(name))*77, 8, func() time.Time { return h.now })
}

// introduce makes two instances that know each other.
func (h *fixture) introduce(a, b *Book) {
	if _, err := a.verifyPeer(b.certificate); err != nil {
		h.t.Fatal(err)
	}
	if _, err := b.verifyPeer(a.certificate); err != nil {
		h.t.Fatal(err)
	}
}

var testAddr = netip.MustParseAddrPort("10.1.2.3:7946")

func aliveClaim(b *Book) gossip.Claim {
	return gossip.Claim{Kind: gossip.Alive, Name: b.keyring.Certificate.Name, By: b.keyring.Certificate.Name, Key: b.ownKey, Run: b.runID, Incarnation: 7,
		Addr: testAddr, Clock: 5 * time.Second}
}

func silentRumour(b *Book, number uint32) gossip.Rumour {
	return gossip.Rumour{Observer: b.keyring.Certificate.Name, Key: b.ownKey, Run: b.runID, Server: 1 << 63, Symptom: gossip.Silent, Strength: 255,
		Number: number, Made: 99 * time.Hour}
}

func failOnDrop(t testing.TB) func(error) {
	return func(err error) {
		t.Helper()
		t.Errorf("dropped: %v", err)
	}
}

func TestAMessageComesAsItWasSentAndItemsCanBePassedOn(t *testing.T) {
	h := newFixture(t)
	a, b, c := h.newCodec("alpha", "x"), h.newCodec("beta", "x"), h.newCodec("gamma", "x")
	h.introduce(a, b)
	h.introduce(b, c)
	accused := gossip.Claim{Kind: gossip.Accused, Name: "delta", By: "alpha", Key: a.ownKey, Run: a.runID, Incarnation: 3, Clock: time.Second}
	m := &gossip.Message{Kind: gossip.PingFor, Number: 9, Prove: true, Target: "gamma", TargetAt: testAddr, Clock: time.Minute,
		Claims: []gossip.Claim{aliveClaim(a), accused}, Rumours: []gossip.Told{{Rumour: silentRumour(a, 1), Age: 1500 * time.Millisecond}}}
	d, err := a.Datagram(b.ownKey, m)
	if err != nil {
		t.Fatal(err)
	}
	got, err := b.Open(d, failOnDrop(t))
	if err != nil {
		t.Fatal(err)
	}
	if got.From != "alpha" || got.Key != a.ownKey || got.Run != a.runID || got.Counter != 1 {
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
	fromA.Raw = a.encodeClaim(&gossip.Claim{Kind: gossip.Alive, Name: "alpha", Run: a.runID, Incarnation: 7, Addr: testAddr, Clock: 5 * time.Second})
	d, err = b.Datagram(c.ownKey, &gossip.Message{Kind: gossip.Tell, Claims: []gossip.Claim{fromA}, Rumours: []gossip.Told{passed}})
	if err != nil {
		t.Fatal(err)
	}
	got, err = c.Open(d, failOnDrop(t))
	if err != nil || got.Message.Rumours[0].Observer != "alpha" || got.Message.Claims[0].By != "alpha" || got.From != "beta" {
		t.Errorf("%+v, %v", got, err)
	}
}

// Whatever is changed, and wherever it is cut, nothing of it is taken.
func TestAnAlteredDatagramIsDropped(t *testing.T) {
	h := newFixture(t)
	a, b := h.newCodec("alpha", "x"), h.newCodec("beta", "x")
	h.introduce(a, b)
	d, err := a.Datagram(b.ownKey, &gossip.Message{Kind: gossip.Ping, Number: 1, Rumours: []gossip.Told{{Rumour: silentRumour(a, 1)}}})
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
	h := newFixture(t)
	a, b := h.newCodec("alpha", "x"), h.newCodec("beta", "x")
	other, stranger := h.newCodec("beta", "y"), h.newCodec("stranger", "x")
	foreign := newFixture(t).newCodec("foreign", "x")
	h.introduce(a, b)
	h.introduce(a, other)
	h.introduce(stranger, b)
	delete(b.peers, stranger.ownKey)
	ping := &gossip.Message{Kind: gossip.Ping}
	send := func(from *Book, to *Book, m *gossip.Message) []byte {
		d, err := from.Datagram(to.ownKey, m)
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
	other.clusterHash, other.cluster = b.clusterHash, "y" // who forges the cluster's mark still lacks its secret
	d := send(other, a, ping)
	if _, err := a.Open(d, func(error) {}); err == nil {
		t.Error("a datagram of another cluster was taken")
	}
	open(send(a, other, ping), ErrTag) // meant for another
	open(send(stranger, b, ping), ErrStranger)
	open(send(stranger, b, &gossip.Message{Kind: gossip.Ping, Claims: []gossip.Claim{aliveClaim(stranger)}}), nil) // who brings a certificate is met
	foreign.peers[b.ownKey] = &Peer{Key: b.ownKey, Until: 1 << 60, Shared: []byte("guessed")}
	open(send(foreign, b, &gossip.Message{Kind: gossip.Ping, Claims: []gossip.Claim{aliveClaim(foreign)}}), ErrAuthority)
	old := send(a, b, ping)
	old[2] = 2
	open(old, ErrVersion)
	open([]byte("gw"), ErrForm)
	open(slices.Concat([]byte("gw\x01\x00"), make([]byte, 400)), ErrCluster)

	late := send(a, b, ping)
	h.now = h.now.Add(2 * time.Hour)
	open(late, ErrExpired)
	if got := b.Expired(); len(got) != 2 || b.Knows(a.ownKey) {
		t.Errorf("expired %v", got)
	}
	open(late, ErrStranger)
}

// A relay cannot make a rumour, nor a word on a member, that it has not been given.
func TestNobodySignsForAnother(t *testing.T) {
	h := newFixture(t)
	a, b, liar := h.newCodec("alpha", "x"), h.newCodec("beta", "x"), h.newCodec("liar", "x")
	h.introduce(a, b)
	h.introduce(liar, b)
	h.introduce(liar, a)
	forged := silentRumour(a, 5) // in alpha's name, signed by the liar
	claim := aliveClaim(a)
	claim.Raw = marshal(&claimItem{Body: marshal(&claimBody{Kind: gossip.Alive, Name: "alpha", Incarnation: 99, Addr: addrBytes(testAddr)}), Signer: liar.certificate,
		Signature: make([]byte, 64)})
	resigned := aliveClaim(a)
	body := marshal(&claimBody{Kind: gossip.Alive, Name: "alpha", Incarnation: 99, Addr: addrBytes(testAddr)})
	resigned.Raw = marshal(&claimItem{Body: body, Signer: a.certificate, Signature: ed25519.Sign(liar.keyring.Private, append([]byte(claimDomain+"x\x00"), body...))})
	var causes []error
	d, err := liar.Datagram(b.ownKey, &gossip.Message{Kind: gossip.Tell, Claims: []gossip.Claim{claim, resigned}, Rumours: []gossip.Told{{Rumour: forged}}})
	if err != nil {
		t.Fatal(err)
	}
	got, err := b.Open(d, func(err error) { causes = append(causes, err) })
	if err != nil || len(got.Message.Claims) != 0 || len(got.Message.Rumours) != 0 ||
		!slices.Equal(causes, []error{ErrForm, ErrSignature, ErrSignature}) {
		t.Errorf("%v, %+v, %v", err, got.Message, causes)
	}
	// A signature of one kind does not pass for another.
	if b.verifySignature(a.keyring.Certificate.Public, rumourDomain, body, ed25519.Sign(a.keyring.Private, append([]byte(claimDomain+"x\x00"), body...))) {
		t.Error("a claim's signature passes for a rumour's")
	}
}

func TestRotationOfKeysAndAuthorities(t *testing.T) {
	h, next := newFixture(t), newFixture(t)
	a, b := h.newCodec("alpha", "x"), NewBook(h.issueKeyring("beta", next.authority), "x", 1, 8, func() time.Time { return h.now })
	h.introduce(a, b)
	c, err := next.authority.Issue("alpha", a.keyring.Certificate.Public, h.now.Add(time.Hour))
	if err != nil {
		t.Fatal(err)
	}
	both, err := keys.NewKeyring(c, a.keyring.Private, []*keys.Authority{h.authority, next.authority}, h.now)
	if err != nil {
		t.Fatal(err)
	}
	a.Rekey(both)
	if !a.Knows(b.ownKey) {
		t.Error("forgot one whose authority counts still")
	}
	d, err := a.Datagram(b.ownKey, &gossip.Message{Kind: gossip.Ping, Claims: []gossip.Claim{aliveClaim(a)}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := b.Open(d, failOnDrop(t)); err != nil {
		t.Error("during the rotation:", err)
	}
	only, err := keys.NewKeyring(c, a.keyring.Private, []*keys.Authority{next.authority}, h.now)
	if err != nil {
		t.Fatal(err)
	}
	if ended := a.Rekey(only); !slices.Equal(ended, []gossip.KeyID{b.ownKey}) || a.Knows(b.ownKey) {
		t.Errorf("after the withdrawal: ended %v", ended)
	}
}

func TestTheSizesThatTheNodeReckonsWithAreKept(t *testing.T) {
	h := newFixture(t)
	name := strings.Repeat("n", keys.MaxName)
	a, b := NewBook(h.issueKeyring(name), "x", 1<<63, 8, func() time.Time { return h.now }), h.newCodec("beta", "x")
	h.introduce(a, b)
	claim := aliveClaim(a)
	claim.Incarnation, claim.Clock, claim.Addr = 1<<31, maxClockMicroseconds*time.Microsecond/2, netip.MustParseAddrPort("[2001:db8:ffff:ffff:ffff:ffff:ffff:ffff]:65535")
	claim.Raw = a.encodeClaim(&claim)
	accused := gossip.Claim{Kind: gossip.Accused, Name: name[1:] + "x", By: name, Key: a.ownKey, Run: a.runID, Incarnation: 1 << 31, Clock: claim.Clock}
	m := &gossip.Message{Kind: gossip.PingFor, Number: 1 << 31, Target: name, TargetAt: claim.Addr, Clock: claim.Clock, Claims: []gossip.Claim{claim, accused}}
	for i := range 3 {
		r := silentRumour(a, 1<<31+uint32(i))
		r.Run = 1 << 63
		m.Rumours = append(m.Rumours, gossip.Told{Rumour: r, Age: time.Hour})
	}
	d, err := a.Datagram(b.ownKey, m)
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
	digest := &gossip.Digest{Own: aliveClaim(a), Members: items.Wants, Dead: items.Wants, Rumours: items.Wants}
	raw := a.EncodeDigest(digest)
	if len(raw) > digest.Bytes() {
		t.Errorf("a digest of %d bytes, reckoned with %d", len(raw), digest.Bytes())
	}
	if got, err := b.Digest(raw, b.peers[a.ownKey]); err != nil || !slices.Equal(got.Rumours, digest.Rumours) || got.Own.Name != name {
		t.Errorf("%+v, %v", got, err)
	}
	if _, err := b.Digest(raw, &Peer{Name: "another", Key: a.ownKey}); err == nil {
		t.Error("an instance speaks for another")
	}
	for _, m := range []*gossip.Message{{Kind: gossip.Ping}, {Kind: gossip.Ping, Claims: m.Claims[:1]}, {Kind: gossip.Tell, Rumours: m.Rumours[:1]}} {
		d, err := a.Datagram(b.ownKey, m)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%d claims, %d rumours: %d bytes, reckoned with %d", len(m.Claims), len(m.Rumours), len(d)+28, m.Bytes())
	}
}

// A signature that was checked is not checked again, and what is remembered is bounded.
func TestProofsArePeersAreBounded(t *testing.T) {
	h := newFixture(t)
	a := h.newCodec("alpha", "x")
	for i := range 40 {
		if _, err := a.verifyPeer(h.newCodec(fmt.Sprint("p", i), "x").certificate); err != nil {
			t.Fatal(err)
		}
	}
	if len(a.peers) > 16 {
		t.Errorf("%d peers", len(a.peers))
	}
	for i := range uint32(1000) {
		r := silentRumour(a, i)
		a.encodeRumour(&r)
	}
	if len(a.signedRumours) > maxSigned || len(a.signedOrder) > maxSigned {
		t.Errorf("%d signed", len(a.signedRumours))
	}
}

func FuzzOpen(f *testing.F) {
	h := newFixture(f)
	a, b := h.newCodec("alpha", "x"), h.newCodec("beta", "x")
	h.introduce(a, b)
	for _, m := range []*gossip.Message{{Kind: gossip.Ping}, {Kind: gossip.Tell, Claims: []gossip.Claim{aliveClaim(a)}, Rumours: []gossip.Told{{Rumour: silentRumour(a, 1)}}}} {
		d, err := a.Datagram(b.ownKey, m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(d)
		f.Add(d[headerSize:])
	}
	f.Add(a.EncodeItems(&gossip.Items{Claims: []gossip.Claim{aliveClaim(a)}, Wants: []gossip.Mark{1}}))
	f.Add(a.EncodeDigest(&gossip.Digest{Own: aliveClaim(a), Members: []gossip.Mark{1}}))
	f.Fuzz(func(t *testing.T, d []byte) {
		b.Open(d, func(error) {})
		// What an attacker with a good key can put into a body.
		b.decodeMessage(d, func(error) {})
		b.Items(d, func(error) {})
		b.Digest(d, b.peers[a.ownKey])
		b.verifyPeer(d)
	})
}

func BenchmarkOpen(b *testing.B) {
	h := newFixture(b)
	x, y := h.newCodec("alpha", "x"), h.newCodec("beta", "x")
	h.introduce(x, y)
	m := &gossip.Message{Kind: gossip.Tell}
	for i := range uint32(7) {
		m.Rumours = append(m.Rumours, gossip.Told{Rumour: silentRumour(x, i)})
	}
	good, err := x.Datagram(y.ownKey, m)
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
