// Package counters holds the counters of a gateway's work.
package counters

import (
	"log/slog"
	"reflect"
	"strings"
	"sync/atomic"
	"unicode"

	"gorsewell/choice"
	"gorsewell/internal/invariant"
)

// sendEnds are the results of sends, in the order of their counters.
var sendEnds = [...]choice.Result{choice.Acked, choice.ServerError, choice.ServerFull, choice.TimedOut, choice.NoConnection,
	choice.Reset, choice.Cancelled, choice.NotSent, choice.Declined, choice.ClientUnknown}

// Set holds the counters of one gateway. The zero value is ready to use. The names in the log are derived from the
// names of the fields.
type Set struct {
	Taken            atomic.Int64                            // ops received from clients
	Acked            atomic.Int64                            // ops that ended with an ack
	BusyReplied      atomic.Int64                            // ops that ended with a busy reply
	Errored          atomic.Int64                            // ops that ended with an error
	Left             atomic.Int64                            // ops that ended because the client disconnected
	Held             atomic.Int64                            // ops that have not ended yet
	Sent             atomic.Int64                            // sends that were written completely to a server
	SendEnds         [len(sendEnds)]atomic.Int64             // ended sends by choice.Result
	Probes           atomic.Int64                            // probes requested by the decision module
	ProbesAcked      atomic.Int64                            // probes that were acked
	ServerConns      atomic.Int64                            // server connections opened
	ServerReused     atomic.Int64                            // uses of an idle server connection for a send or a probe
	ServerBroken     atomic.Int64                            // server connections that ended in a send or probe, or while idle
	ServerRefused    atomic.Int64                            // server connections that could not be established
	ClientConns      atomic.Int64                            // client connections accepted
	ClientRefused    atomic.Int64                            // client connections turned away
	ClientIdleClosed atomic.Int64                            // idle client connections closed to make room for new ones
	ClientOpen       atomic.Int64                            // client connections that are open now
	ServerOpen       atomic.Int64                            // server connections that are open now
	Malformed        atomic.Int64                            // client connections closed because their data could not be parsed
	Unusable         atomic.Int64                            // queries without a usable comment, of unknown op type, or too long
	MalformedAnswers atomic.Int64                            // server messages that could not be parsed or were not expected
	CommandsSkipped  atomic.Int64                            // commands of clients for which there was no memory
	AnswersDelayed   atomic.Int64                            // long server messages that had to wait for memory
	Lists            atomic.Int64                            // calls of discovery that succeeded
	ListsFailed      atomic.Int64                            // calls of discovery that failed
	GivenUp          [len(choice.GiveUpReasons)]atomic.Int64 // ops that the decision module gave up, by choice.GiveUpReasons
}

// CountGivenUp counts an op that the decision module gave up.
func (s *Set) CountGivenUp(reason choice.Reason) {
	for i, r := range choice.GiveUpReasons {
		if r == reason {
			s.GivenUp[i].Add(1)
		}
	}
}

// Attrs returns all counters as attributes of a log line, in the order of their declaration.
func (s *Set) Attrs() (all []slog.Attr) {
	v := reflect.ValueOf(s).Elem()
	for i := range v.NumField() {
		switch c := v.Field(i).Addr().Interface().(type) {
		case *atomic.Int64:
			all = append(all, slog.Int64(snakeCase(v.Type().Field(i).Name), c.Load()))
		case *[len(sendEnds)]atomic.Int64:
			for _, end := range sendEnds {
				all = append(all, slog.Int64("send_"+end.String(), c[end].Load()))
			}
		case *[len(choice.GiveUpReasons)]atomic.Int64:
			for i, reason := range choice.GiveUpReasons {
				all = append(all, slog.Int64("given_up_"+reason.String(), c[i].Load()))
			}
		}
	}
	return append(all, slog.Int64("assertions_broken", invariant.Broken()))
}

// String returns all counters as key=value pairs.
func (s *Set) String() string {
	var b strings.Builder
	for i, a := range s.Attrs() {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(a.String())
	}
	return b.String()
}

// snakeCase returns the log name of a field.
func snakeCase(name string) string {
	var b strings.Builder
	for i, r := range name {
		if unicode.IsUpper(r) && i > 0 {
			b.WriteByte('_')
		}
		b.WriteRune(unicode.ToLower(r))
	}
	return b.String()
}
