package simwire

import (
	"bytes"
	"encoding/hex"
	"strings"
	"testing"
)

func decodeHex(t *testing.T, s string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.ReplaceAll(s, " ", ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestServeAnswersEmptyBatch(t *testing.T) {
	var out bytes.Buffer
	in := decodeHex(t, "00000014 00000001f568bf90 00000000 00000001")
	if err := Serve(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	if got := hex.EncodeToString(out.Bytes()); got != "0000000c0000000000000001" {
		t.Errorf("got reply %s, want one without records for batch 1", got)
	}
}

func TestServeStartAndStopInOneBatch(t *testing.T) {
	text := "round=5000000\nregistry_mode=on_request\nrules.must_ask_in=10000000000\nunheard.of=x\n"
	start := append(decodeHex(t, "04 0003 0000000000000007 00000000"), 0, 0, 0, byte(len(text)))
	records := append(append(start, make([]byte, 48-len(start))...), decodeHex(t, "02 0003")...)
	records = append(records, make([]byte, 96-len(records))...)
	in := append(decodeHex(t, "00000000 0000000000000064 00000002 00000009"), records...)
	in = append(in, text...)
	in[3] = byte(len(in))
	var out bytes.Buffer
	if err := Serve(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	// For instance 3, an action that watches the list and one that sets a timer 5 ms after the clock time of 100 ns.
	want := "0000003c0000000200000009" + "0a000301" + strings.Repeat("00", 20) +
		"01000300000000" + "00000000004c4ba4" + strings.Repeat("00", 9)
	if got := hex.EncodeToString(out.Bytes()); got != want {
		t.Errorf("got reply %s, want %s", got, want)
	}
}

func TestServeRejectsMalformedInput(t *testing.T) {
	pad := strings.Repeat("00", 47)
	for _, c := range []struct{ input, want string }{
		{"0000", "inside the header"},
		{"00000008 0000000000000000 00000000 00000001", "shorter than the header"},
		{"ffffffff 0000000000000000 00000000 00000001 00", "inside the frame"},
		{"00000014 0000000000000000 00000001 00000001", "records do not fit"},
		{"00000044 0000000000000000 00000001 00000001 63" + pad, "unknown event code 99"},
		{"00000044 0000000000000000 00000001 00000001 05" + pad, "not running"},
		{"00000044 0000000000000000 00000001 00000001 08 00000000 00000000 00000001" + strings.Repeat("00", 35),
			"outside the tail"},
		{"00000044 0000000000000000 00000001 00000001 08 00000010" + strings.Repeat("00", 43), "list number 16"},
	} {
		err := Serve(bytes.NewReader(decodeHex(t, c.input)), &bytes.Buffer{})
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("input %s: got error %v, want %q", c.input, err, c.want)
		}
	}
}

func TestPanicIsReportedAsBug(t *testing.T) {
	c := &conn{instances: map[uint16]*instance{}}
	c.instances[3] = &instance{conn: c, id: 3} // without a gateway every call panics
	timer := append(decodeHex(t, "05 0003 00000000"), make([]byte, 41)...)
	if err := c.handleEvent(timer); err != nil {
		t.Fatal(err)
	}
	if len(c.actionRecords) != actionSize || c.actionRecords[0] != actionBug ||
		!strings.Contains(string(c.actionTail), "nil pointer") {
		t.Errorf("got records %x and text %q, want one bug action with the panic's text", c.actionRecords, c.actionTail)
	}
}
