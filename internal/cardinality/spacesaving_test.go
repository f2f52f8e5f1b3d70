package cardinality

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// The sketch contains each name that occurred more often than the sum of all counts divided by the capacity, and the
// count of each name is within its bounds.
func TestSpaceSavingBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 12).Draw(t, "capacity")
		sketch, truth := NewSpaceSaving(capacity), map[string]uint64{}
		names := rapid.SliceOfN(rapid.IntRange(0, 40), 1, 500).Draw(t, "names")
		for _, n := range names {
			name := fmt.Sprint(n * n / 30) // skewed: some names occur far more often than others
			sketch.Add(name)
			truth[name]++
		}
		in := map[string]bool{}
		for _, h := range sketch.HeavyHitters() {
			in[h.Name] = true
			if n := truth[h.Name]; n < h.MinCount || n > h.MaxCount {
				t.Fatalf("%s occurred %d times, which is outside its bounds %d to %d", h.Name, n, h.MinCount, h.MaxCount)
			}
		}
		for name, n := range truth {
			if n > uint64(len(names)/capacity) && !in[name] {
				t.Fatalf("%s occurred %d times of %d and is not in the sketch", name, n, len(names))
			}
		}
	})
}
