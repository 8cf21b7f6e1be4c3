package clientside

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gorsewell/internal/counters"
	"gorsewell/internal/deployment"
	"gorsewell/internal/exchange"
)

// failingListener fails to accept a number of times.
type failingListener struct {
	*net.TCPListener
	errno    syscall.Errno
	failures atomic.Int32
}

func (l *failingListener) AcceptTCP() (*net.TCPConn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", l.errno)}
	}
	return l.TCPListener.AcceptTCP()
}

// An error on one new connection must not keep others waiting; want of resources must not keep the process busy.
func TestErrorsOfAccepting(t *testing.T) {
	const failures = 5
	for errno, waits := range map[syscall.Errno]bool{
		syscall.ECONNABORTED: false, syscall.EPROTO: false, syscall.ENETDOWN: false, syscall.ENOPROTOOPT: false,
		syscall.EHOSTDOWN: false, syscall.ENONET: false, syscall.EHOSTUNREACH: false, syscall.EOPNOTSUPP: false,
		syscall.ENETUNREACH: false, syscall.EINTR: false,
		syscall.EMFILE: true, syscall.ENFILE: true, syscall.ENOBUFS: true, syscall.ENOMEM: true,
	} {
		settings := &deployment.Settings{ConnectTimeout: time.Second}
		a := New(exchange.StartClock(), &fakeDispatcher{}, &counters.Set{}, settings, 8)
		tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		l := &failingListener{TCPListener: tcp, errno: errno}
		l.failures.Store(failures)
		ctx, cancel := context.WithCancel(t.Context())
		served := make(chan error, 1)
		start := time.Now()
		go func() { served <- a.Serve(ctx, l) }()
		c := dial(t, tcp.Addr().String())
		took := time.Since(start)
		if got, err := c.Query(""); err != nil || got != "I" || waits && took < failures*closeGrace {
			t.Errorf("%v: got %q, %v, connected after %v, want a wait: %v", errno, got, err, took, waits)
		}
		if !waits && l.failures.Load() >= 0 {
			t.Errorf("%v: accepting was not tried again", errno)
		}
		cancel()
		c.Close()
		if err := <-served; err != nil {
			t.Error(err)
		}
	}
}
