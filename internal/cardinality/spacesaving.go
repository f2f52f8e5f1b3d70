package cardinality

import (
	"cmp"
	"hash/maphash"
	"slices"
)

// maxNameBytes is the longest name that can have a slot of its own.
const maxNameBytes = 64

// SpaceSaving is a Space-Saving sketch: it counts a fixed number of names, and a name that is not among them
// takes the place of the one counted least, along with its count. Each name that came more often than the sum
// of all counts over the number of places is sure to be in it. Add allocates nothing.
type SpaceSaving struct {
	seed        maphash.Seed
	entries     []entry
	heap        []int32 // of entries by place, the least count first
	entryByHash map[uint64]int32
}

type entry struct {
	hash       uint64
	count      uint64
	overcount  uint64 // of the count, at most what was taken over from names before
	heapIndex  int32
	nameLength uint8
	name       [maxNameBytes]byte
}

// setName sets the name and its hash.
func (e *entry) setName(name string, hash uint64) {
	e.hash = hash
	e.nameLength = uint8(len(name))
	copy(e.name[:], name)
}

// HeavyHitter is a name with bounds on how often it came.
type HeavyHitter struct {
	Name     string
	MinCount uint64
	MaxCount uint64
}

// NewSpaceSaving returns a sketch with so many places.
func NewSpaceSaving(places int) *SpaceSaving {
	return &SpaceSaving{
		seed:        maphash.MakeSeed(),
		entries:     make([]entry, 0, places),
		heap:        make([]int32, 0, places),
		entryByHash: make(map[uint64]int32, 2*places),
	}
}

// Add counts a name of at most 64 bytes; longer ones are ignored.
func (s *SpaceSaving) Add(name string) {
	if len(name) > maxNameBytes {
		return
	}
	hash := maphash.String(s.seed, name)
	// Two names of one hash would be counted as one; at 64 bits and some hundred places that does not come
	// up.
	i, known := s.entryByHash[hash]
	switch {
	case known:
		s.entries[i].count++
		s.siftDown(int(s.entries[i].heapIndex))
	case len(s.entries) < cap(s.entries):
		s.insert(name, hash)
	default:
		s.replaceLeast(name, hash)
	}
}

// insert gives a name a free place.
func (s *SpaceSaving) insert(name string, hash uint64) {
	i := int32(len(s.entries))
	s.entries = append(s.entries, entry{count: 1, heapIndex: i})
	s.entries[i].setName(name, hash)
	s.heap = append(s.heap, i)
	s.entryByHash[hash] = i
	s.siftUp(int(i))
}

// replaceLeast gives a name the place of the one counted least.
func (s *SpaceSaving) replaceLeast(name string, hash uint64) {
	i := s.heap[0]
	e := &s.entries[i]
	delete(s.entryByHash, e.hash)
	e.overcount = e.count
	e.count++
	e.setName(name, hash)
	s.entryByHash[hash] = i
	s.siftDown(0)
}

// Remove forgets a name.
func (s *SpaceSaving) Remove(name string) {
	i, ok := s.entryByHash[maphash.String(s.seed, name)]
	if !ok {
		return
	}
	last := int32(len(s.entries) - 1)
	delete(s.entryByHash, s.entries[i].hash)
	if i != last {
		s.entries[i] = s.entries[last]
		s.entryByHash[s.entries[i].hash] = i
	}
	s.entries = s.entries[:last]
	s.rebuildHeap()
}

// Decay halves all counts, so that what comes often now outweighs what came often long ago.
func (s *SpaceSaving) Decay() {
	kept := s.entries[:0]
	for i := range s.entries {
		e := s.entries[i]
		e.count, e.overcount = e.count/2, e.overcount/2
		if e.count == 0 {
			delete(s.entryByHash, e.hash)
			continue
		}
		kept = append(kept, e)
	}
	s.entries = kept
	s.rebuildHeap()
}

// HeavyHitters are the names that came, those surest to have come often first; equal ones by name.
func (s *SpaceSaving) HeavyHitters() []HeavyHitter {
	all := make([]HeavyHitter, 0, len(s.entries))
	for i := range s.entries {
		e := &s.entries[i]
		all = append(all, HeavyHitter{
			Name:     string(e.name[:e.nameLength]),
			MinCount: e.count - e.overcount,
			MaxCount: e.count,
		})
	}
	slices.SortFunc(all, func(a, b HeavyHitter) int {
		return cmp.Or(
			cmp.Compare(b.MinCount, a.MinCount),
			cmp.Compare(b.MaxCount, a.MaxCount),
			cmp.Compare(a.Name, b.Name),
		)
	})
	return all
}

func (s *SpaceSaving) rebuildHeap() {
	s.heap = s.heap[:0]
	for i := range s.entries {
		s.heap = append(s.heap, int32(i))
		s.entries[i].heapIndex = int32(i)
		s.entryByHash[s.entries[i].hash] = int32(i)
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
	for i > 0 {
		parent := (i - 1) / 2
		if !s.less(i, parent) {
			return
		}
		s.swap(i, parent)
		i = parent
	}
}

func (s *SpaceSaving) siftDown(i int) {
	for {
		child := 2*i + 1
		if child >= len(s.heap) {
			return
		}
		if child+1 < len(s.heap) && s.less(child+1, child) {
			child++
		}
		if !s.less(child, i) {
			return
		}
		s.swap(i, child)
		i = child
	}
}
