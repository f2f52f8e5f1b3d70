package server

import (
	"context"
	"time"

	"go.uber.org/zap"

	"wheatlane/internal/broker"
	"wheatlane/internal/config"
	"wheatlane/internal/invariant"
	"wheatlane/internal/server/enginepool"
	"wheatlane/internal/server/netconn"
)

// enginePoolConfig returns what the pool of connections to engines takes of the configuration.
func enginePoolConfig(cfg config.Config, maxConns int) enginepool.Config {
	limits := &cfg.Settings.Control.Limits
	return enginepool.Config{
		MaxConns:         maxConns,
		MaxStreams:       cfg.Settings.MaxStreams,
		ConnectTimeout:   cfg.Settings.ConnectTimeout,
		IdleTimeout:      cfg.Settings.ConnIdleTimeout,
		SweepInterval:    enginepool.SweepInterval(cfg.Settings.ConnIdleTimeout),
		DrainGrace:       cfg.Settings.DrainGrace,
		SilenceThreshold: enginepool.SilenceThreshold,
		MaxClientTimeout: cfg.Settings.MaxClientTimeout,
		LoadProbes:       limits.LoadProbes,
		Hedging:          limits.Hedging,
		LoadReport:       cfg.Settings.LoadReport,
	}
}

// engineHost runs the pool of connections to engines in the loop of a server.
type engineHost struct{ server *Server }

// Post implements enginepool.Loop.
func (h engineHost) Post(f func()) { h.server.post(h.server.ctx, f) }

// Start implements enginepool.Loop.
func (h engineHost) Start(run func(ctx context.Context)) context.CancelCauseFunc {
	ctx, cancel := context.WithCancelCause(h.server.ctx)
	h.server.group.Go(func() error {
		defer cancel(nil)
		run(ctx)
		return nil
	})
	return cancel
}

// Apply implements enginepool.EventSink.
func (h engineHost) Apply(event broker.Event) { h.server.apply(event) }

// Enqueue implements enginepool.EventSink.
func (h engineHost) Enqueue(event broker.Event) { h.server.enqueue(event) }

// DuplicateResponse implements enginepool.Observer.
func (h engineHost) DuplicateResponse(engine string) { h.server.meter.DuplicateResponse(engine) }

// DrainStarted implements enginepool.Observer.
func (h engineHost) DrainStarted() { h.server.meter.DrainStarted() }

// DrainCompleted implements enginepool.Observer.
func (h engineHost) DrainCompleted(took time.Duration) { h.server.meter.DrainCompleted(took) }

// LateWrite implements enginepool.Observer.
func (h engineHost) LateWrite(engine string) {
	h.server.violated(invariant.TimeoutWithinClient, zap.String("engine", engine))
}

// ConnectionEnded implements enginepool.Observer.
func (h engineHost) ConnectionEnded(addr string, openedAt time.Time, err error) {
	h.server.connectionEnded(netconn.EngineSide, addr, openedAt, err)
}
