package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"wheatlane/internal/check"
	"wheatlane/internal/check/faultinjection"
	"wheatlane/internal/check/form"
)

type object = map[string]any

// read makes two files of a fleet, valid together, and lets the second be changed.
func read(t *testing.T, seed uint64, change func(doc object)) []*check.File {
	t.Helper()
	var files []*check.File
	for i := range 2 {
		doc := faultinjection.Platform(rand.New(rand.NewPCG(seed, 0)))
		doc["name"], doc["listen"] = fmt.Sprint("n", i), fmt.Sprintf("10.0.0.%d:6565", i+1)
		set := doc["settings"].(object)
		set["PeersTotal"], set["Position"] = 2, i
		if i == 1 {
			change(doc)
		}
		text, err := faultinjection.Text(doc)
		if err != nil {
			t.Fatal(err)
		}
		f, _, err := form.Run(fmt.Sprint(i, ".json"), text)
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, f)
	}
	return files
}

func class(doc object) object {
	return doc["settings"].(object)["RequestClasses"].([]any)[0].(object)
}

func hosts(doc object) []any {
	return doc["known"].(object)["results"].([]any)[0].(object)["fleet"].(object)["hosts"].([]any)
}

// Each disagreement is found under its code, in the later file, at its place; where there is none, nothing is.
func TestDisagreements(t *testing.T) {
	for _, c := range []struct {
		name, code, key string
		change          func(object)
	}{
		{"none", "", "", func(object) {}},
		{"one address", "S101", "listen", func(d object) { d["listen"] = "10.0.0.1:6565" }},
		{"another address of an engine", "S102", "known.results", func(d object) { hosts(d)[0].(object)["dial"] = "10.9.9.9:1" }},
		{"an engine more", "S102", "known.results", func(d object) {
			r := d["known"].(object)["results"].([]any)[0].(object)["fleet"].(object)
			r["hosts"] = append(r["hosts"].([]any), object{"host": "s-more", "dial": "10.9.9.9:1", "class": "std-8core", "health": "in_service"})
		}},
		{"one is behind", "S103", "known.seq", func(d object) { d["known"].(object)["seq"] = 99 }},
		{"another meaning", "S104", "settings.RequestClasses[0].Worth", func(d object) { class(d)["Worth"] = 77 }},
		{"another aim", "S104", "settings.RequestClasses[0].PromiseNs", func(d object) { class(d)["PromiseNs"] = 1 }},
		{"another share", "S105", "settings.Tenants[0].Share", func(d object) {
			d["settings"].(object)["Tenants"].([]any)[0].(object)["Share"] = 0.001
		}},
		{"other peers", "S106", "settings.PeersTotal", func(d object) { d["settings"].(object)["PeersTotal"] = 3 }},
		{"one place", "S107", "settings.Position", func(d object) { d["settings"].(object)["Position"] = 0 }},
		{"another change log", "S108", "changelog", func(d object) { d["changelog"] = "10.2.0.9:4222" }},
		{"one name", "S109", "name", func(d object) { d["name"] = "n0" }},
	} {
		for seed := range uint64(50) {
			found := Run(read(t, seed, c.change))
			if c.code == "" && len(found) > 0 {
				t.Fatalf("seed %d: %v", seed, found)
			}
			if c.code != "" && (len(found) != 1 || found[0].Code != c.code || found[0].Key != c.key || found[0].File != "1.json") {
				t.Fatalf("%s, seed %d: %v, want %s at %s", c.name, seed, found, c.code, c.key)
			}
		}
	}
}
