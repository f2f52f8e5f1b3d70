package scenario

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var testActions = map[string]bool{"slow": true, "gone": false}

func TestParse(t *testing.T) {
	got, err := Parse("1s:gone,1.5s:slow:2,90s:gone", testActions, 3)
	want := []Step{
		{time.Second, "gone", 0},
		{1500 * time.Millisecond, "slow", 2},
		{90 * time.Second, "gone", 0},
	}
	if diff := cmp.Diff(want, got); diff != "" || err != nil {
		t.Fatal(diff, err)
	}
}

func TestParseErrors(t *testing.T) {
	for text, want := range map[string]string{
		"gone":            "is no TIME:WHAT",
		"1s:slow:2:3":     "is no TIME:WHAT",
		"x:gone":          "begins with no time",
		"-1s:gone":        "begins with no time",
		"1s:odd":          `"odd" is none of gone, slow`,
		"1s:slow":         "a number belongs",
		"1s:gone:1":       "a number belongs",
		"1s:slow:4":       "no number from 1 to 3",
		"1s:slow:x":       "no number from 1 to 3",
		"2s:gone,1s:gone": "comes before",
	} {
		t.Run(text, func(t *testing.T) {
			if got, err := Parse(text, testActions, 3); err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("%v, %v, want %q", got, err, want)
			}
		})
	}
}

func TestPlayRunsStepsInOrder(t *testing.T) {
	var actions []string
	record := func(s Step) error {
		actions = append(actions, s.Action)
		return nil
	}
	if err := Run(t.Context(), []Step{{0, "gone", 0}, {time.Millisecond, "slow", 1}}, record); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{"gone", "slow"}, actions); diff != "" {
		t.Fatal(diff)
	}
}
