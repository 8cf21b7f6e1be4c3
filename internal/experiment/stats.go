package experiment

import (
	"math/rand/v2"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Estimate is a mean over the seeds with its 95 percent confidence interval, which is computed by bootstrap.
type Estimate struct {
	Mean  float64 `json:"mean"`
	Low   float64 `json:"low"`   // lower end of the interval
	High  float64 `json:"high"`  // upper end of the interval
	Least float64 `json:"least"` // least value of any seed
	Most  float64 `json:"most"`  // greatest value of any seed
}

const resamples = 2000 // number of bootstrap samples

// estimate returns the estimate for the values of the seeds, in their order. The random numbers of the bootstrap are
// always the same, so that the same values give the same interval.
func estimate(values []float64) Estimate {
	if len(values) == 0 {
		return Estimate{}
	}
	e := Estimate{Mean: stat.Mean(values, nil), Least: slices.Min(values), Most: slices.Max(values)}
	e.Low, e.High = bootstrap(len(values), func(sample []int) float64 {
		sum := 0.0
		for _, i := range sample {
			sum += values[i]
		}
		return sum / float64(len(sample))
	})
	return e
}

// bootstrap returns the 95 percent confidence interval of a statistic of n seeds. The statistic is called with the
// indexes of the seeds of each sample.
func bootstrap(n int, statistic func(sample []int) float64) (low, high float64) {
	if n == 1 {
		v := statistic([]int{0})
		return v, v
	}
	rng := rand.New(rand.NewPCG(20, 26))
	results := make([]float64, resamples)
	sample := make([]int, n)
	for i := range results {
		for j := range sample {
			sample[j] = rng.IntN(n)
		}
		results[i] = statistic(sample)
	}
	slices.Sort(results)
	return stat.Quantile(0.025, stat.Empirical, results, nil), stat.Quantile(0.975, stat.Empirical, results, nil)
}
