package slowstart

import (
	"math"
	"testing"
	"time"

	"wheatlane/control/units"
)

func config() Config {
	return Config{
		InitialFraction: 0.4, Duration: 10 * time.Second, OverloadMultiple: 2, OverloadWindow: 2 * time.Second,
		Brokers: 2,
	}
}

var engine = Engine{StartedAt: 100 * time.Second, Cores: 8}

func TestFractionGrowsDuringWarmUp(t *testing.T) {
	t.Parallel()
	unlimited := config()
	unlimited.OverloadMultiple = 0
	for name, c := range map[string]struct {
		config Config
		engine Engine
		age    time.Duration
		want   units.Fraction
	}{
		"at the start":           {config(), engine, 0, 0.4},
		"halfway":                {config(), engine, 5 * time.Second, 0.4 + 0.6*trustedWarmUp/2},
		"within the clock error": {config(), engine, 10 * time.Second, 0.4 + 0.6*trustedWarmUp},
		"warm":                   {config(), engine, 11 * time.Second, 1},
		"started long ago":       {config(), Engine{Cores: 8}, 0, 1},
		"no overload multiple":   {unlimited, engine, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			got := New(c.config).Fraction(c.engine, c.engine.StartedAt+c.age)
			if math.Abs(float64(got-c.want)) > 1e-12 {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

func TestBrokerStaysWithinItsShareOfBudget(t *testing.T) {
	t.Parallel()
	policy, now := New(config()), engine.StartedAt
	budget := policy.fleetBudget(engine, now)
	want := units.ThreadSeconds(2 * 0.4 * targetUtilization * 8 * 2 * usedBudget)
	if math.Abs(float64(budget-want)) > 1e-9 {
		t.Fatalf("budget %v, want %v", budget, want)
	}
	demand := Demand{TrafficShare: 0.3, ReadyEngines: 1} // its share is the mean of 1/2 and 0.3
	var sent SendLog
	sent.Add(now, 0.39*budget)
	if !policy.Allows(engine, &sent, demand, 0.009*budget, now) {
		t.Error("0.399 of the budget is not allowed")
	}
	if policy.Allows(engine, &sent, demand, 0.011*budget, now) {
		t.Error("0.401 of the budget is allowed")
	}
	if !policy.Allows(engine, &sent, demand, 0.2*budget, now+2*time.Second) {
		t.Error("work sent before the window still counts")
	}
}

// Every one of many brokers must get a slot, and the brokers of one slot together must stay within half of
// the budget: an overload window can overlap two slots, and would otherwise exceed the budget.
func TestBrokersSendInSlots(t *testing.T) {
	t.Parallel()
	demand := Demand{ArrivalRate: 1, MeanWork: 1, HeaviestWork: 1, ReadyEngines: 1}
	const brokers = 10
	hadSlot := map[int]bool{}
	for second := 0; second < 8; second += 2 {
		now := engine.StartedAt + time.Duration(second)*time.Second
		brokersInSlot, budget := 0, units.ThreadSeconds(0)
		for index := range brokers {
			c := config()
			c.Brokers, c.BrokerIndex, c.UseSlots = brokers, index, true
			policy := New(c)
			budget = policy.fleetBudget(engine, now)
			if policy.Allows(engine, &SendLog{}, demand, demand.HeaviestWork, now) {
				brokersInSlot++
				hadSlot[index] = true
			}
		}
		if brokersInSlot == 0 ||
			units.ThreadSeconds(brokersInSlot)*demand.HeaviestWork > budget*slotBudgetFraction {
			t.Errorf("at %v, %d brokers send 1 thread-second each, of a budget of %v", now, brokersInSlot, budget)
		}
	}
	if len(hadSlot) != brokers {
		t.Errorf("%d of %d brokers had a slot", len(hadSlot), brokers)
	}
}

func TestWarmEngineIsNotLimited(t *testing.T) {
	t.Parallel()
	policy, now := New(config()), engine.StartedAt
	var sent SendLog
	policy.RecordSend(engine, &sent, 1000, now)
	demand := Demand{TrafficShare: 0.3, ReadyEngines: 1}
	if policy.Allows(engine, &sent, demand, 1, now) {
		t.Error("work over the budget is allowed at an engine that warms up")
	}
	warm := Engine{Cores: 8}
	if !policy.Allows(warm, &sent, demand, 1000, now) {
		t.Error("work at a warm engine is limited")
	}
	var none SendLog
	if policy.RecordSend(warm, &none, 1000, now); none.WorkSince(0, 0) != 0 {
		t.Error("work sent to a warm engine is recorded")
	}
}

func TestFleetPreferenceCompensatesForSlots(t *testing.T) {
	t.Parallel()
	c := config()
	c.Brokers, c.UseSlots = 100, true
	demand := Demand{ArrivalRate: 1, MeanWork: 1, HeaviestWork: 1, ReadyEngines: 1}
	// The budget is 7.6 thread-seconds, half of it 3.8: three brokers of a hundred share a slot.
	got, want := New(c).FleetPreference(engine, demand, engine.StartedAt).Ratio(), 0.4*100.0/3
	if math.Abs(got-want) > 1e-9 {
		t.Errorf("preference as a factor: %v, want %v", got, want)
	}
	if got := New(c).FleetPreference(Engine{Cores: 8}, demand, engine.StartedAt); got != 0 {
		t.Errorf("preference %v for a warm engine, want 0", got)
	}
}
