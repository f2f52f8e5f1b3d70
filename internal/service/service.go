// Package service assembles a broker from its components: the server for clients, the admin endpoint and, if an
// operator's configuration enables it, telemetry.
package service

import (
	"context"
	"errors"
	"fmt"
	"net"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"wheatlane/internal/adminapi"
	"wheatlane/internal/broker"
	"wheatlane/internal/config"
	"wheatlane/internal/operatorconfig"
	"wheatlane/internal/server"
	"wheatlane/internal/server/netlisten"
	"wheatlane/internal/server/processstate"
	"wheatlane/internal/telemetry"
)

// Service is a broker whose listeners are open. Run serves until it ends, and closes them.
type Service struct {
	Server              *server.Server
	reporter            *telemetry.Reporter  // nil: neither an operator's configuration nor an admin endpoint
	recorder            *telemetry.Recorder  // nil if reporter is
	operatorConfig      *operatorconfig.File // nil: none
	adminListener       net.Listener         // nil: no admin endpoint
	maxAdminConnections int                  // served concurrently
	log                 *zap.Logger
}

// New opens the listeners of a broker. operatorConfig is the operator's configuration, or nil.
func New(
	ctx context.Context, cfg config.Config, operatorConfig *operatorconfig.File, log *zap.Logger,
) (*Service, error) {
	srv, err := server.New(ctx, cfg, log)
	if err != nil {
		return nil, err
	}
	service := &Service{
		Server: srv, operatorConfig: operatorConfig, log: log,
		maxAdminConnections: server.MaxAdminConnections(cfg),
	}
	if operatorConfig != nil || cfg.AdminListen != "" {
		limits := (&operatorconfig.File{}).Cardinality()
		if operatorConfig != nil {
			limits = operatorConfig.Cardinality()
		}
		service.reporter, service.recorder = telemetry.New(cfg.Name, limits, srv, telemetry.SystemClock(), cfg.Seed, log)
		srv.SetMeter(service.recorder)
	}
	if cfg.AdminListen != "" {
		service.adminListener, err = netlisten.TCP(ctx, net.ListenConfig{}, cfg.AdminListen)
		if err != nil {
			return nil, errors.Join(fmt.Errorf("operator: %w", err), srv.Close())
		}
	}
	return service, nil
}

// AdminAddr returns the address of the admin endpoint, or nil if there is none.
func (s *Service) AdminAddr() net.Addr {
	if s.adminListener == nil {
		return nil
	}
	return s.adminListener.Addr()
}

// Run serves until ctx ends or, once stop is closed, until all accepted requests are answered and the last metrics
// are sent. The admin endpoint answers until the server has finished.
func (s *Service) Run(ctx context.Context, stop <-chan struct{}) error {
	group, ctx := errgroup.WithContext(ctx)
	finished := make(chan struct{}) // closed when the server has finished
	adminCtx, endAdmin := context.WithCancel(ctx)
	defer endAdmin()
	group.Go(func() error {
		defer close(finished)
		defer endAdmin()
		return s.Server.Run(ctx, stop)
	})
	if s.operatorConfig != nil {
		group.Go(func() error { return s.reporter.Run(ctx, s.operatorConfig.Telemetry, stop, finished) })
	}
	if s.adminListener != nil {
		admin := &adminapi.Server{Broker: adminCalls{s}, Log: s.log, MaxConnections: s.maxAdminConnections}
		group.Go(func() error { return admin.Serve(adminCtx, s.adminListener) })
	}
	return group.Wait()
}

// Reload applies a new configuration and counts the reload.
func (s *Service) Reload(ctx context.Context, cfg config.Config) {
	s.Server.Reload(ctx, cfg)
	s.countReload(ctx, true)
}

// CountRejectedReload counts a configuration file that was rejected at a reload.
func (s *Service) CountRejectedReload(ctx context.Context) { s.countReload(ctx, false) }

// countReload counts a configuration file that was read at a reload, if there are metrics.
func (s *Service) countReload(ctx context.Context, accepted bool) {
	if s.recorder != nil {
		s.Server.Inspect(ctx, func(*broker.Broker, processstate.State) { s.recorder.Reloaded(accepted) })
	}
}

// ReloadOperatorConfig applies a new operator's configuration. It has no effect if the service was started without
// one.
func (s *Service) ReloadOperatorConfig(ctx context.Context, next *operatorconfig.File) {
	if s.operatorConfig != nil {
		s.reporter.Reload(ctx, next.Telemetry)
	}
}
