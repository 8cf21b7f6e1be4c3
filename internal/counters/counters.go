// Package counters holds what a gateway counts of its work.
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

// sendEndNames names the counts of how sends ended.
var sendEndNames = [...]string{
	choice.Acked:        "send_acked",
	choice.ServerError:  "send_error",
	choice.ServerFull:   "send_full",
	choice.TimedOut:     "send_timed_out",
	choice.NoConnection: "send_no_connection",
	choice.Reset:        "send_reset",
	choice.Cancelled:    "send_cancelled",
	choice.NotSent:      "send_not_sent",
	choice.Miss:         "send_missed",
}

// Set is the counters of one gateway. The zero value is ready to use.
type Set struct {
	Taken                             atomic.Int64 // ops taken in
	Acked, BusyReplied, Errored, Left atomic.Int64 // how they ended
	Held                              atomic.Int64 // ops that have not ended
	Sent                              atomic.Int64 // sends written whole to a server
	SendEnds                          [len(sendEndNames)]atomic.Int64
	Probes, ProbesAcked               atomic.Int64
	ServerConns, ServerReused         atomic.Int64 // connections opened, taken again
	ServerBroken, ServerRefused       atomic.Int64 // that ended under a send, or while they were idle; that never came up
	ClientConns, ClientRefused        atomic.Int64 // connections taken in, turned away
	ClientIdleClosed                  atomic.Int64 // quiet ones closed to make room
	ClientOpen, ServerOpen            atomic.Int64 // connections held now
	Malformed                         atomic.Int64 // client connections ended for bytes that cannot be read
	Unusable                          atomic.Int64 // queries without usable comment, of unknown op type, too long
	MalformedAnswers                  atomic.Int64
	Lists, ListsFailed                atomic.Int64
}

// Attrs gives all counters for a log line, in the order in which they are declared.
func (s *Set) Attrs() (all []slog.Attr) {
	v := reflect.ValueOf(s).Elem()
	for i := range v.NumField() {
		switch c := v.Field(i).Addr().Interface().(type) {
		case *atomic.Int64:
			all = append(all, slog.Int64(snakeCase(v.Type().Field(i).Name), c.Load()))
		case *[len(sendEndNames)]atomic.Int64:
			for end, name := range sendEndNames {
				all = append(all, slog.Int64(name, c[end].Load()))
			}
		}
	}
	return append(all, slog.Int64("assertions_broken", invariant.Broken()))
}

// String gives all counters as key=value.
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

// snakeCase is a field's name as the log has it.
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
