package operatorconfig

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Each faulty file is refused with its key and the reason.
func TestFaults(t *testing.T) {
	const g = `{"name":"a","address":"127.0.0.1:2003"}`
	for _, c := range []struct{ text, want string }{
		{`{`, "the JSON text breaks off"},
		{`{} {}`, "something follows the JSON value"},
		{`{"telemetry":null}`, "telemetry: null does not belong here, but an object"},
		{`{"telemetry":{"graphite":{}}}`, "telemetry.graphite: an object does not belong here, but a list"},
		{`{"telemetry":{"interval_ms":1e4}}`, "telemetry.interval_ms: a number does not belong here, but an integer"},
		{`[]`, "the file: a list does not belong here, but an object"},
		{`{"telemetery":{}}`, "telemetery: unknown key"},
		{`{"telemetry":{"interval":1}}`, "telemetry.interval: unknown key"},
		{`{"telemetry":{"interval_ms":"10s"}}`, "telemetry.interval_ms: a string does not belong here, but an integer"},
		{`{"telemetry":{"interval_ms":5}}`, "telemetry.interval_ms: 5 is less than 1000"},
		{`{"telemetry":{"names":{"tenants":100000}}}`, "telemetry.names.tenants: 100000 is more than 1024"},
		{`{"telemetry":{"graphite":[{"name":"a"}]}}`, "telemetry.graphite[0].address: missing"},
		{`{"telemetry":{"graphite":[{"name":"a.b","address":"127.0.0.1:1"}]}}`, "telemetry.graphite[0].name: pattern: "},
		{`{"telemetry":{"graphite":[{"name":"a","address":"carbon:2003"}]}}`, "telemetry.graphite[0].address: "},
		{`{"telemetry":{"graphite":[{"name":"a","address":"127.0.0.1:1","prefix":"a..b"}]}}`, "telemetry.graphite[0].prefix: "},
		{`{"telemetry":{"graphite":[{"name":"a","address":"127.0.0.1:1","protocol":"udp"}]}}`, "telemetry.graphite[0].protocol: \"udp\" is none of plaintext, pickle"},
		{`{"telemetry":{"graphite":[` + g + `,` + g + `]}}`, `telemetry.graphite[1].name: "a" is the name of telemetry.graphite[0]`},
		{`{"telemetry":{"collectd":[{"name":"c","address":"127.0.0.1:1","security":"sign"}]}}`, "telemetry.collectd[0].user: missing"},
		{`{"telemetry":{"collectd":[{"name":"c","address":"127.0.0.1:1","security":"sign","user":"u"}]}}`, "telemetry.collectd[0].password_file: missing"},
	} {
		if _, err := Parse([]byte(c.text)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %q", c.text, err, c.want)
		}
	}
}

func TestDefaults(t *testing.T) {
	f, err := Parse([]byte(`{"telemetry":{"interval_ms":1000,"graphite":[{"name":"a","address":"127.0.0.1:2003"}],
		"collectd":[{"name":"b","address":"[::1]:25826"}]}}`))
	if err != nil {
		t.Fatal(err)
	}
	want := &Telemetry{IntervalMS: 1000, Cardinality: CardinalityLimits{16, 32, 32, 32, 600},
		Graphite: []Graphite{{Name: "a", Address: "127.0.0.1:2003", Protocol: "plaintext", Prefix: "wheatlane", BudgetKB: 512,
			ReplayKBps: 64, WriteTimeoutMS: 5000}},
		Collectd: []Collectd{{Name: "b", Address: "[::1]:25826", Security: "none", BudgetKB: 256}}}
	if diff := cmp.Diff(want, f.Telemetry); diff != "" {
		t.Fatal(diff)
	}
}

// What the schema tells as a default is what is filled in.
func TestTheSchemaTellsTheDefaults(t *testing.T) {
	text, err := Schema()
	if err != nil {
		t.Fatal(err)
	}
	var doc struct {
		Properties struct {
			Telemetry struct {
				Properties map[string]json.RawMessage
			}
		}
	}
	if err := json.Unmarshal(text, &doc); err != nil {
		t.Fatal(err)
	}
	type object struct {
		Properties map[string]struct{ Default any }
	}
	told := func(raw json.RawMessage) map[string]any {
		var o struct {
			object
			Items object
		}
		if err := json.Unmarshal(raw, &o); err != nil {
			t.Fatal(err)
		}
		if o.Properties == nil {
			o.Properties = o.Items.Properties
		}
		all := map[string]any{}
		for k, v := range o.Properties {
			if v.Default != nil && v.Default != false {
				all[k] = v.Default
			}
		}
		return all
	}
	f, err := Parse([]byte(`{"telemetry":{"graphite":[{"name":"a","address":"127.0.0.1:2003"}],
		"collectd":[{"name":"b","address":"127.0.0.1:25826"}]}}`))
	if err != nil {
		t.Fatal(err)
	}
	filled := func(v any) map[string]any {
		raw, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		var all map[string]any
		if err := json.Unmarshal(raw, &all); err != nil {
			t.Fatal(err)
		}
		delete(all, "name")
		delete(all, "address")
		return all
	}
	for key, v := range map[string]any{"names": f.Telemetry.Cardinality, "graphite": f.Telemetry.Graphite[0], "collectd": f.Telemetry.Collectd[0]} {
		if diff := cmp.Diff(told(doc.Properties.Telemetry.Properties[key]), filled(v)); diff != "" {
			t.Errorf("%s: schema and file differ: %s", key, diff)
		}
	}
}

func TestPasswordsComeFromTheirFile(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "operator.json")
	text := `{"telemetry":{"collectd":[{"name":"c","address":"127.0.0.1:1","security":"encrypt","user":"u","password_file":"secret"}]}}`
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Load(path); err == nil || !strings.Contains(err.Error(), "telemetry.collectd[0].password_file") {
		t.Fatalf("without the file: %v", err)
	}
	if err := os.WriteFile(filepath.Join(dir, "secret"), []byte("a b\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	f, err := Load(path)
	if err != nil || f.Telemetry.Collectd[0].Password != "a b" {
		t.Fatalf("%+v, %v", f, err)
	}
}
