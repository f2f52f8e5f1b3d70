package clientdeadline

import (
	"fmt"
	"testing"
	"time"
)

const (
	ms        = time.Millisecond
	startTime = time.Hour
)

// A client delays a request if it has just sent another one of the same order key, but its timeout runs from before the
// delay. A deadline computed from the arrival would be too late.
func TestTimeoutStartsWithKeyBurst(t *testing.T) {
	type write struct {
		at                time.Duration
		firstOnConnection bool
		key               string
	}
	for name, c := range map[string]struct {
		writes []write
		want   time.Duration // start of the last request's timeout
	}{
		"single request":         {[]write{{0, false, "k"}}, 0},
		"after the burst":        {[]write{{0, false, "k"}, {200 * ms, false, "k"}}, 200 * ms},
		"second of a burst":      {[]write{{0, false, "k"}, {60 * ms, false, "k"}}, 0},
		"third of a burst":       {[]write{{0, false, "k"}, {60 * ms, false, "k"}, {120 * ms, false, "k"}}, 0},
		"after a new connection": {[]write{{0, true, "k"}, {250 * ms, false, "k"}}, 0},
		"another key":            {[]write{{0, false, "k"}, {60 * ms, false, "other"}}, 60 * ms},
		"no key":                 {[]write{{0, false, ""}, {60 * ms, false, ""}}, 60 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			estimator := New()
			var got time.Duration
			for _, w := range c.writes {
				got = estimator.timeoutStart(Request{
					OrderKey: w.key, SentAt: startTime + w.at, FirstOnConnection: w.firstOnConnection,
				})
			}
			if got != startTime+c.want {
				t.Errorf("timeout starts at %v, want %v", got-startTime, c.want)
			}
		})
	}
}

// Ended bursts are removed, so that memory does not grow if every request has a new order key.
func TestEndedBurstsAreSwept(t *testing.T) {
	estimator := New()
	for n := range 10 * minBurstsToSweep {
		sentAt := startTime + time.Duration(n)*time.Second
		estimator.timeoutStart(Request{OrderKey: fmt.Sprint(n), SentAt: sentAt})
	}
	if len(estimator.bursts) > minBurstsToSweep {
		t.Fatalf("%d bursts are stored, want at most %d", len(estimator.bursts), minBurstsToSweep)
	}
}

func TestDeadlines(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		request          Request
		deadline, queued time.Duration
	}{
		"transit reserve":             {Request{Timeout: time.Second}, 988 * ms, 988 * ms},
		"fraction of a short timeout": {Request{Timeout: 40 * ms}, 34 * ms, 34 * ms},
		"order key":                   {Request{OrderKey: "k", Timeout: 2 * time.Second}, 1735 * ms, 1735 * ms},
		"order key, short timeout":    {Request{OrderKey: "k", Timeout: 200 * ms}, 170 * ms, 170 * ms},
		"may be sent 50 ms earlier":   {Request{EarliestSentAt: startTime - 50*ms, Timeout: time.Second}, 938 * ms, 950 * ms},
		"may be sent 1 ms earlier":    {Request{EarliestSentAt: startTime - ms, Timeout: time.Second}, 987 * ms, 988 * ms},
		"earliest sent at arrival":    {Request{EarliestSentAt: startTime, Timeout: time.Second}, 988 * ms, 988 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c.request.SentAt = startTime
			if got := New().Deadline(c.request) - startTime; got != c.deadline {
				t.Errorf("deadline after %v, want %v", got, c.deadline)
			}
			if got := QueuedDeadline(c.request) - startTime; got != c.queued {
				t.Errorf("deadline of a queued request after %v, want %v", got, c.queued)
			}
		})
	}
}
