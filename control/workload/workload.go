// Package workload estimates what clients ask of one broker: what the requests of each class take, how long
// their clients wait, the rates of classes and tenants, and the broker's share of the traffic of all brokers.
package workload

import (
	"time"

	"wheatlane/control/shares"
	"wheatlane/control/units"
	"wheatlane/internal/estimate"
)

// Config holds the constants of the estimates. A weight is that of one sample in a moving average; with few
// samples it is that of a mean.
type Config struct {
	RateWeight        float64         // of an interval in a rate
	ShareWeight       float64         // of an interval in the broker's share of the traffic
	PooledShareWeight float64         // the same where engines are pooled
	MinShare          units.Fraction  // share of a broker without traffic, in equal shares
	MinTenantShare    units.Fraction  // share of a tenant whose settings give it none
	MinClassRate      units.PerSecond // rate of a class without traffic, in means over the classes
}

// DefaultConfig returns the constants that brokers use.
func DefaultConfig() Config {
	return Config{
		RateWeight: 0.3, ShareWeight: 0.2, PooledShareWeight: 0.05,
		MinShare: 0.25, MinTenantShare: 1e-3, MinClassRate: 0.01,
	}
}

// Workload holds the estimates. Classes and tenants are named by their indexes.
type Workload struct {
	config       Config
	classes      []*ClassEstimates
	tenants      Tenants
	brokers      int
	trafficShare units.Fraction
	intervals    int // since the start
	summary      Summary
}

// New returns the estimates of one broker of a number of them, without classes.
func New(config Config, tenants []Tenant, brokers int) Workload {
	return Workload{
		config: config, tenants: newTenants(config, tenants), brokers: brokers,
		trafficShare: 1 / units.Fraction(brokers),
	}
}

// AddClass adds a class, whose index is the next one, and returns its estimates.
func (w *Workload) AddClass(settings ClassSettings) *ClassEstimates {
	class := newClassEstimates(settings)
	w.classes = append(w.classes, class)
	return class
}

// Tenants returns the tenants.
func (w *Workload) Tenants() *Tenants { return &w.tenants }

// TrafficShare is the estimated share that this broker has of the traffic of all.
func (w *Workload) TrafficShare() units.Fraction { return w.trafficShare }

// Summary returns what follows from all classes together, as of the last interval; it is zero before the
// first.
func (w *Workload) Summary() Summary { return w.summary }

// RequestReceived counts a request.
func (w *Workload) RequestReceived(class, tenant int) {
	w.classes[class].Traffic.RequestReceived()
	w.tenants.requestReceived(tenant)
}

// Interval is what the estimates need to know of an interval that ends.
type Interval struct {
	Elapsed   time.Duration
	Pooled    bool // engines are pooled
	HoldShare bool // the share of the traffic stays, as retries distort it
}

// CloseInterval updates the rates, the share of the traffic and the summary. It returns what the interval
// showed of each class.
func (w *Workload) CloseInterval(in Interval) []shares.Class {
	w.intervals++
	w.updateShare(in)
	weight := w.sampleWeight(w.config.RateWeight)
	measured := make([]shares.Class, 0, len(w.classes))
	for _, class := range w.classes {
		answers := class.Traffic.closeInterval(in.Elapsed, weight, class.settings.LatencyObjective)
		measured = append(measured, shares.Class{
			Output: class.Traffic.output, Answers: answers, ArrivalRate: class.Traffic.rate,
			PriorityWeight: class.settings.PriorityWeight, LateWeight: class.settings.LateWeight,
		})
	}
	w.summary = summarize(w.classes, w.config.MinClassRate, w.summary.HighestValueClass)
	return measured
}

// updateShare follows the share of the traffic by the quotas that tenants use up; without quotas it stays.
func (w *Workload) updateShare(in Interval) {
	rate, quota := w.tenants.closeInterval(in.Elapsed, w.sampleWeight(w.config.RateWeight))
	if quota <= 0 || in.HoldShare {
		return
	}
	weight := w.config.ShareWeight
	if in.Pooled {
		weight = w.config.PooledShareWeight
	}
	equal := 1 / units.Fraction(w.brokers)
	share := min(1, max(w.config.MinShare*equal, units.Fraction(rate/quota)))
	w.trafficShare = estimate.EWMA(w.trafficShare, share, w.sampleWeight(weight))
}

// sampleWeight is the weight of this interval in an average, at first that of a mean of all intervals.
func (w *Workload) sampleWeight(smallest float64) float64 {
	return estimate.SampleWeight(smallest, float64(w.intervals))
}

// Demand is the mean demand of a request in service.
type Demand struct {
	Threads  float64
	MemoryMB float64 // 0: not known
}

// MeanDemand weighs the classes by their rates and their service times.
func (w *Workload) MeanDemand() Demand {
	var mean Demand
	total := 0.0
	for _, class := range w.classes {
		threads, rate := float64(class.settings.Threads), class.Traffic.rate+w.config.MinClassRate
		inService := float64(rate) * float64(class.Cost.MeanWork()) / threads
		mean.Threads += inService * threads
		mean.MemoryMB += inService * class.Cost.meanMemoryMB
		total += inService
	}
	return Demand{Threads: mean.Threads / total, MemoryMB: mean.MemoryMB / total}
}
