package pgwire

import "math"

// serverMessageLimits is how long the messages of a server may be, their length included. What a gateway asks for has one column
// with a plain name, so most are short: a length that cannot be meant shows at once, not when its bytes fail to come.
var serverMessageLimits = [256]uint32{
	Authentication:   64,
	ParameterStatus:  1 << 10,
	BackendKeyData:   512,
	ReadyForQuery:    5,
	RowDescription:   256,
	DataRow:          math.MaxUint32, // as long as any may be
	CommandComplete:  128,
	ErrorResponse:    8 << 10,
	NoticeResponse:   8 << 10,
	NotificationResp: 10 << 10,
}

// NextAnswer is Next for what a server sends: it knows the messages that may come and how long each may be, and looks at
// a row before all of it has come.
func NextAnswer(b []byte, most int) (m Message, size int, err error) {
	if len(b) == 0 {
		return m, 0, nil
	}
	if serverMessageLimits[b[0]] == 0 {
		return m, 0, ErrMalformed
	}
	if m, size, err = Next(b, most); err != nil || len(b) < 5 {
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

// OneColumn tells whether the body of a RowDescription describes one column.
func OneColumn(body []byte) bool {
	if len(body) < 2 || be.Uint16(body) != 1 {
		return false
	}
	name, rest, err := CutText(body[2:])
	return err == nil && len(name) > 0 && len(rest) == 18
}
