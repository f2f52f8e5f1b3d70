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
	"wheatlane/internal/graphite"
	"wheatlane/internal/operator"
	"wheatlane/internal/report"
	"wheatlane/internal/service"
	"wheatlane/internal/standin/client"
	"wheatlane/internal/standin/collector"
	"wheatlane/internal/standin/engine"
	"wheatlane/internal/standin/fleet"
	"wheatlane/internal/standin/referee"
	"wheatlane/internal/standin/script"
	"wheatlane/internal/standin/troupe"
)

// Options say what is shown.
type Options struct {
	Dir     string  // where files are left
	Engines int     // how many there are
	Rate    float64 // requests a second, all classes together
	Seed    uint64
	For     time.Duration // it ends by itself after this time
	Script  []script.Step // faults of engines and of the collector
}

// Verbs are what a script can do: faults of engines, by number, and of the collector.
func Verbs() map[string]bool {
	all := map[string]bool{"collector-gone": false, "collector-mute": false, "collector-serve": false}
	for v := range troupe.Verbs {
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
	{Engine: troupe.Classes[0], Rate: 0.80, Wanted: 500 * time.Millisecond, Allow: 2 * time.Second},
	{Engine: troupe.Classes[1], Rate: 0.14, Wanted: 3875 * time.Millisecond, Allow: 20 * time.Second},
	{Engine: troupe.Classes[2], Rate: 0.06, Wanted: 8700 * time.Millisecond, Allow: 25 * time.Second, Keys: 40},
}

const (
	dataSets = 24
	mostOpen = 256
	perLine  = time.Second
)

// watcher tells the referee what engines see.
type watcher struct{ r *referee.Referee }

func (w watcher) Wanted(r engine.Run)                    { w.r.Wanted(r.Engine, r.Ref, r.At) }
func (w watcher) Ended(engine, ref string, at time.Time) { w.r.Ended(engine, ref, at) }
func told(r *referee.Referee) func(fleet.Host, time.Time) {
	return func(h fleet.Host, at time.Time) {
		if h.Health == "in_service" {
			r.InService(h.ID)
			return
		}
		r.Draining(h.ID, at)
	}
}

// show is a demo that runs.
type show struct {
	o       Options
	out     io.Writer
	judge   *referee.Referee
	engines *troupe.Troupe
	changes *fleet.Log
	ledger  *collector.Ledger
	figures *collector.Recording
	carbon  *collector.Carbon
	broker  *service.Service
	load    *client.Load
}

// Run shows the broker until ctx ends or its time is over, and leaves files in a folder. It returns an error where a rule
// was broken.
func Run(ctx context.Context, out io.Writer, o Options) error {
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	s := &show{o: o, out: out, judge: referee.New(referee.Rules{DrainGrace: 500 * time.Millisecond, Slack: 50 * time.Millisecond,
		MostTries: 4})}
	var err error
	if s.engines, err = troupe.New(o.Engines, watcher{s.judge}, func(h fleet.Host) error {
		s.changes.Change(h)
		return nil
	}); err != nil {
		return err
	}
	if s.changes, err = fleet.New("127.0.0.1:0", s.engines.Hosts(), told(s.judge)); err != nil {
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
	s.figures, s.ledger = recording, collector.NewLedger(recording.Add)
	if s.carbon, err = collector.NewCarbon("127.0.0.1:0", graphite.Form{Prefix: "wheatlane", Tags: true}, false, s.ledger); err != nil {
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
	fmt.Fprintf(out, "broker at %s, %d engines, change log at %s, collector at %s; files in %s\n", s.broker.Node.Addr(), o.Engines,
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
func (s *show) start(ctx context.Context, logs io.Writer) error {
	text, err := troupe.Configuration("demo", s.o.Seed, s.changes)
	if err != nil {
		return err
	}
	path, own := filepath.Join(s.o.Dir, configFile), filepath.Join(s.o.Dir, operatorFile)
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
	file, err := operator.Load(own)
	if err != nil {
		return err
	}
	log := zap.New(newCore(logs))
	if s.broker, err = service.New(ctx, cfg, file, log); err != nil {
		return err
	}
	mine := make([]client.Class, len(classes))
	for i, c := range classes {
		c.Rate *= s.o.Rate
		mine[i] = c
	}
	s.load = client.New(client.Config{Addr: s.broker.Node.Addr().String(), Classes: mine, Tenants: troupe.Tenants, DataSets: dataSets,
		Seed: s.o.Seed, MostOpen: mostOpen, Retries: 2}, s.judge)
	return nil
}

// run plays all parts: the load ends first, then the broker, then what it talks to.
func (s *show) run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.o.For)
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
		return script.Play(shown, s.o.Script, func(st script.Step) error {
			fmt.Fprintln(s.out, "---", st)
			return s.do(shown, st)
		})
	})
	show.Go(func() error { return s.lines(shown) })
	err := show.Wait()
	s.carbon.Set(collector.Serve) // what waits gets its chance
	close(stop)
	err = errors.Join(err, broker.Wait())
	end()
	return errors.Join(err, others.Wait())
}

func (s *show) do(ctx context.Context, st script.Step) error {
	switch st.Do {
	case "collector-gone":
		s.carbon.Set(collector.Gone)
	case "collector-mute":
		s.carbon.Set(collector.Mute)
	case "collector-serve":
		s.carbon.Set(collector.Serve)
	default:
		return s.engines.Do(ctx, st)
	}
	return nil
}

// lines prints a line a second of what became of requests.
func (s *show) lines(ctx context.Context) error {
	fmt.Fprintf(s.out, "%6s  %7s %6s %7s %6s %5s   %s\n", "second", "in time", "late", "refused", "failed", "gone", "slowest lookup, report, load")
	tick := time.NewTicker(perLine)
	defer tick.Stop()
	for second := 1; ; second++ {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		all, t := client.Tally{}, s.load.Tally()
		for _, c := range t {
			all.InTime, all.Late, all.Refused, all.Failed = all.InTime+c.InTime, all.Late+c.Late, all.Refused+c.Refused, all.Failed+c.Failed
			all.Left += c.Left + c.Lost + c.Wrong
		}
		worst := ""
		for _, c := range classes {
			worst += fmt.Sprintf(" %6s", t[c.Engine.Name].Worst.Round(time.Millisecond))
		}
		fmt.Fprintf(s.out, "%6d  %7d %6d %7d %6d %5d  %s\n", second, all.InTime, all.Late, all.Refused, all.Failed, all.Left, worst)
	}
}

// finish writes the report and says what the referee and the collector found.
func (s *show) finish() error {
	found := s.ledger.Judge()
	f, err := os.Create(filepath.Join(s.o.Dir, reportFile))
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	err = report.Write(f, "A demo of wheatlane", found)
	if err := errors.Join(err, f.Close()); err != nil {
		return err
	}
	v := s.judge.Judge(time.Now())
	fmt.Fprintf(s.out, "%d requests: %d served, %d refused, %d failed; %d attempts at engines\n", v.Requests, v.Outcomes[referee.Served],
		v.Outcomes[referee.Refused], v.Outcomes[referee.Failed], v.Attempts)
	for _, r := range found.Runs {
		fmt.Fprintf(s.out, "the collector has %d intervals, which stand for %d of %d\n", len(r.Intervals), r.Of, r.Last)
	}
	fmt.Fprintln(s.out, "report:", filepath.Join(s.o.Dir, reportFile))
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
