package control

import (
	"testing"
	"time"

	"wheatlane/control/workload"
)

func TestClassThatChangesGetsANewIndex(t *testing.T) {
	w := workload.New(workload.DefaultConfig(), nil, 1)
	table := newClassTable()
	quick := Class{Name: "quick", LatencyObjective: time.Second, PriorityWeight: 2, Threads: 1}
	wide := Class{Name: "wide", LatencyObjective: 2 * time.Second, PriorityWeight: 1, Threads: 4}
	table.add(quick, &w)
	table.add(wide, &w)
	changed := quick
	changed.LatencyObjective = 3 * time.Second
	requireEqual(t, "contains the class", table.contains(quick), true)
	requireEqual(t, "contains the class with another objective", table.contains(changed), false)
	requireEqual(t, "contains an unknown class", table.contains(Class{Name: "other"}), false)
	table.add(changed, &w)
	requireEqual(t, "contains the changed class", table.contains(changed), true)
	requireEqual(t, "contains the previous settings of the class", table.contains(quick), false)
	requireEqual(t, "index of the changed class", table.byName["quick"], 2)
	requireEqual(t, "threads of the widest class", table.maxThreads, 4)
	requireEqual(t, "lowest weight", table.lowestWeight, 1)
	requireEqual(t, "shortest objective", table.shortestObjective.LatencyObjective, time.Second)
}
