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
	for0, against := fade(m.confirmed, now-m.creditUpdatedAt, fadeTime), fade(m.contradicted, now-m.creditUpdatedAt, fadeTime)
	return (priorFor + for0) / (priorFor + priorAgainst + for0 + contradiction*against)
}

func (m *member) decayCredit(now time.Duration) {
	m.confirmed, m.contradicted = fade(m.confirmed, now-m.creditUpdatedAt, fadeTime), fade(m.contradicted, now-m.creditUpdatedAt, fadeTime)
	m.creditUpdatedAt = now
}

// addConfirmed notes that this instance has seen what a member said.
func (m *member) addConfirmed(now time.Duration, by float64) {
	m.decayCredit(now)
	m.confirmed = min(mostCredit, m.confirmed+by)
}

// addContradicted notes that this instance has seen otherwise.
func (m *member) addContradicted(now time.Duration, by float64) {
	m.decayCredit(now)
	m.contradicted += by
}
