package control

import (
	"testing"
	"time"
)

func TestSlowStartBudgetOfOneBroker(t *testing.T) {
	h := newHarness(t, baseSettings())
	e := readyEngine("e1")
	e.StartedAt = h.now - 100*ms
	h.handle(EndpointUpdate{Kind: EndpointSnapshot, Engines: []Engine{e}})
	sent := 0
	for range 400 {
		_, got := h.submit("quick")
		sent += countOf[SendAttempt](got)
	}
	s := h.controller.settings.Rules
	const cores = 8
	const targetUtilization = 0.85 // utilization of the cores at capacity
	capacity := float64(s.SlowStartInitial) * 1.1 * targetUtilization * cores
	budget := s.OverloadMultiple * capacity * s.OverloadWindow.Seconds() // in core seconds
	maxSent := budget / float64(h.controller.classes.all[0].Cost.MeanWork())
	if sent == 0 || float64(sent) > maxSent {
		t.Fatalf("%d attempts sent to an engine in slow start, want 1 to %.0f, the limit for all brokers", sent, maxSent)
	}
}

// Hundreds of brokers share the slow-start budget of an engine in slots. The work that all of them send to
// the engine in any window stays within the budget, many brokers get a slot, and the engine is used.
func TestBrokersTakeSlotsAtAnEngineInSlowStart(t *testing.T) {
	s := baseSettings()
	s.Brokers = 300
	starting := readyEngine("e1")
	starting.StartedAt = 100 * time.Second
	type sent struct {
		at   time.Duration
		work float64
	}
	var all []sent
	senders := map[int]bool{}
	harnesses := make([]*harness, 0, s.Brokers)
	for brokerIndex := range s.Brokers {
		s.BrokerIndex = brokerIndex
		harnesses = append(harnesses, newHarness(t, s, starting))
	}
	for range 240 { // 12 s, in which each broker always has a request to send
		for brokerIndex, h := range harnesses {
			for _, class := range []string{"quick", "long"} {
				id, got := h.submit(class)
				if countOf[SendAttempt](got) > 0 {
					classes := h.controller.classes
					all = append(all, sent{h.now, float64(classes.byName[class].Cost.MeanWork())})
					senders[brokerIndex] = true
					h.endAttempt(id, 0, OK)
				}
				h.handle(ClientDisconnected{RequestID: id})
			}
			h.advance(50 * ms)
		}
	}
	window := s.Rules.OverloadWindow
	for i, first := range all {
		sum := 0.0
		for _, later := range all[i:] {
			if later.at <= first.at+window {
				sum += later.work
			}
		}
		warmedUp := float64(first.at-starting.StartedAt) / float64(s.Rules.SlowStartDuration)
		// 8 cores, which warm up evenly.
		initial := float64(s.Rules.SlowStartInitial)
		capacity := 8 * (initial + (1-initial)*warmedUp)
		if most := s.Rules.OverloadMultiple * capacity * window.Seconds(); sum > most {
			t.Fatalf("%.1f thread seconds sent within the window from %v, want at most %.1f", sum, first.at, most)
		}
	}
	if len(all) < 20 || len(senders) < 10 {
		t.Fatalf("%d sends from %d brokers, want at least 20 from 10: the engine is hardly used",
			len(all), len(senders))
	}
	s.BrokerIndex = s.Brokers
	if _, err := New(s, 1); err == nil {
		t.Fatal("New accepted a broker index out of range")
	}
}
