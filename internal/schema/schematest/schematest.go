// Package schematest helps tests to compare JSON schemas.
package schematest

import (
	"encoding/json"
	"testing"
)

// WithoutDescriptions returns a JSON schema, indented, without the texts that describe its values.
func WithoutDescriptions(tb testing.TB, schema []byte) string {
	tb.Helper()
	var doc any
	if err := json.Unmarshal(schema, &doc); err != nil {
		tb.Fatal(err)
	}
	dropDescriptions(doc)
	text, err := json.MarshalIndent(doc, "", " ")
	if err != nil {
		tb.Fatal(err)
	}
	return string(text) + "\n"
}

func dropDescriptions(value any) {
	switch value := value.(type) {
	case map[string]any:
		if text, ok := value["description"].(string); ok && text != "" {
			delete(value, "description")
		}
		for _, member := range value {
			dropDescriptions(member)
		}
	case []any:
		for _, element := range value {
			dropDescriptions(element)
		}
	}
}
