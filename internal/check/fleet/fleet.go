// Package fleet is the layer of the checker that looks at several files together and finds what each of them is right
// in and they disagree on. It works on trees of values and does no I/O.
package fleet

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"wheatlane/internal/check"
	"wheatlane/internal/jsontext"
)

// The checks of this layer.
var (
	Listen    = check.Check{Code: "S101", Severity: check.Fault, Rule: "a broker listens at an address of its own", Instead: "another address", Broken: `two files with "listen":"10.0.0.4:6565"`, Mended: `"listen":"10.0.0.5:6565"`}
	Engines   = check.Check{Code: "S102", Severity: check.Fault, Rule: "brokers that know as many events know the same engines", Instead: "the events of one change log", Broken: `"seq":3 in both, and other engines`, Mended: `the same events`}
	Behind    = check.Check{Code: "S103", Severity: check.Warning, Rule: "brokers start from lists of one age", Instead: "the later list", Broken: `"seq":3 and "seq":9`, Mended: `"seq":9 in both`}
	Classes   = check.Check{Code: "S104", Severity: check.Fault, Rule: "a class means the same at each broker", Instead: "one meaning, or two names", Broken: `"Effect":"repeatable" and "Effect":"by_key"`, Mended: `the same in both`}
	Tenants   = check.Check{Code: "S105", Severity: check.Fault, Rule: "a tenant's share is one share of the whole service", Instead: "the same share", Broken: `"Share":0.59 and "Share":0.4`, Mended: `"Share":0.59 in both`}
	Peers     = check.Check{Code: "S106", Severity: check.Fault, Rule: "brokers of a tier count the same peers", Instead: "the number there are", Broken: `"PeersTotal":3 and "PeersTotal":5`, Mended: `"PeersTotal":5 in both`}
	Position  = check.Check{Code: "S107", Severity: check.Fault, Rule: "a broker has a place of its own among its peers", Instead: "another place", Broken: `two with "Position":1`, Mended: `"Position":2`}
	Changelog = check.Check{Code: "S108", Severity: check.Warning, Rule: "brokers of a tier follow one change log", Instead: "its address", Broken: `"changelog":"10.2.0.1:4222" and "10.2.0.2:4222"`, Mended: `one of them`}
	Name      = check.Check{Code: "S109", Severity: check.Warning, Rule: "a broker has a name of its own, by which figures and logs tell it", Instead: "another name", Broken: `two with "name":"n1"`, Mended: `"name":"n2"`}
)

// Table is every check of this layer.
var Table = []check.Check{Listen, Engines, Behind, Classes, Tenants, Peers, Position, Changelog, Name}

// meaning are the keys of a class that say what it means.
var meaning = []string{"Effect", "PromiseNs", "GiveUpNs", "ByArrival", "WindowNs", "Worth", "KeyScope"}

// Run finds what the platform's files among these disagree on. What differs is found in the later file, against the
// first that says otherwise.
func Run(files []*check.File) (all []check.Finding) {
	var platform []*check.File
	for _, f := range files {
		if f.Kind == check.Platform {
			platform = append(platform, f)
		}
	}
	for i, b := range platform {
		for _, a := range platform[:i] {
			found := pair(a, b)
			all = append(all, found...)
			if len(found) > 0 {
				break // each file is told of the first that it disagrees with
			}
		}
	}
	return all
}

// text is a value in words, "nothing" if it is not there.
func text(n *jsontext.Node) string {
	if n == nil {
		return "nothing"
	}
	switch n.Kind {
	case jsontext.Text:
		return strconv.Quote(n.Text)
	case jsontext.Truth:
		return strconv.FormatBool(n.Truth)
	case jsontext.Number:
		return strconv.FormatFloat(n.Number, 'f', -1, 64)
	}
	return n.Kind.String()
}

// pair compares two files.
func pair(a, b *check.File) (all []check.Finding) {
	differ := func(c check.Check, path ...string) {
		if x, y := a.Root.At(path...), b.Root.At(path...); text(x) != text(y) {
			all = append(all, b.Hit(c, text(y)+", and "+text(x)+" in "+a.Name, path...))
		}
	}
	same := func(c check.Check, path ...string) {
		if x, y := a.Root.At(path...), b.Root.At(path...); x != nil && y != nil && text(x) == text(y) {
			all = append(all, b.Hit(c, text(y)+" as in "+a.Name, path...))
		}
	}
	if !strings.HasSuffix(a.Root.Get("listen").Str(), ":0") {
		same(Listen, "listen")
	}
	same(Name, "name")
	differ(Changelog, "changelog")
	differ(Peers, "settings", "PeersTotal")
	if a.Root.At("settings", "PeersTotal").Num(1) > 1 {
		same(Position, "settings", "Position")
	}
	all = append(all, named(a, b, Classes, meaning, "settings", "RequestClasses")...)
	all = append(all, named(a, b, Tenants, []string{"Share"}, "settings", "Tenants")...)
	return append(all, lists(a, b)...)
}

// named compares what two lists say of things of one name.
func named(a, b *check.File, c check.Check, keys []string, list ...string) (all []check.Finding) {
	known := map[string]*jsontext.Node{}
	for _, n := range a.Root.At(list...).All() {
		known[n.Get("Name").Str()] = n
	}
	for i, y := range b.Root.At(list...).All() {
		x := known[y.Get("Name").Str()]
		if x == nil {
			continue
		}
		for _, key := range keys {
			if text(x.Get(key)) != text(y.Get(key)) {
				path := append(slices.Clone(list), strconv.Itoa(i), key)
				all = append(all, b.Hit(c, fmt.Sprintf("%s of %q is %s, and %s in %s", key, y.Get("Name").Str(), text(y.Get(key)), text(x.Get(key)), a.Name), path...))
			}
		}
	}
	return all
}

// lists compares the engines that two brokers start with.
func lists(a, b *check.File) []check.Finding {
	x, y := a.Root.At("known", "seq"), b.Root.At("known", "seq")
	if x == nil || y == nil {
		return nil
	}
	if x.Number != y.Number {
		return []check.Finding{b.Hit(Behind, text(y)+", and "+text(x)+" in "+a.Name, "known", "seq")}
	}
	one, two := engines(a.Root), engines(b.Root)
	var odd []string
	for _, id := range slices.Sorted(maps.Keys(one)) {
		if two[id] != one[id] {
			odd = append(odd, id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(two)) {
		if _, known := one[id]; !known {
			odd = append(odd, id)
		}
	}
	if len(odd) == 0 {
		return nil
	}
	return []check.Finding{b.Hit(Engines, strings.Join(odd, ", ")+" not as in "+a.Name, "known", "results")}
}

// engines are the engines as the events leave them, each with what is told of it last.
func engines(root *jsontext.Node) map[string]string {
	all := map[string]string{}
	for _, ev := range root.At("known", "results").All() {
		if ev.At("fleet", "whole").True() {
			clear(all)
		}
		for _, h := range ev.At("fleet", "hosts").All() {
			id := h.Get("host").Str()
			if h.Get("health").Str() == "terminated" {
				delete(all, id)
				continue
			}
			all[id] = strings.Join([]string{h.Get("dial").Str(), h.Get("health").Str(), h.Get("class").Str(), text(h.Get("born_ms"))}, " ")
		}
	}
	return all
}
