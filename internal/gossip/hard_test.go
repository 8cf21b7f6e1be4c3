package gossip

import (
	"fmt"
	"net/netip"
	"testing"
	"time"
)

// settle runs until the tables hold what a test wants, or the time is over.
func (l *land) settle(within time.Duration, holds func() bool) (took time.Duration, ok bool) {
	start := l.now
	for l.now-start < within {
		if holds() {
			return l.now - start, true
		}
		l.run(l.now + 100*time.Millisecond)
	}
	return within, holds()
}

func (l *land) allAlive() bool {
	up := 0
	for _, h := range l.nodes {
		if !h.down {
			up++
		}
	}
	got := l.standings()
	return got[IsAlive] == up*(up-1) && got[IsSuspect] == 0
}

func (l *land) sentBytes() (sum, most int) {
	for _, h := range l.nodes {
		sum, most = sum+h.bytes, max(most, h.bytes)
		h.bytes = 0
	}
	return sum, most
}

// A partition for longer than every time-out: each half holds the other dead, and its rumours end. When it heals the tables
// agree again within 30 s, and nobody sends more than its budget in any second of it.
func TestAPartitionOfHalvesHealsWithoutAStorm(t *testing.T) {
	const n = 60
	l := newLand(t, n, 4)
	l.run(90 * time.Second)
	l.nodes[0].Symptom(l.nodes[0].here(), 7, Unreachable, 255)
	l.run(l.now + 2*time.Second)
	l.cut = func(from, to int) bool { return (from < n/2) != (to < n/2) }
	l.run(l.now + 3*time.Minute)
	if got := l.standings(); got[IsDead] != n*n/2 || got[IsAlive] != n*(n/2-1) {
		t.Errorf("in the partition: %v", got)
	}
	if know := l.know(7); know > n/2 {
		t.Errorf("%d believe an observer that most hold dead", know)
	}
	l.cut = nil
	l.sentBytes()
	end := l.now + 30*time.Second
	for l.now < end && !l.allAlive() {
		l.run(l.now + time.Second)
		if _, most := l.sentBytes(); most > 2*8000 {
			t.Errorf("%d bytes in a second", most)
		}
	}
	if !l.allAlive() {
		t.Errorf("30 s after: %v", l.standings())
	}
}

// Five are not heard by the others, whom they hear now and then: they hold nobody dead for long, and when the way is back all
// is well again.
func TestOneWayPartition(t *testing.T) {
	const n = 20
	l := newLand(t, n, 5)
	l.run(60 * time.Second)
	l.cut = func(from, to int) bool { return from < 5 && to >= 5 } // five speak and are not heard
	l.run(l.now + 3*time.Minute)
	died := l.died()
	l.run(l.now + time.Minute)
	if more := l.died() - died; more > 40 {
		t.Errorf("%d more held dead in a minute, again and again", more)
	}
	l.cut = nil
	if _, ok := l.settle(40*time.Second, l.allAlive); !ok {
		t.Errorf("afterwards: %v", l.standings())
	}
}

// An instance that stood still for 5 s finds that all was silent; that is its own doing.
func TestAPausedInstanceAccusesNobodyAndIsNotDeadForGood(t *testing.T) {
	l := newLand(t, 30, 6)
	l.run(60 * time.Second)
	before := int64(0)
	for _, h := range l.nodes {
		before += h.counts.Suspected
	}
	p := l.nodes[11]
	p.paused = l.now + 5*time.Second
	l.run(l.now + 20*time.Second)
	if n := p.counts.Suspected + p.counts.Died; n > 0 {
		t.Errorf("it suspected %d others", n)
	}
	if p.counts.Paused == 0 {
		t.Error("it did not notice")
	}
	if _, ok := l.settle(20*time.Second, l.allAlive); !ok {
		t.Errorf("afterwards: %v", l.standings())
	}
	for i, h := range l.nodes {
		if i != 11 {
			for _, x := range h.Peers() {
				if x.Name != "n011" && x.Standing != IsAlive {
					t.Errorf("%d holds %s %v", i, x.Name, x.Standing)
				}
			}
		}
	}
}

func TestLossCopiesAndReorderingCostNoMember(t *testing.T) {
	l := newLand(t, 40, 7)
	l.run(60 * time.Second)
	l.loss = 0.3
	l.run(l.now + 5*time.Minute)
	if died := l.died(); died > 0 {
		t.Errorf("%d held dead at 30%% loss", died)
	}
	h := l.nodes[3]
	h.Symptom(h.here(), 5, Silent, 255)
	if took, ok := l.settle(4*time.Second, func() bool { return l.know(5) >= 38 }); !ok {
		t.Errorf("known to %d after %v", l.know(5), took)
	}
	replayed := int64(0)
	for _, x := range l.nodes {
		replayed += x.counts.Replayed
	}
	if replayed == 0 {
		t.Error("no copy was noticed")
	}
}

// Pauses of 2 s, one after another, at 10% loss: nobody dies of it.
func TestShortPausesAndLossCauseNoFalseDeath(t *testing.T) {
	l := newLand(t, 50, 8)
	l.run(60 * time.Second)
	l.loss = 0.1
	for range 30 {
		for _, i := range l.rng.Perm(50)[:5] {
			l.nodes[i].paused = l.now + 2*time.Second
		}
		l.run(l.now + 10*time.Second)
	}
	if died := l.died(); died > 0 {
		t.Errorf("%d false deaths", died)
	}
}

// A run that returns with nothing begins at the first incarnation; it learns how far the one before it had counted and goes
// beyond, whether others have noticed its death or not.
func TestReturnWithNothing(t *testing.T) {
	for _, away := range []time.Duration{200 * time.Millisecond, 3 * time.Second, 30 * time.Second} {
		l := newLand(t, 30, 9)
		l.run(60 * time.Second)
		h := l.nodes[8]
		h.Symptom(h.here(), 77, Silent, 255)
		l.run(l.now + 2*time.Second)
		first := h.own.Incarnation
		h.down = true
		l.run(l.now + away)
		h.start(nil)
		if took, ok := l.settle(25*time.Second, func() bool {
			for i, x := range l.nodes {
				if m := x.byName["n008"]; i != 8 && (m == nil || m.run != h.run || m.state != alive) {
					return false
				}
			}
			return l.allAlive()
		}); !ok {
			t.Errorf("away %v: not back everywhere after %v: %v", away, took, l.standings())
		}
		if h.own.Incarnation <= first {
			t.Errorf("away %v: incarnation %d, was %d", away, h.own.Incarnation, first)
		}
		if l.know(77) > 0 {
			t.Errorf("away %v: the rumour of the earlier run lives on", away)
		}
	}
}

// Two instances under one name: the one that is there keeps it, the other waits and says so; when the first ends, the other
// takes over. Nothing flaps.
func TestTwoInstancesOfOneName(t *testing.T) {
	l := newLand(t, 20, 10)
	l.run(60 * time.Second)
	twin := l.nodes[19]
	twin.down = true
	l.run(l.now + 30*time.Second)
	twin.start(func(s *Setup) { s.Name, s.Key = "n005", KeyID{0, 5, 1} })
	l.run(l.now + 40*time.Second)
	at := func(i int) int {
		count := 0
		for _, h := range l.nodes {
			if m := h.byName["n005"]; m != nil && h.i != 5 && h.i != 19 && m.state == alive && m.addr == addrOf(i) {
				count++
			}
		}
		return count
	}
	if at(5) != 18 || twin.joined {
		t.Errorf("%d hold the first, %d the twin; joined %v", at(5), at(19), twin.joined)
	}
	log := len(twin.log)
	first := l.nodes[5]
	first.down = true
	if _, ok := l.settle(2*time.Minute, func() bool { return at(19) == 18 }); !ok {
		t.Errorf("after the first has ended %d hold the twin", at(19))
	}
	if len(twin.log)-log > 60 {
		t.Errorf("%d log lines", len(twin.log)-log)
	}
	// Now both are there at once: the newer claim stands, and the other falls silent.
	first.start(nil)
	l.run(l.now + 40*time.Second)
	if at(19) != 18 || first.joined {
		t.Errorf("%d hold the twin; the first is joined: %v", at(19), first.joined)
	}
}

// Both halves of a partition had one name taken, each by another instance: afterwards all agree on one of them.
func TestANameTakenOnBothSidesOfAPartition(t *testing.T) {
	l := newLand(t, 20, 11)
	l.run(60 * time.Second)
	l.cut = func(from, to int) bool { return (from < 10) != (to < 10) }
	l.run(l.now + 30*time.Second)
	l.nodes[19].down = true
	l.run(l.now + 5*time.Second)
	l.nodes[19].start(func(s *Setup) {
		s.Name, s.Key, s.Seeds = "n005", KeyID{0, 5, 1}, []netip.AddrPort{addrOf(12)}
	})
	l.run(l.now + 60*time.Second)
	l.cut = nil
	agreed := func() bool {
		where := map[netip.AddrPort]int{}
		for i, h := range l.nodes {
			if m := h.byName["n005"]; i != 5 && i != 19 && m != nil {
				where[m.addr]++
			}
		}
		return len(where) == 1 && l.nodes[5].quiet != l.nodes[19].quiet
	}
	if _, ok := l.settle(2*time.Minute, agreed); !ok {
		t.Errorf("no agreement: quiet %v and %v", l.nodes[5].quiet, l.nodes[19].quiet)
	}
}

// An observer that falls silent takes its rumours with it: by its death, and by their age at the latest.
func TestARumourEndsWithItsObserverOrItsAge(t *testing.T) {
	l := newLand(t, 20, 12)
	l.run(60 * time.Second)
	h := l.nodes[4]
	h.Symptom(h.here(), 5, Silent, 255)
	l.run(l.now + 2*time.Second)
	h.down = true
	if took, ok := l.settle(12*time.Second, func() bool { return l.know(5) == 0 }); !ok {
		t.Errorf("%d believe it %v after its death", l.know(5), took)
	}
	// One that lives but says no more: its word ends by age.
	h = l.nodes[6]
	h.Symptom(h.here(), 6, Silent, 255)
	l.run(l.now + 2*time.Second)
	if l.know(6) == 0 {
		t.Fatal("nobody heard")
	}
	if took, ok := l.settle(32*time.Second, func() bool { return l.know(6) == 0 }); !ok || took < 20*time.Second {
		t.Errorf("%d believe it after %v", l.know(6), took)
	}
}

func TestAPlannedStopIsKnownAtOnce(t *testing.T) {
	l := newLand(t, 30, 13)
	l.run(60 * time.Second)
	h := l.nodes[9]
	h.Leave(h.here())
	h.down = true
	if took, ok := l.settle(3*time.Second, func() bool { return l.standings()[HasLeft] == 29 }); !ok {
		t.Errorf("after %v: %v", took, l.standings())
	}
	if l.died() > 0 {
		t.Error("held dead as well")
	}
	h.start(nil)
	if _, ok := l.settle(30*time.Second, l.allAlive); !ok {
		t.Errorf("after its return: %v", l.standings())
	}
}

// lone is one node with members that the test plays, so that each can be given any words.
type lone struct {
	*Node
	l         *land
	weights   map[uint64]float64
	datagrams uint64
	t         *testing.T
}

// alone makes a node that knows some members, b0 and so on, heard just now; its clock stands at one hour.
func alone(t *testing.T, members int, change func(*Setup)) *lone {
	l := newLand(t, 1, 1)
	h := l.nodes[0]
	h.start(func(s *Setup) {
		s.Seeds = nil
		if change != nil {
			change(s)
		}
	})
	l.now = time.Hour
	h.base = 0
	h.Node.Start(time.Hour)
	x := &lone{Node: h.Node, l: l, weights: h.weights, t: t}
	for i := range members {
		x.hear(i, &Message{Kind: Tell, Claims: []Claim{x.claim(i)}})
	}
	if len(x.members) != members {
		t.Fatalf("%d members", len(x.members))
	}
	return x
}

func nameOf(i int) string { return fmt.Sprint("b", i) }

func (x *lone) claim(i int) Claim {
	return Claim{Kind: Alive, Name: nameOf(i), By: nameOf(i), Key: KeyID{9, byte(i >> 8), byte(i)}, Run: uint64(i) + 1, Incarnation: 1, Addr: addrOf(i + 1),
		Clock: x.clock()}
}

// clock is that of the members: all started at the same time as the node.
func (x *lone) clock() time.Duration { return x.l.now }

// hear plays a datagram from a member.
func (x *lone) hear(i int, m *Message) {
	m.Clock = x.clock()
	c := x.claim(i)
	x.datagrams++
	x.Received(x.l.now, Datagram{From: c.Name, Key: c.Key, Run: c.Run, Counter: x.datagrams, Message: m})
}

func (x *lone) rumour(i int, server uint64, number uint32) Told {
	c := x.claim(i)
	return Told{Rumour: Rumour{Observer: c.Name, Key: c.Key, Run: c.Run, Server: server, Symptom: Silent, Strength: 255, Number: number, Made: x.clock()}}
}

func TestAgesGoByTheObserversOwnClock(t *testing.T) {
	x := alone(t, 3, nil)
	old := x.rumour(0, 1, 1)
	old.Made -= 31 * time.Second
	old.Age = 0 // so says the relay
	x.hear(1, &Message{Kind: Tell, Rumours: []Told{old}})
	if x.weights[1] != 0 || x.counts.RumoursOld != 1 {
		t.Errorf("an old rumour weighs %v", x.weights[1])
	}
	future := x.rumour(0, 2, 2)
	future.Made += time.Hour
	future.Age = -time.Hour
	credit := x.byName["b0"].credit(x.l.now)
	x.hear(0, &Message{Kind: Tell, Rumours: []Told{future}})
	if x.weights[2] != 0 || x.counts.RumoursFuture != 1 || x.byName["b0"].credit(x.l.now) >= credit {
		t.Errorf("a rumour from the future weighs %v", x.weights[2])
	}
	// A relay may say that it is older than it is; then it ends sooner.
	young := x.rumour(0, 3, 3)
	young.Age = 25 * time.Second
	x.hear(1, &Message{Kind: Tell, Rumours: []Told{young}})
	if x.weights[3] == 0 {
		t.Error("not believed at all")
	}
	x.l.run(x.l.now + 6*time.Second)
	if x.weights[3] != 0 {
		t.Error("lives on beyond the age that it was told with")
	}
}

func TestNumbersAndRunsShutOutWhatIsOver(t *testing.T) {
	x := alone(t, 2, nil)
	said := x.rumour(0, 1, 5)
	x.hear(0, &Message{Kind: Tell, Rumours: []Told{said}})
	gone := x.rumour(0, 1, 6)
	gone.Symptom, gone.Strength = Well, 0
	x.hear(0, &Message{Kind: Tell, Rumours: []Told{gone}})
	x.hear(1, &Message{Kind: Tell, Rumours: []Told{said}}) // the other replays it
	if x.weights[1] != 0 {
		t.Error("what was withdrawn came back")
	}
	early := x.rumour(0, 2, 8)
	early.Symptom, early.Strength = Well, 0
	x.hear(0, &Message{Kind: Tell, Rumours: []Told{early}})
	late := x.rumour(0, 2, 7) // the rumour comes in after its own withdrawal
	x.hear(1, &Message{Kind: Tell, Rumours: []Told{late}})
	if x.weights[2] != 0 {
		t.Error("a withdrawal that came first was forgotten")
	}
	other := x.rumour(0, 3, 9)
	other.Run = 99
	x.hear(1, &Message{Kind: Tell, Rumours: []Told{other}})
	stranger := x.rumour(7, 4, 1)
	x.hear(1, &Message{Kind: Tell, Rumours: []Told{stranger}})
	if x.weights[3] != 0 || x.weights[4] != 0 || x.counts.RumoursStrange != 2 {
		t.Error("a rumour of another run, or of nobody, was taken")
	}
	d := Datagram{From: "b0", Key: x.claim(0).Key, Run: 1, Counter: 1, Message: &Message{Kind: Tell, Rumours: []Told{x.rumour(0, 5, 20)}}}
	x.Received(x.l.now, d) // counter 1 was the first datagram of all
	if x.weights[5] != 0 || x.counts.Replayed != 1 {
		t.Error("a datagram was taken twice")
	}
}

// Praise is no word against others: who withdraws what it never said changes nothing of what they say.
func TestPraiseDoesNotLiftOthersRumours(t *testing.T) {
	x := alone(t, 6, nil)
	for i := range 3 {
		x.hear(i, &Message{Kind: Tell, Rumours: []Told{x.rumour(i, 1, 1)}})
	}
	before := x.weights[1]
	for i := 3; i < 6; i++ {
		praise := x.rumour(i, 1, 1)
		praise.Symptom, praise.Strength = Well, 0
		x.hear(i, &Message{Kind: Tell, Rumours: []Told{praise}})
	}
	if before < 1 || x.weights[1] != before {
		t.Errorf("%v before, %v after", before, x.weights[1])
	}
}

// A liar's weight falls with each ack that speaks against it, below what it takes to be heeded, and recovers over minutes; who
// is borne out gains.
func TestCreditFollowsOwnEvidence(t *testing.T) {
	x := alone(t, 12, nil)
	for i := range 5 {
		x.hear(i, &Message{Kind: Tell, Rumours: []Told{x.rumour(i, 1, 1)}})
		x.hear(i+5, &Message{Kind: Tell, Rumours: []Told{x.rumour(i+5, 2, 1)}})
	}
	if x.weights[1] < 1 || x.weights[2] < 1 {
		t.Fatalf("five unknown observers weigh %v", x.weights[1])
	}
	x.Acked(x.l.now+time.Second, 1, x.l.now-time.Second) // sent before they spoke: no evidence
	if x.weights[1] < 1 {
		t.Error("an ack of before counted")
	}
	x.l.now += time.Second
	x.Acked(x.l.now, 1, x.l.now)
	if x.weights[1] >= 1 {
		t.Errorf("contradicted, five still weigh %v", x.weights[1])
	}
	x.Symptom(x.l.now, 2, Silent, 255)
	if x.weights[2] < 2 {
		t.Errorf("borne out, five weigh %v", x.weights[2])
	}
	liar := x.byName["b0"]
	low := liar.credit(x.l.now)
	if soon, later := liar.credit(x.l.now+30*time.Second), liar.credit(x.l.now+20*time.Minute); soon > low*1.5 || later < 0.3 {
		t.Errorf("credit %v, after half a minute %v, after twenty minutes %v", low, soon, later)
	}
}

// However loud one peer is, it takes its own share and no more, in one table and in what is passed on.
func TestOneLoudPeerDisplacesOnlyItself(t *testing.T) {
	x := alone(t, 20, func(s *Setup) { s.Rumours, s.RumoursPerObserver = 100, 20 })
	for i := 1; i < 20; i++ {
		for k := range uint64(4) {
			x.hear(i, &Message{Kind: Tell, Rumours: []Told{x.rumour(i, uint64(i)*10+k, uint32(k)+1)}})
		}
	}
	held := x.table.size
	for number := range uint32(5000) {
		x.hear(0, &Message{Kind: Tell, Rumours: []Told{x.rumour(0, 1000+uint64(number), number+1)}})
	}
	if n := len(x.table.byObserver["b0"]); n > 20 || x.table.size > 100 {
		t.Errorf("the loud one holds %d of %d", n, x.table.size)
	}
	others := x.table.size - len(x.table.byObserver["b0"])
	if others != held {
		t.Errorf("%d rumours of others were held before, %d after", held, others)
	}
	if taken := x.counts.RumoursTaken; taken > int64(held)+20 {
		t.Errorf("%d taken at once, of them %d of others", taken, held)
	}
	// However slowly it goes about it.
	for number := uint32(6000); number < 6400; number++ {
		x.l.now += time.Second
		x.hear(0, &Message{Kind: Tell, Rumours: []Told{x.rumour(0, 1000+uint64(number), number+1)}})
		if n := len(x.table.byObserver["b0"]); n > 20 {
			t.Fatalf("the loud one holds %d", n)
		}
	}
	loud := 0
	for _, i := range x.news {
		if i.rumour != nil && i.rumour.Observer == "b0" {
			loud++
		}
	}
	if loud > 20 {
		t.Errorf("%d of the loud one's words are passed on", loud)
	}
}

// One key is one observer, whatever names its holder goes by.
func TestManyNamesUnderOneKeyAreOneVoice(t *testing.T) {
	x := alone(t, 1, nil)
	for i := range 50 {
		c := x.claim(0)
		c.Name, c.By, c.Incarnation = fmt.Sprint("many", i), fmt.Sprint("many", i), 9
		told := x.rumour(0, 1, uint32(i)+1)
		told.Observer = c.Name
		x.hear(0, &Message{Kind: Tell, Claims: []Claim{c}, Rumours: []Told{told}})
	}
	if len(x.members) != 1 || x.weights[1] != 0 {
		t.Errorf("%d members, weight %v", len(x.members), x.weights[1])
	}
}

// Accusations make this instance look; they hold nobody dead that answers, and an accuser that is wrong again and again is
// not listened to.
func TestAccusationsOnlyMakeItLook(t *testing.T) {
	x := alone(t, 5, nil)
	accuse := func(by, of int) {
		c := x.claim(by)
		x.hear(by, &Message{Kind: Tell, Claims: []Claim{{Kind: Accused, Name: nameOf(of), Incarnation: 1, By: c.Name, Key: c.Key, Run: c.Run, Clock: x.clock()}}})
	}
	x.l.now += 5 * time.Second
	for round := range 12 {
		accuse(0, 1)
		accuse(2, 1)
		accuse(3, 1)
		if m := x.byName["b1"]; m.state != alive {
			t.Fatalf("round %d: %v by hearsay", round, m.state)
		}
		x.l.now += 1500 * time.Millisecond
		x.Timer(x.l.now)
		x.hear(1, &Message{Kind: Ack, Number: x.counter}) // it answers, or is heard otherwise
		x.l.now += time.Second
	}
	if w := x.byName["b0"].falseWordNow(x.l.now); w < mostFalse || x.counts.Died > 0 {
		t.Errorf("false word %v, died %d", w, x.counts.Died)
	}
	checks := len(x.checks)
	accuse(0, 4)
	if len(x.checks) != checks {
		t.Error("a known liar's accusation makes it look")
	}
	// Its own name: it refutes, one step beyond what was said, not often.
	was := x.own.Incarnation
	c := x.claim(4)
	for range 20 {
		x.hear(4, &Message{Kind: Tell, Claims: []Claim{{Kind: Accused, Name: x.set.Name, Incarnation: x.own.Incarnation, By: c.Name, Key: c.Key, Run: c.Run, Clock: x.clock()}}})
	}
	if x.own.Incarnation != was+1 {
		t.Errorf("incarnation %d, was %d", x.own.Incarnation, was)
	}
}

// Whoever finds most servers in trouble keeps that to itself, and one that doubts itself says nothing.
func TestWhoFindsAllInTroubleSaysNothing(t *testing.T) {
	x := alone(t, 5, nil)
	x.Servers(x.l.now, 10)
	for id := range uint64(10) {
		x.Symptom(x.l.now, id, Silent, 255)
	}
	x.l.run(x.l.now + 2*time.Second)
	if n := x.counts.RumoursMade; n > 0 {
		t.Errorf("%d rumours of a node that finds all its servers silent", n)
	}
	for id := uint64(3); id < 10; id++ {
		x.Recovered(x.l.now, id)
	}
	x.l.run(x.l.now + 2*time.Second)
	if n := x.counts.RumoursMade; n != 3 {
		t.Errorf("%d rumours of three servers", n)
	}
	x.doubt = mostDoubt
	x.Symptom(x.l.now, 8, Silent, 255)
	x.l.run(x.l.now + 300*time.Millisecond)
	if n := x.counts.RumoursMade; n != 3 {
		t.Error("a node that doubts itself spoke")
	}
}

// What others say breeds no rumour of one's own: with no own symptom none is ever made.
func TestRumoursDoNotEcho(t *testing.T) {
	l := newLand(t, 30, 14)
	l.run(60 * time.Second)
	for i := range 8 {
		h := l.nodes[i]
		h.Symptom(h.here(), 5, Silent, 255)
	}
	l.run(l.now + 20*time.Second)
	for i, h := range l.nodes {
		if i >= 8 && h.counts.RumoursMade > 0 {
			t.Errorf("%d made %d rumours", i, h.counts.RumoursMade)
		}
	}
}

func TestAKeyThatIsExpelledTakesItsWordAlong(t *testing.T) {
	x := alone(t, 3, nil)
	x.hear(0, &Message{Kind: Tell, Rumours: []Told{x.rumour(0, 1, 1)}})
	x.Expelled(x.l.now, x.claim(0).Key)
	if x.weights[1] != 0 || x.byName["b0"] != nil {
		t.Error("it counts on")
	}
}

// Members that are there are never displaced; those that are gone give way, the longest gone first.
func TestAFullTableOfMembers(t *testing.T) {
	x := alone(t, 7, func(s *Setup) { s.Members = 8 })
	late := x.claim(20)
	x.hear(1, &Message{Kind: Tell, Claims: []Claim{late}})
	if x.byName["b20"] != nil || x.counts.ClaimsFull != 1 {
		t.Error("a newcomer displaced a member")
	}
	for i := range 2 {
		left := x.claim(i + 2)
		left.Kind = Left
		x.l.now += time.Second
		x.hear(1, &Message{Kind: Tell, Claims: []Claim{left}})
	}
	x.hear(1, &Message{Kind: Tell, Claims: []Claim{late}})
	if x.byName["b20"] == nil || x.byName["b2"] != nil || x.byName["b3"] == nil {
		t.Error("the one that left first does not give way")
	}
}

// Where enough others are believed, one more says nothing new.
func TestEnoughObserversAreEnough(t *testing.T) {
	x := alone(t, 5, nil)
	for i := range 5 {
		x.byName[nameOf(i)].credited(x.l.now, 10)
		x.hear(i, &Message{Kind: Tell, Rumours: []Told{x.rumour(i, 1, 1)}})
	}
	x.Symptom(x.l.now, 1, Silent, 255)
	x.Symptom(x.l.now, 2, Silent, 255)
	x.l.run(x.l.now + 2*time.Second)
	if n := x.counts.RumoursMade; n != 1 {
		t.Errorf("%d rumours of two symptoms, of which one was known", n)
	}
}

// A datagram of a run that is not the one held may come from a new run that does not know how far the one before it had
// counted, with nobody to tell it: whoever holds the name tells it, now and then.
func TestARunThatIsNotKnownIsToldOfTheOneThatIs(t *testing.T) {
	x := alone(t, 1, nil)
	told := 0
	x.l.sent = func(_ int, m *Message) {
		for _, c := range m.Claims {
			if c.Name == "b0" && c.Run == 1 {
				told++
			}
		}
	}
	for number := range uint64(50) {
		x.Received(x.l.now, Datagram{From: "b0", Key: x.claim(0).Key, Run: 77, Counter: number + 1, Message: &Message{Kind: Ping}})
	}
	if told != 1 || x.counts.StaleRun != 50 {
		t.Errorf("told %d times of %d", told, x.counts.StaleRun)
	}
}

// A suspicion's time does not run on while this instance stands still.
func TestAPauseIsNoTimeForASuspect(t *testing.T) {
	x := alone(t, 3, nil)
	x.l.run(x.l.now + 4*time.Second) // nobody answers its probes
	suspects := 0
	for _, m := range x.members {
		if m.state == suspect {
			suspects++
			m.failed = mostPatience
		}
	}
	x.l.nodes[0].paused = x.l.now + time.Minute
	x.l.run(x.l.now + time.Minute + 500*time.Millisecond)
	if suspects == 0 || x.counts.Died > 0 {
		t.Errorf("%d suspects, %d died in a pause", suspects, x.counts.Died)
	}
}
