package loadreport

import (
	"math"
	"time"

	"wheatlane/control/units"
	"wheatlane/internal/estimate"
)

const (
	reportWeight     = 0.5                    // weight of a report in an engine's load
	poolReportWeight = 0.1                    // weight of one engine's report in the pool's load
	averagingWindow  = time.Second            // a report older than this is excluded from the average
	recentWindow     = 2 * time.Second        // without a pool, a report older than this is ignored
	freshWindow      = 250 * time.Millisecond // a report younger than this needs no load probe

	// Lifetime is the time in which a report's weight decays to 1/e. An older report counts as unknown.
	Lifetime = 5 * time.Second
)

// Estimate is the estimated load of an engine, or of a pool of engines. The zero value is the estimate of an
// engine that has never sent a load report.
type Estimate struct {
	load       units.Fraction
	reportedAt time.Duration // 0: never
	probedAt   time.Duration // 0: never
}

// Observe records the load that an engine reports now.
func (e *Estimate) Observe(load units.Fraction, now time.Duration) {
	if now-e.reportedAt > averagingWindow {
		e.load = load
	}
	e.load = estimate.EWMA(e.load, load, reportWeight)
	e.reportedAt = now
}

// ObservePoolMember records, in the estimate of a pool, the load that one engine of the pool reports now. One
// engine's report has a small weight.
func (e *Estimate) ObservePoolMember(load units.Fraction, now time.Duration) {
	e.load = estimate.EWMA(e.load, load, poolReportWeight)
	e.reportedAt = now
}

// ObserveRemote records the load that an engine reported to another broker at a time, unless a later report
// is known. It ignores reports from before the engine started, which come from its previous process.
func (e *Estimate) ObserveRemote(load units.Fraction, reportedAt, engineStartedAt time.Duration) {
	if reportedAt > max(e.reportedAt, engineStartedAt) {
		e.load, e.reportedAt = max(0, load), reportedAt
	}
}

// Load returns the estimated load, or 0 before the first report.
func (e *Estimate) Load() units.Fraction { return e.load }

// Age returns the time since the last report.
func (e *Estimate) Age(now time.Duration) time.Duration { return now - e.reportedAt }

// ReportedWithin reports whether the age of the engine's last load report is at most a time.
func (e *Estimate) ReportedWithin(within, now time.Duration) bool {
	return e.reportedAt > 0 && e.Age(now) <= within
}

// RecentLoad returns the load of an engine whose last report is younger than recentWindow, else 0.
func (e *Estimate) RecentLoad(now time.Duration) units.Fraction {
	if e.Age(now) < recentWindow {
		return e.load
	}
	return 0
}

// LoadInPool returns the expected load of an engine of a pool. The older the engine's report, the larger the
// weight of the pool's load.
func (e *Estimate) LoadInPool(pool *Estimate, now time.Duration) units.Fraction {
	ownWeight := units.Fraction(math.Exp(-e.Age(now).Seconds() / Lifetime.Seconds()))
	return pool.load + ownWeight*(e.load-pool.load)
}

// RecordProbe records that a load probe is sent to the engine now.
func (e *Estimate) RecordProbe(now time.Duration) { e.probedAt = now }

// RecentlyProbed reports whether a load probe was sent to the engine less than freshWindow ago.
func (e *Estimate) RecentlyProbed(now time.Duration) bool {
	return e.probedAt > 0 && now-e.probedAt < freshWindow
}

// Fresh reports whether the engine sent a load report, or received a load probe, less than freshWindow ago.
func (e *Estimate) Fresh(now time.Duration) bool {
	return now-max(e.probedAt, e.reportedAt) < freshWindow
}

// PoolMean computes the mean load of the engines of a pool, in which the weight of each engine is its load:
// idle engines do not hide that others are loaded.
type PoolMean struct {
	loads          estimate.SelfWeightedMean
	latestReportAt time.Duration // time of the latest report of any engine
}

// Add adds an engine of the pool.
func (m *PoolMean) Add(engine *Estimate) {
	m.loads.Add(float64(engine.load))
	m.latestReportAt = max(m.latestReportAt, engine.reportedAt)
}

// ObserveMean sets the load of a pool to the mean load of its engines. It does nothing if no engine has load.
func (e *Estimate) ObserveMean(engines PoolMean) {
	if load, ok := engines.loads.Mean(); ok {
		e.load, e.reportedAt = units.Fraction(load), engines.latestReportAt
	}
}
