package control

// pollEndpoints subscribes to the endpoint list where that is needed.
func (c *Controller) pollEndpoints() {
	if c.subscription.Begin(c.now) {
		c.emit(WatchEndpoints{})
	}
}

// endpointsUpdated follows the endpoint list.
func (c *Controller) endpointsUpdated(update EndpointUpdate) {
	if update.Kind == EndpointPollFailed {
		c.subscription.Ended(c.now)
		return
	}
	named := map[string]bool{}
	for _, listed := range update.Engines {
		named[listed.ID] = true
		c.endpointListed(listed)
	}
	if update.Kind == EndpointSnapshot {
		for _, e := range c.endpoints.all {
			if !named[e.ID] && e.member.Listed() {
				e.member.Unlist()
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
	e.Engine = listed
	e.member.SetMaintenance(c.endpoints.inMaintenance[e.ID])
	e.member.Update(listed.State)
	c.requeueUnlessReady(e)
}

// setMaintenance puts an engine into maintenance mode, or takes it out.
func (c *Controller) setMaintenance(event SetMaintenance) {
	if event.Enabled {
		c.endpoints.inMaintenance[event.Engine] = true
	} else {
		delete(c.endpoints.inMaintenance, event.Engine)
	}
	if e := c.endpoints.byID[event.Engine]; e != nil {
		e.member.SetMaintenance(event.Enabled)
		c.requeueUnlessReady(e)
		c.updateFleet()
	}
}

// requeueUnlessReady takes the requests out of the queue of an engine that takes no new ones.
func (c *Controller) requeueUnlessReady(e *engine) {
	if e.member.State() != Ready {
		c.requeueWaiting(e)
	}
}

// updateFleet follows a change of the engines.
func (c *Controller) updateFleet() {
	for _, id := range c.endpoints.removeGone() {
		c.log.Forget(logSubject{ejected, id})
		c.log.Forget(logSubject{restored, id})
	}
	c.endpoints.summarize(&c.slowStart, c.now)
}
