package loopback

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gorsewell/internal/emulator"
	"gorsewell/internal/pgwire"
)

// planned is one op as it was drawn before the day began: when it is due does not depend on how any other is answered.
type plannedOp struct {
	arrival           time.Duration
	id                uint64
	opType            *emulator.OpType
	group             int
	session           int
	homeGateway       int
	patience          float64
	honoursRetryAfter bool
}

// clients asks as it was planned and keeps what comes of it.
type clients struct {
	world        *emulator.World
	gateways     []string // addresses; the front's view of who is there is the rig's
	pickGateway  func(home int) (index int)
	marksRetries func(home int) bool // whether a try says that it is another one
	plan         []plannedOp
	start        time.Time
	running      sync.WaitGroup

	mu         sync.Mutex
	idleConns  map[int][]*conn // idle, by gateway
	lastWrites map[int]int64   // by session
	result     *Result
	slots      chan struct{} // bounds how many are open
}

// Result is what came of a day on sockets.
type Result struct {
	Asked, Value, Earned   float64
	Types                  []TypeResult
	Windows                []emulator.Window
	Busy, Errored, Retries int64
	Lost, Garbled          int64 // tries that ended without an answer; answers that were nobody's
	TimedOut               int64 // tries whose client left, as its time was up
	Crossed                int64 // tries asked for once more, as their connection ended with no word
	Broken                 [5]int64
	Stories                []string
	Events                 []Event
	Lateness               *hdrhistogram.Histogram // of sending, after the intended time, in microseconds
	Unsent                 int64                   // ops that this end could not ask in time, for want of room
	Sends                  int64
	Gateways               []string // last words of the instances: their counters
	Homes                  []HomeResult
	Ready                  []time.Duration // that instances took to be ready when they were started again
}

// HomeResult is what came of the ops of one instance's own clients.
type HomeResult struct{ Value, Earned float64 }

// TypeResult is what came of one op type.
type TypeResult struct {
	Name                       string
	Asked, Acked, Late, Failed int64
	Value, Earned              float64
	Latency                    *hdrhistogram.Histogram // from the intended time of the first try, in microseconds
}

// Service is the part of the value asked for that was earned.
func (r *Result) Service() float64 {
	if r.Value == 0 {
		return 1
	}
	return r.Earned / r.Value
}

// RulesBroken counts over all rules.
func (r *Result) RulesBroken() (sum int64) {
	for _, n := range r.Broken {
		sum += n
	}
	return sum
}

const maxOpenOps = 20000

// draws plans a day.
func planOps(w *emulator.World, seed uint64) []plannedOp {
	rng := rand.New(rand.NewPCG(seed, 3))
	shares, sum := []float64{}, 0.0
	work := 0.0
	for _, t := range w.OpTypes {
		sum += t.Share
		shares = append(shares, sum)
		work += t.Share * t.Work.Seconds()
	}
	rate := w.Load.PerSecond
	if rate == 0 {
		capacity := 0.0
		for g := range w.Servers.Groups {
			k := w.Servers.Kinds[g%len(w.Servers.Kinds)]
			capacity += float64(k.Cores) * k.Speed * float64(w.Servers.Members)
		}
		rate = w.Load.Use * capacity / (work / sum)
	}
	pick := func(added []float64) int {
		i, _ := slices.BinarySearch(added, rng.Float64()*added[len(added)-1])
		return min(i, len(added)-1)
	}
	type recent struct {
		session, home int
		at            time.Duration
	}
	writes := make([][]recent, w.Servers.Groups)
	var plan []plannedOp
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= w.Length {
			return plan
		}
		t := &w.OpTypes[pick(shares)]
		p := plannedOp{arrival: at, id: uint64(len(plan) + 1), opType: t, group: rng.IntN(w.Servers.Groups)}
		p.session = rng.IntN(max(1, w.Clients.Sessions)*w.Gateways.Count) + 1
		p.homeGateway = p.session % w.Gateways.Count
		if t.Need == "session" && rng.Float64() < w.Clients.Follows && len(writes[p.group]) > 0 {
			wanted := time.Duration(rng.ExpFloat64() * float64(w.Clients.Gap))
			best := slices.MinFunc(writes[p.group], func(a, b recent) int {
				return cmp.Compare(math.Abs(float64(at-a.at-wanted)), math.Abs(float64(at-b.at-wanted)))
			})
			p.session, p.homeGateway = best.session, best.home
		}
		if t.Need == "write" {
			writes[p.group] = append(writes[p.group], recent{p.session, p.homeGateway, at})
			if n := len(writes[p.group]); n > 32 {
				writes[p.group] = writes[p.group][n-16:]
			}
		}
		if rng.Float64() < w.Clients.Roam {
			p.homeGateway = rng.IntN(w.Gateways.Count)
		}
		p.patience = w.Clients.Patience + (1-w.Clients.Patience)*math.Sqrt(rng.Float64())
		p.honoursRetryAfter = rng.Float64() < w.Clients.Honour
		plan = append(plan, p)
	}
}

func newClients(w *emulator.World, seed uint64, gateways []string, front func(int) int, says func(int) bool) *clients {
	c := &clients{world: w, gateways: gateways, pickGateway: front, marksRetries: says, plan: planOps(w, seed), idleConns: map[int][]*conn{}, lastWrites: map[int]int64{},
		slots: make(chan struct{}, maxOpenOps)}
	c.result = &Result{Lateness: hdrhistogram.New(1, 60e6, 2), Windows: make([]emulator.Window, int(w.Length/time.Second)+1),
		Homes: make([]HomeResult, len(gateways))}
	for _, t := range w.OpTypes {
		c.result.Types = append(c.result.Types, TypeResult{Name: t.Name, Latency: hdrhistogram.New(1, 120e6, 2)})
	}
	return c
}

// ask asks all that was planned, each at its time, and returns when all is answered or given up.
func (c *clients) run() {
	c.start = time.Now()
	for i := range c.plan {
		p := &c.plan[i]
		if wait := time.Until(c.start.Add(p.arrival)); wait > 0 {
			time.Sleep(wait)
		}
		select {
		case c.slots <- struct{}{}:
		default:
			c.mu.Lock()
			c.result.Unsent++
			c.mu.Unlock()
			continue
		}
		c.running.Go(func() {
			c.runOp(p)
			<-c.slots
		})
	}
	c.running.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, list := range c.idleConns {
		for _, k := range list {
			k.Close()
		}
	}
	for i := range c.result.Types {
		t := &c.result.Types[i]
		c.result.Asked += float64(t.Asked)
		c.result.Value += t.Value
		c.result.Earned += t.Earned
	}
}

// one asks for one op until it is answered or its client gives up.
func (c *clients) runOp(p *plannedOp) {
	t, _ := c.typeResult(p)
	c.mu.Lock()
	c.result.Lateness.RecordValue(max(1, time.Since(c.start.Add(p.arrival)).Microseconds()))
	t.Asked++
	t.Value += p.opType.Value
	c.result.Homes[p.homeGateway].Value += p.opType.Value
	window := &c.result.Windows[min(int(p.arrival/time.Second), len(c.result.Windows)-1)]
	window.Asked++
	window.Value += p.opType.Value
	c.mu.Unlock()
	for try := 0; ; try++ {
		end := c.attempt(p, try)
		if end.acked {
			c.mu.Lock()
			took := time.Since(c.start.Add(p.arrival))
			t.Latency.RecordValue(took.Microseconds())
			earned := 0.0
			if took <= p.opType.Target {
				t.Acked++
				earned = p.opType.Value
			} else {
				t.Late++
				earned = p.opType.Value * p.opType.LateValue
			}
			t.Earned += earned
			c.result.Homes[p.homeGateway].Earned += earned
			window.Earned += earned
			c.mu.Unlock()
			return
		}
		if !end.retrySafe || try >= c.world.Clients.Retries {
			c.mu.Lock()
			t.Failed++
			c.mu.Unlock()
			return
		}
		c.mu.Lock()
		c.result.Retries++
		c.mu.Unlock()
		wait := c.world.Clients.Backoff
		if p.honoursRetryAfter {
			wait += min(end.retryAfter, c.world.Gateways.ComeBack)
		}
		time.Sleep(wait)
	}
}

func (c *clients) typeResult(p *plannedOp) (*TypeResult, int) {
	for i := range c.world.OpTypes {
		if &c.world.OpTypes[i] == p.opType {
			return &c.result.Types[i], i
		}
	}
	panic("loopback: an op type that nobody knows")
}

// ended is how a try ended for its client.
type attemptOutcome struct {
	acked      bool
	retrySafe  bool // trying again is harmless
	retryAfter time.Duration
}

// try asks once.
func (c *clients) attempt(p *plannedOp, try int) attemptOutcome {
	sent := time.Now()
	due := sent.Add(time.Duration(p.patience * float64(p.opType.Timeout)))
	repeatable := p.opType.Effect == "retryable" || p.opType.Effect == "tokened" && p.opType.Scope == "all"
	k, err := c.getConn(c.pickGateway(p.homeGateway))
	if err != nil {
		return attemptOutcome{retrySafe: true} // it was never taken
	}
	id := fmt.Sprintf("%x.%d", p.id, try)
	fields := fmt.Sprintf("id=%s,c=%s,d=%d,cluster=%d", id, p.opType.Name, time.Until(due).Milliseconds(), p.group)
	if p.opType.Effect == "tokened" {
		fields += fmt.Sprintf(",k=%x", p.id)
	}
	if try > 0 && c.marksRetries(p.homeGateway) {
		fields += ",r=1"
	}
	if p.opType.Need == "session" && c.world.Reports.Carried {
		c.mu.Lock()
		if at := c.lastWrites[p.session]; at > 0 {
			fields += fmt.Sprintf(",after=%d", at)
		}
		c.mu.Unlock()
	}
	text := fmt.Sprintf("SELECT data FROM facts WHERE code = 's%d' /* %s */", p.session, fields)
	if p.opType.Need == "write" {
		text = fmt.Sprintf("INSERT INTO facts (code, data) VALUES ('s%d', 'x') RETURNING data /* %s */", p.session, fields)
	}
	k.SetDeadline(due)
	a, err := k.query(text)
	if err != nil && k.reused && k.unanswered && time.Now().Before(due) {
		// It may have crossed the gateway's close between two ops: then it was not read, and is asked for once more.
		k.Close()
		c.mu.Lock()
		c.result.Crossed++
		c.mu.Unlock()
		again, dialled := c.dial(c.pickGateway(p.homeGateway))
		if dialled != nil {
			return attemptOutcome{retrySafe: true}
		}
		k = again
		k.SetDeadline(due)
		a, err = k.query(text)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		k.Close()
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			// Its time is up. A gateway that lives owes an answer by then; a little more is the way's.
			c.result.TimedOut++
			return attemptOutcome{retrySafe: repeatable}
		}
		c.result.Lost++
		return attemptOutcome{retrySafe: repeatable}
	}
	c.idleConns[k.gateway] = append(c.idleConns[k.gateway], k)
	switch {
	case a.code == "":
		if !strings.HasPrefix(a.value, id+" by ") {
			c.result.Garbled++
			c.result.Broken[0]++
			c.result.Stories = append(c.result.Stories, fmt.Sprintf("rule 1: op %s was answered %q", id, a.value))
			return attemptOutcome{}
		}
		if p.opType.Need == "write" { // its commit lies before this moment
			c.lastWrites[p.session] = max(c.lastWrites[p.session], time.Now().UnixMilli())
		}
		return attemptOutcome{acked: true}
	case a.code == "53300" || a.code == "57P03":
		c.result.Busy++
		return attemptOutcome{retrySafe: true, retryAfter: a.retryAfter}
	}
	c.result.Errored++
	return attemptOutcome{retrySafe: repeatable}
}

// conn is a client's connection to a gateway.
type conn struct {
	net.Conn
	buffer     pgwire.ReadBuffer
	gateway    int
	reused     bool // it has been asked on before
	unanswered bool // nothing has come since the last question
}

// conn takes an idle connection or opens one.
func (c *clients) getConn(gateway int) (*conn, error) {
	c.mu.Lock()
	if list := c.idleConns[gateway]; len(list) > 0 {
		k := list[len(list)-1]
		c.idleConns[gateway] = list[:len(list)-1]
		c.mu.Unlock()
		if k.reused = true; !k.isClosed() {
			return k, nil
		}
		k.Close()
	} else {
		c.mu.Unlock()
	}
	return c.dial(gateway)
}

// dial opens a connection.
func (c *clients) dial(gateway int) (*conn, error) {
	nc, err := net.DialTimeout("tcp", c.gateways[gateway], time.Second)
	if err != nil {
		return nil, err
	}
	k := &conn{Conn: nc, gateway: gateway}
	k.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := k.Write(pgwire.AppendStartup(nil, "portal", "crm")); err != nil {
		k.Close()
		return nil, err
	}
	if a, err := k.readResponse(); err != nil || a.code != "" {
		k.Close()
		return nil, fmt.Errorf("not let in: %s %w", a.code, err)
	}
	return k, nil
}

// closed tells whether a gateway has closed a connection that nobody used.
func (k *conn) isClosed() bool {
	k.SetReadDeadline(time.Now().Add(50 * time.Microsecond))
	n, err := k.Read(k.buffer.Space())
	k.buffer.Filled(n)
	var timeout net.Error
	return n > 0 || !(errors.As(err, &timeout) && timeout.Timeout())
}

// said is an answer as a client sees it.
type response struct {
	code, value string
	retryAfter  time.Duration
}

func (k *conn) query(text string) (response, error) {
	k.unanswered = true
	if _, err := k.Write(pgwire.AppendQuery(nil, text)); err != nil {
		return response{}, err
	}
	return k.readResponse()
}

func (k *conn) readResponse() (a response, err error) {
	for {
		m, ok, err := k.buffer.Next()
		if err != nil {
			return a, err
		}
		if !ok {
			n, err := k.Read(k.buffer.Space())
			k.buffer.Filled(n)
			if n == 0 && err != nil {
				return a, err
			}
			k.unanswered = false
			continue
		}
		switch m.Type {
		case pgwire.ReadyForQuery:
			return a, nil
		case pgwire.DataRow:
			v, err := pgwire.ParseSingleColumn(m.Body)
			if err != nil {
				return a, err
			}
			a.value = string(v)
		case pgwire.ErrorResponse:
			code, err := pgwire.ParseSQLState(m.Body)
			if err != nil {
				return a, err
			}
			a.code = string(code)
			a.retryAfter = parseRetryAfter(m.Body)
		}
	}
}

// detail is the time to come back, in milliseconds in field D.
func parseRetryAfter(body []byte) time.Duration {
	for len(body) > 1 {
		value, rest, err := pgwire.CutString(body[1:])
		if err != nil {
			return 0
		}
		if body[0] == 'D' {
			var ms int64
			fmt.Sscan(string(value), &ms)
			return time.Duration(ms) * time.Millisecond
		}
		body = rest
	}
	return 0
}
