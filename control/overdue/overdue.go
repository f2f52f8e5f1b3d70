// Package overdue evaluates an attempt in flight by the time for which it has been silent: its answer is
// still pending, it waits for a data-set lock that another request holds, or its answer is lost. An answer
// is presumed lost once that is more likely than that it is late.
package overdue

import (
	"math"
	"time"

	"wheatlane/control/units"
)

// MinLossWait is the shortest silence after which an attempt is presumed lost, where losses are rare. An
// engine that sent any response within it counts as responding.
const MinLossWait = 600 * time.Millisecond

const (
	minLateQuantile  = 0.003 // minimum fraction of answers later than the timeout
	maxLateQuantile  = 0.03  // maximum fraction of answers later than the timeout
	maxOddsLossRate  = 0.9   // loss rate beyond which the odds of a loss no longer grow
	blockedObjective = 0.25  // fraction of the objective after which an attempt may be blocked
	missedProgress   = 1.75  // progress intervals without a report after which the report is overdue
	overloadLossRate = 0.4   // loss rate that indicates an overload, which more attempts would make worse
	runawayRatio     = 4.0   // remaining over usual time beyond which a fresh attempt is faster
	retryTimeFactor  = 2     // time left to retry a half-open probe, as a multiple of its timeout
	minProgress      = 0.005 // lower bound of the progress, which keeps a quotient finite
)

// LateQuantile returns the fraction of answers that arrive after the timeout of their attempt: the odds
// that an answer is lost, within bounds.
func LateQuantile(lossRate units.Fraction) units.Fraction {
	odds := lossRate / (1 - min(lossRate, maxOddsLossRate))
	return min(maxLateQuantile, max(minLateQuantile, odds))
}

// HalfOpenTimeout returns the time after which a half-open probe is cancelled and retried: the time at
// which it is overdue, if that leaves enough time for a retry, else 0 for no timeout.
func HalfOpenTimeout(overdueAfter, timeLeft time.Duration) time.Duration {
	if timeLeft > retryTimeFactor*overdueAfter {
		return overdueAfter
	}
	return 0
}

// LossConfidence returns the probability that an overdue answer is lost and not merely late, given the
// rates of both. It is the weight with which a loss is counted: at full weight, late answers of cancelled
// attempts would raise the loss rate, which shortens the timeouts, so that still more late answers would
// count as lost.
func LossConfidence(lossRate units.Fraction) units.Fraction {
	return lossRate / (lossRate + LateQuantile(lossRate))
}

// IsRunaway reports whether an attempt has made so little progress that a fresh one is expected to end
// sooner, given the time spent on it, the fraction of its work that is done, and the usual time of an
// attempt.
func IsRunaway(spent units.Seconds, progress units.Fraction, usual units.Seconds) bool {
	left := spent * units.Seconds(1-progress) / units.Seconds(max(progress, minProgress))
	return left > runawayRatio*usual
}

// Status is the state of an attempt in flight, as inferred from its silence.
type Status int

// The statuses of an attempt.
const (
	Pending  Status = iota // its answer is not due yet
	Blocked                // it waits for a data-set lock, and occupies no threads meanwhile
	Lost                   // its answer is presumed lost
	Overload               // it is overdue, but so many others are that an overload is the likely cause
)

// Attempt holds the state of an attempt in flight.
type Attempt struct {
	Silence          time.Duration  // time since it was sent or last reported progress
	Timeout          time.Duration  // service time that a fraction LateQuantile of answers exceeds
	ProgressInterval time.Duration  // time between two progress reports; 0: no progress reports
	LossRate         units.Fraction // fraction of its engine's answers that are lost
	FleetLossRate    units.Fraction // fraction of all engines' answers that are lost
	ThreadsReleased  bool           // it was found Blocked before, and its threads were released
	Lock             *Lock          // nil: its class is not blocked by data-set locks
}

// Lock holds the state of the data-set lock that may block an attempt.
type Lock struct {
	Objective      time.Duration // latency objective of the attempt's class
	LongestHold    time.Duration // longest usual time for which a class holds a lock
	EngineResponds bool          // the engine sent a response within MinLossWait
}

// Evaluate returns the status of an attempt and, if it is Pending, the time until it must be evaluated again.
func Evaluate(attempt Attempt) (status Status, reevaluateAfter time.Duration) {
	limit := attempt.Timeout
	if interval := attempt.ProgressInterval; interval > 0 {
		limit = min(limit, scale(interval, missedProgress))
	}
	var floor time.Duration
	if lock := attempt.Lock; lock != nil {
		floor = scale(lock.Objective, blockedObjective)
		if lock.EngineResponds && !attempt.ThreadsReleased && attempt.Silence >= max(limit, floor) {
			return Blocked, 0
		}
		if attempt.ThreadsReleased {
			limit += lock.LongestHold
		}
	} else { // the more likely a loss, the sooner it is presumed
		floor = scale(MinLossWait, math.Sqrt(minLateQuantile/float64(LateQuantile(attempt.LossRate))))
	}
	switch left := max(limit, floor) - attempt.Silence; {
	case left > 0:
		return Pending, left
	case attempt.FleetLossRate < overloadLossRate:
		return Lost, 0
	default:
		return Overload, 0
	}
}

// scale multiplies a duration by a factor.
func scale(d time.Duration, factor float64) time.Duration {
	return units.Duration(factor * d.Seconds())
}
