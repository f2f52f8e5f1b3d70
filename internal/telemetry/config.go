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

// destinationConfig configures a destination.
type destinationConfig struct {
	name, address string
	delivery      delivery.Config
	transport     transport
	// settings holds the settings from the operator's file, without the address. A destination whose settings
	// change is replaced; one whose address alone changes keeps its waiting intervals.
	settings any
}

// destinationConfigs returns the configurations of the destinations in the operator's file; settings may be nil.
func destinationConfigs(broker string, settings *operatorconfig.Telemetry) []destinationConfig {
	if settings == nil {
		return nil
	}
	all := make([]destinationConfig, 0, len(settings.Graphite)+len(settings.Collectd))
	for i := range settings.Graphite {
		all = append(all, graphiteConfig(broker, settings.Graphite[i]))
	}
	for i := range settings.Collectd {
		all = append(all, collectdConfig(broker, settings.Collectd[i]))
	}
	return all
}

func graphiteConfig(broker string, configured operatorconfig.Graphite) destinationConfig {
	settings := configured
	settings.Address = ""
	return destinationConfig{
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

// securityLevels maps the values of the security setting to levels.
var securityLevels = map[string]collectd.Level{
	"none":    collectd.Plain,
	"sign":    collectd.Sign,
	"encrypt": collectd.Encrypt,
}

func collectdConfig(broker string, configured operatorconfig.Collectd) destinationConfig {
	settings := configured
	settings.Address = ""
	return destinationConfig{
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
			MemoryBudget:        configured.BudgetKB << 10,
			MaxWaitingIntervals: 1, // collectd rejects values older than the last: waiting intervals are merged
			InitialBackoff:      initialBackoff,
			MaxBackoff:          maxBackoff,
			WriteTimeout:        dialTimeout,
			ReplayRate:          configured.BudgetKB << 10,
		},
	}
}
