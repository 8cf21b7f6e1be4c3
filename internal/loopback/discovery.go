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
	f    *fleet
	l    net.Listener
	http *http.Server

	mu      sync.Mutex
	version int
	lines   []line
	changes []change
	news    chan struct{} // closed at each change
	silent  chan struct{} // closed when the watches that are open fall silent
}

// line is a server as it is listed.
type line struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Role    string  `json:"role,omitempty"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
	num     int
}

type change struct {
	version int
	num     int
}

type page struct {
	Version int    `json:"version"`
	Full    bool   `json:"full"`
	Servers []line `json:"servers"`
}

func newDiscovery(f *fleet) *discovery {
	return &discovery{f: f, version: 1, news: make(chan struct{}), silent: make(chan struct{})}
}

// begin lists the servers as they are and answers from then on.
func (d *discovery) begin() {
	for _, s := range d.f.servers {
		role := "replica"
		if s.group.primary == s {
			role = "primary"
		}
		l := line{ID: fmt.Sprintf("s-%08x", s.num), Addr: s.addr, Zone: fmt.Sprint("z", s.zone), Kind: "plain", Cell: s.groupIndex(), State: "in_service",
			Weight: float64(s.cores), num: s.num}
		if d.f.w.List.Roles != "none" {
			l.Role = role
		}
		d.lines = append(d.lines, l)
	}
	d.http = &http.Server{Handler: http.HandlerFunc(d.serve)}
}

func (s *server) groupIndex() int {
	for i, g := range s.f.groups {
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
	d.l = l
	go d.http.Serve(l)
	return l.Addr().String(), nil
}

func (d *discovery) close() {
	if d.l != nil {
		d.http.Close()
	}
}

// changed lists a server's state as it is after a time, if that lasts.
func (d *discovery) changed(s *server, late time.Duration) {
	life, draining := s.life, s.draining
	time.AfterFunc(late, func() {
		s.f.mu.Lock()
		same := s.life == life && s.draining == draining
		state, started := "in_service", int64(0)
		switch {
		case s.l == nil:
			state = "terminated"
		case s.draining:
			state = "terminating"
		}
		if !s.started.IsZero() {
			started = s.started.UnixMilli()
		}
		s.f.mu.Unlock()
		if !same {
			return
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		for i := range d.lines {
			if l := &d.lines[i]; l.num == s.num {
				l.State, l.Started, l.Addr = state, started, s.addr
			}
		}
		d.version++
		d.changes = append(d.changes, change{d.version, s.num})
		close(d.news)
		d.news = make(chan struct{})
		d.f.check.listed(s, state)
	})
}

// page is what has changed since a version; the whole list for 0.
func (d *discovery) page(since int) page {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := page{Version: d.version, Full: since == 0, Servers: []line{}}
	for _, l := range d.lines {
		in := since == 0 && l.State != "terminated"
		for _, c := range d.changes {
			in = in || since > 0 && c.version > since && c.num == l.num
		}
		if in {
			p.Servers = append(p.Servers, l)
		}
	}
	return p
}

// silence has the watches that are open hear nothing more, without an end.
func (d *discovery) silence() {
	d.f.check.silent()
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.silent)
	d.silent = make(chan struct{})
}

func (d *discovery) serve(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.Atoi(q.Get("since"))
	wait, _ := strconv.Atoi(q.Get("timeout_ms"))
	end := time.After(time.Duration(min(wait, 60000)) * time.Millisecond)
	d.mu.Lock()
	silent := d.silent
	d.mu.Unlock()
	for {
		d.mu.Lock()
		news := d.news
		d.mu.Unlock()
		p := d.page(since)
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
