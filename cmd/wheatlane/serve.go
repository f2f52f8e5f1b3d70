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
	"wheatlane/internal/server"
	"wheatlane/internal/service"
	"wheatlane/internal/transient"
)

// servesAnnotation marks the commands that serve: SIGHUP reloads their configuration and never ends them.
const servesAnnotation = "serves"

// makeServing makes c a command that serves.
func makeServing(c *cobra.Command) {
	c.Annotations = map[string]string{servesAnnotation: "true"}
	operatorFile := c.Flags().String("operator", "",
		"the operator's configuration; without it WHEATLANE_OPERATOR names the file, if any")
	c.RunE = func(c *cobra.Command, _ []string) error {
		if *operatorFile == "" {
			*operatorFile = os.Getenv(operatorconfig.EnvPath)
		}
		return serve(c.Context(), *operatorFile)
	}
}

// logLevelVariable is the environment variable with the minimum level of the log. The level debug adds a line for
// each state transition of a request.
const logLevelVariable = "WHEATLANE_LOG_LEVEL"

// newLog returns the log of a serving program: JSON lines on standard error. They are written by a separate goroutine,
// so that a slow reader of the log does not block the program.
func newLog() (*zap.Logger, error) {
	cfg := zap.NewProductionConfig()
	if text := os.Getenv(logLevelVariable); text != "" {
		level, err := zap.ParseAtomicLevel(text)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", logLevelVariable, err)
		}
		cfg.Level = level
	}
	cfg.Sampling = nil // no line may be dropped: each ended connection logs one
	cfg.DisableCaller = true
	lines := zapcore.AddSync(asynclog.New(os.Stderr))
	core := zapcore.NewCore(zapcore.NewJSONEncoder(cfg.EncoderConfig), lines, cfg.Level)
	log, err := cfg.Build(zap.WrapCore(func(zapcore.Core) zapcore.Core { return core }))
	if err != nil {
		return nil, fmt.Errorf("create log: %w", err)
	}
	return log, nil
}

// serve runs a broker until SIGTERM or SIGINT. operatorFile is empty if there is no operator's configuration.
func serve(ctx context.Context, operatorFile string) error {
	hangup := handleSignals()
	cfg, operatorConfig, err := loadFiles(ctx, operatorFile)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1) // all processes of a broker share one core
	debug.SetMemoryLimit(server.MemoryShares(cfg, 0).RuntimeBytes)
	log, err := newLog()
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }() // lines that can't be written are lost
	log = log.With(zap.String("broker", cfg.Name))

	stop, cancelStop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer cancelStop()
	broker, err := service.New(ctx, cfg, operatorConfig, log)
	if err != nil {
		return err
	}
	broker.Server.EnforceMemoryLimit()
	logServing(log, broker, cfg)
	// After a signal the broker finishes its requests, so the signal must not cancel its context.
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

// handleSignals prevents SIGHUP and SIGPIPE from ending the process, and returns a channel that receives SIGHUPs.
// SIGPIPE is raised when the log is written to standard error and its reader has closed the pipe.
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
	operatorConfig, err := loadOperatorConfig(ctx, operatorFile)
	return cfg, operatorConfig, err
}

// loadRetryTime bounds the retries of opening and reading a file after a transient error. Without retries, a failed
// reload at SIGHUP could leave the broker with an address that no longer has a change log.
const loadRetryTime = 3 * time.Second

func loadPlatformConfig(ctx context.Context) (cfg config.Config, err error) {
	err = transient.Retry(ctx, loadRetryTime, transient.IsFileError, func() (err error) {
		cfg, err = config.Load(os.Getenv)
		return err
	})
	return cfg, err
}

func loadOperatorConfig(ctx context.Context, path string) (operatorConfig *operatorconfig.File, err error) {
	err = transient.Retry(ctx, loadRetryTime, transient.IsFileError, func() (err error) {
		operatorConfig, err = operatorconfig.Load(path)
		return err
	})
	return operatorConfig, err
}

// logServing logs that the broker serves, with its addresses and the revision of the initial endpoint list.
func logServing(log *zap.Logger, broker *service.Service, cfg config.Config) {
	fields := []zap.Field{
		zap.Stringer("listen", broker.Server.Addr()),
		zap.Int64("seq", cfg.InitialEndpoints.Revision),
	}
	shares := server.MemoryShares(cfg, 0)
	log.Info("memory shares", zap.Int64("runtime", shares.RuntimeBytes), zap.Int("sessions", shares.Sessions),
		zap.Int("input", shares.InputBytes), zap.Int("statements", shares.StatementBytes),
		zap.Int("output", shares.OutputBytes), zap.Int("results", shares.ResultBytes), zap.Int("list", shares.ListBytes))
	if address := broker.AdminAddr(); address != nil {
		fields = append(fields, zap.Stringer("operator", address))
	}
	log.Info("serving", fields...)
}

// reloader reloads both files at each SIGHUP. An invalid file is ignored and does not prevent the reload of the other
// one.
type reloader struct {
	broker       *service.Service
	running      config.Config // the platform's configuration in use
	operatorFile string        // empty: none
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
	operatorConfig, err := loadOperatorConfig(ctx, r.operatorFile)
	if err != nil {
		r.log.Error("not reloaded, the operator's file before stays", zap.Error(err))
		return
	}
	r.broker.ReloadOperatorConfig(ctx, operatorConfig)
	r.log.Info("operator's file reloaded", zap.String("file", r.operatorFile))
}
