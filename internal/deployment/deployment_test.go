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

func TestTextAndJSONTellTheSame(t *testing.T) {
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
		t.Errorf("text %+v\nJSON %+v", text, nested)
	}
	lookup := choice.OpType{Effect: choice.Retryable, Scope: choice.ScopeAll, Need: choice.Bounded,
		Bound: 200 * time.Millisecond, Target: 500 * time.Millisecond, Timeout: 1200 * time.Millisecond, Value: 2}
	if nested.OpTypes[0] != lookup || nested.OpTypes[1].Effect != choice.Tokened || nested.OpTypes[1].Need != choice.Write ||
		!nested.ReportsPosition || nested.MaxComeBack != 2*time.Second || nested.Checks != choice.Refuses ||
		nested.IdleTime != 30*time.Second || nested.AskWithin != 10*time.Second || !nested.ListAsked {
		t.Errorf("%+v", nested)
	}
}

// A deployment that says nothing of marks is taken as before: next tries are marked there or not known at all.
func TestUnmarkedRetriesAreOnlyWhatTheSettingsSay(t *testing.T) {
	for value, unmarked := range map[string]bool{"": false, "true": false, "false": true} {
		told, err := Values{"clients.marks_retry": value}.Read()
		if err != nil || told.RetriesUnmarked != unmarked {
			t.Errorf("%q: %+v, %v", value, told, err)
		}
	}
}

func TestMissingValuesReadAsZeroOrBindNobody(t *testing.T) {
	told, err := Values{}.Read()
	if err != nil || !reflect.DeepEqual(told, &Told{Deployment: choice.Deployment{MaxSends: maxSendsPerOp}}) {
		t.Errorf("%+v, %v", told, err)
	}
	told, err = Values{"classes.count": "3", "classes.0.name": "Any Name, really", "classes.0.give_up": "3000000000", "classes.1.name": "any name, really",
		"classes.1.target": "200000000", "classes.2.name": "?", "rules.cold": "9000000000", "rules.fall": "3000000000", "limits.connect_timeout": "0"}.Read()
	if err != nil {
		t.Fatal(err)
	}
	for i, want := range [][2]time.Duration{{3 * time.Second, 3 * time.Second}, {200 * time.Millisecond, unlimited}, {unlimited, unlimited}} {
		if o := told.OpTypes[i]; o.Target != want[0] || o.Timeout != want[1] {
			t.Errorf("op type %d: %v and %v, want %v", i, o.Target, o.Timeout, want)
		}
	}
	if told.MaxSends != maxSendsPerOp || told.ColdTime != 0 || told.ConnectTimeout != 3*time.Second {
		t.Errorf("%+v", told)
	}
}

// What no deployment can mean is told in one line, by its path.
func TestSettingsThatCannotBeMeantAreRefused(t *testing.T) {
	one := func(more ...string) Values {
		v := Values{"classes.count": "1", "classes.0.name": "a", "classes.0.target": "1000000"}
		for i := 0; i < len(more); i += 2 {
			v[more[i]] = more[i+1]
		}
		return v
	}
	for part, v := range map[string]Values{
		"latency target (target)":            one("classes.0.target", ""),
		"classes.0.name is missing":          one("classes.0.name", ""),
		"stands for another":                 one("classes.count", "2", "classes.1.name", "a"),
		"257 op types":                       one("classes.count", "257"),
		`classes.0.give_up="-1"`:             one("classes.0.give_up", "-1"),
		`family_info.lag_allowed="-200"`:     one("family_info.lag_allowed", "-200"),
		`limits.connect_timeout="-1"`:        one("limits.connect_timeout", "-1"),
		`rules.fall="100000000000000000000"`: one("rules.fall", "100000000000000000000"),
	} {
		if _, err := v.Read(); err == nil || !strings.Contains(err.Error(), part) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", part, err)
		}
	}
	if _, err := one().Read(); err != nil {
		t.Error(err)
	}
}

// noopHost is a host that does nothing.
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
func (noopHost) Log(string)                         {}

// No settings, whatever they say, make the module panic.
func FuzzSettings(f *testing.F) {
	f.Add([]byte(textSettings))
	f.Add([]byte("classes.count=1\nclasses.0.name=a\nclasses.0.target=1\nclasses.0.worth=-1\nrules.cold=1\nrules.fall=1\nrules.overload_factor=1e308"))
	f.Fuzz(func(t *testing.T, text []byte) {
		v, err := FromText(text)
		if err != nil {
			return
		}
		told, err := v.Read()
		if err != nil {
			return
		}
		g := choice.New(noopHost{}, &told.Deployment)
		g.List(0, choice.ListCached, []choice.Listed{{ID: 1, State: choice.Ready, Primary: true}, {ID: 2, State: choice.Ready}})
		for i := range told.OpTypes {
			now := time.Duration(i+1) * time.Millisecond
			g.Op(now, uint32(i), uint8(i), 0, now+time.Second, 0, 0, false)
			g.Answer(now+1, uint32(i), 0, 1, choice.Acked, 1, false, choice.Primary, now)
			g.Timer(now+2, 0)
		}
		g.Stop(time.Second)
	})
}

func TestBadValuesAreNamed(t *testing.T) {
	for path, value := range map[string]string{"round": "5ms", "balancers": "NaN",
		"rules.fall": "1.5", "family_info.zero": "-1"} {
		if _, err := (Values{path: value}).Read(); err == nil || err.Error() != "setting "+path+`="`+value+`" does not parse` {
			t.Errorf("%s=%s: %v", path, value, err)
		}
	}
	for setting, right := range map[string]string{"limits.probing=yes": "true, false", "clients.marks_retry=1": "true, false",
		"family_info.checks=wait": "silent, bounce, await", "family_info.write_marks=none": "brought, kept",
		"registry_mode=push": "pushed, on_request"} {
		path, value, _ := strings.Cut(setting, "=")
		if _, err := (Values{path: value}).Read(); err == nil ||
			err.Error() != "setting "+path+`="`+value+`" has to be one of `+right {
			t.Errorf("%s: %v", setting, err)
		}
	}
	if _, err := FromText([]byte("round")); err == nil {
		t.Error("a line without a value was read")
	}
	if _, err := FromJSON([]byte(`{"round":`)); err == nil {
		t.Error("half an object was read")
	}
}
