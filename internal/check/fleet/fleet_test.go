package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"wheatlane/internal/check"
	"wheatlane/internal/check/faultinjection"
	"wheatlane/internal/check/fileformat"
)

type object = map[string]any

// seeds is the number of generated pairs of files for each case.
const seeds = 50

// generatePair generates consistent files of two brokers and applies a change to the second one.
func generatePair(t *testing.T, seed uint64, change func(doc object)) []*check.File {
	t.Helper()
	files := make([]*check.File, 2)
	for i := range files {
		doc := faultinjection.PlatformConfig(rand.New(rand.NewPCG(seed, 0)))
		doc["name"], doc["listen"] = fmt.Sprint("n", i), fmt.Sprintf("10.0.0.%d:6565", i+1)
		settings := settingsOf(doc)
		settings["PeersTotal"], settings["Position"] = 2, i
		if i == 1 {
			change(doc)
		}
		text, err := faultinjection.Marshal(doc)
		if err != nil {
			t.Fatal(err)
		}
		f, _, err := fileformat.Run(fmt.Sprint(i, ".json"), text)
		if err != nil {
			t.Fatal(err)
		}
		files[i] = f
	}
	return files
}

func settingsOf(doc object) object { return doc["settings"].(object) }

func firstClass(doc object) object { return settingsOf(doc)["RequestClasses"].([]any)[0].(object) }

func firstTenant(doc object) object { return settingsOf(doc)["Tenants"].([]any)[0].(object) }

func knownList(doc object) object { return doc["known"].(object) }

func firstEndpointList(doc object) object {
	return knownList(doc)["results"].([]any)[0].(object)["fleet"].(object)
}

func firstHost(doc object) object { return firstEndpointList(doc)["hosts"].([]any)[0].(object) }

// Run reports each contradiction with the code of its check, in the later file, at the path of the value. It reports
// nothing for consistent files.
func TestRunReportsContradictions(t *testing.T) {
	for _, c := range []struct {
		name, code, key string
		change          func(doc object)
	}{
		{"consistent files", "", "", func(object) {}},
		{"same listen address", "S101", "listen", func(doc object) { doc["listen"] = "10.0.0.1:6565" }},
		{"another address of an engine", "S102", "known.results", func(doc object) {
			firstHost(doc)["dial"] = "10.9.9.9:1"
		}},
		{"an additional engine", "S102", "known.results", func(doc object) {
			list := firstEndpointList(doc)
			list["hosts"] = append(list["hosts"].([]any), object{
				"host": "s-more", "dial": "10.9.9.9:1", "class": "std-8core", "health": "in_service",
			})
		}},
		{"another revision of the list", "S103", "known.seq", func(doc object) { knownList(doc)["seq"] = 99 }},
		{"another priority weight", "S104", "settings.RequestClasses[0].Worth", func(doc object) {
			firstClass(doc)["Worth"] = 77
		}},
		{
			"another latency objective",
			"S104",
			"settings.RequestClasses[0].PromiseNs",
			func(doc object) { firstClass(doc)["PromiseNs"] = 1 },
		},
		{"another share of a tenant", "S105", "settings.Tenants[0].Share", func(doc object) {
			firstTenant(doc)["Share"] = 0.001
		}},
		{"another number of brokers", "S106", "settings.PeersTotal", func(doc object) {
			settingsOf(doc)["PeersTotal"] = 3
		}},
		{
			"same broker index",
			"S107",
			"settings.Position",
			func(doc object) { settingsOf(doc)["Position"] = 0 },
		},
		{
			"another change log",
			"S108",
			"changelog",
			func(doc object) { doc["changelog"] = "10.2.0.9:4222" },
		},
		{"same broker name", "S109", "name", func(doc object) { doc["name"] = "n0" }},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				findings := Run(generatePair(t, seed, c.change))
				if c.code == "" && len(findings) > 0 {
					t.Fatalf("seed %d: got %v, want no findings", seed, findings)
				}
				if c.code != "" && !isOnly(findings, c.code, c.key) {
					t.Fatalf("seed %d: got %v, want %s at %s", seed, findings, c.code, c.key)
				}
			}
		})
	}
}

// isOnly reports whether the only finding has a code and a key in the second file.
func isOnly(findings []check.Finding, code, key string) bool {
	if len(findings) != 1 {
		return false
	}
	f := findings[0]
	return f.Code == code && f.Key == key && f.File == "1.json"
}
