// Package discovery keeps up with the list of servers over HTTP.
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

const maxListBytes = 16 << 20 // bytes of a list

// ToldWithin is how long after a change a gateway counts as told of it, whatever failed before, if discovery had it and could be
// reached. What is below is cut from it, so that it holds for any time to ask in that the settings may give: a watch that falls
// silent as soon as it is opened is given up, and another call answered, within that time; and so is a call that was lost, the
// backoff after it and the call after that.
const ToldWithin = 6 * time.Second

// AskWithin is the time that the module is told, a quarter of which is its longest backoff. Where lists are pushed, what discovery
// has counts as told at once, also when it comes back: then a call fails for so short a time that half of the grace is left.
func AskWithin(told *deployment.Told) time.Duration {
	if told.ListAsked {
		return ToldWithin * 4 / 5
	}
	return min(ToldWithin, max(2*told.DrainGrace, 4*minBackoff))
}

// minBackoff keeps gateways from asking a discovery that is down without a pause.
const minBackoff = 50 * time.Millisecond

// Discovery handles calls one after another, and lets each wait for up to two seconds. A call that is given up sooner is handled all
// the same: where gateways that started together do so and ask again, discovery works for nobody, and none of them is told anything
// for good. So a call that is to be queued is given longer than that.
const (
	openingWatchWait = 10 * time.Millisecond // of the call that opens a watch: the next one goes on with it and is not queued anew
	maxWatchWait     = ToldWithin * 2 / 5    // of a watch that goes on
	watchWaitJitter  = ToldWithin / 10       // by which waits are shorter, by chance
	watchAnswerGrace = ToldWithin / 6        // how long after its wait a watch's answer may come
	callTimeout      = ToldWithin * 2 / 5    // of any other call, connecting included
)

// Page is a list of servers as discovery writes it.
type Page struct {
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

// Names gives servers, zones and kinds of machine the numbers by which the module knows them.
type Names struct {
	clock        exchange.Clock
	zones, kinds []string

	mu      sync.Mutex // guards the servers, which others forget
	servers map[uint32]string
}

// NewNames begins with the zones and kinds that the settings name.
func NewNames(clock exchange.Clock, told *deployment.Told) *Names {
	return &Names{clock: clock, zones: told.Zones, kinds: told.Kinds, servers: map[uint32]string{}}
}

// serverNumber is the number in an id such as s-5be2a07c, the same at every gateway; other ids are hashed.
func (n *Names) serverNumber(id string) uint32 {
	n.mu.Lock()
	defer n.mu.Unlock()
	number, err := strconv.ParseUint(strings.TrimPrefix(id, "s-"), 16, 32)
	if err != nil {
		number = uint64(crc32.ChecksumIEEE([]byte(id)))
	}
	for at := uint32(number); ; at++ {
		if have, ok := n.servers[at]; !ok || have == id {
			n.servers[at] = id
			return at
		}
	}
}

// ID is the id in the list of the server with a number; empty where there is none.
func (n *Names) ID(server uint32) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.servers[server]
}

// Forget gives a server's number free.
func (n *Names) Forget(server uint32) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.servers, server)
}

func internName(names *[]string, name string) uint8 {
	name = deployment.Plain(name)
	i := slices.Index(*names, name)
	if i < 0 {
		if i = len(*names); i > math.MaxUint8 { // more than can be told apart
			return math.MaxUint8
		}
		*names = append(*names, name)
	}
	return uint8(i)
}

// Listed is the page in the module's terms, and the servers' addresses.
func (n *Names) Listed(p *Page) (listed []choice.Listed, addrs map[uint32]string, err error) {
	addrs = map[uint32]string{}
	for _, e := range p.Servers {
		if e.ID == "" {
			return nil, nil, errors.New("a server has no id")
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
			return nil, nil, fmt.Errorf("server %q is in unknown state %q", e.ID, e.State)
		}
		if e.Started != 0 {
			at, ok := n.clock.FromUnix(e.Started)
			if !ok {
				return nil, nil, fmt.Errorf("server %q started at %d", e.ID, e.Started)
			}
			l.Started = at
		}
		if l.State != choice.Gone {
			if _, _, err := net.SplitHostPort(e.Addr); err != nil || e.Weight < 0 {
				return nil, nil, fmt.Errorf("server %q has address %q, weight %v", e.ID, e.Addr, e.Weight)
			}
			addrs[l.ID] = e.Addr
		}
		listed = append(listed, l)
	}
	return listed, addrs, nil
}

// Taker takes what discovery tells, in order.
type Taker interface {
	Listed(scope choice.ListScope, listed []choice.Listed, addrs map[uint32]string)
}

// Client asks discovery. One goroutine, Run, makes all calls one after another.
type Client struct {
	moves        chan string // the newest address to go on at, not gone to yet
	listURL      string
	names        *Names
	handler      Taker
	counts       *counters.Set
	http         http.Client
	timeout      time.Duration // in which a call that does not wait is answered
	dial         func(ctx context.Context, network, addr string) (net.Conn, error)
	rng          *rand.Rand
	versionValid bool // the version is one that this discovery has counted
	watchOpen    bool // a watch is open: the last call was one and has just been answered
	version      uint64
	ask          chan struct{}
	watch        chan struct{}
	failing      bool
}

// New makes a client of the discovery at addr that holds the list of the version.
func New(addr string, version uint64, names *Names, told *deployment.Told, taker Taker, counts *counters.Set) *Client {
	c := &Client{names: names, handler: taker, counts: counts, timeout: callTimeout, dial: (&net.Dialer{}).DialContext,
		rng: rand.New(rand.NewPCG(told.Seed, uint64(version))), versionValid: true, version: version, moves: make(chan string, 1), ask: make(chan struct{}, 1), watch: make(chan struct{}, 1)}
	c.setAddress(addr)
	c.http.Transport = &http.Transport{MaxIdleConns: 1, MaxConnsPerHost: 2, DialContext: c.connect}
	return c
}

// connect dials discovery. net/http does not end a dial with the call that wanted it: where nobody answers, two that were left
// behind would take up all connections that there may be, and no later call be made for as long as the system goes on trying.
func (c *Client) connect(ctx context.Context, network, addr string) (net.Conn, error) {
	limited, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return c.dial(limited, network, addr)
}

// Ask asks for the whole list, without waiting for it.
func (c *Client) Ask() { notify(c.ask) }

// Watch asks for changes from now on, without waiting for them. It ends with a failed call.
func (c *Client) Watch() { notify(c.watch) }

// Forget drops what is kept of a server.
func (c *Client) Forget(server uint32) { c.names.Forget(server) }

func notify(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// Move goes on at another address: a call under way is dropped, and what was asked for is asked there.
func (c *Client) Move(addr string) {
	select {
	case <-c.moves: // never gone to
	default:
	}
	c.moves <- addr
}

func (c *Client) setAddress(addr string) { c.listURL = "http://" + addr + "/v1/servers" }

// Run makes the calls that were asked for until the context ends. An asking waits for the call under way, a move
// ends it.
func (c *Client) Run(ctx context.Context) error {
	defer c.http.CloseIdleConnections()
	for ctx.Err() == nil {
		here, leave := context.WithCancel(ctx)
		var next string
		var group errgroup.Group
		group.Go(func() error {
			defer leave()
			select {
			case <-here.Done():
			case next = <-c.moves:
			}
			return nil
		})
		c.makeCalls(here)
		leave()
		group.Wait()
		if next != "" {
			c.http.CloseIdleConnections()
			c.setAddress(next)
			c.versionValid = false // versions may count otherwise there
			slog.Info("discovery_moved", "discovery", next)
			c.Watch()
		}
	}
	return nil
}

// makeCalls makes the calls at one address.
func (c *Client) makeCalls(here context.Context) {
	watching := false
	for here.Err() == nil {
		if watching && len(c.ask) == 0 {
			watching = c.fetchChanges(here)
			continue
		}
		select {
		case <-here.Done():
		case <-c.ask:
			c.watchOpen = false
			c.fetch(here, "", c.timeout)
		case <-c.watch:
			c.watchOpen = false
			watching = c.fetchChanges(here)
		}
	}
}

// watchWait is how long a watch waits: gateways that start together, or hear of one change, would else ask in step for good.
func (c *Client) watchWait() time.Duration {
	return maxWatchWait - time.Duration(c.rng.Int64N(int64(watchWaitJitter)+1))
}

// fetchChanges asks for what is newer than the list held, and waits for it; where none is, for the whole list. The first such call
// hardly waits: each asking has its answer, and what follows is the same watch.
func (c *Client) fetchChanges(ctx context.Context) bool {
	if !c.versionValid {
		return c.fetch(ctx, "", c.timeout)
	}
	wait, limit := openingWatchWait, c.timeout
	if c.watchOpen {
		wait = c.watchWait()
		limit = wait + watchAnswerGrace
	}
	c.watchOpen = c.fetch(ctx, fmt.Sprintf("?since=%d&timeout_ms=%d", c.version, wait.Milliseconds()), limit)
	return c.watchOpen
}

// fetch makes one fetch and hands over what it told; false if it failed.
func (c *Client) fetch(ctx context.Context, query string, within time.Duration) bool {
	limited, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	p, err := c.get(limited, query)
	var listed []choice.Listed
	var addrs map[uint32]string
	if err == nil {
		listed, addrs, err = c.names.Listed(p)
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
		c.handler.Listed(choice.ListFailed, nil, nil)
		return false
	}
	if c.failing {
		slog.Info("discovery_back", "version", p.Version)
	}
	c.failing = false
	c.counts.Lists.Add(1)
	c.versionValid = p.Full || p.Version >= c.version // else it counts anew, and what it calls changes may not be all
	c.version = p.Version
	scope := choice.ListChanges
	if p.Full {
		scope = choice.ListFull
	}
	c.handler.Listed(scope, listed, addrs)
	return true
}

func (c *Client) get(ctx context.Context, query string) (*Page, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.listURL+query, nil)
	if err != nil {
		return nil, err
	}
	answer, err := c.http.Do(r)
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return nil, errors.New(answer.Status)
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxListBytes))
	if err != nil {
		return nil, err
	}
	p := &Page{}
	return p, json.Unmarshal(body, p)
}
