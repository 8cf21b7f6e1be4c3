package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"gorsewell/internal/clientside"
	"gorsewell/internal/config"
	"gorsewell/internal/counters"
	"gorsewell/internal/deployment"
	"gorsewell/internal/discovery"
	"gorsewell/internal/dispatch"
	"gorsewell/internal/exchange"
	"gorsewell/internal/gossip/carrier"
	"gorsewell/internal/gossip/keys"
	"gorsewell/internal/serverside"
)

// given is what the platform hands a gateway.
type platformConfig struct {
	Name, Listen, Discovery, Seed string
	Limits                        struct {
		Cores    float64
		MemoryMB int64 `json:"memory_mb"`
		Sockets  int
	}
	Known      discovery.List
	Deployment json.RawMessage `json:"settings"`
}

// read reads the file at LB_CONFIG. At the start the environment goes over the file; later the file is newer.
func readPlatformConfig(starting bool) (*platformConfig, *deployment.Settings, error) {
	path := os.Getenv("LB_CONFIG")
	if path == "" {
		return nil, nil, errors.New("LB_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	g := &platformConfig{}
	if err := json.Unmarshal(text, g); err != nil {
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	for name, field := range map[string]*string{"LB_NAME": &g.Name, "LB_LISTEN": &g.Listen, "LB_DISCOVERY": &g.Discovery} {
		if v := os.Getenv(name); v != "" && (starting || *field == "" && name != "LB_DISCOVERY") {
			*field = v
		}
		if *field == "" {
			return nil, nil, fmt.Errorf("%s is not set", name)
		}
	}
	if _, _, err := net.SplitHostPort(g.Discovery); err != nil {
		return nil, nil, fmt.Errorf("discovery: %w", err)
	}
	values, err := deployment.FromJSON(g.Deployment)
	if err != nil {
		return nil, nil, err
	}
	told, err := values.Read()
	if err != nil {
		return nil, nil, err
	}
	if told.Seed, err = strconv.ParseUint(g.Seed, 16, 64); err != nil {
		return nil, nil, fmt.Errorf("seed %q is no number in hexadecimal form", g.Seed)
	}
	if len(told.OpTypes) == 0 {
		return nil, nil, errors.New("the settings name no op type")
	}
	// On sockets no list comes by itself, whatever way the deployment has of its own: it is asked for.
	told.AskWithin = discovery.AskWithin(told)
	told.ListOnRequest = true
	if _, _, err := discovery.NewNames(exchange.StartClock(), told).Convert(&g.Known); err != nil {
		return nil, nil, fmt.Errorf("known: %w", err)
	}
	return g, told, nil
}

// reload reads the file again at each SIGHUP and moves to its discovery. Nothing else of it can change while running; of our
// own settings the gossip's keys can.
func reloadOnSignal(ctx context.Context, asked <-chan os.Signal, at string, lists *discovery.Client, path string, gossip *carrier.Carrier) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-asked:
		}
		if gossip != nil {
			if err := rekey(path, gossip); err != nil {
				slog.Error("rekey_failed", "error", err)
			} else {
				slog.Info("rekeyed")
			}
		}
		g, _, err := readPlatformConfig(false)
		switch {
		case err != nil:
			slog.Error("reload_failed", "error", err)
		case g.Discovery == at:
			slog.Info("reloaded", "discovery", at)
		default:
			at = g.Discovery
			lists.Move(at)
		}
	}
}

// rekey reads the gossip's keys again, from the files that the settings name now.
func rekey(path string, gossip *carrier.Carrier) error {
	settings, err := config.Load(path)
	if err != nil {
		return err
	}
	s := &settings.Gossip
	ring, err := keys.LoadKeyring(s.Certificate, s.Key, s.Authorities, time.Now())
	if err != nil {
		return err
	}
	return gossip.Rekey(ring)
}

// share makes the gossip, where the settings want it; nil otherwise.
func newGossip(settings *config.Settings, name string, clock exchange.Clock, desk *dispatch.Dispatch, names *discovery.Names) (*carrier.Carrier, error) {
	s := &settings.Gossip
	if !s.Enabled {
		return nil, nil
	}
	ring, err := keys.LoadKeyring(s.Certificate, s.Key, s.Authorities, time.Now())
	if err != nil {
		return nil, err
	}
	gossip, err := carrier.New(*s, name, ring, clock, desk, names.ID)
	if err != nil {
		return nil, err
	}
	desk.SetGossip(gossip)
	slog.Info("gossip", "what", "listening", "addr", gossip.Addr().String())
	return gossip, nil
}

// messageShare is the part of the memory that one message may take: values come longer than the protocol's page says.
const messageMemoryDivisor = 64

// spare is how many descriptors are kept for the standard streams, the listener, discovery, the runtime and clients
// that are being turned away.
const reservedDescriptors = 32

// leastServers is how many connections to servers a gateway can do with; it has twice as many to clients.
const minServerConns = 4

// gossipSockets are the gossip's own descriptors, beside the streams that others open.
const gossipDescriptors = 6

func run(path string, settings *config.Settings) error {
	logTo(os.Stderr, settings.Log.Level.Level)
	// Caught from here until the process ends: what follows a planned stop must not end it either.
	again := make(chan os.Signal, 1)
	signal.Notify(again, syscall.SIGHUP)
	g, told, err := readPlatformConfig(true)
	if err != nil {
		return err
	}
	told.MaxMessageBytes = int(g.Limits.MemoryMB) << 20 / messageMemoryDivisor
	runtime.GOMAXPROCS(max(1, int(g.Limits.Cores)))
	if g.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(g.Limits.MemoryMB << 20 * 3 / 4)
		debug.SetGCPercent(400)
	}
	sockets := g.Limits.Sockets
	if sockets <= 0 {
		sockets = 1024
	}
	if settings.Gossip.Enabled {
		sockets -= settings.Gossip.Limits.Streams + gossipDescriptors
	}
	servers := (sockets - reservedDescriptors) / 3
	if servers < minServerConns {
		return fmt.Errorf("limits.sockets: %d are too few, of which %d are for servers and clients", g.Limits.Sockets, sockets-reservedDescriptors)
	}
	clock, counts := exchange.StartClock(), &counters.Set{}
	names := discovery.NewNames(clock, told)
	known, addrs, err := names.Convert(&g.Known)
	if err != nil {
		return err
	}
	addr, err := net.ResolveTCPAddr("tcp", g.Listen)
	if err != nil {
		return err
	}
	// Before clients can come: what they have sent when SIGTERM comes is answered.
	stop, unhook := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer unhook()
	l, err := net.ListenTCP("tcp", addr)
	if err != nil {
		return err
	}
	work, finish := context.WithCancel(context.Background())
	defer finish()

	desk := dispatch.New(clock, counts)
	gossip, err := newGossip(settings, g.Name, clock, desk, names)
	if err != nil {
		return errors.Join(err, l.Close())
	}
	pool := serverside.New(work, clock, desk, counts, told, servers)
	front := clientside.New(clock, desk, counts, told, sockets-reservedDescriptors-servers)
	lists := discovery.New(g.Discovery, g.Known.Version, names, told, desk, counts)
	desk.Start(pool, lists, &told.Deployment, known, addrs)
	slog.Info("started", "name", g.Name, "listen", g.Listen)

	var group errgroup.Group
	group.Go(func() error { return desk.Run(work) })
	group.Go(func() error { return lists.Run(work) })
	group.Go(pool.Wait)
	group.Go(func() error { return reloadOnSignal(work, again, g.Discovery, lists, path, gossip) })
	group.Go(func() error { return logCounters(work, counts, gossip) })
	if gossip != nil {
		group.Go(func() error { return gossip.Run(work) })
	}
	err = front.Serve(stop, l)
	finish()
	err = errors.Join(err, group.Wait())
	if gossip != nil {
		slog.LogAttrs(context.Background(), slog.LevelInfo, "gossip_counters", gossip.Attrs()...)
	}
	slog.LogAttrs(context.Background(), slog.LevelInfo, "stopped", counts.Attrs()...)
	return err
}

// logTo sends the log to w as key=value, with event first after the time. Nothing of an op is ever logged, so lines are few.
func logTo(w io.Writer, least slog.Level) {
	slog.SetDefault(slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: least,
		ReplaceAttr: func(groups []string, a slog.Attr) slog.Attr {
			switch {
			case len(groups) > 0:
			case a.Key == slog.MessageKey:
				a.Key = "event"
			case a.Key == slog.TimeKey:
				a.Value = slog.StringValue(a.Value.Time().UTC().Format("2006-01-02T15:04:05.000000Z"))
			}
			return a
		}})))
}

// printCounters prints the counters whenever SIGUSR1 asks for them.
func logCounters(ctx context.Context, counts *counters.Set, gossip *carrier.Carrier) error {
	asked := make(chan os.Signal, 1)
	signal.Notify(asked, syscall.SIGUSR1)
	defer signal.Stop(asked)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-asked:
			slog.LogAttrs(ctx, slog.LevelInfo, "counters", counts.Attrs()...)
			if gossip != nil {
				slog.LogAttrs(ctx, slog.LevelInfo, "gossip_counters", gossip.Attrs()...)
			}
		}
	}
}
