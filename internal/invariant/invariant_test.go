package invariant

import "testing"

// ViolatedRule returns the violated rule, or none if all rules hold.
func TestViolatedRule(t *testing.T) {
	type guard interface{ ViolatedRule() (Rule, bool) }
	const none = Rule(-1)
	for name, tt := range map[string]struct {
		guard guard
		want  Rule
	}{
		"allowed start":              {AttemptStart{EndpointInService: true}, none},
		"start after request ended":  {AttemptStart{EndpointInService: true, RequestEnded: true}, NoStartAfterEnd},
		"start after final answers":  {AttemptStart{EndpointInService: true, FinalAnswersSent: true}, NoStartAfterEnd},
		"start at a draining engine": {AttemptStart{}, NoSendToUnready},
		"retry":                      {AttemptRepeat{MayHaveRun: true}, none},
		"hedged request":             {AttemptRepeat{MayHaveRun: true, InFlight: true, Hedging: true}, none},
		"two attempts in flight":     {AttemptRepeat{MayHaveRun: true, InFlight: true}, NoParallelAttempts},
		"non-idempotent, never ran":  {AttemptRepeat{NonIdempotent: true}, none},
		"non-idempotent, may have run": {
			AttemptRepeat{NonIdempotent: true, MayHaveRun: true, Hedging: true}, NoUnsafeRepeat,
		},
		"non-idempotent, in flight": {AttemptRepeat{NonIdempotent: true, InFlight: true, Hedging: true}, NoUnsafeRepeat},
	} {
		t.Run(name, func(t *testing.T) {
			got, violated := tt.guard.ViolatedRule()
			if !violated {
				got = none
			}
			if got != tt.want {
				t.Errorf("violated rule %d, want %d", got, tt.want)
			}
		})
	}
}

// Rule names are non-empty and unique, as logs and metrics identify a rule by its name.
func TestRuleNamesAreUnique(t *testing.T) {
	seen := map[string]bool{}
	for rule := range ruleCount {
		if name := rule.String(); name == "" || seen[name] {
			t.Errorf("rule %d has the name %q", rule, name)
		} else {
			seen[name] = true
		}
	}
}
