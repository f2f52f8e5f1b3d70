package workload

import (
	"math"
	"time"

	"wheatlane/control/units"
)

// Summary holds statistics over all classes.
type Summary struct {
	ArrivalRate       units.PerSecond
	MeanWork          units.ThreadSeconds // mean work of a request, weighted by the rates of the classes
	HeaviestWork      units.ThreadSeconds // mean work of the heaviest class
	LongestLock       time.Duration       // longest mean time for which a class locks its data set
	HighestValueClass int                 // index of the class with the highest weight per thread-second

	// LowestWeightPerThreadSecond is the lowest priority weight per thread-second of any class.
	LowestWeightPerThreadSecond float64
}

// summarize returns the statistics over the classes. priorRate is added to the sum of their rates. Of classes
// with the same weight per thread-second, it prefers the previous HighestValueClass.
func summarize(classes []*ClassEstimates, priorRate units.PerSecond, previousHighest int) Summary {
	s := Summary{LowestWeightPerThreadSecond: math.Inf(1), HighestValueClass: previousHighest}
	work, rate, longestLock := 0.0, priorRate, units.Seconds(0)
	for i, class := range classes {
		mean, weight := class.Cost.MeanWork(), class.weightPerThreadSecond()
		work += float64(class.Traffic.rate) * float64(mean)
		rate += class.Traffic.rate
		s.HeaviestWork = max(s.HeaviestWork, mean)
		s.LowestWeightPerThreadSecond = min(s.LowestWeightPerThreadSecond, weight)
		if class.settings.HoldsDataSetLock {
			longestLock = max(longestLock, mean.OnThreads(class.settings.Threads))
		}
		if weight > classes[s.HighestValueClass].weightPerThreadSecond() {
			s.HighestValueClass = i
		}
	}
	s.ArrivalRate, s.MeanWork = rate, units.ThreadSeconds(work/float64(rate))
	s.LongestLock = longestLock.Duration()
	return s
}
