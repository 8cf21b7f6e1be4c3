package loopback

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// discovery is a stand-in for the discovery service.
type discovery struct {
	fleet      *fleet
	listener   net.Listener
	httpServer *http.Server

	mu       sync.Mutex // guards all fields below
	version  int        // of the list; incremented by each change
	entries  []entry
	changes  []change      // since the start of the run
	updated  chan struct{} // closed at each change of the list
	silenced chan struct{} // closed when the open watches fall silent
}

// entry is one server of the list.
type entry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Role      string  `json:"role,omitempty"`
	Weight    float64 `json:"weight"`     // number of cores
	Started   int64   `json:"started_ms"` // Unix milliseconds
	serverNum int
}

// change records the version of the list in which the entry of a server changed.
type change struct {
	version   int
	serverNum int
}

// serverList is the list, or the changes to it, as discovery sends it.
type serverList struct {
	Version int     `json:"version"`
	Full    bool    `json:"full"`
	Servers []entry `json:"servers"`
}

func newDiscovery(f *fleet) *discovery {
	return &discovery{fleet: f, version: 1, updated: make(chan struct{}), silenced: make(chan struct{})}
}

// init adds all servers to the list with the state in_service and prepares the HTTP server. It must be called before
// listen.
func (d *discovery) init() {
	for _, s := range d.fleet.servers {
		role := "replica"
		if s.group.primary == s {
			role = "primary"
		}
		e := entry{ID: fmt.Sprintf("s-%08x", s.num), Addr: s.addr, Zone: fmt.Sprint("z", s.zone), Kind: "plain",
			Cell: s.groupIndex(), State: "in_service", Weight: float64(s.cores), serverNum: s.num}
		if d.fleet.world.List.Roles != "none" {
			e.Role = role
		}
		d.entries = append(d.entries, e)
	}
	d.httpServer = &http.Server{Handler: http.HandlerFunc(d.handle)}
}

// groupIndex returns the index of the server's group, or -1 if the fleet does not have it.
func (s *server) groupIndex() int {
	for i, g := range s.fleet.groups {
		if g == s.group {
			return i
		}
	}
	return -1
}

// listen starts answering calls and returns the address.
func (d *discovery) listen() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	d.listener = l
	go d.httpServer.Serve(l)
	return l.Addr().String(), nil
}

func (d *discovery) close() {
	if d.listener != nil {
		d.httpServer.Close()
	}
}

// publishAfter lists the state of a server after a delay, unless the server's process has ended or has started to drain
// in the meantime.
func (d *discovery) publishAfter(s *server, delay time.Duration) {
	generation, draining := s.generation, s.draining
	time.AfterFunc(delay, func() {
		s.fleet.mu.Lock()
		unchanged := s.generation == generation && s.draining == draining
		state, started := "in_service", int64(0)
		switch {
		case s.listener == nil:
			state = "terminated"
		case s.draining:
			state = "terminating"
		}
		if !s.started.IsZero() {
			started = s.started.UnixMilli()
		}
		s.fleet.mu.Unlock()
		if !unchanged {
			return
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		for i := range d.entries {
			if e := &d.entries[i]; e.serverNum == s.num {
				e.State, e.Started, e.Addr = state, started, s.addr
			}
		}
		d.version++
		d.changes = append(d.changes, change{d.version, s.num})
		close(d.updated)
		d.updated = make(chan struct{})
		d.fleet.checker.stateListed(s, state)
	})
}

// listSince returns the changes since a version, or the whole list for version 0.
func (d *discovery) listSince(since int) serverList {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := serverList{Version: d.version, Full: since == 0, Servers: []entry{}}
	for _, e := range d.entries {
		included := since == 0 && e.State != "terminated"
		for _, c := range d.changes {
			included = included || since > 0 && c.version > since && c.serverNum == e.serverNum
		}
		if included {
			list.Servers = append(list.Servers, e)
		}
	}
	return list
}

// silenceWatches makes the open watches fall silent: they are neither answered nor closed.
func (d *discovery) silenceWatches() {
	d.fleet.checker.watchesSilenced()
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.silenced)
	d.silenced = make(chan struct{})
}

// handle answers a call at once if it asks for the whole list, does not wait or there are changes. Otherwise it waits
// until the list changes or the timeout of the call expires.
func (d *discovery) handle(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	since, _ := strconv.Atoi(query.Get("since"))
	timeoutMs, _ := strconv.Atoi(query.Get("timeout_ms"))
	timeout := time.After(time.Duration(min(timeoutMs, 60000)) * time.Millisecond)
	d.mu.Lock()
	silenced := d.silenced
	d.mu.Unlock()
	for {
		d.mu.Lock()
		updated := d.updated
		d.mu.Unlock()
		list := d.listSince(since)
		if since == 0 || len(list.Servers) > 0 || timeoutMs == 0 {
			json.NewEncoder(w).Encode(list)
			return
		}
		select {
		case <-silenced:
			<-r.Context().Done()
			return
		case <-updated:
		case <-timeout:
			timeoutMs = 0
		case <-r.Context().Done():
			return
		}
	}
}
