package broker

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"wheatlane/control"
	"wheatlane/internal/changelog"
)

// Unsent attempts for a draining engine are cancelled, connections to an engine that was removed or restarted or has a
// new address are closed, and a change that was applied before has no effect.
func TestEndpointChanges(t *testing.T) {
	draining, restarted := endpoint("e1", addr1, control.Draining), engine1()
	restarted.StartedAt = startTime
	closeAll := []Effect{CloseEngineConnections{Engine: "e1"}}
	for name, c := range map[string]struct {
		change Event
		want   []Effect
	}{
		"draining":                {delta(2, draining), []Effect{CancelUnsentAttempts{"e1"}}},
		"removed":                 {delta(2, endpoint("e1", addr1, control.Removed)), closeAll},
		"restarted":               {delta(2, restarted), []Effect{CloseEngineConnections{"e1", startTime}}},
		"moved":                   {delta(2, endpoint("e1", "127.0.0.1:9", control.Ready)), closeAll},
		"address taken over":      {delta(2, endpoint("e3", addr1, control.Ready)), closeAll},
		"missing in snapshot":     {snapshot(2, engine2()), closeAll},
		"revision applied before": {delta(1, endpoint("e1", addr1, control.Removed)), nil},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, engine1(), engine2())
			if diff := cmp.Diff(c.want, h.apply(c.change)); diff != "" {
				t.Errorf("effects (-want +got):\n%s", diff)
			}
		})
	}
}

// An engine is removed when another engine takes over its address: attempts for it would reach the new engine, which
// may be in slow start.
func TestAddressTakenOverByAnotherEngine(t *testing.T) {
	h := newHarness(t, engine1())
	h.broker.Apply(h.now, delta(2, endpoint("e2", addr1, control.Ready)))
	want := control.EndpointUpdate{Engines: []control.Engine{
		{ID: "e1", State: control.Removed},
		{ID: "e2", Kind: "std"},
	}}
	if diff := cmp.Diff(want, h.lastModuleEvent()); diff != "" {
		t.Fatal(diff)
	}
	for id := range Session(5) {
		h.submit(id+1, "lookup", "", time.Second)
	}
	for _, engine := range startedOn(h.run(50 * ms)) {
		if engine != "e2" {
			t.Fatalf("%s got an attempt at the address of e2", engine)
		}
	}
	if n := len(h.started()); n != 5 {
		t.Fatalf("%d attempts were started, want 5", n)
	}
}

// One page of the change log may drain, remove and re-add an engine, or assign its address to another engine. All
// changes are applied in order, and attempts go to the engines in service after the last change.
func TestSeveralChangesOfOneEngineInOnePage(t *testing.T) {
	change := func(revision int64, endpoint changelog.Endpoint) changelog.Change {
		return changelog.Change{Revision: revision, Endpoints: []changelog.Endpoint{endpoint}}
	}
	draining := endpoint("e1", addr1, control.Draining)
	removed := endpoint("e1", "", control.Removed)
	back := engine1()
	back.StartedAt = startTime - time.Hour
	for name, c := range map[string]struct {
		changes []changelog.Change
		want    []string // engines that a request is sent to
	}{
		"draining, removed, re-added": {
			[]changelog.Change{change(2, draining), change(3, removed), change(4, back)},
			[]string{"e1"},
		},
		"removed, re-added, draining": {
			[]changelog.Change{change(2, removed), change(3, back), change(4, draining)},
			nil,
		},
		"address taken over": {
			[]changelog.Change{change(2, draining), change(3, endpoint("e2", addr1, control.Ready))},
			[]string{"e2"},
		},
		"address taken over, re-added elsewhere": {
			[]changelog.Change{
				change(2, endpoint("e2", addr1, control.Ready)),
				change(3, endpoint("e2", addr1, control.Draining)),
				change(4, endpoint("e1", "127.0.0.1:3", control.Ready)),
			},
			[]string{"e1"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, engine1())
			h.apply(EndpointChanges{Page: changelog.Page{Revision: 4, Changes: c.changes}})
			h.run(10 * ms)
			h.submit(1, "lookup", "", time.Second)
			h.run(10 * ms)
			if diff := cmp.Diff(c.want, startedOn(h.effects)); diff != "" {
				t.Errorf("attempts (-want +got):\n%s", diff)
			}
			if n := len(effectsOf[CloseEngineConnections](h.effects)); n != 1 {
				t.Errorf("connections were closed %d times, want once", n)
			}
		})
	}
}
