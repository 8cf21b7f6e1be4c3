package choice

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// fleetGateway is one gateway of many before the same servers.
type fleetGateway struct {
	recordingHost
	gateway  *Gateway
	rate     float64 // of the ops that come in
	nextOpAt time.Duration
	lastOpID uint32
	pending  []pendingAnswer
}

// pendingAnswer is an answer that is to come.
type pendingAnswer struct {
	at     time.Duration
	op     uint32
	number uint8
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

// worstColdExcess plays gateways of unequal traffic before three replicas of one group and one of another, which starts again, of which
// they are told late. It gives the most by which the sends of all to that one, from then on and in any window of the stated time,
// lie above the stated multiple of what it can do, as a part of what may be put down to chance. -1 where they never do.
func worstColdExcess(gateways int, total float64, told time.Duration, seed uint64) (worst float64) {
	const (
		work  = 40 * ms
		start = 20 * time.Second
		cold  = 4
	)
	d := &Deployment{Gateways: gateways, Round: ms, TellsPosition: true, Probes: true, MaxSends: 4, ColdFrom: 0.2,
		ColdTime: 12 * time.Second, OverloadFactor: 3, OverloadTime: 3 * time.Second,
		OpTypes: []OpType{{Effect: Retryable, Need: Any, Target: 400 * ms, Timeout: 2 * time.Second, Value: 1}}}
	rng := rand.New(rand.NewPCG(seed, 1))
	var fleet []*fleetGateway
	sum := 0.0
	for i := range gateways {
		m := &fleetGateway{rate: math.Exp(rng.NormFloat64())}
		sum += m.rate
		dd := *d
		dd.Seed = seed<<16 + uint64(i)
		m.gateway = New(m, &dd)
		m.gateway.List(0, ListCached, []Listed{{ID: 1, State: Ready, Started: LongPast}, {ID: 2, State: Ready, Started: LongPast},
			{ID: 3, State: Ready, Started: LongPast}, {ID: cold, State: Ready, Group: 1, Started: LongPast}})
		fleet = append(fleet, m)
	}
	for _, m := range fleet {
		m.rate *= total / sum
	}
	var sent []time.Duration
	free := time.Duration(0)
	for now := ms; now < start+d.ColdTime+told; now += ms {
		for _, m := range fleet {
			if now == start+told {
				m.gateway.List(now, ListChanges, []Listed{{ID: cold, State: Ready, Group: 1, Started: start}})
			}
			m.gateway.Timer(now, 0)
			surge := 0
			if now > start {
				surge = 2
			}
			for ; m.nextOpAt <= now; m.nextOpAt += time.Duration(rng.ExpFloat64() / m.rate * float64(time.Second) * 4 / float64(4+surge)) {
				m.lastOpID++
				m.gateway.Op(now, m.lastOpID, 0, 0, now+2*time.Second, min(1, uint16(rng.IntN(4+surge)/3)), 0, false)
			}
			for i := 0; i < len(m.pending); i++ {
				a := &m.pending[i]
				switch {
				case a.at == 0 && a.probe:
					a.at = now + ms
				case a.at == 0:
					a.sentAt = now
					a.at = now + time.Duration(float64(work)*(0.5+rng.Float64()))
					if a.server != cold || now < start {
						break
					}
					if now >= start+told {
						sent = append(sent, now)
					}
					can := total / 4 * min(1, d.ColdFrom+(1-d.ColdFrom)*float64(now-start)/float64(d.ColdTime))
					if free = max(free, now); free-now > time.Second {
						a.at, a.result = now+ms, ServerFull
					} else {
						free += time.Duration(float64(time.Second) / can)
						a.at = free + work
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
	// Before its start each server was sent a quarter of all, which is what each can do.
	for i, at := range sent {
		n := 0
		for n < len(sent)-i && sent[i+n] < at+d.OverloadTime {
			n++
		}
		ramp := min(1, d.ColdFrom+(1-d.ColdFrom)*float64(at-start)/float64(d.ColdTime))
		budget := d.OverloadFactor * ramp * total / 4 * d.OverloadTime.Seconds()
		worst = max(worst, (float64(n)-budget)/(2*math.Sqrt(budget)+2))
	}
	return worst
}

// All gateways together keep a cold server's budget, also from the moment that they are told of it, with three times the usual
// load of its group before it. A quarter of what chance may add is all that they use, as real work is uneven too.
func TestColdLimitHoldsForSumOfAllGateways(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		for _, c := range []struct {
			gateways int
			total    float64
			told     time.Duration
		}{{20, 20, 0}, {30, 20, time.Second}, {30, 100, 0}} {
			if worst := worstColdExcess(c.gateways, c.total, c.told, seed); worst > 0.25 {
				t.Errorf("%+v, seed %d: over the budget by %.2f of what chance may add", c, seed, worst)
			}
		}
	}
}
