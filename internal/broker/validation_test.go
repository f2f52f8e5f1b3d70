package broker

import (
	"testing"
	"time"

	"wheatlane/control"
)

// A class that a reload adds is served, one that it removes accepts no new request, and a request under way
// keeps its class: it is answered when its engine answers.
func TestUpdateSettings(t *testing.T) {
	h := newHarness(t, engine1())
	h.submit(1, "lookup", "", 400*ms)
	first := h.onlyAttempt()
	settings := testSettings()
	settings.Classes = []control.Class{
		{Name: "report", LatencyObjective: 2 * time.Second, PriorityWeight: 5, Threads: 1},
	}
	settings.Limits.MaxAttempts = 1
	h.apply(UpdateSettings{settings})
	effects := append(h.submit(2, "report", "", 2*time.Second), h.run(50*ms)...)
	if started := effectsOf[StartAttempt](effects); len(started) != 1 || started[0].Class != "report" {
		t.Fatalf("the new class: %+v", started)
	}
	replies := effectsOf[Reply](h.submit(3, "lookup", "", 400*ms))
	if len(replies) != 1 || replies[0].Kind != ReplyInvalidFields {
		t.Fatalf("the removed class: %+v", replies)
	}
	replies = effectsOf[Reply](h.apply(firstPage(first, 1, row)))
	if len(replies) != 1 || replies[0].Session != 1 || replies[0].Kind != ReplyResult {
		t.Fatalf("the request under way: %+v", replies)
	}
}

// A request that crosses a reload to shorter timeouts was written by those before, and is accepted; one with
// a longer timeout than any that were in force is not.
func TestRequestRacingWithReloadToShorterTimeouts(t *testing.T) {
	settings := testSettings()
	settings.Classes[0].ClientTimeout = 5 * time.Second
	for timeout, attempts := range map[time.Duration]int{
		time.Second:     1,
		5 * time.Second: 1,
		7 * time.Second: 0,
	} {
		t.Run(timeout.String(), func(t *testing.T) {
			h := newHarnessWithSettings(t, settings, engine1())
			shorter := testSettings()
			shorter.Classes[0].ClientTimeout = time.Second
			h.apply(UpdateSettings{shorter})
			h.submit(1, "lookup", "", timeout)
			h.run(20 * ms)
			if n := len(h.started()); n != attempts {
				t.Errorf("%d attempts, want %d", n, attempts)
			}
		})
	}
}
