package usage

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// What a book counts over two intervals is what each of them counted, and every counter is found by its name.
func TestBook(t *testing.T) {
	first := Counters{Requests: 10, FirstAttempts: 9, LoadProbes: 4, Dials: 3, EndpointPolls: 1}
	second := Counters{Requests: 5, FirstAttempts: 5, Retries: 2, Rejections: 1, LoadProbes: 1, LivenessProbes: 2, EndpointPolls: 1}
	both := first.Add(second)
	if diff := cmp.Diff(second, both.Since(first)); diff != "" {
		t.Fatal(diff)
	}
	var read Counters
	for _, name := range FieldNames {
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
	if PerRequest(both.LoadProbes, both.Requests) != 5.0/15 || PerRequest(1, 0) != 0 {
		t.Fatal("counts over requests taken are wrong")
	}
}
