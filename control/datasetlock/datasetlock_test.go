package datasetlock

import (
	"fmt"
	"testing"
	"time"
)

func TestLockHoldsUntilItExpiresOrIsReleased(t *testing.T) {
	t.Parallel()
	var locks Locks
	locks.PresumeLocked(7, time.Second)
	locks.PresumeLocked(8, 2*time.Second)
	for _, step := range []struct {
		now        time.Duration
		seven, six bool
	}{{0, true, false}, {time.Second - 1, true, false}, {time.Second, false, false}} {
		if got := locks.Locked(7, step.now); got != step.seven {
			t.Errorf("data set 7 at %v: %v", step.now, got)
		}
		if got := locks.Locked(6, step.now); got != step.six {
			t.Errorf("data set 6 at %v: %v", step.now, got)
		}
	}
	if !locks.Locked(8, time.Second) {
		t.Error("data set 8 is not locked")
	}
	if locks.MarkUnlocked(8); locks.Locked(8, time.Second) {
		t.Error("data set 8 is locked after its release")
	}
}

func TestRoleOf(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		holds, blocked bool
		want           Role
	}{{false, false, Unaffected}, {true, false, Holder}, {false, true, Blocked}, {true, true, Holder}} {
		if got := RoleOf(c.holds, c.blocked); got != c.want {
			t.Errorf("holds %v, blocked %v: got %d, want %d", c.holds, c.blocked, got, c.want)
		}
	}
}

// The ranks of an engine are spread over all values, and differ from those of its neighbours.
func TestRanksAreSpread(t *testing.T) {
	t.Parallel()
	const engines, dataSets, quarters = 20, 50, 4
	var counts [quarters]int
	same := 0
	for engine := range engines {
		hash, next := RankHash(fmt.Sprint("engine-", engine)), RankHash(fmt.Sprint("engine-", engine+1))
		for dataSet := range dataSets {
			rank := Rank(hash, dataSet)
			if rank < 0 || rank >= 1 {
				t.Fatalf("rank %v", rank)
			}
			counts[int(rank*quarters)]++
			if rank == Rank(next, dataSet) {
				same++
			}
		}
	}
	for quarter, n := range counts {
		if n < engines*dataSets/quarters/2 {
			t.Errorf("%d of %d ranks are in quarter %d", n, engines*dataSets, quarter)
		}
	}
	if same > dataSets {
		t.Errorf("%d ranks are those of the next engine", same)
	}
}

func TestHashIsTheSameAtEveryBroker(t *testing.T) {
	t.Parallel()
	for id, want := range map[string]int{"": 0, "a": 97, "ab": 97*31 + 98, "engine-001": RankHash("engine-001")} {
		if got := RankHash(id); got != want || got >= hashModulus {
			t.Errorf("%q: got %d, want %d", id, got, want)
		}
	}
}
