// Package server runs a broker on real sockets. It turns messages from clients, engines, other brokers and the change
// log into events for the reducer, and performs the effects that the reducer returns. One goroutine, the loop, owns the
// reducer and all state of this package. Each connection has a reader and a writer goroutine, which only post functions
// to the loop. Every goroutine ends with its context.
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
	"wheatlane/internal/processmemory"
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
	gossip         *gossiptransport.Transport // nil if gossip is disabled
	handover       *handoverstore.Store       // nil if there is no hand-over directory
	maintenance    *maintenanceModes
	connections    *connectionLog
	memory         *memoryMonitor
	kills          *peerKills
	pauses         processpause.Detector
	longestTimeout longestTimeout // of all classes since the start
	scope          runScope
	done           chan struct{} // closed once Run returns

	// The loop owns the fields below.
	cfg                 config.Config
	shutdown            gracefulShutdown
	restoredMaintenance []string // engines in maintenance mode in the previous process
}

// runScope holds the context and the group of the engine pool's goroutines. It is set when Run begins.
type runScope struct {
	ctx   context.Context // Run's, as connections outlive the events that open them
	group *errgroup.Group // Run's
}

// New returns a broker that already listens, so that clients are not refused while it starts. The caller must call Run
// or Close. Errors name the invalid setting.
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
	reducer.SetRequestIDs(requestIDs{table: openRequestIDs(cfg, log), timeout: s.longestTimeout.load, log: log})
	if cfg.Settings.Control.Limits.Gossip {
		if s.gossip, err = gossiptransport.Listen(ctx, gossiptransport.Config{
			ListenAddr: cfg.PeerListen, Brokers: cfg.Peers, Log: log,
		}); err != nil {
			_ = listener.Close() // the error of Listen is returned
			return nil, fmt.Errorf("peer_listen: %w", err)
		}
	}
	if cfg.HandoverPath != "" {
		s.handover = handoverstore.New(handoverstore.Config{Dir: cfg.HandoverPath, Broker: cfg.Name, Log: log})
		s.restoredMaintenance = s.handover.Restore(ctx)
	}
	s.kills = &peerKills{processes: openProcesses(cfg, log), loop: s.loop, log: log}
	reducer.SetPeerProcesses(s.kills)
	s.maintenance = &maintenanceModes{loop: s.loop, store: s.handover, log: log}
	s.createComponents(listener, budget, poolConfig)
	return s, nil
}

// createComponents creates the components that need the loop and sets the executor of its effects.
func (s *Server) createComponents(listener net.Listener, budget socketBudget, poolConfig enginepool.Config) {
	shares := MemoryShares(s.cfg, 0)
	s.loop.afterEndpoints = (&memoryDivider{
		cfg: s.cfg, maxSessions: budget.Sessions, loop: s.loop, limitFrontend: func(input, output int) {
			s.frontend.LimitMemory(input, output)
		},
	}).divide
	clients := frontendAdapter{s.loop, s.connections}
	s.frontend = frontend.New(listener, frontend.Config{
		MaxConns: budget.Clients, MaxRejected: budget.Rejected, NextSession: s.nextSession, Log: s.log,
		InputBytes: shares.InputBytes, OutputBytes: shares.OutputBytes,
		MaxClientTimeout: s.longestTimeout.load, EarliestArrival: s.pauses.EarliestArrival,
	}, clients, clients, clients)
	s.loop.reducer.SetSessionInput(s.frontend)
	s.memory = &memoryMonitor{
		meter: processmemory.NewMeter(), loop: s.loop, frontend: s.frontend, log: s.log,
	}
	engines := enginePoolAdapter{s.loop, s.connections, &s.scope}
	s.pool = enginepool.New(poolConfig, engines, engines, engines)
	s.endpoints = endpointwatch.New(
		endpointwatch.Config{
			Addr: s.cfg.Changelog, Revision: s.cfg.InitialEndpoints.Revision, MaxListBytes: shares.ListBytes,
		},
		changelogAdapter{s.loop, s.connections})
	s.loop.execute = (&effectExecutor{
		frontend: s.frontend, pool: s.pool, gossip: s.gossip, usage: s.loop.usage, log: s.log,
	}).execute
}

// nextSession returns a session id that no process of this broker has. Ids start after the seed.
func (s *Server) nextSession() broker.Session {
	return broker.Session(s.kills.processes.NextSession(uint32(s.cfg.Seed)))
}

// Addr returns the address that clients connect to.
func (s *Server) Addr() net.Addr { return s.frontend.Addr() }

// Close closes the listener. Call it only if Run is not called.
func (s *Server) Close() error { return s.frontend.Close() }

// Run serves until ctx ends or until the graceful shutdown that a receive from stop begins is complete. It returns nil
// in both cases. It must be called at most once.
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

// Reload applies the settings that a running broker can change: the change log's address and known page, the classes
// and the maximum number of attempts. It logs the other keys that differ, as they need a restart. The caller must have
// validated that cfg may replace the current configuration.
func (s *Server) Reload(ctx context.Context, cfg config.Config) {
	s.endpoints.SetAddr(cfg.Changelog)
	s.loop.post(ctx, func() { s.applySettings(cfg) })
}

// applySettings applies the reloaded settings. It must be called in the loop.
func (s *Server) applySettings(cfg config.Config) {
	s.loop.apply(broker.EndpointChanges{Page: cfg.InitialEndpoints, WallOffset: clock.WallOffset()})
	s.loop.apply(broker.UpdateSettings{Settings: cfg.Settings.Control})
	s.cfg.Settings.Control.Classes = cfg.Settings.Control.Classes
	s.cfg.Settings.Control.Limits.MaxAttempts = cfg.Settings.Control.Limits.MaxAttempts
	s.cfg.Settings.MaxClientTimeout = cfg.Settings.MaxClientTimeout
	s.longestTimeout.raise(cfg.Settings.MaxClientTimeout)
	poolConfig := s.pool.Config()
	poolConfig.MaxClientTimeout = s.longestTimeout.load()
	s.pool.Reconfigure(poolConfig)
	s.log.Info("reloaded", zap.String("changelog", cfg.Changelog),
		zap.Strings("need_restart", s.cfg.KeysRequiringRestart(cfg)))
}
