// Package concurrency limits the threads that one broker has in flight at an engine, or at a pool of engines.
// The limit follows the service times of answers: a fitted linear model gives the threads per core at which
// they meet a target. It backs off while the engine is overloaded. Each broker keeps its share of the limit.
package concurrency

import (
	"time"

	"wheatlane/control/units"
	"wheatlane/internal/rls"
)

// CapacityThreadsPerCore is the capacity of an engine, and the largest limit under pressure: beyond it the
// queries of an engine slow one another down. Without pressure the limit is larger by UnloadedMultiple.
const CapacityThreadsPerCore = 1.7

// Config holds the constants of a limit.
type Config struct {
	InitialThreadsPerCore float64        // limit at the start
	MinThreadsPerCore     float64        // smallest limit
	MaxThreadsPerCore     float64        // largest limit under pressure
	MinTargetTime         float64        // smallest target of service times, in latency objectives
	ChangePenalty         float64        // on the model's input: the larger, the slower the limit moves
	BackoffLoad           units.Fraction // reported load beyond which the limit backs off
	BackoffSlowdown       units.LogRatio // slowdown beyond which it backs off
	BackoffDecrease       float64        // factor of the limit in an interval of overload
	BackoffIncrease       float64        // factor in any other interval
	MinBackoffFactor      units.Fraction // fraction of the limit that the backoff leaves at least
	UnloadedMultiple      float64        // factor of the limit without pressure, as pressure shows late
	UnloadedRequests      float64        // least limit then, in requests of the widest class
}

// DefaultConfig is for a limit at one engine.
func DefaultConfig() Config {
	return Config{
		InitialThreadsPerCore: 1.5, MinThreadsPerCore: 1, MaxThreadsPerCore: CapacityThreadsPerCore,
		MinTargetTime: 0.5, ChangePenalty: 2,
		BackoffLoad:     1.2, // a fifth over the engine's capacity
		BackoffSlowdown: 1.6, // 5 times the service time
		BackoffDecrease: 0.8, BackoffIncrease: 1.1,
		MinBackoffFactor: 0.15, UnloadedMultiple: 1.5, UnloadedRequests: 2,
	}
}

// PoolConfig is for the one limit at a pool of engines, whose mean slowdown varies less than an engine's.
func PoolConfig() Config {
	config := DefaultConfig()
	config.BackoffSlowdown = 0.8 // 2.2 times the service time
	return config
}

// Limiter is a concurrency limit with the threads in flight that count against it.
type Limiter struct {
	config          *Config // a pointer, as an engine's fields are read together for each request
	limit           float64 // in threads
	threadsInFlight int
	model           *rls.Regulator
	backoffFactor   units.Fraction
	relativeTimeSum float64 // of this interval's answers: service times over latency objectives
	answers         int     // in this interval
}

// New returns a limiter for an engine, given its cores and this broker's share of them.
func New(config Config, cores float64, share units.Fraction) Limiter {
	initial := config.InitialThreadsPerCore
	model := rls.DefaultConfig()
	model.OutputsPerGroup, model.Groups, model.InputPenalty = 1, 1, config.ChangePenalty
	return Limiter{
		config: &config, limit: initial * cores * float64(share),
		model: rls.New(model, []float64{initial}), backoffFactor: 1,
	}
}

// Limit is the number of threads that may be in flight.
func (l *Limiter) Limit() float64 { return l.limit }

// ThreadsInFlight is the number of threads in flight.
func (l *Limiter) ThreadsInFlight() int { return l.threadsInFlight }

// Acquire counts threads as in flight.
func (l *Limiter) Acquire(threads int) { l.threadsInFlight += threads }

// Release counts threads as no longer in flight.
func (l *Limiter) Release(threads int) { l.threadsInFlight -= threads }

// Scale multiplies the limit until the end of the interval, as where a pool gains or loses engines.
func (l *Limiter) Scale(factor float64) { l.limit *= factor }

// RecordAnswer takes the ratio of an answer's service time to the latency objective of its class.
func (l *Limiter) RecordAnswer(relativeTime float64) {
	l.relativeTimeSum += relativeTime
	l.answers++
}

// Request is what the limiter is asked to allow: the next request of a class.
type Request struct {
	Threads       int
	ClassShare    units.Fraction // share of the limit that its class has to itself
	WidestThreads int            // threads of a request of the widest class
	UnderPressure bool           // the engine has more to do than it keeps up with
}

// Allows reports whether a request may be sent. One of these is enough:
//   - nothing is in flight;
//   - with the request, what is in flight stays within the limit;
//   - with the request, what its class has in flight stays within the class's share of the limit, or is this
//     request alone, so that long requests of other classes don't keep quick ones out.
//
// Without pressure a larger limit applies. Counting the threads that the class has in flight takes time, so
// that is left to a function, which is called last.
func (l *Limiter) Allows(r Request, classThreadsInFlight func() int) bool {
	threads, limit := float64(r.Threads), l.limit
	if !r.UnderPressure {
		widest := float64(r.WidestThreads)
		limit = max(l.config.UnloadedMultiple*limit, l.config.UnloadedRequests*widest)
	}
	return l.threadsInFlight == 0 || float64(l.threadsInFlight)+threads <= limit ||
		float64(classThreadsInFlight())+threads <= max(threads, float64(r.ClassShare)*limit)
}

// Interval is what a limiter decides its next limit by.
type Interval struct {
	Regular         bool           // it was as long as planned, so the model may be fitted to it
	Objective       time.Duration  // latency objective of the tightest class
	Wait            units.Seconds  // mean wait of its requests, which the objective has to leave time for
	Cores           float64        // of the engine, or of the whole pool
	MemoryMB        float64        // likewise; infinite if not known
	BrokerShare     units.Fraction // this broker's share of them
	RequestThreads  float64        // mean threads of a request in service
	RequestMemoryMB float64        // its mean memory; 0: not known
	MinLimit        int            // in threads; 0: none
	UnderPressure   bool           // the engine has more to do than it keeps up with
	Load            units.Fraction // of the engine's capacity, as reported; over 1 if it is overloaded
	Slowdown        units.LogRatio // of its answers and of what is in flight
}

// CloseInterval sets the limit of the next interval.
func (l *Limiter) CloseInterval(in Interval) {
	if l.answers > 0 && in.Regular {
		l.model.Observe([]float64{l.relativeTimeSum / float64(l.answers)}, []bool{true})
		target := l.targetTime(in.Wait, in.Objective)
		l.model.Decide([]float64{target}, l.config.MinThreadsPerCore, l.config.MaxThreadsPerCore)
	} else {
		l.model.Interrupt()
	}
	l.relativeTimeSum, l.answers = 0, 0
	l.updateBackoff(in)
	share, factor := float64(in.BrokerShare), float64(l.backoffFactor)
	l.limit = l.model.Input()[0] * in.Cores * share * factor
	if in.RequestMemoryMB > 0 { // the limit is not beyond what there is memory for
		l.limit = min(l.limit, in.MemoryMB*share*factor/in.RequestMemoryMB*in.RequestThreads)
	}
	l.limit = max(l.limit, float64(in.MinLimit))
}

// targetTime is the service time to reach, as a ratio to the latency objective.
func (l *Limiter) targetTime(wait units.Seconds, objective time.Duration) float64 {
	return max(l.config.MinTargetTime, 1-float64(wait/units.SecondsOf(objective)))
}

// updateBackoff lowers a limit that leaves the engine overloaded, as in a surge of retries, where this
// broker's share is overestimated. It raises the limit again gradually.
func (l *Limiter) updateBackoff(in Interval) {
	overloaded := in.Load > l.config.BackoffLoad || in.Slowdown > l.config.BackoffSlowdown
	if in.UnderPressure && overloaded {
		decreased := l.backoffFactor * units.Fraction(l.config.BackoffDecrease)
		l.backoffFactor = max(l.config.MinBackoffFactor, decreased)
	} else {
		l.backoffFactor = min(1, l.backoffFactor*units.Fraction(l.config.BackoffIncrease))
	}
}
