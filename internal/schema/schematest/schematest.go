// Package schematest helps tests to compare JSON schemas.
package schematest

import (
	"encoding/json"
	"fmt"
)

// WithoutDescriptions returns a JSON schema, indented, without the texts that describe its values. The error is that of
// a text that is no JSON.
func WithoutDescriptions(schema []byte) (string, error) {
	var doc any
	if err := json.Unmarshal(schema, &doc); err != nil {
		return "", fmt.Errorf("read a JSON schema: %w", err)
	}
	dropDescriptions(doc)
	text, err := json.MarshalIndent(doc, "", " ")
	if err != nil {
		return "", fmt.Errorf("write a JSON schema: %w", err)
	}
	return string(text) + "\n", nil
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
