package experiment

import (
	"math"
	"slices"
	"strings"

	"gorsewell/internal/emulator"
)

// runMetrics lists the metrics of a whole run.
var runMetrics = []struct{ name, doc string }{
	{"service", "value earned divided by the value of all ops"},
	{"worst10", "service in the worst ten consecutive seconds"},
	{"worst_type", "service of the op type with the lowest service"},
	{"rules_broken", "number of violations of the rules"},
	{"sends_per_op", "sends per op of the clients"},
	{"probes_per_op", "probes per op of the clients"},
	{"busy_share", "busy replies per op accepted by a gateway"},
	{"errored_share", "errors per op accepted by a gateway"},
	{"retries_per_op", "retries of clients per op"},
	{"work_per_op", "work of servers in milliseconds per op of the clients"},
	{"troubles_per_second", "symptoms per second reported by the decision modules of all instances"},
	{"gossip_bytes", "mean bytes sent per second by one instance"},
	{"gossip_worst", "most bytes sent in one second by any honest instance"},
	{"gossip_false_deaths", "number of times that a running and reachable member was declared dead"},
	{"gossip_deaths", "number of times that a member was declared dead"},
	{"gossip_rumours", "number of rumours originated by instances"},
	{"gossip_contradicted", "number of times that an instance observed the opposite of a rumour"},
}

// opTypeMetrics lists the metrics of one op type. The name of the op type is appended after a dot.
var opTypeMetrics = []struct{ name, doc string }{
	{"service", "value earned divided by the value of all ops"},
	{"p50", "milliseconds from the first attempt to the ack, median of the acks"},
	{"p99", "milliseconds from the first attempt to the ack, 99th percentile"},
	{"late_share", "fraction of ops acked after the latency target"},
	{"failed_share", "fraction of ops not acked within their clients' time"},
}

// Metrics returns the names of all metrics that a run of this experiment can have.
func (e *File) Metrics() (names []string) {
	for _, m := range runMetrics {
		names = append(names, m.name)
	}
	for _, t := range e.World.OpTypes {
		for _, m := range opTypeMetrics {
			names = append(names, m.name+"."+t.Name)
		}
	}
	return names
}

// hasMetric reports whether a run of this experiment can have a metric.
func (e *File) hasMetric(metric string) bool { return slices.Contains(e.Metrics(), metric) }

// MetricDocs returns the name and description of each metric, for the help of the command.
func MetricDocs() [][2]string {
	var all [][2]string
	for _, m := range runMetrics {
		all = append(all, [2]string{m.name, m.doc})
	}
	for _, m := range opTypeMetrics {
		all = append(all, [2]string{m.name + ".OPTYPE", m.doc})
	}
	return all
}

// ratio returns a/b, or 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// computeMetrics returns the metrics of a run's result by name. The length of the run is given in seconds. Metrics that
// have no finite value are 0.
func computeMetrics(r *emulator.Result, seconds float64) map[string]float64 {
	metrics := map[string]float64{
		"service": r.Service(), "worst10": r.WorstService(10), "worst_type": 1, "rules_broken": float64(r.RulesBroken()),
		"sends_per_op": ratio(float64(r.Sends), r.Asked), "probes_per_op": ratio(float64(r.Probes), r.Asked),
		"busy_share": ratio(float64(r.Busy), float64(r.Taken)), "errored_share": ratio(float64(r.Errored), float64(r.Taken)),
		"retries_per_op": ratio(float64(r.Retries), r.Asked),
		"work_per_op":    ratio(float64(r.Worked.Microseconds())/1000, r.Asked),
	}
	symptoms := 0.0
	for _, n := range r.Troubles[1:] {
		symptoms += float64(n)
	}
	metrics["troubles_per_second"] = ratio(symptoms, seconds)
	if gossip := r.Gossip; gossip != nil {
		metrics["gossip_bytes"], metrics["gossip_worst"], metrics["gossip_false_deaths"] = gossip.Sent, gossip.WorstSent,
			float64(gossip.False)
		metrics["gossip_deaths"], metrics["gossip_rumours"], metrics["gossip_contradicted"] = float64(gossip.Counts.Died),
			float64(gossip.Counts.RumoursMade), float64(gossip.Counts.Contradicted)
	}
	for i := range r.Types {
		opType := &r.Types[i]
		service := 1.0
		if opType.Value > 0 {
			service = opType.Earned / opType.Value
			metrics["worst_type"] = min(metrics["worst_type"], service)
		}
		metrics["service."+opType.Name] = service
		metrics["p50."+opType.Name] = float64(opType.Latency.ValueAtQuantile(50)) / 1000
		metrics["p99."+opType.Name] = float64(opType.Latency.ValueAtQuantile(99)) / 1000
		metrics["late_share."+opType.Name] = ratio(float64(opType.Late), float64(opType.Asked))
		metrics["failed_share."+opType.Name] = ratio(float64(opType.Failed), float64(opType.Asked))
	}
	for name, v := range metrics {
		if math.IsNaN(v) || math.IsInf(v, 0) {
			metrics[name] = 0
		}
	}
	return metrics
}

// decimals returns the number of decimal places with which a metric is printed.
func decimals(metric string) int {
	switch name, _, _ := strings.Cut(metric, "."); name {
	case "rules_broken", "gossip_bytes", "gossip_worst", "gossip_false_deaths", "gossip_deaths", "gossip_rumours",
		"gossip_contradicted":
		return 0
	case "p50", "p99", "work_per_op", "troubles_per_second":
		return 1
	}
	return 4
}
