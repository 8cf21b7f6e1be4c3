package emulator

import (
	"reflect"

	"gorsewell/internal/gossip"
)

// add adds up two sets of counters.
func addCounts(a, b gossip.Counts) gossip.Counts {
	x, y := reflect.ValueOf(&a).Elem(), reflect.ValueOf(b)
	for i := range x.NumField() {
		x.Field(i).SetInt(x.Field(i).Int() + y.Field(i).Int())
	}
	return a
}
