package cost

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// What a book counts over two intervals is what each of them counted, and every counter is found by its name.
func TestBook(t *testing.T) {
	first := Book{Taken: 10, First: 9, Probes: 4, Dials: 3, Polls: 1}
	second := Book{Taken: 5, First: 5, Further: 2, Refused: 1, Probes: 1, Doubts: 2, Polls: 1}
	both := first.Plus(second)
	if diff := cmp.Diff(second, both.Less(first)); diff != "" {
		t.Fatal(diff)
	}
	var read Book
	for _, name := range Names {
		n, ok := both.Count(name)
		if !ok || !read.Set(name, n) {
			t.Fatalf("%s is not a counter", name)
		}
	}
	if diff := cmp.Diff(both, read); diff != "" {
		t.Fatal(diff)
	}
	if _, ok := read.Count("handshakes"); ok || read.Set("handshakes", 1) {
		t.Fatal("a name that is no counter was taken")
	}
	if Per(both.Probes, both.Taken) != 5.0/15 || Per(1, 0) != 0 {
		t.Fatal("counts over requests taken are wrong")
	}
}
