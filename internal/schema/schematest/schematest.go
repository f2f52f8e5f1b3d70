// Package schematest helps tests to compare JSON schemas.
package schematest

import (
	"encoding/json"
	"fmt"
)

// WithoutDescriptions returns a JSON schema, indented and without the descriptions of its values. It returns an error
// if schema is not valid JSON.
func WithoutDescriptions(schema []byte) (string, error) {
	var doc any
	if err := json.Unmarshal(schema, &doc); err != nil {
		return "", fmt.Errorf("decode JSON schema: %w", err)
	}
	dropDescriptions(doc)
	text, err := json.MarshalIndent(doc, "", " ")
	if err != nil {
		return "", fmt.Errorf("encode JSON schema: %w", err)
	}
	return string(text) + "\n", nil
}

// dropDescriptions removes the descriptions within a value. A property of the name "description" is an object, not a
// string, and is retained.
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
