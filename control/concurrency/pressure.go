package concurrency

import "wheatlane/control/units"

// Signals are the signs of pressure at an engine, or at a pool of engines.
type Signals struct {
	AtCapacity    bool           // as outlier.Health.AtCapacity
	AgeRatio      float64        // age of what is in flight over its usual time
	LoadKnown     bool           // Load is up to date
	Load          units.Fraction // of the engine's capacity, as reported; over 1 if it is overloaded
	SlowdownKnown bool           // Slowdown rests on enough answers
	Slowdown      units.LogRatio // of its answers
}

// PressureConfig holds the values beyond which a signal is pressure.
type PressureConfig struct {
	Slowdown units.LogRatio
	Load     units.Fraction
	AgeRatio float64
}

// DefaultPressureConfig returns the values that brokers use.
func DefaultPressureConfig() PressureConfig {
	return PressureConfig{Slowdown: 0.45, Load: 0.9, AgeRatio: 3} // 0.45: 1.6 times the service time
}

// UnderPressure reports whether an engine has more to do than it keeps up with: any one signal is enough.
func (c *PressureConfig) UnderPressure(s Signals) bool {
	return s.AtCapacity || s.AgeRatio > c.AgeRatio || s.LoadKnown && s.Load > c.Load ||
		s.SlowdownKnown && s.Slowdown > c.Slowdown
}
