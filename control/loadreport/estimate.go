package loadreport

import (
	"math"
	"time"

	"wheatlane/control/units"
	"wheatlane/internal/estimate"
)

const (
	reportWeight     = 0.5                    // of a report in an engine's load
	poolReportWeight = 0.1                    // of one engine's report in the pool's load
	averagedWithin   = time.Second            // a report older than this does not count in the average
	recentFor        = 2 * time.Second        // without a pool, a report older than this counts as none
	probeFreshFor    = 250 * time.Millisecond // a report younger than this is as good as a new one

	// Lifetime is the time after which a report's weight is 1/e; it counts as unknown then.
	Lifetime = 5 * time.Second
)

// Estimate is the load of an engine, or of a pool of engines. The zero value is that of an engine that never
// reported.
type Estimate struct {
	load       units.Fraction
	reportedAt time.Duration // 0: never
	probedAt   time.Duration // 0: never
}

// Observe takes the load that an engine reports now.
func (e *Estimate) Observe(load units.Fraction, now time.Duration) {
	if now-e.reportedAt > averagedWithin {
		e.load = load
	}
	e.load = estimate.EWMA(e.load, load, reportWeight)
	e.reportedAt = now
}

// ObservePoolMember takes the load that one engine of a pool reports now, where the estimate is the pool's: one
// engine's report has a small weight in it.
func (e *Estimate) ObservePoolMember(load units.Fraction, now time.Duration) {
	e.load = estimate.EWMA(e.load, load, poolReportWeight)
	e.reportedAt = now
}

// ObserveRemote takes the load that an engine reported to another broker at a time, if no later report is known.
// Reports from before the engine started are of its earlier process.
func (e *Estimate) ObserveRemote(load units.Fraction, reportedAt, engineStartedAt time.Duration) {
	if reportedAt > max(e.reportedAt, engineStartedAt) {
		e.load, e.reportedAt = max(0, load), reportedAt
	}
}

// Load is the load by the reports so far; 0 without any.
func (e *Estimate) Load() units.Fraction { return e.load }

// Age is the time since the last report.
func (e *Estimate) Age(now time.Duration) time.Duration { return now - e.reportedAt }

// ReportedWithin reports whether an engine reported its load no longer ago than a time.
func (e *Estimate) ReportedWithin(within, now time.Duration) bool {
	return e.reportedAt > 0 && e.Age(now) <= within
}

// RecentLoad is the load of an engine whose last report is younger than recentFor, else 0.
func (e *Estimate) RecentLoad(now time.Duration) units.Fraction {
	if e.Age(now) < recentFor {
		return e.load
	}
	return 0
}

// LoadInPool is the load expected of an engine of a pool: the older its report, the more the pool's load counts.
func (e *Estimate) LoadInPool(pool *Estimate, now time.Duration) units.Fraction {
	trust := units.Fraction(math.Exp(-e.Age(now).Seconds() / Lifetime.Seconds()))
	return pool.load + trust*(e.load-pool.load)
}

// RecordProbe records that the engine is asked for its load now.
func (e *Estimate) RecordProbe(now time.Duration) { e.probedAt = now }

// RecentlyProbed reports whether the engine was asked for its load less than probeFreshFor ago.
func (e *Estimate) RecentlyProbed(now time.Duration) bool {
	return e.probedAt > 0 && now-e.probedAt < probeFreshFor
}

// Fresh reports whether the engine reported its load, or was asked for it, less than probeFreshFor ago.
func (e *Estimate) Fresh(now time.Duration) bool {
	return now-max(e.probedAt, e.reportedAt) < probeFreshFor
}

// PoolMean is the mean load of the engines of a pool, in which each engine weighs as much as its load: loaded
// engines stay loaded, however idle the others are.
type PoolMean struct {
	loads    estimate.SelfWeightedMean
	youngest time.Duration // when the last of their reports was given
}

// Add takes an engine of the pool.
func (m *PoolMean) Add(engine *Estimate) {
	m.loads.Add(float64(engine.load))
	m.youngest = max(m.youngest, engine.reportedAt)
}

// ObserveMean takes the mean load of a pool's engines as the pool's, which stays as it was if none has load.
func (e *Estimate) ObserveMean(engines PoolMean) {
	if load, ok := engines.loads.Mean(); ok {
		e.load, e.reportedAt = units.Fraction(load), engines.youngest
	}
}
