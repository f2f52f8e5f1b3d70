// Package attemptoptions sets the options that an engine receives with an attempt: the memory to grant it,
// and its priority among the attempts at the engine.
package attemptoptions

import (
	"math"

	"wheatlane/control/units"
)

// The range of priorities that engines apply.
const (
	MinPriority = 1
	MaxPriority = 3
)

// Config specifies which options the engines of a deployment apply.
type Config struct {
	MemoryGrants     bool
	Priorities       bool
	MaxGrantFraction units.Fraction // of an engine's memory, for one request
}

// Options holds the options of one attempt.
type Options struct {
	GrantMB  float64 // 0: the engine chooses
	Priority int
}

// Attempt holds the inputs that the options of an attempt depend on.
type Attempt struct {
	NeededMB          float64 // expected memory; 0: unknown
	EngineMB          float64 // memory of the engine
	HighestValueClass bool    // the attempt's class has the highest priority weight per thread-second
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
