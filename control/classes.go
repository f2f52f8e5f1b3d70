package control

import (
	"cmp"
	"reflect"
	"slices"

	"wheatlane/control/workload"
)

// class is a class of request with what is learned of it.
type class struct {
	Class
	*workload.ClassEstimates
	awaitingProbes int // requests that leave the pool once engines have reported their load
}

// classTable holds the classes by index. A class whose settings change gets a new index.
type classTable struct {
	all               []*class
	byName            map[string]int
	maxThreads        int     // of a request of the widest class
	lowestWeight      float64 // priority weight of the least class
	shortestObjective *class  // the one with the shortest latency objective
}

func newClassTable() classTable { return classTable{byName: map[string]int{}} }

// add adds a class, also to the workload, which gives it the same index.
func (t *classTable) add(settings Class, w *workload.Workload) {
	estimates := w.AddClass(workload.ClassSettings{
		LatencyObjective: settings.LatencyObjective, Threads: settings.Threads,
		PriorityWeight: settings.PriorityWeight, LateWeight: settings.LateWeight,
		HoldsDataSetLock: settings.HoldsDataSetLock,
	})
	t.byName[settings.Name] = len(t.all)
	t.all = append(t.all, &class{Class: settings, ClassEstimates: estimates})
	t.maxThreads = max(t.maxThreads, settings.Threads)
	t.lowestWeight = slices.MinFunc(t.all, func(a, b *class) int {
		return cmp.Compare(a.PriorityWeight, b.PriorityWeight)
	}).PriorityWeight
	t.shortestObjective = slices.MinFunc(t.all, func(a, b *class) int {
		return cmp.Compare(a.LatencyObjective, b.LatencyObjective)
	})
}

// contains reports whether a class is the current one of its name.
func (t *classTable) contains(settings Class) bool {
	i, known := t.byName[settings.Name]
	return known && reflect.DeepEqual(t.all[i].Class, settings)
}
