package operatorconfig

import (
	"bytes"
	"encoding/json"
	"path/filepath"
	"testing"

	"wheatlane/internal/goldenfile"
	"wheatlane/internal/schema/schematest"
)

// The configurations that Load returns, with defaults applied, match the golden files, as do the passwords and the
// cardinality limits.
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
			encoder := json.NewEncoder(&out)
			encoder.SetIndent("", " ")
			if err := encoder.Encode(f); err != nil {
				t.Fatal(err)
			}
			if err := encoder.Encode(f.Cardinality()); err != nil {
				t.Fatal(err)
			}
			if f.Telemetry != nil {
				for _, collectd := range f.Telemetry.Collectd {
					out.WriteString("password " + collectd.Password + "\n")
				}
				out.WriteString("interval " + f.Telemetry.Interval().String() + "\n")
			}
			goldenfile.Compare(t, filepath.Join("testdata", c.name+".values"), out.String())
		})
	}
}

// The schema without its descriptions matches the golden file.
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
