package emulator

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gorsewell/choice"
	"gorsewell/internal/gossip"
)

// Bounds on the texts that a run keeps.
const (
	maxEvents  = 400
	maxStories = 12
	maxLines   = 200
)

// resultNames are the names of the results of a send in a Trace.
var resultNames = [...]string{choice.Acked: "acked", choice.ServerError: "error", choice.ServerFull: "full", choice.TimedOut: "timed out",
	choice.NoConnection: "no connection", choice.Reset: "reset", choice.Cancelled: "cancelled", choice.NotSent: "not sent", choice.Declined: "missed"}

// Result is the outcome of a run.
type Result struct {
	Asked        float64 // ops asked by clients, retries not counted
	Value        float64 // of these ops
	Earned       float64 // part of Value
	Types        []TypeResult
	Windows      []Window // one for each second since the first op, by when ops were asked
	Taken        int64    // ops accepted by gateways, retries included
	Busy         int64    // busy replies
	Errored      int64    // errors to clients
	Retries      int64    // by clients
	Sends        int64
	Probes       int64
	Troubles     [5]int64         // reported by the modules, by choice.Trouble; the first counts their ends
	SendEnds     [9]int64         // by choice.Result
	Worked       time.Duration    // work that servers began, in time of a core of speed 1
	StaleExcused int64            // answers from old data by former primaries, which rule 5 allows
	Broken       [5]int64         // violations by rule, from rule 1
	Stories      []Story          // of the first violations
	Events       []Event          // the first ones
	Logs         map[string]int64 // how often the modules logged each line
	Steps        int64            // scheduled events that were handled
	Gossip       *GossipResult    // nil without gossip

	start    time.Duration // of the first op
	sim      *simulation
	tracedOp uint64  // 0: none
	Trace    []Event // events of the traced op
}

// TypeResult is the outcome of one op type.
type TypeResult struct {
	Name    string
	Asked   int64
	Acked   int64 // within the latency target
	Late    int64 // acked after the latency target
	Failed  int64 // given up by the client, or acked after it had left
	Value   float64
	Earned  float64
	Latency *hdrhistogram.Histogram // of acks, in microseconds, from the first try
}

// Window is the outcome of the ops asked in one second.
type Window struct {
	Asked  float64
	Value  float64
	Earned float64
}

// Story describes a violation of a rule.
type Story struct {
	Rule    int           // from 1
	At      time.Duration // in virtual time
	Gateway int           // index
	Op      uint64        // id of the request
	OpType  string
	What    string
}

// Event is something that happened in a run.
type Event struct {
	At   time.Duration
	What string
}

// GossipResult is what gossip cost and found out.
type GossipResult struct {
	Sent      float64 // mean of bytes a second that one instance sent
	WorstSent float64 // most bytes that one instance sent in a second, those in a liar fault excluded
	Counts    gossip.Counts
	False     int64 // times that an instance declared another dead that was up and reachable both ways
}

func newResult(sim *simulation) *Result {
	res := &Result{sim: sim, Logs: map[string]int64{}}
	for _, t := range sim.opTypes {
		res.Types = append(res.Types, TypeResult{Name: t.Name, Latency: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 2)})
	}
	return res
}

// window returns the window of a time.
func (r *Result) window(at time.Duration) *Window {
	i := int((at - r.start) / time.Second)
	for len(r.Windows) <= i {
		r.Windows = append(r.Windows, Window{})
	}
	return &r.Windows[max(0, i)]
}

// opAsked counts a request.
func (r *Result) opAsked(req *request) {
	if r.start == 0 {
		r.start = r.sim.clients.firstOpAt
	}
	t := &r.Types[req.opType.index]
	t.Asked++
	t.Value += req.opType.Value
	w := r.window(req.askedAt)
	w.Asked++
	w.Value += req.opType.Value
}

// opAcked counts an ack that reached its client. tooLate means that the client had left.
func (r *Result) opAcked(req *request, took time.Duration, tooLate bool) {
	t := &r.Types[req.opType.index]
	t.Latency.RecordValue(int64(took / time.Microsecond))
	earned := 0.0
	switch {
	case tooLate:
		t.Failed++
	case took <= req.opType.Target:
		t.Acked++
		earned = req.opType.Value
	default:
		t.Late++
		earned = req.opType.Value * req.opType.LateValue
	}
	t.Earned += earned
	r.window(req.askedAt).Earned += earned
}

// opFailed counts a request whose client has given up.
func (r *Result) opFailed(req *request) { r.Types[req.opType.index].Failed++ }

// sendEnded counts the result of a send.
func (r *Result) sendEnded(result choice.Result) { r.SendEnds[result]++ }

// finish computes the totals. start is the time of the first op.
func (r *Result) finish(start time.Duration) {
	for i := range r.Types {
		t := &r.Types[i]
		r.Asked += float64(t.Asked)
		r.Value += t.Value
		r.Earned += t.Earned
	}
	r.Steps = r.sim.steps
	if g := r.sim.gossipNet; g != nil {
		r.Gossip = g.result(start)
	}
	r.sim = nil
}

// Service returns the share of the value asked for that was earned.
func (r *Result) Service() float64 {
	if r.Value == 0 {
		return 1
	}
	return r.Earned / r.Value
}

// WorstService returns the lowest service in any given number of consecutive seconds.
func (r *Result) WorstService(seconds int) float64 {
	worst := 1.0
	for i := 0; i+seconds <= len(r.Windows); i++ {
		value, earned := 0.0, 0.0
		for _, w := range r.Windows[i : i+seconds] {
			value, earned = value+w.Value, earned+w.Earned
		}
		if value > 0 {
			worst = min(worst, earned/value)
		}
	}
	return worst
}

// RulesBroken returns the number of violations of all rules.
func (r *Result) RulesBroken() (sum int64) {
	for _, n := range r.Broken {
		sum += n
	}
	return sum
}

// traceOp records an event of the op that is traced.
func (sim *simulation) traceOp(op *gatewayOp, format string, args ...any) {
	if sim.result.tracedOp != 0 && op.request.id == sim.result.tracedOp {
		sim.result.Trace = append(sim.result.Trace, Event{sim.now, fmt.Sprintf(format, args...)})
	}
}

// sortOpsByID sorts ops by id.
func sortOpsByID(all []*gatewayOp) {
	slices.SortFunc(all, func(a, b *gatewayOp) int { return cmp.Compare(a.id, b.id) })
}
