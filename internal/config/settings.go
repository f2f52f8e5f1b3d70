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
	ConnectTimeout time.Duration
	ConnIdle       time.Duration // engines close connections that are idle so long
	MaxStreams     int           // attempts that share a connection
	LongestGiveUp  time.Duration // the longest deadline of all classes
	DrainGrace     time.Duration // sends to an engine that drains have left so long after it was told; 0: not said
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

var effects = map[string]control.Effect{"repeatable": control.Repeatable, "by_key": control.Keyed, "once": control.Once}

var scopes = map[string]control.Scope{"": control.ScopeAll, "all": control.ScopeAll,
	"zone": control.ScopeZone, "cell": control.ScopeCell}

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
		Control: control.Settings{Gateways: o.PeersTotal, Gateway: o.Position, Zone: o.Zone, Round: o.RoundNs,
			Kinds: map[string]control.Kind{}, GrantCap: o.Domain.GrantCap, Grants: o.Domain.Grants,
			Priorities: o.Domain.Priorities, NotesEvery: o.Domain.ProgressPaceNs, CostTold: o.Domain.SaysCost,
			ReportFields: o.Stats.Fields, ListOnRequest: o.Discovery == "on_request", WorthByWork: o.ValueBy == "work",
			Limits: control.Limits{MaxAttempts: o.Limits.MaxAttempts, MaxRetryWait: o.Limits.MaxRetryAfterNs,
				RetryHints: o.Limits.RetryAfter, Cancel: o.Limits.Cancel, Copies: o.Limits.ParallelTries,
				Probing: o.Limits.Probing, Peers: o.Limits.Peers},
			Rules: control.Rules{AskEvery: o.Rules.AskEveryNs,
				ColdFrom: o.Rules.ColdFrom, WarmAfter: o.Rules.WarmAfterNs, FallMultiple: o.Rules.FallMultiple,
				FallWindow: o.Rules.FallNs, KeyRest: o.Rules.KeyRestNs, BudgetWindow: o.Rules.BudgetSpanNs,
				BudgetShare: o.Rules.FurtherRatio, BudgetFree: o.Rules.ExtraFree}},
		ConnectTimeout: orElse(o.Limits.ConnectTimeoutNs, defaultConnectTimeout),
		ConnIdle:       orElse(o.Limits.ConnIdleNs, defaultConnIdle),
		MaxStreams:     orElse(o.Limits.MaxStreams, defaultMaxStreams),
		DrainGrace:     o.Rules.DrainGraceNs,
	}
	for key, bad := range map[string]bool{
		"RoundNs": o.RoundNs < 0, "Limits.ConnectTimeoutNs": s.ConnectTimeout < 0, "Limits.ConnIdleNs": s.ConnIdle < 0,
		"Rules.DrainGraceNs": s.DrainGrace < 0, "Limits.MaxStreams": s.MaxStreams < 0, "Limits.MaxAttempts": o.Limits.MaxAttempts < 0} {
		if bad {
			return s, fmt.Errorf("settings.%s: must not be negative", key)
		}
	}
	for i, name := range o.MachineTypes {
		s.Control.Kinds[name] = control.Kind{Cores: at(o.Domain.SizeCores, i), MemoryMB: at(o.Domain.KindMemoryMb, i)}
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
		s.LongestGiveUp = max(s.LongestGiveUp, c.GiveUpNs)
		s.Control.Classes = append(s.Control.Classes, control.Class{Name: c.Name, Aim: c.PromiseNs, GiveUp: c.GiveUpNs,
			AimStretch: c.AimStretch, Worth: c.Worth, LateWorth: c.LateWorth, Effect: effect, Scope: scope,
			Window: c.WindowNs, Ordered: c.ByArrival, Zones: c.AllowedIn, Kinds: c.AllowedOn,
			Threads: at(o.Domain.WidthByClass, i), Load: at(o.Domain.ClassLoad, i),
			Waits: at(o.Domain.YieldsToLoads, i)})
	}
	for _, t := range o.Tenants {
		s.Control.Tenants = append(s.Control.Tenants, control.Tenant{Name: t.Name, Share: t.Share, Quota: t.QuotaPerS})
	}
	return s, nil
}
