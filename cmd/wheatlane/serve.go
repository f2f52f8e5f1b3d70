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
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/sync/errgroup"

	"wheatlane/internal/asynclog"
	"wheatlane/internal/config"
	"wheatlane/internal/operatorconfig"
	"wheatlane/internal/service"
	"wheatlane/internal/transient"
)

const (
	// heapFraction is the fraction of the memory limit from which the runtime collects harder; the rest
	// is for what it does not count: kernel buffers and the program itself.
	heapFraction = 0.6

	bytesPerMegabyte = 1 << 20
)

// serves is the annotation of the commands that serve: SIGHUP reloads their configuration and never ends them.
const serves = "serves"

// runServe makes a command serve.
func runServe(c *cobra.Command) {
	c.Annotations = map[string]string{serves: "true"}
	operatorFile := c.Flags().String("operator", "",
		"the operator's configuration; without it WHEATLANE_OPERATOR names the file, if any")
	c.RunE = func(c *cobra.Command, _ []string) error {
		if *operatorFile == "" {
			*operatorFile = os.Getenv(operatorconfig.EnvPath)
		}
		return serve(c.Context(), *operatorFile)
	}
}

// logLevelVariable names the least level of the log: debug adds a line for each transition of a request.
const logLevelVariable = "WHEATLANE_LOG_LEVEL"

// newLog returns the log of a program that serves: JSON lines on standard error, which wait for its reader on a
// goroutine of their own.
func newLog() (*zap.Logger, error) {
	cfg := zap.NewProductionConfig()
	if text := os.Getenv(logLevelVariable); text != "" {
		level, err := zap.ParseAtomicLevel(text)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", logLevelVariable, err)
		}
		cfg.Level = level
	}
	cfg.Sampling = nil // every ended connection has its line
	cfg.DisableCaller = true
	lines := zapcore.AddSync(asynclog.New(os.Stderr))
	core := zapcore.NewCore(zapcore.NewJSONEncoder(cfg.EncoderConfig), lines, cfg.Level)
	log, err := cfg.Build(zap.WrapCore(func(zapcore.Core) zapcore.Core { return core }))
	if err != nil {
		return nil, fmt.Errorf("log: %w", err)
	}
	return log, nil
}

// serve runs a broker until SIGTERM or SIGINT. operatorFile is empty if there is no operator's configuration.
func serve(ctx context.Context, operatorFile string) error {
	hangup := handleSignals()
	cfg, own, err := loadFiles(ctx, operatorFile)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1) // the processes of a broker run on one core
	debug.SetMemoryLimit(int64(heapFraction * float64(cfg.MemoryMB) * bytesPerMegabyte))
	log, err := newLog()
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }() // what nobody has read by then is lost
	log = log.With(zap.String("broker", cfg.Name))

	stop, cancelStop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer cancelStop()
	broker, err := service.New(ctx, cfg, own, log)
	if err != nil {
		return err
	}
	logServing(log, broker, cfg)
	// The broker finishes its requests after a signal, so its context is not that of the signal.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	r := reloader{broker: broker, running: cfg, operatorFile: operatorFile, log: log}
	g.Go(func() error { return r.run(ctx, hangup) })
	g.Go(func() error {
		defer cancel()
		return broker.Run(ctx, stop.Done())
	})
	if err := g.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	log.Info("stopped")
	return nil
}

// handleSignals keeps SIGHUP and SIGPIPE from ending the process, and returns the SIGHUPs. SIGPIPE arises
// once nobody reads the log on standard error any more.
func handleSignals() <-chan os.Signal {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	return hangup
}

// loadFiles loads the platform's configuration, and the operator's unless its path is empty.
func loadFiles(ctx context.Context, operatorFile string) (config.Config, *operatorconfig.File, error) {
	cfg, err := loadPlatformConfig(ctx)
	if err != nil || operatorFile == "" {
		return cfg, nil, err
	}
	own, err := loadOperatorConfig(ctx, operatorFile)
	return cfg, own, err
}

// loadWithin bounds the tries to read a file that the system fails to open or read for a moment. A file that is not
// read at SIGHUP would leave the broker at an address where no change log is any more.
const loadWithin = 3 * time.Second

func loadPlatformConfig(ctx context.Context) (cfg config.Config, err error) {
	err = transient.Retry(ctx, loadWithin, transient.IsFileError, func() (err error) {
		cfg, err = config.Load(os.Getenv)
		return err
	})
	return cfg, err
}

func loadOperatorConfig(ctx context.Context, path string) (own *operatorconfig.File, err error) {
	err = transient.Retry(ctx, loadWithin, transient.IsFileError, func() (err error) {
		own, err = operatorconfig.Load(path)
		return err
	})
	return own, err
}

func logServing(log *zap.Logger, broker *service.Service, cfg config.Config) {
	fields := []zap.Field{
		zap.Stringer("listen", broker.Server.Addr()),
		zap.Int64("seq", cfg.InitialEndpoints.Revision),
	}
	if address := broker.AdminAddr(); address != nil {
		fields = append(fields, zap.Stringer("operator", address))
	}
	log.Info("serving", fields...)
}

// reloader loads both files again at each SIGHUP. An invalid one is ignored, and does not keep the other one
// from being reloaded.
type reloader struct {
	broker       *service.Service
	running      config.Config // the platform's configuration that is in use
	operatorFile string        // empty: there is none
	log          *zap.Logger
}

func (r *reloader) run(ctx context.Context, hangup <-chan os.Signal) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-hangup:
		}
		r.reloadPlatformConfig(ctx)
		if r.operatorFile != "" {
			r.reloadOperatorConfig(ctx)
		}
	}
}

func (r *reloader) reloadPlatformConfig(ctx context.Context) {
	cfg, err := loadPlatformConfig(ctx)
	if err == nil {
		err = cfg.ValidateReload(r.running)
	}
	if err != nil {
		r.log.Error("not reloaded, the configuration before stays", zap.Error(err))
		r.broker.CountRejectedReload(ctx)
		return
	}
	r.broker.Reload(ctx, cfg)
	r.running = cfg
}

func (r *reloader) reloadOperatorConfig(ctx context.Context) {
	own, err := loadOperatorConfig(ctx, r.operatorFile)
	if err != nil {
		r.log.Error("not reloaded, the operator's file before stays", zap.Error(err))
		return
	}
	r.broker.ReloadOperatorConfig(ctx, own)
	r.log.Info("operator's file reloaded", zap.String("file", r.operatorFile))
}
