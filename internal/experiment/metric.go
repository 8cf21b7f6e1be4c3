package experiment

import (
	"math"
	"slices"
	"strings"

	"gorsewell/internal/emulator"
)

// overall are the metrics of a run that do not belong to one op type, with what they mean.
var runMetrics = []struct{ name, doc string }{
	{"service", "value earned over value asked for"},
	{"worst10", "service in the worst ten seconds in a row"},
	{"worst_type", "service of the op type that fared worst"},
	{"rules_broken", "times that a rule was broken"},
	{"sends_per_op", "sends for each op asked for"},
	{"probes_per_op", "probes for each op asked for"},
	{"busy_share", "busy replies for each op taken by a gateway"},
	{"errored_share", "errors for each op taken by a gateway"},
	{"retries_per_op", "tries of clients beyond the first, for each op asked for"},
	{"work_per_op", "milliseconds of servers' work for each op asked for"},
	{"troubles_per_second", "symptoms that modules told, over all instances"},
	{"gossip_bytes", "bytes a second sent by one instance, in the mean"},
	{"gossip_worst", "bytes sent in the worst second of any honest instance"},
	{"gossip_false_deaths", "times that a member was held dead that was there and could be reached"},
	{"gossip_deaths", "times that a member was held dead"},
	{"gossip_rumours", "rumours that instances made of their own"},
	{"gossip_contradicted", "times that an instance saw otherwise than it was told"},
}

// byType are the metrics of one op type; a metric's name ends with the op type's after a dot.
var opTypeMetrics = []struct{ name, doc string }{
	{"service", "value earned over value asked for"},
	{"p50", "milliseconds from the first try to the ack, median of the acks"},
	{"p99", "the same, 99 of 100"},
	{"late_share", "acks past the latency target, of the ops asked for"},
	{"failed_share", "ops that no ack came for in their clients' time, of those asked for"},
}

// Metrics lists what can be told of a run of this experiment.
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

func (e *File) hasMetric(metric string) bool { return slices.Contains(e.Metrics(), metric) }

// MetricDocs gives the metrics with what they mean, for the help of the command.
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

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// measure turns a run's result into figures by metric.
func computeMetrics(r *emulator.Result, seconds float64) map[string]float64 {
	m := map[string]float64{
		"service": r.Service(), "worst10": r.Worst(10), "worst_type": 1, "rules_broken": float64(r.RulesBroken()),
		"sends_per_op": ratio(float64(r.Sends), r.Asked), "probes_per_op": ratio(float64(r.Probes), r.Asked),
		"busy_share": ratio(float64(r.Busy), float64(r.Taken)), "errored_share": ratio(float64(r.Errored), float64(r.Taken)),
		"retries_per_op": ratio(float64(r.Retries), r.Asked), "work_per_op": ratio(float64(r.Worked.Microseconds())/1000, r.Asked),
	}
	troubles := 0.0
	for _, n := range r.Troubles[1:] {
		troubles += float64(n)
	}
	m["troubles_per_second"] = ratio(troubles, seconds)
	if g := r.Gossip; g != nil {
		m["gossip_bytes"], m["gossip_worst"], m["gossip_false_deaths"] = g.Sent, g.WorstSent, float64(g.False)
		m["gossip_deaths"], m["gossip_rumours"], m["gossip_contradicted"] = float64(g.Counts.Died), float64(g.Counts.RumoursMade), float64(g.Counts.Contradicted)
	}
	for i := range r.Types {
		t := &r.Types[i]
		s := 1.0
		if t.Value > 0 {
			s = t.Earned / t.Value
			m["worst_type"] = min(m["worst_type"], s)
		}
		m["service."+t.Name] = s
		m["p50."+t.Name] = float64(t.Latency.ValueAtQuantile(50)) / 1000
		m["p99."+t.Name] = float64(t.Latency.ValueAtQuantile(99)) / 1000
		m["late_share."+t.Name] = ratio(float64(t.Late), float64(t.Asked))
		m["failed_share."+t.Name] = ratio(float64(t.Failed), float64(t.Asked))
	}
	for name, v := range m {
		if math.IsNaN(v) || math.IsInf(v, 0) {
			m[name] = 0
		}
	}
	return m
}

// decimals is how exactly a metric is told.
func decimals(metric string) int {
	switch name, _, _ := strings.Cut(metric, "."); name {
	case "rules_broken", "gossip_bytes", "gossip_worst", "gossip_false_deaths", "gossip_deaths", "gossip_rumours", "gossip_contradicted":
		return 0
	case "p50", "p99", "work_per_op", "troubles_per_second":
		return 1
	}
	return 4
}
