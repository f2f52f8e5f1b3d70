package workload

import (
	"math"
	"time"

	"wheatlane/control/units"
)

// Summary is what follows from the estimates of all classes together.
type Summary struct {
	ArrivalRate       units.PerSecond
	MeanWork          units.ThreadSeconds // of a request, by the rates of the classes
	HeaviestWork      units.ThreadSeconds // mean work of the heaviest class
	LongestLock       time.Duration       // usual time of the longest class that locks its data set
	HighestValueClass int                 // the class that earns most for its work

	// LowestWeightPerThreadSecond is the smallest priority weight that a class earns for its work.
	LowestWeightPerThreadSecond float64
}

// summarize sums up the classes. Of those that earn the same for their work, the one that was the highest
// before stays it.
func summarize(classes []*ClassEstimates, minRate units.PerSecond, highestBefore int) Summary {
	s := Summary{LowestWeightPerThreadSecond: math.Inf(1), HighestValueClass: highestBefore}
	work, rate, longestLock := 0.0, minRate, units.Seconds(0)
	for i, class := range classes {
		mean, earned := class.Cost.MeanWork(), class.weightPerThreadSecond()
		work += float64(class.Traffic.rate) * float64(mean)
		rate += class.Traffic.rate
		s.HeaviestWork = max(s.HeaviestWork, mean)
		s.LowestWeightPerThreadSecond = min(s.LowestWeightPerThreadSecond, earned)
		if class.settings.HoldsDataSetLock {
			longestLock = max(longestLock, mean.OnThreads(class.settings.Threads))
		}
		if earned > classes[s.HighestValueClass].weightPerThreadSecond() {
			s.HighestValueClass = i
		}
	}
	s.ArrivalRate, s.MeanWork = rate, units.ThreadSeconds(work/float64(rate))
	s.LongestLock = longestLock.Duration()
	return s
}
