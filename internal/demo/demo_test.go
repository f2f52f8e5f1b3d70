package demo

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"wheatlane/internal/emulator/scenario"
)

// Runs a complete demo: requests are served, the scenario's faults are injected, no rule is violated and the report is
// written.
func TestDemoWritesReportWithoutViolations(t *testing.T) {
	dir := t.TempDir()
	const faults = "300ms:slow:2,500ms:drain:1,600ms:collector-gone,900ms:collector-serve"
	steps, err := scenario.Parse(faults, Actions(), 3)
	if err != nil {
		t.Fatal(err)
	}
	options := Options{
		Dir: dir, Engines: 3, Rate: 40, Seed: 7, Duration: 1500 * time.Millisecond, Scenario: steps,
	}
	var out bytes.Buffer
	if err := Run(t.Context(), &lockedWriter{w: &out}, options); err != nil {
		t.Fatalf("the demo failed: %v\n%s", err, out.String())
	}
	for _, want := range []string{"--- 300ms slow 2", "served", "report: " + filepath.Join(dir, reportFile)} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("the output lacks %q:\n%s", want, out.String())
		}
	}
	page, err := os.ReadFile(filepath.Join(dir, reportFile))
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"No rule was broken.", "Latency against the wanted time", "<svg", "lookup"} {
		if !bytes.Contains(page, []byte(want)) {
			t.Errorf("the report lacks %q", want)
		}
	}
}
