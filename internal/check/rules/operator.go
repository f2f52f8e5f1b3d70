package rules

import (
	"net/netip"

	"wheatlane/internal/check"
	"wheatlane/internal/config"
	"wheatlane/internal/jsontext"
	"wheatlane/internal/operatorconfig"
)

const (
	backlogFraction  = 1.0 / 8 // maximum fraction of the default memory limit for buffered metrics
	minIdleIntervals = 2       // minimum time without an observation before a name loses its series, in intervals
)

// Paths of the lists of destinations.
var (
	graphiteList = []string{"telemetry", "graphite"}
	collectdList = []string{"telemetry", "collectd"}
)

// operatorRules lists the rules for the operator's configuration.
var operatorRules = []Rule{
	{
		Kind: check.OperatorFile,
		Check: check.Check{
			Code:           "R201",
			Severity:       check.Fault,
			Requirement:    "a destination has an address of its own",
			Remedy:         "another address, or one of them",
			InvalidExample: `two with "address":"10.0.0.9:2003"`,
			ValidExample:   `"address":"10.0.0.10:2003"`,
		},
		Find: unique("address", graphiteList, collectdList),
	},
	{
		Kind: check.OperatorFile,
		Check: check.Check{
			Code:           "R202",
			Severity:       check.Fault,
			Requirement:    "the budgets for collectors leave the broker its memory",
			Remedy:         "smaller budgets",
			InvalidExample: `"budget_kb":65536, twice`,
			ValidExample:   `"budget_kb":512`,
		},
		Find: findLargeBudgets,
	},
	{
		Kind: check.OperatorFile,
		Check: check.Check{
			Code:           "R203",
			Severity:       check.Warning,
			Requirement:    "a name keeps its series for longer than an interval",
			Remedy:         "a longer idle_s or a shorter interval",
			InvalidExample: `"interval_ms":60000,"names":{"idle_s":10}`,
			ValidExample:   `"interval_ms":10000,"names":{"idle_s":600}`,
		},
		Find: findShortIdleTime,
	},
	{
		Kind: check.OperatorFile,
		Check: check.Check{
			Code:           "R204",
			Severity:       check.Warning,
			Requirement:    "packets that leave the machine for collectd are signed or encrypted",
			Remedy:         `"security":"encrypt"`,
			InvalidExample: `"address":"10.0.0.9:25826"`,
			ValidExample: `"address":"10.0.0.9:25826","security":"encrypt","user":"chart",` +
				`"password_file":"collectd.secret"`,
		},
		Find: findUnprotectedPackets,
	},
	{
		Kind: check.OperatorFile,
		Check: check.Check{
			Code:           "R205",
			Severity:       check.Warning,
			Requirement:    "a user is set only where security requires one",
			Remedy:         `"security":"sign" or "encrypt", or no user`,
			InvalidExample: `"user":"chart"`,
			ValidExample:   `"security":"sign","user":"chart","password_file":"collectd.secret"`,
		},
		Find: findUnusedUsers,
	},
}

func findLargeBudgets(root *jsontext.Node, report ReportFunc) {
	sumKB := 0.0
	var lastPath []string
	for _, list := range [][]string{graphiteList, collectdList} {
		for _, destination := range items(root, list...) {
			if budget := destination.Get("budget_kb"); budget != nil {
				sumKB += budget.NumberOr(0)
				lastPath = destination.pathOf("budget_kb")
			}
		}
	}
	if lastPath != nil && sumKB > config.DefaultMemoryMB*kilobytesPerMegabyte*backlogFraction {
		report(formatNumber(sumKB)+" KB together", lastPath...)
	}
}

func findShortIdleTime(root *jsontext.Node, report ReportFunc) {
	telemetry := root.Get("telemetry")
	idleS := telemetry.At("names", "idle_s").NumberOr(operatorconfig.DefaultIdleS)
	intervalMS := telemetry.Get("interval_ms").NumberOr(operatorconfig.DefaultIntervalMS)
	if idleS*millisecondsPerSecond < minIdleIntervals*intervalMS {
		report(formatNumber(idleS)+" s, intervals of "+formatMS(intervalMS*nanosecondsPerMillisecond),
			"telemetry", "names", "idle_s")
	}
}

// isUnprotected reports whether packets to a collectd server are neither signed nor encrypted.
func isUnprotected(destination listItem) bool {
	security := destination.Get("security").StringOrEmpty()
	return security == "" || security == "none"
}

func findUnprotectedPackets(root *jsontext.Node, report ReportFunc) {
	for _, destination := range items(root, collectdList...) {
		address, err := netip.ParseAddrPort(destination.Get("address").StringOrEmpty())
		if err == nil && !address.Addr().IsLoopback() && isUnprotected(destination) {
			report(address.String(), destination.pathOf("address")...)
		}
	}
}

func findUnusedUsers(root *jsontext.Node, report ReportFunc) {
	for _, destination := range items(root, collectdList...) {
		if isUnprotected(destination) && destination.Get("user").StringOrEmpty() != "" {
			report("a user, and no security", destination.pathOf("user")...)
		}
	}
}
