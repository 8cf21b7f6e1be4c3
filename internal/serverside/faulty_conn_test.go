package serverside

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"

	"gorsewell/choice"
	"gorsewell/internal/pgwire"
	"gorsewell/internal/standin"
)

// The errors that Linux documents for the system calls on connections.
var (
	connectErrors = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
		syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH}
	readErrors  = []syscall.Errno{syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENOBUFS, syscall.ENOMEM}
	writeErrors = []syscall.Errno{syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.EPIPE, syscall.ENOBUFS,
		syscall.ENOMEM}
)

// faultyConn is a connection whose reads and writes fail as drawn.
type faultyConn struct {
	*net.TCPConn
	draw func(n int) int
}

func (c *faultyConn) Read(b []byte) (int, error) {
	switch c.draw(40) {
	case 0:
		return 0, ioError("read", readErrors[c.draw(len(readErrors))])
	case 1, 2, 3:
		b = b[:1+c.draw(min(len(b), 9))]
	}
	return c.TCPConn.Read(b)
}

func (c *faultyConn) Write(b []byte) (n int, err error) {
	errno := writeErrors[c.draw(len(writeErrors))]
	switch c.draw(40) {
	case 0:
		return 0, ioError("write", errno)
	case 1:
		n, _ = c.TCPConn.Write(b[:c.draw(len(b))])
		return n, ioError("write", errno)
	}
	return c.TCPConn.Write(b)
}

func ioError(call string, errno syscall.Errno) error {
	return &net.OpError{Op: call, Net: "tcp", Err: os.NewSyscallError(call, errno)}
}

// Whatever fails, each send ends once, an ack has the value of its own op, and what counts as never run has not run.
func TestDrawnErrorsOfSystemCalls(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			playDrawnErrors(t, rand.New(rand.NewPCG(seed, 0)))
		})
	}
}

func playDrawnErrors(t *testing.T, rng *rand.Rand) {
	const sends = 300
	var mu sync.Mutex
	draw := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return rng.IntN(n)
	}
	ran := map[string]bool{}
	p, ended := newPool(t, 8, &standin.Database{Answer: func(query string) ([]byte, bool) {
		_, rest, _ := strings.Cut(query, "id=")
		id, _, _ := strings.Cut(rest, ",")
		mu.Lock()
		ran[id] = true
		mu.Unlock()
		return standin.Row("v"+id, "replica", 1), draw(50) > 0 // now and then the server closes the connection
	}})
	dial := p.dial
	p.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		if draw(10) == 0 {
			return nil, ioError("connect", connectErrors[draw(len(connectErrors))])
		}
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &faultyConn{c.(*net.TCPConn), draw}, nil
	}
	var results [16]int
	for n := range sends {
		id := fmt.Sprint(n)
		p.sendUntil(newOpWithID(t, id), 0, testServer, p.testDeadline())
		r := ended.wait(t)
		mu.Lock()
		hasRun := ran[id]
		mu.Unlock()
		results[r.Result]++
		if r.Result == choice.Acked && !strings.Contains(string(r.Answer.Bytes), "v"+id) {
			t.Errorf("send %s: got the answer %q of another", id, r.Answer.Bytes)
		}
		if r.Result.NeverRan() && hasRun {
			t.Errorf("send %s has run: got %v", id, r.Result)
		}
	}
	if acked := results[choice.Acked]; acked < sends/2 || acked == sends {
		t.Errorf("got results %v, want acks above all, and some errors", results)
	}
}

// An error of this machine on a connection says nothing about the server.
func TestErrorsOfThisMachineOnConnectionAreNotTheServers(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENOBUFS, syscall.ENOMEM} {
		for _, c := range []struct {
			call    string
			message byte
			want    choice.Result
		}{
			{"write", startupMessage, choice.NotSent},
			{"read", startupMessage, choice.NotSent},
			{"write", pgwire.Query, choice.NotSent},
			{"read", pgwire.Query, choice.Cancelled},
		} {
			p, ended := newPool(t, 8, &standin.Database{Answer: func(string) ([]byte, bool) { return standin.Row("v", "replica", 1), true }})
			dial := p.dial
			p.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
				conn, err := dial(ctx, network, addr)
				if err != nil {
					return nil, err
				}
				return &failingConn{TCPConn: conn.(*net.TCPConn), call: c.call, message: c.message, errno: errno}, nil
			}
			p.sendUntil(newOp(t), 0, testServer, p.testDeadline())
			if r := ended.wait(t); r.Result != c.want {
				t.Errorf("%v at %s of %q: got result %v, want %v", errno, c.call, c.message, r.Result, c.want)
			}
		}
	}
}

// startupMessage is the first byte of a startup message, that of its length.
const startupMessage = 0

// failingConn is a connection on which a call fails that writes a message, or that reads the answer to it.
type failingConn struct {
	*net.TCPConn
	call    string
	message byte
	errno   syscall.Errno
	written byte // first byte of the message that was written last
}

func (c *failingConn) Write(b []byte) (int, error) {
	c.written = b[0]
	if c.call == "write" && c.written == c.message {
		return 0, ioError("write", c.errno)
	}
	return c.TCPConn.Write(b)
}

func (c *failingConn) Read(b []byte) (int, error) {
	if c.call == "read" && c.written == c.message {
		return 0, ioError("read", c.errno)
	}
	return c.TCPConn.Read(b)
}
