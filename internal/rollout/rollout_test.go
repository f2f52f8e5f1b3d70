package rollout

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const observationInterval = 5 * time.Second

// simulation drives a controller with a simulated clock and pseudorandom traffic.
type simulation struct {
	controller *Controller
	rng        *rand.Rand
	now        time.Duration
	actions    []string // since the previous call of wantActions
}

func newSimulation(cfg Config, seed uint64) *simulation {
	return &simulation{controller: New(cfg, "v1"), rng: rand.New(rand.NewPCG(seed, 0))}
}

// handle passes an event to the controller and records its actions.
func (s *simulation) handle(ev Event) {
	for _, a := range s.controller.Handle(s.now, ev) {
		switch a := a.(type) {
		case Apply:
			s.actions = append(s.actions, "apply "+string(a.Version))
		case Decision:
			s.actions = append(s.actions, string(a.Version)+" "+string(a.Outcome))
		}
	}
}

// traffic simulates intervals with rate requests per second, each of which is bad with probability badRatio.
func (s *simulation) traffic(intervals int, rate, badRatio float64) {
	for range intervals {
		s.now += observationInterval
		classes := map[string]Counts{}
		for class, fraction := range map[string]float64{"lookup": 0.8, "report": 0.2} {
			classes[class] = s.draw(int(rate*fraction*observationInterval.Seconds()), badRatio)
		}
		s.handle(Observed{Classes: classes, Duration: observationInterval})
	}
}

// draw returns n requests, each of which is bad with probability badRatio.
func (s *simulation) draw(n int, badRatio float64) Counts {
	counts := Counts{Total: float64(n)}
	for range n {
		if s.rng.Float64() < badRatio {
			counts.Bad++
		}
	}
	return counts
}

func (s *simulation) wantActions(t *testing.T, want ...string) {
	t.Helper()
	if diff := cmp.Diff(want, s.actions); diff != "" {
		t.Fatalf("actions differ (-want +got):\n%s", diff)
	}
	s.actions = nil
}

// canaryCases are the events after the proposal of version v2, and the actions of the controller since then.
var canaryCases = []struct {
	name string
	run  func(*simulation)
	want []string
}{
	{
		"no harm",
		func(s *simulation) { s.traffic(24, 100, 0.02) },
		[]string{"v2 tried", "apply v2", "v2 kept"},
	},
	{
		"harm",
		func(s *simulation) { s.traffic(24, 100, 0.2) },
		[]string{"v2 tried", "apply v2", "v2 rolled_back", "apply v1"},
	},
	{
		"too little traffic to decide",
		func(s *simulation) { s.traffic(180, 0.3, 0.02) },
		[]string{"v2 tried", "apply v2", "v2 kept_unproven"},
	},
	{
		"higher load is no harm",
		func(s *simulation) { s.traffic(24, 150, 0.06) },
		[]string{"v2 tried", "apply v2", "v2 kept"},
	},
	{
		"withdrawn",
		func(s *simulation) { s.handle(Proposed{"v1"}) },
		[]string{"v2 tried", "apply v2", "v2 withdrawn", "apply v1"},
	},
	{
		"a second proposal is deferred, and a third replaces it",
		func(s *simulation) {
			s.handle(Proposed{"v3"})
			s.handle(Proposed{"v4"})
			s.traffic(24, 100, 0.02)
		},
		[]string{"v2 tried", "apply v2", "v3 waits", "v4 waits", "v2 kept", "v4 tried", "apply v4"},
	},
	{
		"a repeated proposal changes nothing",
		func(s *simulation) { s.handle(Proposed{"v2"}) },
		[]string{"v2 tried", "apply v2"},
	},
	{
		"a harmful version is proposed again",
		func(s *simulation) {
			s.traffic(24, 100, 0.3)
			s.handle(Proposed{"v2"})
			s.now += time.Hour
			s.handle(Proposed{"v2"})
			s.traffic(24, 100, 0.3)
			s.now += time.Hour
			s.handle(Proposed{"v2"})
		},
		[]string{
			"v2 tried", "apply v2", "v2 rolled_back", "apply v1", "v2 refused",
			"v2 tried", "apply v2", "v2 rolled_back", "apply v1", "v2 refused",
		},
	},
	{
		"the canary can't be applied",
		func(s *simulation) { s.handle(ApplyFailed{"v2", "no disk"}) },
		[]string{"v2 tried", "apply v2", "v2 refused"},
	},
	{
		"the stable version can't be reactivated after a rollback",
		func(s *simulation) {
			s.traffic(24, 100, 0.3)
			s.handle(ApplyFailed{"v1", "its folder is gone"})
			if s.controller.Active() != "v2" {
				s.actions = append(s.actions, "active is "+string(s.controller.Active()))
			}
		},
		[]string{"v2 tried", "apply v2", "v2 rolled_back", "apply v1", "v1 refused"},
	},
}

func TestCanaryOutcomes(t *testing.T) {
	for _, c := range canaryCases {
		t.Run(c.name, func(t *testing.T) {
			s := newSimulation(DefaultConfig(), 1)
			s.traffic(60, 100, 0.02)
			s.handle(Proposed{"v2"})
			c.run(s)
			s.wantActions(t, c.want...)
		})
	}
}

// A source that proposes one new version after another must not keep the broker in canaries: proposals beyond the
// rate limit are rejected until the window has passed.
func TestCanaryRateIsLimited(t *testing.T) {
	s := newSimulation(DefaultConfig(), 1)
	s.traffic(60, 100, 0.02)
	for i := range 8 {
		s.handle(Proposed{Version(fmt.Sprint("a", i))})
		s.handle(Proposed{"v1"})
	}
	rejected := 0
	for _, action := range s.actions {
		if strings.HasSuffix(action, "refused") {
			rejected++
		}
	}
	if rejected != 8-DefaultConfig().MaxCanaries {
		t.Fatalf("%d canaries rejected, want %d: %q", rejected, 8-DefaultConfig().MaxCanaries, s.actions)
	}
	s.actions = nil
	s.now += DefaultConfig().CanaryWindow
	s.handle(Proposed{"a9"})
	s.wantActions(t, "a9 tried", "apply a9")
}

// runCanary runs one canary to its end. It reports whether the canary was rolled back, and its duration.
func runCanary(seed uint64, badRatio float64) (rolledBack bool, after time.Duration) {
	s := newSimulation(DefaultConfig(), seed)
	s.traffic(30, 50, 0.05)
	s.handle(Proposed{"v2"})
	startedAt := s.now
	for s.controller.Canary() != "" {
		s.traffic(1, 50, badRatio)
	}
	return s.controller.Stable() == "v1", s.now - startedAt
}

// Harmless canaries are rolled back no more often than the significance level allows. Harmful canaries are
// detected, larger harm earlier.
func TestFalseRollbackRateAndPower(t *testing.T) {
	const harmless = 300
	falseRollbacks := 0
	for seed := range uint64(harmless) {
		if rolledBack, _ := runCanary(seed, 0.05); rolledBack {
			falseRollbacks++
		}
	}
	if allowed := DefaultConfig().SignificanceLevel * harmless; float64(falseRollbacks) > allowed {
		t.Errorf(
			"%d of %d harmless canaries were rolled back, want at most %v",
			falseRollbacks,
			harmless,
			allowed,
		)
	}
	previousMean := time.Hour
	for _, harm := range []float64{0.10, 0.30} {
		detected, sum := 0, time.Duration(0)
		for seed := range uint64(50) {
			if rolledBack, after := runCanary(seed, 0.05+harm); rolledBack {
				detected++
				sum += after
			}
		}
		mean := sum / 50
		if detected < 48 || mean >= previousMean {
			t.Errorf(
				"harm of %v: %d of 50 detected, after %v on average; smaller harm after %v",
				harm,
				detected,
				mean,
				previousMean,
			)
		}
		previousMean = mean
	}
}
