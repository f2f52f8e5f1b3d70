package broker

import (
	"bytes"
	"testing"
	"time"

	"wheatlane/control"
	"wheatlane/internal/broker/resultpages"
)

// resultTests holds sequences of events that an engine may cause for an attempt, with their outcome.
var resultTests = map[string]struct {
	events            func(a AttemptID) []Event
	replies           []ReplyKind
	attempts          int
	releasedWithPages int // attempts released with pages left at the engine
}{
	"complete in one page": {func(a AttemptID) []Event {
		return []Event{firstPage(a, 1, row)}
	}, []ReplyKind{ReplyResult}, 1, 0},
	"no rows": {func(a AttemptID) []Event {
		return []Event{firstPage(a, 1, nil)}
	}, []ReplyKind{ReplyResult}, 1, 0},
	"pages in any order": {func(a AttemptID) []Event {
		return []Event{firstPage(a, 3, row), PageReceived{a, 2, row}, PageReceived{a, 1, row}}
	}, []ReplyKind{ReplyResult}, 1, 0},
	"page outstanding": {func(a AttemptID) []Event {
		return []Event{firstPage(a, 3, row), PageReceived{a, 2, row}}
	}, nil, 1, 0},
	"connection reset between pages": {func(a AttemptID) []Event {
		return []Event{firstPage(a, 2, row), AttemptEnded{Attempt: a, Status: control.ConnectionReset}}
	}, nil, 2, 0},
	"failure between pages": {func(a AttemptID) []Event {
		return []Event{firstPage(a, 2, row), AttemptEnded{Attempt: a, Status: control.Failed}}
	}, nil, 2, 0},
	"incomplete row": {func(a AttemptID) []Event {
		return []Event{firstPage(a, 1, []byte("a\tb"))}
	}, nil, 2, 1},
	"missing column": {func(a AttemptID) []Event {
		return []Event{firstPage(a, 1, []byte("a\tb\n"))}
	}, nil, 2, 1},
	"duplicate pages": {func(a AttemptID) []Event {
		return []Event{
			firstPage(a, 3, row),
			PageReceived{a, 1, nil},
			PageReceived{a, 1, nil},
			PageReceived{a, 0, row},
			firstPage(a, 1, row),
			PageReceived{a, 2, row},
		}
	}, []ReplyKind{ReplyResult}, 1, 0},
	"differing pages of one number": {func(a AttemptID) []Event {
		return []Event{firstPage(a, 3, row), PageReceived{a, 1, row}, PageReceived{a, 1, nil}}
	}, nil, 2, 1},
	"invalid UTF-8": {func(a AttemptID) []Event {
		return []Event{firstPage(a, 1, []byte("a\tb\xff\tc\n"))}
	}, nil, 2, 1},
	"page too long": {func(a AttemptID) []Event {
		return []Event{firstPage(a, 1, bytes.Repeat(row, resultpages.MaxPageBytes/len(row)+1))}
	}, nil, 2, 1},
	"too many pages": {func(a AttemptID) []Event {
		return []Event{firstPage(a, resultpages.MaxPages+1, row)}
	}, nil, 2, 1},
	"result too large": {func(a AttemptID) []Event {
		events := []Event{firstPage(a, 10, nil)}
		for n := 1; n < 10; n++ {
			events = append(events, PageReceived{a, n, bytes.Repeat(row, resultpages.MaxPageBytes/len(row))})
		}
		return events
	}, nil, 2, 1},
}

func firstPage(a AttemptID, pageCount int, body []byte) FirstPageReceived {
	return FirstPageReceived{Attempt: a, PageCount: pageCount, Body: body}
}

// An attempt succeeds only with a complete and valid result. Otherwise the request is retried, so that the client does
// not receive a partial result.
func TestResultAssembly(t *testing.T) {
	for name, c := range resultTests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, engine1(), engine2())
			h.submit(1, "lookup", "", 2*time.Second)
			h.apply(c.events(h.onlyAttempt())...)
			h.run(20 * ms)
			h.expectReplies(c.replies...)
			releasedWithPages := 0
			for _, released := range effectsOf[ReleaseAttempt](h.effects) {
				if released.PagesLeft {
					releasedWithPages++
				}
			}
			if attempts := len(h.started()); attempts != c.attempts || releasedWithPages != c.releasedWithPages {
				t.Fatalf("%d attempts and %d released with pages left, want %d and %d",
					attempts, releasedWithPages, c.attempts, c.releasedWithPages)
			}
		})
	}
}

// An engine that stops responding between two pages must not block the request: it is retried after pageTimeout.
func TestMissingPageTimesOut(t *testing.T) {
	h := newHarness(t, engine1(), engine2())
	h.submit(1, "load", "", 9*time.Second)
	h.apply(firstPage(h.onlyAttempt(), 2, row))
	h.run(pageTimeout + 20*ms)
	if n := len(h.started()); n != 2 {
		t.Fatalf("%d attempts, want 2", n)
	}
}
