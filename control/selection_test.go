package control

import (
	"testing"
	"time"

	"wheatlane/control/units"
)

// Requests that lock a data set are sent to other engines than requests that the lock blocks, including those
// of other brokers, because all brokers rank the engines for a data set equally.
func TestLockHoldersAndBlockedRequestsUseDifferentEngines(t *testing.T) {
	s := baseSettings()
	s.Classes[0].BlockedByDataSetLock, s.Classes[1].HoldsDataSetLock = true, true
	for dataSet := range 20 {
		engines := map[string]string{} // by class
		for brokerIndex, class := range []string{"quick", "long"} {
			s.BrokerIndex = brokerIndex
			h := newHarness(t, s, readyEngines(5)...)
			_, got := h.submit(class, func(r *Request) { r.DataSet = dataSet })
			engines[class] = actionsOf[SendAttempt](got)[0].Engine
		}
		if engines["quick"] == engines["long"] {
			t.Errorf("both classes of data set %d were sent to %s", dataSet, engines["quick"])
		}
	}
}

// An engine whose load report is fresh is not probed: reports are renewed a few times per second, and each
// probe is work for the engine.
func TestEngineWithFreshLoadReportIsNotProbed(t *testing.T) {
	s := baseSettings()
	s.Limits.LoadProbes, s.EnginesReportLoad = true, true
	h := newHarness(t, s, readyEngine("e1"), readyEngine("e2"))
	h.advance(2 * controlInterval)
	probed := map[string]time.Duration{}
	sends := 0
	for range 300 {
		_, got := h.submit("long")
		got = append(got, h.advance(10*ms)...)
		for _, p := range actionsOf[ProbeLoad](got) {
			if last, ok := probed[p.Engine]; ok && h.now-last < 250*ms-20*ms {
				t.Fatalf("%s was probed again after %v", p.Engine, h.now-last)
			}
			probed[p.Engine] = h.now
		}
		for _, sent := range actionsOf[SendAttempt](got) {
			sends++
			h.endAttempt(sent.RequestID, 0, OK)
		}
	}
	if len(probed) != 2 || sends < 250 {
		t.Fatalf("%d engines were probed, want 2; %d requests sent, want at least 250", len(probed), sends)
	}
}

// Brokers with the same load reports choose different engines, and less loaded engines more often. If every
// broker chose the engine with the most headroom, gossip would cause its overload.
func TestBrokersWithTheSameReportsChooseDifferentEngines(t *testing.T) {
	sent := map[string]int{}
	for seed := range 300 {
		s := fleetSettings()
		s.Limits.LoadProbes = false
		s.BrokerIndex = seed % s.Brokers
		c, err := New(s, uint64(seed))
		if err != nil {
			t.Fatal(err)
		}
		h := &harness{t: t, controller: c, now: 100 * time.Second, timers: map[uint64]time.Duration{}}
		engines := readyEngines(10)
		reports := make([]GossipedLoad, 0, len(engines))
		for i, e := range engines {
			reports = append(reports, GossipedLoad{GossipID(e.ID), 0.1 + 0.15*float64(i), 0})
		}
		h.handle(EndpointUpdate{Kind: EndpointSnapshot, Engines: engines})
		h.handle(GossipReceived{Reports: reports})
		_, got := h.submit("quick")
		got = append(got, h.advance(50*ms)...)
		for _, a := range actionsOf[SendAttempt](got) {
			sent[a.Engine]++
		}
	}
	if sent["e00"] > 150 || sent["e00"] < 2*sent["e09"] || sent["e05"] == 0 {
		t.Fatalf("sends of 300 brokers by engine, from the least to the most loaded: %v, "+
			"want e00 at most 150 and twice e09, and e05 more than 0", sent)
	}
}

// A heavy request is sent to the least loaded of its candidates after their load probes. Its threads count as
// in flight meanwhile and are released if its client disconnects first.
func TestHeavyRequestGoesToTheBestCandidate(t *testing.T) {
	h := newPooledHarness(t, fleetSettings(), 60)
	h.advance(2 * controlInterval)
	id, got := h.submit("long")
	probes := actionsOf[ProbeLoad](got)
	if len(probes) < 2 || countOf[SendAttempt](got) > 0 {
		t.Fatalf("%d engines probed, want at least 2; %d sends, want 0", len(probes), countOf[SendAttempt](got))
	}
	requireEqual(t, "threads while it waits for its probes", h.controller.endpoints.pool.concurrency.ThreadsInFlight(), 2)
	for i, a := range probes {
		h.handle(ProbeResult{Engine: a.Engine, Report: utilization(0.8 - 0.2*units.Fraction(i))})
	}
	sent := actionsOf[SendAttempt](h.advance(4*5*ms + 5*ms))
	if len(sent) != 1 || sent[0].RequestID != id || sent[0].Engine != probes[len(probes)-1].Engine {
		t.Fatalf("probed %v, sent %v, want %s sent to the engine probed last", probes, sent, id)
	}
	requireEqual(t, "threads once it is sent", h.controller.endpoints.pool.concurrency.ThreadsInFlight(), 2)
	abandoned, _ := h.submit("long")
	h.handle(ClientDisconnected{RequestID: abandoned})
	h.advance(time.Second)
	requireEqual(t, "threads after a disconnect", h.controller.endpoints.pool.concurrency.ThreadsInFlight(), 2)
	requireEqual(t, "threads of requests that wait for probes", h.controller.classes.all[1].slot.awaitingProbeThreads, 0)
}
