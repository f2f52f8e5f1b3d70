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

	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"wheatlane/internal/config"
	"wheatlane/internal/operatorconfig"
	"wheatlane/internal/service"
)

// heapPart is the part of the memory limit at which the runtime collects harder; the rest is for what it
// does not count: kernel buffers, the program itself.
const heapPart = 0.6

// serves makes a command one that serves.
func serves(c *cobra.Command) {
	path := c.Flags().String("operator", "", "the operator's own file; without it WHEATLANE_OPERATOR names one, or there is none")
	c.RunE = func(*cobra.Command, []string) error {
		if *path == "" {
			*path = os.Getenv(operatorconfig.Variable)
		}
		return serve(*path)
	}
}

// newLog returns the log of a program that serves: JSON lines on standard error.
func newLog() (*zap.Logger, error) {
	logs := zap.NewProductionConfig()
	logs.Sampling = nil // every ended connection has its line
	logs.DisableCaller = true
	log, err := logs.Build()
	if err != nil {
		return nil, fmt.Errorf("log: %w", err)
	}
	return log, nil
}

// serve runs a broker until SIGTERM or SIGINT. An empty path says that there is no operator's file.
func serve(path string) error {
	// Guards against a SIGHUP that ends the program, as it does one that takes no notice of it.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	// Guards against the end of the process with that of whoever reads its log: a write to standard error that nobody reads
	// any more would end it.
	signal.Ignore(syscall.SIGPIPE)
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	var own *operatorconfig.File
	if path != "" {
		if own, err = operatorconfig.Load(path); err != nil {
			return err
		}
	}
	runtime.GOMAXPROCS(1) // the processes of a broker run on one core
	debug.SetMemoryLimit(int64(heapPart * float64(cfg.MemoryMB) * (1 << 20)))
	log, err := newLog()
	if err != nil {
		return err
	}
	defer log.Sync() //nolint:errcheck // standard error may not be one that can be synced
	log = log.With(zap.String("broker", cfg.Name))

	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	broker, err := service.New(context.Background(), cfg, own, log)
	if err != nil {
		return err
	}
	fields := []zap.Field{zap.Stringer("listen", broker.Server.Addr()), zap.Int64("seq", cfg.Known.Revision)}
	if at := broker.AdminAddr(); at != nil {
		fields = append(fields, zap.Stringer("operator", at))
	}
	log.Info("serving", fields...)
	ctx, end := context.WithCancel(context.Background())
	defer end()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return reload(ctx, hup, broker, cfg, path, log) })
	g.Go(func() error {
		defer end()
		return broker.Run(ctx, stop.Done())
	})
	if err := g.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	log.Info("stopped")
	return nil
}

// reload reads both files again at each SIGHUP. A faulty one changes nothing, and holds the other one back no more
// than itself. running is the configuration in force.
func reload(ctx context.Context, hup <-chan os.Signal, broker *service.Service, running config.Config, path string, log *zap.Logger) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-hup:
		}
		cfg, err := config.Load(os.Getenv)
		if err == nil {
			err = cfg.Replaces(running)
		}
		if err != nil {
			log.Error("not reloaded, the configuration before stays", zap.Error(err))
			broker.RejectReload(ctx)
		} else {
			broker.Reload(ctx, cfg)
			running = cfg
		}
		if path == "" {
			continue
		}
		own, err := operatorconfig.Load(path)
		if err != nil {
			log.Error("not reloaded, the operator's file before stays", zap.Error(err))
			continue
		}
		broker.ReloadOperatorConfig(ctx, own)
		log.Info("operator's file reloaded", zap.String("file", path))
	}
}
