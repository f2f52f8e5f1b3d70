package control

import "wheatlane/control/slowstart"

func newSlowStart(s Settings) slowstart.Policy {
	return slowstart.New(slowstart.Config{
		InitialFraction:  s.Rules.SlowStartInitial,
		Duration:         s.Rules.SlowStartDuration,
		OverloadMultiple: s.Rules.OverloadMultiple, OverloadWindow: s.Rules.OverloadWindow,
		Brokers: s.Brokers, BrokerIndex: s.BrokerIndex,
	})
}

// slowStartInput is what slow start has to know of an engine.
func (e *engine) slowStartInput() slowstart.Engine {
	return slowstart.Engine{StartedAt: e.StartedAt, Cores: e.cores, FirstTurn: e.idHash}
}

// slowStartDemand is what slow start has to know of the traffic.
func (c *Controller) slowStartDemand() slowstart.Demand {
	summary := c.workload.Summary()
	return slowstart.Demand{
		ArrivalRate: summary.ArrivalRate, MeanWork: summary.MeanWork,
		HeaviestWork: summary.HeaviestWork, TrafficShare: c.workload.TrafficShare(),
		ReadyEngines: c.endpoints.ready,
	}
}

// inSlowStart reports whether an engine warms up.
func (c *Controller) inSlowStart(e *engine) bool {
	return c.slowStart.Active(e.slowStartInput(), c.now)
}

// withinSlowStartBudget reports whether an engine that warms up may be sent a request of a class.
func (c *Controller) withinSlowStartBudget(e *engine, k *class) bool {
	allows := c.slowStart.Allows
	if e.pooled() {
		allows = c.slowStart.AllowsInTurn
	}
	return allows(e.slowStartInput(), &e.sentInSlowStart, c.slowStartDemand(), k.Cost.MeanWork(), c.now)
}
