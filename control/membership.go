package control

import "time"

// resubscribeAfter is the least time between a subscription that failed or ended and the next one.
const resubscribeAfter = 2 * time.Second

// subscription is the state of the subscription to the endpoint list, where it has to be asked for.
type subscription struct {
	active bool
	nextAt time.Duration // when it may be asked for again
}

// pollEndpoints subscribes to the endpoint list where that is needed.
func (c *Controller) pollEndpoints() {
	if c.settings.PollEndpointList && !c.subscription.active && c.now >= c.subscription.nextAt {
		c.subscription.active = true
		c.emit(WatchEndpoints{})
	}
}

// endpointsUpdated follows the endpoint list.
func (c *Controller) endpointsUpdated(update EndpointUpdate) {
	if update.Kind == EndpointPollFailed {
		c.subscription.active = false
		c.subscription.nextAt = c.now + min(resubscribeAfter, c.settings.Rules.MaxPollInterval/2)
		return
	}
	named := map[string]bool{}
	for _, listed := range update.Engines {
		named[listed.ID] = true
		c.endpointListed(listed)
	}
	if update.Kind == EndpointSnapshot {
		for _, e := range c.endpoints.all {
			if !named[e.ID] && e.listed {
				e.listed = false
				c.requeueWaiting(e)
			}
		}
	}
	c.updateFleet()
}

func (c *Controller) endpointListed(listed Engine) {
	e := c.endpoints.byID[listed.ID]
	if e == nil {
		e = c.newEngine(listed, c.settings.EngineKinds[listed.Kind])
		c.endpoints.add(e)
	} else if listed.StartedAt > e.StartedAt {
		e.health.Restarted()
		c.slowdowns.Restarted(&e.slowdown)
	}
	e.Engine, e.listed, e.listedState = listed, listed.State != Removed, listed.State
	c.applyListedState(e)
}

// setMaintenance puts an engine into maintenance mode, or takes it out.
func (c *Controller) setMaintenance(event SetMaintenance) {
	if event.Enabled {
		c.endpoints.inMaintenance[event.Engine] = true
	} else {
		delete(c.endpoints.inMaintenance, event.Engine)
	}
	if e := c.endpoints.byID[event.Engine]; e != nil {
		c.applyListedState(e)
		c.updateFleet()
	}
}

// applyListedState follows an engine's listed state. One in maintenance mode is treated as draining.
func (c *Controller) applyListedState(e *engine) {
	e.State = e.listedState
	if c.endpoints.inMaintenance[e.ID] && e.State == Ready {
		e.State = Draining
	}
	if e.State != Ready {
		c.requeueWaiting(e)
	}
}

// updateFleet sums up after a change of engines: how many are ready, whether most look faulty, and the pool's
// size.
func (c *Controller) updateFleet() {
	for _, id := range c.endpoints.removeGone() {
		c.log.forgetEngine(id)
	}
	cores, memoryMB, ready, ejected := 0.0, 0.0, 0, 0
	for _, e := range c.endpoints.all {
		switch {
		case !e.listed || e.State != Ready:
			continue
		case e.health.Ejected():
			ejected++
		default:
			cores += e.cores * c.slowStartFraction(e)
			memoryMB += e.memoryMB
		}
		ready++
	}
	c.endpoints.majorityFaulty, c.endpoints.ready = ejected > ready-ejected, max(1, ready)
	if pool := c.endpoints.pool; pool != nil {
		previous := pool.cores
		pool.cores, pool.memoryMB = max(1, cores), max(1, memoryMB)
		pool.concurrency.Scale(pool.cores / previous)
	}
}
