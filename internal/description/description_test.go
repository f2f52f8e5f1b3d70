package description

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"wheatlane/control"
	"wheatlane/control/idempotency"
	"wheatlane/internal/check/fileformat"
	"wheatlane/internal/check/rules"
	"wheatlane/internal/config"
	"wheatlane/internal/operatorconfig"
)

// exampleDescription returns the description in the folder deploy.
func exampleDescription(t *testing.T) []byte {
	t.Helper()
	text, err := os.ReadFile("../../deploy/app.json")
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// generate generates both files of a description.
func generate(t *testing.T, text []byte) (broker, operator []byte) {
	t.Helper()
	a, violations, err := Parse(text)
	if err != nil || len(violations) > 0 {
		t.Fatalf("got violations %v, error %v, want none", violations, err)
	}
	if broker, err = a.BrokerFile(Provenance("app.json", text)); err != nil {
		t.Fatal(err)
	}
	if operator, err = a.OperatorFile(Provenance("app.json", text)); err != nil {
		t.Fatal(err)
	}
	return broker, operator
}

// The checker reports no findings in the files that are generated from the example, and a broker decodes the values
// of the description from them.
func TestFilesOfExampleAreValid(t *testing.T) {
	broker, operator := generate(t, exampleDescription(t))
	for name, text := range map[string][]byte{"broker.json": broker, "operator.json": operator} {
		f, findings, err := fileformat.Run(name, text)
		if err != nil || len(findings) > 0 || len(rules.Run(f)) > 0 {
			t.Errorf("%s: got findings %v and %v, error %v, want none", name, findings, rules.Run(f), err)
		}
	}
	cfg := load(t, broker)
	if cfg.Name != "chart-app" || cfg.MemoryMB != 192 || cfg.Settings.MaxClientTimeout != 25*time.Second {
		t.Errorf("got %+v, want name chart-app, 192 MB and a maximum client timeout of 25s", cfg)
	}
	want := control.Class{
		Name:             "survey-load",
		LatencyObjective: 3 * time.Second,
		ClientTimeout:    25 * time.Second,
		ObjectivePerWork: 3,
		PriorityWeight:   20,
		Idempotency:      idempotency.Policy{Kind: idempotency.IdempotentWithKey, DedupWindow: 15 * time.Second},
		Ordered:          true,
		Threads:          2,
		HoldsDataSetLock: true,
	}
	if diff := cmp.Diff(want, cfg.Settings.Control.Classes[2]); diff != "" {
		t.Error(diff)
	}
	f, err := operatorconfig.Parse(operator)
	if err != nil || f.Telemetry.Graphite[0].Address != "127.0.0.1:2003" {
		t.Errorf("got %+v, error %v, want Graphite address 127.0.0.1:2003", f, err)
	}
}

// load loads a broker's configuration the way a broker does.
func load(t *testing.T, text []byte) config.Config {
	t.Helper()
	path := filepath.Join(t.TempDir(), "broker.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	cfg, err := config.Load(func(name string) string {
		if name == "RELAY_CONFIG" {
			return path
		}
		return ""
	})
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// The same description results in the same bytes, and different descriptions have different provenances.
func TestGenerationIsDeterministic(t *testing.T) {
	text := exampleDescription(t)
	first, _ := generate(t, text)
	second, _ := generate(t, text)
	if !bytes.Equal(first, second) {
		t.Error("files of the same description differ")
	}
	if Provenance("app.json", text) == Provenance("app.json", append(text, ' ')) {
		t.Error("different descriptions have the same provenance")
	}
}

// Parse returns all violations of a description, each with its key.
func TestParseReportsAllViolations(t *testing.T) {
	text := strings.NewReplacer(
		`"share": 0.59`, `"share": 2`,
		`"wanted_ms": 400`, `"wantedms": 400`,
		`"repeat": "by_key"`, `"repeat": "often"`,
		`"listen": "127.0.0.1:6565",`, "",
	).Replace(string(exampleDescription(t)))
	_, violations, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	keys := make([]string, len(violations))
	for i, v := range violations {
		keys[i] = v.Key()
	}
	want := []string{
		"classes[0].wantedms",
		"classes[0].wanted_ms",
		"classes[2].repeat",
		"customers[0].share",
		"listen",
	}
	if diff := cmp.Diff(want, keys); diff != "" {
		t.Error(diff)
	}
}
