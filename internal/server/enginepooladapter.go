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

// enginePoolConfig derives the configuration of the engine pool from the broker's.
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

// enginePoolAdapter connects the engine pool to the event loop. Post, Start and ConnectionEnded are safe for concurrent
// use; the other methods must be called in the loop.
type enginePoolAdapter struct {
	loop        *eventLoop
	connections *connectionLog
	scope       *runScope
}

// Post implements enginepool.Loop.
func (h enginePoolAdapter) Post(f func()) { h.loop.post(h.scope.ctx, f) }

// Start implements enginepool.Loop.
func (h enginePoolAdapter) Start(run func(ctx context.Context)) context.CancelCauseFunc {
	ctx, cancel := context.WithCancelCause(h.scope.ctx)
	h.scope.group.Go(func() error {
		defer cancel(nil)
		run(ctx)
		return nil
	})
	return cancel
}

// Apply implements enginepool.EventSink.
func (h enginePoolAdapter) Apply(event broker.Event) { h.loop.apply(event) }

// Enqueue implements enginepool.EventSink.
func (h enginePoolAdapter) Enqueue(event broker.Event) { h.loop.enqueue(event) }

// DuplicateResponse implements enginepool.Observer.
func (h enginePoolAdapter) DuplicateResponse(engine string) { h.loop.meter.DuplicateResponse(engine) }

// DrainStarted implements enginepool.Observer.
func (h enginePoolAdapter) DrainStarted() { h.loop.meter.DrainStarted() }

// DrainCompleted implements enginepool.Observer.
func (h enginePoolAdapter) DrainCompleted(took time.Duration) { h.loop.meter.DrainCompleted(took) }

// LateWrite implements enginepool.Observer.
func (h enginePoolAdapter) LateWrite(engine string) {
	h.loop.reportViolation(invariant.TimeoutWithinClient, zap.String("engine", engine))
}

// ConnectionEnded implements enginepool.Observer.
func (h enginePoolAdapter) ConnectionEnded(addr string, openedAt time.Time, err error) {
	h.connections.recordEnd(netconn.EngineSide, addr, openedAt, err)
}
