package cardinality

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func small() Config {
	return Config{Most: 4, Resting: 8, Idle: time.Minute, Rest: 2 * time.Hour}
}

// ledger counts under slots as figures do, and by name as a plain map does.
type ledger struct {
	table  *Table
	counts []uint64
	gone   uint64 // under slots that passed to other names
	total  uint64
}

func newLedger(cfg Config) *ledger {
	l := &ledger{}
	l.table = New(cfg, func(i int) { l.gone, l.counts[i] = l.gone+l.counts[i], 0 })
	l.counts = make([]uint64, l.table.Slots())
	return l
}

func (l *ledger) add(name string, now time.Duration) int {
	i := l.table.Slot(name, now)
	l.counts[i]++
	l.total++
	return i
}

func (l *ledger) active() map[string]uint64 {
	all := map[string]uint64{}
	l.table.EachName(func(i int, name string) { all[name] = l.counts[i] })
	return all
}

// Whatever names come in whatever order, nothing is counted twice or lost, the bound holds, and no slot has two names.
func TestTotalsStayExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{Most: rapid.IntRange(1, 6).Draw(t, "most"), Resting: rapid.IntRange(0, 6).Draw(t, "resting"),
			Idle: time.Minute, Rest: time.Hour}
		l := newLedger(cfg)
		last := map[string]uint64{} // what was last told of a name, and when
		told := map[string]time.Duration{}
		truth := map[string]uint64{}
		now := time.Duration(0)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			if rapid.IntRange(0, 9).Draw(t, "cut") > 0 {
				name := fmt.Sprint(rapid.IntRange(0, 20).Draw(t, "name"))
				truth[name]++
				l.add(name, now)
				continue
			}
			now += rapid.SampledFrom([]time.Duration{time.Second, 2 * time.Minute, 30 * time.Minute, 3 * time.Hour}).Draw(t, "gap")
			seen := l.active()
			for name, n := range seen {
				if n < last[name] && now-told[name] < cfg.Rest {
					t.Fatalf("%s fell from %d to %d after %v", name, last[name], n, now-told[name])
				}
				if n > truth[name] {
					t.Fatalf("%s came %d times, told %d", name, truth[name], n)
				}
				last[name], told[name] = n, now
			}
			if len(seen) > cfg.Most {
				t.Fatalf("%d names, %d at most", len(seen), cfg.Most)
			}
			l.table.Cut(now)
		}
		sum := l.gone
		for _, n := range l.counts {
			sum += n
		}
		if sum != l.total {
			t.Fatalf("counted %d of %d", sum, l.total)
		}
	})
}

func TestAHeavyNameTakesTheLightestPlace(t *testing.T) {
	l := newLedger(small())
	for i := range 4 {
		for range 10 * (i + 1) {
			l.add(fmt.Sprint("early", i), 0)
		}
	}
	for range 100 {
		if l.add("late", 0) != Other {
			t.Fatal("admitted though the table is full")
		}
	}
	l.table.Cut(time.Second)
	got := l.active()
	if _, there := got["late"]; !there {
		t.Fatalf("the heavy name is not in: %v", got)
	}
	if _, there := got["early0"]; there {
		t.Fatalf("the lightest name is still in: %v", got)
	}
}

// Guards against names of about one weight that push each other out at every interval.
func TestNamesAsHeavyAsEachOtherStay(t *testing.T) {
	l := newLedger(small())
	for cut := range time.Duration(20) {
		for i := range 8 {
			for range 10 {
				l.add(fmt.Sprint(i), cut*time.Second)
			}
		}
		l.table.Cut(cut * time.Second)
	}
	if _, joined, left, _ := l.table.Counts(); joined != 4 || left != 0 {
		t.Fatalf("%d joined, %d left", joined, left)
	}
}

func TestAnIdleNameLeavesAndGoesOnWhereItWas(t *testing.T) {
	l := newLedger(small())
	l.add("a", 0)
	l.add("a", 0)
	l.table.Cut(2 * time.Minute)
	if got := l.active(); len(got) != 0 {
		t.Fatalf("still there: %v", got)
	}
	l.add("a", 3*time.Minute)
	if got := l.active()["a"]; got != 3 {
		t.Fatalf("came back with %d, want 3", got)
	}
}

// The guarantee of the sketch: a name that came more often than the sum over the places is in it, and its bounds hold.
func TestSketchBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		places := rapid.IntRange(1, 12).Draw(t, "places")
		s, true_ := NewSpaceSaving(places), map[string]uint64{}
		names := rapid.SliceOfN(rapid.IntRange(0, 40), 1, 500).Draw(t, "names")
		for _, n := range names {
			name := fmt.Sprint(n * n / 30) // some come far more often than others
			s.Add(name)
			true_[name]++
		}
		in := map[string]bool{}
		for _, h := range s.HeavyHitters() {
			in[h.Name] = true
			if n := true_[h.Name]; n < h.MinCount || n > h.MaxCount {
				t.Fatalf("%s came %d times, bounds %d to %d", h.Name, n, h.MinCount, h.MaxCount)
			}
		}
		for name, n := range true_ {
			if n > uint64(len(names)/places) && !in[name] {
				t.Fatalf("%s came %d times of %d and is not in", name, n, len(names))
			}
		}
	})
}

func TestEscapeIsOneToOne(t *testing.T) {
	for _, name := range []string{"", "other", "_", "__", "a.b", "a_2eb", "a/b;c=d e\n", "føroyar", "\xff\x00", "lookup"} {
		got, err := Unescape(Escape(name))
		if err != nil || got != name {
			t.Errorf("%q became %q and came back %q, %v", name, Escape(name), got, err)
		}
	}
	for _, text := range []string{"a.b", "_2", "_zz", "_61", "a_", "other "} { // _61 is another spelling of a
		if got, err := Unescape(text); err == nil {
			t.Errorf("%q was read as %q", text, got)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		name := string(rapid.SliceOf(rapid.Byte()).Draw(t, "name"))
		if got, err := Unescape(Escape(name)); err != nil || got != name {
			t.Fatalf("%q came back %q, %v", name, got, err)
		}
		if Escape(name) == OtherName {
			t.Fatalf("%q passes for all the others", name)
		}
	})
}

func TestCountingAllocatesNothing(t *testing.T) {
	table := New(small(), func(int) {})
	names := make([]string, 1000)
	for i := range names {
		names[i] = fmt.Sprint("tenant-", i)
		table.Slot(names[i], 0)
	}
	i := 0
	if n := testing.AllocsPerRun(10_000, func() { table.Slot(names[i%len(names)], 0); i++ }); n != 0 {
		t.Fatalf("%v allocations", n)
	}
}
