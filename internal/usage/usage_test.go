package usage

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// The counters of two intervals add up to those of both, and every counter is found by its name.
func TestCounters(t *testing.T) {
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
			t.Fatalf("%s is not a counter", name)
		}
	}
	if diff := cmp.Diff(both, read); diff != "" {
		t.Fatal(diff)
	}
	if _, ok := read.Count("handshakes"); ok || read.Set("handshakes", 1) {
		t.Fatal("a name that is no counter was accepted")
	}
	if PerRequest(both.LoadProbes, both.Requests) != 5.0/15 || PerRequest(1, 0) != 0 {
		t.Fatal("counts per request are wrong")
	}
}
