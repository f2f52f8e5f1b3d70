package control

import (
	"math"
	"time"
)

// Tuned values of slow start.
const (
	listClockError       = time.Second // the endpoint list's clock may be so far off
	slowStartSafety      = 0.7         // part of an engine's budget that is used
	slowStartRamp        = 0.7         // part of the expected warming up that is trusted
	slowStartUtilization = 0.85        // capacity is the rate at which cores are so busy
	slowStartRandomShare = 0.25        // part of the budget that turns taken by chance may use
	minHeavyWork         = 1e-3        // thread-seconds
)

// inSlowStart says whether an engine started lately. There is no slow start where the deployment does not say
// what overloads an engine in it.
func (c *Controller) inSlowStart(e *engine) bool {
	rules := &c.settings.Rules
	overloads := rules.OverloadWindow > 0 && rules.OverloadMultiple > 0
	return overloads && e.StartedAt > 0 && c.now-e.StartedAt < rules.SlowStartDuration+listClockError
}

// slowStartFraction is the part of its capacity that an engine has.
func (c *Controller) slowStartFraction(e *engine) float64 {
	if !c.inSlowStart(e) {
		return 1
	}
	initial, age := c.settings.Rules.SlowStartInitial, float64(c.now-e.StartedAt)
	return initial + (1-initial)*slowStartRamp*min(1, age/float64(c.settings.Rules.SlowStartDuration))
}

// withinSlowStartBudget keeps this broker's part of an engine's budget: half by the number of brokers, half
// by traffic. Where engines are pooled such parts are too small, so brokers take turns by index, each an
// overload window long; as many at a time as half the budget (a window can touch two turns) has capacity for.
func (c *Controller) withinSlowStartBudget(e *engine, k *class) bool {
	window := c.settings.Rules.OverloadWindow
	part, budget := 0.5/float64(c.settings.Brokers)+0.5*float64(c.workload.TrafficShare()), c.slowStartBudget(e)
	if c.endpoints.pool != nil {
		brokers := c.settings.Brokers
		turns, heavyRequests := c.slowStartTurns(e)
		first := e.idHash + int((c.now-e.StartedAt)/window)*turns
		if (c.settings.BrokerIndex+brokers-first%brokers)%brokers >= turns {
			return false
		}
		part = 0.5 / heavyRequests
	}
	return e.slowStartWork(c.now-window, float64(k.Cost.MeanWork())) <= budget*part
}

// slowStartBudget is the work, in thread-seconds, that all brokers together may send an engine in a window.
func (c *Controller) slowStartBudget(e *engine) float64 {
	rules := &c.settings.Rules
	return rules.OverloadMultiple * c.slowStartFraction(e) * slowStartUtilization * e.cores *
		rules.OverloadWindow.Seconds() * slowStartSafety
}

// slowStartTurns is how many brokers have a turn at an engine at a time, and how many heavy requests fit.
func (c *Controller) slowStartTurns(e *engine) (turns int, heavyRequests float64) {
	budget := c.slowStartBudget(e)
	summary := c.workload.Summary()
	heavyRequests = max(1, math.Floor(budget/2/max(float64(summary.HeaviestWork), minHeavyWork)))
	window := c.settings.Rules.OverloadWindow.Seconds()
	use := float64(summary.ArrivalRate) * float64(summary.MeanWork) * window / float64(c.endpoints.ready)
	turns = int(min(float64(c.settings.Brokers), max(heavyRequests, slowStartRandomShare*budget/2/use)))
	return turns, heavyRequests
}
