package pgwire

import (
	"bytes"
	"errors"
	"flag"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The property tests draw the same cases in every run. Other seeds are tried with -rapid.seed.
func init() { flag.Set("rapid.seed", "1") }

const insertStatement = `INSERT INTO facts (code, data) VALUES ('7f3a9c21', '\x9f03') RETURNING data ` +
	`/* id=9b1f03aa,c=order,d=480,k=5c0f6e1a,cluster=2 */`

// readMessages passes all complete messages in a buffer to a function.
func readMessages(t interface{ Fatal(...any) }, buffer *ReadBuffer, process func(Message)) {
	for {
		m, ok, err := buffer.Next()
		if err != nil {
			t.Fatal(err)
		}
		if !ok {
			return
		}
		process(m)
	}
}

func TestNextParsesMessagesSplitAcrossReads(t *testing.T) {
	stream := AppendQuery(nil, "SELECT 1")
	stream = AppendReady(AppendMessage(stream, ErrorResponse, strings.Repeat("x", 9000)))
	for _, step := range []int{1, 2, 3, 7, 4096, len(stream)} {
		var buffer ReadBuffer
		var got []string
		for rest := stream; len(rest) > 0; {
			n := copy(buffer.Space(), rest[:min(step, len(rest))])
			buffer.Filled(n)
			rest = rest[n:]
			readMessages(t, &buffer, func(m Message) { got = append(got, string(m.Type)+string(m.Body)) })
		}
		want := []string{"QSELECT 1\x00", "E" + strings.Repeat("x", 9000), "ZI"}
		if strings.Join(got, "|") != strings.Join(want, "|") {
			t.Errorf("reads of %d bytes: got %d messages, %.40q, want the messages as sent", step, len(got), got)
		}
	}
}

func TestNextRejectsInvalidLengths(t *testing.T) {
	for _, c := range []struct {
		in   string
		want error
	}{
		{"Q\x00\x00\x00\x03", ErrMalformed},
		{"Q\xff\xff\xff\xff", ErrTooLong},
		{"Q\x00\x02\x80\x01", ErrTooLong},
		{"Q\x00\x02\x80\x00", nil}, // the greatest valid length: incomplete
		{"Q\x00", nil},
		{"Q\x03\x93\x87\x00", ErrTooLong}, // 60 MB
	} {
		if _, n, err := Next([]byte(c.in), DefaultMaxMessage); err != c.want || n != 0 {
			t.Errorf("%q: got size %d and error %v, want size 0 and error %v", c.in, n, err, c.want)
		}
	}
}

func TestNextServerMessageRejectsInvalidMessagesEarly(t *testing.T) {
	for _, c := range []struct {
		in   string
		want error
	}{
		{"", nil},
		{"D", nil},
		{"D\x00\x01\x00\x00\x00\x01\x00\x00\xff\xf6", nil},
		{"D\x00\x01\x00\x00\x00\x01\x00\x00\xff\xf5", ErrMalformed},
		{"D\x00\x01\x00\x00\x00\x02\x00\x00\xff\xf6", ErrMalformed},
		{"D\xb2\xd0\x5e\x0a", ErrTooLong},
		{"Q", ErrMalformed},
		{"T\x00\x00\x70\x00", ErrTooLong},
		{"Z\x00\x00\x00\x06", ErrTooLong},
		{"Z\x00\x00\x00\x03", ErrMalformed},
	} {
		if _, n, err := NextServerMessage([]byte(c.in), DefaultMaxMessage); err != c.want || n != 0 {
			t.Errorf("%q: got size %d and error %v, want size 0 and error %v", c.in, n, err, c.want)
		}
	}
}

func TestParseStartup(t *testing.T) {
	valid := AppendStartup(nil, "portal", "crm")
	for _, c := range []struct {
		name string
		in   []byte
		want StartupKind
		size int
		err  error
	}{
		{"session followed by a query", append(bytes.Clone(valid), 'Q'), StartupSession, len(valid), nil},
		{"incomplete", valid[:len(valid)-1], StartupSession, 0, nil},
		{"three bytes", valid[:3], StartupSession, 0, nil},
		{"encryption", []byte{0, 0, 0, 8, 4, 210, 22, 47}, StartupEncryption, 8, nil},
		{"GSS encryption", []byte{0, 0, 0, 8, 4, 210, 22, 48}, StartupEncryption, 8, nil},
		{"cancel", []byte{0, 0, 0, 16, 4, 210, 22, 46, 0, 0, 0, 1, 0, 0, 0, 2}, StartupCancel, 16, nil},
		{"version 2", []byte{0, 0, 0, 8, 0, 2, 0, 0}, StartupSession, 0, ErrVersion},
		{"too short", []byte{0, 0, 0, 7}, StartupSession, 0, ErrMalformed},
		{"too long", []byte{0, 0, 0x27, 0x11}, StartupSession, 0, ErrMalformed},
		{"no user", []byte{0, 0, 0, 9, 0, 3, 0, 0, 0}, StartupSession, 0, ErrMalformed},
		{"no terminator", []byte{0, 0, 0, 14, 0, 3, 0, 0, 'u', 's', 'e', 'r', 0, 'x'}, StartupSession, 0, ErrMalformed},
		{"HTTP", []byte("GET / HTTP/1.1\r\n"), StartupSession, 0, ErrMalformed},
	} {
		kind, n, err := ParseStartup(c.in)
		if kind != c.want || n != c.size || err != c.err {
			t.Errorf("%s: got kind %d, size %d, error %v", c.name, kind, n, err)
		}
	}
}

func TestParseStatement(t *testing.T) {
	s, err := ParseStatement([]byte(insertStatement))
	if err != nil {
		t.Fatal(err)
	}
	if string(s.ID) != "9b1f03aa" || string(s.OpType) != "order" || string(s.Key) != "7f3a9c21" ||
		s.Remaining != 480*time.Millisecond || s.Group != 2 || s.After != 0 || s.Retry {
		t.Errorf("got %+v", s)
	}
	s, err = ParseStatement([]byte(`SELECT data FROM facts WHERE code = 'a' /* id=1,c=b,d=5,r=1,after=1767225600123 */;`))
	if err != nil || s.After != 1767225600123 || !s.Retry || s.Group != 0 {
		t.Errorf("got %+v, error %v", s, err)
	}
}

func TestStatementAppendQueryReplacesOnlyRemainingTime(t *testing.T) {
	s, err := ParseStatement([]byte(insertStatement))
	if err != nil {
		t.Fatal(err)
	}
	m, n, err := Next(s.AppendQuery(nil, 77999*time.Microsecond), DefaultMaxMessage)
	want := strings.Replace(insertStatement, "d=480", "d=77", 1) + "\x00"
	if err != nil || n != len(want)+5 || m.Type != Query || string(m.Body) != want {
		t.Errorf("got %q of size %d, error %v, want only d changed to 77", m.Body, n, err)
	}
}

func TestParseStatementRejectsInvalidComments(t *testing.T) {
	for _, text := range []string{"", "SELECT 1", "/*", "/*/", "*/", "/**/", "SELECT 1 /* id=1,c=b */", "/* id=1,d=5 */",
		"/* c=b,d=5 */", "/* id=1,c=b,d=-5 */", "/* id=1,c=b,d= */", "/* id=1,c=b,d=99999999999 */",
		"/* id=1,c=b,d=5,cluster=70000 */", "/* id=1,c=b,d=5,after=x */",
		"/* id=1,c=b,d=5,after=9007199254740991 */", "/* id=1,c=b,d=5 */ SELECT 1", "/* id=1,c=b,d=5,z */"} {
		if _, err := ParseStatement([]byte(text)); !errors.Is(err, ErrComment) {
			t.Errorf("%q: got error %v, want ErrComment", text, err)
		}
	}
}

func TestParseMessageBodies(t *testing.T) {
	m, _, _ := Next(AppendError(nil, "ERROR", "53300", "busy", "250"), DefaultMaxMessage)
	if code, err := ParseSQLState(m.Body); err != nil || string(code) != "53300" {
		t.Errorf("got code %q, error %v, want 53300", code, err)
	}
	for _, bad := range []string{"", "C53300\x00", "C533\x00\x00", "Mx\x00\x00", "C53300"} {
		if code, err := ParseSQLState([]byte(bad)); err != ErrMalformed {
			t.Errorf("%q: got code %q, error %v, want ErrMalformed", bad, code, err)
		}
	}
	if name, value, err := ParseParameterStatus([]byte("role\x00primary\x00")); err != nil || string(name) != "role" ||
		string(value) != "primary" {
		t.Errorf("got parameter %q=%q, error %v, want role=primary", name, value, err)
	}
	for _, bad := range []string{"", "role", "role\x00", "role\x00a", "role\x00a\x00b", "\x00\x00"} {
		if _, _, err := ParseParameterStatus([]byte(bad)); err != ErrMalformed {
			t.Errorf("%q: got error %v, want ErrMalformed", bad, err)
		}
	}
	if v, err := ParseSingleColumn([]byte("\x00\x01\x00\x00\x00\x02ab")); err != nil || string(v) != "ab" {
		t.Errorf("got column %q, error %v, want ab", v, err)
	}
	for _, bad := range []string{"", "\x00\x02\x00\x00\x00\x02ab", "\x00\x01\x00\x00\x00\x03ab", "\x00\x01\xff\xff\xff\xff"} {
		if _, err := ParseSingleColumn([]byte(bad)); err != ErrMalformed {
			t.Errorf("%q: got error %v, want ErrMalformed", bad, err)
		}
	}
}

func FuzzMessages(f *testing.F) {
	f.Add(AppendReady(AppendError(AppendQuery(nil, insertStatement), "ERROR", "53300", "busy", "5")))
	f.Add(AppendStartup(nil, "portal", "crm"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if _, n, err := ParseStartup(b); n > len(b) || n > 0 && err != nil {
			t.Errorf("startup packet: got size %d, error %v", n, err)
		}
		for rest := b; ; {
			m, n, err := Next(rest, DefaultMaxMessage)
			if n == 0 || err != nil {
				return
			}
			if encoded := AppendRaw(nil, m); !bytes.Equal(encoded, rest[:n]) {
				t.Errorf("got %[2]q, want %[1]q", rest[:n], encoded)
			}
			ParseSQLState(m.Body)
			ParseParameterStatus(m.Body)
			ParseSingleColumn(m.Body)
			ParseString(m.Body)
			rest = rest[n:]
		}
	})
}

func FuzzAnswers(f *testing.F) {
	f.Add([]byte("T\x00\x00\x00\x1d\x00\x01data\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01"))
	f.Add([]byte("D\x00\x00\x00\x0b\x00\x01\x00\x00\x00\x01vZ\x00\x00\x00\x05I"))
	f.Fuzz(func(t *testing.T, b []byte) {
		m, n, err := NextServerMessage(b, DefaultMaxMessage)
		if n > len(b) || n > 0 && (err != nil || len(m.Body) != n-5) {
			t.Fatalf("got size %d of %d bytes, error %v", n, len(b), err)
		}
		for i := range n { // no prefix of a valid message is rejected
			if _, _, err := NextServerMessage(b[:i], DefaultMaxMessage); err != nil {
				t.Fatalf("got error %v after %d bytes of %d, want none", err, i, n)
			}
		}
		if n > 0 && m.Type == DataRow {
			if _, err := ParseSingleColumn(m.Body); err != nil {
				t.Fatal(err)
			}
		}
		HasOneColumn(b)
	})
}

func FuzzStatement(f *testing.F) {
	f.Add([]byte(insertStatement))
	f.Add([]byte("/* id=1,c=b,d=5 */"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := ParseStatement(text)
		if err != nil {
			return
		}
		m, _, err := Next(s.AppendQuery(nil, s.Remaining), DefaultMaxMessage)
		if err != nil {
			t.Fatal(err)
		}
		reparsed, err := ParseStatement(m.Body[:len(m.Body)-1])
		if err != nil || reparsed.Remaining != s.Remaining || !bytes.Equal(reparsed.ID, s.ID) {
			t.Errorf("%q: got query %q, error %v, want the same id and time", text, m.Body, err)
		}
	})
}

// A reader that grows for a long message, or skips it, gets the same other messages in the same order, however the bytes
// are cut, and never a buffer larger than the message needs.
func TestLongMessagesAreReadOrSkipped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sizes := rapid.SliceOfN(rapid.IntRange(5, 20_000), 1, 8).Draw(t, "sizes")
		var stream []byte
		for i, size := range sizes {
			stream = AppendMessage(stream, byte('a'+i), strings.Repeat("x", size-5))
		}
		var buffer ReadBuffer
		var got []byte
		skipped := map[byte]bool{}
		for len(stream) > 0 {
			space := buffer.Space()
			n := copy(space, stream[:min(len(stream), rapid.IntRange(1, 9000).Draw(t, "n"))])
			stream = stream[n:]
			buffer.Filled(n)
			readMessages(t, &buffer, func(m Message) {
				if len(m.Body)+5 != sizes[m.Type-'a'] {
					t.Fatalf("message %c has %d bytes, want %d", m.Type, len(m.Body)+5, sizes[m.Type-'a'])
				}
				got = append(got, m.Type)
				buffer.Shrink()
			})
			if size := MessageSize(buffer.Bytes()); !buffer.Holds(size) {
				if name := buffer.Bytes()[0]; rapid.Bool().Draw(t, "skip") {
					skipped[name] = true
					buffer.Skip(size)
				} else {
					buffer.Grow(size)
				}
			}
			if len(buffer.buf) > max(bufferSize, slices.Max(sizes)+minSpace) {
				t.Fatalf("the buffer has %d bytes", len(buffer.buf))
			}
		}
		if buffer.Skipping() || len(buffer.Bytes()) > 0 {
			t.Fatalf("%d bytes are left", len(buffer.Bytes()))
		}
		for i := range sizes {
			name := byte('a' + i)
			if skipped[name] == slices.Contains(got, name) {
				t.Errorf("message %c: skipped %v, got %q", name, skipped[name], got)
			}
		}
		if !slices.IsSorted(got) {
			t.Errorf("got messages %q, want them in order", got)
		}
	})
}
