package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gorsewell/internal/standin"
)

// replicaLag is how far the replica of clockPlay is behind.
const replicaLag = 200 * time.Millisecond

// clockPlay is a group whose clock differs from the gateway's, and session clients. To the gateway this is as if its own
// wall clock had been wrong when it started.
type clockPlay struct {
	ahead        time.Duration // of the gateway's clock
	stale        atomic.Int32  // reads that a server answered from data older than they ask for
	replicaReads atomic.Int32  // session reads that the replica answered
}

// withSessionReads changes a group's configuration: lookups are session reads, and browsing reads may see any data.
func withSessionReads(config string) string {
	browse := `{"name":"browse","effect":"retryable","target":2000000000,"give_up":3000000000,"worth":1},`
	config = strings.Replace(config, `{"name":"save"`, browse+`{"name":"save"`, 1)
	return strings.Replace(config, `"needs_by_class":["eventual","mutate"]`,
		`"write_marks":"brought","needs_by_class":["causal","eventual","mutate"]`, 1)
}

// position returns the position of a server by the clock of the group.
func (p *clockPlay) position(role string) time.Time {
	now := time.Now().Add(p.ahead)
	if role == "replica" {
		return now.Add(-replicaLag)
	}
	return now
}

// answer answers a query as a server.
func (p *clockPlay) answer(role, query string) ([]byte, bool) {
	position := p.position(role)
	if strings.HasPrefix(query, "INSERT") && role != "primary" {
		return standin.Failure("25006", role, position.UnixMilli()), true
	}
	if _, rest, found := strings.Cut(query, "after="); found {
		if role == "replica" {
			p.replicaReads.Add(1)
		}
		text, _, _ := strings.Cut(strings.TrimSuffix(rest, " */"), ",")
		if after, err := strconv.ParseInt(text, 10, 64); err != nil || position.UnixMilli() < after {
			p.stale.Add(1)
		}
	}
	return standin.Row("v", role, position.UnixMilli()), true
}

// playSession writes and reads what it has written, at once and once more when the replica has caught up. It also browses,
// which shows the gateway the replica's position.
func (p *clockPlay) playSession(t *testing.T, addr string, session int, end time.Time) {
	c, err := standin.Dial(addr)
	if err != nil {
		t.Error(err)
		return
	}
	defer c.Close()
	for n := 0; time.Now().Before(end); n++ {
		id := fmt.Sprintf("%dx%d", session, n)
		statements := []string{fmt.Sprintf("INSERT INTO facts (code, data) VALUES ('k%d', 'x') RETURNING data /* id=w%s,c=save,d=800,cluster=0 */", session, id)}
		read := "SELECT data FROM facts WHERE code = 'k%d' /* id=%s%s,c=lookup,d=800,cluster=0,after=%d */"
		browse := "SELECT data FROM facts WHERE code = 'k' /* id=b%s,c=browse,d=800,cluster=0 */"
		for i := 0; i < len(statements); i++ {
			if got, err := c.Query(statements[i]); err != nil || got != "v" {
				t.Errorf("clock wrong by %v, %s: got %q, %v, want v", -p.ahead, statements[i], got, err)
				return
			}
			if i == 0 {
				after := p.position("primary").UnixMilli()
				statements = append(statements, fmt.Sprintf(read, session, "r", id, after), fmt.Sprintf(browse, id),
					fmt.Sprintf(read, session, "s", id, after))
			} else {
				time.Sleep(replicaLag)
			}
		}
	}
}

// Session reads see what they must, and replicas serve them, however wrong the gateway's wall clock was at its start.
func TestSessionReadsWithWrongWallClock(t *testing.T) {
	for _, ahead := range []time.Duration{0, 2 * time.Second, -2 * time.Second, time.Hour, -time.Hour} {
		t.Run(fmt.Sprint(-ahead), func(t *testing.T) {
			t.Parallel()
			p := &clockPlay{ahead: ahead}
			_, addr, out, _ := startGatewayWith(t, p.answer, withSessionReads)
			end := time.Now().Add(4 * time.Second)
			var sessions sync.WaitGroup
			for n := range 8 {
				sessions.Go(func() { p.playSession(t, addr, n, end) })
			}
			sessions.Wait()
			if stale, reads := p.stale.Load(), p.replicaReads.Load(); stale > 0 || reads == 0 {
				t.Errorf("got %d stale reads and %d reads from the replica, want none and some; log %s", stale, reads, out)
			}
			t.Logf("%d reads from the replica", p.replicaReads.Load())
		})
	}
}
