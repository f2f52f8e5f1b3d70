package retrybudget

import (
	"testing"
	"time"
)

const ms = time.Millisecond

func TestBudgetAllowsReserveAndRatio(t *testing.T) {
	t.Parallel()
	budget := New(Config{Window: 10 * time.Second, Ratio: 0.1, Reserve: 2})
	now, retries := 100*time.Second, 0
	sendAll := func() {
		for budget.Allows(now) {
			budget.RetrySent(now)
			retries++
		}
	}
	sendAll()
	if retries != 2 {
		t.Errorf("%d retries without requests, want the reserve of 2", retries)
	}
	for range 30 {
		budget.RequestReceived(now)
	}
	sendAll()
	if retries != 5 {
		t.Errorf("%d retries for 30 requests, want 5", retries)
	}
	now += 10*time.Second + 1
	sendAll()
	if retries != 7 {
		t.Errorf("%d retries after the window, want 7", retries)
	}
}

func TestAllRetriesAreAllowedWithoutWindow(t *testing.T) {
	t.Parallel()
	budget := New(Config{})
	for range 100 {
		budget.RetrySent(time.Second)
	}
	if !budget.Allows(time.Second) {
		t.Error("a retry is not allowed")
	}
}

// Attempts may leave the broker later than decided. If both counts covered exactly the window, the budget
// could be exceeded at the time of the send: so retries must be counted for longer, and requests for less.
func TestExpireAccountsForSendDelay(t *testing.T) {
	t.Parallel()
	const window, now = 10 * time.Second, 100 * time.Second
	for name, c := range map[string]struct {
		maxSendDelay, batchInterval time.Duration
		retries, requests           int
	}{
		"no delay":       {0, 5 * ms, 1, 2},
		"send delay":     {300 * ms, 5 * ms, 2, 1},
		"batch interval": {0, 101 * ms, 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			budget := New(Config{
				Window: window, MaxSendDelay: c.maxSendDelay, MinBatchInterval: c.batchInterval,
			})
			budget.RetrySent(now - window - 100*ms)
			budget.RetrySent(now - window + time.Second)
			budget.RequestReceived(now - window + 100*ms)
			budget.RequestReceived(now - window + time.Second)
			budget.Expire(now)
			if len(budget.retries) != c.retries || len(budget.requests) != c.requests {
				t.Errorf("counted %d retries and %d requests, want %d and %d",
					len(budget.retries), len(budget.requests), c.retries, c.requests)
			}
		})
	}
}
