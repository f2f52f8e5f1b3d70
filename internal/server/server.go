// Package server runs a broker on real sockets: it turns what clients, engines, other brokers and the
// change log send into events of the reducer, and carries out the effects that the reducer returns. One
// goroutine, the loop, owns the reducer and all state of this package; each connection has one goroutine
// that reads and one that writes, and those only post functions to the loop. Every goroutine ends with its
// context.
package server

import (
	"context"
	"errors"
	"fmt"
	"net"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"wheatlane/internal/broker"
	"wheatlane/internal/config"
	"wheatlane/internal/server/clock"
	"wheatlane/internal/server/endpointwatch"
	"wheatlane/internal/server/enginepool"
	"wheatlane/internal/server/frontend"
	"wheatlane/internal/server/gossiptransport"
	"wheatlane/internal/server/handoverstore"
	"wheatlane/internal/server/netlisten"
	"wheatlane/internal/server/processpause"
)

// Server is a running broker.
type Server struct {
	log            *zap.Logger
	loop           *eventLoop
	frontend       *frontend.Frontend
	pool           *enginepool.Pool
	endpoints      *endpointwatch.Watcher
	gossip         *gossiptransport.Transport // nil: engines are not shared with other brokers
	handover       *handoverstore.Store       // nil: nothing is handed over
	maintenance    *maintenanceModes
	connections    *connectionLog
	pauses         processpause.Detector
	longestTimeout longestTimeout // of the classes ever in force
	scope          runScope
	done           chan struct{} // closed once Run returns

	// Owned by the loop.
	cfg                 config.Config
	shutdown            gracefulShutdown
	restoredMaintenance []string // engines that the previous process had in maintenance mode
}

// runScope is what goroutines of the pool belong to. It is set as Run begins.
type runScope struct {
	ctx   context.Context // of Run: connections outlive the events that need them
	group *errgroup.Group // of Run
}

// New returns a broker that already listens, so that no client is rejected while it starts. Errors name the
// setting that can't be used.
func New(ctx context.Context, cfg config.Config, log *zap.Logger) (*Server, error) {
	budget := newSocketBudget(cfg)
	poolConfig := enginePoolConfig(cfg, budget.Engines)
	settings := cfg.Settings.Control
	settings.MaxSendDelay = poolConfig.MaxSendDelay()
	reducer, err := broker.New(settings, cfg.Seed, budget.Sessions)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if log.Core().Enabled(zap.DebugLevel) {
		reducer.SetTracer(logTransitions(log))
	}
	listener, err := netlisten.TCP(ctx, netlisten.ReusePortConfig(log), cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	s := &Server{
		cfg: cfg, log: log, done: make(chan struct{}), connections: &connectionLog{log: log},
		loop: &eventLoop{
			inbox: make(chan func(), inboxCapacity), reducer: reducer, meter: nopMeter{}, log: log,
			usage: &usageLog{log: log},
		},
	}
	s.longestTimeout.raise(cfg.Settings.MaxClientTimeout)
	if cfg.Settings.Control.Limits.Gossip {
		if s.gossip, err = gossiptransport.Listen(ctx, gossiptransport.Config{
			ListenAddr: cfg.PeerListen, Brokers: cfg.Peers, Log: log,
		}); err != nil {
			_ = listener.Close() // the error that matters is the one above
			return nil, fmt.Errorf("peer_listen: %w", err)
		}
	}
	if cfg.HandoverPath != "" {
		s.handover = handoverstore.New(handoverstore.Config{Dir: cfg.HandoverPath, Broker: cfg.Name, Log: log})
		s.restoredMaintenance = s.handover.Restore(ctx)
	}
	s.maintenance = &maintenanceModes{loop: s.loop, store: s.handover, log: log}
	s.createComponents(listener, budget, poolConfig)
	return s, nil
}

// createComponents creates the parts that need the loop, and has it carry out effects by them.
func (s *Server) createComponents(listener net.Listener, budget socketBudget, poolConfig enginepool.Config) {
	clients := frontendAdapter{s.loop, s.connections}
	s.frontend = frontend.New(listener, frontend.Config{
		MaxConns: budget.Clients, MaxRejected: budget.Rejected, LastSession: broker.Session(s.cfg.Seed), Log: s.log,
		MaxClientTimeout: s.longestTimeout.load, EarliestArrival: s.pauses.EarliestArrival,
	}, clients, clients, clients)
	engines := enginePoolAdapter{s.loop, s.connections, &s.scope}
	s.pool = enginepool.New(poolConfig, engines, engines, engines)
	s.endpoints = endpointwatch.New(
		endpointwatch.Config{Addr: s.cfg.Changelog, Revision: s.cfg.Known.Revision},
		changelogAdapter{s.loop, s.connections})
	s.loop.execute = (&effectExecutor{
		frontend: s.frontend, pool: s.pool, gossip: s.gossip, usage: s.loop.usage, log: s.log,
	}).execute
}

// Addr returns where clients connect.
func (s *Server) Addr() net.Addr { return s.frontend.Addr() }

// Close closes the listener of a server that is not to run.
func (s *Server) Close() error { return s.frontend.Close() }

// Run serves until ctx ends or, after a value on stop, until the shutdown is complete. It returns nil in
// both cases.
func (s *Server) Run(ctx context.Context, stop <-chan struct{}) error {
	defer close(s.done)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	s.scope = runScope{ctx, group}
	group.Go(func() error { return s.frontend.Serve(ctx) })
	group.Go(func() error { return s.endpoints.Run(ctx) })
	if s.handover != nil {
		group.Go(func() error { return s.handover.Run(ctx, s.maintenance) })
	}
	if s.gossip != nil {
		group.Go(func() error { return s.gossip.Run(ctx, gossipAdapter{s.loop}) })
	}
	group.Go(func() error {
		defer cancel()
		return s.runLoop(ctx, stop)
	})
	err := group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Reload applies the parts of a new configuration that a running broker takes: the change log's address and
// known page, the classes and the limit of attempts. It logs the keys that differ otherwise, as they need a
// restart. The caller has checked that the configuration may replace the one in force.
func (s *Server) Reload(ctx context.Context, cfg config.Config) {
	s.endpoints.SetAddr(cfg.Changelog)
	s.loop.post(ctx, func() { s.applySettings(cfg) })
}

// applySettings does Reload's part in the loop.
func (s *Server) applySettings(cfg config.Config) {
	s.loop.apply(broker.EndpointChanges{Page: cfg.Known, WallOffset: clock.WallOffset()})
	s.loop.apply(broker.UpdateSettings{Settings: cfg.Settings.Control})
	s.cfg.Settings.Control.Classes = cfg.Settings.Control.Classes
	s.cfg.Settings.Control.Limits.MaxAttempts = cfg.Settings.Control.Limits.MaxAttempts
	s.cfg.Settings.MaxClientTimeout = cfg.Settings.MaxClientTimeout
	s.longestTimeout.raise(cfg.Settings.MaxClientTimeout)
	poolConfig := s.pool.Config()
	poolConfig.MaxClientTimeout = s.longestTimeout.load()
	s.pool.Reconfigure(poolConfig)
	s.log.Info("reloaded", zap.String("changelog", cfg.Changelog),
		zap.Strings("need_restart", s.cfg.NeedRestart(cfg)))
}
