package control

import (
	"testing"
	"time"

	"wheatlane/control/units"
)

// Requests that lock a data set keep away from those that the lock blocks, those of other brokers too: all
// brokers rank the engines alike for a data set.
func TestLockHoldersKeepAwayFromWhatTheyBlock(t *testing.T) {
	s := baseSettings()
	s.Classes[0].BlockedByDataSetLock, s.Classes[1].HoldsDataSetLock = true, true
	for dataSet := range 20 {
		engines := map[string]string{} // by class
		for brokerIndex, class := range []string{"quick", "long"} {
			s.BrokerIndex = brokerIndex
			h := newHarness(t, s, readyEngines(5)...)
			_, got := h.submit(class, func(q *Request) { q.DataSet = dataSet })
			engines[class] = actionsOf[SendAttempt](got)[0].Engine
		}
		if engines["quick"] == engines["long"] {
			t.Errorf("both classes of data set %d go to %s", dataSet, engines["quick"])
		}
	}
}

// An engine whose load report is fresh is not probed: reports are renewed a few times a second, and each
// probe costs the engine.
func TestFreshLoadReportIsNotProbedAgain(t *testing.T) {
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
		t.Fatalf("%d engines were probed, %d requests sent", len(probed), sends)
	}
}

// Brokers with the same load reports choose different engines, those with less load more often. If each took
// the engine with the most headroom, gossip would overload it.
func TestBrokersWithTheSameReportsSpread(t *testing.T) {
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
		t.Fatalf("sends from 300 brokers, from the least loaded engine to the most loaded: %v", sent)
	}
}

// A heavy request goes to the least loaded of its probe candidates once they have answered; its threads count
// meanwhile, and are free again when its client disconnects first.
func TestHeavyRequestGoesToTheBestCandidate(t *testing.T) {
	h := newPooledHarness(t, fleetSettings(), 60)
	h.advance(2 * controlInterval)
	id, got := h.submit("long")
	probes := actionsOf[ProbeLoad](got)
	if len(probes) < 2 || countOf[SendAttempt](got) > 0 {
		t.Fatalf("%d engines probed, %d sends", len(probes), countOf[SendAttempt](got))
	}
	requireEqual(t, "threads while it waits for its probes", h.controller.endpoints.pool.concurrency.ThreadsInFlight(), 2)
	for i, a := range probes {
		h.handle(ProbeResult{Engine: a.Engine, Report: utilization(0.8 - 0.2*units.Fraction(i))})
	}
	sent := actionsOf[SendAttempt](h.advance(4*5*ms + 5*ms))
	if len(sent) != 1 || sent[0].RequestID != id || sent[0].Engine != probes[len(probes)-1].Engine {
		t.Fatalf("probed %v, sent %v", probes, sent)
	}
	requireEqual(t, "threads once it is sent", h.controller.endpoints.pool.concurrency.ThreadsInFlight(), 2)
	abandoned, _ := h.submit("long")
	h.handle(ClientDisconnected{RequestID: abandoned})
	h.advance(time.Second)
	requireEqual(t, "threads after a client left", h.controller.endpoints.pool.concurrency.ThreadsInFlight(), 2)
	requireEqual(t, "requests of the class that await probes", h.controller.classes.all[1].awaitingProbes, 0)
}
