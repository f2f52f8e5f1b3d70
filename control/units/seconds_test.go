package units

import (
	"testing"
	"time"
)

func TestSecondsConvertBothWays(t *testing.T) {
	t.Parallel()
	if got := SecondsOf(1500 * time.Millisecond); got != 1.5 {
		t.Errorf("SecondsOf(1.5s) = %v, want 1.5", float64(got))
	}
	if got := Seconds(0.25).Duration(); got != 250*time.Millisecond {
		t.Errorf("Seconds(0.25).Duration() = %v, want 250ms", got)
	}
	if got := Seconds(1e12).Duration(); got != maxSeconds*time.Second {
		t.Errorf("Seconds(1e12).Duration() = %v, want the bound", got)
	}
}

func TestRate(t *testing.T) {
	t.Parallel()
	if got := Rate(3, 500*time.Millisecond); got != 6 {
		t.Errorf("3 events in half a second: got %v per second, want 6", got)
	}
}

func TestOnThreadsDividesWork(t *testing.T) {
	t.Parallel()
	if got := ThreadSeconds(3).OnThreads(2); got != 1.5 {
		t.Errorf("3 thread-seconds on 2 threads: got %v s, want 1.5", float64(got))
	}
}
