package control

import (
	"math"
	"testing"
	"time"

	"wheatlane/control/units"
)

// A gossiped load report of a listed engine replaces an older one. A report from before the engine started is
// ignored, because it is from a previous process.
func TestGossipedReportsReplaceOlderOnes(t *testing.T) {
	started := readyEngine("e03")
	started.StartedAt = 99 * time.Second
	h := newPooledHarness(t, fleetSettings(), 10)
	h.handle(
		EndpointUpdate{Kind: EndpointDelta, Engines: []Engine{started}},
		ProbeResult{Engine: "e01", Report: utilization(0.4)},
	)
	h.now += time.Second
	h.handle(GossipReceived{Reports: []GossipedLoad{
		{GossipID("e01"), 0.9, 1500 * ms},
		{GossipID("e02"), 0.9, 1500 * ms},
		{GossipID("e03"), 0.9, 5 * time.Second},
		{GossipID("e04"), -3, -time.Hour},
		{GossipID("no such"), 0.9, 0},
	}})
	for id, want := range map[string]units.Fraction{"e01": 0.4, "e02": 0.9, "e03": 0, "e04": 0} {
		if got := h.controller.endpoints.byID[id].load.Load(); math.Abs(float64(got-want)) > 1e-9 {
			t.Errorf("%s: load %v, want %v", id, got, want)
		}
	}
	requireEqual(t, "age of e04's report from the future", h.controller.endpoints.byID["e04"].load.Age(h.now), 0)
	h.handle(GossipReceived{Reports: []GossipedLoad{{GossipID("e01"), 0.7, 100 * ms}}})
	requireEqual(t, "load after a fresher report", h.controller.endpoints.byID["e01"].load.Load(), 0.7)
}

// A broker sends its reports to one other broker at a time, never to itself, the most recent report first,
// and at most once per interval. Where gossip is disabled it sends none.
func TestGossipIsSentToOneBrokerAtATime(t *testing.T) {
	const gossipInterval = 200 * ms
	s := fleetSettings()
	s.Brokers, s.BrokerIndex = 8, 3
	h := newPooledHarness(t, s, 10)
	requireEqual(t, "messages without reports", countOf[SendGossip](h.advance(time.Second)), 0)
	h.handle(ProbeResult{Engine: "e01", Report: utilization(0.4)})
	h.now += 50 * ms
	h.handle(ProbeResult{Engine: "e02", Report: utilization(0.8)})
	sent := actionsOf[SendGossip](h.advance(4 * time.Second))
	if len(sent) < 10 || len(sent) > int(4*time.Second/gossipInterval) {
		t.Fatalf("%d messages in 4 s, want 10 to %d", len(sent), int(4*time.Second/gossipInterval))
	}
	for range 20 { // fresh reports every second, so that there are reports to send
		h.handle(
			ProbeResult{Engine: "e02", Report: utilization(0.8)},
			ProbeResult{Engine: "e01", Report: utilization(0.4)},
		)
		sent = append(sent, actionsOf[SendGossip](h.advance(time.Second))...)
	}
	to := map[int]bool{}
	for _, a := range sent {
		to[a.Broker] = true
		if a.Broker == s.BrokerIndex || a.Broker < 0 || a.Broker >= s.Brokers {
			t.Fatalf("broker %d sent to broker %d of %d", s.BrokerIndex, a.Broker, s.Brokers)
		}
	}
	requireEqual(t, "number of receiving brokers", len(to), s.Brokers-1)
	first := sent[0].Reports
	if len(first) != 2 || first[0].Engine != GossipID("e02") || first[1].Age-first[0].Age != 50*ms {
		t.Fatalf("first message has %+v, want e02 and then e01, which is 50 ms older", first)
	}
	old := countOf[SendGossip](h.advance(10 * time.Second))
	requireEqual(t, "fewer messages of old reports", old < int(6*time.Second/gossipInterval), true)
	s.Limits.Gossip = false
	h = newPooledHarness(t, s, 10)
	h.handle(ProbeResult{Engine: "e01", Report: utilization(0.4)})
	requireEqual(t, "messages where gossip is disabled", countOf[SendGossip](h.advance(time.Second)), 0)
}
