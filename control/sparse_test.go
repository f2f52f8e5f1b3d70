package control

import (
	"fmt"
	"testing"
	"time"
)

// Settings of other deployments may leave much out: what a rule or an aim needs, engines' sizes, the number of attempts.
// Engines with room for all get nearly all that is asked then, whether brokers are few or many, and also once one of them
// has just started.
func TestSettingsThatLeaveMuchOut(t *testing.T) {
	classes := func(change func(k *Class)) func(s *Settings) {
		return func(s *Settings) {
			for i := range s.Classes {
				change(&s.Classes[i])
			}
		}
	}
	for name, c := range map[string]struct {
		took     time.Duration // of each query, where there is one broker
		leaveOut func(s *Settings)
	}{
		"nothing":             {300 * ms, func(*Settings) {}},
		"the rules":           {80 * ms, func(s *Settings) { s.Rules = Rules{} }},
		"when cold ones fall": {80 * ms, func(s *Settings) { s.Rules.FallWindow = 0 }},
		"how cold ones fall":  {80 * ms, func(s *Settings) { s.Rules.FallMultiple = 0 }},
		"when they are warm":  {80 * ms, func(s *Settings) { s.Rules.WarmAfter = 0 }},
		"the round":           {80 * ms, func(s *Settings) { s.Round = 0 }},
		"engines' sizes":      {80 * ms, func(s *Settings) { s.Kinds = nil }},
		"engines' memory":     {300 * ms, func(s *Settings) { s.Kinds = map[string]Kind{"std": {Cores: 8}} }},
		"the most memory":     {80 * ms, func(s *Settings) { s.Grants, s.GrantCap = true, 0 }},
		"attempts":            {80 * ms, func(s *Settings) { s.Limits.MaxAttempts = 0 }},
		"tenants":             {80 * ms, func(s *Settings) { s.Tenants = nil }},
		"aims":                {80 * ms, classes(func(k *Class) { k.Aim, k.GiveUp = 0, 2*time.Second })},
		"aims and deadlines":  {80 * ms, classes(func(k *Class) { k.Aim, k.AimStretch = 0, 0 })},
		"what is worth":       {80 * ms, classes(func(k *Class) { k.Worth, k.LateWorth = 0, 0 })},
		"all but one class":   {80 * ms, func(s *Settings) { s.Classes = s.Classes[:1] }},
	} {
		// One of many brokers has a small part of the engines' bounds, so it asks for less work.
		for gateways, took := range map[int]time.Duration{1: c.took, 300: 30 * ms} {
			t.Run(fmt.Sprintf("%s, %d brokers", name, gateways), func(t *testing.T) {
				s := base()
				s.Gateways = gateways
				c.leaveOut(&s)
				r := newRig(t, s, eng("e0"), eng("e1"), eng("e2"))
				const asked = 1200
				served := 0
				sent := map[time.Duration][]Event{} // how attempts end, by when
				take := func(acts []Action) {
					for _, a := range pickOf[Send](acts) {
						at := r.now + took
						sent[at] = append(sent[at], Attempt{Query: a.Query, Status: OK, Took: took, Closed: true, Work: took, MemoryMB: 100})
					}
				}
				for i := range asked {
					if i == asked/2 {
						cold := eng("e3")
						cold.StartedAt = r.now
						take(r.feed(List{Kind: Delta, Engines: []Engine{cold}}))
					}
					take(r.feed(Arrival{Query: Query{ID: fmt.Sprint(i), Class: s.Classes[i%len(s.Classes)].Name, MemoryMB: 100,
						Work: took, Deadline: r.now + 2*time.Second}}))
					for range 4 {
						take(r.run(5 * ms))
						if ended := sent[r.now]; ended != nil {
							served += len(ended)
							delete(sent, r.now)
							take(r.feed(ended...))
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
