package outlier

import (
	"time"

	"wheatlane/control/units"
	"wheatlane/internal/estimate"
)

// atCapacityRest is how long an engine that was at capacity gets nothing new.
const atCapacityRest = 2 * time.Second

// Health is what is known of one engine's attempts.
type Health struct {
	failureRate    units.Fraction
	loss           estimate.Loss
	ejected        bool
	halfOpenAt     time.Duration // when an ejected engine may get its next half-open probe
	lastResponseAt time.Duration
	wasAtCapacity  bool          // for an attempt
	atCapacityAt   time.Duration // the last time that it was
}

// NewHealth returns the health of an engine that is known from now on. It counts as having responded now, so
// that it is not taken for silent before it had time to.
func NewHealth(now time.Duration) Health { return Health{lastResponseAt: now} }

// Reset drops what is known of an engine's earlier process.
func (h *Health) Reset() {
	h.ejected, h.failureRate, h.wasAtCapacity, h.loss = false, 0, false, estimate.Loss{}
}

// RecordResponse records that an engine responded, whatever it did.
func (h *Health) RecordResponse(now time.Duration) { h.lastResponseAt = now }

// RespondedWithin reports whether an engine responded within a time before now.
func (h *Health) RespondedWithin(within, now time.Duration) bool {
	return now-h.lastResponseAt < within
}

// RecordAtCapacity records that an attempt ended as AtCapacity: the engine, or this broker's connections to it,
// had no capacity.
func (h *Health) RecordAtCapacity(now time.Duration) {
	h.wasAtCapacity, h.atCapacityAt, h.lastResponseAt = true, now, now
}

// AtCapacity reports whether an attempt ended so less than atCapacityRest ago.
func (h *Health) AtCapacity(now time.Duration) bool {
	return h.wasAtCapacity && now-h.atCapacityAt < atCapacityRest
}

// Decay lets older attempts count for less, and the failure rate fall towards 0 even without attempts, once a
// tick of 100 ms.
func (h *Health) Decay() {
	h.loss.Decay(answerDecay)
	h.failureRate *= failureDecay
}

// FailureRate is the fraction of attempts that fail, averaged.
func (h *Health) FailureRate() units.Fraction { return h.failureRate }

// LossRate is Detector.LossRate, given that of the fleet.
func (h *Health) LossRate(fleet units.Fraction) units.Fraction {
	return units.Fraction(h.loss.Rate(float64(fleet), fleetLossAnswers))
}

// Outcomes is the number of attempts that the estimates rest on: answers, failures and losses. It decays, so
// it is no integer.
func (h *Health) Outcomes() float64 { return h.loss.Outcomes }

// Ejected reports whether an engine is ejected.
func (h *Health) Ejected() bool { return h.ejected }

// Eject ejects an engine, which gets its first half-open probe after the backoff. It reports whether that is
// a change.
func (h *Health) Eject(now, backoff time.Duration) (changed bool) {
	if h.ejected {
		return false
	}
	h.ejected, h.halfOpenAt = true, now+backoff
	return true
}

// RecordHalfOpenProbe records that a half-open probe is sent now: the next one is due after the backoff.
func (h *Health) RecordHalfOpenProbe(now, backoff time.Duration) { h.halfOpenAt = now + backoff }

// HalfOpenProbe is a request that may be a half-open probe.
type HalfOpenProbe struct {
	EngineIdle     bool // nothing else is in flight at the engine
	FirstAttempt   bool
	LowestPriority bool // no class has less priority weight
}

// MayProbeHalfOpen reports whether a request may be an ejected engine's next half-open probe: one at a time,
// and of the requests that lose least if it fails.
func (h *Health) MayProbeHalfOpen(probe HalfOpenProbe, now time.Duration) bool {
	return now >= h.halfOpenAt && probe.EngineIdle && probe.FirstAttempt && probe.LowestPriority
}
