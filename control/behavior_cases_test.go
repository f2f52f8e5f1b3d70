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
			length: 80 * time.Second, want: "ef714458996dc43ca4be7be9f39f858d5f918f0753c1d1ba060da8b3015f2de7",
		},
		{
			name: "hobart", settings: siteDeployment("hobart", nil), engines: 7, seeds: 3,
			length: 80 * time.Second, want: "5573b134a1751671ecfdd9df1cc78da185787ff56f929c48cf4c91040c3de656",
		},
		{
			name: "ledger", settings: siteDeployment("ledger", nil), engines: 7, seeds: 3,
			length: 80 * time.Second, want: "b3cab04bec4de7a858dcb218dbf2bafca1f64143cb9f6e6bf70417ec7210a629",
		},
		{
			name: "shortline", settings: siteDeployment("shortline", nil), engines: 7, seeds: 3,
			length: 80 * time.Second, want: "9b49d398d7185008df9e09706fdf303a9ece6b09f81e8c00a08fee48e534b3d1",
		},
		{
			name: "a fleet of 40 at reykjavik", settings: siteDeployment("reykjavik", withBrokers(40)), engines: 40, seeds: 2,
			length: 60 * time.Second, want: "c6200b5b40d4eacf4556788df3e4251aa507b960135c4f61de15c6e08e4040ff",
		},
		{
			name: "a fleet of 200 at hobart", settings: siteDeployment("hobart", withBrokers(200)), engines: 60, seeds: 2,
			length: 60 * time.Second, want: "a32083e2c39f08245fca2485d055b7357f0bf8a3af53242003b16d5c80bd28c9",
		},
		{
			name: "reykjavik, losing responses", settings: siteDeployment("reykjavik", nil), engines: 7, seeds: 2,
			length: 60 * time.Second, want: "bbd412f85ab0d17d0ff480c57ea77a1c006679fc11af4017b03f1617ad801226", lossy: true,
		},
		{
			name: "hobart, losing responses", settings: siteDeployment("hobart", nil), engines: 7, seeds: 2,
			length: 60 * time.Second, want: "a25b8054a1727196f5cfb253291b1d5eae6c02bfa8e66b10c8c4eca269186a7a", lossy: true,
		},
		{
			name: "shortline, losing responses", settings: siteDeployment("shortline", nil), engines: 7, seeds: 2,
			length: 60 * time.Second, want: "bff4ce9299fa9c0d2d5a054b2327363961864f0c4b358e77b466fcddb88ed5c4", lossy: true,
		},
		{
			name:     "a fleet of 40 at ledger, losing responses",
			settings: siteDeployment("ledger", withBrokers(40)), engines: 40, seeds: 2,
			length: 60 * time.Second, want: "e58139c2da7729032c6e457f9a6c6a152f6511190d822b60f08e96af00338a64", lossy: true,
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
	"0960ef88e15a3a42c572a95cfeafc6fb751e42637c8d12fd74f56791ee27c14a",
	"82e3ca594438db95501159bff699148f863828769a64ccd37afa487f1a8dffd6",
	"0f48b5769a4e7509159ddb3acf77c814b405a47afae09bbde32391db54e02a8b",
	"094e80b115fd5c77a69682f19ded775ce22572f1a4c9050f995e55e4ea5d0eb8",
	"497670a2b3c9e7026e25dec721cc2e6791dc9c97001c49b0dc2a5fee17408cbc",
	"de9cf547ce5a1658a51d94915c8210e14fa3944a960d39e9d1a39cacdb4a5a7b",
	"cc1c120227ed72fdf1fe760c3717ead6f26d68ff769efd5fa073600ffc4f0500",
	"81f22215cb83e2aa5b1748a77ea3ff7525d221366ceb8e3aa166300ba11dd737",
	"62d0e893bf3422e65789f6a53679fc8749b34e6df6b12e7341d964ae7e735207",
	"b49335fb25c17751cb519c98606e1daa2609c8abcfac4c1fa9618343aa7e360a",
	"e36499260182f62ac0e3baa1f33569ed2ed5da9f38ab4ae2ac02e2a7787343fc",
	"b64b6163ee3d15858096a06edf213d4ed4e05907570de915373a3356d526367d",
	"0dd6111342d6deb7503a1480d64aea82a035dc39dcb988e0b13eabf7308fc41a",
	"7c09121a3c893980421b2e0f210126e9c3ad45e107c5436ffd0921936c10da66",
	"d34d0e983e69c7d3c9e7b42b8a122ea4e77fd0543094e0aed4b57ce4d6882ecd",
	"cd8f3c0b8fc0730bca60ea6bec68f2ec08ce1bf55a40636c746ccd92a2330e2a",
	"f6ac70dcc5fb3b72a5807a5f342ca35ce2f65b4e4d65fd9445b0f32f0c648634",
	"74f18289cf8ec77158b8b56cebb57ab6461a7fc110adfd7da9e9e5a0b13b8ad9",
	"a3b36c675b68d2206f092d152867f7bdf8868fa787c0e77221f7bdc15558f224",
	"c02baac017aaea87c8b76e35e1ca0b6bd3adbaa86738821c73f6847b077f44e3",
	"2b7cd6c5710c69da685293e683fc29748407eb57a088e35eddc560ca47395fe2",
	"4b15536a14d7e58576663bbb36a179246cc7b995ac89d811dd1d044e1940c475",
	"5a579d7b1affc1b9e79313c4b47059987e14f7603a16803e0b481a0f887547ec",
	"fe4df32194f6c65fb0755a3eafe85f5e9f4398ad6e1e9df32ce7340069dadd7a",
}
