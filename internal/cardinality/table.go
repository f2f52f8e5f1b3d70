// Package cardinality limits the number of names that have series of their own, for any number of distinct names. A
// Table assigns a slot to each name that it admits, and the slot Other to all other names, so that totals stay exact. A
// Space-Saving sketch (Metwally, Agrawal, El Abbadi 2005) counts the names that are not admitted; its heavy hitters
// replace names that are idle or occur far less often. The package does no I/O and reads no clock.
package cardinality

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Other is the slot of all names that are not admitted.
const Other = 0

// Config configures a table.
type Config struct {
	MaxNames         int           // maximum number of active names
	RetiredSlots     int           // additional slots, which retain retired names
	IdleTimeout      time.Duration // a name that does not occur for this long retires
	RetiredRetention time.Duration // minimum time that a retired name retains its slot
}

const (
	// displaceFactor is the factor by which a candidate must occur more often than an admitted name to replace it.
	// Without it, names that occur about equally often would replace each other, and each replacement starts a new
	// series.
	displaceFactor = 2
	// candidatesPerName is the number of counted candidates per name that may be admitted. The error of a count is
	// at most the sum of all counts divided by the number of candidates.
	candidatesPerName = 2
)

// slot holds the state of one name.
type slot struct {
	name         string
	state        slotState
	recentCount  uint64 // in the current interval
	decayedCount uint64 // over previous intervals, halved at the end of each

	lastSeen  time.Duration // set while active
	retiredAt time.Duration // set while retired
}

type slotState int

const (
	slotFree slotState = iota
	slotActive
	slotRetired
)

// Counts holds the counts of a table.
type Counts struct {
	Active   int    // names that are currently admitted
	Admitted uint64 // admissions of names since the start
	Retired  uint64 // retirements of names since the start
	Other    uint64 // occurrences of names counted under Other
}

// Table assigns slots to names. It is not safe for concurrent use. Times are of a monotonic clock.
type Table struct {
	cfg        Config
	slots      []slot // index 0 is Other, which has no name
	slotByName map[string]int
	candidates *SpaceSaving
	onReuse    func(slot int)
	counts     Counts
}

// New returns an empty table. It calls onReuse with each slot that is reassigned to another name, so that the caller
// resets the counts of the slot to zero.
func New(cfg Config, onReuse func(slot int)) *Table {
	return &Table{
		cfg:        cfg,
		slots:      make([]slot, 1+cfg.MaxNames+cfg.RetiredSlots),
		slotByName: make(map[string]int, cfg.MaxNames+cfg.RetiredSlots),
		candidates: NewSpaceSaving(max(1, candidatesPerName*cfg.MaxNames)),
		onReuse:    onReuse,
	}
}

// Slots returns the number of slots, including Other.
func (t *Table) Slots() int { return len(t.slots) }

// Counts returns the current counts.
func (t *Table) Counts() Counts { return t.counts }

// EachName calls f with the slot and name of each admitted name, in the order of slots.
func (t *Table) EachName(f func(slot int, name string)) {
	for i := 1; i < len(t.slots); i++ {
		if t.slots[i].state == slotActive {
			f(i, t.slots[i].name)
		}
	}
}

// Slot records an occurrence of a name and returns the slot that it is counted under. It allocates memory only when it
// admits a name.
func (t *Table) Slot(name string, now time.Duration) int {
	if i := t.activeSlot(name, now); i != Other {
		t.slots[i].recentCount++
		t.slots[i].lastSeen = now
		return i
	}
	t.counts.Other++
	if Admissible(name) {
		t.candidates.Add(name)
	}
	return Other
}

// activeSlot returns the slot of a name, admitting it if there is capacity, or Other if it is not admitted.
func (t *Table) activeSlot(name string, now time.Duration) int {
	full := t.counts.Active >= t.cfg.MaxNames
	i, known := t.slotByName[name]
	switch {
	case known && t.slots[i].state == slotActive:
		return i
	case full:
		return Other
	case known:
		t.readmit(i, now)
		return i
	case Admissible(name):
		return t.admit(name, now)
	}
	return Other
}

// availableSlot returns a slot for a new name: a free one, or else that of the name that retired first. It returns
// Other if all slots have active names or retired ones within the retention time.
func (t *Table) availableSlot(now time.Duration) int {
	best := Other
	for i := 1; i < len(t.slots); i++ {
		s := &t.slots[i]
		if s.state == slotFree {
			return i
		}
		expired := s.state == slotRetired && now-s.retiredAt >= t.cfg.RetiredRetention
		if expired && (best == Other || s.retiredAt < t.slots[best].retiredAt) {
			best = i
		}
	}
	return best
}

// admit assigns a slot to a new name and returns it, or returns Other if none is available.
func (t *Table) admit(name string, now time.Duration) int {
	i := t.availableSlot(now)
	if i == Other {
		return Other
	}
	if s := &t.slots[i]; s.state == slotRetired {
		delete(t.slotByName, s.name)
		t.onReuse(i)
	}
	name = strings.Clone(name) // so that the table does not retain the buffer that name is part of
	t.slots[i] = slot{name: name, state: slotActive, lastSeen: now}
	t.slotByName[name] = i
	t.counts.Active++
	t.counts.Admitted++
	return i
}

// readmit makes a retired name active again in its slot.
func (t *Table) readmit(i int, now time.Duration) {
	t.slots[i].state, t.slots[i].lastSeen = slotActive, now
	t.counts.Active++
	t.counts.Admitted++
}

func (t *Table) retire(i int, now time.Duration) {
	t.slots[i].state, t.slots[i].retiredAt = slotRetired, now
	t.counts.Active--
	t.counts.Retired++
}

// EndInterval ends an interval: idle names retire, and heavy hitters that were not admitted get free slots and those of
// names that occur far less often. The caller must have read the counts of all slots before.
func (t *Table) EndInterval(now time.Duration) {
	leastFrequent := t.retireIdle(now)
	for _, candidate := range t.candidates.HeavyHitters() {
		i, known := t.slotByName[candidate.Name]
		if known && t.slots[i].state == slotActive || !known && t.availableSlot(now) == Other {
			continue
		}
		if t.counts.Active >= t.cfg.MaxNames {
			if len(leastFrequent) == 0 || candidate.MinCount <= displaceFactor*t.slots[leastFrequent[0]].decayedCount {
				break
			}
			t.retire(leastFrequent[0], now)
			leastFrequent = leastFrequent[1:]
		}
		if known {
			t.readmit(i, now)
		} else {
			i = t.admit(candidate.Name, now)
		}
		t.slots[i].decayedCount = candidate.MinCount
		t.candidates.Remove(candidate.Name)
	}
	t.candidates.Decay()
}

// retireIdle retires idle names and returns the slots of the remaining ones in ascending order of their counts.
func (t *Table) retireIdle(now time.Duration) []int {
	var remaining []int
	for i := 1; i < len(t.slots); i++ {
		s := &t.slots[i]
		if s.state != slotActive {
			continue
		}
		s.decayedCount = s.decayedCount/2 + s.recentCount
		s.recentCount = 0
		if now-s.lastSeen >= t.cfg.IdleTimeout {
			t.retire(i, now)
			continue
		}
		remaining = append(remaining, i)
	}
	slices.SortFunc(remaining, func(a, b int) int {
		return cmp.Or(cmp.Compare(t.slots[a].decayedCount, t.slots[b].decayedCount), cmp.Compare(a, b))
	})
	return remaining
}
