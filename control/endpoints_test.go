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

func TestEnginesAreKeptInTheOrderOfTheirIDs(t *testing.T) {
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
		t.Errorf("order %v", got)
	}
	if e := set.byGossipID(GossipID("e10")); e == nil || e.ID != "e10" {
		t.Errorf("by the hash of e10: %v", e)
	}
	if e := set.byGossipID(GossipID("none")); e != nil {
		t.Errorf("by an unknown hash: %s", e.ID)
	}
	set.byID["e1"].member.Unlist()
	set.byID["e2"].member.Unlist()
	set.byID["e2"].attempts = []*attempt{{}}
	if got := set.removeUnlisted(); !slices.Equal(got, []string{"e1"}) {
		t.Errorf("removed %v, want e1 alone: e2 has an attempt in flight", got)
	}
	if got := engineIDs(set.all); !slices.Equal(got, []string{"e10", "e2"}) || len(set.byID) != 2 {
		t.Errorf("left %v, %d by ID", got, len(set.byID))
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
		t.Errorf("%d queue owners; engine pooled: %v, pool pooled: %v", len(owners), e.pooled(), pool.pooled())
	}
	e.acquireThreads(3)
	e.addAttempt(&attempt{})
	if pool.concurrency.ThreadsInFlight() != 3 || len(pool.attempts) != 1 {
		t.Errorf("the pool counts %d threads, %d attempts", pool.concurrency.ThreadsInFlight(), len(pool.attempts))
	}
}
