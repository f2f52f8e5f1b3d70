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
	"wheatlane/internal/delivery"
	"wheatlane/internal/metrics"
	"wheatlane/internal/operatorconfig"
	"wheatlane/internal/server/netconn"
)

const (
	// intervalWithoutDestinations is the length of an interval where there is no destination.
	intervalWithoutDestinations = time.Hour
	// stopTimeout is how long a destination that ends may take to write what waits; the rest is counted
	// lost.
	stopTimeout = 300 * time.Millisecond
)

// Inspector lets a function read the reducer and the sockets on the goroutine that owns them. It returns
// false if the function was not called, as there is no such goroutine any more; see server.Server.Inspect.
type Inspector interface {
	Inspect(ctx context.Context, f func(*broker.Broker, netconn.ConnectionCounts)) bool
}

// Reporter ends intervals and hands them to destinations.
type Reporter struct {
	broker      string
	clock       Clock
	recorder    *Recorder
	inspector   Inspector
	log         *zap.Logger
	seed        uint64 // of the next destination's jitter, less one
	cardinality operatorconfig.CardinalityLimits
	reloads     chan *operatorconfig.Telemetry
	stopTimeout time.Duration

	destinations map[string]*destination // by name
	group        *errgroup.Group         // the goroutines of the reporter and its destinations
}

// RegistryLimits are the bounds of the names that have series of their own, as the operator's file has them.
func RegistryLimits(names operatorconfig.CardinalityLimits) metrics.Limits {
	return metrics.Limits{
		Classes:     names.Classes,
		Tenants:     names.Tenants,
		Engines:     names.Engines,
		DataSets:    names.DataSets,
		IdleTimeout: time.Duration(names.IdleS) * time.Second,
	}
}

// New returns a reporter for the broker of a name, and the recorder whose intervals it reports. The seed is
// that of the jitter of reconnections.
func New(name string, limits operatorconfig.CardinalityLimits, inspector Inspector, clock Clock, seed uint64,
	log *zap.Logger,
) (*Reporter, *Recorder) {
	recorder := NewRecorder(RegistryLimits(limits), clock.Wall(), clock.Monotonic())
	return &Reporter{
		broker:       name,
		clock:        clock,
		recorder:     recorder,
		inspector:    inspector,
		log:          log,
		seed:         seed,
		cardinality:  limits,
		reloads:      make(chan *operatorconfig.Telemetry),
		stopTimeout:  stopTimeout,
		destinations: map[string]*destination{},
	}, recorder
}

// Run reports until ctx ends or drained is closed, after which the last interval has a moment to be written.
// It reports once more when draining is closed: the broker then finishes what it has accepted.
func (r *Reporter) Run(ctx context.Context, settings *operatorconfig.Telemetry,
	draining, drained <-chan struct{},
) error {
	r.group, ctx = errgroup.WithContext(ctx)
	r.group.Go(func() error { return r.loop(ctx, settings, draining, drained) })
	return r.group.Wait()
}

// Reload applies other settings of the interval and of destinations. Destinations that stay keep what waits.
func (r *Reporter) Reload(ctx context.Context, settings *operatorconfig.Telemetry) {
	select {
	case r.reloads <- settings:
	case <-ctx.Done():
	}
}

func (r *Reporter) loop(ctx context.Context, settings *operatorconfig.Telemetry,
	draining, drained <-chan struct{},
) error {
	ticks, reset, stop := r.clock.Ticker(r.configure(ctx, settings))
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks:
			r.cut(ctx)
		case settings := <-r.reloads:
			reset(r.configure(ctx, settings))
		case <-draining:
			draining = nil
			r.cut(ctx) // at the end there may be no time to write all of it
		case <-drained:
			r.cut(ctx)
			for _, d := range r.sortedDestinations() {
				r.stop(ctx, d)
			}
			return nil
		}
	}
}

// configure starts, moves and stops destinations as the settings have them, and returns the length of an interval.
func (r *Reporter) configure(ctx context.Context, settings *operatorconfig.Telemetry) time.Duration {
	configured := map[string]bool{}
	for _, planned := range plans(r.broker, settings) {
		configured[planned.name] = true
		r.apply(ctx, planned)
	}
	for _, d := range r.sortedDestinations() {
		if !configured[d.plan.name] {
			r.stop(ctx, d)
			delete(r.destinations, d.plan.name)
		}
	}
	if settings == nil {
		return intervalWithoutDestinations
	}
	if settings.Cardinality != r.cardinality {
		r.log.Warn("telemetry.names takes effect at the next start")
	}
	return settings.Interval()
}

// apply brings one destination in line with its plan.
func (r *Reporter) apply(ctx context.Context, planned plan) {
	existing := r.destinations[planned.name]
	switch {
	case existing == nil:
		r.start(ctx, planned)
	case !reflect.DeepEqual(existing.plan.settings, planned.settings):
		// What waits belongs to the old destination, and is written there until the stop timeout.
		r.stop(ctx, existing)
		r.start(ctx, planned)
	case existing.plan.address != planned.address:
		existing.plan.address = planned.address
		existing.send(ctx, message{event: delivery.AddressChanged{}, address: planned.address})
	}
}

func (r *Reporter) start(ctx context.Context, planned plan) {
	r.seed++
	d := newDestination(planned, r.seed, r.log)
	r.destinations[planned.name] = d
	r.group.Go(func() error { return d.run(ctx) })
}

func (r *Reporter) stop(ctx context.Context, d *destination) {
	d.send(ctx, message{event: delivery.StopRequested{Timeout: r.stopTimeout}})
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
	var interval *metrics.Interval
	if !r.inspector.Inspect(ctx, func(b *broker.Broker, connections netconn.ConnectionCounts) {
		interval = r.recorder.EndInterval(r.clock.Wall(), r.clock.Monotonic(), b, connections, stats)
	}) {
		return
	}
	for _, d := range r.sortedDestinations() {
		d.send(ctx, message{event: delivery.IntervalAdded{Interval: interval}})
	}
}
