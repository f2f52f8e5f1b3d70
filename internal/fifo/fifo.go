// Package fifo provides a queue that refers to nothing that has left it. A slice that is cut from its front keeps the
// removed elements in its array, and with them all that they refer to.
package fifo

import "slices"

// Queue is a first-in first-out queue. The zero value is empty. It is not safe for concurrent use.
type Queue[T any] struct {
	items []T // the elements from head on; those before it are zero
	head  int
}

// Len returns the number of elements.
func (q *Queue[T]) Len() int { return len(q.items) - q.head }

// Items returns the elements, oldest first. They may be changed in place; the slice is valid until the next call of
// another method.
func (q *Queue[T]) Items() []T { return q.items[q.head:] }

// Push appends an element.
func (q *Queue[T]) Push(element T) {
	if q.head > 0 && len(q.items) == cap(q.items) { // the space of removed elements is used before more is allocated
		q.items = slices.Delete(q.items, 0, q.head)
		q.head = 0
	}
	q.items = append(q.items, element)
}

// Pop removes the oldest element and returns it; ok is false if the queue is empty. An empty queue holds no memory.
func (q *Queue[T]) Pop() (element T, ok bool) {
	if q.Len() == 0 {
		return element, false
	}
	var zero T
	element, q.items[q.head] = q.items[q.head], zero
	q.head++
	q.releaseIfEmpty()
	return element, true
}

// DeleteFunc removes the elements with a property.
func (q *Queue[T]) DeleteFunc(property func(T) bool) {
	q.items = slices.DeleteFunc(q.items[q.head:], property)
	q.head = 0
	q.releaseIfEmpty()
}

func (q *Queue[T]) releaseIfEmpty() {
	if q.Len() == 0 {
		q.items, q.head = nil, 0
	}
}
