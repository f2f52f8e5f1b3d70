package broker

import (
	"testing"
	"time"

	"wheatlane/control"
)

// After a reload, requests of an added class are accepted and those of a removed class are rejected. An open request
// keeps its class and is answered when its engine responds.
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
		t.Fatalf("attempts of the added class: got %+v, want one", started)
	}
	replies := effectsOf[Reply](h.submit(3, "lookup", "", 400*ms))
	if len(replies) != 1 || replies[0].Kind != ReplyInvalidFields {
		t.Fatalf("replies for the removed class: got %+v, want ReplyInvalidFields", replies)
	}
	replies = effectsOf[Reply](h.apply(firstPage(first, 1, row)))
	if len(replies) != 1 || replies[0].Session != 1 || replies[0].Kind != ReplyResult {
		t.Fatalf("replies for the open request: got %+v, want its result", replies)
	}
}

// A client that has not noticed a reload to shorter timeouts sends a request with a previous timeout, which is
// accepted. A timeout longer than any that the class has had is rejected.
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
