package faultinjection

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"wheatlane/internal/check"
)

// Faults returns all kinds of fault. A fault may violate further checks, but the check of its Code finds it at the path
// that Inject returns.
func Faults() []Fault {
	return slices.Concat(ruleFaults(), domainListFaults(), formatFaults())
}

// ruleFaults returns the faults that package rules finds.
func ruleFaults() []Fault {
	return []Fault{
		{"R101", check.PlatformFile, injectObjectiveBeyondTimeout},
		set("R102", 9, "settings", "Limits", "MaxAttempts"),
		{"R103", check.PlatformFile, injectMissingDedupWindow},
		{"R104", check.PlatformFile, injectOrderedAndRepeatable},
		{"R105", check.PlatformFile, injectSumOfShares},
		setInItem("R106", 0, "Share", tenantsPath...),
		duplicateItem(check.PlatformFile, "R107", "Name", classesPath...),
		duplicateItem(check.PlatformFile, "R108", "Name", tenantsPath...),
		set("R109", 1.5, "settings", "Rules", "ColdFrom"),
		set("R109", 0, "settings", "Rules", "ColdFrom"),
		set("R110", 4, "settings", "Rules", "FallMultiple"),
		set("R110", 0.5, "settings", "Rules", "FallMultiple"),
		set("R111", 0, "settings", "Rules", "WarmAfterNs"),
		set("R113", []any{8, 8, 8}, "settings", "Domain", "SizeCores"),
		set("R113", []any{}, "settings", "Domain", "KindMemoryMb"),
		{"R115", check.PlatformFile, injectUnknownAllowedKind},
		setInItem("R116", 3, "LateWorth", classesPath...),
		setInItem("R117", 0, "Worth", classesPath...),
		{"R118", check.PlatformFile, injectIndexBeyondPeers},
		set("R119", nanoseconds(10*time.Minute), "settings", "Limits", "MaxRetryAfterNs"),
		set("R120", "0.0.0.0:6565", "listen"),
		set("R120", "[::]:6565", "listen"),
		{"R121", check.PlatformFile, injectOwnAddressAsChangelog},
		{"R122", check.PlatformFile, injectTooFewSockets},
		{"R123", check.PlatformFile, injectTooLittleMemory},
		set("R124", nanoseconds(3*time.Second), "settings", "RoundNs"),
		duplicateItem(check.PlatformFile, "R125", "dial", hostsPath...),
		setInItem("R126", "huge", "class", hostsPath...),
		set("R127", false, "known", "results", "0", "fleet", "whole"),
		{"R128", check.PlatformFile, injectUnorderedEvent},
		set("R129", 99, "known", "seq"),
		duplicateItem(check.OperatorFile, "R201", "address", "telemetry", "graphite"),
		duplicateItem(check.OperatorFile, "R201", "address", "telemetry", "collectd"),
		{"R202", check.OperatorFile, injectLargeBudget},
		setInOperator("R203", 1, "telemetry", "names", "idle_s"),
		setInItemOf(check.OperatorFile, "R204", "10.0.0.9:25826", "address", "telemetry", "collectd"),
		setInItemOf(check.OperatorFile, "R205", "chart", "user", "telemetry", "collectd"),
	}
}

func injectObjectiveBeyondTimeout(rng *rand.Rand, doc map[string]any) []string {
	class := randomItem(rng, doc, classesPath...)
	timeout, _ := valueAt(doc, extend(class, "GiveUpNs")...).(int64)
	return setAt(doc, timeout+1, extend(class, "PromiseNs")...)
}

func injectMissingDedupWindow(rng *rand.Rand, doc map[string]any) []string {
	class := randomItem(rng, doc, classesPath...)
	setAt(doc, "by_key", extend(class, "Effect")...)
	return setAt(doc, 0, extend(class, "WindowNs")...)
}

func injectOrderedAndRepeatable(rng *rand.Rand, doc map[string]any) []string {
	class := randomItem(rng, doc, classesPath...)
	setAt(doc, "repeatable", extend(class, "Effect")...)
	return setAt(doc, true, extend(class, "ByArrival")...)
}

func injectSumOfShares(rng *rand.Rand, doc map[string]any) []string {
	path := extend(randomItem(rng, doc, tenantsPath...), "Share")
	share, _ := valueAt(doc, path...).(float64)
	setAt(doc, share+0.1, path...)
	return tenantsPath
}

func injectUnknownAllowedKind(rng *rand.Rand, doc map[string]any) []string {
	path := extend(randomItem(rng, doc, classesPath...), "AllowedOn")
	setAt(doc, []any{"huge"}, path...)
	return extend(path, "0")
}

func injectIndexBeyondPeers(_ *rand.Rand, doc map[string]any) []string {
	return setAt(doc, valueAt(doc, "settings", "PeersTotal"), "settings", "Position")
}

func injectOwnAddressAsChangelog(_ *rand.Rand, doc map[string]any) []string {
	return setAt(doc, doc["listen"], "changelog")
}

func injectTooFewSockets(rng *rand.Rand, doc map[string]any) []string {
	const addedEngines = 10
	hosts := listAt(doc, hostsPath...)
	for i := range addedEngines {
		hosts = append(hosts, object{
			"host":   fmt.Sprint("more-", i),
			"dial":   fmt.Sprintf("10.1.1.%d:6565", i+1),
			"class":  "std-8core",
			"health": "in_service",
		})
	}
	setAt(doc, hosts, hostsPath...)
	return setAt(doc, 64+rng.IntN(100), "limits", "sockets")
}

func injectTooLittleMemory(_ *rand.Rand, doc map[string]any) []string {
	setAt(doc, 4096, "limits", "sockets")
	return setAt(doc, 32, "limits", "memory_mb")
}

func injectUnorderedEvent(_ *rand.Rand, doc map[string]any) []string {
	events := listAt(doc, "known", "results")
	setAt(doc, append(events, object{"seq": 1}), "known", "results")
	return []string{"known", "results", strconv.Itoa(len(events)), "seq"}
}

func injectLargeBudget(_ *rand.Rand, doc map[string]any) []string {
	last := len(listAt(doc, "telemetry", "collectd")) - 1
	return setAt(doc, 65536, "telemetry", "collectd", strconv.Itoa(last), "budget_kb")
}

// domainListFaults returns faults in the lists of the domain that are indexed by class.
func domainListFaults() []Fault {
	var faults []Fault
	for _, key := range classLists {
		path := extend(domainPath, key)
		appendValue := func(_ *rand.Rand, doc map[string]any) []string {
			values := listAt(doc, path...)
			return setAt(doc, append(values, values[0]), path...)
		}
		faults = append(faults, Fault{"R112", check.PlatformFile, appendValue})
	}
	threads := extend(domainPath, "WidthByClass")
	setThreads := func(rng *rand.Rand, doc map[string]any) []string {
		return setAt(doc, 64, randomItem(rng, doc, threads...)...)
	}
	return append(faults, Fault{"R114", check.PlatformFile, setThreads})
}
