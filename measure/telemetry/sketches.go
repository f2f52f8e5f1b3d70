package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"time"

	"wheatlane/internal/cardinality"
	"wheatlane/internal/metrics"
)

// measureQuantiles measures the largest relative error of a quantile over a uniform, a log-normal and a Pareto
// distribution.
func measureQuantiles() error {
	const values = 100_000
	rng := rand.New(rand.NewPCG(1, 2))
	worst := 0.0
	for _, draw := range []func() float64{
		func() float64 { return rng.Float64() * 1000 },
		func() float64 { return math.Exp(rng.NormFloat64()*1.5 + 3) },
		func() float64 { return math.Pow(1-rng.Float64(), -1/1.5) },
	} {
		sketch := metrics.NewSketch()
		sorted := make([]float64, values)
		for i := range sorted {
			sorted[i] = draw()
			sketch.Add(sorted[i])
		}
		slices.Sort(sorted)
		summary, err := metrics.Summarize(sketch.Encode(nil))
		if err != nil {
			return err
		}
		estimates := map[float64]float64{0.5: summary.P50, 0.95: summary.P95, 0.99: summary.P99}
		for q, estimate := range estimates {
			exact := sorted[int(q*float64(len(sorted)-1))]
			worst = max(worst, math.Abs(estimate-exact)/exact)
		}
	}
	printResult("quantile_error", 100*worst, "percent")
	return nil
}

// measureHeavyHitters compares the bounded table of names with a plain map.
func measureHeavyHitters() error {
	for _, n := range []int{1e3, 1e4, 1e5, 1e6} {
		names := make([]string, n)
		for i := range names {
			names[i] = fmt.Sprintf("tenant-%08d", i)
		}
		table := cardinality.New(
			cardinality.Config{MaxNames: 32, RetiredSlots: 64, IdleTimeout: time.Hour, RetiredRetention: time.Hour},
			func(int) {},
		)
		counts := make([]uint64, table.Slots())
		measureNames("bounded", names, func(name string) { counts[table.Slot(name, 0)]++ })
		plain := map[string]*uint64{}
		measureNames("map", names, func(name string) { increment(plain, name) })
		runtime.KeepAlive(plain)
		runtime.KeepAlive(table)
		runtime.KeepAlive(names)
	}
	return nil
}

func increment(counts map[string]*uint64, name string) {
	count := counts[name]
	if count == nil {
		count = new(uint64)
		counts[name] = count
	}
	*count++
}

// measureNames measures the time and the memory of counting names.
func measureNames(prefix string, names []string, count func(name string)) {
	before, start := liveHeap(), time.Now()
	for _, name := range names {
		count(name)
	}
	elapsed := time.Since(start)
	prefix = fmt.Sprintf("%s_%d_names", prefix, len(names))
	printResult(prefix+"_time", float64(elapsed.Nanoseconds())/float64(len(names)), "ns/name")
	printResult(prefix+"_memory", max(0, liveHeap()-before)/bytesPerKilobyte, "KB")
}

// liveHeap runs the garbage collector and returns the memory of live objects in bytes.
func liveHeap() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
