package gossip

import (
	"net/netip"
	"time"
)

// KeyID is the beginning of a public key's SHA-256. Whoever holds one key is one observer, whatever names it goes by.
type KeyID [8]byte

// ClaimKind says what a claim is about.
type ClaimKind uint8

// The kinds of claims. Alive and Left are made by the member itself, Accused by another that could not reach it.
const (
	Alive ClaimKind = iota + 1
	Left
	Accused
)

// Claim is a signed word on a member. It is passed on as it was signed, so a relay can hold it back but not alter it.
type Claim struct {
	Kind        ClaimKind
	Name        string         // whom it is of
	Incarnation uint32         // of that member; a higher one makes lower ones void
	By          string         // who signed it: the member itself, or its accuser
	Key         KeyID          // of who signed it
	Run         uint64         // drawn at the start of who signed it
	Addr        netip.AddrPort // where an alive one is reached
	Clock       time.Duration  // of who signed it, since its start
	Raw         []byte         // as signed; nil for one that its own instance is yet to sign
}

// Symptom is what an instance has seen of a server by itself.
type Symptom uint8

// The symptoms. Well withdraws what was told before; it says nothing about the server.
const (
	Well        Symptom = iota
	Silent              // owes answers for longer than chance explains
	Unreachable         // no connection, or one that breaks
	Failing             // answers with errors, or turns away
	Late                // answers, but late
)

// String names the symptom for the log.
func (s Symptom) String() string {
	return [...]string{"well", "silent", "unreachable", "failing", "late"}[min(s, Late)]
}

// Rumour is one observer's signed word on one server. The newest number of an observer on a server holds.
type Rumour struct {
	Observer string
	Key      KeyID
	Run      uint64
	Server   uint64 // a hash of the server's id in the list, the same at every instance
	Symptom  Symptom
	Strength uint8         // of 255
	Number   uint32        // counts an observer's rumours within its run
	Made     time.Duration // by the observer's clock, since its start
	Raw      []byte        // as signed; nil for one that its own instance is yet to sign
}

// Told is a rumour as it is passed on: with its age as far as the teller knows, which can only make it older.
type Told struct {
	Rumour
	Age time.Duration
}

// Kind says what a datagram is for.
type Kind uint8

// The kinds of datagrams. Any of them may carry claims and rumours.
const (
	Ping    Kind = iota + 1 // is answered by an Ack with the same number
	Ack                     // carries a fresh claim of the probed where it answers for another
	PingFor                 // asks the receiver to ping Target and to pass on what it says of itself
	Nack                    // the receiver of a PingFor is there, but has not heard from Target so far
	Tell                    // news only
)

// Message is what one datagram holds.
type Message struct {
	Kind     Kind
	Number   uint32         // of the probe
	Prove    bool           // a Ping for another: the Ack is to carry a fresh claim, as proof that can be passed on
	Target   string         // of a PingFor
	TargetAt netip.AddrPort // where the asker believes it is
	Clock    time.Duration  // the sender's, since its start
	Claims   []Claim
	Rumours  []Told
}

// Datagram is a message as it came: its sender is proved, all that it carries is signed by those it names.
type Datagram struct {
	From    string
	Key     KeyID
	Run     uint64
	Counter uint64 // grows with each datagram of a run
	Message *Message
}

// What items take in a datagram at most, in bytes. The codec's test holds these to account.
const (
	maxDatagramOverheadBytes = 28 + 140 // headers of IP and UDP, ours, both proofs, and the message around its items
	maxClaimBytes            = 245      // with the certificate of who signed it
	maxAccusationBytes       = 120
	maxRumourBytes           = 125
	maxStreamOverheadBytes   = 400 // a stream's own packets and both sides' proofs
)

func (c *Claim) maxBytes() int {
	if c.Kind == Accused {
		return maxAccusationBytes + len(c.Name)
	}
	return maxClaimBytes + 2*len(c.Name)
}

func (r *Rumour) maxBytes() int { return maxRumourBytes }

// Bytes is what the message takes on the wire at most, headers of IP and UDP included.
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

// Mark stands for a claim or a rumour in a digest: a hash of what makes it the one that it is. That two go by one mark is
// rare, and costs no more than that one of them is missed until the next comparison with another.
type Mark uint32

// Digest is what an instance holds, in short. Two instances compare theirs so that what one missed heals.
type Digest struct {
	Own     Claim
	Members []Mark // of the newest claim of each
	Dead    []Mark // of the names that are held dead
	Rumours []Mark
}

// Items are what one sends the other after comparing.
type Items struct {
	Claims  []Claim
	Rumours []Told
	Wants   []Mark     // of claims that the other holds and the sender does not
	Lacks   []Mark     // of rumours, likewise
	Alive   []Mark     // of names that the sender has contact with; the other holds them dead, or goes by one of them
	SeenAt  netip.Addr // the address from which the sender was asked
}

// Bytes is what a digest takes on a stream.
func (d *Digest) Bytes() int {
	return maxStreamOverheadBytes + d.Own.maxBytes() + 5*(len(d.Members)+len(d.Dead)+len(d.Rumours))
}

// Bytes is what items take on a stream.
func (i *Items) Bytes() int {
	n := maxStreamOverheadBytes + 5*(len(i.Wants)+len(i.Lacks)+len(i.Alive))
	for j := range i.Claims {
		n += i.Claims[j].maxBytes()
	}
	for j := range i.Rumours {
		n += i.Rumours[j].maxBytes()
	}
	return n
}

// Strength is how much a symptom of an instance's own counts for when it is told, of 255.
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
