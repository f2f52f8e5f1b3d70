package control

import (
	"math"
	"reflect"
	"slices"
	"testing"
	"time"
)

// Worked example: only the second class gains by its share, so it gets nearly all.
func TestOptimizerGivesShareToTheClassThatGains(t *testing.T) {
	c := newRig(t, baseSettings()).controller
	c.workload.classes[0].arrivalRate, c.workload.classes[1].arrivalRate = 10, 10
	for i := range 4 {
		for j := range 6 {
			c.shares.regulator.Theta.Set(i, j, 0)
		}
	}
	for i := range 4 { // each class's outputs equal its own share
		c.shares.regulator.Theta.Set(i, 4+i/2, 1)
	}
	s := c.optimizeShares(100)
	if math.Abs(s[0]+s[1]-1) > 1e-6 || s[1] < 0.8 {
		t.Fatalf("shares %v: the class with eight times the weight should have most", s)
	}
	c.workload.classes[1].arrivalRate = 0 // without traffic it gains nothing
	if s = c.optimizeShares(100); s[0] < 0.8 {
		t.Fatalf("shares %v: the class with traffic should have most", s)
	}
}

// What is observed moves shares and limits, and these change what is dispatched next.
func TestSharesAndLimitFollowObservations(t *testing.T) {
	r := newRig(t, baseSettings(), readyEngine("e1"), readyEngine("e2"))
	shares := slices.Clone(r.controller.shares.weights)
	limit := r.controller.endpoints.all[0].limit
	for i := range 60 {
		id, _ := r.submit("quick")
		long, _ := r.submit("long", r.deadlineIn(20*time.Second))
		r.advance(time.Duration(50+i*5) * ms)
		for _, id := range []string{id, long} {
			if q := r.controller.requests.byID[id]; q != nil && len(q.attempts) > 0 {
				r.handle(AttemptEnded{
					RequestID: id, Number: len(q.attempts) - 1, Status: OK, RequestClosed: true,
					Duration: time.Duration(50+i*20) * ms, Work: 100 * ms,
				})
			}
		}
	}
	if reflect.DeepEqual(shares, r.controller.shares.weights) || limit == r.controller.endpoints.all[0].limit {
		t.Fatalf("shares %v and limit %v did not move", shares, limit)
	}
}

func TestStandstillSkipsTheFit(t *testing.T) {
	r := newRig(t, baseSettings(), readyEngine("e1"))
	id, _ := r.submit("quick")
	r.endAttempt(id, 0, OK)
	r.advance(1500 * ms)
	id, _ = r.submit("quick")
	r.endAttempt(id, 0, OK)
	fit := r.controller.shares.regulator.Theta.At(0, 0)
	r.now += 5 * time.Second
	r.handle(TimerFired{Token: 1})
	requireEqual(t, "fit", r.controller.shares.regulator.Theta.At(0, 0), fit)
}

// Shares, limit and targets follow what a broker observes over all engines, though it observes each one
// rarely.
func TestPooledBrokersRegulatorsMove(t *testing.T) {
	r := newPooledRig(t, pooledSettings(), 60)
	shares, limit := slices.Clone(r.controller.shares.weights), r.controller.endpoints.pool.limit
	for i := range 60 {
		for _, class := range []string{"quick", "long"} {
			id, got := r.submit(class, r.deadlineIn(20*time.Second))
			got = append(got, r.advance(time.Duration(50+i*5)*ms)...)
			if countOf[SendAttempt](got) > 0 {
				r.succeed(id, 0, time.Duration(50+i*20)*ms, 100*ms)
			}
		}
	}
	if reflect.DeepEqual(shares, r.controller.shares.weights) || limit == r.controller.endpoints.pool.limit {
		t.Fatalf("shares %v and limit %v did not move", shares, limit)
	}
}

// The load of the pool is the load that its threads meet: loaded engines fare no better for others that stand
// empty.
func TestPoolLoadIsWeightedByThreads(t *testing.T) {
	r := newPooledRig(t, fleetSettings(), 10)
	const engines = 10
	reports := make([]GossipedLoad, 0, engines)
	for i := range engines {
		load := 0.1
		if i < 4 {
			load = 1.8
		}
		reports = append(reports, GossipedLoad{r.controller.endpoints.all[i].gossipID, load, 0})
	}
	r.handle(GossipReceived{Reports: reports})
	r.advance(tickInterval + 5*ms)
	if got := r.controller.endpoints.pool.load.Load(); got < 1.6 || got > 1.8 {
		t.Fatalf("load %.2f, want what most threads meet, about 1.67; the plain mean is 0.78", got)
	}
}

// A broker with several times the mean traffic of its fleet knows its share after its first intervals, not
// after a day. Seen on a day with 80 brokers: the busiest was held to an even share of the limits for 10 s
// while the engines were calm, and rejected half of its requests.
func TestTrafficShareIsKnownFromTheStart(t *testing.T) {
	s := pooledSettings()
	r := newPooledRig(t, s, 60)
	even := 1 / float64(s.Brokers)
	for range 3 * 24 { // 24 a second: six times the even share of a quota of 1,200 a second
		id, got := r.submit("quick")
		for _, sent := range actionsOf[SendAttempt](got) {
			if sent.RequestID == id {
				r.endAttempt(id, 0, OK)
			}
		}
		r.advance(time.Second / 24)
	}
	if share := r.controller.workload.trafficShare / even; share < 4.5 || share > 7.5 {
		t.Fatalf("after 3 s its share is %.1f even shares, want about 6", share)
	}
}
