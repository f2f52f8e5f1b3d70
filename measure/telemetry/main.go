// Command telemetry measures what figures cost and whether they hold what they promise. Each line is a name, a value and
// a unit. See docs/measurements/telemetry.md.
package main

import (
	"context"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"runtime"
	"slices"
	"testing"
	"time"

	"wheatlane/control"
	"wheatlane/internal/broker"
	"wheatlane/internal/cardinality"
	"wheatlane/internal/collectd"
	"wheatlane/internal/delivery"
	"wheatlane/internal/metrics"
	"wheatlane/internal/telemetry"
)

func main() {
	rounds := flag.Int("rounds", 12, "rounds of two seconds for three brokers at once")
	program := flag.String("program", "bin/wheatlane", "the broker")
	flag.Parse()
	for _, part := range []func() error{recording, quantiles, heavyHitters, backlog, packets,
		func() error { return endToEnd(context.Background(), *program, *rounds) }} {
		if err := part(); err != nil {
			fmt.Fprintln(os.Stderr, "measure:", err)
			os.Exit(1)
		}
	}
}

func tell(name string, value float64, unit string) { fmt.Printf("%s %.4g %s\n", name, value, unit) }

var limits = metrics.Limits{Classes: 16, Tenants: 32, Engines: 32, DataSets: 32, Idle: 10 * time.Minute}

// one is all that a meter is told of a request that is served at its first attempt.
func one(m broker.Meter, r *broker.Request, i int) {
	m.RequestAccepted(r)
	m.AttemptStarted(r.Class)
	m.AttemptEnded(broker.AttemptSummary{Class: r.Class, Engine: "s-00c41f7a", Status: control.OK, Duration: time.Duration(i%500) * time.Millisecond})
	m.RequestEnded(broker.RequestSummary{Class: r.Class, Tenant: r.Tenant, Kind: broker.ReplyResult, Duration: time.Duration(i%500) * time.Millisecond,
		Objective: 400 * time.Millisecond, QueueTime: time.Millisecond, Attempts: 1})
}

func recording() error {
	r := &broker.Request{Class: "lookup", Tenant: "fishing-fleet", DataSet: 17}
	for name, m := range map[string]broker.Meter{"recording_off": broker.NopMeter{}, "recording_on": telemetry.NewRecorder(limits, 0, 0)} {
		for i := range 2000 { // sketches take their memory once
			one(m, r, i)
		}
		b := testing.Benchmark(func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				one(m, r, i)
			}
		})
		tell(name, float64(b.NsPerOp()), "ns/request")
		tell(name+"_allocations", float64(b.AllocsPerOp()), "allocations/request")
	}
	return nil
}

func quantiles() error {
	rng := rand.New(rand.NewPCG(1, 2))
	worst := 0.0
	for _, draw := range []func() float64{
		func() float64 { return rng.Float64() * 1000 },
		func() float64 { return math.Exp(rng.NormFloat64()*1.5 + 3) },
		func() float64 { return math.Pow(1-rng.Float64(), -1/1.5) },
	} {
		s := metrics.NewSketch()
		all := make([]float64, 100_000)
		for i := range all {
			all[i] = draw()
			s.Add(all[i])
		}
		slices.Sort(all)
		got, err := metrics.Summarize(s.Encode(nil))
		if err != nil {
			return err
		}
		for q, v := range map[float64]float64{0.5: got.P50, 0.95: got.P95, 0.99: got.P99} {
			exact := all[int(q*float64(len(all)-1))]
			worst = max(worst, math.Abs(v-exact)/exact)
		}
	}
	tell("quantile_error", 100*worst, "percent")
	return nil
}

// heap is the memory of live objects.
func heap() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func heavyHitters() error {
	for _, n := range []int{1e3, 1e4, 1e5, 1e6} {
		all := make([]string, n)
		for i := range all {
			all[i] = fmt.Sprintf("tenant-%08d", i)
		}
		measure := func(name string, add func(string)) {
			before, began := heap(), time.Now()
			for _, s := range all {
				add(s)
			}
			took := time.Since(began)
			tell(fmt.Sprintf("%s_%d_names_time", name, n), float64(took.Nanoseconds())/float64(n), "ns/name")
			tell(fmt.Sprintf("%s_%d_names_memory", name, n), max(0, heap()-before)/1024, "KB")
		}
		table := cardinality.New(cardinality.Config{Most: 32, Resting: 64, Idle: time.Hour, Rest: time.Hour}, func(int) {})
		counts := make([]uint64, table.Slots())
		measure("bounded", func(s string) { counts[table.Slot(s, 0)]++ })
		plain := map[string]*uint64{}
		measure("map", func(s string) {
			v := plain[s]
			if v == nil {
				v = new(uint64)
				plain[s] = v
			}
			*v++
		})
		runtime.KeepAlive(plain)
		runtime.KeepAlive(table)
		runtime.KeepAlive(all)
	}
	return nil
}

// storm is an interval of ten seconds with as many names as have series, and 100 requests a second.
func storm(rec *telemetry.Recorder, reg func() *metrics.Interval, rng *rand.Rand) *metrics.Interval {
	for range 1000 {
		r := &broker.Request{Class: []string{"lookup", "route-report", "survey-load"}[rng.IntN(3)], Tenant: fmt.Sprint("t", rng.IntN(40)),
			DataSet: rng.IntN(60)}
		rec.RequestAccepted(r)
		rec.AttemptStarted(r.Class)
		took := time.Duration(math.Exp(rng.NormFloat64()+4) * float64(time.Millisecond))
		rec.AttemptEnded(broker.AttemptSummary{Class: r.Class, Engine: fmt.Sprint("s-", rng.IntN(10)), Status: control.OK, Duration: took})
		rec.RequestEnded(broker.RequestSummary{Class: r.Class, Tenant: r.Tenant, Kind: broker.ReplyResult, Duration: took, Objective: 400 * time.Millisecond, Attempts: 1})
	}
	return reg()
}

func recorder() (*telemetry.Recorder, func() *metrics.Interval, error) {
	b, err := broker.New(control.Settings{Brokers: 1, MinBatchInterval: time.Millisecond, Classes: []control.Class{{Name: "lookup", Threads: 1}}}, 1, 10)
	if err != nil {
		return nil, nil, err
	}
	rec, now := telemetry.NewRecorder(limits, 0, 0), time.Duration(0)
	return rec, func() *metrics.Interval {
		now += 10 * time.Second
		return rec.CutAlone(now, b)
	}, nil
}

func backlog() error {
	rec, cut, err := recorder()
	if err != nil {
		return err
	}
	rng := rand.New(rand.NewPCG(3, 4))
	m := delivery.New(delivery.Config{Budget: 512 << 10, LeastPause: time.Second, MostPause: time.Second, WriteTimeout: time.Second, ReplayRate: 1}, 1)
	full, worst := 0, time.Duration(0)
	for i := range 360 {
		v := storm(rec, cut, rng)
		began := time.Now()
		m.Apply(0, delivery.Offer{Interval: v})
		worst = max(worst, time.Since(began))
		if i == 5 {
			tell("backlog_first_minute", float64(m.Stats().Held)/1024, "KB")
		}
		if full == 0 && m.Stats().Held > 500<<10 {
			full = i
		}
	}
	st := m.Stats()
	tell("backlog_unfolded_for", float64(full)/6, "minutes of 512 KB")
	tell("backlog_after_an_hour", float64(st.Held)/1024, "KB")
	tell("lost_after_an_hour", float64(st.Lost)+st.LostSamples, "intervals and values")
	tell("longest_fold", float64(worst.Microseconds()), "us")
	return nil
}

func packets() error {
	rec, cut, err := recorder()
	if err != nil {
		return err
	}
	v := storm(rec, cut, rand.New(rand.NewPCG(5, 6)))
	for name, level := range map[string]collectd.Level{"plain": collectd.Plain, "signed": collectd.Sign, "encrypted": collectd.Encrypt} {
		n := 0
		p := collectd.Packer{Security: collectd.Security{Level: level, User: "u", Password: "p"}, Random: func([]byte) error { return nil },
			Emit: func([]byte) error { n++; return nil }}
		began := time.Now()
		for time.Since(began) < 300*time.Millisecond {
			if err := collectd.Lists(v, "n1", p.Add); err != nil {
				return err
			}
			if err := p.Flush(); err != nil {
				return err
			}
		}
		tell("collectd_"+name, float64(n)/time.Since(began).Seconds(), "packets/s")
	}
	return nil
}
