package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"

	"wheatlane/internal/goldenfile"
)

// values lists the scalars within a Go value, in the order of its fields and of the sorted keys of its maps. It
// includes no names of types or fields, so that a rename in Go doesn't change the golden files.
func values(v reflect.Value) []string {
	if kind := v.Kind(); kind == reflect.Pointer || kind == reflect.Interface {
		if v.IsNil() {
			return []string{"nil"}
		}
		return values(v.Elem())
	}
	if v.Type() == reflect.TypeFor[Settings]() {
		return settingsValues(v)
	}
	if v.Kind() == reflect.Struct {
		var all []string
		for i := range v.NumField() {
			all = append(all, values(v.Field(i))...)
		}
		return all
	}
	if kind := v.Kind(); kind == reflect.Slice || kind == reflect.Array {
		all := []string{fmt.Sprintf("list of %d", v.Len())}
		for i := range v.Len() {
			all = append(all, values(v.Index(i))...)
		}
		return all
	}
	if v.Kind() == reflect.Map {
		all := []string{fmt.Sprintf("map of %d", v.Len())}
		keys := v.MapKeys()
		slices.SortFunc(keys, func(a, b reflect.Value) int { return strings.Compare(a.String(), b.String()) })
		for _, k := range keys {
			all = append(append(all, values(k)...), values(v.MapIndex(k))...)
		}
		return all
	}
	return []string{scalar(v)}
}

// settingsValues lists the values of Settings. The golden files have the fields of load reports in the place of
// EnginesReportLoad.
func settingsValues(v reflect.Value) (all []string) {
	control, loadReport := v.FieldByName("Control"), v.FieldByName("LoadReport")
	for i := range control.NumField() {
		if control.Type().Field(i).Name == "EnginesReportLoad" {
			all = append(all, values(loadReport)...)
		} else {
			all = append(all, values(control.Field(i))...)
		}
	}
	for i := range v.NumField() {
		if name := v.Type().Field(i).Name; name != "Control" && name != "LoadReport" {
			all = append(all, values(v.Field(i))...)
		}
	}
	return all
}

// scalar formats a value that contains no other values.
func scalar(v reflect.Value) string {
	switch {
	case v.CanInt():
		return strconv.FormatInt(v.Int(), 10)
	case v.CanUint():
		return strconv.FormatUint(v.Uint(), 10)
	case v.CanFloat():
		return fmt.Sprint(v.Float())
	case v.Kind() == reflect.Bool:
		return strconv.FormatBool(v.Bool())
	}
	return strconv.Quote(v.String())
}

// The configurations that Load returns, with defaults applied, match the golden files value by value.
func TestParsedValues(t *testing.T) {
	for name, path := range map[string]string{
		"every-key":                "testdata/every-key.json",
		"least":                    "testdata/least.json",
		"application":              "../description/testdata/deploy.broker.golden",
		"application-of-every-key": "../description/testdata/every-key.broker.golden",
	} {
		for _, env := range []map[string]string{
			{"TMPDIR": "/var/tmp/a"},
			{
				"TMPDIR": "/var/tmp/b", "RELAY_NAME": "n9", "RELAY_LISTEN": "10.0.0.9:6565",
				"RELAY_OPERATOR": "10.0.0.9:7000",
			},
		} {
			env["RELAY_CONFIG"] = path
			c, err := Load(func(key string) string { return env[key] })
			if err != nil {
				t.Fatal(err)
			}
			suffix := ".values"
			if env["RELAY_NAME"] != "" {
				suffix = ".env.values"
			}
			goldenfile.Compare(t, filepath.Join("testdata", name+suffix), strings.Join(values(reflect.ValueOf(c)), "\n")+"\n")
		}
	}
}

// The effect of omitting each key of the platform's file matches the golden file. The test guards against a key that
// is decoded into the wrong field or no longer read.
func TestEachKey(t *testing.T) {
	text, err := os.ReadFile("testdata/every-key.json")
	if err != nil {
		t.Fatal(err)
	}
	parsed := func(doc any) []string {
		changed, err := json.Marshal(doc)
		if err != nil {
			t.Fatal(err)
		}
		path := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(path, changed, 0o600); err != nil {
			t.Fatal(err)
		}
		env := map[string]string{"RELAY_CONFIG": path, "TMPDIR": "/tmp"}
		c, err := Load(func(key string) string { return env[key] })
		if err != nil {
			return []string{"rejected"}
		}
		c.given = givenKeys{} // covered by TestParsedValues
		return values(reflect.ValueOf(c))
	}
	var doc any
	if err := json.Unmarshal(text, &doc); err != nil {
		t.Fatal(err)
	}
	complete := parsed(doc)
	var out strings.Builder
	without(doc, "", func(key string) {
		fmt.Fprintf(&out, "without %s:\n", key)
		for _, line := range differences(complete, parsed(doc)) {
			fmt.Fprintf(&out, "\t%s\n", line)
		}
	})
	goldenfile.Compare(t, "testdata/each-key.txt", out.String())
}

// without removes each key of a document in turn, calls f with its path, and restores it.
func without(doc any, path string, f func(key string)) {
	switch doc := doc.(type) {
	case map[string]any:
		for _, k := range slices.Sorted(maps.Keys(doc)) {
			key := strings.TrimPrefix(path+"."+k, ".")
			v := doc[k]
			delete(doc, k)
			f(key)
			doc[k] = v
			without(v, key, f)
		}
	case []any:
		for i, v := range doc {
			without(v, fmt.Sprintf("%s[%d]", path, i), f)
		}
	}
}

// differences formats the differences between two lists: each differing line with its index if the lists have the
// same length, otherwise the range between their common prefix and suffix. A list of one line is returned as it is.
func differences(before, after []string) (all []string) {
	if len(before) == len(after) {
		for i := range before {
			if before[i] != after[i] {
				all = append(all, fmt.Sprintf("%d: %s -> %s", i, before[i], after[i]))
			}
		}
		return all
	}
	if len(after) == 1 {
		return after
	}
	prefix := 0
	for prefix < min(len(before), len(after)) && before[prefix] == after[prefix] {
		prefix++
	}
	suffix := 0
	for suffix < min(len(before), len(after))-prefix && before[len(before)-1-suffix] == after[len(after)-1-suffix] {
		suffix++
	}
	return []string{fmt.Sprintf("%d: %s -> %s", prefix, strings.Join(before[prefix:len(before)-suffix], " "),
		strings.Join(after[prefix:len(after)-suffix], " "))}
}
