package operatorconfig

import (
	"bytes"
	"encoding/json"
	"path/filepath"
	"testing"

	"wheatlane/internal/goldenfile"
	"wheatlane/internal/schema/schematest"
)

// What operators' files give is what it was, key by key in the words of the file, with the same defaults; so
// are the passwords and the bounds on names.
func TestParsedValues(t *testing.T) {
	for _, c := range []struct{ name, path string }{
		{"every-key", "testdata/every-key.json"},
		{"least", "testdata/least.json"},
		{"telemetry-alone", "testdata/telemetry-alone.json"},
		{"empty", "testdata/empty.json"},
		{"deploy", "../../deploy/operator.json"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, err := Load(c.path)
			if err != nil {
				t.Fatal(err)
			}
			var out bytes.Buffer
			e := json.NewEncoder(&out)
			e.SetIndent("", " ")
			if err := e.Encode(f); err != nil {
				t.Fatal(err)
			}
			if err := e.Encode(f.Cardinality()); err != nil {
				t.Fatal(err)
			}
			if f.Telemetry != nil {
				for _, d := range f.Telemetry.Collectd {
					out.WriteString("password " + d.Password + "\n")
				}
				out.WriteString("interval " + f.Telemetry.Interval().String() + "\n")
			}
			goldenfile.Compare(t, filepath.Join("testdata", c.name+".values"), out.String())
		})
	}
}

// The schema is what it was, descriptions apart.
func TestSchemaIsStable(t *testing.T) {
	text, err := SchemaText()
	if err != nil {
		t.Fatal(err)
	}
	schema, err := schematest.WithoutDescriptions(text)
	if err != nil {
		t.Fatal(err)
	}
	goldenfile.Compare(t, "testdata/schema.json", schema)
}
