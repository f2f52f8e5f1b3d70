// Package fleet is the layer of the checker that compares the files of several brokers and finds contradictions between
// files that are valid individually. It works on parsed files and does no I/O.
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

// Run compares the platform's files and ignores all others. It reports a contradiction in the later file, with the name
// of the first file that it contradicts. It visits each file once, so that its time grows linearly with their number.
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

// comparison holds the first occurrence of each value among the files that were visited so far.
type comparison struct {
	findings []check.Finding
	first    *check.File                 // first of the platform's files
	owners   map[uniqueValue]*check.File // first file with a value
	classes  map[string]definition       // by name
	tenants  map[string]definition       // by name
	lists    map[string]endpointList     // by revision
}

// uniqueValue identifies a value that only one file may have.
type uniqueValue struct {
	code  string // of the check
	value string
}

// definition is the first definition of a class or tenant.
type definition struct {
	file  *check.File
	value *jsontext.Node
}

// endpointList holds the engines in the initial endpoint list of a file.
type endpointList struct {
	file    *check.File
	engines map[string]string // attributes by engine ID
}

// Keys whose values must be equal in all definitions of a class or tenant.
var (
	classKeys  = []string{"Effect", "PromiseNs", "GiveUpNs", "ByArrival", "WindowNs", "Worth", "KeyScope"}
	tenantKeys = []string{"Share"}
)

func (c *comparison) report(file *check.File, violated check.Check, observed string, path ...string) {
	c.findings = append(c.findings, file.NewFinding(violated, observed, path...))
}

// compare compares a file with the files that were visited before.
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

// checkUnique reports a value that an earlier file has too.
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

// checkDefinitions compares the named items of the list at a path with the first definitions of their names, which it
// records in definitions.
func (c *comparison) checkDefinitions(
	file *check.File, violated check.Check, definitions map[string]definition, keys []string, path ...string,
) {
	for i, value := range file.Root.At(path...).Elements() {
		name := value.Get("Name").StringOrEmpty()
		first, exists := definitions[name]
		if !exists {
			definitions[name] = definition{file, value}
			continue
		}
		if first.file == file {
			continue // package rules reports duplicates within a file
		}
		for _, key := range keys {
			want, got := describe(first.value.Get(key)), describe(value.Get(key))
			if got != want {
				observed := fmt.Sprintf(
					"%s of %q is %s, and %s in %s", key, name, got, want, first.file.Name,
				)
				c.report(file, violated, observed, slices.Concat(path, []string{strconv.Itoa(i), key})...)
			}
		}
	}
}

// checkList compares the initial endpoint list of a file with the first list of the same revision. If it is the first
// list of its revision, checkList reports a revision that differs from that of the first file.
func (c *comparison) checkList(file *check.File) {
	value := file.Root.At("known", "seq")
	if value == nil {
		return
	}
	revision, engines := describe(value), enginesOf(file.Root)
	if list, exists := c.lists[revision]; exists {
		if differing := differingKeys(list.engines, engines); len(differing) > 0 {
			observed := strings.Join(differing, ", ") + " not as in " + list.file.Name
			c.report(file, EngineMismatch, observed, "known", "results")
		}
		return
	}
	c.lists[revision] = endpointList{file, engines}
	first := c.first.Root.At("known", "seq")
	if first != nil && describe(first) != revision {
		c.report(file, RevisionMismatch, revision+", and "+describe(first)+" in "+c.first.Name, "known", "seq")
	}
}

// differingKeys returns the keys whose values differ between two maps: first those of a, then those that only b has,
// each sorted.
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

// enginesOf returns the engines that are listed after the initial events of a file, each with its latest attributes.
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

// describe formats a value for a finding; a missing value is "nothing".
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
