package idempotency

import (
	"testing"
	"time"
)

func TestAllowsRetry(t *testing.T) {
	t.Parallel()
	const window = 15 * time.Second
	here := Location{Zone: "a", Cell: 1}
	sameZone, sameCell := Location{Zone: "a", Cell: 2}, Location{Zone: "b", Cell: 1}
	withKey := func(scope Scope) Policy {
		return Policy{Kind: IdempotentWithKey, DedupScope: scope, DedupWindow: window}
	}
	mayHaveRun, neverRan := Attempt{Location: here, MayHaveRun: true}, Attempt{Location: here, Age: window}
	old, almostOld := mayHaveRun, mayHaveRun
	old.Age, almostOld.Age = window, window-1
	for name, c := range map[string]struct {
		policy  Policy
		earlier Attempt
		at      Location
		want    bool
	}{
		"idempotent":                             {Policy{}, old, sameCell, true},
		"non-idempotent":                         {Policy{Kind: NonIdempotent}, mayHaveRun, here, false},
		"non-idempotent, never ran":              {Policy{Kind: NonIdempotent}, neverRan, sameCell, true},
		"with a key":                             {withKey(ScopeAll), almostOld, sameCell, true},
		"with a key, past the window":            {withKey(ScopeAll), old, here, false},
		"with a key, never ran":                  {withKey(ScopeZone), neverRan, sameCell, true},
		"with a key, same zone":                  {withKey(ScopeZone), almostOld, sameZone, true},
		"with a key, other zone":                 {withKey(ScopeZone), mayHaveRun, sameCell, false},
		"with a key, same cell":                  {withKey(ScopeCell), almostOld, sameCell, true},
		"with a key, other cell":                 {withKey(ScopeCell), mayHaveRun, sameZone, false},
		"with a key, same cell, past the window": {withKey(ScopeCell), old, here, false},
		"with a key, unknown scope":              {withKey(ScopeCell + 1), mayHaveRun, here, false},
		"with a key, same engine":                {withKey(ScopeZone), mayHaveRun, here, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if got := c.policy.AllowsRetry(c.earlier, c.at); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// An attempt must rule out all further ones if duplicates are not allowed, or once no engine would drop them:
// otherwise the effect of the request could happen twice.
func TestForbidsRetry(t *testing.T) {
	t.Parallel()
	withKey := Policy{Kind: IdempotentWithKey, DedupScope: ScopeCell, DedupWindow: time.Second}
	for name, c := range map[string]struct {
		policy  Policy
		earlier Attempt
		want    bool
	}{
		"idempotent":                {Policy{}, Attempt{MayHaveRun: true, Age: time.Hour}, false},
		"non-idempotent":            {Policy{Kind: NonIdempotent}, Attempt{MayHaveRun: true}, true},
		"non-idempotent, never ran": {Policy{Kind: NonIdempotent}, Attempt{Age: time.Hour}, false},
		"with a key":                {withKey, Attempt{MayHaveRun: true, Age: time.Second - 1}, false},
		"with a key, past window":   {withKey, Attempt{MayHaveRun: true, Age: time.Second}, true},
		"with a key, never ran":     {withKey, Attempt{Age: time.Hour}, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if got := c.policy.ForbidsRetry(c.earlier); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

func TestAllowsRejection(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		policy             Policy
		repeatableAnywhere bool
	}{
		"idempotent":            {Policy{}, true},
		"with a key everywhere": {Policy{Kind: IdempotentWithKey}, true},
		"with a key for a zone": {Policy{Kind: IdempotentWithKey, DedupScope: ScopeZone}, false},
		"with a key for a cell": {Policy{Kind: IdempotentWithKey, DedupScope: ScopeCell}, false},
		"non-idempotent":        {Policy{Kind: NonIdempotent}, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if got := c.policy.RepeatableAnywhere(); got != c.repeatableAnywhere {
				t.Errorf("repeatable anywhere: %v, want %v", got, c.repeatableAnywhere)
			}
			if got := c.policy.AllowsRejection(true); got != c.repeatableAnywhere {
				t.Errorf("rejection of a request that may have run: %v, want %v", got, c.repeatableAnywhere)
			}
			if !c.policy.AllowsRejection(false) {
				t.Error("rejection of a request that never ran is not allowed")
			}
		})
	}
}
