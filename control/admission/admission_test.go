package admission

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

const ms = time.Millisecond

func TestPriceRisesAndDecaysWithinItsBounds(t *testing.T) {
	t.Parallel()
	const leastWeightPerWork = 2.0
	price := NewPrice()
	if price.Exceeds(1, leastWeightPerWork, 8) || !price.Exceeds(1, leastWeightPerWork, 8.1) {
		t.Error("at first, want a limit of 16 times the work that the weight usually stands for")
	}
	price.Raise()
	if !price.Exceeds(1, leastWeightPerWork, 8) || price.Exceeds(1.3, leastWeightPerWork, 8) {
		t.Error("want a price that has risen by three tenths")
	}
	for range 100 {
		price.Raise()
	}
	if price.Exceeds(1, leastWeightPerWork, 0.5) || !price.Exceeds(1, leastWeightPerWork, 0.51) {
		t.Error("at its highest, want a price that admits the usual work")
	}
	for range 100 {
		price.Decay()
	}
	if price != NewPrice() {
		t.Errorf("%+v after a long time, want the first price", price)
	}
}

func TestBacklogWaitsForTheShortestOfItsQueues(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		backlog Backlog
		want    time.Duration
	}{
		"of all requests":       {Backlog{All: 8, Class: 6, Tenant: 5}, 2 * time.Second},
		"of its class":          {Backlog{All: 80, Class: 6, Tenant: 5}, 3 * time.Second},
		"of its tenant":         {Backlog{All: 80, Class: 60, Tenant: 1}, time.Second},
		"nothing of its tenant": {Backlog{All: 80, Class: 60}, 0},
		"on a slow engine":      {Backlog{All: 8, Class: 6, Tenant: 5, Slowdown: math.Ln2}, 4 * time.Second},
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
		t.Error("what ends with the objective meets it")
	}
	if !CannotMeetObjective(200*ms, 300*ms+1, 500*ms) {
		t.Error("what ends after the objective misses it")
	}
	if !CannotMeetObjective(0, ms, -ms) {
		t.Error("an objective that has passed can't be met")
	}
}

func TestRetryAfterStaysWithinWhatClientsFollow(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		longestFollowed, shortest, longest time.Duration
	}{
		{100 * ms, 50 * ms, 100 * ms},
		{500 * ms, 250 * ms, 500 * ms},
		{800 * ms, 300 * ms, 800 * ms},
		{time.Minute, 300 * ms, time.Second},
	} {
		if got := RetryAfter(c.longestFollowed, 0); got != c.shortest {
			t.Errorf("shortest of %v: %v, want %v", c.longestFollowed, got, c.shortest)
		}
		if got := RetryAfter(c.longestFollowed, 1); got != c.longest {
			t.Errorf("longest of %v: %v, want %v", c.longestFollowed, got, c.longest)
		}
		if got := RetryAfter(c.longestFollowed, 0.5); got != (c.shortest+c.longest)/2 {
			t.Errorf("in the middle of %v: %v", c.longestFollowed, got)
		}
	}
}

// The times of clients that are rejected at one moment are spread over the whole range, as they would return
// at one moment otherwise.
func TestRetryAfterIsSpread(t *testing.T) {
	t.Parallel()
	for _, longestFollowed := range []time.Duration{500 * ms, 2 * time.Second, 100 * ms} {
		t.Run(longestFollowed.String(), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(1, 0x7461)) // the numbers of a controller with the seed 1
			limit := min(longestFollowed, time.Second)
			nearLimit := 0
			for range 1000 {
				retryAfter := RetryAfter(longestFollowed, rng.Float64())
				if retryAfter < min(300*ms, limit/2) || retryAfter > limit {
					t.Fatalf("%v where clients follow up to %v", retryAfter, longestFollowed)
				}
				if limit-retryAfter < limit/50 {
					nearLimit++
				}
			}
			if nearLimit > 50 {
				t.Fatalf("%d of 1000 are within 2%% of %v", nearLimit, limit)
			}
		})
	}
}
