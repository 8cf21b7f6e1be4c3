package discovery

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gorsewell/choice"
	"gorsewell/internal/counters"
	"gorsewell/internal/deployment"
	"gorsewell/internal/dispatch"
	"gorsewell/internal/exchange"
)

// fakeDiscovery is a discovery in virtual time: a network of its own, and what it does to calls until it is well.
type fakeDiscovery struct {
	mu           sync.Mutex
	fault        func(w http.ResponseWriter, r *http.Request) // what is done to a call; nil once it is well
	dialFault    func(ctx context.Context) error              // what is done to new connections until then; nil: they come up
	version      int                                          // of the list: 2 once the server drains
	faultStarted chan struct{}                                // closed when it falls ill: open watches too
	changed      chan struct{}
	incoming     chan net.Conn
	closed       chan struct{}

	callTime   time.Duration          // that a queued call takes; 0: none is queued
	busyUntil  time.Time              // when those queued so far are done
	watchEnded map[net.Conn]time.Time // when the last watch on a connection was answered
}

type connKey struct{}

// waitTurn has a call wait its turn, unless it goes on with a watch; false where that takes too long. A call whose caller
// does not wait for it takes its time all the same.
func (s *fakeDiscovery) waitTurn(r *http.Request) bool {
	c := r.Context().Value(connKey{}).(net.Conn)
	s.mu.Lock()
	now := time.Now()
	if ended, ok := s.watchEnded[c]; s.callTime == 0 || ok && now.Sub(ended) < 200*time.Millisecond {
		s.mu.Unlock()
		return true
	}
	s.busyUntil = time.Unix(0, max(now.UnixNano(), s.busyUntil.UnixNano()))
	if s.busyUntil.Sub(now) > 2*time.Second {
		s.mu.Unlock()
		return false
	}
	s.busyUntil = s.busyUntil.Add(s.callTime)
	wait := s.busyUntil.Sub(now)
	s.mu.Unlock()
	time.Sleep(wait)
	return true
}

func (s *fakeDiscovery) Accept() (net.Conn, error) {
	select {
	case c := <-s.incoming:
		return c, nil
	case <-s.closed:
		return nil, net.ErrClosed
	}
}
func (s *fakeDiscovery) Close() error   { close(s.closed); return nil }
func (s *fakeDiscovery) Addr() net.Addr { return &net.TCPAddr{} }

func (s *fakeDiscovery) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	s.mu.Lock()
	dials := s.dialFault
	s.mu.Unlock()
	if dials != nil {
		if err := dials(ctx); err != nil {
			return nil, err
		}
	}
	near, far := net.Pipe()
	select {
	case s.incoming <- far:
		return near, nil
	case <-s.closed: // nobody accepts any more
		return nil, net.ErrClosed
	}
}

func (s *fakeDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	ill, changed := s.fault, s.changed
	s.mu.Unlock()
	if ill != nil {
		ill(w, r)
		return
	}
	if !s.waitTurn(r) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	struck := s.faultStarted
	select {
	case <-struck: // it has been ill and is well again
		struck = nil
	default:
	}
	if ms, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms")); ms > 0 && r.URL.Query().Get("since") == s.currentVersion() {
		select {
		case <-changed:
		case <-struck:
			s.mu.Lock()
			ill := s.fault
			s.mu.Unlock()
			ill(w, r)
			return
		case <-time.After(time.Duration(ms) * time.Millisecond):
		case <-r.Context().Done():
		}
	}
	w.Write(s.listBody())
	if r.URL.Query().Has("timeout_ms") {
		s.mu.Lock()
		s.watchEnded[r.Context().Value(connKey{}).(net.Conn)] = time.Now()
		s.mu.Unlock()
	}
}

func (s *fakeDiscovery) currentVersion() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strconv.Itoa(s.version)
}

func (s *fakeDiscovery) listBody() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Appendf(nil, `{"version":%d,"full":true,"servers":[{"id":"s-1","addr":"10.0.0.1:1","state":%q}]}`, s.version,
		map[int]string{1: "in_service", 2: "terminating"}[s.version])
}

// recoverAndDrain ends the illness. Calls that were lost stay lost. The server drains from then on.
func (s *fakeDiscovery) recoverAndDrain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault, s.dialFault, s.version = nil, nil, 2
	close(s.changed)
	s.changed = make(chan struct{}) // there are no more
}

// testGateway is the module and what drives it, with no servers to speak to. It notes when it was told that the server drains.
type testGateway struct {
	*dispatch.Dispatch
	drainSeen chan time.Time
}

func (g *testGateway) Listed(scope choice.ListScope, listed []choice.Listed, addrs map[uint32]string) {
	g.Dispatch.Listed(scope, listed, addrs)
	if len(listed) > 0 && listed[0].State == choice.Draining {
		select {
		case g.drainSeen <- time.Now():
		default:
		}
	}
}

func (*testGateway) Send(*exchange.Exchange, uint8, uint32, time.Duration) {}
func (*testGateway) Withdraw(uint32)                                       {}
func (*testGateway) Cancel(*exchange.Exchange, uint8)                      {}
func (*testGateway) Probe(uint32)                                          {}
func (*testGateway) CloseIdle(uint32)                                      {}
func (*testGateway) Locate(map[uint32]string)                              {}
func (*testGateway) Forget(uint32)                                         {}

// newServer makes the source ready.
func (s *fakeDiscovery) newServer() *http.Server {
	s.version, s.faultStarted, s.changed, s.watchEnded = 1, make(chan struct{}), make(chan struct{}), map[net.Conn]time.Time{}
	s.incoming, s.closed = make(chan net.Conn), make(chan struct{})
	return &http.Server{Handler: s, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}}
}

// newGateway makes one that asks this source.
func (s *fakeDiscovery) newGateway(seed uint64, pushed bool) (*testGateway, *Client) {
	settings := &deployment.Told{}
	settings.ListAsked, settings.DrainGrace, settings.Seed, settings.Round = !pushed, drainGrace, seed, 10*time.Millisecond
	settings.AskWithin = AskWithin(settings)
	settings.ListAsked = true
	settings.OpTypes = []choice.OpType{{Target: 500 * time.Millisecond, Timeout: time.Second}}
	clock := exchange.StartClock()
	g := &testGateway{Dispatch: dispatch.New(clock, &counters.Set{}), drainSeen: make(chan time.Time, 1)}
	c := New("10.0.0.9:1", 1, NewNames(clock, settings), settings, g, &counters.Set{})
	c.dial = s.dial
	g.Start(g, c, &settings.Deployment, nil, nil)
	return g, c
}

// propagationDelay is how long after its change, made when discovery is well again, a gateway learns of it. Discovery falls ill a
// while after the gateway has started, and is ill for some time; with moves the gateway is led there by a new configuration then.
func propagationDelay(t *testing.T, s *fakeDiscovery, fallsIll, illFor time.Duration, moves, pushed bool) (took time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		ill, dials := s.fault, s.dialFault
		s.fault, s.dialFault = nil, nil
		server := s.newServer()
		var waits sync.WaitGroup
		waits.Go(func() { server.Serve(s) })
		ctx, cancel := context.WithCancel(t.Context())
		g, c := s.newGateway(uint64(fallsIll), pushed)
		waits.Go(func() { c.Run(ctx) })
		waits.Go(func() { g.Run(ctx) })
		time.Sleep(fallsIll)
		s.mu.Lock()
		s.fault, s.dialFault, s.changed = ill, dials, make(chan struct{}) // what is struck hears of no change
		close(s.faultStarted)
		s.mu.Unlock()
		time.Sleep(illFor)
		if moves {
			c.Move("10.0.0.10:1")
		}
		s.recoverAndDrain()
		well := time.Now()
		select {
		case at := <-g.drainSeen:
			took = at.Sub(well)
		case <-time.After(time.Minute):
			took = time.Minute
		}
		cancel()
		server.Close()
		waits.Wait()
		time.Sleep(time.Minute) // until calls that nobody waits for any more have ended
	})
	return took
}

const drainGrace = 250 * time.Millisecond

// Where lists are pushed, what discovery has when it comes back counts as told at once.
func TestAPushedChangeIsKnownWithinTheGraceOnceDiscoveryIsBack(t *testing.T) {
	refuse := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }
	for _, dials := range []func(context.Context) error{nil, func(context.Context) error { return net.ErrClosed }} {
		for fallsIll := 100 * time.Millisecond; fallsIll < 5*time.Second; fallsIll += 530 * time.Millisecond {
			if took := propagationDelay(t, &fakeDiscovery{fault: refuse, dialFault: dials}, fallsIll, 20*time.Second, false, true); took >= drainGrace {
				t.Errorf("ill after %v: told after %v", fallsIll, took)
			}
		}
	}
}

// A change counts as told 6 s after discovery had it and could be reached, whatever failed before. Each illness strikes at
// different moments of a watch and of the backoff, and lasts for different times.
func TestAChangeIsKnownInTimeWhateverFailedBefore(t *testing.T) {
	silent := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	lost := func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	}
	begun := func(w http.ResponseWriter, length string) {
		if length != "" {
			w.Header().Set("Content-Length", length)
		}
		w.Write([]byte(`{"version":1,"full":true,"servers":[`))
		w.(http.Flusher).Flush()
	}
	for name, c := range map[string]struct {
		ill   func(w http.ResponseWriter, r *http.Request)
		dials func(ctx context.Context) error
	}{
		"silent":                     {ill: silent},
		"refuses":                    {ill: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }},
		"refuses late":               {ill: func(w http.ResponseWriter, _ *http.Request) { time.Sleep(time.Second); w.WriteHeader(500) }},
		"resets":                     {ill: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }},
		"cut inside the body":        {ill: func(w http.ResponseWriter, _ *http.Request) { begun(w, "400"); panic(http.ErrAbortHandler) }},
		"cut, with no length":        {ill: func(w http.ResponseWriter, _ *http.Request) { begun(w, ""); panic(http.ErrAbortHandler) }},
		"falls silent in the body":   {ill: func(w http.ResponseWriter, r *http.Request) { begun(w, "400"); silent(w, r) }},
		"nobody answers a new call":  {ill: silent, dials: lost},
		"calls are refused outright": {ill: silent, dials: func(context.Context) error { return net.ErrClosed }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			worst := time.Duration(0)
			for i, illFor := range []time.Duration{time.Millisecond, 2900 * time.Millisecond, 20 * time.Second} {
				for fallsIll := 100 * time.Millisecond; fallsIll < 5*time.Second; fallsIll += 530 * time.Millisecond {
					moves := i == 1 && fallsIll < 2*time.Second
					took := propagationDelay(t, &fakeDiscovery{fault: c.ill, dialFault: c.dials}, fallsIll, illFor, moves, false)
					if worst = max(worst, took); took >= ToldWithin {
						t.Errorf("ill after %v for %v, moves %v: told after %v", fallsIll, illFor, moves, took)
					}
				}
			}
			t.Logf("told after %v at the latest", worst)
		})
	}
}

// Discovery handles calls one after another and refuses those that would wait for more than two seconds. Gateways that start
// together ask for more than that: each has its watch all the same within some seconds, and hears of a change at once.
func TestGatewaysThatStartTogetherAreAllToldByABusyDiscovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeDiscovery{callTime: 160 * time.Millisecond}
		server := s.newServer()
		var waits sync.WaitGroup
		waits.Go(func() { server.Serve(s) })
		ctx, cancel := context.WithCancel(t.Context())
		var all []*testGateway
		for seed := range uint64(32) {
			g, c := s.newGateway(seed, false)
			all = append(all, g)
			waits.Go(func() { c.Run(ctx) })
			waits.Go(func() { g.Run(ctx) })
		}
		time.Sleep(20 * time.Second)
		s.recoverAndDrain()
		well := time.Now()
		time.Sleep(ToldWithin)
		for i, g := range all {
			select {
			case at := <-g.drainSeen:
				if took := at.Sub(well); took > 100*time.Millisecond {
					t.Errorf("gateway %d was told after %v: it had no watch", i, took)
				}
			default:
				t.Errorf("gateway %d was never told", i)
			}
		}
		cancel()
		server.Close()
		waits.Wait()
		time.Sleep(time.Minute)
	})
}
