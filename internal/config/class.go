package config

import (
	"fmt"
	"strconv"
	"time"

	"wheatlane/control"
	"wheatlane/control/idempotency"
	"wheatlane/control/units"
	"wheatlane/internal/jsontext"
)

// Keys of a class that errors name.
const (
	keyIdempotency      = "Effect"
	keyDedupScope       = "KeyScope"
	keyDedupWindow      = "WindowNs"
	keyClientTimeout    = "GiveUpNs"
	keyObjective        = "PromiseNs"
	keyObjectivePerWork = "AimStretch"
)

// idempotencies maps values of Effect.
var idempotencies = map[string]idempotency.Kind{
	"repeatable": idempotency.Idempotent,
	"by_key":     idempotency.IdempotentWithKey,
	"once":       idempotency.NonIdempotent,
}

// dedupScopes maps values of KeyScope.
var dedupScopes = map[string]idempotency.Scope{
	"":     idempotency.ScopeAll,
	"all":  idempotency.ScopeAll,
	"zone": idempotency.ScopeZone,
	"cell": idempotency.ScopeCell,
}

// classObject decodes a request class.
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

// classPath returns the path of the class at a position in RequestClasses.
func classPath(position int) string { return fmt.Sprintf("settings.RequestClasses[%d]", position) }

// decode validates and converts the class at a position in RequestClasses.
func (c *classObject) decode(domain domainObject, position int) (control.Class, *jsontext.KeyError) {
	kind, ok := idempotencies[c.Effect]
	if !ok {
		return control.Class{}, &jsontext.KeyError{
			Key: keyIdempotency, Err: fmt.Errorf("must be repeatable, by_key or once, got %q", c.Effect),
		}
	}
	scope, ok := dedupScopes[c.KeyScope]
	if !ok {
		return control.Class{}, &jsontext.KeyError{
			Key: keyDedupScope, Err: fmt.Errorf("must be all, zone or cell, got %q", c.KeyScope),
		}
	}
	if err := c.checkNotNegative(); err != nil {
		return control.Class{}, err
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

// checkNotNegative returns an error for the first negative value of a class.
func (c *classObject) checkNotNegative() *jsontext.KeyError {
	for _, field := range []struct {
		key   string
		value float64
	}{
		{keyObjective, float64(c.PromiseNs)},
		{keyClientTimeout, float64(c.GiveUpNs)},
		{keyDedupWindow, float64(c.WindowNs)},
		{keyObjectivePerWork, c.AimStretch},
	} {
		if field.value < 0 {
			text := strconv.FormatFloat(field.value, 'f', -1, 64)
			return &jsontext.KeyError{Key: field.key, Err: fmt.Errorf("must not be negative, got %s", text)}
		}
	}
	return nil
}
