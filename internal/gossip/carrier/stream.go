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
	streamTimeout = 3 * time.Second
	dialTimeout   = time.Second
	maxFrameSize  = 96 << 10
	nonceSize     = 16
	helloPrefix   = "gw\x01s"
)

var errFrameTooLarge = errors.New("a frame that does not fit")

// stream is a proved stream.
type stream struct {
	net.Conn
	reader *bufio.Reader
	mac    *wire.Session
	peer   *wire.Peer
}

func encodeHello(cluster uint32, nonce, cert []byte) []byte {
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

// handshake proves both ends to each other.
func (c *Carrier) handshake(conn net.Conn, first bool) (*stream, error) {
	conn.SetDeadline(time.Now().Add(streamTimeout))
	nonce := make([]byte, nonceSize)
	rand.Read(nonce)
	in := bufio.NewReaderSize(conn, 4<<10)
	c.codecMu.Lock()
	cluster, cert := c.codec.Cluster(), c.codec.Certificate()
	c.codecMu.Unlock()
	mine := encodeHello(cluster, nonce, cert)
	if first {
		if _, err := conn.Write(mine); err != nil {
			return nil, err
		}
	}
	theirNonce, theirCert, theirs, err := readHello(in, cluster)
	if err != nil {
		return nil, err
	}
	c.codecMu.Lock()
	peer, err := c.codec.Meet(theirCert)
	var s *wire.Session
	if err == nil && first {
		s = c.codec.Session(peer, nonce, theirNonce, true)
	} else if err == nil {
		s = c.codec.Session(peer, theirNonce, nonce, false)
	}
	c.codecMu.Unlock()
	if err != nil {
		return nil, err
	}
	l := &stream{conn, in, s, peer}
	said := append(append([]byte(nil), mine...), theirs...)
	if !first {
		said = append(append([]byte(nil), theirs...), mine...)
		if _, err := conn.Write(mine); err != nil {
			return nil, err
		}
		return l, l.writeFrame(said) // the hello of both, tagged: who answers holds its key
	}
	got, err := l.readFrame()
	if err == nil && string(got) != string(said) {
		err = wire.ErrTag
	}
	return l, err
}

// writeFrame sends one frame: its length, its bytes, its tag.
func (l *stream) writeFrame(b []byte) error {
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(b)+wire.TagSize), uint32(len(b)))
	frame = append(frame, b...)
	frame = append(frame, l.mac.Seal(b)...)
	_, err := l.Write(frame)
	return err
}

// readFrame takes one frame.
func (l *stream) readFrame() ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(l.reader, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > maxFrameSize {
		return nil, errFrameTooLarge
	}
	b := make([]byte, n+wire.TagSize)
	if _, err := io.ReadFull(l.reader, b); err != nil {
		return nil, err
	}
	if !l.mac.Fits(b[:n], b[n:]) {
		return nil, wire.ErrTag
	}
	return b[:n], nil
}

// acceptStreams takes streams. Beyond the most that may be open they are closed at once.
func (c *Carrier) acceptStreams(ctx context.Context) error {
	for {
		conn, err := c.tcp.AcceptTCP()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			select { // out of descriptors
			case <-ctx.Done():
				return nil
			case <-time.After(retryDelay):
			}
			continue
		}
		select {
		case c.inboundSlots <- struct{}{}:
		default:
			c.counts.StreamsFailed.Add(1)
			conn.Close()
			continue
		}
		c.tasks.Go(func() error {
			defer func() { <-c.inboundSlots }()
			stop := context.AfterFunc(ctx, func() { conn.Close() })
			defer stop()
			defer conn.Close()
			c.countStream(c.serveStream(conn))
			return nil
		})
	}
}

func (c *Carrier) countStream(err error) {
	c.counts.Streams.Add(1)
	if err == nil {
		return
	}
	c.counts.StreamsFailed.Add(1)
	for _, cause := range []error{wire.ErrForm, wire.ErrCluster, wire.ErrStranger, wire.ErrTag, wire.ErrSignature, wire.ErrExpired, wire.ErrAuthority} {
		if errors.Is(err, cause) {
			c.countDropped(err)
		}
	}
}

// serveStream serves one stream that another has opened.
func (c *Carrier) serveStream(conn *net.TCPConn) error {
	l, err := c.handshake(conn, false)
	if err != nil {
		return err
	}
	raw, err := l.readFrame()
	if err != nil {
		return err
	}
	c.codecMu.Lock()
	d, err := c.codec.Digest(raw, l.peer)
	c.codecMu.Unlock()
	if err != nil {
		return err
	}
	seen := conn.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
	reply, err := callNode(c, func() *gossip.Items {
		// Where it does not know its own address yet, the one that it came from will do until it does.
		if a := d.Own.Addr; a.Addr().IsUnspecified() {
			d.Own.Addr = netip.AddrPortFrom(seen, a.Port())
		}
		return c.node.Asked(c.clock.Now(), d, seen)
	})
	if err != nil {
		return err
	}
	if err := l.writeFrame(c.encodeItems(reply)); err != nil {
		return err
	}
	raw, err = l.readFrame()
	if err != nil || len(raw) == 0 {
		return err
	}
	given, err := c.decodeItems(raw)
	if err == nil {
		c.enqueue(func() { c.node.Given(c.clock.Now(), given) })
	}
	return err
}

var errBusy = errors.New("too busy")

// callNode has the owner of the node answer something.
func callNode[T any](c *Carrier, f func() T) (T, error) {
	got := make(chan T, 1)
	var none T
	if !c.enqueue(func() { got <- f() }) {
		return none, errBusy
	}
	select {
	case v := <-got:
		return v, nil
	case <-c.stopped:
		return none, errBusy
	case <-time.After(streamTimeout):
		return none, errBusy
	}
}

func (c *Carrier) encodeItems(i *gossip.Items) []byte {
	c.codecMu.Lock()
	defer c.codecMu.Unlock()
	return c.codec.EncodeItems(i)
}

func (c *Carrier) decodeItems(raw []byte) (*gossip.Items, error) {
	c.codecMu.Lock()
	defer c.codecMu.Unlock()
	return c.codec.Items(raw, c.countDropped)
}

// Exchange opens a stream to another. With too many open it has failed.
func (c *Carrier) Exchange(with netip.AddrPort, d *gossip.Digest) {
	c.codecMu.Lock()
	raw := c.codec.EncodeDigest(d)
	c.codecMu.Unlock()
	select {
	case c.outboundSlots <- struct{}{}:
	default:
		c.enqueue(func() { c.node.ExchangeFailed(c.clock.Now(), with) })
		return
	}
	c.tasks.Go(func() error {
		defer func() { <-c.outboundSlots }()
		err := c.syncWith(with, raw)
		c.countStream(err)
		if err != nil {
			c.enqueue(func() { c.node.ExchangeFailed(c.clock.Now(), with) })
		}
		return nil
	})
}

// syncWith is the side that asks.
func (c *Carrier) syncWith(with netip.AddrPort, digest []byte) error {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	conn, err := dialer.Dial("tcp", with.String())
	if err != nil {
		return err
	}
	defer conn.Close()
	l, err := c.handshake(conn, true)
	if err != nil {
		return err
	}
	if err := l.writeFrame(digest); err != nil {
		return err
	}
	raw, err := l.readFrame()
	if err != nil {
		return err
	}
	items, err := c.decodeItems(raw)
	if err != nil {
		return err
	}
	give, err := callNode(c, func() *gossip.Items { return c.node.Exchanged(c.clock.Now(), items) })
	if err != nil {
		return err
	}
	if give == nil {
		return l.writeFrame(nil)
	}
	return l.writeFrame(c.encodeItems(give))
}
