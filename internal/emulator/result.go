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
	maxEvents  = 400 // events in Result.Events
	maxStories = 12  // stories in Result.Stories
	maxLines   = 200 // not used
)

// resultNames are the names of the results of a send in a Trace.
var resultNames = [...]string{choice.Acked: "acked", choice.ServerError: "error", choice.ServerFull: "full",
	choice.TimedOut: "timed out", choice.NoConnection: "no connection", choice.Reset: "reset",
	choice.Cancelled: "cancelled", choice.NotSent: "not sent", choice.Declined: "missed",
	choice.ClientUnknown: "client unknown"}

// Result is the outcome of a run.
type Result struct {
	Asked        float64 // ops requested by clients, without their retries
	Value        float64 // total value of these ops
	Earned       float64 // part of Value that acks have earned
	Types        []TypeResult
	Windows      []Window         // one for each second since the first op
	Taken        int64            // ops accepted by gateways, retries included
	Busy         int64            // busy replies
	Errored      int64            // errors to clients
	Retries      int64            // retries by clients
	Sends        int64            // sends by gateways
	Probes       int64            // probes by gateways
	Troubles     [5]int64         // troubles that policies reported, by choice.Trouble; the first counts their ends
	SendEnds     [10]int64        // results of sends, by choice.Result
	Worked       time.Duration    // work that servers began, as time of a core of speed 1
	StaleExcused int64            // answers from old data by former primaries, which rule 5 allows
	Broken       [5]int64         // violations by rule, from rule 1
	Cold         ColdLoad         // the greatest part of its limit that a cold server was sent
	Stories      []Story          // the first violations, up to maxStories
	Events       []Event          // the first events, up to maxEvents
	Logs         map[string]int64 // how often policies logged each line
	Steps        int64            // scheduled events that were handled
	Gossip       *GossipResult    // nil without gossip

	start    time.Duration // time of the first op
	sim      *simulation
	tracedOp uint64  // id of the request to trace; 0: none
	Trace    []Event // events of the traced op
}

// TypeResult is the outcome of one op type.
type TypeResult struct {
	Name    string
	Asked   int64                   // ops requested by clients, without their retries
	Acked   int64                   // within the latency target
	Late    int64                   // acked after the latency target
	Failed  int64                   // given up by the client, or acked after it had left
	Value   float64                 // total value of the ops
	Earned  float64                 // part of Value that acks have earned
	Latency *hdrhistogram.Histogram // of acks, in microseconds, from the first try
}

// Window is the outcome of the ops whose first try was made in one second, whenever they were acked.
type Window struct {
	Asked  float64 // ops
	Value  float64 // total value of these ops
	Earned float64 // part of Value that acks have earned
}

// Story describes a violation of a rule.
type Story struct {
	Rule    int           // from 1
	At      time.Duration // in virtual time
	Gateway int           // index of the gateway
	Op      uint64        // id of the request
	OpType  string
	What    string
}

// Event is something that happened in a run.
type Event struct {
	At   time.Duration
	What string
}

// GossipResult holds the traffic and the counters of gossip.
type GossipResult struct {
	Sent      float64 // bytes per second and instance since the first op, without the false gossip of liars
	WorstSent float64 // most bytes that one instance sent in a second; instances that are liars do not count
	Counts    gossip.Counts
	False     int64 // times that an instance declared another one dead that was up and reachable in both directions
}

func newResult(sim *simulation) *Result {
	res := &Result{sim: sim, Logs: map[string]int64{}}
	for _, t := range sim.opTypes {
		res.Types = append(res.Types, TypeResult{Name: t.Name,
			Latency: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 2)})
	}
	return res
}

// window returns the window that a time falls into.
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

// finish computes the totals at the end of the run. start is the time of the first op.
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

// Service returns the share of the value of all ops that was earned, or 1 if there was no value to earn.
func (r *Result) Service() float64 {
	if r.Value == 0 {
		return 1
	}
	return r.Earned / r.Value
}

// WorstService returns the lowest service in any period of the given number of consecutive seconds.
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
