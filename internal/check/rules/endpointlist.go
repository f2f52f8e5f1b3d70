package rules

import (
	"strconv"

	"wheatlane/internal/changelog"
	"wheatlane/internal/check"
	"wheatlane/internal/jsontext"
)

// endpointListRules lists the rules for the endpoint list that a broker starts with.
var endpointListRules = []Rule{
	{
		Check: check.Check{
			Code:           "R125",
			Severity:       check.Fault,
			Requirement:    "an engine in service has an address of its own",
			Remedy:         "another address",
			InvalidExample: `two hosts with "dial":"10.1.0.9:6565"`,
			ValidExample:   `"dial":"10.1.0.10:6565"`,
		},
		Find: findSharedEngineAddresses,
	},
	{
		Check: check.Check{
			Code:           "R126",
			Severity:       check.Fault,
			Requirement:    "an engine is of a kind of machine that exists",
			Remedy:         "a kind of MachineTypes",
			InvalidExample: `"class":"huge"`,
			ValidExample:   `"class":"std-8core"`,
		},
		Find: findUnknownEngineKinds,
	},
	{
		Check: check.Check{
			Code:           "R127",
			Severity:       check.Fault,
			Requirement:    "the first known event is a complete list",
			Remedy:         "events from the first on",
			InvalidExample: `"results":[{"seq":1,"fleet":{"whole":false}}]`,
			ValidExample:   `"results":[{"seq":1,"fleet":{"whole":true}}]`,
		},
		Find: findMissingSnapshot,
	},
	{
		Check: check.Check{
			Code:           "R128",
			Severity:       check.Fault,
			Requirement:    "events are numbered in rising order",
			Remedy:         "the events in their order",
			InvalidExample: `"seq":2 ahead of "seq":1`,
			ValidExample:   `"seq":1 ahead of "seq":2`,
		},
		Find: findUnorderedEvents,
	},
	{
		Check: check.Check{
			Code:           "R129",
			Severity:       check.Fault,
			Requirement:    "the number of the list is that of its last event",
			Remedy:         "the number of the last",
			InvalidExample: `"seq":9, of events up to 3`,
			ValidExample:   `"seq":3`,
		},
		Find: findWrongListRevision,
	},
}

// events returns the events in a platform's file that result in the initial endpoint list.
func events(root *jsontext.Node) []listItem { return items(root, "known", "results") }

// hosts returns the engines in an event.
func hosts(root *jsontext.Node, event listItem) []listItem {
	return items(root, event.pathOf("fleet", "hosts")...)
}

// allHosts returns the engines in all events, in order. It returns an engine once for each event that has it.
func allHosts(root *jsontext.Node) []listItem {
	initial := events(root)
	all := make([]listItem, 0, len(initial))
	for _, event := range initial {
		all = append(all, hosts(root, event)...)
	}
	return all
}

// isRemoved reports whether an event removes an engine from the list.
func isRemoved(host *jsontext.Node) bool {
	return host.Get("health").StringOrEmpty() == changelog.HealthTerminated
}

// enginesInService counts the engines that are listed after all events.
func enginesInService(root *jsontext.Node) int {
	listed := map[string]bool{} // by engine ID
	for _, host := range allHosts(root) {
		listed[host.Get("host").StringOrEmpty()] = !isRemoved(host.Node)
	}
	count := 0
	for _, isListed := range listed {
		if isListed {
			count++
		}
	}
	return count
}

func findSharedEngineAddresses(root *jsontext.Node, report ReportFunc) {
	for _, event := range events(root) {
		engineAt := map[string]string{} // by address
		for _, host := range hosts(root, event) {
			address, id := host.Get("dial").StringOrEmpty(), host.Get("host").StringOrEmpty()
			if isRemoved(host.Node) || address == "" {
				continue
			}
			if other, taken := engineAt[address]; taken && other != id {
				report(address+", which is that of "+other, host.pathOf("dial")...)
			}
			engineAt[address] = id
		}
	}
}

func findUnknownEngineKinds(root *jsontext.Node, report ReportFunc) {
	kinds := texts(root, "settings", "MachineTypes")
	if len(kinds) == 0 {
		return
	}
	for _, host := range allHosts(root) {
		if kind := host.Get("class").StringOrEmpty(); !kinds[kind] {
			report(strconv.Quote(kind), host.pathOf("class")...)
		}
	}
}

func findMissingSnapshot(root *jsontext.Node, report ReportFunc) {
	if all := events(root); len(all) > 0 && !all[0].At("fleet", "whole").IsTrue() {
		report("a change of a list that is missing", all[0].pathOf("fleet", "whole")...)
	}
}

func findUnorderedEvents(root *jsontext.Node, report ReportFunc) {
	last := 0.0
	for _, event := range events(root) {
		revision := event.Get("seq").NumberOr(0)
		if revision <= last {
			report(formatNumber(revision)+" after "+formatNumber(last), event.pathOf("seq")...)
		}
		last = max(last, revision)
	}
}

func findWrongListRevision(root *jsontext.Node, report ReportFunc) {
	all := events(root)
	if len(all) == 0 {
		return
	}
	last := all[len(all)-1].Get("seq").NumberOr(0)
	if revision := root.At("known", "seq").NumberOr(last); revision != last {
		report(formatNumber(revision)+", the last is "+formatNumber(last), "known", "seq")
	}
}
