package rollout

import "math"

// Counts holds the numbers of requests of a class that completed within a period.
type Counts struct {
	Total float64 // completed requests, without those whose client disconnected
	Bad   float64 // requests of Total that were rejected, late or failed
}

// Add adds other to c.
func (c *Counts) Add(other Counts) {
	c.Total += other.Total
	c.Bad += other.Bad
}

// BadRatio returns the fraction of bad requests, 0 if there are no requests.
func (c Counts) BadRatio() float64 {
	if c.Total <= 0 {
		return 0
	}
	return c.Bad / c.Total
}

// betFractions are the bets that a test averages, as fractions of the largest possible bet: small bets detect small
// harm late, and large bets detect large harm early.
var betFractions = [...]float64{0.02, 0.05, 0.1, 0.2, 0.4, 0.7}

const (
	minNullRatio  = 1e-6 // minimum distance of tested ratios from 0 and 1
	maxLogCapital = 700  // e^700 exceeds any threshold in use and is still a finite float64
)

// SequentialTest is an anytime-valid test of the hypothesis that the bad ratio of a class does not exceed a
// threshold. It may be evaluated as often as needed: if the hypothesis is true, the probability that EValue ever
// reaches 1/alpha is at most alpha (Ville 1939; testing by betting, Shafer 2021). The zero value has no
// observations.
type SequentialTest struct {
	logCapital [len(betFractions)]float64 // natural logarithm of the capital of each bet
}

// Observe adds the requests that completed since the previous call, and the threshold that applies to them.
func (t *SequentialTest) Observe(counts Counts, threshold float64) {
	threshold = min(max(threshold, minNullRatio), 1-minNullRatio)
	good := max(0, counts.Total-counts.Bad)
	for i, fraction := range betFractions {
		// At a bet of 1/threshold a single good request would lose all capital.
		bet := fraction / threshold
		t.logCapital[i] += counts.Bad*math.Log1p(bet*(1-threshold)) + good*math.Log1p(-bet*threshold)
	}
}

// EValue returns the e-value against the hypothesis that the ratio is within the threshold, which is the mean capital
// of the bets.
func (t *SequentialTest) EValue() float64 {
	sum := 0.0
	for _, logCapital := range t.logCapital {
		sum += math.Exp(min(logCapital, maxLogCapital))
	}
	return sum / float64(len(betFractions))
}

// loadTolerance is the allowed increase of the bad ratio when the request rate is twice that of the baseline; it
// grows linearly with the rate.
const loadTolerance = 0.2

// MaxBadRatio returns the bad ratio that a canary may have: the upper bound of the Wilson score interval of the
// baseline at z standard deviations, plus tolerance. load is the request rate relative to that of the baseline; a
// load above 1 increases the allowed ratio, because the harm of a higher load must not be attributed to the canary.
func MaxBadRatio(baseline Counts, z, tolerance, load float64) float64 {
	upper := 1.0
	if n := baseline.Total; n > 0 {
		p, zz := baseline.BadRatio(), z*z
		upper = (p + zz/(2*n) + z*math.Sqrt(p*(1-p)/n+zz/(4*n*n))) / (1 + zz/n)
	}
	return min(1, upper+tolerance+loadTolerance*max(0, load-1))
}
