package choice

import "time"

// WallClockCheck notices that the wall clock of this machine, by which the times that servers tell are converted, differs
// from theirs. A primary's position is the present. If the positions in all answers of primaries differ from the present
// by the same time, for as long as only a wrong clock explains, the conversion has to be corrected by that time. A
// position that does not advance differs by more and more, and a single answer that is right ends the doubt.
type WallClockCheck struct {
	doubtSince time.Duration // when the first answer of those came
	first      time.Duration // difference of its position from the present
	least      time.Duration // least difference of all of them
	answers    int           // how many there were
}

const (
	// wallClockTolerance is by how much a position may differ from the present, beyond the time that its answer took.
	wallClockTolerance = 250 * time.Millisecond

	// wallClockSpread is by how much the differences of several answers may vary, beyond the time that they took.
	wallClockSpread = 100 * time.Millisecond

	// wallClockAnswers is how many answers have to agree.
	wallClockAnswers = 5

	// wallClockDoubtTime is for how long they have to agree.
	wallClockDoubtTime = time.Second
)

// Observe handles the position in an answer of a primary, as converted, to a query that was sent at a time. It returns by how
// much later times that are converted have to be, or 0.
func (w *WallClockCheck) Observe(now, sentAt, position time.Duration) (correction time.Duration) {
	difference := position - sentAt
	if position >= sentAt-wallClockTolerance && position <= now+wallClockTolerance {
		w.answers = 0
		return 0
	}
	if w.answers == 0 || (difference-w.first).Abs() > wallClockSpread+now-sentAt {
		w.doubtSince, w.first, w.least, w.answers = now, difference, difference, 1
		return 0
	}
	w.answers++
	w.least = min(w.least, difference)
	if w.answers < wallClockAnswers || now-w.doubtSince < wallClockDoubtTime {
		return 0
	}
	w.answers = 0
	return -w.least
}

// WallClockCorrected handles a correction of the conversion of times that servers and the list tell.
func (g *Gateway) WallClockCorrected(correction time.Duration) {
	for _, s := range g.servers {
		if s.position != LongPast {
			s.position += correction
		}
		s.lag = max(0, s.lag-correction)
		if s.listedStart > LongPast/2 {
			if s.warmUpStart == s.listedStart {
				s.warmUpStart += correction
			}
			s.listedStart += correction
		}
	}
	for _, o := range g.ops {
		if o.minPosition > LongPast/2 && o.minPosition != never {
			o.minPosition += correction
		}
	}
	g.reportAge = 0
}
