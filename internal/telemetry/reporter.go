package telemetry

import (
	"context"
	"reflect"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"wheatlane/internal/broker"
	"wheatlane/internal/collectd"
	"wheatlane/internal/delivery"
	"wheatlane/internal/graphite"
	"wheatlane/internal/metrics"
	"wheatlane/internal/operatorconfig"
	"wheatlane/internal/server"
)

// Inspector lets a function look at the reducer and the sockets on the goroutine that owns them; see node.Node.Look.
type Inspector interface {
	Inspect(ctx context.Context, f func(*broker.Broker, server.ConnectionCounts)) bool
}

// Clock tells the time by the wall and by a clock that is never set, and when intervals end.
type Clock struct {
	Wall      func() time.Duration // since 1970
	Monotonic func() time.Duration
	Tick      func(every time.Duration) (c <-chan time.Time, reset func(every time.Duration), stop func())
}

// SystemClock is the system's.
func SystemClock() Clock {
	start := time.Now()
	return Clock{
		// Guards against Go's own correction: without its reading of the monotonic clock, a time is that of the wall.
		Wall:      func() time.Duration { return time.Duration(time.Now().Round(0).UnixNano()) },
		Monotonic: func() time.Duration { return time.Since(start) },
		Tick: func(every time.Duration) (<-chan time.Time, func(time.Duration), func()) {
			t := time.NewTicker(every)
			return t.C, t.Reset, t.Stop
		},
	}
}

// Reporter cuts off intervals and brings them to destinations.
type Reporter struct {
	broker      string
	clock       Clock
	recorder    *Recorder
	inspector   Inspector
	log         *zap.Logger
	seed        uint64
	names       operatorconfig.CardinalityLimits
	reloads     chan *operatorconfig.Telemetry
	stopTimeout time.Duration // how long a destination that ends may take to write what is left

	destinations map[string]*destination
	group        *errgroup.Group
}

// Limits are those of the names that have series of their own.
func Limits(n operatorconfig.CardinalityLimits) metrics.Limits {
	return metrics.Limits{Classes: n.Classes, Tenants: n.Tenants, Engines: n.Engines, DataSets: n.DataSets,
		Idle: time.Duration(n.IdleS) * time.Second}
}

// New returns a reporter for a broker of a name, and the recorder that it reads.
func New(name string, n operatorconfig.CardinalityLimits, look Inspector, clock Clock, seed uint64, log *zap.Logger) (*Reporter, *Recorder) {
	rec := NewRecorder(Limits(n), clock.Wall(), clock.Monotonic())
	return &Reporter{broker: name, clock: clock, recorder: rec, inspector: look, log: log, seed: seed, names: n,
		reloads: make(chan *operatorconfig.Telemetry), stopTimeout: stopTimeout, destinations: map[string]*destination{}}, rec
}

// plans are the destinations of a file.
func (r *Reporter) plans(t *operatorconfig.Telemetry) []plan {
	var all []plan
	if t == nil {
		return nil
	}
	for _, g := range t.Graphite {
		g := g
		key := g
		key.Address = ""
		all = append(all, plan{name: g.Name, address: g.Address, settings: key,
			transport: &carbonTransport{graphite.Encoder{Form: graphite.Form{Prefix: g.Prefix, Tags: g.Tags}, Broker: r.broker,
				Pickle: g.Protocol == "pickle"}},
			delivery: delivery.Config{Budget: g.BudgetKB << 10, LeastPause: initialBackoff, MostPause: maxBackoff,
				WriteTimeout: time.Duration(g.WriteTimeoutMS) * time.Millisecond, ReplayRate: g.ReplayKBps << 10}})
	}
	levels := map[string]collectd.Level{"none": collectd.Plain, "sign": collectd.Sign, "encrypt": collectd.Encrypt}
	for _, c := range t.Collectd {
		key := c
		key.Address = ""
		all = append(all, plan{name: c.Name, address: c.Address, settings: key,
			transport: &collectdTransport{r.broker, collectd.Security{Level: levels[c.Security], User: c.User, Password: c.Password}},
			// collectd takes no value that is older than the last: what waits is folded into the newest.
			delivery: delivery.Config{Budget: c.BudgetKB << 10, MaxWaiting: 1, LeastPause: initialBackoff, MostPause: maxBackoff,
				WriteTimeout: dialTimeout, ReplayRate: c.BudgetKB << 10}})
	}
	return all
}

// Run reports until ctx ends or over is closed, after which the last interval has a little time to leave. stopping
// says that the broker finishes what it has taken.
func (r *Reporter) Run(ctx context.Context, t *operatorconfig.Telemetry, stopping, over <-chan struct{}) error {
	r.group, ctx = errgroup.WithContext(ctx)
	r.group.Go(func() error { return r.loop(ctx, t, stopping, over) })
	return r.group.Wait()
}

// Reload takes over another setting of destinations and of the interval. Those that stay keep what waits.
func (r *Reporter) Reload(ctx context.Context, t *operatorconfig.Telemetry) {
	select {
	case r.reloads <- t:
	case <-ctx.Done():
	}
}

const intervalWithoutDestinations = time.Hour // between cuts where there is no destination

func (r *Reporter) loop(ctx context.Context, t *operatorconfig.Telemetry, stopping, over <-chan struct{}) error {
	tick, reset, stop := r.clock.Tick(r.reconfigure(ctx, t))
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick:
			r.cut(ctx)
		case t := <-r.reloads:
			reset(r.reconfigure(ctx, t))
		case <-stopping:
			// What is there leaves now: the end may come too soon for all of it.
			stopping = nil
			r.cut(ctx)
		case <-over:
			r.cut(ctx)
			for _, d := range r.sortedDestinations() {
				d.send(ctx, delivery.StopRequested{Timeout: r.stopTimeout})
			}
			return nil
		}
	}
}

// reconfigure starts, moves and ends destinations, and returns the length of an interval.
func (r *Reporter) reconfigure(ctx context.Context, t *operatorconfig.Telemetry) time.Duration {
	wanted := map[string]bool{}
	for _, p := range r.plans(t) {
		wanted[p.name] = true
		d := r.destinations[p.name]
		switch {
		case d != nil && !reflect.DeepEqual(d.plan.settings, p.settings):
			// Another form: what waits was held under the old budget, and is written to the old place as far as it goes.
			d.send(ctx, delivery.StopRequested{Timeout: r.stopTimeout})
			fallthrough
		case d == nil:
			r.seed++
			d = newDestination(p, r.seed, r.log)
			r.destinations[p.name] = d
			r.group.Go(func() error { return d.run(ctx) })
		case d.plan.address != p.address:
			d.plan.address = p.address
			d.send(ctx, addressChange{p.address})
		}
	}
	for _, d := range r.sortedDestinations() {
		if !wanted[d.plan.name] {
			d.send(ctx, delivery.StopRequested{Timeout: r.stopTimeout})
			delete(r.destinations, d.plan.name)
		}
	}
	if t == nil {
		return intervalWithoutDestinations
	}
	if t.Cardinality != r.names {
		r.log.Warn("telemetry.names takes effect at the next start")
	}
	return t.Interval()
}

func (r *Reporter) sortedDestinations() []*destination {
	all := make([]*destination, 0, len(r.destinations))
	for _, d := range r.destinations {
		all = append(all, d)
	}
	slices.SortFunc(all, func(a, b *destination) int { return strings.Compare(a.plan.name, b.plan.name) })
	return all
}

// cut ends an interval and offers it to each destination.
func (r *Reporter) cut(ctx context.Context) {
	stats := make(map[string]delivery.Stats, len(r.destinations))
	for name, d := range r.destinations {
		stats[name] = *d.stats.Load()
	}
	var v *metrics.Interval
	if !r.inspector.Inspect(ctx, func(b *broker.Broker, s server.ConnectionCounts) {
		v = r.recorder.Cut(r.clock.Wall(), r.clock.Monotonic(), b, s, stats)
	}) {
		return
	}
	for _, d := range r.sortedDestinations() {
		d.send(ctx, delivery.Offer{Interval: v})
	}
}
