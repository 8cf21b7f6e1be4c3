// Package deployment turns the settings that a gateway is given into what the decision module is told. The
// bench's adapter and the gateway on sockets both use it, so both tell the module the same.
package deployment

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"gorsewell/choice"
)

// Values holds the settings by path, as text; a list of plain values is joined by commas.
type Values map[string]string

// FromText reads settings that stand as path=value on lines of their own.
func FromText(text []byte) (Values, error) {
	v := Values{}
	for line := range strings.Lines(string(text)) {
		line = strings.TrimSpace(line)
		if line == "" {
			continue
		}
		path, value, ok := strings.Cut(line, "=")
		if !ok {
			return nil, fmt.Errorf("setting %q has no value", line)
		}
		v[path] = value
	}
	return v, nil
}

// FromJSON reads settings that stand as nested JSON, giving each the path that it has in text.
func FromJSON(text []byte) (Values, error) {
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	var all map[string]any
	if err := d.Decode(&all); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	v := Values{}
	v.flatten("", all)
	return v, nil
}

func (v Values) flatten(path string, value any) {
	under := func(name string) string {
		if path == "" {
			return name
		}
		return path + "." + name
	}
	switch x := value.(type) {
	case nil:
	case map[string]any:
		for name, inner := range x {
			v.flatten(under(name), inner)
		}
	case []any:
		plain := make([]string, 0, len(x))
		for i, inner := range x {
			switch inner.(type) {
			case map[string]any, []any:
				v.flatten(under(strconv.Itoa(i)), inner)
				v[under("count")] = strconv.Itoa(len(x))
			default:
				plain = append(plain, Plain(fmt.Sprint(inner)))
			}
		}
		if len(plain) == len(x) {
			v[path] = strings.Join(plain, ",")
		}
	default:
		v[path] = fmt.Sprint(x)
	}
}

// Plain is a name as it stands in a list of plain values.
func Plain(name string) string { return strings.NewReplacer(" ", "_", ",", "_").Replace(name) }

// Told is all that is taken from the settings: what the module is told, and what its surroundings need.
type Told struct {
	choice.Deployment
	Zero           uint64   // clock time from which positions count on the bench's wire
	ReportNames    []string // of the values in a load report
	OpTypeNames    []string
	Zones, Kinds   []string
	ConnectTimeout time.Duration // within which a connection comes up, or never; else the longest op timeout
	IdleTime       time.Duration // for which a server keeps an idle connection
	DrainGrace     time.Duration // after which nothing new may go to a server that leaves
	LongestMessage int           // of a client or server; 0: as long as the protocol's page says
}

// reader picks values by path; the first that does not parse is kept as err.
type reader struct {
	Values
	err error
}

func (r *reader) fail(path string) {
	if r.err == nil {
		r.err = fmt.Errorf("setting %s=%q does not parse", path, r.Values[path])
	}
}

func (r *reader) number(path string) float64 {
	v := r.Values[path]
	if v == "" {
		return 0
	}
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		r.fail(path)
		return 0
	}
	return f
}

// duration reads a time in nanoseconds; none is negative.
func (r *reader) duration(path string) time.Duration {
	n, err := parseDuration(r.Values[path])
	if err != nil || n < 0 {
		r.fail(path)
	}
	return max(0, n)
}

func parseDuration(v string) (time.Duration, error) {
	if v == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err == nil {
		return time.Duration(n), nil
	}
	f, err := strconv.ParseFloat(v, 64) // JSON may write a whole number with a point or an exponent
	if err != nil || f != math.Trunc(f) || math.Abs(f) >= 1<<63 {
		return 0, fmt.Errorf("%q is no time in nanoseconds", v)
	}
	return time.Duration(f), nil
}

func (r *reader) boolean(path string) bool { return r.enum(path, "true", "false") == "true" }

// enum reads a value that has to be one of a few, or missing.
func (r *reader) enum(path string, known ...string) string {
	v := r.Values[path]
	if v != "" && !slices.Contains(known, v) && r.err == nil {
		r.err = fmt.Errorf("setting %s=%q has to be one of %s", path, v, strings.Join(known, ", "))
	}
	return v
}

func (r *reader) list(path string) []string {
	if r.Values[path] == "" {
		return nil
	}
	return strings.Split(r.Values[path], ",")
}

// Read picks what is known from the settings. Unknown paths are skipped, missing ones read as zero.
func (v Values) Read() (*Told, error) {
	r := &reader{Values: v}
	t := &Told{
		Zones:          r.list("zones"),
		Kinds:          r.list("models"),
		ConnectTimeout: r.duration("limits.connect_timeout"),
		IdleTime:       r.duration("limits.keepalive"),
		DrainGrace:     r.duration("rules.drain_grace"),
		Deployment: choice.Deployment{
			Gateways:        int(r.number("balancers")),
			Round:           r.duration("round"),
			ListAsked:       r.enum("registry_mode", "pushed", "on_request") == "on_request",
			AskWithin:       r.duration("rules.must_ask_in"),
			TellsPosition:   r.boolean("family_info.tells_position"),
			MarksCarried:    r.enum("family_info.write_marks", "brought", "kept") == "brought",
			RetriesUnmarked: v["clients.marks_retry"] != "" && !r.boolean("clients.marks_retry"),
			Probes:          r.boolean("limits.probing"),
			Cancels:         r.boolean("limits.may_cancel"),
			MaxSends:        int(r.number("limits.max_attempts")),
			ColdFrom:        r.number("rules.cold_from"),
			ColdTime:        r.duration("rules.cold"),
			OverloadFactor:  r.number("rules.overload_factor"),
			OverloadTime:    r.duration("rules.fall"),
		},
	}
	if zero, err := strconv.ParseUint(v["family_info.zero"], 10, 64); err == nil {
		t.Zero = zero
	} else if v["family_info.zero"] != "" {
		r.fail("family_info.zero")
	}
	if v["report.via"] == "pull" || v["report.via"] == "piggyback" {
		t.ReportNames = r.list("report.names")
	}
	for _, name := range t.ReportNames {
		t.ReportsPosition = t.ReportsPosition || name == "x0"
		t.ReportsRole = t.ReportsRole || name == "x1"
	}
	if r.boolean("limits.retry_after") {
		t.MaxComeBack = r.duration("limits.max_retry_after")
	}
	switch r.enum("family_info.checks", "silent", "bounce", "await") {
	case "bounce":
		t.Checks = choice.Refuses
	case "await":
		t.Checks = choice.Waits
	}
	r.readOpTypes(t)
	r.applyDefaults(t)
	return t, r.err
}

const (
	unlimited     = time.Hour // stands for a time that the settings do not state: it binds nobody
	maxOpTypes    = 256       // op types, as one byte tells them apart
	maxSendsPerOp = 255       // of an op, for the same reason
)

// applyDefaults puts in what the settings do not say: a limit that is missing, or zero, does not bind, and an op type without a
// latency target is of use until its op timeout.
func (r *reader) applyDefaults(t *Told) {
	if t.MaxSends <= 0 || t.MaxSends > maxSendsPerOp {
		t.MaxSends = maxSendsPerOp
	}
	if t.OverloadFactor <= 0 || t.OverloadTime <= 0 {
		t.ColdTime = 0 // nothing says how much a cold server bears: none counts as cold
	}
	longest, names := time.Duration(0), map[string]bool{}
	for i := range t.OpTypes {
		o := &t.OpTypes[i]
		longest = max(longest, o.Timeout, o.Target)
		if o.Timeout == 0 {
			o.Timeout = unlimited
		}
		if o.Target == 0 {
			o.Target = o.Timeout
		}
		name := t.OpTypeNames[i]
		switch {
		case r.err != nil:
		case name == "":
			r.err = fmt.Errorf("setting classes.%d.name is missing", i)
		case names[name]:
			r.err = fmt.Errorf("setting classes.%d.name=%q stands for another op type already", i, name)
		}
		names[name] = true
	}
	if longest == 0 && len(t.OpTypes) > 0 && r.err == nil {
		r.err = errors.New("the settings state neither a latency target (target) nor an op timeout (give_up) of any op type")
	}
	if t.ConnectTimeout == 0 {
		t.ConnectTimeout = longest
	}
}

func (r *reader) readOpTypes(d *Told) {
	needs, bounds := r.list("family_info.needs_by_class"), r.list("family_info.lag_allowed")
	if n := r.number("classes.count"); n > maxOpTypes && r.err == nil {
		r.err = fmt.Errorf("the settings name %.0f op types: %d at most can be told apart", n, maxOpTypes)
	}
	for i := range int(max(0, min(r.number("classes.count"), maxOpTypes))) {
		at := func(name string) string { return fmt.Sprintf("classes.%d.%s", i, name) }
		t := choice.OpType{
			Window:    r.duration(at("window")),
			Target:    r.duration(at("target")),
			Timeout:   r.duration(at("give_up")),
			Value:     r.number(at("worth")),
			LateValue: r.number(at("late_value")),
		}
		switch r.Values[at("effect")] {
		case "retryable":
			t.Effect = choice.Retryable
		case "dedup":
			t.Effect = choice.Tokened
		}
		switch r.Values[at("dedup_scope")] {
		case "all":
			t.Scope = choice.ScopeAll
		case "zone":
			t.Scope = choice.ScopeZone
		}
		if i < len(needs) {
			t.Need = map[string]choice.Need{"strong": choice.Fresh, "causal": choice.Session,
				"lag_bound": choice.Bounded, "eventual": choice.Any}[needs[i]]
		}
		if i < len(bounds) {
			bound, err := parseDuration(bounds[i])
			if err != nil || bound < 0 {
				r.fail("family_info.lag_allowed")
			}
			t.Bound = bound
		}
		d.OpTypes = append(d.OpTypes, t)
		d.OpTypeNames = append(d.OpTypeNames, r.Values[at("name")])
	}
}
