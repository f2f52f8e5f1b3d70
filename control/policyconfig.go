package control

import (
	"wheatlane/control/attemptoptions"
	"wheatlane/control/gossip"
	"wheatlane/control/membership"
	"wheatlane/control/retrybudget"
	"wheatlane/control/slowdown"
)

// The functions in this file derive the configurations of the policies from the settings of a deployment.

func retryBudgetConfig(settings *Settings) retrybudget.Config {
	rules := &settings.Rules
	return retrybudget.Config{
		Window:           rules.RetryBudgetWindow,
		Ratio:            rules.RetryBudgetRatio,
		Reserve:          rules.RetryBudgetReserve,
		MinBatchInterval: settings.MinBatchInterval,
		MaxSendDelay:     settings.MaxSendDelay,
	}
}

func attemptOptionsConfig(settings *Settings) attemptoptions.Config {
	return attemptoptions.Config{
		MemoryGrants:     settings.MemoryGrants && settings.EnginesReportCost,
		Priorities:       settings.Priorities,
		MaxGrantFraction: settings.MaxGrantFraction,
	}
}

func slowdownConfig(settings *Settings) slowdown.Config {
	return slowdown.Config{ReportsWork: settings.EnginesReportCost, IdleAfter: controlInterval}
}

func watchConfig(settings *Settings) membership.WatchConfig {
	return membership.WatchConfig{
		Required:        settings.WatchEndpointList,
		MaxPollInterval: settings.Rules.MaxPollInterval,
	}
}

func gossipConfig(settings *Settings) gossip.Config {
	return gossip.Config{
		Enabled:     settings.Limits.Gossip,
		Brokers:     settings.Brokers,
		BrokerIndex: settings.BrokerIndex,
	}
}
