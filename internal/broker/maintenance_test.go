package broker

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"wheatlane/control"
)

// An engine in maintenance mode receives no attempts until the mode is ended, whatever the change log reports
// meanwhile. Its unsent attempts are cancelled immediately.
func TestMaintenanceLastsUntilEnded(t *testing.T) {
	h := newHarness(t, engine1())
	effects := h.apply(StartMaintenance{"e1"})
	if diff := cmp.Diff([]CancelUnsentAttempts{{"e1"}}, effectsOf[CancelUnsentAttempts](effects)); diff != "" {
		t.Fatal(diff)
	}
	if h.broker.Ready() || !h.broker.EverListed("e1") || h.broker.UnavailableEngines() != 1 {
		t.Fatalf("ready %v, ever listed %v, %d unavailable",
			h.broker.Ready(), h.broker.EverListed("e1"), h.broker.UnavailableEngines())
	}
	if effects := h.apply(StartMaintenance{"e1"}); len(effects) != 0 { // maintenance mode is on already
		t.Fatalf("second StartMaintenance: got %v, want no effects", effects)
	}
	// The engine restarts during maintenance, and the change log reports it in service again.
	restarted := engine1()
	restarted.StartedAt = h.now - time.Minute
	h.apply(delta(2, restarted))
	h.submit(1, "lookup", "", 400*ms)
	if engines := startedOn(h.run(100 * ms)); len(engines) != 0 {
		t.Fatalf("attempts at %v during maintenance", engines)
	}
	h.apply(EndMaintenance{"e1"})
	if !h.broker.Ready() {
		t.Fatal("not ready after maintenance")
	}
	effects = append(h.submit(2, "lookup", "", 400*ms), h.run(300*ms)...)
	if engines := startedOn(effects); len(engines) == 0 || h.broker.UnavailableEngines() != 0 {
		t.Fatalf("attempts at %v after maintenance, %d unavailable", engines, h.broker.UnavailableEngines())
	}
}

// Maintenance mode can be started only for engines that were ever listed.
func TestMaintenanceOfUnknownEngines(t *testing.T) {
	h := newHarness(t, engine1(), engine2())
	h.apply(delta(2, endpoint("e2", addr2, control.Removed)))
	for id, listed := range map[string]bool{"e1": true, "e2": true, "e3": false} {
		if got := h.broker.EverListed(id); got != listed {
			t.Errorf("%s: ever listed %v, want %v", id, got, listed)
		}
	}
	h.apply(StartMaintenance{"e3"}, StartMaintenance{"e2"})
	if diff := cmp.Diff([]string{"e2"}, h.broker.EnginesInMaintenance()); diff != "" {
		t.Fatal(diff)
	}
	if !h.broker.Ready() || h.broker.EndpointCount() != 1 {
		t.Fatalf("ready %v, %d endpoints", h.broker.Ready(), h.broker.EndpointCount())
	}
}

// Maintenance mode handed over by the previous process also applies to engines that are listed only later.
func TestRestoredMaintenance(t *testing.T) {
	h := newHarness(t, engine1())
	h.apply(RestoreMaintenance{[]string{"e1", "e2"}})
	if h.broker.Ready() {
		t.Fatal("ready with its only engine in maintenance")
	}
	h.apply(delta(2, engine2()))
	h.submit(1, "lookup", "", 400*ms)
	if engines := startedOn(h.run(100 * ms)); len(engines) != 0 {
		t.Fatalf("attempts at %v during maintenance", engines)
	}
	h.apply(EndMaintenance{"e2"})
	if !h.broker.Ready() {
		t.Fatal("not ready with one of two engines in maintenance")
	}
	if diff := cmp.Diff([]string{"e1"}, h.broker.EnginesInMaintenance()); diff != "" {
		t.Fatal(diff)
	}
}
