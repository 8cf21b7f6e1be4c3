// Package discovery keeps the list of servers up to date with HTTP long polls.
package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"gorsewell/choice"
	"gorsewell/internal/counters"
	"gorsewell/internal/deployment"
	"gorsewell/internal/exchange"
)

const maxListBytes = 16 << 20 // limit for the body of a response; a longer one is truncated and cannot be decoded

// MaxPropagationDelay is the time after a change of the list by which every gateway must know it, whatever failed
// before, provided that discovery knew the change and could be reached. Most times below are fractions of it, so that
// it is kept for any value of the setting rules.must_ask_in. Within it, a watch that gets no answer from its start on
// is given up and another call is answered; and within it, a call that was lost, the backoff after it, and the next
// call end.
const MaxPropagationDelay = 6 * time.Second

// AskWithin returns the value of choice.Deployment.AskWithin. The module's longest backoff is a quarter of it. If lists
// are pushed, gateways are expected to know at once what discovery knows, also when discovery has just become reachable
// again. In that case the backoff after a failed call is limited to half of the drain grace, so that the other half is
// left.
func AskWithin(settings *deployment.Settings) time.Duration {
	if settings.ListOnRequest {
		return MaxPropagationDelay * 4 / 5
	}
	return min(MaxPropagationDelay, max(2*settings.DrainGrace, 4*minBackoff))
}

// CachedListTime returns the value of choice.Deployment.CachedListTime: where lists are pushed, the grace after which a drain
// counts that discovery knew at the start of the process.
func CachedListTime(settings *deployment.Settings) time.Duration {
	if settings.ListOnRequest {
		return 0
	}
	return settings.DrainGrace
}

// minBackoff keeps gateways from calling a discovery that is down in a busy loop.
const minBackoff = 50 * time.Millisecond

// Discovery handles calls one after another and lets each wait in its queue for up to 2 s. It also handles calls whose
// caller has given up by then: if gateways that started together gave up their calls early and repeated them, discovery
// would work only on abandoned calls and no gateway would ever get a list. So the timeout of a call that may be queued
// is longer than 2 s.
const (
	openingWatchWait = 10 * time.Millisecond       // wait of the first call of a watch; the next is not queued
	maxWatchWait     = MaxPropagationDelay * 2 / 5 // longest wait of a later call of a watch
	watchWaitJitter  = MaxPropagationDelay / 10    // a random part of this is subtracted from maxWatchWait
	watchAnswerGrace = MaxPropagationDelay / 6     // time after the end of its wait in which such a call has to be answered
	callTimeout      = MaxPropagationDelay * 2 / 5 // timeout of any other call, including the time to connect
)

// List is a list of servers, or of changes to one, as discovery sends it.
type List struct {
	Version uint64  `json:"version"`
	Full    bool    `json:"full"`
	Servers []Entry `json:"servers"`
}

// Entry is one server of a list.
type Entry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    uint16  `json:"cell"`
	State   string  `json:"state"`
	Role    string  `json:"role"`
	Weight  float32 `json:"weight"`
	Started int64   `json:"started_ms"`
}

// Names maps the names of servers, zones and kinds of machine to the numbers that the decision module uses.
type Names struct {
	clock exchange.Clock
	zones []string // by number
	kinds []string // kinds of machine, by number

	mu      sync.Mutex // guards servers, which Forget changes from other goroutines
	servers map[uint32]string
}

// NewNames returns Names with the zones and kinds of machine that the settings name.
func NewNames(clock exchange.Clock, settings *deployment.Settings) *Names {
	return &Names{clock: clock, zones: settings.Zones, kinds: settings.Kinds, servers: map[uint32]string{}}
}

// serverNumber returns the number of a server and assigns one if it has none. For an ID such as s-5be2a07c it is the
// number in the ID, which is the same at every gateway; other IDs are hashed. The next free number is taken if another
// server has it.
func (n *Names) serverNumber(id string) uint32 {
	n.mu.Lock()
	defer n.mu.Unlock()
	number, err := strconv.ParseUint(strings.TrimPrefix(id, "s-"), 16, 32)
	if err != nil {
		number = uint64(crc32.ChecksumIEEE([]byte(id)))
	}
	for at := uint32(number); ; at++ {
		if known, ok := n.servers[at]; !ok || known == id {
			n.servers[at] = id
			return at
		}
	}
}

// ID returns the ID in the list of the server with a number, or "" if there is none.
func (n *Names) ID(server uint32) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.servers[server]
}

// Forget frees the number of a server.
func (n *Names) Forget(server uint32) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.servers, server)
}

// internName returns the number of a name and adds the name if it is new. All names from the 256th on share the number
// 255.
func internName(names *[]string, name string) uint8 {
	name = deployment.NormalizeName(name)
	i := slices.Index(*names, name)
	if i < 0 {
		if i = len(*names); i > math.MaxUint8 { // a number is one byte
			return math.MaxUint8
		}
		*names = append(*names, name)
	}
	return uint8(i)
}

// Convert returns the servers of a list in the form that the decision module takes, and their addresses.
func (n *Names) Convert(list *List) (listed []choice.Listed, addrs map[uint32]string, err error) {
	addrs = map[uint32]string{}
	for _, e := range list.Servers {
		if e.ID == "" {
			return nil, nil, errors.New("expected a server ID, found an empty one")
		}
		l := choice.Listed{ID: n.serverNumber(e.ID), Group: e.Cell, Zone: internName(&n.zones, e.Zone),
			Kind: internName(&n.kinds, e.Kind), Primary: e.Role == "primary", Started: choice.LongPast, Weight: e.Weight}
		switch e.State {
		case "in_service":
			l.State = choice.Ready
		case "terminating":
			l.State = choice.Draining
		case "terminated":
			l.State = choice.Gone
		default:
			return nil, nil, fmt.Errorf("server %q: expected state in_service, terminating or terminated, found %q", e.ID, e.State)
		}
		if e.Started != 0 {
			at, ok := n.clock.FromUnix(e.Started)
			if !ok {
				return nil, nil, fmt.Errorf("server %q: expected started_ms to be a Unix time in milliseconds, found %d",
					e.ID, e.Started)
			}
			l.Started = at
		}
		if l.State != choice.Gone {
			if _, _, err := net.SplitHostPort(e.Addr); err != nil || e.Weight < 0 {
				return nil, nil, fmt.Errorf("server %q: expected an address host:port and a weight of at least 0, found %q and %v",
					e.ID, e.Addr, e.Weight)
			}
			addrs[l.ID] = e.Addr
		}
		listed = append(listed, l)
	}
	return listed, addrs, nil
}

// ListHandler handles the lists from discovery in the order in which they arrive.
type ListHandler interface {
	HandleList(scope choice.ListScope, listed []choice.Listed, addrs map[uint32]string)
}

// Client calls discovery. One goroutine, Run, makes all calls one after another.
type Client struct {
	moves        chan string // the newest address to move to, if Run has not moved to it yet
	listURL      string
	names        *Names
	handler      ListHandler
	counts       *counters.Set
	http         http.Client
	timeout      time.Duration // of a call that does not wait for changes
	dial         func(ctx context.Context, network, addr string) (net.Conn, error)
	rng          *rand.Rand
	versionValid bool // whether the version was counted by the discovery at the present address
	watchOpen    bool // whether the last call was one of a watch and has just been answered
	version      uint64
	ask          chan struct{} // a pending request of Ask
	watch        chan struct{} // a pending request of Watch
	failing      bool          // whether the last call failed
}

// New returns a client of the discovery at addr. The version is that of the list that the gateway knows already.
func New(addr string, version uint64, names *Names, settings *deployment.Settings, handler ListHandler,
	counts *counters.Set) *Client {
	c := &Client{names: names, handler: handler, counts: counts, timeout: callTimeout, dial: (&net.Dialer{}).DialContext,
		rng: rand.New(rand.NewPCG(settings.Seed, uint64(version))), versionValid: true, version: version,
		moves: make(chan string, 1), ask: make(chan struct{}, 1), watch: make(chan struct{}, 1)}
	c.setAddress(addr)
	c.http.Transport = &http.Transport{MaxIdleConns: 1, MaxConnsPerHost: 2, DialContext: c.connect}
	return c
}

// connect dials discovery with a timeout. net/http does not end a dial when the call that started it ends: if nobody
// answers, two abandoned dials would use up MaxConnsPerHost and block all later calls until the system gives up
// connecting.
func (c *Client) connect(ctx context.Context, network, addr string) (net.Conn, error) {
	limited, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return c.dial(limited, network, addr)
}

// Ask requests the whole list. It does not wait for it.
func (c *Client) Ask() { notify(c.ask) }

// Watch requests all changes from now on. It does not wait for them. The watch ends when a call fails.
func (c *Client) Watch() { notify(c.watch) }

// Forget frees the number of a server.
func (c *Client) Forget(server uint32) { c.names.Forget(server) }

// notify signals on a channel unless a signal is pending there.
func notify(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// Move switches to another address. A call in progress is cancelled, pending requests are made at the new address, and
// a watch is started there.
func (c *Client) Move(addr string) {
	select {
	case <-c.moves: // replaced before Run moved there
	default:
	}
	c.moves <- addr
}

// setAddress sets the address of the next call.
func (c *Client) setAddress(addr string) { c.listURL = "http://" + addr + "/v1/servers" }

// Run makes the requested calls until the context is cancelled. A request waits for the call in progress; a move
// cancels it.
func (c *Client) Run(ctx context.Context) error {
	defer c.http.CloseIdleConnections()
	for ctx.Err() == nil {
		callCtx, cancel := context.WithCancel(ctx)
		var next string
		var group errgroup.Group
		group.Go(func() error {
			defer cancel()
			select {
			case <-callCtx.Done():
			case next = <-c.moves:
			}
			return nil
		})
		c.makeCalls(callCtx)
		cancel()
		group.Wait()
		if next != "" {
			c.http.CloseIdleConnections()
			c.setAddress(next)
			c.versionValid = false // another discovery may count versions differently
			slog.Info("discovery_moved", "discovery", next)
			c.Watch()
		}
	}
	return nil
}

// makeCalls makes the requested calls at one address until the context is cancelled.
func (c *Client) makeCalls(ctx context.Context) {
	watching := false
	for ctx.Err() == nil {
		if watching && len(c.ask) == 0 {
			watching = c.fetchChanges(ctx)
			continue
		}
		select {
		case <-ctx.Done():
		case <-c.ask:
			c.watchOpen = false
			c.fetch(ctx, "", c.timeout)
		case <-c.watch:
			c.watchOpen = false
			watching = c.fetchChanges(ctx)
		}
	}
}

// watchWait returns the wait of the next call of a watch. It is random: otherwise gateways that start together, or that
// get the same change, would call in lockstep from then on.
func (c *Client) watchWait() time.Duration {
	return maxWatchWait - time.Duration(c.rng.Int64N(int64(watchWaitJitter)+1))
}

// fetchChanges requests the changes since the version and waits for them; without a valid version it requests the whole
// list. The first call of a watch waits only for a short time, so that each request of a watch is answered soon; later
// calls continue the same watch. The result is false if the call failed.
func (c *Client) fetchChanges(ctx context.Context) bool {
	if !c.versionValid {
		return c.fetch(ctx, "", c.timeout)
	}
	wait, timeout := openingWatchWait, c.timeout
	if c.watchOpen {
		wait = c.watchWait()
		timeout = wait + watchAnswerGrace
	}
	c.watchOpen = c.fetch(ctx, fmt.Sprintf("?since=%d&timeout_ms=%d", c.version, wait.Milliseconds()), timeout)
	return c.watchOpen
}

// maxTimerDelay is how late a timeout may come before the process itself counts as having stood still.
const maxTimerDelay = 100 * time.Millisecond

// getInTime makes one call with a timeout. A call that timed out while the process itself stood still is made again: its
// answer may have come, and discovery is not at fault.
func (c *Client) getInTime(ctx context.Context, query string, timeout time.Duration) (*List, error) {
	for {
		limited, cancel := context.WithTimeout(ctx, timeout)
		deadline := time.Now().Add(timeout)
		list, err := c.get(limited, query)
		cancel()
		if !errors.Is(err, context.DeadlineExceeded) || time.Since(deadline) < maxTimerDelay {
			return list, err
		}
		slog.Info("discovery_call_repeated", "reason", "the process stood still")
	}
}

// fetch makes one call and passes the list on to the handler. The result is false if the call failed. If the version in
// a list of changes is lower than the last one, discovery has restarted its count: changes since that version may be
// incomplete.
func (c *Client) fetch(ctx context.Context, query string, timeout time.Duration) bool {
	list, err := c.getInTime(ctx, query, timeout)
	var listed []choice.Listed
	var addrs map[uint32]string
	if err == nil {
		listed, addrs, err = c.names.Convert(list)
	}
	if ctx.Err() != nil {
		return false
	}
	if err != nil {
		c.counts.ListsFailed.Add(1)
		if !c.failing {
			slog.Warn("discovery_failed", "error", err)
		}
		c.failing = true
		c.handler.HandleList(choice.ListFailed, nil, nil)
		return false
	}
	if c.failing {
		slog.Info("discovery_back", "version", list.Version)
	}
	c.failing = false
	c.counts.Lists.Add(1)
	c.versionValid = list.Full || list.Version >= c.version // else the version count was restarted
	c.version = list.Version
	scope := choice.ListChanges
	if list.Full {
		scope = choice.ListFull
	}
	c.handler.HandleList(scope, listed, addrs)
	return true
}

// get makes one HTTP request and decodes the list in its response.
func (c *Client) get(ctx context.Context, query string) (*List, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.listURL+query, nil)
	if err != nil {
		return nil, err
	}
	response, err := c.http.Do(r)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.New(response.Status)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes))
	if err != nil {
		return nil, err
	}
	list := &List{}
	return list, json.Unmarshal(body, list)
}
