package carrier

import (
	"context"
	"errors"
	"net"
	"os"
	"time"

	"golang.org/x/net/ipv4"
	"golang.org/x/net/ipv6"

	"gorsewell/internal/gossip"
	"gorsewell/internal/gossip/wire"
)

// receiveBatchSize is the maximum number of datagrams read by one system call; under a flood the calls are the main
// cost.
const receiveBatchSize = 32

// Costs of handling a datagram, relative to a valid one, and other constants of receiving.
const (
	costValid      = 1.0
	costNewPeer    = 20.0                   // the sender's certificate has to be verified: the most expensive case
	costInvalidTag = 1. / 30                // the tag does not match
	costReject     = 1. / 60                // rejected by its header
	retryDelay     = 20 * time.Millisecond  // after an error of the socket, or when the budget is spent
	budgetBurst    = 500 * time.Millisecond // the budget of this time may be spent at once
)

// budget limits the processing time that datagrams take, whoever sends them. It is a token bucket in units of
// costValid.
type budget struct {
	perSecond  float64
	remaining  float64
	refilledAt time.Duration
}

// refill adds the budget for the time since the last refill, up to the burst limit.
func (b *budget) refill(now time.Duration) {
	b.remaining = min(b.perSecond*budgetBurst.Seconds(), b.remaining+b.perSecond*(now-b.refilledAt).Seconds())
	b.refilledAt = now
}

// batchReader is the method common to the packet connections of IPv4 and IPv6.
type batchReader interface {
	ReadBatch(ms []ipv4.Message, flags int) (int, error)
}

// receiveDatagrams reads datagrams until the context ends. When the budget is spent it stops reading for a while. The
// kernel then drops datagrams that exceed the socket's buffer, at no cost to the gateway's ops.
func (c *Carrier) receiveDatagrams(ctx context.Context) error {
	var conn batchReader = ipv4.NewPacketConn(c.udp)
	if c.udp.LocalAddr().(*net.UDPAddr).IP.To4() == nil {
		conn = ipv6.NewPacketConn(c.udp)
	}
	c.udp.SetReadBuffer(256 << 10)
	bufferSize := int(c.settings.Limits.Datagram) + 1 // one more byte, to detect oversized datagrams
	messages := make([]ipv4.Message, receiveBatchSize)
	buffers := make([]byte, receiveBatchSize*bufferSize)
	for i := range messages {
		messages[i].Buffers = [][]byte{buffers[i*bufferSize : (i+1)*bufferSize]}
	}
	b := budget{perSecond: float64(c.settings.Limits.ReceivedPerSecond), refilledAt: c.clock.Now()}
	b.remaining = b.perSecond * budgetBurst.Seconds()
	pause := time.NewTimer(time.Hour)
	for ctx.Err() == nil {
		n, err := conn.ReadBatch(messages, 0)
		if err != nil {
			switch {
			case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, net.ErrClosed):
				return nil
			}
			// Some systems report here that an earlier send was refused. Reading goes on after a delay, to avoid a
			// busy loop.
			pause.Reset(retryDelay)
			select {
			case <-ctx.Done():
			case <-pause.C:
			}
			continue
		}
		b.refill(c.clock.Now())
		for i := range messages[:n] {
			c.counts.Datagrams.Add(1)
			size := messages[i].N
			if size >= bufferSize {
				c.counts.Oversized.Add(1)
				b.remaining -= costReject
				continue
			}
			if b.remaining < 0 {
				c.counts.Budget.Add(1)
				continue
			}
			b.remaining -= c.openDatagram(messages[i].Buffers[0][:size], b.remaining)
		}
		if b.remaining < 0 {
			pause.Reset(retryDelay)
			select {
			case <-ctx.Done():
			case <-pause.C:
			}
		}
	}
	return nil
}

// openDatagram verifies a datagram and passes it to the node. It returns the cost, to be taken off the remaining
// budget.
func (c *Carrier) openDatagram(d []byte, remaining float64) (cost float64) {
	c.codecMu.Lock()
	newPeer := c.codec.HasUnknownCertificate(d)
	if newPeer && remaining < c.newPeerReserve() {
		c.codecMu.Unlock()
		c.counts.Budget.Add(1)
		return costReject
	}
	datagram, err := c.codec.Open(d, c.countDropped)
	c.codecMu.Unlock()
	if err != nil {
		c.countDropped(err)
		switch {
		case newPeer:
			return costNewPeer
		case errors.Is(err, wire.ErrTag):
			return costInvalidTag
		case errors.Is(err, wire.ErrSignature):
			return costValid
		}
		return costReject
	}
	c.enqueue(func() { c.node.Received(c.clock.Now(), datagram) })
	if newPeer {
		return costNewPeer
	}
	return costValid + float64(len(datagram.Message.Claims)+len(datagram.Message.Rumours))/4
}

// newPeerReserve is the remaining budget needed to verify an unknown sender's certificate. It reserves half of the
// burst for known members.
func (c *Carrier) newPeerReserve() float64 {
	return float64(c.settings.Limits.ReceivedPerSecond) * budgetBurst.Seconds() / 2
}

// countDropped counts a dropped message or item by its cause.
func (c *Carrier) countDropped(err error) {
	n := &c.counts
	switch {
	case errors.Is(err, wire.ErrVersion):
		n.Version.Add(1)
	case errors.Is(err, wire.ErrCluster):
		n.Cluster.Add(1)
	case errors.Is(err, wire.ErrUnknownKey):
		n.Stranger.Add(1)
	case errors.Is(err, wire.ErrTag):
		n.Tag.Add(1)
	case errors.Is(err, wire.ErrSignature):
		n.Signature.Add(1)
	case errors.Is(err, wire.ErrExpired):
		n.Expired.Add(1)
	case errors.Is(err, wire.ErrUnknownAuthority):
		n.Authority.Add(1)
	default:
		n.Form.Add(1)
	}
}

var _ gossip.Host = (*Carrier)(nil)
