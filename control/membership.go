package control

import "wheatlane/control/slowdown"

// watchEndpoints begins to watch the endpoint list where that is required and due.
func (c *Controller) watchEndpoints() {
	if c.endpointWatch.Begin(c.now) {
		c.emit(WatchEndpoints{})
	}
}

// endpointsUpdated follows the endpoint list.
func (c *Controller) endpointsUpdated(update EndpointUpdate) {
	if update.Kind == EndpointWatchFailed {
		c.endpointWatch.Ended(c.now)
		return
	}
	create := func(listed Engine) *engine {
		return c.newEngine(listed, c.settings.EngineKinds[listed.Kind])
	}
	for _, engine := range c.endpoints.apply(update, create, &c.slowdowns) {
		c.requeueWaiting(engine)
	}
	c.updateFleet()
}

// apply follows an update of the endpoint list. It returns the engines that take no new requests by it.
func (s *endpointSet) apply(
	update EndpointUpdate, create func(Engine) *engine, slowdowns *slowdown.Estimator,
) (unavailable []*engine) {
	named := map[string]bool{}
	for _, listed := range update.Engines {
		named[listed.ID] = true
		engine := s.byID[listed.ID]
		if engine == nil {
			engine = create(listed)
			s.add(engine)
		} else if listed.StartedAt > engine.StartedAt {
			engine.health.Reset()
			slowdowns.Reset(&engine.slowdown)
		}
		engine.Engine = listed
		engine.member.SetMaintenance(s.inMaintenance[listed.ID])
		engine.member.Update(listed.State)
		if !engine.member.AcceptsRequests() {
			unavailable = append(unavailable, engine)
		}
	}
	if update.Kind != EndpointSnapshot {
		return unavailable
	}
	for _, engine := range s.all {
		if !named[engine.ID] && engine.member.Listed() {
			engine.member.Unlist()
			unavailable = append(unavailable, engine)
		}
	}
	return unavailable
}

// setMaintenance puts an engine into maintenance mode, or takes it out.
func (c *Controller) setMaintenance(event SetMaintenance) {
	engine := c.endpoints.setMaintenance(event.Engine, event.Enabled)
	if engine == nil {
		return
	}
	if !engine.member.AcceptsRequests() {
		c.requeueWaiting(engine)
	}
	c.updateFleet()
}

// setMaintenance records the mode, also of an engine that is not known, and returns the engine if it is.
func (s *endpointSet) setMaintenance(id string, enabled bool) *engine {
	if enabled {
		s.inMaintenance[id] = true
	} else {
		delete(s.inMaintenance, id)
	}
	engine := s.byID[id]
	if engine != nil {
		engine.member.SetMaintenance(enabled)
	}
	return engine
}

// updateFleet follows a change of the engines.
func (c *Controller) updateFleet() {
	for _, id := range c.endpoints.removeGone() {
		c.noticeThrottle.Forget(logSubject{ejected, id})
		c.noticeThrottle.Forget(logSubject{restored, id})
	}
	c.endpoints.summarize(c.slowStart, c.now)
}
