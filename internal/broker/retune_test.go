package broker

import (
	"testing"
	"time"

	"wheatlane/control"
)

// A class that appears at a reload is served, one that vanishes takes no new request, and a request under way
// keeps its class: it is answered when its engine answers.
func TestUpdateSettings(t *testing.T) {
	r := newHarness(t, endpoint("e1", "a:1", control.Ready))
	first := effectsOf[StartAttempt](r.submit(1, "lookup", "", 400*ms))
	if len(first) != 1 {
		t.Fatalf("sent %+v", first)
	}
	set := testSettings()
	set.Classes = []control.Class{{Name: "report", LatencyObjective: 2 * time.Second, PriorityWeight: 5, Threads: 1}}
	set.Limits.MaxAttempts = 1
	r.apply(UpdateSettings{set})
	got := r.submit(2, "report", "", 2*time.Second)
	if w := effectsOf[StartAttempt](append(got, r.run(50*ms)...)); len(w) != 1 || w[0].Class != "report" {
		t.Fatalf("the new class: %+v", w)
	}
	if got := effectsOf[Reply](r.submit(3, "lookup", "", 400*ms)); len(got) != 1 || got[0].Kind != ReplyInvalidFields {
		t.Fatalf("the class that went: %+v", got)
	}
	got = r.apply(AttemptServed{Attempt: first[0].Attempt, PageCount: 1, Body: []byte("1\t2\t3\n")})
	if replies := effectsOf[Reply](got); len(replies) != 1 || replies[0].Session != 1 || replies[0].Kind != ReplyResult {
		t.Fatalf("the request under way: %+v", replies)
	}
}
