package control

import (
	"testing"
	"time"
)

func TestSlowStartBudgetOfOneBroker(t *testing.T) {
	r := newRig(t, baseSettings())
	e := readyEngine("e1")
	e.StartedAt = r.now - 100*ms
	r.handle(EndpointUpdate{Kind: EndpointSnapshot, Engines: []Engine{e}})
	sent := 0
	for range 400 {
		_, got := r.submit("quick")
		sent += countOf[SendAttempt](got)
	}
	s := r.controller.settings.Rules
	const cores = 8
	const targetUtilization = 0.85 // of the cores, at capacity
	capacity := float64(s.SlowStartInitial) * 1.1 * targetUtilization * cores
	budget := s.OverloadMultiple * capacity * s.OverloadWindow.Seconds() // in core seconds
	maxSent := budget / float64(r.controller.classes.all[0].Cost.MeanWork())
	if sent == 0 || float64(sent) > maxSent {
		t.Fatalf("%d sent to an engine in slow start, at most %.0f by all brokers", sent, maxSent)
	}
}

// Hundreds of brokers share the slow-start budget of an engine by turns: what all of them send it in any
// window stays within the budget, each gets a turn, and the engine is used.
func TestBrokersTakeTurnsAtASlowStartingEngine(t *testing.T) {
	s := baseSettings()
	s.Brokers = 300
	starting := readyEngine("e1")
	starting.StartedAt = 100 * time.Second
	type sent struct {
		at   time.Duration
		work float64
	}
	var all []sent
	turns := map[int]bool{}
	rigs := make([]*rig, 0, s.Brokers)
	for g := range s.Brokers {
		s.BrokerIndex = g
		rigs = append(rigs, newRig(t, s, starting))
	}
	for range 240 { // 12 s; each broker always has a request at hand
		for g, r := range rigs {
			for _, class := range []string{"quick", "long"} {
				id, got := r.submit(class)
				if countOf[SendAttempt](got) > 0 {
					classes := r.controller.classes
					all = append(all, sent{r.now, float64(classes.all[classes.byName[class]].Cost.MeanWork())})
					turns[g] = true
					r.endAttempt(id, 0, OK)
				}
				r.handle(ClientDisconnected{RequestID: id})
			}
			r.advance(50 * ms)
		}
	}
	window := s.Rules.OverloadWindow
	for i, first := range all {
		sum := 0.0
		for _, o := range all[i:] {
			if o.at <= first.at+window {
				sum += o.work
			}
		}
		warmedUp := float64(first.at-starting.StartedAt) / float64(s.Rules.SlowStartDuration)
		// 8 cores, which warm up evenly.
		initial := float64(s.Rules.SlowStartInitial)
		capacity := 8 * (initial + (1-initial)*warmedUp)
		if most := s.Rules.OverloadMultiple * capacity * window.Seconds(); sum > most {
			t.Fatalf("%.1f thread-seconds from %v on, over %.1f", sum, first.at, most)
		}
	}
	if len(all) < 20 || len(turns) < 10 {
		t.Fatalf("%d sends from %d brokers: the starting engine is hardly used", len(all), len(turns))
	}
	s.BrokerIndex = s.Brokers
	if _, err := New(s, 1); err == nil {
		t.Fatal("a broker number out of range was taken")
	}
}
