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
		t.Fatalf("%q: %v", args, err)
	}
	return out.String()
}

// facts are what a schema says of a value beside its description.
func facts(s *jsonschema.Schema) (all []string) {
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

// keysOf calls f with each key of a schema, lists passed over.
func keysOf(s *jsonschema.Schema, path string, f func(key string, s *jsonschema.Schema)) {
	for s.Items != nil {
		s = s.Items
	}
	for _, k := range slices.Sorted(maps.Keys(s.Properties)) {
		key := strings.TrimPrefix(path+"."+k, ".")
		f(key, s.Properties[k])
		keysOf(s.Properties[k], key, f)
	}
}

// Each key of each file has the type, default, bounds and values that it had, and 'config explain' prints
// them, each after a label and a colon.
func TestEveryKeyIsExplained(t *testing.T) {
	for _, file := range []struct {
		name string
		make func() (*jsonschema.Schema, error)
	}{
		{"operator", operatorconfig.JSONSchema},
		{"broker", config.JSONSchema},
		{"description", description.JSONSchema},
	} {
		s, err := file.make()
		if err != nil {
			t.Fatal(err)
		}
		var all strings.Builder
		keysOf(s, "", func(key string, at *jsonschema.Schema) {
			fmt.Fprintf(&all, "%s | %s\n", key, strings.Join(facts(at), " | "))
			got := runCommand(t, "config", "explain", key)
			for _, fact := range facts(at) {
				if !strings.Contains(got, ": "+fact+"\n") {
					t.Errorf("%s: %q is not in %s", key, fact, got)
				}
			}
			if at.Description != "" && !strings.Contains(got, at.Description) {
				t.Errorf("%s: %q is not in %s", key, at.Description, got)
			}
		})
		goldenfile.Compare(t, "testdata/keys-of-"+file.name+".txt", all.String())
	}
}

// Where the value of a key comes from: each place in a file with its line, column and value.
func TestOriginsOfValues(t *testing.T) {
	for name, path := range map[string]string{
		"broker":      "../../internal/config/testdata/every-key.json",
		"operator":    "../../deploy/operator.json",
		"description": "../../deploy/app.json",
	} {
		goldenfile.Compare(t, "testdata/origins-in-"+name+".txt", origins(t, path))
	}
}

// origins returns the places that 'config explain' gives for the keys of a file that hold a value of their
// own.
func origins(t *testing.T, path string) string {
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
		keysOf(s, "", func(key string, at *jsonschema.Schema) {
			first, _, _ := strings.Cut(key, ".")
			if doc.Get(first) == nil || len(at.Properties) > 0 || at.Items != nil {
				return
			}
			text := runCommand(t, "config", "explain", key, "--file", path)
			for line := range strings.SplitSeq(text, "\n") {
				if place, ok := strings.CutPrefix(line, path+":"); ok {
					fmt.Fprintf(&all, "%s | %s\n", key, place)
				}
			}
		})
	}
	return all.String()
}

// A variable of the environment that takes precedence over a key is named with its value.
func TestOriginsInTheEnvironment(t *testing.T) {
	t.Setenv("RELAY_NAME", "n \"9\"")
	t.Setenv("RELAY_LISTEN", "")
	for key, want := range map[string][]string{
		"name":   {"RELAY_NAME", `"n \"9\""`},
		"listen": {"RELAY_LISTEN", `""`},
	} {
		got := runCommand(t, "config", "explain", key)
		for _, text := range want {
			if !strings.Contains(got, text) {
				t.Errorf("%s: %q is not in %s", key, text, got)
			}
		}
	}
}

// 'config schema' prints what it did, descriptions apart.
func TestPrintedSchema(t *testing.T) {
	text, err := schematest.WithoutDescriptions([]byte(runCommand(t, "config", "schema")))
	if err != nil {
		t.Fatal(err)
	}
	goldenfile.Compare(t, "testdata/schema.json", text)
}
