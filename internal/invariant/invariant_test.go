package invariant

import "testing"

// Each guard names the rule that is broken, and none where all hold.
func TestGuards(t *testing.T) {
	type guard interface{ ViolatedRule() (Rule, bool) }
	const none = Rule(-1)
	for name, tt := range map[string]struct {
		guard guard
		want  Rule
	}{
		"start":                      {AttemptStart{EndpointInService: true}, none},
		"start after the end":        {AttemptStart{EndpointInService: true, RequestEnded: true}, NoStartAfterEnd},
		"start after final answers":  {AttemptStart{EndpointInService: true, FinalAnswersSent: true}, NoStartAfterEnd},
		"start at a draining engine": {AttemptStart{}, NoSendToUnready},
		"retry":                      {AttemptRepeat{MayHaveRun: true}, none},
		"hedged request":             {AttemptRepeat{MayHaveRun: true, InFlight: true, Hedging: true}, none},
		"two in flight":              {AttemptRepeat{MayHaveRun: true, InFlight: true}, NoParallelAttempts},
		"repeat of what never ran":   {AttemptRepeat{NonIdempotent: true}, none},
		"repeat of what may have run": {
			AttemptRepeat{NonIdempotent: true, MayHaveRun: true, Hedging: true}, NoUnsafeRepeat,
		},
		"hedged and non-idempotent": {AttemptRepeat{NonIdempotent: true, InFlight: true, Hedging: true}, NoUnsafeRepeat},
	} {
		t.Run(name, func(t *testing.T) {
			got, broken := tt.guard.ViolatedRule()
			if !broken {
				got = none
			}
			if got != tt.want {
				t.Errorf("broken rule %d, want %d", got, tt.want)
			}
		})
	}
}

// Every rule has a name of its own.
func TestNames(t *testing.T) {
	seen := map[string]bool{}
	for rule := range ruleCount {
		if name := rule.String(); name == "" || seen[name] {
			t.Errorf("rule %d has the name %q", rule, name)
		} else {
			seen[name] = true
		}
	}
}
