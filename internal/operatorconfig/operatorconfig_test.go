package operatorconfig

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const (
	destination   = `{"name":"a","address":"127.0.0.1:2003"}`
	graphiteStart = `{"telemetry":{"graphite":[`
	collectdStart = `{"telemetry":{"collectd":[`
	end           = `]}}`
)

// invalidFiles are files, and what the error must contain.
var invalidFiles = []struct{ text, want string }{
	{`{`, "the JSON text breaks off"},
	{`{} {}`, "something follows the JSON value"},
	{`{"telemetry":null}`, "telemetry: null does not belong here, but an object"},
	{
		`{"telemetry":{"graphite":{}}}`,
		"telemetry.graphite: an object does not belong here, but a list",
	},
	{
		`{"telemetry":{"interval_ms":1e4}}`,
		"telemetry.interval_ms: a number does not belong here, but an integer",
	},
	{`[]`, "the file: a list does not belong here, but an object"},
	{`{"telemetery":{}}`, "telemetery: unknown key"},
	{`{"telemetry":{"interval":1}}`, "telemetry.interval: unknown key"},
	{
		`{"telemetry":{"interval_ms":"10s"}}`,
		"telemetry.interval_ms: a string does not belong here, but an integer",
	},
	{`{"telemetry":{"interval_ms":5}}`, "telemetry.interval_ms: 5 is less than 1000"},
	{
		`{"telemetry":{"names":{"tenants":100000}}}`,
		"telemetry.names.tenants: 100000 is more than 1024",
	},
	{graphiteStart + `{"name":"a"}` + end, "telemetry.graphite[0].address: missing"},
	{
		graphiteStart + `{"name":"a.b","address":"127.0.0.1:1"}` + end,
		"telemetry.graphite[0].name: pattern: ",
	},
	{
		graphiteStart + `{"name":"a","address":"carbon:2003"}` + end,
		"telemetry.graphite[0].address: ",
	},
	{
		graphiteStart + `{"name":"a","address":"127.0.0.1:1","prefix":"a..b"}` + end,
		"telemetry.graphite[0].prefix: ",
	},
	{
		graphiteStart + `{"name":"a","address":"127.0.0.1:1","protocol":"udp"}` + end,
		"telemetry.graphite[0].protocol: \"udp\" is none of plaintext, pickle",
	},
	{
		graphiteStart + destination + "," + destination + end,
		`telemetry.graphite[1].name: "a" is the name of telemetry.graphite[0]`,
	},
	{
		collectdStart + `{"name":"c","address":"127.0.0.1:1","security":"sign"}` + end,
		"telemetry.collectd[0].user: missing",
	},
	{
		collectdStart + `{"name":"c","address":"127.0.0.1:1","security":"sign","user":"u"}` + end,
		"telemetry.collectd[0].password_file: missing",
	},
}

// Each invalid file is rejected with its key and the reason.
func TestInvalidFiles(t *testing.T) {
	for _, c := range invalidFiles {
		if _, err := Parse([]byte(c.text)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %q", c.text, err, c.want)
		}
	}
}

func TestDefaults(t *testing.T) {
	f, err := Parse([]byte(`{"telemetry":{
		"interval_ms":1000,
		"graphite":[{"name":"a","address":"127.0.0.1:2003"}],
		"collectd":[{"name":"b","address":"[::1]:25826"}]}}`))
	if err != nil {
		t.Fatal(err)
	}
	want := &Telemetry{
		IntervalMS: 1000,
		Cardinality: CardinalityLimits{
			Classes:  16,
			Tenants:  32,
			Engines:  32,
			DataSets: 32,
			IdleS:    600,
		},
		Graphite: []Graphite{{
			Name:           "a",
			Address:        "127.0.0.1:2003",
			Protocol:       "plaintext",
			Prefix:         "wheatlane",
			BudgetKB:       512,
			ReplayKBps:     64,
			WriteTimeoutMS: 5000,
		}},
		Collectd: []Collectd{{Name: "b", Address: "[::1]:25826", Security: "none", BudgetKB: 256}},
	}
	if diff := cmp.Diff(want, f.Telemetry); diff != "" {
		t.Fatal(diff)
	}
}

// objectSchema is the part of a JSON Schema that gives the defaults of an object's keys.
type objectSchema struct {
	Properties map[string]struct{ Default any }
}

// schemaDefaults returns the defaults of an object, or of the objects of a list.
func schemaDefaults(t *testing.T, schema json.RawMessage) map[string]any {
	t.Helper()
	var object struct {
		objectSchema

		Items objectSchema
	}
	if err := json.Unmarshal(schema, &object); err != nil {
		t.Fatal(err)
	}
	if object.Properties == nil {
		object.Properties = object.Items.Properties
	}
	defaults := map[string]any{}
	for key, property := range object.Properties {
		if property.Default != nil && property.Default != false {
			defaults[key] = property.Default
		}
	}
	return defaults
}

// appliedDefaults returns the values of an object by their keys, except those that have no default.
func appliedDefaults(t *testing.T, object any) map[string]any {
	t.Helper()
	text, err := json.Marshal(object)
	if err != nil {
		t.Fatal(err)
	}
	var values map[string]any
	if err := json.Unmarshal(text, &values); err != nil {
		t.Fatal(err)
	}
	delete(values, "name")
	delete(values, "address")
	return values
}

// The defaults that the schema states are those that are applied.
func TestSchemaStatesTheDefaults(t *testing.T) {
	text, err := SchemaText()
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
	f, err := Parse([]byte(`{"telemetry":{"graphite":[{"name":"a","address":"127.0.0.1:2003"}],
		"collectd":[{"name":"b","address":"127.0.0.1:25826"}]}}`))
	if err != nil {
		t.Fatal(err)
	}
	for key, object := range map[string]any{
		"names":    f.Telemetry.Cardinality,
		"graphite": f.Telemetry.Graphite[0],
		"collectd": f.Telemetry.Collectd[0],
	} {
		schema := doc.Properties.Telemetry.Properties[key]
		if diff := cmp.Diff(schemaDefaults(t, schema), appliedDefaults(t, object)); diff != "" {
			t.Errorf("%s: schema and file differ: %s", key, diff)
		}
	}
}

func TestPasswordIsReadFromItsFile(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "operator.json")
	text := `{"telemetry":{"collectd":[{"name":"c","address":"127.0.0.1:1","security":"encrypt",
		"user":"u","password_file":"secret"}]}}`
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	const key = "telemetry.collectd[0].password_file"
	if _, err := Load(path); err == nil || !strings.Contains(err.Error(), key) {
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
