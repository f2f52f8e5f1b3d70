// Package cardinality bounds the set of names that series are kept under, however many names come. A Table
// gives each name that it admits a slot, and all others the slot Other, so that totals stay exact. Names that
// are not admitted are counted by a Space-Saving sketch (Metwally, Agrawal, El Abbadi 2005); its heavy
// hitters take the places of names that were idle or come far less often. The package does no I/O and reads
// no clock.
package cardinality

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Other is the slot of all names that are not admitted.
const Other = 0

// Config bounds a table.
type Config struct {
	MaxNames         int           // names admitted at a time
	RetiredSlots     int           // slots that are kept for retired names, should they come back
	IdleTimeout      time.Duration // a name that did not come for so long retires
	RetiredRetention time.Duration // a slot is kept at least so long after its name has retired
}

const (
	// displaceFactor is how much more often than an admitted name another must come to take its place: names
	// that come about as often would else take turns, and each turn starts a series anew.
	displaceFactor = 2
	// candidatesPerName is how many names are counted as candidates for each that may be admitted. The error
	// of a count is at most the sum of all counts over the number of candidates.
	candidatesPerName = 2
)

// slot is the place of one name.
type slot struct {
	name         string
	state        slotState
	recentCount  uint64 // since the last cut
	decayedCount uint64 // of intervals, halved with each

	lastSeen  time.Duration // of an active name
	retiredAt time.Duration // of a retired one
}

type slotState int

const (
	slotFree slotState = iota
	slotActive
	slotRetired
)

// Counts are of the names of a table.
type Counts struct {
	Active   int    // names that are admitted
	Admitted uint64 // how often a name was
	Retired  uint64 // how often a name was retired
	Other    uint64 // how often a name went to Other
}

// Table assigns slots to names. It is not safe for concurrent use. Times are by a monotonic clock.
type Table struct {
	cfg        Config
	slots      []slot // from 1; Other has no name
	slotByName map[string]int
	candidates *SpaceSaving
	onReuse    func(slot int)
	counts     Counts
}

// New returns an empty table. onReuse is called with each slot that passes from one name to another, so that
// what is counted under it starts at zero.
func New(cfg Config, onReuse func(slot int)) *Table {
	return &Table{
		cfg:        cfg,
		slots:      make([]slot, 1+cfg.MaxNames+cfg.RetiredSlots),
		slotByName: make(map[string]int, cfg.MaxNames+cfg.RetiredSlots),
		candidates: NewSpaceSaving(max(1, candidatesPerName*cfg.MaxNames)),
		onReuse:    onReuse,
	}
}

// Slots is the number of slots, Other included.
func (t *Table) Slots() int { return len(t.slots) }

// Counts are the counts as they stand.
func (t *Table) Counts() Counts { return t.counts }

// EachName calls f with the slot and name of each admitted name, in the order of slots.
func (t *Table) EachName(f func(slot int, name string)) {
	for i := 1; i < len(t.slots); i++ {
		if t.slots[i].state == slotActive {
			f(i, t.slots[i].name)
		}
	}
}

// Slot is where a name that came now is counted. It allocates only when it admits a name.
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

// activeSlot is the slot of a name that is admitted or can be, else Other.
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

// availableSlot is a slot for a new name, or Other if each has an active name or one that retired too lately.
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

// admit gives a new name a slot, or Other if there is none.
func (t *Table) admit(name string, now time.Duration) int {
	i := t.availableSlot(now)
	if i == Other {
		return Other
	}
	if s := &t.slots[i]; s.state == slotRetired {
		delete(t.slotByName, s.name)
		t.onReuse(i)
	}
	name = strings.Clone(name) // so that it does not keep the text in memory that it was cut from
	t.slots[i] = slot{name: name, state: slotActive, lastSeen: now}
	t.slotByName[name] = i
	t.counts.Active++
	t.counts.Admitted++
	return i
}

// readmit gives a retired name its slot back.
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

// EndInterval ends an interval: names that are idle retire, and heavy hitters that were not admitted take free places
// and those of names that come far less often. What is counted under a slot must have been read before.
func (t *Table) EndInterval(now time.Duration) {
	rarest := t.retireIdle(now)
	for _, candidate := range t.candidates.HeavyHitters() {
		i, known := t.slotByName[candidate.Name]
		if known && t.slots[i].state == slotActive || !known && t.availableSlot(now) == Other {
			continue
		}
		if t.counts.Active >= t.cfg.MaxNames {
			if len(rarest) == 0 || candidate.MinCount <= displaceFactor*t.slots[rarest[0]].decayedCount {
				break
			}
			t.retire(rarest[0], now)
			rarest = rarest[1:]
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

// retireIdle retires idle names, and returns the slots of the others by how often they came, the rarest
// first.
func (t *Table) retireIdle(now time.Duration) []int {
	var rest []int
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
		rest = append(rest, i)
	}
	slices.SortFunc(rest, func(a, b int) int {
		return cmp.Or(cmp.Compare(t.slots[a].decayedCount, t.slots[b].decayedCount), cmp.Compare(a, b))
	})
	return rest
}
