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

// receiveBatchSize is how many datagrams one call to the system brings: under a flood the calls cost most.
const receiveBatchSize = 32

// What looking at a datagram costs of the budget, in parts of what a good one does. The most is spent on those of whom a
// certificate is to be proved.
const (
	costValid      = 1.0
	costNewPeer    = 20.0
	costInvalidTag = 1. / 30 // a tag that does not fit
	costReject     = 1. / 60 // turned away by its first bytes
	retryDelay     = 20 * time.Millisecond
	budgetBurst    = 500 * time.Millisecond // of the budget may be spent at once
)

// budget lets only so much of this instance's time go into datagrams, whoever sends them.
type budget struct {
	perSecond, remaining float64
	refilledAt           time.Duration
}

// refill adds what time has brought.
func (b *budget) refill(now time.Duration) {
	b.remaining = min(b.perSecond*budgetBurst.Seconds(), b.remaining+b.perSecond*(now-b.refilledAt).Seconds())
	b.refilledAt = now
}

// batchReader is what the two versions of IP have in common.
type batchReader interface {
	ReadBatch(ms []ipv4.Message, flags int) (int, error)
}

// receiveDatagrams reads datagrams until the context ends. When the budget is spent it leaves them to the socket, which drops what it
// has no room for, at no cost to the ops beside.
func (c *Carrier) receiveDatagrams(ctx context.Context) error {
	var conn batchReader = ipv4.NewPacketConn(c.udp)
	if c.udp.LocalAddr().(*net.UDPAddr).IP.To4() == nil {
		conn = ipv6.NewPacketConn(c.udp)
	}
	c.udp.SetReadBuffer(256 << 10)
	most := int(c.settings.Limits.Datagram) + 1
	messages := make([]ipv4.Message, receiveBatchSize)
	buffers := make([]byte, receiveBatchSize*most)
	for i := range messages {
		messages[i].Buffers = [][]byte{buffers[i*most : (i+1)*most]}
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
			// An earlier send's refusal comes back here on some systems; reading goes on, but never in a tight loop.
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
			if size >= most {
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

// openDatagram proves one datagram and hands it to the node; it returns what that cost of the budget.
func (c *Carrier) openDatagram(d []byte, left float64) (cost float64) {
	c.codecMu.Lock()
	meets := c.codec.Meets(d)
	if meets && left < c.newPeerReserve() {
		c.codecMu.Unlock()
		c.counts.Budget.Add(1)
		return costReject
	}
	got, err := c.codec.Open(d, c.countDropped)
	c.codecMu.Unlock()
	if err != nil {
		c.countDropped(err)
		switch {
		case meets:
			return costNewPeer
		case errors.Is(err, wire.ErrTag):
			return costInvalidTag
		case errors.Is(err, wire.ErrSignature):
			return costValid
		}
		return costReject
	}
	c.enqueue(func() { c.node.Received(c.clock.Now(), got) })
	if meets {
		return costNewPeer
	}
	return costValid + float64(len(got.Message.Claims)+len(got.Message.Rumours))/4
}

// newPeerReserve is what must be left for a stranger to be looked at: members come first.
func (c *Carrier) newPeerReserve() float64 {
	return float64(c.settings.Limits.ReceivedPerSecond) * budgetBurst.Seconds() / 2
}

// countDropped counts what was not taken, by cause.
func (c *Carrier) countDropped(err error) {
	n := &c.counts
	switch {
	case errors.Is(err, wire.ErrVersion):
		n.Version.Add(1)
	case errors.Is(err, wire.ErrCluster):
		n.Cluster.Add(1)
	case errors.Is(err, wire.ErrStranger):
		n.Stranger.Add(1)
	case errors.Is(err, wire.ErrTag):
		n.Tag.Add(1)
	case errors.Is(err, wire.ErrSignature):
		n.Signature.Add(1)
	case errors.Is(err, wire.ErrExpired):
		n.Expired.Add(1)
	case errors.Is(err, wire.ErrAuthority):
		n.Authority.Add(1)
	default:
		n.Form.Add(1)
	}
}

var _ gossip.Host = (*Carrier)(nil)
