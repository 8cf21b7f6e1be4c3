// Package wire encodes what instances say to one another, signs it, and proves what comes in before anything else looks at
// it. The bodies are CBOR (RFC 8949) in its one deterministic form; what goes around them has a fixed layout, so that most of
// what is not meant for an instance is turned away by comparing a few bytes.
//
// A datagram is: "gw", version, flags, cluster (4), sender's key (8), run (8), counter (8), tag (16), body, signature (64). The
// tag is an HMAC-SHA256, cut to 16 bytes, under the secret of the two instances; the signature is Ed25519 over all the rest but
// the tag. Flag 1 says that the body's first claim is the sender's own, with its certificate, for one who may not know it.
package wire

import (
	"crypto/ed25519"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"gorsewell/internal/gossip"
	"gorsewell/internal/gossip/keys"
)

const (
	protocolVersion = 1
	headerSize      = 2 + 1 + 1 + 4 + 8 + 8 + 8 + tagSize
	tagSize         = 16
	tagOffset       = headerSize - tagSize
	flagCertificate = 1

	datagramDomain = "gorsewell datagram 1\x00"
	claimDomain    = "gorsewell claim 1\x00"
	rumourDomain   = "gorsewell rumour 1\x00"
)

// Bounds on what one message holds, beside its size.
const (
	maxItems = 64
	maxMarks = 4096
)

// Why something is dropped. Each cause is counted by itself.
var (
	ErrForm      = errors.New("not in this form")
	ErrVersion   = errors.New("another version")
	ErrCluster   = errors.New("of another cluster")
	ErrStranger  = errors.New("by a key that is not known")
	ErrTag       = errors.New("not meant for this instance, or altered")
	ErrSignature = errors.New("the signature does not fit")
	ErrExpired   = keys.ErrExpired
	ErrAuthority = keys.ErrUnknown
)

var byteOrder = binary.BigEndian

// Peer is an instance whose certificate has been proved.
type Peer struct {
	Name    string
	Key     gossip.KeyID
	Public  ed25519.PublicKey
	Cert    []byte
	Until   int64 // Unix seconds
	Shared  []byte
	lastUse uint64
}

// Book proves and remembers. It belongs to one goroutine at a time.
type Book struct {
	keyring     *keys.Keyring
	cluster     string
	clusterHash uint32 // of the cluster
	runID       uint64
	clock       func() time.Time // for certificates' ends alone
	ownKey      gossip.KeyID
	certificate []byte
	counter     uint64

	peers         map[gossip.KeyID]*Peer
	maxPeers      int
	useCount      uint64
	verified      map[[16]byte]struct{} // items whose signature has been found to fit
	verifiedOrder [][16]byte            // the same, oldest first
	signedRumours map[uint32][]byte     // rumours of our own, by number
	signedOrder   []uint32
}

const (
	maxVerified = 8192
	maxSigned   = 256
)

// NewBook makes one that keeps at most so many peers.
func NewBook(ring *keys.Keyring, cluster string, run uint64, peers int, clock func() time.Time) *Book {
	b := &Book{cluster: cluster, runID: run, clock: clock, maxPeers: 2 * peers, verified: map[[16]byte]struct{}{}}
	b.clusterHash = uint32(xxhash.Sum64String("gorsewell cluster\x00" + cluster))
	b.Rekey(ring)
	return b
}

// Rekey goes on with another keyring. What was proved by the one before is proved again when it comes next. It gives the
// keys that no longer count.
func (b *Book) Rekey(ring *keys.Keyring) (ended []gossip.KeyID) {
	old := b.peers
	b.keyring, b.ownKey, b.certificate = ring, ring.Certificate.Key(), ring.Certificate.Encode()
	b.peers, b.verified, b.verifiedOrder = map[gossip.KeyID]*Peer{}, map[[16]byte]struct{}{}, nil
	b.signedRumours, b.signedOrder = map[uint32][]byte{}, nil
	for id, p := range old {
		if _, err := b.verifyPeer(p.Cert); err != nil {
			ended = append(ended, id)
		}
	}
	return ended
}

// Own is the instance's own key.
func (b *Book) Own() gossip.KeyID { return b.ownKey }

// Expired gives the keys whose certificates have ended, and forgets them.
func (b *Book) Expired() (ended []gossip.KeyID) {
	now := b.clock().Unix()
	for id, p := range b.peers {
		if now > p.Until {
			ended = append(ended, id)
			delete(b.peers, id)
		}
	}
	return ended
}

// verifyPeer proves a certificate and keeps it.
func (b *Book) verifyPeer(cert []byte) (*Peer, error) {
	c, err := keys.ParseCertificate(cert)
	if err != nil {
		return nil, ErrForm
	}
	id := c.Key()
	if p := b.peers[id]; p != nil && string(p.Cert) == string(cert) {
		return p, nil
	}
	if err := b.keyring.Verify(c, b.clock()); err != nil {
		return nil, err
	}
	shared, err := b.keyring.Shared(c, b.cluster)
	if err != nil {
		return nil, ErrForm
	}
	if len(b.peers) >= b.maxPeers { // the one that was needed longest ago gives way
		var oldest *Peer
		for _, p := range b.peers {
			if oldest == nil || p.lastUse < oldest.lastUse || p.lastUse == oldest.lastUse && string(p.Key[:]) < string(oldest.Key[:]) {
				oldest = p
			}
		}
		delete(b.peers, oldest.Key)
	}
	p := &Peer{Name: c.Name, Key: id, Public: c.Public, Cert: cert, Until: c.NotAfter, Shared: shared}
	b.peers[id] = p
	return p, nil
}

// validPeer is one that is known and whose certificate has not ended.
func (b *Book) validPeer(id gossip.KeyID) (*Peer, error) {
	p := b.peers[id]
	if p == nil {
		return nil, ErrStranger
	}
	if b.clock().Unix() > p.Until {
		return nil, ErrExpired
	}
	b.useCount++
	p.lastUse = b.useCount
	return p, nil
}

// The bodies, as they are encoded.
type (
	claimBody struct {
		_           struct{} `cbor:",toarray"`
		Kind        gossip.ClaimKind
		Name        string
		Incarnation uint32
		Run         uint64
		Addr        []byte
		Clock       int64 // microseconds
	}
	claimItem struct {
		_         struct{} `cbor:",toarray"`
		Body      []byte
		Signer    []byte // a certificate, or the ID of a key
		Signature []byte
	}
	rumourBody struct {
		_        struct{} `cbor:",toarray"`
		Key      []byte
		Run      uint64
		Server   uint64
		Symptom  gossip.Symptom
		Strength uint8
		Number   uint32
		Made     int64 // microseconds
	}
	rumourItem struct {
		_         struct{} `cbor:",toarray"`
		Body      []byte
		Signature []byte
	}
	agedRumour struct {
		_   struct{} `cbor:",toarray"`
		Raw []byte   // a rumourItem
		Age int64    // milliseconds
	}
	messageBody struct {
		_        struct{} `cbor:",toarray"`
		Kind     gossip.Kind
		Number   uint32
		Prove    bool
		Target   string
		TargetAt []byte
		Clock    int64    // microseconds
		Claims   [][]byte // claimItems
		Rumours  []agedRumour
	}
	digestBody struct {
		_       struct{} `cbor:",toarray"`
		Own     []byte
		Members []gossip.Mark
		Dead    []gossip.Mark
		Rumours []gossip.Mark
	}
	itemsBody struct {
		_       struct{} `cbor:",toarray"`
		Claims  [][]byte
		Rumours []agedRumour
		Wants   []gossip.Mark
		Lacks   []gossip.Mark
		Alive   []gossip.Mark
		SeenAt  []byte
	}
)

func marshal(v any) []byte {
	b, err := keys.Enc.Marshal(v)
	if err != nil {
		panic(err) // nothing in the bodies can fail to be encoded
	}
	return b
}

func addrBytes(a netip.AddrPort) []byte {
	if !a.IsValid() {
		return nil
	}
	b, _ := a.MarshalBinary()
	return b
}

func parseAddr(b []byte) (a netip.AddrPort, err error) {
	if len(b) > 0 {
		err = a.UnmarshalBinary(b)
	}
	return a, err
}

// encodeClaim gives a claim as it was signed, or signs one of our own.
func (b *Book) encodeClaim(c *gossip.Claim) []byte {
	if c.Raw != nil {
		return c.Raw
	}
	body := marshal(&claimBody{Kind: c.Kind, Name: c.Name, Incarnation: c.Incarnation, Run: c.Run, Addr: addrBytes(c.Addr), Clock: c.Clock.Microseconds()})
	signer := b.certificate
	if c.Kind == gossip.Accused {
		signer = b.ownKey[:]
	}
	return marshal(&claimItem{Body: body, Signer: signer, Signature: ed25519.Sign(b.keyring.Private, append([]byte(claimDomain+b.cluster+"\x00"), body...))})
}

// encodeRumour does so for a rumour. Those of our own are signed once each.
func (b *Book) encodeRumour(r *gossip.Rumour) []byte {
	if r.Raw != nil {
		return r.Raw
	}
	if raw := b.signedRumours[r.Number]; raw != nil {
		return raw
	}
	body := marshal(&rumourBody{Key: r.Key[:], Run: r.Run, Server: r.Server, Symptom: r.Symptom, Strength: r.Strength, Number: r.Number,
		Made: r.Made.Microseconds()})
	raw := marshal(&rumourItem{Body: body, Signature: ed25519.Sign(b.keyring.Private, append([]byte(rumourDomain+b.cluster+"\x00"), body...))})
	if len(b.signedOrder) >= maxSigned {
		delete(b.signedRumours, b.signedOrder[0])
		b.signedOrder = b.signedOrder[1:]
	}
	b.signedRumours[r.Number] = raw
	b.signedOrder = append(b.signedOrder, r.Number)
	return raw
}

// verifySignature checks an item's signature, once for each item as long as it is remembered.
func (b *Book) verifySignature(public ed25519.PublicKey, domain string, body, proof []byte) bool {
	h := sha256.New()
	h.Write([]byte(domain))
	h.Write(public)
	h.Write(body)
	h.Write(proof)
	var sum [16]byte
	copy(sum[:], h.Sum(nil))
	if _, ok := b.verified[sum]; ok {
		return true
	}
	if len(proof) != ed25519.SignatureSize || !ed25519.Verify(public, append([]byte(domain+b.cluster+"\x00"), body...), proof) {
		return false
	}
	if len(b.verifiedOrder) >= maxVerified {
		delete(b.verified, b.verifiedOrder[0])
		b.verifiedOrder = b.verifiedOrder[1:]
	}
	b.verified[sum] = struct{}{}
	b.verifiedOrder = append(b.verifiedOrder, sum)
	return true
}

// verifyClaim proves one verifyClaim.
func (b *Book) verifyClaim(raw []byte) (c gossip.Claim, err error) {
	var item claimItem
	var body claimBody
	if keys.Dec.Unmarshal(raw, &item) != nil || keys.Dec.Unmarshal(item.Body, &body) != nil {
		return c, ErrForm
	}
	var p *Peer
	if len(item.Signer) == len(gossip.KeyID{}) {
		p, err = b.validPeer(gossip.KeyID(item.Signer))
	} else {
		p, err = b.verifyPeer(item.Signer)
	}
	if err != nil {
		return c, err
	}
	addr, err := parseAddr(body.Addr)
	if err != nil || !keys.ValidName(body.Name) || body.Kind < gossip.Alive || body.Kind > gossip.Accused ||
		(body.Kind == gossip.Accused) == (p.Name == body.Name) || body.Clock < 0 || body.Clock > maxClockMicroseconds ||
		body.Kind == gossip.Alive && !addr.IsValid() {
		return c, ErrForm
	}
	if !b.verifySignature(p.Public, claimDomain, item.Body, item.Signature) {
		return c, ErrSignature
	}
	return gossip.Claim{Kind: body.Kind, Name: body.Name, Incarnation: body.Incarnation, By: p.Name, Key: p.Key, Run: body.Run, Addr: addr,
		Clock: time.Duration(body.Clock) * time.Microsecond, Raw: raw}, nil
}

// maxClockMicroseconds is the longest that an instance may claim to have run, in microseconds: a century.
const maxClockMicroseconds = 100 * 365 * 24 * 3600 * 1e6

// verifyRumour proves one verifyRumour.
func (b *Book) verifyRumour(t *agedRumour) (told gossip.Told, err error) {
	var item rumourItem
	var body rumourBody
	if keys.Dec.Unmarshal(t.Raw, &item) != nil || keys.Dec.Unmarshal(item.Body, &body) != nil || len(body.Key) != len(gossip.KeyID{}) ||
		body.Symptom > gossip.Late || body.Made < 0 || body.Made > maxClockMicroseconds {
		return told, ErrForm
	}
	p, err := b.validPeer(gossip.KeyID(body.Key))
	if err != nil {
		return told, err
	}
	if !b.verifySignature(p.Public, rumourDomain, item.Body, item.Signature) {
		return told, ErrSignature
	}
	age := time.Duration(min(max(0, t.Age), maxClockMicroseconds/1000)) * time.Millisecond
	return gossip.Told{Age: age, Rumour: gossip.Rumour{Observer: p.Name, Key: p.Key, Run: body.Run, Server: body.Server, Symptom: body.Symptom,
		Strength: body.Strength, Number: body.Number, Made: time.Duration(body.Made) * time.Microsecond, Raw: t.Raw}}, nil
}

// Knows tells whether a key's certificate has been proved.
func (b *Book) Knows(id gossip.KeyID) bool { return b.peers[id] != nil }

// Datagram encodes, signs and tags a message for the instance of a key. Nothing is sent to one that is not known. The
// certificate goes along where a claim of our own does: that is where the receiver may not know us.
func (b *Book) Datagram(to gossip.KeyID, m *gossip.Message) ([]byte, error) {
	p, err := b.validPeer(to)
	if err != nil {
		return nil, err
	}
	body := messageBody{Kind: m.Kind, Number: m.Number, Prove: m.Prove, Target: m.Target, TargetAt: addrBytes(m.TargetAt), Clock: m.Clock.Microseconds()}
	flags := byte(0)
	for i := range m.Claims {
		if m.Claims[i].Raw == nil && m.Claims[i].Kind != gossip.Accused && i == 0 {
			flags = flagCertificate
		}
		body.Claims = append(body.Claims, b.encodeClaim(&m.Claims[i]))
	}
	for i := range m.Rumours {
		body.Rumours = append(body.Rumours, agedRumour{Raw: b.encodeRumour(&m.Rumours[i].Rumour), Age: m.Rumours[i].Age.Milliseconds()})
	}
	b.counter++
	d := make([]byte, 0, 1400)
	d = append(d, 'g', 'w', protocolVersion, flags)
	d = byteOrder.AppendUint32(d, b.clusterHash)
	d = append(d, b.ownKey[:]...)
	d = byteOrder.AppendUint64(d, b.runID)
	d = byteOrder.AppendUint64(d, b.counter)
	d = append(d, make([]byte, tagSize)...)
	d = append(d, marshal(&body)...)
	d = append(d, ed25519.Sign(b.keyring.Private, b.signedBytes(d))...)
	copy(d[tagOffset:], datagramTag(p.Shared, d))
	return d, nil
}

// signedBytes is what a datagram's signature covers: all but the tag, which is made last and differs for each receiver anyway.
func (b *Book) signedBytes(d []byte) []byte {
	s := make([]byte, 0, len(datagramDomain)+len(b.cluster)+1+len(d))
	s = append(s, datagramDomain...)
	s = append(append(s, b.cluster...), 0)
	s = append(s, d[:tagOffset]...)
	return append(s, d[headerSize:]...)
}

func datagramTag(secret, d []byte) []byte {
	m := hmac.New(sha256.New, secret)
	m.Write(d[:tagOffset])
	m.Write(d[headerSize:])
	return m.Sum(nil)[:tagSize]
}

// Meets tells whether opening a datagram would mean to prove a certificate that is not known yet, which costs most. It looks
// at a few bytes only.
func (b *Book) Meets(d []byte) bool {
	return len(d) > headerSize && d[3]&flagCertificate != 0 && b.peers[gossip.KeyID(d[8:16])] == nil
}

// Open proves a datagram and decodes it. Items in it that do not hold are left out, and counted by cause in dropped. The
// checks come in the order of their cost.
func (b *Book) Open(d []byte, dropped func(error)) (gossip.Datagram, error) {
	var out gossip.Datagram
	if len(d) < headerSize+ed25519.SignatureSize || d[0] != 'g' || d[1] != 'w' {
		return out, ErrForm
	}
	if d[2] != protocolVersion {
		return out, ErrVersion
	}
	if byteOrder.Uint32(d[4:]) != b.clusterHash {
		return out, ErrCluster
	}
	id := gossip.KeyID(d[8:16])
	rest := d[headerSize : len(d)-ed25519.SignatureSize]
	p, err := b.validPeer(id)
	if err == ErrStranger && d[3]&flagCertificate != 0 {
		p, err = b.verifySender(id, rest)
	}
	if err != nil {
		return out, err
	}
	if !hmac.Equal(datagramTag(p.Shared, d), d[tagOffset:headerSize]) {
		return out, ErrTag
	}
	signed := b.signedBytes(d[:len(d)-ed25519.SignatureSize])
	if !ed25519.Verify(p.Public, signed, d[len(d)-ed25519.SignatureSize:]) {
		return out, ErrSignature
	}
	m, err := b.decodeMessage(rest, dropped)
	if err != nil {
		return out, err
	}
	return gossip.Datagram{From: p.Name, Key: p.Key, Run: byteOrder.Uint64(d[16:]), Counter: byteOrder.Uint64(d[24:]), Message: m}, nil
}

// verifySender looks into a body that is not proved yet for the certificate of who sent it.
func (b *Book) verifySender(id gossip.KeyID, raw []byte) (*Peer, error) {
	var body messageBody
	var item claimItem
	if keys.Dec.Unmarshal(raw, &body) != nil || len(body.Claims) == 0 || keys.Dec.Unmarshal(body.Claims[0], &item) != nil {
		return nil, ErrForm
	}
	if c, err := keys.ParseCertificate(item.Signer); err != nil || c.Key() != id {
		return nil, ErrForm
	}
	return b.verifyPeer(item.Signer)
}

func (b *Book) decodeMessage(raw []byte, dropped func(error)) (*gossip.Message, error) {
	var body messageBody
	if err := keys.Dec.Unmarshal(raw, &body); err != nil {
		return nil, ErrForm
	}
	at, err := parseAddr(body.TargetAt)
	if err != nil || body.Kind < gossip.Ping || body.Kind > gossip.Tell || len(body.Claims)+len(body.Rumours) > maxItems ||
		body.Target != "" && !keys.ValidName(body.Target) || body.Clock < 0 || body.Clock > maxClockMicroseconds {
		return nil, ErrForm
	}
	m := &gossip.Message{Kind: body.Kind, Number: body.Number, Prove: body.Prove, Target: body.Target, TargetAt: at,
		Clock: time.Duration(body.Clock) * time.Microsecond}
	m.Claims, m.Rumours = b.verifyItems(body.Claims, body.Rumours, dropped)
	return m, nil
}

// verifyItems proves claims and rumours; claims first, as they bring the certificates of who made the rumours.
func (b *Book) verifyItems(claims [][]byte, rumours []agedRumour, dropped func(error)) (cs []gossip.Claim, rs []gossip.Told) {
	for _, raw := range claims {
		if c, err := b.verifyClaim(raw); err == nil {
			cs = append(cs, c)
		} else {
			dropped(err)
		}
	}
	for i := range rumours {
		if t, err := b.verifyRumour(&rumours[i]); err == nil {
			rs = append(rs, t)
		} else {
			dropped(err)
		}
	}
	return cs, rs
}

// EncodeDigest encodes a digest for a stream.
func (b *Book) EncodeDigest(d *gossip.Digest) []byte {
	return marshal(&digestBody{Own: b.encodeClaim(&d.Own), Members: d.Members, Dead: d.Dead, Rumours: d.Rumours})
}

// Digest decodes one that came from an instance; what it says of itself must be its own.
func (b *Book) Digest(raw []byte, from *Peer) (*gossip.Digest, error) {
	var body digestBody
	if err := keys.Dec.Unmarshal(raw, &body); err != nil || len(body.Members)+len(body.Dead)+len(body.Rumours) > 3*maxMarks {
		return nil, ErrForm
	}
	own, err := b.verifyClaim(body.Own)
	if err != nil {
		return nil, err
	}
	if own.Name != from.Name || own.Key != from.Key || own.By != own.Name {
		return nil, ErrForm
	}
	return &gossip.Digest{Own: own, Members: body.Members, Dead: body.Dead, Rumours: body.Rumours}, nil
}

// EncodeItems encodes items for a stream.
func (b *Book) EncodeItems(i *gossip.Items) []byte {
	body := itemsBody{Wants: i.Wants, Lacks: i.Lacks, Alive: i.Alive}
	for j := range i.Claims {
		body.Claims = append(body.Claims, b.encodeClaim(&i.Claims[j]))
	}
	for j := range i.Rumours {
		body.Rumours = append(body.Rumours, agedRumour{Raw: b.encodeRumour(&i.Rumours[j].Rumour), Age: i.Rumours[j].Age.Milliseconds()})
	}
	if i.SeenAt.IsValid() {
		body.SeenAt, _ = i.SeenAt.MarshalBinary()
	}
	return marshal(&body)
}

// Items decodes items; those that do not hold are left out.
func (b *Book) Items(raw []byte, dropped func(error)) (*gossip.Items, error) {
	var body itemsBody
	if err := keys.Dec.Unmarshal(raw, &body); err != nil || len(body.Wants)+len(body.Lacks)+len(body.Alive) > 3*maxMarks ||
		len(body.Claims)+len(body.Rumours) > 8*maxItems {
		return nil, ErrForm
	}
	i := &gossip.Items{Wants: body.Wants, Lacks: body.Lacks, Alive: body.Alive}
	if len(body.SeenAt) > 0 && i.SeenAt.UnmarshalBinary(body.SeenAt) != nil {
		return nil, ErrForm
	}
	i.Claims, i.Rumours = b.verifyItems(body.Claims, body.Rumours, dropped)
	return i, nil
}

// TagSize is the length of a frame's tag on a stream.
const TagSize = tagSize

// Cluster is the mark of the cluster.
func (b *Book) Cluster() uint32 { return b.clusterHash }

// Certificate is the instance's own, encoded.
func (b *Book) Certificate() []byte { return b.certificate }

// Meet proves the certificate of an instance on a stream.
func (b *Book) Meet(cert []byte) (*Peer, error) { return b.verifyPeer(cert) }

// Session tags the frames of one stream, each way by itself and in order.
type Session struct {
	key                     []byte
	sent, received          uint64
	sendLabel, receiveLabel byte
}

// Session makes the one of a stream from both sides' fresh numbers, of who opened it first.
func (b *Book) Session(p *Peer, opener, other []byte, opened bool) *Session {
	m := hmac.New(sha256.New, p.Shared)
	m.Write([]byte("gorsewell stream 1\x00"))
	m.Write(opener)
	m.Write(other)
	s := &Session{key: m.Sum(nil), sendLabel: 'o', receiveLabel: 'a'}
	if !opened {
		s.sendLabel, s.receiveLabel = s.receiveLabel, s.sendLabel
	}
	return s
}

func (s *Session) compute(way byte, number uint64, frame []byte) []byte {
	m := hmac.New(sha256.New, s.key)
	m.Write(byteOrder.AppendUint64([]byte{way}, number))
	m.Write(frame)
	return m.Sum(nil)[:tagSize]
}

// Seal is the tag of the next frame that goes out.
func (s *Session) Seal(frame []byte) []byte {
	s.sent++
	return s.compute(s.sendLabel, s.sent, frame)
}

// Fits checks the tag of the next frame that has come in.
func (s *Session) Fits(frame, tag []byte) bool {
	s.received++
	return hmac.Equal(s.compute(s.receiveLabel, s.received, frame), tag)
}
