package clientside

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"gorsewell/choice"
	"gorsewell/internal/deployment"
	"gorsewell/internal/exchange"
	"gorsewell/internal/membudget"
	"gorsewell/internal/pgwire"
	"gorsewell/internal/standin"
)

// littleMemory are the limits of a process with little memory.
var littleMemory = deployment.Settings{MemoryBytes: 8 << 20}

// longQuery returns a query of the given id with a value of the given length.
func longQuery(id string, valueBytes int) []byte {
	query := strings.Replace(lookupQuery, "'k'", "'"+strings.Repeat("k", valueBytes)+"'", 1)
	return pgwire.AppendQuery(nil, strings.Replace(query, "id=1", "id="+id, 1))
}

// sendAll opens a connection for each input and sends the input on it. It also returns when it began to open each one.
func sendAll(t *testing.T, addr string, inputs ...[]byte) (conns []net.Conn, began []time.Time) {
	t.Helper()
	var group sync.WaitGroup
	conns, began = make([]net.Conn, len(inputs)), make([]time.Time, len(inputs))
	for i, input := range inputs {
		began[i] = time.Now()
		c := dial(t, addr)
		conns[i] = c
		group.Go(func() { c.WriteBytes(input) })
	}
	group.Wait()
	return conns, began
}

// expectFree waits until nothing of the budgets is reserved.
func expectFree(t *testing.T, a *Acceptor) {
	t.Helper()
	for name, budget := range map[string]*membudget.Budget{"ops": a.budgets.ops, "long": a.budgets.long.Budget,
		"oversize": a.budgets.oversize.Budget} {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		all, err := budget.Reserve(ctx, int(budget.Limit()))
		if err != nil {
			t.Errorf("memory for %s is not given back", name)
		}
		all.Release()
	}
}

// Clients that sent half commands and stayed got the process killed for memory: each connection kept its own half, and
// nothing limited the sum. It is not parallel to other tests, as it measures the heap.
func TestIncompleteMessagesOfAllConnectionsAreLimited(t *testing.T) {
	const clients, memory = 200, 8 << 20
	limits := deployment.Settings{MemoryBytes: memory, MaxMessageBytes: 4 << 20}
	a, _, addr, stop := startAcceptorWith(t, limits, 2*clients, ack)
	halves := make([][]byte, clients)
	for i := range halves {
		whole := longQuery("x", []int{60 << 10, 150 << 10, 1 << 20}[i%3])
		halves[i] = whole[:len(whole)*9/10]
	}
	before := standin.LiveHeap()
	start := time.Now()
	conns, began := sendAll(t, addr, halves...)
	const connectionBytes = 16 << 10
	limit := a.budgets.ops.Limit() + a.budgets.long.Limit() + a.budgets.oversize.Limit() + clients*connectionBytes
	if grown := standin.LiveHeap() - before; grown > limit {
		t.Errorf("the heap has grown by %d KiB, want %d KiB at most", grown>>10, limit>>10)
	}
	c := dial(t, addr)
	for got := ""; got != "v2"; { // a whole command finds memory beside them, long before theirs are overdue
		c.WriteBytes(longQuery("2", 64<<10))
		var err error
		if got, err = c.ReadAnswer(); err != nil || got != "v2" && got != "C53300" || time.Since(start) > readTimeout/2 {
			t.Fatalf("got %q, %v after %v", got, err, time.Since(start))
		}
	}
	for i, bad := range conns {
		bad.SetReadDeadline(time.Now().Add(10 * time.Second))
		for {
			if _, err := bad.Read(make([]byte, 512)); err != nil {
				break
			}
		}
		if took := time.Since(began[i]); took > 3*time.Second {
			t.Fatalf("client %d was disconnected %v after it had begun to connect, want 3 s at most", i, took)
		}
	}
	c.Close()
	expectFree(t, a)
	stop()
}

// A command for which there is no memory is skipped, not stored; it and those behind it get one reply each, in order.
func TestCommandWithoutMemoryIsSkippedAndRefused(t *testing.T) {
	t.Parallel()
	a, d, addr, _ := startAcceptorWith(t, littleMemory, 8, ack)
	all, ok := a.budgets.long.TryReserve(int(a.budgets.long.Limit()))
	if !ok {
		t.Fatal("the budget is not free")
	}
	c := dial(t, addr)
	var input []byte
	for _, id := range []string{"1", "2", "3"} {
		input = append(append(input, longQuery(id, 0)...), longQuery(id+"0", 100<<10)...)
	}
	c.WriteBytes(input)
	for _, want := range []string{"v1", "C53300", "v2", "C53300", "v3", "C53300"} {
		expect(t, c, want)
	}
	if n := a.counts.CommandsSkipped.Load(); n != 3 || submittedCount(d) != 3 {
		t.Errorf("got %d commands skipped and %d ops submitted, want 3 and 3", n, submittedCount(d))
	}
	all.Release()
	c.WriteBytes(longQuery("4", 100<<10))
	expect(t, c, "v4")
	expectFree(t, a)
}

// Ops occupy memory until they end, so their number is limited for all connections together. Beyond that, commands get a
// busy reply.
func TestOpenOpsOfAllConnectionsAreLimited(t *testing.T) {
	t.Parallel()
	const ops = 20
	release := make(chan struct{})
	limits := deployment.Settings{MemoryBytes: opMemoryDivisor * ops * (opOverhead + 100)} // a statement has less than 100 bytes
	a, d, addr, _ := startAcceptorWith(t, limits, 8, func(op *exchange.Exchange) {
		<-release
		ack(op)
	})
	first, second := dial(t, addr), dial(t, addr)
	first.WriteBytes(numberedQueries(choice.MaxOpenCommands))
	waitUntil(t, "sixteen ops are open", func() bool { return submittedCount(d) == choice.MaxOpenCommands })
	for n := range 8 {
		second.WriteBytes(longQuery(fmt.Sprintf("%d", 100+n), 0))
	}
	waitUntil(t, "commands are refused", func() bool { return a.counts.CommandsSkipped.Load() > 0 })
	close(release)
	refused := 0
	for range 8 {
		got, err := second.ReadAnswer()
		if err != nil {
			t.Fatal(err)
		}
		if got == "C53300" {
			refused++
		}
	}
	if int64(refused) != a.counts.CommandsSkipped.Load() || submittedCount(d)+refused != choice.MaxOpenCommands+8 {
		t.Errorf("got %d busy replies and %d ops submitted of %d commands", refused, submittedCount(d), choice.MaxOpenCommands+8)
	}
	for n := range choice.MaxOpenCommands {
		expect(t, first, fmt.Sprintf("v%d", n))
	}
	expectFree(t, a)
}

// However a connection or an op ends, the memory that it had reserved is free again.
func TestMemoryIsFreeAfterEveryEnd(t *testing.T) {
	t.Parallel()
	unknown := pgwire.AppendQuery(nil, strings.Repeat("x", 50<<10))
	for name, input := range map[string][]byte{
		"half command and close": longQuery("1", 50<<10)[:20<<10],
		"whole command":          longQuery("2", 50<<10),
		"whole one, then half":   append(longQuery("3", 50<<10), longQuery("4", 50<<10)[:20<<10]...),
		"no op":                  unknown,
		"no op, then garbage":    append(unknown, "\x01\x02\x03\x04\x05\x06"...),
		"other command":          pgwire.AppendMessage(nil, 'P', strings.Repeat("x", 50<<10)),
		"too long":               longQuery("5", 1<<20)[:4<<10],
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a, d, addr, _ := startAcceptor(t, 8, ack)
			go func() {
				for op := range d.left {
					if !op.IsDone() {
						finish(op, exchange.ClientLeft)
					}
				}
			}()
			conns, _ := sendAll(t, addr, input, input, input)
			for _, c := range conns {
				c.(*standin.Client).ReadAnswer()
				c.Close()
			}
			waitUntil(t, "the connections are closed", func() bool { return a.counts.ClientOpen.Load() == 0 })
			expectFree(t, a)
		})
	}
}

// A startup packet is limited like any other message.
func TestStartupPacketsOfAllConnectionsAreLimited(t *testing.T) {
	t.Parallel()
	a, _, addr, _ := startAcceptorWith(t, littleMemory, 8, ack)
	startup := pgwire.AppendStartup(nil, strings.Repeat("u", 8000), "crm")
	c, err := standin.DialTCP(addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.WriteBytes(append(startup, longQuery("1", 0)...))
	expect(t, c, "")
	expect(t, c, "v1")
	all, ok := a.budgets.long.TryReserve(int(a.budgets.long.Limit()))
	if !ok {
		t.Fatal("the memory of the startup packet is not free")
	}
	defer all.Release()
	refused, err := standin.DialTCP(addr)
	if err != nil {
		t.Fatal(err)
	}
	defer refused.Close()
	refused.WriteBytes(startup)
	expect(t, refused, "C53300$")
}
