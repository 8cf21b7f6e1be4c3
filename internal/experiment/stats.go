package experiment

import (
	"math/rand/v2"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Figure is a mean over the seeds with the interval in which 95 of 100 such means lie, by bootstrap.
type Figure struct {
	Mean  float64 `json:"mean"`
	Low   float64 `json:"low"`
	High  float64 `json:"high"`
	Least float64 `json:"least"`
	Most  float64 `json:"most"`
}

const resamples = 2000

// figure sums up the values of the seeds, in their order. The chance of the resampling is always the same, so that the
// same values give the same interval.
func estimate(values []float64) Figure {
	if len(values) == 0 {
		return Figure{}
	}
	f := Figure{Mean: stat.Mean(values, nil), Least: slices.Min(values), Most: slices.Max(values)}
	f.Low, f.High = bootstrap(len(values), func(draw []int) float64 {
		sum := 0.0
		for _, i := range draw {
			sum += values[i]
		}
		return sum / float64(len(draw))
	})
	return f
}

// bootstrap gives the interval of a statistic over resampled seeds.
func bootstrap(n int, of func(draw []int) float64) (low, high float64) {
	if n == 1 {
		v := of([]int{0})
		return v, v
	}
	rng := rand.New(rand.NewPCG(20, 26))
	all := make([]float64, resamples)
	draw := make([]int, n)
	for i := range all {
		for j := range draw {
			draw[j] = rng.IntN(n)
		}
		all[i] = of(draw)
	}
	slices.Sort(all)
	return stat.Quantile(0.025, stat.Empirical, all, nil), stat.Quantile(0.975, stat.Empirical, all, nil)
}
