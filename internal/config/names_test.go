package config

import (
	"reflect"
	"strings"
	"testing"

	"gorsewell/internal/yamlfile"
)

// Operators' settings files contain these keys, so renaming a field must not change its key.
func TestKeysOfTheSettings(t *testing.T) {
	const want = "log log.level gossip gossip.enabled gossip.cluster gossip.listen gossip.advertise gossip.seeds gossip.certificate " +
		"gossip.key gossip.authorities gossip.probe_every gossip.probe_timeout gossip.suspect_for gossip.tell_every " +
		"gossip.sync_every gossip.rumour_life gossip.limits gossip.limits.members gossip.limits.rumours " +
		"gossip.limits.rumours_per_observer gossip.limits.observers_per_server gossip.limits.datagram " +
		"gossip.limits.datagrams_per_tell gossip.limits.bytes_per_second gossip.limits.received_per_second " +
		"gossip.limits.streams"
	var keys []string
	var walk func(prefix string, structure reflect.Type)
	walk = func(prefix string, structure reflect.Type) {
		names, index := yamlfile.Fields(structure)
		for _, name := range names {
			keys = append(keys, prefix+name)
			if field := structure.FieldByIndex(index[name]).Type; field.Kind() == reflect.Struct &&
				field != reflect.TypeFor[Level]() {
				walk(prefix+name+".", field)
			}
		}
	}
	walk("", reflect.TypeFor[Settings]())
	if got := strings.Join(keys, " "); got != want {
		t.Errorf("got keys\n%s\nwant\n%s", got, want)
	}
}
