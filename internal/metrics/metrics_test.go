package metrics

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wheatlane/internal/cardinality"
)

func limits() Limits {
	return Limits{Classes: 3, Tenants: 3, Engines: 3, DataSets: 3, Idle: time.Minute}
}

// Guards against figures that nobody can name, or two of one name.
func TestTheCatalogueIsWhole(t *testing.T) {
	seen := map[string]bool{}
	for id, f := range Catalogue {
		if f.Name == "" || f.Help == "" || seen[f.Name] || cardinality.Escape(f.Name) == "" {
			t.Errorf("figure %d: %+v", id, f)
		}
		if (f.Detail == "") != (len(f.Parts) == 0) {
			t.Errorf("%s: detail %q with parts %v", f.Name, f.Detail, f.Parts)
		}
		if f.Kind == DistributionKind && len(f.Parts) > 0 {
			t.Errorf("%s: a distribution with parts", f.Name)
		}
		if got, ok := Find(f.Name); !ok || got != ID(id) {
			t.Errorf("%s is found as %d", f.Name, got)
		}
		seen[f.Name] = true
	}
}

// Of what is recorded, in whatever order with whatever names, every counter comes out whole and once, however the
// intervals are folded, and so does every value of a distribution.
func TestNothingIsLostInFolding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewRegistry(limits(), 0, 0)
		now := time.Duration(0)
		var all []*Interval
		want, values := 0.0, 0.0
		for range rapid.IntRange(1, 12).Draw(t, "intervals") {
			for range rapid.IntRange(0, 40).Draw(t, "requests") {
				slot := r.Slot(Tenant, fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "tenant")))
				r.Add(RequestsByTenant, slot, 0, 1)
				r.Observe(QueueWaitByTenant, slot, rapid.Float64Range(0, 1e4).Draw(t, "wait"))
				want, values = want+1, values+1
			}
			now += rapid.SampledFrom([]time.Duration{10 * time.Second, 2 * time.Minute}).Draw(t, "length")
			all = append(all, r.Cut(now, now))
		}
		for len(all) > 1 && rapid.IntRange(0, 4).Draw(t, "fold") > 0 {
			i := rapid.IntRange(0, len(all)-2).Draw(t, "at")
			v, err := Fold(all[i], all[i+1])
			if err != nil {
				t.Fatal(err)
			}
			all = slices.Replace(all, i, i+2, v)
		}
		last, of, samples, took := map[Series]float64{}, uint64(0), 0.0, time.Duration(0)
		for _, v := range all {
			if !slices.IsSortedFunc(v.Points, func(a, b Point) int { return compareSeries(a.Series, b.Series) }) {
				t.Fatal("points out of order")
			}
			of, samples, took = of+v.FoldedCount, samples+v.SampleCount(), took+v.Duration
			if got := v.Value(Series{Figure: Folded}); got != float64(v.FoldedCount) {
				t.Fatalf("an interval of %d says %v", v.FoldedCount, got)
			}
			for _, p := range v.Points {
				if Catalogue[p.Figure].Kind != Counter {
					continue
				}
				if p.Value < last[p.Series] {
					t.Fatalf("%s of %q fell from %v to %v", Catalogue[p.Figure].Name, p.Name, last[p.Series], p.Value)
				}
				last[p.Series] = p.Value
			}
			for _, d := range v.Distributions {
				if s, err := Summarize(d.EncodedSketch); err != nil || s.Count != d.Count {
					t.Fatalf("a sketch of %v counts %v, %v", d.Count, s.Count, err)
				}
			}
		}
		got := 0.0
		for s, v := range last {
			if s.Figure == RequestsByTenant {
				got += v
			}
		}
		if got != want || samples != values || of != r.sequence || took != now {
			t.Fatalf("%v of %v requests, %v of %v values, %d of %d intervals, %v of %v", got, want, samples, values, of, r.sequence, took, now)
		}
	})
}

// An engine drains and is gone while figures wait: of what it did nothing is lost in folding, and what it was at some
// moment is not told of a time at which it was no more.
func TestAnEngineThatLeavesWhileFiguresAreFolded(t *testing.T) {
	r := NewRegistry(limits(), 0, 0)
	count := func(name string, n float64) {
		slot := r.Slot(Engine, name)
		r.Add(AttemptEnds, slot, 0, n)
		r.Observe(EngineTime, slot, 10)
		r.Set(ConcurrencyLimit, slot, 0, 4)
	}
	count("stays", 3)
	count("leaves", 5)
	before := r.Cut(10*time.Second, 10*time.Second)
	for i := range 10 { // past the time after which it is idle
		count("stays", 1)
		r.Cut(time.Duration(20+10*i)*time.Second, time.Duration(20+10*i)*time.Second)
	}
	count("stays", 1)
	after := r.Cut(200*time.Second, 200*time.Second)
	v, err := Fold(before, after)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		s    Series
		want float64
	}{
		{Series{Figure: AttemptEnds, Name: "leaves"}, 5}, {Series{Figure: AttemptEnds, Name: "stays"}, 14},
		{Series{Figure: ConcurrencyLimit, Name: "leaves"}, 0}, {Series{Figure: ConcurrencyLimit, Name: "stays"}, 4},
	} {
		if got := v.Value(c.s); got != c.want {
			t.Errorf("%s of %s: %v, want %v", Catalogue[c.s.Figure].Name, c.s.Name, got, c.want)
		}
	}
	if after.Value(Series{Figure: AttemptEnds, Name: "leaves"}) != 0 || v.SampleCount() != 3 {
		t.Errorf("it did not leave, or %v samples are folded", v.SampleCount())
	}
}

// The promise of the sketch, also of sketches that were merged: a quantile is off by a hundredth at the most.
func TestQuantilesAreCloseToTheTruth(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for name, draw := range map[string]func() float64{
		"uniform":   func() float64 { return rng.Float64() * 1000 },
		"lognormal": func() float64 { return math.Exp(rng.NormFloat64()*1.5 + 3) },
		"pareto":    func() float64 { return math.Pow(1-rng.Float64(), -1/1.5) },
		"constant":  func() float64 { return 42 },
		"with zero": func() float64 { return max(0, rng.NormFloat64()) },
	} {
		var all []float64
		var data []byte
		for range 5 {
			s := NewSketch()
			for range 4000 {
				v := draw()
				all = append(all, v)
				s.Add(v)
			}
			if data == nil {
				data = s.Encode(nil)
				continue
			}
			var err error
			if data, err = mergeSketches(data, s.Encode(nil)); err != nil {
				t.Fatal(err)
			}
		}
		slices.Sort(all)
		s, err := Summarize(data)
		if err != nil {
			t.Fatal(err)
		}
		for _, q := range []struct{ part, got float64 }{{0.5, s.P50}, {0.95, s.P95}, {0.99, s.P99}} {
			true_ := all[int(q.part*float64(len(all)-1))]
			if math.Abs(q.got-true_) > Accuracy*true_+1e-9 {
				t.Errorf("%s: quantile %v is %v, told %v", name, q.part, true_, q.got)
			}
		}
		if s.Max != all[len(all)-1] || s.Min != all[0] || s.Count != float64(len(all)) {
			t.Errorf("%s: %+v", name, s)
		}
	}
}

// Values that no clock should give must not spoil a sketch.
func TestOddValuesCountAsZero(t *testing.T) {
	s := NewSketch()
	for _, v := range []float64{-1, math.NaN(), math.Inf(1), math.Inf(-1), math.MaxFloat64} {
		s.Add(v)
	}
	got, err := Summarize(s.Encode(nil))
	if err != nil || got.Count != 5 || got.Min != 0 || got.P50 != 0 {
		t.Fatalf("%+v, %v", got, err)
	}
}

func TestRecordingAllocatesNothing(t *testing.T) {
	r := NewRegistry(Limits{Classes: 8, Tenants: 8, Engines: 8, DataSets: 8, Idle: time.Hour}, 0, 0)
	rng := rand.New(rand.NewPCG(1, 2))
	record := func() {
		class, tenant := r.Slot(Class, "lookup"), r.Slot(Tenant, "acme")
		r.Add(Requests, class, 0, 1)
		r.Add(Answers, class, Late, 1)
		r.Observe(AnswerTime, class, rng.Float64()*1e4+0.01)
		r.Observe(QueueWaitByTenant, tenant, rng.Float64()*1e4+0.01)
	}
	for range 10_000 { // the sketches take their memory
		record()
	}
	r.Cut(0, 0)
	for range 10_000 { // and keep it when they are emptied
		record()
	}
	if n := testing.AllocsPerRun(10_000, record); n != 0 {
		t.Fatalf("%v allocations", n)
	}
}

// The clock on the wall may be set; no two intervals come under one time unless it was set back far.
func TestStamps(t *testing.T) {
	r := NewRegistry(limits(), 0, 0)
	s := time.Second
	wall := []time.Duration{100 * s, 100*s + 400*time.Millisecond, 101 * s, 110 * s, 3600 * s, 10 * s, 11 * s, 90000 * s}
	want := []time.Duration{100 * s, 101 * s, 102 * s, 110 * s, 3600 * s, 10 * s, 11 * s, 90000 * s}
	for i := range wall {
		if got := r.Cut(wall[i], 0).EndTime; got != want[i] {
			t.Errorf("the wall says %v, told %v, want %v", wall[i], got, want[i])
		}
	}
}

func TestShareWithinAim(t *testing.T) {
	r := NewRegistry(limits(), 0, 0)
	add := func(outcome int, n float64) { r.Add(Answers, r.Slot(Class, "lookup"), outcome, n) }
	share := func() float64 { return r.Cut(0, 0).Value(Series{Figure: InTimeShare, Name: "lookup"}) }
	add(InTime, 6)
	add(Late, 2)
	add(Rejected, 1)
	add(Failed, 1)
	add(ClientLeft, 90)
	if got := share(); got != 0.6 {
		t.Errorf("%v", got)
	}
	add(InTime, 1)
	if got := share(); got != 1 { // of this interval alone
		t.Errorf("%v", got)
	}
	if got := share(); got != 0 { // nothing ended: it is not told
		t.Errorf("%v", got)
	}
}

func BenchmarkRecordOneRequest(b *testing.B) {
	r := NewRegistry(Limits{Classes: 16, Tenants: 32, Engines: 32, DataSets: 32, Idle: time.Hour}, 0, 0)
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
		r.Add(Answers, class, InTime, 1)
		r.Add(AnswersByTenant, tenant, InTime, 1)
		r.Observe(AnswerTime, class, float64(i%1000))
		r.Observe(ObjectiveRatio, class, float64(i%1000)/400)
		r.Observe(AttemptsByRequest, class, 1)
		r.Observe(QueueWait, class, float64(i%10))
		r.Observe(QueueWaitByTenant, tenant, float64(i%10))
	}
}

func BenchmarkCut(b *testing.B) {
	r := NewRegistry(Limits{Classes: 16, Tenants: 32, Engines: 32, DataSets: 32, Idle: time.Hour}, 0, 0)
	b.ReportAllocs()
	for b.Loop() {
		for i := range 32 {
			name := fmt.Sprint(i)
			r.Add(RequestsByTenant, r.Slot(Tenant, name), 0, 1)
			for v := range 20 {
				r.Observe(EngineTime, r.Slot(Engine, name), float64(v*10))
				r.Observe(QueueWaitByTenant, r.Slot(Tenant, name), float64(v))
				r.Observe(AnswerTime, r.Slot(Class, name[:1]), float64(v*20))
			}
		}
		r.Cut(0, 0)
	}
}

func BenchmarkFold(b *testing.B) {
	r := NewRegistry(Limits{Classes: 16, Tenants: 32, Engines: 32, DataSets: 32, Idle: time.Hour}, 0, 0)
	cut := func() *Interval {
		for i := range 32 {
			for v := range 50 {
				r.Observe(EngineTime, r.Slot(Engine, fmt.Sprint(i)), float64(v*v))
				r.Observe(QueueWaitByTenant, r.Slot(Tenant, fmt.Sprint(i)), float64(v))
			}
		}
		return r.Cut(0, 0)
	}
	one, two := cut(), cut()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Fold(one, two); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(one.MemoryBytes()), "bytes/interval")
}

// The operators' page has the catalogue as it is.
func TestTheOperatorsPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators/telemetry.md")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(page), Markdown()) {
		t.Error("docs/operators/telemetry.md lacks the table that 'wheatlane metrics list --markdown' prints")
	}
}
