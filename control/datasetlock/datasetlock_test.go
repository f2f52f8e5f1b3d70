package datasetlock

import (
	"fmt"
	"testing"
	"time"
)

func TestLockIsPresumedUntilExpiryOrRelease(t *testing.T) {
	t.Parallel()
	var locks Locks
	locks.PresumeLocked(7, time.Second)
	locks.PresumeLocked(8, 2*time.Second)
	for _, step := range []struct {
		now        time.Duration
		seven, six bool
	}{{0, true, false}, {time.Second - 1, true, false}, {time.Second, false, false}} {
		if got := locks.Locked(7, step.now); got != step.seven {
			t.Errorf("data set 7 at %v: locked is %v", step.now, got)
		}
		if got := locks.Locked(6, step.now); got != step.six {
			t.Errorf("data set 6 at %v: locked is %v", step.now, got)
		}
	}
	if !locks.Locked(8, time.Second) {
		t.Error("data set 8 is not locked before its expiry")
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

// Ranks must be spread over the whole range and differ between engines with similar IDs. Otherwise the
// requests of all data sets would be sent to the same few engines.
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
				t.Fatalf("rank %v, want it in [0, 1)", rank)
			}
			counts[int(rank*quarters)]++
			if rank == Rank(next, dataSet) {
				same++
			}
		}
	}
	for quarter, n := range counts {
		if n < engines*dataSets/quarters/2 {
			t.Errorf("got %d of %d ranks in quarter %d", n, engines*dataSets, quarter)
		}
	}
	if same > dataSets {
		t.Errorf("%d ranks equal those of the next engine", same)
	}
}

func TestRankHashIsDeterministic(t *testing.T) {
	t.Parallel()
	for id, want := range map[string]int{"": 0, "a": 97, "ab": 97*31 + 98, "engine-001": RankHash("engine-001")} {
		if got := RankHash(id); got != want || got >= hashModulus {
			t.Errorf("%q: got %d, want %d", id, got, want)
		}
	}
}
