// Package slowstart limits the work that an engine is sent while it warms up. Too much of it within a window
// would overload the engine, so all brokers of a fleet together keep to a budget, of which each has a share.
package slowstart

import (
	"math"
	"time"

	"wheatlane/control/units"
)

const (
	clockError        = time.Second // largest error of the clock of the endpoint list
	usedBudget        = 0.7         // fraction of the tolerated work that is sent
	trustedWarmUp     = 0.7         // fraction of the expected warm-up that is counted on
	targetUtilization = 0.85        // of the cores, at capacity

	// evenShareWeight is the fraction of a budget that the brokers share equally; the rest they share by
	// their traffic.
	evenShareWeight = 0.5
	turnBudget      = 0.5  // fraction of a budget for one turn, as a window can touch two
	lightShare      = 0.25 // fraction of a turn's budget for requests of mean work

	minHeavyWork units.ThreadSeconds = 1e-3 // least work of a heavy request
)

// Config is what a deployment says of engines that start.
type Config struct {
	InitialFraction  units.Fraction // of its capacity that an engine has when it starts
	Duration         time.Duration  // until an engine has its full capacity
	OverloadMultiple float64        // multiple of its capacity beyond which an engine that warms up fails
	OverloadWindow   time.Duration  // over which the work sent is summed up
	Brokers          int            // that share the engines
	BrokerIndex      int            // of this broker, from 0
	UseSlots         bool           // brokers send by turns, as the share of each is less than a request
}

// Engine is what the policy has to know of an engine.
type Engine struct {
	StartedAt time.Duration // 0: long ago
	Cores     float64
	FirstSlot int // index, modulo the number of brokers, of the broker whose turn is first
}

// Demand is the demand at this broker.
type Demand struct {
	ArrivalRate  units.PerSecond     // of requests
	MeanWork     units.ThreadSeconds // of a request
	HeaviestWork units.ThreadSeconds // of the class with the most work
	TrafficShare units.Fraction      // of the fleet's traffic
	ReadyEngines int                 // at least 1
}

// Policy decides how much an engine that warms up is sent.
type Policy struct{ config Config }

// New returns a policy. It limits nothing where the deployment does not say what overloads an engine.
func New(config Config) *Policy { return &Policy{config} }

// Active reports whether an engine warms up.
func (p *Policy) Active(engine Engine, now time.Duration) bool {
	overloads := p.config.OverloadWindow > 0 && p.config.OverloadMultiple > 0
	return engine.StartedAt > 0 && now-engine.StartedAt < p.config.Duration+clockError && overloads
}

// Fraction is the fraction of its capacity that an engine has.
func (p *Policy) Fraction(engine Engine, now time.Duration) units.Fraction {
	if !p.Active(engine, now) {
		return 1
	}
	initial, age := p.config.InitialFraction, units.Fraction(now-engine.StartedAt)
	return initial + (1-initial)*trustedWarmUp*min(1, age/units.Fraction(p.config.Duration))
}

// fleetBudget is the work that all brokers together may send an engine within an overload window.
func (p *Policy) fleetBudget(engine Engine, now time.Duration) units.ThreadSeconds {
	fraction := float64(p.Fraction(engine, now))
	return units.ThreadSeconds(p.config.OverloadMultiple * fraction * targetUtilization * engine.Cores *
		p.config.OverloadWindow.Seconds() * usedBudget)
}

// Allows reports whether an engine may be sent more work: whether it is warm, or this broker's share of the
// budget covers that work and what was sent.
func (p *Policy) Allows(
	engine Engine, sent *SendLog, demand Demand, work units.ThreadSeconds, now time.Duration,
) bool {
	if !p.Active(engine, now) {
		return true
	}
	evenShare := evenShareWeight / units.Fraction(p.config.Brokers)
	share := evenShare + (1-evenShareWeight)*demand.TrafficShare
	if p.config.UseSlots {
		turn := p.turn(engine, demand, now)
		if !p.hasTurn(engine, turn, now) {
			return false
		}
		share = units.Fraction(turnBudget / turn.heavyRequests)
	}
	budget := p.fleetBudget(engine, now) * units.ThreadSeconds(share)
	return sent.WorkSince(now-p.config.OverloadWindow, work) <= budget
}

// RecordSend records work that an engine is sent now.
func (p *Policy) RecordSend(engine Engine, sent *SendLog, work units.ThreadSeconds, now time.Duration) {
	if p.Active(engine, now) {
		sent.Add(now, work)
	}
}

// turn is one turn at an engine: for an overload window some of the brokers may send to it. The brokers take
// turns by index, as many at a time as the budget is enough for.
type turn struct {
	brokers       int     // number of brokers that have the turn together
	heavyRequests float64 // requests of the heaviest class that a turn's budget covers, at least 1
}

func (p *Policy) turn(engine Engine, demand Demand, now time.Duration) turn {
	budget := p.fleetBudget(engine, now) * turnBudget
	heavyRequests := max(1, math.Floor(float64(budget/max(demand.HeaviestWork, minHeavyWork))))
	// usedPerBroker is the work, in thread-seconds, that one broker sends an engine within a window.
	usedPerBroker := float64(demand.ArrivalRate) * float64(demand.MeanWork) *
		p.config.OverloadWindow.Seconds() / float64(demand.ReadyEngines)
	brokersByLightWork := lightShare * float64(budget) / usedPerBroker
	brokersByHeavyWork := heavyRequests // with the budget for one heavy request each
	brokers := int(min(float64(p.config.Brokers), max(brokersByHeavyWork, brokersByLightWork)))
	return turn{brokers, heavyRequests}
}

// hasTurn reports whether it is this broker's turn at an engine.
func (p *Policy) hasTurn(engine Engine, turn turn, now time.Duration) bool {
	brokers := p.config.Brokers
	turnsBefore := int((now - engine.StartedAt) / p.config.OverloadWindow)
	first := (engine.FirstSlot + turnsBefore*turn.brokers) % brokers
	behindFirst := (p.config.BrokerIndex + brokers - first) % brokers
	return behindFirst < turn.brokers
}

// FleetPreference is the logarithm of the factor by which a broker whose turn it is chooses an engine more
// often than one that all brokers may use. So the fleet sends the engine what its capacity is enough for,
// though only the brokers of the turn do. It is 0 where no turns are taken.
func (p *Policy) FleetPreference(engine Engine, demand Demand, now time.Duration) units.LogRatio {
	if !p.config.UseSlots || !p.Active(engine, now) {
		return 0
	}
	inTurn := float64(p.turn(engine, demand, now).brokers)
	return units.LogRatioOf(float64(p.Fraction(engine, now)) * float64(p.config.Brokers) / inTurn)
}
