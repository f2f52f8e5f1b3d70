// Package service puts a broker together: the node that serves, and what reports of it where the operator's file says
// so.
package service

import (
	"context"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"wheatlane/internal/config"
	"wheatlane/internal/node"
	"wheatlane/internal/operator"
	"wheatlane/internal/telemetry"
)

// Service is a broker that listens already.
type Service struct {
	Node     *node.Node
	reporter *telemetry.Reporter // nil: there is no operator's file
	own      *operator.File
}

// New returns a service. own is the operator's file, or nil.
func New(ctx context.Context, cfg config.Config, own *operator.File, log *zap.Logger) (*Service, error) {
	n, err := node.New(ctx, cfg, log)
	if err != nil {
		return nil, err
	}
	s := &Service{Node: n, own: own}
	if own != nil {
		var rec *telemetry.Recorder
		s.reporter, rec = telemetry.New(cfg.Name, own.Names(), n, telemetry.SystemClock(), cfg.Seed, log)
		n.Measure(rec)
	}
	return s, nil
}

// Run serves until ctx ends or, after a value on stop, until all that was taken is answered and the last figures have
// left.
func (s *Service) Run(ctx context.Context, stop <-chan struct{}) error {
	g, ctx := errgroup.WithContext(ctx)
	over := make(chan struct{}) // closed when the node has finished
	g.Go(func() error {
		defer close(over)
		return s.Node.Run(ctx, stop)
	})
	if s.reporter != nil {
		g.Go(func() error { return s.reporter.Run(ctx, s.own.Telemetry, stop, over) })
	}
	return g.Wait()
}

// Reload takes over a new configuration.
func (s *Service) Reload(ctx context.Context, cfg config.Config) { s.Node.Reload(ctx, cfg) }

// ReloadOwn takes over a new operator's file. One that was started without any goes on without.
func (s *Service) ReloadOwn(ctx context.Context, own *operator.File) {
	if s.reporter != nil {
		s.reporter.Reload(ctx, own.Telemetry)
	}
}
