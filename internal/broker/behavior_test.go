package broker

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"wheatlane/control"
	"wheatlane/control/idempotency"
	"wheatlane/control/units"
	"wheatlane/internal/config"
	"wheatlane/internal/loadfields"
)

// behaviorTests holds the deployments for which the behavior of the reducer, together with the decision module, is
// compared with a recorded hash. The hash covers the effects, the meter calls and the results of the query methods over
// seeded random sequences of events. The encoding contains no names of types or fields (see recorder), and of effects
// that only log, just the kind. Effects are hashed in the order in which they are returned, which does not depend on
// map iteration.
var behaviorTests = []struct {
	name     string
	settings func(t *testing.T) deployment
	sessions int // session limit of the broker; more clients connect
	engines  int
	want     string // SHA-256
}{
	{
		"ledger", fromFile("ledger.json"), 24, 7,
		"711874b1446fc50456860843183bc4b2f3ba994dd79566b4230dc4c1390c1962",
	},
	{
		"shortline", fromFile("shortline.json"), 24, 7,
		"6fb45f0c4bf54ba74930bc2538f142cfc86470278b940532163c8632ebcaebc0",
	},
	{
		"small", smallDeployment, 8, 2,
		"471edd5a7289daaa684ae09c272ace69d2917c8253a96d98328304865d6e1576",
	},
	{
		"large", largeDeployment, 96, 40,
		"5081d0dfbffa22b5d5fca581d158934d999d0dfe6a35a8ae39b6486604336335",
	},
}

const (
	behaviorSeeds = 6
	behaviorSteps = 6000
)

// A change to the reducer that is meant to preserve its behavior must leave all effects and metrics as recorded.
func TestBehaviorIsUnchanged(t *testing.T) {
	t.Parallel()
	seen := map[string]int{}
	for _, c := range behaviorTests {
		t.Run(c.name, func(t *testing.T) {
			sum := sha256.New()
			for seed := range uint64(behaviorSeeds) {
				s := newSimulation(t, c.settings(t), seed, c.sessions, c.engines, sum)
				s.run(behaviorSteps)
				for name, n := range s.seen {
					seen[name] += n
				}
			}
			if got := hex.EncodeToString(sum.Sum(nil)); got != c.want {
				t.Errorf("hash of all effects: got %s, want %s", got, c.want)
			}
		})
	}
	expectAllKindsSeen(t, seen)
}

// expectAllKindsSeen fails if a kind of effect, reply or close never occurred, as the hash would not cover it.
func expectAllKindsSeen(t *testing.T, seen map[string]int) {
	t.Helper()
	t.Logf("counts: %v", seen)
	kinds := make([]string, 0, len(seen))
	for kind := range lastEffectKind {
		kinds = append(kinds, fmt.Sprint("effect ", kind+1))
	}
	for kind := ReplyResult; kind <= ReplyTooManySessions; kind++ {
		kinds = append(kinds, fmt.Sprint("reply ", int(kind)))
	}
	for reason := CloseKilled; reason <= CloseTooManySessions; reason++ {
		kinds = append(kinds, fmt.Sprint("close ", int(reason)))
	}
	for _, kind := range kinds {
		if seen[kind] == 0 {
			t.Errorf("%s never occurred", kind)
		}
	}
}

// deployment is the settings of a deployment and the layout of its engines' load reports.
type deployment struct {
	control.Settings
	loadReport loadfields.Layout
}

// fromFile returns a function that reads the settings of a deployment from testdata, in the same way as a broker.
func fromFile(name string) func(t *testing.T) deployment {
	return func(t *testing.T) deployment {
		t.Helper()
		text, err := os.ReadFile(filepath.Join("testdata", name))
		if err != nil {
			t.Fatal(err)
		}
		settings, err := config.DecodeSettings(text)
		if err != nil {
			t.Fatal(err)
		}
		return deployment{settings.Control, settings.LoadReport}
	}
}

// smallDeployment returns a single broker with small engines and most features enabled.
func smallDeployment(*testing.T) deployment {
	settings := control.Settings{
		Brokers: 1, MinBatchInterval: 2 * ms,
		MemoryGrants: true, Priorities: true, MaxGrantFraction: 0.5, EnginesReportCost: true, WeightScalesWithWork: true,
		EnginesReportLoad: true,
		Classes: []control.Class{
			{
				Name: "lookup", LatencyObjective: 300 * ms, ClientTimeout: time.Second, ObjectivePerWork: 1,
				PriorityWeight: 9, LateWeight: 0.1, Threads: 1, BlockedByDataSetLock: true,
			},
			{
				Name: "report", LatencyObjective: time.Second, ClientTimeout: 4 * time.Second, ObjectivePerWork: 2,
				PriorityWeight: 9, LateWeight: 0.4, Threads: 1,
			},
			{
				Name: "load", LatencyObjective: 2 * time.Second, ClientTimeout: 9 * time.Second, ObjectivePerWork: 2,
				PriorityWeight: 2, LateWeight: 0.5, Threads: 2, Ordered: true, HoldsDataSetLock: true,
				Idempotency: idempotency.Policy{
					Kind: idempotency.IdempotentWithKey, DedupScope: idempotency.ScopeZone, DedupWindow: 5 * time.Second,
				},
			},
			{
				Name: "payment", LatencyObjective: time.Second, ClientTimeout: 3 * time.Second,
				PriorityWeight: 2, Threads: 1, Idempotency: idempotency.Policy{Kind: idempotency.NonIdempotent},
			},
		},
		EngineKinds: map[string]control.EngineKind{"std": {Cores: 4, MemoryMB: 4096}},
		Limits: control.Limits{
			MaxAttempts: 4, Cancellation: true, Hedging: true, LoadProbes: true, RetryAfter: true,
			MaxRetryAfter: 500 * ms,
		},
		Rules: control.Rules{
			MaxPollInterval:  time.Second,
			SlowStartInitial: 0.3, SlowStartDuration: 5 * time.Second,
			OverloadMultiple: 2, OverloadWindow: time.Second,
			KeyCooldown:       100 * ms,
			RetryBudgetWindow: 5 * time.Second, RetryBudgetRatio: 0.3, RetryBudgetReserve: 10,
		},
	}
	return deployment{settings, loadfields.Layout{"util", "queue"}}
}

// largeDeployment returns one of sixty brokers with engines of two kinds in three zones, six tenants and cancellation
// disabled.
func largeDeployment(*testing.T) deployment {
	const tenants = 6
	settings := control.Settings{
		Brokers: 60, BrokerIndex: 7, Zone: "zone-1", MinBatchInterval: 10 * ms,
		EnginesReportCost: true, ProgressInterval: time.Second, Priorities: true,
		EnginesReportLoad: true,
		Classes: []control.Class{
			{
				Name: "view", LatencyObjective: 500 * ms, ClientTimeout: 2 * time.Second, ObjectivePerWork: 1.5,
				PriorityWeight: 5, LateWeight: 0.2, Threads: 1,
			},
			{
				Name: "export", LatencyObjective: 3 * time.Second, ClientTimeout: 12 * time.Second,
				ObjectivePerWork: 2, PriorityWeight: 5, LateWeight: 0.5, Threads: 4,
				AllowedKinds: []string{"big"},
			},
			{
				Name: "update", LatencyObjective: time.Second, ClientTimeout: 6 * time.Second, PriorityWeight: 8,
				LateWeight: 0.3, Threads: 1, Ordered: true, AllowedZones: []string{"zone-0", "zone-1"},
				Idempotency: idempotency.Policy{Kind: idempotency.IdempotentWithKey, DedupWindow: 10 * time.Second},
			},
		},
		EngineKinds: map[string]control.EngineKind{
			"std": {Cores: 8, MemoryMB: 16384},
			"big": {Cores: 16, MemoryMB: 65536},
		},
		Limits: control.Limits{
			MaxAttempts: 3, Hedging: true, LoadProbes: true, Gossip: true, RetryAfter: true,
			MaxRetryAfter: time.Second,
		},
		Rules: control.Rules{
			MaxPollInterval:  2 * time.Second,
			SlowStartInitial: 0.35, SlowStartDuration: 10 * time.Second,
			OverloadMultiple: 3, OverloadWindow: 2 * time.Second,
			KeyCooldown:       200 * ms,
			RetryBudgetWindow: 10 * time.Second, RetryBudgetRatio: 0.1, RetryBudgetReserve: 5,
		},
	}
	for n := range tenants {
		settings.Tenants = append(settings.Tenants, control.Tenant{
			Name: fmt.Sprint("tenant-", n), Share: units.Fraction(n+1) / 21, Quota: units.PerSecond(10 * (n + 1)),
		})
	}
	return deployment{settings, loadfields.Layout{"util", "inflight"}}
}
