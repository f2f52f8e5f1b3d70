package throttle

import (
	"testing"
	"time"
)

func TestThrottleAllowsOneNoticePerInterval(t *testing.T) {
	const interval = 5 * time.Second
	throttle := New[string](interval)
	for _, c := range []struct {
		name    string
		subject string
		at      time.Duration
		want    bool
	}{
		{"first of a subject", "ejected e1", 0, true},
		{"other subject", "restored e1", 0, true},
		{"within the interval", "ejected e1", interval - 1, false},
		{"after the interval", "ejected e1", interval, true},
		{"within the next interval", "ejected e1", 2*interval - 1, false},
	} {
		if got := throttle.Allows(c.subject, c.at); got != c.want {
			t.Errorf("%s: allowed %v, want %v", c.name, got, c.want)
		}
	}
	throttle.Forget("ejected e1")
	if !throttle.Allows("ejected e1", 2*interval-1) {
		t.Error("a forgotten subject is still throttled")
	}
}
