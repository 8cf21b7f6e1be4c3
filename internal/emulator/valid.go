package emulator

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"gorsewell/internal/yamlfile"
)

// Valid adds the problems of a world to the file from which it was read. key is the key of the world in that file.
func (w *World) Valid(f *yamlfile.File, key string) {
	at := func(name string) string { return key + "." + name }
	positive := func(name string, v float64) {
		if v <= 0 {
			f.AddProblem(at(name), "must be more than 0")
		}
	}
	share := func(name string, v float64) {
		if v < 0 || v > 1 {
			f.AddProblem(at(name), "%v is not a share from 0 to 1", v)
		}
	}
	oneOf := func(name, v string, all ...string) {
		if !slices.Contains(all, v) {
			f.AddProblem(at(name), "%q is not one of %v", v, all)
		}
	}
	within := func(name string, v, limit int) {
		if v < 1 || v > limit {
			f.AddProblem(at(name), "%d is not within 1 to %d", v, limit)
		}
	}
	positive("length", float64(w.Length))
	if w.Length > 24*time.Hour {
		f.AddProblem(at("length"), "%v is more than 24h", w.Length)
	}
	within("zones", w.Zones, 200)
	within("gateways.count", w.Gateways.Count, 1000)
	within("gateways.max_sends", w.Gateways.MaxSends, 200)
	if w.Gateways.Round < time.Millisecond {
		f.AddProblem(at("gateways.round"), "%v is less than 1ms", w.Gateways.Round)
	}
	within("servers.groups", w.Servers.Groups, 4000)
	within("servers.members", w.Servers.Members, 32)
	if n := w.Servers.Groups * w.Servers.Members; n > 20000 {
		f.AddProblem(at("servers.groups"), "groups times members makes %d servers, want at most 20000", n)
	}
	within("servers.queue", w.Servers.Queue, 1<<20)
	if len(w.Servers.Kinds) == 0 {
		f.AddProblem(at("servers.kinds"), "at least one kind is needed")
	}
	for i, k := range w.Servers.Kinds {
		within(fmt.Sprintf("servers.kinds[%d].cores", i), k.Cores, 1024)
		positive(fmt.Sprintf("servers.kinds[%d].speed", i), k.Speed)
	}
	if w.Servers.Spread < 0 || w.Servers.Spread >= 1 {
		f.AddProblem(at("servers.speed_spread"), "%v is not from 0 to less than 1", w.Servers.Spread)
	}
	share("servers.cold_from", w.Servers.ColdFrom)
	for name, v := range map[string]float64{"network.loss": w.Network.Loss, "network.twice": w.Network.Twice,
		"network.reorder": w.Network.Reorder, "clients.honour": w.Clients.Honour, "clients.patience": w.Clients.Patience,
		"clients.roam":    w.Clients.Roam,
		"clients.follows": w.Clients.Follows, "load.skew": w.Load.Skew} {
		share(name, v)
	}
	oneOf("list.roles", w.List.Roles, "none", "start", "late")
	oneOf("reports.checks", w.Reports.Checks, "none", "refuses", "waits")
	if w.Load.PerSecond <= 0 && w.Load.Use <= 0 && len(w.Load.Arrivals) == 0 {
		f.AddProblem(at("load"), "one of per_second, use and arrivals is needed")
	}
	for i := 1; i < len(w.Load.Curve); i++ {
		if w.Load.Curve[i].At <= w.Load.Curve[i-1].At {
			f.AddProblem(at(fmt.Sprintf("load.curve[%d].at", i)), "is not later than the previous point")
		}
	}
	for i := 1; i < len(w.Load.Arrivals); i++ {
		if w.Load.Arrivals[i] < w.Load.Arrivals[i-1] {
			f.AddProblem(at(fmt.Sprintf("load.arrivals[%d]", i)), "is earlier than the previous arrival")
			break
		}
	}
	if len(w.OpTypes) == 0 || len(w.OpTypes) > 200 {
		f.AddProblem(at("op_types"), "%d op types are not within 1 to 200", len(w.OpTypes))
	}
	shares := 0.0
	for i, t := range w.OpTypes {
		opTypeKey := func(name string) string { return fmt.Sprintf("op_types[%d].%s", i, name) }
		oneOf(opTypeKey("need"), t.Need, "write", "fresh", "session", "bounded", "any")
		oneOf(opTypeKey("effect"), t.Effect, "retryable", "tokened", "non_retryable")
		oneOf(opTypeKey("scope"), t.Scope, "group", "zone", "all")
		positive(opTypeKey("work"), float64(t.Work))
		positive(opTypeKey("target"), float64(t.Target))
		positive(opTypeKey("timeout"), float64(t.Timeout))
		if t.Timeout < t.Target {
			f.AddProblem(at(opTypeKey("timeout")), "%v is less than the target %v", t.Timeout, t.Target)
		}
		if t.Share < 0 || t.Vary < 0 || t.Noise < 0 || t.Value < 0 {
			f.AddProblem(at(opTypeKey("share")), "share, vary, noise and value must be 0 or more")
		}
		shares += t.Share
	}
	if shares <= 0 && len(w.OpTypes) > 0 {
		f.AddProblem(at("op_types"), "no op type has a share above 0")
	}
}

// check returns the problems of a world that was not read from a file.
func (w *World) check() error {
	f := yamlfile.Read("world", nil, &struct{}{})
	w.Valid(f, "world")
	return f.Err()
}

// ValidFaults adds the problems of faults to the file from which they were read. key is the key of their list.
func ValidFaults(f *yamlfile.File, key string, faults []Fault, w *World) {
	names, _ := FaultKinds()
	for i, fault := range faults {
		at := fmt.Sprintf("%s[%d]", key, i)
		if faultKinds[fault.Kind] == nil {
			f.AddProblem(at+".kind", "unknown kind of fault %q, want one of %s", fault.Kind, strings.Join(names, ", "))
			continue
		}
		if fault.Share < 0 || fault.Share > 1 {
			f.AddProblem(at+".share", "%v is not a share from 0 to 1", fault.Share)
		}
		if fault.Count < 0 || fault.Size < 0 || fault.For < 0 || fault.Back < 0 || fault.Every < 0 {
			f.AddProblem(at, "count, size, for, back and every must be 0 or more")
		}
		if fault.At > w.Length {
			f.AddProblem(at+".at", "%v is after the end of the run at %v", fault.At, w.Length)
		}
		if !slices.Contains([]string{"", "all", "primaries", "replicas"}, fault.Of) {
			f.AddProblem(at+".of", "%q is not one of all, primaries and replicas", fault.Of)
		}
		if fault.Zone < 0 || fault.Zone > w.Zones {
			f.AddProblem(at+".zone", "%d is not one of the %d zones, which count from 1", fault.Zone, w.Zones)
		}
		if fault.Group < 0 || fault.Group > w.Servers.Groups {
			f.AddProblem(at+".group", "%d is not one of the %d groups, which count from 1", fault.Group, w.Servers.Groups)
		}
		if fault.Every > 0 && fault.Every < 100*time.Millisecond {
			f.AddProblem(at+".every", "%v is less than 100ms", fault.Every)
		}
		variants := map[string][]string{"liar": append(slices.Clone(LiarVariants), "", "mixed"),
			"one_sided": {"", "answers", "sends"}, "partition": {"", "one_way"}}[fault.Kind]
		if variants == nil {
			variants = []string{""}
		}
		if !slices.Contains(variants, fault.How) {
			f.AddProblem(at+".how", "%q is not a variant of %s", fault.How, fault.Kind)
		}
		shares := map[string]bool{"error": true, "probe_fail": true, "neighbour": true, "one_sided": true, "partition": true,
			"network": true, "deploy": true}
		if shares[fault.Kind] && fault.Size > 1 {
			f.AddProblem(at+".size", "%v is not a share from 0 to 1", fault.Size)
		}
	}
}
