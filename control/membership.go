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
		for _, engine := range c.endpoints.all {
			if !named[engine.ID] && engine.member.Listed() {
				engine.member.Unlist()
				c.requeueWaiting(engine)
			}
		}
	}
	c.updateFleet()
}

func (c *Controller) endpointListed(listed Engine) {
	engine := c.endpoints.byID[listed.ID]
	if engine == nil {
		engine = c.newEngine(listed, c.settings.EngineKinds[listed.Kind])
		c.endpoints.add(engine)
	} else if listed.StartedAt > engine.StartedAt {
		engine.health.Restarted()
		c.slowdowns.Restarted(&engine.slowdown)
	}
	engine.Engine = listed
	engine.member.SetMaintenance(c.endpoints.inMaintenance[engine.ID])
	engine.member.Update(listed.State)
	c.requeueUnlessReady(engine)
}

// setMaintenance puts an engine into maintenance mode, or takes it out.
func (c *Controller) setMaintenance(event SetMaintenance) {
	if event.Enabled {
		c.endpoints.inMaintenance[event.Engine] = true
	} else {
		delete(c.endpoints.inMaintenance, event.Engine)
	}
	if engine := c.endpoints.byID[event.Engine]; engine != nil {
		engine.member.SetMaintenance(event.Enabled)
		c.requeueUnlessReady(engine)
		c.updateFleet()
	}
}

// requeueUnlessReady takes the requests out of the queue of an engine that takes no new ones.
func (c *Controller) requeueUnlessReady(engine *engine) {
	if engine.member.State() != Ready {
		c.requeueWaiting(engine)
	}
}

// updateFleet follows a change of the engines.
func (c *Controller) updateFleet() {
	for _, id := range c.endpoints.removeGone() {
		c.log.forgetEngine(id)
	}
	c.endpoints.summarize(&c.slowStart, c.now)
}
