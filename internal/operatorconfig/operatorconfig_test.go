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
	destination    = `{"name":"a","address":"127.0.0.1:2003"}`
	graphitePrefix = `{"telemetry":{"graphite":[`
	collectdPrefix = `{"telemetry":{"collectd":[`
	suffix         = `]}}`
)

// invalidFiles lists invalid files with the text that the error must contain.
var invalidFiles = []struct{ text, want string }{
	{`{`, "JSON text is truncated"},
	{`{} {}`, "unexpected text after the JSON value"},
	{`{"telemetry":null}`, "telemetry: must be an object, got null"},
	{
		`{"telemetry":{"graphite":{}}}`,
		"telemetry.graphite: must be a list, got an object",
	},
	{
		`{"telemetry":{"interval_ms":1e4}}`,
		"telemetry.interval_ms: must be an integer, got a number",
	},
	{`[]`, "the file: must be an object, got a list"},
	{`{"telemetery":{}}`, "telemetery: unknown key"},
	{`{"telemetry":{"interval":1}}`, "telemetry.interval: unknown key"},
	{
		`{"telemetry":{"interval_ms":"10s"}}`,
		"telemetry.interval_ms: must be an integer, got a string",
	},
	{`{"telemetry":{"interval_ms":5}}`, "telemetry.interval_ms: 5 is less than 1000"},
	{
		`{"telemetry":{"names":{"tenants":100000}}}`,
		"telemetry.names.tenants: 100000 is more than 1024",
	},
	{graphitePrefix + `{"name":"a"}` + suffix, "telemetry.graphite[0].address: required key is missing"},
	{
		graphitePrefix + `{"name":"a.b","address":"127.0.0.1:1"}` + suffix,
		"telemetry.graphite[0].name: pattern: ",
	},
	{
		graphitePrefix + `{"name":"a","address":"carbon:2003"}` + suffix,
		"telemetry.graphite[0].address: ",
	},
	{
		graphitePrefix + `{"name":"a","address":"127.0.0.1:1","prefix":"a..b"}` + suffix,
		"telemetry.graphite[0].prefix: ",
	},
	{
		graphitePrefix + `{"name":"a","address":"127.0.0.1:1","protocol":"udp"}` + suffix,
		"telemetry.graphite[0].protocol: \"udp\" is none of plaintext, pickle",
	},
	{
		graphitePrefix + destination + "," + destination + suffix,
		`telemetry.graphite[1].name: must be unique, but "a" is the name of telemetry.graphite[0]`,
	},
	{
		collectdPrefix + `{"name":"c","address":"127.0.0.1:1","security":"sign"}` + suffix,
		`telemetry.collectd[0].user: required with security "sign", but missing`,
	},
	{
		collectdPrefix + `{"name":"c","address":"127.0.0.1:1","security":"sign","user":"u"}` + suffix,
		`telemetry.collectd[0].password_file: required with security "sign", but missing`,
	},
}

// Parse rejects each invalid file with an error that contains the key and the reason.
func TestParseRejectsInvalidFiles(t *testing.T) {
	for _, c := range invalidFiles {
		if _, err := Parse([]byte(c.text)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got error %v, want one that contains %q", c.text, err, c.want)
		}
	}
}

func TestParseAppliesDefaults(t *testing.T) {
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

// objectSchema decodes the defaults of an object's keys from a JSON Schema.
type objectSchema struct {
	Properties map[string]struct{ Default any }
}

// schemaDefaults returns the defaults that a schema states for an object, or for the objects of a list. It omits false.
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

// appliedDefaults returns the values of an object by key, without the keys that have no default.
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

// The defaults in the limits tags, which the schema states, equal those that Parse applies.
func TestSchemaStatesAppliedDefaults(t *testing.T) {
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
			t.Errorf("%s: defaults differ (-schema +applied): %s", key, diff)
		}
	}
}

func TestPasswordIsReadFromPasswordFile(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "operator.json")
	text := `{"telemetry":{"collectd":[{"name":"c","address":"127.0.0.1:1","security":"encrypt",
		"user":"u","password_file":"secret"}]}}`
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	const key = "telemetry.collectd[0].password_file"
	if _, err := Load(path); err == nil || !strings.Contains(err.Error(), key) {
		t.Fatalf("without the password file: %v, want an error with %s", err, key)
	}
	if err := os.WriteFile(filepath.Join(dir, "secret"), []byte("a b\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	f, err := Load(path)
	if err != nil || f.Telemetry.Collectd[0].Password != "a b" {
		t.Fatalf("got %+v, %v, want the password without its line end", f, err)
	}
}
