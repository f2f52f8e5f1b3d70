package membership

import (
	"testing"
	"time"
)

func TestMember(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		change          func(*Member)
		state           State
		listed, accepts bool
	}{
		"ready":    {func(m *Member) { m.Update(Ready) }, Ready, true, true},
		"draining": {func(m *Member) { m.Update(Draining) }, Draining, true, false},
		"removed":  {func(m *Member) { m.Update(Removed) }, Removed, false, false},
		"unlisted": {func(m *Member) {
			m.Update(Ready)
			m.Unlist()
		}, Ready, false, false},
		"in maintenance": {func(m *Member) {
			m.SetMaintenance(true)
			m.Update(Ready)
		}, Draining, true, false},
		"removed in maintenance": {func(m *Member) {
			m.SetMaintenance(true)
			m.Update(Removed)
		}, Removed, false, false},
		"after maintenance": {func(m *Member) {
			m.SetMaintenance(true)
			m.Update(Ready)
			m.SetMaintenance(false)
		}, Ready, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var m Member
			c.change(&m)
			if m.State() != c.state || m.Listed() != c.listed || m.AcceptsRequests() != c.accepts {
				t.Errorf("state %d, listed %v, accepts requests %v", m.State(), m.Listed(), m.AcceptsRequests())
			}
		})
	}
}

func TestWatchBeginsAgainAfterDelay(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		maxPollInterval, delay time.Duration
	}{
		"short poll interval": {time.Second, 500 * time.Millisecond},
		"long poll interval":  {time.Minute, 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := NewWatch(WatchConfig{Required: true, MaxPollInterval: c.maxPollInterval})
			now := time.Second
			if !s.Begin(now) || s.Begin(now+time.Hour) {
				t.Error("want the watch to begin exactly once")
			}
			s.Ended(now)
			if s.Begin(now+c.delay-1) || !s.Begin(now+c.delay) {
				t.Errorf("want the watch to begin again after exactly %v", c.delay)
			}
		})
	}
	none := NewWatch(WatchConfig{})
	if none.Begin(time.Second) {
		t.Error("a watch that is not required has begun")
	}
}
