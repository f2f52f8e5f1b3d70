// Package fleet is the layer of the checker that compares the files of several brokers, each of which is
// valid by itself, and finds where they contradict each other. It works on trees of values and does no I/O.
package fleet

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"wheatlane/internal/changelog"
	"wheatlane/internal/check"
	"wheatlane/internal/jsontext"
)

// Run compares the platform's files among those given. A contradiction is reported in the later file, against
// the first one that it contradicts. Each file is visited once, however many there are.
func Run(files []*check.File) []check.Finding {
	c := comparison{
		owners:  map[uniqueValue]*check.File{},
		classes: map[string]definition{},
		tenants: map[string]definition{},
		lists:   map[string]endpointList{},
	}
	for _, f := range files {
		if f.Kind == check.PlatformFile {
			c.compare(f)
		}
	}
	return c.findings
}

// comparison is what the files visited so far stated first.
type comparison struct {
	findings []check.Finding
	first    *check.File
	owners   map[uniqueValue]*check.File
	classes  map[string]definition   // by name
	tenants  map[string]definition   // by name
	lists    map[string]endpointList // by revision
}

// uniqueValue is a value that only one file may have.
type uniqueValue struct {
	code  string // of the check
	value string
}

// definition is what a file states of a class or tenant.
type definition struct {
	file  *check.File
	value *jsontext.Node
}

// endpointList is the engines that a file starts with, by their ids.
type endpointList struct {
	file    *check.File
	engines map[string]string
}

// classKeys are the keys that define the meaning of a class, and tenantKeys those of a tenant.
var (
	classKeys  = []string{"Effect", "PromiseNs", "GiveUpNs", "ByArrival", "WindowNs", "Worth", "KeyScope"}
	tenantKeys = []string{"Share"}
)

func (c *comparison) report(file *check.File, violated check.Check, observed string, path ...string) {
	c.findings = append(c.findings, file.NewFinding(violated, observed, path...))
}

// compare compares a file with those before it.
func (c *comparison) compare(file *check.File) {
	if c.first == nil {
		c.first = file
	}
	if !strings.HasSuffix(file.Root.Get("listen").StringOrEmpty(), check.AnyPortSuffix) {
		c.checkUnique(file, DuplicateAddress, "listen")
	}
	c.checkUnique(file, DuplicateName, "name")
	if file.Root.At("settings", "PeersTotal").NumberOr(1) > 1 {
		c.checkUnique(file, DuplicateIndex, "settings", "Position")
	}
	c.checkEqual(file, ChangelogMismatch, "changelog")
	c.checkEqual(file, PeerCountMismatch, "settings", "PeersTotal")
	c.checkDefinitions(file, ClassMismatch, c.classes, classKeys, "settings", "RequestClasses")
	c.checkDefinitions(file, TenantMismatch, c.tenants, tenantKeys, "settings", "Tenants")
	c.checkList(file)
}

// checkUnique reports a value that a file before has as well.
func (c *comparison) checkUnique(file *check.File, violated check.Check, path ...string) {
	value := file.Root.At(path...)
	if value == nil {
		return
	}
	key := uniqueValue{violated.Code, describe(value)}
	if owner := c.owners[key]; owner != nil {
		c.report(file, violated, describe(value)+" as in "+owner.Name, path...)
		return
	}
	c.owners[key] = file
}

// checkEqual reports a value that differs from that of the first file.
func (c *comparison) checkEqual(file *check.File, violated check.Check, path ...string) {
	want, got := describe(c.first.Root.At(path...)), describe(file.Root.At(path...))
	if got != want {
		c.report(file, violated, got+", and "+want+" in "+c.first.Name, path...)
	}
}

// checkDefinitions compares the named items of a list with their first definitions.
func (c *comparison) checkDefinitions(
	file *check.File, violated check.Check, known map[string]definition, keys []string, path ...string,
) {
	for i, value := range file.Root.At(path...).Elements() {
		name := value.Get("Name").StringOrEmpty()
		first, exists := known[name]
		if !exists {
			known[name] = definition{file, value}
			continue
		}
		if first.file == file {
			continue // a duplicate within a file is found by the layer of rules
		}
		for _, key := range keys {
			want, got := describe(first.value.Get(key)), describe(value.Get(key))
			if got != want {
				observed := fmt.Sprintf(
					"%s of %q is %s, and %s in %s", key, name, got, want, first.file.Name,
				)
				c.report(
					file,
					violated,
					observed,
					slices.Concat(path, []string{strconv.Itoa(i), key})...,
				)
			}
		}
	}
}

// checkList compares the endpoint list that a file starts with to the first one of the same revision.
func (c *comparison) checkList(file *check.File) {
	value := file.Root.At("known", "seq")
	if value == nil {
		return
	}
	revision, engines := describe(value), enginesOf(file.Root)
	if known, exists := c.lists[revision]; exists {
		if differing := differingKeys(known.engines, engines); len(differing) > 0 {
			c.report(
				file,
				EngineMismatch,
				strings.Join(differing, ", ")+" not as in "+known.file.Name,
				"known",
				"results",
			)
		}
		return
	}
	c.lists[revision] = endpointList{file, engines}
	first := c.first.Root.At("known", "seq")
	if first != nil && describe(first) != revision {
		c.report(file, RevisionMismatch, revision+", and "+describe(first)+" in "+c.first.Name, "known", "seq")
	}
}

// differingKeys returns the keys whose values differ, those of a first.
func differingKeys(a, b map[string]string) []string {
	var differing []string
	for _, key := range slices.Sorted(maps.Keys(a)) {
		if b[key] != a[key] {
			differing = append(differing, key)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(b)) {
		if _, exists := a[key]; !exists {
			differing = append(differing, key)
		}
	}
	return differing
}

// enginesOf returns the engines that the known events leave in the list, each with what was stated of it
// last.
func enginesOf(root *jsontext.Node) map[string]string {
	engines := map[string]string{}
	for _, event := range root.At("known", "results").Elements() {
		if event.At("fleet", "whole").IsTrue() {
			clear(engines)
		}
		for _, host := range event.At("fleet", "hosts").Elements() {
			id := host.Get("host").StringOrEmpty()
			if host.Get("health").StringOrEmpty() == changelog.HealthTerminated {
				delete(engines, id)
				continue
			}
			engines[id] = strings.Join([]string{
				host.Get("dial").StringOrEmpty(),
				host.Get("health").StringOrEmpty(),
				host.Get("class").StringOrEmpty(),
				describe(host.Get("born_ms")),
			}, " ")
		}
	}
	return engines
}

// describe returns a value in words, "nothing" if there is none.
func describe(node *jsontext.Node) string {
	if node == nil {
		return "nothing"
	}
	switch node.Kind {
	case jsontext.String:
		return strconv.Quote(node.Text)
	case jsontext.Bool:
		return strconv.FormatBool(node.Bool)
	case jsontext.Number:
		return strconv.FormatFloat(node.Number, 'f', -1, 64)
	case jsontext.Object, jsontext.Array, jsontext.Null:
		return node.Kind.String()
	}
	return node.Kind.String()
}
