package control_test

import (
	"testing"
	"time"

	"wheatlane/control"
)

// recording holds the input of a controller in a simulated cluster without faults. The benchmark replays it
// to new controllers, so that only the controller is measured: equal settings, seeds and events give equal
// actions, so the recorded events still match the actions.
type recording struct {
	settings deployment
	seed     uint64
	batches  []batch
}

func record(b *testing.B, settings deployment, engines int, load float64, length time.Duration) recording {
	b.Helper()
	r := recording{settings: settings, seed: 1}
	cluster := newSimulatedCluster(b, settings, r.seed, engines)
	cluster.faultless, cluster.load = true, load
	cluster.observe = func(given batch, _ []control.Action) { r.batches = append(r.batches, given) }
	cluster.run(length)
	return r
}

func requestsIn(events []control.Event) (n int) {
	for _, event := range events {
		if _, ok := event.(control.RequestReceived); ok {
			n++
		}
	}
	return n
}

// BenchmarkRequest measures the cost of a request in the controller from its arrival to its response,
// including its share of timers and intervals, at 0.75 and 1.5 times the engines' capacity.
func BenchmarkRequest(b *testing.B) {
	for _, c := range []struct {
		name    string
		site    string
		change  func(*control.Settings)
		engines int
		load    float64
	}{
		{"site=reykjavik/load=0.75", "reykjavik", nil, 7, 0.75},
		{"site=reykjavik/load=1.5", "reykjavik", nil, 7, 1.5},
		{"site=ledger/load=0.75", "ledger", nil, 7, 0.75},
		{"site=shortline/load=1.5", "shortline", nil, 7, 1.5},
		{"site=fleet-of-200/load=0.75", "hobart", withBrokers(200), 65, 0.75},
		{"site=fleet-of-200/load=1.5", "hobart", withBrokers(200), 65, 1.5},
	} {
		b.Run(c.name, func(b *testing.B) {
			r := record(b, siteDeployment(c.site, c.change)(b), c.engines, c.load, time.Minute)
			b.ReportAllocs()
			b.ResetTimer()
			for done := 0; done < b.N; {
				b.StopTimer()
				controller, err := control.New(r.settings.Settings, r.seed)
				if err != nil {
					b.Fatal(err)
				}
				b.StartTimer()
				for i := 0; i < len(r.batches) && done < b.N; i++ {
					controller.Handle(r.batches[i].now, r.batches[i].events)
					done += requestsIn(r.batches[i].events)
				}
			}
		})
	}
}
