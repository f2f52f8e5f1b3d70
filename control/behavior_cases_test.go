package control_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"wheatlane/control"
	"wheatlane/control/idempotency"
	"wheatlane/control/units"
	"wheatlane/internal/config"
	"wheatlane/internal/loadfields"
)

// deployment holds the settings of a deployment and the layout of its engines' load reports.
type deployment struct {
	control.Settings
	loadReport loadfields.Layout
}

// siteSettings reads the settings of a broker of a deployment from testdata.
func siteSettings(tb testing.TB, name string) deployment {
	tb.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "settings", name+".json"))
	if err != nil {
		tb.Fatal(err)
	}
	settings, err := config.DecodeSettings(text)
	if err != nil {
		tb.Fatal(err)
	}
	return deployment{settings.Control, settings.LoadReport}
}

// randomSettings returns settings in which every option of a deployment is drawn at random.
func randomSettings(seed uint64) deployment {
	rng := rand.New(rand.NewPCG(seed, 7))
	flip := func() bool { return rng.IntN(2) == 0 }
	s := deployment{Settings: control.Settings{
		Brokers: 1 + rng.IntN(4), Zone: "a", MinBatchInterval: 5 * millisecond, MaxGrantFraction: 0.4,
		MemoryGrants: flip(), Priorities: flip(), EnginesReportCost: flip(), WeightScalesWithWork: flip(),
		WatchEndpointList: flip(),
		EngineKinds:       map[string]control.EngineKind{"std": {Cores: 8, MemoryMB: 16384}, "big": {Cores: 16}},
		Limits: control.Limits{
			MaxAttempts: 1 + rng.IntN(5), RetryAfter: flip(), MaxRetryAfter: time.Second,
			Cancellation: flip(), Hedging: flip(), LoadProbes: flip(), Gossip: flip(),
		},
		Rules: control.Rules{
			MaxPollInterval: 10 * time.Second, SlowStartInitial: 0.4, SlowStartDuration: 14 * time.Second,
			OverloadMultiple: 2, OverloadWindow: 2 * time.Second, KeyCooldown: 300 * millisecond,
		},
	}}
	if flip() { // so many brokers that engines are pooled
		s.Brokers = 40 + rng.IntN(300)
	}
	s.BrokerIndex = rng.IntN(s.Brokers)
	if flip() {
		s.ProgressInterval = time.Second
	}
	if flip() {
		s.EnginesReportLoad, s.loadReport = true, loadfields.Layout{"util", "inflight", "queue"}
	}
	if flip() {
		s.MaxSendDelay = 40 * millisecond
	}
	if flip() {
		s.Tenants = []control.Tenant{
			{Name: "t0", Share: 0.75, Quota: 60}, {Name: "t1", Share: 0.25, Quota: 20}, {Name: "t2"},
		}
	}
	if flip() {
		s.Rules.RetryBudgetWindow, s.Rules.RetryBudgetRatio, s.Rules.RetryBudgetReserve = 5*time.Second, 0.1, 2
	}
	for i := range 2 + rng.IntN(3) {
		s.Classes = append(s.Classes, randomClass(rng, fmt.Sprint("class-", i)))
	}
	return s
}

func randomClass(rng *rand.Rand, name string) control.Class {
	flip := func() bool { return rng.IntN(2) == 0 }
	class := control.Class{
		Name: name, LatencyObjective: time.Duration(200+rng.IntN(1500)) * millisecond,
		ObjectivePerWork: 2 * rng.Float64(), PriorityWeight: 1 + 10*rng.Float64(),
		LateWeight: units.Fraction(rng.IntN(2)) * 0.4,
		Idempotency: idempotency.Policy{
			Kind: idempotency.Kind(rng.IntN(3)), DedupScope: idempotency.Scope(rng.IntN(3)),
			DedupWindow: time.Duration(1+rng.IntN(4)) * time.Second,
		},
		Ordered: flip(), Threads: rng.IntN(4), HoldsDataSetLock: flip(), BlockedByDataSetLock: flip(),
	}
	if rng.IntN(5) == 0 {
		class.AllowedZones = []string{"b"}
	}
	if rng.IntN(5) == 0 {
		class.AllowedKinds = []string{"std"}
	}
	if flip() {
		class.ClientTimeout = class.LatencyObjective * time.Duration(2+rng.IntN(5))
	}
	if rng.IntN(6) == 0 {
		class.LatencyObjective = 0
	}
	return class
}

type recordedCase struct {
	name     string
	settings func(tb testing.TB) deployment
	engines  int
	seeds    uint64 // number of simulated clusters, each with its own seed
	length   time.Duration
	want     string // recorded hash
	lossy    bool   // engines lose many responses and have frequent faults
}

func siteDeployment(name string, change func(s *control.Settings)) func(testing.TB) deployment {
	return func(tb testing.TB) deployment {
		tb.Helper()
		s := siteSettings(tb, name)
		if change != nil {
			change(&s.Settings)
		}
		return s
	}
}

func randomDeployment(seed uint64) func(testing.TB) deployment {
	return func(testing.TB) deployment { return randomSettings(seed) }
}

// withBrokers returns a change that sets the number of brokers, so that the site's engines are pooled.
func withBrokers(brokers int) func(*control.Settings) {
	return func(s *control.Settings) { s.Brokers, s.BrokerIndex = brokers, brokers/3 }
}

func recordedCases() []recordedCase {
	cases := []recordedCase{
		{
			name: "reykjavik", settings: siteDeployment("reykjavik", nil), engines: 7, seeds: 3,
			length: 80 * time.Second, want: "e9fffaf37798661d310f4da0cf0e1cd6df3764025ed2c7acfef514f26c562795",
		},
		{
			name: "hobart", settings: siteDeployment("hobart", nil), engines: 7, seeds: 3,
			length: 80 * time.Second, want: "a95eb48975b4aa485b3c44c2fede7f565f7678b06b7d0b4e6b70419f426ac5b8",
		},
		{
			name: "ledger", settings: siteDeployment("ledger", nil), engines: 7, seeds: 3,
			length: 80 * time.Second, want: "5a2dc4c7d00019b7e7301d9089a7a762a080522d0685fce88182184e4e901e79",
		},
		{
			name: "shortline", settings: siteDeployment("shortline", nil), engines: 7, seeds: 3,
			length: 80 * time.Second, want: "58d716870e5a9893223a3964db2c5d7d7450d2ec0bec407b39f23d9d241003f6",
		},
		{
			name: "a fleet of 40 at reykjavik", settings: siteDeployment("reykjavik", withBrokers(40)), engines: 40, seeds: 2,
			length: 60 * time.Second, want: "688216791516f22d064556b9466cf7ce8cc5bae95badfedd4bfdbed2e04ec737",
		},
		{
			name: "a fleet of 200 at hobart", settings: siteDeployment("hobart", withBrokers(200)), engines: 60, seeds: 2,
			length: 60 * time.Second, want: "f6458ed89c07a303944ffcae57602969848afe470d4266a334fa619105a47996",
		},
		{
			name: "reykjavik, losing responses", settings: siteDeployment("reykjavik", nil), engines: 7, seeds: 2,
			length: 60 * time.Second, want: "dd87c1db925b09890cfba5cf3f2b67cd1ab60e35b822da23381a6cc103892589", lossy: true,
		},
		{
			name: "hobart, losing responses", settings: siteDeployment("hobart", nil), engines: 7, seeds: 2,
			length: 60 * time.Second, want: "33df4e9ddf97842d9ca7ffae657a71cc0bab2044fda401f6d7d2040496a71fba", lossy: true,
		},
		{
			name: "shortline, losing responses", settings: siteDeployment("shortline", nil), engines: 7, seeds: 2,
			length: 60 * time.Second, want: "376535d21828befae9147a152efff4a27ca4e1e5d86b7db4e139cea5a6d3fc45", lossy: true,
		},
		{
			name:     "a fleet of 40 at ledger, losing responses",
			settings: siteDeployment("ledger", withBrokers(40)), engines: 40, seeds: 2,
			length: 60 * time.Second, want: "07b919df4704596fbd65582047cc3b6429ca841fbd6d4d4cff2dab9cff8f100b", lossy: true,
		},
	}
	cases = slices.Grow(cases, len(randomSettingsHashes))
	for seed := range uint64(len(randomSettingsHashes)) {
		engines := 4 + 2*int(seed%5)
		if randomSettings(seed).Brokers > 4 {
			engines = 70
		}
		cases = append(cases, recordedCase{
			name: fmt.Sprint("random settings ", seed), settings: randomDeployment(seed), engines: engines, seeds: 1,
			length: 60 * time.Second, want: randomSettingsHashes[seed],
		})
	}
	return cases
}

// randomSettingsHashes holds the recorded hashes of the random settings, by seed.
var randomSettingsHashes = [...]string{
	"b3f57a016ee24a60d62c89dc560fb9a1823da5feaed8f192b2f8f6c598701c48",
	"eb0b83d2552b1edaaaf8cbfc3d7b54ff97ce24a79d711cdd75d914c53bac08ce",
	"588eec5f546f66158a4f4205280eb97db1003b0a1c2aa5f40cc8bba732b6bff0",
	"094e80b115fd5c77a69682f19ded775ce22572f1a4c9050f995e55e4ea5d0eb8",
	"7d4283068c4bc3b513b3fca6c8fe54a49877f6260689711985d9eb54889af921",
	"7d3a1ab3be2b10b70ab41b00d28fa21facf86703e251c02d2f97010da7efc2f2",
	"715db672ca9da131ec3d09cd286c21341a866a520b457568f569a3638ba8110f",
	"81f22215cb83e2aa5b1748a77ea3ff7525d221366ceb8e3aa166300ba11dd737",
	"62d0e893bf3422e65789f6a53679fc8749b34e6df6b12e7341d964ae7e735207",
	"b49335fb25c17751cb519c98606e1daa2609c8abcfac4c1fa9618343aa7e360a",
	"42b39610e2c3d19ae16a4d1146815640321754ee3a434a1a68d3f8a3a47d172f",
	"4f4ad4acaf48f5d34d4ada0f382bc6480b64fb468076143906ef74e543e89791",
	"f270f95a0ca624a9b9cabe723860e163d6914d426e5eb516d643df901e5a6408",
	"c3f80e3c63242315976a7bdfc374548ae88c0c9dcded7421eca687a40c41a5a6",
	"1785691f6d7d589960f47a811f42eb43e3d5ab5320a844117eef00ed14220fdc",
	"cd8f3c0b8fc0730bca60ea6bec68f2ec08ce1bf55a40636c746ccd92a2330e2a",
	"00074d8d82686977fd5a23257e3616c066cd5c2d18cd4a79654684dcf8ab47bc",
	"b5fbffa9b83b969a41ac7eae4aa77ce4a6d3790b8312f9518320aebbde3f5480",
	"a3b36c675b68d2206f092d152867f7bdf8868fa787c0e77221f7bdc15558f224",
	"c02baac017aaea87c8b76e35e1ca0b6bd3adbaa86738821c73f6847b077f44e3",
	"aaf8cd6ecaa3e052e1940685744762da1ba49bd44ddd5781dbf68f03185f06a7",
	"245635e7668716492ac664bd4c7343fd8751e154323439c84151e0093be49f9d",
	"be16a499e5c350942a69cc078a67846e2b0923106b10abc9789ecb08e86ae229",
	"73fd3c9a447d2948e4a460662ef6f423e6a0818bb9975ca8f6a79c9de93bfbc5",
}
