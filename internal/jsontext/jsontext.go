// Package jsontext parses JSON into a tree that keeps the position of each value, so that a checker can
// report where a fault is. It detects what encoding/json accepts silently: duplicate keys, a byte order mark,
// text after the value.
package jsontext

import (
	"encoding/json"
	"strconv"
	"strings"
)

// Kind is the type of a JSON value.
type Kind int

// The types of values.
const (
	Object Kind = iota
	Array
	String
	Number
	Bool
	Null
)

// String returns the type with its article, as messages have it.
func (k Kind) String() string {
	return [...]string{"an object", "a list", "a text", "a number", "true or false", "null"}[k]
}

// Position is a place in a text. Line and Column count from 1, columns in bytes.
type Position struct{ Line, Column int }

// Node is a JSON value.
type Node struct {
	Kind     Kind
	Position Position
	Text     string // of a String, and of a Number as it is written
	Number   float64
	Bool     bool
	Members  []Member // of an Object, in order of the text
	Items    []*Node  // of an Array
}

// Member is a key of an object with its value.
type Member struct {
	Key      string
	Position Position // of the key
	Value    *Node
}

// FormatPath formats a path of keys and array indices as in telemetry.graphite[0].address.
func FormatPath(path ...string) string {
	if len(path) == 0 {
		return "the file"
	}
	var b strings.Builder
	for _, key := range path {
		if _, err := strconv.Atoi(key); err == nil {
			b.WriteString("[" + key + "]")
			continue
		}
		if b.Len() > 0 {
			b.WriteByte('.')
		}
		b.WriteString(key)
	}
	return b.String()
}

// Get returns the value of a key, nil if n is no object or lacks it. n may be nil, as in all methods.
func (n *Node) Get(key string) *Node {
	if n == nil {
		return nil
	}
	for _, m := range n.Members {
		if m.Key == key {
			return m.Value
		}
	}
	return nil
}

// At returns the value at a path of keys and array indices, nil if there is none.
func (n *Node) At(path ...string) *Node {
	for _, key := range path {
		if n != nil && n.Kind == Array {
			n = n.item(key)
		} else {
			n = n.Get(key)
		}
	}
	return n
}

// item returns the item of an array at an index in decimal digits, nil if there is none.
func (n *Node) item(index string) *Node {
	i, err := strconv.Atoi(index)
	if err != nil || i < 0 || i >= len(n.Items) {
		return nil
	}
	return n.Items[i]
}

// Elements returns the items of an array, nil for any other value.
func (n *Node) Elements() []*Node {
	if n == nil || n.Kind != Array {
		return nil
	}
	return n.Items
}

// NumberOr returns the value of a number, and a default for any other value.
func (n *Node) NumberOr(defaultValue float64) float64 {
	if n == nil || n.Kind != Number {
		return defaultValue
	}
	return n.Number
}

// StringOrEmpty returns the value of a string, and the empty string for any other value.
func (n *Node) StringOrEmpty() string {
	if n == nil || n.Kind != String {
		return ""
	}
	return n.Text
}

// IsTrue reports whether the value is true.
func (n *Node) IsTrue() bool { return n != nil && n.Kind == Bool && n.Bool }

// Any returns the value as encoding/json decodes it, with numbers as json.Number. It is the one method that n
// must not be nil for.
func (n *Node) Any() any {
	switch n.Kind {
	case Object:
		object := make(map[string]any, len(n.Members))
		for _, m := range n.Members {
			object[m.Key] = m.Value.Any()
		}
		return object
	case Array:
		array := make([]any, len(n.Items))
		for i, item := range n.Items {
			array[i] = item.Any()
		}
		return array
	case String:
		return n.Text
	case Number:
		return json.Number(n.Text)
	case Bool:
		return n.Bool
	case Null:
		return nil
	}
	return nil
}
