package gossip

import (
	"math"
	"time"
)

// Parameters of an observer's credit: the mean of a beta distribution whose prior mean is one in three, in which one
// contradiction counts as much as three confirmations. Both counts decay, so that the credit returns to the prior and
// an observer that has lied recovers slowly.
const (
	priorConfirmations  = 1.0
	priorContradictions = 2.0
	contradictionWeight = 3.0
	maxConfirmations    = 12.0 // bounds the confirmations that count, so that past merit does not cover a liar for long
	creditDecayTime     = 5 * time.Minute
)

// decay returns x after an exponential decay over the elapsed time.
func decay(x float64, elapsed, timeConstant time.Duration) float64 {
	if x == 0 || elapsed <= 0 {
		return x
	}
	return x * math.Exp(-float64(elapsed)/float64(timeConstant))
}

// credit returns the weight, from 0 to 1, that this instance gives to a member's rumours about servers.
func (m *member) credit(now time.Duration) float64 {
	confirmed, contradicted := decay(m.confirmed, now-m.creditUpdatedAt, creditDecayTime),
		decay(m.contradicted, now-m.creditUpdatedAt, creditDecayTime)
	return (priorConfirmations + confirmed) /
		(priorConfirmations + priorContradictions + confirmed + contradictionWeight*contradicted)
}

// decayCredit decays both counts to now.
func (m *member) decayCredit(now time.Duration) {
	m.confirmed, m.contradicted = decay(m.confirmed, now-m.creditUpdatedAt, creditDecayTime),
		decay(m.contradicted, now-m.creditUpdatedAt, creditDecayTime)
	m.creditUpdatedAt = now
}

// addConfirmed records that this instance has itself observed what a member reported.
func (m *member) addConfirmed(now time.Duration, amount float64) {
	m.decayCredit(now)
	m.confirmed = min(maxConfirmations, m.confirmed+amount)
}

// addContradicted records that this instance has observed the opposite of what a member reported.
func (m *member) addContradicted(now time.Duration, amount float64) {
	m.decayCredit(now)
	m.contradicted += amount
}
