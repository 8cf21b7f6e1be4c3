package serverside

import (
	"bytes"
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"gorsewell/choice"
	"gorsewell/internal/pgwire"
	"gorsewell/internal/standin"
)

// waitUntil waits for a condition that another goroutine fulfils.
func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting until: %s", what)
		}
	}
}

// expectFree waits until no memory for answers is reserved.
func expectFree(t *testing.T, p *Pool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	all, err := p.answers.Reserve(ctx, int(p.answers.Limit()))
	if err != nil {
		t.Error("memory for answers is not given back")
	}
	all.Release()
}

// Answers that stop in the middle made each connection keep its own part, and nothing limited the sum. It is not parallel
// to other tests, as it measures the heap.
func TestIncompleteAnswersOfAllConnectionsAreLimited(t *testing.T) {
	const conns, valueBytes, connectionBytes = 64, 150 << 10, 40 << 10 // the connections of both ends
	half := standin.Row(strings.Repeat("v", valueBytes), "replica", 1)[:valueBytes*9/10]
	p, ended := newPool(t, conns, &standin.Database{Answer: func(string) ([]byte, bool) { return half, true }})
	before := standin.LiveHeap()
	deadline := p.clock.Now() + time.Second
	for range conns {
		p.sendUntil(newOp(t), 0, testServer, deadline)
	}
	waitUntil(t, "the others wait for memory", func() bool {
		return p.counts.AnswersDelayed.Load() >= conns-p.answers.Limit()/valueBytes/longMessageCopies
	})
	if grown, limit := standin.LiveHeap()-before, p.answers.Limit()+conns*connectionBytes; grown > limit {
		t.Errorf("the heap has grown by %d KiB, want %d KiB at most", grown>>10, limit>>10)
	}
	for range conns {
		if r := ended.wait(t); r.Result != choice.TimedOut {
			t.Errorf("got %+v, want a timeout", r)
		}
	}
	expectFree(t, p)
}

// A long answer waits until memory is free. It keeps what it occupies until it is released.
func TestLongAnswerWaitsForMemory(t *testing.T) {
	value := strings.Repeat("v", 100<<10)
	p, ended := newPool(t, 8, &standin.Database{Answer: func(string) ([]byte, bool) { return standin.Row(value, "replica", 1), true }})
	all, ok := p.answers.TryReserve(int(p.answers.Limit()))
	if !ok {
		t.Fatal("the budget is not free")
	}
	p.sendUntil(newOp(t), 0, testServer, p.testDeadline())
	waitUntil(t, "the answer waits", func() bool { return p.counts.AnswersDelayed.Load() == 1 })
	all.Release()
	r := ended.wait(t)
	if r.Result != choice.Acked || !strings.Contains(string(r.Answer.Bytes), value) {
		t.Fatalf("got result %d and %d bytes, want the value", r.Result, len(r.Answer.Bytes))
	}
	if n := r.Answer.Memory.Bytes(); n < int64(cap(r.Answer.Bytes)) || n > int64(cap(r.Answer.Bytes))+minPageBytes {
		t.Errorf("the answer of %d bytes keeps %d bytes reserved", cap(r.Answer.Bytes), n)
	}
	if p.counts.ServerBroken.Load() != 0 {
		t.Error("the connection was not kept")
	}
	r.Answer.Release()
	expectFree(t, p)
}

// minPageBytes allows for the rounding of sizes.
const minPageBytes = 8 << 10

// A send whose answer waits for memory ends like any other: when it is cancelled, and at its deadline.
func TestWaitForMemoryEndsWithSend(t *testing.T) {
	value := strings.Repeat("v", 100<<10)
	p, ended := newPool(t, 8, &standin.Database{Answer: func(string) ([]byte, bool) { return standin.Row(value, "replica", 1), true }})
	all, ok := p.answers.TryReserve(int(p.answers.Limit()))
	if !ok {
		t.Fatal("the budget is not free")
	}
	op := newOp(t)
	p.sendUntil(op, 0, testServer, p.testDeadline())
	waitUntil(t, "the answer waits", func() bool { return p.counts.AnswersDelayed.Load() == 1 })
	p.Cancel(op, 0)
	if r := ended.wait(t); r.Result != choice.Cancelled {
		t.Errorf("got %+v, want a cancelled send", r)
	}
	p.sendUntil(newOp(t), 0, testServer, p.clock.Now()+100*time.Millisecond)
	if r := ended.wait(t); r.Result != choice.TimedOut {
		t.Errorf("got %+v, want a timeout", r)
	}
	all.Release()
	expectFree(t, p)
}

// Other long messages of a response need no further memory, in whatever order they come.
func TestLongNoticesBesideLongRow(t *testing.T) {
	notice := pgwire.AppendMessage(nil, pgwire.NoticeResponse, strings.Repeat("n", 8000), "\x00")
	row := standin.Row(strings.Repeat("v", 100<<10), "replica", 1)
	end := bytes.Index(row, []byte("C\x00\x00\x00\x0dSELECT 1"))
	answer := slices.Concat(notice, row[:end], notice, row[end:])
	p, ended := newPool(t, 1, &standin.Database{Answer: func(string) ([]byte, bool) { return answer, true }})
	for range 3 {
		p.sendUntil(newOp(t), 0, testServer, p.testDeadline())
		r := ended.wait(t)
		if r.Result != choice.Acked {
			t.Fatalf("got %+v, want an ack", r)
		}
		r.Answer.Release()
	}
	expectFree(t, p)
}
