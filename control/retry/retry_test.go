package retry

import (
	"testing"
	"time"
)

const ms = time.Millisecond

func TestShouldRetry(t *testing.T) {
	t.Parallel()
	inTime := Request{TimeLeft: 20 * ms, ObjectiveLeft: 10 * ms}
	overload := EndedAttempt{StillRuns: true, EngineUnderPressure: true}
	for name, c := range map[string]struct {
		request Request
		ended   EndedAttempt
		want    bool
	}{
		"within the objective":               {inTime, EndedAttempt{EngineUnderPressure: true}, true},
		"too close to the deadline":          {Request{TimeLeft: 20*ms - 1, ObjectiveLeft: 10 * ms}, EndedAttempt{}, false},
		"after the objective":                {Request{TimeLeft: time.Second, ObjectiveLeft: -1}, EndedAttempt{}, false},
		"late answer counts":                 {Request{time.Second, -1, true}, EndedAttempt{}, true},
		"still running under pressure":       {inTime, overload, false},
		"still running without pressure":     {inTime, EndedAttempt{StillRuns: true}, true},
		"still running at an ejected engine": {inTime, EndedAttempt{true, true, true}, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if got := New(5*ms).ShouldRetry(c.request, c.ended); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

func TestShouldHedge(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		request Request
		want    bool
	}{
		"exactly at the deadline": {Request{TimeLeft: 300 * ms}, true},
		"after the deadline":      {Request{TimeLeft: 300*ms - 1}, false},
		"after the objective":     {Request{TimeLeft: time.Second, ObjectiveLeft: -1}, false},
		"late answer counts":      {Request{time.Second, -1, true}, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if got := New(5*ms).ShouldHedge(c.request, 300*ms); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}
