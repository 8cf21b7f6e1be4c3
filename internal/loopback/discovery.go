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

// discovery is the list service.
type discovery struct {
	fleet      *fleet
	listener   net.Listener
	httpServer *http.Server

	mu       sync.Mutex
	version  int
	entries  []entry
	changes  []change
	updated  chan struct{} // closed at each change
	silenced chan struct{} // closed when the watches that are open fall silent
}

// line is a server as it is listed.
type entry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Role      string  `json:"role,omitempty"`
	Weight    float64 `json:"weight"`
	Started   int64   `json:"started_ms"`
	serverNum int
}

type change struct {
	version   int
	serverNum int
}

type serverList struct {
	Version int     `json:"version"`
	Full    bool    `json:"full"`
	Servers []entry `json:"servers"`
}

func newDiscovery(f *fleet) *discovery {
	return &discovery{fleet: f, version: 1, updated: make(chan struct{}), silenced: make(chan struct{})}
}

// begin lists the servers as they are and answers from then on.
func (d *discovery) init() {
	for _, s := range d.fleet.servers {
		role := "replica"
		if s.group.primary == s {
			role = "primary"
		}
		l := entry{ID: fmt.Sprintf("s-%08x", s.num), Addr: s.addr, Zone: fmt.Sprint("z", s.zone), Kind: "plain", Cell: s.groupIndex(), State: "in_service",
			Weight: float64(s.cores), serverNum: s.num}
		if d.fleet.world.List.Roles != "none" {
			l.Role = role
		}
		d.entries = append(d.entries, l)
	}
	d.httpServer = &http.Server{Handler: http.HandlerFunc(d.handle)}
}

func (s *server) groupIndex() int {
	for i, g := range s.fleet.groups {
		if g == s.group {
			return i
		}
	}
	return -1
}

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

// changed lists a server's state as it is after a time, if that lasts.
func (d *discovery) publishAfter(s *server, late time.Duration) {
	life, draining := s.generation, s.draining
	time.AfterFunc(late, func() {
		s.fleet.mu.Lock()
		same := s.generation == life && s.draining == draining
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
		if !same {
			return
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		for i := range d.entries {
			if l := &d.entries[i]; l.serverNum == s.num {
				l.State, l.Started, l.Addr = state, started, s.addr
			}
		}
		d.version++
		d.changes = append(d.changes, change{d.version, s.num})
		close(d.updated)
		d.updated = make(chan struct{})
		d.fleet.checker.stateListed(s, state)
	})
}

// page is what has changed since a version; the whole list for 0.
func (d *discovery) listSince(since int) serverList {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := serverList{Version: d.version, Full: since == 0, Servers: []entry{}}
	for _, l := range d.entries {
		in := since == 0 && l.State != "terminated"
		for _, c := range d.changes {
			in = in || since > 0 && c.version > since && c.serverNum == l.serverNum
		}
		if in {
			p.Servers = append(p.Servers, l)
		}
	}
	return p
}

// silence has the watches that are open hear nothing more, without an end.
func (d *discovery) silenceWatches() {
	d.fleet.checker.watchesSilenced()
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.silenced)
	d.silenced = make(chan struct{})
}

func (d *discovery) handle(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.Atoi(q.Get("since"))
	wait, _ := strconv.Atoi(q.Get("timeout_ms"))
	end := time.After(time.Duration(min(wait, 60000)) * time.Millisecond)
	d.mu.Lock()
	silent := d.silenced
	d.mu.Unlock()
	for {
		d.mu.Lock()
		news := d.updated
		d.mu.Unlock()
		p := d.listSince(since)
		if since == 0 || len(p.Servers) > 0 || wait == 0 {
			json.NewEncoder(w).Encode(p)
			return
		}
		select {
		case <-silent:
			<-r.Context().Done()
			return
		case <-news:
		case <-end:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}
