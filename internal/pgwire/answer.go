package pgwire

import "math"

// serverMessageLimits holds the greatest valid length of each type of server message, the length field included.
// The queries of a gateway return one column with a short name, so most messages are short. The limits reject an
// implausible length at once rather than when the bytes fail to arrive. Types with a limit of 0 are not accepted.
var serverMessageLimits = [256]uint32{
	Authentication:       64,
	ParameterStatus:      1 << 10,
	BackendKeyData:       512,
	ReadyForQuery:        5,
	RowDescription:       256,
	DataRow:              math.MaxUint32, // limited by the reader's maximum only
	CommandComplete:      128,
	EmptyQueryResponse:   4,
	ErrorResponse:        8 << 10,
	NoticeResponse:       8 << 10,
	NotificationResponse: 10 << 10,
}

// NextServerMessage is like Next for messages from a server. It also rejects types that a server does not send here and
// lengths above the limit of the type, and checks the header of a DataRow before the whole message has arrived.
func NextServerMessage(b []byte, maxLength int) (m Message, size int, err error) {
	if len(b) == 0 {
		return m, 0, nil
	}
	if serverMessageLimits[b[0]] == 0 {
		return m, 0, ErrMalformed
	}
	if m, size, err = Next(b, maxLength); err != nil || len(b) < 5 {
		return m, size, err
	}
	n := be.Uint32(b[1:])
	if n > serverMessageLimits[b[0]] {
		return m, 0, ErrTooLong
	}
	if b[0] == DataRow && (n < 10 || len(b) >= 11 && (be.Uint16(b[5:]) != 1 || be.Uint32(b[7:]) != n-10)) {
		return m, 0, ErrMalformed
	}
	return m, size, nil
}

// HasOneColumn reports whether the body of a RowDescription describes exactly one column.
func HasOneColumn(body []byte) bool {
	if len(body) < 2 || be.Uint16(body) != 1 {
		return false
	}
	name, rest, err := CutString(body[2:])
	return err == nil && len(name) > 0 && len(rest) == 18
}
