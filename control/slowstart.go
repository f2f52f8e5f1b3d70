package control

import "wheatlane/control/slowstart"

func newSlowStart(s Settings, pooled bool) *slowstart.Policy {
	return slowstart.New(slowstart.Config{
		InitialFraction:  s.Rules.SlowStartInitial,
		Duration:         s.Rules.SlowStartDuration,
		OverloadMultiple: s.Rules.OverloadMultiple, OverloadWindow: s.Rules.OverloadWindow,
		Brokers: s.Brokers, BrokerIndex: s.BrokerIndex, UseSlots: pooled,
	})
}

// slowStartInput returns the engine state that slow start depends on.
func (e *engine) slowStartInput() slowstart.Engine {
	return slowstart.Engine{StartedAt: e.StartedAt, Cores: e.cores, FirstBroker: e.idHash}
}

// slowStartDemand returns the state of the traffic that slow start depends on.
func (c *Controller) slowStartDemand() slowstart.Demand {
	summary := c.workload.Summary()
	return slowstart.Demand{
		ArrivalRate: summary.ArrivalRate, MeanWork: summary.MeanWork,
		HeaviestWork: summary.HeaviestWork, TrafficShare: c.workload.TrafficShare(),
		ReadyEngines: c.endpoints.ready,
	}
}
