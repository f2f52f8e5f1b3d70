package cardinality

import (
	"cmp"
	"hash/maphash"
	"slices"
)

// maxNameBytes is the longest name, in bytes, that can have a slot of its own.
const maxNameBytes = 64

// SpaceSaving is a Space-Saving sketch: it counts a fixed number of names, and a name that is not among them takes
// the place of the one counted least, along with its count. Each name that came more often than the sum of all
// counts over the number of places is sure to be in it. Add allocates nothing.
type SpaceSaving struct {
	seed        maphash.Seed
	entries     []entry
	heap        []int32 // of entries, the least count first
	indexByHash map[uint64]int32
}

type entry struct {
	hash       uint64
	count      uint64
	overcount  uint64 // of the count at most, taken over from names before
	heapIndex  int32  // in the heap
	nameLength uint8
	name       [maxNameBytes]byte
}

// HeavyHitter is a name with a bound on how often it came.
type HeavyHitter struct {
	Name     string
	MinCount uint64
	MaxCount uint64
}

// NewSpaceSaving returns a sketch with so many places.
func NewSpaceSaving(places int) *SpaceSaving {
	return &SpaceSaving{seed: maphash.MakeSeed(), entries: make([]entry, 0, places), heap: make([]int32, 0, places),
		indexByHash: make(map[uint64]int32, 2*places)}
}

// Add counts a name of at most 64 bytes; longer ones are passed over.
func (s *SpaceSaving) Add(name string) {
	if len(name) > maxNameBytes {
		return
	}
	h := maphash.String(s.seed, name)
	if i, ok := s.indexByHash[h]; ok {
		// Two names with one hash would be counted as one; at 64 bits and some hundred places that does not come up.
		s.entries[i].count++
		s.siftDown(int(s.entries[i].heapIndex))
		return
	}
	if len(s.entries) < cap(s.entries) {
		i := int32(len(s.entries))
		s.entries = append(s.entries, entry{hash: h, count: 1, heapIndex: i, nameLength: uint8(len(name))})
		copy(s.entries[i].name[:], name)
		s.heap = append(s.heap, i)
		s.indexByHash[h] = i
		s.siftUp(int(i))
		return
	}
	i := s.heap[0]
	e := &s.entries[i]
	delete(s.indexByHash, e.hash)
	e.hash, e.overcount, e.nameLength = h, e.count, uint8(len(name))
	e.count++
	copy(e.name[:], name)
	s.indexByHash[h] = i
	s.siftDown(0)
}

// Remove forgets a name.
func (s *SpaceSaving) Remove(name string) {
	i, ok := s.indexByHash[maphash.String(s.seed, name)]
	if !ok {
		return
	}
	last := int32(len(s.entries) - 1)
	delete(s.indexByHash, s.entries[i].hash)
	if i != last {
		s.entries[i] = s.entries[last]
		s.indexByHash[s.entries[i].hash] = i
	}
	s.entries = s.entries[:last]
	s.rebuildHeap()
}

// Decay halves all counts, so that what is heavy now outweighs what was heavy long ago.
func (s *SpaceSaving) Decay() {
	kept := s.entries[:0]
	for _, e := range s.entries {
		e.count, e.overcount = e.count/2, e.overcount/2
		if e.count == 0 {
			delete(s.indexByHash, e.hash)
			continue
		}
		kept = append(kept, e)
	}
	s.entries = kept
	s.rebuildHeap()
}

// HeavyHitters are the names that came, the surest first; equal ones by name.
func (s *SpaceSaving) HeavyHitters() []HeavyHitter {
	all := make([]HeavyHitter, 0, len(s.entries))
	for i := range s.entries {
		e := &s.entries[i]
		all = append(all, HeavyHitter{Name: string(e.name[:e.nameLength]), MinCount: e.count - e.overcount, MaxCount: e.count})
	}
	slices.SortFunc(all, func(a, b HeavyHitter) int {
		return cmp.Or(cmp.Compare(b.MinCount, a.MinCount), cmp.Compare(b.MaxCount, a.MaxCount), cmp.Compare(a.Name, b.Name))
	})
	return all
}

// rebuildHeap makes the heap anew.
func (s *SpaceSaving) rebuildHeap() {
	s.heap = s.heap[:0]
	for i := range s.entries {
		s.heap = append(s.heap, int32(i))
		s.entries[i].heapIndex = int32(i)
		s.indexByHash[s.entries[i].hash] = int32(i)
	}
	for i := len(s.heap)/2 - 1; i >= 0; i-- {
		s.siftDown(i)
	}
}

func (s *SpaceSaving) less(a, b int) bool {
	return s.entries[s.heap[a]].count < s.entries[s.heap[b]].count
}

func (s *SpaceSaving) swap(a, b int) {
	s.heap[a], s.heap[b] = s.heap[b], s.heap[a]
	s.entries[s.heap[a]].heapIndex, s.entries[s.heap[b]].heapIndex = int32(a), int32(b)
}

func (s *SpaceSaving) siftUp(i int) {
	for i > 0 && s.less(i, (i-1)/2) {
		s.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
}

func (s *SpaceSaving) siftDown(i int) {
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
