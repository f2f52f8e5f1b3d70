// Package faultinjection generates valid configurations and injects faults into them for tests of the checker. A seeded
// generator of random numbers determines all results. The package does no I/O.
package faultinjection

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"wheatlane/internal/check"
)

// object is a JSON object as encoding/json decodes it.
type object = map[string]any

// classNames lists the names of generated request classes.
var classNames = []string{"lookup", "route-report", "survey-load", "tide-table", "archive"}

const (
	maxTenants     = 5
	percent        = 100 // random shares and weights are whole percentages
	minTenantShare = 5   // minimum share of a tenant, in percent
	minLaterShare  = 5   // minimum total share of later tenants, in percent
	minToSplit     = 20  // percent; a smaller remainder is the share of a single tenant
)

// ValidConfig generates a valid configuration of a kind.
func ValidConfig(rng *rand.Rand, kind check.FileKind) map[string]any {
	if kind == check.OperatorFile {
		return OperatorConfig(rng)
	}
	return PlatformConfig(rng)
}

// oneIn returns true with a probability of 1/n.
func oneIn(rng *rand.Rand, n int) bool { return rng.IntN(n) == 0 }

// PlatformConfig generates a valid configuration in the platform's format.
func PlatformConfig(rng *rand.Rand) map[string]any {
	kinds := engineKinds(rng)
	cores, memory := make([]any, len(kinds)), make([]any, len(kinds))
	for i := range kinds {
		cores[i], memory[i] = 8*(i+1), 16384*(i+1)
	}
	classes, domain := requestClasses(rng, kinds)
	domain["SizeCores"], domain["KindMemoryMb"] = cores, memory
	tenants := tenantShares(rng)
	results := knownEvents(rng, kinds)
	peers := 1 + rng.IntN(8)
	return object{
		"name":      fmt.Sprint("n", rng.IntN(9)),
		"listen":    fmt.Sprintf("10.0.0.%d:6565", 1+rng.IntN(200)),
		"changelog": "10.2.0.1:4222",
		"seed":      strconv.FormatUint(rng.Uint64(), 16),
		"limits": object{
			"cores":     1.0,
			"memory_mb": 128 + rng.IntN(512),
			"sockets":   512 + rng.IntN(512),
		},
		"known": object{"seq": len(results), "results": results},
		"settings": object{
			"PeersTotal":     peers,
			"Position":       rng.IntN(peers),
			"RoundNs":        nanoseconds(5 * time.Millisecond),
			"MachineTypes":   kinds,
			"RequestClasses": classes,
			"Tenants":        tenants,
			"Domain":         domain,
			"Limits": object{
				"MaxAttempts":     1 + rng.IntN(4),
				"MaxRetryAfterNs": nanoseconds(500 * time.Millisecond),
				"RetryAfter":      true,
				"Cancel":          true,
			},
			"Rules": object{
				"ColdFrom":     0.33,
				"WarmAfterNs":  nanoseconds(15 * time.Second),
				"FallMultiple": 2.5,
				"FallNs":       nanoseconds(time.Second),
			},
		},
	}
}

func nanoseconds(d time.Duration) int64 { return d.Nanoseconds() }

func engineKinds(rng *rand.Rand) []any {
	kinds := []any{"std-8core"}
	if oneIn(rng, 2) {
		kinds = append(kinds, "big-16core")
	}
	return kinds
}

// requestClasses generates request classes and the lists of the domain that are indexed by class.
func requestClasses(rng *rand.Rand, kinds []any) (classes []any, domain object) {
	count := 1 + rng.IntN(len(classNames))
	classes = make([]any, count)
	threads, locks, blocked := make([]any, count), make([]any, count), make([]any, count)
	for i := range count {
		classes[i] = requestClass(rng, classNames[i], kinds)
		threads[i] = 1 + rng.IntN(8)
		locks[i] = oneIn(rng, 4)
		blocked[i] = oneIn(rng, 4)
	}
	return classes, object{"WidthByClass": threads, "ClassLoad": locks, "YieldsToLoads": blocked}
}

func requestClass(rng *rand.Rand, name string, kinds []any) object {
	objective := nanoseconds(time.Duration(100+rng.IntN(4000)) * time.Millisecond)
	class := object{
		"Name":       name,
		"Effect":     "repeatable",
		"PromiseNs":  objective,
		"GiveUpNs":   objective * int64(2+rng.IntN(6)),
		"Worth":      1 + rng.IntN(20),
		"LateWorth":  float64(rng.IntN(60)) / percent,
		"AimStretch": float64(rng.IntN(30)) / 10,
	}
	if oneIn(rng, 3) {
		class["Effect"] = "by_key"
		class["WindowNs"] = nanoseconds(15 * time.Second)
		class["ByArrival"] = true
	}
	if oneIn(rng, 4) {
		class["AllowedOn"] = []any{kinds[rng.IntN(len(kinds))]}
	}
	return class
}

// tenantShares generates tenants with shares that sum to 1.
func tenantShares(rng *rand.Rand) []any {
	var shares []int
	remaining := percent
	for i := range 1 + rng.IntN(maxTenants) {
		share := remaining
		if i < maxTenants-1 && remaining > minToSplit {
			share = minTenantShare + rng.IntN(remaining-minTenantShare-minLaterShare)
		}
		shares = append(shares, share)
		remaining -= share
		if remaining == 0 {
			break
		}
	}
	shares[len(shares)-1] += remaining
	tenants := make([]any, len(shares))
	for i, share := range shares {
		tenants[i] = object{"Name": fmt.Sprint("tenant-", i), "Share": float64(share) / percent}
	}
	return tenants
}

// knownEvents generates events of the change log. The first one is a snapshot of the endpoint list.
func knownEvents(rng *rand.Rand, kinds []any) []any {
	hosts := make([]any, 1+rng.IntN(10))
	for i := range hosts {
		hosts[i] = object{
			"host":    fmt.Sprintf("s-%08x", i+1),
			"dial":    fmt.Sprintf("10.1.0.%d:6565", i+1),
			"site":    "east",
			"class":   kinds[rng.IntN(len(kinds))],
			"health":  "in_service",
			"born_ms": 0,
			"share":   4,
			"block":   0,
		}
	}
	results := make([]any, 1+rng.IntN(3))
	results[0] = knownEvent(1, true, hosts)
	for i := range results[1:] {
		results[1+i] = knownEvent(2+i, false, []any{})
	}
	return results
}

func knownEvent(revision int, snapshot bool, hosts []any) object {
	return object{"seq": revision, "fleet": object{"seq": revision, "whole": snapshot, "hosts": hosts}}
}

// OperatorConfig generates a valid operator's configuration.
func OperatorConfig(rng *rand.Rand) map[string]any {
	graphite := make([]any, 1+rng.IntN(3))
	for i := range graphite {
		graphite[i] = object{
			"name":      fmt.Sprint("g", i),
			"address":   fmt.Sprintf("10.0.1.%d:2003", i+1),
			"budget_kb": 64 + rng.IntN(1000),
			"protocol":  []string{"plaintext", "pickle"}[rng.IntN(2)],
			"tags":      oneIn(rng, 2),
		}
	}
	collectd := make([]any, 1+rng.IntN(2))
	for i := range collectd {
		collectd[i] = object{
			"name":      fmt.Sprint("c", i),
			"address":   fmt.Sprintf("127.0.0.%d:25826", i+1),
			"budget_kb": 64 + rng.IntN(1000),
		}
	}
	return object{"telemetry": object{
		"interval_ms": 1000 * (1 + rng.IntN(20)),
		"graphite":    graphite,
		"collectd":    collectd,
		"names":       object{"tenants": 1 + rng.IntN(100), "idle_s": 60 + rng.IntN(600)},
	}}
}

// Marshal encodes a configuration as indented JSON.
func Marshal(doc map[string]any) ([]byte, error) {
	text, err := json.MarshalIndent(doc, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("encode generated configuration: %w", err)
	}
	return append(text, '\n'), nil
}
