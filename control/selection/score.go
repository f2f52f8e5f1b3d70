// Package selection chooses an engine for a request: by a score, with a tie-break that spreads the requests
// of brokers that know the same.
package selection

import (
	"wheatlane/control/datasetlock"
	"wheatlane/control/units"
)

// Score ranks engines for a request; the highest is best. It is the headroom under the concurrency limit, as
// a fraction of the limit, less what speaks against an engine: 1 is that of an idle engine.
type Score float64

// Config holds what is subtracted from scores, and the scale of tie-breaks.
type Config struct {
	FailurePenalty     Score // at a failure or loss rate of 1
	SlowdownPenalty    Score // for each unit of the logarithm of slowdown
	DataSetLockPenalty Score // where a lock would block the request: it is late for sure
	DataSetRankPenalty Score // at the far end of the ranks, for requests that locks concern
	CrossZonePenalty   Score
	HalfOpenBonus      Score // of a half-open probe that is due: it comes before everything
	Jitter             Score // largest difference that a plain tie-break makes
	NoiseScale         Score // difference of scores that makes a factor e in chances
}

// DefaultConfig returns the values in use.
func DefaultConfig() Config {
	return Config{
		FailurePenalty: 3, SlowdownPenalty: 0.3, DataSetLockPenalty: 1.5, DataSetRankPenalty: 0.5,
		CrossZonePenalty: 0.05, HalfOpenBonus: 100, Jitter: 0.02, NoiseScale: 0.6,
	}
}

// Candidate is an engine for a request, with all that its score depends on.
type Candidate struct {
	ThreadsInFlight   int
	ThreadsQueued     float64
	ConcurrencyLimit  float64        // in threads
	SlowStartFraction units.Fraction // of its capacity that it has
	Slowdown          units.LogRatio
	FailureRate       units.Fraction
	LossRate          units.Fraction
	ExpectedLossRate  units.Fraction   // fraction of answers whose loss is not held against it
	Load              units.Fraction   // expected
	OtherZone         bool             // it is in another zone than this broker
	DataSetLocked     bool             // the data set of the request is locked there
	DataSetRank       units.Fraction   // of the engine for the data set
	Role              datasetlock.Role // of the request
}

// Score returns the score of a candidate.
func (c *Config) Score(candidate *Candidate) Score {
	capacity := candidate.ConcurrencyLimit * float64(candidate.SlowStartFraction)
	score := 1 - Score((float64(candidate.ThreadsInFlight)+candidate.ThreadsQueued)/capacity)
	score -= c.SlowdownPenalty*Score(candidate.Slowdown) +
		c.FailurePenalty*Score(candidate.FailureRate+candidate.LossRate)
	score += c.FailurePenalty * Score(candidate.ExpectedLossRate)
	score -= Score(candidate.Load)
	if candidate.OtherZone {
		score -= c.CrossZonePenalty
	}
	return c.penalizeLocks(score, candidate)
}

// penalizeLocks subtracts what the data set of the request costs: holders of locks go to one end of the ranks
// and what they block to the other, so that they seldom meet.
func (c *Config) penalizeLocks(score Score, candidate *Candidate) Score {
	if candidate.Role != datasetlock.Unaffected && candidate.DataSetLocked {
		score -= c.DataSetLockPenalty
	}
	switch candidate.Role {
	case datasetlock.Holder:
		score -= c.DataSetRankPenalty * Score(candidate.DataSetRank)
	case datasetlock.Blocked:
		score -= c.DataSetRankPenalty * Score(1-candidate.DataSetRank)
	case datasetlock.Unaffected:
	}
	return score
}
