// Package standin is a small stand-in for clients and database servers, written from the protocol's public
// description. Tests play against it, and cmd/standin lets the gateway be tried by hand.
package standin

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"gorsewell/internal/invariant"
	"gorsewell/internal/pgwire"
)

// Database answers queries on a listener until that is closed.
type Database struct {
	// Comes, where it is not nil, is called when a client has said who it is; it is let in when that returns.
	Comes func()
	// Welcome is written to each client that comes; nil stands for an ordinary welcome.
	Welcome []byte
	// Answer gives the bytes to write for a query, and whether the connection then stays open.
	Answer func(query string) (bytes []byte, stays bool)
	// Late is how long what follows the first ReadyForQuery of an answer is kept back.
	Late time.Duration
}

// Serve takes connections until the listener is closed.
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
	var w pgwire.ReadBuffer
	for size := 0; size == 0; {
		var err error
		if _, size, err = pgwire.ParseStartup(w.Bytes()); err != nil || size == 0 && readMore(c, &w) != nil {
			return
		}
		w.Discard(size)
	}
	if d.Comes != nil {
		d.Comes()
	}
	welcome := d.Welcome
	if welcome == nil {
		welcome = pgwire.AppendStartupReply(nil)
	}
	if _, err := c.Write(welcome); err != nil {
		return
	}
	for {
		m, ok, err := w.Next()
		if err != nil || !ok && readMore(c, &w) != nil || ok && m.Type != pgwire.Query {
			return
		} else if !ok {
			continue
		}
		answer, stays := d.Answer(string(m.Body[:len(m.Body)-1]))
		if end := bytes.Index(answer, pgwire.AppendReady(nil)) + 6; d.Late > 0 && end > 5 {
			c.Write(answer[:end])
			answer = answer[end:]
			time.Sleep(d.Late)
		}
		if _, err := c.Write(answer); err != nil || !stays {
			return
		}
	}
}

func readMore(c net.Conn, w *pgwire.ReadBuffer) error {
	n, err := c.Read(w.Space())
	w.Filled(n)
	if n > 0 {
		return nil
	}
	return err
}

// Row is an answer of one value. The role and the position, in Unix milliseconds, follow it.
func Row(value, role string, position int64) []byte {
	b := pgwire.AppendMessage(nil, pgwire.RowDescription,
		"\x00\x01data\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01")
	n := len(value)
	b = pgwire.AppendMessage(b, pgwire.DataRow,
		"\x00\x01", string([]byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)}), value)
	return appendStatus(pgwire.AppendMessage(b, pgwire.CommandComplete, "SELECT 1\x00"), role, position)
}

// Failure is an ErrorResponse with the role and the position.
func Failure(code, role string, position int64) []byte {
	return appendStatus(pgwire.AppendError(nil, "ERROR", code, "as the test wants", ""), role, position)
}

func appendStatus(b []byte, role string, position int64) []byte {
	b = pgwire.AppendMessage(b, pgwire.ParameterStatus, "role\x00", role, "\x00")
	b = pgwire.AppendMessage(b, pgwire.ParameterStatus, "applied_ms\x00", strconv.FormatInt(position, 10), "\x00")
	return pgwire.AppendReady(b)
}

// Client is one connection of a client.
type Client struct {
	net.Conn
	buffer pgwire.ReadBuffer
}

// Dial connects and is let in.
func Dial(addr string) (*Client, error) {
	c, err := Open(addr)
	if err == nil {
		err = c.Say(pgwire.AppendStartup(nil, "portal", "crm"))
	}
	if err == nil {
		_, err = c.Answer()
	}
	return c, err
}

// Open connects without a word.
func Open(addr string) (*Client, error) {
	nc, err := net.DialTimeout("tcp", addr, 5*time.Second)
	if err != nil {
		return nil, err
	}
	return &Client{Conn: nc}, nc.SetDeadline(time.Now().Add(20 * time.Second))
}

// Say writes bytes as they are.
func (c *Client) Say(bytes []byte) error {
	_, err := c.Write(bytes)
	return err
}

// Query asks and returns the answer.
func (c *Client) Query(statement string) (string, error) {
	if err := c.Say(pgwire.AppendQuery(nil, statement)); err != nil {
		return "", err
	}
	return c.Answer()
}

// Answer reads up to ReadyForQuery, or to the end of the connection, and returns in short what came: the value
// of a row, the code and detail of an error, or the types of other messages.
func (c *Client) Answer() (short string, err error) {
	for {
		m, ok, err := c.buffer.Next()
		if err != nil {
			return short, err
		}
		if !ok {
			if err := readMore(c, &c.buffer); errors.Is(err, io.EOF) {
				return short + "$", nil
			} else if err != nil {
				return short, err
			}
			continue
		}
		switch m.Type {
		case pgwire.ReadyForQuery:
			return short, nil
		case pgwire.DataRow:
			value, err := pgwire.ParseSingleColumn(m.Body)
			if err != nil {
				return short, err
			}
			short += string(value)
		case pgwire.ErrorResponse:
			short += errorFields(m.Body)
		case pgwire.EmptyQueryResponse:
			short += "I"
		}
	}
}

// fields is the code and the detail of an ErrorResponse.
func errorFields(body []byte) (short string) {
	for len(body) > 1 {
		value, rest, err := pgwire.CutString(body[1:])
		if err != nil {
			return short
		}
		if body[0] == 'C' || body[0] == 'D' {
			short += string(body[0]) + string(value)
		}
		body = rest
	}
	return short
}

// Group is a primary and a replica on loopback, with a discovery that lists them and never changes.
type Group struct {
	Config  []byte // what a gateway is given to work with them
	closers []io.Closer
}

// settings describe a small deployment with a read and a write.
const deploymentSettings = `{"balancers":1,"round":5000000,"registry_mode":"on_request",
"classes":[{"name":"lookup","effect":"retryable","target":2000000000,"give_up":3000000000,"worth":1},
{"name":"save","effect":"dedup","dedup_scope":"cell","window":2000000000,"target":2000000000,"give_up":3000000000,"worth":2}],
"family_info":{"needs_by_class":["eventual","mutate"],"tells_position":true},
"limits":{"connect_timeout":250000000,"keepalive":30000000000,"max_attempts":8,"may_cancel":true},
"rules":{"must_ask_in":10000000000}}`

// Start starts a group; the answer to a query depends on the role of the server that it came to. The gateway is to
// listen on the address given.
func Start(listen string, answer func(role, query string) ([]byte, bool)) (*Group, error) {
	g := &Group{}
	open := func() (net.Listener, error) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err == nil {
			g.closers = append(g.closers, l)
		}
		return l, err
	}
	var servers []string
	for i, role := range []string{"primary", "replica"} {
		l, err := open()
		if err != nil {
			return nil, err
		}
		d := &Database{Answer: func(query string) ([]byte, bool) { return answer(role, query) }}
		go d.Serve(l)
		servers = append(servers, fmt.Sprintf(`{"id":"s-%d","addr":%q,"state":"in_service","role":%q}`, i+1, l.Addr(), role))
	}
	page := fmt.Sprintf(`{"version":1,"full":true,"servers":[%s]}`, strings.Join(servers, ","))
	l, err := open()
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
		fmt.Fprint(w, page)
	})}
	g.closers = append(g.closers, discovery)
	go discovery.Serve(l)
	g.Config = fmt.Appendf(nil, `{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
"known":%s,
"settings":%s}
`, listen, l.Addr(), page, deploymentSettings)
	return g, nil
}

// Close stops the group.
func (g *Group) Close() {
	for _, p := range g.closers {
		p.Close()
	}
}

// Breaks tells whether an assertion does not hold while f runs, whatever the build makes of it.
func Breaks(f func()) (broke bool) {
	before := invariant.Broken()
	defer func() {
		recover() // a debug build panics
		broke = invariant.Broken() > before
	}()
	f()
	return false
}
