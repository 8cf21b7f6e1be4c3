package main

import "time"

type object = map[string]any

const ms = int64(time.Millisecond)

// capitol returns the settings of capitol-assessor at its first size, in the form of the simulator's first message.
func capitol(gateways int) object {
	class := func(name, effect, scope string, target, giveUp, window int64, late, worth float64) object {
		return object{"name": name, "effect": effect, "dedup_scope": scope, "target": target * ms, "give_up": giveUp * ms,
			"window": window * ms, "late_value": late, "worth": worth, "stream": false}
	}
	return object{
		"balancers": gateways, "round": 5 * ms, "registry_mode": "on_request", "workload": "replicas",
		"classes": []any{
			class("parcel-lookup", "retryable", "all", 500, 1200, 5000, 0, 2),
			class("own-edit-view", "retryable", "all", 600, 2000, 5000, 0, 1),
			class("declaration-save", "dedup", "cell", 600, 3000, 2000, 0.3, 3)},
		"clients": object{"marks_retry": true},
		"family_info": object{"checks": "bounce", "lag_allowed": []any{200 * ms, 0, 0}, "catch_up_wait": 0,
			"needs_by_class": []any{"lag_bound", "causal", "mutate"}, "role_in_list": "static", "sync": false,
			"tells_position": true, "write_marks": "brought"},
		"limits": object{"connect_timeout": 250 * ms, "keepalive": 30000 * ms, "max_attempts": 8, "max_retry_after": 2000 * ms,
			"may_cancel": true, "probing": true, "retry_after": true, "second_copies": false, "streams_per_conn": 1},
		"report": object{"via": "pull", "names": []any{"x0", "x1"}},
		"rules": object{"answer_slack": 20 * ms, "cold": 18000 * ms, "cold_from": 0.17, "drain_grace": 250 * ms, "fall": 3000 * ms,
			"must_ask_in": 10000 * ms, "overload_factor": 4.0},
		"models": []any{"std"}, "zones": []any{"a"}, "tenants": []any{}, "zone": 0, "me": 0,
	}
}

// agenda returns the settings of agenda-santiago at its first size.
func agenda(gateways int) object {
	s := capitol(gateways)
	class := func(name, effect string, target, giveUp int64, late, worth float64) object {
		return object{"name": name, "effect": effect, "dedup_scope": "all", "target": target * ms, "give_up": giveUp * ms,
			"window": 5000 * ms, "late_value": late, "worth": worth, "stream": false}
	}
	s["registry_mode"] = "pushed"
	s["classes"] = []any{
		class("slot-browse", "retryable", 300, 1000, 0, 1),
		class("own-view", "retryable", 600, 2000, 0, 3),
		class("book", "fragile", 500, 5000, 0.7, 4)}
	s["clients"] = object{"marks_retry": false}
	s["family_info"] = object{"checks": "await", "lag_allowed": []any{1500 * ms, 0, 0}, "catch_up_wait": 20 * ms,
		"needs_by_class": []any{"lag_bound", "causal", "mutate"}, "role_in_list": "trailing", "sync": false,
		"tells_position": false, "write_marks": "brought"}
	s["limits"] = object{"connect_timeout": 250 * ms, "keepalive": 15000 * ms, "max_attempts": 6, "max_retry_after": 500 * ms,
		"may_cancel": true, "probing": true, "retry_after": true, "second_copies": true, "streams_per_conn": 8}
	s["report"] = object{"via": "pull", "names": []any{"x0", "x1", "inflight"}}
	s["rules"] = object{"answer_slack": 20 * ms, "cold": 17000 * ms, "cold_from": 0.19, "drain_grace": 1000 * ms, "fall": 2000 * ms,
		"overload_factor": 2.5}
	return s
}
