package units

import (
	"testing"
	"time"
)

func TestSecondsConvertBothWays(t *testing.T) {
	t.Parallel()
	if got := SecondsOf(1500 * time.Millisecond); got != 1.5 {
		t.Errorf("1.5 s are %v seconds", float64(got))
	}
	if got := Seconds(0.25).Duration(); got != 250*time.Millisecond {
		t.Errorf("0.25 seconds are %v", got)
	}
	if got := Seconds(1e12).Duration(); got != maxSeconds*time.Second {
		t.Errorf("a time over the bound is %v", got)
	}
}

func TestRate(t *testing.T) {
	t.Parallel()
	if got := Rate(3, 500*time.Millisecond); got != 6 {
		t.Errorf("3 events in half a second are %v a second, want 6", got)
	}
}

func TestWorkIsSharedByThreads(t *testing.T) {
	t.Parallel()
	if got := ThreadSeconds(3).OnThreads(2); got != 1.5 {
		t.Errorf("3 thread-seconds take %v s on 2 threads, want 1.5", float64(got))
	}
}
