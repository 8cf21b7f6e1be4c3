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

// plannedOp is one op, drawn before the run starts: the time of its arrival does not depend on the answers to other
// ops.
type plannedOp struct {
	arrival           time.Duration // since the start of the run
	id                uint64        // from 1
	opType            *emulator.OpType
	group             int     // index
	session           int     // from 1
	homeGateway       int     // index of the gateway that the client normally uses
	patience          float64 // fraction of the op timeout that the client waits for an answer
	honoursRetryAfter bool    // the client waits as long as a busy reply asks for
}

// clients sends the planned ops to the gateways and collects the result.
type clients struct {
	world        *emulator.World
	gateways     []string                   // addresses by index
	pickGateway  func(home int) (index int) // the load balancer, which the harness simulates
	marksRetries func(home int) bool        // reports whether the clients of a gateway mark retries as such
	plan         []plannedOp                // by arrival
	start        time.Time                  // of the run
	running      sync.WaitGroup

	mu         sync.Mutex
	idleConns  map[int][]*conn // by gateway
	lastWrites map[int]int64   // by session, the time of the last ack of a write, Unix milliseconds
	result     *Result
	slots      chan struct{} // holds an element for each op in progress
}

// Result is the result of a run on sockets.
type Result struct {
	Asked        float64 // number of ops sent by clients, retries not counted
	Value        float64 // total value of those ops
	Earned       float64 // value of the acks, reduced for late ones
	Types        []TypeResult
	Windows      []emulator.Window // one per second
	Busy         int64             // busy replies to clients
	Errored      int64             // errors to clients
	Retries      int64             // by clients
	Lost         int64             // attempts whose connection ended without an answer
	Mismatched   int64             // answers to another op than the one sent
	TimedOut     int64             // attempts whose client left because its time was up
	CloseRaces   int64             // attempts repeated at once because a reused connection ended before any answer
	Broken       [5]int64          // violations by rule
	Stories      []string          // descriptions of the first violations
	Events       []Event
	Lateness     *hdrhistogram.Histogram // delay of sending after the intended time, in microseconds
	Unsent       int64                   // ops that were not sent because maxOpenOps ops were in progress
	Sends        int64                   // that arrived at servers in full
	CounterLogs  []string                // by gateway, the log lines that hold its counters
	ByGateway    []GatewayResult         // by gateway
	StartupTimes []time.Duration         // times until gateways that were started again accepted ops
}

// GatewayResult is the result of the ops of the clients of one gateway.
type GatewayResult struct {
	Value  float64 // total value of the ops
	Earned float64 // value of the acks, reduced for late ones
}

// TypeResult is the result of one op type.
type TypeResult struct {
	Name    string
	Asked   int64                   // number of ops sent, retries not counted
	Acked   int64                   // within the latency target
	Late    int64                   // acked after the latency target
	Failed  int64                   // ops that were not acked
	Value   float64                 // total value of the ops
	Earned  float64                 // value of the acks, reduced for late ones
	Latency *hdrhistogram.Histogram // from the intended time of the first attempt, in microseconds
}

// Service returns the fraction of the value of all ops that was earned.
func (r *Result) Service() float64 {
	if r.Value == 0 {
		return 1
	}
	return r.Earned / r.Value
}

// RulesBroken returns the number of violations of all rules.
func (r *Result) RulesBroken() (sum int64) {
	for _, n := range r.Broken {
		sum += n
	}
	return sum
}

const maxOpenOps = 20000 // greatest number of ops in progress; further ones are not sent

// planOps draws all ops of a run.
func planOps(world *emulator.World, seed uint64) []plannedOp {
	rng := rand.New(rand.NewPCG(seed, 3))
	cumulativeShares, sum := []float64{}, 0.0
	work := 0.0
	for _, t := range world.OpTypes {
		sum += t.Share
		cumulativeShares = append(cumulativeShares, sum)
		work += t.Share * t.Work.Seconds()
	}
	rate := world.Load.PerSecond
	if rate == 0 {
		capacity := 0.0
		for g := range world.Servers.Groups {
			kind := world.Servers.Kinds[g%len(world.Servers.Kinds)]
			capacity += float64(kind.Cores) * kind.Speed * float64(world.Servers.Members)
		}
		rate = world.Load.Use * capacity / (work / sum)
	}
	pick := func(cumulative []float64) int {
		i, _ := slices.BinarySearch(cumulative, rng.Float64()*cumulative[len(cumulative)-1])
		return min(i, len(cumulative)-1)
	}
	type write struct {
		session     int
		homeGateway int
		arrival     time.Duration
	}
	recentWrites := make([][]write, world.Servers.Groups)
	var plan []plannedOp
	for arrival := time.Duration(0); ; {
		arrival += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if arrival >= world.Length {
			return plan
		}
		t := &world.OpTypes[pick(cumulativeShares)]
		p := plannedOp{arrival: arrival, id: uint64(len(plan) + 1), opType: t, group: rng.IntN(world.Servers.Groups)}
		p.session = rng.IntN(max(1, world.Clients.Sessions)*world.Gateways.Count) + 1
		p.homeGateway = p.session % world.Gateways.Count
		if t.Need == "session" && rng.Float64() < world.Clients.Follows && len(recentWrites[p.group]) > 0 {
			wantedGap := time.Duration(rng.ExpFloat64() * float64(world.Clients.Gap))
			closest := slices.MinFunc(recentWrites[p.group], func(a, b write) int {
				return cmp.Compare(math.Abs(float64(arrival-a.arrival-wantedGap)),
					math.Abs(float64(arrival-b.arrival-wantedGap)))
			})
			p.session, p.homeGateway = closest.session, closest.homeGateway
		}
		if t.Need == "write" {
			recentWrites[p.group] = append(recentWrites[p.group], write{p.session, p.homeGateway, arrival})
			if n := len(recentWrites[p.group]); n > 32 {
				recentWrites[p.group] = recentWrites[p.group][n-16:]
			}
		}
		if rng.Float64() < world.Clients.Roam {
			p.homeGateway = rng.IntN(world.Gateways.Count)
		}
		p.patience = world.Clients.Patience + (1-world.Clients.Patience)*math.Sqrt(rng.Float64())
		p.honoursRetryAfter = rng.Float64() < world.Clients.Honour
		plan = append(plan, p)
	}
}

// newClients returns clients with the ops drawn from the seed.
func newClients(world *emulator.World, seed uint64, gateways []string, pickGateway func(int) int,
	marksRetries func(int) bool) *clients {
	c := &clients{world: world, gateways: gateways, pickGateway: pickGateway, marksRetries: marksRetries,
		plan: planOps(world, seed), idleConns: map[int][]*conn{}, lastWrites: map[int]int64{},
		slots: make(chan struct{}, maxOpenOps)}
	c.result = &Result{Lateness: hdrhistogram.New(1, 60e6, 2),
		Windows: make([]emulator.Window, int(world.Length/time.Second)+1), ByGateway: make([]GatewayResult, len(gateways))}
	for _, t := range world.OpTypes {
		c.result.Types = append(c.result.Types, TypeResult{Name: t.Name, Latency: hdrhistogram.New(1, 120e6, 2)})
	}
	return c
}

// run sends each planned op at its time and returns when all have been answered or given up.
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
		for _, conn := range list {
			conn.Close()
		}
	}
	for i := range c.result.Types {
		t := &c.result.Types[i]
		c.result.Asked += float64(t.Asked)
		c.result.Value += t.Value
		c.result.Earned += t.Earned
	}
}

// runOp sends one op, with retries, until it is acked or its client gives up.
func (c *clients) runOp(p *plannedOp) {
	result, _ := c.typeResult(p)
	c.mu.Lock()
	c.result.Lateness.RecordValue(max(1, time.Since(c.start.Add(p.arrival)).Microseconds()))
	result.Asked++
	result.Value += p.opType.Value
	c.result.ByGateway[p.homeGateway].Value += p.opType.Value
	window := &c.result.Windows[min(int(p.arrival/time.Second), len(c.result.Windows)-1)]
	window.Asked++
	window.Value += p.opType.Value
	c.mu.Unlock()
	for attempt := 0; ; attempt++ {
		outcome := c.attempt(p, attempt)
		if outcome.acked {
			c.mu.Lock()
			latency := time.Since(c.start.Add(p.arrival))
			result.Latency.RecordValue(latency.Microseconds())
			earned := 0.0
			if latency <= p.opType.Target {
				result.Acked++
				earned = p.opType.Value
			} else {
				result.Late++
				earned = p.opType.Value * p.opType.LateValue
			}
			result.Earned += earned
			c.result.ByGateway[p.homeGateway].Earned += earned
			window.Earned += earned
			c.mu.Unlock()
			return
		}
		if !outcome.retrySafe || attempt >= c.world.Clients.Retries {
			c.mu.Lock()
			result.Failed++
			c.mu.Unlock()
			return
		}
		c.mu.Lock()
		c.result.Retries++
		c.mu.Unlock()
		wait := c.world.Clients.Backoff
		if p.honoursRetryAfter {
			wait += min(outcome.retryAfter, c.world.Gateways.ComeBack)
		}
		time.Sleep(wait)
	}
}

// typeResult returns the result of an op's type, and its index.
func (c *clients) typeResult(p *plannedOp) (*TypeResult, int) {
	for i := range c.world.OpTypes {
		if &c.world.OpTypes[i] == p.opType {
			return &c.result.Types[i], i
		}
	}
	panic("loopback: op type of a planned op is not in the world")
}

// attemptOutcome is the outcome of one attempt for its client.
type attemptOutcome struct {
	acked      bool
	retrySafe  bool // another attempt cannot take effect twice
	retryAfter time.Duration
}

// attempt makes one attempt at an op: it sends the op to a gateway and waits for the answer.
func (c *clients) attempt(p *plannedOp, attempt int) attemptOutcome {
	sent := time.Now()
	deadline := sent.Add(time.Duration(p.patience * float64(p.opType.Timeout)))
	repeatable := p.opType.Effect == "retryable" || p.opType.Effect == "tokened" && p.opType.Scope == "all"
	conn, err := c.getConn(c.pickGateway(p.homeGateway))
	if err != nil {
		return attemptOutcome{retrySafe: true} // the op has not been sent
	}
	id := fmt.Sprintf("%x.%d", p.id, attempt)
	fields := fmt.Sprintf("id=%s,c=%s,d=%d,cluster=%d", id, p.opType.Name, time.Until(deadline).Milliseconds(), p.group)
	if p.opType.Effect == "tokened" {
		fields += fmt.Sprintf(",k=%x", p.id)
	}
	if attempt > 0 && c.marksRetries(p.homeGateway) {
		fields += ",r=1"
	}
	if p.opType.Need == "session" && c.world.Reports.Carried {
		c.mu.Lock()
		if at := c.lastWrites[p.session]; at > 0 {
			fields += fmt.Sprintf(",after=%d", at)
		}
		c.mu.Unlock()
	}
	query := fmt.Sprintf("SELECT data FROM facts WHERE code = 's%d' /* %s */", p.session, fields)
	if p.opType.Need == "write" {
		query = fmt.Sprintf("INSERT INTO facts (code, data) VALUES ('s%d', 'x') RETURNING data /* %s */", p.session, fields)
	}
	conn.SetDeadline(deadline)
	a, err := conn.query(query)
	if err != nil && conn.reused && conn.unanswered && time.Now().Before(deadline) {
		// The gateway may have closed the connection, idle until now, before it read the query. The query is therefore
		// sent once more on a new connection.
		conn.Close()
		c.mu.Lock()
		c.result.CloseRaces++
		c.mu.Unlock()
		fresh, dialErr := c.dial(c.pickGateway(p.homeGateway))
		if dialErr != nil {
			return attemptOutcome{retrySafe: true}
		}
		conn = fresh
		conn.SetDeadline(deadline)
		a, err = conn.query(query)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		conn.Close()
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			// The client closes the connection. A running gateway has to answer by the deadline, but the network may delay
			// its answer beyond it.
			c.result.TimedOut++
			return attemptOutcome{retrySafe: repeatable}
		}
		c.result.Lost++
		return attemptOutcome{retrySafe: repeatable}
	}
	c.idleConns[conn.gateway] = append(c.idleConns[conn.gateway], conn)
	switch {
	case a.code == "":
		if !strings.HasPrefix(a.value, id+" by ") {
			c.result.Mismatched++
			c.result.Broken[0]++
			c.result.Stories = append(c.result.Stories, fmt.Sprintf("rule 1: op %s was answered %q", id, a.value))
			return attemptOutcome{}
		}
		if p.opType.Need == "write" { // the commit came before this moment
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
	reused     bool // it was idle before the current query
	unanswered bool // nothing has been received since the last query
}

// getConn returns an idle connection to a gateway or opens one.
func (c *clients) getConn(gateway int) (*conn, error) {
	c.mu.Lock()
	if list := c.idleConns[gateway]; len(list) > 0 {
		conn := list[len(list)-1]
		c.idleConns[gateway] = list[:len(list)-1]
		c.mu.Unlock()
		if conn.reused = true; !conn.isClosed() {
			return conn, nil
		}
		conn.Close()
	} else {
		c.mu.Unlock()
	}
	return c.dial(gateway)
}

// dial opens a connection to a gateway.
func (c *clients) dial(gateway int) (*conn, error) {
	netConn, err := net.DialTimeout("tcp", c.gateways[gateway], time.Second)
	if err != nil {
		return nil, err
	}
	conn := &conn{Conn: netConn, gateway: gateway}
	conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := conn.Write(pgwire.AppendStartup(nil, "portal", "crm")); err != nil {
		conn.Close()
		return nil, err
	}
	if a, err := conn.readResponse(); err != nil || a.code != "" {
		conn.Close()
		return nil, fmt.Errorf("startup failed at the gateway: expected no error, found SQLSTATE %q, error %w", a.code,
			err)
	}
	return conn, nil
}

// isClosed reports whether the gateway has closed an idle connection. An unexpected message counts as closed too.
func (c *conn) isClosed() bool {
	c.SetReadDeadline(time.Now().Add(50 * time.Microsecond))
	n, err := c.Read(c.buffer.Space())
	c.buffer.Filled(n)
	var timeout net.Error
	return n > 0 || !(errors.As(err, &timeout) && timeout.Timeout())
}

// response is an answer as a client receives it. The code is empty for a value.
type response struct {
	code       string
	value      string
	retryAfter time.Duration
}

// query sends a query and waits for its answer.
func (c *conn) query(query string) (response, error) {
	c.unanswered = true
	if _, err := c.Write(pgwire.AppendQuery(nil, query)); err != nil {
		return response{}, err
	}
	return c.readResponse()
}

// readResponse reads the messages of one answer, up to and including ReadyForQuery.
func (c *conn) readResponse() (a response, err error) {
	for {
		m, ok, err := c.buffer.Next()
		if err != nil {
			return a, err
		}
		if !ok {
			n, err := c.Read(c.buffer.Space())
			c.buffer.Filled(n)
			if n == 0 && err != nil {
				return a, err
			}
			c.unanswered = false
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

// parseRetryAfter returns the retry delay in an ErrorResponse, which is the number of milliseconds in its detail field,
// or 0 if there is none.
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
