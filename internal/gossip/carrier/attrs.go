package carrier

import (
	"log/slog"
	"reflect"
	"strings"
	"sync/atomic"
	"unicode"

	"gorsewell/internal/gossip"
)

// attrs is called by the owner of the node.
func (c *Carrier) attrs() (all []slog.Attr) {
	standing := [4]int64{}
	for _, p := range c.node.Peers() {
		standing[p.Standing]++
	}
	all = append(all, slog.Int64("alive", standing[gossip.IsAlive]), slog.Int64("suspect", standing[gossip.IsSuspect]),
		slog.Int64("dead", standing[gossip.IsDead]), slog.Int64("left", standing[gossip.HasLeft]))
	v := reflect.ValueOf(c.node.Counts())
	for i := range v.NumField() {
		all = append(all, slog.Int64(snakeCase(v.Type().Field(i).Name), v.Field(i).Int()))
	}
	d := reflect.ValueOf(&c.counts).Elem()
	for i := range d.NumField() {
		all = append(all, slog.Int64("dropped_"+snakeCase(d.Type().Field(i).Name), d.Field(i).Addr().Interface().(*atomic.Int64).Load()))
	}
	return all
}

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
