package delivery

import (
	"slices"
	"testing"
	"time"
)

func TestWritesEachIntervalAndIdles(t *testing.T) {
	h := newHarness(config())
	h.offer(1)
	h.expect(t, "connect 1")
	h.apply(Connected{1})
	h.expect(t, "write 1 of 1 from 0")
	h.apply(WriteCompleted{1})
	h.advance(time.Hour)
	h.expect(t)
	h.offer(1)
	h.expect(t, "write 2 of 1 from 0")
	if st := h.machine.Stats(); st.DeliveredIntervals != 1 || st.WaitingIntervals != 1 || st.LostIntervals != 0 {
		t.Fatalf("got %+v, want 1 interval delivered, 1 waiting, none lost", st)
	}
}

func TestBackoffDoublesWithJitter(t *testing.T) {
	var firsts []time.Duration
	for seed := range uint64(8) {
		m := New(config(), seed)
		src := newIntervalSource()
		m.Apply(0, IntervalAdded{src.next()})
		now := time.Duration(0)
		for attempt := range 10 {
			m.Apply(now, Disconnected{Conn: attempt + 1})
			at, ok := m.NextDeadline()
			full := min(15*time.Second, 200*ms<<attempt)
			if !ok || at-now < full/2 || at-now > full {
				t.Fatalf("attempt %d: got backoff %v, want %v to %v", attempt, at-now, full/2, full)
			}
			if attempt == 0 {
				firsts = append(firsts, at)
			}
			now = at
			if a := m.Tick(now); len(a) != 1 {
				t.Fatalf("attempt %d: got actions %v, want one", attempt, a)
			}
		}
	}
	if slices.Sort(firsts); firsts[0] == firsts[len(firsts)-1] {
		t.Fatal("machines with different seeds reconnect at the same time")
	}
}

// The backoff must keep growing if a connection is established but makes no progress. Otherwise the broker would
// reconnect with the initial backoff after each write timeout.
func TestBackoffGrowsAfterAConnectionWithoutProgress(t *testing.T) {
	h := newHarness(config())
	h.offer(1)
	h.apply(Connected{1})
	h.actions = nil
	h.advance(5*time.Second - 1)
	h.expect(t)
	h.advance(1)
	h.expect(t, "close 1")
	h.apply(Disconnected{1, 0})
	h.advance(time.Second)
	h.expect(t, "connect 2")
	h.apply(Connected{2})
	h.advance(5 * time.Second)
	h.apply(Disconnected{2, 0})
	h.expect(t, "write 1 of 1 from 0", "close 2")
	if at, _ := h.machine.NextDeadline(); at-h.now < 200*ms {
		t.Fatalf("second backoff is %v, want at least %v", at-h.now, 200*ms)
	}
	h.advance(400 * ms)
	h.expect(t, "connect 3")
}

func TestProgressExtendsTheWriteTimeout(t *testing.T) {
	h := newHarness(config())
	h.offer(1)
	h.apply(Connected{1})
	h.actions = nil
	for i := range 10 {
		h.advance(4 * time.Second)
		h.apply(Progress{1, i})
	}
	h.expect(t)
}

func TestResumesAfterSentRecords(t *testing.T) {
	h := newHarness(config())
	h.offer(1)
	h.apply(Connected{1}, Disconnected{1, 17})
	h.advance(time.Second)
	h.apply(Connected{2})
	h.expect(t, "connect 1", "write 1 of 1 from 0", "connect 2", "write 1 of 1 from 17")
}

// Merging a partly sent interval would change its records, and the number of records sent would no longer apply.
func TestPartlySentIntervalIsNotMerged(t *testing.T) {
	cfg := config()
	cfg.MaxWaitingIntervals = 3
	h := newHarness(cfg)
	h.offer(1)
	h.apply(Connected{1}, Disconnected{1, 5})
	h.offer(6)
	h.advance(time.Second)
	h.apply(Connected{2}, WriteCompleted{2})
	h.advance(time.Second)
	h.expect(t, "connect 1", "write 1 of 1 from 0", "connect 2", "write 7 of 1 from 0", "write 1 of 1 from 5")
}

// The newest interval is written before the backlog, which is replayed at an increasing rate.
func TestNewestIntervalPrecedesTheBacklog(t *testing.T) {
	cfg := config()
	cfg.MemoryBudget, cfg.ReplayRate = 1<<20, 2<<10
	h := newHarness(cfg)
	h.offer(6)
	h.apply(Connected{1})
	h.expect(t, "connect 1", "write 6 of 1 from 0")
	h.apply(WriteCompleted{1})
	h.expect(t) // waits for about 800 bytes at 256 bytes per second
	h.advance(4 * time.Second)
	h.expect(t, "write 1 of 1 from 0")
	h.offer(1) // during the write
	h.apply(WriteCompleted{1})
	h.expect(t, "write 7 of 1 from 0")
	h.apply(WriteCompleted{1})
	gaps := make([]time.Duration, 0, 4)
	for range 4 {
		at, ok := h.machine.NextDeadline()
		if !ok {
			t.Fatal("no deadline although a backlog waits")
		}
		gaps = append(gaps, at-h.now)
		h.advance(at - h.now)
		h.apply(WriteCompleted{1})
	}
	h.expect(t, "write 2 of 1 from 0", "write 3 of 1 from 0", "write 4 of 1 from 0", "write 5 of 1 from 0")
	if gaps[3] >= gaps[0] {
		t.Fatalf("replay rate does not increase: gaps between writes are %v", gaps)
	}
}

// The intervals of an outage of one hour are merged into fewer ones of about equal length, without any loss.
func TestIntervalsOfALongOutageAreMergedEvenly(t *testing.T) {
	cfg := config()
	h := newHarness(cfg)
	for range 360 {
		h.offer(1)
		if held := h.machine.Stats().HeldBytes; held > cfg.MemoryBudget {
			t.Fatalf("queue holds %d bytes, budget is %d", held, cfg.MemoryBudget)
		}
	}
	if st := h.machine.Stats(); st.WaitingIntervals != 360 || st.LostIntervals != 0 || st.LostSamples != 0 {
		t.Fatalf("got %+v, want 360 intervals waiting, nothing lost", st)
	}
	fewest, largest, samples := uint64(1000), uint64(0), 0.0
	for i, it := range h.machine.queue.intervals {
		samples += it.interval.SampleCount()
		if i < len(h.machine.queue.intervals)-2 {
			fewest, largest = min(fewest, it.interval.MergedCount), max(largest, it.interval.MergedCount)
		}
	}
	if largest > 4*fewest || samples != 360 {
		t.Fatalf("intervals are merged from %d to %d, with %v samples of 360", fewest, largest, samples)
	}
}

// Intervals and samples that don't fit the memory budget even after merging are counted as lost exactly.
func TestIntervalsBeyondTheBudgetAreCountedLost(t *testing.T) {
	cfg := config()
	cfg.MemoryBudget = 4 << 10 // fits about two intervals
	h := newHarness(cfg)
	h.offer(2000) // more than five hours, which exceeds the maximum span of a merged interval
	st := h.machine.Stats()
	if st.HeldBytes > cfg.MemoryBudget || st.LostIntervals == 0 || st.LostIntervals+st.WaitingIntervals != 2000 {
		t.Fatalf("got %+v, want 2000 intervals waiting or lost, at least one lost, within %d bytes", st, cfg.MemoryBudget)
	}
	waiting := 0.0
	for _, it := range h.machine.queue.intervals {
		waiting += it.interval.SampleCount()
	}
	if st.LostSamples+waiting != 2000 {
		t.Fatalf("got %v samples lost and %v waiting, want 2000 in total", st.LostSamples, waiting)
	}
}

// collectd rejects values older than the last ones. With MaxWaitingIntervals 1, the single waiting interval contains
// all others.
func TestAllWaitingIntervalsAreMergedIfOneMayWait(t *testing.T) {
	cfg := config()
	cfg.MaxWaitingIntervals = 1
	h := newHarness(cfg)
	h.offer(5)
	h.apply(Disconnected{1, 0})
	h.offer(5)
	h.advance(time.Second)
	h.apply(Connected{2})
	h.expect(t, "connect 1", "connect 2", "write 10 of 10 from 0")
	h.offer(2) // during the write
	h.apply(WriteCompleted{2})
	h.expect(t, "write 12 of 2 from 0")
	if st := h.machine.Stats(); st.LostIntervals != 0 {
		t.Fatalf("got %+v, want no lost interval", st)
	}
}

// After an address change the machine connects without backoff and sends all intervals to the new address.
func TestAddressChangeMovesTheQueue(t *testing.T) {
	h := newHarness(config())
	h.offer(1)
	h.apply(Connected{1}, Disconnected{1, 5})
	h.offer(1)
	h.actions = nil
	h.apply(AddressChanged{}) // skips the backoff
	h.expect(t, "connect 2")
	h.apply(Connected{2})
	h.expect(t, "write 2 of 1 from 0")
	h.apply(AddressChanged{})
	h.expect(t, "close 2")
	h.apply(Disconnected{2, 9})
	h.expect(t, "connect 3")
	h.apply(Connected{3}, WriteCompleted{3})
	h.advance(time.Second)
	// Starts at the first record, as the new collector has received none.
	h.expect(t, "write 1 of 1 from 0", "write 2 of 1 from 0")
	if st := h.machine.Stats(); st.ConnectionFailures != 1 {
		t.Fatalf("address change counts as a connection failure: %+v", st)
	}
}

func TestStop(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(*harness)
		want []string
		lost uint64
	}{
		{"empty queue stops immediately", func(h *harness) { h.apply(StopRequested{300 * ms}) }, []string{"stopped"}, 0},
		{"backlog is written without pacing", func(h *harness) {
			h.offer(3)
			h.apply(Connected{1}, StopRequested{300 * ms}, WriteCompleted{1}, WriteCompleted{1}, WriteCompleted{1})
		}, []string{
			"connect 1", "write 3 of 1 from 0", "write 1 of 1 from 0", "write 2 of 1 from 0", "close 1", "stopped",
		}, 0},
		{"last connection attempt skips the backoff", func(h *harness) {
			h.offer(1)
			h.apply(Disconnected{1, 0}, StopRequested{300 * ms}, Connected{2}, WriteCompleted{2})
		}, []string{"connect 1", "connect 2", "write 1 of 1 from 0", "close 2", "stopped"}, 0},
		{"intervals left at the deadline are counted lost", func(h *harness) {
			h.offer(3)
			h.apply(Connected{1}, StopRequested{300 * ms}, WriteCompleted{1})
			h.advance(300 * ms)
		}, []string{"connect 1", "write 3 of 1 from 0", "write 1 of 1 from 0", "close 1", "stopped"}, 2},
		{"interval added after the stop is counted lost", func(h *harness) {
			h.apply(StopRequested{300 * ms})
			h.offer(1)
		}, []string{"stopped"}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(config())
			c.do(h)
			h.expect(t, c.want...)
			if st := h.machine.Stats(); st.LostIntervals != c.lost || st.WaitingIntervals != 0 {
				t.Fatalf("got %+v, want %d intervals lost, none waiting", st, c.lost)
			}
		})
	}
}
