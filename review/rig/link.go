package main

import (
	"net"
	"time"
)

// startLink starts a network path to an address that delays all bytes, and returns its own address. It is closed with
// either end.
func (r *rig) startLink(to string, delay time.Duration) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.cannotRun("listening: %v", err)
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s, err := net.Dial("tcp", to)
			if err != nil {
				c.Close()
				continue
			}
			go forward(c, s, delay)
			go forward(s, c, delay)
		}
	}()
	return l.Addr().String()
}

// chunk is what was read at a time.
type chunk struct {
	at    time.Time
	bytes []byte
}

// forward passes on bytes, each a fixed time after it came, and the end of the stream.
func forward(from, to net.Conn, delay time.Duration) {
	chunks := make(chan chunk, 1024)
	go func() {
		defer close(chunks)
		for {
			b := make([]byte, 32<<10)
			n, err := from.Read(b)
			if n > 0 {
				chunks <- chunk{time.Now(), b[:n]}
			}
			if err != nil {
				return
			}
		}
	}()
	for c := range chunks {
		time.Sleep(time.Until(c.at.Add(delay)))
		if _, err := to.Write(c.bytes); err != nil {
			break
		}
	}
	to.Close()
	from.Close()
	for range chunks {
	}
}
