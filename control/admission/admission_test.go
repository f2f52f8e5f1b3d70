package admission

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

const ms = time.Millisecond

func TestPriceRisesAndDecaysWithinBounds(t *testing.T) {
	t.Parallel()
	const lowestWeightPerThreadSecond = 2.0
	price := NewPrice()
	if price.Exceeds(1, lowestWeightPerThreadSecond, 8) || !price.Exceeds(1, lowestWeightPerThreadSecond, 8.1) {
		t.Error("want the initial price to admit up to 16 times the usual work for the weight")
	}
	price.Raise()
	if !price.Exceeds(1, lowestWeightPerThreadSecond, 8) || price.Exceeds(1.3, lowestWeightPerThreadSecond, 8) {
		t.Error("want Raise to raise the price by three tenths")
	}
	for range 100 {
		price.Raise()
	}
	if price.Exceeds(1, lowestWeightPerThreadSecond, 0.5) || !price.Exceeds(1, lowestWeightPerThreadSecond, 0.51) {
		t.Error("want the maximum price to admit the usual work, and no more")
	}
	for range 100 {
		price.Decay()
	}
	if price != NewPrice() {
		t.Errorf("got %+v after 100 decays, want the initial price", price)
	}
}

func TestBacklogWaitIsShortestOfQueues(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		backlog Backlog
		want    time.Duration
	}{
		"shortest of all requests": {Backlog{All: 8, Class: 6, Tenant: 5}, 2 * time.Second},
		"shortest of its class":    {Backlog{All: 80, Class: 6, Tenant: 5}, 3 * time.Second},
		"shortest of its tenant":   {Backlog{All: 80, Class: 60, Tenant: 1}, time.Second},
		"tenant without backlog":   {Backlog{All: 80, Class: 60}, 0},
		"slow engine":              {Backlog{All: 8, Class: 6, Tenant: 5, Slowdown: math.Ln2}, 4 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c.backlog.ClassShare, c.backlog.TenantShare, c.backlog.Limit = 0.5, 0.5, 4
			if got := c.backlog.Wait(); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

func TestCannotMeetObjective(t *testing.T) {
	t.Parallel()
	if CannotMeetObjective(200*ms, 300*ms, 500*ms) {
		t.Error("got a miss for a request that ends exactly at its objective")
	}
	if !CannotMeetObjective(200*ms, 300*ms+1, 500*ms) {
		t.Error("got no miss for a request that ends 1 ns after its objective")
	}
	if !CannotMeetObjective(0, ms, -ms) {
		t.Error("got no miss for an objective that has passed")
	}
}

func TestRetryAfterStaysWithinBounds(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		longestAccepted, shortest, longest time.Duration
	}{
		{100 * ms, 50 * ms, 100 * ms},
		{500 * ms, 250 * ms, 500 * ms},
		{800 * ms, 300 * ms, 800 * ms},
		{time.Minute, 300 * ms, time.Second},
	} {
		if got := RetryAfter(c.longestAccepted, 0); got != c.shortest {
			t.Errorf("shortest time for clients that accept up to %v: got %v, want %v", c.longestAccepted, got, c.shortest)
		}
		if got := RetryAfter(c.longestAccepted, 1); got != c.longest {
			t.Errorf("longest time for clients that accept up to %v: got %v, want %v", c.longestAccepted, got, c.longest)
		}
		if got := RetryAfter(c.longestAccepted, 0.5); got != (c.shortest+c.longest)/2 {
			t.Errorf("median time for clients that accept up to %v: got %v", c.longestAccepted, got)
		}
	}
}

// Clients that are rejected at one moment must retry at times spread over the whole range. If many times were
// at its upper limit, these clients would return at one moment and cause the next overload.
func TestRetryAfterIsSpread(t *testing.T) {
	t.Parallel()
	for _, longestAccepted := range []time.Duration{500 * ms, 2 * time.Second, 100 * ms} {
		t.Run(longestAccepted.String(), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(1, 0x7461)) // the generator of a controller with seed 1
			limit := min(longestAccepted, time.Second)
			nearLimit := 0
			for range 1000 {
				retryAfter := RetryAfter(longestAccepted, rng.Float64())
				if retryAfter < min(300*ms, limit/2) || retryAfter > limit {
					t.Fatalf("got %v for clients that accept up to %v", retryAfter, longestAccepted)
				}
				if limit-retryAfter < limit/50 {
					nearLimit++
				}
			}
			if nearLimit > 50 {
				t.Fatalf("got %d of 1000 times within 2%% of %v", nearLimit, limit)
			}
		})
	}
}
