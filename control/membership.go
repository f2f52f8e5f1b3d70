package control

import "wheatlane/control/slowdown"

// watchEndpoints starts a watch of the endpoint list if one is required and due.
func (c *Controller) watchEndpoints() {
	if c.endpointWatch.Begin(c.now) {
		c.emit(WatchEndpoints{})
	}
}

// handleEndpointUpdate applies a change of the endpoint list and moves requests off engines that became
// unavailable.
func (c *Controller) handleEndpointUpdate(update EndpointUpdate) {
	if update.Kind == EndpointWatchFailed {
		c.endpointWatch.Ended(c.now)
		return
	}
	create := func(listed Engine) *engine {
		return c.newEngine(listed, c.settings.EngineKinds[listed.Kind])
	}
	for _, engine := range c.endpoints.apply(update, create, &c.slowdowns) {
		c.requeueAll(engine)
	}
	c.refreshEndpoints()
}

// apply updates the set from a change of the endpoint list. It returns the engines of the update that accept
// no new requests.
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

// handleSetMaintenance enables or disables the maintenance mode of an engine.
func (c *Controller) handleSetMaintenance(event SetMaintenance) {
	engine := c.endpoints.setMaintenance(event.Engine, event.Enabled)
	if engine == nil {
		return
	}
	if !engine.member.AcceptsRequests() {
		c.requeueAll(engine)
	}
	c.refreshEndpoints()
}

// setMaintenance records the maintenance mode of an engine, known or not, and returns the engine, or nil if
// it is not known.
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

// refreshEndpoints removes unlisted engines without work and recomputes the summary of the others.
func (c *Controller) refreshEndpoints() {
	for _, id := range c.endpoints.removeUnlisted() {
		c.noticeThrottle.Forget(noticeKey{ejected, id})
		c.noticeThrottle.Forget(noticeKey{restored, id})
	}
	c.endpoints.updateSummary(c.slowStart, c.now)
}
