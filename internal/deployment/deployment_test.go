package deployment

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"gorsewell/choice"
)

const textSettings = `balancers=2
classes.count=2
classes.0.dedup_scope=all
classes.0.effect=retryable
classes.0.give_up=1200000000
classes.0.name=lookup
classes.0.target=500000000
classes.0.worth=2.0
classes.1.dedup_scope=cell
classes.1.effect=dedup
classes.1.late_value=0.3
classes.1.name=save
classes.1.window=2000000000
family_info.checks=bounce
family_info.lag_allowed=200000000,0
family_info.needs_by_class=lag_bound,mutate
family_info.write_marks=brought
family_info.zero=620894735627000
limits.connect_timeout=250000000
limits.keepalive=30000000000
limits.max_attempts=8
limits.max_retry_after=2000000000
limits.probing=true
limits.retry_after=true
models=std_3core,big
registry_mode=on_request
report.names=x0,x1
report.via=pull
round=5000000
rules.cold_from=0.17
rules.must_ask_in=10000000000
zones=a,b
tenants=
unheard.of=x
`

const jsonSettings = `{"balancers":2,"classes":[
{"dedup_scope":"all","effect":"retryable","give_up":1.2e9,"name":"lookup","target":500000000.0,"worth":2.0,"window":null},
{"dedup_scope":"cell","effect":"dedup","late_value":0.3,"name":"save","window":2000000000}],
"family_info":{"checks":"bounce","lag_allowed":[200000000,0],"needs_by_class":["lag_bound","mutate"],
"write_marks":"brought","zero":620894735627000},
"limits":{"connect_timeout":250000000,"keepalive":30000000000,"max_attempts":8,"max_retry_after":2000000000,
"probing":true,"retry_after":true},
"models":["std 3core","big"],"registry_mode":"on_request","report":{"names":["x0","x1"],"via":"pull"},"round":5000000,
"rules":{"cold_from":0.17,"must_ask_in":10000000000},"zones":["a","b"],"tenants":[],"unheard":{"of":[{"x":1},2]}}`

func TestTextAndJSONGiveSameSettings(t *testing.T) {
	v, err := FromText([]byte(textSettings))
	if err != nil {
		t.Fatal(err)
	}
	text, err := v.Read()
	if err != nil {
		t.Fatal(err)
	}
	if v, err = FromJSON([]byte(jsonSettings)); err != nil {
		t.Fatal(err)
	}
	nested, err := v.Read()
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(text, nested) {
		t.Errorf("got different settings\nfrom text %+v\nfrom JSON %+v", text, nested)
	}
	lookup := choice.OpType{Effect: choice.Retryable, Scope: choice.ScopeAll, Need: choice.Bounded,
		Bound: 200 * time.Millisecond, Target: 500 * time.Millisecond, Timeout: 1200 * time.Millisecond, Value: 2}
	if nested.OpTypes[0] != lookup || nested.OpTypes[1].Effect != choice.Tokened || nested.OpTypes[1].Need != choice.Write ||
		!nested.ReportsPosition || nested.MaxRetryAfter != 2*time.Second || nested.Checks != choice.Refuses ||
		nested.IdleTimeout != 30*time.Second || nested.AskWithin != 10*time.Second || !nested.ListOnRequest {
		t.Errorf("got %+v, want the values of the JSON text", nested)
	}
}

// Without the setting clients.marks_retry, retries are assumed to be marked: they are unmarked only where the settings
// say so.
func TestRetriesAreUnmarkedOnlyIfSettingsSaySo(t *testing.T) {
	for value, unmarked := range map[string]bool{"": false, "true": false, "false": true} {
		settings, err := Values{"clients.marks_retry": value}.Read()
		if err != nil || settings.RetriesUnmarked != unmarked {
			t.Errorf("%q: got %+v and error %v, want retries to be unmarked only if the value is false", value, settings, err)
		}
	}
}

func TestMissingValuesAreZeroOrUnlimited(t *testing.T) {
	settings, err := Values{}.Read()
	if err != nil || !reflect.DeepEqual(settings, &Settings{Deployment: choice.Deployment{MaxSends: maxSendsPerOp}}) {
		t.Errorf("got %+v and error %v, want only MaxSends set", settings, err)
	}
	settings, err = Values{"classes.count": "3", "classes.0.name": "Any Name, really", "classes.0.give_up": "3000000000", "classes.1.name": "any name, really",
		"classes.1.target": "200000000", "classes.2.name": "?", "rules.cold": "9000000000", "rules.fall": "3000000000", "limits.connect_timeout": "0"}.Read()
	if err != nil {
		t.Fatal(err)
	}
	for i, want := range [][2]time.Duration{{3 * time.Second, 3 * time.Second}, {200 * time.Millisecond, unlimited}, {unlimited, unlimited}} {
		if o := settings.OpTypes[i]; o.Target != want[0] || o.Timeout != want[1] {
			t.Errorf("op type %d: got target %v and timeout %v, want %v", i, o.Target, o.Timeout, want)
		}
	}
	if settings.MaxSends != maxSendsPerOp || settings.ColdTime != 0 || settings.ConnectTimeout != 3*time.Second {
		t.Errorf("got %+v, want the largest MaxSends, ColdTime 0 and ConnectTimeout 3s", settings)
	}
}

// Values that are invalid in any deployment give an error of one line that names the path.
func TestReadRejectsInvalidSettings(t *testing.T) {
	with := func(more ...string) Values {
		v := Values{"classes.count": "1", "classes.0.name": "a", "classes.0.target": "1000000"}
		for i := 0; i < len(more); i += 2 {
			v[more[i]] = more[i+1]
		}
		return v
	}
	for part, v := range map[string]Values{
		"latency target (target)":                      with("classes.0.target", ""),
		"classes.0.name is missing":                    with("classes.0.name", ""),
		"classes.1.name=\"a\": expected a unique name": with("classes.count", "2", "classes.1.name", "a"),
		"classes.count=257: expected at most 256":      with("classes.count", "257"),
		`classes.0.give_up="-1"`:                       with("classes.0.give_up", "-1"),
		`family_info.lag_allowed="-200"`:               with("family_info.lag_allowed", "-200"),
		`limits.connect_timeout="-1"`:                  with("limits.connect_timeout", "-1"),
		`rules.fall="100000000000000000000"`:           with("rules.fall", "100000000000000000000"),
	} {
		if _, err := v.Read(); err == nil || !strings.Contains(err.Error(), part) || strings.Contains(err.Error(), "\n") {
			t.Errorf("want an error of one line with %s, got %v", part, err)
		}
	}
	if _, err := with().Read(); err != nil {
		t.Error(err)
	}
}

// noopHost is a choice.Host that ignores all calls.
type noopHost struct{}

func (noopHost) Send(uint32, uint32, time.Duration) {}
func (noopHost) Withdraw(uint32)                    {}
func (noopHost) BusyReply(uint32, time.Duration)    {}
func (noopHost) Error(uint32)                       {}
func (noopHost) Cancel(uint32, uint8)               {}
func (noopHost) Probe(uint32)                       {}
func (noopHost) Timer(uint32, time.Duration)        {}
func (noopHost) AskList()                           {}
func (noopHost) WatchList()                         {}
func (noopHost) CloseIdle(uint32)                   {}
func (noopHost) Forget(uint32)                      {}
func (noopHost) Trouble(uint32, choice.Trouble)     {}
func (noopHost) Decided(choice.Event)               {}

// Whatever settings Read accepts, the decision module must not panic with them.
func FuzzSettings(f *testing.F) {
	f.Add([]byte(textSettings))
	f.Add([]byte("classes.count=1\nclasses.0.name=a\nclasses.0.target=1\nclasses.0.worth=-1\nrules.cold=1\nrules.fall=1\nrules.overload_factor=1e308"))
	f.Fuzz(func(t *testing.T, text []byte) {
		v, err := FromText(text)
		if err != nil {
			return
		}
		settings, err := v.Read()
		if err != nil {
			return
		}
		g := choice.New(noopHost{}, &settings.Deployment)
		g.List(0, choice.ListCached, []choice.Listed{{ID: 1, State: choice.Ready, Primary: true}, {ID: 2, State: choice.Ready}})
		for i := range settings.OpTypes {
			now := time.Duration(i+1) * time.Millisecond
			g.Op(now, choice.Arrival{ID: uint32(i), OpType: uint8(i), ClientLeavesAt: now + time.Second})
			g.Answer(now+1, uint32(i), 0, 1, choice.Acked, 1, false, choice.Primary, now)
			g.Timer(now+2, 0)
		}
		g.Stop(time.Second)
	})
}

func TestErrorsNamePathAndValue(t *testing.T) {
	for path, value := range map[string]string{"round": "5ms", "balancers": "NaN",
		"rules.fall": "1.5", "family_info.zero": "-1"} {
		if _, err := (Values{path: value}).Read(); err == nil || err.Error() != "setting "+path+`="`+value+`" is not a valid value` {
			t.Errorf("%s=%s: got error %v, want one that names path and value", path, value, err)
		}
	}
	for setting, expected := range map[string]string{"limits.probing=yes": "true, false", "clients.marks_retry=1": "true, false",
		"family_info.checks=wait": "silent, bounce, await", "family_info.write_marks=none": "brought, kept",
		"registry_mode=push": "pushed, on_request"} {
		path, value, _ := strings.Cut(setting, "=")
		if _, err := (Values{path: value}).Read(); err == nil ||
			err.Error() != "setting "+path+`="`+value+`": expected one of `+expected {
			t.Errorf("%s: got error %v, want one that names the possible values", setting, err)
		}
	}
	if _, err := FromText([]byte("round")); err == nil {
		t.Error("FromText accepted a line without a value, want an error")
	}
	if _, err := FromJSON([]byte(`{"round":`)); err == nil {
		t.Error("FromJSON accepted a truncated object, want an error")
	}
}
