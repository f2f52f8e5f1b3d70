package selection

import (
	"math"
	"math/rand/v2"

	"wheatlane/control/units"
)

// TieBreak is what chance adds to a score where this broker has its own share of each engine: too little to
// change more than ties.
func (c *Config) TieBreak(rng *rand.Rand) Score { return c.Jitter * Score(rng.Float64()) }

// Noise is what chance adds to a score where brokers share the engines: they have the same old reports, and
// would all choose the one idle engine. It is Gumbel noise, so that the best score is a draw of the engines
// with chances of exp(preference + score/NoiseScale).
func (c *Config) Noise(rng *rand.Rand, preference units.LogRatio) Score {
	gumbel := -math.Log(rng.ExpFloat64())
	gumbel += float64(preference)
	return c.NoiseScale * Score(gumbel)
}

// Best keeps the candidate with the highest score, the first of equals.
type Best[T any] struct {
	candidate T
	score     Score
	found     bool
}

// Offer takes a candidate.
func (b *Best[T]) Offer(candidate T, score Score) {
	least := Score(math.Inf(-1))
	if b.found {
		least = b.score
	}
	if score > least {
		b.candidate, b.score, b.found = candidate, score, true
	}
}

// Candidate returns the candidate with the highest score, or the zero value without one.
func (b *Best[T]) Candidate() T { return b.candidate }
