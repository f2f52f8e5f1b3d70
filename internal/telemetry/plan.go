package telemetry

import (
	"time"

	"wheatlane/internal/collectd"
	"wheatlane/internal/delivery"
	"wheatlane/internal/graphite"
	"wheatlane/internal/operatorconfig"
)

const (
	initialBackoff = 200 * time.Millisecond
	maxBackoff     = 15 * time.Second
)

// plan is how a destination is configured.
type plan struct {
	name, address string
	delivery      delivery.Config
	transport     transport
	// settings are those of the file without the address. A destination whose settings change is
	// replaced; one whose address alone changes keeps what waits.
	settings any
}

// plans are the destinations that the operator's file configures; settings may be nil.
func plans(broker string, settings *operatorconfig.Telemetry) []plan {
	if settings == nil {
		return nil
	}
	all := make([]plan, 0, len(settings.Graphite)+len(settings.Collectd))
	for i := range settings.Graphite {
		all = append(all, graphitePlan(broker, settings.Graphite[i]))
	}
	for i := range settings.Collectd {
		all = append(all, collectdPlan(broker, settings.Collectd[i]))
	}
	return all
}

func graphitePlan(broker string, configured operatorconfig.Graphite) plan {
	settings := configured
	settings.Address = ""
	return plan{
		name:     configured.Name,
		address:  configured.Address,
		settings: settings,
		transport: &carbonTransport{graphite.Encoder{
			Format: graphite.PathFormat{Prefix: configured.Prefix, Tags: configured.Tags},
			Broker: broker,
			Pickle: configured.Protocol == "pickle",
		}},
		delivery: delivery.Config{
			MemoryBudget:   configured.BudgetKB << 10,
			InitialBackoff: initialBackoff,
			MaxBackoff:     maxBackoff,
			WriteTimeout:   time.Duration(configured.WriteTimeoutMS) * time.Millisecond,
			ReplayRate:     configured.ReplayKBps << 10,
		},
	}
}

// securityLevels are those of the setting.
var securityLevels = map[string]collectd.Level{
	"none":    collectd.Plain,
	"sign":    collectd.Sign,
	"encrypt": collectd.Encrypt,
}

func collectdPlan(broker string, configured operatorconfig.Collectd) plan {
	settings := configured
	settings.Address = ""
	return plan{
		name:     configured.Name,
		address:  configured.Address,
		settings: settings,
		transport: &collectdTransport{
			host: broker,
			security: collectd.Security{
				Level:    securityLevels[configured.Security],
				User:     configured.User,
				Password: configured.Password,
			},
		},
		delivery: delivery.Config{
			MemoryBudget:   configured.BudgetKB << 10,
			MaxWaiting:     1, // collectd accepts nothing older than the last: what waits is folded into the newest
			InitialBackoff: initialBackoff,
			MaxBackoff:     maxBackoff,
			WriteTimeout:   dialTimeout,
			ReplayRate:     configured.BudgetKB << 10,
		},
	}
}
