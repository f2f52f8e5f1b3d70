// Package fairqueue is a queue in start-time fair order (Goyal, Vin and Cheng, SIGCOMM 1996) on two levels: classes
// share the service by their weights, and the tenants of a class share what the class gets. The caller gives the
// shares with each Pop, and the classes that may be served with each Head. All work is in one unit of the caller's.
package fairqueue

import "slices"

// Queue holds items of type T. Its zero value has no classes; use New.
type Queue[T comparable] struct {
	classes     []classFlow[T]
	virtualTime float64 // start tag of the class served last
	length      int
	threads     float64
	work        float64
}

// classFlow is what waits of one class.
type classFlow[T comparable] struct {
	startTag    float64 // of its next item
	finishTag   float64 // of its last item served
	virtualTime float64 // start tag of the tenant served last
	tenants     []tenantFlow[T]
	work        float64
	length      int
}

// tenantFlow is what waits of one tenant within a class, in order of arrival.
type tenantFlow[T comparable] struct {
	startTag  float64 // of its next item
	finishTag float64 // of its last item served
	work      float64
	items     []item[T]
}

type item[T comparable] struct {
	value   T
	work    float64
	threads float64
}

// New returns an empty queue for some numbers of classes and tenants.
func New[T comparable](classes, tenants int) Queue[T] {
	q := Queue[T]{}
	q.Grow(classes, tenants)
	return q
}

// Grow adds classes up to a number of them; those that exist stay as they are.
func (q *Queue[T]) Grow(classes, tenants int) {
	q.classes = slices.Grow(q.classes, max(0, classes-len(q.classes)))
	for len(q.classes) < classes {
		q.classes = append(q.classes, classFlow[T]{tenants: make([]tenantFlow[T], tenants)})
	}
}

// Len is the number of items that wait.
func (q *Queue[T]) Len() int { return q.length }

// Threads is the sum of the threads of all items that wait.
func (q *Queue[T]) Threads() float64 { return q.threads }

// Work is the sum of the work of all items that wait.
func (q *Queue[T]) Work() float64 { return q.work }

// ClassWork is the work that waits of one class.
func (q *Queue[T]) ClassWork(class int) float64 { return q.classes[class].work }

// TenantWork is the work that waits of one tenant within a class.
func (q *Queue[T]) TenantWork(class, tenant int) float64 {
	return q.classes[class].tenants[tenant].work
}

// Push adds an item at the end of its tenant's flow. Its work is what its service will count for. A flow that was
// empty starts at the virtual time, so that it claims no service for the time it was idle.
func (q *Queue[T]) Push(class, tenant int, value T, work, threads float64) {
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

// Head returns the item with the smallest start tag: of the class first, of the tenant within it second. Classes that
// are not eligible are skipped; nil stands for all classes.
func (q *Queue[T]) Head(eligible func(class int) bool) (value T, ok bool) {
	var first *classFlow[T]
	for i := range q.classes {
		flow := &q.classes[i]
		earlier := flow.length > 0 && (first == nil || flow.startTag < first.startTag)
		if earlier && (eligible == nil || eligible(i)) {
			first = flow
		}
	}
	if first == nil {
		return value, false
	}
	var firstTenant *tenantFlow[T]
	for i := range first.tenants {
		subflow := &first.tenants[i]
		if len(subflow.items) > 0 && (firstTenant == nil || subflow.startTag < firstTenant.startTag) {
			firstTenant = subflow
		}
	}
	return firstTenant.items[0].value, true
}

// Pop serves the first item of a tenant's flow: the tags move by its work over the shares.
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

// Remove takes an item out without service; the tags stay. It does nothing if the item does not wait.
func (q *Queue[T]) Remove(class, tenant int, value T) {
	flow := &q.classes[class]
	subflow := &flow.tenants[tenant]
	same := func(waiting item[T]) bool { return waiting.value == value }
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
