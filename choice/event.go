package choice

// Event is a decision that is reported for the log, with its reason. It has no effect.
type Event struct {
	Kind   EventKind
	Server uint32 // of PrimaryFound, ServerSetAside, ServerReturned and OpRetried
	Op     uint32 // of OpRetried and OpGivenUp
	Reason Reason
}

// EventKind is the kind of an Event.
type EventKind uint8

// The kinds of events.
const (
	PrimaryFound   EventKind = iota // a server is the primary of its group from now on
	ServerSetAside                  // a server gets only probes until it has answered some
	ServerReturned                  // a server that was set aside is used again
	OpRetried                       // an op is sent again
	OpGivenUp                       // an op gets a busy reply or an error
)

var eventKindNames = [...]string{
	PrimaryFound:   "primary found",
	ServerSetAside: "server set aside",
	ServerReturned: "server returned",
	OpRetried:      "op retried",
	OpGivenUp:      "op given up",
}

func (k EventKind) String() string { return eventKindNames[k] }

// ConcernsOp reports whether the event is about a single op.
func (k EventKind) ConcernsOp() bool { return k == OpRetried || k == OpGivenUp }

// Reason is why something was decided.
type Reason uint8

// The reasons. Those from ReasonServerError on are the results of the send before.
const (
	NoReason              Reason = iota
	ReasonSilence                // a server's answers are overdue
	ReasonRumouredSilence        // the same, and other gateways report the server
	ReasonUnreachable            // no connection, a reset, or a probe without an answer
	ReasonFailing                // a server answered with an error what another one acked
	ReasonFull                   // a server turned ops away
	ReasonStopping               // the process is about to end
	ReasonNoServers              // no server of the op's group is listed
	ReasonFailsEverywhere        // two servers answered the op with an error
	ReasonNoTimeLeft             // a send could no longer earn anything
	ReasonNoSendAllowed          // the op may not be sent again
	ReasonServerError
	ReasonTimedOut
	ReasonNotSent
	ReasonCancelled
	ReasonDeclined
	ReasonClientUnknown
)

var reasonNames = [...]string{
	NoReason:              "none",
	ReasonSilence:         "silence",
	ReasonRumouredSilence: "rumoured_silence",
	ReasonUnreachable:     "unreachable",
	ReasonFailing:         "failing",
	ReasonFull:            "full",
	ReasonStopping:        "stopping",
	ReasonNoServers:       "no_servers",
	ReasonFailsEverywhere: "fails_everywhere",
	ReasonNoTimeLeft:      "no_time_left",
	ReasonNoSendAllowed:   "no_send_allowed",
	ReasonServerError:     "server_error",
	ReasonTimedOut:        "timed_out",
	ReasonNotSent:         "not_sent",
	ReasonCancelled:       "cancelled",
	ReasonDeclined:        "declined",
	ReasonClientUnknown:   "client_unknown",
}

func (r Reason) String() string { return reasonNames[r] }

// reasonOfResult returns the reason that the result of a send is for sending the op again.
func reasonOfResult(r Result) Reason {
	switch r {
	case ServerError:
		return ReasonServerError
	case ServerFull:
		return ReasonFull
	case TimedOut:
		return ReasonTimedOut
	case NoConnection, Reset:
		return ReasonUnreachable
	case Cancelled:
		return ReasonCancelled
	case NotSent:
		return ReasonNotSent
	case Declined:
		return ReasonDeclined
	case ClientUnknown:
		return ReasonClientUnknown
	}
	return NoReason
}

// troubleOfReason returns the trouble that a reason to avoid a server is. A full server is busy, which is no trouble.
func troubleOfReason(r Reason) Trouble {
	switch r {
	case ReasonSilence:
		return Silence
	case ReasonUnreachable:
		return Unreachable
	case ReasonFailing:
		return Failing
	}
	return NoTrouble
}

var resultNames = [...]string{
	Acked:         "acked",
	ServerError:   "error",
	ServerFull:    "full",
	TimedOut:      "timed_out",
	NoConnection:  "no_connection",
	Reset:         "reset",
	Cancelled:     "cancelled",
	NotSent:       "not_sent",
	Declined:      "missed",
	ClientUnknown: "client_unknown",
}

func (r Result) String() string { return resultNames[r] }

// GiveUpReasons are the reasons of OpGivenUp.
var GiveUpReasons = [...]Reason{ReasonStopping, ReasonNoServers, ReasonFailsEverywhere, ReasonNoTimeLeft, ReasonNoSendAllowed}
