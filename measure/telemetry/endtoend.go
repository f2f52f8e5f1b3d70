package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"wheatlane/internal/emulator/client"
	"wheatlane/internal/emulator/cluster"
	"wheatlane/internal/emulator/collector"
	"wheatlane/internal/graphite"
	"wheatlane/internal/metrics"
)

const (
	engineCount    = 4
	outageRounds   = 5 // rounds of load while the collector is unreachable
	reconnectLimit = 20 * time.Second
	pollInterval   = 50 * time.Millisecond
)

// The names of the brokers that are compared: two without metrics, whose ratio shows the noise, one with metrics, and
// one whose collector accepts connections but never reads.
const (
	withoutMetrics = "off"
	controlBroker  = "control"
	withMetrics    = "on"
	deadCollector  = "dead"
)

// comparison compares several brokers that use the same engines.
type comparison struct {
	options    processOptions
	brokers    []*brokerProcess
	collectors map[string]*collector.Carbon // by broker
	received   *collector.Reconciler        // metrics received from the broker with metrics
}

// measureEndToEnd sends lookups to four brokers concurrently, so that other activity of the machine affects all of them
// equally. Then it makes the collector of the broker with metrics unreachable for a while, and compares the counts of
// the collector with those of the client.
func measureEndToEnd(ctx context.Context, program string, rounds int) (err error) {
	dir, err := os.MkdirTemp("", "measure")
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	emulators, ctx := errgroup.WithContext(ctx)
	changelog, _, err := cluster.StartHealthy(ctx, emulators, engineCount, classes)
	if err != nil {
		return err
	}
	c := &comparison{
		options:    processOptions{program: program, directory: dir, changelog: changelog},
		collectors: map[string]*collector.Carbon{},
		received:   collector.NewReconciler(nil),
	}
	if err := c.run(ctx, emulators, rounds); err != nil {
		return err
	}
	cancel()
	for _, b := range c.brokers {
		b.kill()
	}
	if err := emulators.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

func (c *comparison) run(ctx context.Context, emulators *errgroup.Group, rounds int) error {
	for _, name := range []string{withoutMetrics, controlBroker, withMetrics, deadCollector} {
		if err := c.start(ctx, emulators, name); err != nil {
			return err
		}
	}
	loads, loadCtx := errgroup.WithContext(ctx)
	for i, b := range c.brokers { // a seed for each load: synchronous arrivals would collide at the engines
		loads.Go(func() error { return b.load(loadCtx, uint64(i), rounds+1) })
	}
	if err := loads.Wait(); err != nil {
		return err
	}
	printLatencies(c.brokers)
	if err := c.measureOutage(ctx, c.brokers[2]); err != nil {
		return err
	}
	return c.measureManyNames(ctx)
}

func (c *comparison) operatorFile(name string) string {
	return filepath.Join(c.options.directory, name+"-operator.json")
}

// start starts a broker, and a collector for it if it has one.
func (c *comparison) start(ctx context.Context, emulators *errgroup.Group, name string) error {
	options := c.options
	if name == withMetrics || name == deadCollector {
		if err := c.startCollector(ctx, emulators, name); err != nil {
			return err
		}
		options.operatorFile = c.operatorFile(name)
	}
	b, err := startBroker(ctx, name, options)
	if err != nil {
		return err
	}
	c.brokers = append(c.brokers, b)
	return nil
}

// startCollector starts the collector for a broker and writes the operator's configuration of the broker.
func (c *comparison) startCollector(ctx context.Context, emulators *errgroup.Group, name string) error {
	received := c.received
	if name == deadCollector {
		received = collector.NewReconciler(nil)
	}
	server, err := collector.NewCarbon("127.0.0.1:0", graphite.PathFormat{Prefix: "wheatlane"}, false, received)
	if err != nil {
		return err
	}
	if name == deadCollector {
		server.SetMode(collector.Silent)
	}
	c.collectors[name] = server
	emulators.Go(func() error { return server.Run(ctx) })
	text := fmt.Sprintf(
		`{"telemetry":{"interval_ms":1000,"graphite":[{"name":"c","address":%q}]}}`, server.Addr(),
	)
	return os.WriteFile(c.operatorFile(name), []byte(text), 0o600)
}

// printLatencies prints the median over the rounds of each broker's latency. For all brokers but the first it also
// prints the median, minimum and maximum of the ratio to the latency of the first broker in the same round.
func printLatencies(brokers []*brokerProcess) {
	for _, quantile := range []struct {
		name string
		q    float64
	}{{"median", 0.5}, {"p99", 0.99}} {
		for _, b := range brokers {
			prefix := "lookup_" + quantile.name + "_" + b.name
			latencies := make([]float64, len(b.durations))
			ratios := make([]float64, len(b.durations))
			for round, durations := range b.durations {
				latencies[round] = quantileMS(durations, quantile.q)
				ratios[round] = latencies[round] / quantileMS(
					brokers[0].durations[round], quantile.q,
				)
			}
			slices.Sort(latencies)
			printResult(prefix, latencies[len(latencies)/2], "ms")
			if b != brokers[0] {
				slices.Sort(ratios)
				printResult(prefix+"_over_off", ratios[len(ratios)/2], "ratio")
				printResult(prefix+"_over_off_least", ratios[0], "ratio")
				printResult(prefix+"_over_off_most", ratios[len(ratios)-1], "ratio")
			}
		}
	}
}

// quantileMS returns a quantile of sorted durations in milliseconds, or 0 without durations.
func quantileMS(sorted []time.Duration, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return float64(sorted[int(q*float64(len(sorted)-1))]) / float64(time.Millisecond)
}

// measureOutage makes a broker's collector unreachable under load, makes it reachable again, and prints how many
// requests and intervals it lacks.
func (c *comparison) measureOutage(ctx context.Context, b *brokerProcess) error {
	server := c.collectors[withMetrics]
	server.SetMode(collector.Unreachable)
	if err := b.load(ctx, 2, outageRounds); err != nil {
		return err
	}
	server.SetMode(collector.Serve)
	b.terminate()
	deadline := time.Now().Add(reconnectLimit)
	for {
		expired := time.Now().After(deadline)
		findings := c.received.Reconcile()
		if len(findings.Incarnations) == 1 && (expired || isComplete(findings.Incarnations[0], b.sent)) {
			printOutage(findings.Incarnations[0], b.sent)
			return nil
		}
		if expired {
			return fmt.Errorf("collector received %d incarnations of the broker, want 1", len(findings.Incarnations))
		}
		time.Sleep(pollInterval)
	}
}

// isComplete reports whether a collector has received all intervals and requests of an incarnation.
func isComplete(incarnation *collector.Incarnation, sent int) bool {
	return incarnation.Missing() == 0 && incarnation.Total(metrics.Requests) >= float64(sent)
}

func printOutage(incarnation *collector.Incarnation, sent int) {
	printResult("requests_counted_by_the_client", float64(sent), "requests")
	lost := float64(sent) - incarnation.Total(metrics.Requests)
	printResult("requests_lost_by_the_collector_after_an_outage", lost, "requests")
	printResult("intervals_missing_after_an_outage", float64(incarnation.Missing()), "intervals")
}

// measureManyNames sends requests of many different tenants to brokers with a memory limit of 32 MB, with and without
// metrics, and prints the memory that they use.
func (c *comparison) measureManyNames(ctx context.Context) error {
	const count = 100_000
	names := make([]string, count)
	for i := range names {
		names[i] = fmt.Sprintf("customer-%08d", i)
	}
	for _, name := range []string{withoutMetrics, withMetrics} {
		options := c.options
		options.changeConfig = limitMemory
		if name == withMetrics {
			options.operatorFile = c.operatorFile(withMetrics)
		}
		if err := measureManyNamesOf(ctx, "burst_"+name, options, names); err != nil {
			return err
		}
	}
	return nil
}

// limitMemory sets the memory limit in a configuration to 32 MB, and allows any tenant.
func limitMemory(file map[string]any) {
	if limits, ok := file["limits"].(map[string]any); ok {
		limits["memory_mb"] = 32
	}
	if settings, ok := file["settings"].(map[string]any); ok {
		delete(settings, "Tenants")
	}
}

func measureManyNamesOf(ctx context.Context, prefix string, options processOptions, names []string) error {
	b, err := startBroker(ctx, prefix, options)
	if err != nil {
		return err
	}
	defer b.kill()
	load := client.New(client.Config{
		Addr:     b.address,
		Classes:  lookups(4 * requestRate),
		Tenants:  names,
		DataSets: 5000,
		Seed:     3,
		MaxOpen:  maxOpen,
	}, nil)
	loadCtx, cancel := context.WithTimeout(ctx, 2*roundLength)
	defer cancel()
	if err := load.Run(loadCtx); err != nil {
		return err
	}
	printResult(prefix+"_requests", float64(load.TakeCounts()[classes[0].Name].Sent), "requests")
	memory, err := b.memoryMB()
	if err != nil {
		return err
	}
	printResult(prefix+"_memory_of_32_MB", memory, "MB")
	return nil
}
