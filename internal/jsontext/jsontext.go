// Package jsontext parses JSON into a tree that records the position of each value, so that a checker can report
// where a fault is. It reports duplicate keys, which encoding/json accepts silently, and rejects a byte order mark and
// text after the value.
package jsontext

import (
	"encoding/json"
	"strconv"
	"strings"
)

// Kind is the type of a JSON value.
type Kind int

// The types of JSON values.
const (
	Object Kind = iota
	Array
	String
	Number
	Bool
	Null
)

// String returns the type with its article, for messages.
func (k Kind) String() string {
	return [...]string{"an object", "a list", "a string", "a number", "true or false", "null"}[k]
}

// Position is a position in a text. Line and Column count from 1; columns are in bytes.
type Position struct{ Line, Column int }

// Node is a JSON value.
type Node struct {
	Kind     Kind
	Position Position
	Text     string   // value of a String, or literal of a Number
	Number   float64  // value of a Number
	Bool     bool     // value of a Bool
	Members  []Member // of an Object, in the order of the text
	Items    []*Node  // of an Array
}

// Member is a key of an object with its value.
type Member struct {
	Key      string
	Position Position // of the key
	Value    *Node
}

// FormatPath formats a path of keys and array indices, as in telemetry.graphite[0].address. The empty path is
// "the file".
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

// Get returns the value of a key, or nil if n is not an object or lacks the key. As in all methods but Any, n may be
// nil.
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

// At returns the value at a path of keys and array indices, or nil if there is none.
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

// item returns the item of an array at an index in decimal digits, or nil if there is none.
func (n *Node) item(index string) *Node {
	i, err := strconv.Atoi(index)
	if err != nil || i < 0 || i >= len(n.Items) {
		return nil
	}
	return n.Items[i]
}

// Elements returns the items of an array, or nil for any other value.
func (n *Node) Elements() []*Node {
	if n == nil || n.Kind != Array {
		return nil
	}
	return n.Items
}

// NumberOr returns the value of a number, or the default for any other value.
func (n *Node) NumberOr(defaultValue float64) float64 {
	if n == nil || n.Kind != Number {
		return defaultValue
	}
	return n.Number
}

// StringOrEmpty returns the value of a string, or the empty string for any other value.
func (n *Node) StringOrEmpty() string {
	if n == nil || n.Kind != String {
		return ""
	}
	return n.Text
}

// IsTrue reports whether the value is true.
func (n *Node) IsTrue() bool { return n != nil && n.Kind == Bool && n.Bool }

// Any returns the value as encoding/json decodes it, with numbers as json.Number. n must not be nil.
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
