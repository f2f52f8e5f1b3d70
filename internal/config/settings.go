package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"wheatlane/control"
	"wheatlane/control/idempotency"
	"wheatlane/control/units"
	"wheatlane/internal/jsontext"
	"wheatlane/internal/loadfields"
)

// Settings is the settings object of a deployment.
type Settings struct {
	Control    control.Settings  // what the decision module decides by
	LoadReport loadfields.Layout // of the load reports of engines

	// What only a broker on real sockets needs.
	ConnectTimeout   time.Duration // for a connection to an engine
	ConnIdleTimeout  time.Duration // after which engines close idle connections
	MaxStreams       int           // attempts that share a connection
	MaxClientTimeout time.Duration // the longest of all classes
	DrainGrace       time.Duration // sends to a draining engine must leave within this; 0: not given
}

// Defaults of settings that a broker on real sockets needs and a deployment may leave out.
const (
	defaultConnectTimeout  = 250 * time.Millisecond
	defaultConnIdleTimeout = 30 * time.Second
	defaultMaxStreams      = 100
)

// The words of the settings object that are no names of classes, zones or kinds.
const (
	discoveryOnRequest = "on_request"
	valueByWork        = "work"
)

// The keys of a class that errors name.
const (
	keyIdempotency = "Effect"
	keyDedupScope  = "KeyScope"
)

var idempotencies = map[string]idempotency.Kind{
	"repeatable": idempotency.Idempotent,
	"by_key":     idempotency.IdempotentWithKey,
	"once":       idempotency.NonIdempotent,
}

var dedupScopes = map[string]idempotency.Scope{
	"":     idempotency.ScopeAll,
	"all":  idempotency.ScopeAll,
	"zone": idempotency.ScopeZone,
	"cell": idempotency.ScopeCell,
}

// settingsObject holds the keys of the settings object that are used. Its fields are named as its keys; those
// that end in Ns hold nanoseconds.
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

type classObject struct {
	Name                string
	PromiseNs, GiveUpNs time.Duration `limits:"min=0"`
	AimStretch          float64       `limits:"min=0"`
	Worth, LateWorth    float64
	Effect              string        `limits:"enum=repeatable|by_key|once"`
	KeyScope            string        `limits:"enum=|all|zone|cell"`
	WindowNs            time.Duration `limits:"min=0"`
	ByArrival           bool
	AllowedIn           []string
	AllowedOn           []string
}

// domainObject holds further attributes of classes and kinds of engines, by their positions in RequestClasses
// and MachineTypes.
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

// DecodeSettings reads and checks a settings object. Unknown keys are passed over.
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

// checkNotNegative returns an error for the first number below 0 of those that no other check covers.
func (o *settingsObject) checkNotNegative() error {
	for _, field := range []struct {
		key      string
		negative bool
	}{
		{"RoundNs", o.RoundNs < 0},
		{"Limits.ConnectTimeoutNs", o.Limits.ConnectTimeoutNs < 0},
		{"Limits.ConnIdleNs", o.Limits.ConnIdleNs < 0},
		{"Limits.MaxStreams", o.Limits.MaxStreams < 0},
		{"Limits.MaxAttempts", o.Limits.MaxAttempts < 0},
		{"Rules.DrainGraceNs", o.Rules.DrainGraceNs < 0},
	} {
		if field.negative {
			return keyError("settings."+field.key, errors.New("must not be negative"))
		}
	}
	return nil
}

// control is what the decision module takes of the object, but the classes.
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
	for _, t := range o.Tenants {
		settings.Tenants = append(settings.Tenants, control.Tenant{
			Name: t.Name, Share: units.Fraction(t.Share), Quota: units.PerSecond(t.QuotaPerS),
		})
	}
	return settings
}

// classPath is the path of the class at a position of RequestClasses.
func classPath(position int) string { return fmt.Sprintf("settings.RequestClasses[%d]", position) }

// decode checks the class at a position of RequestClasses.
func (c *classObject) decode(domain domainObject, position int) (control.Class, *jsontext.KeyError) {
	kind, ok := idempotencies[c.Effect]
	if !ok {
		return control.Class{}, &jsontext.KeyError{Key: keyIdempotency, Err: fmt.Errorf("unknown effect %q", c.Effect)}
	}
	scope, ok := dedupScopes[c.KeyScope]
	if !ok {
		return control.Class{}, &jsontext.KeyError{Key: keyDedupScope, Err: fmt.Errorf("unknown scope %q", c.KeyScope)}
	}
	return control.Class{
		Name:             c.Name,
		LatencyObjective: c.PromiseNs,
		ClientTimeout:    c.GiveUpNs,
		ObjectivePerWork: c.AimStretch,
		PriorityWeight:   c.Worth,
		LateWeight:       units.Fraction(c.LateWorth),
		Idempotency: idempotency.Policy{
			Kind: kind, DedupScope: scope, DedupWindow: c.WindowNs,
		},
		Ordered:              c.ByArrival,
		AllowedZones:         c.AllowedIn,
		AllowedKinds:         c.AllowedOn,
		Threads:              elementOrZero(domain.WidthByClass, position),
		HoldsDataSetLock:     elementOrZero(domain.ClassLoad, position),
		BlockedByDataSetLock: elementOrZero(domain.YieldsToLoads, position),
	}, nil
}

// elementOrZero is the element at a position, or the zero value behind the end.
func elementOrZero[T any](list []T, position int) (element T) {
	if position < len(list) {
		element = list[position]
	}
	return element
}

// withDefault is the value, or the default where a deployment leaves it out.
func withDefault[T int | time.Duration](value, standard T) T {
	if value == 0 {
		return standard
	}
	return value
}
