// Package schema derives JSON Schemas (draft 2020-12) from Go types and validates documents against them. It
// finds all violations of a document in one pass, each with its path.
//
// github.com/google/jsonschema-go defines the schemas and the meaning of their keywords. Of the libraries that were
// compared, it is the one that adds almost nothing to the startup cost of a broker with 32 MB of memory; see
// docs/design/telemetry.md.
package schema

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/google/jsonschema-go/jsonschema"
)

// draft identifies the dialect of derived schemas.
const draft = "https://json-schema.org/draft/2020-12/schema"

// Keys of struct tags.
const (
	nameTag   = "json"
	limitsTag = "limits"
)

// Keywords of a limits tag.
const (
	enumKeyword      = "enum"
	patternKeyword   = "pattern"
	defaultKeyword   = "default"
	minKeyword       = "min"
	maxKeyword       = "max"
	minLengthKeyword = "minlen"
	maxLengthKeyword = "maxlen"
	maxItemsKeyword  = "maxitems"
)

// FieldDescriber is implemented by struct types that describe their fields for the schema.
type FieldDescriber interface {
	// FieldDescriptions returns the descriptions of fields, indexed by the keys of the fields in a document.
	FieldDescriptions() map[string]string
}

// For derives the schema of a struct type. The json tag of a field sets its key, and the limits tag its bounds, as in
// limits:"min=1,max=9,default=4", limits:"enum=a|b", limits:"minlen=1,maxlen=32,pattern=^[a-z]+$" (the pattern last)
// and limits:"maxitems=4". A field is required unless its json tag has omitempty or omitzero. Its description is its
// jsonschema tag, or comes from the type if that is a FieldDescriber.
func For[T any]() (*jsonschema.Schema, error) {
	s, err := jsonschema.For[T](nil)
	if err != nil {
		return nil, fmt.Errorf("derive schema: %w", err)
	}
	if err := applyLimits(s, reflect.TypeFor[T]()); err != nil {
		return nil, err
	}
	s.Schema = draft
	return s, nil
}

// applyLimits adds the limits of the fields of a type to its schema and to all schemas below it.
func applyLimits(s *jsonschema.Schema, t reflect.Type) error {
	s, t = elementOf(s, t)
	if t.Kind() != reflect.Struct {
		return nil
	}
	s.Type, s.Types = typeObject, nil
	applyDescriptions(s, t)
	for i := range t.NumField() {
		field := t.Field(i)
		property := s.Properties[keyOf(field)]
		if property == nil {
			continue
		}
		if err := applyLimits(property, field.Type); err != nil {
			return err
		}
		if err := applyTag(property, field); err != nil {
			return fmt.Errorf("derive schema of %s.%s: %w", t, field.Name, err)
		}
	}
	return nil
}

// applyDescriptions adds the descriptions of the fields if the type is a FieldDescriber.
func applyDescriptions(s *jsonschema.Schema, t reflect.Type) {
	describer, ok := reflect.Zero(t).Interface().(FieldDescriber)
	if !ok {
		return
	}
	for key, description := range describer.FieldDescriptions() {
		if property := s.Properties[key]; property != nil {
			property.Description = description
		}
	}
}

// elementOf follows pointers and slices to the type of their elements. It also removes null from the types that the
// library allows for an array, because null has no meaning in these documents.
func elementOf(s *jsonschema.Schema, t reflect.Type) (*jsonschema.Schema, reflect.Type) {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice {
		if t.Kind() == reflect.Slice {
			s.Type, s.Types = typeArray, nil
			s = s.Items
		}
		t = t.Elem()
	}
	return s, t
}

// keyOf returns the key of a field in a document.
func keyOf(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get(nameTag), ",")
	if name == "" {
		return field.Name
	}
	return name
}

// applyTag sets the keywords of a field's limits tag in the field's schema.
func applyTag(s *jsonschema.Schema, field reflect.StructField) error {
	tag := field.Tag.Get(limitsTag)
	for tag != "" {
		var keyword string
		if strings.HasPrefix(tag, patternKeyword+"=") { // a pattern may contain commas
			keyword, tag = tag, ""
		} else {
			keyword, tag, _ = strings.Cut(tag, ",")
		}
		name, value, _ := strings.Cut(keyword, "=")
		if err := applyKeyword(s, field.Type, name, value); err != nil {
			return fmt.Errorf("limits tag, keyword %q: %w", keyword, err)
		}
	}
	return nil
}

// applyKeyword sets one keyword of a limits tag.
func applyKeyword(s *jsonschema.Schema, t reflect.Type, name, value string) error {
	switch name {
	case enumKeyword:
		for v := range strings.SplitSeq(value, "|") {
			s.Enum = append(s.Enum, v)
		}
		return nil
	case patternKeyword:
		s.Pattern = value
		return nil
	case defaultKeyword:
		if t.Kind() == reflect.String {
			value = strconv.Quote(value)
		}
		s.Default = json.RawMessage(value)
		return nil
	}
	return applyBound(s, name, value)
}

// applyBound sets a keyword that takes a number.
func applyBound(s *jsonschema.Schema, name, value string) error {
	bound, err := strconv.ParseFloat(value, 64)
	if err != nil {
		return err
	}
	count := int(bound)
	switch name {
	case minKeyword:
		s.Minimum = &bound
	case maxKeyword:
		s.Maximum = &bound
	case minLengthKeyword:
		s.MinLength = &count
	case maxLengthKeyword:
		s.MaxLength = &count
	case maxItemsKeyword:
		s.MaxItems = &count
	default:
		return fmt.Errorf("unknown keyword %q", name)
	}
	return nil
}
