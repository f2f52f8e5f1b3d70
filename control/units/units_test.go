package units

import (
	"math"
	"testing"
	"time"
)

func TestDurationIsBounded(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name    string
		seconds float64
		want    time.Duration
	}{
		{"fraction of a second", 0.25, 250 * time.Millisecond},
		{"zero", 0, 0},
		{"longer than the bound", 1e12, maxSeconds * time.Second},
		{"infinite", math.Inf(1), maxSeconds * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			if got := Duration(c.seconds); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

func TestLogRatioOfIsInverseOfRatio(t *testing.T) {
	t.Parallel()
	if got := LogRatioOf(1); got != 0 {
		t.Errorf("LogRatioOf(1) = %v, want 0", got)
	}
	if got := LogRatioOf(2).Ratio(); math.Abs(got-2) > 1e-12 {
		t.Errorf("LogRatioOf(2).Ratio() = %v, want 2", got)
	}
}
