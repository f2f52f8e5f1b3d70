package schema

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/google/jsonschema-go/jsonschema"

	"wheatlane/internal/jsontext"
)

// ViolationKind classifies violations.
type ViolationKind int

// The kinds of violation.
const (
	InvalidType ViolationKind = iota // a value is not of the type that the schema requires
	UnknownKey                       // an object contains a key that the schema does not define
	MissingKey                       // a required key is missing
	OutOfRange                       // a value is out of bounds, or not among the allowed values
)

// Violation describes a part of a document that does not match the schema.
type Violation struct {
	Path      []string // keys and array indices from the root
	Kind      ViolationKind
	Reason    string
	KnownKeys []string // keys that the schema defines beside an unknown key, sorted
}

// Key returns the formatted path, as in telemetry.graphite[0].address.
func (v Violation) Key() string { return jsontext.FormatPath(v.Path...) }

// String returns the key and the reason.
func (v Violation) String() string { return v.Key() + ": " + v.Reason }

// Errors that Decode returns.
var (
	ErrTruncated    = errors.New("JSON text is truncated")
	ErrTrailingText = errors.New("unexpected text after the JSON value")
)

// Decode decodes a document that must hold exactly one JSON value. It decodes numbers as json.Number.
func Decode(text []byte) (any, error) {
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	var v any
	if err := d.Decode(&v); err != nil {
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return nil, ErrTruncated
		}
		return nil, err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, ErrTrailingText
	}
	return v, nil
}

// Validate returns all violations of a document, with the keys of each object in sorted order. It returns an error if
// the schema itself is invalid.
func Validate(s *jsonschema.Schema, doc any) ([]Violation, error) {
	var v validator
	v.value(s, doc, nil)
	return v.violations, v.err
}

// validator collects the violations of a document.
type validator struct {
	violations []Violation
	err        error // of invalid schemas
}

func (v *validator) report(kind ViolationKind, path []string, format string, args ...any) {
	v.violations = append(
		v.violations,
		Violation{Path: slices.Clone(path), Kind: kind, Reason: fmt.Sprintf(format, args...)},
	)
}

// value validates one value. It traverses objects and arrays itself, so that each violation has its path, and leaves
// all other values to the library.
func (v *validator) value(s *jsonschema.Schema, value any, path []string) {
	switch value := value.(type) {
	case map[string]any:
		if s.Type != typeObject {
			v.report(InvalidType, path, "must be %s, got an object", withArticle(s.Type))
			return
		}
		v.object(s, value, path)
	case []any:
		if s.Type != typeArray {
			v.report(InvalidType, path, "must be %s, got a list", withArticle(s.Type))
			return
		}
		v.array(s, value, path)
	default:
		v.scalar(s, value, path)
	}
}

func (v *validator) array(s *jsonschema.Schema, items []any, path []string) {
	if s.MaxItems != nil && len(items) > *s.MaxItems {
		v.report(OutOfRange, path, "must have at most %d items, got %d", *s.MaxItems, len(items))
	}
	for i, item := range items {
		v.value(s.Items, item, append(path, strconv.Itoa(i)))
	}
}

func (v *validator) object(s *jsonschema.Schema, object map[string]any, path []string) {
	for _, key := range slices.Sorted(maps.Keys(object)) {
		keyPath := slices.Concat(path, []string{key})
		if property := s.Properties[key]; property != nil {
			v.value(property, object[key], keyPath)
		} else if s.AdditionalProperties != nil { // the schema forbids unknown keys
			v.violations = append(v.violations, Violation{
				Path:      keyPath,
				Kind:      UnknownKey,
				Reason:    "unknown key",
				KnownKeys: slices.Sorted(maps.Keys(s.Properties)),
			})
		}
	}
	for _, key := range s.Required {
		if _, ok := object[key]; !ok {
			v.report(MissingKey, append(path, key), "required key is missing")
		}
	}
}

// scalar validates a number, string, boolean or null.
func (v *validator) scalar(s *jsonschema.Schema, value any, path []string) {
	got := typeOf(value)
	isIntegerForNumber := got == typeInteger && s.Type == typeNumber
	if s.Type != "" && got != s.Type && !isIntegerForNumber {
		v.report(InvalidType, path, "must be %s, got %s", withArticle(s.Type), withArticle(got))
		return
	}
	if reason := outOfRange(s, value); reason != "" {
		v.report(OutOfRange, path, "%s", reason)
		return
	}
	resolved, err := s.Resolve(nil)
	if err != nil {
		v.err = errors.Join(v.err, fmt.Errorf("resolve schema: %w", err))
		return
	}
	if number, ok := value.(json.Number); ok {
		value = toFloat(number) // the library treats a json.Number as a string
	}
	if err := resolved.Validate(value); err != nil {
		v.report(OutOfRange, path, "%s", withoutSchemaPath(err.Error()))
	}
}

// outOfRange describes the bound or enumeration of a schema that a value violates. The result is empty if there is
// none.
func outOfRange(s *jsonschema.Schema, value any) string {
	if len(s.Enum) > 0 && !slices.Contains(s.Enum, value) {
		return fmt.Sprintf("%q is none of %s", value, join(s.Enum))
	}
	number, ok := value.(json.Number)
	switch {
	case ok && s.Minimum != nil && toFloat(number) < *s.Minimum:
		return fmt.Sprintf("%s is less than %v", number, *s.Minimum)
	case ok && s.Maximum != nil && toFloat(number) > *s.Maximum:
		return fmt.Sprintf("%s is more than %v", number, *s.Maximum)
	}
	return ""
}

// withoutSchemaPath removes the path within the schema from a message of the library.
func withoutSchemaPath(message string) string {
	if _, reason, ok := strings.Cut(message, ": "); ok && strings.HasPrefix(message, "validating") {
		return reason
	}
	return message
}

// toFloat converts a number of a decoded document. Numbers out of range become infinite.
func toFloat(n json.Number) float64 {
	f, _ := n.Float64() // the decoder has validated the syntax
	return f
}

// Type names of JSON Schema.
const (
	typeObject  = "object"
	typeArray   = "array"
	typeInteger = "integer"
	typeNumber  = "number"
	typeBoolean = "boolean"
	typeString  = "string"
	typeNull    = "null"
)

// typeOf returns the JSON Schema type of a scalar in a decoded document.
func typeOf(value any) string {
	switch value := value.(type) {
	case nil:
		return typeNull
	case bool:
		return typeBoolean
	case string:
		return typeString
	case json.Number:
		if _, err := value.Int64(); err == nil {
			return typeInteger
		}
		return typeNumber
	}
	return "value"
}

// withArticle returns a type's name with its article, for messages.
func withArticle(typeName string) string {
	switch typeName {
	case typeArray:
		return "a list"
	case typeNull:
		return "null"
	case typeInteger, typeObject:
		return "an " + typeName
	case typeBoolean:
		return "true or false"
	}
	return "a " + typeName
}

// join formats values as a list, separated by commas.
func join(values []any) string {
	texts := make([]string, 0, len(values))
	for _, v := range values {
		texts = append(texts, fmt.Sprint(v))
	}
	return strings.Join(texts, ", ")
}
