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
	"sync/atomic"
	"time"

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
	"wheatlane/internal/server/netconn"
	"wheatlane/internal/server/netlisten"
	"wheatlane/internal/server/standstill"
	"wheatlane/internal/usage"
)

// inboxSize is how many functions may wait for the loop. Readers wait while it is full.
const inboxSize = 256

// Server is a running broker.
type Server struct {
	cfg       config.Config
	log       *zap.Logger
	ctx       context.Context // of Run
	group     *errgroup.Group // of Run
	inbox     chan func()     // functions to call in the loop
	done      chan struct{}   // closed once Run returns
	frontend  *frontend.Frontend
	endpoints *endpointwatch.Watcher
	gossip    *gossiptransport.Transport // nil: engines are not shared with other brokers
	handover  *handoverstore.Store       // nil: nothing is handed over

	standstills standstill.Detector

	// Owned by the loop.
	reducer             *broker.Broker
	meter               Meter
	pendingEvents       []broker.Event // events that effects gave
	pool                *enginepool.Pool
	shutdown            shutdownState
	usage               usage.Counters // what was spent since the start, the counts of the pool and of polls as of the last log line
	loggedUsage         usage.Counters // costs at the last log line
	usageLoggedAt       time.Time
	restoredMaintenance []string // engines that the previous process had in maintenance mode

	// Used by several goroutines.
	maxClientTimeoutNS atomic.Int64 // the longest client timeout of all classes ever in force
	endCounts          netconn.EndCounts
}

// New returns a broker that already listens, so that no client is rejected while it starts. Errors name the
// setting that can't be used.
func New(ctx context.Context, cfg config.Config, log *zap.Logger) (*Server, error) {
	budget := newSocketBudget(cfg)
	settings := cfg.Settings.Control
	poolConfig := enginePoolConfig(cfg, budget.Engines)
	settings.MaxSendDelay = poolConfig.MaxSendDelay()
	reducer, err := broker.New(settings, cfg.Seed, budget.Sessions)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	listener, err := netlisten.TCP(ctx, netlisten.Shared(log), cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	s := &Server{
		cfg: cfg, log: log, reducer: reducer, meter: nopMeter{},
		inbox: make(chan func(), inboxSize),
		done:  make(chan struct{}),
	}
	s.maxClientTimeoutNS.Store(int64(cfg.Settings.MaxClientTimeout))
	host := engineHost{s}
	s.pool = enginepool.New(poolConfig, host, host, host)
	s.frontend = frontend.New(listener, frontend.Config{
		MaxConns: budget.Clients, MaxRejected: budget.Rejected, LastSession: broker.Session(cfg.Seed), Log: log,
		MaxClientTimeout: s.maxClientTimeout, EarliestArrival: s.standstills.EarliestArrival,
	}, frontendHost{s}, frontendHost{s}, frontendHost{s})
	s.endpoints = endpointwatch.New(
		endpointwatch.Config{Addr: cfg.Changelog, Revision: cfg.Known.Revision}, changelogHost{s})
	if log.Core().Enabled(zap.DebugLevel) {
		reducer.SetTracer(s.logTransition)
	}
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
	return s, nil
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
	s.group, ctx = errgroup.WithContext(ctx)
	s.ctx = ctx
	s.group.Go(func() error { return s.frontend.Serve(ctx) })
	s.group.Go(func() error { return s.endpoints.Run(ctx) })
	if s.handover != nil {
		s.group.Go(func() error { return s.handover.Run(ctx, handoverHost{s}) })
	}
	if s.gossip != nil {
		s.group.Go(func() error { return s.gossip.Run(ctx, gossipHost{s}) })
	}
	s.group.Go(func() error {
		defer cancel()
		return s.loop(ctx, stop)
	})
	err := s.group.Wait()
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
	s.post(ctx, func() { s.applySettings(cfg) })
}

// applySettings does Reload's part in the loop.
func (s *Server) applySettings(cfg config.Config) {
	s.apply(broker.EndpointChanges{Page: cfg.Known, WallOffset: clock.WallOffset()})
	s.apply(broker.UpdateSettings{Settings: cfg.Settings.Control})
	s.cfg.Settings.Control.Classes = cfg.Settings.Control.Classes
	s.cfg.Settings.Control.Limits.MaxAttempts = cfg.Settings.Control.Limits.MaxAttempts
	s.cfg.Settings.MaxClientTimeout = cfg.Settings.MaxClientTimeout
	s.maxClientTimeoutNS.Store(max(s.maxClientTimeoutNS.Load(), int64(cfg.Settings.MaxClientTimeout)))
	poolConfig := s.pool.Config()
	poolConfig.MaxClientTimeout = s.maxClientTimeout()
	s.pool.Reconfigure(poolConfig)
	s.log.Info("reloaded", zap.String("changelog", cfg.Changelog),
		zap.Strings("need_restart", s.cfg.NeedRestart(cfg)))
}

// maxClientTimeout returns the longest client timeout that a request can have. It may be called on any
// goroutine.
func (s *Server) maxClientTimeout() time.Duration { return time.Duration(s.maxClientTimeoutNS.Load()) }

// post hands f to the loop and reports whether it was taken. It waits while the inbox is full, or until ctx
// ends.
func (s *Server) post(ctx context.Context, f func()) bool {
	select {
	case s.inbox <- f:
		return true
	case <-ctx.Done():
		return false
	}
}

// connectionEnded counts a connection that ended and writes its log line.
func (s *Server) connectionEnded(side netconn.Side, peer string, openedAt time.Time, err error) {
	reason := netconn.ReasonOf(err)
	s.endCounts.Add(side, reason)
	fields := []zap.Field{
		zap.String("side", string(side)), zap.String("peer", peer), zap.String("reason", string(reason)),
		zap.Duration("lasted", time.Since(openedAt)),
	}
	if reason == netconn.OtherError || reason == netconn.Malformed || reason == netconn.HTTPStatus || reason == netconn.ConnectFailed {
		fields = append(fields, zap.Error(err))
	}
	s.log.Info("connection ended", fields...)
}
