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

// plans are the destinations that the operator's file configures; t may be nil.
func plans(broker string, t *operatorconfig.Telemetry) []plan {
	if t == nil {
		return nil
	}
	all := make([]plan, 0, len(t.Graphite)+len(t.Collectd))
	for i := range t.Graphite {
		all = append(all, graphitePlan(broker, t.Graphite[i]))
	}
	for i := range t.Collectd {
		all = append(all, collectdPlan(broker, t.Collectd[i]))
	}
	return all
}

func graphitePlan(broker string, g operatorconfig.Graphite) plan {
	settings := g
	settings.Address = ""
	return plan{
		name:     g.Name,
		address:  g.Address,
		settings: settings,
		transport: &carbonTransport{graphite.Encoder{
			Form:   graphite.Form{Prefix: g.Prefix, Tags: g.Tags},
			Broker: broker,
			Pickle: g.Protocol == "pickle",
		}},
		delivery: delivery.Config{
			MemoryBudget:   g.BudgetKB << 10,
			InitialBackoff: initialBackoff,
			MaxBackoff:     maxBackoff,
			WriteTimeout:   time.Duration(g.WriteTimeoutMS) * time.Millisecond,
			ReplayRate:     g.ReplayKBps << 10,
		},
	}
}

// securityLevels are those of the setting.
var securityLevels = map[string]collectd.Level{
	"none":    collectd.Plain,
	"sign":    collectd.Sign,
	"encrypt": collectd.Encrypt,
}

func collectdPlan(broker string, c operatorconfig.Collectd) plan {
	settings := c
	settings.Address = ""
	return plan{
		name:     c.Name,
		address:  c.Address,
		settings: settings,
		transport: &collectdTransport{
			host:     broker,
			security: collectd.Security{Level: securityLevels[c.Security], User: c.User, Password: c.Password},
		},
		delivery: delivery.Config{
			MemoryBudget:   c.BudgetKB << 10,
			MaxWaiting:     1, // collectd accepts nothing older than the last: what waits is folded into the newest
			InitialBackoff: initialBackoff,
			MaxBackoff:     maxBackoff,
			WriteTimeout:   dialTimeout,
			ReplayRate:     c.BudgetKB << 10,
		},
	}
}
