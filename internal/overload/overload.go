// Package overload decides by what a process really holds how far a broker has to protect itself against its memory
// limit, as Envoy's overload manager does: the pressure on each resource gives a level, and each level adds an action.
// It also decides when to collect garbage, and finds memory that no account counts. It performs no I/O and reads no
// clock. Its types are not safe for concurrent use.
package overload

import "time"

// Level is how far a broker protects itself. Each level includes the actions of those before it.
type Level int

// The levels.
const (
	Normal         Level = iota
	StopAdmitting        // new clients are rejected
	PauseReading         // messages that need memory are not read
	Evict                // clients that hold memory, and idle ones, are evicted
	RejectRequests       // requests are rejected
	levelCount
)

// LevelNames holds the name of each level in logs, indexed by Level.
var LevelNames = [levelCount]string{"normal", "stop_admitting", "pause_reading", "evict", "reject_requests"}

// String returns the name of the level.
func (l Level) String() string { return LevelNames[l] }

// Usage is what a process holds, in bytes.
type Usage struct {
	ResidentBytes int64 // resident size, which counts against the memory limit
	RuntimeBytes  int64 // what the Go runtime has from the system
	HeldBytes     int64 // of RuntimeBytes: what no collection can free
	LiveBytes     int64 // of HeldBytes: objects that the last collection found live
	Collections   uint64
	Accounted     int64 // what the accounts count as in use
}

// Limits are the limits that a process must keep, in bytes.
type Limits struct {
	ResidentBytes int64
	RuntimeBytes  int64 // memory limit of the Go runtime
	BaseBytes     int64 // live objects of a process without clients
}

// thresholds are the pressures from which each level applies.
type thresholds [levelCount]float64

var (
	// residentThresholds are fractions of the limit of the resident size.
	residentThresholds = thresholds{
		StopAdmitting: 0.90, PauseReading: 0.93, Evict: 0.95, RejectRequests: 0.97,
	}
	// heldThresholds are fractions of the runtime's limit, at which it would do nothing but collect.
	heldThresholds = thresholds{
		StopAdmitting: 0.95, PauseReading: 0.98, Evict: 1, RejectRequests: 1.05,
	}
)

const (
	// releaseMargin is how far the pressure must have fallen below the threshold of a level before the level ends.
	releaseMargin = 0.03
	// minLevelTime is the time for which a level applies at least, so that an action has an effect before it ends.
	minLevelTime = 100 * time.Millisecond
)

// Decision is what a manager decides on a measurement.
type Decision struct {
	Level        Level
	LevelChanged bool
	// Collect requests a garbage collection that returns memory to the system.
	Collect bool
	// RuntimeLimit is the memory limit that the Go runtime must have from now on; 0 if it does not change.
	RuntimeLimit int64
	// Unaccounted reports that much more is live than the accounts count. It is reported once until that has ended.
	Unaccounted bool
}

// Manager decides on the measurements of one process.
type Manager struct {
	limits    Limits
	level     Level
	changedAt time.Duration
	collector collector
	auditor   auditor
	limiter   runtimeLimiter
}

// NewManager returns a manager at the level Normal.
func NewManager(limits Limits) *Manager {
	return &Manager{limits: limits, auditor: newAuditor(limits)}
}

// Level returns the current level.
func (m *Manager) Level() Level { return m.level }

// Update decides on a measurement. The level rises at once, and falls step by step.
func (m *Manager) Update(now time.Duration, usage Usage) Decision {
	before := m.level
	runtimeLimit, limitChanged := m.limiter.update(now, usage, m.limits)
	if limitChanged {
		m.limits.RuntimeBytes = runtimeLimit
	}
	m.updateLevel(now, usage)
	decision := Decision{Level: m.level, LevelChanged: m.level != before, RuntimeLimit: runtimeLimit}
	decision.Unaccounted = m.auditor.update(now, usage)
	decision.Collect = m.collector.update(now, usage, m.limits, m.auditor.suspects())
	return decision
}

func (m *Manager) updateLevel(now time.Duration, usage Usage) {
	required := max(
		m.levelOf(usage.ResidentBytes, m.limits.ResidentBytes, &residentThresholds),
		m.levelOf(usage.HeldBytes, m.limits.RuntimeBytes, &heldThresholds),
	)
	switch {
	case required > m.level:
		m.level, m.changedAt = required, now
	case required < m.level && now-m.changedAt >= minLevelTime:
		m.level, m.changedAt = m.level-1, now
	}
}

// levelOf returns the level that a resource requires: the highest one whose threshold it has reached, or, up to the
// current level, has not left by releaseMargin.
func (m *Manager) levelOf(bytes, limit int64, from *thresholds) Level {
	if limit <= 0 {
		return Normal
	}
	pressure := float64(bytes) / float64(limit)
	for level := RejectRequests; level > Normal; level-- {
		threshold := from[level]
		if level <= m.level {
			threshold -= releaseMargin
		}
		if pressure >= threshold {
			return level
		}
	}
	return Normal
}
