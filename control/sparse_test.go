package control

import (
	"fmt"
	"testing"
	"time"
)

// Settings of other deployments may leave much out: what a rule or an objective needs, engines' sizes, the number
// of attempts. Engines with room for all get nearly all that is asked then, whether brokers are few or many,
// and also once one of them has just started.
func TestSparseSettings(t *testing.T) {
	classes := func(change func(k *Class)) func(s *Settings) {
		return func(s *Settings) {
			for i := range s.Classes {
				change(&s.Classes[i])
			}
		}
	}
	for name, c := range map[string]struct {
		took     time.Duration // of each request, where there is one broker
		leaveOut func(s *Settings)
	}{
		"nothing":                  {300 * ms, func(*Settings) {}},
		"the rules":                {80 * ms, func(s *Settings) { s.Rules = Rules{} }},
		"when cold ones fall":      {80 * ms, func(s *Settings) { s.Rules.OverloadWindow = 0 }},
		"how cold ones fall":       {80 * ms, func(s *Settings) { s.Rules.OverloadMultiple = 0 }},
		"when they are warm":       {80 * ms, func(s *Settings) { s.Rules.SlowStartDuration = 0 }},
		"the round":                {80 * ms, func(s *Settings) { s.MinBatchInterval = 0 }},
		"engines' sizes":           {80 * ms, func(s *Settings) { s.EngineKinds = nil }},
		"engines' memory":          {300 * ms, func(s *Settings) { s.EngineKinds = map[string]EngineKind{"std": {Cores: 8}} }},
		"the most memory":          {80 * ms, func(s *Settings) { s.MemoryGrants, s.MaxGrantFraction = true, 0 }},
		"attempts":                 {80 * ms, func(s *Settings) { s.Limits.MaxAttempts = 0 }},
		"tenants":                  {80 * ms, func(s *Settings) { s.Tenants = nil }},
		"objectives":               {80 * ms, classes(func(k *Class) { k.LatencyObjective, k.ClientTimeout = 0, 2*time.Second })},
		"objectives and deadlines": {80 * ms, classes(func(k *Class) { k.LatencyObjective, k.ObjectivePerWork = 0, 0 })},
		"what is worth":            {80 * ms, classes(func(k *Class) { k.PriorityWeight, k.LateWeight = 0, 0 })},
		"all but one class":        {80 * ms, func(s *Settings) { s.Classes = s.Classes[:1] }},
	} {
		// One of many brokers has a small part of the engines' limits, so it asks for less work.
		for gateways, took := range map[int]time.Duration{1: c.took, 300: 30 * ms} {
			t.Run(fmt.Sprintf("%s, %d brokers", name, gateways), func(t *testing.T) {
				s := baseSettings()
				s.Brokers = gateways
				c.leaveOut(&s)
				r := newRig(t, s, readyEngine("e0"), readyEngine("e1"), readyEngine("e2"))
				const asked = 1200
				served := 0
				sent := map[time.Duration][]Event{} // how attempts end, by when
				take := func(acts []Action) {
					for _, a := range actionsOf[SendAttempt](acts) {
						at := r.now + took
						sent[at] = append(sent[at], AttemptEnded{RequestID: a.RequestID, Status: OK, Duration: took, RequestClosed: true, Work: took, MemoryMB: 100})
					}
				}
				for i := range asked {
					if i == asked/2 {
						cold := readyEngine("e3")
						cold.StartedAt = r.now
						take(r.handle(EndpointUpdate{Kind: EndpointDelta, Engines: []Engine{cold}}))
					}
					take(r.handle(RequestReceived{Request: Request{
						ID: fmt.Sprint(i), Class: s.Classes[i%len(s.Classes)].Name, EstimatedMemoryMB: 100,
						EstimatedWork: took, Deadline: r.now + 2*time.Second,
					}}))
					for range 4 {
						take(r.advance(5 * ms))
						if ended := sent[r.now]; ended != nil {
							served += len(ended)
							delete(sent, r.now)
							take(r.handle(ended...))
						}
					}
				}
				if served < asked*9/10 {
					t.Fatalf("%d of %d were served", served, asked)
				}
			})
		}
	}
}
