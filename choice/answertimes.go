package choice

// How long answers take.

import (
	"math"
	"time"
)

// histogram counts answer times in bins whose bounds double, from 1/32 of a unit to twice that unit.
type histogram [8]uint32

func (h *histogram) add(took, unit time.Duration) {
	_, i := math.Frexp(32 * float64(took) / float64(max(unit, 1)))
	i = max(0, min(len(h)-1, i))
	if h[i]++; h[i] >= sampleSize/2 {
		for j := range h {
			h[j] /= 2
		}
	}
}

// mean returns the average answer time, or a quarter of the unit if there are too few samples.
func (h *histogram) mean(unit time.Duration) time.Duration {
	count, sum, middle := 0.0, 0.0, float64(unit)/32*0.75
	for _, n := range h {
		count, sum, middle = count+float64(n), sum+float64(n)*middle, 2*middle
	}
	if count < sampleSize/8 {
		return unit / 4
	}
	return time.Duration(sum / count)
}
