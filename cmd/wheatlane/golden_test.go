package main

import (
	"bytes"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/google/jsonschema-go/jsonschema"

	"wheatlane/internal/config"
	"wheatlane/internal/description"
	"wheatlane/internal/goldenfile"
	"wheatlane/internal/jsontext"
	"wheatlane/internal/operatorconfig"
	"wheatlane/internal/schema/schematest"
)

// runCommand runs a command in this process and returns its output.
func runCommand(t *testing.T, args ...string) string {
	t.Helper()
	var out bytes.Buffer
	c := rootCommand()
	c.SetArgs(args)
	c.SetOut(&out)
	if err := c.Execute(); err != nil {
		t.Fatalf("command %q failed: %v", args, err)
	}
	return out.String()
}

// properties returns the type, default, bounds, values, pattern and keys that a schema specifies, as texts.
func properties(s *jsonschema.Schema) (all []string) {
	add := func(text string) {
		if text != "" {
			all = append(all, text)
		}
	}
	add(s.Type)
	add(string(s.Default))
	if s.Minimum != nil {
		add(fmt.Sprint(*s.Minimum))
	}
	if s.Maximum != nil {
		add(fmt.Sprint(*s.Maximum))
	}
	words := make([]string, len(s.Enum))
	for i, w := range s.Enum {
		words[i] = fmt.Sprintf("%q", w)
	}
	add(strings.Join(words, " "))
	add(s.Pattern)
	if len(s.Properties) > 0 {
		add(strings.Join(slices.Sorted(maps.Keys(s.Properties)), ", "))
	}
	return all
}

// forEachKey calls f for each key of a schema. A key has no list indices: it continues in the schema of the items.
func forEachKey(s *jsonschema.Schema, path string, f func(key string, s *jsonschema.Schema)) {
	for s.Items != nil {
		s = s.Items
	}
	for _, k := range slices.Sorted(maps.Keys(s.Properties)) {
		key := strings.TrimPrefix(path+"."+k, ".")
		f(key, s.Properties[k])
		forEachKey(s.Properties[k], key, f)
	}
}

// The type, default, bounds and values of each key match the golden files, and 'config explain' prints each of them
// after a label and a colon.
func TestEveryKeyIsExplained(t *testing.T) {
	for _, file := range []struct {
		name   string
		schema func() (*jsonschema.Schema, error)
	}{
		{"operator", operatorconfig.JSONSchema},
		{"broker", config.JSONSchema},
		{"description", description.JSONSchema},
	} {
		s, err := file.schema()
		if err != nil {
			t.Fatal(err)
		}
		var all strings.Builder
		forEachKey(s, "", func(key string, keySchema *jsonschema.Schema) {
			fmt.Fprintf(&all, "%s | %s\n", key, strings.Join(properties(keySchema), " | "))
			got := runCommand(t, "config", "explain", key)
			for _, property := range properties(keySchema) {
				if !strings.Contains(got, ": "+property+"\n") {
					t.Errorf("%s: got %s, want it to contain %q", key, got, property)
				}
			}
			if keySchema.Description != "" && !strings.Contains(got, keySchema.Description) {
				t.Errorf("%s: got %s, want it to contain %q", key, got, keySchema.Description)
			}
		})
		goldenfile.Compare(t, "testdata/keys-of-"+file.name+".txt", all.String())
	}
}

// 'config explain --file' prints the line, column and value of each occurrence of a key, as in the golden files.
func TestPositionsOfValuesMatchGoldenFiles(t *testing.T) {
	for name, path := range map[string]string{
		"broker":      "../../internal/config/testdata/every-key.json",
		"operator":    "../../deploy/operator.json",
		"description": "../../deploy/app.json",
	} {
		goldenfile.Compare(t, "testdata/origins-in-"+name+".txt", valuePositions(t, path))
	}
}

// valuePositions returns the positions that 'config explain' prints for the keys of a file whose values are neither
// objects nor lists.
func valuePositions(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	doc, _, err := jsontext.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	var all strings.Builder
	for _, source := range schemaSources {
		s, err := source.schema()
		if err != nil {
			t.Fatal(err)
		}
		forEachKey(s, "", func(key string, keySchema *jsonschema.Schema) {
			first, _, _ := strings.Cut(key, ".")
			if doc.Get(first) == nil || len(keySchema.Properties) > 0 || keySchema.Items != nil {
				return
			}
			text := runCommand(t, "config", "explain", key, "--file", path)
			for line := range strings.SplitSeq(text, "\n") {
				if position, ok := strings.CutPrefix(line, path+":"); ok {
					fmt.Fprintf(&all, "%s | %s\n", key, position)
				}
			}
		})
	}
	return all.String()
}

// 'config explain' prints an environment variable that takes precedence over a key, and its value.
func TestEnvironmentVariablesAreExplained(t *testing.T) {
	t.Setenv("RELAY_NAME", "n \"9\"")
	t.Setenv("RELAY_LISTEN", "")
	for key, want := range map[string][]string{
		"name":   {"RELAY_NAME", `"n \"9\""`},
		"listen": {"RELAY_LISTEN", `""`},
	} {
		got := runCommand(t, "config", "explain", key)
		for _, text := range want {
			if !strings.Contains(got, text) {
				t.Errorf("%s: got %s, want it to contain %q", key, got, text)
			}
		}
	}
}

// The schema that 'config schema' prints matches the golden file, except for descriptions.
func TestPrintedSchemaMatchesGoldenFile(t *testing.T) {
	text, err := schematest.WithoutDescriptions([]byte(runCommand(t, "config", "schema")))
	if err != nil {
		t.Fatal(err)
	}
	goldenfile.Compare(t, "testdata/schema.json", text)
}
