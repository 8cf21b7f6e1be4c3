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
type planned struct {
	at       time.Duration
	id       uint64
	t        *emulator.OpType
	group    int
	session  int
	home     int
	patience float64
	honours  bool
}

// clients asks as it was planned and keeps what comes of it.
type clients struct {
	w        *emulator.World
	gateways []string // addresses; the front's view of who is there is the rig's
	front    func(home int) (index int)
	says     func(home int) bool // whether a try says that it is another one
	plan     []planned
	start    time.Time
	running  sync.WaitGroup

	mu    sync.Mutex
	conns map[int][]*conn // idle, by gateway
	marks map[int]int64   // by session
	res   *Result
	fill  chan struct{} // bounds how many are open
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

const mostOpen = 20000

// draws plans a day.
func draws(w *emulator.World, seed uint64) []planned {
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
	var plan []planned
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= w.Length {
			return plan
		}
		t := &w.OpTypes[pick(shares)]
		p := planned{at: at, id: uint64(len(plan) + 1), t: t, group: rng.IntN(w.Servers.Groups)}
		p.session = rng.IntN(max(1, w.Clients.Sessions)*w.Gateways.Count) + 1
		p.home = p.session % w.Gateways.Count
		if t.Need == "session" && rng.Float64() < w.Clients.Follows && len(writes[p.group]) > 0 {
			wanted := time.Duration(rng.ExpFloat64() * float64(w.Clients.Gap))
			best := slices.MinFunc(writes[p.group], func(a, b recent) int {
				return cmp.Compare(math.Abs(float64(at-a.at-wanted)), math.Abs(float64(at-b.at-wanted)))
			})
			p.session, p.home = best.session, best.home
		}
		if t.Need == "write" {
			writes[p.group] = append(writes[p.group], recent{p.session, p.home, at})
			if n := len(writes[p.group]); n > 32 {
				writes[p.group] = writes[p.group][n-16:]
			}
		}
		if rng.Float64() < w.Clients.Roam {
			p.home = rng.IntN(w.Gateways.Count)
		}
		p.patience = w.Clients.Patience + (1-w.Clients.Patience)*math.Sqrt(rng.Float64())
		p.honours = rng.Float64() < w.Clients.Honour
		plan = append(plan, p)
	}
}

func newClients(w *emulator.World, seed uint64, gateways []string, front func(int) int, says func(int) bool) *clients {
	c := &clients{w: w, gateways: gateways, front: front, says: says, plan: draws(w, seed), conns: map[int][]*conn{}, marks: map[int]int64{},
		fill: make(chan struct{}, mostOpen)}
	c.res = &Result{Lateness: hdrhistogram.New(1, 60e6, 2), Windows: make([]emulator.Window, int(w.Length/time.Second)+1),
		Homes: make([]HomeResult, len(gateways))}
	for _, t := range w.OpTypes {
		c.res.Types = append(c.res.Types, TypeResult{Name: t.Name, Latency: hdrhistogram.New(1, 120e6, 2)})
	}
	return c
}

// ask asks all that was planned, each at its time, and returns when all is answered or given up.
func (c *clients) ask() {
	c.start = time.Now()
	for i := range c.plan {
		p := &c.plan[i]
		if wait := time.Until(c.start.Add(p.at)); wait > 0 {
			time.Sleep(wait)
		}
		select {
		case c.fill <- struct{}{}:
		default:
			c.mu.Lock()
			c.res.Unsent++
			c.mu.Unlock()
			continue
		}
		c.running.Go(func() {
			c.one(p)
			<-c.fill
		})
	}
	c.running.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, list := range c.conns {
		for _, k := range list {
			k.Close()
		}
	}
	for i := range c.res.Types {
		t := &c.res.Types[i]
		c.res.Asked += float64(t.Asked)
		c.res.Value += t.Value
		c.res.Earned += t.Earned
	}
}

// one asks for one op until it is answered or its client gives up.
func (c *clients) one(p *planned) {
	t, _ := c.typeOf(p)
	c.mu.Lock()
	c.res.Lateness.RecordValue(max(1, time.Since(c.start.Add(p.at)).Microseconds()))
	t.Asked++
	t.Value += p.t.Value
	c.res.Homes[p.home].Value += p.t.Value
	window := &c.res.Windows[min(int(p.at/time.Second), len(c.res.Windows)-1)]
	window.Asked++
	window.Value += p.t.Value
	c.mu.Unlock()
	for try := 0; ; try++ {
		end := c.try(p, try)
		if end.acked {
			c.mu.Lock()
			took := time.Since(c.start.Add(p.at))
			t.Latency.RecordValue(took.Microseconds())
			earned := 0.0
			if took <= p.t.Target {
				t.Acked++
				earned = p.t.Value
			} else {
				t.Late++
				earned = p.t.Value * p.t.LateValue
			}
			t.Earned += earned
			c.res.Homes[p.home].Earned += earned
			window.Earned += earned
			c.mu.Unlock()
			return
		}
		if !end.again || try >= c.w.Clients.Retries {
			c.mu.Lock()
			t.Failed++
			c.mu.Unlock()
			return
		}
		c.mu.Lock()
		c.res.Retries++
		c.mu.Unlock()
		wait := c.w.Clients.Backoff
		if p.honours {
			wait += min(end.comeBack, c.w.Gateways.ComeBack)
		}
		time.Sleep(wait)
	}
}

func (c *clients) typeOf(p *planned) (*TypeResult, int) {
	for i := range c.w.OpTypes {
		if &c.w.OpTypes[i] == p.t {
			return &c.res.Types[i], i
		}
	}
	panic("loopback: an op type that nobody knows")
}

// ended is how a try ended for its client.
type ended struct {
	acked    bool
	again    bool // trying again is harmless
	comeBack time.Duration
}

// try asks once.
func (c *clients) try(p *planned, try int) ended {
	sent := time.Now()
	due := sent.Add(time.Duration(p.patience * float64(p.t.Timeout)))
	repeatable := p.t.Effect == "retryable" || p.t.Effect == "tokened" && p.t.Scope == "all"
	k, err := c.conn(c.front(p.home))
	if err != nil {
		return ended{again: true} // it was never taken
	}
	id := fmt.Sprintf("%x.%d", p.id, try)
	fields := fmt.Sprintf("id=%s,c=%s,d=%d,cluster=%d", id, p.t.Name, time.Until(due).Milliseconds(), p.group)
	if p.t.Effect == "tokened" {
		fields += fmt.Sprintf(",k=%x", p.id)
	}
	if try > 0 && c.says(p.home) {
		fields += ",r=1"
	}
	if p.t.Need == "session" && c.w.Reports.Carried {
		c.mu.Lock()
		if at := c.marks[p.session]; at > 0 {
			fields += fmt.Sprintf(",after=%d", at)
		}
		c.mu.Unlock()
	}
	text := fmt.Sprintf("SELECT data FROM facts WHERE code = 's%d' /* %s */", p.session, fields)
	if p.t.Need == "write" {
		text = fmt.Sprintf("INSERT INTO facts (code, data) VALUES ('s%d', 'x') RETURNING data /* %s */", p.session, fields)
	}
	k.SetDeadline(due)
	a, err := k.query(text)
	if err != nil && k.used && k.silent && time.Now().Before(due) {
		// It may have crossed the gateway's close between two ops: then it was not read, and is asked for once more.
		k.Close()
		c.mu.Lock()
		c.res.Crossed++
		c.mu.Unlock()
		again, dialled := c.dial(c.front(p.home))
		if dialled != nil {
			return ended{again: true}
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
			c.res.TimedOut++
			return ended{again: repeatable}
		}
		c.res.Lost++
		return ended{again: repeatable}
	}
	c.conns[k.gateway] = append(c.conns[k.gateway], k)
	switch {
	case a.code == "":
		if !strings.HasPrefix(a.value, id+" by ") {
			c.res.Garbled++
			c.res.Broken[0]++
			c.res.Stories = append(c.res.Stories, fmt.Sprintf("rule 1: op %s was answered %q", id, a.value))
			return ended{}
		}
		if p.t.Need == "write" { // its commit lies before this moment
			c.marks[p.session] = max(c.marks[p.session], time.Now().UnixMilli())
		}
		return ended{acked: true}
	case a.code == "53300" || a.code == "57P03":
		c.res.Busy++
		return ended{again: true, comeBack: a.comeBack}
	}
	c.res.Errored++
	return ended{again: repeatable}
}

// conn is a client's connection to a gateway.
type conn struct {
	net.Conn
	window  pgwire.ReadBuffer
	gateway int
	used    bool // it has been asked on before
	silent  bool // nothing has come since the last question
}

// conn takes an idle connection or opens one.
func (c *clients) conn(gateway int) (*conn, error) {
	c.mu.Lock()
	if list := c.conns[gateway]; len(list) > 0 {
		k := list[len(list)-1]
		c.conns[gateway] = list[:len(list)-1]
		c.mu.Unlock()
		if k.used = true; !k.closed() {
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
	if a, err := k.answer(); err != nil || a.code != "" {
		k.Close()
		return nil, fmt.Errorf("not let in: %s %w", a.code, err)
	}
	return k, nil
}

// closed tells whether a gateway has closed a connection that nobody used.
func (k *conn) closed() bool {
	k.SetReadDeadline(time.Now().Add(50 * time.Microsecond))
	n, err := k.Read(k.window.Space())
	k.window.Filled(n)
	var timeout net.Error
	return n > 0 || !(errors.As(err, &timeout) && timeout.Timeout())
}

// said is an answer as a client sees it.
type said struct {
	code, value string
	comeBack    time.Duration
}

func (k *conn) query(text string) (said, error) {
	k.silent = true
	if _, err := k.Write(pgwire.AppendQuery(nil, text)); err != nil {
		return said{}, err
	}
	return k.answer()
}

func (k *conn) answer() (a said, err error) {
	for {
		m, ok, err := k.window.Next()
		if err != nil {
			return a, err
		}
		if !ok {
			n, err := k.Read(k.window.Space())
			k.window.Filled(n)
			if n == 0 && err != nil {
				return a, err
			}
			k.silent = false
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
			a.comeBack = detail(m.Body)
		}
	}
}

// detail is the time to come back, in milliseconds in field D.
func detail(body []byte) time.Duration {
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
