package control

import (
	"slices"
	"time"

	"wheatlane/control/selection"
)

// probeLoad asks an engine for its load.
func (c *Controller) probeLoad(e *engine) {
	e.load.Probed(c.now)
	c.emit(ProbeLoad{e.ID})
}

// probeEnded takes the answer to a load probe.
func (c *Controller) probeEnded(result ProbeResult) {
	if e := c.endpoints.byID[result.Engine]; e != nil && result.Status == OK {
		e.health.Responded(c.now)
		c.loadReported(e, result.Report)
	}
}

// probeBeforeEnqueue asks a few engines for their load before a request that is more work than the mean is
// enqueued. It reports whether the request waits for that.
func (c *Controller) probeBeforeEnqueue(r *request, avoid *engine) bool {
	if !c.settings.Limits.LoadProbes || r.probed || !c.isHeavy(r) || c.endpoints.pool != nil {
		return false
	}
	r.probed = true
	probed := false
	for n := 0; n < c.selection.Choices && len(c.endpoints.all) > 0; n++ {
		e := c.endpoints.all[c.rng.IntN(len(c.endpoints.all))]
		if e.member.TakesRequests() && !e.health.Ejected() && !e.load.ProbedLately(c.now) {
			c.probeLoad(e)
			probed = true
		}
	}
	if probed {
		c.startTimer(c.probeWait(), loadProbesDue{r, avoid})
	}
	return probed
}

// isHeavy reports whether a request is more work than the mean.
func (c *Controller) isHeavy(r *request) bool {
	return r.class.Cost.MeanWork() > c.workload.Summary().MeanWork
}

// probeWait is how long a request waits for load probes.
func (c *Controller) probeWait() time.Duration {
	return c.selection.ProbeWaitBatches * c.settings.MinBatchInterval
}

// probeCandidates draws a few engines for a request that may leave the pool (power of d choices) and probes
// them: what is known of their load is as old as a heavy request takes. It reports whether the request waits
// for that; what is no more work than the mean goes at once.
func (c *Controller) probeCandidates(r *request) bool {
	r.candidates = nil
	if !c.settings.Limits.LoadProbes || !c.isHeavy(r) {
		return false
	}
	probed := false
	for range c.selection.Choices {
		e := c.selectEngine(r, r.avoid)
		if e == nil || slices.Contains(r.candidates, e) {
			continue
		}
		r.candidates = append(r.candidates, e)
		if !e.load.Fresh(c.now) {
			c.probeLoad(e)
			probed = true
		}
	}
	if probed {
		c.awaitProbes(r)
	}
	return probed
}

// awaitProbes has a request wait for the probes of its candidates. Its threads count as in flight meanwhile.
func (c *Controller) awaitProbes(r *request) {
	class := r.class
	class.awaitingProbes++
	c.endpoints.pool.concurrency.Acquire(class.Threads)
	c.startTimer(c.probeWait(), candidateProbesDue{r})
}

// candidatesProbed ends that wait.
func (c *Controller) candidatesProbed(r *request) {
	r.class.awaitingProbes--
	c.endpoints.pool.concurrency.Release(r.class.Threads)
	if !r.closed {
		c.dispatchToBestCandidate(r)
	}
}

// dispatchToBestCandidate sends a request that leaves the pool to the best of its candidates or, without any
// that is still eligible, to an engine selected now.
func (c *Controller) dispatchToBestCandidate(r *request) {
	var best selection.Best[*engine]
	for _, e := range r.candidates {
		if c.mayAttempt(r, e) && !e.health.AtCapacity(c.now) {
			best.Offer(e, c.score(e, r))
		}
	}
	e := best.Candidate()
	if e == nil {
		e = c.selectEngine(r, r.avoid)
	}
	if e == nil {
		c.requests.waitForEngine(r)
		return
	}
	c.sendAttempt(r, e)
}
