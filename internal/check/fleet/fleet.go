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

// seen is what the files so far said first.
type seen struct {
	taken   map[string]*check.File // by check and value: what only one may have
	first   *check.File
	classes map[string]thing // by name
	tenants map[string]thing
	lists   map[string]list // of engines, by the number of their last event
}

// thing is what a file says of something that has a name.
type thing struct {
	file *check.File
	node *jsontext.Node
}

// list is the engines that a file begins with.
type list struct {
	file    *check.File
	engines map[string]string
}

// Run finds what the platform's files among these disagree on. What differs is found in the later file, against the
// first that says otherwise. Each file is gone through once, however many there are.
func Run(files []*check.File) (all []check.Finding) {
	s := seen{taken: map[string]*check.File{}, classes: map[string]thing{}, tenants: map[string]thing{}, lists: map[string]list{}}
	for _, f := range files {
		if f.Kind == check.Platform {
			all = append(all, s.add(f)...)
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

// add holds a file against those before it.
func (s *seen) add(f *check.File) (all []check.Finding) {
	own := func(c check.Check, path ...string) {
		n := f.Root.At(path...)
		if n == nil {
			return
		}
		key := c.Code + " " + text(n)
		if o := s.taken[key]; o != nil {
			all = append(all, f.Hit(c, text(n)+" as in "+o.Name, path...))
			return
		}
		s.taken[key] = f
	}
	if !strings.HasSuffix(f.Root.Get("listen").Str(), ":0") {
		own(Listen, "listen")
	}
	own(Name, "name")
	if f.Root.At("settings", "PeersTotal").Num(1) > 1 {
		own(Position, "settings", "Position")
	}
	if s.first == nil {
		s.first = f
	}
	same := func(c check.Check, path ...string) {
		if x, y := s.first.Root.At(path...), f.Root.At(path...); text(x) != text(y) {
			all = append(all, f.Hit(c, text(y)+", and "+text(x)+" in "+s.first.Name, path...))
		}
	}
	same(Changelog, "changelog")
	same(Peers, "settings", "PeersTotal")
	all = append(all, named(f, s.classes, Classes, meaning, "settings", "RequestClasses")...)
	all = append(all, named(f, s.tenants, Tenants, []string{"Share"}, "settings", "Tenants")...)
	return append(all, s.list(f)...)
}

// named holds what a list says of things by name against what was said of them first.
func named(f *check.File, known map[string]thing, c check.Check, keys []string, path ...string) (all []check.Finding) {
	for i, y := range f.Root.At(path...).All() {
		name := y.Get("Name").Str()
		x, there := known[name]
		if !there {
			known[name] = thing{f, y}
			continue
		}
		if x.file == f {
			continue // one that comes twice in a file is found by the layer of rules
		}
		for _, key := range keys {
			if was, is := text(x.node.Get(key)), text(y.Get(key)); was != is {
				at := append(slices.Clone(path), strconv.Itoa(i), key)
				all = append(all, f.Hit(c, fmt.Sprintf("%s of %q is %s, and %s in %s", key, name, is, was, x.file.Name), at...))
			}
		}
	}
	return all
}

// list holds the engines that a file begins with against those of the first that knows as many events.
func (s *seen) list(f *check.File) []check.Finding {
	n := f.Root.At("known", "seq")
	if n == nil {
		return nil
	}
	mine := engines(f.Root)
	o, there := s.lists[text(n)]
	if !there {
		s.lists[text(n)] = list{f, mine}
		if x := s.first.Root.At("known", "seq"); x != nil && text(x) != text(n) {
			return []check.Finding{f.Hit(Behind, text(n)+", and "+text(x)+" in "+s.first.Name, "known", "seq")}
		}
		return nil
	}
	var odd []string
	for _, id := range slices.Sorted(maps.Keys(o.engines)) {
		if mine[id] != o.engines[id] {
			odd = append(odd, id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(mine)) {
		if _, known := o.engines[id]; !known {
			odd = append(odd, id)
		}
	}
	if len(odd) == 0 {
		return nil
	}
	return []check.Finding{f.Hit(Engines, strings.Join(odd, ", ")+" not as in "+o.file.Name, "known", "results")}
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
