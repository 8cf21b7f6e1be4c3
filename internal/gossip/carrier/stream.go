package carrier

import (
	"bufio"
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"net/netip"
	"time"

	"gorsewell/internal/gossip"
	"gorsewell/internal/gossip/wire"
)

// A stream compares two tables. Who opens it says hello with a fresh number and its certificate; the other answers with its
// own, and a tag under the secret of both over all that was said; from there on each frame bears a tag over its number and
// its bytes under a key made from that secret and both fresh numbers. So neither an old stream nor another's can be replayed.
const (
	streamTime  = 3 * time.Second
	dialTime    = time.Second
	mostFrame   = 96 << 10
	nonceSize   = 16
	helloPrefix = "gw\x01s"
)

var errFrame = errors.New("a frame that does not fit")

// link is a proved stream.
type link struct {
	net.Conn
	in      *bufio.Reader
	session *wire.Session
	peer    *wire.Peer
}

func hello(cluster uint32, nonce, cert []byte) []byte {
	b := append([]byte(helloPrefix), 0, 0, 0, 0)
	binary.BigEndian.PutUint32(b[4:], cluster)
	b = append(b, nonce...)
	return append(append(b, byte(len(cert))), cert...)
}

// readHello reads the other's first words.
func readHello(r io.Reader, cluster uint32) (nonce, cert, all []byte, err error) {
	all = make([]byte, 8+nonceSize+1)
	if _, err = io.ReadFull(r, all); err != nil {
		return nil, nil, nil, err
	}
	if string(all[:4]) != helloPrefix {
		return nil, nil, nil, wire.ErrForm
	}
	if binary.BigEndian.Uint32(all[4:]) != cluster {
		return nil, nil, nil, wire.ErrCluster
	}
	cert = make([]byte, all[len(all)-1])
	if _, err = io.ReadFull(r, cert); err != nil {
		return nil, nil, nil, err
	}
	return all[8 : 8+nonceSize], cert, append(all, cert...), nil
}

// greet proves both ends to each other.
func (c *Carrier) greet(conn net.Conn, first bool) (*link, error) {
	conn.SetDeadline(time.Now().Add(streamTime))
	nonce := make([]byte, nonceSize)
	rand.Read(nonce)
	in := bufio.NewReaderSize(conn, 4<<10)
	c.bookMu.Lock()
	cluster, cert := c.book.Cluster(), c.book.Certificate()
	c.bookMu.Unlock()
	mine := hello(cluster, nonce, cert)
	if first {
		if _, err := conn.Write(mine); err != nil {
			return nil, err
		}
	}
	theirNonce, theirCert, theirs, err := readHello(in, cluster)
	if err != nil {
		return nil, err
	}
	c.bookMu.Lock()
	peer, err := c.book.Meet(theirCert)
	var s *wire.Session
	if err == nil && first {
		s = c.book.Session(peer, nonce, theirNonce, true)
	} else if err == nil {
		s = c.book.Session(peer, theirNonce, nonce, false)
	}
	c.bookMu.Unlock()
	if err != nil {
		return nil, err
	}
	l := &link{conn, in, s, peer}
	said := append(append([]byte(nil), mine...), theirs...)
	if !first {
		said = append(append([]byte(nil), theirs...), mine...)
		if _, err := conn.Write(mine); err != nil {
			return nil, err
		}
		return l, l.write(said) // the hello of both, tagged: who answers holds its key
	}
	got, err := l.read()
	if err == nil && string(got) != string(said) {
		err = wire.ErrTag
	}
	return l, err
}

// write sends one frame: its length, its bytes, its tag.
func (l *link) write(b []byte) error {
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(b)+wire.TagSize), uint32(len(b)))
	frame = append(frame, b...)
	frame = append(frame, l.session.Seal(b)...)
	_, err := l.Write(frame)
	return err
}

// read takes one frame.
func (l *link) read() ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(l.in, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > mostFrame {
		return nil, errFrame
	}
	b := make([]byte, n+wire.TagSize)
	if _, err := io.ReadFull(l.in, b); err != nil {
		return nil, err
	}
	if !l.session.Fits(b[:n], b[n:]) {
		return nil, wire.ErrTag
	}
	return b[:n], nil
}

// accept takes streams. Beyond the most that may be open they are closed at once.
func (c *Carrier) accept(ctx context.Context) error {
	for {
		conn, err := c.tcp.AcceptTCP()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			select { // out of descriptors
			case <-ctx.Done():
				return nil
			case <-time.After(emptyPause):
			}
			continue
		}
		select {
		case c.inbound <- struct{}{}:
		default:
			c.counts.StreamsFailed.Add(1)
			conn.Close()
			continue
		}
		c.tasks.Go(func() error {
			defer func() { <-c.inbound }()
			stop := context.AfterFunc(ctx, func() { conn.Close() })
			defer stop()
			defer conn.Close()
			c.streamed(c.answer(conn))
			return nil
		})
	}
}

func (c *Carrier) streamed(err error) {
	c.counts.Streams.Add(1)
	if err == nil {
		return
	}
	c.counts.StreamsFailed.Add(1)
	for _, cause := range []error{wire.ErrForm, wire.ErrCluster, wire.ErrStranger, wire.ErrTag, wire.ErrSignature, wire.ErrExpired, wire.ErrAuthority} {
		if errors.Is(err, cause) {
			c.dropped(err)
		}
	}
}

// answer serves one stream that another has opened.
func (c *Carrier) answer(conn *net.TCPConn) error {
	l, err := c.greet(conn, false)
	if err != nil {
		return err
	}
	raw, err := l.read()
	if err != nil {
		return err
	}
	c.bookMu.Lock()
	d, err := c.book.Digest(raw, l.peer)
	c.bookMu.Unlock()
	if err != nil {
		return err
	}
	seen := conn.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
	reply, err := ask(c, func() *gossip.Items {
		// Where it does not know its own address yet, the one that it came from will do until it does.
		if a := d.Own.Addr; a.Addr().IsUnspecified() {
			d.Own.Addr = netip.AddrPortFrom(seen, a.Port())
		}
		return c.node.Asked(c.clock.Now(), d, seen)
	})
	if err != nil {
		return err
	}
	if err := l.write(c.encode(reply)); err != nil {
		return err
	}
	raw, err = l.read()
	if err != nil || len(raw) == 0 {
		return err
	}
	given, err := c.decode(raw)
	if err == nil {
		c.do(func() { c.node.Given(c.clock.Now(), given) })
	}
	return err
}

var errBusy = errors.New("too busy")

// ask has the owner of the node answer something.
func ask[T any](c *Carrier, f func() T) (T, error) {
	got := make(chan T, 1)
	var none T
	if !c.do(func() { got <- f() }) {
		return none, errBusy
	}
	select {
	case v := <-got:
		return v, nil
	case <-c.ended:
		return none, errBusy
	case <-time.After(streamTime):
		return none, errBusy
	}
}

func (c *Carrier) encode(i *gossip.Items) []byte {
	c.bookMu.Lock()
	defer c.bookMu.Unlock()
	return c.book.EncodeItems(i)
}

func (c *Carrier) decode(raw []byte) (*gossip.Items, error) {
	c.bookMu.Lock()
	defer c.bookMu.Unlock()
	return c.book.Items(raw, c.dropped)
}

// Exchange opens a stream to another. With too many open it has failed.
func (c *Carrier) Exchange(with netip.AddrPort, d *gossip.Digest) {
	c.bookMu.Lock()
	raw := c.book.EncodeDigest(d)
	c.bookMu.Unlock()
	select {
	case c.outbound <- struct{}{}:
	default:
		c.do(func() { c.node.ExchangeFailed(c.clock.Now(), with) })
		return
	}
	c.tasks.Go(func() error {
		defer func() { <-c.outbound }()
		err := c.compare(with, raw)
		c.streamed(err)
		if err != nil {
			c.do(func() { c.node.ExchangeFailed(c.clock.Now(), with) })
		}
		return nil
	})
}

// compare is the side that asks.
func (c *Carrier) compare(with netip.AddrPort, digest []byte) error {
	dialer := net.Dialer{Timeout: dialTime, KeepAlive: -1}
	conn, err := dialer.Dial("tcp", with.String())
	if err != nil {
		return err
	}
	defer conn.Close()
	l, err := c.greet(conn, true)
	if err != nil {
		return err
	}
	if err := l.write(digest); err != nil {
		return err
	}
	raw, err := l.read()
	if err != nil {
		return err
	}
	items, err := c.decode(raw)
	if err != nil {
		return err
	}
	give, err := ask(c, func() *gossip.Items { return c.node.Exchanged(c.clock.Now(), items) })
	if err != nil {
		return err
	}
	if give == nil {
		return l.write(nil)
	}
	return l.write(c.encode(give))
}
