package control

import (
	"cmp"
	"reflect"
	"slices"

	"wheatlane/control/workload"
)

// class is a request class with the estimates that are derived from its traffic. Open requests keep the class
// under which they were received, whatever a reload changes.
type class struct {
	Class
	*workload.ClassEstimates
	slot *classSlot
}

// classSlot is the place of a class in the tables by index: the shares, the workload and the fair queues. The
// settings of a class that are replaced keep its slot; removed classes share one slot.
type classSlot struct {
	index                int
	mergedInto           *classSlot // slot of the removed classes, if the class was removed
	requests             int        // requests that are open or have an attempt in flight
	awaitingProbeThreads int        // threads of requests that wait for load probes before they leave the pool
}

// current returns the slot itself, or the one that it was merged into.
func (s *classSlot) current() *classSlot {
	if s.mergedInto != nil {
		return s.mergedInto
	}
	return s
}

// merge moves what another slot counts into this one.
func (s *classSlot) merge(other *classSlot) {
	s.requests += other.requests
	s.awaitingProbeThreads += other.awaitingProbeThreads
	other.mergedInto = s
}

// newClass returns a class without answers.
func newClass(settings Class, slot *classSlot) *class {
	return &class{Class: settings, slot: slot, ClassEstimates: workload.NewClassEstimates(workload.ClassSettings{
		LatencyObjective: settings.LatencyObjective, Threads: settings.Threads,
		PriorityWeight: settings.PriorityWeight, LateWeight: settings.LateWeight,
		HoldsDataSetLock: settings.HoldsDataSetLock,
	})}
}

// removedClassIntervals is the number of control intervals for which a removed class is known: requests that
// were received before its removal may still be in the next batch.
const removedClassIntervals = 2

// removedClass is a class that the settings no longer list.
type removedClass struct {
	class     *class
	intervals int // control intervals since its removal
}

// classTable holds the classes by index: those in force and, while removed classes have requests, one more for
// all of these.
type classTable struct {
	all               []*class
	byName            map[string]*class
	removed           []removedClass // recently
	removedSlot       *classSlot     // slot of all removed classes
	hasRemoved        bool           // removedSlot has the last index
	maxThreads        int            // threads of a request of the widest class in force
	lowestWeight      float64        // lowest priority weight of all classes in force
	shortestObjective *class         // class in force with the shortest latency objective
}

func newClassTable() classTable {
	return classTable{byName: map[string]*class{}, removedSlot: &classSlot{}}
}

// noIndex is the previous index of a class that is new.
const noIndex = -1

// classIndexes maps the indexes of classes after a change to those before it.
type classIndexes struct {
	previous []int // by new index; noIndex for a class that is new
	current  []int // by previous index
}

// update makes the table hold these classes, and reports whether that changes it.
func (t *classTable) update(listed []Class) (indexes classIndexes, changed bool) {
	byName := make(map[string]Class, len(listed))
	for _, settings := range listed {
		byName[settings.Name] = settings
	}
	u := classUpdate{table: t, indexes: classIndexes{current: make([]int, len(t.all))}}
	u.keep(byName)
	u.add(listed)
	u.placeRemoved()
	if u.changed {
		t.all = u.next
		t.summarize()
	}
	return u.indexes, u.changed
}

// inForce returns the classes that the settings list.
func (t *classTable) inForce() []*class {
	if t.hasRemoved {
		return t.all[:len(t.all)-1]
	}
	return t.all
}

// estimates returns the estimates of the classes, by index.
func (t *classTable) estimates() []*workload.ClassEstimates {
	estimates := make([]*workload.ClassEstimates, 0, len(t.all))
	for _, class := range t.all {
		estimates = append(estimates, class.ClassEstimates)
	}
	return estimates
}

// summarize derives the values over the classes in force.
func (t *classTable) summarize() {
	inForce := t.inForce()
	t.maxThreads = slices.MaxFunc(inForce, func(a, b *class) int { return cmp.Compare(a.Threads, b.Threads) }).Threads
	t.lowestWeight = slices.MinFunc(inForce, func(a, b *class) int {
		return cmp.Compare(a.PriorityWeight, b.PriorityWeight)
	}).PriorityWeight
	t.shortestObjective = slices.MinFunc(inForce, func(a, b *class) int {
		return cmp.Compare(a.LatencyObjective, b.LatencyObjective)
	})
}

// closeInterval ends a control interval. Names of removed classes are forgotten after a while, and the slot of
// the removed classes once no request uses it; it reports whether that changes the indexes.
func (t *classTable) closeInterval() (indexes classIndexes, changed bool) {
	t.forgetRemoved()
	if !t.hasRemoved || len(t.removed) > 0 || t.removedSlot.requests > 0 {
		return classIndexes{}, false
	}
	t.hasRemoved = false
	last := len(t.all) - 1
	t.all = slices.Delete(t.all, last, last+1)
	for i := range t.all {
		indexes.previous, indexes.current = append(indexes.previous, i), append(indexes.current, i)
	}
	indexes.current = append(indexes.current, noIndex)
	return indexes, true
}

// forgetRemoved forgets the names that were removed a while ago, unless the settings list them again.
func (t *classTable) forgetRemoved() {
	remembered := t.removed[:0]
	for _, r := range t.removed {
		r.intervals++
		if r.intervals <= removedClassIntervals {
			remembered = append(remembered, r)
		} else if t.byName[r.class.Name] == r.class {
			delete(t.byName, r.class.Name)
		}
	}
	clear(t.removed[len(remembered):])
	t.removed = remembered
}

// classUpdate builds the classes of a table after a change of the settings.
type classUpdate struct {
	table     *classTable
	next      []*class
	indexes   classIndexes
	changed   bool
	removedAt []int // previous indexes of the classes that the change removes
}

// keep takes over the classes that are listed under the same name, with their new settings.
func (u *classUpdate) keep(listed map[string]Class) {
	for i, current := range u.table.inForce() {
		settings, isListed := listed[current.Name]
		if !isListed {
			u.removedAt = append(u.removedAt, i)
			continue
		}
		if !reflect.DeepEqual(current.Class, settings) {
			current = newClass(settings, current.slot)
			u.changed = true
		}
		u.place(current, i)
	}
}

// add adds the classes whose names are new.
func (u *classUpdate) add(listed []Class) {
	for _, settings := range listed {
		existing := u.table.byName[settings.Name]
		if existing != nil && existing.slot.mergedInto == nil {
			continue
		}
		u.place(newClass(settings, &classSlot{}), noIndex)
		u.changed = true
	}
}

// place puts a class in force at the next index.
func (u *classUpdate) place(placed *class, previous int) {
	placed.slot.index = len(u.next)
	u.table.byName[placed.Name] = placed
	u.append(placed, previous)
}

func (u *classUpdate) append(placed *class, previous int) {
	if previous != noIndex {
		u.indexes.current[previous] = len(u.next)
	}
	u.next = append(u.next, placed)
	u.indexes.previous = append(u.indexes.previous, previous)
}

// placeRemoved puts the slot of the removed classes at the last index, if there are any. The class with the
// highest priority weight stands for all of them.
func (u *classUpdate) placeRemoved() {
	t := u.table
	removedAt := u.removedAt
	if t.hasRemoved {
		removedAt = append(removedAt, len(t.all)-1)
	}
	if len(removedAt) == 0 {
		return
	}
	representative := slices.MaxFunc(removedAt, func(a, b int) int {
		return cmp.Compare(t.all[a].PriorityWeight, t.all[b].PriorityWeight)
	})
	for _, i := range removedAt {
		u.indexes.current[i] = len(u.next)
	}
	for _, i := range u.removedAt {
		u.changed = true
		t.removed = append(t.removed, removedClass{class: t.all[i]})
		t.removedSlot.merge(t.all[i].slot)
	}
	t.hasRemoved = true
	t.removedSlot.index = len(u.next)
	u.append(t.all[representative], representative)
}
