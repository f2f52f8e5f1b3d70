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
	"wheatlane/internal/check/form"
	"wheatlane/internal/check/rules"
	"wheatlane/internal/config"
	"wheatlane/internal/operatorconfig"
)

func example(t *testing.T) []byte {
	t.Helper()
	text, err := os.ReadFile("../../deploy/app.json")
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// The worked example becomes files that the checker finds nothing in and that a broker reads as it was meant.
func TestTheExample(t *testing.T) {
	a, found, err := Parse(example(t))
	if err != nil || len(found) > 0 {
		t.Fatal(found, err)
	}
	broker, err := a.Broker("test")
	if err != nil {
		t.Fatal(err)
	}
	own, err := a.Operator("test")
	if err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string][]byte{"broker.json": broker, "operator.json": own} {
		f, all, err := form.Run(name, text)
		if err != nil || len(all) > 0 || len(rules.Run(f)) > 0 {
			t.Errorf("%s: %v %v %v", name, all, rules.Run(f), err)
		}
	}
	path := filepath.Join(t.TempDir(), "broker.json")
	if err := os.WriteFile(path, broker, 0o600); err != nil {
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
	if cfg.Name != "chart-app" || cfg.MemoryMB != 192 || cfg.Settings.MaxClientTimeout != 25*time.Second {
		t.Errorf("%+v", cfg)
	}
	want := control.Class{Name: "survey-load", LatencyObjective: 3 * time.Second, ClientTimeout: 25 * time.Second, ObjectivePerWork: 3, PriorityWeight: 20,
		Idempotency: control.IdempotentWithKey, DedupWindow: 15 * time.Second, Ordered: true, Threads: 2, HoldsDataSetLock: true}
	if diff := cmp.Diff(want, cfg.Settings.Control.Classes[2]); diff != "" {
		t.Error(diff)
	}
	if f, err := operatorconfig.Parse(own); err != nil || f.Telemetry.Graphite[0].Address != "127.0.0.1:2003" {
		t.Errorf("%+v, %v", f, err)
	}
}

// The same description gives the same bytes, and says what it was; another says another.
func TestTheSameBytes(t *testing.T) {
	text := example(t)
	write := func() []byte {
		a, _, err := Parse(text)
		if err != nil {
			t.Fatal(err)
		}
		out, err := a.Broker(Made("app.json", text))
		if err != nil {
			t.Fatal(err)
		}
		return out
	}
	one, two := write(), write()
	if !bytes.Equal(one, two) {
		t.Error("two writings differ")
	}
	if Made("app.json", text) == Made("app.json", append(text, ' ')) {
		t.Error("two descriptions pass for one")
	}
}

// All faults of a description are told, each with its key.
func TestFaults(t *testing.T) {
	text := strings.NewReplacer(`"share": 0.59`, `"share": 2`, `"wanted_ms": 400`, `"wantedms": 400`, `"repeat": "by_key"`, `"repeat": "often"`,
		`"listen": "127.0.0.1:6565",`, "").Replace(string(example(t)))
	_, found, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	var keys []string
	for _, f := range found {
		keys = append(keys, f.Key())
	}
	want := []string{"classes[0].wantedms", "classes[0].wanted_ms", "classes[2].repeat", "customers[0].share", "listen"}
	if diff := cmp.Diff(want, keys); diff != "" {
		t.Error(diff)
	}
}
