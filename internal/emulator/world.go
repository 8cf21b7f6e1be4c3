package emulator

import (
	"time"

	"gorsewell/internal/yamlfile"
)

// World describes a deployment and its load. Shares are numbers from 0 to 1. Work is the time that a core of speed 1
// needs for an op alone.
type World struct {
	Length   time.Duration `yaml:"length"` // time during which ops arrive; up to a minute follows for the last answers
	Zones    int           `yaml:"zones"`  // number of zones, to which servers and gateways are assigned in turn
	Network  Network       `yaml:"network"`
	Gateways Gateways      `yaml:"gateways"`
	Servers  Servers       `yaml:"servers"`
	Log      Log           `yaml:"log"` // replication
	Failover Failover      `yaml:"failover"`
	List     List          `yaml:"list"` // discovery
	Reports  Reports       `yaml:"reports"`
	Clients  Clients       `yaml:"clients"`
	Load     Load          `yaml:"load"`
	OpTypes  []OpType      `yaml:"op_types"`
	Rules    Rules         `yaml:"rules"` // limits of the five rules
	Gossip   Gossip        `yaml:"gossip"`
}

// Network describes the network. Delays are for one direction.
type Network struct {
	Within  time.Duration `yaml:"within"`  // delay within a zone
	Between time.Duration `yaml:"between"` // delay between zones
	Client  time.Duration `yaml:"client"`  // delay between a client and its gateway
	Jitter  float64       `yaml:"jitter"`  // mean of the random part that is added to a delay, as a share of it
	Loss    float64       `yaml:"loss"`    // share of datagrams that are lost; streams only get slower
	Twice   float64       `yaml:"twice"`   // share of datagrams that arrive a second time
	Reorder float64       `yaml:"reorder"` // share of datagrams that take ten times as long
}

// Gateways describes the gateway instances.
type Gateways struct {
	Count      int           `yaml:"count"`
	Round      time.Duration `yaml:"round"`       // least time between two timer events of the decision module
	MaxSends   int           `yaml:"max_sends"`   // most sends of one op
	Probes     bool          `yaml:"probes"`      // servers may be probed
	Cancels    bool          `yaml:"cancels"`     // sends may be cancelled
	ComeBack   time.Duration `yaml:"come_back"`   // longest wait named in a busy reply that clients honour
	FrontKnows time.Duration `yaml:"front_knows"` // time until the front end stops sending to an instance that is down
}

// Servers describes the servers and their machines.
type Servers struct {
	Groups     int           `yaml:"groups"`
	Members    int           `yaml:"members"`      // servers in a group, the primary included
	Kinds      []Kind        `yaml:"kinds"`        // kinds of machines, which are assigned to the groups in turn
	Spread     float64       `yaml:"speed_spread"` // greatest deviation from the speed of the kind, as a share
	Queue      int           `yaml:"queue"`        // most ops that wait for a core, for each core
	CancelStop bool          `yaml:"cancel_stops"` // a send that is given up before it has a core is dropped
	ColdFrom   float64       `yaml:"cold_from"`    // share of its speed with which a machine starts
	ColdTime   time.Duration `yaml:"cold_time"`    // time from the start until it has its full speed
	Conns      int           `yaml:"connections"`  // most connections that a server accepts; 0: no limit
	Idle       time.Duration `yaml:"idle"`         // time that a connection may be unused; gateways close it after half
	Handshake  time.Duration `yaml:"handshake"`    // work of a server to accept a new connection
	RoundTrips int           `yaml:"round_trips"`  // round trips that a new connection needs before its first op
	ConnectFor time.Duration `yaml:"connect_for"`  // time after which a gateway gives up a new connection
	Drain      time.Duration `yaml:"drain"`        // time for which a draining server stays up
}

// Kind is one kind of machine.
type Kind struct {
	Name  string  `yaml:"name"`
	Cores int     `yaml:"cores"`
	Speed float64 `yaml:"speed"` // work that a core does per unit of time; see World
}

// SetDefaults sets the values of settings that are missing in a file.
func (k *Kind) SetDefaults() { k.Cores, k.Speed = 3, 1 }

// Log describes the replication of the log from the primary.
type Log struct {
	Ship  time.Duration `yaml:"ship"`  // time until a commit has reached a replica
	Apply time.Duration `yaml:"apply"` // mean work to apply one commit, in a single thread of the replica
	Seed  time.Duration `yaml:"seed"`  // age of the copy from which a new server starts
}

// Failover describes how a group gets another primary.
type Failover struct {
	Detect time.Duration `yaml:"detect"` // time until a primary that has crashed, vanished or hangs is given up
	Elect  time.Duration `yaml:"elect"`  // time from then until another takes over
	Hand   time.Duration `yaml:"hand"`   // time until a draining primary has handed over
}

// List describes the discovery service, which keeps the list of servers.
type List struct {
	Asked     bool          `yaml:"asked"`      // gateways request the list, else every change is pushed to them
	Down      time.Duration `yaml:"down"`       // delay until the end of a process is noticed
	Vanished  time.Duration `yaml:"vanished"`   // delay until it is noticed that a machine does not answer
	Added     time.Duration `yaml:"added"`      // delay until the start, drain or promotion of a server is listed
	Spread    time.Duration `yaml:"spread"`     // greatest delay until a gateway receives a change
	Call      time.Duration `yaml:"call"`       // time that one request keeps the service busy
	Timeout   time.Duration `yaml:"timeout"`    // time after which a request fails
	Roles     string        `yaml:"roles"`      // listed primaries: none, those at the start (start) or the present (late)
	RolesLate time.Duration `yaml:"roles_late"` // with roles late: the primaries are updated every half of this time
	Within    time.Duration `yaml:"ask_within"` // a gateway that last received the list longer ago counts as knowing it
}

// Reports describes what servers report of themselves.
type Reports struct {
	Answers  bool          `yaml:"answers"`  // answers carry the role and the position
	Probes   bool          `yaml:"probes"`   // probe answers carry the role and the position
	Refresh  time.Duration `yaml:"refresh"`  // greatest age of the position in a probe answer
	Work     time.Duration `yaml:"work"`     // work of a server to answer a probe
	Checks   string        `yaml:"checks"`   // what a server does if its data is too old for a read: none, refuses, waits
	OnHung   bool          `yaml:"on_hung"`  // a server that hangs still answers probes
	Timeout  time.Duration `yaml:"timeout"`  // time after which a probe without an answer has failed
	Carried  bool          `yaml:"carried"`  // session reads carry the age of their session's last write
	GoneRuns bool          `yaml:"gone_run"` // servers that are listed as gone may still be running
}

// Clients describes how clients behave.
type Clients struct {
	Retries  int           `yaml:"retries"`  // most retries of a request
	Backoff  time.Duration `yaml:"backoff"`  // wait before each retry
	Honour   float64       `yaml:"honour"`   // share of clients that wait before a retry for as long as a busy reply says
	Marks    bool          `yaml:"marks"`    // retries are marked as such
	Patience float64       `yaml:"patience"` // least share of the op timeout for which a client waits
	Sessions int           `yaml:"sessions"` // number of sessions for each gateway
	Roam     float64       `yaml:"roam"`     // share of a session's ops that go to a random gateway
	Follows  float64       `yaml:"follows"`  // share of session reads that follow a write of their session
	Gap      time.Duration `yaml:"gap"`      // mean time between that write and the read
}

// Load describes how many ops the clients send, and when.
type Load struct {
	PerSecond float64       `yaml:"per_second"` // ops per second; 0: derived from Use
	Use       float64       `yaml:"use"`        // load as a share of the capacity of all servers
	Curve     []Point       `yaml:"curve"`      // factors over time, interpolated linearly
	Arrivals  []float64     `yaml:"arrivals"`   // recorded times of ops in seconds, instead of random ones
	Skew      float64       `yaml:"skew"`       // greatest deviation of a group from the mean load, as a share
	Quantum   time.Duration `yaml:"quantum"`    // ignored
}

// Point is a factor on the load at a time.
type Point struct {
	At     time.Duration `yaml:"at"`
	Factor float64       `yaml:"factor"`
}

// OpType is one type of op.
type OpType struct {
	Name       string        `yaml:"name"`
	Share      float64       `yaml:"share"`       // weight among the op types
	Work       time.Duration `yaml:"work"`        // mean work
	Vary       float64       `yaml:"vary"`        // standard deviation of the lognormal work, divided by its mean
	Exp        bool          `yaml:"exponential"` // the work has an exponential distribution instead, and Vary no effect
	Noise      float64       `yaml:"noise"`       // standard deviation of the lognormal factor on the work of each send
	Target     time.Duration `yaml:"target"`      // latency target
	Timeout    time.Duration `yaml:"timeout"`     // op timeout
	Value      float64       `yaml:"value"`       // earned by an ack within the latency target
	LateValue  float64       `yaml:"late_value"`  // share of Value earned by an ack after the latency target
	Effect     string        `yaml:"effect"`      // retryable, tokened or non_retryable
	Scope      string        `yaml:"scope"`       // servers that drop repeats of a tokened op: group, zone or all
	Window     time.Duration `yaml:"window"`      // time for which these servers drop repeats
	Need       string        `yaml:"need"`        // data that the op needs: write, fresh, session, bounded or any
	Bound      time.Duration `yaml:"bound"`       // greatest age of the data that a bounded read accepts
	HoldsApply bool          `yaml:"holds_apply"` // while a replica works on such an op, it does not apply the log
}

// SetDefaults sets the values of settings that are missing in a file: those of a read that accepts data of any age.
func (o *OpType) SetDefaults() {
	*o = OpType{Share: 1, Work: 20 * time.Millisecond, Vary: 0.8, Noise: 0.2, Target: 500 * time.Millisecond,
		Timeout: 2 * time.Second, Value: 1, Effect: "retryable", Scope: "group", Window: 2 * time.Second, Need: "any",
		Bound: 200 * time.Millisecond}
}

// Rules holds the limits by which the checker judges a run. The decision module also gets Overload and FallTime.
type Rules struct {
	Grace    time.Duration `yaml:"grace"`     // time to stop sending to a server after learning that it drains or is gone
	Slack    time.Duration `yaml:"slack"`     // time by which a final answer may come after the client has left
	Overload float64       `yaml:"overload"`  // multiple of its present capacity that a cold server withstands
	FallTime time.Duration `yaml:"fall_time"` // a cold server crashes when sent more than Overload allows for this time
}

// Gossip holds the settings of the gossip between instances, for arms with gossip. A field that gossip.Config has as
// well means the same there.
type Gossip struct {
	ProbeEvery         time.Duration `yaml:"probe_every"`
	ProbeTimeout       time.Duration `yaml:"probe_timeout"`
	SuspectFor         time.Duration `yaml:"suspect_for"`
	TellEvery          time.Duration `yaml:"tell_every"`
	SyncEvery          time.Duration `yaml:"sync_every"`
	RumourLife         time.Duration `yaml:"rumour_life"`
	Members            int           `yaml:"members"`
	Rumours            int           `yaml:"rumours"`
	RumoursPerObserver int           `yaml:"rumours_per_observer"`
	ObserversPerServer int           `yaml:"observers_per_server"`
	Datagram           yamlfile.Size `yaml:"datagram"`
	DatagramsPerTell   int           `yaml:"datagrams_per_tell"`
	BytesPerSecond     yamlfile.Size `yaml:"bytes_per_second"`
	Warm               time.Duration `yaml:"warm"` // time for which the instances gossip before the first op
}

// Default returns a world with a few groups, three gateways and three op types.
func Default() World {
	return World{
		Length: 30 * time.Second,
		Zones:  2,
		Network: Network{Within: 200 * time.Microsecond, Between: 600 * time.Microsecond, Client: 500 * time.Microsecond,
			Jitter: 0.2},
		Gateways: Gateways{Count: 3, Round: 5 * time.Millisecond, MaxSends: 8, Probes: true, Cancels: true,
			ComeBack: 2 * time.Second, FrontKnows: 2 * time.Second},
		Servers: Servers{Groups: 3, Members: 4, Kinds: []Kind{{"plain", 4, 1}}, Spread: 0.1, Queue: 20, ColdFrom: 0.25,
			ColdTime: 12 * time.Second, Idle: 30 * time.Second, Handshake: 2 * time.Millisecond, RoundTrips: 2,
			ConnectFor: 250 * time.Millisecond, Drain: 5 * time.Second},
		Log:      Log{Ship: 5 * time.Millisecond, Apply: 8 * time.Millisecond, Seed: 4 * time.Second},
		Failover: Failover{Detect: 2 * time.Second, Elect: 2 * time.Second, Hand: 600 * time.Millisecond},
		List: List{Asked: true, Down: 2 * time.Second, Vanished: 8 * time.Second, Added: time.Second,
			Spread: 300 * time.Millisecond, Call: 5 * time.Millisecond, Timeout: 2 * time.Second, Roles: "start",
			RolesLate: 3 * time.Second, Within: 10 * time.Second},
		Reports: Reports{Answers: true, Probes: true, Refresh: 100 * time.Millisecond, Work: 300 * time.Microsecond,
			Checks: "none", OnHung: true, Timeout: 250 * time.Millisecond, Carried: true},
		Clients: Clients{Retries: 2, Backoff: 60 * time.Millisecond, Honour: 0.7, Marks: true, Patience: 0.5,
			Sessions: 40, Follows: 0.7, Gap: 400 * time.Millisecond},
		Load: Load{Use: 0.5, Skew: 0.2},
		OpTypes: []OpType{
			{Name: "browse", Share: 0.55, Work: 60 * time.Millisecond, Vary: 0.9, Noise: 0.2, Target: 500 * time.Millisecond,
				Timeout: 1500 * time.Millisecond, Value: 2, Effect: "retryable", Scope: "group", Window: 2 * time.Second,
				Need: "bounded", Bound: 200 * time.Millisecond},
			{Name: "own", Share: 0.2, Work: 60 * time.Millisecond, Vary: 0.9, Noise: 0.2, Target: 600 * time.Millisecond,
				Timeout: 2 * time.Second, Value: 1, Effect: "retryable", Scope: "group", Window: 2 * time.Second,
				Need: "session", Bound: 200 * time.Millisecond},
			{Name: "file", Share: 0.25, Work: 40 * time.Millisecond, Vary: 0.9, Noise: 0.2, Target: 600 * time.Millisecond,
				Timeout: 3 * time.Second, Value: 3, LateValue: 0.3, Effect: "tokened", Scope: "group", Window: 2 * time.Second,
				Need: "write", Bound: 200 * time.Millisecond},
		},
		Rules: Rules{Grace: 250 * time.Millisecond, Slack: 50 * time.Millisecond, Overload: 4, FallTime: 3 * time.Second},
		Gossip: Gossip{ProbeEvery: time.Second, ProbeTimeout: 400 * time.Millisecond, SuspectFor: 4 * time.Second,
			TellEvery: 200 * time.Millisecond, SyncEvery: 20 * time.Second, RumourLife: 30 * time.Second,
			Members: 512, Rumours: 2048, RumoursPerObserver: 64, ObserversPerServer: 5, Datagram: 1200, DatagramsPerTell: 3,
			BytesPerSecond: 8000, Warm: 90 * time.Second},
	}
}
