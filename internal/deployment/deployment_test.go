package deployment

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"gorsewell/choice"
)

const asText = `balancers=2
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

const asJSON = `{"balancers":2,"classes":[
{"dedup_scope":"all","effect":"retryable","give_up":1.2e9,"name":"lookup","target":500000000.0,"worth":2.0,"window":null},
{"dedup_scope":"cell","effect":"dedup","late_value":0.3,"name":"save","window":2000000000}],
"family_info":{"checks":"bounce","lag_allowed":[200000000,0],"needs_by_class":["lag_bound","mutate"],
"write_marks":"brought","zero":620894735627000},
"limits":{"connect_timeout":250000000,"keepalive":30000000000,"max_attempts":8,"max_retry_after":2000000000,
"probing":true,"retry_after":true},
"models":["std 3core","big"],"registry_mode":"on_request","report":{"names":["x0","x1"],"via":"pull"},"round":5000000,
"rules":{"cold_from":0.17,"must_ask_in":10000000000},"zones":["a","b"],"tenants":[],"unheard":{"of":[{"x":1},2]}}`

func TestTextAndJSONTellTheSame(t *testing.T) {
	v, err := FromText([]byte(asText))
	if err != nil {
		t.Fatal(err)
	}
	text, err := v.Read()
	if err != nil {
		t.Fatal(err)
	}
	if v, err = FromJSON([]byte(asJSON)); err != nil {
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

func TestMissingValuesReadAsZero(t *testing.T) {
	told, err := Values{}.Read()
	if err != nil || !reflect.DeepEqual(told, &Told{}) {
		t.Errorf("%+v, %v", told, err)
	}
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
