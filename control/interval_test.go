package control

import (
	"slices"
	"testing"
	"time"
)

// Answers move the shares and the limits.
func TestSharesAndLimitFollowObservations(t *testing.T) {
	h := newHarness(t, baseSettings(), readyEngine("e1"), readyEngine("e2"))
	share := h.controller.shares.Share(0)
	limit := h.controller.endpoints.all[0].concurrency.Limit()
	for i := range 60 {
		id, _ := h.submit("quick")
		long, _ := h.submit("long", h.deadlineIn(20*time.Second))
		h.advance(time.Duration(50+i*5) * ms)
		for _, id := range []string{id, long} {
			if q := h.controller.requests.byID[id]; q != nil && len(q.attempts) > 0 {
				h.handle(AttemptEnded{
					RequestID: id, Number: len(q.attempts) - 1, Status: OK, RequestClosed: true,
					Duration: time.Duration(50+i*20) * ms, Work: 100 * ms,
				})
			}
		}
	}
	limiter := &h.controller.endpoints.all[0].concurrency
	if share == h.controller.shares.Share(0) || limit == limiter.Limit() {
		t.Fatalf("share %v and limit %v did not move", share, limit)
	}
}

// An interval that a standstill made longer leaves the model of the shares as it is.
func TestStandstillSkipsTheFit(t *testing.T) {
	h := newHarness(t, baseSettings(), readyEngine("e1"))
	id, _ := h.submit("quick")
	h.endAttempt(id, 0, OK)
	h.advance(1500 * ms)
	id, _ = h.submit("quick")
	h.endAttempt(id, 0, OK)
	fit := h.controller.shares.Coefficients()
	h.now += 5 * time.Second
	h.handle(TimerFired{Token: 1})
	if got := h.controller.shares.Coefficients(); !slices.Equal(got, fit) {
		t.Fatalf("coefficients %v, want %v", got, fit)
	}
}

// The shares and the limit of a pool follow the answers of all its engines.
func TestPooledBrokersRegulatorsMove(t *testing.T) {
	h := newPooledHarness(t, pooledSettings(), 60)
	share, limit := h.controller.shares.Share(0), h.controller.endpoints.pool.concurrency.Limit()
	for i := range 60 {
		for _, class := range []string{"quick", "long"} {
			id, got := h.submit(class, h.deadlineIn(20*time.Second))
			got = append(got, h.advance(time.Duration(50+i*5)*ms)...)
			if countOf[SendAttempt](got) > 0 {
				h.succeed(id, 0, time.Duration(50+i*20)*ms, 100*ms)
			}
		}
	}
	limiter := &h.controller.endpoints.pool.concurrency
	if share == h.controller.shares.Share(0) || limit == limiter.Limit() {
		t.Fatalf("share %v and limit %v did not move", share, limit)
	}
}

// The load of the pool is the load that its threads meet: loaded engines stay loaded, however many others stand
// empty.
func TestPoolLoadIsWeightedByThreads(t *testing.T) {
	h := newPooledHarness(t, fleetSettings(), 10)
	const engines = 10
	reports := make([]GossipedLoad, 0, engines)
	for i := range engines {
		load := 0.1
		if i < 4 {
			load = 1.8
		}
		reports = append(reports, GossipedLoad{h.controller.endpoints.all[i].gossipID, load, 0})
	}
	h.handle(GossipReceived{Reports: reports})
	h.advance(tickInterval + 5*ms)
	if got := h.controller.endpoints.pool.load.Load(); got < 1.6 || got > 1.8 {
		t.Fatalf("load %.2f, want what most threads meet, about 1.67; the plain mean is 0.78", got)
	}
}

// A broker with several times the mean traffic of its fleet knows its share after its first intervals.
func TestTrafficShareIsKnownFromTheStart(t *testing.T) {
	s := pooledSettings()
	h := newPooledHarness(t, s, 60)
	equal := 1 / float64(s.Brokers)
	for range 3 * 24 { // 24 a second: six times the equal share of a quota of 1,200 a second
		id, got := h.submit("quick")
		for _, sent := range actionsOf[SendAttempt](got) {
			if sent.RequestID == id {
				h.endAttempt(id, 0, OK)
			}
		}
		h.advance(time.Second / 24)
	}
	if share := float64(h.controller.workload.TrafficShare()) / equal; share < 4.5 || share > 7.5 {
		t.Fatalf("after 3 s its share is %.1f equal shares, want about 6", share)
	}
}
