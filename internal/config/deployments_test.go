package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/google/jsonschema-go/jsonschema"

	"wheatlane/internal/goldenfile"
)

// The mapping from each deployment's names to the platform's keys and values matches the golden files, which also
// record whether the schema of the broker's configuration contains each key.
func TestNamesOfDeployments(t *testing.T) {
	sites, err := filepath.Glob("../../deploy/sites/*/wire.json")
	if err != nil || len(sites) == 0 {
		t.Fatalf("got deployments %q, error %v, want at least one", sites, err)
	}
	schema, err := JSONSchema()
	if err != nil {
		t.Fatal(err)
	}
	schemaKeys := map[string]bool{}
	addSchemaKeys(schema.Properties["settings"], schemaKeys)
	for _, site := range sites {
		var wire struct {
			Init struct {
				UnitSuffix    string `json:"unit_suffix"`
				Rename, Words map[string]string
			}
		}
		readJSON(t, site, &wire)
		var out strings.Builder
		for _, from := range slices.Sorted(maps.Keys(wire.Init.Rename)) {
			key := pascalCase(wire.Init.Rename[from])
			fmt.Fprintf(&out, "%s %s read=%v as time=%v\n", from, key, schemaKeys[key], schemaKeys[key+wire.Init.UnitSuffix])
		}
		for _, from := range slices.Sorted(maps.Keys(wire.Init.Words)) {
			fmt.Fprintf(&out, "word %s %s\n", from, wire.Init.Words[from])
		}
		name := filepath.Base(filepath.Dir(site))
		goldenfile.Compare(t, filepath.Join("testdata", name+".words.txt"), out.String())
		t.Run(name, func(t *testing.T) { testEndpointList(t, filepath.Join(filepath.Dir(site), "real.json")) })
	}
}

// testEndpointList loads an endpoint list whose keys and values have a deployment's names.
func testEndpointList(t *testing.T, path string) {
	t.Helper()
	var names struct {
		FeedKey string `json:"feed_key"`
		F       map[string]string
		States  map[string]string
		Route   struct {
			E       []string
			FeedKey string `json:"feed_key"`
		}
	}
	readJSON(t, path, &names)
	type object = map[string]any
	host := func(n int, state string) object {
		return object{
			names.F["id"]: fmt.Sprintf("e%d", n), names.F["addr"]: fmt.Sprintf("10.1.0.%d:6565", n),
			names.F["zone"]: "north", names.F["kind"]: "std", names.F["cell"]: 40 + n,
			names.F["state"]: names.States[state], names.F["started"]: 1000 * n,
		}
	}
	event := object{names.F["version"]: 5, names.Route.E[4]: object{
		names.F["full"]: true,
		names.F["list"]: []object{host(1, "ready"), host(2, "draining"), host(3, "gone")},
	}}
	doc := object{
		"listen": "10.0.0.4:6565", names.Route.FeedKey: "10.2.0.1:4222", "settings": object{},
		"known": object{names.F["version"]: 9, names.Route.E[3]: []object{event}},
	}
	text, err := json.Marshal(doc)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
	env := map[string]string{"RELAY_CONFIG": file, "TMPDIR": "/tmp"}
	c, err := Load(func(key string) string { return env[key] })
	if err != nil {
		t.Fatal(err)
	}
	endpoints := strings.Join(values(reflect.ValueOf(c.InitialEndpoints)), "\n")
	goldenfile.Compare(t, "testdata/deployment.list.values", endpoints+"\n"+c.Changelog+"\n")
}

func readJSON(t *testing.T, path string, into any) {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(text, into); err != nil {
		t.Fatal(err)
	}
}

// addSchemaKeys adds the keys of a schema and of all schemas below it.
func addSchemaKeys(s *jsonschema.Schema, keys map[string]bool) {
	if s == nil {
		return
	}
	for key, property := range s.Properties {
		keys[key] = true
		addSchemaKeys(property, keys)
	}
	addSchemaKeys(s.Items, keys)
}

// pascalCase returns the last element of a path in Pascal case: "OrderSettle" for "rules.order_settle".
func pascalCase(path string) string {
	var b strings.Builder
	for part := range strings.SplitSeq(path[strings.LastIndex(path, ".")+1:], "_") {
		b.WriteString(strings.ToUpper(part[:1]) + part[1:])
	}
	return b.String()
}
