package pgwire

// Window is the buffer of one connection: bytes are read into its room and taken as messages, which stay
// valid until the next call of Room.
type Window struct {
	Most       int // how long a message may be; MaxMessage where it says less
	buf        []byte
	start, end int
}

const (
	bufferSize = 4 << 10
	minSpace   = 512
)

// Room returns free space to read into.
func (w *Window) Room() []byte {
	if w.start == w.end {
		w.start, w.end = 0, 0
		if len(w.buf) > bufferSize {
			w.buf = nil // a rare long message does not keep its space
		}
	}
	if len(w.buf)-w.end < minSpace {
		held := w.buf[w.start:w.end]
		if size := max(bufferSize, 2*len(held)); size > len(w.buf) {
			w.buf = make([]byte, size)
		}
		w.start, w.end = 0, copy(w.buf, held)
	}
	return w.buf[w.end:]
}

// Filled says that n bytes were read into the room.
func (w *Window) Filled(n int) { w.end += n }

// Bytes returns what was read and not taken.
func (w *Window) Bytes() []byte { return w.buf[w.start:w.end] }

// Take drops n bytes from the front.
func (w *Window) Take(n int) { w.start += n }

// Next takes the next message, if all of it has been read.
func (w *Window) Next() (m Message, ok bool, err error) {
	return w.consume(Next(w.Bytes(), w.Longest()))
}

// NextAnswer does so for what a server sends.
func (w *Window) NextAnswer() (m Message, ok bool, err error) {
	return w.consume(NextAnswer(w.Bytes(), w.Longest()))
}

// Longest is how long a message may be.
func (w *Window) Longest() int { return max(w.Most, MaxMessage) }

func (w *Window) consume(m Message, n int, err error) (Message, bool, error) {
	w.start += n
	return m, n > 0, err
}
