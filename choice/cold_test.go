package choice

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// fleetGateway is one of many gateways that share the same servers.
type fleetGateway struct {
	recordingHost
	gateway  *Gateway
	rate     float64 // ops per second that come in
	nextOpAt time.Duration
	lastOpID uint32
	pending  []pendingAnswer
}

// pendingAnswer is an open send or probe, and its answer to come.
type pendingAnswer struct {
	at     time.Duration // when the answer arrives, 0 before the server has received the send or probe
	op     uint32
	number uint8 // of the send
	server uint32
	probe  bool
	result Result
	sentAt time.Duration
}

func (m *fleetGateway) Send(op, server uint32, _ time.Duration) {
	m.pending = append(m.pending, pendingAnswer{server: server, op: op, number: uint8(m.gateway.ops[op].sends - 1)})
}
func (m *fleetGateway) Probe(server uint32) {
	m.pending = append(m.pending, pendingAnswer{server: server, probe: true})
}

// worstColdExcess simulates gateways of unequal traffic that share three replicas of one group and the only server of
// another. That server restarts, and the gateways learn of it from the list after listDelay. The result compares the
// sends of all gateways to the server, in any window of the overload time from then on, with the stated multiple of
// what it can do in that window. It is the greatest excess, relative to two standard deviations of the number of sends
// plus two sends, or -1 if there were no sends.
func worstColdExcess(gateways int, totalRate float64, listDelay time.Duration, seed uint64) (worst float64) {
	const (
		answerTime = 40 * ms
		restart    = 20 * time.Second
		cold       = 4
	)
	d := &Deployment{Gateways: gateways, EventInterval: ms, AnswersCarryPosition: true, MayProbe: true, MaxSends: 4, ColdFrom: 0.2,
		ColdTime: 12 * time.Second, OverloadFactor: 3, OverloadTime: 3 * time.Second,
		OpTypes: []OpType{{Effect: Retryable, Need: Any, Target: 400 * ms, Timeout: 2 * time.Second, Value: 1}}}
	rng := rand.New(rand.NewPCG(seed, 1))
	var fleet []*fleetGateway
	rateSum := 0.0
	for i := range gateways {
		m := &fleetGateway{rate: math.Exp(rng.NormFloat64())}
		rateSum += m.rate
		own := *d
		own.Seed = seed<<16 + uint64(i)
		m.gateway = New(m, &own)
		m.gateway.List(0, ListCached, []Listed{{ID: 1, State: Ready, Started: LongPast},
			{ID: 2, State: Ready, Started: LongPast}, {ID: 3, State: Ready, Started: LongPast},
			{ID: cold, State: Ready, Group: 1, Started: LongPast}})
		fleet = append(fleet, m)
	}
	for _, m := range fleet {
		m.rate *= totalRate / rateSum
	}
	var sent []time.Duration
	freeAt := time.Duration(0)
	for now := ms; now < restart+d.ColdTime+listDelay; now += ms {
		for _, m := range fleet {
			if now == restart+listDelay {
				m.gateway.List(now, ListChanges, []Listed{{ID: cold, State: Ready, Group: 1, Started: restart}})
			}
			m.gateway.Timer(now, 0)
			surge := 0
			if now > restart {
				surge = 2
			}
			for ; m.nextOpAt <= now; m.nextOpAt += time.Duration(rng.ExpFloat64() / m.rate * float64(time.Second) * 4 / float64(4+surge)) {
				m.lastOpID++
				m.gateway.Op(now, Arrival{ID: m.lastOpID, ClientLeavesAt: now + 2*time.Second,
					Group: min(1, uint16(rng.IntN(4+surge)/3))})
			}
			for i := 0; i < len(m.pending); i++ {
				a := &m.pending[i]
				switch {
				case a.at == 0 && a.probe:
					a.at = now + ms
				case a.at == 0:
					a.sentAt = now
					a.at = now + time.Duration(float64(answerTime)*(0.5+rng.Float64()))
					if a.server != cold || now < restart {
						break
					}
					if now >= restart+listDelay {
						sent = append(sent, now)
					}
					capacity := totalRate / 4 * min(1, d.ColdFrom+(1-d.ColdFrom)*float64(now-restart)/float64(d.ColdTime))
					if freeAt = max(freeAt, now); freeAt-now > time.Second {
						a.at, a.result = now+ms, ServerFull
					} else {
						freeAt += time.Duration(float64(time.Second) / capacity)
						a.at = freeAt + answerTime
					}
				}
			}
			for i := 0; i < len(m.pending); {
				a := m.pending[i]
				if a.at > now {
					i++
					continue
				}
				m.pending = append(m.pending[:i], m.pending[i+1:]...)
				if a.probe {
					m.gateway.ProbeAnswer(now, a.server, Acked, ms)
				} else {
					m.gateway.Answer(now, a.op, a.number, a.server, a.result, now-a.sentAt, a.result == Acked, Replica, now)
				}
			}
		}
	}
	worst = -1
	// Before the restart each server was sent a quarter of all ops, which is what each can do.
	for i, at := range sent {
		n := 0
		for n < len(sent)-i && sent[i+n] < at+d.OverloadTime {
			n++
		}
		share := min(1, d.ColdFrom+(1-d.ColdFrom)*float64(at-restart)/float64(d.ColdTime))
		budget := d.OverloadFactor * share * totalRate / 4 * d.OverloadTime.Seconds()
		worst = max(worst, (float64(n)-budget)/(2*math.Sqrt(budget)+2))
	}
	return worst
}

// All gateways together must keep within a cold server's budget, also from the moment that they learn of its restart,
// with three times the usual load on its group. They may exceed it by only a quarter of what random variation may add,
// as real work is uneven too.
func TestColdLimitHoldsForSumOfAllGateways(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		for _, c := range []struct {
			gateways  int
			totalRate float64
			listDelay time.Duration
		}{{20, 20, 0}, {30, 20, time.Second}, {30, 100, 0}} {
			if worst := worstColdExcess(c.gateways, c.totalRate, c.listDelay, seed); worst > 0.25 {
				t.Errorf("%+v, seed %d: got an excess of %.2f of the random variation, want at most 0.25", c, seed, worst)
			}
		}
	}
}
