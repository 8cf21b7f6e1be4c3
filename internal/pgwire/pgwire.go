// Package pgwire parses and encodes version 3 of PostgreSQL's wire protocol, as far as simple queries
// need it. It does no I/O: parsers look at bytes already read and return slices of them.
package pgwire

import (
	"encoding/binary"
	"errors"
)

// The types of messages that are spoken here.
const (
	Query            = 'Q'
	Terminate        = 'X'
	Authentication   = 'R'
	ParameterStatus  = 'S'
	ReadyForQuery    = 'Z'
	RowDescription   = 'T'
	DataRow          = 'D'
	CommandComplete  = 'C'
	EmptyQuery       = 'I'
	ErrorResponse    = 'E'
	NoticeResponse   = 'N'
	NotificationResp = 'A'
	BackendKeyData   = 'K'
)

// Limits on what a peer may claim. A message may be as long as a value of 64 KiB in hexadecimal form and what surrounds
// it, or longer where the reader says so.
const (
	MaxMessage    = 160 << 10
	maxStartupLen = 10000 // as PostgreSQL's own
)

// The codes that stand in a startup packet's place for a version.
const (
	protocolVersion3 = 3 << 16
	cancelRequest    = 1234<<16 | 5678
	sslRequest       = 1234<<16 | 5679
	gssEncRequest    = 1234<<16 | 5680
)

// What may be wrong with a peer's bytes.
var (
	ErrMalformed = errors.New("malformed message")
	ErrTooLong   = errors.New("message too long")
	ErrVersion   = errors.New("unsupported protocol version")
)

var be = binary.BigEndian

// Message is one message; Body is a slice of the bytes that it was parsed from.
type Message struct {
	Type byte
	Body []byte
}

// Next returns the first message in b, of at most most bytes, and its size; a size of 0 asks for more bytes.
func Next(b []byte, most int) (m Message, size int, err error) {
	if len(b) < 5 {
		return m, 0, nil
	}
	n := be.Uint32(b[1:])
	switch {
	case n < 4:
		return m, 0, ErrMalformed
	case int64(n) > int64(most):
		return m, 0, ErrTooLong
	case len(b) < int(n)+1:
		return m, 0, nil
	}
	return Message{b[0], b[5 : n+1]}, int(n) + 1, nil
}

// Opening is what a client's first packet asks for.
type Opening uint8

// The openings.
const (
	OpensSession Opening = iota
	OpensEncryption
	OpensCancel
)

// Startup reads the packet with which a client begins; a size of 0 asks for more bytes.
func Startup(b []byte) (o Opening, size int, err error) {
	if len(b) < 8 {
		if len(b) >= 4 && (be.Uint32(b) < 8 || be.Uint32(b) > maxStartupLen) {
			return o, 0, ErrMalformed
		}
		return o, 0, nil
	}
	n, code := be.Uint32(b), be.Uint32(b[4:])
	switch {
	case n < 8 || n > maxStartupLen:
		return o, 0, ErrMalformed
	case len(b) < int(n):
		return o, 0, nil
	case code == sslRequest || code == gssEncRequest:
		return OpensEncryption, int(n), nil
	case code == cancelRequest:
		return OpensCancel, int(n), nil
	case code>>16 != protocolVersion3>>16:
		return o, 0, ErrVersion
	}
	user := false
	for rest := b[8:n]; ; {
		name, value, left, err := cutPair(rest)
		if err != nil {
			return o, 0, err
		} else if len(name) == 0 {
			if len(left) > 0 || !user {
				return o, 0, ErrMalformed
			}
			return OpensSession, int(n), nil
		}
		user = user || string(name) == "user" && len(value) > 0
		rest = left
	}
}

// cutPair reads a name and its value, each ended by a zero byte; an empty name has no value.
func cutPair(b []byte) (name, value, rest []byte, err error) {
	if name, rest, err = CutText(b); err == nil && len(name) > 0 {
		value, rest, err = CutText(rest)
	}
	return name, value, rest, err
}

// CutText reads a string ended by a zero byte.
func CutText(b []byte) (s, rest []byte, err error) {
	for i, c := range b {
		if c == 0 {
			return b[:i], b[i+1:], nil
		}
	}
	return nil, nil, ErrMalformed
}

// Text reads a body that is one string, as a query's is.
func Text(body []byte) ([]byte, error) {
	s, rest, err := CutText(body)
	if err == nil && len(rest) > 0 {
		err = ErrMalformed
	}
	return s, err
}

// Parameter reads the body of a ParameterStatus.
func Parameter(body []byte) (name, value []byte, err error) {
	if name, value, rest, err := cutPair(body); err == nil && len(name) > 0 && len(rest) == 0 {
		return name, value, nil
	}
	return nil, nil, ErrMalformed
}

// Code reads the SQLSTATE from the body of an ErrorResponse.
func Code(body []byte) (code []byte, err error) {
	for len(body) > 0 && body[0] != 0 {
		value, rest, err := CutText(body[1:])
		if err != nil {
			return nil, err
		}
		if body[0] == 'C' {
			code = value
		}
		body = rest
	}
	if len(body) != 1 || len(code) != 5 {
		return nil, ErrMalformed
	}
	return code, nil
}

// Column reads the only column from the body of a DataRow.
func Column(body []byte) ([]byte, error) {
	if len(body) < 6 || be.Uint16(body) != 1 || uint64(be.Uint32(body[2:])) != uint64(len(body)-6) {
		return nil, ErrMalformed
	}
	return body[6:], nil
}

// AppendMessage appends a message of which body appends the rest.
func AppendMessage(b []byte, kind byte, parts ...string) []byte {
	b = append(b, kind, 0, 0, 0, 0)
	start := len(b) - 4
	for _, p := range parts {
		b = append(b, p...)
	}
	be.PutUint32(b[start:], uint32(len(b)-start))
	return b
}

// AppendStartup appends the packet with which a client of a database begins.
func AppendStartup(b []byte, user, database string) []byte {
	start := len(b)
	b = append(b, 0, 0, 0, 0, 0, 3, 0, 0)
	for _, s := range []string{"user", user, "database", database} {
		b = append(append(b, s...), 0)
	}
	b = append(b, 0)
	be.PutUint32(b[start:], uint32(len(b)-start))
	return b
}

// AppendQuery appends a simple query.
func AppendQuery(b []byte, statement string) []byte {
	return AppendMessage(b, Query, statement, "\x00")
}

// AppendWelcome appends what lets a client in without a password.
func AppendWelcome(b []byte) []byte {
	b = AppendMessage(b, Authentication, "\x00\x00\x00\x00")
	for _, p := range [][2]string{{"server_version", "15.0"}, {"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"}, {"integer_datetimes", "on"}, {"standard_conforming_strings", "on"}} {
		b = AppendMessage(b, ParameterStatus, p[0], "\x00", p[1], "\x00")
	}
	return AppendReady(b)
}

// AppendReady appends the message that asks for the next query.
func AppendReady(b []byte) []byte { return AppendMessage(b, ReadyForQuery, "I") }

// AppendError appends an ErrorResponse; detail may be empty.
func AppendError(b []byte, severity, code, message, detail string) []byte {
	parts := []string{"S", severity, "\x00V", severity, "\x00C", code, "\x00M", message, "\x00"}
	if detail != "" {
		parts = append(parts, "D", detail, "\x00")
	}
	return AppendMessage(b, ErrorResponse, append(parts, "\x00")...)
}

// AppendRaw appends a message as it was parsed.
func AppendRaw(b []byte, m Message) []byte {
	b = be.AppendUint32(append(b, m.Type), uint32(len(m.Body)+4))
	return append(b, m.Body...)
}
