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

// fixture issues keyrings of one authority and holds the clock of its codecs, which tests advance.
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

// issueKeyring returns a keyring with a new key, certified for an hour, that accepts the fixture's and other
// authorities.
func (f *fixture) issueKeyring(name string, authorities ...*keys.Authority) *keys.Keyring {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		f.t.Fatal(err)
	}
	c, err := f.authority.Issue(name, public, f.now.Add(time.Hour))
	if err != nil {
		f.t.Fatal(err)
	}
	k, err := keys.NewKeyring(c, private, append(authorities, f.authority), f.now)
	if err != nil {
		f.t.Fatal(err)
	}
	return k
}

func (f *fixture) newCodec(name, cluster string) *Codec {
	return NewCodec(f.issueKeyring(name), cluster, uint64(len(name))*77, 8, func() time.Time { return f.now })
}

// introduce makes the certificates of two instances known to each other.
func (f *fixture) introduce(a, b *Codec) {
	if _, err := a.verifyPeer(b.certificate); err != nil {
		f.t.Fatal(err)
	}
	if _, err := b.verifyPeer(a.certificate); err != nil {
		f.t.Fatal(err)
	}
}

var testAddr = netip.MustParseAddrPort("10.1.2.3:7946")

// aliveClaim returns a claim of the instance itself.
func aliveClaim(cd *Codec) gossip.Claim {
	return gossip.Claim{Kind: gossip.Alive, Name: cd.keyring.Certificate.Name, By: cd.keyring.Certificate.Name,
		Key: cd.ownKey, Run: cd.runID, Incarnation: 7, Addr: testAddr, Clock: 5 * time.Second}
}

func silentRumour(cd *Codec, number uint32) gossip.Rumour {
	return gossip.Rumour{Observer: cd.keyring.Certificate.Name, Key: cd.ownKey, Run: cd.runID, Server: 1 << 63,
		Symptom: gossip.Silent, Strength: 255, Number: number, Made: 99 * time.Hour}
}

// failOnDrop returns a callback that fails the test for each dropped item.
func failOnDrop(t testing.TB) func(error) {
	return func(err error) {
		t.Helper()
		t.Errorf("dropped item: got error %v, want none", err)
	}
}

func TestDatagramRoundTripAndForwardedItems(t *testing.T) {
	f := newFixture(t)
	a, b, c := f.newCodec("alpha", "x"), f.newCodec("beta", "x"), f.newCodec("gamma", "x")
	f.introduce(a, b)
	f.introduce(b, c)
	accused := gossip.Claim{Kind: gossip.Accused, Name: "delta", By: "alpha", Key: a.ownKey, Run: a.runID, Incarnation: 3, Clock: time.Second}
	m := &gossip.Message{Kind: gossip.PingReq, Number: 9, WantClaim: true, Target: "gamma", TargetAddr: testAddr, Clock: time.Minute,
		Claims: []gossip.Claim{aliveClaim(a), accused}, Rumours: []gossip.RelayedRumour{{Rumour: silentRumour(a, 1), Age: 1500 * time.Millisecond}}}
	d, err := a.EncodeDatagram(b.ownKey, m)
	if err != nil {
		t.Fatal(err)
	}
	got, err := b.Open(d, failOnDrop(t))
	if err != nil {
		t.Fatal(err)
	}
	if got.From != "alpha" || got.Key != a.ownKey || got.Run != a.runID || got.Counter != 1 {
		t.Errorf("datagram header: got %+v, want the name, key and run of alpha and counter 1", got)
	}
	bare := *got.Message
	for i := range bare.Claims {
		if bare.Claims[i].Raw == nil {
			t.Error("claim to be forwarded: got no raw encoding, want one")
		}
		bare.Claims[i].Raw = nil
	}
	forwarded := bare.Rumours[0]
	bare.Rumours = slices.Clone(bare.Rumours)
	bare.Rumours[0].Raw = nil
	if !reflect.DeepEqual(&bare, m) {
		t.Errorf("message: want %+v\ngot %+v", m, &bare)
	}
	// beta forwards the items, which alpha has signed, together with alpha's certificate.
	fromA := got.Message.Claims[0]
	fromA.Raw = a.encodeClaim(&gossip.Claim{Kind: gossip.Alive, Name: "alpha", Run: a.runID, Incarnation: 7, Addr: testAddr, Clock: 5 * time.Second})
	d, err = b.EncodeDatagram(c.ownKey, &gossip.Message{Kind: gossip.Tell, Claims: []gossip.Claim{fromA}, Rumours: []gossip.RelayedRumour{forwarded}})
	if err != nil {
		t.Fatal(err)
	}
	got, err = c.Open(d, failOnDrop(t))
	if err != nil || got.Message.Rumours[0].Observer != "alpha" || got.Message.Claims[0].By != "alpha" || got.From != "beta" {
		t.Errorf("forwarded items: got %+v, error %v, want a claim and a rumour by alpha, sent by beta", got, err)
	}
}

// A datagram with any byte changed, removed from its end or added to it is dropped as a whole.
func TestOpenRejectsAlteredDatagram(t *testing.T) {
	f := newFixture(t)
	a, b := f.newCodec("alpha", "x"), f.newCodec("beta", "x")
	f.introduce(a, b)
	d, err := a.EncodeDatagram(b.ownKey, &gossip.Message{Kind: gossip.Ping, Number: 1, Rumours: []gossip.RelayedRumour{{Rumour: silentRumour(a, 1)}}})
	if err != nil {
		t.Fatal(err)
	}
	for i := range d {
		bad := slices.Clone(d)
		bad[i] ^= 1
		if _, err := b.Open(bad, func(error) {}); err == nil {
			t.Fatalf("datagram with byte %d changed: got no error, want one", i)
		}
		if _, err := b.Open(d[:i], func(error) {}); err == nil {
			t.Fatalf("datagram cut at byte %d: got no error, want one", i)
		}
	}
	if _, err := b.Open(append(slices.Clone(d), 0), func(error) {}); err == nil {
		t.Error("datagram with an extra byte: got no error, want one")
	}
}

func TestOpenReturnsCauseOfDrop(t *testing.T) {
	f := newFixture(t)
	a, b := f.newCodec("alpha", "x"), f.newCodec("beta", "x")
	other, stranger := f.newCodec("beta", "y"), f.newCodec("stranger", "x")
	foreign := newFixture(t).newCodec("foreign", "x")
	f.introduce(a, b)
	f.introduce(a, other)
	f.introduce(stranger, b)
	delete(b.peers, stranger.ownKey)
	ping := &gossip.Message{Kind: gossip.Ping}
	send := func(from *Codec, to *Codec, m *gossip.Message) []byte {
		d, err := from.EncodeDatagram(to.ownKey, m)
		if err != nil {
			t.Fatal(err)
		}
		return d
	}
	open := func(d []byte, want error) {
		t.Helper()
		if _, err := b.Open(d, func(error) {}); !errors.Is(err, want) {
			t.Errorf("Open: got error %v, want %v", err, want)
		}
	}
	other.clusterHash, other.cluster = b.clusterHash, "y" // a forged cluster hash does not give the cluster's shared secrets
	d := send(other, a, ping)
	if _, err := a.Open(d, func(error) {}); err == nil {
		t.Error("datagram of another cluster: got no error, want one")
	}
	open(send(a, other, ping), ErrTag) // for another receiver
	open(send(stranger, b, ping), ErrUnknownKey)
	open(send(stranger, b, &gossip.Message{Kind: gossip.Ping, Claims: []gossip.Claim{aliveClaim(stranger)}}), nil) // the datagram carries the sender's certificate
	foreign.peers[b.ownKey] = &Peer{Key: b.ownKey, NotAfter: 1 << 60, SharedSecret: []byte("guessed")}
	open(send(foreign, b, &gossip.Message{Kind: gossip.Ping, Claims: []gossip.Claim{aliveClaim(foreign)}}), ErrUnknownAuthority)
	old := send(a, b, ping)
	old[2] = 2
	open(old, ErrVersion)
	open([]byte("gw"), ErrMalformed)
	open(slices.Concat([]byte("gw\x01\x00"), make([]byte, 400)), ErrCluster)

	expired := send(a, b, ping)
	f.now = f.now.Add(2 * time.Hour)
	open(expired, ErrExpired)
	if got := b.RemoveExpired(); len(got) != 2 || b.Knows(a.ownKey) {
		t.Errorf("expired keys: got %v, want those of 2 peers, which are then unknown", got)
	}
	open(expired, ErrUnknownKey)
}

// An instance that forwards items cannot forge a claim or a rumour of another instance.
func TestItemsSignedForAnotherAreDropped(t *testing.T) {
	f := newFixture(t)
	a, b, liar := f.newCodec("alpha", "x"), f.newCodec("beta", "x"), f.newCodec("liar", "x")
	f.introduce(a, b)
	f.introduce(liar, b)
	f.introduce(liar, a)
	forged := silentRumour(a, 5) // alpha's rumour, signed by the liar
	claim := aliveClaim(a)
	claim.Raw = marshal(&claimItem{Body: marshal(&claimBody{Kind: gossip.Alive, Name: "alpha", Incarnation: 99, Addr: addrBytes(testAddr)}), Signer: liar.certificate,
		Signature: make([]byte, 64)})
	resigned := aliveClaim(a)
	body := marshal(&claimBody{Kind: gossip.Alive, Name: "alpha", Incarnation: 99, Addr: addrBytes(testAddr)})
	resigned.Raw = marshal(&claimItem{Body: body, Signer: a.certificate, Signature: ed25519.Sign(liar.keyring.Private, append([]byte(claimDomain+"x\x00"), body...))})
	var drops []error
	d, err := liar.EncodeDatagram(b.ownKey, &gossip.Message{Kind: gossip.Tell, Claims: []gossip.Claim{claim, resigned}, Rumours: []gossip.RelayedRumour{{Rumour: forged}}})
	if err != nil {
		t.Fatal(err)
	}
	got, err := b.Open(d, func(err error) { drops = append(drops, err) })
	if err != nil || len(got.Message.Claims) != 0 || len(got.Message.Rumours) != 0 ||
		!slices.Equal(drops, []error{ErrMalformed, ErrSignature, ErrSignature}) {
		t.Errorf("Open: got error %v, message %+v, drops %v, want no error, no items, one malformed and two with invalid signatures",
			err, got.Message, drops)
	}
	// A signature of a claim is not valid for a rumour with the same bytes.
	if b.verifySignature(a.keyring.Certificate.Public, rumourDomain, body, ed25519.Sign(a.keyring.Private, append([]byte(claimDomain+"x\x00"), body...))) {
		t.Error("claim's signature on a rumour: got valid, want invalid")
	}
}

func TestRekeyDuringAuthorityRotation(t *testing.T) {
	f, next := newFixture(t), newFixture(t)
	a, b := f.newCodec("alpha", "x"), NewCodec(f.issueKeyring("beta", next.authority), "x", 1, 8, func() time.Time { return f.now })
	f.introduce(a, b)
	c, err := next.authority.Issue("alpha", a.keyring.Certificate.Public, f.now.Add(time.Hour))
	if err != nil {
		t.Fatal(err)
	}
	both, err := keys.NewKeyring(c, a.keyring.Private, []*keys.Authority{f.authority, next.authority}, f.now)
	if err != nil {
		t.Fatal(err)
	}
	a.Rekey(both)
	if !a.Knows(b.ownKey) {
		t.Error("peer of an authority that is still accepted: got unknown, want known")
	}
	d, err := a.EncodeDatagram(b.ownKey, &gossip.Message{Kind: gossip.Ping, Claims: []gossip.Claim{aliveClaim(a)}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := b.Open(d, failOnDrop(t)); err != nil {
		t.Error("Open during the rotation: got error, want none:", err)
	}
	only, err := keys.NewKeyring(c, a.keyring.Private, []*keys.Authority{next.authority}, f.now)
	if err != nil {
		t.Fatal(err)
	}
	if rejected := a.Rekey(only); !slices.Equal(rejected, []gossip.KeyID{b.ownKey}) || a.Knows(b.ownKey) {
		t.Errorf("Rekey without the old authority: got rejected keys %v, want that of beta", rejected)
	}
}

// The node budgets its traffic by the Bytes methods of package gossip, so these must not be less than the encoded
// sizes.
func TestEncodedSizesStayWithinEstimates(t *testing.T) {
	f := newFixture(t)
	name := strings.Repeat("n", keys.MaxName)
	a, b := NewCodec(f.issueKeyring(name), "x", 1<<63, 8, func() time.Time { return f.now }), f.newCodec("beta", "x")
	f.introduce(a, b)
	claim := aliveClaim(a)
	claim.Incarnation, claim.Clock, claim.Addr = 1<<31, maxClockMicroseconds*time.Microsecond/2, netip.MustParseAddrPort("[2001:db8:ffff:ffff:ffff:ffff:ffff:ffff]:65535")
	claim.Raw = a.encodeClaim(&claim)
	accused := gossip.Claim{Kind: gossip.Accused, Name: name[1:] + "x", By: name, Key: a.ownKey, Run: a.runID, Incarnation: 1 << 31, Clock: claim.Clock}
	m := &gossip.Message{Kind: gossip.PingReq, Number: 1 << 31, Target: name, TargetAddr: claim.Addr, Clock: claim.Clock, Claims: []gossip.Claim{claim, accused}}
	for i := range 3 {
		r := silentRumour(a, 1<<31+uint32(i))
		r.Run = 1 << 63
		m.Rumours = append(m.Rumours, gossip.RelayedRumour{Rumour: r, Age: time.Hour})
	}
	d, err := a.EncodeDatagram(b.ownKey, m)
	if err != nil {
		t.Fatal(err)
	}
	if got := len(d) + 28; got > m.Bytes() {
		t.Errorf("size of the datagram with its IP and UDP headers: got %d bytes, want at most %d", got, m.Bytes())
	}
	items := &gossip.Items{Claims: m.Claims, Rumours: m.Rumours, MissingClaims: make([]gossip.Fingerprint, 50), ObservedAddr: claim.Addr.Addr()}
	for i := range items.MissingClaims {
		items.MissingClaims[i] = 1 << 31
	}
	if got := len(a.EncodeItems(items)); got > items.Bytes() {
		t.Errorf("size of the items: got %d bytes, want at most %d", got, items.Bytes())
	}
	digest := &gossip.Digest{Own: aliveClaim(a), Members: items.MissingClaims, Dead: items.MissingClaims, Rumours: items.MissingClaims}
	raw := a.EncodeDigest(digest)
	if len(raw) > digest.Bytes() {
		t.Errorf("size of the digest: got %d bytes, want at most %d", len(raw), digest.Bytes())
	}
	if got, err := b.DecodeDigest(raw, b.peers[a.ownKey]); err != nil || !slices.Equal(got.Rumours, digest.Rumours) || got.Own.Name != name {
		t.Errorf("decoded digest: got %+v, error %v, want the encoded one", got, err)
	}
	if _, err := b.DecodeDigest(raw, &Peer{Name: "another", Key: a.ownKey}); err == nil {
		t.Error("digest with the claim of another instance: got no error, want one")
	}
	for _, m := range []*gossip.Message{{Kind: gossip.Ping}, {Kind: gossip.Ping, Claims: m.Claims[:1]}, {Kind: gossip.Tell, Rumours: m.Rumours[:1]}} {
		d, err := a.EncodeDatagram(b.ownKey, m)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%d claims, %d rumours: %d bytes, estimate %d", len(m.Claims), len(m.Rumours), len(d)+28, m.Bytes())
	}
}

// The caches of peers and of signed rumours are bounded.
func TestCachesAreBounded(t *testing.T) {
	f := newFixture(t)
	a := f.newCodec("alpha", "x")
	for i := range 40 {
		if _, err := a.verifyPeer(f.newCodec(fmt.Sprint("p", i), "x").certificate); err != nil {
			t.Fatal(err)
		}
	}
	if len(a.peers) > 16 {
		t.Errorf("peers: got %d, want at most 16", len(a.peers))
	}
	for i := range uint32(1000) {
		r := silentRumour(a, i)
		a.encodeRumour(&r)
	}
	if len(a.signedRumours) > maxSigned || len(a.signedOrder) > maxSigned {
		t.Errorf("cached signed rumours: got %d, want at most maxSigned", len(a.signedRumours))
	}
}

func FuzzOpen(f *testing.F) {
	fix := newFixture(f)
	a, b := fix.newCodec("alpha", "x"), fix.newCodec("beta", "x")
	fix.introduce(a, b)
	for _, m := range []*gossip.Message{{Kind: gossip.Ping}, {Kind: gossip.Tell, Claims: []gossip.Claim{aliveClaim(a)}, Rumours: []gossip.RelayedRumour{{Rumour: silentRumour(a, 1)}}}} {
		d, err := a.EncodeDatagram(b.ownKey, m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(d)
		f.Add(d[headerSize:])
	}
	f.Add(a.EncodeItems(&gossip.Items{Claims: []gossip.Claim{aliveClaim(a)}, MissingClaims: []gossip.Fingerprint{1}}))
	f.Add(a.EncodeDigest(&gossip.Digest{Own: aliveClaim(a), Members: []gossip.Fingerprint{1}}))
	f.Fuzz(func(t *testing.T, d []byte) {
		b.Open(d, func(error) {})
		// The bodies that an attacker with a valid key can send.
		b.decodeMessage(d, func(error) {})
		b.DecodeItems(d, func(error) {})
		b.DecodeDigest(d, b.peers[a.ownKey])
		b.verifyPeer(d)
	})
}

func BenchmarkOpen(b *testing.B) {
	f := newFixture(b)
	x, y := f.newCodec("alpha", "x"), f.newCodec("beta", "x")
	f.introduce(x, y)
	m := &gossip.Message{Kind: gossip.Tell}
	for i := range uint32(7) {
		m.Rumours = append(m.Rumours, gossip.RelayedRumour{Rumour: silentRumour(x, i)})
	}
	valid, err := x.EncodeDatagram(y.ownKey, m)
	if err != nil {
		b.Fatal(err)
	}
	altered := slices.Clone(valid)
	altered[50] ^= 1
	foreign := slices.Clone(valid)
	foreign[5] ^= 1
	for name, d := range map[string][]byte{"good": valid, "altered": altered, "foreign": foreign} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				y.Open(d, func(error) {})
			}
		})
	}
}
