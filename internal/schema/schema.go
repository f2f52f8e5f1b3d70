// Package schema derives JSON Schemas (draft 2020-12) from Go types and validates documents against them. It
// finds all violations of a document in one pass, each with its path.
//
// The schemas and the meaning of their keywords are those of github.com/google/jsonschema-go. Of the
// libraries that were compared it is the one that costs a broker of 32 MB next to nothing at its start; see
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

// draft is the dialect that derived schemas name.
const draft = "https://json-schema.org/draft/2020-12/schema"

// The keys of the struct tags that are read.
const (
	nameTag   = "json"
	limitsTag = "limits"
)

// The keywords of a limits tag.
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

// FieldDescriber is a struct type that describes its fields for people.
type FieldDescriber interface {
	// FieldDescriptions returns the descriptions of fields by their keys in a document.
	FieldDescriptions() map[string]string
}

// For derives the schema of a struct type. The json tag of a field names it, and limits bounds it, as in
// limits:"min=1,max=9,default=4", limits:"enum=a|b", limits:"minlen=1,maxlen=32,pattern=^[a-z]+$" (the
// pattern last) and limits:"maxitems=4". A field is required unless it is marked omitempty or omitzero. It is
// described by its jsonschema tag, or by the type if that is Described.
func For[T any]() (*jsonschema.Schema, error) {
	s, err := jsonschema.For[T](nil)
	if err != nil {
		return nil, fmt.Errorf("schema: %w", err)
	}
	if err := applyLimits(s, reflect.TypeFor[T]()); err != nil {
		return nil, err
	}
	s.Schema = draft
	return s, nil
}

// applyLimits adds the limits of the fields of a type to its schema, and to all below it.
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
			return fmt.Errorf("schema: %s.%s: %w", t, field.Name, err)
		}
	}
	return nil
}

// applyDescriptions adds the descriptions of the fields of a type that has them.
func applyDescriptions(s *jsonschema.Schema, t reflect.Type) {
	described, ok := reflect.Zero(t).Interface().(FieldDescriber)
	if !ok {
		return
	}
	for key, description := range described.FieldDescriptions() {
		if property := s.Properties[key]; property != nil {
			property.Description = description
		}
	}
}

// elementOf follows pointers and slices to the type of their elements. On its way it takes null out of the
// types that the library allows for an array: here null would have no meaning.
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

// keyOf is the key of a field in a document.
func keyOf(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get(nameTag), ",")
	if name == "" {
		return field.Name
	}
	return name
}

// applyTag sets the keywords of a field's limits tag.
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
			return fmt.Errorf("limits: %q: %w", keyword, err)
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

// applyBound sets a keyword whose value is a number.
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
