// Package selection chooses the engine for a request by a score. A random tie-break spreads the requests of
// brokers that have the same information.
package selection

import (
	"wheatlane/control/datasetlock"
	"wheatlane/control/units"
)

// Score ranks engines for a request; the highest is best. It is the headroom under the concurrency limit,
// as a fraction of the limit, less the penalties of the engine. An idle engine without penalties has a
// score of 1.
type Score float64

// Config holds the penalties and bonuses of scores, and the scale of tie-breaks.
type Config struct {
	FailurePenalty     Score // at a failure or loss rate of 1
	SlowdownPenalty    Score // for each unit of the slowdown, a logarithm
	DataSetLockPenalty Score // where a lock would block the request and make it late
	DataSetRankPenalty Score // at the far end of the ranks, for requests that hold or wait for locks
	CrossZonePenalty   Score
	HalfOpenBonus      Score // for a half-open probe that is due; exceeds all other scores
	Jitter             Score // largest value of TieBreak
	NoiseScale         Score // score difference that makes an engine e times as likely, under Noise
}

// DefaultConfig returns the penalties and scales that brokers use.
func DefaultConfig() Config {
	return Config{
		FailurePenalty: 3, SlowdownPenalty: 0.3, DataSetLockPenalty: 1.5, DataSetRankPenalty: 0.5,
		CrossZonePenalty: 0.05, HalfOpenBonus: 100, Jitter: 0.02, NoiseScale: 0.6,
	}
}

// Candidate holds the state of an engine that its score for a request depends on.
type Candidate struct {
	ThreadsInFlight   int
	ThreadsQueued     float64
	ConcurrencyLimit  float64        // in threads
	SlowStartFraction units.Fraction // fraction of its capacity that is available in slow start
	Slowdown          units.LogRatio
	FailureRate       units.Fraction
	LossRate          units.Fraction
	ExpectedLossRate  units.Fraction   // loss rate that incurs no penalty
	Load              units.Fraction   // expected load
	OtherZone         bool             // the engine is in another zone than this broker
	DataSetLocked     bool             // the data set of the request is locked at the engine
	DataSetRank       units.Fraction   // rank of the engine for the data set
	Role              datasetlock.Role // role of the request
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

// penalizeLocks subtracts the penalties that concern the data set of the request. They steer holders of locks
// to one end of the ranks and requests blocked by locks to the other, so that they seldom share an engine.
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
