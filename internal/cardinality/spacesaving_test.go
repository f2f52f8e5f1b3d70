package cardinality

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// The guarantee of the sketch: a name that came more often than the sum over the places is in it, and its
// bounds hold.
func TestSpaceSavingBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		places := rapid.IntRange(1, 12).Draw(t, "places")
		sketch, truth := NewSpaceSaving(places), map[string]uint64{}
		names := rapid.SliceOfN(rapid.IntRange(0, 40), 1, 500).Draw(t, "names")
		for _, n := range names {
			name := fmt.Sprint(n * n / 30) // some come far more often than others
			sketch.Add(name)
			truth[name]++
		}
		in := map[string]bool{}
		for _, h := range sketch.HeavyHitters() {
			in[h.Name] = true
			if n := truth[h.Name]; n < h.MinCount || n > h.MaxCount {
				t.Fatalf("%s came %d times, bounds %d to %d", h.Name, n, h.MinCount, h.MaxCount)
			}
		}
		for name, n := range truth {
			if n > uint64(len(names)/places) && !in[name] {
				t.Fatalf("%s came %d times of %d and is not in", name, n, len(names))
			}
		}
	})
}
