package metrics

import (
	"math/rand/v2"
	"testing"
	"time"
)

func smallLimits() Limits {
	return Limits{Classes: 3, Tenants: 3, Engines: 3, DataSets: 3, IdleTimeout: time.Minute}
}

func TestRecordingAllocatesNothing(t *testing.T) {
	r := NewRegistry(Limits{Classes: 8, Tenants: 8, Engines: 8, DataSets: 8, IdleTimeout: time.Hour}, 0, 0)
	rng := rand.New(rand.NewPCG(1, 2))
	record := func() {
		class, tenant := r.Slot(Class, "lookup"), r.Slot(Tenant, "acme")
		r.Add(Requests, class, 0, 1)
		r.Add(RequestOutcomes, class, Late, 1)
		r.Observe(AnswerTime, class, rng.Float64()*1e4+0.01)
		r.Observe(QueueWaitByTenant, tenant, rng.Float64()*1e4+0.01)
	}
	for range 10_000 { // the sketches allocate their bins
		record()
	}
	r.EndInterval(0, 0)
	for range 10_000 { // and keep the bins when they are cleared
		record()
	}
	if n := testing.AllocsPerRun(10_000, record); n != 0 {
		t.Fatalf("recording a request allocates %v times, want 0", n)
	}
}

func BenchmarkRecordOneRequest(b *testing.B) {
	r := NewRegistry(Limits{Classes: 16, Tenants: 32, Engines: 32, DataSets: 32, IdleTimeout: time.Hour}, 0, 0)
	b.ReportAllocs()
	for i := range b.N {
		class, tenant := r.Slot(Class, "lookup"), r.Slot(Tenant, "acme")
		engine := r.Slot(Engine, "s-00c41f7a")
		r.Add(Requests, class, 0, 1)
		r.Add(RequestsByTenant, tenant, 0, 1)
		r.Add(RequestsByDataSet, r.Slot(DataSet, "17"), 0, 1)
		r.Add(Attempts, class, 0, 1)
		r.Add(AttemptEnds, engine, 0, 1)
		r.Observe(EngineTime, engine, float64(i%1000))
		r.Add(RequestOutcomes, class, InTime, 1)
		r.Add(RequestOutcomesByTenant, tenant, InTime, 1)
		r.Observe(AnswerTime, class, float64(i%1000))
		r.Observe(ObjectiveRatio, class, float64(i%1000)/400)
		r.Observe(AttemptsPerRequest, class, 1)
		r.Observe(QueueWait, class, float64(i%10))
		r.Observe(QueueWaitByTenant, tenant, float64(i%10))
	}
}
