package wire

import (
	"encoding/json"
	"fmt"
	"time"

	"wheatlane/control"
)

// profile is the part of the settings object that the module uses.
type profile struct {
	PeersTotal     int
	Position       int
	Zone           string
	RoundNs        time.Duration
	MachineTypes   []string
	Discovery      string
	RequestClasses []struct {
		Name             string
		PromiseNs        time.Duration
		AimStretch       float64
		Worth, LateWorth float64
		Effect, KeyScope string
		WindowNs         time.Duration
		ByArrival        bool
		AllowedIn        []string
		AllowedOn        []string
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
		MaxAttempts                                int
		MaxRetryAfterNs                            time.Duration
		RetryAfter, Cancel, ParallelTries, Probing bool
	}
	Rules struct {
		AskEveryNs, WarmAfterNs         time.Duration
		ColdFrom, FallMultiple          float64
		FallNs, KeyRestNs, BudgetSpanNs time.Duration
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

func settings(text string) (control.Settings, error) {
	var p profile
	if err := json.Unmarshal([]byte(text), &p); err != nil {
		return control.Settings{}, err
	}
	s := control.Settings{Gateways: p.PeersTotal, Gateway: p.Position, Zone: p.Zone, Round: p.RoundNs,
		Kinds: map[string]control.Kind{}, GrantCap: p.Domain.GrantCap, Grants: p.Domain.Grants,
		Priorities: p.Domain.Priorities, NotesEvery: p.Domain.ProgressPaceNs, CostTold: p.Domain.SaysCost,
		ReportFields: p.Stats.Fields, ListOnRequest: p.Discovery == "on_request",
		Limits: control.Limits{MaxAttempts: p.Limits.MaxAttempts, MaxRetryWait: p.Limits.MaxRetryAfterNs,
			RetryHints: p.Limits.RetryAfter, Cancel: p.Limits.Cancel, Copies: p.Limits.ParallelTries,
			Probing: p.Limits.Probing},
		Rules: control.Rules{AskEvery: p.Rules.AskEveryNs,
			ColdFrom: p.Rules.ColdFrom, WarmAfter: p.Rules.WarmAfterNs, FallMultiple: p.Rules.FallMultiple,
			FallWindow: p.Rules.FallNs, KeyRest: p.Rules.KeyRestNs, BudgetWindow: p.Rules.BudgetSpanNs,
			BudgetShare: p.Rules.FurtherRatio, BudgetFree: p.Rules.ExtraFree}}
	for i, name := range p.MachineTypes {
		s.Kinds[name] = control.Kind{Cores: at(p.Domain.SizeCores, i), MemoryMB: at(p.Domain.KindMemoryMb, i)}
	}
	for i, c := range p.RequestClasses {
		effect, ok := effects[c.Effect]
		if !ok {
			return s, fmt.Errorf("class %q: unknown Effect %q", c.Name, c.Effect)
		}
		scope, ok := scopes[c.KeyScope]
		if !ok {
			return s, fmt.Errorf("class %q: unknown KeyScope %q", c.Name, c.KeyScope)
		}
		s.Classes = append(s.Classes, control.Class{Name: c.Name, Aim: c.PromiseNs, AimStretch: c.AimStretch,
			Worth: c.Worth, LateWorth: c.LateWorth, Effect: effect, Scope: scope,
			Window: c.WindowNs, Ordered: c.ByArrival, Zones: c.AllowedIn, Kinds: c.AllowedOn,
			Threads: at(p.Domain.WidthByClass, i), Load: at(p.Domain.ClassLoad, i),
			Waits: at(p.Domain.YieldsToLoads, i)})
	}
	for _, t := range p.Tenants {
		s.Tenants = append(s.Tenants, control.Tenant{Name: t.Name, Share: t.Share, Quota: t.QuotaPerS})
	}
	return s, nil
}
