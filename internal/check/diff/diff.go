// Package diff compares two configurations by what they mean: the order of keys, of things that have names, and how a
// number is written say nothing.
package diff

import (
	"fmt"
	"strconv"

	"wheatlane/internal/jsontext"
)

// Change is a difference.
type Change struct {
	Key      string // things in lists by their names, as in settings.RequestClasses[lookup].Worth
	Was, Now string // in words; empty: it is not there
}

func (c Change) String() string {
	switch {
	case c.Was == "":
		return "+ " + c.Key + ": " + c.Now
	case c.Now == "":
		return "- " + c.Key + ": " + c.Was
	}
	return "~ " + c.Key + ": " + c.Was + " -> " + c.Now
}

// names are the keys by which things in lists are known, the first that is there.
var names = []string{"Name", "name", "host", "seq"}

// passed are keys that say nothing of what a broker does.
var passed = map[string]bool{"$schema": true, "$made": true}

// Diff is what differs, in the order of the first file, with what is new behind it.
func Diff(a, b *jsontext.Node) []Change { return compare("", a, b) }

func compare(key string, a, b *jsontext.Node) (all []Change) {
	switch {
	case a == nil && b == nil:
		return nil
	case a == nil || b == nil || a.Kind != b.Kind:
		return []Change{{key, words(a), words(b)}}
	}
	switch a.Kind {
	case jsontext.Object:
		for _, m := range a.Members {
			if !passed[m.Key] {
				all = append(all, compare(join(key, m.Key), m.Value, b.Get(m.Key))...)
			}
		}
		for _, m := range b.Members {
			if !passed[m.Key] && a.Get(m.Key) == nil {
				all = append(all, compare(join(key, m.Key), nil, m.Value)...)
			}
		}
	case jsontext.List:
		all = lists(key, a.Items, b.Items)
	default:
		if words(a) != words(b) {
			all = []Change{{key, words(a), words(b)}}
		}
	}
	return all
}

// lists compares lists by the names of their items if all have one, else by place.
func lists(key string, a, b []*jsontext.Node) (all []Change) {
	one, ordered, ok := byName(a)
	two, rest, ok2 := byName(b)
	if !ok || !ok2 {
		for i := range max(len(a), len(b)) {
			var x, y *jsontext.Node
			if i < len(a) {
				x = a[i]
			}
			if i < len(b) {
				y = b[i]
			}
			all = append(all, compare(fmt.Sprintf("%s[%d]", key, i), x, y)...)
		}
		return all
	}
	for _, n := range ordered {
		all = append(all, compare(key+"["+n+"]", one[n], two[n])...)
	}
	for _, n := range rest {
		if one[n] == nil {
			all = append(all, compare(key+"["+n+"]", nil, two[n])...)
		}
	}
	return all
}

// byName is a list by the names of its items; false if some have none, or two have one.
func byName(items []*jsontext.Node) (by map[string]*jsontext.Node, order []string, ok bool) {
	by = map[string]*jsontext.Node{}
	for _, n := range items {
		name := ""
		for _, key := range names {
			if v := n.Get(key); v != nil {
				name = words(v)
				break
			}
		}
		if name == "" || by[name] != nil {
			return nil, nil, false
		}
		by[name] = n
		order = append(order, name)
	}
	return by, order, true
}

func join(key, name string) string {
	if key == "" {
		return name
	}
	return key + "." + name
}

// words is a value as it is told; numbers by their value, however they are written.
func words(n *jsontext.Node) string {
	if n == nil {
		return ""
	}
	switch n.Kind {
	case jsontext.Text:
		return strconv.Quote(n.Text)
	case jsontext.Number:
		return strconv.FormatFloat(n.Number, 'g', -1, 64)
	case jsontext.Truth:
		return strconv.FormatBool(n.Truth)
	case jsontext.Null:
		return "null"
	case jsontext.List:
		return fmt.Sprintf("a list of %d", len(n.Items))
	}
	for _, key := range names {
		if v := n.Get(key); v != nil {
			return "{" + key + ": " + words(v) + ", ...}"
		}
	}
	return fmt.Sprintf("an object of %d keys", len(n.Members))
}
