// Command wheatlane is a broker: it takes queries from clients, lets the decision module choose when and on
// which engine each runs, and answers.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"wheatlane/internal/config"
	"wheatlane/internal/node"
)

// heapPart is the part of the memory limit at which the runtime collects harder; the rest is for what it
// does not count: kernel buffers, the program itself.
const heapPart = 0.6

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "wheatlane:", err)
		os.Exit(1)
	}
}

func run() error {
	// Guards against a SIGHUP that ends the program, as it does one that takes no notice of it.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1) // the processes of a broker run on one core
	debug.SetMemoryLimit(int64(heapPart * float64(cfg.MemoryMB) * (1 << 20)))

	logs := zap.NewProductionConfig()
	logs.Sampling = nil // every ended connection has its line
	logs.DisableCaller = true
	log, err := logs.Build()
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	defer log.Sync() //nolint:errcheck // standard error may not be one that can be synced
	log = log.With(zap.String("broker", cfg.Name))

	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	n, err := node.New(context.Background(), cfg, log)
	if err != nil {
		return err
	}
	log.Info("serving", zap.Stringer("listen", n.Addr()), zap.Int64("seq", cfg.Known.Seq))
	ctx, end := context.WithCancel(context.Background())
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return reload(ctx, hup, n, log) })
	g.Go(func() error {
		defer end()
		return n.Run(ctx, stop.Done())
	})
	if err := g.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	log.Info("stopped")
	return nil
}

// reload reads the configuration again at each SIGHUP. A faulty one changes nothing.
func reload(ctx context.Context, hup <-chan os.Signal, n *node.Node, log *zap.Logger) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-hup:
		}
		cfg, err := config.Load(os.Getenv)
		if err != nil {
			log.Error("not reloaded, the configuration before stays", zap.Error(err))
			continue
		}
		n.Reload(ctx, cfg)
	}
}
