package carrier

import (
	"log/slog"
	"reflect"
	"strings"
	"sync/atomic"
	"unicode"

	"gorsewell/internal/gossip"
)

// attrs returns the counters. It must be called by the goroutine that owns the node.
func (c *Carrier) attrs() (all []slog.Attr) {
	members := [4]int64{} // by status
	for _, p := range c.node.Peers() {
		members[p.Status]++
	}
	all = append(all, slog.Int64("alive", members[gossip.StatusAlive]), slog.Int64("suspect", members[gossip.StatusSuspect]),
		slog.Int64("dead", members[gossip.StatusDead]), slog.Int64("left", members[gossip.StatusLeft]))
	nodeCounts := reflect.ValueOf(c.node.Counts())
	for i := range nodeCounts.NumField() {
		all = append(all, slog.Int64(snakeCase(nodeCounts.Type().Field(i).Name), nodeCounts.Field(i).Int()))
	}
	ownCounts := reflect.ValueOf(&c.counts).Elem()
	for i := range ownCounts.NumField() {
		all = append(all, slog.Int64("dropped_"+snakeCase(ownCounts.Type().Field(i).Name),
			ownCounts.Field(i).Addr().Interface().(*atomic.Int64).Load()))
	}
	return all
}

// snakeCase converts a Go field name to a log name: StreamsFailed to streams_failed.
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
