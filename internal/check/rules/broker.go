package rules

import (
	"fmt"
	"math"
	"net/netip"
	"strings"
	"time"

	"wheatlane/internal/check"
	"wheatlane/internal/config"
	"wheatlane/internal/jsontext"
)

const (
	connectionsPerEngine = 8
	engineSocketFraction = 1.0 / 4 // maximum fraction of the descriptors for connections to engines
	sessionMemoryKB      = 64      // maximum memory of a session's open request
	kilobytesPerMegabyte = 1024
	heapFraction         = 0.6 // of the memory limit; above it, the garbage collector runs more often
	batchIntervalDivisor = 10  // the batch interval is at most 1/batchIntervalDivisor of the tightest latency objective
	maxRetryAfter        = time.Minute
)

// brokerRules lists the rules for a broker's own addresses, limits and index.
var brokerRules = []Rule{
	{
		Check: check.Check{
			Code:           "R118",
			Severity:       check.Fault,
			Requirement:    "a broker has an index among its peers, from 0",
			Remedy:         "a Position below PeersTotal",
			InvalidExample: `"PeersTotal":3,"Position":3`,
			ValidExample:   `"PeersTotal":3,"Position":2`,
		},
		Find: findInvalidIndex,
	},
	{
		Check: check.Check{
			Code:           "R119",
			Severity:       check.Fault,
			Requirement:    "a retry-after hint is no longer than clients follow",
			Remedy:         "a MaxRetryAfterNs below a minute",
			InvalidExample: `"MaxRetryAfterNs":600000000000`,
			ValidExample:   `"MaxRetryAfterNs":500000000`,
		},
		Find: func(root *jsontext.Node, report ReportFunc) {
			path := []string{"settings", "Limits", "MaxRetryAfterNs"}
			if delay := root.At(path...).NumberOr(0); delay > float64(maxRetryAfter) {
				report(formatMS(delay), path...)
			}
		},
	},
	{
		Check: check.Check{
			Code:           "R120",
			Severity:       check.Fault,
			Requirement:    "a broker listens at its own address only",
			Remedy:         "the address of the broker",
			InvalidExample: `"listen":"0.0.0.0:6565"`,
			ValidExample:   `"listen":"10.0.0.4:6565"`,
		},
		Find: func(root *jsontext.Node, report ReportFunc) {
			address, err := netip.ParseAddrPort(root.Get("listen").StringOrEmpty())
			if err == nil && address.Addr().IsUnspecified() {
				report(address.String(), "listen")
			}
		},
	},
	{
		Check: check.Check{
			Code:           "R121",
			Severity:       check.Fault,
			Requirement:    "the change log has another address than the broker",
			Remedy:         "the address of the change log",
			InvalidExample: `"listen":"10.0.0.4:6565","changelog":"10.0.0.4:6565"`,
			ValidExample:   `"listen":"10.0.0.4:6565","changelog":"10.2.0.1:4222"`,
		},
		Find: func(root *jsontext.Node, report ReportFunc) {
			listen := root.Get("listen").StringOrEmpty()
			changelog := root.Get("changelog").StringOrEmpty()
			if listen != "" && listen == changelog && !strings.HasSuffix(listen, check.AnyPortSuffix) {
				report(listen, "changelog")
			}
		},
	},
	{
		Check: check.Check{
			Code:           "R122",
			Severity:       check.Fault,
			Requirement:    "descriptors suffice for the connections to all engines",
			Remedy:         "more limits.sockets",
			InvalidExample: `"sockets":64, with 8 engines known`,
			ValidExample:   `"sockets":1024`,
		},
		Find: findTooFewSockets,
	},
	{
		Check: check.Check{
			Code:           "R123",
			Severity:       check.Warning,
			Requirement:    "the requests that clients may have open at once fit the memory",
			Remedy:         "more limits.memory_mb or fewer limits.sockets",
			InvalidExample: `"memory_mb":32,"sockets":4096`,
			ValidExample:   `"memory_mb":192,"sockets":1024`,
		},
		Find: findTooLittleMemory,
	},
	{
		Check: check.Check{
			Code:           "R124",
			Severity:       check.Warning,
			Requirement:    "the batch interval is short against the tightest latency objective",
			Remedy:         "a smaller RoundNs",
			InvalidExample: `"RoundNs":500000000`,
			ValidExample:   `"RoundNs":5000000`,
		},
		Find: findLongBatchInterval,
	},
}

func findInvalidIndex(root *jsontext.Node, report ReportFunc) {
	total := root.At("settings", "PeersTotal").NumberOr(0)
	index := root.At("settings", "Position").NumberOr(0)
	if total > 0 && index >= total || index < 0 {
		report(formatNumber(index)+" of "+formatNumber(total), "settings", "Position")
	}
}

func findTooFewSockets(root *jsontext.Node, report ReportFunc) {
	engines := enginesInService(root)
	sockets := root.At("limits", "sockets").NumberOr(config.DefaultSockets)
	if float64(engines*connectionsPerEngine) > sockets*engineSocketFraction {
		report(fmt.Sprintf("%s, for %d engines", formatNumber(sockets), engines), "limits", "sockets")
	}
}

func findTooLittleMemory(root *jsontext.Node, report ReportFunc) {
	sockets := root.At("limits", "sockets").NumberOr(config.DefaultSockets)
	memory := root.At("limits", "memory_mb").NumberOr(config.DefaultMemoryMB)
	required := sockets * (1 - engineSocketFraction) * sessionMemoryKB / kilobytesPerMegabyte
	if required > heapFraction*memory {
		observed := fmt.Sprintf("%s MB, and requests may hold %.0f", formatNumber(memory), required)
		report(observed, "limits", "memory_mb")
	}
}

func findLongBatchInterval(root *jsontext.Node, report ReportFunc) {
	tightest := math.Inf(1)
	for _, class := range classes(root) {
		if objective := class.Get("PromiseNs").NumberOr(0); objective > 0 {
			tightest = min(tightest, objective)
		}
	}
	interval := root.At("settings", "RoundNs").NumberOr(0)
	if interval > tightest/batchIntervalDivisor {
		report(formatMS(interval)+", the tightest objective is "+formatMS(tightest), "settings", "RoundNs")
	}
}
