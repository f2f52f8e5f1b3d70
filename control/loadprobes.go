package control

import (
	"slices"
	"time"

	"wheatlane/control/selection"
)

const (
	probeCandidateCount = 3 // engines that are probed for a request before one is selected
	probeWaitBatches    = 4 // batch intervals that a request waits for probe results
)

// probeLoad sends a load probe to an engine.
func (c *Controller) probeLoad(engine *engine) {
	engine.load.RecordProbe(c.now)
	c.emit(ProbeLoad{engine.ID})
}

// handleProbeResult records the result of a load probe.
func (c *Controller) handleProbeResult(result ProbeResult) {
	if engine := c.endpoints.byID[result.Engine]; engine != nil && result.Status == OK {
		engine.health.RecordResponse(c.now)
		c.recordLoadReport(engine, result.Report)
	}
}

// probeBeforeEnqueue probes the load of a few engines before a request of a heavy class is enqueued. It
// reports whether the request waits for the results.
func (c *Controller) probeBeforeEnqueue(request *request, avoid *engine) bool {
	if !c.settings.Limits.LoadProbes || request.probed || !c.isHeavy(request) || c.endpoints.pool != nil {
		return false
	}
	request.probed = true
	probed := false
	for n := 0; n < probeCandidateCount && len(c.endpoints.all) > 0; n++ {
		engine := c.endpoints.all[c.rng.IntN(len(c.endpoints.all))]
		usable := engine.member.AcceptsRequests() && !engine.health.Ejected()
		if usable && !engine.load.RecentlyProbed(c.now) {
			c.probeLoad(engine)
			probed = true
		}
	}
	if probed {
		c.startTimer(c.probeWait(), loadProbesDue{request, avoid})
	}
	return probed
}

// isHeavy reports whether a request belongs to a heavy class: one whose mean work exceeds the mean over all
// requests. The expected work of the request itself does not matter.
func (c *Controller) isHeavy(request *request) bool {
	return request.class.Cost.MeanWork() > c.workload.Summary().MeanWork
}

// probeWait returns the time that a request waits for load probes.
func (c *Controller) probeWait() time.Duration {
	return probeWaitBatches * c.settings.MinBatchInterval
}

// probeCandidates draws a few engines for a request that may leave the pool (power of d choices) and probes
// those whose load report is not fresh: engines report with their responses, so a report may be as old as the
// service time of a heavy request. It reports whether the request waits for the results. Only requests of
// heavy classes do.
func (c *Controller) probeCandidates(request *request) bool {
	request.candidates = nil
	if !c.settings.Limits.LoadProbes || !c.isHeavy(request) {
		return false
	}
	probed := false
	for range probeCandidateCount {
		engine := c.selectEngine(request, request.avoid)
		if engine == nil || slices.Contains(request.candidates, engine) {
			continue
		}
		request.candidates = append(request.candidates, engine)
		if !engine.load.Fresh(c.now) {
			c.probeLoad(engine)
			probed = true
		}
	}
	if probed {
		c.awaitProbes(request)
	}
	return probed
}

// awaitProbes delays a request until the probes of its candidates are due. Its threads count as in flight
// meanwhile.
func (c *Controller) awaitProbes(request *request) {
	class := request.class
	class.slot.current().awaitingProbeThreads += class.Threads
	c.endpoints.pool.concurrency.Acquire(class.Threads)
	c.startTimer(c.probeWait(), candidateProbesDue{request})
}

// finishCandidateProbes ends the wait that awaitProbes started and dispatches the request if it is still
// open.
func (c *Controller) finishCandidateProbes(request *request) {
	class := request.class
	class.slot.current().awaitingProbeThreads -= class.Threads
	c.endpoints.pool.concurrency.Release(class.Threads)
	if !request.closed {
		c.dispatchToBestCandidate(request)
	}
}

// dispatchToBestCandidate sends a request that leaves the pool to the best of its candidates or, if none is
// eligible any more, to a newly selected engine.
func (c *Controller) dispatchToBestCandidate(request *request) {
	selector := c.newSelector(request)
	engine := selector.bestCandidate(request.candidates)
	if engine == nil {
		engine = selector.selectEngine(request.avoid)
	}
	if engine == nil {
		c.requests.deferToNextTick(request)
		return
	}
	c.sendAttempt(request, engine)
}

// bestCandidate returns the candidate with the best score, or nil if none is eligible.
func (s *selector) bestCandidate(candidates []*engine) *engine {
	var best selection.Best[*engine]
	if s.forbiddenEverywhere() {
		return nil
	}
	for _, engine := range candidates {
		if s.allows(engine) && !engine.health.AtCapacity(s.controller.now) {
			best.Offer(engine, s.score(engine))
		}
	}
	return best.Candidate()
}
