package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"sync/atomic"
	"testing"
)

// outage is how calls of discovery fail.
type outage int32

const (
	noOutage  outage = iota
	refusing         // calls are answered with 503
	hanging          // calls get no answer
	resetting        // connections are closed without an answer

	outageKinds
)

// unreliableDiscovery stands between a gateway and its discovery service. Calls fail as the present outage has it.
type unreliableDiscovery struct {
	server *httptest.Server
	state  atomic.Int32
	failed atomic.Int32 // calls that failed
}

// startUnreliableDiscovery starts it before the discovery service that a configuration names.
func startUnreliableDiscovery(t *testing.T, config string) *unreliableDiscovery {
	t.Helper()
	var fields struct{ Discovery string }
	if err := json.Unmarshal([]byte(config), &fields); err != nil {
		t.Fatal(err)
	}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: fields.Discovery})
	proxy.ErrorHandler = func(w http.ResponseWriter, _ *http.Request, _ error) { w.WriteHeader(http.StatusBadGateway) }
	d := &unreliableDiscovery{}
	d.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		state := outage(d.state.Load())
		if state != noOutage {
			d.failed.Add(1)
		}
		switch state {
		case noOutage:
			proxy.ServeHTTP(w, r)
		case refusing:
			w.WriteHeader(http.StatusServiceUnavailable)
		case hanging:
			<-r.Context().Done()
		case resetting:
			panic(http.ErrAbortHandler)
		}
	}))
	t.Cleanup(func() {
		d.server.CloseClientConnections()
		d.server.Close()
	})
	return d
}

// addr returns the address that the gateway has to ask.
func (d *unreliableDiscovery) addr() string { return d.server.Listener.Addr().String() }

// begin begins an outage, or ends it. Calls under way are cut off.
func (d *unreliableDiscovery) begin(o outage) {
	d.state.Store(int32(o))
	d.server.CloseClientConnections()
}
