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

// fakeDiscovery is a discovery on a network of its own, in the virtual time of a synctest bubble. It can simulate a
// fault.
type fakeDiscovery struct {
	mu           sync.Mutex
	fault        func(w http.ResponseWriter, r *http.Request) // handles calls during a fault; nil without one
	dialFault    func(ctx context.Context) error              // called for new connections during a fault, if not nil
	version      int                                          // of the list: 1 at first, 2 once the server drains
	faultStarted chan struct{}                                // closed when the fault starts: open watches are affected
	changed      chan struct{}                                // closed when the list changes
	incoming     chan net.Conn
	closed       chan struct{}

	callTime   time.Duration          // time that the handling of a queued call takes; 0: calls are not queued
	busyUntil  time.Time              // when all calls queued so far have been handled
	watchEnded map[net.Conn]time.Time // when the last call of a watch on a connection was answered
}

// connKey is the context key of a call's connection.
type connKey struct{}

// waitTurn waits for a call's turn in the queue. A call that continues a watch is not queued. The result is false if
// the queue is too long. A call also takes its time if its caller no longer waits for it.
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

// dial is the DialContext function of the clients.
func (s *fakeDiscovery) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	s.mu.Lock()
	dialFault := s.dialFault
	s.mu.Unlock()
	if dialFault != nil {
		if err := dialFault(ctx); err != nil {
			return nil, err
		}
	}
	client, server := net.Pipe()
	select {
	case s.incoming <- server:
		return client, nil
	case <-s.closed: // no more connections are accepted
		return nil, net.ErrClosed
	}
}

// ServeHTTP answers with the list, for a watch once that has changed or the wait is over.
func (s *fakeDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	fault, changed := s.fault, s.changed
	s.mu.Unlock()
	if fault != nil {
		fault(w, r)
		return
	}
	if !s.waitTurn(r) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	faultStarted := s.faultStarted
	select {
	case <-faultStarted: // the fault is over already
		faultStarted = nil
	default:
	}
	if ms, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms")); ms > 0 && r.URL.Query().Get("since") == s.currentVersion() {
		select {
		case <-changed:
		case <-faultStarted:
			s.mu.Lock()
			fault := s.fault
			s.mu.Unlock()
			fault(w, r)
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

// recoverAndDrain ends the fault and makes the server drain. Calls that were lost during the fault stay lost.
func (s *fakeDiscovery) recoverAndDrain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault, s.dialFault, s.version = nil, nil, 2
	close(s.changed)
	s.changed = make(chan struct{}) // there are no further changes
}

// testGateway is a decision module with its Dispatch and a server side that does nothing. It records when it learned
// that the server drains.
type testGateway struct {
	*dispatch.Dispatch
	drainSeen chan time.Time
}

func (g *testGateway) HandleList(scope choice.ListScope, listed []choice.Listed, addrs map[uint32]string) {
	g.Dispatch.HandleList(scope, listed, addrs)
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

// newServer initialises the discovery and returns an HTTP server for it.
func (s *fakeDiscovery) newServer() *http.Server {
	s.version, s.faultStarted, s.changed, s.watchEnded = 1, make(chan struct{}), make(chan struct{}), map[net.Conn]time.Time{}
	s.incoming, s.closed = make(chan net.Conn), make(chan struct{})
	return &http.Server{Handler: s, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}}
}

// newGateway returns a gateway that uses this discovery, and its client.
func (s *fakeDiscovery) newGateway(seed uint64, pushed bool) (*testGateway, *Client) {
	settings := &deployment.Settings{}
	settings.ListOnRequest, settings.DrainGrace, settings.Seed, settings.EventInterval = !pushed, drainGrace, seed, 10*time.Millisecond
	settings.AskWithin = AskWithin(settings)
	settings.ListOnRequest = true
	settings.OpTypes = []choice.OpType{{Target: 500 * time.Millisecond, Timeout: time.Second}}
	clock := exchange.StartClock()
	g := &testGateway{Dispatch: dispatch.New(clock, &counters.Set{}), drainSeen: make(chan time.Time, 1)}
	c := New("10.0.0.9:1", 1, NewNames(clock, settings), settings, g, &counters.Set{})
	c.dial = s.dial
	g.Start(g, c, &settings.Deployment, nil, nil)
	return g, c
}

// propagationDelay returns the time from a change of the list, made when a fault of discovery ends, until a gateway
// learns of it. The fault starts at faultAt after the gateway's start and lasts for faultTime. If moves is true, the
// gateway is moved to another address of discovery when the fault ends.
func propagationDelay(t *testing.T, s *fakeDiscovery, faultAt, faultTime time.Duration, moves, pushed bool) (took time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		fault, dialFault := s.fault, s.dialFault
		s.fault, s.dialFault = nil, nil
		server := s.newServer()
		var running sync.WaitGroup
		running.Go(func() { server.Serve(s) })
		ctx, cancel := context.WithCancel(t.Context())
		g, c := s.newGateway(uint64(faultAt), pushed)
		running.Go(func() { c.Run(ctx) })
		running.Go(func() { g.Run(ctx) })
		time.Sleep(faultAt)
		s.mu.Lock()
		s.fault, s.dialFault, s.changed = fault, dialFault, make(chan struct{}) // open watches get no change
		close(s.faultStarted)
		s.mu.Unlock()
		time.Sleep(faultTime)
		if moves {
			c.Move("10.0.0.10:1")
		}
		s.recoverAndDrain()
		changedAt := time.Now()
		select {
		case at := <-g.drainSeen:
			took = at.Sub(changedAt)
		case <-time.After(time.Minute):
			took = time.Minute
		}
		cancel()
		server.Close()
		running.Wait()
		time.Sleep(time.Minute) // until abandoned calls have ended
	})
	return took
}

const drainGrace = 250 * time.Millisecond

// If lists are pushed, gateways are expected to know at once what discovery knows when it becomes reachable again.
func TestPushedChangeIsKnownWithinDrainGraceAfterFault(t *testing.T) {
	refuse := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }
	for _, dialFault := range []func(context.Context) error{nil, func(context.Context) error { return net.ErrClosed }} {
		for faultAt := 100 * time.Millisecond; faultAt < 5*time.Second; faultAt += 530 * time.Millisecond {
			if took := propagationDelay(t, &fakeDiscovery{fault: refuse, dialFault: dialFault}, faultAt, 20*time.Second, false, true); took >= drainGrace {
				t.Errorf("fault after %v: got the change after %v, want it within the drain grace", faultAt, took)
			}
		}
	}
}

// A gateway must know a change within 6 s after discovery had it and could be reached, whatever failed before. Each
// fault starts at different moments of a watch and of the backoff, and lasts for different times.
func TestChangeIsKnownWithinMaxPropagationDelayAfterFault(t *testing.T) {
	silent := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	neverConnects := func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	}
	beginBody := func(w http.ResponseWriter, length string) {
		if length != "" {
			w.Header().Set("Content-Length", length)
		}
		w.Write([]byte(`{"version":1,"full":true,"servers":[`))
		w.(http.Flusher).Flush()
	}
	for name, c := range map[string]struct {
		fault     func(w http.ResponseWriter, r *http.Request)
		dialFault func(ctx context.Context) error
	}{
		"no response":                   {fault: silent},
		"error status":                  {fault: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }},
		"late error status":             {fault: func(w http.ResponseWriter, _ *http.Request) { time.Sleep(time.Second); w.WriteHeader(500) }},
		"connection reset":              {fault: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }},
		"body truncated":                {fault: func(w http.ResponseWriter, _ *http.Request) { beginBody(w, "400"); panic(http.ErrAbortHandler) }},
		"body without length truncated": {fault: func(w http.ResponseWriter, _ *http.Request) { beginBody(w, ""); panic(http.ErrAbortHandler) }},
		"body never ends":               {fault: func(w http.ResponseWriter, r *http.Request) { beginBody(w, "400"); silent(w, r) }},
		"new connections hang":          {fault: silent, dialFault: neverConnects},
		"new connections are refused":   {fault: silent, dialFault: func(context.Context) error { return net.ErrClosed }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			worst := time.Duration(0)
			for i, faultTime := range []time.Duration{time.Millisecond, 2900 * time.Millisecond, 20 * time.Second} {
				for faultAt := 100 * time.Millisecond; faultAt < 5*time.Second; faultAt += 530 * time.Millisecond {
					moves := i == 1 && faultAt < 2*time.Second
					took := propagationDelay(t, &fakeDiscovery{fault: c.fault, dialFault: c.dialFault}, faultAt, faultTime, moves, false)
					if worst = max(worst, took); took >= MaxPropagationDelay {
						t.Errorf("fault after %v for %v, moves %v: got the change after %v, want it within 6s", faultAt, faultTime, moves, took)
					}
				}
			}
			t.Logf("the longest propagation delay is %v", worst)
		})
	}
}

// Discovery handles calls one after another and refuses those that would have to wait for more than 2 s. Gateways that
// start together make more calls than that. Even so, each has a watch within some seconds, and gets a change at once.
func TestGatewaysStartedTogetherAllGetWatchAtBusyDiscovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeDiscovery{callTime: 160 * time.Millisecond}
		server := s.newServer()
		var running sync.WaitGroup
		running.Go(func() { server.Serve(s) })
		ctx, cancel := context.WithCancel(t.Context())
		var gateways []*testGateway
		for seed := range uint64(32) {
			g, c := s.newGateway(seed, false)
			gateways = append(gateways, g)
			running.Go(func() { c.Run(ctx) })
			running.Go(func() { g.Run(ctx) })
		}
		time.Sleep(20 * time.Second)
		s.recoverAndDrain()
		changedAt := time.Now()
		time.Sleep(MaxPropagationDelay)
		for i, g := range gateways {
			select {
			case at := <-g.drainSeen:
				if took := at.Sub(changedAt); took > 100*time.Millisecond {
					t.Errorf("gateway %d: got the change after %v, want at most 100ms, as from an open watch", i, took)
				}
			default:
				t.Errorf("gateway %d: got no change within 6s, want it within 100ms", i)
			}
		}
		cancel()
		server.Close()
		running.Wait()
		time.Sleep(time.Minute)
	})
}
