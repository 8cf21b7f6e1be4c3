package discovery

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"gorsewell/choice"
	"gorsewell/internal/counters"
	"gorsewell/internal/deployment"
	"gorsewell/internal/exchange"
)

// testList is a full list with two servers in use and one that is gone.
const testList = `{"version":41,"full":true,"servers":[
{"id":"s-5be2a07c","addr":"10.1.0.18:5432","zone":"b","kind":"m 2","cell":3,"state":"in_service","weight":1.5,"started_ms":0},
{"id":"other","addr":"10.1.0.19:5432","zone":"c","kind":"m3","cell":3,"state":"terminating","role":"primary","started_ms":1767225600123},
{"id":"s-1","state":"terminated"}]}`

// handledList holds the arguments of one call of a ListHandler.
type handledList struct {
	scope  choice.ListScope
	listed []choice.Listed
	addrs  map[uint32]string
}

// listQueue is a ListHandler that queues the lists.
type listQueue chan handledList

func (q listQueue) HandleList(scope choice.ListScope, listed []choice.Listed, addrs map[uint32]string) {
	q <- handledList{scope, listed, addrs}
}

// next returns the next list and fails the test if none comes.
func (q listQueue) next(t *testing.T) handledList {
	t.Helper()
	select {
	case l := <-q:
		return l
	case <-time.After(10 * time.Second):
		t.Fatal("got no list within 10s")
		panic("not reached")
	}
}

// startClient runs a Client against an HTTP server with the handler until the test ends.
func startClient(t *testing.T, askWithin time.Duration, h http.HandlerFunc) (*Client, listQueue) {
	t.Helper()
	s := httptest.NewServer(h)
	lists := make(listQueue, 64)
	settings := &deployment.Settings{Zones: []string{"a", "b"}, Kinds: []string{"m_2"}}
	settings.AskWithin = askWithin
	names := NewNames(exchange.StartClock(), settings)
	c := New(strings.TrimPrefix(s.URL, "http://"), 40, names, settings, lists, &counters.Set{})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		c.Run(ctx)
		close(ended)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
		s.Close()
	})
	return c, lists
}

func TestAskConvertsWholeList(t *testing.T) {
	c, lists := startClient(t, time.Second, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery != "" {
			t.Errorf("got request %q, want one without a query", r.URL)
		}
		w.Write([]byte(testList))
	})
	c.Ask()
	l := lists.next(t)
	if l.scope != choice.ListFull || len(l.listed) != 3 {
		t.Fatalf("got %+v, want a full list of 3 servers", l)
	}
	first, second, third := l.listed[0], l.listed[1], l.listed[2]
	want := choice.Listed{ID: 0x5be2a07c, Group: 3, Zone: 1, Kind: 0, State: choice.Ready, Started: choice.LongPast, Weight: 1.5}
	if first != want || !second.Primary || second.State != choice.Draining || second.Zone != 2 || second.Kind != 1 ||
		third.ID != 1 || third.State != choice.Gone {
		t.Errorf("got %+v, want a ready server, a draining primary and server 1, which is gone", l.listed)
	}
	if started, _ := c.names.clock.FromUnix(1767225600123); second.Started != started {
		t.Errorf("got start time %v, want %v", second.Started, started)
	}
	if len(l.addrs) != 2 || l.addrs[0x5be2a07c] != "10.1.0.18:5432" {
		t.Errorf("got addresses %v, want those of the first two servers", l.addrs)
	}
}

func TestWatchContinuesFromLastVersion(t *testing.T) {
	queries := make(chan string, 8)
	c, lists := startClient(t, 2*time.Second, func(w http.ResponseWriter, r *http.Request) {
		select {
		case queries <- r.URL.RawQuery:
		default:
			<-r.Context().Done()
			return
		}
		w.Write([]byte(`{"version":` + map[int]string{1: "41", 2: "43"}[min(2, len(queries))] + `,"full":false,"servers":[]}`))
	})
	c.Watch()
	if l := lists.next(t); l.scope != choice.ListChanges {
		t.Errorf("got %+v, want changes", l)
	}
	lists.next(t)
	lists.next(t)
	for _, want := range []string{"since=40&timeout_ms=10", "since=41&timeout_ms=", "since=43&timeout_ms="} {
		if got := <-queries; !strings.HasPrefix(got, want) {
			t.Errorf("got query %q, want prefix %q", got, want)
		}
	}
}

// A discovery that was restarted may count versions from a lower number. Changes since an older version are then
// meaningless.
func TestLowerVersionMakesWatchFetchWholeList(t *testing.T) {
	queries := make(chan string, 8)
	c, lists := startClient(t, time.Second, func(w http.ResponseWriter, r *http.Request) {
		queries <- r.URL.RawQuery
		if r.URL.RawQuery == "" {
			w.Write([]byte(strings.Replace(testList, "41", "7", 1)))
		} else if strings.HasPrefix(r.URL.RawQuery, "since=40") {
			w.Write([]byte(`{"version":6,"full":false,"servers":[]}`))
		} else {
			<-r.Context().Done()
		}
	})
	c.Watch()
	lists.next(t)
	if l := lists.next(t); l.scope != choice.ListFull || len(l.listed) != 3 {
		t.Errorf("got %+v, want a full list of 3 servers", l)
	}
	for _, want := range []string{"since=40", "", "since=7&"} {
		if got := <-queries; !strings.HasPrefix(got, want) || want == "" && got != "" {
			t.Errorf("got query %q, want prefix %q", got, want)
		}
	}
}

// recordingTransport records the requests of a client and answers none of them.
type recordingTransport chan *http.Request

func (t recordingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	t <- r
	return nil, errors.New("no answer")
}

// Discovery answers calls one after another, so the waits of watches that started together must differ. No wait may be
// so long that after a watch without an answer there is no time for another call within MaxPropagationDelay, nor a
// timeout so short that a watch is given up when discovery answers late.
func TestWatchWaitsAreRandomAndBounded(t *testing.T) {
	waits := map[int64]bool{} // in ms
	for seed := range uint64(8) {
		settings := &deployment.Settings{}
		settings.AskWithin, settings.Seed = MaxPropagationDelay, seed
		c := New("127.0.0.1:1", 40, NewNames(exchange.StartClock(), settings), settings, make(listQueue, 8), &counters.Set{})
		requests := make(recordingTransport, 1)
		c.http.Transport = requests
		c.watchOpen = true
		c.fetchChanges(t.Context())
		r := <-requests
		ms, _ := strconv.ParseInt(r.URL.Query().Get("timeout_ms"), 10, 64)
		waits[ms] = true
		deadline, _ := r.Context().Deadline()
		if timeout := time.Until(deadline); timeout+callTimeout >= MaxPropagationDelay || ms < 1500 || timeout < time.Duration(ms)*time.Millisecond+watchAnswerGrace*3/4 {
			t.Errorf("got a wait of %d ms and a timeout of %v, want at least 1500 ms and a timeout that leaves time for late answers and another call", ms, timeout)
		}
	}
	if len(waits) < 6 {
		t.Errorf("got waits of %v ms, want at least 6 different ones", waits)
	}
}

func TestAskDuringWatchFetchesWholeListOnce(t *testing.T) {
	c, lists := startClient(t, 4*time.Second, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery == "" {
			w.Write([]byte(testList))
			return
		}
		time.Sleep(20 * time.Millisecond)
		w.Write([]byte(`{"version":42,"full":false,"servers":[]}`))
	})
	c.Watch()
	lists.next(t)
	c.Ask()
	full := 0
	for range 6 { // the watch continues before and after the whole list
		if lists.next(t).scope == choice.ListFull {
			full++
		}
	}
	if full != 1 {
		t.Errorf("got %d whole lists, want 1", full)
	}
}

// A move cancels the call in progress. The other discovery fails at first, and counts versions differently.
func TestMoveCancelsWatchAndFetchesWholeListAtNewAddress(t *testing.T) {
	queries := make(chan string, 8)
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		queries <- r.URL.RawQuery
		if len(queries) == 1 {
			w.WriteHeader(http.StatusServiceUnavailable)
		} else if r.URL.RawQuery == "" {
			w.Write([]byte(strings.Replace(testList, "41", "3", 1)))
		} else {
			<-r.Context().Done()
		}
	}))
	t.Cleanup(other.Close) // runs after the client has ended
	watching, cancelled := make(chan struct{}), make(chan struct{})
	c, lists := startClient(t, time.Minute, func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.RawQuery, "timeout_ms=10") {
			w.Write([]byte(`{"version":99,"full":false,"servers":[]}`))
			return
		}
		close(watching)
		<-r.Context().Done()
		close(cancelled)
	})
	c.Watch()
	lists.next(t)
	<-watching
	c.Move("192.0.2.1:1") // replaced by the next move
	c.Move(strings.TrimPrefix(other.URL, "http://"))
	<-cancelled
	if l := lists.next(t); l.scope != choice.ListFailed {
		t.Errorf("got %+v, want a failed call", l)
	}
	c.Watch()
	if l := lists.next(t); l.scope != choice.ListFull || len(l.listed) != 3 {
		t.Errorf("got %+v, want a full list of 3 servers", l)
	}
	for i, want := range []string{"", "", "since=3&timeout_ms="} {
		if got := <-queries; i < 2 && got != want || !strings.HasPrefix(got, want) {
			t.Errorf("got query %q, want prefix %q", got, want)
		}
	}
}

func TestFailedCallsAreReported(t *testing.T) {
	for name, h := range map[string]http.HandlerFunc{
		"error status":     func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
		"no response":      func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
		"connection reset": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"truncated list":   func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte(testList[:90])) },
		"unknown state": func(w http.ResponseWriter, _ *http.Request) {
			w.Write([]byte(strings.Replace(testList, "terminating", "lost", 1)))
		},
		"no address": func(w http.ResponseWriter, _ *http.Request) {
			w.Write([]byte(strings.Replace(testList, "10.1.0.18:5432", "", 1)))
		},
		"invalid start time": func(w http.ResponseWriter, _ *http.Request) {
			w.Write([]byte(strings.Replace(testList, "1767225600123", "-4", 1)))
		},
		"negative weight": func(w http.ResponseWriter, _ *http.Request) {
			w.Write([]byte(strings.Replace(testList, "1.5", "-1.5", 1)))
		},
		"no ID": func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte(strings.Replace(testList, "s-1", "", 1))) },
		"cell out of range": func(w http.ResponseWriter, _ *http.Request) {
			w.Write([]byte(strings.Replace(testList, `"cell":3`, `"cell":70000`, 1)))
		},
	} {
		c, lists := startClient(t, 200*time.Millisecond, h)
		for range 2 { // a watch can be requested again after it has failed
			c.Watch()
			if l := lists.next(t); l.scope != choice.ListFailed {
				t.Errorf("%s: got %+v, want a failed call", name, l)
			}
		}
		if n := c.counts.ListsFailed.Load(); n != 2 {
			t.Errorf("%s: got %d failures counted, want 2", name, n)
		}
	}
}

func TestNamesStayBoundedWhenServersAreForgotten(t *testing.T) {
	n := NewNames(exchange.StartClock(), &deployment.Settings{})
	for i := range 5000 {
		list := &List{Servers: []Entry{{ID: fmt.Sprintf("s-%x", i), Addr: "10.0.0.1:1", State: "in_service",
			Zone: fmt.Sprint(i), Kind: fmt.Sprint(i)}}}
		listed, _, err := n.Convert(list)
		if err != nil {
			t.Fatal(err)
		}
		n.Forget(listed[0].ID)
	}
	if len(n.servers) != 0 || len(n.zones) > 256 || len(n.kinds) > 256 {
		t.Errorf("got %d servers, %d zones, %d kinds; want 0, at most 256, at most 256", len(n.servers), len(n.zones), len(n.kinds))
	}
}

func TestServerNumbersAreStableAndUnique(t *testing.T) {
	n := NewNames(exchange.StartClock(), &deployment.Settings{})
	a, b := n.serverNumber("s-5be2a07c"), n.serverNumber("S-5BE2A07C")
	if a != 0x5be2a07c || b == a || n.serverNumber("s-5be2a07c") != a || n.serverNumber("S-5BE2A07C") != b {
		t.Errorf("got numbers %x and %x, want 5be2a07c and another one, the same at each call", a, b)
	}
	n.servers[7] = "other server"
	if c := n.serverNumber("s-7"); c != 8 || n.serverNumber("s-7") != 8 {
		t.Errorf("got number %x for s-7 while 7 is taken, want 8", c)
	}
}
