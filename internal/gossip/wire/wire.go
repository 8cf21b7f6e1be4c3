// Package wire implements the signed binary codec of gossip messages. It encodes and signs outgoing messages, and
// verifies incoming ones before any other code reads them. Bodies are CBOR (RFC 8949) in its deterministic encoding.
// The header has a fixed layout, so that most messages for other receivers are rejected by comparing a few bytes.
//
// A datagram consists of these fields, with the size in bytes in parentheses:
//
//	magic "gw" (2), version (1), flags (1), hash of the cluster's name (4), ID of the sender's key (8), run ID (8),
//	counter (8), tag (16), body, signature (64)
//
// The tag is an HMAC-SHA256, truncated to 16 bytes, under the shared secret of sender and receiver. The signature is
// Ed25519 over everything but the tag. Flag 1 says that the body's first claim is the sender's own and carries its
// certificate, for a receiver that may not know the sender yet.
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
	flagCertificate = 1 // the first claim carries the sender's certificate

	datagramDomain = "gorsewell datagram 1\x00"
	claimDomain    = "gorsewell claim 1\x00"
	rumourDomain   = "gorsewell rumour 1\x00"
)

// Limits on the content of one message, in addition to its size in bytes.
const (
	maxItems        = 64   // claims and rumours of a datagram; a stream message may hold 8 times as many
	maxFingerprints = 4096 // fingerprints of a stream message, on average over its three lists
)

// Reasons for dropping a message or one of its items. Each is counted separately.
var (
	ErrMalformed        = errors.New("malformed message")
	ErrVersion          = errors.New("unsupported protocol version")
	ErrCluster          = errors.New("message of another cluster")
	ErrUnknownKey       = errors.New("unknown sender key")
	ErrTag              = errors.New("tag does not match: message altered or for another receiver")
	ErrSignature        = errors.New("invalid signature")
	ErrExpired          = keys.ErrExpired
	ErrUnknownAuthority = keys.ErrUnknownAuthority
)

var byteOrder = binary.BigEndian

// Peer is an instance whose certificate has been verified.
type Peer struct {
	Name         string
	Key          gossip.KeyID
	Public       ed25519.PublicKey
	Cert         []byte // the encoded certificate
	NotAfter     int64  // end of the certificate's validity, in Unix seconds
	SharedSecret []byte // secret shared with this instance
	lastUse      uint64 // value of the codec's useCount at the last use
}

// Codec signs and encodes outgoing messages, and verifies and decodes incoming ones. It caches verified certificates
// and signatures. It is not safe for concurrent use.
type Codec struct {
	keyring     *keys.Keyring
	cluster     string
	clusterHash uint32           // identifies the cluster in headers
	runID       uint64           // drawn at each start of the instance
	clock       func() time.Time // used only for the expiry of certificates
	ownKey      gossip.KeyID
	certificate []byte // the instance's own, encoded
	counter     uint64 // datagrams sent

	peers         map[gossip.KeyID]*Peer
	maxPeers      int
	useCount      uint64                // lookups of peers, the clock of Peer.lastUse
	verified      map[[16]byte]struct{} // hashes of items with a valid signature
	verifiedOrder [][16]byte            // keys of verified, oldest first
	signedRumours map[uint32][]byte     // the instance's own rumours, encoded, by number
	signedOrder   []uint32              // keys of signedRumours, oldest first
}

// Limits of a codec's caches.
const (
	maxVerified = 8192 // hashes of items with a valid signature
	maxSigned   = 256  // encoded rumours of the instance's own
)

// NewCodec returns a codec for a cluster of up to the given number of peers. It keeps the certificates of twice as
// many.
func NewCodec(keyring *keys.Keyring, cluster string, runID uint64, peers int, clock func() time.Time) *Codec {
	cd := &Codec{cluster: cluster, runID: runID, clock: clock, maxPeers: 2 * peers, verified: map[[16]byte]struct{}{}}
	cd.clusterHash = uint32(xxhash.Sum64String("gorsewell cluster\x00" + cluster))
	cd.Rekey(keyring)
	return cd
}

// Rekey replaces the keyring. Signatures verified with the previous one are verified again on their next receipt. It
// returns the keys of peers whose certificates the new keyring rejects.
func (cd *Codec) Rekey(keyring *keys.Keyring) (rejected []gossip.KeyID) {
	old := cd.peers
	cd.keyring, cd.ownKey, cd.certificate = keyring, keyring.Certificate.KeyID(), keyring.Certificate.Encode()
	cd.peers, cd.verified, cd.verifiedOrder = map[gossip.KeyID]*Peer{}, map[[16]byte]struct{}{}, nil
	cd.signedRumours, cd.signedOrder = map[uint32][]byte{}, nil
	for id, p := range old {
		if _, err := cd.verifyPeer(p.Cert); err != nil {
			rejected = append(rejected, id)
		}
	}
	return rejected
}

// OwnKey returns the ID of the instance's own key.
func (cd *Codec) OwnKey() gossip.KeyID { return cd.ownKey }

// RemoveExpired removes the peers whose certificates have expired and returns their keys.
func (cd *Codec) RemoveExpired() (expired []gossip.KeyID) {
	now := cd.clock().Unix()
	for id, p := range cd.peers {
		if now > p.NotAfter {
			expired = append(expired, id)
			delete(cd.peers, id)
		}
	}
	return expired
}

// verifyPeer verifies a certificate and caches the peer.
func (cd *Codec) verifyPeer(cert []byte) (*Peer, error) {
	c, err := keys.ParseCertificate(cert)
	if err != nil {
		return nil, ErrMalformed
	}
	id := c.KeyID()
	if p := cd.peers[id]; p != nil && string(p.Cert) == string(cert) {
		return p, nil
	}
	if err := cd.keyring.Verify(c, cd.clock()); err != nil {
		return nil, err
	}
	shared, err := cd.keyring.SharedSecret(c, cd.cluster)
	if err != nil {
		return nil, ErrMalformed
	}
	if len(cd.peers) >= cd.maxPeers { // evict the least recently used; the key breaks ties
		var oldest *Peer
		for _, p := range cd.peers {
			if oldest == nil || p.lastUse < oldest.lastUse ||
				p.lastUse == oldest.lastUse && string(p.Key[:]) < string(oldest.Key[:]) {
				oldest = p
			}
		}
		delete(cd.peers, oldest.Key)
	}
	p := &Peer{Name: c.Name, Key: id, Public: c.Public, Cert: cert, NotAfter: c.NotAfter, SharedSecret: shared}
	cd.peers[id] = p
	return p, nil
}

// validPeer returns a known peer whose certificate has not expired.
func (cd *Codec) validPeer(id gossip.KeyID) (*Peer, error) {
	p := cd.peers[id]
	if p == nil {
		return nil, ErrUnknownKey
	}
	if cd.clock().Unix() > p.NotAfter {
		return nil, ErrExpired
	}
	cd.useCount++
	p.lastUse = cd.useCount
	return p, nil
}

// The CBOR encoded bodies. The order and types of the fields are the wire format.
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
		Raw []byte   // an encoded rumourItem
		Age int64    // milliseconds
	}
	messageBody struct {
		_          struct{} `cbor:",toarray"`
		Kind       gossip.Kind
		Number     uint32
		WantClaim  bool
		Target     string
		TargetAddr []byte
		Clock      int64    // microseconds
		Claims     [][]byte // encoded claimItems
		Rumours    []agedRumour
	}
	digestBody struct {
		_       struct{} `cbor:",toarray"`
		Own     []byte
		Members []gossip.Fingerprint
		Dead    []gossip.Fingerprint
		Rumours []gossip.Fingerprint
	}
	itemsBody struct {
		_              struct{} `cbor:",toarray"`
		Claims         [][]byte
		Rumours        []agedRumour
		MissingClaims  []gossip.Fingerprint
		MissingRumours []gossip.Fingerprint
		Reachable      []gossip.Fingerprint
		ObservedAddr   []byte
	}
)

func marshal(v any) []byte {
	b, err := keys.EncMode.Marshal(v)
	if err != nil {
		panic(err) // the bodies have no field whose encoding can fail
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

// encodeClaim returns a claim's encoding as it was received, or signs and encodes one of the instance's own.
func (cd *Codec) encodeClaim(c *gossip.Claim) []byte {
	if c.Raw != nil {
		return c.Raw
	}
	body := marshal(&claimBody{Kind: c.Kind, Name: c.Name, Incarnation: c.Incarnation, Run: c.Run,
		Addr: addrBytes(c.Addr), Clock: c.Clock.Microseconds()})
	signer := cd.certificate
	if c.Kind == gossip.Accused {
		signer = cd.ownKey[:]
	}
	return marshal(&claimItem{Body: body, Signer: signer,
		Signature: ed25519.Sign(cd.keyring.Private, append([]byte(claimDomain+cd.cluster+"\x00"), body...))})
}

// encodeRumour returns a rumour's encoding as it was received, or signs and encodes one of the instance's own. Each
// of those is signed once, as long as it is cached.
func (cd *Codec) encodeRumour(r *gossip.Rumour) []byte {
	if r.Raw != nil {
		return r.Raw
	}
	if raw := cd.signedRumours[r.Number]; raw != nil {
		return raw
	}
	body := marshal(&rumourBody{Key: r.Key[:], Run: r.Run, Server: r.Server, Symptom: r.Symptom, Strength: r.Strength,
		Number: r.Number, Made: r.Made.Microseconds()})
	raw := marshal(&rumourItem{Body: body,
		Signature: ed25519.Sign(cd.keyring.Private, append([]byte(rumourDomain+cd.cluster+"\x00"), body...))})
	if len(cd.signedOrder) >= maxSigned {
		delete(cd.signedRumours, cd.signedOrder[0])
		cd.signedOrder = cd.signedOrder[1:]
	}
	cd.signedRumours[r.Number] = raw
	cd.signedOrder = append(cd.signedOrder, r.Number)
	return raw
}

// verifySignature reports whether an item's signature is valid. Valid signatures are cached, so that an item is usually
// verified only once.
func (cd *Codec) verifySignature(public ed25519.PublicKey, domain string, body, signature []byte) bool {
	h := sha256.New()
	h.Write([]byte(domain))
	h.Write(public)
	h.Write(body)
	h.Write(signature)
	var sum [16]byte
	copy(sum[:], h.Sum(nil))
	if _, ok := cd.verified[sum]; ok {
		return true
	}
	if len(signature) != ed25519.SignatureSize ||
		!ed25519.Verify(public, append([]byte(domain+cd.cluster+"\x00"), body...), signature) {
		return false
	}
	if len(cd.verifiedOrder) >= maxVerified {
		delete(cd.verified, cd.verifiedOrder[0])
		cd.verifiedOrder = cd.verifiedOrder[1:]
	}
	cd.verified[sum] = struct{}{}
	cd.verifiedOrder = append(cd.verifiedOrder, sum)
	return true
}

// verifyClaim decodes and verifies a claim.
func (cd *Codec) verifyClaim(raw []byte) (c gossip.Claim, err error) {
	var item claimItem
	var body claimBody
	if keys.DecMode.Unmarshal(raw, &item) != nil || keys.DecMode.Unmarshal(item.Body, &body) != nil {
		return c, ErrMalformed
	}
	var p *Peer
	if len(item.Signer) == len(gossip.KeyID{}) {
		p, err = cd.validPeer(gossip.KeyID(item.Signer))
	} else {
		p, err = cd.verifyPeer(item.Signer)
	}
	if err != nil {
		return c, err
	}
	addr, err := parseAddr(body.Addr)
	if err != nil || !keys.ValidName(body.Name) || body.Kind < gossip.Alive || body.Kind > gossip.Accused ||
		(body.Kind == gossip.Accused) == (p.Name == body.Name) || body.Clock < 0 || body.Clock > maxClockMicroseconds ||
		body.Kind == gossip.Alive && !addr.IsValid() {
		return c, ErrMalformed
	}
	if !cd.verifySignature(p.Public, claimDomain, item.Body, item.Signature) {
		return c, ErrSignature
	}
	return gossip.Claim{Kind: body.Kind, Name: body.Name, Incarnation: body.Incarnation, By: p.Name, Key: p.Key,
		Run: body.Run, Addr: addr, Clock: time.Duration(body.Clock) * time.Microsecond, Raw: raw}, nil
}

// maxClockMicroseconds is the maximum uptime that an instance may claim: 100 years.
const maxClockMicroseconds = 100 * 365 * 24 * 3600 * 1e6

// verifyRumour decodes and verifies a rumour.
func (cd *Codec) verifyRumour(aged *agedRumour) (relayed gossip.RelayedRumour, err error) {
	var item rumourItem
	var body rumourBody
	if keys.DecMode.Unmarshal(aged.Raw, &item) != nil || keys.DecMode.Unmarshal(item.Body, &body) != nil ||
		len(body.Key) != len(gossip.KeyID{}) ||
		body.Symptom > gossip.Late || body.Made < 0 || body.Made > maxClockMicroseconds {
		return relayed, ErrMalformed
	}
	p, err := cd.validPeer(gossip.KeyID(body.Key))
	if err != nil {
		return relayed, err
	}
	if !cd.verifySignature(p.Public, rumourDomain, item.Body, item.Signature) {
		return relayed, ErrSignature
	}
	age := time.Duration(min(max(0, aged.Age), maxClockMicroseconds/1000)) * time.Millisecond
	return gossip.RelayedRumour{Age: age, Rumour: gossip.Rumour{Observer: p.Name, Key: p.Key, Run: body.Run,
		Server: body.Server, Symptom: body.Symptom, Strength: body.Strength, Number: body.Number,
		Made: time.Duration(body.Made) * time.Microsecond, Raw: aged.Raw}}, nil
}

// Knows reports whether the certificate of a key has been verified.
func (cd *Codec) Knows(id gossip.KeyID) bool { return cd.peers[id] != nil }

// EncodeDatagram encodes, signs and tags a message for the peer with the given key. It fails if the peer is unknown.
// The datagram carries this instance's certificate if its first claim is the instance's own; datagrams to a receiver
// that may not know the instance start with such a claim.
func (cd *Codec) EncodeDatagram(to gossip.KeyID, m *gossip.Message) ([]byte, error) {
	p, err := cd.validPeer(to)
	if err != nil {
		return nil, err
	}
	body := messageBody{Kind: m.Kind, Number: m.Number, WantClaim: m.WantClaim, Target: m.Target,
		TargetAddr: addrBytes(m.TargetAddr), Clock: m.Clock.Microseconds()}
	flags := byte(0)
	for i := range m.Claims {
		if m.Claims[i].Raw == nil && m.Claims[i].Kind != gossip.Accused && i == 0 {
			flags = flagCertificate
		}
		body.Claims = append(body.Claims, cd.encodeClaim(&m.Claims[i]))
	}
	for i := range m.Rumours {
		body.Rumours = append(body.Rumours, agedRumour{Raw: cd.encodeRumour(&m.Rumours[i].Rumour),
			Age: m.Rumours[i].Age.Milliseconds()})
	}
	cd.counter++
	d := make([]byte, 0, 1400)
	d = append(d, 'g', 'w', protocolVersion, flags)
	d = byteOrder.AppendUint32(d, cd.clusterHash)
	d = append(d, cd.ownKey[:]...)
	d = byteOrder.AppendUint64(d, cd.runID)
	d = byteOrder.AppendUint64(d, cd.counter)
	d = append(d, make([]byte, tagSize)...)
	d = append(d, marshal(&body)...)
	d = append(d, ed25519.Sign(cd.keyring.Private, cd.signedBytes(d))...)
	copy(d[tagOffset:], datagramTag(p.SharedSecret, d))
	return d, nil
}

// signedBytes returns the bytes that a datagram's signature covers: everything but the tag, which is computed last and
// differs between receivers.
func (cd *Codec) signedBytes(d []byte) []byte {
	s := make([]byte, 0, len(datagramDomain)+len(cd.cluster)+1+len(d))
	s = append(s, datagramDomain...)
	s = append(append(s, cd.cluster...), 0)
	s = append(s, d[:tagOffset]...)
	return append(s, d[headerSize:]...)
}

// datagramTag returns the truncated HMAC of a datagram without its tag.
func datagramTag(secret, d []byte) []byte {
	m := hmac.New(sha256.New, secret)
	m.Write(d[:tagOffset])
	m.Write(d[headerSize:])
	return m.Sum(nil)[:tagSize]
}

// HasUnknownCertificate reports whether opening a datagram involves verifying a certificate that is not known yet,
// which is the most expensive case. It reads only a few bytes of the header.
func (cd *Codec) HasUnknownCertificate(d []byte) bool {
	return len(d) > headerSize && d[3]&flagCertificate != 0 && cd.peers[gossip.KeyID(d[8:16])] == nil
}

// Open verifies and decodes a datagram. Invalid items in it are left out and their errors passed to dropped. Cheaper
// checks come first.
func (cd *Codec) Open(d []byte, dropped func(error)) (gossip.Datagram, error) {
	var out gossip.Datagram
	if len(d) < headerSize+ed25519.SignatureSize || d[0] != 'g' || d[1] != 'w' {
		return out, ErrMalformed
	}
	if d[2] != protocolVersion {
		return out, ErrVersion
	}
	if byteOrder.Uint32(d[4:]) != cd.clusterHash {
		return out, ErrCluster
	}
	id := gossip.KeyID(d[8:16])
	rest := d[headerSize : len(d)-ed25519.SignatureSize]
	p, err := cd.validPeer(id)
	if err == ErrUnknownKey && d[3]&flagCertificate != 0 {
		p, err = cd.verifySender(id, rest)
	}
	if err != nil {
		return out, err
	}
	if !hmac.Equal(datagramTag(p.SharedSecret, d), d[tagOffset:headerSize]) {
		return out, ErrTag
	}
	signed := cd.signedBytes(d[:len(d)-ed25519.SignatureSize])
	if !ed25519.Verify(p.Public, signed, d[len(d)-ed25519.SignatureSize:]) {
		return out, ErrSignature
	}
	m, err := cd.decodeMessage(rest, dropped)
	if err != nil {
		return out, err
	}
	return gossip.Datagram{From: p.Name, Key: p.Key, Run: byteOrder.Uint64(d[16:]),
		Counter: byteOrder.Uint64(d[24:]), Message: m}, nil
}

// verifySender verifies the sender's certificate, which it takes from a body that is not verified yet.
func (cd *Codec) verifySender(id gossip.KeyID, raw []byte) (*Peer, error) {
	var body messageBody
	var item claimItem
	if keys.DecMode.Unmarshal(raw, &body) != nil || len(body.Claims) == 0 ||
		keys.DecMode.Unmarshal(body.Claims[0], &item) != nil {
		return nil, ErrMalformed
	}
	if c, err := keys.ParseCertificate(item.Signer); err != nil || c.KeyID() != id {
		return nil, ErrMalformed
	}
	return cd.verifyPeer(item.Signer)
}

// decodeMessage decodes the body of a datagram and verifies its items.
func (cd *Codec) decodeMessage(raw []byte, dropped func(error)) (*gossip.Message, error) {
	var body messageBody
	if err := keys.DecMode.Unmarshal(raw, &body); err != nil {
		return nil, ErrMalformed
	}
	at, err := parseAddr(body.TargetAddr)
	if err != nil || body.Kind < gossip.Ping || body.Kind > gossip.Tell || len(body.Claims)+len(body.Rumours) > maxItems ||
		body.Target != "" && !keys.ValidName(body.Target) || body.Clock < 0 || body.Clock > maxClockMicroseconds {
		return nil, ErrMalformed
	}
	m := &gossip.Message{Kind: body.Kind, Number: body.Number, WantClaim: body.WantClaim, Target: body.Target, TargetAddr: at,
		Clock: time.Duration(body.Clock) * time.Microsecond}
	m.Claims, m.Rumours = cd.verifyItems(body.Claims, body.Rumours, dropped)
	return m, nil
}

// verifyItems verifies claims and rumours: claims first, as they carry the certificates of the rumours' observers.
func (cd *Codec) verifyItems(claims [][]byte, rumours []agedRumour,
	dropped func(error)) (cs []gossip.Claim, rs []gossip.RelayedRumour) {
	for _, raw := range claims {
		if c, err := cd.verifyClaim(raw); err == nil {
			cs = append(cs, c)
		} else {
			dropped(err)
		}
	}
	for i := range rumours {
		if t, err := cd.verifyRumour(&rumours[i]); err == nil {
			rs = append(rs, t)
		} else {
			dropped(err)
		}
	}
	return cs, rs
}

// EncodeDigest encodes a digest for a stream, signing the instance's own claim.
func (cd *Codec) EncodeDigest(d *gossip.Digest) []byte {
	return marshal(&digestBody{Own: cd.encodeClaim(&d.Own), Members: d.Members, Dead: d.Dead, Rumours: d.Rumours})
}

// DecodeDigest decodes a digest received from a peer. The claim in it must be the peer's own.
func (cd *Codec) DecodeDigest(raw []byte, from *Peer) (*gossip.Digest, error) {
	var body digestBody
	if err := keys.DecMode.Unmarshal(raw, &body); err != nil ||
		len(body.Members)+len(body.Dead)+len(body.Rumours) > 3*maxFingerprints {
		return nil, ErrMalformed
	}
	own, err := cd.verifyClaim(body.Own)
	if err != nil {
		return nil, err
	}
	if own.Name != from.Name || own.Key != from.Key || own.By != own.Name {
		return nil, ErrMalformed
	}
	return &gossip.Digest{Own: own, Members: body.Members, Dead: body.Dead, Rumours: body.Rumours}, nil
}

// EncodeItems encodes items for a stream.
func (cd *Codec) EncodeItems(i *gossip.Items) []byte {
	body := itemsBody{MissingClaims: i.MissingClaims, MissingRumours: i.MissingRumours, Reachable: i.Reachable}
	for j := range i.Claims {
		body.Claims = append(body.Claims, cd.encodeClaim(&i.Claims[j]))
	}
	for j := range i.Rumours {
		body.Rumours = append(body.Rumours, agedRumour{Raw: cd.encodeRumour(&i.Rumours[j].Rumour),
			Age: i.Rumours[j].Age.Milliseconds()})
	}
	if i.ObservedAddr.IsValid() {
		body.ObservedAddr, _ = i.ObservedAddr.MarshalBinary()
	}
	return marshal(&body)
}

// DecodeItems decodes items. Invalid ones are left out and their errors passed to dropped.
func (cd *Codec) DecodeItems(raw []byte, dropped func(error)) (*gossip.Items, error) {
	var body itemsBody
	if err := keys.DecMode.Unmarshal(raw, &body); err != nil ||
		len(body.MissingClaims)+len(body.MissingRumours)+len(body.Reachable) > 3*maxFingerprints ||
		len(body.Claims)+len(body.Rumours) > 8*maxItems {
		return nil, ErrMalformed
	}
	i := &gossip.Items{MissingClaims: body.MissingClaims, MissingRumours: body.MissingRumours, Reachable: body.Reachable}
	if len(body.ObservedAddr) > 0 && i.ObservedAddr.UnmarshalBinary(body.ObservedAddr) != nil {
		return nil, ErrMalformed
	}
	i.Claims, i.Rumours = cd.verifyItems(body.Claims, body.Rumours, dropped)
	return i, nil
}

// TagSize is the size of the tag of a frame on a stream, in bytes.
const TagSize = tagSize

// ClusterHash returns the hash of the cluster's name that identifies the cluster in headers.
func (cd *Codec) ClusterHash() uint32 { return cd.clusterHash }

// Certificate returns the instance's own certificate, encoded.
func (cd *Codec) Certificate() []byte { return cd.certificate }

// VerifyPeer verifies the certificate of the instance at the other end of a stream.
func (cd *Codec) VerifyPeer(cert []byte) (*Peer, error) { return cd.verifyPeer(cert) }

// StreamMAC computes and verifies the tags of the frames on one stream. The frames of each direction are numbered, so
// that they have to arrive complete and in order.
type StreamMAC struct {
	key          []byte
	sent         uint64 // frames
	received     uint64 // frames
	sendLabel    byte   // 'o' for frames of the side that opened the stream, 'a' for those of the other
	receiveLabel byte
}

// NewStreamMAC returns the StreamMAC of a stream with a peer. Its key is derived from the shared secret and the
// nonces of the opening and the accepting side. The argument opened tells whether this side opened the stream.
func (cd *Codec) NewStreamMAC(p *Peer, openerNonce, acceptorNonce []byte, opened bool) *StreamMAC {
	m := hmac.New(sha256.New, p.SharedSecret)
	m.Write([]byte("gorsewell stream 1\x00"))
	m.Write(openerNonce)
	m.Write(acceptorNonce)
	s := &StreamMAC{key: m.Sum(nil), sendLabel: 'o', receiveLabel: 'a'}
	if !opened {
		s.sendLabel, s.receiveLabel = s.receiveLabel, s.sendLabel
	}
	return s
}

// compute returns the tag of a frame, given the label of its direction and its number.
func (s *StreamMAC) compute(label byte, number uint64, frame []byte) []byte {
	m := hmac.New(sha256.New, s.key)
	m.Write(byteOrder.AppendUint64([]byte{label}, number))
	m.Write(frame)
	return m.Sum(nil)[:tagSize]
}

// Tag returns the tag of the next frame to send.
func (s *StreamMAC) Tag(frame []byte) []byte {
	s.sent++
	return s.compute(s.sendLabel, s.sent, frame)
}

// Verify reports whether the tag of the next received frame is valid.
func (s *StreamMAC) Verify(frame, tag []byte) bool {
	s.received++
	return hmac.Equal(s.compute(s.receiveLabel, s.received, frame), tag)
}
