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

// A client that never logs in or stays idle must not keep others from connecting, while a client that is about to log
// in is evicted only if no session is idle.
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
		"no sessions": {func(*Order[*testSession]) {}, ""},
		"all busy": {func(o *Order[*testSession]) {
			idle(o, 0, "a").entry.MarkBusy()
		}, ""},
		"longest idle": {func(o *Order[*testSession]) {
			idle(o, 0, "a")
			idle(o, 1, "b")
		}, "a"},
		"idle again after a request": {func(o *Order[*testSession]) {
			a := idle(o, 0, "a")
			idle(o, 1, "b")
			o.MarkIdle(2, &a.entry, a)
		}, "b"},
		"marked first": {func(o *Order[*testSession]) {
			idle(o, 0, "a")
			b := idle(o, 1, "b")
			o.MarkFirst(2, &b.entry, b)
		}, "b"},
		"login grace expired": {func(o *Order[*testSession]) {
			idle(o, 0, "a")
			connected(o, now-LoginGrace, "b")
		}, "b"},
		"within login grace, another idle": {func(o *Order[*testSession]) {
			idle(o, 0, "a")
			connected(o, now-LoginGrace+1, "b")
		}, "a"},
		"within login grace, none idle": {func(o *Order[*testSession]) {
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
