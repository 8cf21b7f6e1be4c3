package gossip

import (
	"math"
	"time"
)

// How an observer's word is weighed: as with a coin of which one has seen some throws, beginning at one in three, a
// contradiction counting for three confirmations. It fades towards the beginning, so that a liar recovers, slowly.
const (
	priorConfirmations  = 1.0
	priorContradictions = 2.0
	contradictionWeight = 3.0
	maxConfirmations    = 12.0 // confirmations that are counted, so that old merit does not cover a liar for long
	creditDecayTime     = 5 * time.Minute
)

func decay(x float64, over, time time.Duration) float64 {
	if x == 0 || over <= 0 {
		return x
	}
	return x * math.Exp(-float64(over)/float64(time))
}

// credit is the weight of a member's word on servers at this instance, from 0 to 1.
func (m *member) credit(now time.Duration) float64 {
	for0, against := decay(m.confirmed, now-m.creditUpdatedAt, creditDecayTime), decay(m.contradicted, now-m.creditUpdatedAt, creditDecayTime)
	return (priorConfirmations + for0) / (priorConfirmations + priorContradictions + for0 + contradictionWeight*against)
}

func (m *member) decayCredit(now time.Duration) {
	m.confirmed, m.contradicted = decay(m.confirmed, now-m.creditUpdatedAt, creditDecayTime), decay(m.contradicted, now-m.creditUpdatedAt, creditDecayTime)
	m.creditUpdatedAt = now
}

// addConfirmed notes that this instance has seen what a member said.
func (m *member) addConfirmed(now time.Duration, by float64) {
	m.decayCredit(now)
	m.confirmed = min(maxConfirmations, m.confirmed+by)
}

// addContradicted notes that this instance has seen otherwise.
func (m *member) addContradicted(now time.Duration, by float64) {
	m.decayCredit(now)
	m.contradicted += by
}
