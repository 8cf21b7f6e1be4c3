// Package pgwire parses and encodes the part of version 3 of PostgreSQL's wire protocol that simple queries
// need. It does no I/O: the parsers work on bytes that were already read and return slices of them.
package pgwire

import (
	"encoding/binary"
	"errors"
)

// The supported message types.
const (
	Query                = 'Q'
	Terminate            = 'X'
	Authentication       = 'R'
	ParameterStatus      = 'S'
	ReadyForQuery        = 'Z'
	RowDescription       = 'T'
	DataRow              = 'D'
	CommandComplete      = 'C'
	EmptyQueryResponse   = 'I'
	ErrorResponse        = 'E'
	NoticeResponse       = 'N'
	NotificationResponse = 'A'
	BackendKeyData       = 'K'
)

// Limits on the lengths that a peer may declare, in bytes, the length field included.
const (
	// DefaultMaxMessage has room for a value of 64 KiB in hexadecimal form and the rest of its message.
	// A reader may allow longer messages.
	DefaultMaxMessage = 160 << 10

	// maxStartupLen is the limit of PostgreSQL itself for a startup packet.
	maxStartupLen = 10000
)

// The codes in the version field of a startup packet.
const (
	protocolVersion3 = 3 << 16
	cancelRequest    = 1234<<16 | 5678
	sslRequest       = 1234<<16 | 5679
	gssEncRequest    = 1234<<16 | 5680
)

// Errors of the parsers. Their texts are sent to clients in error responses.
var (
	// ErrMalformed is the error for bytes that are not a valid message.
	ErrMalformed = errors.New("malformed message")

	// ErrTooLong is the error for a message that is longer than the reader allows.
	ErrTooLong = errors.New("message too long")

	// ErrVersion is the error for a startup packet of another protocol version than 3.
	ErrVersion = errors.New("unsupported protocol version")
)

var be = binary.BigEndian

// Message is one protocol message. Body is a slice of the bytes from which it was parsed.
type Message struct {
	Type byte
	Body []byte
}

// Next returns the first message in b and its size in bytes. The size is 0 while the message is incomplete. A message
// whose length field is greater than maxLength is an error.
func Next(b []byte, maxLength int) (m Message, size int, err error) {
	if len(b) < 5 {
		return m, 0, nil
	}
	n := be.Uint32(b[1:])
	switch {
	case n < 4:
		return m, 0, ErrMalformed
	case int64(n) > int64(maxLength):
		return m, 0, ErrTooLong
	case len(b) < int(n)+1:
		return m, 0, nil
	}
	return Message{b[0], b[5 : n+1]}, int(n) + 1, nil
}

// MessageSize returns the size in bytes that the first message in b declares, or 0 if that has not been read.
func MessageSize(b []byte) int {
	if len(b) < 5 {
		return 0
	}
	return int(be.Uint32(b[1:])) + 1
}

// StartupSize is like MessageSize for the first packet of a client.
func StartupSize(b []byte) int {
	if len(b) < 4 {
		return 0
	}
	return int(be.Uint32(b))
}

// StartupKind is the kind of the first packet of a client.
type StartupKind uint8

// The kinds of first packets.
const (
	// StartupSession is a StartupMessage, which starts a session.
	StartupSession StartupKind = iota

	// StartupEncryption is an SSLRequest or a GSSENCRequest.
	StartupEncryption

	// StartupCancel is a CancelRequest.
	StartupCancel
)

// ParseStartup parses the first packet of a client and returns its kind and its size in bytes. The size is 0 while the
// packet is incomplete. A StartupMessage has to name a user.
func ParseStartup(b []byte) (kind StartupKind, size int, err error) {
	if len(b) < 8 {
		if len(b) >= 4 && (be.Uint32(b) < 8 || be.Uint32(b) > maxStartupLen) {
			return kind, 0, ErrMalformed
		}
		return kind, 0, nil
	}
	n, code := be.Uint32(b), be.Uint32(b[4:])
	switch {
	case n < 8 || n > maxStartupLen:
		return kind, 0, ErrMalformed
	case len(b) < int(n):
		return kind, 0, nil
	case code == sslRequest || code == gssEncRequest:
		return StartupEncryption, int(n), nil
	case code == cancelRequest:
		return StartupCancel, int(n), nil
	case code>>16 != protocolVersion3>>16:
		return kind, 0, ErrVersion
	}
	hasUser := false
	for rest := b[8:n]; ; {
		name, value, left, err := cutPair(rest)
		if err != nil {
			return kind, 0, err
		} else if len(name) == 0 {
			if len(left) > 0 || !hasUser {
				return kind, 0, ErrMalformed
			}
			return StartupSession, int(n), nil
		}
		hasUser = hasUser || string(name) == "user" && len(value) > 0
		rest = left
	}
}

// cutPair cuts a null-terminated name and its null-terminated value off the front of b. An empty name has no value.
func cutPair(b []byte) (name, value, rest []byte, err error) {
	if name, rest, err = CutString(b); err == nil && len(name) > 0 {
		value, rest, err = CutString(rest)
	}
	return name, value, rest, err
}

// CutString cuts a null-terminated string off the front of b.
func CutString(b []byte) (s, rest []byte, err error) {
	for i, c := range b {
		if c == 0 {
			return b[:i], b[i+1:], nil
		}
	}
	return nil, nil, ErrMalformed
}

// ParseString parses a body that is a single null-terminated string, such as that of a Query.
func ParseString(body []byte) ([]byte, error) {
	s, rest, err := CutString(body)
	if err == nil && len(rest) > 0 {
		err = ErrMalformed
	}
	return s, err
}

// ParseParameterStatus parses the body of a ParameterStatus.
func ParseParameterStatus(body []byte) (name, value []byte, err error) {
	if name, value, rest, err := cutPair(body); err == nil && len(name) > 0 && len(rest) == 0 {
		return name, value, nil
	}
	return nil, nil, ErrMalformed
}

// ParseSQLState returns the SQLSTATE code in the body of an ErrorResponse.
func ParseSQLState(body []byte) (code []byte, err error) {
	for len(body) > 0 && body[0] != 0 {
		value, rest, err := CutString(body[1:])
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

// ParseSingleColumn returns the value in the body of a DataRow that has exactly one column. A null value is an error.
func ParseSingleColumn(body []byte) ([]byte, error) {
	if len(body) < 6 || be.Uint16(body) != 1 || uint64(be.Uint32(body[2:])) != uint64(len(body)-6) {
		return nil, ErrMalformed
	}
	return body[6:], nil
}

// AppendMessage appends a message whose body is the concatenation of parts.
func AppendMessage(b []byte, messageType byte, parts ...string) []byte {
	b = append(b, messageType, 0, 0, 0, 0)
	start := len(b) - 4
	for _, p := range parts {
		b = append(b, p...)
	}
	be.PutUint32(b[start:], uint32(len(b)-start))
	return b
}

// AppendStartup appends a StartupMessage with the given user and database.
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

// AppendQuery appends a Query message.
func AppendQuery(b []byte, statement string) []byte {
	return AppendMessage(b, Query, statement, "\x00")
}

// AppendStartupReply appends the reply to a StartupMessage: AuthenticationOk without a password, the ParameterStatus
// messages and ReadyForQuery.
func AppendStartupReply(b []byte) []byte {
	b = AppendMessage(b, Authentication, "\x00\x00\x00\x00")
	for _, p := range [][2]string{{"server_version", "15.0"}, {"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"}, {"integer_datetimes", "on"}, {"standard_conforming_strings", "on"}} {
		b = AppendMessage(b, ParameterStatus, p[0], "\x00", p[1], "\x00")
	}
	return AppendReady(b)
}

// AppendReady appends a ReadyForQuery outside a transaction.
func AppendReady(b []byte) []byte { return AppendMessage(b, ReadyForQuery, "I") }

// AppendError appends an ErrorResponse. Its detail field is omitted if detail is empty.
func AppendError(b []byte, severity, code, message, detail string) []byte {
	parts := []string{"S", severity, "\x00V", severity, "\x00C", code, "\x00M", message, "\x00"}
	if detail != "" {
		parts = append(parts, "D", detail, "\x00")
	}
	return AppendMessage(b, ErrorResponse, append(parts, "\x00")...)
}

// AppendRaw appends a parsed message unchanged.
func AppendRaw(b []byte, m Message) []byte {
	b = be.AppendUint32(append(b, m.Type), uint32(len(m.Body)+4))
	return append(b, m.Body...)
}
