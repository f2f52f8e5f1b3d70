// Package concurrency limits the threads that one broker has in flight at an engine, or at a pool of engines.
// A linear model, fitted to the service times of answers, gives the threads per core at which they meet a
// target. The limit backs off while the engine is overloaded. Each broker applies its own share of the limit.
package concurrency

import (
	"time"

	"wheatlane/control/units"
	"wheatlane/internal/rls"
)

// CapacityThreadsPerCore is the capacity of an engine, in threads per core, and the largest limit under
// pressure: beyond it the queries at an engine slow one another down. Without pressure the limit is larger by
// Config.UnloadedMultiple.
const CapacityThreadsPerCore = 1.7

// Config holds the parameters of a limit.
type Config struct {
	InitialThreadsPerCore float64        // limit at the start
	MinThreadsPerCore     float64        // smallest limit
	MaxThreadsPerCore     float64        // largest limit under pressure
	MinTargetTime         float64        // smallest target, as a multiple of the latency objective
	ChangePenalty         float64        // penalty on changes of the limit, which slows them down
	BackoffLoad           units.Fraction // reported load beyond which the limit backs off
	BackoffSlowdown       units.LogRatio // slowdown beyond which the limit backs off
	BackoffDecrease       float64        // factor applied to the backoff in an interval of overload
	BackoffIncrease       float64        // factor applied to the backoff in any other interval
	MinBackoffFactor      units.Fraction // smallest fraction of the limit that the backoff leaves
	UnloadedMultiple      float64        // factor without pressure, as pressure is detected late
	UnloadedRequests      float64        // minimum without pressure, in requests of the widest class
}

// DefaultConfig returns the parameters of a limit at one engine.
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

// PoolConfig returns the parameters of the limit at a pool of engines, whose mean slowdown varies less than
// the slowdown of one engine.
func PoolConfig() Config {
	config := DefaultConfig()
	config.BackoffSlowdown = 0.8 // 2.2 times the service time
	return config
}

// Limiter holds a concurrency limit and the number of threads in flight that count against it.
type Limiter struct {
	config          *Config // a pointer, which keeps the fields read for each request close in memory
	limit           float64 // in threads
	threadsInFlight int
	model           *rls.Regulator // nil until the first interval with answers
	backoffFactor   units.Fraction
	relativeTimeSum float64 // sum of service time over latency objective, over this interval's answers
	answers         int     // number of answers in this interval
}

// New returns a limiter for an engine with a number of cores, of which this broker has a share.
func New(config Config, cores float64, share units.Fraction) Limiter {
	initial := config.InitialThreadsPerCore
	return Limiter{config: &config, limit: initial * cores * float64(share), backoffFactor: 1}
}

// observe fits the model to the mean time of an interval's answers and decides the next input.
func (l *Limiter) observe(relativeTime, target float64) {
	if l.model == nil {
		model := rls.DefaultConfig()
		model.OutputsPerGroup, model.Groups, model.InputPenalty = 1, 1, l.config.ChangePenalty
		l.model = rls.New(model, []float64{l.config.InitialThreadsPerCore})
	}
	l.model.Observe([]float64{relativeTime}, []bool{true})
	l.model.Decide([]float64{target}, l.config.MinThreadsPerCore, l.config.MaxThreadsPerCore)
}

// threadsPerCore returns the input of the model.
func (l *Limiter) threadsPerCore() float64 {
	if l.model == nil {
		return l.config.InitialThreadsPerCore
	}
	return l.model.Input()[0]
}

// Limit returns the number of threads that may be in flight.
func (l *Limiter) Limit() float64 { return l.limit }

// ThreadsInFlight returns the number of threads in flight.
func (l *Limiter) ThreadsInFlight() int { return l.threadsInFlight }

// Acquire counts threads as in flight.
func (l *Limiter) Acquire(threads int) { l.threadsInFlight += threads }

// Release counts threads as no longer in flight.
func (l *Limiter) Release(threads int) { l.threadsInFlight -= threads }

// Scale multiplies the limit until the end of the interval, for example when a pool gains or loses engines.
func (l *Limiter) Scale(factor float64) { l.limit *= factor }

// RecordAnswer records the ratio of an answer's service time to the latency objective of its class.
func (l *Limiter) RecordAnswer(relativeTime float64) {
	l.relativeTimeSum += relativeTime
	l.answers++
}

// Request describes the next request of a class, for Limiter.Allows.
type Request struct {
	Threads       int
	ClassShare    units.Fraction // the class's share of the limit
	WidestThreads int            // threads of a request of the class that runs on most threads
	UnderPressure bool           // the engine receives more work than it completes
}

// Allows reports whether a request may be sent. One of these conditions is sufficient:
//   - nothing is in flight;
//   - with the request, the threads in flight stay within the limit;
//   - with the request, the threads that its class has in flight stay within the class's share of the limit,
//     or the request is the only one of its class, so that long requests of other classes don't block it.
//
// Without pressure a larger limit applies. Counting the threads that the class has in flight is expensive, so
// classThreadsInFlight is called only if the other conditions do not hold.
func (l *Limiter) Allows(r Request, classThreadsInFlight func() int) bool {
	threads, limit := float64(r.Threads), l.limit
	if !r.UnderPressure {
		widest := float64(r.WidestThreads)
		limit = max(l.config.UnloadedMultiple*limit, l.config.UnloadedRequests*widest)
	}
	return l.threadsInFlight == 0 || float64(l.threadsInFlight)+threads <= limit ||
		float64(classThreadsInFlight())+threads <= max(threads, float64(r.ClassShare)*limit)
}

// Interval holds the state at the end of an interval from which the limiter computes its next limit.
type Interval struct {
	Regular         bool           // the interval had its planned length, which the model needs
	Objective       time.Duration  // shortest latency objective of any class
	Wait            units.Seconds  // mean wait of that class's requests, part of the objective
	Cores           float64        // cores of the engine, or of the whole pool
	MemoryMB        float64        // memory of the engine, or of the whole pool; infinite if unknown
	BrokerShare     units.Fraction // this broker's share of cores and memory
	RequestThreads  float64        // mean threads of a request in service
	RequestMemoryMB float64        // mean memory of a request in service; 0: unknown
	MinLimit        int            // in threads; 0: no minimum
	UnderPressure   bool           // the engine receives more work than it completes
	Load            units.Fraction // reported fraction of the engine's capacity; over 1 under overload
	Slowdown        units.LogRatio // of answers and of attempts in flight
}

// CloseInterval ends an interval and sets the limit of the next one.
func (l *Limiter) CloseInterval(in Interval) {
	if l.answers > 0 && in.Regular {
		l.observe(l.relativeTimeSum/float64(l.answers), l.targetTime(in.Wait, in.Objective))
	} else if l.model != nil {
		l.model.Interrupt()
	}
	l.relativeTimeSum, l.answers = 0, 0
	l.updateBackoff(in)
	share, factor := float64(in.BrokerShare), float64(l.backoffFactor)
	l.limit = l.threadsPerCore() * in.Cores * share * factor
	if in.RequestMemoryMB > 0 { // the limit stays within the memory
		l.limit = min(l.limit, in.MemoryMB*share*factor/in.RequestMemoryMB*in.RequestThreads)
	}
	l.limit = max(l.limit, float64(in.MinLimit))
}

// targetTime returns the service time to reach, as a fraction of the latency objective.
func (l *Limiter) targetTime(wait units.Seconds, objective time.Duration) float64 {
	return max(l.config.MinTargetTime, 1-float64(wait/units.SecondsOf(objective)))
}

// updateBackoff lowers a limit that leaves the engine overloaded, for example in a surge of retries, in which
// this broker's share is overestimated. It raises the limit again gradually.
func (l *Limiter) updateBackoff(in Interval) {
	overloaded := in.Load > l.config.BackoffLoad || in.Slowdown > l.config.BackoffSlowdown
	if in.UnderPressure && overloaded {
		decreased := l.backoffFactor * units.Fraction(l.config.BackoffDecrease)
		l.backoffFactor = max(l.config.MinBackoffFactor, decreased)
	} else {
		l.backoffFactor = min(1, l.backoffFactor*units.Fraction(l.config.BackoffIncrease))
	}
}
