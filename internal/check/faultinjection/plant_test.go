package faultinjection

import (
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"

	"wheatlane/internal/check"
	"wheatlane/internal/check/fleet"
	"wheatlane/internal/check/form"
	"wheatlane/internal/check/rules"
)

// find is what the checker finds in a file.
func find(t *testing.T, doc map[string]any) []check.Finding {
	t.Helper()
	text, err := Text(doc)
	if err != nil {
		t.Fatal(err)
	}
	f, all, err := form.Run("a.json", text)
	if err != nil {
		t.Fatal(err)
	}
	if f != nil {
		all = append(all, rules.Run(f)...)
	}
	return all
}

func valid(rng *rand.Rand, kind check.Kind) map[string]any {
	if kind == check.Operator {
		return Operator(rng)
	}
	return Platform(rng)
}

const seeds = 2000

// Nothing is found in what is valid.
func TestNoFalseFindings(t *testing.T) {
	for seed := range uint64(seeds) {
		for _, kind := range []check.Kind{check.Platform, check.Operator} {
			if found := find(t, valid(rand.New(rand.NewPCG(seed, 0)), kind)); len(found) > 0 {
				t.Fatalf("seed %d: %v", seed, found[0])
			}
		}
	}
}

// Every fault that is planted is found under its code at its place.
func TestEveryFaultIsFound(t *testing.T) {
	faults := Faults()
	planted := map[string]int{}
	for seed := range uint64(seeds) {
		rng := rand.New(rand.NewPCG(seed, 1))
		one := faults[int(seed)%len(faults)]
		doc := valid(rng, one.Kind)
		path := one.Plant(rng, doc)
		planted[one.Code]++
		found := find(t, doc)
		if !slices.ContainsFunc(found, func(f check.Finding) bool { return f.Code == one.Code && f.Key == check.Key(path...) }) {
			t.Errorf("seed %d: %s at %s is not found, but %v", seed, one.Code, check.Key(path...), found)
		}
	}
	for _, r := range rules.Table {
		if planted[r.Code] == 0 {
			t.Errorf("%s is never planted", r.Code)
		}
	}
	if len(faults) < 60 {
		t.Errorf("%d kinds of fault, 60 at least", len(faults))
	}
}

// What can't be planted in a value: the text itself.
func TestFaultsOfTheText(t *testing.T) {
	for text, want := range map[string]string{
		"": "F001", "{": "F001", "\xef\xbb\xbf{}": "F001", `{"telemetry":{}} x`: "F001", strings.Repeat("[", 100_000): "F001",
		"{\"telemetry\":{},\n \"telemetry\":{}}": "F002", "[]": "F004",
	} {
		_, found, err := form.Run("a.json", []byte(text))
		if err != nil || len(found) != 1 || found[0].Code != want {
			t.Errorf("%.20q: %v, %v, want %s", text, found, err, want)
		}
	}
}

// The place is that of the value, in the file as it is written.
func TestPlaces(t *testing.T) {
	text := "{\n  \"telemetry\": {\n    \"interval_ms\": 5,\n    \"intervall\": 7\n  }\n}\n"
	_, found, err := form.Run("a.json", []byte(text))
	if err != nil || len(found) != 2 {
		t.Fatal(found, err)
	}
	if f := found[0]; f.Line != 3 || f.Column != 20 || f.Key != "telemetry.interval_ms" {
		t.Errorf("%+v", f)
	}
	if f := found[1]; f.Line != 4 || f.Column != 18 || f.Code != "F003" {
		t.Errorf("%+v", f)
	}
}

// The page of checks has the table as it is.
func TestThePageOfChecks(t *testing.T) {
	page, err := os.ReadFile("../../../docs/operators/checks.md")
	if err != nil {
		t.Fatal(err)
	}
	var all []check.Check
	all = append(all, form.Table...)
	for _, r := range rules.Table {
		all = append(all, r.Check)
	}
	all = append(all, fleet.Table...)
	if !strings.Contains(string(page), check.Markdown(all)) {
		t.Error("docs/operators/checks.md lacks the table that 'wheatlane config checks' prints")
	}
}
