package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"wheatlane/internal/emulator/changelogserver"
	"wheatlane/internal/emulator/client"
	"wheatlane/internal/emulator/cluster"
	"wheatlane/internal/emulator/collector"
	"wheatlane/internal/emulator/conformance"
	"wheatlane/internal/emulator/engine"
	"wheatlane/internal/graphite"
	"wheatlane/internal/metrics"
)

const (
	rate     = 500             // requests a second
	slice    = 2 * time.Second // a round
	patience = 20 * time.Second
)

// broker is the program, started beside the same engines as the others.
type brokerProcess struct {
	name string
	cmd  *exec.Cmd
	addr string
	mu   sync.Mutex
	took [][]time.Duration // by round
	sent int
}

// startBroker starts the program with an operator's file, or without one, and waits until it serves. change may alter
// its configuration.
func startBroker(ctx context.Context, program, dir, name, own string, changes *changelogserver.ChangeLog, change func(map[string]any)) (*brokerProcess, error) {
	text, err := cluster.Configuration(name, 1, changes)
	if err != nil {
		return nil, err
	}
	if change != nil {
		var file map[string]any
		if err := json.Unmarshal(text, &file); err != nil {
			return nil, err
		}
		change(file)
		if text, err = json.Marshal(file); err != nil {
			return nil, err
		}
	}
	path := filepath.Join(dir, name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	b := &brokerProcess{name: name, cmd: exec.CommandContext(ctx, program)}
	b.cmd.Env = append(os.Environ(), "RELAY_CONFIG="+path)
	if own != "" {
		b.cmd.Args = append(b.cmd.Args, "--operator", own)
	}
	logs, err := b.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := b.cmd.Start(); err != nil {
		return nil, err
	}
	lines := bufio.NewScanner(logs)
	for lines.Scan() {
		if _, rest, ok := strings.Cut(lines.Text(), `"listen":"`); ok {
			b.addr, _, _ = strings.Cut(rest, `"`)
			break
		}
	}
	go func() { // to the end of the log, which comes with the program's
		for lines.Scan() {
		}
	}()
	if b.addr == "" {
		return nil, errors.New(name + " does not serve")
	}
	return b, nil
}

// load sends lookups for a number of rounds. Answers of the first round, in which connections come up, are not kept.
func (b *brokerProcess) load(ctx context.Context, seed uint64, rounds int) error {
	began, took := time.Now(), make([][]time.Duration, rounds)
	l := client.New(client.Config{Addr: b.addr, Classes: []client.Class{{Engine: lookups[0], Rate: rate, LatencyObjective: 400 * time.Millisecond, Timeout: 2 * time.Second}},
		Tenants: cluster.Tenants, DataSets: 24, Seed: seed, MaxOpen: 256, OnEnd: func(_ string, out conformance.Outcome, d time.Duration) {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.sent++
			if round := int(time.Since(began) / slice); out == conformance.Served && round < rounds {
				took[round] = append(took[round], d)
			}
		}}, nil)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(rounds)*slice)
	defer cancel()
	if err := l.Run(ctx); err != nil {
		return err
	}
	for _, t := range took[1:] {
		slices.Sort(t)
		b.took = append(b.took, t)
	}
	return nil
}

// lookups are the classes of the engines here: what a lookup costs there should hide nothing of what it costs here.
var lookups = func() []engine.Class {
	all := slices.Clone(cluster.Classes)
	all[0].Work = 500 * time.Microsecond
	return all
}()

func at(sorted []time.Duration, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return float64(sorted[int(q*float64(len(sorted)-1))]) / float64(time.Millisecond)
}

// endToEnd sends lookups to four brokers at once, so that what else goes on on the machine is the same for all: two without figures, whose
// ratio tells what is noise, one with, and one whose collector accepts and
// never reads. Then the second one's collector is away for a while, and its counts are compared with the client's.
func endToEnd(ctx context.Context, program string, rounds int) error {
	dir, err := os.MkdirTemp("", "measure")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	changes, _, err := cluster.Plain(ctx, g, 4, lookups)
	if err != nil {
		return err
	}
	ledger := collector.NewReconciler(nil)
	collectors := map[string]*collector.Carbon{}
	brokers := []*brokerProcess{}
	for _, name := range []string{"off", "control", "on", "dead"} {
		own := ""
		if name == "on" || name == "dead" {
			l := ledger
			if name == "dead" {
				l = collector.NewReconciler(nil)
			}
			c, err := collector.NewCarbon("127.0.0.1:0", graphite.Form{Prefix: "wheatlane"}, false, l)
			if err != nil {
				return err
			}
			if name == "dead" {
				c.Set(collector.Silent)
			}
			collectors[name] = c
			g.Go(func() error { return c.Run(ctx) })
			own = filepath.Join(dir, name+"-operator.json")
			text := fmt.Sprintf(`{"telemetry":{"interval_ms":1000,"graphite":[{"name":"c","address":%q}]}}`, c.Addr())
			if err := os.WriteFile(own, []byte(text), 0o600); err != nil {
				return err
			}
		}
		b, err := startBroker(ctx, program, dir, name, own, changes, nil)
		if err != nil {
			return err
		}
		brokers = append(brokers, b)
	}
	loads, loading := errgroup.WithContext(ctx)
	for i, b := range brokers { // each with arrivals of its own: in step they would meet at the engines
		loads.Go(func() error { return b.load(loading, uint64(i), rounds+1) })
	}
	if err := loads.Wait(); err != nil {
		return err
	}
	report(brokers)
	if err := conserved(ctx, brokers[2], collectors["on"], ledger); err != nil {
		return err
	}
	if err := burst(ctx, program, dir, changes, filepath.Join(dir, "on-operator.json")); err != nil {
		return err
	}
	for _, b := range brokers[:1] {
		b.cmd.Process.Signal(syscall.SIGTERM) //nolint:errcheck // the context ends it as well
	}
	cancel()
	for _, b := range brokers {
		b.cmd.Wait() //nolint:errcheck // it was killed
	}
	if err := g.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// report tells each broker's latency, and the median over the rounds of its ratio to the one without figures.
func report(brokers []*brokerProcess) {
	for _, q := range []struct {
		name string
		q    float64
	}{{"median", 0.5}, {"p99", 0.99}} {
		for _, b := range brokers {
			var all, ratios []float64
			for round := range b.took {
				all = append(all, at(b.took[round], q.q))
				ratios = append(ratios, at(b.took[round], q.q)/at(brokers[0].took[round], q.q))
			}
			slices.Sort(all)
			tell("lookup_"+q.name+"_"+b.name, all[len(all)/2], "ms")
			if b != brokers[0] {
				slices.Sort(ratios)
				tell("lookup_"+q.name+"_"+b.name+"_over_off", ratios[len(ratios)/2], "ratio")
				tell("lookup_"+q.name+"_"+b.name+"_over_off_least", ratios[0], "ratio")
				tell("lookup_"+q.name+"_"+b.name+"_over_off_most", ratios[len(ratios)-1], "ratio")
			}
		}
	}
}

// conserved takes a broker's collector away under load and compares the counts in the end.
func conserved(ctx context.Context, b *brokerProcess, c *collector.Carbon, ledger *collector.Reconciler) error {
	c.Set(collector.Unreachable)
	if err := b.load(ctx, 2, 5); err != nil {
		return err
	}
	c.Set(collector.Serve)
	b.cmd.Process.Signal(syscall.SIGTERM) //nolint:errcheck // it is noticed below if it does not end
	b.cmd.Wait()                          //nolint:errcheck // what it has sent by then is compared
	deadline := time.Now().Add(patience)
	for {
		f := ledger.Reconcile()
		if len(f.Runs) == 1 && (f.Runs[0].Missing() == 0 && f.Runs[0].Total(metrics.Requests) >= float64(b.sent) || time.Now().After(deadline)) {
			tell("requests_counted_by_the_client", float64(b.sent), "requests")
			tell("requests_lost_by_the_collector_after_an_outage", float64(b.sent)-f.Runs[0].Total(metrics.Requests), "requests")
			tell("intervals_missing_after_an_outage", float64(f.Runs[0].Missing()), "intervals")
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("the collector has %d runs", len(f.Runs))
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// burst sends requests of ever new customers to a broker of 32 MB, with figures and without, and tells its memory.
func burst(ctx context.Context, program, dir string, changes *changelogserver.ChangeLog, own string) error {
	names := make([]string, 100_000)
	for i := range names {
		names[i] = fmt.Sprintf("customer-%08d", i)
	}
	for _, with := range []string{"off", "on"} {
		file := ""
		if with == "on" {
			file = own
		}
		b, err := startBroker(ctx, program, dir, "burst-"+with, file, changes, func(c map[string]any) {
			c["limits"].(map[string]any)["memory_mb"] = 32
			delete(c["settings"].(map[string]any), "Tenants")
		})
		if err != nil {
			return err
		}
		l := client.New(client.Config{Addr: b.addr, Classes: []client.Class{{Engine: lookups[0], Rate: 4 * rate, LatencyObjective: 400 * time.Millisecond,
			Timeout: 2 * time.Second}}, Tenants: names, DataSets: 5000, Seed: 3, MaxOpen: 256}, nil)
		at, cancel := context.WithTimeout(ctx, 2*slice)
		err = l.Run(at)
		cancel()
		if err != nil {
			return err
		}
		t := l.Tally()[lookups[0].Name]
		tell("burst_"+with+"_requests", float64(t.Sent), "requests")
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", b.cmd.Process.Pid))
		if err != nil {
			return err
		}
		for line := range strings.Lines(string(status)) {
			if kb, ok := strings.CutPrefix(line, "RssAnon:"); ok {
				var v float64
				if _, err := fmt.Sscan(kb, &v); err != nil {
					return err
				}
				tell("burst_"+with+"_memory_of_32_MB", v/1024, "MB")
			}
		}
		b.cmd.Process.Kill() //nolint:errcheck // its context ends it as well
		b.cmd.Wait()         //nolint:errcheck // it was killed
	}
	return nil
}
