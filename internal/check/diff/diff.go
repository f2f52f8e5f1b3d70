// Package diff compares the meaning of two configurations. It ignores the order of keys and of named items, and the
// notation of numbers.
package diff

import (
	"fmt"
	"strconv"

	"wheatlane/internal/jsontext"
)

// Change is a difference between two configurations.
type Change struct {
	Key string // path, with list items identified by name as in settings.RequestClasses["lookup"].Worth
	Old string // formatted value in the first configuration; empty: none
	New string // formatted value in the second configuration; empty: none
}

// String formats a change as a line that begins with + for an addition, - for a removal, or ~ for a changed value.
func (c Change) String() string {
	switch {
	case c.Old == "":
		return "+ " + c.Key + ": " + c.New
	case c.New == "":
		return "- " + c.Key + ": " + c.Old
	}
	return "~ " + c.Key + ": " + c.Old + " -> " + c.New
}

// nameKeys lists keys that identify an item of a list, in order of precedence.
var nameKeys = []string{"Name", "name", "host", "seq"}

// ignoredKeys lists keys that have no effect on a broker.
var ignoredKeys = map[string]bool{"$schema": true, "$made": true}

// Diff returns the changes from configuration a to b, in the order of a. Within an object or list, additions come last.
func Diff(a, b *jsontext.Node) []Change { return compare("", a, b) }

// compare compares the values of a key; nil stands for a missing value.
func compare(key string, a, b *jsontext.Node) []Change {
	switch {
	case a == nil && b == nil:
		return nil
	case a == nil || b == nil || a.Kind != b.Kind:
		return []Change{{Key: key, Old: describe(a), New: describe(b)}}
	case a.Kind == jsontext.Object:
		return compareObjects(key, a, b)
	case a.Kind == jsontext.Array:
		return compareArrays(key, a.Items, b.Items)
	case describe(a) != describe(b):
		return []Change{{Key: key, Old: describe(a), New: describe(b)}}
	}
	return nil
}

func compareObjects(key string, a, b *jsontext.Node) []Change {
	var changes []Change
	for _, m := range a.Members {
		if !ignoredKeys[m.Key] {
			changes = append(changes, compare(join(key, m.Key), m.Value, b.Get(m.Key))...)
		}
	}
	for _, m := range b.Members {
		if !ignoredKeys[m.Key] && a.Get(m.Key) == nil {
			changes = append(changes, compare(join(key, m.Key), nil, m.Value)...)
		}
	}
	return changes
}

// compareArrays compares items by name if each has a unique name, and by index otherwise.
func compareArrays(key string, a, b []*jsontext.Node) []Change {
	oldItems, oldNamed := indexByName(a)
	newItems, newNamed := indexByName(b)
	if !oldNamed || !newNamed {
		return compareByIndex(key, a, b)
	}
	var changes []Change
	for _, name := range oldItems.names {
		changes = append(
			changes, compare(itemKey(key, name), oldItems.byName[name], newItems.byName[name])...,
		)
	}
	for _, name := range newItems.names {
		if oldItems.byName[name] == nil {
			changes = append(changes, compare(itemKey(key, name), nil, newItems.byName[name])...)
		}
	}
	return changes
}

func compareByIndex(key string, a, b []*jsontext.Node) []Change {
	itemAt := func(items []*jsontext.Node, i int) *jsontext.Node {
		if i >= len(items) {
			return nil
		}
		return items[i]
	}
	count := max(len(a), len(b))
	changes := make([]Change, 0, count)
	for i := range count {
		changes = append(
			changes, compare(itemKey(key, strconv.Itoa(i)), itemAt(a, i), itemAt(b, i))...,
		)
	}
	return changes
}

// namedItems indexes a list whose items have unique names.
type namedItems struct {
	byName map[string]*jsontext.Node
	names  []string // in order of the list
}

// indexByName indexes items by name and reports whether each has a unique name.
func indexByName(items []*jsontext.Node) (namedItems, bool) {
	index := namedItems{byName: map[string]*jsontext.Node{}}
	for _, item := range items {
		_, name := nameOf(item)
		if name == "" || index.byName[name] != nil {
			return namedItems{}, false
		}
		index.byName[name] = item
		index.names = append(index.names, name)
	}
	return index, true
}

// nameOf returns the key that identifies an item and its formatted value. Both are empty if the item has no such key.
func nameOf(item *jsontext.Node) (key, name string) {
	for _, key := range nameKeys {
		if value := item.Get(key); value != nil {
			return key, describe(value)
		}
	}
	return "", ""
}

func join(parent, key string) string {
	if parent == "" {
		return key
	}
	return parent + "." + key
}

func itemKey(list, item string) string { return list + "[" + item + "]" }

// describe formats a value with its number normalized. The result for a missing value is empty.
func describe(node *jsontext.Node) string {
	if node == nil {
		return ""
	}
	switch node.Kind {
	case jsontext.String:
		return strconv.Quote(node.Text)
	case jsontext.Number:
		return strconv.FormatFloat(node.Number, 'g', -1, 64)
	case jsontext.Bool:
		return strconv.FormatBool(node.Bool)
	case jsontext.Null:
		return "null"
	case jsontext.Array:
		return fmt.Sprintf("a list of %d", len(node.Items))
	case jsontext.Object:
		if key, name := nameOf(node); key != "" {
			return "{" + key + ": " + name + ", ...}"
		}
	}
	return fmt.Sprintf("an object of %d keys", len(node.Members))
}
