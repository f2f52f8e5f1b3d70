package control

import (
	"cmp"
	"reflect"
	"slices"

	"wheatlane/control/workload"
)

// class is a request class with the estimates that are derived from its traffic.
type class struct {
	Class
	*workload.ClassEstimates
	awaitingProbes int // requests that wait for load probes before they leave the pool
}

// classTable holds the classes by index. A class whose settings change gets a new index.
type classTable struct {
	all               []*class
	byName            map[string]int
	maxThreads        int     // threads of a request of the widest class
	lowestWeight      float64 // lowest priority weight of all classes
	shortestObjective *class  // class with the shortest latency objective
}

func newClassTable() classTable { return classTable{byName: map[string]int{}} }

// add adds a class to the table and to the workload, which assigns it the same index.
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

// contains reports whether the current class of that name has exactly these settings.
func (t *classTable) contains(settings Class) bool {
	i, known := t.byName[settings.Name]
	return known && reflect.DeepEqual(t.all[i].Class, settings)
}
