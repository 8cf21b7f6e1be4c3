package main

import (
	"encoding/json"
	"strings"
	"testing"
)

// Keys of the platform's file at LB_CONFIG are field names unless a tag names them, so renaming a field must not change
// its key.
func TestKeysOfThePlatformsFile(t *testing.T) {
	const text = `{"name":"n","listen":"l","discovery":"d","seed":"s","limits":{"cores":1.5,"memory_mb":2,"sockets":3},` +
		`"known":{"version":4,"full":true,"servers":[{"id":"i","addr":"a","zone":"z","kind":"k","cell":5,"state":"x","role":"r","weight":6,"started_ms":7}]},` +
		`"settings":{"round":8}}`
	platform := &platformConfig{}
	if err := json.Unmarshal([]byte(text), platform); err != nil {
		t.Fatal(err)
	}
	encoded, err := json.Marshal(platform)
	if err != nil {
		t.Fatal(err)
	}
	// The comparison ignores case, as decoding does for keys without a tag.
	if got := strings.ToLower(string(encoded)); got != text {
		t.Errorf("got\n%s\nwant\n%s", got, text)
	}
}
