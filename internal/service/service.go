// Package service puts a broker together: the node that serves, the second address where on-call staff call, and
// what reports of it where the operator's file says so.
package service

import (
	"context"
	"fmt"
	"net"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"wheatlane/internal/adminapi"
	"wheatlane/internal/broker"
	"wheatlane/internal/config"
	"wheatlane/internal/operatorconfig"
	"wheatlane/internal/server"
	"wheatlane/internal/telemetry"
)

// Service is a broker that listens already.
type Service struct {
	Server   *server.Server
	reporter *telemetry.Reporter // nil: there is no operator's file
	recorder *telemetry.Recorder // nil: neither an operator's file nor a second address
	own      *operatorconfig.File
	desk     net.Listener // the second address; nil: none
	log      *zap.Logger
}

// New returns a service. own is the operator's file, or nil.
func New(ctx context.Context, cfg config.Config, own *operatorconfig.File, log *zap.Logger) (*Service, error) {
	n, err := server.New(ctx, cfg, log)
	if err != nil {
		return nil, err
	}
	s := &Service{Server: n, own: own, log: log}
	if own != nil || cfg.AdminListen != "" {
		names := (&operatorconfig.File{}).Cardinality()
		if own != nil {
			names = own.Cardinality()
		}
		s.reporter, s.recorder = telemetry.New(cfg.Name, names, n, telemetry.SystemClock(), cfg.Seed, log)
		n.SetMeter(s.recorder)
	}
	if cfg.AdminListen != "" {
		if s.desk, err = (&net.ListenConfig{}).Listen(ctx, "tcp", cfg.AdminListen); err != nil {
			n.Close()
			return nil, fmt.Errorf("operator: %w", err)
		}
	}
	return s, nil
}

// AdminAddr is the second address, or nil.
func (s *Service) AdminAddr() net.Addr {
	if s.desk == nil {
		return nil
	}
	return s.desk.Addr()
}

// Run serves until ctx ends or, after a value on stop, until all that was taken is answered and the last figures have
// left. The second address answers until the end.
func (s *Service) Run(ctx context.Context, stop <-chan struct{}) error {
	g, ctx := errgroup.WithContext(ctx)
	over := make(chan struct{}) // closed when the node has finished
	desk, end := context.WithCancel(ctx)
	defer end()
	g.Go(func() error {
		defer close(over)
		defer end()
		return s.Server.Run(ctx, stop)
	})
	if s.own != nil {
		g.Go(func() error { return s.reporter.Run(ctx, s.own.Telemetry, stop, over) })
	}
	if s.desk != nil {
		srv := &adminapi.Server{Broker: calls{s}, Log: s.log}
		g.Go(func() error { return srv.Serve(desk, s.desk) })
	}
	return g.Wait()
}

// Reload takes over a new configuration.
func (s *Service) Reload(ctx context.Context, cfg config.Config) {
	s.Server.Reload(ctx, cfg)
	s.reloaded(ctx, true)
}

// RejectReload counts a configuration file that was turned down at SIGHUP.
func (s *Service) RejectReload(ctx context.Context) { s.reloaded(ctx, false) }

func (s *Service) reloaded(ctx context.Context, taken bool) {
	if s.recorder != nil {
		s.Server.Inspect(ctx, func(*broker.Broker, server.ConnectionCounts) { s.recorder.Reloaded(taken) })
	}
}

// ReloadOperatorConfig takes over a new operator's file. One that was started without any goes on without.
func (s *Service) ReloadOperatorConfig(ctx context.Context, own *operatorconfig.File) {
	if s.own != nil {
		s.reporter.Reload(ctx, own.Telemetry)
	}
}

// calls carries out what is called at the second address.
type calls struct{ s *Service }

func (c calls) Ready(ctx context.Context) (ready bool, err error) {
	if !c.s.Server.Inspect(ctx, func(b *broker.Broker, _ server.ConnectionCounts) { ready = b.Ready() }) {
		return false, adminapi.ErrBusy
	}
	return ready, nil
}

func (c calls) Vars(ctx context.Context, to []byte) (out []byte, err error) {
	if !c.s.Server.Inspect(ctx, func(b *broker.Broker, _ server.ConnectionCounts) { out = c.s.recorder.RelayFigures(to, b) }) {
		return nil, adminapi.ErrBusy
	}
	return out, nil
}

func (c calls) StartMaintenance(ctx context.Context, id string) error { return c.ban(ctx, id, true) }

func (c calls) EndMaintenance(ctx context.Context, id string) error { return c.ban(ctx, id, false) }

func (c calls) ban(ctx context.Context, id string, down bool) error {
	listed, done := c.s.Server.SetMaintenance(ctx, id, down)
	switch {
	case !done:
		return adminapi.ErrBusy
	case !listed:
		return adminapi.ErrNotListed
	}
	return nil
}
