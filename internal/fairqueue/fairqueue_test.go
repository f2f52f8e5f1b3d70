package fairqueue

import (
	"math"
	"slices"
	"testing"
)

func want[T comparable](t *testing.T, what string, got, wanted T) {
	t.Helper()
	if got != wanted {
		t.Errorf("%s: got %v, want %v", what, got, wanted)
	}
}

// backlog returns a queue with items for each tenant of each class. Items are numbered class*100 + tenant*10 + n,
// where n counts the items of the tenant.
func backlog(classes, tenants, each int) Queue[int] {
	q := New[int](classes, tenants)
	for n := range each {
		for class := range classes {
			for tenant := range tenants {
				q.Push(class, tenant, class*100+tenant*10+n, 1, 2)
			}
		}
	}
	return q
}

func TestServiceFollowsShares(t *testing.T) {
	q := backlog(2, 2, 10)
	classShares, tenantShares := []float64{0.75, 0.25}, []float64{0.75, 0.25}
	var byClass, byTenant [2]int
	for range 16 {
		head, ok := q.Head(nil)
		if !ok {
			t.Fatal("the queue is empty")
		}
		class, tenant := head/100, head/10%10
		q.Pop(class, tenant, classShares[class], tenantShares[tenant])
		byClass[class]++
		if class == 0 {
			byTenant[tenant]++
		}
	}
	want(t, "items by class, shares 3 to 1", byClass, [2]int{12, 4})
	want(t, "items by tenant, shares 3 to 1", byTenant, [2]int{9, 3})
}

func TestItemsOfOneTenantAreServedInOrder(t *testing.T) {
	q := New[string](1, 1)
	for _, value := range []string{"first", "second", "third"} {
		q.Push(0, 0, value, 1, 1)
	}
	var got []string
	for head, ok := q.Head(nil); ok; head, ok = q.Head(nil) {
		got = append(got, head)
		q.Pop(0, 0, 1, 1)
	}
	if !slices.Equal(got, []string{"first", "second", "third"}) {
		t.Errorf("served %v", got)
	}
}

func TestHeadSkipsIneligibleClass(t *testing.T) {
	q := backlog(2, 1, 1)
	head, ok := q.Head(func(first int) bool { return first/100 == 1 })
	want(t, "head", head, 100)
	want(t, "found", ok, true)
	_, ok = q.Head(func(int) bool { return false })
	want(t, "found with no eligible class", ok, false)
}

func TestSumsMatchQueuedItems(t *testing.T) {
	q := backlog(2, 2, 2)
	q.Push(1, 0, 7, 5, 4)
	q.Remove(1, 0, 7)
	q.Remove(1, 0, 7) // no longer queued: no effect
	q.Pop(0, 1, 0.5, 0.5)
	want(t, "length", q.Len(), 7)
	want(t, "work", q.Work(), 7)
	want(t, "threads", q.Threads(), 14)
	want(t, "work of the class served", q.ClassWork(0), 3)
	want(t, "work of the tenant served", q.TenantWork(0, 1), 1)
	want(t, "work of the other class", q.ClassWork(1), 4)
}

func TestBackloggedFlowRetainsStartTag(t *testing.T) {
	q := backlog(2, 2, 10)
	shares := []float64{0.75, 0.25}
	for range 16 {
		head, _ := q.Head(nil)
		q.Pop(head/100, head/10%10, shares[head/100], shares[head/10%10])
	}
	before := q.classes[1].startTag
	head, _ := q.Head(nil)
	q.Remove(head/100, head/10%10, head)
	q.Push(1, 0, 100+10, 1, 1)
	want(t, "start tag", q.classes[1].startTag, before)
}

func TestRemovalIsFreeAndIdleTimeGivesNoCredit(t *testing.T) {
	q := New[int](2, 1)
	q.Push(0, 0, 1, 1, 1)
	before := q.classes[0].startTag
	q.Push(0, 0, 2, 1, 1)
	q.Remove(0, 0, 1)
	want(t, "start tag after a removal", q.classes[0].startTag, before)
	for range 5 {
		q.Push(0, 0, 3, 1, 1)
		q.Pop(0, 0, 0.5, 1)
	}
	q.Push(1, 0, 4, 1, 1)
	if got := q.classes[1].startTag; got != q.virtualTime || got == 0 || math.IsInf(got, 0) {
		t.Errorf("start tag of a class that was idle: got %v, want the virtual time %v", got, q.virtualTime)
	}
}

func TestMoveClassesRetainsQueuedItems(t *testing.T) {
	q := backlog(1, 1, 1)
	q.MoveClasses([]int{0}, 3)
	q.Push(2, 0, 200, 1, 1)
	want(t, "length", q.Len(), 2)
	head, _ := q.Head(func(first int) bool { return first == 200 })
	want(t, "head of an added class", head, 200)
	q.MoveClasses([]int{1, -1, 1}, 2)
	want(t, "length after a merge", q.Len(), 2)
	want(t, "work of the merged class", q.ClassWork(1), 2)
	for _, item := range []int{0, 200} {
		head, _ := q.Head(nil)
		want(t, "head of the merged class", head, item)
		q.Pop(1, 0, 1, 1)
	}
	q.MoveClasses([]int{0, -1}, 1)
	q.Push(0, 0, 300, 1, 1)
	want(t, "length after a class was removed", q.Len(), 1)
}

// A class that is merged into another one keeps its place among the others: it gains no credit, and waits no longer.
func TestMergedClassContinuesAtEarlierStartTag(t *testing.T) {
	q := backlog(3, 1, 2)
	q.Pop(0, 0, 0.5, 1)
	q.Pop(1, 0, 0.25, 1)
	first, second := q.classes[0], q.classes[1]
	q.MoveClasses([]int{0, 0, 1}, 2)
	want(t, "start tag", q.classes[0].startTag, min(first.startTag, second.startTag))
	want(t, "finish tag", q.classes[0].finishTag, max(first.finishTag, second.finishTag))
	head, _ := q.Head(nil)
	want(t, "head", head, 200)
}
