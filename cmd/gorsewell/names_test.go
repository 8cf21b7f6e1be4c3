package main

import (
	"encoding/json"
	"strings"
	"testing"
)

// The platform's file at LB_CONFIG is read by field names where no tag says otherwise.
func TestKeysOfThePlatformsFile(t *testing.T) {
	const text = `{"name":"n","listen":"l","discovery":"d","seed":"s","limits":{"cores":1.5,"memory_mb":2,"sockets":3},` +
		`"known":{"version":4,"full":true,"servers":[{"id":"i","addr":"a","zone":"z","kind":"k","cell":5,"state":"x","role":"r","weight":6,"started_ms":7}]},` +
		`"settings":{"round":8}}`
	read := &platformConfig{}
	if err := json.Unmarshal([]byte(text), read); err != nil {
		t.Fatal(err)
	}
	again, err := json.Marshal(read)
	if err != nil {
		t.Fatal(err)
	}
	// Only the case may differ: keys without a tag are matched without regard to it.
	if got := strings.ToLower(string(again)); got != text {
		t.Errorf("read as\n%s\nfrom\n%s", got, text)
	}
}
