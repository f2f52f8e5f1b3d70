// Package script reads and plays what a stand-in is to do when.
package scenario

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Step is one thing to do at a time.
type Step struct {
	At     time.Duration // since the beginning
	Do     string
	Target int // which one, from 1; 0: none is named
}

func (s Step) String() string {
	if s.Target == 0 {
		return fmt.Sprintf("%v %s", s.At, s.Do)
	}
	return fmt.Sprintf("%v %s %d", s.At, s.Do, s.Target)
}

// Parse reads steps written as TIME:WHAT or TIME:WHAT:NUMBER, with commas between, in the order of their times. verbs are
// what can be done; those that need a number say so.
func Parse(text string, verbs map[string]bool, targets int) ([]Step, error) {
	var all []Step
	if text == "" {
		return nil, nil
	}
	for part := range strings.SplitSeq(text, ",") {
		f := strings.Split(part, ":")
		if len(f) < 2 || len(f) > 3 {
			return nil, fmt.Errorf("%q is no TIME:WHAT or TIME:WHAT:NUMBER", part)
		}
		at, err := time.ParseDuration(f[0])
		if err != nil || at < 0 {
			return nil, fmt.Errorf("%q begins with no time, as 1.5s is", part)
		}
		s := Step{At: at, Do: f[1]}
		numbered, known := verbs[s.Do]
		if !known {
			return nil, fmt.Errorf("%q: %q is none of %s", part, s.Do, strings.Join(sortedNames(verbs), ", "))
		}
		if numbered != (len(f) == 3) {
			return nil, fmt.Errorf("%q: a number belongs behind what is done to one of several, and nowhere else", part)
		}
		if numbered {
			if s.Target, err = strconv.Atoi(f[2]); err != nil || s.Target < 1 || s.Target > targets {
				return nil, fmt.Errorf("%q: %q is no number from 1 to %d", part, f[2], targets)
			}
		}
		if len(all) > 0 && at < all[len(all)-1].At {
			return nil, fmt.Errorf("%q comes before the one ahead of it", part)
		}
		all = append(all, s)
	}
	return all, nil
}

func sortedNames(verbs map[string]bool) (all []string) {
	for v := range verbs {
		all = append(all, v)
	}
	slices.Sort(all)
	return all
}

// Play calls do with each step at its time, until ctx ends.
func Play(ctx context.Context, steps []Step, do func(Step) error) error {
	began := time.Now()
	for _, s := range steps {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(time.Until(began.Add(s.At))):
		}
		if err := do(s); err != nil {
			return fmt.Errorf("%s: %w", s, err)
		}
	}
	return nil
}
