// Package deployment parses the platform's settings of a deployment into the parameters of the decision module. The
// adapter for the simulator and the gateway on sockets both use it, so that the module gets the same parameters from
// both.
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

// Values holds the settings as text by their path. The elements of a list of scalars are joined by commas.
type Values map[string]string

// FromText parses settings of the form path=value, one per line.
func FromText(text []byte) (Values, error) {
	v := Values{}
	for line := range strings.Lines(string(text)) {
		line = strings.TrimSpace(line)
		if line == "" {
			continue
		}
		path, value, ok := strings.Cut(line, "=")
		if !ok {
			return nil, fmt.Errorf("setting %q: expected path=value, found no equals sign", line)
		}
		v[path] = value
	}
	return v, nil
}

// FromJSON parses settings in nested JSON. Each gets the same path as in the text form.
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

// flatten stores a value, and all that is nested in it, under their paths.
func (v Values) flatten(path string, value any) {
	join := func(name string) string {
		if path == "" {
			return name
		}
		return path + "." + name
	}
	switch x := value.(type) {
	case nil:
	case map[string]any:
		for name, inner := range x {
			v.flatten(join(name), inner)
		}
	case []any:
		scalars := make([]string, 0, len(x))
		for i, inner := range x {
			switch inner.(type) {
			case map[string]any, []any:
				v.flatten(join(strconv.Itoa(i)), inner)
				v[join("count")] = strconv.Itoa(len(x))
			default:
				scalars = append(scalars, NormalizeName(fmt.Sprint(inner)))
			}
		}
		if len(scalars) == len(x) {
			v[path] = strings.Join(scalars, ",")
		}
	default:
		v[path] = fmt.Sprint(x)
	}
}

// NormalizeName returns a name in the form that it has in a list of scalars: with an underscore for each space and
// comma.
func NormalizeName(name string) string { return strings.NewReplacer(" ", "_", ",", "_").Replace(name) }

// Settings holds the parsed settings: the parameters of the decision module and those of the rest of the gateway.
type Settings struct {
	choice.Deployment
	PositionEpoch   uint64   // simulator clock time in nanoseconds at which positions in the log begin
	ReportNames     []string // names of the values in a load report
	OpTypeNames     []string
	Zones           []string
	Kinds           []string      // kinds of machine
	ConnectTimeout  time.Duration // for establishing a connection; if not set, the longest op timeout
	IdleTimeout     time.Duration // after which a server closes an idle connection
	DrainGrace      time.Duration // after the start of a drain, during which a server may still get new ops
	MaxMessageBytes int           // limit for one message of a client or server; 0: the limit of the protocol
	Cores           float64       // cores that the process may use; 0: not known
	MemoryBytes     int64         // memory that the process may use; 0: not known
}

// reader parses values by their path and keeps the first error.
type reader struct {
	Values
	err error
}

// fail records that the value at a path is invalid.
func (r *reader) fail(path string) {
	if r.err == nil {
		r.err = fmt.Errorf("setting %s=%q is not a valid value", path, r.Values[path])
	}
}

// number parses a finite number; a missing value is 0.
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

// duration parses a time in nanoseconds, which must not be negative; a missing value is 0.
func (r *reader) duration(path string) time.Duration {
	n, err := parseDuration(r.Values[path])
	if err != nil || n < 0 {
		r.fail(path)
	}
	return max(0, n)
}

// parseDuration parses a time in nanoseconds; an empty text is 0.
func parseDuration(v string) (time.Duration, error) {
	if v == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err == nil {
		return time.Duration(n), nil
	}
	f, err := strconv.ParseFloat(v, 64) // JSON may write a whole number with a decimal point or an exponent
	if err != nil || f != math.Trunc(f) || math.Abs(f) >= 1<<63 {
		return 0, fmt.Errorf("expected a whole number of nanoseconds, found %q", v)
	}
	return time.Duration(f), nil
}

// boolean parses true or false; a missing value is false.
func (r *reader) boolean(path string) bool { return r.enum(path, "true", "false") == "true" }

// enum returns a value, which has to be one of those known or missing.
func (r *reader) enum(path string, known ...string) string {
	v := r.Values[path]
	if v != "" && !slices.Contains(known, v) && r.err == nil {
		r.err = fmt.Errorf("setting %s=%q: expected one of %s", path, v, strings.Join(known, ", "))
	}
	return v
}

// list parses a list whose elements are separated by commas.
func (r *reader) list(path string) []string {
	if r.Values[path] == "" {
		return nil
	}
	return strings.Split(r.Values[path], ",")
}

// Read parses the settings. Unknown paths are ignored. Missing ones are zero, or a default that imposes no limit.
func (v Values) Read() (*Settings, error) {
	r := &reader{Values: v}
	settings := &Settings{
		Zones:          r.list("zones"),
		Kinds:          r.list("models"),
		ConnectTimeout: r.duration("limits.connect_timeout"),
		IdleTimeout:    r.duration("limits.keepalive"),
		DrainGrace:     r.duration("rules.drain_grace"),
		Deployment: choice.Deployment{
			Gateways:             int(r.number("balancers")),
			EventInterval:        r.duration("round"),
			ListOnRequest:        r.enum("registry_mode", "pushed", "on_request") == "on_request",
			AskWithin:            r.duration("rules.must_ask_in"),
			AnswersCarryPosition: r.boolean("family_info.tells_position"),
			WriteAgeCarried:      r.enum("family_info.write_marks", "brought", "kept") == "brought",
			RetriesUnmarked:      v["clients.marks_retry"] != "" && !r.boolean("clients.marks_retry"),
			MayProbe:             r.boolean("limits.probing"),
			MayCancel:            r.boolean("limits.may_cancel"),
			MaxSends:             int(r.number("limits.max_attempts")),
			ColdFrom:             r.number("rules.cold_from"),
			ColdTime:             r.duration("rules.cold"),
			OverloadFactor:       r.number("rules.overload_factor"),
			OverloadTime:         r.duration("rules.fall"),
		},
	}
	if zero, err := strconv.ParseUint(v["family_info.zero"], 10, 64); err == nil {
		settings.PositionEpoch = zero
	} else if v["family_info.zero"] != "" {
		r.fail("family_info.zero")
	}
	if v["report.via"] == "pull" || v["report.via"] == "piggyback" {
		settings.ReportNames = r.list("report.names")
	}
	for _, name := range settings.ReportNames {
		settings.ReportsPosition = settings.ReportsPosition || name == "x0"
		settings.ReportsRole = settings.ReportsRole || name == "x1"
	}
	if r.boolean("limits.retry_after") {
		settings.MaxRetryAfter = r.duration("limits.max_retry_after")
	}
	switch r.enum("family_info.checks", "silent", "bounce", "await") {
	case "bounce":
		settings.Checks = choice.Refuses
	case "await":
		settings.Checks = choice.Waits
	}
	r.readOpTypes(settings)
	r.applyDefaults(settings)
	return settings, r.err
}

const (
	unlimited     = time.Hour // stands for a timeout that the settings do not state
	maxOpTypes    = 256       // an op type is identified by one byte
	maxSendsPerOp = 255       // a send of an op is identified by one byte
)

// applyDefaults fills in what the settings do not state. A limit that is missing or zero does not apply, and an answer
// to an op type without a latency target is useful until the op timeout.
func (r *reader) applyDefaults(settings *Settings) {
	if settings.MaxSends <= 0 || settings.MaxSends > maxSendsPerOp {
		settings.MaxSends = maxSendsPerOp
	}
	if settings.OverloadFactor <= 0 || settings.OverloadTime <= 0 {
		settings.ColdTime = 0 // the capacity of a cold server is unknown: no server is treated as cold
	}
	longestTimeout, names := time.Duration(0), map[string]bool{}
	for i := range settings.OpTypes {
		o := &settings.OpTypes[i]
		longestTimeout = max(longestTimeout, o.Timeout, o.Target)
		if o.Timeout == 0 {
			o.Timeout = unlimited
		}
		if o.Target == 0 {
			o.Target = o.Timeout
		}
		name := settings.OpTypeNames[i]
		switch {
		case r.err != nil:
		case name == "":
			r.err = fmt.Errorf("setting classes.%d.name is missing: expected the name of an op type", i)
		case names[name]:
			r.err = fmt.Errorf("setting classes.%d.name=%q: expected a unique name, found another op type of this name", i, name)
		}
		names[name] = true
	}
	if longestTimeout == 0 && len(settings.OpTypes) > 0 && r.err == nil {
		r.err = errors.New("settings: expected a latency target (target) or an op timeout (give_up) for at least one op type, found none")
	}
	if settings.ConnectTimeout == 0 {
		settings.ConnectTimeout = longestTimeout
	}
}

// readOpTypes parses the op types.
func (r *reader) readOpTypes(settings *Settings) {
	needs, bounds := r.list("family_info.needs_by_class"), r.list("family_info.lag_allowed")
	if n := r.number("classes.count"); n > maxOpTypes && r.err == nil {
		r.err = fmt.Errorf("setting classes.count=%.0f: expected at most %d op types", n, maxOpTypes)
	}
	for i := range int(max(0, min(r.number("classes.count"), maxOpTypes))) {
		path := func(name string) string { return fmt.Sprintf("classes.%d.%s", i, name) }
		t := choice.OpType{
			Window:    r.duration(path("window")),
			Target:    r.duration(path("target")),
			Timeout:   r.duration(path("give_up")),
			Value:     r.number(path("worth")),
			LateValue: r.number(path("late_value")),
		}
		switch r.Values[path("effect")] {
		case "retryable":
			t.Effect = choice.Retryable
		case "dedup":
			t.Effect = choice.Tokened
		}
		switch r.Values[path("dedup_scope")] {
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
		settings.OpTypes = append(settings.OpTypes, t)
		settings.OpTypeNames = append(settings.OpTypeNames, r.Values[path("name")])
	}
}
