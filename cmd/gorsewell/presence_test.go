package main

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gorsewell/internal/pgwire"
	"gorsewell/internal/standin"
)

const (
	// pipeliners is how many clients send many commands at once in the tests of this file.
	pipeliners = 4

	// primaryBusy is for how long the primary works on the first save.
	primaryBusy = 700 * time.Millisecond

	// pipelinedFor is for how long these clients send.
	pipelinedFor = 300 * time.Millisecond

	// attemptAfterLeaving is how long after its client has left an attempt may begin.
	attemptAfterLeaving = 100 * time.Millisecond
)

// saveStatement returns a save whose value has the given length and whose client waits for some time.
func saveStatement(id string, valueBytes int, wait time.Duration) string {
	return fmt.Sprintf("INSERT INTO facts (code, data) VALUES ('c%s', '\\x%s') RETURNING data /* id=%s,c=save,d=%d,k=k%s,cluster=0 */",
		id, strings.Repeat("9f", valueBytes), id, wait.Milliseconds(), id)
}

// saveQuery returns the message with a save whose client waits for nearly as long as a save may take.
func saveQuery(id string, valueBytes int) []byte {
	return pgwire.AppendQuery(nil, saveStatement(id, valueBytes, 2800*time.Millisecond))
}

// queryID returns the id of a query.
func queryID(query string) string {
	_, rest, _ := strings.Cut(query, "/* id=")
	id, _, _ := strings.Cut(rest, ",")
	return id
}

// pipelineStart is a gateway whose primary is busy and records the arrivals of saves.
type pipelineStart struct {
	addr string
	log  *strings.Builder
	busy *standin.Client

	mu       sync.Mutex
	arrivals map[string][]time.Time
}

// startBehindBusyPrimary starts a gateway of the given memory with a primary that works on a save of a usual client.
func startBehindBusyPrimary(t *testing.T, memoryMB int) *pipelineStart {
	t.Helper()
	s := &pipelineStart{arrivals: map[string][]time.Time{}}
	var saves atomic.Int32
	_, s.addr, s.log, _ = startGatewayWith(t, func(role, query string) ([]byte, bool) {
		if id := queryID(query); strings.HasPrefix(query, "INSERT") {
			s.mu.Lock()
			s.arrivals[id] = append(s.arrivals[id], time.Now())
			s.mu.Unlock()
			if saves.Add(1) == 1 {
				time.Sleep(primaryBusy)
			}
			return standin.Row("v"+id, role, time.Now().UnixMilli()), true
		}
		return standin.Row("v", role, time.Now().UnixMilli()), true
	}, func(config string) string {
		config = strings.Replace(config, `"balancers":1,`, `"balancers":8,`, 1) // so one send at the primary is open at first
		return replaceField(t, config, "limits", map[string]any{"cores": 1, "memory_mb": memoryMB, "sockets": 1024})
	})
	busy, err := standin.Dial(s.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { busy.Close() })
	s.busy = busy
	if err := busy.WriteBytes(saveQuery("busy", 1)); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(5 * time.Second); len(s.arrivalsOf("busy")) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the primary got no save; log %s", s.log)
		}
	}
	return s
}

// arrivalsOf returns when servers got a save.
func (s *pipelineStart) arrivalsOf(id string) []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arrivals[id]
}

// sendSaves sends a short save and then long ones, as many as the gateway reads in pipelinedFor. It returns how many bytes of
// the long ones were sent.
func sendSaves(c *standin.Client, client int, long []byte) int {
	c.WriteBytes(saveQuery(firstID(client), 1))
	time.Sleep(20 * time.Millisecond)
	c.SetWriteDeadline(time.Now().Add(pipelinedFor))
	n, _ := c.Write(long)
	return n
}

// firstID returns the id of the first save of a client.
func firstID(client int) string { return fmt.Sprintf("first%d", client) }

// longSaves returns the saves that a client sends behind its first one.
func longSaves(client, count, valueBytes int) (input []byte) {
	for n := range count {
		input = append(input, saveQuery(fmt.Sprintf("long%d.%d", client, n), valueBytes)...)
	}
	return input
}

// Saves of clients that had sent much and had left began up to 1.1 s after their leaving.
func TestNothingIsSentForClientThatLeftBehindUnreadInput(t *testing.T) {
	for name, long := range map[string]func(client int) []byte{
		"long commands":  func(client int) []byte { return longSaves(client, 120, 64<<10) },
		"short commands": func(client int) []byte { return longSaves(client, 20000, 100) },
		"invalid input":  func(int) []byte { return []byte(strings.Repeat("\xee", 60<<20)) },
	} {
		t.Run(name, func(t *testing.T) {
			s := startBehindBusyPrimary(t, 64)
			var leaving sync.WaitGroup
			var left [pipeliners]time.Time
			for client := range pipeliners {
				input := long(client)
				c, err := standin.Dial(s.addr)
				if err != nil {
					t.Fatal(err)
				}
				leaving.Go(func() {
					go io.Copy(io.Discard, c)
					sendSaves(c, client, input)
					c.Close()
					left[client] = time.Now()
				})
			}
			leaving.Wait()
			if answer, err := s.busy.ReadAnswer(); err != nil || answer != "vbusy" {
				t.Fatalf("got %q, %v for the usual save; log %s", answer, err, s.log)
			}
			s.awaitSaveOfUsualClient(t)
			s.mu.Lock()
			defer s.mu.Unlock()
			for id, times := range s.arrivals {
				for client := range pipeliners {
					isOwn := id == firstID(client) || strings.HasPrefix(id, fmt.Sprintf("long%d.", client))
					if late := times[len(times)-1].Sub(left[client]); isOwn && late > attemptAfterLeaving {
						t.Errorf("save %s began %v after its client had left, want at most %v", id, late, attemptAfterLeaving)
					}
				}
			}
		})
	}
}

// awaitSaveOfUsualClient has the primary answer a save that came behind all others.
func (s *pipelineStart) awaitSaveOfUsualClient(t *testing.T) {
	t.Helper()
	for n := range 20 {
		if err := s.busy.WriteBytes(saveQuery(fmt.Sprint("usual", n), 1)); err != nil {
			t.Fatal(err)
		}
		if answer, err := s.busy.ReadAnswer(); err != nil || answer != fmt.Sprint("vusual", n) {
			t.Fatalf("got %q, %v for a usual save; log %s", answer, err, s.log)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// A client that sends much and stays is known to have stayed although there is no memory for its input: its first save is
// served, and each of its commands gets one reply, in their order.
func TestClientThatStaysBehindUnreadInputIsServed(t *testing.T) {
	for name, shape := range map[string]struct{ count, valueBytes int }{
		"long commands":  {60, 64 << 10},
		"short commands": {600, 1000},
	} {
		t.Run(name, func(t *testing.T) {
			s := startBehindBusyPrimary(t, 32)
			var staying sync.WaitGroup
			for client := range pipeliners {
				c, err := standin.Dial(s.addr)
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { c.Close() })
				input := longSaves(client, shape.count, shape.valueBytes)
				staying.Go(func() {
					sent := make(chan struct{})
					go func() {
						defer close(sent)
						c.WriteBytes(saveQuery(firstID(client), 1))
						time.Sleep(20 * time.Millisecond)
						c.Write(input)
					}()
					if answer, err := c.ReadAnswer(); err != nil || answer != "v"+firstID(client) {
						t.Errorf("got %q, %v for the first save, want it to be served", answer, err)
						return
					}
					checkRepliesInOrder(t, c, client, shape.count)
					<-sent
				})
			}
			staying.Wait()
		})
	}
}

// Invalid input was thrown away so slowly that its client, which stayed, was not known to have stayed in time.
func TestClientThatStaysBehindInvalidInputIsServed(t *testing.T) {
	const invalidBytes = 30 << 20
	s := startBehindBusyPrimary(t, 64)
	var staying sync.WaitGroup
	for client := range pipeliners {
		c, err := standin.Dial(s.addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		staying.Go(func() {
			go func() {
				c.WriteBytes(saveQuery(firstID(client), 1))
				time.Sleep(20 * time.Millisecond)
				c.WriteBytes([]byte(strings.Repeat("\xee", invalidBytes)))
			}()
			for _, want := range []string{"v" + firstID(client), "C54000$"} {
				if answer, err := c.ReadAnswer(); err != nil || answer != want {
					t.Errorf("got %q, %v, want %q", answer, err, want)
				}
			}
		})
	}
	staying.Wait()
}

// checkRepliesInOrder reads the replies to the long saves of a client: each is served or refused, in their order.
func checkRepliesInOrder(t *testing.T, c *standin.Client, client, count int) {
	served := 0
	for n := range count {
		answer, err := c.ReadAnswer()
		switch {
		case err == nil && answer == fmt.Sprintf("vlong%d.%d", client, n):
			served++
		case err == nil && strings.HasPrefix(answer, "C53300"):
		default:
			t.Errorf("client %d: got %q, %v for command %d, want an answer or a busy reply", client, answer, err, n)
			return
		}
	}
	t.Logf("client %d: %d of %d long saves served", client, served, count)
}
