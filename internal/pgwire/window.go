package pgwire

// ReadBuffer is the read buffer of one connection. Bytes are read into its free space and removed as messages, which
// stay valid until the next call of Space.
type Window struct {
	// MaxMessage is the greatest length of a message in bytes. Values below DefaultMaxMessage have no effect.
	Most int

	buf []byte

	// start is the offset in buf of the first unread byte.
	start int

	// end is the offset in buf after the last unread byte.
	end int
}

const (
	// bufferSize is the usual size of a buffer in bytes.
	bufferSize = 4 << 10

	// minSpace is the least free space that a read gets, in bytes.
	minSpace = 512
)

// Space returns free space to read into.
func (w *Window) Room() []byte {
	if w.start == w.end {
		w.start, w.end = 0, 0
		if len(w.buf) > bufferSize {
			w.buf = nil // free the memory of a rare long message
		}
	}
	if len(w.buf)-w.end < minSpace {
		unread := w.buf[w.start:w.end]
		if size := max(bufferSize, 2*len(unread)); size > len(w.buf) {
			w.buf = make([]byte, size)
		}
		w.start, w.end = 0, copy(w.buf, unread)
	}
	return w.buf[w.end:]
}

// Filled records that n bytes were read into the free space.
func (w *Window) Filled(n int) { w.end += n }

// Bytes returns the bytes that were read and not yet removed.
func (w *Window) Bytes() []byte { return w.buf[w.start:w.end] }

// Discard removes n bytes from the front.
func (w *Window) Take(n int) { w.start += n }

// Next removes and returns the next message if all of it has been read.
func (w *Window) Next() (m Message, ok bool, err error) {
	return w.consume(Next(w.Bytes(), w.Longest()))
}

// NextServerMessage is like Next for messages from a server.
func (w *Window) NextAnswer() (m Message, ok bool, err error) {
	return w.consume(NextAnswer(w.Bytes(), w.Longest()))
}

// MessageLimit returns the greatest length of a message in bytes.
func (w *Window) Longest() int { return max(w.Most, MaxMessage) }

// consume removes n bytes and passes on the result of a parser. A message was complete if n is greater than 0.
func (w *Window) consume(m Message, n int, err error) (Message, bool, error) {
	w.start += n
	return m, n > 0, err
}
