package broker

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"wheatlane/control"
	"wheatlane/internal/changelog"
)

// wants are the engines that attempts were sent to.
func wants(effects []Effect) (engines []string) {
	for _, w := range of[StartAttempt](effects) {
		engines = append(engines, w.Engine)
	}
	return engines
}

// An engine left out by hand gets nothing new until it is let in again, whatever the change log says meanwhile; what
// waited for it is dropped at once.
func TestABanHoldsUntilSetUp(t *testing.T) {
	r := newRig(t, host("e1", "a:1", control.Ready))
	got := r.apply(StartMaintenance{"e1"})
	if diff := cmp.Diff([]CancelUnsent{{"e1"}}, of[CancelUnsent](got)); diff != "" {
		t.Fatal(diff)
	}
	if r.b.Ready() || !r.b.EverListed("e1") || r.b.UnavailableEngines() != 1 {
		t.Fatalf("ready %v, listed %v, unhealthy %d", r.b.Ready(), r.b.EverListed("e1"), r.b.UnavailableEngines())
	}
	if got := r.apply(StartMaintenance{"e1"}); len(got) != 0 { // a second call changes nothing
		t.Fatalf("got %v", got)
	}
	// The engine restarts during the ban, and the change log tells it in service again.
	back := host("e1", "a:1", control.Ready)
	back.StartedAt = r.now - time.Minute // it came back a while ago
	r.apply(EndpointChanges{changelog.Page{Revision: 2, Changes: []changelog.Change{{Revision: 2, Endpoints: []changelog.Endpoint{back}}}}})
	r.submit(1, "lookup", "", 400*ms)
	if got := wants(r.run(100 * ms)); len(got) != 0 {
		t.Fatalf("sent to %v during the ban", got)
	}
	r.apply(EndMaintenance{"e1"})
	if !r.b.Ready() {
		t.Fatal("not ready after the ban")
	}
	got = r.submit(2, "lookup", "", 400*ms)
	if got := wants(append(got, r.run(300*ms)...)); len(got) == 0 || r.b.UnavailableEngines() != 0 {
		t.Fatalf("sent to %v after the ban, unhealthy %d", got, r.b.UnavailableEngines())
	}
}

// Only ids that were listed can be left out.
func TestBansOfUnknownEngines(t *testing.T) {
	r := newRig(t, host("e1", "a:1", control.Ready), host("e2", "a:2", control.Ready))
	r.apply(EndpointChanges{changelog.Page{Revision: 2, Changes: []changelog.Change{{Revision: 2, Endpoints: []changelog.Endpoint{
		host("e2", "a:2", control.Removed)}}}}})
	for _, c := range []struct {
		id     string
		listed bool
	}{{"e1", true}, {"e2", true}, {"e3", false}} {
		if got := r.b.EverListed(c.id); got != c.listed {
			t.Errorf("%s: listed %v", c.id, got)
		}
	}
	r.apply(StartMaintenance{"e3"}, StartMaintenance{"e2"})
	if diff := cmp.Diff([]string{"e2"}, r.b.EnginesInMaintenance()); diff != "" {
		t.Fatal(diff)
	}
	if !r.b.Ready() || r.b.EndpointCount() != 1 {
		t.Fatalf("ready %v, size %d", r.b.Ready(), r.b.EndpointCount())
	}
}

// Bans handed over by the process before hold for engines that the list names only later.
func TestRestoredBans(t *testing.T) {
	r := newRig(t, host("e1", "a:1", control.Ready))
	r.apply(RestoreMaintenance{[]string{"e1", "e2"}})
	if r.b.Ready() {
		t.Fatal("ready with its one engine left out")
	}
	r.apply(EndpointChanges{changelog.Page{Revision: 2, Changes: []changelog.Change{{Revision: 2, Endpoints: []changelog.Endpoint{
		host("e2", "a:2", control.Ready)}}}}})
	r.submit(1, "lookup", "", 400*ms)
	if got := wants(r.run(100 * ms)); len(got) != 0 {
		t.Fatalf("sent to %v", got)
	}
	r.apply(EndMaintenance{"e2"})
	if !r.b.Ready() || !cmp.Equal(r.b.EnginesInMaintenance(), []string{"e1"}) {
		t.Fatalf("ready %v, banned %v", r.b.Ready(), r.b.EnginesInMaintenance())
	}
}
