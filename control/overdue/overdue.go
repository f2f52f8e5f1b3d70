// Package overdue judges an attempt in flight by its silence: it is in time, waits for a data-set lock that
// another request holds, or is lost. An answer is waited for until it is likelier lost than late.
package overdue

import (
	"math"
	"time"

	"wheatlane/control/units"
)

// MinLossWait is the shortest silence of an attempt that is presumed lost, where losses are rare. An engine
// that answered anything within it counts as responding.
const MinLossWait = 600 * time.Millisecond

const (
	minLateQuantile  = 0.003 // least fraction of answers later than the timeout
	maxLateQuantile  = 0.03  // largest one
	maxOddsLossRate  = 0.9   // the odds of a loss don't grow beyond this loss rate
	blockedObjective = 0.25  // fraction of the objective after which an attempt may be blocked
	missedProgress   = 1.75  // progress intervals without a report that are overdue
	overloadLossRate = 0.4   // loss rate that is an overload, which more attempts would make worse
	runawayRatio     = 4.0   // time left over the usual time of an attempt that is better started anew
	retrySpare       = 2     // times the timeout of a half-open probe that leaves time for a retry
	minProgress      = 0.005 // progress is taken to be at least this
)

// LateQuantile is the fraction of answers that come later than an attempt is waited for: the odds that its
// answer is lost, within bounds.
func LateQuantile(lossRate units.Fraction) units.Fraction {
	odds := lossRate / (1 - min(lossRate, maxOddsLossRate))
	return min(maxLateQuantile, max(minLateQuantile, odds))
}

// HalfOpenTimeout is the time after which a half-open probe is cut off and retried: when it is overdue, if
// that leaves enough time for a retry; 0: it isn't cut off.
func HalfOpenTimeout(overdueAfter, timeLeft time.Duration) time.Duration {
	if timeLeft > retrySpare*overdueAfter {
		return overdueAfter
	}
	return 0
}

// LossConfidence is the probability that an overdue answer is lost and not only late, by the rates of both. A
// loss counts by it: counted in full, late answers of cancelled attempts would raise the loss rate, which
// shortens the timeouts, and more of the late answers would count as lost.
func LossConfidence(lossRate units.Fraction) units.Fraction {
	return lossRate / (lossRate + LateQuantile(lossRate))
}

// IsRunaway reports whether an attempt has made so little progress that a fresh one should end sooner, given
// the time spent on it, the fraction of it that is done, and the usual time.
func IsRunaway(spent units.Seconds, progress units.Fraction, usual units.Seconds) bool {
	left := spent * units.Seconds(1-progress) / units.Seconds(max(progress, minProgress))
	return left > runawayRatio*usual
}

// Status is what an attempt's silence means.
type Status int

// The verdicts.
const (
	Pending  Status = iota // its answer may yet come
	Blocked                // it waits for a data-set lock, which needs no threads
	Lost                   // its answer is presumed lost
	Overload               // it is overdue, but so are too many others for a loss of its own
)

// Attempt is what is known of an attempt in flight.
type Attempt struct {
	Silence          time.Duration  // since it was sent or last reported progress
	Timeout          time.Duration  // service time that the late quantile of answers exceeds
	ProgressInterval time.Duration  // time between two progress reports; 0: there are none
	LossRate         units.Fraction // of its engine's answers
	FleetLossRate    units.Fraction // of all engines' answers
	ThreadsReleased  bool           // it was found blocked by a lock before, and gave its threads back
	Lock             *Lock          // nil: data-set locks don't block it
}

// Lock is what is known of the data-set lock that may block an attempt.
type Lock struct {
	Objective      time.Duration // latency objective of the attempt's class
	LongestHold    time.Duration // usual time of the longest hold of a lock
	EngineResponds bool          // the engine answered something within MinLossWait
}

// Evaluate returns the verdict on an attempt and, if it is in time, when to judge it again.
func Evaluate(attempt Attempt) (verdict Status, again time.Duration) {
	limit := attempt.Timeout
	if interval := attempt.ProgressInterval; interval > 0 {
		limit = min(limit, scale(interval, missedProgress))
	}
	var least time.Duration
	if lock := attempt.Lock; lock != nil {
		least = scale(lock.Objective, blockedObjective)
		if lock.EngineResponds && !attempt.ThreadsReleased && attempt.Silence >= max(limit, least) {
			return Blocked, 0
		}
		if attempt.ThreadsReleased {
			limit += lock.LongestHold
		}
	} else { // the likelier a loss, the sooner it is presumed
		least = scale(MinLossWait, math.Sqrt(minLateQuantile/float64(LateQuantile(attempt.LossRate))))
	}
	switch left := max(limit, least) - attempt.Silence; {
	case left > 0:
		return Pending, left
	case attempt.FleetLossRate < overloadLossRate:
		return Lost, 0
	default:
		return Overload, 0
	}
}

// scale multiplies a time by a factor.
func scale(d time.Duration, factor float64) time.Duration {
	return units.Duration(factor * d.Seconds())
}
