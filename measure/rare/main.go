// Command rare counts, over a run on loopback with faults, what the operators' terms on rare moments ask of a broker: how many
// requests are sent on though their clients had left while they waited, what is sent on of what is asked after a planned
// restart has shut a connection, and how many other rules are broken. Clients leave by KILL QUERY, a close or a reset.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"wheatlane/internal/config"
	"wheatlane/internal/emulator/changelogserver"
	"wheatlane/internal/emulator/client"
	"wheatlane/internal/emulator/cluster"
	"wheatlane/internal/emulator/conformance"
	"wheatlane/internal/emulator/engine"
	"wheatlane/internal/emulator/scenario"
	"wheatlane/internal/service"
)

const (
	engines   = 3
	resting   = 20 // clients that rest until the broker ends them, and ask then
	lastLoad  = 300 * time.Millisecond
	faults    = "2s:slow:1,4s:silent:2,6s:speak:2,7s:drain:3,9s:crash:1,12s:back:1,14s:quick:1"
	leave     = 300 * time.Millisecond // the operators' term
	grace     = 500 * time.Millisecond
	slack     = 50 * time.Millisecond
	mostTries = 4
	leavers   = 60 // at a time
)

func main() {
	seed := flag.Uint64("seed", 1, "of all that is drawn by chance")
	lasts := flag.Duration("for", 20*time.Second, "until the planned restart")
	copies := flag.Bool("copies", true, "the deployment allows a second attempt while one is out")
	cancel := flag.Bool("cancel", true, "the deployment lets attempts be cancelled")
	busy := flag.Bool("busy", false, "the planned restart comes with long requests in flight, else with short ones alone")
	flag.Parse()
	if err := measure(context.Background(), *seed, *lasts, *copies, *cancel, *busy); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

// watcher tells the referee what engines see, and counts what was asked after the shutdown.
type watcher struct {
	judge *conformance.Checker
	mu    sync.Mutex
	after map[string]bool // asked after the shutdown
	sent  int             // of these, sent on
}

func (w *watcher) AttemptReceived(r engine.Run) {
	w.judge.AttemptReceived(r.Engine, r.Ref, r.At)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.after[r.Ref] {
		w.sent++
	}
}

func (w *watcher) AttemptEnded(engine, ref string, at time.Time) {
	w.judge.AttemptEnded(engine, ref, at)
}

func (w *watcher) shut(ref string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.after[ref] = true
}

// shuts gives how many requests were asked after the shutdown, and how many of them were sent on.
func (w *watcher) shuts() (asked, sent int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.after), w.sent
}

func measure(ctx context.Context, seed uint64, lasts time.Duration, copies, cancelling, busy bool) error {
	dir, err := os.MkdirTemp("", "measure")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	judge := conformance.New(conformance.Rules{DrainGrace: grace, Slack: slack, MaxAttempts: mostTries, DisconnectGrace: leave, NoHedging: !copies})
	watch := &watcher{judge: judge, after: map[string]bool{}}
	var changes *changelogserver.ChangeLog
	all, err := cluster.New(engines, watch, func(h changelogserver.Host) error {
		changes.Change(h)
		return nil
	})
	if err != nil {
		return err
	}
	if changes, err = changelogserver.New("127.0.0.1:0", all.Hosts(), func(h changelogserver.Host, at time.Time) {
		if h.Health == "in_service" {
			judge.EngineInService(h.ID)
		} else {
			judge.EngineDraining(h.ID, at)
		}
	}); err != nil {
		return err
	}
	broker, err := serve(ctx, dir, seed, changes, copies, cancelling)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	others, ctx := errgroup.WithContext(ctx)
	others.Go(func() error { return all.Run(ctx) })
	others.Go(func() error { return changes.Run(ctx) })
	stop := make(chan struct{})
	over := make(chan error, 1)
	go func() { over <- broker.Run(ctx, stop) }() // ends with stop, or ctx

	addr := broker.Server.Addr().String()
	kinds := []client.Class{
		{Engine: cluster.Classes[0], Rate: 80, LatencyObjective: 500 * time.Millisecond, Timeout: 2 * time.Second},
		{Engine: cluster.Classes[1], Rate: 2, LatencyObjective: 4 * time.Second, Timeout: 20 * time.Second},
		{Engine: cluster.Classes[2], Rate: 1, LatencyObjective: 9 * time.Second, Timeout: 25 * time.Second, Keys: 8}}
	loadOf := func(seed uint64, kinds []client.Class) *client.Load {
		return client.New(client.Config{Addr: addr, Tenants: cluster.Tenants, DataSets: 24, Seed: seed, MaxOpen: 256, Retries: 1,
			Classes: kinds}, judge)
	}
	load := loadOf(seed, kinds)
	steps, err := scenario.Parse(faults, cluster.Verbs, engines)
	if err != nil {
		return err
	}
	crowd := newCrowd(addr, seed, judge)
	working, enough := context.WithCancel(ctx)
	defer enough()
	work, working := errgroup.WithContext(working)
	work.Go(func() error { return load.Run(working) })
	work.Go(func() error { return crowd.leave(working) })
	work.Go(func() error {
		err := scenario.Play(working, steps, func(s scenario.Step) error { return all.Do(working, s) })
		if errors.Is(err, context.Canceled) {
			return nil
		}
		return err
	})
	time.Sleep(lasts) // the length of the run
	if !busy {
		enough()
		err = work.Wait()
		working, enough = context.WithCancel(ctx)
		defer enough()
		work, working = errgroup.WithContext(working)
		work.Go(func() error { return loadOf(seed+1000, kinds[:1]).Run(working) })
	}
	rest := crowd.rest(ctx, watch.shut)
	close(stop)
	time.Sleep(lastLoad) // requests come for so long after SIGTERM, by the protocol
	enough()
	err = errors.Join(err, work.Wait(), rest(), <-over)
	cancel()
	if err := errors.Join(err, ended(others.Wait())); err != nil {
		return err
	}
	return report(judge.Check(time.Now()), watch)
}

func ended(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// serve starts a broker whose deployment allows second copies and cancelling or does not.
func serve(ctx context.Context, dir string, seed uint64, changes *changelogserver.ChangeLog, copies, cancelling bool) (*service.Service, error) {
	text, err := cluster.Configuration("rare", seed, changes)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	cfg, err := config.Load(func(k string) string { return map[string]string{"RELAY_CONFIG": path, "TMPDIR": dir}[k] })
	if err != nil {
		return nil, err
	}
	limits := &cfg.Settings.Control.Limits
	limits.Hedging, limits.Cancellation = copies, cancelling
	return service.New(ctx, cfg, nil, zap.NewNop())
}

func report(v conformance.Verdict, w *watcher) error {
	tell := func(name string, n int) { fmt.Printf("%s %d requests\n", name, n) }
	tell("asked", v.Requests)
	for _, out := range []conformance.Outcome{conformance.Served, conformance.Rejected, conformance.Failed, conformance.ClientLeft, conformance.Unanswered, conformance.WrongAnswer} {
		tell(string(out), v.Outcomes[out])
	}
	tell("left_while_waiting", v.Waited)
	tell("sent_on_0.3s_after_leaving", v.SentLate)
	asked, sent := w.shuts()
	tell("asked_after_the_shutdown", asked)
	tell("sent_on_after_the_shutdown", sent)
	fmt.Printf("breaches %d\n", len(v.Breaches))
	var all []error
	for _, b := range v.Breaches {
		all = append(all, errors.New(b))
	}
	if v.Waited == 0 || asked == 0 {
		all = append(all, errors.New("no client left while its request waited, or none asked after the shutdown: nothing was judged"))
	}
	if sent > 0 {
		all = append(all, fmt.Errorf("%d requests were sent on that were asked after the shutdown", sent))
	}
	return errors.Join(all...)
}
