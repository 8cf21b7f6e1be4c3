// Package counters holds what a gateway counts of its work.
package counters

import (
	"fmt"
	"reflect"
	"strings"
	"sync/atomic"

	"gorsewell/internal/invariant"
)

// Set is the counters of one gateway. The zero value is ready to use.
type Set struct {
	Taken                              atomic.Int64 // ops taken in
	Acked, BusyReplied, Errored, Left  atomic.Int64 // how they ended
	Held                               atomic.Int64 // ops that have not ended
	Sent                               atomic.Int64 // sends written whole to a server
	SendAcked, SendMissed, SendFull    atomic.Int64 // how sends ended
	SendError, SendTimedOut, SendReset atomic.Int64
	SendNoConnection, SendNotSent      atomic.Int64
	SendCancelled                      atomic.Int64
	Probes, ProbesAcked                atomic.Int64
	ServerConns, ServerReused          atomic.Int64 // connections opened, taken again
	ServerBroken, ServerRefused        atomic.Int64
	ClientConns, ClientRefused         atomic.Int64 // connections taken in, turned away
	ClientOpen, ServerOpen             atomic.Int64 // connections held now
	Malformed                          atomic.Int64 // connections ended for bytes that cannot be read
	Unusable                           atomic.Int64 // queries without usable comment, of unknown type, too long
	MalformedAnswers                   atomic.Int64
	Lists, ListsFailed                 atomic.Int64
}

// String gives all counters as key=value, in the order in which they are declared.
func (s *Set) String() string {
	var b strings.Builder
	v := reflect.ValueOf(s).Elem()
	for i := range v.NumField() {
		fmt.Fprintf(&b, "%s=%d ", snake(v.Type().Field(i).Name), v.Field(i).Addr().Interface().(*atomic.Int64).Load())
	}
	fmt.Fprintf(&b, "assertions_broken=%d", invariant.Broken())
	return b.String()
}

func snake(name string) string {
	var b strings.Builder
	for i, r := range name {
		if r >= 'A' && r <= 'Z' {
			if i > 0 {
				b.WriteByte('_')
			}
			r += 'a' - 'A'
		}
		b.WriteRune(r)
	}
	return b.String()
}
