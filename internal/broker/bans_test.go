package broker

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"wheatlane/control"
	"wheatlane/internal/changelog"
)

// startedOn are the engines that attempts were sent to.
func startedOn(effects []Effect) (engines []string) {
	for _, w := range effectsOf[StartAttempt](effects) {
		engines = append(engines, w.Engine)
	}
	return engines
}

// An engine left out by hand gets nothing new until it is let in again, whatever the change log says meanwhile; what
// waited for it is dropped at once.
func TestMaintenanceHoldsUntilEnded(t *testing.T) {
	r := newHarness(t, endpoint("e1", "a:1", control.Ready))
	got := r.apply(StartMaintenance{"e1"})
	if diff := cmp.Diff([]CancelUnsent{{"e1"}}, effectsOf[CancelUnsent](got)); diff != "" {
		t.Fatal(diff)
	}
	if r.broker.Ready() || !r.broker.EverListed("e1") || r.broker.UnavailableEngines() != 1 {
		t.Fatalf("ready %v, listed %v, unhealthy %d", r.broker.Ready(), r.broker.EverListed("e1"), r.broker.UnavailableEngines())
	}
	if got := r.apply(StartMaintenance{"e1"}); len(got) != 0 { // a second call changes nothing
		t.Fatalf("got %v", got)
	}
	// The engine restarts during the ban, and the change log tells it in service again.
	back := endpoint("e1", "a:1", control.Ready)
	back.StartedAt = r.now - time.Minute // it came back a while ago
	r.apply(EndpointChanges{changelog.Page{Revision: 2, Changes: []changelog.Change{{Revision: 2, Endpoints: []changelog.Endpoint{back}}}}})
	r.submit(1, "lookup", "", 400*ms)
	if got := startedOn(r.run(100 * ms)); len(got) != 0 {
		t.Fatalf("sent to %v during the ban", got)
	}
	r.apply(EndMaintenance{"e1"})
	if !r.broker.Ready() {
		t.Fatal("not ready after the ban")
	}
	got = r.submit(2, "lookup", "", 400*ms)
	if got := startedOn(append(got, r.run(300*ms)...)); len(got) == 0 || r.broker.UnavailableEngines() != 0 {
		t.Fatalf("sent to %v after the ban, unhealthy %d", got, r.broker.UnavailableEngines())
	}
}

// Only ids that were listed can be left out.
func TestMaintenanceOfUnknownEngines(t *testing.T) {
	r := newHarness(t, endpoint("e1", "a:1", control.Ready), endpoint("e2", "a:2", control.Ready))
	r.apply(EndpointChanges{changelog.Page{Revision: 2, Changes: []changelog.Change{{Revision: 2, Endpoints: []changelog.Endpoint{
		endpoint("e2", "a:2", control.Removed),
	}}}}})
	for _, c := range []struct {
		id     string
		listed bool
	}{{"e1", true}, {"e2", true}, {"e3", false}} {
		if got := r.broker.EverListed(c.id); got != c.listed {
			t.Errorf("%s: listed %v", c.id, got)
		}
	}
	r.apply(StartMaintenance{"e3"}, StartMaintenance{"e2"})
	if diff := cmp.Diff([]string{"e2"}, r.broker.EnginesInMaintenance()); diff != "" {
		t.Fatal(diff)
	}
	if !r.broker.Ready() || r.broker.EndpointCount() != 1 {
		t.Fatalf("ready %v, size %d", r.broker.Ready(), r.broker.EndpointCount())
	}
}

// Bans handed over by the process before hold for engines that the list names only later.
func TestRestoredMaintenance(t *testing.T) {
	r := newHarness(t, endpoint("e1", "a:1", control.Ready))
	r.apply(RestoreMaintenance{[]string{"e1", "e2"}})
	if r.broker.Ready() {
		t.Fatal("ready with its one engine left out")
	}
	r.apply(EndpointChanges{changelog.Page{Revision: 2, Changes: []changelog.Change{{Revision: 2, Endpoints: []changelog.Endpoint{
		endpoint("e2", "a:2", control.Ready),
	}}}}})
	r.submit(1, "lookup", "", 400*ms)
	if got := startedOn(r.run(100 * ms)); len(got) != 0 {
		t.Fatalf("sent to %v", got)
	}
	r.apply(EndMaintenance{"e2"})
	if !r.broker.Ready() || !cmp.Equal(r.broker.EnginesInMaintenance(), []string{"e1"}) {
		t.Fatalf("ready %v, banned %v", r.broker.Ready(), r.broker.EnginesInMaintenance())
	}
}
