package cardinality

import (
	"cmp"
	"hash/maphash"
	"slices"
)

// mostName is the longest name, in bytes, that can have a slot of its own.
const mostName = 64

// Sketch is a Space-Saving sketch: it counts a fixed number of names, and a name that is not among them takes
// the place of the one counted least, along with its count. Each name that came more often than the sum of all
// counts over the number of places is sure to be in it. Add allocates nothing.
type Sketch struct {
	seed    maphash.Seed
	entries []entry
	heap    []int32 // of entries, the least count first
	by      map[uint64]int32
}

type entry struct {
	hash   uint64
	count  uint64
	excess uint64 // of the count at most, taken over from names before
	at     int32  // in the heap
	length uint8
	text   [mostName]byte
}

// Heavy is a name with a bound on how often it came.
type Heavy struct {
	Name    string
	AtLeast uint64
	AtMost  uint64
}

// NewSketch returns a sketch with so many places.
func NewSketch(places int) *Sketch {
	return &Sketch{seed: maphash.MakeSeed(), entries: make([]entry, 0, places), heap: make([]int32, 0, places),
		by: make(map[uint64]int32, 2*places)}
}

// Add counts a name of at most 64 bytes; longer ones are passed over.
func (s *Sketch) Add(name string) {
	if len(name) > mostName {
		return
	}
	h := maphash.String(s.seed, name)
	if i, ok := s.by[h]; ok {
		// Two names with one hash would be counted as one; at 64 bits and some hundred places that does not come up.
		s.entries[i].count++
		s.down(int(s.entries[i].at))
		return
	}
	if len(s.entries) < cap(s.entries) {
		i := int32(len(s.entries))
		s.entries = append(s.entries, entry{hash: h, count: 1, at: i, length: uint8(len(name))})
		copy(s.entries[i].text[:], name)
		s.heap = append(s.heap, i)
		s.by[h] = i
		s.up(int(i))
		return
	}
	i := s.heap[0]
	e := &s.entries[i]
	delete(s.by, e.hash)
	e.hash, e.excess, e.length = h, e.count, uint8(len(name))
	e.count++
	copy(e.text[:], name)
	s.by[h] = i
	s.down(0)
}

// Remove forgets a name.
func (s *Sketch) Remove(name string) {
	i, ok := s.by[maphash.String(s.seed, name)]
	if !ok {
		return
	}
	last := int32(len(s.entries) - 1)
	delete(s.by, s.entries[i].hash)
	if i != last {
		s.entries[i] = s.entries[last]
		s.by[s.entries[i].hash] = i
	}
	s.entries = s.entries[:last]
	s.build()
}

// Fade halves all counts, so that what is heavy now outweighs what was heavy long ago.
func (s *Sketch) Fade() {
	kept := s.entries[:0]
	for _, e := range s.entries {
		e.count, e.excess = e.count/2, e.excess/2
		if e.count == 0 {
			delete(s.by, e.hash)
			continue
		}
		kept = append(kept, e)
	}
	s.entries = kept
	s.build()
}

// Heaviest are the names that came, the surest first; equal ones by name.
func (s *Sketch) Heaviest() []Heavy {
	all := make([]Heavy, 0, len(s.entries))
	for i := range s.entries {
		e := &s.entries[i]
		all = append(all, Heavy{Name: string(e.text[:e.length]), AtLeast: e.count - e.excess, AtMost: e.count})
	}
	slices.SortFunc(all, func(a, b Heavy) int {
		return cmp.Or(cmp.Compare(b.AtLeast, a.AtLeast), cmp.Compare(b.AtMost, a.AtMost), cmp.Compare(a.Name, b.Name))
	})
	return all
}

// build makes the heap anew.
func (s *Sketch) build() {
	s.heap = s.heap[:0]
	for i := range s.entries {
		s.heap = append(s.heap, int32(i))
		s.entries[i].at = int32(i)
		s.by[s.entries[i].hash] = int32(i)
	}
	for i := len(s.heap)/2 - 1; i >= 0; i-- {
		s.down(i)
	}
}

func (s *Sketch) less(a, b int) bool { return s.entries[s.heap[a]].count < s.entries[s.heap[b]].count }

func (s *Sketch) swap(a, b int) {
	s.heap[a], s.heap[b] = s.heap[b], s.heap[a]
	s.entries[s.heap[a]].at, s.entries[s.heap[b]].at = int32(a), int32(b)
}

func (s *Sketch) up(i int) {
	for i > 0 && s.less(i, (i-1)/2) {
		s.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
}

func (s *Sketch) down(i int) {
	for {
		least := 2*i + 1
		if least >= len(s.heap) {
			return
		}
		if least+1 < len(s.heap) && s.less(least+1, least) {
			least++
		}
		if !s.less(least, i) {
			return
		}
		s.swap(i, least)
		i = least
	}
}
