package main

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gorsewell/internal/pgwire"
	"gorsewell/internal/standin"
)

// A non-retryable op whose client had left ran twice when its id came again.
func TestNonRetryableOpRunsOnceWhenItsIDComesAgain(t *testing.T) {
	const rounds = 30
	var mu sync.Mutex
	runs := map[string]int{}
	arrived, finished := make(chan string, 2*rounds), make(chan string, 2*rounds)
	_, addr, out, _ := startGatewayWith(t, func(role, query string) ([]byte, bool) {
		if role == "primary" && strings.HasPrefix(query, "INSERT") {
			_, rest, _ := strings.Cut(query, "id=")
			id, _, _ := strings.Cut(rest, ",")
			mu.Lock()
			runs[id]++
			mu.Unlock()
			arrived <- id
			time.Sleep(5 * time.Millisecond)
			finished <- id
		}
		return standin.Row("v", role, time.Now().UnixMilli()), true
	}, func(config string) string {
		return strings.Replace(config, `"effect":"dedup"`, `"effect":"fragile"`, 1)
	})
	for n := range rounds {
		statement := fmt.Sprintf("INSERT INTO facts (code, data) VALUES ('k', 'x') RETURNING data /* id=w%d,c=save,d=2500,cluster=0 */", n)
		leaving, err := standin.Dial(addr)
		if err != nil {
			t.Fatal(err)
		}
		leaving.WriteBytes(pgwire.AppendQuery(nil, statement))
		awaitID(arrived, fmt.Sprint("w", n))
		leaving.Close()
		awaitID(finished, fmt.Sprint("w", n))
		again, err := standin.Dial(addr)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := again.Query(statement); err != nil || !strings.HasPrefix(got, "C42710") {
			t.Errorf("round %d: got %q, %v, want an error that names the id", n, got, err)
		}
		again.Close()
	}
	mu.Lock()
	defer mu.Unlock()
	for id, n := range runs {
		if n != 1 {
			t.Errorf("op %s ran %d times, want once; log %s", id, n, out)
		}
	}
}

// awaitID waits until an id comes.
func awaitID(ids <-chan string, id string) {
	for <-ids != id {
	}
}
