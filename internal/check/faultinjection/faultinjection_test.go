package faultinjection

import (
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"

	"wheatlane/internal/check"
	"wheatlane/internal/check/fileformat"
	"wheatlane/internal/check/fleet"
	"wheatlane/internal/check/rules"
	"wheatlane/internal/jsontext"
)

// checkFile returns the findings of the layers that check a single file.
func checkFile(t *testing.T, doc map[string]any) []check.Finding {
	t.Helper()
	text, err := Marshal(doc)
	if err != nil {
		t.Fatal(err)
	}
	f, findings, err := fileformat.Run("a.json", text)
	if err != nil {
		t.Fatal(err)
	}
	if f != nil {
		findings = append(findings, rules.Run(f)...)
	}
	return findings
}

const (
	seeds         = 2000 // generated configurations of each test
	minFaultKinds = 60
)

// The checker has no findings in generated valid configurations.
func TestValidConfigsHaveNoFindings(t *testing.T) {
	for seed := range uint64(seeds) {
		for _, kind := range []check.FileKind{check.PlatformFile, check.OperatorFile} {
			doc := ValidConfig(rand.New(rand.NewPCG(seed, 0)), kind)
			if findings := checkFile(t, doc); len(findings) > 0 {
				t.Fatalf("seed %d: got %v, want no findings", seed, findings[0])
			}
		}
	}
}

// The checker finds every injected fault with its code at its path, and each rule has a fault that violates it.
func TestEveryFaultIsFound(t *testing.T) {
	faults := Faults()
	injected := map[string]int{} // by code
	for seed := range uint64(seeds) {
		rng := rand.New(rand.NewPCG(seed, 1))
		fault := faults[int(seed)%len(faults)]
		doc := ValidConfig(rng, fault.Kind)
		key := jsontext.FormatPath(fault.Inject(rng, doc)...)
		injected[fault.Code]++
		findings := checkFile(t, doc)
		isExpected := func(f check.Finding) bool { return f.Code == fault.Code && f.Key == key }
		if !slices.ContainsFunc(findings, isExpected) {
			t.Errorf("seed %d: %s at %s is not found; findings: %v", seed, fault.Code, key, findings)
		}
	}
	for _, r := range rules.Table {
		if injected[r.Code] == 0 {
			t.Errorf("no fault is injected for %s", r.Code)
		}
	}
	if len(faults) < minFaultKinds {
		t.Errorf("got %d kinds of fault, want at least %d", len(faults), minFaultKinds)
	}
}

// The checker finds faults of the text itself, which can't be injected into a decoded configuration.
func TestInvalidTextIsFound(t *testing.T) {
	for text, want := range map[string]string{
		"":                                       "F001",
		"{":                                      "F001",
		"\xef\xbb\xbf{}":                         "F001",
		`{"telemetry":{}} x`:                     "F001",
		strings.Repeat("[", 100_000):             "F001",
		"{\"telemetry\":{},\n \"telemetry\":{}}": "F002",
		"[]":                                     "F004",
	} {
		_, findings, err := fileformat.Run("a.json", []byte(text))
		if err != nil || len(findings) != 1 || findings[0].Code != want {
			t.Errorf("%.20q: got findings %v, error %v, want %s", text, findings, err, want)
		}
	}
}

// A finding has the position of its value in the text of the file.
func TestFindingsHavePositions(t *testing.T) {
	text := "{\n  \"telemetry\": {\n    \"interval_ms\": 5,\n    \"intervall\": 7\n  }\n}\n"
	_, findings, err := fileformat.Run("a.json", []byte(text))
	if err != nil || len(findings) != 2 {
		t.Fatalf("got findings %+v, error %v, want two findings", findings, err)
	}
	if f := findings[0]; f.Line != 3 || f.Column != 20 || f.Key != "telemetry.interval_ms" {
		t.Errorf("got %+v, want telemetry.interval_ms at line 3, column 20", f)
	}
	if f := findings[1]; f.Line != 4 || f.Column != 18 || f.Code != "F003" {
		t.Errorf("got %+v, want F003 at line 4, column 18", f)
	}
}

// The operators' page contains the table of checks that 'wheatlane config checks' prints.
func TestPageOfChecks(t *testing.T) {
	page, err := os.ReadFile("../../../docs/operators/checks.md")
	if err != nil {
		t.Fatal(err)
	}
	checks := slices.Clone(fileformat.Table)
	for _, r := range rules.Table {
		checks = append(checks, r.Check)
	}
	checks = append(checks, fleet.Table...)
	if !strings.Contains(string(page), check.Markdown(checks)) {
		t.Error("docs/operators/checks.md lacks the table that 'wheatlane config checks' prints")
	}
}
