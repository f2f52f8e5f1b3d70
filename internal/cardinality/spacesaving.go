package cardinality

import (
	"cmp"
	"hash/maphash"
	"slices"
)

// maxNameBytes is the longest name that can have a slot of its own.
const maxNameBytes = 64

// SpaceSaving is a Space-Saving sketch: it counts a fixed number of names, and a name that is not among them replaces
// the name with the lowest count and inherits that count. The sketch is guaranteed to contain each name that occurred
// more often than the sum of all counts divided by the capacity. Add does not allocate.
type SpaceSaving struct {
	seed        maphash.Seed
	entries     []entry
	heap        []int32 // min-heap by count of indexes into entries
	entryByHash map[uint64]int32
}

type entry struct {
	hash       uint64
	count      uint64
	overcount  uint64 // upper bound of the part of count inherited from replaced names
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

// HeavyHitter is a name with bounds on the number of its occurrences.
type HeavyHitter struct {
	Name     string
	MinCount uint64
	MaxCount uint64
}

// NewSpaceSaving returns a sketch that counts up to capacity names.
func NewSpaceSaving(capacity int) *SpaceSaving {
	return &SpaceSaving{
		seed:        maphash.MakeSeed(),
		entries:     make([]entry, 0, capacity),
		heap:        make([]int32, 0, capacity),
		entryByHash: make(map[uint64]int32, 2*capacity),
	}
}

// Add counts a name of at most 64 bytes. Longer names are ignored.
func (s *SpaceSaving) Add(name string) {
	if len(name) > maxNameBytes {
		return
	}
	hash := maphash.String(s.seed, name)
	// Two names with the same hash would be counted as one. With 64 bits and a few hundred entries a collision is
	// too improbable to handle.
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

// insert adds a name with a count of 1. The sketch must not be full.
func (s *SpaceSaving) insert(name string, hash uint64) {
	i := int32(len(s.entries))
	s.entries = append(s.entries, entry{count: 1, heapIndex: i})
	s.entries[i].setName(name, hash)
	s.heap = append(s.heap, i)
	s.entryByHash[hash] = i
	s.siftUp(int(i))
}

// replaceLeast replaces the name with the lowest count.
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

// Remove removes a name and its count.
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

// Decay halves all counts, so that recent occurrences outweigh old ones. Names whose count becomes 0 are removed.
func (s *SpaceSaving) Decay() {
	remaining := s.entries[:0]
	for i := range s.entries {
		e := s.entries[i]
		e.count, e.overcount = e.count/2, e.overcount/2
		if e.count == 0 {
			delete(s.entryByHash, e.hash)
			continue
		}
		remaining = append(remaining, e)
	}
	s.entries = remaining
	s.rebuildHeap()
}

// HeavyHitters returns the names in the sketch in descending order of MinCount, then of MaxCount, then by name.
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
