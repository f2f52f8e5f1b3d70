package delivery

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"wheatlane/internal/metrics"
)

const ms = time.Millisecond

func config() Config {
	return Config{Budget: 64 << 10, LeastPause: 200 * ms, MostPause: 15 * time.Second, WriteTimeout: 5 * time.Second,
		ReplayRate: 64 << 10}
}

// source makes intervals as a broker does: a request each, with its time.
type source struct {
	reg  *metrics.Registry
	now  time.Duration
	made uint64
}

func newSource() *source {
	return &source{reg: metrics.NewRegistry(metrics.Limits{Classes: 4, Tenants: 4, Engines: 4, DataSets: 4, Idle: time.Hour}, 0, 0)}
}

func (s *source) next() *metrics.Interval {
	s.now += 10 * time.Second
	s.made++
	class := s.reg.Slot(metrics.Class, "lookup")
	s.reg.Add(metrics.Requests, class, 0, 1)
	s.reg.Observe(metrics.AnswerTime, class, float64(s.made))
	return s.reg.Cut(s.now, s.now)
}

// rig drives a machine and keeps what it asks for, in words.
type rig struct {
	m    *Machine
	src  *source
	now  time.Duration
	said []string
}

func newRig(cfg Config) *rig { return &rig{m: New(cfg, 1), src: newSource()} }

func (r *rig) hear(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Connect:
			r.said = append(r.said, fmt.Sprintf("open %d", a.Conn))
		case Write:
			r.said = append(r.said, fmt.Sprintf("write %d of %d from %d", a.Interval.Sequence, a.Interval.FoldedCount, a.FirstRecord))
		case Close:
			r.said = append(r.said, fmt.Sprintf("close %d", a.Conn))
		case Stopped:
			r.said = append(r.said, "done")
		}
	}
}

func (r *rig) apply(events ...Event) {
	for _, ev := range events {
		r.hear(r.m.Apply(r.now, ev))
	}
}

func (r *rig) offer(n int) {
	for range n {
		r.apply(Offer{r.src.next()})
	}
}

// pass lets time pass, firing what is due at its time.
func (r *rig) pass(d time.Duration) {
	end := r.now + d
	for {
		at, ok := r.m.NextDeadline()
		if !ok || at > end {
			break
		}
		r.now = max(r.now, at)
		was := len(r.said)
		r.hear(r.m.Tick(r.now))
		if len(r.said) == was {
			break // nothing more is due at this time
		}
	}
	r.now = end
}

func (r *rig) want(t *testing.T, want ...string) {
	t.Helper()
	if diff := cmp.Diff(want, r.said); diff != "" {
		t.Fatal(diff)
	}
	r.said = nil
}

func TestWritesWhatComesAndThenRests(t *testing.T) {
	r := newRig(config())
	r.offer(1)
	r.want(t, "open 1")
	r.apply(Connected{1})
	r.want(t, "write 1 of 1 from 0")
	r.apply(WriteCompleted{1})
	r.pass(time.Hour)
	r.want(t)
	r.offer(1)
	r.want(t, "write 2 of 1 from 0")
	if st := r.m.Stats(); st.DeliveredIntervals != 1 || st.WaitingIntervals != 1 || st.Lost != 0 {
		t.Fatalf("%+v", st)
	}
}

func TestBacksOffLongerEachTimeAndNotInStep(t *testing.T) {
	var firsts []time.Duration
	for seed := range uint64(8) {
		m := New(config(), seed)
		src := newSource()
		m.Apply(0, Offer{src.next()})
		now := time.Duration(0)
		for try := range 10 {
			m.Apply(now, Disconnected{Conn: try + 1})
			at, ok := m.NextDeadline()
			full := min(15*time.Second, 200*ms<<try)
			if !ok || at-now < full/2 || at-now > full {
				t.Fatalf("try %d: waits %v, want %v to %v", try, at-now, full/2, full)
			}
			if try == 0 {
				firsts = append(firsts, at)
			}
			now = at
			if a := m.Tick(now); len(a) != 1 {
				t.Fatalf("try %d: %v", try, a)
			}
		}
	}
	if slices.Sort(firsts); firsts[0] == firsts[len(firsts)-1] {
		t.Fatal("all come back at once")
	}
}

// A connection that comes up and takes nothing is no success: the pause goes on growing.
func TestAConnectionThatTakesNothingIsBackedOffFrom(t *testing.T) {
	r := newRig(config())
	r.offer(1)
	r.apply(Connected{1})
	r.said = nil
	r.pass(5*time.Second - 1)
	r.want(t)
	r.pass(1)
	r.want(t, "close 1")
	r.apply(Disconnected{1, 0})
	r.pass(time.Second)
	r.want(t, "open 2")
	r.apply(Connected{2})
	r.pass(5 * time.Second)
	r.apply(Disconnected{2, 0})
	r.want(t, "write 1 of 1 from 0", "close 2")
	if at, _ := r.m.NextDeadline(); at-r.now < 200*ms {
		t.Fatalf("the second pause is %v", at-r.now)
	}
	r.pass(400 * ms)
	r.want(t, "open 3")
}

func TestLinesTakenKeepAConnection(t *testing.T) {
	r := newRig(config())
	r.offer(1)
	r.apply(Connected{1})
	r.said = nil
	for i := range 10 {
		r.pass(4 * time.Second)
		r.apply(Progress{1, i})
	}
	r.want(t)
}

func TestGoesOnBehindTheLinesThatAreOut(t *testing.T) {
	r := newRig(config())
	r.offer(1)
	r.apply(Connected{1}, Disconnected{1, 17})
	r.pass(time.Second)
	r.apply(Connected{2})
	r.want(t, "open 1", "write 1 of 1 from 0", "open 2", "write 1 of 1 from 17")
}

// Guards against lines counted in an interval that is not the one they were of.
func TestWhatIsOutInPartIsNotFolded(t *testing.T) {
	cfg := config()
	cfg.MaxWaiting = 3
	r := newRig(cfg)
	r.offer(1)
	r.apply(Connected{1}, Disconnected{1, 5})
	r.offer(6)
	r.pass(time.Second)
	r.apply(Connected{2}, WriteCompleted{2})
	r.pass(time.Second)
	r.want(t, "open 1", "write 1 of 1 from 0", "open 2", "write 7 of 1 from 0", "write 1 of 1 from 5")
}

// What is going on now goes ahead of what has waited, which goes at a pace that grows.
func TestTheMomentGoesAheadOfTheBacklog(t *testing.T) {
	cfg := config()
	cfg.Budget, cfg.ReplayRate = 1<<20, 2<<10
	r := newRig(cfg)
	r.offer(6)
	r.apply(Connected{1})
	r.want(t, "open 1", "write 6 of 1 from 0")
	r.apply(WriteCompleted{1})
	r.want(t) // some 800 bytes at 256 a second
	r.pass(4 * time.Second)
	r.want(t, "write 1 of 1 from 0")
	r.offer(1) // meanwhile
	r.apply(WriteCompleted{1})
	r.want(t, "write 7 of 1 from 0")
	r.apply(WriteCompleted{1})
	var gaps []time.Duration
	for range 4 {
		at, ok := r.m.NextDeadline()
		if !ok {
			t.Fatal("nothing is due")
		}
		gaps = append(gaps, at-r.now)
		r.pass(at - r.now)
		r.apply(WriteCompleted{1})
	}
	r.want(t, "write 2 of 1 from 0", "write 3 of 1 from 0", "write 4 of 1 from 0", "write 5 of 1 from 0")
	if gaps[3] >= gaps[0] {
		t.Fatalf("the pace does not grow: %v", gaps)
	}
}

// An hour's outage is told in fewer, coarser intervals of about one length, and nothing of it is lost.
func TestALongOutageIsFolded(t *testing.T) {
	cfg := config()
	r := newRig(cfg)
	for range 360 {
		r.offer(1)
		if held := r.m.Stats().Held; held > cfg.Budget {
			t.Fatalf("holds %d bytes", held)
		}
	}
	if st := r.m.Stats(); st.WaitingIntervals != 360 || st.Lost != 0 || st.LostSamples != 0 {
		t.Fatalf("%+v", st)
	}
	least, most, samples := uint64(1000), uint64(0), 0.0
	for i, it := range r.m.queue {
		samples += it.interval.SampleCount()
		if i < len(r.m.queue)-2 {
			least, most = min(least, it.interval.FoldedCount), max(most, it.interval.FoldedCount)
		}
	}
	if most > 4*least || samples != 360 {
		t.Fatalf("intervals of %d to %d in one, %v samples", least, most, samples)
	}
}

// What even folding can't hold is counted, to the last value.
func TestWhatIsLostIsCounted(t *testing.T) {
	cfg := config()
	cfg.Budget = 4 << 10 // room for two intervals or so
	r := newRig(cfg)
	r.offer(2000) // five hours and more: longer than may be folded into one
	st := r.m.Stats()
	if st.Held > cfg.Budget || st.Lost == 0 || st.Lost+st.WaitingIntervals != 2000 {
		t.Fatalf("%+v", st)
	}
	held := 0.0
	for _, it := range r.m.queue {
		held += it.interval.SampleCount()
	}
	if st.LostSamples+held != 2000 {
		t.Fatalf("%v samples lost, %v held", st.LostSamples, held)
	}
}

// collectd takes nothing that is older than the last: one interval waits, which has all.
func TestOneThatMayWait(t *testing.T) {
	cfg := config()
	cfg.MaxWaiting = 1
	r := newRig(cfg)
	r.offer(5)
	r.apply(Disconnected{1, 0})
	r.offer(5)
	r.pass(time.Second)
	r.apply(Connected{2})
	r.want(t, "open 1", "open 2", "write 10 of 10 from 0")
	r.offer(2) // while that is under way
	r.apply(WriteCompleted{2})
	r.want(t, "write 12 of 2 from 0")
	if st := r.m.Stats(); st.Lost != 0 {
		t.Fatalf("%+v", st)
	}
}

func TestANewAddressGetsWhatWaits(t *testing.T) {
	r := newRig(config())
	r.offer(1)
	r.apply(Connected{1}, Disconnected{1, 5})
	r.offer(1)
	r.said = nil
	r.apply(AddressChanged{}) // it does not wait for the pause
	r.want(t, "open 2")
	r.apply(Connected{2})
	r.want(t, "write 2 of 1 from 0")
	r.apply(AddressChanged{})
	r.want(t, "close 2")
	r.apply(Disconnected{2, 9})
	r.want(t, "open 3")
	r.apply(Connected{3}, WriteCompleted{3})
	r.pass(time.Second)
	r.want(t, "write 1 of 1 from 0", "write 2 of 1 from 0") // whole, as the new collector has none of it
	if st := r.m.Stats(); st.ConnectionFailures != 1 {
		t.Fatalf("a move counts as a break: %+v", st)
	}
}

func TestTheEnd(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(*rig)
		want []string
		lost uint64
	}{
		{"nothing waits", func(r *rig) { r.apply(StopRequested{300 * ms}) }, []string{"done"}, 0},
		{"all leaves, without a pace", func(r *rig) {
			r.offer(3)
			r.apply(Connected{1}, StopRequested{300 * ms}, WriteCompleted{1}, WriteCompleted{1}, WriteCompleted{1})
		}, []string{"open 1", "write 3 of 1 from 0", "write 1 of 1 from 0", "write 2 of 1 from 0", "close 1", "done"}, 0},
		{"a last try is made at once", func(r *rig) {
			r.offer(1)
			r.apply(Disconnected{1, 0}, StopRequested{300 * ms}, Connected{2}, WriteCompleted{2})
		}, []string{"open 1", "open 2", "write 1 of 1 from 0", "close 2", "done"}, 0},
		{"what is left is counted", func(r *rig) {
			r.offer(3)
			r.apply(Connected{1}, StopRequested{300 * ms}, WriteCompleted{1})
			r.pass(300 * ms)
		}, []string{"open 1", "write 3 of 1 from 0", "write 1 of 1 from 0", "close 1", "done"}, 2},
		{"nothing is taken after it", func(r *rig) {
			r.apply(StopRequested{300 * ms})
			r.offer(1)
		}, []string{"done"}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(config())
			c.do(r)
			r.want(t, c.want...)
			if st := r.m.Stats(); st.Lost != c.lost || st.WaitingIntervals != 0 {
				t.Fatalf("%+v", st)
			}
		})
	}
}

// Whatever a collector does: each interval is delivered once, lost or held, and never two of these; no more is held
// than may be; lines that are out are not written again to the same collector; and once it serves, all arrives.
func TestWhateverACollectorDoes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := config()
		cfg.Budget = rapid.SampledFrom([]int{3 << 10, 16 << 10, 1 << 20}).Draw(t, "budget")
		cfg.MaxWaiting = rapid.SampledFrom([]int{0, 0, 1, 3}).Draw(t, "most")
		r := newRig(cfg)
		var under *Write
		conn, open := 0, false
		out := map[*metrics.Interval]int{} // lines that are out
		got := uint64(0)                   // intervals written
		hear := func(actions []Action) {
			for _, a := range actions {
				switch a := a.(type) {
				case Connect:
					if conn != 0 {
						t.Fatal("two connections at once")
					}
					conn, open = a.Conn, false
				case Write:
					if under != nil || !open || a.Conn != conn {
						t.Fatalf("writes out of turn: %+v", a)
					}
					if a.FirstRecord < out[a.Interval] {
						t.Fatalf("line %d again, %d are out", a.FirstRecord, out[a.Interval])
					}
					under = &a
				}
			}
		}
		step := func(ev Event) { hear(r.m.Apply(r.now, ev)) }
		wrote := func() {
			got += under.Interval.FoldedCount
			delete(out, under.Interval)
			under = nil
			step(WriteCompleted{conn})
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			r.now += rapid.SampledFrom([]time.Duration{0, ms, 100 * ms, 10 * time.Second}).Draw(t, "pause")
			hear(r.m.Tick(r.now))
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1:
				step(Offer{r.src.next()})
			case 2:
				if conn != 0 && !open && r.m.state == connecting {
					open = true
					step(Connected{conn})
				}
			case 3:
				if under != nil && r.m.state == connected {
					wrote()
				}
			case 4:
				if conn != 0 {
					lines := 0
					if under != nil {
						lines = under.FirstRecord + rapid.IntRange(0, 5).Draw(t, "lines")
						out[under.Interval] = lines
					}
					old := conn
					conn, under = 0, nil
					step(Disconnected{old, lines})
				}
			case 5:
				step(Disconnected{Conn: 999, Records: 3}) // of no connection that there is
			}
			st := r.m.Stats()
			if got != st.DeliveredIntervals || st.DeliveredIntervals+st.Lost+st.WaitingIntervals != r.src.made {
				t.Fatalf("%d made, %d taken: %+v", r.src.made, got, st)
			}
			if st.Held > cfg.Budget {
				t.Fatalf("%d bytes held, %d may be", st.Held, cfg.Budget)
			}
		}
		for range 10_000 { // the collector serves
			switch {
			case conn != 0 && !open && r.m.state == connecting:
				open = true
				step(Connected{conn})
				continue
			case conn != 0 && r.m.state == closing:
				old := conn
				conn, under = 0, nil
				step(Disconnected{old, 0})
				continue
			case under != nil:
				wrote()
				continue
			}
			at, ok := r.m.NextDeadline()
			if !ok {
				break
			}
			r.now = max(r.now, at)
			hear(r.m.Tick(r.now))
		}
		if st := r.m.Stats(); st.WaitingIntervals != 0 || st.DeliveredIntervals+st.Lost != r.src.made {
			t.Fatalf("still waiting: %+v", st)
		}
	})
}
