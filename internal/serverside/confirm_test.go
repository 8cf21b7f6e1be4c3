package serverside

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gorsewell/choice"
	"gorsewell/internal/exchange"
	"gorsewell/internal/standin"
)

// resultsByOp passes the result of each send to whoever waits for that of its op.
type resultsByOp struct{ waiting sync.Map }

func (r *resultsByOp) SendEnded(op *exchange.Exchange, _ uint8, _ uint32, result exchange.AttemptResult) {
	ch, _ := r.waiting.Load(op)
	ch.(results) <- result
}

func (r *resultsByOp) ProbeEnded(uint32, exchange.AttemptResult) {}

// send submits a send to the pool and waits for its result.
func (r *resultsByOp) send(p *Pool, op *exchange.Exchange) exchange.AttemptResult {
	own := make(results, 1)
	r.waiting.Store(op, own)
	p.sendUntil(op, 0, testServer, p.testDeadline())
	return <-own
}

// A second copy of an answer, later than the rest after an answer, was taken for the answer to the next request.
func TestLateCopyOfAnswerReachesNoLaterOp(t *testing.T) {
	const clients, opsEach = 4, 25
	rng := rand.New(rand.NewPCG(1, 0))
	for _, delay := range []time.Duration{0, 2, 5, 6, 8, 12, 20, 35, 50, 70} {
		copies := make([]bool, clients*opsEach+1)
		for i := range copies {
			copies[i] = rng.IntN(4) == 0
		}
		var asked, foreign, acked atomic.Int32
		p, _ := newPool(t, 8, &standin.Database{TrailingDelay: delay * time.Millisecond, Answer: func(query string) ([]byte, bool) {
			row := standin.Row("value of "+query, "replica", 1)
			if n := asked.Add(1); int(n) < len(copies) && copies[n] {
				return append(row, row...), true
			}
			return row, true
		}})
		events := &resultsByOp{}
		p.events = events
		var sends sync.WaitGroup
		for n := range clients {
			sends.Go(func() {
				for i := range opsEach {
					op := newOpWithID(t, fmt.Sprintf("%dx%d", n, i))
					result := events.send(p, op)
					switch {
					case result.Result != choice.Acked:
					case bytes.Contains(result.Answer.Bytes, fmt.Appendf(nil, "id=%dx%d,", n, i)):
						acked.Add(1)
					default:
						foreign.Add(1)
					}
				}
			})
		}
		sends.Wait()
		if foreign.Load() > 0 || acked.Load() < clients*opsEach*9/10 {
			t.Errorf("copies after %d ms: got %d foreign values and %d acked of %d", delay, foreign.Load(), acked.Load(), clients*opsEach)
		}
	}
}

// An empty query whose answer does not come, or comes with something else, closes the connection.
func TestConnectionWithoutConfirmationIsNotReused(t *testing.T) {
	row := func(string) ([]byte, bool) { return standin.Row("v", "replica", 1), true }
	for name, reply := range map[string][]byte{
		"none":    {},
		"row":     standin.Row("v", "replica", 1),
		"error":   standin.Failure("XX000", "replica", 1),
		"noise":   []byte("noise"),
		"surplus": append(standin.EmptyQueryReply(), 'Z'),
		"halved":  standin.EmptyQueryReply()[:7],
	} {
		p, ended := newPool(t, 8, &standin.Database{Answer: row, EmptyQueryReply: reply})
		for range 2 {
			p.sendUntil(newOp(t), 0, testServer, p.testDeadline())
			if r := ended.wait(t); r.Result != choice.Acked {
				t.Errorf("%s: got %+v, want result Acked", name, r)
			}
		}
		if opened := p.counts.ServerConns.Load(); opened != 2 {
			t.Errorf("%s: got %d connections, want 2", name, opened)
		}
	}
}

// An empty query that is answered in pieces keeps the connection.
func TestConfirmationInPiecesKeepsConnection(t *testing.T) {
	p, ended := newPool(t, 8, &standin.Database{Pieces: true, Answer: func(string) ([]byte, bool) { return standin.Row("v", "replica", 1), true }})
	for range 5 {
		p.sendUntil(newOp(t), 0, testServer, p.testDeadline())
		if r := ended.wait(t); r.Result != choice.Acked {
			t.Errorf("got %+v, want result Acked", r)
		}
	}
	if opened := p.counts.ServerConns.Load(); opened != 1 {
		t.Errorf("got %d connections, want 1", opened)
	}
}
