// Package plant makes valid configurations and plants faults in them, all drawn from a seed: what the checker is tried
// with. It does no I/O.
package faultinjection

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"

	"wheatlane/internal/check"
)

type object = map[string]any

// Platform makes a valid file of the platform's.
func Platform(rng *rand.Rand) object {
	kinds := []any{"std-8core"}
	if rng.IntN(2) == 0 {
		kinds = append(kinds, "big-16core")
	}
	cores, memory := []any{}, []any{}
	for i := range kinds {
		cores, memory = append(cores, 8*(i+1)), append(memory, 16384*(i+1))
	}
	names := []string{"lookup", "route-report", "survey-load", "tide-table", "archive"}
	classes, widths, loads, yields := []any{}, []any{}, []any{}, []any{}
	for i := range 1 + rng.IntN(len(names)) {
		aim := int64(100+rng.IntN(4000)) * 1e6
		c := object{"Name": names[i], "Effect": "repeatable", "PromiseNs": aim, "GiveUpNs": aim * int64(2+rng.IntN(6)),
			"Worth": 1 + rng.IntN(20), "LateWorth": float64(rng.IntN(60)) / 100, "AimStretch": float64(rng.IntN(30)) / 10}
		if rng.IntN(3) == 0 {
			c["Effect"], c["WindowNs"], c["ByArrival"] = "by_key", int64(15e9), true
		}
		if rng.IntN(4) == 0 {
			c["AllowedOn"] = []any{kinds[rng.IntN(len(kinds))]}
		}
		classes = append(classes, c)
		widths, loads, yields = append(widths, 1+rng.IntN(8)), append(loads, rng.IntN(4) == 0), append(yields, rng.IntN(4) == 0)
	}
	tenants, left := []any{}, 100
	for i := range 1 + rng.IntN(5) {
		share := left
		if i < 4 && left > 20 {
			share = 5 + rng.IntN(left-10)
		}
		tenants = append(tenants, object{"Name": fmt.Sprint("tenant-", i), "Share": float64(share) / 100})
		left -= share
		if left == 0 {
			break
		}
	}
	if left > 0 {
		last := tenants[len(tenants)-1].(object)
		last["Share"] = (last["Share"].(float64)*100 + float64(left)) / 100
	}
	hosts := []any{}
	for i := range 1 + rng.IntN(10) {
		hosts = append(hosts, object{"host": fmt.Sprintf("s-%08x", i+1), "dial": fmt.Sprintf("10.1.0.%d:6565", i+1), "site": "east",
			"class": kinds[rng.IntN(len(kinds))], "health": "in_service", "born_ms": 0, "share": 4, "block": 0})
	}
	results := []any{object{"seq": 1, "fleet": object{"seq": 1, "whole": true, "hosts": hosts}}}
	for seq := range rng.IntN(3) {
		results = append(results, object{"seq": seq + 2, "fleet": object{"seq": seq + 2, "whole": false, "hosts": []any{}}})
	}
	peers := 1 + rng.IntN(8)
	return object{"name": fmt.Sprint("n", rng.IntN(9)), "listen": fmt.Sprintf("10.0.0.%d:6565", 1+rng.IntN(200)), "changelog": "10.2.0.1:4222",
		"seed": strconv.FormatUint(rng.Uint64(), 16), "limits": object{"cores": 1.0, "memory_mb": 128 + rng.IntN(512), "sockets": 512 + rng.IntN(512)},
		"known": object{"seq": len(results), "results": results},
		"settings": object{"PeersTotal": peers, "Position": rng.IntN(peers), "RoundNs": int64(5e6), "MachineTypes": kinds,
			"RequestClasses": classes, "Tenants": tenants,
			"Domain": object{"WidthByClass": widths, "ClassLoad": loads, "YieldsToLoads": yields, "SizeCores": cores, "KindMemoryMb": memory},
			"Limits": object{"MaxAttempts": 1 + rng.IntN(4), "MaxRetryAfterNs": int64(5e8), "RetryAfter": true, "Cancel": true},
			"Rules":  object{"ColdFrom": 0.33, "WarmAfterNs": int64(15e9), "FallMultiple": 2.5, "FallNs": int64(1e9)}}}
}

// Operator makes a valid file of the operator's.
func Operator(rng *rand.Rand) object {
	graphite, collectd := []any{}, []any{}
	for i := range 1 + rng.IntN(3) {
		graphite = append(graphite, object{"name": fmt.Sprint("g", i), "address": fmt.Sprintf("10.0.1.%d:2003", i+1), "budget_kb": 64 + rng.IntN(1000),
			"protocol": []string{"plaintext", "pickle"}[rng.IntN(2)], "tags": rng.IntN(2) == 0})
	}
	for i := range 1 + rng.IntN(2) {
		collectd = append(collectd, object{"name": fmt.Sprint("c", i), "address": fmt.Sprintf("127.0.0.%d:25826", i+1), "budget_kb": 64 + rng.IntN(1000)})
	}
	return object{"telemetry": object{"interval_ms": 1000 * (1 + rng.IntN(20)), "graphite": graphite, "collectd": collectd,
		"names": object{"tenants": 1 + rng.IntN(100), "idle_s": 60 + rng.IntN(600)}}}
}

// Text is a file as it is written.
func Text(doc object) ([]byte, error) {
	text, err := json.MarshalIndent(doc, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("plant: %w", err)
	}
	return append(text, '\n'), nil
}

// Fault is one kind of fault that can be planted.
type Fault struct {
	Code string
	Kind check.Kind
	// Plant puts the fault into a valid file and returns where the checker must find it.
	Plant func(rng *rand.Rand, doc object) []string
}

// get is a value below a document.
func get(doc any, path ...string) any {
	for _, key := range path {
		switch v := doc.(type) {
		case object:
			doc = v[key]
		case []any:
			i, _ := strconv.Atoi(key) // paths are made here
			doc = v[i]
		}
	}
	return doc
}

// set changes a value below a document and returns its path.
func set(doc object, v any, path ...string) []string {
	last := len(path) - 1
	switch in := get(doc, path[:last]...).(type) {
	case object:
		in[path[last]] = v
	case []any:
		i, _ := strconv.Atoi(path[last]) // see above
		in[i] = v
	}
	return path
}

// some is the path of an item of a list, drawn at random.
func some(rng *rand.Rand, doc object, list ...string) []string {
	n := len(get(doc, list...).([]any))
	return append(slices.Clone(list), strconv.Itoa(rng.IntN(n)))
}

func below(path []string, key ...string) []string { return append(slices.Clone(path), key...) }

var (
	classes = []string{"settings", "RequestClasses"}
	tenants = []string{"settings", "Tenants"}
	hosts   = []string{"known", "results", "0", "fleet", "hosts"}
	domain  = []string{"settings", "Domain"}
)

// value plants one value in an item of a list.
func value(code string, v any, key string, list ...string) Fault {
	return Fault{code, check.Platform, func(rng *rand.Rand, doc object) []string {
		return set(doc, v, below(some(rng, doc, list...), key)...)
	}}
}

// at plants one value at a place.
func at(code string, kind check.Kind, v any, path ...string) Fault {
	return Fault{code, kind, func(_ *rand.Rand, doc object) []string { return set(doc, v, path...) }}
}

// again gives the last item of a list the value of another's key; where there is one only it comes twice.
func again(code string, kind check.Kind, key string, list ...string) Fault {
	return Fault{code, kind, func(rng *rand.Rand, doc object) []string {
		all := get(doc, list...).([]any)
		copied := maps.Clone(all[rng.IntN(len(all))].(object))
		for k, v := range (object{"host": "s-ffffffff", "name": "copy"}) {
			if _, there := copied[k]; there && k != key {
				copied[k] = v
			}
		}
		set(doc, append(all, copied), list...)
		if list[len(list)-1] == "RequestClasses" { // lists by class stay as long
			for _, by := range []string{"WidthByClass", "ClassLoad", "YieldsToLoads"} {
				l := get(doc, below(domain, by)...).([]any)
				set(doc, append(l, l[0]), below(domain, by)...)
			}
		}
		return below(list, strconv.Itoa(len(all)), key)
	}}
}

// Faults are the kinds of fault. Each breaks no check but its own, or names the place of its own all the same.
func Faults() []Fault {
	all := []Fault{
		{"R101", check.Platform, func(rng *rand.Rand, doc object) []string {
			c := some(rng, doc, classes...)
			return set(doc, get(doc, below(c, "GiveUpNs")...).(int64)+1, below(c, "PromiseNs")...)
		}},
		at("R102", check.Platform, 9, "settings", "Limits", "MaxAttempts"),
		{"R103", check.Platform, func(rng *rand.Rand, doc object) []string {
			c := some(rng, doc, classes...)
			set(doc, "by_key", below(c, "Effect")...)
			return set(doc, 0, below(c, "WindowNs")...)
		}},
		{"R104", check.Platform, func(rng *rand.Rand, doc object) []string {
			c := some(rng, doc, classes...)
			set(doc, "repeatable", below(c, "Effect")...)
			return set(doc, true, below(c, "ByArrival")...)
		}},
		{"R105", check.Platform, func(rng *rand.Rand, doc object) []string {
			t := below(some(rng, doc, tenants...), "Share")
			set(doc, get(doc, t...).(float64)+0.1, t...)
			return tenants
		}},
		value("R106", 0, "Share", tenants...),
		again("R107", check.Platform, "Name", classes...),
		again("R108", check.Platform, "Name", tenants...),
		at("R109", check.Platform, 1.5, "settings", "Rules", "ColdFrom"),
		at("R109", check.Platform, 0, "settings", "Rules", "ColdFrom"),
		at("R110", check.Platform, 4, "settings", "Rules", "FallMultiple"),
		at("R110", check.Platform, 0.5, "settings", "Rules", "FallMultiple"),
		at("R111", check.Platform, 0, "settings", "Rules", "WarmAfterNs"),
		at("R113", check.Platform, []any{8, 8, 8}, "settings", "Domain", "SizeCores"),
		at("R113", check.Platform, []any{}, "settings", "Domain", "KindMemoryMb"),
		{"R115", check.Platform, func(rng *rand.Rand, doc object) []string {
			return below(set(doc, []any{"huge"}, below(some(rng, doc, classes...), "AllowedOn")...), "0")
		}},
		value("R116", 3, "LateWorth", classes...),
		value("R117", 0, "Worth", classes...),
		{"R118", check.Platform, func(_ *rand.Rand, doc object) []string {
			return set(doc, get(doc, "settings", "PeersTotal"), "settings", "Position")
		}},
		at("R119", check.Platform, int64(600e9), "settings", "Limits", "MaxRetryAfterNs"),
		at("R120", check.Platform, "0.0.0.0:6565", "listen"),
		at("R120", check.Platform, "[::]:6565", "listen"),
		{"R121", check.Platform, func(_ *rand.Rand, doc object) []string { return set(doc, doc["listen"], "changelog") }},
		{"R122", check.Platform, func(rng *rand.Rand, doc object) []string {
			for i := range 10 {
				set(doc, append(get(doc, hosts...).([]any), object{"host": fmt.Sprint("more-", i), "dial": fmt.Sprintf("10.1.1.%d:6565", i+1),
					"class": "std-8core", "health": "in_service"}), hosts...)
			}
			return set(doc, 64+rng.IntN(100), "limits", "sockets")
		}},
		{"R123", check.Platform, func(_ *rand.Rand, doc object) []string {
			set(doc, 4096, "limits", "sockets")
			return set(doc, 32, "limits", "memory_mb")
		}},
		at("R124", check.Platform, int64(3e9), "settings", "RoundNs"),
		again("R125", check.Platform, "dial", hosts...),
		value("R126", "huge", "class", hosts...),
		at("R127", check.Platform, false, "known", "results", "0", "fleet", "whole"),
		{"R128", check.Platform, func(_ *rand.Rand, doc object) []string {
			all := get(doc, "known", "results").([]any)
			set(doc, append(all, object{"seq": 1}), "known", "results")
			return []string{"known", "results", strconv.Itoa(len(all)), "seq"}
		}},
		at("R129", check.Platform, 99, "known", "seq"),
		again("R201", check.Operator, "address", "telemetry", "graphite"),
		again("R201", check.Operator, "address", "telemetry", "collectd"),
		{"R202", check.Operator, func(_ *rand.Rand, doc object) []string {
			n := len(get(doc, "telemetry", "collectd").([]any))
			return set(doc, 65536, "telemetry", "collectd", strconv.Itoa(n-1), "budget_kb")
		}},
		at("R203", check.Operator, 1, "telemetry", "names", "idle_s"),
		{"R204", check.Operator, func(rng *rand.Rand, doc object) []string {
			return set(doc, "10.0.0.9:25826", below(some(rng, doc, "telemetry", "collectd"), "address")...)
		}},
		{"R205", check.Operator, func(rng *rand.Rand, doc object) []string {
			return set(doc, "chart", below(some(rng, doc, "telemetry", "collectd"), "user")...)
		}},
	}
	for _, by := range []string{"WidthByClass", "ClassLoad", "YieldsToLoads"} {
		all = append(all, Fault{"R112", check.Platform, func(_ *rand.Rand, doc object) []string {
			l := get(doc, below(domain, by)...).([]any)
			return set(doc, append(l, l[0]), below(domain, by)...)
		}})
	}
	all = append(all, Fault{"R114", check.Platform, func(rng *rand.Rand, doc object) []string {
		return set(doc, 64, some(rng, doc, below(domain, "WidthByClass")...)...)
	}})
	return append(all, formFaults()...)
}

// formFaults are faults of form: types, bounds, names and addresses, at their keys.
func formFaults() (all []Fault) {
	wrong := []any{"text", true, object{"a": 1}, []any{}}
	for _, path := range [][]string{{"limits", "memory_mb"}, {"limits", "sockets"}, {"settings", "PeersTotal"}, {"settings", "RoundNs"},
		{"settings", "Limits", "MaxAttempts"}, {"settings", "Rules", "ColdFrom"}, {"settings", "Rules", "FallMultiple"}} {
		all = append(all, Fault{"F004", check.Platform, func(rng *rand.Rand, doc object) []string {
			return set(doc, wrong[rng.IntN(len(wrong))], path...)
		}})
	}
	for _, key := range []string{"PromiseNs", "GiveUpNs", "Worth", "LateWorth", "AimStretch", "WindowNs"} {
		all = append(all, value("F004", "soon", key, classes...))
	}
	for _, key := range []string{"Name", "Effect"} {
		all = append(all, value("F004", 7, key, classes...))
	}
	all = append(all, value("F004", "half", "Share", tenants...), at("F004", check.Platform, object{}, "settings", "RequestClasses"),
		at("F004", check.Platform, nil, "settings"), at("F004", check.Platform, 12, "listen"),
		at("F004", check.Operator, "10s", "telemetry", "interval_ms"), at("F004", check.Operator, []any{}, "telemetry", "names"),
		at("F004", check.Operator, 1.5, "telemetry", "names", "tenants"),
		at("F005", check.Platform, 8, "limits", "memory_mb"), at("F005", check.Platform, 3, "limits", "sockets"),
		at("F005", check.Platform, "xyz", "seed"), at("F005", check.Platform, -5, "settings", "RoundNs"),
		at("F005", check.Platform, -1, "settings", "Limits", "MaxAttempts"), value("F005", "twice", "Effect", classes...),
		value("F005", -1, "PromiseNs", classes...), at("F005", check.Operator, 5, "telemetry", "interval_ms"),
		at("F005", check.Operator, 100_000, "telemetry", "names", "tenants"),
		at("F003", check.Operator, 1, "telemetry", "names", "tenantz"), at("F003", check.Operator, object{}, "telemetery"),
		Fault{"F008", check.Platform, func(_ *rand.Rand, doc object) []string {
			delete(get(doc, "settings", "Limits").(object), "MaxAttempts")
			return set(doc, 1, "settings", "Limits", "MaxAttempt_")
		}}, value("F008", 1, "AllowdIn", classes...),
		at("F008", check.Platform, 1, "settings", "Zones"),
		at("F007", check.Platform, "broker:6565", "listen"), at("F007", check.Platform, "10.2.0.1", "changelog"))
	for _, list := range []string{"graphite", "collectd"} {
		all = append(all, Fault{"F007", check.Operator, func(rng *rand.Rand, doc object) []string {
			return set(doc, "carbon:2003", below(some(rng, doc, "telemetry", list), "address")...)
		}}, Fault{"F006", check.Operator, func(rng *rand.Rand, doc object) []string {
			d := some(rng, doc, "telemetry", list)
			delete(get(doc, d...).(object), "name")
			return below(d, "name")
		}}, Fault{"F003", check.Operator, func(rng *rand.Rand, doc object) []string {
			return set(doc, 1, below(some(rng, doc, "telemetry", list), "adress")...)
		}}, Fault{"F004", check.Operator, func(rng *rand.Rand, doc object) []string {
			return set(doc, "512", below(some(rng, doc, "telemetry", list), "budget_kb")...)
		}}, Fault{"F005", check.Operator, func(rng *rand.Rand, doc object) []string {
			return set(doc, "a.b", below(some(rng, doc, "telemetry", list), "name")...)
		}})
	}
	for _, key := range []string{"listen", "changelog", "settings"} {
		all = append(all, Fault{"F006", check.Platform, func(_ *rand.Rand, doc object) []string {
			delete(doc, key)
			return []string{key}
		}})
	}
	return all
}
