package broker

import (
	"testing"
	"time"

	"wheatlane/control"
)

// A class that appears at a reload is served, one that vanishes takes no new request, and a request under way
// keeps its class.
func TestRetune(t *testing.T) {
	r := newRig(t, host("e1", "a:1", control.Ready))
	r.submit(1, "lookup", "", 400*ms)
	set := settings()
	set.Classes = []control.Class{{Name: "report", Aim: 2 * time.Second, Worth: 5, Threads: 1}}
	set.Limits.MaxAttempts = 1
	r.apply(Retune{set})
	got := r.submit(2, "report", "", 2*time.Second)
	if w := of[Want](append(got, r.run(50*ms)...)); len(w) != 1 || w[0].Class != "report" {
		t.Fatalf("the new class: %+v", w)
	}
	if got := of[Reply](r.submit(3, "lookup", "", 400*ms)); len(got) != 1 || got[0].Kind != BadFields {
		t.Fatalf("the class that went: %+v", got)
	}
	for _, w := range of[Want](r.got) {
		if w.Ref == "0000000000000001" && w.Class != "lookup" {
			t.Fatalf("under way: %+v", w)
		}
	}
}
