package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"wheatlane/internal/rollout"
)

const (
	observationInterval = 5 * time.Second
	baselineIntervals   = 30
	baselineBadRatio    = 0.05
	harmlessCanaries    = 1000
	harmfulCanaries     = 200 // for each degree of harm
)

// requestsPerInterval is the number of requests per interval by class, together 50 per second.
var requestsPerInterval = map[string]int{"lookup": 200, "route-report": 35, "survey-load": 15}

// measureRollout measures how often harmless canaries are rolled back, and how often and how soon harmful ones are.
func measureRollout() error {
	falseRollbacks := 0
	for seed := range uint64(harmlessCanaries) {
		if rolledBack, _ := runCanary(seed, 0); rolledBack {
			falseRollbacks++
		}
	}
	printResult("calm_trials", harmlessCanaries, "trials")
	printResult("false_rollbacks", float64(falseRollbacks), "trials")
	allowed := rollout.DefaultConfig().SignificanceLevel * harmlessCanaries
	printResult("false_rollbacks_stated", allowed, "trials at the most")
	for _, harm := range []float64{0.05, 0.10, 0.30} {
		measureHarm(harm)
	}
	return nil
}

// measureHarm measures how often and how soon canaries that add a fraction of bad requests are rolled back.
func measureHarm(harm float64) {
	var seconds []float64 // from the proposal to the rollback
	for seed := range uint64(harmfulCanaries) {
		if rolledBack, duration := runCanary(seed, harm); rolledBack {
			seconds = append(seconds, duration.Seconds())
		}
	}
	name := fmt.Sprintf("harm_of_%.0f_percent_found", 100*harm)
	printResult(name, 100*float64(len(seconds))/harmfulCanaries, "percent of trials")
	if len(seconds) > 0 {
		slices.Sort(seconds)
		printResult(name+"_after", seconds[len(seconds)/2], "s")
	}
}

// runCanary runs a canary that adds a fraction of bad requests to those of the baseline. It reports whether the canary
// was rolled back, and how long it ran.
func runCanary(seed uint64, harm float64) (rolledBack bool, duration time.Duration) {
	rng := rand.New(rand.NewPCG(seed, 3))
	c, now := rollout.New(rollout.DefaultConfig(), "before"), time.Duration(0)
	observe := func(badRatio float64) {
		now += observationInterval
		c.Handle(
			now,
			rollout.Observed{Classes: drawRequests(rng, badRatio), Duration: observationInterval},
		)
	}
	for range baselineIntervals {
		observe(baselineBadRatio)
	}
	c.Handle(now, rollout.Proposed{Version: "after"})
	start := now
	for c.Canary() != "" {
		observe(baselineBadRatio + harm)
	}
	return c.Stable() == "before", now - start
}

// drawRequests draws the requests of an interval. Each is bad with probability badRatio.
func drawRequests(rng *rand.Rand, badRatio float64) map[string]rollout.Counts {
	classes := map[string]rollout.Counts{}
	for class, n := range requestsPerInterval {
		counts := rollout.Counts{Total: float64(n)}
		for range n {
			if rng.Float64() < badRatio {
				counts.Bad++
			}
		}
		classes[class] = counts
	}
	return classes
}
