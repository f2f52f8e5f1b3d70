package scenario

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var testActions = map[string]bool{"slow": true, "gone": false}

func TestParseReturnsStepsInOrder(t *testing.T) {
	got, err := Parse("1s:gone,1.5s:slow:2,90s:gone", testActions, 3)
	want := []Step{
		{time.Second, "gone", 0},
		{1500 * time.Millisecond, "slow", 2},
		{90 * time.Second, "gone", 0},
	}
	if diff := cmp.Diff(want, got); diff != "" || err != nil {
		t.Fatalf("steps differ (-want +got), error %v:\n%s", err, diff)
	}
}

func TestParseRejectsInvalidSteps(t *testing.T) {
	for text, want := range map[string]string{
		"gone":            "is not of the form TIME:WHAT",
		"1s:slow:2:3":     "is not of the form TIME:WHAT",
		"x:gone":          "must start with a time",
		"-1s:gone":        "must start with a time",
		"1s:odd":          `"odd" is none of gone, slow`,
		"1s:slow":         "require its number",
		"1s:gone:1":       "require its number",
		"1s:slow:4":       "is not a number from 1 to 3",
		"1s:slow:x":       "is not a number from 1 to 3",
		"2s:gone,1s:gone": "is earlier than the previous step",
	} {
		t.Run(text, func(t *testing.T) {
			if got, err := Parse(text, testActions, 3); err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("parsed %v, error %v, want %q", got, err, want)
			}
		})
	}
}

func TestRunExecutesStepsInOrder(t *testing.T) {
	var actions []string
	record := func(s Step) error {
		actions = append(actions, s.Action)
		return nil
	}
	if err := Run(t.Context(), []Step{{0, "gone", 0}, {time.Millisecond, "slow", 1}}, record); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{"gone", "slow"}, actions); diff != "" {
		t.Fatalf("executed actions differ (-want +got):\n%s", diff)
	}
}
