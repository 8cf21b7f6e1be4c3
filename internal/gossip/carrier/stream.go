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

// Streams synchronise the tables of two instances. The opener sends a hello with a nonce and its certificate. The
// other side answers with its own hello and a frame that repeats both. Each frame has a tag over its number and its
// content, under a key derived from the shared secret and both nonces, so that neither an earlier stream nor one of
// other instances can be replayed.
const (
	streamTimeout = 3 * time.Second // for a whole stream, and for the node to answer
	dialTimeout   = time.Second
	maxFrameSize  = 96 << 10 // bytes
	nonceSize     = 16       // bytes
	helloPrefix   = "gw\x01s"
)

var errFrameTooLarge = errors.New("frame is larger than 96 KiB")

// stream is a connection whose two ends have authenticated each other.
type stream struct {
	net.Conn
	reader *bufio.Reader
	mac    *wire.StreamMAC
	peer   *wire.Peer
}

// encodeHello returns the first message of either side: the prefix, the cluster, the nonce and the certificate with
// its length.
func encodeHello(cluster uint32, nonce, cert []byte) []byte {
	b := append([]byte(helloPrefix), 0, 0, 0, 0)
	binary.BigEndian.PutUint32(b[4:], cluster)
	b = append(b, nonce...)
	return append(append(b, byte(len(cert))), cert...)
}

// readHello reads the peer's hello. It returns its nonce, its certificate and all of its bytes.
func readHello(r io.Reader, cluster uint32) (nonce, cert, hello []byte, err error) {
	hello = make([]byte, 8+nonceSize+1)
	if _, err = io.ReadFull(r, hello); err != nil {
		return nil, nil, nil, err
	}
	if string(hello[:4]) != helloPrefix {
		return nil, nil, nil, wire.ErrMalformed
	}
	if binary.BigEndian.Uint32(hello[4:]) != cluster {
		return nil, nil, nil, wire.ErrCluster
	}
	cert = make([]byte, hello[len(hello)-1])
	if _, err = io.ReadFull(r, cert); err != nil {
		return nil, nil, nil, err
	}
	return hello[8 : 8+nonceSize], cert, append(hello, cert...), nil
}

// handshake authenticates both ends to each other. The opener sends its hello first.
func (c *Carrier) handshake(conn net.Conn, opener bool) (*stream, error) {
	conn.SetDeadline(time.Now().Add(streamTimeout))
	nonce := make([]byte, nonceSize)
	rand.Read(nonce)
	reader := bufio.NewReaderSize(conn, 4<<10)
	c.codecMu.Lock()
	cluster, cert := c.codec.ClusterHash(), c.codec.Certificate()
	c.codecMu.Unlock()
	ownHello := encodeHello(cluster, nonce, cert)
	if opener {
		if _, err := conn.Write(ownHello); err != nil {
			return nil, err
		}
	}
	peerNonce, peerCert, peerHello, err := readHello(reader, cluster)
	if err != nil {
		return nil, err
	}
	c.codecMu.Lock()
	peer, err := c.codec.VerifyPeer(peerCert)
	var mac *wire.StreamMAC
	if err == nil && opener {
		mac = c.codec.NewStreamMAC(peer, nonce, peerNonce, true)
	} else if err == nil {
		mac = c.codec.NewStreamMAC(peer, peerNonce, nonce, false)
	}
	c.codecMu.Unlock()
	if err != nil {
		return nil, err
	}
	s := &stream{conn, reader, mac, peer}
	hellos := append(append([]byte(nil), ownHello...), peerHello...)
	if !opener {
		hellos = append(append([]byte(nil), peerHello...), ownHello...)
		if _, err := conn.Write(ownHello); err != nil {
			return nil, err
		}
		return s, s.writeFrame(hellos) // both hellos with a valid tag: proof that this side holds its key
	}
	got, err := s.readFrame()
	if err == nil && string(got) != string(hellos) {
		err = wire.ErrTag
	}
	return s, err
}

// writeFrame sends a frame: length, content and tag.
func (s *stream) writeFrame(b []byte) error {
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(b)+wire.TagSize), uint32(len(b)))
	frame = append(frame, b...)
	frame = append(frame, s.mac.Tag(b)...)
	_, err := s.Write(frame)
	return err
}

// readFrame reads a frame and verifies its tag.
func (s *stream) readFrame() ([]byte, error) {
	var length [4]byte
	if _, err := io.ReadFull(s.reader, length[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(length[:])
	if n > maxFrameSize {
		return nil, errFrameTooLarge
	}
	b := make([]byte, n+wire.TagSize)
	if _, err := io.ReadFull(s.reader, b); err != nil {
		return nil, err
	}
	if !s.mac.Verify(b[:n], b[n:]) {
		return nil, wire.ErrTag
	}
	return b[:n], nil
}

// acceptStreams accepts and serves streams. Connections beyond the limit of open streams are closed at once.
func (c *Carrier) acceptStreams(ctx context.Context) error {
	for {
		conn, err := c.tcp.AcceptTCP()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			select { // for example out of file descriptors
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

// countStream counts a finished stream, and its cause if it failed verification.
func (c *Carrier) countStream(err error) {
	c.counts.Streams.Add(1)
	if err == nil {
		return
	}
	c.counts.StreamsFailed.Add(1)
	for _, cause := range []error{wire.ErrMalformed, wire.ErrCluster, wire.ErrUnknownKey, wire.ErrTag, wire.ErrSignature,
		wire.ErrExpired, wire.ErrUnknownAuthority} {
		if errors.Is(err, cause) {
			c.countDropped(err)
		}
	}
}

// serveStream answers a stream that a peer has opened.
func (c *Carrier) serveStream(conn *net.TCPConn) error {
	s, err := c.handshake(conn, false)
	if err != nil {
		return err
	}
	raw, err := s.readFrame()
	if err != nil {
		return err
	}
	c.codecMu.Lock()
	d, err := c.codec.DecodeDigest(raw, s.peer)
	c.codecMu.Unlock()
	if err != nil {
		return err
	}
	remote := conn.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
	reply, err := callNode(c, func() *gossip.Items {
		// A peer that does not know its own address yet is reachable at the one it connects from.
		if a := d.Own.Addr; a.Addr().IsUnspecified() {
			d.Own.Addr = netip.AddrPortFrom(remote, a.Port())
		}
		return c.node.ExchangeRequested(c.clock.Now(), d, remote)
	})
	if err != nil {
		return err
	}
	if err := s.writeFrame(c.encodeItems(reply)); err != nil {
		return err
	}
	raw, err = s.readFrame()
	if err != nil || len(raw) == 0 {
		return err
	}
	items, err := c.decodeItems(raw)
	if err == nil {
		c.enqueue(func() { c.node.ExchangeCompleted(c.clock.Now(), items) })
	}
	return err
}

var errNodeUnavailable = errors.New("gossip node is stopped or did not answer in time")

// callNode runs a function on the goroutine that owns the node and returns its result. It fails if the queue is full,
// the node has stopped, or there is no result within streamTimeout.
func callNode[T any](c *Carrier, f func() T) (T, error) {
	result := make(chan T, 1)
	var zero T
	if !c.enqueue(func() { result <- f() }) {
		return zero, errNodeUnavailable
	}
	select {
	case v := <-result:
		return v, nil
	case <-c.stopped:
		return zero, errNodeUnavailable
	case <-time.After(streamTimeout):
		return zero, errNodeUnavailable
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
	return c.codec.DecodeItems(raw, c.countDropped)
}

// Exchange opens a stream to an instance and synchronises with it. It reports failure at once if too many streams are
// open.
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

// syncWith opens a stream and runs the opener's side of the exchange.
func (c *Carrier) syncWith(with netip.AddrPort, digest []byte) error {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	conn, err := dialer.Dial("tcp", with.String())
	if err != nil {
		return err
	}
	defer conn.Close()
	s, err := c.handshake(conn, true)
	if err != nil {
		return err
	}
	if err := s.writeFrame(digest); err != nil {
		return err
	}
	raw, err := s.readFrame()
	if err != nil {
		return err
	}
	items, err := c.decodeItems(raw)
	if err != nil {
		return err
	}
	reply, err := callNode(c, func() *gossip.Items { return c.node.ExchangeAnswered(c.clock.Now(), items) })
	if err != nil {
		return err
	}
	if reply == nil {
		return s.writeFrame(nil)
	}
	return s.writeFrame(c.encodeItems(reply))
}
