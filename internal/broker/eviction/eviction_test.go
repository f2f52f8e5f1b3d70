package eviction

import (
	"testing"
	"time"
)

type testSession struct {
	name  string
	place Entry
}

func placeOf(s *testSession) *Entry { return &s.place }

func TestCandidate(t *testing.T) {
	t.Parallel()
	const now = time.Minute
	connected := func(o *Order[*testSession], at time.Duration, name string) *testSession {
		s := &testSession{name: name}
		o.AddUnauthenticated(at, &s.place, s)
		return s
	}
	idle := func(o *Order[*testSession], at time.Duration, name string) *testSession {
		s := connected(o, at, name)
		o.MarkIdle(at, &s.place, s)
		return s
	}
	for name, c := range map[string]struct {
		sessions func(o *Order[*testSession])
		want     string // empty: none
	}{
		"none": {func(*Order[*testSession]) {}, ""},
		"all busy": {func(o *Order[*testSession]) {
			idle(o, 0, "a").place.MarkBusy()
		}, ""},
		"idle longest": {func(o *Order[*testSession]) {
			idle(o, 0, "a")
			idle(o, 1, "b")
		}, "a"},
		"idle anew": {func(o *Order[*testSession]) {
			a := idle(o, 0, "a")
			idle(o, 1, "b")
			o.MarkIdle(2, &a.place, a)
		}, "b"},
		"first of the idle ones": {func(o *Order[*testSession]) {
			idle(o, 0, "a")
			b := idle(o, 1, "b")
			o.MarkFirst(2, &b.place, b)
		}, "b"},
		"did not log in": {func(o *Order[*testSession]) {
			idle(o, 0, "a")
			connected(o, now-LoginGrace, "b")
		}, "b"},
		"may be about to log in": {func(o *Order[*testSession]) {
			idle(o, 0, "a")
			connected(o, now-LoginGrace+1, "b")
		}, "a"},
		"only one that may be about to log in": {func(o *Order[*testSession]) {
			connected(o, now, "b")
		}, "b"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var o Order[*testSession]
			c.sessions(&o)
			got := ""
			if candidate, ok := o.Candidate(now, placeOf); ok {
				got = candidate.name
			}
			if got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}
