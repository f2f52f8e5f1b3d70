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

// values lists the values that a Go value holds, one a line, in the order of its fields and of the keys of
// its maps. It gives no name of a type or field.
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

// settingsValues lists the values of Settings. The fields of load reports stand where the decision module is
// told whether there are any: at the place that they have in the files.
func settingsValues(v reflect.Value) (all []string) {
	module, fields := v.FieldByName("Control"), v.FieldByName("LoadReport")
	for i := range module.NumField() {
		if module.Type().Field(i).Name == "EnginesReportLoad" {
			all = append(all, values(fields)...)
		} else {
			all = append(all, values(module.Field(i))...)
		}
	}
	for i := range v.NumField() {
		if name := v.Type().Field(i).Name; name != "Control" && name != "LoadReport" {
			all = append(all, values(v.Field(i))...)
		}
	}
	return all
}

// scalar is a value that holds no others.
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

// What files of the platform give is what it was, value by value, with the same defaults.
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

// Each key of the platform's file has its own place: one that is changed or left out changes the same values
// as it did.
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
		c.Keys = nil // TestParsedValues covers them
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

// without calls f with each key of a document while the document is without it.
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

// differences are the lines that one list has and the other lacks, with the number of the line for lists of
// one length.
func differences(was, now []string) (all []string) {
	if len(was) == len(now) {
		for i := range was {
			if was[i] != now[i] {
				all = append(all, fmt.Sprintf("%d: %s -> %s", i, was[i], now[i]))
			}
		}
		return all
	}
	if len(now) == 1 {
		return now
	}
	first := 0
	for first < min(len(was), len(now)) && was[first] == now[first] {
		first++
	}
	last := 0
	for last < min(len(was), len(now))-first && was[len(was)-1-last] == now[len(now)-1-last] {
		last++
	}
	return []string{fmt.Sprintf("%d: %s -> %s", first, strings.Join(was[first:len(was)-last], " "),
		strings.Join(now[first:len(now)-last], " "))}
}
