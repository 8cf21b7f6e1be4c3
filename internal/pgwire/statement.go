package pgwire

import (
	"bytes"
	"errors"
	"strconv"
	"time"
)

// ErrComment says that a statement lacks the comment that describes the op, or that it cannot be used.
var ErrComment = errors.New("no usable comment")

// Statement is a query's text taken apart. All slices are of that text.
type Statement struct {
	Text                         []byte
	ID, OpType, Key              []byte
	Remaining                    time.Duration // for which the client waits
	Group                        uint16
	After                        int64 // Unix milliseconds of the position to see, 0 where none is told
	Again                        bool  // a client's retry
	remainingStart, remainingEnd int   // where the digits of d stand
}

// Describe reads the quoted key and the comment of a statement.
func Describe(text []byte) (*Statement, error) {
	s := &Statement{Text: text}
	end := bytes.TrimRight(text, " ;\n")
	open := bytes.LastIndex(end, []byte("/*"))
	if open < 0 || !bytes.HasSuffix(end, []byte("*/")) || open+4 > len(end) {
		return s, ErrComment
	}
	at, last := open+2, len(end)-2
	for at < last {
		stop := bytes.IndexByte(text[at:last], ',')
		if stop < 0 {
			stop = last - at
		}
		if err := s.parseField(at, text[at:at+stop]); err != nil {
			return s, err
		}
		at += stop + 1
	}
	if len(s.ID) == 0 || len(s.OpType) == 0 || s.remainingEnd == 0 {
		return s, ErrComment
	}
	if q := bytes.IndexByte(text[:open], '\''); q >= 0 {
		if n := bytes.IndexByte(text[q+1:open], '\''); n >= 0 {
			s.Key = text[q+1 : q+1+n]
		}
	}
	return s, nil
}

// parseField reads one name and value of the comment, which stands at the given place in the text.
func (s *Statement) parseField(at int, raw []byte) error {
	name, value, ok := bytes.Cut(bytes.TrimSpace(raw), []byte("="))
	if !ok {
		return ErrComment
	}
	var n uint64
	var err error
	switch string(name) {
	case "id":
		s.ID = value
	case "c":
		s.OpType = value
	case "d":
		n, err = parseNumber(value, 32)
		s.Remaining = time.Duration(n) * time.Millisecond
		s.remainingStart = at + bytes.IndexByte(raw, '=') + 1
		s.remainingEnd = s.remainingStart + len(value)
	case "cluster":
		n, err = parseNumber(value, 16)
		s.Group = uint16(n)
	case "after":
		n, err = parseNumber(value, 43)
		s.After = int64(n)
	case "r":
		s.Again = string(value) == "1"
	}
	return err
}

func parseNumber(b []byte, bits int) (uint64, error) {
	n, err := strconv.ParseUint(string(b), 10, bits)
	if err != nil {
		return 0, ErrComment
	}
	return n, nil
}

// AppendQuery appends the query that passes the statement on, unchanged but for the time that remains.
func (s *Statement) AppendQuery(b []byte, remaining time.Duration) []byte {
	start := len(b)
	b = append(b, Query, 0, 0, 0, 0)
	b = append(b, s.Text[:s.remainingStart]...)
	b = strconv.AppendInt(b, max(0, remaining.Milliseconds()), 10)
	b = append(append(b, s.Text[s.remainingEnd:]...), 0)
	be.PutUint32(b[start+1:], uint32(len(b)-start-1))
	return b
}
