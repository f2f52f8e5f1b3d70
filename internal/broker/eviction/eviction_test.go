package eviction

import (
	"testing"
	"time"
)

type testSession struct {
	name  string
	entry Entry
}

func entryOf(s *testSession) *Entry { return &s.entry }

func TestCandidate(t *testing.T) {
	t.Parallel()
	const now = time.Minute
	connected := func(o *Order[*testSession], at time.Duration, name string) *testSession {
		s := &testSession{name: name}
		o.AddUnauthenticated(at, &s.entry, s)
		return s
	}
	idle := func(o *Order[*testSession], at time.Duration, name string) *testSession {
		s := connected(o, at, name)
		o.MarkIdle(at, &s.entry, s)
		return s
	}
	for name, c := range map[string]struct {
		sessions func(o *Order[*testSession])
		want     string // empty: none
	}{
		"none": {func(*Order[*testSession]) {}, ""},
		"all busy": {func(o *Order[*testSession]) {
			idle(o, 0, "a").entry.MarkBusy()
		}, ""},
		"idle longest": {func(o *Order[*testSession]) {
			idle(o, 0, "a")
			idle(o, 1, "b")
		}, "a"},
		"idle anew": {func(o *Order[*testSession]) {
			a := idle(o, 0, "a")
			idle(o, 1, "b")
			o.MarkIdle(2, &a.entry, a)
		}, "b"},
		"first of the idle ones": {func(o *Order[*testSession]) {
			idle(o, 0, "a")
			b := idle(o, 1, "b")
			o.MarkFirst(2, &b.entry, b)
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
			if candidate, ok := o.Candidate(now, entryOf); ok {
				got = candidate.name
			}
			if got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}
