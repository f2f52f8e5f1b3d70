package workload

import (
	"math"
	"time"

	"wheatlane/control/units"
	"wheatlane/internal/estimate"
)

const (
	costWeight         = 0.02 // minimum weight of an answer in the means of work and memory
	floorWeightFactor  = 0.5  // weight in the floor of service times, relative to the weight in the means
	priorAnswers       = 1    // weight of the initial work, in answers
	initialMemoryRatio = 1.25 // needed over estimated memory, before the first answer
)

// Cost estimates the work and memory of a class's requests from their answers.
type Cost struct {
	meanWork     units.ThreadSeconds
	workBias     float64            // mean ratio of reported to estimated work
	meanMemoryMB float64            // 0: not reported
	memoryRatio  estimate.HighRatio // ratio of needed to estimated memory
	answers      int
	floor        estimate.Floor // of the logarithm of service times, without reported work
}

// NewCost returns an estimate with an initial mean work.
func NewCost(mean units.ThreadSeconds) Cost {
	return Cost{meanWork: mean, workBias: 1, memoryRatio: initialMemoryRatio}
}

// MeanWork returns the mean work of a request.
func (c *Cost) MeanWork() units.ThreadSeconds { return c.meanWork }

// ExpectedWork returns the expected work of a request, given its client's estimate as the time on one thread.
// Without an estimate (0), it returns the mean work.
func (c *Cost) ExpectedWork(estimated time.Duration) units.ThreadSeconds {
	if estimated <= 0 {
		return c.meanWork
	}
	return units.ThreadSeconds(estimated.Seconds() * c.workBias)
}

// MemoryMB returns the memory that most requests with the given client's estimate need.
func (c *Cost) MemoryMB(estimatedMB float64) float64 { return estimatedMB * float64(c.memoryRatio) }

// Answer holds the observations of a request's cost from its answer. A value of 0 is unknown.
type Answer struct {
	ServiceTime       units.Seconds
	Threads           int
	EngineSlowdown    units.LogRatio // as estimated before the answer
	Work              time.Duration  // reported, as the time on one thread
	MemoryMB          float64        // reported
	EstimatedWork     time.Duration  // by the client, as the time on one thread
	EstimatedMemoryMB float64        // by the client
}

// Observe records an answer and returns its sample of the engine's slowdown: the logarithm of the service
// time over the service time expected of an engine that is not slow. The expected time is the reported work
// divided by the threads or, without a report, the floor of the class's service times.
func (c *Cost) Observe(a Answer) units.LogRatio {
	c.answers++
	weight := estimate.SampleWeight(costWeight, float64(c.answers+priorAnswers))
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
