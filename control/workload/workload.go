// Package workload estimates the demand of clients at one broker: the cost of the requests of each class,
// the time for which their clients wait, the rates of classes and tenants, and the broker's share of the
// traffic of all brokers.
package workload

import (
	"slices"
	"time"

	"wheatlane/control/shares"
	"wheatlane/control/units"
	"wheatlane/internal/estimate"
)

// Config holds the parameters of the estimates. A weight is the weight of one sample in a moving average;
// while there are few samples, all samples have equal weights.
type Config struct {
	RateWeight        float64        // weight of an interval in a rate
	ShareWeight       float64        // weight of an interval in the broker's share of the traffic
	PooledShareWeight float64        // the same, where engines are pooled
	MinShare          units.Fraction // minimum share of a broker, as a multiple of an equal share
	MinTenantShare    units.Fraction // minimum share of a tenant, also without a share in its settings
	// PriorClassRate is added to the rates in means over the classes, so that classes without traffic
	// count.
	PriorClassRate units.PerSecond
}

// DefaultConfig returns the parameters that brokers use.
func DefaultConfig() Config {
	return Config{
		RateWeight: 0.3, ShareWeight: 0.2, PooledShareWeight: 0.05,
		MinShare: 0.25, MinTenantShare: 1e-3, PriorClassRate: 0.01,
	}
}

// Workload holds the estimates. Classes and tenants are identified by their indexes.
type Workload struct {
	config       Config
	classes      []*ClassEstimates
	tenants      Tenants
	brokers      int
	trafficShare units.Fraction
	intervals    int // number of intervals since the start
	summary      Summary
}

// New returns the estimates of one broker in a fleet with a number of brokers. It has no classes yet.
func New(config Config, tenants []Tenant, brokers int) Workload {
	return Workload{
		config: config, tenants: newTenants(config, tenants), brokers: brokers,
		trafficShare: 1 / units.Fraction(brokers),
	}
}

// SetClasses sets the classes by index. previous holds the index that each had before, negative for one that
// is new; it is empty if there were none.
func (w *Workload) SetClasses(classes []*ClassEstimates, previous []int) {
	w.classes = classes
	w.summary.HighestValueClass = max(0, slices.Index(previous, w.summary.HighestValueClass))
}

// Tenants returns the tenants and their traffic.
func (w *Workload) Tenants() *Tenants { return &w.tenants }

// TrafficShare returns this broker's estimated share of the traffic of all brokers.
func (w *Workload) TrafficShare() units.Fraction { return w.trafficShare }

// Summary returns the statistics over all classes as of the last interval. It is zero before the end of the
// first interval.
func (w *Workload) Summary() Summary { return w.summary }

// RequestReceived counts a request of a class and a tenant.
func (w *Workload) RequestReceived(class, tenant int) {
	w.classes[class].Traffic.RequestReceived()
	w.tenants.requestReceived(tenant)
}

// Interval describes an interval that ends.
type Interval struct {
	Elapsed   time.Duration
	Pooled    bool // the engines are pooled
	HoldShare bool // the share of the traffic is not updated, as retries distort it
}

// CloseInterval ends an interval: it updates the rates, the share of the traffic and the summary. It
// returns the measurements of each class in the interval.
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
	w.summary = summarize(w.classes, w.config.PriorClassRate, w.summary.HighestValueClass)
	return measured
}

// updateShare updates the share of the traffic, estimated as the used fraction of the tenants' quotas.
// Without quotas, the share does not change.
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

// sampleWeight returns the weight of this interval in a moving average; at first, all intervals have equal
// weights.
func (w *Workload) sampleWeight(smallest float64) float64 {
	return estimate.SampleWeight(smallest, float64(w.intervals))
}

// Demand is the mean demand of a request in service.
type Demand struct {
	Threads  float64
	MemoryMB float64 // 0: unknown
}

// MeanDemand returns the mean demand, in which classes are weighted by their rates and their service times.
func (w *Workload) MeanDemand() Demand {
	var mean Demand
	total := 0.0
	for _, class := range w.classes {
		threads, rate := float64(class.settings.Threads), class.Traffic.rate+w.config.PriorClassRate
		inService := float64(rate) * float64(class.Cost.MeanWork()) / threads
		mean.Threads += inService * threads
		mean.MemoryMB += inService * class.Cost.meanMemoryMB
		total += inService
	}
	return Demand{Threads: mean.Threads / total, MemoryMB: mean.MemoryMB / total}
}
