package clientside

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gorsewell/internal/exchange"
	"gorsewell/internal/pgwire"
	"gorsewell/internal/standin"
)

// Each command that is sent while a planned stop closes connections is answered, or its connection is reset.
func TestStopAnswersOrResetsEveryCommand(t *testing.T) {
	const clients = 200
	a, _, addr, stop := startAcceptor(t, 2*clients, func(op *exchange.Exchange) {
		time.Sleep(time.Duration(rand.Int64N(int64(2 * time.Millisecond))))
		ack(op)
	})
	var connections [clients]*standin.Client
	for n := range clients {
		connections[n] = dial(t, addr)
	}
	var playing sync.WaitGroup
	for n, c := range connections {
		query := strings.Replace(lookupQuery, "id=1", fmt.Sprint("id=", n), 1)
		playing.Go(func() {
			for {
				time.Sleep(time.Duration(rand.Int64N(int64(20 * time.Millisecond))))
				sentAt := time.Now()
				got, err := "", c.WriteBytes(pgwire.AppendQuery(nil, query))
				if err == nil {
					got, err = c.ReadAnswer()
				}
				switch {
				case errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE):
					return
				case err == nil && got == "$":
					if !c.AwaitReset(time.Second) {
						t.Errorf("%v ended without an answer and without a reset, %v after its command", c.LocalAddr(), time.Since(sentAt))
					}
					return
				case err != nil || got != fmt.Sprint("v", n):
					t.Errorf("got %q, %v, want v%d", got, err, n)
					return
				}
			}
		})
	}
	stop()
	playing.Wait()
	if n := a.counts.ClientOpen.Load(); n != 0 {
		t.Errorf("got %d connections open after the stop", n)
	}
}
