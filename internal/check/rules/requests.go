package rules

import (
	"math"
	"strconv"

	"wheatlane/internal/check"
	"wheatlane/internal/jsontext"
)

const (
	maxAttempts    = 4     // for a request, by the specification
	shareTolerance = 0.005 // of the sum of shares, which configurations specify with two decimals
	shareRounding  = 1000  // findings report a sum of shares with three decimals
)

// classAndTenantRules lists the rules for request classes and tenants.
var classAndTenantRules = []Rule{
	{
		Check: check.Check{
			Code:           "R101",
			Severity:       check.Fault,
			Requirement:    "a latency objective is not longer than the client timeout",
			Remedy:         "a PromiseNs below GiveUpNs",
			InvalidExample: `"PromiseNs":3000000000,"GiveUpNs":2000000000`,
			ValidExample:   `"PromiseNs":400000000,"GiveUpNs":2000000000`,
		},
		Find: findObjectivesBeyondTimeout,
	},
	{
		Check: check.Check{
			Code:           "R102",
			Severity:       check.Fault,
			Requirement:    "a request is sent at most 4 times",
			Remedy:         "a MaxAttempts from 1 to 4",
			InvalidExample: `"MaxAttempts":9`,
			ValidExample:   `"MaxAttempts":4`,
		},
		Find: findTooManyAttempts,
	},
	{
		Check: check.Check{
			Code:     "R103",
			Severity: check.Fault,
			Requirement: "a class that is idempotent by key has a dedup window; " +
				"without one, a duplicate runs twice",
			Remedy:         "WindowNs, the time for which engines drop duplicates",
			InvalidExample: `"Effect":"by_key"`,
			ValidExample:   `"Effect":"by_key","WindowNs":15000000000`,
		},
		Find: findMissingDedupWindows,
	},
	{
		Check: check.Check{
			Code:     "R104",
			Severity: check.Fault,
			Requirement: "requests of an ordered class run one at a time, " +
				"and hedged attempts of one would run at once",
			Remedy:         "an Effect of by_key or once, or no ByArrival",
			InvalidExample: `"Effect":"repeatable","ByArrival":true`,
			ValidExample:   `"Effect":"by_key","WindowNs":15000000000,"ByArrival":true`,
		},
		Find: findOrderedAndRepeatable,
	},
	{
		Check: check.Check{
			Code:           "R105",
			Severity:       check.Fault,
			Requirement:    "the shares of all tenants sum to 1",
			Remedy:         "shares that do",
			InvalidExample: `"Tenants":[{"Name":"a","Share":0.6},{"Name":"b","Share":0.6}]`,
			ValidExample:   `"Tenants":[{"Name":"a","Share":0.6},{"Name":"b","Share":0.4}]`,
		},
		Find: findSumOfShares,
	},
	{
		Check: check.Check{
			Code:           "R106",
			Severity:       check.Fault,
			Requirement:    "a tenant has a share",
			Remedy:         "a Share over 0",
			InvalidExample: `{"Name":"a","Share":0}`,
			ValidExample:   `{"Name":"a","Share":0.4}`,
		},
		Find: func(root *jsontext.Node, report ReportFunc) {
			reportNotPositive(items(root, "settings", "Tenants"), "Share", report)
		},
	},
	{
		Check: check.Check{
			Code:           "R107",
			Severity:       check.Fault,
			Requirement:    "a class has a name of its own",
			Remedy:         "another Name",
			InvalidExample: `[{"Name":"lookup"},{"Name":"lookup"}]`,
			ValidExample:   `[{"Name":"lookup"},{"Name":"route-report"}]`,
		},
		Find: unique("Name", []string{"settings", "RequestClasses"}),
	},
	{
		Check: check.Check{
			Code:           "R108",
			Severity:       check.Fault,
			Requirement:    "a tenant has a name of its own",
			Remedy:         "another Name",
			InvalidExample: `[{"Name":"a"},{"Name":"a"}]`,
			ValidExample:   `[{"Name":"a"},{"Name":"b"}]`,
		},
		Find: unique("Name", []string{"settings", "Tenants"}),
	},
	{
		Check: check.Check{
			Code:           "R115",
			Severity:       check.Fault,
			Requirement:    "a class is restricted to kinds of machine that exist",
			Remedy:         "a kind of MachineTypes",
			InvalidExample: `"AllowedOn":["big"]`,
			ValidExample:   `"AllowedOn":["std-8core"]`,
		},
		Find: findUnknownAllowedKinds,
	},
	{
		Check: check.Check{
			Code:           "R116",
			Severity:       check.Fault,
			Requirement:    "a late answer earns a fraction of the weight",
			Remedy:         "a LateWorth from 0 to 1",
			InvalidExample: `"LateWorth":3`,
			ValidExample:   `"LateWorth":0.3`,
		},
		Find: findInvalidLateWeights,
	},
	{
		Check: check.Check{
			Code:           "R117",
			Severity:       check.Fault,
			Requirement:    "an answer has a weight",
			Remedy:         "a Worth over 0",
			InvalidExample: `"Worth":0`,
			ValidExample:   `"Worth":1`,
		},
		Find: func(root *jsontext.Node, report ReportFunc) {
			reportNotPositive(classes(root), "Worth", report)
		},
	},
}

func findObjectivesBeyondTimeout(root *jsontext.Node, report ReportFunc) {
	for _, class := range classes(root) {
		objective, timeout := class.Get("PromiseNs").NumberOr(0), class.Get("GiveUpNs").NumberOr(0)
		if timeout > 0 && objective > timeout {
			report(formatMS(objective)+", the client timeout is "+formatMS(timeout), class.pathOf("PromiseNs")...)
		}
	}
}

func findTooManyAttempts(root *jsontext.Node, report ReportFunc) {
	if attempts := root.At("settings", "Limits", "MaxAttempts").NumberOr(0); attempts > maxAttempts {
		report(formatNumber(attempts), "settings", "Limits", "MaxAttempts")
	}
}

func findMissingDedupWindows(root *jsontext.Node, report ReportFunc) {
	for _, class := range classes(root) {
		if class.Get("Effect").StringOrEmpty() == "by_key" && class.Get("WindowNs").NumberOr(0) <= 0 {
			report("no window", class.pathOf("WindowNs")...)
		}
	}
}

func findOrderedAndRepeatable(root *jsontext.Node, report ReportFunc) {
	for _, class := range classes(root) {
		if class.Get("ByArrival").IsTrue() && class.Get("Effect").StringOrEmpty() == "repeatable" {
			report("ordered, and repeatable", class.pathOf("ByArrival")...)
		}
	}
}

func findSumOfShares(root *jsontext.Node, report ReportFunc) {
	tenants := root.At("settings", "Tenants").Elements()
	sum := 0.0
	for _, tenant := range tenants {
		sum += tenant.Get("Share").NumberOr(0)
	}
	if len(tenants) > 0 && math.Abs(sum-1) > shareTolerance {
		report("they sum to "+formatNumber(math.Round(sum*shareRounding)/shareRounding), "settings", "Tenants")
	}
}

// reportNotPositive reports the values of a key that are not greater than 0. A missing value is valid.
func reportNotPositive(list []listItem, key string, report ReportFunc) {
	for _, item := range list {
		if value := item.Get(key); value.NumberOr(1) <= 0 {
			report(formatNumber(value.Number), item.pathOf(key)...)
		}
	}
}

func findUnknownAllowedKinds(root *jsontext.Node, report ReportFunc) {
	kinds := texts(root, "settings", "MachineTypes")
	for _, class := range classes(root) {
		for i, kind := range class.Get("AllowedOn").Elements() {
			if !kinds[kind.StringOrEmpty()] {
				report(strconv.Quote(kind.StringOrEmpty()), class.pathOf("AllowedOn", strconv.Itoa(i))...)
			}
		}
	}
}

func findInvalidLateWeights(root *jsontext.Node, report ReportFunc) {
	for _, class := range classes(root) {
		if weight := class.Get("LateWorth").NumberOr(0); weight < 0 || weight > 1 {
			report(formatNumber(weight), class.pathOf("LateWorth")...)
		}
	}
}
