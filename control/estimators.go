package control

import (
	"math"
	"time"

	"wheatlane/control/units"
	"wheatlane/internal/estimate"
)

const (
	workGain          = 0.02 // weight of an answer in a class's work and memory
	waitGain          = 0.05 // weight of a request in its class's mean wait
	spreadGain        = 0.02 // weight of an answer in the spread of service times
	spreadPriorWeight = 5.0  // answers that the first guess of the spread weighs as much as
	floorGain         = 0.5  // weight of an answer in the floor of service times, in weights in the work
	minServiceSeconds = 1e-4 // least service time that is taken as measured
)

// expectedServiceTime is the service time expected of a request on an engine, in seconds.
func (c *Controller) expectedServiceTime(r *request, e *engine) float64 {
	return r.expectedWork / float64(r.class.Threads) * c.estimatedSlowdown(e).Ratio()
}

// likelyServiceTime corrects that by what the request's class takes over what is expected of all: priorities
// and locks differ by class.
func (c *Controller) likelyServiceTime(r *request, e *engine) time.Duration {
	return seconds(c.expectedServiceTime(r, e) * math.Exp(r.class.spread.Mean))
}

// learnFromAnswer takes what an answer shows: its class's work and memory, the spread of service times, its
// engine's slowdown.
func (c *Controller) learnFromAnswer(a *attempt, end AttemptEnded) {
	r, k, e := a.request, a.request.class, a.engine
	took := max(end.Duration.Seconds(), minServiceSeconds)
	logSlowdown := c.learnWork(r, e, end, took)
	gain := estimate.Gain(spreadGain, k.answersSeen+spreadPriorWeight)
	k.spread.Observe(math.Log(took/c.expectedServiceTime(r, e)), gain)
	c.observeSlowdown(e, units.LogRatio(logSlowdown))
	owner := e.queueOwner
	owner.concurrency.RecordAnswer(took / k.LatencyObjective.Seconds())
	k.latencySum += (c.now - r.receivedAt).Seconds()
	k.answered++
}

// learnWork takes what an answer shows of its class's work, and returns the log of the engine's slowdown by
// it.
func (c *Controller) learnWork(r *request, e *engine, end AttemptEnded, took float64) (logSlowdown float64) {
	k := r.class
	threads := float64(k.Threads)
	k.answersSeen++
	gain := estimate.Gain(workGain, k.answersSeen+1)
	if !c.settings.ReportsCost || end.Work <= 0 {
		k.meanWork = estimate.Toward(k.meanWork, took*threads/c.estimatedSlowdown(e).Ratio(), gain)
		return k.serviceTimeFloor.Observe(math.Log(took), gain*floorGain)
	}
	work := end.Work.Seconds()
	k.meanWork = estimate.Toward(k.meanWork, work, gain)
	if r.EstimatedWork > 0 {
		k.workBias = estimate.Toward(k.workBias, work/r.EstimatedWork.Seconds(), gain)
	}
	if r.EstimatedMemoryMB > 0 && end.MemoryMB > 0 {
		k.memoryQuantile = estimate.HighRatio(k.memoryQuantile, end.MemoryMB, r.EstimatedMemoryMB)
	}
	k.meanMemoryMB = estimate.Toward(k.meanMemoryMB, end.MemoryMB, gain)
	return math.Log(took * threads / work)
}

// updateTrafficShare follows this broker's share of the traffic. Where engines are pooled it stays as it is
// under pressure, as retries are counted again then.
func (c *Controller) updateTrafficShare(share float64) {
	gain := trafficShareGain
	if pool := c.endpoints.pool; pool != nil {
		if c.underPressure(pool) {
			return
		}
		gain = pooledShareGain
	}
	c.workload.trafficShare = estimate.Toward(c.workload.trafficShare, share, c.workload.gain(gain))
}

// learnWait takes how long a request waited here before its first attempt.
func (k *class) learnWait(wait time.Duration) {
	k.meanWait = estimate.Toward(k.meanWait, wait.Seconds(), waitGain)
}

// clientLeft learns how many clients leave before their time, and how long those stay. While few have left,
// the last one counts most.
func (k *class) clientLeft(after time.Duration) {
	k.abandonRate = estimate.Toward(k.abandonRate, 1, spreadGain)
	first := min(1, highAbandonRate/max(k.abandonRate, 1e-9))
	k.abandonAfter += first * (after.Seconds() - k.abandonAfter)
}

// clientStayed learns that a client waited for its answer.
func (k *class) clientStayed() { k.abandonRate = estimate.Toward(k.abandonRate, 0, spreadGain) }

// seconds converts a time in seconds, of at most some days.
func seconds(s float64) time.Duration { return time.Duration(min(s, 1e6) * float64(time.Second)) }
