// Package fairqueue is a queue in start-time fair order (Goyal, Vin and Cheng, SIGCOMM 1996) on two levels: classes
// share the service by their weights, and the tenants of a class share what the class gets. It holds no decision:
// shares come with each Pop, and who may be served now comes with each Head.
package fairqueue

import "slices"

// Queue holds items of type T. Its zero value has no classes; use New.
type Queue[T comparable] struct {
	classes     []classFlow[T]
	virtualTime float64
	length      int
	threads     float64
	work        float64
}

// classFlow is what waits of one class, by tenant. Start is the start tag of its next item, finish the finish tag of
// its last one served; virtualTime orders its tenants.
type classFlow[T comparable] struct {
	start, finish     float64
	tenants           []tenantFlow[T]
	virtualTime, work float64
	length            int
}

type tenantFlow[T comparable] struct {
	start, finish float64
	work          float64
	items         []item[T]
}

type item[T comparable] struct {
	value   T
	work    float64
	threads float64
}

// New returns an empty queue for so many classes and tenants.
func New[T comparable](classes, tenants int) Queue[T] {
	q := Queue[T]{}
	q.Grow(classes, tenants)
	return q
}

// Grow adds classes until there are so many; those that there are stay as they are.
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

// Push adds an item at the end of its tenant's flow. Work is what it costs its flow when it is served. A flow that was
// empty starts at the virtual time, so that it can't claim the service of the time it was idle.
func (q *Queue[T]) Push(class, tenant int, value T, work, threads float64) {
	flow := &q.classes[class]
	sub := &flow.tenants[tenant]
	if flow.length == 0 {
		flow.start = max(q.virtualTime, flow.finish)
	}
	if len(sub.items) == 0 {
		sub.start = max(flow.virtualTime, sub.finish)
	}
	sub.items = append(sub.items, item[T]{value, work, threads})
	sub.work += work
	flow.length++
	q.length++
	q.work += work
	flow.work += work
	q.threads += threads
}

// Head returns the item with the least start tag: of the class first, of the tenant within it second. Classes that are
// not eligible are passed over; nil means that all are.
func (q *Queue[T]) Head(eligible func(class int) bool) (value T, ok bool) {
	var best *classFlow[T]
	for i := range q.classes {
		flow := &q.classes[i]
		if flow.length > 0 && (best == nil || flow.start < best.start) && (eligible == nil || eligible(i)) {
			best = flow
		}
	}
	if best == nil {
		return value, false
	}
	var first *tenantFlow[T]
	for i := range best.tenants {
		if sub := &best.tenants[i]; len(sub.items) > 0 && (first == nil || sub.start < first.start) {
			first = sub
		}
	}
	return first.items[0].value, true
}

// Pop serves the first item of a tenant's flow: it moves the tags on by its work over the share.
func (q *Queue[T]) Pop(class, tenant int, classShare, tenantShare float64) {
	flow := &q.classes[class]
	sub := &flow.tenants[tenant]
	work := sub.items[0].work
	q.virtualTime, flow.virtualTime = max(q.virtualTime, flow.start), sub.start
	flow.finish = flow.start + work/classShare
	sub.finish = sub.start + work/tenantShare
	flow.start, sub.start = flow.finish, sub.finish
	q.take(flow, sub, 0)
}

// Remove takes an item out that is not to be served any more; it costs its flow nothing. An item that does not wait is
// passed over.
func (q *Queue[T]) Remove(class, tenant int, value T) {
	flow := &q.classes[class]
	sub := &flow.tenants[tenant]
	if i := slices.IndexFunc(sub.items, func(it item[T]) bool { return it.value == value }); i >= 0 {
		q.take(flow, sub, i)
	}
}

func (q *Queue[T]) take(flow *classFlow[T], sub *tenantFlow[T], i int) {
	taken := sub.items[i]
	sub.items = slices.Delete(sub.items, i, i+1)
	flow.length--
	q.length--
	q.work -= taken.work
	flow.work -= taken.work
	sub.work -= taken.work
	q.threads -= taken.threads
}
