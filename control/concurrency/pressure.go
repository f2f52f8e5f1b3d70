package concurrency

import "wheatlane/control/units"

// Signals are the signs of pressure at an engine, or at a pool of engines.
type Signals struct {
	AtCapacity    bool           // it rejected an attempt a short time ago
	OverdueRatio  float64        // age of what is in flight over its usual time
	LoadKnown     bool           // Load is current
	Load          units.Fraction // of the engine's capacity, as reported; over 1 if it is overloaded
	SlowdownKnown bool           // Slowdown rests on enough answers
	Slowdown      units.LogRatio // of its answers
}

// PressureConfig holds the values beyond which a signal is pressure.
type PressureConfig struct {
	Slowdown     units.LogRatio
	Load         units.Fraction
	OverdueRatio float64
}

// DefaultPressureConfig returns the values that brokers use.
func DefaultPressureConfig() PressureConfig {
	return PressureConfig{Slowdown: 0.45, Load: 0.9, OverdueRatio: 3}
}

// UnderPressure reports whether an engine has more to do than it keeps up with: any one signal is enough.
func (c *PressureConfig) UnderPressure(s Signals) bool {
	return s.AtCapacity || s.OverdueRatio > c.OverdueRatio || s.LoadKnown && s.Load > c.Load ||
		s.SlowdownKnown && s.Slowdown > c.Slowdown
}
