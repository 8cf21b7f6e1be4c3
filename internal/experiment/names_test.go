package experiment

import (
	"encoding/json"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"gorsewell/internal/emulator"
	"gorsewell/internal/yamlfile"
)

// jsonKeys lists the paths of all keys of a value's JSON, sorted.
func jsonKeys(t *testing.T, value any) string {
	t.Helper()
	text, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	var decoded any
	if err := json.Unmarshal(text, &decoded); err != nil {
		t.Fatal(err)
	}
	paths := map[string]bool{}
	var walk func(path string, value any)
	walk = func(path string, value any) {
		switch value := value.(type) {
		case map[string]any:
			for key, inner := range value {
				paths[path+key] = true
				walk(path+key+".", inner)
			}
		case []any:
			for _, inner := range value {
				walk(path, inner)
			}
		}
	}
	walk("", decoded)
	var all []string
	for path := range paths {
		all = append(all, path)
	}
	slices.Sort(all)
	return strings.Join(all, " ")
}

// compare fails the test if got is not want.
func compare(t *testing.T, what, got, want string) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got\n%s\nwant\n%s", what, got, want)
	}
}

// Later versions and operators' tools read the keys of stored runs and results. The keys of a world and its
// faults are part of the hash by which a stored run is found.
func TestKeysOfStoredResults(t *testing.T) {
	run := Run{Metrics: map[string]float64{}, Windows: []emulator.Window{{}}, Events: []emulator.Event{{}},
		Stories: []emulator.Story{{}}}
	compare(t, "the keys of a run", jsonKeys(t, run),
		"arm events events.At events.What key metrics seed stories stories.At stories.Gateway stories.Op stories.OpType "+
			"stories.Rule stories.What windows windows.Asked windows.Earned windows.Value")
	result := Result{Arms: map[string]map[string]Estimate{"ARM": {"METRIC": {}}}, Expect: []Outcome{{}},
		Stories: []emulator.Story{{}}}
	compare(t, "the keys of a result", jsonKeys(t, result),
		"arms arms.ARM arms.ARM.METRIC arms.ARM.METRIC.high arms.ARM.METRIC.least arms.ARM.METRIC.low arms.ARM.METRIC.mean "+
			"arms.ARM.METRIC.most expect expect.bound expect.high expect.holds expect.low expect.name expect.value experiment "+
			"order seeds stories stories.At stories.Gateway stories.Op stories.OpType stories.Rule stories.What")
	world := emulator.Default()
	world.Load.Curve = []emulator.Point{{}}
	compare(t, "the keys of a world", jsonKeys(t, world),
		"Clients Clients.Backoff Clients.Follows Clients.Gap Clients.Honour Clients.Marks Clients.Patience Clients.Retries "+
			"Clients.Roam Clients.Sessions Failover Failover.Detect Failover.Elect Failover.Hand Gateways Gateways.Cancels "+
			"Gateways.ComeBack Gateways.Count Gateways.FrontKnows Gateways.MaxSends Gateways.Probes Gateways.Round Gossip "+
			"Gossip.BytesPerSecond Gossip.Datagram Gossip.DatagramsPerTell Gossip.Members Gossip.ObserversPerServer "+
			"Gossip.ProbeEvery Gossip.ProbeTimeout Gossip.RumourLife Gossip.Rumours Gossip.RumoursPerObserver Gossip.SuspectFor "+
			"Gossip.SyncEvery Gossip.TellEvery Gossip.Warm Length List List.Added List.Asked List.Call List.Down List.Roles "+
			"List.RolesLate List.Spread List.Timeout List.Vanished List.Within Load Load.Arrivals Load.Curve Load.Curve.At "+
			"Load.Curve.Factor Load.PerSecond Load.Quantum Load.Skew Load.Use Log Log.Apply Log.Seed Log.Ship Network "+
			"Network.Between Network.Client Network.Jitter Network.Loss Network.Reorder Network.Twice Network.Within OpTypes "+
			"OpTypes.Bound OpTypes.Effect OpTypes.Exp OpTypes.HoldsApply OpTypes.LateValue OpTypes.Name OpTypes.Need OpTypes.Noise "+
			"OpTypes.Scope OpTypes.Share OpTypes.Target OpTypes.Timeout OpTypes.Value OpTypes.Vary OpTypes.Window OpTypes.Work "+
			"Reports Reports.Answers Reports.Carried Reports.Checks Reports.GoneRuns Reports.OnHung Reports.Probes Reports.Refresh "+
			"Reports.Timeout Reports.Work Rules Rules.FallTime Rules.Grace Rules.Overload Rules.Slack Servers Servers.CancelStop "+
			"Servers.ColdFrom Servers.ColdTime Servers.ConnectFor Servers.Conns Servers.Drain Servers.Groups Servers.Handshake "+
			"Servers.Idle Servers.Kinds Servers.Kinds.Cores Servers.Kinds.Name Servers.Kinds.Speed Servers.Members Servers.Queue "+
			"Servers.RoundTrips Servers.Spread Zones")
	compare(t, "the keys of a fault", jsonKeys(t, emulator.Fault{}),
		"At Back Count Every For Group How Kind Of Share Size Zone")
	compare(t, "the keys of an arm", jsonKeys(t, emulator.Arm{}), "Gossip Policy")
}

// A run that an earlier build has stored is found by this hash, so only a new emulator.ModelVersion may change it.
func TestHashOfRunIsStable(t *testing.T) {
	arm := Arm{Name: "a", World: emulator.World{Length: time.Second}, Faults: []emulator.Fault{{Kind: "hang", Size: 2}},
		Decider: emulator.Arm{Policy: "two", Gossip: true}}
	if got, want := arm.key(3), "b95bbcf2e4b68bc6"; got != want {
		t.Errorf("key of the run: got %s, want %s", got, want)
	}
}

// The keys of experiment files are in operators' files and must not change with the names of fields.
func TestKeysOfExperimentFiles(t *testing.T) {
	var keys []string
	var walk func(prefix string, structure reflect.Type)
	walk = func(prefix string, structure reflect.Type) {
		for structure.Kind() == reflect.Slice || structure.Kind() == reflect.Map || structure.Kind() == reflect.Pointer {
			structure = structure.Elem()
		}
		if structure.Kind() != reflect.Struct {
			return
		}
		names, index := yamlfile.Fields(structure)
		for _, name := range names {
			keys = append(keys, prefix+name)
			walk(prefix+name+".", structure.FieldByIndex(index[name]).Type)
		}
	}
	walk("", reflect.TypeFor[File]())
	compare(t, "the keys of an experiment file", strings.Join(keys, " "),
		"name about world world.length world.zones world.network world.network.within world.network.between "+
			"world.network.client world.network.jitter world.network.loss world.network.twice world.network.reorder world.gateways "+
			"world.gateways.count world.gateways.round world.gateways.max_sends world.gateways.probes world.gateways.cancels "+
			"world.gateways.come_back world.gateways.front_knows world.servers world.servers.groups world.servers.members "+
			"world.servers.kinds world.servers.kinds.name world.servers.kinds.cores world.servers.kinds.speed "+
			"world.servers.speed_spread world.servers.queue world.servers.cancel_stops world.servers.cold_from "+
			"world.servers.cold_time world.servers.connections world.servers.idle world.servers.handshake "+
			"world.servers.round_trips world.servers.connect_for world.servers.drain world.log world.log.ship world.log.apply "+
			"world.log.seed world.failover world.failover.detect world.failover.elect world.failover.hand world.list "+
			"world.list.asked world.list.down world.list.vanished world.list.added world.list.spread world.list.call "+
			"world.list.timeout world.list.roles world.list.roles_late world.list.ask_within world.reports world.reports.answers "+
			"world.reports.probes world.reports.refresh world.reports.work world.reports.checks world.reports.on_hung "+
			"world.reports.timeout world.reports.carried world.reports.gone_run world.clients world.clients.retries "+
			"world.clients.backoff world.clients.honour world.clients.marks world.clients.patience world.clients.sessions "+
			"world.clients.roam world.clients.follows world.clients.gap world.load world.load.per_second world.load.use "+
			"world.load.curve world.load.curve.at world.load.curve.factor world.load.arrivals world.load.skew world.load.quantum "+
			"world.op_types world.op_types.name world.op_types.share world.op_types.work world.op_types.vary "+
			"world.op_types.exponential world.op_types.noise world.op_types.target world.op_types.timeout world.op_types.value "+
			"world.op_types.late_value world.op_types.effect world.op_types.scope world.op_types.window world.op_types.need "+
			"world.op_types.bound world.op_types.holds_apply world.rules world.rules.grace world.rules.slack world.rules.overload "+
			"world.rules.fall_time world.gossip world.gossip.probe_every world.gossip.probe_timeout world.gossip.suspect_for "+
			"world.gossip.tell_every world.gossip.sync_every world.gossip.rumour_life world.gossip.members world.gossip.rumours "+
			"world.gossip.rumours_per_observer world.gossip.observers_per_server world.gossip.datagram "+
			"world.gossip.datagrams_per_tell world.gossip.bytes_per_second world.gossip.warm faults faults.kind faults.at "+
			"faults.for faults.share faults.count faults.of faults.zone faults.group faults.size faults.back faults.every "+
			"faults.how arms arms.policy arms.gossip arms.world arms.faults arms.more arms.without arms.label seeds seed_from "+
			"expect expect.name expect.metric expect.arm expect.over expect.less expect.between expect.of expect.at_least "+
			"expect.at_most charts charts.name charts.kind charts.metric charts.arms charts.title charts.x charts.y base")
}

// Experiment files name faults, policies and metrics; results name metrics.
func TestNamesInExperimentFiles(t *testing.T) {
	faults, _ := emulator.FaultKinds()
	compare(t, "the kinds of faults", strings.Join(faults, " "),
		"burst crash deploy drain error gateway_crash gateway_pause gateway_roll hang liar list_down list_frozen list_silent "+
			"list_wrong lying_position mass_restart neighbour network one_sided partition probe_fail refuse slow slow_apply "+
			"squeeze vanish")
	compare(t, "the policies", strings.Join(emulator.Policies, " "), "module oracle primary turns least two")
	compare(t, "the variants of liars", strings.Join(emulator.LiarVariants, " "),
		"primaries all accuse replay future contradict praise names")
	var metrics []string
	for _, m := range MetricDocs() {
		metrics = append(metrics, m[0])
	}
	compare(t, "the metrics", strings.Join(metrics, " "),
		"service worst10 worst_type rules_broken sends_per_op probes_per_op busy_share errored_share retries_per_op "+
			"work_per_op troubles_per_second gossip_bytes gossip_worst gossip_false_deaths gossip_deaths gossip_rumours "+
			"gossip_contradicted service.OPTYPE p50.OPTYPE p99.OPTYPE late_share.OPTYPE failed_share.OPTYPE")
}
