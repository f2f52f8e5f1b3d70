package rules

import (
	"fmt"
	"strconv"

	"wheatlane/internal/check"
	"wheatlane/internal/jsontext"
)

// maxOverloadMultiple is the multiple of its capacity at which an engine in slow start fails, by the specification.
const maxOverloadMultiple = 2.5

// engineRules lists the rules for engines and for lists that are indexed by class or by kind of engine.
var engineRules = []Rule{
	{
		Check: check.Check{
			Code:           "R109",
			Severity:       check.Fault,
			Requirement:    "an engine in slow start has a fraction of its capacity",
			Remedy:         "a ColdFrom over 0 and up to 1",
			InvalidExample: `"ColdFrom":1.5`,
			ValidExample:   `"ColdFrom":0.33`,
		},
		Find: func(root *jsontext.Node, report ReportFunc) {
			path := []string{"settings", "Rules", "ColdFrom"}
			if fraction := root.At(path...).NumberOr(1); fraction <= 0 || fraction > 1 {
				report(formatNumber(fraction), path...)
			}
		},
	},
	{
		Check: check.Check{
			Code:           "R110",
			Severity:       check.Fault,
			Requirement:    "an engine in slow start fails at 2.5 times its capacity",
			Remedy:         "a FallMultiple from 1 to 2.5",
			InvalidExample: `"FallMultiple":4`,
			ValidExample:   `"FallMultiple":2.5`,
		},
		Find: func(root *jsontext.Node, report ReportFunc) {
			path := []string{"settings", "Rules", "FallMultiple"}
			if multiple := root.At(path...).NumberOr(1); multiple < 1 || multiple > maxOverloadMultiple {
				report(formatNumber(multiple), path...)
			}
		},
	},
	{
		Check: check.Check{
			Code:           "R111",
			Severity:       check.Fault,
			Requirement:    "slow start has a duration",
			Remedy:         "WarmAfterNs over 0",
			InvalidExample: `"ColdFrom":0.33,"WarmAfterNs":0`,
			ValidExample:   `"ColdFrom":0.33,"WarmAfterNs":15000000000`,
		},
		Find: findMissingSlowStartDuration,
	},
	{
		Check: check.Check{
			Code:           "R112",
			Severity:       check.Fault,
			Requirement:    "lists of the domain by class have a value for each class",
			Remedy:         "a value for each",
			InvalidExample: `"WidthByClass":[1]`,
			ValidExample:   `"WidthByClass":[1,4,2]`,
		},
		Find: sameLength("RequestClasses", "WidthByClass", "ClassLoad", "YieldsToLoads"),
	},
	{
		Check: check.Check{
			Code:           "R113",
			Severity:       check.Fault,
			Requirement:    "lists of the domain by kind have a value for each kind of machine",
			Remedy:         "a value for each",
			InvalidExample: `"SizeCores":[8,16]`,
			ValidExample:   `"SizeCores":[8]`,
		},
		Find: sameLength("MachineTypes", "SizeCores", "KindMemoryMb"),
	},
	{
		Check: check.Check{
			Code:           "R114",
			Severity:       check.Fault,
			Requirement:    "a class runs on no more threads than an engine has cores",
			Remedy:         "a smaller WidthByClass",
			InvalidExample: `"WidthByClass":[1,64,2]`,
			ValidExample:   `"WidthByClass":[1,4,2]`,
		},
		Find: findTooManyThreads,
	},
}

func findMissingSlowStartDuration(root *jsontext.Node, report ReportFunc) {
	rules := root.At("settings", "Rules")
	initial, duration := rules.Get("ColdFrom").NumberOr(1), rules.Get("WarmAfterNs").NumberOr(0)
	if initial > 0 && initial < 1 && duration <= 0 {
		report("no duration", "settings", "Rules", "WarmAfterNs")
	}
}

// sameLength returns the Find function of a rule that requires lists of the domain to be as long as a list of the
// settings.
func sameLength(settingsKey string, domainKeys ...string) func(*jsontext.Node, ReportFunc) {
	return func(root *jsontext.Node, report ReportFunc) {
		want := len(root.At("settings", settingsKey).Elements())
		for _, key := range domainKeys {
			list := root.At("settings", "Domain", key)
			if got := len(list.Elements()); list != nil && got != want {
				report(fmt.Sprintf("%d values for %d", got, want), "settings", "Domain", key)
			}
		}
	}
}

func findTooManyThreads(root *jsontext.Node, report ReportFunc) {
	cores := 0.0
	for _, value := range root.At("settings", "Domain", "SizeCores").Elements() {
		cores = max(cores, value.NumberOr(0))
	}
	if cores <= 0 {
		return
	}
	for i, value := range root.At("settings", "Domain", "WidthByClass").Elements() {
		if threads := value.NumberOr(0); threads > cores {
			report(formatNumber(threads)+" threads, "+formatNumber(cores)+" cores",
				"settings", "Domain", "WidthByClass", strconv.Itoa(i))
		}
	}
}
