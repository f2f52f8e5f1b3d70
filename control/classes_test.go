package control

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

func TestClassThatChangesKeepsItsIndex(t *testing.T) {
	table := newClassTable()
	quick := Class{Name: "quick", LatencyObjective: time.Second, PriorityWeight: 2, Threads: 1}
	wide := Class{Name: "wide", LatencyObjective: 2 * time.Second, PriorityWeight: 1, Threads: 4}
	table.update([]Class{quick, wide})
	previous := table.byName["quick"]
	_, changed := table.update([]Class{quick, wide})
	requireEqual(t, "equal settings change the table", changed, false)
	changedQuick := quick
	changedQuick.LatencyObjective = 3 * time.Second
	_, changed = table.update([]Class{changedQuick, wide})
	requireEqual(t, "other settings change the table", changed, true)
	requireEqual(t, "settings in force", table.byName["quick"].LatencyObjective, 3*time.Second)
	requireEqual(t, "settings of earlier requests", previous.LatencyObjective, time.Second)
	requireEqual(t, "index of the changed class", table.byName["quick"].slot.index, 0)
	requireEqual(t, "index for earlier requests", previous.slot.current().index, 0)
	requireEqual(t, "classes", len(table.all), 2)
	requireEqual(t, "threads of the widest class", table.maxThreads, 4)
	requireEqual(t, "lowest weight", table.lowestWeight, 1)
	requireEqual(t, "shortest objective", table.shortestObjective.LatencyObjective, 2*time.Second)
}

// reloadSeries replaces the classes in series. Each change renames one class and alters the objectives of the
// others, to and fro.
type reloadSeries struct {
	h        *harness
	settings Settings
}

func (s *reloadSeries) reload(number int) {
	classes := baseSettings().Classes
	classes[1].LatencyObjective += time.Duration(number%2) * time.Second
	renamed := classes[0]
	renamed.Name = fmt.Sprint("renamed-", number)
	s.h.controller.UpdateClasses(append(classes, renamed), s.settings.Limits)
	s.h.advance(200 * ms)
	s.h.actions = nil // not part of what is measured
}

// memory returns the heap in use after a collection, and the sum of all allocations.
func memory() (heap, total uint64) {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc, stats.TotalAlloc
}

// Each reload that changed classes added them for good, and a model whose size grows with the third power of
// their number exceeded the memory of the process.
func TestReloadsInSeriesUseNoMoreMemory(t *testing.T) {
	const (
		reloads, part = 1000, 100
		maxHeapGrowth = 64 << 10 // bytes, for the requests that stay open
		inForce       = 3
	)
	s := baseSettings()
	s.Limits.MaxAttempts = 1
	series := reloadSeries{newHarness(t, s, readyEngine("e1")), s}
	var open []string
	var heaps, allocated []uint64
	for i := range reloads {
		if i < part {
			id, _ := series.h.submit(fmt.Sprint("renamed-", i-1), series.h.deadlineIn(time.Hour))
			open = append(open, id)
		}
		if series.reload(i); len(series.h.controller.classes.all) > inForce+1 { // one for the removed ones
			t.Fatalf("%d classes after %d reloads", len(series.h.controller.classes.all), i+1)
		}
		if (i+1)%part == 0 {
			heap, total := memory()
			heaps, allocated = append(heaps, heap), append(allocated, total)
		}
	}
	last := len(heaps) - 1
	if heaps[last] > heaps[0]+maxHeapGrowth {
		t.Errorf("heap of %d bytes after %d reloads, %d after %d", heaps[last], reloads, heaps[0], part)
	}
	if first, end := allocated[1]-allocated[0], allocated[last]-allocated[last-1]; end > first+first/4 {
		t.Errorf("%d bytes allocated by the last %d reloads, %d by earlier ones", end, part, first)
	}
	for _, id := range open {
		series.h.endAttempt(id, 0, OK)
	}
	series.h.advance(5 * controlInterval)
	requireEqual(t, "open requests", len(series.h.controller.requests.byID), 0)
	requireEqual(t, "classes afterwards", len(series.h.controller.classes.all), inForce)
	requireEqual(t, "names afterwards", len(series.h.controller.classes.byName), inForce)
}

// A request that was received under a class which a reload removes is served, also if it comes in the batch after the
// reload, and also while it is queued.
func TestRequestsOfRemovedClassAreServed(t *testing.T) {
	s := baseSettings()
	h := newHarness(t, s, readyEngine("e1"))
	const queued = 30 // and in flight; more than the engine may have in flight
	for range queued {
		h.submit("quick", h.deadlineIn(20*time.Second))
	}
	if len(h.controller.endpoints.all[0].attempts) == queued {
		t.Fatal("no request is queued")
	}
	h.controller.UpdateClasses(s.Classes[1:], s.Limits)
	late, _ := h.submit("quick", h.deadlineIn(20*time.Second))
	served := map[string]bool{}
	for range 100 {
		for _, attempt := range append([]*attempt{}, h.controller.endpoints.all[0].attempts...) {
			served[attempt.request.ID] = true
			h.endAttempt(attempt.request.ID, attempt.number, OK)
		}
		h.advance(100 * ms)
	}
	requireEqual(t, "requests served", len(served), queued+1)
	requireEqual(t, "the late one is served", served[late], true)
	requireEqual(t, "classes afterwards", len(h.controller.classes.all), 1)
}

// A class whose settings come back while requests of the earlier settings are open needs no further index.
func TestSettingsThatComeBackNeedNoFurtherIndex(t *testing.T) {
	s := baseSettings()
	h := newHarness(t, s, readyEngine("e1"))
	for i := range 20 {
		h.submit("long", h.deadlineIn(time.Hour))
		classes := baseSettings().Classes
		classes[i%2].LatencyObjective += time.Second
		if h.controller.UpdateClasses(classes[:1+i/2%2], s.Limits); len(h.controller.classes.all) > 3 {
			t.Fatalf("%d classes after %d changes", len(h.controller.classes.all), i+1)
		}
		h.advance(100 * ms)
	}
}
