package serverside

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"

	"gorsewell/choice"
	"gorsewell/internal/standin"
)

// A server was avoided because this machine had no descriptor, port or memory for a connection to it.
func TestErrorsOfConnecting(t *testing.T) {
	for errno, want := range map[syscall.Errno]choice.Result{
		syscall.EMFILE:        choice.NotSent,
		syscall.ENFILE:        choice.NotSent,
		syscall.ENOBUFS:       choice.NotSent,
		syscall.ENOMEM:        choice.NotSent,
		syscall.EADDRNOTAVAIL: choice.NotSent,
		syscall.EAGAIN:        choice.NotSent,
		syscall.ECONNREFUSED:  choice.NoConnection,
		syscall.ECONNRESET:    choice.NoConnection,
		syscall.ETIMEDOUT:     choice.NoConnection,
		syscall.EHOSTUNREACH:  choice.NoConnection,
		syscall.ENETUNREACH:   choice.NoConnection,
	} {
		p, ended := newPool(t, 8, &standin.Database{Answer: func(string) ([]byte, bool) { return standin.Row("v", "replica", 1), true }})
		dial := p.dial
		p.dial = func(context.Context, string, string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", errno)}
		}
		p.sendUntil(newOp(t), 0, testServer, p.testDeadline())
		if r := ended.wait(t); r.Result != want {
			t.Errorf("%v: got result %v, want %v", errno, r.Result, want)
		}
		p.dial = dial
		p.sendUntil(newOp(t), 0, testServer, p.testDeadline())
		if r := ended.wait(t); r.Result != choice.Acked {
			t.Errorf("after %v: got result %v, want an ack", errno, r.Result)
		}
	}
}
