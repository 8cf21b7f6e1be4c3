package pgwire

import (
	"bytes"
	"errors"
	"strconv"
	"time"
)

// ErrComment is the error for a statement without the comment that describes the op, or with an invalid one.
var ErrComment = errors.New("no usable comment")

// Statement is a parsed query. All its slices are slices of Text.
type Statement struct {
	// Text is the whole text of the query.
	Text []byte

	// ID is the client's id for the op.
	ID []byte

	// OpType is the name of the op type.
	OpType []byte

	// Key is the first quoted string in the statement, empty if there is none.
	Key []byte

	// Remaining is how long the client keeps waiting for the answer.
	Remaining time.Duration

	// Group is the group of servers that the op is for.
	Group uint16

	// After is the log position that the op has to see, in Unix milliseconds, or 0 for none.
	After int64

	// Retry is true if the client sends the op again.
	Retry bool

	// remainingStart is the offset in Text of the first digit of field d.
	remainingStart int

	// remainingEnd is the offset in Text after the last digit of field d.
	remainingEnd int
}

// ParseStatement parses the first quoted string and the trailing comment of a statement.
func ParseStatement(text []byte) (*Statement, error) {
	s := &Statement{Text: text}
	trimmed := bytes.TrimRight(text, " ;\n")
	commentStart := bytes.LastIndex(trimmed, []byte("/*"))
	if commentStart < 0 || !bytes.HasSuffix(trimmed, []byte("*/")) || commentStart+4 > len(trimmed) {
		return s, ErrComment
	}
	offset, commentEnd := commentStart+2, len(trimmed)-2
	for offset < commentEnd {
		length := bytes.IndexByte(text[offset:commentEnd], ',')
		if length < 0 {
			length = commentEnd - offset
		}
		if err := s.parseField(offset, text[offset:offset+length]); err != nil {
			return s, err
		}
		offset += length + 1
	}
	if len(s.ID) == 0 || len(s.OpType) == 0 || s.remainingEnd == 0 {
		return s, ErrComment
	}
	if quote := bytes.IndexByte(text[:commentStart], '\''); quote >= 0 {
		if n := bytes.IndexByte(text[quote+1:commentStart], '\''); n >= 0 {
			s.Key = text[quote+1 : quote+1+n]
		}
	}
	return s, nil
}

// parseField parses one name=value field of the comment. The offset is that of the field in the text.
func (s *Statement) parseField(offset int, raw []byte) error {
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
		s.remainingStart = offset + bytes.IndexByte(raw, '=') + 1
		s.remainingEnd = s.remainingStart + len(value)
	case "cluster":
		n, err = parseNumber(value, 16)
		s.Group = uint16(n)
	case "after":
		n, err = parseNumber(value, 43)
		s.After = int64(n)
	case "r":
		s.Retry = string(value) == "1"
	}
	return err
}

// parseNumber parses an unsigned decimal number of at most the given number of bits.
func parseNumber(b []byte, bits int) (uint64, error) {
	n, err := strconv.ParseUint(string(b), 10, bits)
	if err != nil {
		return 0, ErrComment
	}
	return n, nil
}

// AppendQuery appends a Query message with the statement, in which only the remaining time (field d) is replaced.
func (s *Statement) AppendQuery(b []byte, remaining time.Duration) []byte {
	start := len(b)
	b = append(b, Query, 0, 0, 0, 0)
	b = append(b, s.Text[:s.remainingStart]...)
	b = strconv.AppendInt(b, max(0, remaining.Milliseconds()), 10)
	b = append(append(b, s.Text[s.remainingEnd:]...), 0)
	be.PutUint32(b[start+1:], uint32(len(b)-start-1))
	return b
}
