package cardinality

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func smallConfig() Config {
	return Config{MaxNames: 4, RetiredSlots: 8, IdleTimeout: time.Minute, RetiredRetention: 2 * time.Hour}
}

// counter counts occurrences of names by slot, as the metrics registry does.
type counter struct {
	table  *Table
	counts []uint64
	reused uint64 // counts of slots before they were reassigned
	total  uint64
}

func newCounter(cfg Config) *counter {
	c := &counter{}
	c.table = New(cfg, func(slot int) { c.reused, c.counts[slot] = c.reused+c.counts[slot], 0 })
	c.counts = make([]uint64, c.table.Slots())
	return c
}

func (c *counter) add(name string, now time.Duration) int {
	slot := c.table.Slot(name, now)
	c.counts[slot]++
	c.total++
	return slot
}

// byName returns the counts of the admitted names.
func (c *counter) byName() map[string]uint64 {
	all := map[string]uint64{}
	c.table.EachName(func(slot int, name string) { all[name] = c.counts[slot] })
	return all
}

// sum returns the sum of the counts of all slots, including those before a reassignment.
func (c *counter) sum() uint64 {
	total := c.reused
	for _, n := range c.counts {
		total += n
	}
	return total
}

// observer checks the counts that a collector receives at the end of each interval.
type observer struct {
	cfg      Config
	truth    map[string]uint64 // occurrences of each name
	last     map[string]uint64 // last count received of each name
	lastRead map[string]time.Duration
}

func (o *observer) read(t *rapid.T, counts map[string]uint64, now time.Duration) {
	if len(counts) > o.cfg.MaxNames {
		t.Fatalf("%d names are active, limit is %d", len(counts), o.cfg.MaxNames)
	}
	for name, n := range counts {
		if n < o.last[name] && now-o.lastRead[name] < o.cfg.RetiredRetention {
			t.Fatalf("count of %s decreased from %d to %d after %v", name, o.last[name], n, now-o.lastRead[name])
		}
		if n > o.truth[name] {
			t.Fatalf("%s occurred %d times, but its count is %d", name, o.truth[name], n)
		}
		o.last[name], o.lastRead[name] = n, now
	}
}

// For any sequence of names, each occurrence is counted exactly once, the number of active names is within its limit,
// and no slot has the counts of two names.
func TestTotalsAreExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{
			MaxNames:         rapid.IntRange(1, 6).Draw(t, "max names"),
			RetiredSlots:     rapid.IntRange(0, 6).Draw(t, "retired slots"),
			IdleTimeout:      time.Minute,
			RetiredRetention: time.Hour,
		}
		c := newCounter(cfg)
		o := &observer{
			cfg: cfg, truth: map[string]uint64{}, last: map[string]uint64{}, lastRead: map[string]time.Duration{},
		}
		now := time.Duration(0)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			if rapid.IntRange(0, 9).Draw(t, "occurrence") > 0 {
				name := fmt.Sprint(rapid.IntRange(0, 20).Draw(t, "name"))
				o.truth[name]++
				c.add(name, now)
				continue
			}
			gaps := []time.Duration{time.Second, 2 * time.Minute, 30 * time.Minute, 3 * time.Hour}
			now += rapid.SampledFrom(gaps).Draw(t, "gap")
			o.read(t, c.byName(), now)
			c.table.EndInterval(now)
		}
		if sum := c.sum(); sum != c.total {
			t.Fatalf("counts sum to %d, want %d", sum, c.total)
		}
	})
}

func TestHeavyHitterReplacesTheLeastFrequentName(t *testing.T) {
	c := newCounter(smallConfig())
	for i := range 4 {
		for range 10 * (i + 1) {
			c.add(fmt.Sprint("early", i), 0)
		}
	}
	for range 100 {
		if c.add("late", 0) != Other {
			t.Fatal("name was admitted within the interval although the table is full")
		}
	}
	c.table.EndInterval(time.Second)
	got := c.byName()
	if _, admitted := got["late"]; !admitted {
		t.Fatalf("heavy hitter was not admitted: %v", got)
	}
	if _, active := got["early0"]; active {
		t.Fatalf("least frequent name is still active: %v", got)
	}
}

// Names that occur equally often must not replace each other, as each replacement starts a new series.
func TestEquallyFrequentNamesDoNotReplaceEachOther(t *testing.T) {
	c := newCounter(smallConfig())
	for second := range time.Duration(20) {
		for i := range 8 {
			for range 10 {
				c.add(fmt.Sprint(i), second*time.Second)
			}
		}
		c.table.EndInterval(second * time.Second)
	}
	if counts := c.table.Counts(); counts.Admitted != 4 || counts.Retired != 0 {
		t.Fatalf("got %+v, want 4 names admitted and none retired", counts)
	}
}

func TestIdleNameRetiresAndResumesItsCount(t *testing.T) {
	c := newCounter(smallConfig())
	c.add("a", 0)
	c.add("a", 0)
	c.table.EndInterval(2 * time.Minute)
	if got := c.byName(); len(got) != 0 {
		t.Fatalf("idle name is still active: %v", got)
	}
	c.add("a", 3*time.Minute)
	if got := c.byName()["a"]; got != 3 {
		t.Fatalf("count after the name's return is %d, want 3", got)
	}
}

func TestSlotAllocatesNothing(t *testing.T) {
	table := New(smallConfig(), func(int) {})
	names := make([]string, 1000)
	for i := range names {
		names[i] = fmt.Sprint("tenant-", i)
		table.Slot(names[i], 0)
	}
	i := 0
	if n := testing.AllocsPerRun(10_000, func() { table.Slot(names[i%len(names)], 0); i++ }); n != 0 {
		t.Fatalf("Slot allocates %v times, want 0", n)
	}
}
