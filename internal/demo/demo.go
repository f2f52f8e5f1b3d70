// Package demo shows a broker at its main job on loopback: engines, a change log, clients and a collector, all played
// here, with a real broker among them that is configured as one in service is.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/sync/errgroup"

	"wheatlane/internal/config"
	"wheatlane/internal/emulator/changelogserver"
	"wheatlane/internal/emulator/client"
	"wheatlane/internal/emulator/cluster"
	"wheatlane/internal/emulator/collector"
	"wheatlane/internal/emulator/conformance"
	"wheatlane/internal/emulator/engine"
	"wheatlane/internal/emulator/scenario"
	"wheatlane/internal/graphite"
	"wheatlane/internal/operatorconfig"
	"wheatlane/internal/report"
	"wheatlane/internal/service"
)

// Options say what is shown.
type Options struct {
	Dir     string  // where files are left
	Engines int     // how many there are
	Rate    float64 // requests a second, all classes together
	Seed    uint64
	For     time.Duration   // it ends by itself after this time
	Script  []scenario.Step // faults of engines and of the collector
}

// Verbs are what a script can do: faults of engines, by number, and of the collector.
func Verbs() map[string]bool {
	all := map[string]bool{"collector-gone": false, "collector-mute": false, "collector-serve": false}
	for v := range cluster.Verbs {
		all[v] = true
	}
	return all
}

// Faults is the script of a demo that is told nothing else.
const Faults = "8s:slow:2,14s:quick:2,16s:collector-gone,20s:drain:3,24s:moved:3,28s:crash:1,33s:back:1,36s:collector-serve"

// The files that are left.
const (
	configFile   = "config.json"
	operatorFile = "operator.json"
	figuresFile  = "figures.zst"
	reportFile   = "report.html"
	logFile      = "broker.log"
)

// The parts of the load: the classes' parts of all requests, and their times as the brief words them.
var classes = []client.Class{
	{Engine: cluster.Classes[0], Rate: 0.80, LatencyObjective: 500 * time.Millisecond, Timeout: 2 * time.Second},
	{Engine: cluster.Classes[1], Rate: 0.14, LatencyObjective: 3875 * time.Millisecond, Timeout: 20 * time.Second},
	{Engine: cluster.Classes[2], Rate: 0.06, LatencyObjective: 8700 * time.Millisecond, Timeout: 25 * time.Second, Keys: 40},
}

const (
	dataSets        = 24
	maxOpenRequests = 256
	reportInterval  = time.Second
)

// engineObserver tells the referee what engines see.
type engineObserver struct{ checker *conformance.Checker }

func (w engineObserver) AttemptReceived(r engine.Run) {
	w.checker.AttemptReceived(r.Engine, r.Ref, r.At)
}
func (w engineObserver) AttemptEnded(engine, ref string, at time.Time) {
	w.checker.AttemptEnded(engine, ref, at)
}
func endpointObserver(r *conformance.Checker) func(changelogserver.Host, time.Time) {
	return func(h changelogserver.Host, at time.Time) {
		if h.Health == "in_service" {
			r.EngineInService(h.ID)
			return
		}
		r.EngineDraining(h.ID, at)
	}
}

// demonstration is a demo that runs.
type demonstration struct {
	options    Options
	out        io.Writer
	checker    *conformance.Checker
	engines    *cluster.Cluster
	changes    *changelogserver.ChangeLog
	reconciler *collector.Reconciler
	figures    *collector.Recording
	carbon     *collector.Carbon
	broker     *service.Service
	load       *client.Load
}

// Run shows the broker until ctx ends or its time is over, and leaves files in a folder. It returns an error where a rule
// was broken.
func Run(ctx context.Context, out io.Writer, o Options) error {
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	s := &demonstration{options: o, out: out, checker: conformance.New(conformance.Rules{DrainGrace: 500 * time.Millisecond, Slack: 50 * time.Millisecond,
		MaxAttempts: 4})}
	var err error
	if s.engines, err = cluster.New(o.Engines, engineObserver{s.checker}, func(h changelogserver.Host) error {
		s.changes.Change(h)
		return nil
	}); err != nil {
		return err
	}
	if s.changes, err = changelogserver.New("127.0.0.1:0", s.engines.Hosts(), endpointObserver(s.checker)); err != nil {
		return err
	}
	figures, err := os.Create(filepath.Join(o.Dir, figuresFile))
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	recording, err := collector.NewRecording(figures)
	if err != nil {
		return err
	}
	s.figures, s.reconciler = recording, collector.NewReconciler(recording.Add)
	if s.carbon, err = collector.NewCarbon("127.0.0.1:0", graphite.Form{Prefix: "wheatlane", Tags: true}, false, s.reconciler); err != nil {
		return err
	}
	logs, err := os.Create(filepath.Join(o.Dir, logFile))
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	defer logs.Close()
	if err := s.start(ctx, logs); err != nil {
		return err
	}
	fmt.Fprintf(out, "broker at %s, %d engines, change log at %s, collector at %s; files in %s\n", s.broker.Server.Addr(), o.Engines,
		s.changes.Addr(), s.carbon.Addr(), o.Dir)
	err = s.run(ctx)
	if closed := recording.Close(); err == nil {
		err = closed
	}
	if err != nil {
		return err
	}
	return s.finish()
}

// start writes the broker's files and reads them as a broker does.
func (s *demonstration) start(ctx context.Context, logs io.Writer) error {
	text, err := cluster.Configuration("demo", s.options.Seed, s.changes)
	if err != nil {
		return err
	}
	path, own := filepath.Join(s.options.Dir, configFile), filepath.Join(s.options.Dir, operatorFile)
	if err := os.WriteFile(path, text, 0o644); err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	ownText := fmt.Sprintf("{\n  \"telemetry\": {\n    \"interval_ms\": 1000,\n    \"graphite\": [{\"name\": \"demo\", \"address\": %q, \"tags\": true}]\n  }\n}\n",
		s.carbon.Addr())
	if err := os.WriteFile(own, []byte(ownText), 0o644); err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	cfg, err := config.Load(func(name string) string {
		if name == "RELAY_CONFIG" {
			return path
		}
		return ""
	})
	if err != nil {
		return err
	}
	file, err := operatorconfig.Load(own)
	if err != nil {
		return err
	}
	log := zap.New(newCore(logs))
	if s.broker, err = service.New(ctx, cfg, file, log); err != nil {
		return err
	}
	mine := make([]client.Class, len(classes))
	for i, c := range classes {
		c.Rate *= s.options.Rate
		mine[i] = c
	}
	s.load = client.New(client.Config{Addr: s.broker.Server.Addr().String(), Classes: mine, Tenants: cluster.Tenants, DataSets: dataSets,
		Seed: s.options.Seed, MaxOpen: maxOpenRequests, Retries: 2}, s.checker)
	return nil
}

// run plays all parts: the load ends first, then the broker, then what it talks to.
func (s *demonstration) run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.options.For)
	defer cancel()
	outer, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	others, outer := errgroup.WithContext(outer)
	others.Go(func() error { return s.engines.Run(outer) })
	others.Go(func() error { return s.changes.Run(outer) })
	others.Go(func() error { return s.carbon.Run(outer) })
	others.Go(func() error { return s.figures.Run(outer) })
	stop := make(chan struct{})
	broker, inner := errgroup.WithContext(outer)
	broker.Go(func() error { return s.broker.Run(inner, stop) })

	show, shown := errgroup.WithContext(ctx)
	show.Go(func() error { return s.load.Run(shown) })
	show.Go(func() error {
		return scenario.Play(shown, s.options.Script, func(st scenario.Step) error {
			fmt.Fprintln(s.out, "---", st)
			return s.applyStep(shown, st)
		})
	})
	show.Go(func() error { return s.printProgress(shown) })
	err := show.Wait()
	s.carbon.Set(collector.Serve) // what waits gets its chance
	close(stop)
	err = errors.Join(err, broker.Wait())
	end()
	return errors.Join(err, others.Wait())
}

func (s *demonstration) applyStep(ctx context.Context, st scenario.Step) error {
	switch st.Do {
	case "collector-gone":
		s.carbon.Set(collector.Unreachable)
	case "collector-mute":
		s.carbon.Set(collector.Silent)
	case "collector-serve":
		s.carbon.Set(collector.Serve)
	default:
		return s.engines.Do(ctx, st)
	}
	return nil
}

// printProgress prints a line a second of what became of requests.
func (s *demonstration) printProgress(ctx context.Context) error {
	fmt.Fprintf(s.out, "%6s  %7s %6s %7s %6s %5s   %s\n", "second", "in time", "late", "refused", "failed", "gone", "slowest lookup, report, load")
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	for second := 1; ; second++ {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		all, t := client.Tally{}, s.load.Tally()
		for _, c := range t {
			all.InTime, all.Late, all.Rejected, all.Failed = all.InTime+c.InTime, all.Late+c.Late, all.Rejected+c.Rejected, all.Failed+c.Failed
			all.ClientLeft += c.ClientLeft + c.Unanswered + c.WrongAnswers
		}
		worst := ""
		for _, c := range classes {
			worst += fmt.Sprintf(" %6s", t[c.Engine.Name].Worst.Round(time.Millisecond))
		}
		fmt.Fprintf(s.out, "%6d  %7d %6d %7d %6d %5d  %s\n", second, all.InTime, all.Late, all.Rejected, all.Failed, all.ClientLeft, worst)
	}
}

// finish writes the report and says what the referee and the collector found.
func (s *demonstration) finish() error {
	found := s.reconciler.Reconcile()
	f, err := os.Create(filepath.Join(s.options.Dir, reportFile))
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	err = report.Write(f, "A demo of wheatlane", found)
	if err := errors.Join(err, f.Close()); err != nil {
		return err
	}
	v := s.checker.Check(time.Now())
	fmt.Fprintf(s.out, "%d requests: %d served, %d refused, %d failed; %d attempts at engines\n", v.Requests, v.Outcomes[conformance.Served],
		v.Outcomes[conformance.Rejected], v.Outcomes[conformance.Failed], v.Attempts)
	for _, r := range found.Runs {
		fmt.Fprintf(s.out, "the collector has %d intervals, which stand for %d of %d\n", len(r.Intervals), r.Of, r.Last)
	}
	fmt.Fprintln(s.out, "report:", filepath.Join(s.options.Dir, reportFile))
	var all []error
	for _, b := range append(v.Breaches, found.Faults...) {
		all = append(all, errors.New(b))
	}
	return errors.Join(all...)
}

// lockedWriter lets goroutines share a writer.
type lockedWriter struct {
	mu sync.Mutex
	w  io.Writer
}

func (l *lockedWriter) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.w.Write(p)
}

// newCore writes the broker's log to a file, as the program writes it to standard error.
func newCore(w io.Writer) zapcore.Core {
	return zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(&lockedWriter{w: w}), zap.InfoLevel)
}
