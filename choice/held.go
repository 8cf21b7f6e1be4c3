package choice

// Ops that wait for a server.

import (
	"cmp"
	"slices"
	"time"
)

// hold puts an op on its group's list of held ops. It can earn its late value only if the latency target is missed even by
// an answer to a send that begins now. Ops that a connection sends at once share the place of one, so that they do not
// keep out those of other clients.
func (g *Gateway) hold(now time.Duration, o *op) {
	o.held, o.heldValue = true, o.opType.Value/float64(1+o.openBefore)
	if now >= o.targetEnd-o.opType.meanAnswerTime() {
		o.heldValue *= o.opType.LateValue
	}
	held := o.group.held
	i, _ := slices.BinarySearchFunc(held, o, compareValueRates)
	o.group.held = slices.Insert(held, i, o)
}

// valueRate returns the value per unit of server time that a held op can earn.
func (o *op) valueRate() float64 { return o.heldValue / float64(o.opType.meanAnswerTime()) }

// compareValueRates sorts held ops by their value rate, the highest first.
func compareValueRates(a, b *op) int { return cmp.Compare(b.valueRate(), a.valueRate()) }

// removeFromHeld takes an op off its group's list of held ops.
func (o *op) removeFromHeld() {
	o.held = false
	o.group.held = slices.DeleteFunc(o.group.held, func(p *op) bool { return p == o })
}

// placeHeld tries to place the held ops of a group, the most valuable first. They are sorted again, as the mean answer
// times of their types may have changed.
func (g *Gateway) placeHeld(now time.Duration, gr *group) {
	slices.SortStableFunc(gr.held, compareValueRates)
	for _, o := range slices.Clone(gr.held) {
		g.place(now, o)
	}
}
