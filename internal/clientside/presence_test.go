package clientside

import (
	"encoding/binary"
	"flag"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gorsewell/internal/deployment"
	"gorsewell/internal/exchange"
	"gorsewell/internal/pgwire"
)

// The property tests draw the same cases in every run. Other seeds are tried with -rapid.seed.
func init() { flag.Set("rapid.seed", "1") }

// The scanner finds the commands of any stream, in pieces of any size, as the parser does on the whole.
func TestCommandScannerFindsCommandsOfParser(t *testing.T) {
	const maxMessage = 64
	rapid.Check(t, func(t *rapid.T) {
		var stream []byte
		for range rapid.IntRange(0, 12).Draw(t, "messages") {
			stream = append(stream, rapid.SampledFrom([]byte("QQQQQQXP")).Draw(t, "type"))
			length := rapid.IntRange(3, maxMessage+1).Draw(t, "length")
			stream = binary.BigEndian.AppendUint32(stream, uint32(length))
			stream = append(stream, make([]byte, max(0, length-4))...)
		}
		stream = stream[:rapid.IntRange(0, len(stream)).Draw(t, "cut")]
		wantComplete, wantEnded, rest := 0, error(nil), stream
		for wantEnded == nil && len(rest) >= commandHeader {
			m, size, err := pgwire.Next(rest, maxMessage)
			switch {
			case err != nil:
				wantEnded = err
			case rest[0] == pgwire.Terminate:
				wantEnded = errClientGone
			case rest[0] != pgwire.Query:
				wantEnded = pgwire.ErrMalformed
			}
			if size == 0 || wantEnded != nil {
				break
			}
			wantComplete++
			rest = rest[len(m.Body)+commandHeader:]
		}
		scanner := commandScanner{maxMessage: maxMessage}
		for left := stream; len(left) > 0; {
			n := rapid.IntRange(1, len(left)).Draw(t, "piece")
			scanner.scan(left[:n])
			left = left[n:]
		}
		if scanner.complete != wantComplete || scanner.ended != wantEnded {
			t.Fatalf("got %d commands and %v, want %d and %v", scanner.complete, scanner.ended, wantComplete, wantEnded)
		}
		if wantEnded == nil && scanner.begun != len(rest) {
			t.Fatalf("got %d bytes of an incomplete command, want %d", scanner.begun, len(rest))
		}
	})
}

// connectedPair returns the acceptor's side of a connection that is not served, and the client's.
func connectedPair(t *testing.T) (c *conn, client net.Conn) {
	t.Helper()
	a, _, _, _ := startAcceptor(t, 8, func(*exchange.Exchange) {})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	if client, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { accepted.Close() })
	if c, err = a.newConn(accepted.(*net.TCPConn)); err != nil {
		t.Fatal(err)
	}
	return c, client
}

// A client counted as present while its input stood unread, though the end of its stream might lie behind that.
func TestPresenceIsUnknownBehindUnreadInput(t *testing.T) {
	c, client := connectedPair(t)
	present := func() bool { return c.clientPresence().AllowsSend(c.acceptor.clock.Now()) }
	if !present() {
		t.Error("a client that has sent nothing is there")
	}
	client.Write(numberedQueries(3))
	waitUntil(t, "the knowledge is too old", func() bool { return !present() })
	if err := c.confirmPresence(); err != nil || !present() {
		t.Errorf("got %v, want the client to be known once all is read", err)
	}
	client.Write(numberedQueries(1))
	waitUntil(t, "the command has arrived", func() bool { return unreadBytes(c.raw) > 0 })
	client.Close()
	waitUntil(t, "the leaving is seen behind the command", func() bool { return c.clientPresence().Left })
}

// awaitPresence has an op wait for knowledge of its client, as a send would.
func awaitPresence(a *Acceptor, op *exchange.Exchange, known bool) {
	for op.Presence().AllowsSend(a.clock.Now()) != known {
		time.Sleep(time.Millisecond)
	}
}

// Input for which there is no memory is read while a send waits for knowledge of the client. Each command gets one reply, in
// the order of the commands, whatever the input ends with.
func TestRepliesKeepOrderAroundDiscardedCommands(t *testing.T) {
	const commands, keyBytes = 1000, 32 << 10
	half := longQueries(1, keyBytes)
	for name, end := range map[string]struct {
		input []byte
		want  string
	}{
		"nothing":         {nil, ""},
		"half a header":   {half[:3], "$"},
		"half a command":  {half[:keyBytes/2], "$"},
		"invalid input":   {[]byte(strings.Repeat("\xee", 100<<10)), "C54000$"},
		"another message": {[]byte("P\x00\x00\x00\x10abcdefghijkl"), "C08P01$"},
		"terminate":       {[]byte("X\x00\x00\x00\x04"), "$"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			acceptors, sent := make(chan *Acceptor, 1), make(chan struct{})
			a, d, addr, _ := startAcceptorWith(t, deployment.Settings{MemoryBytes: 8 << 20}, 8, func(op *exchange.Exchange) {
				if opID(op) == "0" {
					a := <-acceptors
					awaitPresence(a, op, false)
					awaitPresence(a, op, true)
					<-sent // all that was sent has been read, while no command has been answered
				}
				ack(op)
			})
			c := dial(t, addr)
			c.WriteBytes(longQueries(1, 1))
			waitUntil(t, "the first op is open", func() bool { return submittedCount(d) == 1 })
			go func() {
				defer close(sent)
				c.WriteBytes(longQueries(commands, keyBytes)[len(longQueries(1, keyBytes)):])
				c.WriteBytes(end.input)
			}()
			waitUntil(t, "input waits unread", func() bool { return a.counts.CommandsSkipped.Load() > 0 })
			acceptors <- a
			acked, refused := 0, 0
			for n := range commands {
				got, err := c.ReadAnswer()
				switch {
				case err == nil && got == fmt.Sprintf("v%d", n):
					acked++
				case err == nil && strings.HasPrefix(got, "C53300"):
					refused++
				default:
					t.Fatalf("command %d: got %q, %v, want an answer or a busy reply", n, got, err)
				}
			}
			if acked != submittedCount(d) || refused == 0 {
				t.Errorf("got %d acked and %d refused commands, %d submitted", acked, refused, submittedCount(d))
			}
			if end.want != "" {
				expect(t, c, end.want)
			}
			a.mu.Lock()
			defer a.mu.Unlock()
			for served := range a.conns {
				if known := served.clientPresence(); end.want == "" && !known.AllowsSend(a.clock.Now()) {
					t.Errorf("got %+v at the end, want the client to be known", known)
				}
			}
		})
	}
}

// A discard goes on from a command that has begun in the read buffer or in what was read ahead.
func TestDiscardingDropsOnlyTheIncompleteCommand(t *testing.T) {
	c, _ := connectedPair(t)
	queries := numberedQueries(3)
	c.readBuffer.Filled(copy(c.readBuffer.Space(), queries[:len(queries)-10]))
	c.ahead.scanner = commandScanner{maxMessage: c.readBuffer.MessageLimit()}
	c.ahead.scanner.scan(c.readBuffer.Bytes())
	c.ahead.add(aheadPiece{bytes: queries[len(queries)-10 : len(queries)-5]})
	c.beginDiscarding()
	for n := range 2 {
		if _, ok, err := c.readBuffer.Next(); !ok || err != nil {
			t.Fatalf("command %d: got %v, %v, want it to be kept", n, ok, err)
		}
	}
	if c.ahead.size != 0 || len(c.readBuffer.Bytes()) != 0 || c.ahead.scanner.left != 5 {
		t.Errorf("got %d and %d bytes kept, %d to come, want the third command dropped", c.ahead.size, len(c.readBuffer.Bytes()), c.ahead.scanner.left)
	}
	if !c.atDiscardedInput() {
		t.Error("want the reader to be at the discarded input")
	}
}
