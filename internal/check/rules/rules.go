// Package rules is the layer of the checker for values that are valid individually, but violate a rule of the protocol
// or of the deployment, or are probably not intended. It works on parsed files and does no I/O.
package rules

import (
	"slices"
	"strconv"
	"strings"

	"wheatlane/internal/check"
	"wheatlane/internal/jsontext"
)

// Rule is a check of this layer.
type Rule struct {
	check.Check

	Kind check.FileKind // of the files that the rule applies to
	Find func(root *jsontext.Node, report ReportFunc)
}

// ReportFunc records a violation of a rule: the observed value and its path.
type ReportFunc func(observed string, path ...string)

// Table lists all checks of this layer in the order of their codes.
var Table = inCodeOrder(classAndTenantRules, engineRules, brokerRules, endpointListRules, operatorRules)

func inCodeOrder(groups ...[]Rule) []Rule {
	return slices.SortedFunc(slices.Values(slices.Concat(groups...)), func(a, b Rule) int {
		return strings.Compare(a.Code, b.Code)
	})
}

// Run returns the findings of all rules that apply to a file.
func Run(file *check.File) []check.Finding {
	var findings []check.Finding
	for _, rule := range Table {
		if rule.Kind != file.Kind {
			continue
		}
		rule.Find(file.Root, func(observed string, path ...string) {
			findings = append(findings, file.NewFinding(rule.Check, observed, path...))
		})
	}
	return findings
}

// listItem is an item of a list in a file.
type listItem struct {
	*jsontext.Node

	path []string // from the root of the file
}

// pathOf returns the path of the value at keys within the item.
func (i listItem) pathOf(keys ...string) []string { return slices.Concat(i.path, keys) }

// items returns the items of the list at a path. The result is empty if there is no list.
func items(root *jsontext.Node, path ...string) []listItem {
	elements := root.At(path...).Elements()
	all := make([]listItem, len(elements))
	for i, element := range elements {
		all[i] = listItem{element, slices.Concat(path, []string{strconv.Itoa(i)})}
	}
	return all
}

// classes returns the request classes of a platform's file.
func classes(root *jsontext.Node) []listItem { return items(root, "settings", "RequestClasses") }

// unique returns the Find function of a rule that requires a key to have a different value in each item of a list. It
// checks each of the lists separately.
func unique(key string, lists ...[]string) func(*jsontext.Node, ReportFunc) {
	return func(root *jsontext.Node, report ReportFunc) {
		for _, list := range lists {
			seen := map[string]bool{}
			for _, item := range items(root, list...) {
				value := item.Get(key).StringOrEmpty()
				if value == "" {
					continue
				}
				if seen[value] {
					report(strconv.Quote(value)+" again", item.pathOf(key)...)
				}
				seen[value] = true
			}
		}
	}
}

// texts returns the set of strings in the list at a path.
func texts(root *jsontext.Node, path ...string) map[string]bool {
	all := map[string]bool{}
	for _, element := range root.At(path...).Elements() {
		all[element.StringOrEmpty()] = true
	}
	return all
}

const (
	nanosecondsPerMillisecond = 1e6
	millisecondsPerSecond     = 1e3
)

// formatMS formats nanoseconds as milliseconds.
func formatMS(ns float64) string { return formatNumber(ns/nanosecondsPerMillisecond) + " ms" }

func formatNumber(number float64) string { return strconv.FormatFloat(number, 'f', -1, 64) }
