package control

import (
	"slices"
	"testing"
)

func engineIDs(engines []*engine) []string {
	ids := make([]string, 0, len(engines))
	for _, e := range engines {
		ids = append(ids, e.ID)
	}
	return ids
}

func TestEnginesAreSortedByID(t *testing.T) {
	c, err := New(Settings{Brokers: 1, Classes: []Class{{Name: "only"}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	set := newEndpointSet()
	for _, id := range []string{"e2", "e10", "e1"} {
		e := c.newEngine(Engine{ID: id}, EngineKind{})
		e.member.Update(Ready)
		set.add(e)
	}
	if got := engineIDs(set.all); !slices.Equal(got, []string{"e1", "e10", "e2"}) {
		t.Errorf("order %v, want e1, e10, e2", got)
	}
	if e := set.byGossipID(GossipID("e10")); e == nil || e.ID != "e10" {
		t.Errorf("byGossipID of e10 returned %v, want the engine e10", e)
	}
	if e := set.byGossipID(GossipID("none")); e != nil {
		t.Errorf("byGossipID of an unknown engine returned %s, want nil", e.ID)
	}
	set.byID["e1"].member.Unlist()
	set.byID["e2"].member.Unlist()
	set.byID["e2"].attempts = []*attempt{{}}
	if got := set.removeUnlisted(); !slices.Equal(got, []string{"e1"}) {
		t.Errorf("removed %v, want only e1, as e2 has an attempt in flight", got)
	}
	if got := engineIDs(set.all); !slices.Equal(got, []string{"e10", "e2"}) || len(set.byID) != 2 {
		t.Errorf("remaining engines %v, %d by ID, want e10 and e2", got, len(set.byID))
	}
}

func TestOnlyThePoolOwnsAQueueWhereEnginesArePooled(t *testing.T) {
	c, err := New(Settings{Brokers: 1, Classes: []Class{{Name: "only"}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	set := newEndpointSet()
	pool, e := c.newEngine(Engine{}, EngineKind{}), c.newEngine(Engine{ID: "e1"}, EngineKind{})
	set.setPool(pool)
	set.add(e)
	if owners := set.queueOwners(); len(owners) != 1 || owners[0] != pool || !e.pooled() || pool.pooled() {
		t.Errorf("%d queue owners, want the pool alone; engine pooled: %v, pool pooled: %v",
			len(owners), e.pooled(), pool.pooled())
	}
	e.acquireThreads(3)
	e.addAttempt(&attempt{})
	if pool.concurrency.ThreadsInFlight() != 3 || len(pool.attempts) != 1 {
		t.Errorf("the pool has %d threads, %d attempts in flight, want 3 and 1",
			pool.concurrency.ThreadsInFlight(), len(pool.attempts))
	}
}
