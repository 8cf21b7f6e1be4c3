package gossip

import (
	"net/netip"
	"time"
)

// KeyID is the beginning of the SHA-256 of a public key. One key is one observer, whatever names it uses.
type KeyID [8]byte

// ClaimKind is the kind of a claim.
type ClaimKind uint8

// The kinds of claims.
const (
	Alive   ClaimKind = iota + 1 // the member is alive; made by itself
	Left                         // the member has left; made by itself
	Accused                      // the member does not answer probes; made by another
)

// Claim is a signed statement about a member. It is passed on as signed, so a relay can withhold it but not alter it.
type Claim struct {
	Kind        ClaimKind
	Name        string         // of the member that the claim is about
	Incarnation uint32         // of that member; a higher one supersedes lower ones
	By          string         // name of the signer: the member itself, or its accuser
	Key         KeyID          // of the signer
	Run         uint64         // of the signer
	Addr        netip.AddrPort // address of the member, in its own claims
	Clock       time.Duration  // time since the signer's start
	Raw         []byte         // as signed; nil for a claim that its own instance has yet to sign
}

// Symptom is a kind of trouble that an instance has itself observed at a server.
type Symptom uint8

// The symptoms. Well only withdraws an earlier rumour; it says nothing about the server.
const (
	Well        Symptom = iota // withdraws an earlier rumour
	Silent                     // has owed replies for longer than random variation explains
	Unreachable                // no connection can be made, or connections break
	Failing                    // answers with errors or busy replies
	Late                       // answers, but late
)

// String returns the symptom's name for the log.
func (s Symptom) String() string {
	return [...]string{"well", "silent", "unreachable", "failing", "late"}[min(s, Late)]
}

// Rumour is a signed statement of one observer about one server. For each observer and server the highest number
// counts.
type Rumour struct {
	Observer string // name of the signer
	Key      KeyID  // of the observer
	Run      uint64 // of the observer
	Server   uint64 // a hash of the server's id in the list, the same at every instance
	Symptom  Symptom
	Strength uint8         // weight of the symptom, 255 at most
	Number   uint32        // counts an observer's rumours within its run
	Made     time.Duration // time since the observer's start, by its own clock
	Raw      []byte        // as signed; nil for a rumour that its own instance has yet to sign
}

// RelayedRumour is a rumour as it is passed on, with its age by the sender's knowledge. The age can only make it older.
type RelayedRumour struct {
	Rumour
	Age time.Duration
}

// Kind is the kind of a datagram.
type Kind uint8

// The kinds of datagrams. Each of them may carry claims and rumours.
const (
	Ping    Kind = iota + 1 // requests an Ack with the same number
	Ack                     // answers a Ping; has a fresh claim of the probed member where it answers for another
	PingReq                 // requests a ping of Target, and an Ack with Target's claim about itself
	Nack                    // answers a PingReq when Target has not answered so far; shows that the helper itself is alive
	Tell                    // carries updates only
)

// Message is the content of one datagram.
type Message struct {
	Kind       Kind
	Number     uint32         // of the probe
	WantClaim  bool           // for a Ping on behalf of another: requests a fresh claim in the Ack, as proof to pass on
	Target     string         // of a PingReq: name of the member to ping
	TargetAddr netip.AddrPort // of a PingReq: address of Target as the requester knows it
	Clock      time.Duration  // time since the sender's start
	Claims     []Claim
	Rumours    []RelayedRumour
}

// Datagram is a message as received. Its sender is authenticated, and everything in it is signed by those that it
// names.
type Datagram struct {
	From    string
	Key     KeyID
	Run     uint64
	Counter uint64 // increases with each datagram of a run
	Message *Message
}

// Upper bounds on encoded sizes in bytes. A test of the codec checks them.
const (
	maxDatagramOverheadBytes = 28 + 140 // IP and UDP headers; own header, both authentications and message without items
	maxClaimBytes            = 245      // with the signer's certificate, without the names
	maxAccusationBytes       = 120      // without the name
	maxRumourBytes           = 125
	maxStreamOverheadBytes   = 400 // packets of the stream itself and the authentication of both sides
)

// maxBytes returns an upper bound on the encoded size of the claim.
func (c *Claim) maxBytes() int {
	if c.Kind == Accused {
		return maxAccusationBytes + len(c.Name)
	}
	return maxClaimBytes + 2*len(c.Name)
}

// maxBytes returns an upper bound on the encoded size of the rumour.
func (r *Rumour) maxBytes() int { return maxRumourBytes }

// Bytes returns an upper bound on the size of the message on the wire, headers of IP and UDP included.
func (m *Message) Bytes() int {
	n := maxDatagramOverheadBytes + len(m.Target)
	for i := range m.Claims {
		n += m.Claims[i].maxBytes()
	}
	for i := range m.Rumours {
		n += m.Rumours[i].maxBytes()
	}
	return n
}

// Fingerprint stands for a claim, a rumour or a name in a digest: a hash of what identifies it. Collisions are rare,
// and cost no more than that one of the two is missed until the next exchange with another instance.
type Fingerprint uint32

// Digest summarizes what an instance holds. The receiver compares it with what it holds itself, so that each side can
// be sent what it missed.
type Digest struct {
	Own     Claim         // of the sender about itself
	Members []Fingerprint // of each member's newest claim
	Dead    []Fingerprint // of the names of the members held dead
	Rumours []Fingerprint // of the rumours held
}

// Items holds what one side of an exchange sends the other after comparing digests.
type Items struct {
	Claims         []Claim
	Rumours        []RelayedRumour
	MissingClaims  []Fingerprint // of claims that the receiver holds and the sender lacks
	MissingRumours []Fingerprint // of rumours that the receiver holds and the sender lacks
	// Of the names of members that the sender holds alive and the receiver dead, and of the receiver's own name if
	// another run holds it at the sender.
	Reachable    []Fingerprint
	ObservedAddr netip.Addr // address from which the receiver's request came
}

// Bytes returns an upper bound on the size of a digest on a stream.
func (d *Digest) Bytes() int {
	return maxStreamOverheadBytes + d.Own.maxBytes() + 5*(len(d.Members)+len(d.Dead)+len(d.Rumours))
}

// Bytes returns an upper bound on the size of the items on a stream.
func (i *Items) Bytes() int {
	n := maxStreamOverheadBytes + 5*(len(i.MissingClaims)+len(i.MissingRumours)+len(i.Reachable))
	for j := range i.Claims {
		n += i.Claims[j].maxBytes()
	}
	for j := range i.Rumours {
		n += i.Rumours[j].maxBytes()
	}
	return n
}

// Strength returns the weight, of at most 255, with which an instance announces a symptom of its own.
func (s Symptom) Strength() uint8 {
	switch s {
	case Silent, Unreachable:
		return 255
	case Failing:
		return 230
	case Late:
		return 180
	}
	return 0
}
