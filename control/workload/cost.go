package workload

import (
	"math"
	"time"

	"wheatlane/control/units"
	"wheatlane/internal/estimate"
)

const (
	costWeight         = 0.02 // weight of an answer in the means of work and memory
	floorWeightFactor  = 0.5  // weight in the floor of service times over that in the means
	guessAnswers       = 1    // weight of the first guess of the work, in answers
	initialMemoryRatio = 1.25 // memory needed over the estimate, before any answer
)

// Cost estimates the work and memory of a class's requests from their answers.
type Cost struct {
	meanWork     units.ThreadSeconds
	workBias     float64            // reported over estimated work
	meanMemoryMB float64            // 0: not reported
	memoryRatio  estimate.HighRatio // needed over estimated memory
	answers      int
	floor        estimate.Floor // of the logarithm of service times, where answers don't report work
}

// NewCost returns an estimate that starts at a mean.
func NewCost(mean units.ThreadSeconds) Cost {
	return Cost{meanWork: mean, workBias: 1, memoryRatio: initialMemoryRatio}
}

// MeanWork is the mean work of a request.
func (c *Cost) MeanWork() units.ThreadSeconds { return c.meanWork }

// ExpectedWork is the work expected of a request by its client's estimate, on one thread, or without one (0)
// the mean.
func (c *Cost) ExpectedWork(estimated time.Duration) units.ThreadSeconds {
	if estimated <= 0 {
		return c.meanWork
	}
	return units.ThreadSeconds(estimated.Seconds() * c.workBias)
}

// MemoryMB is the memory that most requests with a client's estimate need.
func (c *Cost) MemoryMB(estimatedMB float64) float64 { return estimatedMB * float64(c.memoryRatio) }

// Answer is what an answer shows of its request's cost. What is 0 is not known.
type Answer struct {
	ServiceTime       units.Seconds
	Threads           int
	EngineSlowdown    units.LogRatio // as estimated before the answer
	Work              time.Duration  // reported, as the time on one thread
	MemoryMB          float64        // reported
	EstimatedWork     time.Duration  // by the client, as the time on one thread
	EstimatedMemoryMB float64        // by the client
}

// Observe takes an answer and returns what it shows of its engine's slowdown: the logarithm of the service
// time over the one expected of an engine that is not slow. The latter is the reported work spread over the
// threads or, without a report, the class's fastest service times.
func (c *Cost) Observe(a Answer) units.LogRatio {
	c.answers++
	weight := estimate.SampleWeight(costWeight, float64(c.answers+guessAnswers))
	took, threads := float64(a.ServiceTime), float64(a.Threads)
	if a.Work <= 0 {
		work := units.ThreadSeconds(took * threads / a.EngineSlowdown.Ratio())
		c.meanWork = estimate.EWMA(c.meanWork, work, weight)
		return units.LogRatio(c.floor.Observe(math.Log(took), weight*floorWeightFactor))
	}
	work := a.Work.Seconds()
	c.meanWork = estimate.EWMA(c.meanWork, units.ThreadSeconds(work), weight)
	if a.EstimatedWork > 0 {
		c.workBias = estimate.EWMA(c.workBias, work/a.EstimatedWork.Seconds(), weight)
	}
	if a.EstimatedMemoryMB > 0 && a.MemoryMB > 0 {
		c.memoryRatio.Observe(a.MemoryMB, a.EstimatedMemoryMB)
	}
	c.meanMemoryMB = estimate.EWMA(c.meanMemoryMB, a.MemoryMB, weight)
	return units.LogRatioOf(took * threads / work)
}
