package selection

import (
	"math"
	"math/rand/v2"
	"testing"

	"wheatlane/control/datasetlock"
	"wheatlane/control/units"
)

func TestScore(t *testing.T) {
	t.Parallel()
	idle := Candidate{ConcurrencyLimit: 8, SlowStartFraction: 1}
	for name, c := range map[string]struct {
		change func(*Candidate)
		want   Score
	}{
		"idle":      {func(*Candidate) {}, 1},
		"half full": {func(c *Candidate) { c.ThreadsInFlight, c.ThreadsQueued = 3, 1 }, 0.5},
		"half full in slow start": {
			func(c *Candidate) { c.ThreadsInFlight, c.SlowStartFraction = 2, 0.5 }, 0.5,
		},
		"slow":               {func(c *Candidate) { c.Slowdown = 2 }, 1 - 0.6},
		"failing":            {func(c *Candidate) { c.FailureRate, c.LossRate = 0.1, 0.1 }, 1 - 0.6},
		"expected loss rate": {func(c *Candidate) { c.LossRate, c.ExpectedLossRate = 0.1, 0.1 }, 1},
		"loaded":             {func(c *Candidate) { c.Load = 0.7 }, 0.3},
		"other zone":         {func(c *Candidate) { c.OtherZone = true }, 0.95},
		"lock, unaffected":   {func(c *Candidate) { c.DataSetLocked, c.DataSetRank = true, 0.5 }, 1},
		"lock, blocked":      {func(c *Candidate) { c.DataSetLocked, c.Role = true, datasetlock.Blocked }, 1 - 1.5 - 0.5},
		"rank, blocked":      {func(c *Candidate) { c.DataSetRank, c.Role = 0.8, datasetlock.Blocked }, 1 - 0.1},
		"rank, holder":       {func(c *Candidate) { c.DataSetRank, c.Role = 0.8, datasetlock.Holder }, 1 - 0.4},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			config, candidate := DefaultConfig(), idle
			c.change(&candidate)
			if got := config.Score(&candidate); math.Abs(float64(got-c.want)) > 1e-9 {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// Noise must draw candidates with probabilities proportional to weight * exp(score/NoiseScale).
func TestNoiseDrawsByWeight(t *testing.T) {
	t.Parallel()
	config, rng := DefaultConfig(), rand.New(rand.NewPCG(1, 1))
	const draws = 30000
	candidates := []struct {
		score  Score
		weight float64
		want   float64 // in sevenths
	}{
		{0, 1, 1},
		{config.NoiseScale * Score(math.Log(2)), 1, 2},
		{0, 4, 4},
	}
	counts := make([]float64, len(candidates))
	for range draws {
		var best Best[int]
		for i, candidate := range candidates {
			best.Offer(i, candidate.score+config.Noise(rng, units.LogRatioOf(candidate.weight)))
		}
		counts[best.Candidate()]++
	}
	for i, candidate := range candidates {
		if got, want := counts[i]/draws, candidate.want/7; math.Abs(got-want) > 0.02 {
			t.Errorf("candidate %d was drawn with a probability of %.3f, want %.3f", i, got, want)
		}
	}
}

func TestTieBreakChangesTiesOnly(t *testing.T) {
	t.Parallel()
	config, rng := DefaultConfig(), rand.New(rand.NewPCG(1, 1))
	drawn := map[int]bool{}
	for range 100 {
		var best Best[int]
		for i, score := range []Score{0.5, 0.5, 0.5 - config.Jitter} {
			best.Offer(i, score+config.TieBreak(rng))
		}
		drawn[best.Candidate()] = true
	}
	if !drawn[0] || !drawn[1] || drawn[2] {
		t.Errorf("drew %v, want both candidates with equal scores and no other", drawn)
	}
}

func TestBestIgnoresInvalidScores(t *testing.T) {
	t.Parallel()
	var best Best[*int]
	best.Offer(new(int), Score(math.Inf(-1)))
	best.Offer(new(int), Score(math.NaN()))
	if best.Candidate() != nil {
		t.Error("got a candidate with an invalid score")
	}
}
