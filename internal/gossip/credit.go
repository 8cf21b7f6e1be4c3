package gossip

import (
	"math"
	"time"
)

// How an observer's word is weighed: as with a coin of which one has seen some throws, beginning at one in three, a
// contradiction counting for three confirmations. It fades towards the beginning, so that a liar recovers, slowly.
const (
	priorFor      = 1.0
	priorAgainst  = 2.0
	contradiction = 3.0
	mostCredit    = 12.0 // confirmations that are counted, so that old merit does not cover a liar for long
	fadeTime      = 5 * time.Minute
)

func fade(x float64, over, time time.Duration) float64 {
	if x == 0 || over <= 0 {
		return x
	}
	return x * math.Exp(-float64(over)/float64(time))
}

// credit is the weight of a member's word on servers at this instance, from 0 to 1.
func (m *member) credit(now time.Duration) float64 {
	for0, against := fade(m.borne, now-m.creditAt, fadeTime), fade(m.contradicted, now-m.creditAt, fadeTime)
	return (priorFor + for0) / (priorFor + priorAgainst + for0 + contradiction*against)
}

func (m *member) faded(now time.Duration) {
	m.borne, m.contradicted = fade(m.borne, now-m.creditAt, fadeTime), fade(m.contradicted, now-m.creditAt, fadeTime)
	m.creditAt = now
}

// credited notes that this instance has seen what a member said.
func (m *member) credited(now time.Duration, by float64) {
	m.faded(now)
	m.borne = min(mostCredit, m.borne+by)
}

// against notes that this instance has seen otherwise.
func (m *member) against(now time.Duration, by float64) {
	m.faded(now)
	m.contradicted += by
}
