package control

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"
)

// fleetBase is a pooled deployment whose gateways probe and tell one another.
func fleetBase() Settings {
	s := pooledBase()
	s.Limits.LoadProbes, s.Limits.Gossip, s.ReportFields = true, true, []string{"util"}
	return s
}

// What is heard of an engine counts where it is younger than what is known, and for no engine that is not
// listed; a report of a time before the engine started is of another process.
func TestHeardReportsCountWhereTheyAreYounger(t *testing.T) {
	started := eng("e03")
	started.StartedAt = 99 * time.Second
	r := pooledRig(t, fleetBase(), 10)
	r.feed(EndpointUpdate{Kind: EndpointDelta, Engines: []Engine{started}}, ProbeResult{Engine: "e01", Report: []float64{0.4}})
	r.now += time.Second
	r.feed(GossipReceived{Reports: []LoadReport{
		{EngineHash("e01"), 0.9, 1500 * ms},
		{EngineHash("e02"), 0.9, 1500 * ms},
		{EngineHash("e03"), 0.9, 5 * time.Second},
		{EngineHash("e04"), -3, -time.Hour},
		{EngineHash("no such"), 0.9, 0},
	}})
	for id, wanted := range map[string]float64{"e01": 0.4, "e02": 0.9, "e03": 0, "e04": 0} {
		if got := r.c.endpoints.byID[id].load; math.Abs(got-wanted) > 1e-9 {
			t.Errorf("%s: report %v, want %v", id, got, wanted)
		}
	}
	want(t, "e04's report, in the future", r.c.endpoints.byID["e04"].loadReportedAt, r.now)
	r.feed(GossipReceived{Reports: []LoadReport{{EngineHash("e01"), 0.7, 100 * ms}}})
	want(t, "a younger report", r.c.endpoints.byID["e01"].load, 0.7)
}

// A gateway tells one other at a time, never itself, what it knows, the youngest first, and no oftener than
// tellEvery; without leave, or alone, it tells nothing.
func TestAGatewayTellsWhatItKnows(t *testing.T) {
	s := fleetBase()
	s.Brokers, s.BrokerIndex = 8, 3
	r := pooledRig(t, s, 10)
	want(t, "tells of nothing", len(pickOf[SendGossip](r.run(time.Second))), 0)
	r.feed(ProbeResult{Engine: "e01", Report: []float64{0.4}})
	r.now += 50 * ms
	r.feed(ProbeResult{Engine: "e02", Report: []float64{0.8}})
	told := pickOf[SendGossip](r.run(4 * time.Second))
	if len(told) < 10 || len(told) > int(4*time.Second/gossipInterval) {
		t.Fatalf("told %d times in 4 s", len(told))
	}
	for range 20 { // news at every second, so that it goes on telling
		r.feed(ProbeResult{Engine: "e02", Report: []float64{0.8}}, ProbeResult{Engine: "e01", Report: []float64{0.4}})
		told = append(told, pickOf[SendGossip](r.run(time.Second))...)
	}
	to := map[int]bool{}
	for _, a := range told {
		to[a.Broker] = true
		if a.Broker == s.BrokerIndex || a.Broker < 0 || a.Broker >= s.Brokers {
			t.Fatalf("told gateway %d of %d, being %d", a.Broker, s.Brokers, s.BrokerIndex)
		}
	}
	want(t, "gateways told", len(to), s.Brokers-1)
	if first := told[0].Reports; len(first) != 2 || first[0].Engine != EngineHash("e02") || first[1].Age-first[0].Age != 50*ms {
		t.Fatalf("told %+v first", first)
	}
	want(t, "tells of what is old", len(pickOf[SendGossip](r.run(10*time.Second))) < int(6*time.Second/gossipInterval), true)
	s.Limits.Gossip = false
	r = pooledRig(t, s, 10)
	r.feed(ProbeResult{Engine: "e01", Report: []float64{0.4}})
	want(t, "tells without leave", len(pickOf[SendGossip](r.run(time.Second))), 0)
}

// Gateways that know the same choose different engines, the emptier the oftener: seen on a day with 80
// gateways that told one another and each took the engine with most room, and served less than when none told
// (G 0.33 after 0.46).
func TestGatewaysThatKnowTheSameSpread(t *testing.T) {
	sent := map[string]int{}
	for seed := range 300 {
		s := fleetBase()
		s.Limits.LoadProbes = false
		s.BrokerIndex = seed % s.Brokers
		c, err := New(s, uint64(seed))
		if err != nil {
			t.Fatal(err)
		}
		r := &rig{t: t, c: c, now: 100 * time.Second, due: map[uint64]time.Duration{}}
		var engines []Engine
		var reports []LoadReport
		for i := range 10 {
			engines = append(engines, eng(fmt.Sprint("e", i)))
			reports = append(reports, LoadReport{EngineHash(engines[i].ID), 0.1 + 0.15*float64(i), 0})
		}
		r.feed(EndpointUpdate{Kind: EndpointSnapshot, Engines: engines})
		r.feed(GossipReceived{Reports: reports})
		_, got := r.ask("quick")
		got = append(got, r.run(50*ms)...)
		for _, a := range pickOf[SendAttempt](got) {
			sent[a.Engine]++
		}
	}
	if sent["e0"] > 150 || sent["e0"] < 2*sent["e9"] || sent["e5"] == 0 {
		t.Fatalf("sends from 300 gateways, from the emptiest engine to the fullest: %v", sent)
	}
}

// A heavy query that may leave is sent to the emptiest of the engines asked for it, once they have answered;
// its threads are taken meanwhile, and given back when its client goes away first.
func TestAHeavyQueryLeavesForTheEmptiestAsked(t *testing.T) {
	r := pooledRig(t, fleetBase(), 60)
	r.run(2 * controlInterval)
	id, got := r.ask("long")
	asked := pickOf[ProbeLoad](got)
	if len(asked) < 2 || len(pickOf[SendAttempt](got)) > 0 {
		t.Fatalf("%d engines asked, %d sends", len(asked), len(pickOf[SendAttempt](got)))
	}
	want(t, "threads while it leaves", r.c.endpoints.pool.threadsInFlight, 2)
	for i, a := range asked {
		r.feed(ProbeResult{Engine: a.Engine, Report: []float64{0.8 - 0.2*float64(i)}})
	}
	sent := pickOf[SendAttempt](r.run(probeWaitBatches*5*ms + 5*ms))
	if len(sent) != 1 || sent[0].RequestID != id || sent[0].Engine != asked[len(asked)-1].Engine {
		t.Fatalf("asked %v, sent %v", asked, sent)
	}
	want(t, "threads once it left", r.c.endpoints.pool.threadsInFlight, 2)
	gone, _ := r.ask("long")
	r.feed(ClientDisconnected{RequestID: gone})
	r.run(time.Second)
	want(t, "threads after a client left", r.c.endpoints.pool.threadsInFlight, 2)
	want(t, "class's count", r.c.workload.classes[1].awaitingProbes, 0)
}

// The pool's load is what its threads meet: crowded engines are no better off for others that stand empty.
func TestThePoolsLoadIsWhatThreadsMeet(t *testing.T) {
	r := pooledRig(t, fleetBase(), 10)
	var reports []LoadReport
	for i := range 10 {
		load := 0.1
		if i < 4 {
			load = 1.8
		}
		reports = append(reports, LoadReport{r.c.endpoints.all[i].gossipID, load, 0})
	}
	r.feed(GossipReceived{Reports: reports})
	r.run(tickInterval + 5*ms)
	if got := r.c.endpoints.pool.load; got < 1.6 || got > 1.8 {
		t.Fatalf("load %.2f, want what most threads meet, about 1.67; the plain mean is 0.78", got)
	}
}

// Short of room, the heaviest of queries of the same worth are refused first, and light ones get what they
// would have taken; seen on a day with 80 gateways: the refused were as heavy as the served. Where worth
// grows with work, there is no such price; and once there is room again, it is forgotten.
func TestTheHeaviestAreRefusedFirst(t *testing.T) {
	for _, byWork := range []bool{false, true} {
		s := fleetBase()
		s.WeightByWork, s.Limits.LoadProbes = byWork, false
		r := pooledRig(t, s, 60)
		r.run(2 * controlInterval)
		weight := func(i int) time.Duration { return time.Duration(100<<(i%6)) * ms } // 0.1 to 3.2 s
		out, refused := map[string]time.Duration{}, [6]int{}
		works := map[string]int{}
		take := func(got []Action) {
			for _, a := range got {
				switch a := a.(type) {
				case SendAttempt:
					out[a.RequestID] = r.now + weight(works[a.RequestID])/2
				case Reject:
					refused[works[a.RequestID]]++
				}
			}
		}
		for i := range 1200 { // 10 s of work a second on two threads each, for a gateway with room for a tenth
			kind := i * 5 % 6
			id, got := r.ask("long", func(q *Request) { q.EstimatedWork, q.Deadline = weight(kind), r.now+20*time.Second })
			works[id] = kind
			take(got)
			take(r.run(100 * ms))
			for _, id := range slices.Sorted(maps.Keys(out)) {
				if out[id] <= r.now {
					delete(out, id)
					take(r.feed(AttemptEnded{RequestID: id, Status: OK, RequestClosed: true, Duration: weight(works[id]) / 2, Work: weight(works[id])}))
				}
			}
		}
		if !byWork && refused[5] < 4*(refused[0]+1) {
			t.Errorf("refused, from the lightest to the heaviest: %v", refused)
		}
		if byWork && r.c.belowAdmissionPrice(&request{class: r.c.workload.classes[0], expectedWork: 1e6}) {
			t.Error("where worth grows with work, a query was too much work for its worth")
		}
		dear := r.c.admission.price
		r.run(100 * controlInterval)
		want(t, "price forgotten", r.c.admission.price, minAdmissionPrice)
		if dear <= minAdmissionPrice {
			t.Errorf("the price never rose: %v", dear)
		}
	}
}
