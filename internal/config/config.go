// Package config holds the settings of our own: what the platform's surroundings do not say. They stand in one YAML file,
// deploy/gorsewell.yaml shows all of them with their defaults. Without a file everything in here is off.
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

// Settings is the whole file.
type Settings struct {
	Log    Log    `yaml:"log"`
	Gossip Gossip `yaml:"gossip"`
}

// Log says what is logged.
type Log struct {
	Level Level `yaml:"level"`
}

// Level is the least weight of a line that is logged.
type Level struct{ slog.Level }

// UnmarshalText reads debug, info, warn or error.
func (l *Level) UnmarshalText(text []byte) error {
	for _, known := range []slog.Level{slog.LevelDebug, slog.LevelInfo, slog.LevelWarn, slog.LevelError} {
		if (Level{known}).String() == string(text) {
			l.Level = known
			return nil
		}
	}
	return fmt.Errorf("%q is no level; debug, info, warn and error are", text)
}

// String is the level as the file has it.
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

// Gossip is how instances find one another and share what they suspect.
type Gossip struct {
	Enabled     bool     `yaml:"enabled"`
	Cluster     string   `yaml:"cluster"`     // only instances of the same one hear each other
	Listen      string   `yaml:"listen"`      // host:port, for datagrams and streams
	Advertise   string   `yaml:"advertise"`   // host:port at which others reach it; empty: as the others see it
	Seeds       []string `yaml:"seeds"`       // host:port of instances to begin with; its own may be among them
	Certificate string   `yaml:"certificate"` // files, beside the settings' own where they have no absolute path
	Key         string   `yaml:"key"`
	Authorities []string `yaml:"authorities"` // whose certificates count; two during a rotation

	ProbeEvery   time.Duration `yaml:"probe_every"`
	ProbeTimeout time.Duration `yaml:"probe_timeout"`
	SuspectFor   time.Duration `yaml:"suspect_for"`
	TellEvery    time.Duration `yaml:"tell_every"`
	SyncEvery    time.Duration `yaml:"sync_every"`
	RumourLife   time.Duration `yaml:"rumour_life"`

	Limits GossipLimits `yaml:"limits"`
}

// GossipLimits bounds what gossip may cost, and what one peer may take of it.
type GossipLimits struct {
	Members            int           `yaml:"members"`
	Rumours            int           `yaml:"rumours"`
	RumoursPerObserver int           `yaml:"rumours_per_observer"`
	ObserversPerServer int           `yaml:"observers_per_server"`
	Datagram           yamlfile.Size `yaml:"datagram"`
	DatagramsPerTell   int           `yaml:"datagrams_per_tell"`
	BytesPerSecond     yamlfile.Size `yaml:"bytes_per_second"`
	ReceivedPerSecond  int           `yaml:"received_per_second"`
	Streams            int           `yaml:"streams"`
}

// Default is what holds where a file says nothing.
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

// Load reads and checks the file at path; an empty path gives the defaults. An error that is yamlfile.Problems tells all
// that is wrong with it, any other that it could not be read.
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

// Parse reads and checks a file's text.
func Parse(name string, text []byte) (*Settings, error) {
	s := Default()
	f := yamlfile.Read(name, text, s)
	s.check(f)
	return s, f.Err()
}

func (s *Settings) check(f *yamlfile.File) { s.Gossip.check(f) }

// beside makes the paths of files that stand beside the settings absolute.
func (g *Gossip) resolvePaths(dir string) {
	at := func(path *string) {
		if *path != "" && !filepath.IsAbs(*path) {
			*path = filepath.Join(dir, *path)
		}
	}
	at(&g.Certificate)
	at(&g.Key)
	for i := range g.Authorities {
		at(&g.Authorities[i])
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
	for key, value := range map[string]string{"cluster": g.Cluster, "listen": g.Listen, "certificate": g.Certificate, "key": g.Key} {
		if value == "" {
			f.Wrong("gossip."+key, "is needed where gossip is enabled")
		}
	}
	if len(g.Cluster) > 64 {
		f.Wrong("gossip.cluster", "is longer than 64 bytes")
	}
	if len(g.Authorities) == 0 {
		f.Wrong("gossip.authorities", "needs at least one authority where gossip is enabled")
	}
}

// between tells where a value lies outside its range. The bound is named, as who wrote the value needs to know it.
func checkRange[T int | time.Duration | yamlfile.Size](f *yamlfile.File, key string, v, least, most T) {
	if v < least {
		f.Wrong(key, "%v is less than %v, the least that works", v, least)
	} else if v > most {
		f.Wrong(key, "%v is more than %v, the most that is allowed", v, most)
	}
}

// address checks a host and port by their form. Names are resolved only where they are used.
func checkAddress(f *yamlfile.File, key, v string, anyHost bool) {
	host, port, err := net.SplitHostPort(v)
	if n, bad := strconv.Atoi(port); err != nil || bad != nil || n < 1 && !anyHost || n < 0 || n > 65535 || host == "" && !anyHost {
		f.Wrong(key, "%q is no address; write it as host:port", v)
	}
}
