package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"wheatlane/control"
)

// Settings is what an instance is told of its deployment.
type Settings struct {
	Control control.Settings // what the module decides by

	// What only a broker on real sockets needs.
	ConnectTimeout   time.Duration
	ConnIdleTimeout  time.Duration // engines close connections that are idle so long
	MaxStreams       int           // attempts that share a connection
	MaxClientTimeout time.Duration // the longest deadline of all classes
	DrainGrace       time.Duration // sends to an engine that drains have left so long after it was told; 0: not said
}

// Defaults of settings that a real broker needs and a deployment may leave out.
const (
	defaultConnectTimeout = 250 * time.Millisecond
	defaultConnIdle       = 30 * time.Second
	defaultMaxStreams     = 100
)

// object is the part of the settings object that is used.
type object struct {
	PeersTotal     int
	Position       int
	Zone           string
	RoundNs        time.Duration `limits:"min=0"`
	MachineTypes   []string
	Discovery      string
	ValueBy        string `limits:"enum=|request|work"`
	RequestClasses []struct {
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
	Tenants []struct {
		Name             string
		Share, QuotaPerS float64
	}
	Domain struct {
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

var effects = map[string]control.Idempotency{"repeatable": control.Idempotent, "by_key": control.IdempotentWithKey, "once": control.NonIdempotent}

var scopes = map[string]control.DedupScope{"": control.DedupScopeAll, "all": control.DedupScopeAll,
	"zone": control.DedupScopeZone, "cell": control.DedupScopeCell}

func at[T any](s []T, i int) (v T) {
	if i < len(s) {
		v = s[i]
	}
	return v
}

func orElse[T int | time.Duration](v, standard T) T {
	if v == 0 {
		return standard
	}
	return v
}

// DecodeSettings reads and checks a settings object. Keys that it does not know are passed over.
func DecodeSettings(text []byte) (Settings, error) {
	var o object
	if err := json.Unmarshal(text, &o); err != nil {
		var wrong *json.UnmarshalTypeError
		if errors.As(err, &wrong) {
			return Settings{}, fmt.Errorf("settings.%s: a JSON %s does not belong here", wrong.Field, wrong.Value)
		}
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	s := Settings{
		Control: control.Settings{Brokers: o.PeersTotal, BrokerIndex: o.Position, Zone: o.Zone, MinBatchInterval: o.RoundNs,
			EngineKinds: map[string]control.EngineKind{}, MaxGrantFraction: o.Domain.GrantCap, MemoryGrants: o.Domain.Grants,
			Priorities: o.Domain.Priorities, ProgressInterval: o.Domain.ProgressPaceNs, ReportsCost: o.Domain.SaysCost,
			ReportFields: o.Stats.Fields, PollEndpointList: o.Discovery == "on_request", WeightByWork: o.ValueBy == "work",
			Limits: control.Limits{MaxAttempts: o.Limits.MaxAttempts, MaxRetryAfter: o.Limits.MaxRetryAfterNs,
				RetryAfter: o.Limits.RetryAfter, Cancellation: o.Limits.Cancel, Hedging: o.Limits.ParallelTries,
				LoadProbes: o.Limits.Probing, Gossip: o.Limits.Peers},
			Rules: control.Rules{MaxPollInterval: o.Rules.AskEveryNs,
				SlowStartInitial: o.Rules.ColdFrom, SlowStartDuration: o.Rules.WarmAfterNs, OverloadMultiple: o.Rules.FallMultiple,
				OverloadWindow: o.Rules.FallNs, KeyCooldown: o.Rules.KeyRestNs, RetryBudgetWindow: o.Rules.BudgetSpanNs,
				RetryBudgetRatio: o.Rules.FurtherRatio, RetryBudgetReserve: o.Rules.ExtraFree}},
		ConnectTimeout:  orElse(o.Limits.ConnectTimeoutNs, defaultConnectTimeout),
		ConnIdleTimeout: orElse(o.Limits.ConnIdleNs, defaultConnIdle),
		MaxStreams:      orElse(o.Limits.MaxStreams, defaultMaxStreams),
		DrainGrace:      o.Rules.DrainGraceNs,
	}
	for key, bad := range map[string]bool{
		"RoundNs": o.RoundNs < 0, "Limits.ConnectTimeoutNs": s.ConnectTimeout < 0, "Limits.ConnIdleNs": s.ConnIdleTimeout < 0,
		"Rules.DrainGraceNs": s.DrainGrace < 0, "Limits.MaxStreams": s.MaxStreams < 0, "Limits.MaxAttempts": o.Limits.MaxAttempts < 0} {
		if bad {
			return s, fmt.Errorf("settings.%s: must not be negative", key)
		}
	}
	for i, name := range o.MachineTypes {
		s.Control.EngineKinds[name] = control.EngineKind{Cores: at(o.Domain.SizeCores, i), MemoryMB: at(o.Domain.KindMemoryMb, i)}
	}
	for i, c := range o.RequestClasses {
		effect, ok := effects[c.Effect]
		if !ok {
			return s, fmt.Errorf("settings.RequestClasses[%d].Effect: unknown effect %q", i, c.Effect)
		}
		scope, ok := scopes[c.KeyScope]
		if !ok {
			return s, fmt.Errorf("settings.RequestClasses[%d].KeyScope: unknown scope %q", i, c.KeyScope)
		}
		s.MaxClientTimeout = max(s.MaxClientTimeout, c.GiveUpNs)
		s.Control.Classes = append(s.Control.Classes, control.Class{Name: c.Name, LatencyObjective: c.PromiseNs, ClientTimeout: c.GiveUpNs,
			ObjectivePerWork: c.AimStretch, PriorityWeight: c.Worth, LateWeight: c.LateWorth, Idempotency: effect, DedupScope: scope,
			DedupWindow: c.WindowNs, Ordered: c.ByArrival, AllowedZones: c.AllowedIn, AllowedKinds: c.AllowedOn,
			Threads: at(o.Domain.WidthByClass, i), HoldsDataSetLock: at(o.Domain.ClassLoad, i),
			BlockedByDataSetLock: at(o.Domain.YieldsToLoads, i)})
	}
	for _, t := range o.Tenants {
		s.Control.Tenants = append(s.Control.Tenants, control.Tenant{Name: t.Name, Share: t.Share, Quota: t.QuotaPerS})
	}
	return s, nil
}
