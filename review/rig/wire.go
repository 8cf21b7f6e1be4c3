package main

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

// message is one message of the wire protocol, version 3.
type message struct {
	kind byte
	body []byte
}

// frame returns a message with its length.
func frame(kind byte, parts ...string) []byte {
	body := strings.Join(parts, "")
	b := binary.BigEndian.AppendUint32([]byte{kind}, uint32(len(body)+4))
	return append(b, body...)
}

// readMessage reads one message.
func readMessage(r *bufio.Reader) (message, error) {
	var head [5]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return message{}, err
	}
	n := binary.BigEndian.Uint32(head[1:])
	if n < 4 || n > 64<<20 {
		return message{}, errors.New("a message with an invalid length")
	}
	m := message{head[0], make([]byte, n-4)}
	_, err := io.ReadFull(r, m.body)
	return m, err
}

// startupMessage returns the startup message that all clients send.
func startupMessage() []byte {
	params := "\x00\x03\x00\x00user\x00portal\x00database\x00crm\x00\x00"
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(params)+4)), params...)
}

// queryMessage returns a Query.
func queryMessage(statement string) []byte { return frame('Q', statement, "\x00") }

// comment returns the name=value pairs of the comment at the end of a statement.
func comment(statement string) map[string]string {
	fields := map[string]string{}
	start, end := strings.LastIndex(statement, "/*"), strings.LastIndex(statement, "*/")
	if start < 0 || end < start {
		return fields
	}
	for _, f := range strings.Split(statement[start+2:end], ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(f), "=")
		fields[name] = value
	}
	return fields
}

// answer is what a client got for one command.
type answer struct {
	kind  string // acked, empty, an SQLSTATE, or the error that ended the connection
	value string
	at    time.Time // when its last byte was read
}

// client is a connection to a gateway.
type client struct {
	net.Conn
	reader *bufio.Reader
}

// dial connects and completes the startup.
func dial(addr string) (*client, error) {
	nc, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{nc, bufio.NewReader(nc)}
	nc.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err := nc.Write(startupMessage()); err != nil {
		nc.Close()
		return nil, err
	}
	if a := c.read(); a.kind != "ready" {
		nc.Close()
		return nil, errors.New("startup ended with " + a.kind)
	}
	nc.SetDeadline(time.Time{})
	return c, nil
}

// read reads the messages of one answer, up to ReadyForQuery or the end of the connection.
func (c *client) read() answer {
	a := answer{kind: "ready"}
	for {
		m, err := readMessage(c.reader)
		a.at = time.Now()
		if err != nil {
			if a.kind == "ready" || a.kind == "row" {
				a.kind = "no answer: " + errorName(err)
			}
			return a
		}
		switch m.kind {
		case 'D':
			if len(m.body) >= 6 {
				a.kind, a.value = "row", string(m.body[6:])
			}
		case 'C':
			a.kind = "acked"
		case 'I':
			a.kind = "empty"
		case 'E':
			a.kind = "error"
			for _, f := range strings.Split(string(m.body), "\x00") {
				if strings.HasPrefix(f, "C") && len(f) == 6 {
					a.kind = f[1:]
				}
			}
		case 'Z':
			return a
		}
	}
}

// errorName returns a short name of an error of a connection.
func errorName(err error) string {
	var timeout net.Error
	switch {
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
		return "connection closed"
	case errors.As(err, &timeout) && timeout.Timeout():
		return "nothing came"
	case strings.Contains(err.Error(), "reset"):
		return "connection reset"
	}
	return "connection failed"
}

// unixMillis parses a Unix time in milliseconds.
func unixMillis(s string) time.Time {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return time.Time{}
	}
	return time.UnixMilli(n)
}
