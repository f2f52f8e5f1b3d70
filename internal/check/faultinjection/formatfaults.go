package faultinjection

import (
	"math/rand/v2"
	"slices"

	"wheatlane/internal/check"
)

// formatFaults returns the faults that package fileformat finds: types, bounds, keys and addresses.
func formatFaults() []Fault {
	return slices.Concat(
		typeFaults(), rangeFaults(), keyFaults(), destinationFaults(), missingKeyFaults(),
	)
}

// typeFaults returns faults that set values of a wrong type.
func typeFaults() []Fault {
	var faults []Fault
	wrongValues := []any{"text", true, object{"a": 1}, []any{}}
	for _, path := range [][]string{
		{"limits", "memory_mb"},
		{"limits", "sockets"},
		{"settings", "PeersTotal"},
		{"settings", "RoundNs"},
		{"settings", "Limits", "MaxAttempts"},
		{"settings", "Rules", "ColdFrom"},
		{"settings", "Rules", "FallMultiple"},
	} {
		inject := func(rng *rand.Rand, doc map[string]any) []string {
			return setAt(doc, wrongValues[rng.IntN(len(wrongValues))], path...)
		}
		faults = append(faults, Fault{"F004", check.PlatformFile, inject})
	}
	numbers := []string{"PromiseNs", "GiveUpNs", "Worth", "LateWorth", "AimStretch", "WindowNs"}
	for _, key := range numbers {
		faults = append(faults, setInItem("F004", "soon", key, classesPath...))
	}
	for _, key := range []string{"Name", "Effect"} {
		faults = append(faults, setInItem("F004", 7, key, classesPath...))
	}
	return append(faults,
		setInItem("F004", "half", "Share", tenantsPath...),
		set("F004", object{}, "settings", "RequestClasses"),
		set("F004", nil, "settings"),
		set("F004", 12, "listen"),
		setInOperator("F004", "10s", "telemetry", "interval_ms"),
		setInOperator("F004", []any{}, "telemetry", "names"),
		setInOperator("F004", 1.5, "telemetry", "names", "tenants"),
	)
}

// rangeFaults returns faults that set values out of bounds.
func rangeFaults() []Fault {
	return []Fault{
		set("F005", 8, "limits", "memory_mb"),
		set("F005", 3, "limits", "sockets"),
		set("F005", "xyz", "seed"),
		set("F005", -5, "settings", "RoundNs"),
		set("F005", -1, "settings", "Limits", "MaxAttempts"),
		setInItem("F005", "twice", "Effect", classesPath...),
		setInItem("F005", -1, "PromiseNs", classesPath...),
		setInOperator("F005", 5, "telemetry", "interval_ms"),
		setInOperator("F005", 100_000, "telemetry", "names", "tenants"),
	}
}

// keyFaults returns faults that add unknown keys or keys similar to known ones, or that set invalid addresses.
func keyFaults() []Fault {
	return []Fault{
		setInOperator("F003", 1, "telemetry", "names", "tenantz"),
		setInOperator("F003", object{}, "telemetery"),
		{"F008", check.PlatformFile, func(_ *rand.Rand, doc map[string]any) []string {
			delete(objectAt(doc, "settings", "Limits"), "MaxAttempts")
			return setAt(doc, 1, "settings", "Limits", "MaxAttempt_")
		}},
		setInItem("F008", 1, "AllowdIn", classesPath...),
		set("F008", 1, "settings", "Zones"),
		set("F007", "broker:6565", "listen"),
		set("F007", "10.2.0.1", "changelog"),
	}
}

// destinationFaults returns faults in the destinations of metrics.
func destinationFaults() []Fault {
	return slices.Concat(
		faultsOfDestinations("telemetry", "graphite"),
		faultsOfDestinations("telemetry", "collectd"),
	)
}

func faultsOfDestinations(list ...string) []Fault {
	return []Fault{
		setInItemOf(check.OperatorFile, "F007", "carbon:2003", "address", list...),
		{"F006", check.OperatorFile, func(rng *rand.Rand, doc map[string]any) []string {
			destination := randomItem(rng, doc, list...)
			delete(objectAt(doc, destination...), "name")
			return extend(destination, "name")
		}},
		setInItemOf(check.OperatorFile, "F003", 1, "address_", list...),
		setInItemOf(check.OperatorFile, "F004", "512", "budget_kb", list...),
		setInItemOf(check.OperatorFile, "F005", "a.b", "name", list...),
	}
}

// missingKeyFaults returns faults that delete required keys.
func missingKeyFaults() []Fault {
	withoutKey := func(key string) Fault {
		return Fault{"F006", check.PlatformFile, func(_ *rand.Rand, doc map[string]any) []string {
			delete(doc, key)
			return []string{key}
		}}
	}
	return []Fault{withoutKey("listen"), withoutKey("changelog"), withoutKey("settings")}
}
