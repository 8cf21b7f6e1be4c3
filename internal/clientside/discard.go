package clientside

import (
	"errors"
	"log/slog"

	"gorsewell/internal/pgwire"
)

// When there is no memory to read further input ahead, and a send needs to know whether the client is still there, input is
// read and discarded. Of the commands in it only their number is kept: the reader refuses them when it gets to their
// place. It goes on like that until the reader has got there, so that the order of replies is that of the commands.

// errInputDiscarded means that the reader has got to input that was discarded and has dealt with it.
var errInputDiscarded = errors.New("input was discarded")

// commandHeader is the size in bytes of the type and the length of a message.
const commandHeader = 5

// commandScanner finds the boundaries of commands in a stream of which it keeps nothing but an incomplete header.
type commandScanner struct {
	// maxMessage is the greatest length of a message in bytes.
	maxMessage int

	// complete is the number of complete commands.
	complete int

	// header holds the header of the incomplete command, or its beginning.
	header [commandHeader]byte

	// begun is how many bytes of the incomplete command were scanned.
	begun int

	// left is how many bytes of it follow, 0 while its header is incomplete.
	left int

	// ended is why nothing behind this place is a command, or nil.
	ended error
}

// scan scans the next bytes of the stream.
func (s *commandScanner) scan(input []byte) {
	for len(input) > 0 && s.ended == nil {
		n := 0
		if s.begun < commandHeader {
			n = s.scanHeader(input)
		} else {
			n = min(s.left, len(input))
			s.begun += n
			s.left -= n
		}
		input = input[n:]
		if s.ended == nil && s.begun >= commandHeader && s.left == 0 {
			s.complete++
			s.begun = 0
		}
	}
}

// scanHeader scans bytes of a header and returns how many.
func (s *commandScanner) scanHeader(input []byte) (n int) {
	n = copy(s.header[s.begun:], input)
	if s.begun += n; s.begun < commandHeader {
		return n
	}
	_, _, err := pgwire.Next(s.header[:], s.maxMessage)
	switch {
	case err != nil:
		s.ended = err
	case s.header[0] == pgwire.Terminate:
		s.ended = errClientGone
	case s.header[0] != pgwire.Query:
		s.ended = pgwire.ErrMalformed
	}
	s.left = pgwire.MessageSize(s.header[:]) - commandHeader
	return n
}

// discardAhead reads input behind what was read ahead and discards it.
func (c *conn) discardAhead() (n int, err error) {
	c.beginDiscarding()
	piece := discardPieces.Get().(*[discardPiece]byte)
	defer discardPieces.Put(piece)
	n, _, err = c.readNow(piece[:])
	scanner := &c.ahead.scanner
	before := scanner.complete
	scanner.scan(piece[:max(0, n)])
	c.acceptor.counts.CommandsSkipped.Add(int64(scanner.complete - before))
	return n, err
}

// beginDiscarding drops the incomplete command at the end of what was read ahead.
func (c *conn) beginDiscarding() {
	if c.ahead.discarding {
		return
	}
	c.ahead.discarding = true
	scanner := &c.ahead.scanner
	scanner.complete = 0
	if scanner.ended == nil {
		dropped := c.ahead.dropEnd(scanner.begun)
		c.readBuffer.DropEnd(scanner.begun - dropped)
	}
}

// atDiscardedInput reports whether the reader has got to input that was discarded.
func (c *conn) atDiscardedInput() bool { return c.ahead.discarding && c.ahead.size == 0 }

// passDiscardedInput replies to the commands that were discarded and leaves the reader behind them. It returns
// errInputDiscarded, errNoMemory for a command of which only a part has been discarded yet, or why no command follows.
func (c *conn) passDiscardedInput() error {
	scanner := c.ahead.scanner
	c.ahead = readAhead{}
	if scanner.complete > 0 {
		c.logEvent("commands_refused", slog.String("code", "53300"), slog.String("reason", "no memory"),
			slog.Int("commands", scanner.complete))
		c.enqueue(reply{refusals: scanner.complete, answersCommand: true})
	}
	switch {
	case scanner.ended != nil:
		return scanner.ended
	case scanner.begun < commandHeader:
		c.readBuffer.Filled(copy(c.readBuffer.Space(), scanner.header[:scanner.begun]))
		return errInputDiscarded
	}
	c.limitInputTime()
	return c.skipMessage(scanner.left)
}
