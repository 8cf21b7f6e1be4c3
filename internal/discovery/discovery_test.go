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

const testList = `{"version":41,"full":true,"servers":[
{"id":"s-5be2a07c","addr":"10.1.0.18:5432","zone":"b","kind":"m 2","cell":3,"state":"in_service","weight":1.5,"started_ms":0},
{"id":"other","addr":"10.1.0.19:5432","zone":"c","kind":"m3","cell":3,"state":"terminating","role":"primary","started_ms":1767225600123},
{"id":"s-1","state":"terminated"}]}`

// handledList is one list as it was handed over.
type handledList struct {
	scope  choice.ListScope
	listed []choice.Listed
	addrs  map[uint32]string
}

type listQueue chan handledList

func (c listQueue) Listed(scope choice.ListScope, listed []choice.Listed, addrs map[uint32]string) {
	c <- handledList{scope, listed, addrs}
}

func (c listQueue) next(t *testing.T) handledList {
	t.Helper()
	select {
	case l := <-c:
		return l
	case <-time.After(10 * time.Second):
		t.Fatal("no list")
		panic("not reached")
	}
}

// startClient runs against the handler until the test ends.
func startClient(t *testing.T, within time.Duration, h http.HandlerFunc) (*Client, listQueue) {
	t.Helper()
	s := httptest.NewServer(h)
	lists := make(listQueue, 64)
	settings := &deployment.Told{Zones: []string{"a", "b"}, Kinds: []string{"m_2"}}
	settings.AskWithin = within
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

func TestAListInTheModulesTerms(t *testing.T) {
	c, lists := startClient(t, time.Second, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery != "" {
			t.Errorf("asked %q", r.URL)
		}
		w.Write([]byte(testList))
	})
	c.Ask()
	l := lists.next(t)
	if l.scope != choice.ListFull || len(l.listed) != 3 {
		t.Fatalf("%+v", l)
	}
	first, second, third := l.listed[0], l.listed[1], l.listed[2]
	want := choice.Listed{ID: 0x5be2a07c, Group: 3, Zone: 1, Kind: 0, State: choice.Ready, Started: choice.LongPast, Weight: 1.5}
	if first != want || !second.Primary || second.State != choice.Draining || second.Zone != 2 || second.Kind != 1 ||
		third.ID != 1 || third.State != choice.Gone {
		t.Errorf("%+v", l.listed)
	}
	if started, _ := c.names.clock.FromUnix(1767225600123); second.Started != started {
		t.Errorf("started %v, want %v", second.Started, started)
	}
	if len(l.addrs) != 2 || l.addrs[0x5be2a07c] != "10.1.0.18:5432" {
		t.Errorf("%v", l.addrs)
	}
}

func TestAWatchGoesOnFromTheLastVersion(t *testing.T) {
	asked := make(chan string, 8)
	c, lists := startClient(t, 2*time.Second, func(w http.ResponseWriter, r *http.Request) {
		select {
		case asked <- r.URL.RawQuery:
		default:
			<-r.Context().Done()
			return
		}
		w.Write([]byte(`{"version":` + map[int]string{1: "41", 2: "43"}[min(2, len(asked))] + `,"full":false,"servers":[]}`))
	})
	c.Watch()
	if l := lists.next(t); l.scope != choice.ListChanges {
		t.Errorf("%+v", l)
	}
	lists.next(t)
	lists.next(t)
	for _, want := range []string{"since=40&timeout_ms=10", "since=41&timeout_ms=", "since=43&timeout_ms="} {
		if got := <-asked; !strings.HasPrefix(got, want) {
			t.Errorf("asked %q, want %q", got, want)
		}
	}
}

// A discovery that has started anew may count from lower: what it calls changes since a version says nothing then.
func TestAVersionThatGoesBackHasTheWholeListAskedFor(t *testing.T) {
	asked := make(chan string, 8)
	c, lists := startClient(t, time.Second, func(w http.ResponseWriter, r *http.Request) {
		asked <- r.URL.RawQuery
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
		t.Errorf("%+v", l)
	}
	for _, want := range []string{"since=40", "", "since=7&"} {
		if got := <-asked; !strings.HasPrefix(got, want) || want == "" && got != "" {
			t.Errorf("asked %q, want %q", got, want)
		}
	}
}

// recordingTransport notes the recordingTransport that a client makes and answers none.
type recordingTransport chan *http.Request

func (c recordingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	c <- r
	return nil, errors.New("silent")
}

// Watches that were opened together end at times of their own, as discovery answers calls one after another. None waits for so
// long that another call could not be answered within the time after which what a silent one misses counts as told, nor for so
// short a time that a discovery that is late would have it given up.
func TestWatchesEndSoonAndNotInStepWithOthers(t *testing.T) {
	waits := map[int64]bool{}
	for seed := range uint64(8) {
		settings := &deployment.Told{}
		settings.AskWithin, settings.Seed = ToldWithin, seed
		c := New("127.0.0.1:1", 40, NewNames(exchange.StartClock(), settings), settings, make(listQueue, 8), &counters.Set{})
		made := make(recordingTransport, 1)
		c.http.Transport = made
		c.watchOpen = true
		c.fetchChanges(t.Context())
		r := <-made
		ms, _ := strconv.ParseInt(r.URL.Query().Get("timeout_ms"), 10, 64)
		waits[ms] = true
		ends, _ := r.Context().Deadline()
		if gone := time.Until(ends); gone+callTimeout >= ToldWithin || ms < 1500 || gone < time.Duration(ms)*time.Millisecond+watchAnswerGrace*3/4 {
			t.Errorf("a watch of %d ms is given up after %v", ms, gone)
		}
	}
	if len(waits) < 6 {
		t.Errorf("waits of %v ms: in step", waits)
	}
}

func TestAnAskingDuringAWatch(t *testing.T) {
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
	for range 6 { // the watch goes on around it
		if lists.next(t).scope == choice.ListFull {
			full++
		}
	}
	if full != 1 {
		t.Errorf("%d whole lists", full)
	}
}

// A watch under way is dropped, not waited out; the other discovery fails at first, and counts versions otherwise.
func TestAMoveDropsTheWatchAndAsksForTheWholeListElsewhere(t *testing.T) {
	asked := make(chan string, 8)
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked <- r.URL.RawQuery
		if len(asked) == 1 {
			w.WriteHeader(http.StatusServiceUnavailable)
		} else if r.URL.RawQuery == "" {
			w.Write([]byte(strings.Replace(testList, "41", "3", 1)))
		} else {
			<-r.Context().Done()
		}
	}))
	t.Cleanup(other.Close) // after the client's end
	watched, dropped := make(chan struct{}), make(chan struct{})
	c, lists := startClient(t, time.Minute, func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.RawQuery, "timeout_ms=10") {
			w.Write([]byte(`{"version":99,"full":false,"servers":[]}`))
			return
		}
		close(watched)
		<-r.Context().Done()
		close(dropped)
	})
	c.Watch()
	lists.next(t)
	<-watched
	c.Move("192.0.2.1:1") // the newest counts
	c.Move(strings.TrimPrefix(other.URL, "http://"))
	<-dropped
	if l := lists.next(t); l.scope != choice.ListFailed {
		t.Errorf("%+v", l)
	}
	c.Watch()
	if l := lists.next(t); l.scope != choice.ListFull || len(l.listed) != 3 {
		t.Errorf("%+v", l)
	}
	for i, want := range []string{"", "", "since=3&timeout_ms="} {
		if got := <-asked; i < 2 && got != want || !strings.HasPrefix(got, want) {
			t.Errorf("asked %q, want %q", got, want)
		}
	}
}

func TestCallsThatFail(t *testing.T) {
	for name, h := range map[string]http.HandlerFunc{
		"refuses":     func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
		"hangs":       func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
		"resets":      func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"half a list": func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte(testList[:90])) },
		"unknown state": func(w http.ResponseWriter, _ *http.Request) {
			w.Write([]byte(strings.Replace(testList, "terminating", "lost", 1)))
		},
		"no address": func(w http.ResponseWriter, _ *http.Request) {
			w.Write([]byte(strings.Replace(testList, "10.1.0.18:5432", "", 1)))
		},
		"absurd start": func(w http.ResponseWriter, _ *http.Request) {
			w.Write([]byte(strings.Replace(testList, "1767225600123", "-4", 1)))
		},
		"negative weight": func(w http.ResponseWriter, _ *http.Request) {
			w.Write([]byte(strings.Replace(testList, "1.5", "-1.5", 1)))
		},
		"no id": func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte(strings.Replace(testList, "s-1", "", 1))) },
		"too large a cell": func(w http.ResponseWriter, _ *http.Request) {
			w.Write([]byte(strings.Replace(testList, `"cell":3`, `"cell":70000`, 1)))
		},
	} {
		c, lists := startClient(t, 200*time.Millisecond, h)
		for range 2 { // a failed watch can be asked for again
			c.Watch()
			if l := lists.next(t); l.scope != choice.ListFailed {
				t.Errorf("%s: %+v", name, l)
			}
		}
		if n := c.counts.ListsFailed.Load(); n != 2 {
			t.Errorf("%s: %d failures counted", name, n)
		}
	}
}

func TestNothingIsKeptOfServersThatAreForgotten(t *testing.T) {
	n := NewNames(exchange.StartClock(), &deployment.Told{})
	for i := range 5000 {
		p := &Page{Servers: []Entry{{ID: fmt.Sprintf("s-%x", i), Addr: "10.0.0.1:1", State: "in_service",
			Zone: fmt.Sprint(i), Kind: fmt.Sprint(i)}}}
		listed, _, err := n.Listed(p)
		if err != nil {
			t.Fatal(err)
		}
		n.Forget(listed[0].ID)
	}
	if len(n.servers) != 0 || len(n.zones) > 256 || len(n.kinds) > 256 {
		t.Errorf("%d servers, %d zones, %d kinds", len(n.servers), len(n.zones), len(n.kinds))
	}
}

func TestServersKeepTheirNumbers(t *testing.T) {
	n := NewNames(exchange.StartClock(), &deployment.Told{})
	a, b := n.serverNumber("s-5be2a07c"), n.serverNumber("S-5BE2A07C")
	if a != 0x5be2a07c || b == a || n.serverNumber("s-5be2a07c") != a || n.serverNumber("S-5BE2A07C") != b {
		t.Errorf("%x, %x", a, b)
	}
	n.servers[7] = "squatter"
	if c := n.serverNumber("s-7"); c != 8 || n.serverNumber("s-7") != 8 {
		t.Errorf("%x beside another with its number", c)
	}
}
