package emulator

import (
	"math"
	"time"
)

// eventLoop is the virtual clock. It handles scheduled events in the order of their times, and events of the same time
// in the order in which they were scheduled. Nothing else advances the time, so a run is the same on any machine.
type eventLoop struct {
	now          time.Duration
	lastSequence uint64           // number of the event scheduled last
	heap         []scheduledEvent // four-ary heap: each event comes before its children
	steps        int64            // number of events handled
}

// scheduledEvent is a function that is to be called at a time.
type scheduledEvent struct {
	at       time.Duration
	sequence uint64 // number of the event in the order of scheduling
	do       func()
}

func (e *scheduledEvent) before(o *scheduledEvent) bool {
	return e.at < o.at || e.at == o.at && e.sequence < o.sequence
}

// at schedules a call of do for a time, or for now if that has passed.
func (l *eventLoop) at(at time.Duration, do func()) {
	l.lastSequence++
	e := scheduledEvent{max(at, l.now), l.lastSequence, do}
	i := len(l.heap)
	l.heap = append(l.heap, e)
	for i > 0 {
		parent := (i - 1) / 4
		if !e.before(&l.heap[parent]) {
			break
		}
		l.heap[i] = l.heap[parent]
		i = parent
	}
	l.heap[i] = e
}

// after schedules a call of do for some time from now.
func (l *eventLoop) after(delay time.Duration, do func()) { l.at(l.now+delay, do) }

// runUntil handles the events up to a time. It returns false if no later event is scheduled.
func (l *eventLoop) runUntil(until time.Duration) bool {
	for len(l.heap) > 0 {
		if l.heap[0].at > until {
			l.now = until
			return true
		}
		e := l.heap[0]
		l.pop()
		l.now = e.at
		l.steps++
		e.do()
	}
	return false
}

// pop removes the first event from the heap.
func (l *eventLoop) pop() {
	last := len(l.heap) - 1
	e := l.heap[last]
	l.heap[last] = scheduledEvent{}
	l.heap = l.heap[:last]
	if last == 0 {
		return
	}
	i := 0
	for {
		first := 4*i + 1
		if first >= last {
			break
		}
		least := first
		for c := first + 1; c < min(first+4, last); c++ {
			if l.heap[c].before(&l.heap[least]) {
				least = c
			}
		}
		if !l.heap[least].before(&e) {
			break
		}
		l.heap[i] = l.heap[least]
		i = least
	}
	l.heap[i] = e
}

// draw returns a number between 0 and 1 that depends on its arguments alone. The random numbers of an op are therefore
// the same whatever the gateways do, and arms can be compared op by op. It mixes the arguments as splitmix64 does.
func draw(seed uint64, parts ...uint64) float64 {
	x := seed
	for _, p := range parts {
		x = mix(x ^ mix(p+0x9e3779b97f4a7c15))
	}
	return (float64(mix(x)>>11) + 0.5) / (1 << 53)
}

// mix is the mixing function of splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// exponential converts a uniform number from 0 to 1 to an exponentially distributed one of mean 1.
func exponential(u float64) float64 { return -math.Log(1 - u) }

// lognormal converts a uniform number from 0 to 1 to a lognormally distributed one of mean 1 and the given standard
// deviation.
func lognormal(u, deviation float64) float64 {
	if deviation <= 0 {
		return 1
	}
	variance := math.Log1p(deviation * deviation)
	return math.Exp(math.Sqrt(2*variance)*math.Erfinv(2*u-1) - variance/2)
}

// DrawWork returns the work of one send of an op, drawn from the same distributions as in a run, so that servers that
// emulate work on real sockets can be compared with simulated ones. It depends on the op type and the arguments alone.
func (o *OpType) DrawWork(seed, op uint64, try, send int) time.Duration {
	u := draw(seed, 0x3043, op)
	work := float64(o.Work) * lognormal(u, o.Vary)
	if o.Exp {
		work = float64(o.Work) * exponential(u)
	}
	return time.Duration(work * lognormal(draw(seed, 0xa77e, op, uint64(try), uint64(send)), o.Noise))
}

// Uniform returns a number between 0 and 1 that depends on its arguments alone.
func Uniform(seed uint64, parts ...uint64) float64 { return draw(seed, parts...) }

// Exponential converts a uniform number from 0 to 1 to an exponentially distributed one of mean 1.
func Exponential(u float64) float64 { return exponential(u) }

// Lognormal converts a uniform number from 0 to 1 to a lognormally distributed one of mean 1 and the given standard
// deviation.
func Lognormal(u, deviation float64) float64 { return lognormal(u, deviation) }
