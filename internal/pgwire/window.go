package pgwire

// ReadBuffer is the read buffer of one connection. Bytes are read into its free space and removed as messages, which
// stay valid until the next call of Space.
type ReadBuffer struct {
	// MaxMessage is the greatest length of a message in bytes. Values below DefaultMaxMessage have no effect.
	MaxMessage int

	buf []byte

	// start is the offset in buf of the first unread byte.
	start int

	// end is the offset in buf after the last unread byte.
	end int

	// skip is how many of the next bytes are to be discarded.
	skip int
}

const (
	// bufferSize is the usual size of a buffer in bytes.
	bufferSize = 4 << 10

	// minSpace is the least free space that a read gets, in bytes.
	minSpace = 512
)

// Space returns free space to read into. A buffer that is full grows. Readers that limit their memory ask Holds before
// and call Grow or Skip, so that it never does.
func (b *ReadBuffer) Space() []byte {
	if b.start == b.end {
		b.start, b.end = 0, 0
		if len(b.buf) > bufferSize {
			b.buf = nil // free the memory of a rare long message
		}
	}
	if len(b.buf)-b.end < minSpace {
		unread := b.buf[b.start:b.end]
		if len(b.buf) < len(unread)+minSpace {
			b.buf = make([]byte, max(bufferSize, 2*len(unread)))
		}
		b.start, b.end = 0, copy(b.buf, unread)
	}
	return b.buf[b.end:]
}

// Holds reports whether a message of the given size at the front can be read without more memory.
func (b *ReadBuffer) Holds(size int) bool { return size <= max(bufferSize, len(b.buf))-minSpace }

// Grow makes room for a message of the given size at the front.
func (b *ReadBuffer) Grow(size int) {
	grown := make([]byte, size+minSpace)
	b.start, b.end, b.buf = 0, copy(grown, b.Bytes()), grown
}

// Shrink frees the memory of a buffer that has grown if the unread bytes fit into one of usual size, as they do after the
// message for which it has grown. Messages read before stay valid.
func (b *ReadBuffer) Shrink() {
	if len(b.buf) <= bufferSize {
		return
	}
	unread := b.Bytes()
	if len(unread) > bufferSize-minSpace {
		return
	}
	b.start, b.end, b.buf = 0, 0, nil
	if len(unread) > 0 {
		b.end = copy(b.Space(), unread)
	}
}

// Skip discards the next n bytes, those that have not been read yet included.
func (b *ReadBuffer) Skip(n int) {
	b.skip = n
	b.discardSkipped()
}

// Skipping reports whether bytes are still to be skipped.
func (b *ReadBuffer) Skipping() bool { return b.skip > 0 }

// SkipLeft returns how many bytes are still to be skipped.
func (b *ReadBuffer) SkipLeft() int { return b.skip }

// Skipped records that n of the bytes to be skipped were read elsewhere and discarded. There have to be no unread bytes.
func (b *ReadBuffer) Skipped(n int) { b.skip -= n }

// discardSkipped discards those bytes to be skipped that have been read.
func (b *ReadBuffer) discardSkipped() {
	n := min(b.skip, b.end-b.start)
	b.start += n
	b.skip -= n
}

// Filled records that n bytes were read into the free space.
func (b *ReadBuffer) Filled(n int) {
	b.end += n
	b.discardSkipped()
}

// Bytes returns the bytes that were read and not yet removed.
func (b *ReadBuffer) Bytes() []byte { return b.buf[b.start:b.end] }

// DropEnd removes n bytes from the end. Messages read before stay valid.
func (b *ReadBuffer) DropEnd(n int) { b.end -= n }

// Discard removes n bytes from the front.
func (b *ReadBuffer) Discard(n int) { b.start += n }

// Next removes and returns the next message if all of it has been read.
func (b *ReadBuffer) Next() (m Message, ok bool, err error) {
	return b.consume(Next(b.Bytes(), b.MessageLimit()))
}

// NextServerMessage is like Next for messages from a server.
func (b *ReadBuffer) NextServerMessage() (m Message, ok bool, err error) {
	return b.consume(NextServerMessage(b.Bytes(), b.MessageLimit()))
}

// MessageLimit returns the greatest length of a message in bytes.
func (b *ReadBuffer) MessageLimit() int { return max(b.MaxMessage, DefaultMaxMessage) }

// consume removes n bytes and passes on the result of a parser. A message was complete if n is greater than 0.
func (b *ReadBuffer) consume(m Message, n int, err error) (Message, bool, error) {
	b.start += n
	return m, n > 0, err
}
