package config

import (
	"encoding/json"
	"fmt"
	"time"

	"wheatlane/control"
	"wheatlane/control/units"
	"wheatlane/internal/jsontext"
	"wheatlane/internal/loadfields"
)

// Settings holds the decoded settings object of a deployment.
type Settings struct {
	Control    control.Settings  // settings of the decision module
	LoadReport loadfields.Layout // fields of the load reports of engines

	// Settings that only a broker on real sockets uses.
	ConnectTimeout   time.Duration // of a connection to an engine
	ConnIdleTimeout  time.Duration // after which engines close idle connections
	MaxStreams       int           // maximum number of attempts that share a connection
	MaxClientTimeout time.Duration // longest client timeout of all classes
	DrainGrace       time.Duration // time within which messages to a draining engine must be sent; 0: not configured
}

// Defaults of optional settings that only a broker on real sockets uses.
const (
	defaultConnectTimeout  = 250 * time.Millisecond
	defaultConnIdleTimeout = 30 * time.Second
	defaultMaxStreams      = 100
)

// Values of the keys Discovery and ValueBy.
const (
	discoveryOnRequest = "on_request"
	valueByWork        = "work"
)

// settingsObject decodes the keys of the settings object that a broker uses. The fields have the names of the keys;
// keys that end in Ns are in nanoseconds.
type settingsObject struct {
	PeersTotal     int
	Position       int
	Zone           string
	RoundNs        time.Duration `limits:"min=0"`
	MachineTypes   []string
	Discovery      string
	ValueBy        string `limits:"enum=|request|work"`
	RequestClasses []classObject
	Tenants        []struct {
		Name             string
		Share, QuotaPerS float64
	}
	Domain domainObject
	Stats  struct{ Fields []string }
	Limits struct {
		MaxAttempts, MaxStreams                           int           `limits:"min=0"`
		MaxRetryAfterNs, ConnectTimeoutNs, ConnIdleNs     time.Duration `limits:"min=0"`
		RetryAfter, Cancel, ParallelTries, Probing, Peers bool
	}
	Rules struct {
		AskEveryNs, WarmAfterNs         time.Duration
		ColdFrom, FallMultiple          float64
		FallNs, KeyRestNs, BudgetSpanNs time.Duration
		DrainGraceNs                    time.Duration `limits:"min=0"`
		FurtherRatio, ExtraFree         float64
	}
}

// domainObject decodes further attributes of request classes and engine kinds. Its lists are indexed by position in
// RequestClasses or MachineTypes.
type domainObject struct {
	ClassLoad      []bool
	WidthByClass   []int
	YieldsToLoads  []bool
	Grants         bool
	Priorities     bool
	GrantCap       float64
	KindMemoryMb   []float64
	SizeCores      []float64
	ProgressPaceNs time.Duration
	SaysCost       bool
}

// DecodeSettings decodes and validates a settings object. It ignores unknown keys.
func DecodeSettings(text []byte) (Settings, error) {
	var object settingsObject
	if err := json.Unmarshal(text, &object); err != nil {
		if mismatch, ok := jsontext.AsTypeMismatch(err); ok {
			return Settings{}, mismatch.Within("settings")
		}
		return Settings{}, keyError("settings", err)
	}
	settings := Settings{
		Control:         object.control(),
		LoadReport:      object.Stats.Fields,
		ConnectTimeout:  withDefault(object.Limits.ConnectTimeoutNs, defaultConnectTimeout),
		ConnIdleTimeout: withDefault(object.Limits.ConnIdleNs, defaultConnIdleTimeout),
		MaxStreams:      withDefault(object.Limits.MaxStreams, defaultMaxStreams),
		DrainGrace:      object.Rules.DrainGraceNs,
	}
	if err := object.checkNotNegative(); err != nil {
		return settings, err
	}
	for i, class := range object.RequestClasses {
		decoded, err := class.decode(object.Domain, i)
		if err != nil {
			return settings, err.Within(classPath(i))
		}
		settings.MaxClientTimeout = max(settings.MaxClientTimeout, class.GiveUpNs)
		settings.Control.Classes = append(settings.Control.Classes, decoded)
	}
	return settings, nil
}

// checkNotNegative returns an error for the first negative value outside of the classes.
func (o *settingsObject) checkNotNegative() error {
	for _, field := range []struct {
		key   string
		value int64
	}{
		{"RoundNs", int64(o.RoundNs)},
		{"Limits.ConnectTimeoutNs", int64(o.Limits.ConnectTimeoutNs)},
		{"Limits.ConnIdleNs", int64(o.Limits.ConnIdleNs)},
		{"Limits.MaxStreams", int64(o.Limits.MaxStreams)},
		{"Limits.MaxAttempts", int64(o.Limits.MaxAttempts)},
		{"Rules.DrainGraceNs", int64(o.Rules.DrainGraceNs)},
	} {
		if field.value < 0 {
			return keyError("settings."+field.key, fmt.Errorf("must not be negative, got %d", field.value))
		}
	}
	return nil
}

// control returns the settings of the decision module without the classes, which DecodeSettings adds.
func (o *settingsObject) control() control.Settings {
	settings := control.Settings{
		Brokers:              o.PeersTotal,
		BrokerIndex:          o.Position,
		Zone:                 o.Zone,
		MinBatchInterval:     o.RoundNs,
		EngineKinds:          map[string]control.EngineKind{},
		MaxGrantFraction:     units.Fraction(o.Domain.GrantCap),
		MemoryGrants:         o.Domain.Grants,
		Priorities:           o.Domain.Priorities,
		ProgressInterval:     o.Domain.ProgressPaceNs,
		EnginesReportCost:    o.Domain.SaysCost,
		EnginesReportLoad:    len(o.Stats.Fields) > 0,
		WatchEndpointList:    o.Discovery == discoveryOnRequest,
		WeightScalesWithWork: o.ValueBy == valueByWork,
		Limits: control.Limits{
			MaxAttempts:   o.Limits.MaxAttempts,
			MaxRetryAfter: o.Limits.MaxRetryAfterNs,
			RetryAfter:    o.Limits.RetryAfter,
			Cancellation:  o.Limits.Cancel,
			Hedging:       o.Limits.ParallelTries,
			LoadProbes:    o.Limits.Probing,
			Gossip:        o.Limits.Peers,
		},
		Rules: control.Rules{
			MaxPollInterval:    o.Rules.AskEveryNs,
			SlowStartInitial:   units.Fraction(o.Rules.ColdFrom),
			SlowStartDuration:  o.Rules.WarmAfterNs,
			OverloadMultiple:   o.Rules.FallMultiple,
			OverloadWindow:     o.Rules.FallNs,
			KeyCooldown:        o.Rules.KeyRestNs,
			RetryBudgetWindow:  o.Rules.BudgetSpanNs,
			RetryBudgetRatio:   o.Rules.FurtherRatio,
			RetryBudgetReserve: o.Rules.ExtraFree,
		},
	}
	for i, name := range o.MachineTypes {
		settings.EngineKinds[name] = control.EngineKind{
			Cores: elementOrZero(o.Domain.SizeCores, i), MemoryMB: elementOrZero(o.Domain.KindMemoryMb, i),
		}
	}
	for _, tenant := range o.Tenants {
		settings.Tenants = append(settings.Tenants, control.Tenant{
			Name: tenant.Name, Share: units.Fraction(tenant.Share), Quota: units.PerSecond(tenant.QuotaPerS),
		})
	}
	return settings
}

// tenantPath returns the path of the tenant at a position in Tenants.
func tenantPath(position int) string { return fmt.Sprintf("settings.Tenants[%d]", position) }

// elementOrZero returns the element at a position, or the zero value if there are fewer elements.
func elementOrZero[T any](elements []T, position int) (element T) {
	if position < len(elements) {
		element = elements[position]
	}
	return element
}

// withDefault returns the value, or the default if the value is zero, which is the value of an omitted key.
func withDefault[T int | time.Duration](value, defaultValue T) T {
	if value == 0 {
		return defaultValue
	}
	return value
}
