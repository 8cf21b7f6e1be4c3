package emulator

import (
	"reflect"

	"gorsewell/internal/gossip"
)

// addCounts returns the sum of two sets of counters.
func addCounts(a, b gossip.Counts) gossip.Counts {
	sum, addend := reflect.ValueOf(&a).Elem(), reflect.ValueOf(b)
	for i := range sum.NumField() {
		sum.Field(i).SetInt(sum.Field(i).Int() + addend.Field(i).Int())
	}
	return a
}
