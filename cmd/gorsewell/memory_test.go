package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gorsewell/internal/pgwire"
	"gorsewell/internal/standin"
)

// peakMemory observes a process until the context ends and returns the most anonymous memory that it used, in bytes.
func peakMemory(ctx context.Context, pid int) (peak int64) {
	for ctx.Err() == nil {
		text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
		if _, rest, ok := strings.Cut(string(text), "RssAnon:"); ok {
			kilobytes, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			peak = max(peak, kilobytes<<10)
		}
		time.Sleep(2 * time.Millisecond)
	}
	return peak
}

// A process with the least memory and the most descriptors was killed for memory when many clients sent half commands.
// Here, half commands of all sizes, many commands at once and answers that never end come together.
func TestFloodStaysWithinMemory(t *testing.T) {
	const memoryMB, badClients, usualClients = 32, 300, 10
	endless := standin.Row(strings.Repeat("v", 150<<10), "replica", 1)[:100<<10]
	release := make(chan struct{})
	cmd, addr, out, _ := startGatewayWith(t, func(role, query string) ([]byte, bool) {
		switch {
		case strings.Contains(query, "endless"):
			return endless, true
		case strings.Contains(query, "hang"):
			<-release
		}
		return standin.Row("v", role, time.Now().UnixMilli()), true
	}, func(config string) string {
		return replaceField(t, config, "limits", map[string]any{"cores": 1, "memory_mb": memoryMB, "sockets": 1024})
	})
	query := func(key string, id int) []byte {
		return pgwire.AppendQuery(nil, strings.Replace(fmt.Sprintf(lookupQuery, id), "'k'", "'"+key+"'", 1))
	}
	manyAtOnce := func(id int) (input []byte) {
		for n := range 16 {
			input = append(input, query("hang"+strings.Repeat("x", 3000), id+n)...)
		}
		return input
	}
	half := func(valueBytes int) []byte { return query(strings.Repeat("x", valueBytes), 0)[:valueBytes] }
	inputs := []func(id int) []byte{
		func(int) []byte { return half(100 << 10) },
		func(int) []byte { return half(400 << 10) },
		manyAtOnce,
		func(id int) []byte { return query("endless", id) },
		func(id int) []byte { return query("hang"+strings.Repeat("x", 60<<10), id) },
	}
	observed, stopObserving := context.WithCancel(t.Context())
	peak := make(chan int64)
	go func() { peak <- peakMemory(observed, cmd.Process.Pid) }()
	var bad, usual sync.WaitGroup
	for n := range badClients {
		bad.Go(func() {
			c, err := standin.Dial(addr)
			if err != nil {
				return // turned away
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(4 * time.Second))
			c.WriteBytes(inputs[n%len(inputs)](1000 * (n + 1)))
			for err == nil {
				_, err = c.ReadAnswer()
			}
		})
	}
	var answered atomic.Int32
	for n := range usualClients {
		usual.Go(func() {
			for i := range 20 {
				c, err := standin.Dial(addr)
				if err != nil {
					continue // turned away
				}
				if got, err := c.Query(fmt.Sprintf(lookupQuery, 100*n+i)); err != nil || got != "v" && !strings.HasPrefix(got, "C") {
					t.Errorf("usual client: got %q, %v", got, err)
				} else if got == "v" {
					answered.Add(1)
				}
				c.Close()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	usual.Wait()
	close(release)
	bad.Wait()
	stopObserving()
	if used := <-peak; !raceDetector && used > memoryMB<<20-nonHeapBytes {
		t.Errorf("the process used %d KiB beside the program's pages, want %d KiB at most", used>>10, (memoryMB<<20-nonHeapBytes)>>10)
	} else {
		t.Logf("the process used %d KiB beside the program's pages; %d usual commands were acked", used>>10, answered.Load())
	}
	if answered.Load() == 0 {
		t.Error("no usual command was acked")
	}
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil || !strings.Contains(out.String(), " held=0 ") || !strings.Contains(out.String(), "assertions_broken=0") {
		t.Errorf("got %v, want exit code 0; log %s", err, out)
	}
}
