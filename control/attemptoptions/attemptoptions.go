// Package attemptoptions decides what an engine is asked to do with an attempt, beyond running it: the memory
// to grant it, and its priority among others.
package attemptoptions

import (
	"math"

	"wheatlane/control/units"
)

// The priorities that engines apply.
const (
	MinPriority = 1
	MaxPriority = 3
)

// Config is which options the engines of a deployment apply.
type Config struct {
	MemoryGrants     bool
	Priorities       bool
	MaxGrantFraction units.Fraction // of an engine's memory, for one request
}

// Options are those of one attempt.
type Options struct {
	GrantMB  float64 // 0: the engine's own choice
	Priority int
}

// Attempt is what the options of an attempt depend on.
type Attempt struct {
	NeededMB          float64 // expected memory; 0: not known
	EngineMB          float64 // memory of the engine
	HighestValueClass bool    // its class has the most priority weight for its work
}

// For returns the options of an attempt.
func (c Config) For(attempt Attempt) Options {
	options := Options{Priority: MinPriority}
	if c.MemoryGrants && attempt.NeededMB > 0 {
		maxGrantMB := float64(c.MaxGrantFraction) * attempt.EngineMB
		options.GrantMB = math.Ceil(min(attempt.NeededMB, maxGrantMB))
	}
	if c.Priorities && attempt.HighestValueClass {
		options.Priority = MaxPriority
	}
	return options
}
