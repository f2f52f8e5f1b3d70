package outlier

import (
	"time"

	"wheatlane/control/units"
	"wheatlane/internal/estimate"
)

// atCapacityPause is the time for which an engine that was at capacity receives no new requests.
const atCapacityPause = 2 * time.Second

// Health holds the estimated health of one engine, based on its attempts.
type Health struct {
	failureRate    units.Fraction
	loss           estimate.Loss
	ejected        bool
	halfOpenAt     time.Duration // time from which an ejected engine may receive its next half-open probe
	lastResponseAt time.Duration
	wasAtCapacity  bool          // an attempt has ended at capacity
	atCapacityAt   time.Duration // last time at which an attempt ended at capacity
}

// NewHealth returns the health of an engine that was discovered now. The engine counts as having responded
// now, so that it is not considered silent before it has had time to respond.
func NewHealth(now time.Duration) Health { return Health{lastResponseAt: now} }

// Reset discards the health of an engine's previous process, after the engine has restarted.
func (h *Health) Reset() {
	h.ejected, h.failureRate, h.wasAtCapacity, h.loss = false, 0, false, estimate.Loss{}
}

// RecordResponse records that an engine responded, whatever the response.
func (h *Health) RecordResponse(now time.Duration) { h.lastResponseAt = now }

// RespondedWithin reports whether an engine responded within a time before now.
func (h *Health) RespondedWithin(within, now time.Duration) bool {
	return now-h.lastResponseAt < within
}

// RecordAtCapacity records that an attempt ended with the outcome AtCapacity: the engine, or this broker's
// connections to it, had no capacity.
func (h *Health) RecordAtCapacity(now time.Duration) {
	h.wasAtCapacity, h.atCapacityAt, h.lastResponseAt = true, now, now
}

// AtCapacity reports whether an attempt ended at capacity less than atCapacityPause ago.
func (h *Health) AtCapacity(now time.Duration) bool {
	return h.wasAtCapacity && now-h.atCapacityAt < atCapacityPause
}

// Decay lowers the weight of earlier attempts, and lets the failure rate fall toward 0 even without
// attempts. It must be called once a tick of 100 ms.
func (h *Health) Decay() {
	h.loss.Decay(answerDecay)
	h.failureRate *= failureDecay
}

// FailureRate returns the moving average of the fraction of attempts that fail.
func (h *Health) FailureRate() units.Fraction { return h.failureRate }

// LossRate is like Detector.LossRate, given the loss rate of the fleet.
func (h *Health) LossRate(fleet units.Fraction) units.Fraction {
	return units.Fraction(h.loss.Rate(float64(fleet), fleetLossAnswers))
}

// Outcomes returns the number of attempts that the estimates are based on: answers, failures and losses. The
// number decays, so it is not an integer.
func (h *Health) Outcomes() float64 { return h.loss.Outcomes }

// Ejected reports whether an engine is ejected.
func (h *Health) Ejected() bool { return h.ejected }

// Eject ejects an engine, whose first half-open probe is due after the backoff. It reports whether the engine
// was not ejected before.
func (h *Health) Eject(now, backoff time.Duration) (changed bool) {
	if h.ejected {
		return false
	}
	h.ejected, h.halfOpenAt = true, now+backoff
	return true
}

// RecordHalfOpenProbe records that a half-open probe is sent now. The next one is due after the backoff.
func (h *Health) RecordHalfOpenProbe(now, backoff time.Duration) { h.halfOpenAt = now + backoff }

// HalfOpenProbe describes a request that is a candidate for a half-open probe.
type HalfOpenProbe struct {
	EngineIdle     bool // no attempt is in flight at the engine
	FirstAttempt   bool
	LowestPriority bool // no class has a lower priority weight
}

// MayProbeHalfOpen reports whether a request may be an ejected engine's next half-open probe. Only one
// probe is in flight at a time, and it is a request whose failure costs least.
func (h *Health) MayProbeHalfOpen(probe HalfOpenProbe, now time.Duration) bool {
	return now >= h.halfOpenAt && probe.EngineIdle && probe.FirstAttempt && probe.LowestPriority
}
