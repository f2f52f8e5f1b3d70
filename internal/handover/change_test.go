package handover

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"
)

func TestApplyChanges(t *testing.T) {
	s := State{Broker: broker, MaintenanceEngines: []string{"e1", "e3"}}
	got := s.Apply([]Change{{"e2", true}, {"e3", false}, {"e1", true}, {"e9", false}, {"e2", true}})
	if diff := cmp.Diff(State{broker, []string{"e1", "e2"}}, got); diff != "" {
		t.Error(diff)
	}
}

// TestApplyingDiffGivesTargetState guards against a process that adopts an incomplete change of another process:
// applying the difference between two states to the first gives the second, and equal states have no difference.
func TestApplyingDiffGivesTargetState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines := rapid.SliceOfDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}), rapid.ID[string])
		from, to := State{broker, engines.Draw(t, "from")}, State{broker, engines.Draw(t, "to")}
		got := from.Apply(from.Diff(to))
		if diff := cmp.Diff(to.Apply(nil), got, cmpopts.EquateEmpty()); diff != "" {
			t.Error(diff)
		}
		if changes := from.Diff(from.Apply(nil)); len(changes) != 0 {
			t.Errorf("equal states: got changes %v, want none", changes)
		}
	})
}
