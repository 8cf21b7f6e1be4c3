// Package standin implements simple database servers, clients and a discovery service for tests and for cmd/standin. It
// is written from the public description of PostgreSQL's protocol.
package standin

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"time"

	"gorsewell/internal/invariant"
	"gorsewell/internal/pgwire"
)

// Database is a database server that answers queries with a function.
type Database struct {
	// OnStartup, if not nil, is called after a client's startup message and before the reply to it.
	OnStartup func()
	// StartupReply is the reply to a client's startup message; if nil, the client is accepted.
	StartupReply []byte
	// Answer returns the bytes to write for a query, and whether the connection then stays open.
	Answer func(query string) (answer []byte, keepOpen bool)
	// EmptyQueryReply, if not nil, is written for an empty query in place of the usual reply.
	EmptyQueryReply []byte
	// Pieces makes the server write what it sends byte by byte.
	Pieces bool
	// TrailingDelay is the delay before the part of an answer that follows its first ReadyForQuery.
	TrailingDelay time.Duration
}

// Serve accepts connections until the listener is closed.
func (d *Database) Serve(l net.Listener) error {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		} else if err != nil {
			return err
		}
		go d.serveClient(c)
	}
}

func (d *Database) serveClient(c net.Conn) {
	defer c.Close()
	var buffer pgwire.ReadBuffer
	for size := 0; size == 0; {
		var err error
		if _, size, err = pgwire.ParseStartup(buffer.Bytes()); err != nil || size == 0 && readMore(c, &buffer) != nil {
			return
		}
		buffer.Discard(size)
	}
	if d.OnStartup != nil {
		d.OnStartup()
	}
	reply := d.StartupReply
	if reply == nil {
		reply = pgwire.AppendStartupReply(nil)
	}
	if _, err := c.Write(reply); err != nil {
		return
	}
	for {
		m, ok, err := buffer.Next()
		if err != nil || !ok && readMore(c, &buffer) != nil || ok && m.Type != pgwire.Query {
			return
		} else if !ok {
			continue
		}
		query := string(m.Body[:len(m.Body)-1])
		if query == "" {
			reply := d.EmptyQueryReply
			if reply == nil {
				reply = EmptyQueryReply()
			}
			if d.write(c, reply) != nil {
				return
			}
			continue
		}
		answer, keepOpen := d.Answer(query)
		if end := bytes.Index(answer, pgwire.AppendReady(nil)) + 6; d.TrailingDelay > 0 && end > 5 {
			c.Write(answer[:end])
			answer = answer[end:]
			time.Sleep(d.TrailingDelay)
		}
		if d.write(c, answer) != nil || !keepOpen {
			return
		}
	}
}

// write writes bytes, one after the other if the server writes in pieces.
func (d *Database) write(c net.Conn, b []byte) error {
	if !d.Pieces {
		_, err := c.Write(b)
		return err
	}
	for i := range b {
		if _, err := c.Write(b[i : i+1]); err != nil {
			return err
		}
	}
	return nil
}

// EmptyQueryReply returns the reply to an empty query.
func EmptyQueryReply() []byte {
	return pgwire.AppendReady(pgwire.AppendMessage(nil, pgwire.EmptyQueryResponse))
}

// readMore reads once from a connection into a buffer.
func readMore(c net.Conn, buffer *pgwire.ReadBuffer) error {
	n, err := c.Read(buffer.Space())
	buffer.Filled(n)
	if n > 0 {
		return nil
	}
	return err
}

// Row returns an answer of one row with one value, followed by the server's role and its position in Unix milliseconds.
func Row(value, role string, position int64) []byte {
	b := pgwire.AppendMessage(nil, pgwire.RowDescription,
		"\x00\x01data\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01")
	n := len(value)
	b = pgwire.AppendMessage(b, pgwire.DataRow,
		"\x00\x01", string([]byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)}), value)
	return appendStatus(pgwire.AppendMessage(b, pgwire.CommandComplete, "SELECT 1\x00"), role, position)
}

// Failure returns an answer with an ErrorResponse, followed by the server's role and its position in Unix milliseconds.
func Failure(code, role string, position int64) []byte {
	return appendStatus(pgwire.AppendError(nil, "ERROR", code, "as the test wants", ""), role, position)
}

// appendStatus appends the role, the position and ReadyForQuery to an answer.
func appendStatus(b []byte, role string, position int64) []byte {
	b = pgwire.AppendMessage(b, pgwire.ParameterStatus, "role\x00", role, "\x00")
	b = pgwire.AppendMessage(b, pgwire.ParameterStatus, "applied_ms\x00", strconv.FormatInt(position, 10), "\x00")
	return pgwire.AppendReady(b)
}

// Client is a client's connection.
type Client struct {
	net.Conn
	buffer pgwire.ReadBuffer
}

// Dial connects and completes the startup.
func Dial(addr string) (*Client, error) {
	c, err := DialTCP(addr)
	if err == nil {
		err = c.WriteBytes(pgwire.AppendStartup(nil, "portal", "crm"))
	}
	if err == nil {
		_, err = c.ReadAnswer()
	}
	return c, err
}

// DialTCP connects without sending a startup message. The deadline of the connection is 20 s after the call.
func DialTCP(addr string) (*Client, error) {
	nc, err := net.DialTimeout("tcp", addr, 5*time.Second)
	if err != nil {
		return nil, err
	}
	return &Client{Conn: nc}, nc.SetDeadline(time.Now().Add(20 * time.Second))
}

// WriteBytes writes data without framing it as a message.
func (c *Client) WriteBytes(data []byte) error {
	_, err := c.Write(data)
	return err
}

// Query sends a query and returns its answer in the form of ReadAnswer.
func (c *Client) Query(statement string) (string, error) {
	if err := c.WriteBytes(pgwire.AppendQuery(nil, statement)); err != nil {
		return "", err
	}
	return c.ReadAnswer()
}

// ReadAnswer reads messages up to ReadyForQuery or the end of the connection and returns a summary of them. It contains
// the value of each row, C and D followed by the code and the detail of each error, I for an empty query, and $ for the
// end of the connection.
func (c *Client) ReadAnswer() (summary string, err error) {
	for {
		m, ok, err := c.buffer.Next()
		if err != nil {
			return summary, err
		}
		if !ok {
			if err := readMore(c, &c.buffer); errors.Is(err, io.EOF) {
				return summary + "$", nil
			} else if err != nil {
				return summary, err
			}
			continue
		}
		switch m.Type {
		case pgwire.ReadyForQuery:
			return summary, nil
		case pgwire.DataRow:
			value, err := pgwire.ParseSingleColumn(m.Body)
			if err != nil {
				return summary, err
			}
			summary += string(value)
		case pgwire.ErrorResponse:
			summary += errorFields(m.Body)
		case pgwire.EmptyQueryResponse:
			summary += "I"
		}
	}
}

// errorFields returns the code and the detail of an ErrorResponse, each preceded by the letter of its field, C or D.
func errorFields(body []byte) (summary string) {
	for len(body) > 1 {
		value, rest, err := pgwire.CutString(body[1:])
		if err != nil {
			return summary
		}
		if body[0] == 'C' || body[0] == 'D' {
			summary += string(body[0]) + string(value)
		}
		body = rest
	}
	return summary
}

// Group is a primary and a replica on loopback, with a discovery service that lists both and never changes its list.
type Group struct {
	Config  []byte      // platform configuration, in JSON, of a gateway for this group
	closers []io.Closer // listeners and the discovery service
}

// deploymentSettings are the settings of a deployment with two op types, a read and a write. Times are in nanoseconds.
const deploymentSettings = `{"balancers":1,"round":5000000,"registry_mode":"on_request",
"classes":[{"name":"lookup","effect":"retryable","target":2000000000,"give_up":3000000000,"worth":1},
{"name":"save","effect":"dedup","dedup_scope":"cell","window":2000000000,"target":2000000000,"give_up":3000000000,"worth":2}],
"family_info":{"needs_by_class":["eventual","mutate"],"tells_position":true},
"limits":{"connect_timeout":250000000,"keepalive":30000000000,"max_attempts":8,"may_cancel":true},
"rules":{"must_ask_in":10000000000}}`

// Start starts a group. The function answer returns the bytes to write for a query to the server with the given role,
// and whether the connection then stays open. listen is the gateway's listen address in the group's Config.
func Start(listen string, answer func(role, query string) ([]byte, bool)) (*Group, error) {
	g := &Group{}
	newListener := func() (net.Listener, error) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err == nil {
			g.closers = append(g.closers, l)
		}
		return l, err
	}
	var servers []string
	for i, role := range []string{"primary", "replica"} {
		l, err := newListener()
		if err != nil {
			return nil, err
		}
		d := &Database{Answer: func(query string) ([]byte, bool) { return answer(role, query) }}
		go d.Serve(l)
		servers = append(servers,
			fmt.Sprintf(`{"id":"s-%d","addr":%q,"state":"in_service","role":%q}`, i+1, l.Addr(), role))
	}
	list := fmt.Sprintf(`{"version":1,"full":true,"servers":[%s]}`, strings.Join(servers, ","))
	l, err := newListener()
	if err != nil {
		return nil, err
	}
	discovery := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms")); wait > 0 {
			select {
			case <-r.Context().Done():
			case <-time.After(time.Duration(wait) * time.Millisecond):
			}
		}
		fmt.Fprint(w, list)
	})}
	g.closers = append(g.closers, discovery)
	go discovery.Serve(l)
	g.Config = fmt.Appendf(nil, `{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
"known":%s,
"settings":%s}
`, listen, l.Addr(), list, deploymentSettings)
	return g, nil
}

// Close stops the group.
func (g *Group) Close() {
	for _, c := range g.closers {
		c.Close()
	}
}

// LiveHeap returns the size of the heap in bytes after a garbage collection.
func LiveHeap() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// BreaksAssertion reports whether an assertion fails while f runs, both in debug builds, where it panics, and in
// others, where it is counted.
func BreaksAssertion(f func()) (broke bool) {
	before := invariant.Broken()
	defer func() {
		recover() // from the panic of a debug build
		broke = invariant.Broken() > before
	}()
	f()
	return false
}
