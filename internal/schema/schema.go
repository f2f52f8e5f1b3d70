// Package schema makes JSON Schemas (draft 2020-12) of Go types and checks documents against them. It finds every
// fault of a document in one pass, each with its place.
//
// The schemas and the meaning of their keywords are those of github.com/google/jsonschema-go. Of the libraries tried
// it is the one that costs a broker of 32 MB next to nothing at its start; see docs/design/telemetry.md.
package schema

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/google/jsonschema-go/jsonschema"
)

// For makes the schema of a struct type. A field's json tag names it, jsonschema describes it, and limits bounds it, as
// in limits:"min=1,max=9,default=4", limits:"enum=a|b", limits:"minlen=1,maxlen=32,pattern=^[a-z]+$" (the pattern last) and
// limits:"maxitems=4". A field is required unless it is marked omitempty or omitzero.
func For[T any]() (*jsonschema.Schema, error) {
	s, err := jsonschema.For[T](nil)
	if err != nil {
		return nil, fmt.Errorf("schema: %w", err)
	}
	if err := limit(s, reflect.TypeFor[T]()); err != nil {
		return nil, err
	}
	s.Schema = "https://json-schema.org/draft/2020-12/schema"
	return s, nil
}

// limit takes over the limits of a type's fields.
func limit(s *jsonschema.Schema, t reflect.Type) error {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice {
		if t.Kind() == reflect.Slice {
			// A list or object that is there is one: the library also allows null, which here would mean nothing.
			s.Type, s.Types = "array", nil
			s = s.Items
		}
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct {
		return nil
	}
	s.Type, s.Types = "object", nil
	for f := range fields(t) {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if name == "" {
			name = f.Name
		}
		p := s.Properties[name]
		if p == nil {
			continue
		}
		if err := limit(p, f.Type); err != nil {
			return err
		}
		if err := keywords(p, f.Tag.Get("limits"), f.Type); err != nil {
			return fmt.Errorf("schema: %s.%s: %w", t, f.Name, err)
		}
	}
	return nil
}

func fields(t reflect.Type) func(func(reflect.StructField) bool) {
	return func(yield func(reflect.StructField) bool) {
		for i := range t.NumField() {
			if !yield(t.Field(i)) {
				return
			}
		}
	}
}

// keywords sets what a limits tag says.
func keywords(s *jsonschema.Schema, tag string, t reflect.Type) error {
	for tag != "" {
		var part string
		if strings.HasPrefix(tag, "pattern=") {
			part, tag = tag, ""
		} else {
			part, tag, _ = strings.Cut(tag, ",")
		}
		key, value, _ := strings.Cut(part, "=")
		switch key {
		case "enum":
			for v := range strings.SplitSeq(value, "|") {
				s.Enum = append(s.Enum, v)
			}
			continue
		case "pattern":
			s.Pattern = value
			continue
		case "default":
			if t.Kind() == reflect.String {
				value = strconv.Quote(value)
			}
			s.Default = json.RawMessage(value)
			continue
		}
		v, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return fmt.Errorf("limits: %q: %w", part, err)
		}
		n := int(v)
		switch key {
		case "min":
			s.Minimum = &v
		case "max":
			s.Maximum = &v
		case "minlen":
			s.MinLength = &n
		case "maxlen":
			s.MaxLength = &n
		case "maxitems":
			s.MaxItems = &n
		default:
			return fmt.Errorf("limits: unknown %q", key)
		}
	}
	return nil
}

// What is the kind of a fault.
type What int

// The kinds of fault.
const (
	Type    What = iota // a value of another type belongs there
	Unknown             // no such key
	Missing             // a key that must be there
	Range               // out of bounds, or none of the values there are
)

// Finding is a fault of a document.
type Finding struct {
	Path   []string // keys and numbers of items, from the root
	What   What
	Reason string
	Near   []string // keys that are known where an unknown one stands
}

// Key writes a finding's place as telemetry.graphite[0].address.
func (f Finding) Key() string {
	var b strings.Builder
	for _, p := range f.Path {
		_, err := strconv.Atoi(p)
		switch {
		case err == nil:
			fmt.Fprintf(&b, "[%s]", p)
			continue
		case b.Len() > 0:
			b.WriteByte('.')
		}
		b.WriteString(p)
	}
	if b.Len() == 0 {
		return "the file"
	}
	return b.String()
}

func (f Finding) Error() string { return f.Key() + ": " + f.Reason }

// Decode reads a document into any, with numbers as they are written. Exactly one JSON value must be there.
func Decode(text []byte) (any, error) {
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	var v any
	if err := d.Decode(&v); err != nil {
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return nil, errors.New("the JSON text breaks off")
		}
		return nil, err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("something follows the JSON value")
	}
	return v, nil
}

// Check finds the faults of a document, in the order of its keys.
func Check(s *jsonschema.Schema, doc any) ([]Finding, error) {
	c := checker{}
	c.value(s, doc, nil)
	return c.found, c.err
}

type checker struct {
	found []Finding
	err   error
}

func (c *checker) report(what What, path []string, format string, args ...any) {
	c.found = append(c.found, Finding{Path: slices.Clone(path), What: what, Reason: fmt.Sprintf(format, args...)})
}

// value checks one value. Objects and arrays are gone through here, so that each fault has its place; what a keyword
// means to any other value is the library's.
func (c *checker) value(s *jsonschema.Schema, v any, path []string) {
	switch v := v.(type) {
	case map[string]any:
		if s.Type != "object" {
			c.report(Type, path, "an object does not belong here, but %s", article(s.Type))
			return
		}
		c.object(s, v, path)
	case []any:
		if s.Type != "array" {
			c.report(Type, path, "a list does not belong here, but %s", article(s.Type))
			return
		}
		if s.MaxItems != nil && len(v) > *s.MaxItems {
			c.report(Range, path, "%d items, %d at most", len(v), *s.MaxItems)
		}
		for i, item := range v {
			c.value(s.Items, item, append(path, strconv.Itoa(i)))
		}
	default:
		c.leaf(s, v, path)
	}
}

func (c *checker) object(s *jsonschema.Schema, v map[string]any, path []string) {
	for _, key := range slices.Sorted(maps.Keys(v)) {
		at := append(path, key)
		if p := s.Properties[key]; p != nil {
			c.value(p, v[key], at)
		} else if s.AdditionalProperties != nil {
			c.found = append(c.found, Finding{Path: slices.Clone(at), What: Unknown, Reason: "unknown key",
				Near: slices.Sorted(maps.Keys(s.Properties))})
		}
	}
	for _, key := range s.Required {
		if _, there := v[key]; !there {
			c.report(Missing, append(path, key), "missing")
		}
	}
}

// leaf checks a number, text, truth value or null.
func (c *checker) leaf(s *jsonschema.Schema, v any, path []string) {
	if got := typeOf(v); s.Type != "" && got != s.Type && !(got == "integer" && s.Type == "number") {
		c.report(Type, path, "%s does not belong here, but %s", article(got), article(s.Type))
		return
	}
	switch n, isNumber := v.(json.Number); {
	case len(s.Enum) > 0 && !slices.Contains(s.Enum, v):
		c.report(Range, path, "%q is none of %s", v, list(s.Enum))
		return
	case isNumber && s.Minimum != nil && number(n) < *s.Minimum:
		c.report(Range, path, "%s is less than %v", n, *s.Minimum)
		return
	case isNumber && s.Maximum != nil && number(n) > *s.Maximum:
		c.report(Range, path, "%s is more than %v", n, *s.Maximum)
		return
	}
	r, err := s.Resolve(nil)
	if err != nil {
		c.err = errors.Join(c.err, fmt.Errorf("schema: %w", err))
		return
	}
	if n, ok := v.(json.Number); ok {
		v = number(n) // the library takes a json.Number for the text that it is
	}
	if err := r.Validate(v); err != nil {
		text := err.Error()
		if _, after, ok := strings.Cut(text, ": "); ok && strings.HasPrefix(text, "validating") {
			text = after // what stands ahead names the place in the schema
		}
		c.report(Range, path, "%s", text)
	}
}

func number(n json.Number) float64 {
	v, _ := n.Float64() // the decoder takes no text that is no number; what is out of range is infinite
	return v
}

func typeOf(v any) string {
	switch v := v.(type) {
	case nil:
		return "null"
	case bool:
		return "boolean"
	case string:
		return "string"
	case json.Number:
		if _, err := v.Int64(); err == nil {
			return "integer"
		}
		return "number"
	}
	return "value"
}

func article(kind string) string {
	switch kind {
	case "array":
		return "a list"
	case "null":
		return "null"
	case "integer", "object":
		return "an " + kind
	case "boolean":
		return "true or false"
	}
	return "a " + kind
}

func list(all []any) string {
	texts := make([]string, 0, len(all))
	for _, v := range all {
		texts = append(texts, fmt.Sprint(v))
	}
	return strings.Join(texts, ", ")
}
