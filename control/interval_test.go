package control

import (
	"slices"
	"testing"
	"time"
)

func TestSharesAndLimitFollowResponses(t *testing.T) {
	h := newHarness(t, baseSettings(), readyEngine("e1"), readyEngine("e2"))
	share := h.controller.shares.Share(0)
	limit := h.controller.endpoints.all[0].concurrency.Limit()
	for i := range 60 {
		id, _ := h.submit("quick")
		long, _ := h.submit("long", h.deadlineIn(20*time.Second))
		h.advance(time.Duration(50+i*5) * ms)
		for _, id := range []string{id, long} {
			if r := h.controller.requests.byID[id]; r != nil && len(r.attempts) > 0 {
				h.handle(AttemptEnded{
					RequestID: id, Number: len(r.attempts) - 1, Status: OK, RequestClosed: true,
					Duration: time.Duration(50+i*20) * ms, Work: 100 * ms,
				})
			}
		}
	}
	limiter := &h.controller.endpoints.all[0].concurrency
	if share == h.controller.shares.Share(0) || limit == limiter.Limit() {
		t.Fatalf("share %v or limit %v did not change", share, limit)
	}
}

// An interval that contains a process pause does not change the fitted model of the shares.
func TestProcessPauseSkipsTheFitOfShares(t *testing.T) {
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

// The shares and the limit of a pool follow the responses of all its engines.
func TestPoolSharesAndLimitFollowResponses(t *testing.T) {
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
		t.Fatalf("share %v or limit %v did not change", share, limit)
	}
}

// The load of the pool is weighted by threads, so that idle engines do not hide the load of the busy ones.
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
		t.Fatalf("load %.2f, want the mean weighted by threads, about 1.67; the unweighted mean is 0.78", got)
	}
}

// A broker with several times the mean traffic of its fleet estimates its share within its first intervals.
func TestTrafficShareIsEstimatedWithinThreeSeconds(t *testing.T) {
	s := pooledSettings()
	h := newPooledHarness(t, s, 60)
	equal := 1 / float64(s.Brokers)
	for range 3 * 24 { // 24 per second: six times the equal share of a quota of 1,200 per second
		id, got := h.submit("quick")
		for _, sent := range actionsOf[SendAttempt](got) {
			if sent.RequestID == id {
				h.endAttempt(id, 0, OK)
			}
		}
		h.advance(time.Second / 24)
	}
	if share := float64(h.controller.workload.TrafficShare()) / equal; share < 4.5 || share > 7.5 {
		t.Fatalf("after 3 s the share is %.1f equal shares, want 4.5 to 7.5", share)
	}
}
