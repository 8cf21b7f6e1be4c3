package emulator

import (
	"time"

	"gorsewell/internal/yamlfile"
)

// World describes a deployment: what there is, what it is asked, and how it answers. A run plays one day of it. Times are
// spans; a share is a number from 0 to 1; work is what a core of speed 1 needs alone.
type World struct {
	Length   time.Duration `yaml:"length"`   // for which ops come in; a run goes on until all are answered
	Zones    int           `yaml:"zones"`    // buildings; servers and gateways are spread over them in turn
	Network  Network       `yaml:"network"`  // ways between parties
	Gateways Gateways      `yaml:"gateways"` // instances
	Servers  Servers       `yaml:"servers"`  // groups of a primary and replicas
	Log      Log           `yaml:"log"`      // how replicas follow
	Failover Failover      `yaml:"failover"` // how a group gets another primary
	List     List          `yaml:"list"`     // what tells gateways of servers
	Reports  Reports       `yaml:"reports"`  // what servers tell of themselves
	Clients  Clients       `yaml:"clients"`  // who asks
	Load     Load          `yaml:"load"`     // how much is asked
	OpTypes  []OpType      `yaml:"op_types"`
	Rules    Rules         `yaml:"rules"` // figures of the five rules
	Gossip   Gossip        `yaml:"gossip"`
}

// Network is how long ways take, one way each.
type Network struct {
	Within  time.Duration `yaml:"within"`  // a zone
	Between time.Duration `yaml:"between"` // zones
	Client  time.Duration `yaml:"client"`  // from a client to its gateway
	Jitter  float64       `yaml:"jitter"`  // mean of what is added by chance, as a share of the way
	Loss    float64       `yaml:"loss"`    // share of datagrams lost; streams only get slower
	Twice   float64       `yaml:"twice"`   // share of datagrams that come a second time
	Reorder float64       `yaml:"reorder"` // share of datagrams that take ten times as long
}

// Gateways is what one instance is like.
type Gateways struct {
	Count      int           `yaml:"count"`
	Round      time.Duration `yaml:"round"`       // between two looks of the module
	MaxSends   int           `yaml:"max_sends"`   // of an op
	Probes     bool          `yaml:"probes"`      // are allowed
	Cancels    bool          `yaml:"cancels"`     // are allowed
	ComeBack   time.Duration `yaml:"come_back"`   // the longest time to come back that clients honour
	FrontKnows time.Duration `yaml:"front_knows"` // after which the front stops sending to a dead instance
}

// Servers is what there is of them and what they are like.
type Servers struct {
	Groups     int           `yaml:"groups"`
	Members    int           `yaml:"members"`      // of a group, the primary included
	Kinds      []Kind        `yaml:"kinds"`        // of machine; groups take them in turn
	Spread     float64       `yaml:"speed_spread"` // machines of a kind differ by so much
	Queue      int           `yaml:"queue"`        // ops that wait for a core at most, for each core
	CancelStop bool          `yaml:"cancel_stops"` // a cancel drops an op that still waits
	ColdFrom   float64       `yaml:"cold_from"`    // share of its speed at which a machine starts
	ColdTime   time.Duration `yaml:"cold_time"`    // until it has all of it
	Conns      int           `yaml:"connections"`  // that a server takes at most; 0: any number
	Idle       time.Duration `yaml:"idle"`         // for which a server keeps a connection that is not used
	Handshake  time.Duration `yaml:"handshake"`    // of a server's core for a new connection
	RoundTrips int           `yaml:"round_trips"`  // of a new connection before the first op
	ConnectFor time.Duration `yaml:"connect_for"`  // that a gateway waits for a new connection
	Drain      time.Duration `yaml:"drain"`        // that a draining server stays up
}

// Kind is one kind of machine.
type Kind struct {
	Name  string  `yaml:"name"`
	Cores int     `yaml:"cores"`
	Speed float64 `yaml:"speed"`
}

// SetDefaults makes a kind that names nothing else an ordinary one.
func (k *Kind) SetDefaults() { k.Cores, k.Speed = 3, 1 }

// Log is how a replica gets and applies the primary's log.
type Log struct {
	Ship  time.Duration `yaml:"ship"`  // until a commit has reached a replica
	Apply time.Duration `yaml:"apply"` // work of one write on the replica's one applying thread
	Seed  time.Duration `yaml:"seed"`  // how old the copy is from which a new server starts
}

// Failover is how a group gets another primary.
type Failover struct {
	Detect time.Duration `yaml:"detect"` // until a primary that is dead, hung or cut off is given up
	Elect  time.Duration `yaml:"elect"`  // from then until another takes over
	Hand   time.Duration `yaml:"hand"`   // until one that drains has handed over
}

// List is the service that tells gateways which servers there are.
type List struct {
	Asked     bool          `yaml:"asked"`      // it tells only who asks; else it pushes
	Down      time.Duration `yaml:"down"`       // until it notices that a process has ended
	Vanished  time.Duration `yaml:"vanished"`   // until it notices that a machine is gone without a word
	Added     time.Duration `yaml:"added"`      // until it lists a server that has started
	Spread    time.Duration `yaml:"spread"`     // over which gateways hear of a change
	Call      time.Duration `yaml:"call"`       // that one asking keeps it busy
	Timeout   time.Duration `yaml:"timeout"`    // after which an asking has failed
	Roles     string        `yaml:"roles"`      // none, start or late
	RolesLate time.Duration `yaml:"roles_late"` // how late, where they are late
	Within    time.Duration `yaml:"ask_within"` // a gateway that has not asked for so long is deemed told
}

// Reports is what servers tell of themselves.
type Reports struct {
	Answers  bool          `yaml:"answers"`  // answers tell role and position
	Probes   bool          `yaml:"probes"`   // probes tell role and position
	Refresh  time.Duration `yaml:"refresh"`  // how old what a probe tells may be
	Work     time.Duration `yaml:"work"`     // of a probe
	Checks   string        `yaml:"checks"`   // what a server does with a read that it is too far behind for: none, refuses or waits
	OnHung   bool          `yaml:"on_hung"`  // a server that hangs still answers probes
	Timeout  time.Duration `yaml:"timeout"`  // of a probe
	Carried  bool          `yaml:"carried"`  // a session's read tells how old its last write is
	GoneRuns bool          `yaml:"gone_run"` // that the list calls a server gone proves nothing
}

// Clients is how those behave who ask.
type Clients struct {
	Retries  int           `yaml:"retries"`
	Backoff  time.Duration `yaml:"backoff"`
	Honour   float64       `yaml:"honour"`   // share of clients that come back when they are told to
	Marks    bool          `yaml:"marks"`    // a retry says that it is one
	Patience float64       `yaml:"patience"` // least share of the op timeout for which a client waits
	Sessions int           `yaml:"sessions"` // of one gateway
	Roam     float64       `yaml:"roam"`     // share of a session's ops that come in anywhere
	Follows  float64       `yaml:"follows"`  // share of session reads that come soon after a write of theirs
	Gap      time.Duration `yaml:"gap"`      // after it, in the mean
}

// Load is how much is asked.
type Load struct {
	PerSecond float64       `yaml:"per_second"` // ops; 0: by Use
	Use       float64       `yaml:"use"`        // of the capacity of all servers
	Curve     []Point       `yaml:"curve"`      // factors over time, straight between points
	Arrivals  []float64     `yaml:"arrivals"`   // captured times in seconds, instead of chance
	Skew      float64       `yaml:"skew"`       // how unevenly groups are asked: 0 evenly
	Quantum   time.Duration `yaml:"quantum"`    // ops come in at multiples of it; 0: at any time
}

// Point is a factor of the load at a time.
type Point struct {
	At     time.Duration `yaml:"at"`
	Factor float64       `yaml:"factor"`
}

// OpType is one kind of op.
type OpType struct {
	Name       string        `yaml:"name"`
	Share      float64       `yaml:"share"` // of all ops, as a weight
	Work       time.Duration `yaml:"work"`  // in the mean
	Vary       float64       `yaml:"vary"`  // standard deviation of the work over its mean, lognormal; 1 with exponential true: exponential
	Exp        bool          `yaml:"exponential"`
	Noise      float64       `yaml:"noise"` // by which two sends of one op differ
	Target     time.Duration `yaml:"target"`
	Timeout    time.Duration `yaml:"timeout"`
	Value      float64       `yaml:"value"`
	LateValue  float64       `yaml:"late_value"` // share of the value that a late ack earns
	Effect     string        `yaml:"effect"`     // retryable, tokened or non_retryable
	Scope      string        `yaml:"scope"`      // of a token: group, zone or all
	Window     time.Duration `yaml:"window"`     // of a token
	Need       string        `yaml:"need"`       // write, fresh, session, bounded or any
	Bound      time.Duration `yaml:"bound"`
	HoldsApply bool          `yaml:"holds_apply"` // while a replica works on one it applies nothing
}

// SetDefaults gives an op type that names little a plain read's ways.
func (o *OpType) SetDefaults() {
	*o = OpType{Share: 1, Work: 20 * time.Millisecond, Vary: 0.8, Noise: 0.2, Target: 500 * time.Millisecond,
		Timeout: 2 * time.Second, Value: 1, Effect: "retryable", Scope: "group", Window: 2 * time.Second, Need: "any", Bound: 200 * time.Millisecond}
}

// Rules holds the figures by which a run is checked, and which the module is told.
type Rules struct {
	Grace    time.Duration `yaml:"grace"`     // after which nothing new goes to a draining or gone server
	Slack    time.Duration `yaml:"slack"`     // by which a final answer may come after its client has left
	Overload float64       `yaml:"overload"`  // sent more than this multiple of what it can do
	FallTime time.Duration `yaml:"fall_time"` // for this time, a cold server falls over
}

// Gossip is how instances talk, for arms that do.
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
	Warm               time.Duration `yaml:"warm"` // that instances gossip before the first op
}

// Default is a world of a few groups, three gateways and three op types, with nothing wrong in it.
func Default() World {
	return World{
		Length:  30 * time.Second,
		Zones:   2,
		Network: Network{Within: 200 * time.Microsecond, Between: 600 * time.Microsecond, Client: 500 * time.Microsecond, Jitter: 0.2},
		Gateways: Gateways{Count: 3, Round: 5 * time.Millisecond, MaxSends: 8, Probes: true, Cancels: true, ComeBack: 2 * time.Second,
			FrontKnows: 2 * time.Second},
		Servers: Servers{Groups: 3, Members: 4, Kinds: []Kind{{"plain", 4, 1}}, Spread: 0.1, Queue: 20, ColdFrom: 0.25,
			ColdTime: 12 * time.Second, Idle: 30 * time.Second, Handshake: 2 * time.Millisecond, RoundTrips: 2,
			ConnectFor: 250 * time.Millisecond, Drain: 5 * time.Second},
		Log:      Log{Ship: 5 * time.Millisecond, Apply: 8 * time.Millisecond, Seed: 4 * time.Second},
		Failover: Failover{Detect: 2 * time.Second, Elect: 2 * time.Second, Hand: 600 * time.Millisecond},
		List: List{Asked: true, Down: 2 * time.Second, Vanished: 8 * time.Second, Added: time.Second, Spread: 300 * time.Millisecond,
			Call: 5 * time.Millisecond, Timeout: 2 * time.Second, Roles: "start", RolesLate: 3 * time.Second, Within: 10 * time.Second},
		Reports: Reports{Answers: true, Probes: true, Refresh: 100 * time.Millisecond, Work: 300 * time.Microsecond, Checks: "none",
			OnHung: true, Timeout: 250 * time.Millisecond, Carried: true},
		Clients: Clients{Retries: 2, Backoff: 60 * time.Millisecond, Honour: 0.7, Marks: true, Patience: 0.5, Sessions: 40, Follows: 0.7,
			Gap: 400 * time.Millisecond},
		Load: Load{Use: 0.5, Skew: 0.2},
		OpTypes: []OpType{
			{Name: "browse", Share: 0.55, Work: 60 * time.Millisecond, Vary: 0.9, Noise: 0.2, Target: 500 * time.Millisecond, Timeout: 1500 * time.Millisecond,
				Value: 2, Effect: "retryable", Scope: "group", Window: 2 * time.Second, Need: "bounded", Bound: 200 * time.Millisecond},
			{Name: "own", Share: 0.2, Work: 60 * time.Millisecond, Vary: 0.9, Noise: 0.2, Target: 600 * time.Millisecond, Timeout: 2 * time.Second,
				Value: 1, Effect: "retryable", Scope: "group", Window: 2 * time.Second, Need: "session", Bound: 200 * time.Millisecond},
			{Name: "file", Share: 0.25, Work: 40 * time.Millisecond, Vary: 0.9, Noise: 0.2, Target: 600 * time.Millisecond, Timeout: 3 * time.Second,
				Value: 3, LateValue: 0.3, Effect: "tokened", Scope: "group", Window: 2 * time.Second, Need: "write", Bound: 200 * time.Millisecond},
		},
		Rules: Rules{Grace: 250 * time.Millisecond, Slack: 50 * time.Millisecond, Overload: 4, FallTime: 3 * time.Second},
		Gossip: Gossip{ProbeEvery: time.Second, ProbeTimeout: 400 * time.Millisecond, SuspectFor: 4 * time.Second,
			TellEvery: 200 * time.Millisecond, SyncEvery: 20 * time.Second, RumourLife: 30 * time.Second, Members: 512, Rumours: 2048,
			RumoursPerObserver: 64, ObserversPerServer: 5, Datagram: 1200, DatagramsPerTell: 3, BytesPerSecond: 8000, Warm: 90 * time.Second},
	}
}
