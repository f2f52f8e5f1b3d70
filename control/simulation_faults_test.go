package control_test

import (
	"fmt"
	"slices"
	"time"

	"wheatlane/control"
)

type classUpdate struct {
	classes []control.Class
	limits  control.Limits
}

// injectFaults occasionally changes the load, the clients' behavior, the state of engines, the endpoint list
// and the maintenance modes, and sends unexpected events.
func (c *simulatedCluster) injectFaults() {
	if c.chance(0.0005) {
		c.load = []float64{0.3, 0.7, 1, 1.6, 3}[c.rng.IntN(5)]
	}
	if c.chance(0.0004) {
		c.disconnectRate = []float64{0, 0.02, 0.7}[c.rng.IntN(3)]
	}
	if c.chance(0.0005) {
		c.estimateRate = c.rng.Float64()
	}
	for _, e := range c.engines {
		c.injectFault(e)
	}
	if c.chance(0.0008) {
		c.schedule(0, c.snapshot())
	}
	if c.chance(0.0004) && len(c.engines) < 80 {
		e := c.addEngine()
		e.StartedAt = c.now - c.randomDuration(0, 2*time.Second)
		c.schedule(0, control.EndpointUpdate{Kind: control.EndpointDelta, Engines: []control.Engine{e.Engine}})
	}
	if c.chance(0.002) { // unexpected events, which the controller must ignore or fail
		stray := control.Request{ID: "stray", Class: "no such class", Deadline: c.now + time.Second}
		c.schedule(0, control.RequestReceived{Request: stray})
		if r := c.requests[fmt.Sprint("r", c.requestCount)]; r != nil && !r.closed { // a duplicate
			c.schedule(20*millisecond, control.RequestReceived{Request: r.Request})
		}
		c.schedule(0, control.ClientDisconnected{RequestID: "nobody's"})
		c.schedule(0, control.AttemptEnded{RequestID: "nobody's", Number: -1})
		c.schedule(0, control.TimerFired{Token: 1 << 40})
		c.schedule(0, control.ProbeResult{Engine: "no such engine"})
	}
}

func (c *simulatedCluster) injectFault(e *simulatedEngine) {
	if c.chance(0.01) {
		e.background = 1.3 * c.rng.Float64()
	}
	if c.now > e.faultEnd {
		e.slowdown, e.failureRate, e.lossRate, e.atCapacityRate = 1, 0.001, c.lossRate, 0
		if !c.chance(c.faultRate) {
			return
		}
		e.faultEnd = c.now + c.randomDuration(500*millisecond, 8*time.Second)
		switch c.rng.IntN(4) {
		case 0:
			e.slowdown = 2 + 10*c.rng.Float64()
		case 1:
			e.failureRate = 0.3 + 0.7*c.rng.Float64()
		case 2:
			e.lossRate = 0.1 + 0.9*c.rng.Float64()
		case 3:
			e.atCapacityRate = 0.5 + 0.5*c.rng.Float64()
		}
	}
	if c.chance(0.0006) {
		e.State = control.EngineState(c.rng.IntN(3))
		c.updateEndpointList(e)
	}
	if c.chance(0.0015) && e.State != control.Ready { // a new process replaces it
		e.State, e.StartedAt = control.Ready, c.now-c.randomDuration(0, 2*time.Second)
		c.updateEndpointList(e)
	}
	if c.chance(0.0003) {
		c.schedule(0, control.SetMaintenance{Engine: e.ID, Enabled: true})
		c.schedule(c.randomDuration(time.Second, 6*time.Second), control.SetMaintenance{Engine: e.ID})
	}
}

func (c *simulatedCluster) updateEndpointList(e *simulatedEngine) {
	delta := control.EndpointUpdate{Kind: control.EndpointDelta, Engines: []control.Engine{e.Engine}}
	c.schedule(c.randomDuration(0, 600*millisecond), delta)
}

// gossip occasionally schedules load reports of some engines from another broker.
func (c *simulatedCluster) gossip() {
	if !c.settings.Limits.Gossip || !c.chance(0.02) {
		return
	}
	received := control.GossipReceived{Broker: c.rng.IntN(c.settings.Brokers)}
	for range 1 + c.rng.IntN(8) {
		e := c.engines[c.rng.IntN(len(c.engines))]
		received.Reports = append(received.Reports, control.GossipedLoad{
			Engine: control.GossipID(e.ID), Load: e.background, Age: c.randomDuration(0, 3*time.Second),
		})
	}
	c.schedule(0, received)
}

// reload occasionally returns a reload of the settings, which changes, adds or removes a class and changes
// the maximum number of attempts.
func (c *simulatedCluster) reload() *classUpdate {
	if !c.chance(0.0003) {
		return nil
	}
	classes := slices.Clone(c.settings.Classes)
	switch class := &classes[c.rng.IntN(len(classes))]; c.rng.IntN(4) {
	case 0:
		class.PriorityWeight *= 1.5
	case 1:
		class.LatencyObjective += 100 * millisecond
	case 2:
		added := *class
		added.Name = fmt.Sprint("added-", c.requestCount)
		classes = append(classes, added)
	case 3:
		if len(classes) > 1 {
			classes = classes[1:]
		}
	}
	c.settings.Classes = classes
	c.settings.Limits.MaxAttempts = 1 + c.rng.IntN(5)
	return &classUpdate{classes, c.settings.Limits}
}
