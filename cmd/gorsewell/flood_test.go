package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gorsewell/internal/pgwire"
	"gorsewell/internal/standin"
)

// The bounds that usual clients are promised beside any flood.
const (
	usualP99        = 30 * time.Millisecond
	usualMaxRefused = 0.02
	usualWait       = 800 * time.Millisecond
)

// floodKind is one kind of input that a client repeats at full speed.
type floodKind struct {
	name string

	// next returns the n-th piece of input of a client.
	next func(client, n int) []byte

	// play, if not nil, plays a client that does not send all it can on one connection. It returns when it has to connect
	// again.
	play func(c *standin.Client)

	// silent clients connect and close without a startup packet.
	silent bool
}

// floodQuery returns a lookup with the given id, op type, wait in milliseconds and group.
func floodQuery(id, opType string, wait, group int) []byte {
	return pgwire.AppendQuery(nil, fmt.Sprintf("SELECT data FROM facts WHERE code = 'k' /* id=%s,c=%s,d=%d,cluster=%d */",
		id, opType, wait, group))
}

// floodKinds returns all kinds of floods.
func floodKinds() []floodKind {
	id := func(client, n int) string { return fmt.Sprintf("f%dx%d", client, n) }
	return []floodKind{
		{name: "silent", silent: true},
		{name: "one at a time", play: playOneAtATime},
		{name: "reconnecting", play: func(c *standin.Client) {
			c.WriteBytes([]byte("Z\x00\x00\x00\x04"))
			c.ReadAnswer()
		}},
		{name: "oversize", play: func(c *standin.Client) {
			piece := bytes.Repeat([]byte("x"), 64<<10)
			for err := c.WriteBytes([]byte("Q\x03\xff\xff\xff")); err == nil; {
				err = c.WriteBytes(piece)
			}
		}},
		{name: "empty", next: func(int, int) []byte { return pgwire.AppendQuery(nil, "") }},
		{name: "new op types", next: func(c, n int) []byte { return floodQuery(id(c, n), "t"+id(c, n), 800, 0) }},
		{name: "no id", next: func(int, int) []byte { return pgwire.AppendQuery(nil, "SELECT 1 /* c=lookup,cluster=0 */") }},
		{name: "no comment", next: func(int, int) []byte { return pgwire.AppendQuery(nil, "SELECT 1") }},
		{name: "unknown groups", next: func(c, n int) []byte { return floodQuery(id(c, n), "lookup", 800, 1+n%60000) }},
		{name: "open id", next: func(int, int) []byte { return floodQuery("same", "lookup", 800, 0) }},
		{name: "no time", next: func(c, n int) []byte { return floodQuery(id(c, n), "lookup", 0, 0) }},
		{name: "valid", next: func(c, n int) []byte { return floodQuery(id(c, n), "lookup", 800, 0) }},
		{name: "batches", play: playBatches},
		{name: "long", next: func(c, n int) []byte {
			query := "SELECT data FROM facts WHERE code = '" + strings.Repeat("x", 60<<10) + "' /* c=lookup,cluster=0 */"
			return pgwire.AppendQuery(nil, query)
		}},
	}
}

// runAsFlood is an environment variable. If it is set, the test binary runs as flooding clients. Its value is an address, the
// name of a kind of flood and a number of clients, each followed by a slash.
const runAsFlood = "GORSEWELL_TEST_FLOOD"

// floodFromEnvironment runs the flooding clients that the value of runAsFlood describes, until the process is killed. It prints a
// line when all have connected for the first time.
func floodFromEnvironment(value string) {
	runtime.GOMAXPROCS(2) // so that the rest of the test is not delayed
	fields := strings.Split(value, "/")
	clients, _ := strconv.Atoi(fields[2])
	var connected, running sync.WaitGroup
	connected.Add(clients)
	for _, kind := range floodKinds() {
		for n := 0; kind.name == fields[1] && n < clients; n++ {
			running.Go(func() { flood(fields[0], kind, n, sync.OnceFunc(connected.Done)) })
		}
	}
	connected.Wait()
	fmt.Println("connected")
	running.Wait()
}

// playOneAtATime sends empty statements, each when the one before is answered.
func playOneAtATime(c *standin.Client) {
	for {
		if _, err := c.Query(""); err != nil {
			return
		}
	}
}

// playBatches sends many commands of an op type that does not exist at once, and again when all are answered.
func playBatches(c *standin.Client) {
	const commands = 300
	batch := bytes.Repeat(floodQuery("batch", "no-such", 800, 0), commands)
	for c.WriteBytes(batch) == nil {
		for range commands {
			if got, err := c.ReadAnswer(); err != nil || strings.HasSuffix(got, "$") {
				return
			}
		}
	}
}

// flood sends input of one kind at full speed until it cannot connect. It calls connected whenever it has connected.
func flood(addr string, kind floodKind, client int, connected func()) {
	for n := 0; ; {
		dial := standin.Dial
		if kind.silent {
			dial = standin.DialTCP
		}
		c, err := dial(addr)
		if err != nil {
			return
		}
		connected()
		c.SetDeadline(time.Time{})
		switch {
		case kind.silent:
		case kind.play != nil:
			kind.play(c)
		default:
			n = pipeline(c, kind, client, n)
		}
		c.Close()
	}
}

// pipeline sends input on one connection, from the n-th piece on, until it is closed, and reads what it is sent. It returns the
// number of the next piece.
func pipeline(c *standin.Client, kind floodKind, client, n int) int {
	go io.Copy(io.Discard, c.Conn)
	for {
		var batch []byte
		for len(batch) < 32<<10 {
			batch = append(batch, kind.next(client, n)...)
			n++
		}
		if c.WriteBytes(batch) != nil {
			return n
		}
	}
}

// startFlood starts a process with clients that flood a gateway, and waits until all have connected. They flood it until the test ends or the process is killed.
func startFlood(t *testing.T, addr string, kind floodKind, clients int) *os.Process {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), fmt.Sprintf("%s=%s/%s/%d", runAsFlood, addr, kind.name, clients))
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cmd.Process.Kill()
		cmd.Wait()
	})
	if line, err := bufio.NewReader(out).ReadString('\n'); err != nil {
		t.Fatalf("the flooding clients did not connect: %q, %v", line, err)
	}
	return cmd.Process
}

// usualResult is what became of the commands of usual clients.
type usualResult struct {
	// first holds the latencies of the first commands of all clients, which come at once; latencies those of the others.
	first, latencies            []time.Duration
	refused, failed, unanswered int
	failures                    []string
}

func (r *usualResult) String() string {
	slices.Sort(r.latencies)
	n := len(r.latencies)
	if n == 0 {
		return "no answers"
	}
	return fmt.Sprintf("%d answers: p50 %v, p99 %v, max %v, max of first %v; %d refused, %d failed, %d unanswered", n,
		r.latencies[n/2], r.latencies[n*99/100], r.latencies[n-1], slices.Max(r.first), r.refused, r.failed, r.unanswered)
}

// usualClients runs clients that send one command at a time for some time, and returns what became of these.
func usualClients(addr string, count int, length, pause time.Duration) *usualResult {
	var mu sync.Mutex
	var clients sync.WaitGroup
	result := &usualResult{}
	end := time.Now().Add(length)
	for client := range count {
		clients.Go(func() {
			var c *standin.Client
			for n := 0; time.Now().Before(end); n++ {
				var err error
				if c == nil {
					c, err = standin.Dial(addr)
				}
				start, got := time.Now(), ""
				if err == nil {
					c.SetDeadline(start.Add(usualWait + time.Second))
					got, err = c.Query(fmt.Sprintf("SELECT data FROM facts WHERE code = 'k' /* id=u%dx%d,c=lookup,d=%d,cluster=0 */",
						client, n, usualWait.Milliseconds()))
				}
				took := time.Since(start)
				mu.Lock()
				if n == 0 {
					result.first = append(result.first, took)
				} else {
					result.latencies = append(result.latencies, took)
				}
				switch {
				case err != nil || strings.HasSuffix(got, "$"):
					result.unanswered++
					result.failures = append(result.failures, fmt.Sprintf("%q, %v after %v", got, err, took))
				case strings.HasPrefix(got, "C53300"):
					result.refused++
				case got != "v":
					result.failed++
					result.failures = append(result.failures, fmt.Sprintf("%q after %v", got, took))
				}
				mu.Unlock()
				if err != nil && c != nil {
					c.Close()
					c = nil
				}
				time.Sleep(time.Duration(rand.Int64N(int64(2 * pause))))
			}
			if c != nil {
				c.Close()
			}
		})
	}
	clients.Wait()
	return result
}

// check reports what is not as promised.
func (r *usualResult) check(t *testing.T) {
	t.Helper()
	summary := r.String()
	t.Log(summary)
	n := len(r.latencies)
	if n == 0 || r.unanswered > 0 || r.failed > 0 || max(r.latencies[n-1], slices.Max(r.first)) > usualWait {
		t.Errorf("usual clients: %s, want all answered within %v; %q", summary, usualWait, r.failures[:min(5, len(r.failures))])
	}
	if float64(r.refused) > usualMaxRefused*float64(n) {
		t.Errorf("usual clients: %s, want less than 2%% refused", summary)
	}
	if n > 0 && !raceDetector && r.latencies[n*99/100] > usualP99 { // the race detector slows the gateway down
		t.Errorf("usual clients: %s, want a p99 of at most %v", summary, usualP99)
	}
}

// Answers to usual clients came late or never beside clients that sent at full speed.
func TestUsualClientsAreAnsweredInTimeBesideFloods(t *testing.T) {
	for _, kind := range floodKinds() {
		for _, clients := range []int{1, 6, 64} {
			t.Run(fmt.Sprintf("%s/%d", kind.name, clients), func(t *testing.T) {
				cmd, addr, out, _ := startGateway(t, func(role, query string) ([]byte, bool) {
					if strings.Contains(query, "id=same,") {
						time.Sleep(usualWait / 2) // it is open meanwhile
					}
					time.Sleep(time.Millisecond)
					return standin.Row("v", role, time.Now().UnixMilli()), true
				})
				startFlood(t, addr, kind, clients)
				usualClients(addr, 24, 600*time.Millisecond, 25*time.Millisecond).check(t)
				cmd.Process.Kill()
				cmd.Wait()
				if log := out.String(); strings.Contains(log, "set aside") || strings.Contains(log, "discovery_failed") {
					t.Errorf("the gateway blamed servers or discovery; log %s", log)
				}
			})
		}
	}
}

// Requests on new connections waited for seconds, as all connections that were accepted shared the turns of one.
func TestNewConnectionsAreServedBesidePipeliningClients(t *testing.T) {
	const floodClients, bursts, between, lateness = 300, 20, 150 * time.Millisecond, 500 * time.Millisecond
	burst := 20
	if raceDetector { // it slows the gateway down
		burst = 2
	}
	requests := bursts * burst
	_, addr, _, _ := startGateway(t, func(role, query string) ([]byte, bool) {
		time.Sleep(time.Millisecond)
		return standin.Row("v", role, time.Now().UnixMilli()), true
	})
	startFlood(t, addr, floodKind{name: "batches"}, floodClients)
	took := make(chan time.Duration, requests)
	for n := range requests {
		go func() {
			start := time.Now()
			c, err := standin.Dial(addr)
			if err == nil {
				defer c.Close()
				_, err = c.Query(fmt.Sprintf("SELECT data FROM facts WHERE code = 'k' /* id=n%d,c=lookup,d=%d,cluster=0 */",
					n, usualWait.Milliseconds()))
			}
			if err != nil {
				t.Errorf("request %d: %v", n, err)
			}
			took <- time.Since(start)
		}()
		if n%burst == burst-1 {
			time.Sleep(between)
		}
	}
	longest, late := time.Duration(0), 0
	for range requests {
		d := <-took
		if longest = max(longest, d); d > usualWait+lateness {
			late++
		}
	}
	t.Logf("the longest request took %v", longest)
	if late > 0 {
		t.Errorf("%d of %d requests were answered more than %v after their time, the longest took %v", late, requests, lateness, longest)
	}
}
