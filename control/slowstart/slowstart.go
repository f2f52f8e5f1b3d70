// Package slowstart limits the work that an engine receives while it warms up. Too much work within a
// window would overload the engine, so all brokers of a fleet together stay within a budget, of which each
// broker has a share. Where the share of each broker would be less than one request, brokers send in slots:
// in each slot, of the length of an overload window, only some of the brokers may send to the engine.
package slowstart

import (
	"math"
	"time"

	"wheatlane/control/units"
)

const (
	clockError        = time.Second // maximum error of the clock behind the endpoint list
	usedBudget        = 0.7         // fraction of the tolerated work that brokers send
	trustedWarmUp     = 0.7         // fraction of the expected warm-up that the policy relies on
	targetUtilization = 0.85        // utilization of the cores at capacity

	// evenShareWeight is the fraction of a budget that the brokers share equally; they share the rest in
	// proportion to their traffic.
	evenShareWeight    = 0.5
	slotBudgetFraction = 0.5  // fraction of a budget for one slot, as a window can overlap two slots
	lightWorkFraction  = 0.25 // fraction of a slot's budget for requests of mean work

	minHeavyWork units.ThreadSeconds = 1e-3 // minimum heavy work, which keeps a quotient finite
)

// Config specifies how the engines of a deployment start.
type Config struct {
	InitialFraction  units.Fraction // fraction of its capacity that an engine has when it starts
	Duration         time.Duration  // until an engine has its full capacity
	OverloadMultiple float64        // multiple of its capacity beyond which a warming engine fails
	OverloadWindow   time.Duration  // window over which the work sent is summed
	Brokers          int            // number of brokers that share the engines
	BrokerIndex      int            // index of this broker, from 0
	UseSlots         bool           // brokers send in slots, as the share of each is less than a request
}

// Engine holds the engine state that slow start depends on.
type Engine struct {
	StartedAt   time.Duration // 0: the engine started long ago
	Cores       float64
	FirstBroker int // broker, by its index modulo the number of brokers, with which the first slot begins
}

// Demand is the demand that this broker sees.
type Demand struct {
	ArrivalRate  units.PerSecond     // rate of requests
	MeanWork     units.ThreadSeconds // mean work of a request
	HeaviestWork units.ThreadSeconds // mean work of the class with the most work
	TrafficShare units.Fraction      // this broker's share of the fleet's traffic
	ReadyEngines int                 // at least 1
}

// Policy limits the work sent to an engine that warms up.
type Policy struct{ config Config }

// New returns a policy. It limits nothing if the configuration specifies no overload window or multiple.
func New(config Config) *Policy { return &Policy{config} }

// Active reports whether an engine warms up and its work is limited.
func (p *Policy) Active(engine Engine, now time.Duration) bool {
	overloads := p.config.OverloadWindow > 0 && p.config.OverloadMultiple > 0
	return engine.StartedAt > 0 && now-engine.StartedAt < p.config.Duration+clockError && overloads
}

// Fraction returns the slow-start fraction: the fraction of its capacity that an engine has.
func (p *Policy) Fraction(engine Engine, now time.Duration) units.Fraction {
	if !p.Active(engine, now) {
		return 1
	}
	initial, age := p.config.InitialFraction, units.Fraction(now-engine.StartedAt)
	return initial + (1-initial)*trustedWarmUp*min(1, age/units.Fraction(p.config.Duration))
}

// fleetBudget returns the work that all brokers together may send an engine within an overload window.
func (p *Policy) fleetBudget(engine Engine, now time.Duration) units.ThreadSeconds {
	fraction := float64(p.Fraction(engine, now))
	return units.ThreadSeconds(p.config.OverloadMultiple * fraction * targetUtilization * engine.Cores *
		p.config.OverloadWindow.Seconds() * usedBudget)
}

// Allows reports whether more work may be sent to an engine: either the engine has warmed up, or this
// broker's share of the budget covers that work in addition to the work already sent.
func (p *Policy) Allows(
	engine Engine, sent *SendLog, demand Demand, work units.ThreadSeconds, now time.Duration,
) bool {
	if !p.Active(engine, now) {
		return true
	}
	evenShare := evenShareWeight / units.Fraction(p.config.Brokers)
	share := evenShare + (1-evenShareWeight)*demand.TrafficShare
	if p.config.UseSlots {
		slot := p.slot(engine, demand, now)
		if !p.hasSlot(engine, slot, now) {
			return false
		}
		share = units.Fraction(slotBudgetFraction / slot.heavyRequests)
	}
	budget := p.fleetBudget(engine, now) * units.ThreadSeconds(share)
	return sent.WorkSince(now-p.config.OverloadWindow, work) <= budget
}

// RecordSend records work that is sent to an engine now.
func (p *Policy) RecordSend(engine Engine, sent *SendLog, work units.ThreadSeconds, now time.Duration) {
	if p.Active(engine, now) {
		sent.Add(now, work)
	}
}

// slot is a slot at an engine: for the length of an overload window, some of the brokers may send to it. The
// brokers are assigned to slots by index, as many to a slot as the budget suffices for.
type slot struct {
	brokers       int     // number of brokers that share the slot
	heavyRequests float64 // requests of the heaviest class that a slot's budget covers, at least 1
}

func (p *Policy) slot(engine Engine, demand Demand, now time.Duration) slot {
	budget := p.fleetBudget(engine, now) * slotBudgetFraction
	heavyRequests := max(1, math.Floor(float64(budget/max(demand.HeaviestWork, minHeavyWork))))
	// workPerBroker is the work, in thread-seconds, that one broker sends an engine within a window.
	workPerBroker := float64(demand.ArrivalRate) * float64(demand.MeanWork) *
		p.config.OverloadWindow.Seconds() / float64(demand.ReadyEngines)
	brokersByLightWork := lightWorkFraction * float64(budget) / workPerBroker
	brokersByHeavyWork := heavyRequests // with the budget for one heavy request each
	brokers := int(min(float64(p.config.Brokers), max(brokersByHeavyWork, brokersByLightWork)))
	return slot{brokers, heavyRequests}
}

// hasSlot reports whether this broker may send to an engine in the current slot.
func (p *Policy) hasSlot(engine Engine, slot slot, now time.Duration) bool {
	brokers := p.config.Brokers
	previousSlots := int((now - engine.StartedAt) / p.config.OverloadWindow)
	first := (engine.FirstBroker + previousSlots*slot.brokers) % brokers
	offset := (p.config.BrokerIndex + brokers - first) % brokers
	return offset < slot.brokers
}

// FleetPreference returns the logarithm of the factor by which a broker prefers an engine in its slot over an
// engine that all brokers may use. With it, the fleet sends the engine as much work as its capacity allows,
// although only the brokers of the slot send to it. The result is 0 where brokers don't send in slots.
func (p *Policy) FleetPreference(engine Engine, demand Demand, now time.Duration) units.LogRatio {
	if !p.config.UseSlots || !p.Active(engine, now) {
		return 0
	}
	brokersInSlot := float64(p.slot(engine, demand, now).brokers)
	return units.LogRatioOf(float64(p.Fraction(engine, now)) * float64(p.config.Brokers) / brokersInSlot)
}
