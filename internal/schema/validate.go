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
	InvalidType ViolationKind = iota // the value has another type than its key
	UnknownKey                       // the object has no such key
	MissingKey                       // a required key is missing
	OutOfRange                       // the value is out of bounds, or none of those allowed
)

// Violation is a place of a document that does not match the schema.
type Violation struct {
	Path      []string // keys and array indices from the root
	Kind      ViolationKind
	Reason    string
	KnownKeys []string // of the object that an unknown key is in, sorted
}

// Key returns the path as in telemetry.graphite[0].address.
func (v Violation) Key() string { return jsontext.FormatPath(v.Path...) }

// String returns the path and the reason.
func (v Violation) String() string { return v.Key() + ": " + v.Reason }

// The errors of Decode.
var (
	ErrTruncated    = errors.New("the JSON text breaks off")
	ErrTrailingText = errors.New("something follows the JSON value")
)

// Decode decodes a document that holds exactly one JSON value, with numbers as json.Number.
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

// Validate finds the violations of a document in the order of its sorted keys.
func Validate(s *jsonschema.Schema, doc any) ([]Violation, error) {
	var v validator
	v.value(s, doc, nil)
	return v.violations, v.err
}

type validator struct {
	violations []Violation
	err        error // of schemas that can't be used
}

func (v *validator) report(kind ViolationKind, path []string, format string, args ...any) {
	v.violations = append(
		v.violations,
		Violation{Path: slices.Clone(path), Kind: kind, Reason: fmt.Sprintf(format, args...)},
	)
}

// value validates one value. Objects and arrays are traversed here, so that each violation has its path; the
// library validates all other values.
func (v *validator) value(s *jsonschema.Schema, value any, path []string) {
	switch value := value.(type) {
	case map[string]any:
		if s.Type != typeObject {
			v.report(
				InvalidType,
				path,
				"an object does not belong here, but %s",
				withArticle(s.Type),
			)
			return
		}
		v.object(s, value, path)
	case []any:
		if s.Type != typeArray {
			v.report(
				InvalidType, path, "a list does not belong here, but %s", withArticle(s.Type),
			)
			return
		}
		v.array(s, value, path)
	default:
		v.scalar(s, value, path)
	}
}

func (v *validator) array(s *jsonschema.Schema, items []any, path []string) {
	if s.MaxItems != nil && len(items) > *s.MaxItems {
		v.report(OutOfRange, path, "%d items, %d at most", len(items), *s.MaxItems)
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
		} else if s.AdditionalProperties != nil { // a schema that forbids further keys
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
			v.report(MissingKey, append(path, key), "missing")
		}
	}
}

// scalar validates a number, string, truth value or null.
func (v *validator) scalar(s *jsonschema.Schema, value any, path []string) {
	got := typeOf(value)
	isIntegerForNumber := got == typeInteger && s.Type == typeNumber
	if s.Type != "" && got != s.Type && !isIntegerForNumber {
		v.report(
			InvalidType,
			path,
			"%s does not belong here, but %s",
			withArticle(got),
			withArticle(s.Type),
		)
		return
	}
	if reason := outOfRange(s, value); reason != "" {
		v.report(OutOfRange, path, "%s", reason)
		return
	}
	resolved, err := s.Resolve(nil)
	if err != nil {
		v.err = errors.Join(v.err, fmt.Errorf("schema: %w", err))
		return
	}
	if number, ok := value.(json.Number); ok {
		value = toFloat(number) // the library would take a json.Number for a string
	}
	if err := resolved.Validate(value); err != nil {
		v.report(OutOfRange, path, "%s", withoutSchemaPath(err.Error()))
	}
}

// outOfRange says which bound of a schema a value exceeds, empty if none.
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

// withoutSchemaPath cuts the place in the schema off a message of the library.
func withoutSchemaPath(message string) string {
	if _, reason, ok := strings.Cut(message, ": "); ok && strings.HasPrefix(message, "validating") {
		return reason
	}
	return message
}

// toFloat converts a number of a decoded document; one that is too large becomes infinite.
func toFloat(n json.Number) float64 {
	f, _ := n.Float64() // the decoder has checked the syntax
	return f
}

// The type names of JSON Schema.
const (
	typeObject  = "object"
	typeArray   = "array"
	typeInteger = "integer"
	typeNumber  = "number"
	typeBoolean = "boolean"
	typeString  = "string"
	typeNull    = "null"
)

// typeOf returns the JSON Schema type of a scalar of a decoded document.
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

// withArticle returns a type in words.
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

func join(values []any) string {
	texts := make([]string, 0, len(values))
	for _, v := range values {
		texts = append(texts, fmt.Sprint(v))
	}
	return strings.Join(texts, ", ")
}
