// Package node is the broker on real sockets: it turns what clients, engines and the change log send into
// events for the reducer and carries out the effects that come back. One goroutine owns the reducer and all
// that this package remembers; each connection has one that reads and one that writes, and those only post
// to it. Every goroutine ends with its context.
package server

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"wheatlane/internal/broker"
	"wheatlane/internal/config"
	"wheatlane/internal/usage"
)

const (
	inboxSize           = 256                    // what may wait for the reducer; more makes readers wait
	maxInboxBatch       = 512                    // things taken from the inbox before a round
	maxSweepInterval    = time.Second            // idle connections are looked for so often, or more where engines close them soon
	usageLogInterval    = 5 * time.Second        // the log line of what the broker cost is written so often
	stopWindow          = time.Second            // requests go on coming after SIGTERM; the protocol says up to 0.4 s
	stopCap             = 3 * time.Second        // protocol: longer deadlines count as this until SIGKILL
	stopExtra           = 700 * time.Millisecond // protocol: and so much more
	stopMargin          = 250 * time.Millisecond // ours: what is left is answered so long before SIGKILL
	flushWait           = 200 * time.Millisecond // last answers get so long to leave, which ends ahead of SIGKILL
	doorWait            = 20 * time.Millisecond  // what has come to the sockets is taken from them within it
	maxLoopInterval     = 20 * time.Millisecond  // the reducer's goroutine wakes at least so often, to notice a standstill
	standstillThreshold = 25 * time.Millisecond  // waking so late means that the whole process stood still
	catchUpDuration     = 5 * time.Millisecond   // what came meanwhile is read for so long before anything is judged
)

// Server is a running broker.
type Server struct {
	cfg   config.Config
	log   *zap.Logger
	b     *broker.Broker
	inbox chan func()
	ctx   context.Context // of Run
	group *errgroup.Group
	ln    net.Listener

	pendingEvents []broker.Event // events that effects gave
	clients       map[broker.Session]*client
	lastSession   broker.Session
	clientSlots   chan struct{} // one is taken for each client's socket
	pool          enginePool
	gossip        *gossipTransport // nil: brokers tell one another nothing
	sweptAt       time.Time
	sweepInterval time.Duration
	parting       shutdownState
	replyBuffer   []byte
	meter         Meter
	costs         usage.Counters // what was spent, on the goroutine of the reducer; Polls is in polls
	loggedUsage   usage.Counters // as it stood at the last line costs
	usageLoggedAt time.Time
	endpointPolls atomic.Uint64 // calls to the change log, counted where they are made

	maxClientTimeoutNS  atomic.Int64 // the longest deadline of all classes ever in force, in nanoseconds
	tcpInfoRefused      atomic.Bool  // the system refused TCP_INFO once, which was logged
	ends                endCounts
	over                chan struct{} // closed once nothing of Run goes on
	restoredMaintenance []string      // bans of the process before

	mu             sync.Mutex // guards what follows
	changelogAddr  string     // address of the change log
	doors          bool       // the sockets are read out for the last time
	leaveChangelog func()     // ends what goes on at an earlier address
}

// New returns a broker that listens already, so that no client is turned away while it starts.
func New(ctx context.Context, cfg config.Config, log *zap.Logger) (*Server, error) {
	slots := cfg.Sockets - cfg.Sockets/engineSocketDivisor - ownSockets
	set := cfg.Settings.Control
	// An attempt may wait for its connection, and then behind other bytes.
	set.MaxSendDelay = cfg.Settings.ConnectTimeout + engineSendDelay(cfg.Settings.DrainGrace)
	b, err := broker.New(set, cfg.Seed, slots-slots/closingSocketDivisor)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	ln, err := (&net.ListenConfig{Control: reusePort(log)}).Listen(ctx, "tcp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	n := &Server{cfg: cfg, log: log, b: b, inbox: make(chan func(), inboxSize), ln: ln,
		clients: map[broker.Session]*client{}, lastSession: broker.Session(cfg.Seed), clientSlots: make(chan struct{}, slots),
		changelogAddr: cfg.Changelog, leaveChangelog: func() {}, meter: nopMeter{}, over: make(chan struct{}),
		sweepInterval: min(maxSweepInterval, time.Duration((1-idleCloseFraction)/2*float64(cfg.Settings.ConnIdleTimeout)))}
	n.maxClientTimeoutNS.Store(int64(cfg.Settings.MaxClientTimeout))
	n.pool = newEnginePool(n)
	if cfg.Settings.Control.Limits.Gossip {
		if n.gossip, err = newGossipTransport(ctx, n); err != nil {
			ln.Close()
			return nil, fmt.Errorf("peer_listen: %w", err)
		}
	}
	n.restoredMaintenance = n.readHandover()
	return n, nil
}

// Addr is where clients connect.
func (n *Server) Addr() net.Addr { return n.ln.Addr() }

// longestGiveUp is the longest deadline that a request can have. It is read on the goroutines of clients as well, which a
// reload must not race.
func (n *Server) longestGiveUp() time.Duration { return time.Duration(n.maxClientTimeoutNS.Load()) }

func now() time.Duration { return time.Duration(time.Now().UnixNano()) }

// Run serves until ctx ends or, after a value on stop, until all that was taken is answered.
func (n *Server) Run(ctx context.Context, stop <-chan struct{}) error {
	defer close(n.over)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n.group, ctx = errgroup.WithContext(ctx)
	n.ctx = ctx
	n.group.Go(func() error { return n.accept(ctx) })
	n.group.Go(func() error { return n.followChangelog(ctx, n.cfg.Known.Revision) })
	if n.gossip != nil {
		n.group.Go(func() error { return n.gossip.listen(ctx) })
	}
	n.group.Go(func() error {
		defer cancel()
		return n.loop(ctx, stop)
	})
	err := n.group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Reload takes over what a new configuration says of the change log, where it is and what it has told, and the
// classes and ration of attempts of its settings. All else of a running broker stays as it is; keys that differ are
// logged, as they wait for a restart. The configuration has been found to be one that may replace the one in force.
func (n *Server) Reload(ctx context.Context, cfg config.Config) {
	n.mu.Lock()
	if n.changelogAddr != cfg.Changelog {
		n.changelogAddr = cfg.Changelog
		n.leaveChangelog()
	}
	n.mu.Unlock()
	n.post(ctx, func() {
		n.apply(broker.EndpointChanges{Page: cfg.Known})
		n.apply(broker.UpdateSettings{Settings: cfg.Settings.Control})
		n.cfg.Settings.Control.Classes = cfg.Settings.Control.Classes
		n.cfg.Settings.Control.Limits.MaxAttempts = cfg.Settings.Control.Limits.MaxAttempts
		n.cfg.Settings.MaxClientTimeout = cfg.Settings.MaxClientTimeout
		n.maxClientTimeoutNS.Store(max(n.maxClientTimeoutNS.Load(), int64(cfg.Settings.MaxClientTimeout)))
		n.log.Info("reloaded", zap.String("changelog", cfg.Changelog), zap.Strings("need_restart", n.cfg.NeedRestart(cfg)))
	})
}

// post hands f to the goroutine that owns the reducer. It waits while that is behind, and tells whether f was taken.
func (n *Server) post(ctx context.Context, f func()) bool {
	select {
	case n.inbox <- f:
		return true
	case <-ctx.Done():
		return false
	}
}

// loop owns the reducer.
func (n *Server) loop(ctx context.Context, stop <-chan struct{}) error {
	defer n.ln.Close()
	n.apply(broker.EndpointChanges{Page: n.cfg.Known})
	n.apply(broker.RestoreMaintenance{Engines: n.restoredMaintenance})
	timer := time.NewTimer(0)
	defer timer.Stop()
	due := now()
	behind := false
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-stop:
			stop = nil
			n.beginShutdown()
		case f := <-n.inbox:
			n.meter.InboxLength(len(n.inbox) + 1)
			f()
			for range min(len(n.inbox), maxInboxBatch) {
				(<-n.inbox)()
			}
		case <-timer.C:
		}
		n.settle()
		// Guards against time-outs judged before the answers that came while the process stood still are read,
		// and requests of one key, written 60 ms apart at the least, taken in another order.
		t := now()
		n.meter.LoopLag(t - due)
		switch {
		case !behind && t-due > standstillThreshold:
			behind, due = true, t+catchUpDuration
			timer.Reset(catchUpDuration)
			continue
		case behind && t < due:
			continue
		}
		behind = false
		n.execute(n.b.Tick(now()))
		n.settle()
		n.pool.checkLiveness()
		n.settle()
		if time.Since(n.sweptAt) > n.sweepInterval {
			n.sweptAt = time.Now()
			n.pool.sweep()
		}
		if time.Since(n.usageLoggedAt) > usageLogInterval {
			n.logUsage()
		}
		if n.shutdownComplete() {
			n.logUsage()
			return nil
		}
		wait := maxLoopInterval
		if at, ok := n.b.NextDeadline(); ok {
			wait = min(wait, at-now())
		}
		wait = max(wait, 0)
		due = now() + wait
		timer.Reset(wait)
	}
}

func (n *Server) apply(ev broker.Event) {
	if _, ok := ev.(broker.SubmitRequest); ok {
		n.costs.Requests++
	}
	n.execute(n.b.Apply(now(), ev))
	n.settle()
}

// settle applies the events that effects gave.
func (n *Server) settle() {
	for len(n.pendingEvents) > 0 {
		ev := n.pendingEvents[0]
		n.pendingEvents = n.pendingEvents[1:]
		n.execute(n.b.Apply(now(), ev))
	}
}

// later keeps an event that came of carrying out an effect until the other effects are carried out.
func (n *Server) later(ev broker.Event) { n.pendingEvents = append(n.pendingEvents, ev) }

func (n *Server) execute(effects []broker.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case broker.Reply:
			if e.Kind == broker.ReplyRejected {
				n.costs.Rejections++
			}
			n.sendReply(e)
		case broker.AdmitSession:
			if c := n.clients[e.Session]; c != nil {
				close(c.admitted)
			}
		case broker.CloseSession:
			if c := n.clients[e.Session]; c != nil {
				c.link.closeAfterSent(&endError{Reason: closeReasons[e.Reason]})
			}
		case broker.StartAttempt:
			if e.Attempt.Number == 0 {
				n.costs.FirstAttempts++
			} else {
				n.costs.Retries++
			}
			n.pool.startAttempt(e)
		case broker.FetchPage:
			n.pool.fetchPage(e)
		case broker.CancelAttempt:
			n.pool.cancelAttempt(e.Attempt)
		case broker.WithdrawUnsent:
			n.pool.withdrawAttempt(e.Attempt)
		case broker.ReleaseAttempt:
			n.pool.releaseAttempt(e)
		case broker.SetPriority:
			n.pool.setPriority(e)
		case broker.ProbeLoad:
			n.costs.LoadProbes++
			n.pool.startProbe(e)
		case broker.SendGossip:
			n.costs.GossipSent++
			n.gossip.send(e)
		case broker.CancelUnsent:
			n.pool.startDrain(e.Engine)
			n.pool.cancelUnsent(e.Engine)
		case broker.CloseEngineConnections:
			n.pool.closeConnections(e.Engine, e.DialedBefore)
		case broker.LogLine:
			n.log.Info("note", zap.String("text", e.Text))
		}
	}
}

// ended writes the one log line of a connection.
func (n *Server) ended(side Side, peer string, began time.Time, err error) {
	reason := reasonOf(err)
	n.ends.add(side, reason)
	fields := []zap.Field{zap.String("side", string(side)), zap.String("peer", peer), zap.String("reason", string(reason)),
		zap.Duration("lasted", time.Since(began))}
	if reason == OtherError || reason == Malformed || reason == HTTPStatus || reason == ConnectFailed {
		fields = append(fields, zap.Error(err))
	}
	n.log.Info("connection ended", fields...)
}

// logUsage writes the log line costs: what the broker spent of what a fleet shares since the line before, so that a
// day can be counted across all brokers from their logs (docs/operators/fleet-at-size.md).
func (n *Server) logUsage() {
	n.usageLoggedAt = time.Now()
	n.costs.EndpointPolls = n.endpointPolls.Load()
	spent := n.costs.Since(n.loggedUsage)
	n.loggedUsage = n.costs
	if spent == (usage.Counters{}) {
		return
	}
	fields := make([]zap.Field, 0, len(usage.FieldNames))
	for _, name := range usage.FieldNames {
		count, _ := spent.Count(name)
		fields = append(fields, zap.Uint64(name, count))
	}
	n.log.Info("costs", fields...)
}
