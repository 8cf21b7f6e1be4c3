package emulator

import (
	"math"
	"time"
)

// loop is the virtual clock: what is due is done in the order of its time, and of two things at one time the one planned
// first. Nothing else moves time, so a run is the same on any machine.
type eventLoop struct {
	now          time.Duration
	lastSequence uint64
	heap         []scheduledEvent // each before its four children
	steps        int64
}

type scheduledEvent struct {
	at       time.Duration
	sequence uint64
	do       func()
}

func (e *scheduledEvent) before(o *scheduledEvent) bool {
	return e.at < o.at || e.at == o.at && e.sequence < o.sequence
}

// at plans something for a time, which is now at the earliest.
func (l *eventLoop) at(at time.Duration, do func()) {
	l.lastSequence++
	e := scheduledEvent{max(at, l.now), l.lastSequence, do}
	i := len(l.heap)
	l.heap = append(l.heap, e)
	for i > 0 {
		up := (i - 1) / 4
		if !e.before(&l.heap[up]) {
			break
		}
		l.heap[i] = l.heap[up]
		i = up
	}
	l.heap[i] = e
}

// after plans something for a span from now.
func (l *eventLoop) after(span time.Duration, do func()) { l.at(l.now+span, do) }

// run does what is due until a time; false when nothing is left to do.
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

// draw is a number from 0 to 1 that depends on its arguments alone: what chance brings to an op is the same whatever the
// gateways do, so that arms can be compared op by op. It mixes as splitmix64 does.
func draw(seed uint64, parts ...uint64) float64 {
	x := seed
	for _, p := range parts {
		x = mix(x ^ mix(p+0x9e3779b97f4a7c15))
	}
	return (float64(mix(x)>>11) + 0.5) / (1 << 53)
}

func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// exponential turns a draw into one of mean 1.
func exponential(u float64) float64 { return -math.Log(1 - u) }

// lognormal turns a draw into one of mean 1 and the given standard deviation.
func lognormal(u, deviation float64) float64 {
	if deviation <= 0 {
		return 1
	}
	variance := math.Log1p(deviation * deviation)
	return math.Exp(math.Sqrt(2*variance)*math.Erfinv(2*u-1) - variance/2)
}

// Draw is what an op asks of a core of speed 1, and one send of it, as the same op of the same seed would in a run. Stand-ins
// on sockets draw it too, so that a day on sockets can be laid beside one in virtual time.
func (o *OpType) Draw(seed, op uint64, try, send int) time.Duration {
	u := draw(seed, 0x3043, op)
	work := float64(o.Work) * lognormal(u, o.Vary)
	if o.Exp {
		work = float64(o.Work) * exponential(u)
	}
	return time.Duration(work * lognormal(draw(seed, 0xa77e, op, uint64(try), uint64(send)), o.Noise))
}

// Chance is a number from 0 to 1 that depends on its arguments alone.
func Chance(seed uint64, parts ...uint64) float64 { return draw(seed, parts...) }

// Exponential turns a chance into a number of mean 1.
func Exponential(u float64) float64 { return exponential(u) }

// Lognormal turns a chance into a number of mean 1 and the given standard deviation.
func Lognormal(u, deviation float64) float64 { return lognormal(u, deviation) }
