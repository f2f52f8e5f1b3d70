package usage

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Since is the inverse of Add, and each counter can be read and set by its name.
func TestCountersAreSummedAndFoundByName(t *testing.T) {
	first := Counters{Requests: 10, FirstAttempts: 9, LoadProbes: 4, Dials: 3, EndpointPolls: 1}
	second := Counters{
		Requests: 5, FirstAttempts: 5, Retries: 2, Rejections: 1, LoadProbes: 1, LivenessProbes: 2,
		EndpointPolls: 1,
	}
	both := first.Add(second)
	if diff := cmp.Diff(second, both.Since(first)); diff != "" {
		t.Fatal(diff)
	}
	var read Counters
	for _, name := range FieldNames {
		n, ok := both.Count(name)
		if !ok || !read.Set(name, n) {
			t.Fatalf("counter %s is not found by its name", name)
		}
	}
	if diff := cmp.Diff(both, read); diff != "" {
		t.Fatal(diff)
	}
	if _, ok := read.Count("handshakes"); ok || read.Set("handshakes", 1) {
		t.Fatal("unknown counter name was accepted")
	}
	if PerRequest(both.LoadProbes, both.Requests) != 5.0/15 || PerRequest(1, 0) != 0 {
		t.Fatalf("got %v and %v counts per request, want %v and 0",
			PerRequest(both.LoadProbes, both.Requests), PerRequest(1, 0), 5.0/15)
	}
}
