package concurrency

import "wheatlane/control/units"

// Signals holds the signals of pressure at an engine, or at a pool of engines.
type Signals struct {
	AtCapacity    bool           // see outlier.Health.AtCapacity
	AgeRatio      float64        // median age of attempts in flight over their usual time
	LoadKnown     bool           // Load is up to date
	Load          units.Fraction // reported fraction of the engine's capacity; over 1 under overload
	SlowdownKnown bool           // Slowdown is based on enough answers
	Slowdown      units.LogRatio // of answers
}

// PressureConfig holds the thresholds beyond which a signal indicates pressure.
type PressureConfig struct {
	Slowdown units.LogRatio
	Load     units.Fraction
	AgeRatio float64
}

// DefaultPressureConfig returns the thresholds that brokers use.
func DefaultPressureConfig() PressureConfig {
	return PressureConfig{Slowdown: 0.45, Load: 0.9, AgeRatio: 3} // 0.45: 1.6 times the service time
}

// UnderPressure reports whether an engine receives more work than it completes. Any one signal is sufficient.
func (c *PressureConfig) UnderPressure(s Signals) bool {
	return s.AtCapacity || s.AgeRatio > c.AgeRatio || s.LoadKnown && s.Load > c.Load ||
		s.SlowdownKnown && s.Slowdown > c.Slowdown
}
