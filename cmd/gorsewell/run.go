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
	"gorsewell/internal/membudget"
	"gorsewell/internal/serverside"
)

// platformConfig is the platform's configuration of a gateway, the JSON file at LB_CONFIG. Fields without a tag are
// matched by their names.
type platformConfig struct {
	Name      string
	Listen    string // host:port for clients
	Discovery string // host:port
	Seed      string // of the random numbers, in hexadecimal
	Limits    struct {
		Cores    float64
		MemoryMB int64 `json:"memory_mb"`
		Sockets  int   // descriptors that the gateway may use; if 0 or less, 1024
	}
	Known      discovery.List  // the server list that was known before the start
	Deployment json.RawMessage `json:"settings"`
}

// readPlatformConfig reads and checks the file at LB_CONFIG. At startup the environment variables take precedence over
// the file. On a reload the file is newer than the environment, so that LB_NAME and LB_LISTEN only replace values that
// it lacks, and LB_DISCOVERY is ignored.
func readPlatformConfig(starting bool) (*platformConfig, *deployment.Settings, error) {
	path := os.Getenv("LB_CONFIG")
	if path == "" {
		return nil, nil, errors.New("LB_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	platform := &platformConfig{}
	if err := json.Unmarshal(text, platform); err != nil {
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	for name, field := range map[string]*string{"LB_NAME": &platform.Name, "LB_LISTEN": &platform.Listen,
		"LB_DISCOVERY": &platform.Discovery} {
		if v := os.Getenv(name); v != "" && (starting || *field == "" && name != "LB_DISCOVERY") {
			*field = v
		}
		if *field == "" {
			return nil, nil, fmt.Errorf("expected a value for %s from the environment or the platform's file, found none",
				name)
		}
	}
	if _, _, err := net.SplitHostPort(platform.Discovery); err != nil {
		return nil, nil, fmt.Errorf("discovery: %w", err)
	}
	values, err := deployment.FromJSON(platform.Deployment)
	if err != nil {
		return nil, nil, err
	}
	settings, err := values.Read()
	if err != nil {
		return nil, nil, err
	}
	if settings.Seed, err = strconv.ParseUint(platform.Seed, 16, 64); err != nil {
		return nil, nil, fmt.Errorf("seed: expected a hexadecimal number of at most 64 bits, found %q", platform.Seed)
	}
	if len(settings.OpTypes) == 0 {
		return nil, nil, errors.New("settings: expected at least one op type, found none")
	}
	// Discovery over HTTP sends lists only on request, even if the deployment's settings say that they are pushed.
	settings.AskWithin = discovery.AskWithin(settings)
	settings.CachedListTime = discovery.CachedListTime(settings)
	settings.ListOnRequest = true
	if _, _, err := discovery.NewNames(exchange.StartClock(), settings).Convert(&platform.Known); err != nil {
		return nil, nil, fmt.Errorf("known: %w", err)
	}
	return platform, settings, nil
}

// reloadOnSignal reads the platform's configuration again at each SIGHUP and moves to the discovery address in it. It
// also reads the gossip's keys again. Other changes of either file take effect only after a restart.
func reloadOnSignal(ctx context.Context, signals <-chan os.Signal, addr string, lists *discovery.Client,
	settingsPath string, gossip *carrier.Carrier) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-signals:
		}
		if gossip != nil {
			if err := rekey(settingsPath, gossip); err != nil {
				slog.Error("rekey_failed", "error", err)
			} else {
				slog.Info("rekeyed")
			}
		}
		platform, _, err := readPlatformConfig(false)
		switch {
		case err != nil:
			slog.Error("reload_failed", "error", err)
		case platform.Discovery == addr:
			slog.Info("reloaded", "discovery", addr)
		default:
			addr = platform.Discovery
			lists.Move(addr)
		}
	}
}

// rekey reads the gossip's keys again, from the files that the settings file now names.
func rekey(settingsPath string, gossip *carrier.Carrier) error {
	settings, err := config.Load(settingsPath)
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

// newGossip opens the gossip's sockets and connects the gossip to the dispatcher. It returns nil if gossip is disabled.
func newGossip(settings *config.Settings, name string, clock exchange.Clock, dispatcher *dispatch.Dispatch,
	names *discovery.Names) (*carrier.Carrier, error) {
	s := &settings.Gossip
	if !s.Enabled {
		return nil, nil
	}
	ring, err := keys.LoadKeyring(s.Certificate, s.Key, s.Authorities, time.Now())
	if err != nil {
		return nil, err
	}
	gossip, err := carrier.New(*s, name, ring, clock, dispatcher, names.ID)
	if err != nil {
		return nil, err
	}
	dispatcher.SetGossip(gossip)
	slog.Info("gossip", "what", "listening", "addr", gossip.Addr().String())
	return gossip, nil
}

// messageMemoryDivisor limits the size of one message to the memory limit divided by it. The limit depends on the
// memory, as values may be longer than the protocol's description says.
const messageMemoryDivisor = 64

// nonHeapBytes is the memory of the process that the garbage collector does not manage, mostly the pages of the program
// itself.
const nonHeapBytes = 10 << 20

// heapLimit returns the limit for the heap of a process that may use the given number of bytes.
func heapLimit(memory int64) int64 { return max(memory/2, min(memory*3/4, memory-nonHeapBytes)) }

// Connections take a quarter of the memory at most. Each occupies connectionBytes besides long messages and ops: its
// buffers and the stacks of its goroutines.
const (
	connectionMemoryDivisor = 4
	connectionBytes         = 16 << 10
)

// maxDescriptors returns how many descriptors a process may use that has the given number of them and of bytes.
func maxDescriptors(sockets int, memory int64) int {
	if memory <= 0 {
		memory = membudget.UnknownMemory
	}
	return min(sockets, reservedDescriptors+int(memory/connectionMemoryDivisor/connectionBytes))
}

// reservedDescriptors is the number of descriptors kept for the standard streams, the listener, discovery, the runtime
// and clients whose connections are being refused.
const reservedDescriptors = 32

// minServerConns is the least number of connections to servers with which a gateway runs. Clients get about twice as
// many.
const minServerConns = 4

// gossipDescriptors is the number of descriptors that gossip uses in addition to its inbound streams.
const gossipDescriptors = 6

// run runs the gateway until SIGTERM or SIGINT and then stops it as planned.
func run(settingsPath string, settings *config.Settings) error {
	logTo(os.Stderr, settings.Log.Level.Level)
	// SIGHUP is caught until the process ends, so that one that arrives during a planned stop does not kill the
	// process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	platform, deployed, err := readPlatformConfig(true)
	if err != nil {
		return err
	}
	deployed.Cores = platform.Limits.Cores
	deployed.MemoryBytes = platform.Limits.MemoryMB << 20
	deployed.MaxMessageBytes = int(deployed.MemoryBytes / messageMemoryDivisor)
	runtime.GOMAXPROCS(max(1, int(platform.Limits.Cores)))
	if platform.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(heapLimit(deployed.MemoryBytes))
		debug.SetGCPercent(400)
	}
	sockets := platform.Limits.Sockets
	if sockets <= 0 {
		sockets = 1024
	}
	if settings.Gossip.Enabled {
		sockets -= settings.Gossip.Limits.Streams + gossipDescriptors
	}
	sockets = maxDescriptors(sockets, deployed.MemoryBytes)
	serverConns := (sockets - reservedDescriptors) / 3
	if serverConns < minServerConns {
		return fmt.Errorf("limits.sockets: %d leaves only %d descriptors for servers and clients",
			platform.Limits.Sockets, sockets-reservedDescriptors)
	}
	clock, counts := exchange.StartClock(), &counters.Set{}
	names := discovery.NewNames(clock, deployed)
	known, addrs, err := names.Convert(&platform.Known)
	if err != nil {
		return err
	}
	addr, err := net.ResolveTCPAddr("tcp", platform.Listen)
	if err != nil {
		return err
	}
	// SIGTERM is caught from before clients can connect, so that ops that arrive before it are answered.
	stopCtx, stopNotify := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stopNotify()
	listener, err := net.ListenTCP("tcp", addr)
	if err != nil {
		return err
	}
	workCtx, cancelWork := context.WithCancel(context.Background())
	defer cancelWork()

	dispatcher := dispatch.New(clock, counts)
	dispatcher.SetServerIDs(names.ID)
	gossip, err := newGossip(settings, platform.Name, clock, dispatcher, names)
	if err != nil {
		return errors.Join(err, listener.Close())
	}
	pool := serverside.New(workCtx, clock, dispatcher, counts, deployed, serverConns)
	acceptor := clientside.New(clock, dispatcher, counts, deployed, sockets-reservedDescriptors-serverConns)
	lists := discovery.New(platform.Discovery, platform.Known.Version, names, deployed, dispatcher, counts)
	dispatcher.Start(pool, lists, &deployed.Deployment, known, addrs)
	slog.Info("started", "name", platform.Name, "listen", platform.Listen)

	var group errgroup.Group
	group.Go(func() error { return dispatcher.Run(workCtx) })
	group.Go(func() error { return lists.Run(workCtx) })
	group.Go(pool.Wait)
	group.Go(func() error { return reloadOnSignal(workCtx, hangups, platform.Discovery, lists, settingsPath, gossip) })
	group.Go(func() error { return logCounters(workCtx, counts, gossip) })
	if gossip != nil {
		group.Go(func() error { return gossip.Run(workCtx) })
	}
	err = acceptor.Serve(stopCtx, listener)
	cancelWork()
	err = errors.Join(err, group.Wait())
	if gossip != nil {
		slog.LogAttrs(context.Background(), slog.LevelInfo, "gossip_counters", gossip.Attrs()...)
	}
	slog.LogAttrs(context.Background(), slog.LevelInfo, "stopped", counts.Attrs()...)
	return err
}

// logTo makes the default logger write lines of key=value pairs to w, with the message under the key event. Nothing is
// logged for single ops, so that there are few lines.
func logTo(w io.Writer, minLevel slog.Level) {
	slog.SetDefault(slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: minLevel,
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

// logCounters logs the counters at each SIGUSR1.
func logCounters(ctx context.Context, counts *counters.Set, gossip *carrier.Carrier) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1)
	defer signal.Stop(signals)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-signals:
			slog.LogAttrs(ctx, slog.LevelInfo, "counters", counts.Attrs()...)
			if gossip != nil {
				slog.LogAttrs(ctx, slog.LevelInfo, "gossip_counters", gossip.Attrs()...)
			}
		}
	}
}
