// Package config reads the gateway's own settings, those that are not part of the platform's configuration. They are in
// one YAML file; deploy/gorsewell.yaml lists all of them with their defaults. Without a file gossip is off and the log
// level is info.
package config

import (
	"fmt"
	"log/slog"
	"net"
	"path/filepath"
	"strconv"
	"time"

	"gorsewell/internal/yamlfile"
)

// Settings holds all settings of a file.
type Settings struct {
	Log    Log    `yaml:"log"`
	Gossip Gossip `yaml:"gossip"`
}

// Log holds the settings of the log.
type Log struct {
	Level Level `yaml:"level"`
}

// Level is the least severity at which a line is logged.
type Level struct{ slog.Level }

// UnmarshalText parses debug, info, warn or error.
func (l *Level) UnmarshalText(text []byte) error {
	for _, known := range []slog.Level{slog.LevelDebug, slog.LevelInfo, slog.LevelWarn, slog.LevelError} {
		if (Level{known}).String() == string(text) {
			l.Level = known
			return nil
		}
	}
	return fmt.Errorf("expected debug, info, warn or error, found %q", text)
}

// String returns the level in the form used in the file.
func (l Level) String() string {
	switch l.Level {
	case slog.LevelDebug:
		return "debug"
	case slog.LevelWarn:
		return "warn"
	case slog.LevelError:
		return "error"
	}
	return "info"
}

// Gossip holds the settings of gossip, by which instances find one another and share what they suspect. Paths of files
// that are not absolute are relative to the folder of the settings file.
type Gossip struct {
	Enabled     bool     `yaml:"enabled"`
	Cluster     string   `yaml:"cluster"`     // instances accept messages only from the same cluster
	Listen      string   `yaml:"listen"`      // host:port for datagrams and streams; the host may be empty
	Advertise   string   `yaml:"advertise"`   // host:port at which others reach the instance; if empty, as they see it
	Seeds       []string `yaml:"seeds"`       // host:port of instances to contact first; may include the instance's own
	Certificate string   `yaml:"certificate"` // file with the instance's certificate
	Key         string   `yaml:"key"`         // file with the instance's private key
	Authorities []string `yaml:"authorities"` // files of the accepted authorities; two during a rotation

	ProbeEvery   time.Duration `yaml:"probe_every"`   // period of probes of members
	ProbeTimeout time.Duration `yaml:"probe_timeout"` // after which an unanswered probe is tried through other members
	SuspectFor   time.Duration `yaml:"suspect_for"`   // how long a suspicion lasts if others share it, else twice as long
	TellEvery    time.Duration `yaml:"tell_every"`    // period of gossip rounds while there are updates to send
	SyncEvery    time.Duration `yaml:"sync_every"`    // mean period of anti-entropy exchanges
	RumourLife   time.Duration `yaml:"rumour_life"`   // age at which a rumour expires

	Limits GossipLimits `yaml:"limits"`
}

// GossipLimits bounds the resources that gossip uses, and the share of them that one peer can use. Each field is an
// upper bound.
type GossipLimits struct {
	Members            int           `yaml:"members"`              // members held, this instance included
	Rumours            int           `yaml:"rumours"`              // rumours held
	RumoursPerObserver int           `yaml:"rumours_per_observer"` // rumours held from one observer
	ObserversPerServer int           `yaml:"observers_per_server"` // observers whose rumours about one server are held
	Datagram           yamlfile.Size `yaml:"datagram"`             // bytes of a datagram without IP and UDP headers
	DatagramsPerTell   int           `yaml:"datagrams_per_tell"`   // members to which one gossip round sends
	BytesPerSecond     yamlfile.Size `yaml:"bytes_per_second"`     // bytes sent
	ReceivedPerSecond  int           `yaml:"received_per_second"`  // datagrams received
	Streams            int           `yaml:"streams"`              // open inbound streams
}

// Default returns the settings that apply to keys that a file does not contain.
func Default() *Settings {
	return &Settings{
		Gossip: Gossip{
			Listen:       "127.0.0.1:7946",
			ProbeEvery:   time.Second,
			ProbeTimeout: 400 * time.Millisecond,
			SuspectFor:   4 * time.Second,
			TellEvery:    200 * time.Millisecond,
			SyncEvery:    20 * time.Second,
			RumourLife:   30 * time.Second,
			Limits: GossipLimits{
				Members:            512,
				Rumours:            2048,
				RumoursPerObserver: 64,
				ObserversPerServer: 5,
				Datagram:           1200,
				DatagramsPerTell:   3,
				BytesPerSecond:     8000,
				ReceivedPerSecond:  2000,
				Streams:            8,
			},
		},
	}
}

// Load reads and checks the file at path; for an empty path it returns the defaults. An error of type yamlfile.Problems
// holds all problems of the file; any other means that the file could not be read.
func Load(path string) (*Settings, error) {
	s := Default()
	if path == "" {
		return s, nil
	}
	f, err := yamlfile.Load(path, s)
	if f == nil {
		return nil, err
	}
	s.check(f)
	if err := f.Err(); err != nil {
		return nil, err
	}
	s.Gossip.resolvePaths(filepath.Dir(path))
	return s, nil
}

// Parse reads and checks the text of a file.
func Parse(name string, text []byte) (*Settings, error) {
	s := Default()
	f := yamlfile.Read(name, text, s)
	s.check(f)
	return s, f.Err()
}

func (s *Settings) check(f *yamlfile.File) { s.Gossip.check(f) }

// resolvePaths joins the relative paths of files to dir, the folder of the settings file.
func (g *Gossip) resolvePaths(dir string) {
	resolve := func(path *string) {
		if *path != "" && !filepath.IsAbs(*path) {
			*path = filepath.Join(dir, *path)
		}
	}
	resolve(&g.Certificate)
	resolve(&g.Key)
	for i := range g.Authorities {
		resolve(&g.Authorities[i])
	}
}

func (g *Gossip) check(f *yamlfile.File) {
	checkRange(f, "gossip.probe_every", g.ProbeEvery, 50*time.Millisecond, time.Minute)
	checkRange(f, "gossip.probe_timeout", g.ProbeTimeout, 10*time.Millisecond, g.ProbeEvery)
	checkRange(f, "gossip.suspect_for", g.SuspectFor, g.ProbeEvery, time.Hour)
	checkRange(f, "gossip.tell_every", g.TellEvery, 20*time.Millisecond, 10*time.Second)
	checkRange(f, "gossip.sync_every", g.SyncEvery, time.Second, time.Hour)
	checkRange(f, "gossip.rumour_life", g.RumourLife, 2*time.Second, 10*time.Minute)
	l := &g.Limits
	checkRange(f, "gossip.limits.members", l.Members, 2, 4096)
	checkRange(f, "gossip.limits.rumours", l.Rumours, 1, 1<<16)
	checkRange(f, "gossip.limits.rumours_per_observer", l.RumoursPerObserver, 1, l.Rumours)
	checkRange(f, "gossip.limits.observers_per_server", l.ObserversPerServer, 1, 64)
	checkRange(f, "gossip.limits.datagram", l.Datagram, 600, 8192)
	checkRange(f, "gossip.limits.datagrams_per_tell", l.DatagramsPerTell, 1, 64)
	checkRange(f, "gossip.limits.bytes_per_second", l.BytesPerSecond, 1000, 1<<30)
	checkRange(f, "gossip.limits.received_per_second", l.ReceivedPerSecond, 50, 1<<20)
	checkRange(f, "gossip.limits.streams", l.Streams, 1, 256)
	if g.Listen != "" {
		checkAddress(f, "gossip.listen", g.Listen, true)
	}
	if g.Advertise != "" {
		checkAddress(f, "gossip.advertise", g.Advertise, false)
	}
	for i, seed := range g.Seeds {
		checkAddress(f, fmt.Sprintf("gossip.seeds[%d]", i), seed, false)
	}
	if !g.Enabled {
		return
	}
	for key, value := range map[string]string{"cluster": g.Cluster, "listen": g.Listen, "certificate": g.Certificate,
		"key": g.Key} {
		if value == "" {
			f.AddProblem("gossip."+key, "is required if gossip is enabled")
		}
	}
	if len(g.Cluster) > 64 {
		f.AddProblem("gossip.cluster", "is longer than the maximum of 64 bytes")
	}
	if len(g.Authorities) == 0 {
		f.AddProblem("gossip.authorities", "must name at least one authority if gossip is enabled")
	}
}

// checkRange adds a problem if a value is outside its range. The problem names the bound, as whoever corrects the value
// has to know it.
func checkRange[T int | time.Duration | yamlfile.Size](f *yamlfile.File, key string, v, minimum, maximum T) {
	if v < minimum {
		f.AddProblem(key, "%v is less than the minimum %v", v, minimum)
	} else if v > maximum {
		f.AddProblem(key, "%v is more than the maximum %v", v, maximum)
	}
}

// checkAddress checks the form of an address host:port, in which the host may be empty and the port 0 only if
// allowWildcard is set. It does not resolve host names.
func checkAddress(f *yamlfile.File, key, v string, allowWildcard bool) {
	host, port, err := net.SplitHostPort(v)
	if n, portErr := strconv.Atoi(port); err != nil || portErr != nil || n < 1 && !allowWildcard || n < 0 ||
		n > 65535 || host == "" && !allowWildcard {
		f.AddProblem(key, "expected an address host:port, found %q", v)
	}
}
