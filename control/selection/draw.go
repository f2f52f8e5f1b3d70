package selection

import (
	"math"
	"math/rand/v2"

	"wheatlane/control/units"
)

// TieBreak returns a random addition to a score, for a broker that has its own share of each engine. It is
// too small to change the order of scores that are not nearly equal.
func (c *Config) TieBreak(rng *rand.Rand) Score { return c.Jitter * Score(rng.Float64()) }

// Noise returns a random addition to a score, for brokers that share a pool of engines: they have the same
// outdated load reports, and would all choose the same idle engine. The noise has a Gumbel distribution, so
// that an engine has the best score with a probability proportional to exp(preference + score/NoiseScale).
func (c *Config) Noise(rng *rand.Rand, preference units.LogRatio) Score {
	gumbel := -math.Log(rng.ExpFloat64())
	gumbel += float64(preference)
	return c.NoiseScale * Score(gumbel)
}

// Best selects the candidate with the highest score; of equal scores, the first one offered.
type Best[T any] struct {
	candidate T
	score     Score
	found     bool
}

// Offer adds a candidate. It ignores scores of minus infinity and NaN.
func (b *Best[T]) Offer(candidate T, score Score) {
	bestScore := Score(math.Inf(-1))
	if b.found {
		bestScore = b.score
	}
	if score > bestScore {
		b.candidate, b.score, b.found = candidate, score, true
	}
}

// Candidate returns the candidate with the highest score, or the zero value if there is none.
func (b *Best[T]) Candidate() T { return b.candidate }
