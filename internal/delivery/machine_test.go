package delivery

import (
	"slices"
	"testing"
	"time"
)

func TestWritesEachIntervalAndIdles(t *testing.T) {
	r := newRig(config())
	r.offer(1)
	r.expect(t, "connect 1")
	r.apply(Connected{1})
	r.expect(t, "write 1 of 1 from 0")
	r.apply(WriteCompleted{1})
	r.advance(time.Hour)
	r.expect(t)
	r.offer(1)
	r.expect(t, "write 2 of 1 from 0")
	if st := r.machine.Stats(); st.DeliveredIntervals != 1 || st.WaitingIntervals != 1 || st.LostIntervals != 0 {
		t.Fatalf("%+v", st)
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
				t.Fatalf("attempt %d: waits %v, want %v to %v", attempt, at-now, full/2, full)
			}
			if attempt == 0 {
				firsts = append(firsts, at)
			}
			now = at
			if a := m.Tick(now); len(a) != 1 {
				t.Fatalf("attempt %d: %v", attempt, a)
			}
		}
	}
	if slices.Sort(firsts); firsts[0] == firsts[len(firsts)-1] {
		t.Fatal("all come back at once")
	}
}

// A connection that is established and makes no progress is no success: the backoff keeps growing.
func TestBackoffOfAConnectionWithoutProgress(t *testing.T) {
	r := newRig(config())
	r.offer(1)
	r.apply(Connected{1})
	r.actions = nil
	r.advance(5*time.Second - 1)
	r.expect(t)
	r.advance(1)
	r.expect(t, "close 1")
	r.apply(Disconnected{1, 0})
	r.advance(time.Second)
	r.expect(t, "connect 2")
	r.apply(Connected{2})
	r.advance(5 * time.Second)
	r.apply(Disconnected{2, 0})
	r.expect(t, "write 1 of 1 from 0", "close 2")
	if at, _ := r.machine.NextDeadline(); at-r.now < 200*ms {
		t.Fatalf("the second pause is %v", at-r.now)
	}
	r.advance(400 * ms)
	r.expect(t, "connect 3")
}

func TestProgressKeepsAConnection(t *testing.T) {
	r := newRig(config())
	r.offer(1)
	r.apply(Connected{1})
	r.actions = nil
	for i := range 10 {
		r.advance(4 * time.Second)
		r.apply(Progress{1, i})
	}
	r.expect(t)
}

func TestResumesBehindSentRecords(t *testing.T) {
	r := newRig(config())
	r.offer(1)
	r.apply(Connected{1}, Disconnected{1, 17})
	r.advance(time.Second)
	r.apply(Connected{2})
	r.expect(t, "connect 1", "write 1 of 1 from 0", "connect 2", "write 1 of 1 from 17")
}

// The number of records sent counts in the interval as it was written.
func TestPartlySentIntervalIsNotFolded(t *testing.T) {
	cfg := config()
	cfg.MaxWaiting = 3
	r := newRig(cfg)
	r.offer(1)
	r.apply(Connected{1}, Disconnected{1, 5})
	r.offer(6)
	r.advance(time.Second)
	r.apply(Connected{2}, WriteCompleted{2})
	r.advance(time.Second)
	r.expect(t, "connect 1", "write 1 of 1 from 0", "connect 2", "write 7 of 1 from 0", "write 1 of 1 from 5")
}

// The newest interval is written ahead of the backlog, which is replayed at a growing rate.
func TestNewestIntervalPrecedesTheBacklog(t *testing.T) {
	cfg := config()
	cfg.MemoryBudget, cfg.ReplayRate = 1<<20, 2<<10
	r := newRig(cfg)
	r.offer(6)
	r.apply(Connected{1})
	r.expect(t, "connect 1", "write 6 of 1 from 0")
	r.apply(WriteCompleted{1})
	r.expect(t) // some 800 bytes at 256 a second
	r.advance(4 * time.Second)
	r.expect(t, "write 1 of 1 from 0")
	r.offer(1) // meanwhile
	r.apply(WriteCompleted{1})
	r.expect(t, "write 7 of 1 from 0")
	r.apply(WriteCompleted{1})
	gaps := make([]time.Duration, 0, 4)
	for range 4 {
		at, ok := r.machine.NextDeadline()
		if !ok {
			t.Fatal("nothing is due")
		}
		gaps = append(gaps, at-r.now)
		r.advance(at - r.now)
		r.apply(WriteCompleted{1})
	}
	r.expect(t, "write 2 of 1 from 0", "write 3 of 1 from 0", "write 4 of 1 from 0", "write 5 of 1 from 0")
	if gaps[3] >= gaps[0] {
		t.Fatalf("the pace does not grow: %v", gaps)
	}
}

// An hour's outage is reported in fewer, coarser intervals of about one length, and nothing of it is lost.
func TestLongOutageIsFolded(t *testing.T) {
	cfg := config()
	r := newRig(cfg)
	for range 360 {
		r.offer(1)
		if held := r.machine.Stats().HeldBytes; held > cfg.MemoryBudget {
			t.Fatalf("holds %d bytes", held)
		}
	}
	if st := r.machine.Stats(); st.WaitingIntervals != 360 || st.LostIntervals != 0 || st.LostSamples != 0 {
		t.Fatalf("%+v", st)
	}
	fewest, largest, samples := uint64(1000), uint64(0), 0.0
	for i, it := range r.machine.queue.intervals {
		samples += it.interval.SampleCount()
		if i < len(r.machine.queue.intervals)-2 {
			fewest, largest = min(fewest, it.interval.MergedCount), max(largest, it.interval.MergedCount)
		}
	}
	if largest > 4*fewest || samples != 360 {
		t.Fatalf("intervals of %d to %d in one, %v samples", fewest, largest, samples)
	}
}

// What even folding can't hold is counted lost, to the last value.
func TestLossesAreCounted(t *testing.T) {
	cfg := config()
	cfg.MemoryBudget = 4 << 10 // room for two intervals or so
	r := newRig(cfg)
	r.offer(2000) // five hours and more: longer than may be folded into one
	st := r.machine.Stats()
	if st.HeldBytes > cfg.MemoryBudget || st.LostIntervals == 0 || st.LostIntervals+st.WaitingIntervals != 2000 {
		t.Fatalf("%+v", st)
	}
	held := 0.0
	for _, it := range r.machine.queue.intervals {
		held += it.interval.SampleCount()
	}
	if st.LostSamples+held != 2000 {
		t.Fatalf("%v samples lost, %v held", st.LostSamples, held)
	}
}

// collectd accepts nothing older than the last: one interval waits, which has all.
func TestMaxWaitingOfOne(t *testing.T) {
	cfg := config()
	cfg.MaxWaiting = 1
	r := newRig(cfg)
	r.offer(5)
	r.apply(Disconnected{1, 0})
	r.offer(5)
	r.advance(time.Second)
	r.apply(Connected{2})
	r.expect(t, "connect 1", "connect 2", "write 10 of 10 from 0")
	r.offer(2) // while that is under way
	r.apply(WriteCompleted{2})
	r.expect(t, "write 12 of 2 from 0")
	if st := r.machine.Stats(); st.LostIntervals != 0 {
		t.Fatalf("%+v", st)
	}
}

func TestAddressChangeMovesTheQueue(t *testing.T) {
	r := newRig(config())
	r.offer(1)
	r.apply(Connected{1}, Disconnected{1, 5})
	r.offer(1)
	r.actions = nil
	r.apply(AddressChanged{}) // it does not wait for the pause
	r.expect(t, "connect 2")
	r.apply(Connected{2})
	r.expect(t, "write 2 of 1 from 0")
	r.apply(AddressChanged{})
	r.expect(t, "close 2")
	r.apply(Disconnected{2, 9})
	r.expect(t, "connect 3")
	r.apply(Connected{3}, WriteCompleted{3})
	r.advance(time.Second)
	// From the first record, as the new collector has none of it.
	r.expect(t, "write 1 of 1 from 0", "write 2 of 1 from 0")
	if st := r.machine.Stats(); st.ConnectionFailures != 1 {
		t.Fatalf("a move counts as a break: %+v", st)
	}
}

func TestStop(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(*rig)
		want []string
		lost uint64
	}{
		{"nothing waits", func(r *rig) { r.apply(StopRequested{300 * ms}) }, []string{"stopped"}, 0},
		{"all leaves, without a pace", func(r *rig) {
			r.offer(3)
			r.apply(Connected{1}, StopRequested{300 * ms}, WriteCompleted{1}, WriteCompleted{1}, WriteCompleted{1})
		}, []string{
			"connect 1", "write 3 of 1 from 0", "write 1 of 1 from 0", "write 2 of 1 from 0", "close 1", "stopped",
		}, 0},
		{"a last attempt is made at once", func(r *rig) {
			r.offer(1)
			r.apply(Disconnected{1, 0}, StopRequested{300 * ms}, Connected{2}, WriteCompleted{2})
		}, []string{"connect 1", "connect 2", "write 1 of 1 from 0", "close 2", "stopped"}, 0},
		{"what is left is counted", func(r *rig) {
			r.offer(3)
			r.apply(Connected{1}, StopRequested{300 * ms}, WriteCompleted{1})
			r.advance(300 * ms)
		}, []string{"connect 1", "write 3 of 1 from 0", "write 1 of 1 from 0", "close 1", "stopped"}, 2},
		{"nothing is accepted after it", func(r *rig) {
			r.apply(StopRequested{300 * ms})
			r.offer(1)
		}, []string{"stopped"}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(config())
			c.do(r)
			r.expect(t, c.want...)
			if st := r.machine.Stats(); st.LostIntervals != c.lost || st.WaitingIntervals != 0 {
				t.Fatalf("%+v", st)
			}
		})
	}
}
