// Package fairqueue implements start-time fair queueing (Goyal, Vin and Cheng, SIGCOMM 1996) on two levels: classes
// share the service by their weights, and the tenants of a class share the service of the class. The caller passes
// the shares to each Pop, and the classes that are eligible for service to each Head. All work is in the same unit,
// which the caller chooses.
package fairqueue

import "slices"

// Queue holds items of type T. Its zero value has no classes; use New. It is not safe for concurrent use. It has no
// memory for its classes until the first item is pushed: of thousands of engines, a broker may use only a few.
type Queue[T comparable] struct {
	classes     []classFlow[T] // empty until the first Push
	classCount  int
	tenantCount int     // of each class
	virtualTime float64 // start tag of the class that was served last
	length      int
	threads     float64
	work        float64
}

// classFlow is the flow of one class.
type classFlow[T comparable] struct {
	startTag    float64 // start tag of the next item
	finishTag   float64 // finish tag of the item that was served last
	virtualTime float64 // start tag of the tenant that was served last
	tenants     []tenantFlow[T]
	work        float64
	length      int
}

// tenantFlow is the flow of one tenant within a class, in order of arrival.
type tenantFlow[T comparable] struct {
	startTag  float64 // start tag of the next item
	finishTag float64 // finish tag of the item that was served last
	work      float64
	items     []item[T]
}

type item[T comparable] struct {
	value   T
	work    float64
	threads float64
}

// New returns an empty queue for a number of classes, each with a number of tenants.
func New[T comparable](classes, tenants int) Queue[T] {
	return Queue[T]{classCount: classes, tenantCount: tenants}
}

// MoveClasses moves the classes to new indexes, after which there are the given number of classes: indexes holds the
// new index of each class. Classes with the same new index become one. A negative index removes a class, which must
// have no items.
func (q *Queue[T]) MoveClasses(indexes []int, classes int) {
	q.classCount = classes
	if len(q.classes) == 0 {
		return
	}
	previous := q.classes
	q.classes = nil
	q.allocate()
	occupied := make([]bool, classes)
	for from, to := range indexes {
		switch {
		case to < 0:
		case occupied[to]:
			q.classes[to].merge(&previous[from])
		default:
			q.classes[to], occupied[to] = previous[from], true
		}
	}
}

// allocate allocates the classes.
func (q *Queue[T]) allocate() {
	q.classes = make([]classFlow[T], q.classCount)
	for i := range q.classes {
		q.classes[i].tenants = make([]tenantFlow[T], q.tenantCount)
	}
}

// merge appends the items of another class. The class continues at the earlier of the two start tags if both have
// items, and gains no credit: it finished its last item at the later of the two finish tags.
func (f *classFlow[T]) merge(other *classFlow[T]) {
	f.startTag = mergeStartTags(f.startTag, f.length, other.startTag, other.length)
	f.finishTag, f.virtualTime = max(f.finishTag, other.finishTag), max(f.virtualTime, other.virtualTime)
	f.work += other.work
	f.length += other.length
	for i := range f.tenants {
		f.tenants[i].merge(&other.tenants[i])
	}
}

// merge appends the items of another flow of the tenant.
func (f *tenantFlow[T]) merge(other *tenantFlow[T]) {
	f.startTag = mergeStartTags(f.startTag, len(f.items), other.startTag, len(other.items))
	f.finishTag = max(f.finishTag, other.finishTag)
	f.work += other.work
	f.items = append(f.items, other.items...)
}

// mergeStartTags returns the start tag of two flows that become one, given their numbers of items.
func mergeStartTags(tag float64, length int, otherTag float64, otherLength int) float64 {
	switch {
	case otherLength == 0:
		return tag
	case length == 0:
		return otherTag
	}
	return min(tag, otherTag)
}

// Len returns the number of queued items.
func (q *Queue[T]) Len() int { return q.length }

// Threads returns the sum of the threads of all queued items.
func (q *Queue[T]) Threads() float64 { return q.threads }

// Work returns the sum of the work of all queued items.
func (q *Queue[T]) Work() float64 { return q.work }

// ClassWork returns the queued work of one class.
func (q *Queue[T]) ClassWork(class int) float64 {
	if len(q.classes) == 0 {
		return 0
	}
	return q.classes[class].work
}

// TenantWork returns the queued work of one tenant within a class.
func (q *Queue[T]) TenantWork(class, tenant int) float64 {
	if len(q.classes) == 0 {
		return 0
	}
	return q.classes[class].tenants[tenant].work
}

// Push appends an item to its tenant's flow; work is the amount of service that the item will be charged. A flow that
// was empty starts at the virtual time, so that it gains no credit for the time when it was idle.
func (q *Queue[T]) Push(class, tenant int, value T, work, threads float64) {
	if len(q.classes) == 0 {
		q.allocate()
	}
	flow := &q.classes[class]
	subflow := &flow.tenants[tenant]
	if flow.length == 0 {
		flow.startTag = max(q.virtualTime, flow.finishTag)
	}
	if len(subflow.items) == 0 {
		subflow.startTag = max(flow.virtualTime, subflow.finishTag)
	}
	subflow.items = append(subflow.items, item[T]{value, work, threads})
	subflow.work += work
	flow.length++
	q.length++
	q.work += work
	flow.work += work
	q.threads += threads
}

// Head returns the item with the smallest start tag: it selects the class first, and then the tenant within the
// class. It skips classes whose first item is not eligible; with a nil function, all items are eligible. ok is false if
// there is no eligible item.
func (q *Queue[T]) Head(eligible func(first T) bool) (value T, ok bool) {
	startTag := 0.0
	for i := range q.classes {
		flow := &q.classes[i]
		if flow.length == 0 || ok && flow.startTag >= startTag {
			continue
		}
		if first := flow.first(); eligible == nil || eligible(first) {
			value, startTag, ok = first, flow.startTag, true
		}
	}
	return value, ok
}

// first returns the item with the smallest start tag of a class that has items.
func (f *classFlow[T]) first() T {
	var first *tenantFlow[T]
	for i := range f.tenants {
		tenant := &f.tenants[i]
		if len(tenant.items) > 0 && (first == nil || tenant.startTag < first.startTag) {
			first = tenant
		}
	}
	return first.items[0].value
}

// Pop removes the first item of a tenant's flow as served: the tags advance by its work over the shares.
func (q *Queue[T]) Pop(class, tenant int, classShare, tenantShare float64) {
	flow := &q.classes[class]
	subflow := &flow.tenants[tenant]
	work := subflow.items[0].work
	q.virtualTime, flow.virtualTime = max(q.virtualTime, flow.startTag), subflow.startTag
	flow.finishTag = flow.startTag + work/classShare
	subflow.finishTag = subflow.startTag + work/tenantShare
	flow.startTag, subflow.startTag = flow.finishTag, subflow.finishTag
	q.removeAt(flow, subflow, 0)
}

// Remove removes an item without serving it, and does not change the tags. It does nothing if the item is not queued.
func (q *Queue[T]) Remove(class, tenant int, value T) {
	if len(q.classes) == 0 {
		return
	}
	flow := &q.classes[class]
	subflow := &flow.tenants[tenant]
	same := func(queued item[T]) bool { return queued.value == value }
	if i := slices.IndexFunc(subflow.items, same); i >= 0 {
		q.removeAt(flow, subflow, i)
	}
}

func (q *Queue[T]) removeAt(flow *classFlow[T], subflow *tenantFlow[T], i int) {
	removed := subflow.items[i]
	subflow.items = slices.Delete(subflow.items, i, i+1)
	flow.length--
	q.length--
	q.work -= removed.work
	flow.work -= removed.work
	subflow.work -= removed.work
	q.threads -= removed.threads
}
