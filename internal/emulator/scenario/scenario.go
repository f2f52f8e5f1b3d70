// Package scenario reads and plays scenarios: what an emulator is to do, and when.
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

// Step is one action at a time.
type Step struct {
	At     time.Duration // since the beginning
	Action string        // the action
	Target int           // number of its object, from 1; 0: the action has none
}

func (s Step) String() string {
	if s.Target == 0 {
		return fmt.Sprintf("%v %s", s.At, s.Action)
	}
	return fmt.Sprintf("%v %s %d", s.At, s.Action, s.Target)
}

// Parse reads steps written as TIME:ACTION or TIME:ACTION:NUMBER, with commas between, in the order of
// their times. actions are the actions, and whether they take a number, which is from 1 to targets. Errors
// quote the step.
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
			return nil, fmt.Errorf("%q comes before the one ahead of it", part)
		}
		steps = append(steps, step)
	}
	return steps, nil
}

func parseStep(text string, actions map[string]bool, targets int) (Step, error) {
	fields := strings.Split(text, ":")
	if len(fields) < 2 || len(fields) > 3 {
		return Step{}, fmt.Errorf("%q is no TIME:WHAT or TIME:WHAT:NUMBER", text)
	}
	at, err := time.ParseDuration(fields[0])
	if err != nil || at < 0 {
		return Step{}, fmt.Errorf("%q begins with no time, as 1.5s is", text)
	}
	step := Step{At: at, Action: fields[1]}
	numbered, known := actions[step.Action]
	if !known {
		names := strings.Join(slices.Sorted(maps.Keys(actions)), ", ")
		return Step{}, fmt.Errorf("%q: %q is none of %s", text, step.Action, names)
	}
	if numbered != (len(fields) == 3) {
		return Step{}, fmt.Errorf(
			"%q: a number belongs behind what is done to one of several, and nowhere else", text)
	}
	if !numbered {
		return step, nil
	}
	if step.Target, err = strconv.Atoi(fields[2]); err != nil || step.Target < 1 || step.Target > targets {
		return Step{}, fmt.Errorf("%q: %q is no number from 1 to %d", text, fields[2], targets)
	}
	return step, nil
}

// Run calls do with each step at its time, until ctx ends. An error of do names its step.
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
