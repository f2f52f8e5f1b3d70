// Package names keeps the set of names that figures are kept under within bounds, however many names come. A Table
// gives each name that it admits a slot, and all others the slot Other, so that totals stay exact. Names that were
// not admitted are watched by a Space-Saving sketch (Metwally, Agrawal, El Abbadi 2005); the heaviest of them
// take the places of names that fell idle or are far lighter. The package does no I/O and reads no clock.
package cardinality

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Other is the slot of all names that are not admitted.
const Other = 0

// Config is what a table keeps to.
type Config struct {
	Most    int           // names admitted at a time
	Resting int           // names that have left and whose slots are kept, should they come back
	Idle    time.Duration // a name that did not come for so long leaves
	Rest    time.Duration // a slot is kept at least so long after its name has left
}

// displaceFactor is how much heavier than an admitted name one must be to take its place: names about as heavy as
// each other would else take turns, and each turn begins a series anew.
const displaceFactor = 2

// candidatesPerName is the number of names watched over that of names admitted. The error of a count is at most the sum
// of all counts over the number watched.
const candidatesPerName = 2

// slot is the place of one name.
type slot struct {
	name         string
	state        slotState
	recentCount  uint64        // since the last cut
	decayedCount uint64        // of recent intervals, fading by half with each
	since        time.Duration // when it last came, or when it left
}

type slotState int

const (
	slotFree slotState = iota
	slotActive
	slotRetired
)

// Table gives names their slots. It is not safe for concurrent use.
type Table struct {
	cfg           Config
	slots         []slot // from 1
	slotByName    map[string]int
	activeCount   int
	candidates    *SpaceSaving
	onReuse       func(slot int) // told of a slot before it gets another name
	admittedTotal uint64
	retiredTotal  uint64
	otherTotal    uint64
}

// New returns an empty table. clear is called with each slot that passes from one name to another, so that what is
// counted under it begins at zero.
func New(cfg Config, clear func(slot int)) *Table {
	return &Table{cfg: cfg, slots: make([]slot, 1+cfg.Most+cfg.Resting), slotByName: make(map[string]int, cfg.Most+cfg.Resting),
		candidates: NewSpaceSaving(max(1, candidatesPerName*cfg.Most)), onReuse: clear}
}

// Slots is the number of slots, Other included.
func (t *Table) Slots() int { return len(t.slots) }

// Slot is where a name that came now is counted. It allocates only when it admits a name.
func (t *Table) Slot(name string, now time.Duration) int {
	if i, ok := t.slotByName[name]; ok {
		s := &t.slots[i]
		if s.state == slotRetired && t.activeCount < t.cfg.Most {
			s.state = slotActive
			t.activeCount++
			t.admittedTotal++
		}
		if s.state == slotActive {
			s.recentCount++
			s.since = now
			return i
		}
	} else if t.activeCount < t.cfg.Most && Admissible(name) {
		if i := t.admit(name, now); i != Other {
			t.slots[i].recentCount++
			return i
		}
	}
	t.otherTotal++
	if Admissible(name) {
		t.candidates.Add(name)
	}
	return Other
}

// availableSlot is a slot for a new name, or Other if each is taken or was left too lately.
func (t *Table) availableSlot(now time.Duration) (at int) {
	for i := 1; i < len(t.slots); i++ {
		s := &t.slots[i]
		if s.state == slotFree {
			at = i
			break
		}
		if s.state == slotRetired && now-s.since >= t.cfg.Rest && (at == Other || s.since < t.slots[at].since) {
			at = i
		}
	}
	return at
}

// admit gives a new name a slot, or Other if there is none.
func (t *Table) admit(name string, now time.Duration) int {
	at := t.availableSlot(now)
	if at == Other {
		return Other
	}
	if s := &t.slots[at]; s.state == slotRetired {
		delete(t.slotByName, s.name)
		t.onReuse(at)
	}
	name = strings.Clone(name) // guards against a name that holds on to the whole text it was cut from
	t.slots[at] = slot{name: name, state: slotActive, since: now}
	t.slotByName[name] = at
	t.activeCount++
	t.admittedTotal++
	return at
}

// Cut ends an interval: names that are idle leave, and heavy ones that were not admitted take free places and
// those of far lighter ones. What is counted under a slot must have been read before.
func (t *Table) Cut(now time.Duration) {
	var lightest []int
	for i := 1; i < len(t.slots); i++ {
		s := &t.slots[i]
		if s.state != slotActive {
			continue
		}
		s.decayedCount = s.decayedCount/2 + s.recentCount
		s.recentCount = 0
		if now-s.since >= t.cfg.Idle {
			t.retire(i, now)
			continue
		}
		lightest = append(lightest, i)
	}
	slices.SortFunc(lightest, func(a, b int) int {
		return cmp.Or(cmp.Compare(t.slots[a].decayedCount, t.slots[b].decayedCount), cmp.Compare(a, b))
	})
	for _, heavy := range t.candidates.HeavyHitters() {
		i, known := t.slotByName[heavy.Name]
		if known && t.slots[i].state == slotActive || !known && t.availableSlot(now) == Other {
			continue
		}
		if t.activeCount >= t.cfg.Most {
			if len(lightest) == 0 || heavy.MinCount <= displaceFactor*t.slots[lightest[0]].decayedCount {
				break
			}
			t.retire(lightest[0], now)
			lightest = lightest[1:]
		}
		if known {
			t.slots[i].state, t.slots[i].since = slotActive, now
			t.activeCount++
			t.admittedTotal++
		} else {
			i = t.admit(heavy.Name, now)
		}
		t.slots[i].decayedCount = heavy.MinCount
		t.candidates.Remove(heavy.Name)
	}
	t.candidates.Decay()
}

func (t *Table) retire(i int, now time.Duration) {
	t.slots[i].state, t.slots[i].since = slotRetired, now
	t.activeCount--
	t.retiredTotal++
}

// EachName calls f with the slot and name of each admitted name, in the order of slots.
func (t *Table) EachName(f func(slot int, name string)) {
	for i := 1; i < len(t.slots); i++ {
		if t.slots[i].state == slotActive {
			f(i, t.slots[i].name)
		}
	}
}

// Counts are how many names are admitted, have joined and have left, and how often a name went to Other.
func (t *Table) Counts() (active int, joined, left, other uint64) {
	return t.activeCount, t.admittedTotal, t.retiredTotal, t.otherTotal
}
