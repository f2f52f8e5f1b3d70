package control

import (
	"fmt"
	"testing"
	"time"
)

// settingsChange removes values from settings.
type settingsChange func(s *Settings)

// forEachClass returns a settingsChange that applies a change to each class.
func forEachClass(change func(class *Class)) settingsChange {
	return func(s *Settings) {
		for i := range s.Classes {
			change(&s.Classes[i])
		}
	}
}

// Settings may omit the parameters of rules, latency objectives, engine sizes or the number of attempts.
// Nearly all requests must still succeed if the engines have enough capacity, with few and with many brokers,
// and also after an engine has just started.
func TestRequestsAreServedWithSparseSettings(t *testing.T) {
	for name, c := range map[string]struct {
		serviceTime time.Duration // service time of each request with one broker
		omit        settingsChange
	}{
		"nothing":               {300 * ms, func(*Settings) {}},
		"the rules":             {80 * ms, func(s *Settings) { s.Rules = Rules{} }},
		"the overload window":   {80 * ms, func(s *Settings) { s.Rules.OverloadWindow = 0 }},
		"the overload multiple": {80 * ms, func(s *Settings) { s.Rules.OverloadMultiple = 0 }},
		"the slow start":        {80 * ms, func(s *Settings) { s.Rules.SlowStartDuration = 0 }},
		"the batch interval":    {80 * ms, func(s *Settings) { s.MinBatchInterval = 0 }},
		"engines' sizes":        {80 * ms, func(s *Settings) { s.EngineKinds = nil }},
		"engines' memory": {300 * ms, func(s *Settings) {
			s.EngineKinds = map[string]EngineKind{"std": {Cores: 8}}
		}},
		"the largest grant": {80 * ms, func(s *Settings) { s.MemoryGrants, s.MaxGrantFraction = true, 0 }},
		"attempts":          {80 * ms, func(s *Settings) { s.Limits.MaxAttempts = 0 }},
		"tenants":           {80 * ms, func(s *Settings) { s.Tenants = nil }},
		"objectives": {80 * ms, forEachClass(func(class *Class) {
			class.LatencyObjective, class.ClientTimeout = 0, 2*time.Second
		})},
		"objectives and client timeouts": {80 * ms, forEachClass(func(class *Class) {
			class.LatencyObjective, class.ObjectivePerWork = 0, 0
		})},
		"weights":           {80 * ms, forEachClass(func(class *Class) { class.PriorityWeight, class.LateWeight = 0, 0 })},
		"all but one class": {80 * ms, func(s *Settings) { s.Classes = s.Classes[:1] }},
	} {
		// With many brokers, each has a small share of the engines' limits, so its requests are
		// lighter.
		for brokers, serviceTime := range map[int]time.Duration{1: c.serviceTime, 300: 30 * ms} {
			t.Run(fmt.Sprintf("%s omitted, %d brokers", name, brokers), func(t *testing.T) {
				s := baseSettings()
				s.Brokers = brokers
				c.omit(&s)
				const count = 1200
				h := &servingHarness{
					harness: newHarness(t, s, readyEngines(3)...), serviceTime: serviceTime,
					endings: map[time.Duration][]Event{},
				}
				for i := range count {
					if i == count/2 {
						starting := readyEngine("e03")
						starting.StartedAt = h.now
						h.serve(h.handle(EndpointUpdate{Kind: EndpointDelta, Engines: []Engine{starting}}))
					}
					h.request(fmt.Sprint(i), s.Classes[i%len(s.Classes)].Name)
				}
				if h.served < count*9/10 {
					t.Fatalf("%d of %d requests succeeded, want at least 90%%", h.served, count)
				}
			})
		}
	}
}

// servingHarness is a harness whose engines complete each attempt after the same time.
type servingHarness struct {
	*harness
	serviceTime time.Duration
	endings     map[time.Duration][]Event // ends of attempts by time
	served      int
}

// serve schedules the ends of the attempts that the actions start.
func (h *servingHarness) serve(actions []Action) {
	for _, a := range actionsOf[SendAttempt](actions) {
		at := h.now + h.serviceTime
		h.endings[at] = append(h.endings[at], AttemptEnded{
			RequestID: a.RequestID, Status: OK, Duration: h.serviceTime, RequestClosed: true, Work: h.serviceTime, MemoryMB: 100,
		})
	}
}

// request submits a request and lets time pass until the next one.
func (h *servingHarness) request(id, class string) {
	h.serve(h.handle(RequestReceived{Request: Request{
		ID: id, Class: class, EstimatedMemoryMB: 100, EstimatedWork: h.serviceTime, Deadline: h.now + 2*time.Second,
	}}))
	for range 4 {
		h.serve(h.advance(5 * ms))
		if ended := h.endings[h.now]; ended != nil {
			h.served += len(ended)
			delete(h.endings, h.now)
			h.serve(h.handle(ended...))
		}
	}
}
