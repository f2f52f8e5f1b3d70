package control

import (
	"slices"
	"time"

	"wheatlane/control/selection"
)

const (
	probedEngines    = 3 // engines that are probed for a request before one is selected
	probeWaitBatches = 4 // batch intervals that a request waits for their answers
)

// probeLoad asks an engine for its load.
func (c *Controller) probeLoad(engine *engine) {
	engine.load.RecordProbe(c.now)
	c.emit(ProbeLoad{engine.ID})
}

// probeEnded takes the answer to a load probe.
func (c *Controller) probeEnded(result ProbeResult) {
	if engine := c.endpoints.byID[result.Engine]; engine != nil && result.Status == OK {
		engine.health.RecordResponse(c.now)
		c.loadReported(engine, result.Report)
	}
}

// probeBeforeEnqueue asks a few engines for their load before a request of a heavy class is enqueued. It
// reports whether the request waits for that.
func (c *Controller) probeBeforeEnqueue(request *request, avoid *engine) bool {
	if !c.settings.Limits.LoadProbes || request.probed || !c.isHeavy(request) || c.endpoints.pool != nil {
		return false
	}
	request.probed = true
	probed := false
	for n := 0; n < probedEngines && len(c.endpoints.all) > 0; n++ {
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

// isHeavy reports whether a request is of a heavy class: one whose mean work is over that of all requests.
// The work expected of the request itself does not count.
func (c *Controller) isHeavy(request *request) bool {
	return request.class.Cost.MeanWork() > c.workload.Summary().MeanWork
}

// probeWait is how long a request waits for load probes.
func (c *Controller) probeWait() time.Duration {
	return probeWaitBatches * c.settings.MinBatchInterval
}

// probeCandidates draws a few engines for a request that may leave the pool (power of d choices) and probes
// those whose load report is not fresh: reports come with answers, so one may be as old as a heavy request
// takes. It reports whether the request waits for that. One that is not of a heavy class does not.
func (c *Controller) probeCandidates(request *request) bool {
	request.candidates = nil
	if !c.settings.Limits.LoadProbes || !c.isHeavy(request) {
		return false
	}
	probed := false
	for range probedEngines {
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

// awaitProbes has a request wait for the probes of its candidates. Its threads count as in flight meanwhile.
func (c *Controller) awaitProbes(request *request) {
	class := request.class
	class.awaitingProbes++
	c.endpoints.pool.concurrency.Acquire(class.Threads)
	c.startTimer(c.probeWait(), candidateProbesDue{request})
}

// candidatesProbed ends that wait.
func (c *Controller) candidatesProbed(request *request) {
	request.class.awaitingProbes--
	c.endpoints.pool.concurrency.Release(request.class.Threads)
	if !request.closed {
		c.dispatchToBestCandidate(request)
	}
}

// dispatchToBestCandidate sends a request that leaves the pool to the best of its candidates or, without any
// that is still eligible, to an engine selected now.
func (c *Controller) dispatchToBestCandidate(request *request) {
	selector := c.selectorFor(request)
	engine := selector.bestCandidate(request.candidates)
	if engine == nil {
		engine = selector.selectEngine(request.avoid)
	}
	if engine == nil {
		c.requests.waitForTick(request)
		return
	}
	c.sendAttempt(request, engine)
}

// bestCandidate returns the candidate with the best score, or nil if none is eligible.
func (s *selector) bestCandidate(candidates []*engine) *engine {
	var best selection.Best[*engine]
	if s.forbidden() {
		return nil
	}
	for _, engine := range candidates {
		if s.allows(engine) && !engine.health.AtCapacity(s.controller.now) {
			best.Offer(engine, s.score(engine))
		}
	}
	return best.Candidate()
}
