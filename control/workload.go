package control

import (
	"cmp"
	"math"
	"reflect"
	"slices"
	"time"

	"wheatlane/control/shares"
	"wheatlane/control/units"
	"wheatlane/internal/estimate"
)

const (
	initialWorkFactor     = 0.25 // work expected before any answer, as a part of the latency objective
	initialMemoryQuantile = 1.25 // engines grant a quarter over the estimate
	minTenantShare        = 1e-3 // share of a tenant that is given none
	minClassRate          = 0.01 // requests a second of a class without traffic, in means
	minThroughputRate     = 1.0  // requests a second, added to a rate that throughput is divided by
	maxInverseLatency     = 4.0  // most that a latency under the objective counts for in the fit
	rateGain              = 0.3  // weight of one interval in a rate
	trafficShareGain      = 0.2  // weight of one interval in this broker's share of the traffic
	pooledShareGain       = 0.05 // the same where engines are pooled
	minTrafficShare       = 0.25 // share of a broker without traffic, in even shares
)

// class is a class of request with what has been learned of it.
type class struct {
	Class
	abandonRate      float64         // share of clients that leave before their time
	abandonAfter     float64         // how long those stay, in seconds
	meanWork         float64         // thread-seconds
	answersSeen      float64         // answers that taught work
	workBias         float64         // reported work over estimated work
	meanMemoryMB     float64         // 0: not reported
	memoryQuantile   float64         // high quantile of memory needed over estimated
	serviceTimeFloor estimate.Floor  // of the log of service time, where answers don't report work
	meanWait         float64         // time waited here before the first attempt, in seconds
	spread           estimate.Spread // of the log of service time over what was expected
	arrivalRate      float64         // requests a second
	awaitingProbes   int             // requests that leave the pool once engines have reported their load
	arrivals         int             // in this interval
	latencySum       float64         // seconds, over the answers of this interval
	answered         float64         // in this interval
	output           shares.Output   // of the last interval with answers
}

func newClass(k Class) *class {
	guess := initialWorkFactor * k.LatencyObjective.Seconds() * float64(k.Threads)
	return &class{
		Class: k, meanWork: guess, workBias: 1, memoryQuantile: initialMemoryQuantile,
		spread: estimate.Spread{Variance: 1},
	}
}

// weightPerWork is the class's priority weight per thread-second.
func (k *class) weightPerWork() float64 { return k.PriorityWeight / k.meanWork }

// closeInterval updates the class's arrival rate and outputs, and returns the answers of the interval.
func (k *class) closeInterval(elapsed time.Duration, gain float64) (answered float64) {
	k.arrivalRate = estimate.Toward(k.arrivalRate, float64(k.arrivals)/elapsed.Seconds(), gain)
	k.arrivals = 0
	answered = k.answered
	if answered > 0 {
		k.output = shares.Output{
			InverseLatency: min(maxInverseLatency, k.LatencyObjective.Seconds()*answered/max(k.latencySum, 1e-6)),
			Throughput:     answered / elapsed.Seconds() / (k.arrivalRate + minThroughputRate),
		}
	}
	k.answered, k.latencySum = 0, 0
	return answered
}

// tenant is a tenant with its traffic at this broker.
type tenant struct {
	Tenant
	arrivals    int     // in this interval
	arrivalRate float64 // requests a second
}

// workload is what clients ask of this broker: classes and tenants with their rates.
type workload struct {
	classes      []*class // by index; a class whose settings change gets a new index
	classByName  map[string]int
	tenants      []*tenant // the last one stands for all that are unknown
	tenantByName map[string]int
	brokers      int

	arrivalRate         float64 // requests a second
	meanWork            float64 // thread-seconds of a request, by the rates of the classes
	heaviestWork        float64 // mean work of the heaviest class
	longestLock         float64 // usual seconds of the longest class that holds its data set's lock
	lowestWeightPerWork float64 // least priority weight per thread-second of a class
	highestValueClass   int     // index of the class with the most of it
	maxThreads          float64 // of a request of the widest class
	lowestWeight        float64 // priority weight of the least class
	tightest            *class  // the one with the shortest latency objective
	trafficShare        float64 // this broker's share of the traffic, estimated
	intervals           int     // measured since the start
}

func newWorkload(s Settings) workload {
	w := workload{
		classByName: map[string]int{}, tenantByName: map[string]int{},
		brokers: s.Brokers, trafficShare: 1 / float64(s.Brokers),
	}
	for _, k := range s.Classes {
		w.addClass(k.withDefaults())
	}
	for i, t := range s.Tenants {
		w.tenantByName[t.Name] = i
		t.Share = max(t.Share, minTenantShare)
		w.tenants = append(w.tenants, &tenant{Tenant: t})
	}
	unknown := Tenant{Share: 1} // unknown tenants share the least share of a known one
	for _, t := range w.tenants {
		unknown.Share = min(unknown.Share, t.Share)
	}
	w.tenants = append(w.tenants, &tenant{Tenant: unknown})
	w.updateExtremes()
	return w
}

func (w *workload) addClass(k Class) {
	w.classByName[k.Name] = len(w.classes)
	w.maxThreads = max(w.maxThreads, float64(k.Threads))
	w.classes = append(w.classes, newClass(k))
}

// updateClass adds a class that is new or differs from the one of its name, and says whether it did.
func (w *workload) updateClass(k Class) (added bool) {
	if i, known := w.classByName[k.Name]; known && reflect.DeepEqual(w.classes[i].Class, k) {
		return false
	}
	w.addClass(k)
	return true
}

func (w *workload) updateExtremes() {
	w.lowestWeight = slices.MinFunc(w.classes, func(a, b *class) int {
		return cmp.Compare(a.PriorityWeight, b.PriorityWeight)
	}).PriorityWeight
	w.tightest = slices.MinFunc(w.classes, func(a, b *class) int {
		return cmp.Compare(a.LatencyObjective, b.LatencyObjective)
	})
}

// countArrival counts a request received.
func (w *workload) countArrival(classIndex, tenantIndex int) {
	w.classes[classIndex].arrivals++
	w.tenants[tenantIndex].arrivals++
}

// tenantIndex is the index of a tenant; all unknown ones share the last.
func (w *workload) tenantIndex(name string) int {
	if i, known := w.tenantByName[name]; known {
		return i
	}
	return len(w.tenants) - 1
}

// meanDemand is the mean threads and memory of a request in service, weighed by rate and service time.
func (w *workload) meanDemand() (threads, memoryMB float64) {
	total := 0.0
	for _, k := range w.classes {
		inService := (k.arrivalRate + minClassRate) * k.meanWork / float64(k.Threads)
		threads += inService * float64(k.Threads)
		memoryMB += inService * k.meanMemoryMB
		total += inService
	}
	return threads / total, memoryMB / total
}

// gain is the weight of this interval in an average: at first that of a mean of all intervals. A broker that
// gets several times the even share of the traffic was held to the even share of the limits for most of a day
// without it.
func (w *workload) gain(least float64) float64 {
	return estimate.Gain(least, float64(max(1, w.intervals)))
}

// measureTenants updates the tenants' rates. The share is this broker's share of the traffic by the quotas
// that they use up; it is known where there are quotas.
func (w *workload) measureTenants(elapsed time.Duration) (share float64, known bool) {
	rate, quota := 0.0, 0.0
	for _, t := range w.tenants {
		arrivalRate := float64(t.arrivals) / elapsed.Seconds()
		t.arrivalRate = estimate.Toward(t.arrivalRate, arrivalRate, w.gain(rateGain))
		t.arrivals = 0
		rate += t.arrivalRate
		quota += t.Quota
	}
	if quota <= 0 {
		return 0, false
	}
	even := 1 / float64(w.brokers)
	return min(1, max(minTrafficShare*even, rate/quota)), true
}

// measureClasses closes an interval of all classes and returns what it showed of them.
func (w *workload) measureClasses(elapsed time.Duration) []shares.Class {
	work, rate := 0.0, minClassRate
	measured := make([]shares.Class, 0, len(w.classes))
	for _, k := range w.classes {
		answers := k.closeInterval(elapsed, w.gain(rateGain))
		work, rate = work+k.arrivalRate*k.meanWork, rate+k.arrivalRate
		measured = append(measured, shares.Class{
			Output: k.output, Answers: answers, ArrivalRate: k.arrivalRate,
			PriorityWeight: k.PriorityWeight, LateWeight: units.Fraction(k.LateWeight),
		})
	}
	w.arrivalRate, w.meanWork = rate, work/rate
	w.rankClasses()
	return measured
}

// rankClasses finds the extremes among the classes by their mean work.
func (w *workload) rankClasses() {
	w.heaviestWork, w.longestLock, w.lowestWeightPerWork = 0, 0, math.Inf(1)
	for i, k := range w.classes {
		w.heaviestWork = max(w.heaviestWork, k.meanWork)
		w.lowestWeightPerWork = min(w.lowestWeightPerWork, k.weightPerWork())
		if k.HoldsDataSetLock {
			w.longestLock = max(w.longestLock, k.meanWork/float64(k.Threads))
		}
		if k.weightPerWork() > w.classes[w.highestValueClass].weightPerWork() {
			w.highestValueClass = i
		}
	}
}
