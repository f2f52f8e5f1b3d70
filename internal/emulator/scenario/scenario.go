// Package scenario parses and runs scenarios: lists of timed actions on emulators, such as faults.
package scenario

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Step is one timed action of a scenario.
type Step struct {
	At     time.Duration // since the start of the scenario
	Action string
	Target int // number of the action's target, from 1; 0 for an action without target
}

// String formats the step as progress output and errors show it.
func (s Step) String() string {
	if s.Target == 0 {
		return fmt.Sprintf("%v %s", s.At, s.Action)
	}
	return fmt.Sprintf("%v %s %d", s.At, s.Action, s.Target)
}

// Parse parses a comma-separated list of steps, each TIME:WHAT or TIME:WHAT:NUMBER, in the order of their times.
// actions has the known actions and specifies for each whether it requires the number of a target, from 1 to targets.
// Errors quote the step.
func Parse(text string, actions map[string]bool, targets int) ([]Step, error) {
	if text == "" {
		return nil, nil
	}
	parts := strings.Split(text, ",")
	steps := make([]Step, 0, len(parts))
	for _, part := range parts {
		step, err := parseStep(part, actions, targets)
		if err != nil {
			return nil, err
		}
		if len(steps) > 0 && step.At < steps[len(steps)-1].At {
			return nil, fmt.Errorf("%q is earlier than the previous step", part)
		}
		steps = append(steps, step)
	}
	return steps, nil
}

func parseStep(text string, actions map[string]bool, targets int) (Step, error) {
	fields := strings.Split(text, ":")
	if len(fields) < 2 || len(fields) > 3 {
		return Step{}, fmt.Errorf("%q is not of the form TIME:WHAT or TIME:WHAT:NUMBER", text)
	}
	at, err := time.ParseDuration(fields[0])
	if err != nil || at < 0 {
		return Step{}, fmt.Errorf("%q must start with a time that is not negative, such as 1.5s", text)
	}
	step := Step{At: at, Action: fields[1]}
	requiresTarget, known := actions[step.Action]
	if !known {
		names := strings.Join(slices.Sorted(maps.Keys(actions)), ", ")
		return Step{}, fmt.Errorf("%q: %q is none of %s", text, step.Action, names)
	}
	if requiresTarget != (len(fields) == 3) {
		return Step{}, fmt.Errorf(
			"%q: actions on one of several targets require its number, and other actions take none", text)
	}
	if !requiresTarget {
		return step, nil
	}
	if step.Target, err = strconv.Atoi(fields[2]); err != nil || step.Target < 1 || step.Target > targets {
		return Step{}, fmt.Errorf("%q: %q is not a number from 1 to %d", text, fields[2], targets)
	}
	return step, nil
}

// Run calls do with each step at its time, until ctx is done or do fails. It returns do's error with the step.
func Run(ctx context.Context, steps []Step, do func(Step) error) error {
	start := time.Now()
	for _, step := range steps {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(time.Until(start.Add(step.At))):
		}
		if err := do(step); err != nil {
			return fmt.Errorf("%s: %w", step, err)
		}
	}
	return nil
}
