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

// Bounds on what a run keeps to be read.
const (
	maxEvents  = 400
	maxStories = 12
	maxLines   = 200
)

var resultNames = [...]string{choice.Acked: "acked", choice.ServerError: "error", choice.ServerFull: "full", choice.TimedOut: "timed out",
	choice.NoConnection: "no connection", choice.Reset: "reset", choice.Cancelled: "cancelled", choice.NotSent: "not sent", choice.Declined: "missed"}

// Result is what came of a day.
type Result struct {
	Asked, Value, Earned float64 // ops; their value; what of it was earned
	Types                []TypeResult
	Windows              []Window // of a second, by when ops were asked
	Taken, Busy, Errored int64    // ops at gateways, clients' retries among them
	Retries, Sends       int64
	Probes               int64
	Troubles             [5]int64 // that modules told, by kind; the first counts their ends
	SendEnds             [9]int64
	Worked               time.Duration // of servers' cores
	StaleExcused         int64
	Broken               [5]int64 // by rule
	Stories              []Story
	Events               []Event
	Logs                 map[string]int64
	Steps                int64 // events of the emulator
	Gossip               *GossipResult

	start    time.Duration
	sim      *simulation
	tracedOp uint64
	Trace    []Event // of the op asked for
}

// TypeResult is what came of one op type.
type TypeResult struct {
	Name                       string
	Asked, Acked, Late, Failed int64 // acked: in time for its value
	Value, Earned              float64
	Latency                    *hdrhistogram.Histogram // of acks, in microseconds, from the first try on
}

// Window is what came of the ops asked in one second.
type Window struct {
	Asked, Value, Earned float64
}

// Story is a broken rule with what is known of it.
type Story struct {
	Rule    int
	At      time.Duration
	Gateway int
	Op      uint64
	OpType  string
	What    string
}

// Event is something that happened.
type Event struct {
	At   time.Duration
	What string
}

// GossipResult is what gossip cost and knew.
type GossipResult struct {
	Sent      float64 // bytes a second of one instance, in the mean
	WorstSent float64 // in the worst second of any instance
	Counts    gossip.Counts
	False     int64 // members held dead that were there and could be reached
}

func newResult(sim *simulation) *Result {
	res := &Result{sim: sim, Logs: map[string]int64{}}
	for _, t := range sim.opTypes {
		res.Types = append(res.Types, TypeResult{Name: t.Name, Latency: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 2)})
	}
	return res
}

func (r *Result) window(at time.Duration) *Window {
	i := int((at - r.start) / time.Second)
	for len(r.Windows) <= i {
		r.Windows = append(r.Windows, Window{})
	}
	return &r.Windows[max(0, i)]
}

func (r *Result) opAsked(q *request) {
	if r.start == 0 {
		r.start = r.sim.clients.firstOpAt
	}
	t := &r.Types[q.opType.index]
	t.Asked++
	t.Value += q.opType.Value
	w := r.window(q.askedAt)
	w.Asked++
	w.Value += q.opType.Value
}

func (r *Result) opAcked(q *request, took time.Duration, tooLate bool) {
	t := &r.Types[q.opType.index]
	t.Latency.RecordValue(int64(took / time.Microsecond))
	earned := 0.0
	switch {
	case tooLate:
		t.Failed++
	case took <= q.opType.Target:
		t.Acked++
		earned = q.opType.Value
	default:
		t.Late++
		earned = q.opType.Value * q.opType.LateValue
	}
	t.Earned += earned
	r.window(q.askedAt).Earned += earned
}

func (r *Result) opFailed(q *request) { r.Types[q.opType.index].Failed++ }

func (r *Result) sendEnded(result choice.Result) { r.SendEnds[result]++ }

// finish adds up.
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

// Service is the part of the value asked for that was earned.
func (r *Result) Service() float64 {
	if r.Value == 0 {
		return 1
	}
	return r.Earned / r.Value
}

// Worst is the service in the worst so many seconds in a row.
func (r *Result) Worst(seconds int) float64 {
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

// RulesBroken counts over all rules.
func (r *Result) RulesBroken() (sum int64) {
	for _, n := range r.Broken {
		sum += n
	}
	return sum
}

// trace keeps the life of the op that was asked for.
func (sim *simulation) traceOp(t *gatewayOp, format string, args ...any) {
	if sim.result.tracedOp != 0 && t.request.id == sim.result.tracedOp {
		sim.result.Trace = append(sim.result.Trace, Event{sim.now, fmt.Sprintf(format, args...)})
	}
}

func sortOpsByID(all []*gatewayOp) {
	slices.SortFunc(all, func(a, b *gatewayOp) int { return cmp.Compare(a.id, b.id) })
}
