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
	"wheatlane/internal/server/processstate"
)

const (
	// intervalWithoutDestinations is the length of an interval if no destination is configured.
	intervalWithoutDestinations = time.Hour
	// stopTimeout limits the time in which a stopping destination writes its waiting intervals. Intervals that
	// remain are counted as lost.
	stopTimeout = 300 * time.Millisecond
)

// Inspector runs a function that reads the state of the reducer and the sockets on the goroutine that owns them.
// Inspect returns false if it did not call the function because that goroutine has ended; see server.Server.Inspect.
type Inspector interface {
	Inspect(ctx context.Context, f func(*broker.Broker, processstate.State)) bool
}

// Reporter ends intervals and sends them to destinations.
type Reporter struct {
	broker      string
	clock       Clock
	recorder    *Recorder
	inspector   Inspector
	log         *zap.Logger
	seed        uint64 // jitter seed of the last started destination
	cardinality operatorconfig.CardinalityLimits
	reloads     chan *operatorconfig.Telemetry
	stopTimeout time.Duration

	destinations map[string]*destination // by name
	group        *errgroup.Group         // goroutines of the reporter and its destinations
}

// RegistryLimits returns the limits of the names that have series of their own, as configured in the operator's file.
func RegistryLimits(names operatorconfig.CardinalityLimits) metrics.Limits {
	return metrics.Limits{
		Classes:     names.Classes,
		Tenants:     names.Tenants,
		Engines:     names.Engines,
		DataSets:    names.DataSets,
		IdleTimeout: time.Duration(names.IdleS) * time.Second,
	}
}

// New returns a reporter for the named broker, and the recorder whose intervals it reports. The seed determines the
// jitter of reconnections.
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

// Run reports intervals until ctx is done or drained is closed. When draining is closed, which means that the broker
// now finishes its accepted requests, it reports an additional interval. When drained is closed, it reports the last
// interval, and destinations get a short time to write it.
func (r *Reporter) Run(ctx context.Context, settings *operatorconfig.Telemetry,
	draining, drained <-chan struct{},
) error {
	r.group, ctx = errgroup.WithContext(ctx)
	r.group.Go(func() error { return r.loop(ctx, settings, draining, drained) })
	return r.group.Wait()
}

// Reload applies new settings for the interval and the destinations. Destinations that remain keep their waiting
// intervals.
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
			r.endInterval(ctx)
		case settings := <-r.reloads:
			reset(r.configure(ctx, settings))
		case <-draining:
			draining = nil
			r.endInterval(ctx) // after drained there may be too little time to write everything
		case <-drained:
			r.endInterval(ctx)
			for _, d := range r.sortedDestinations() {
				r.stop(ctx, d)
			}
			return nil
		}
	}
}

// configure starts, moves and stops destinations according to the settings, and returns the length of an interval.
func (r *Reporter) configure(ctx context.Context, settings *operatorconfig.Telemetry) time.Duration {
	configured := map[string]bool{}
	for _, config := range destinationConfigs(r.broker, settings) {
		configured[config.name] = true
		r.apply(ctx, config)
	}
	for _, d := range r.sortedDestinations() {
		if !configured[d.config.name] {
			r.stop(ctx, d)
			delete(r.destinations, d.config.name)
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

// apply starts, replaces or moves one destination so that it matches its configuration.
func (r *Reporter) apply(ctx context.Context, config destinationConfig) {
	existing := r.destinations[config.name]
	switch {
	case existing == nil:
		r.start(ctx, config)
	case !reflect.DeepEqual(existing.config.settings, config.settings):
		// The waiting intervals belong to the old destination, which writes them until the stop timeout.
		r.stop(ctx, existing)
		r.start(ctx, config)
	case existing.config.address != config.address:
		existing.config.address = config.address
		existing.send(ctx, message{event: delivery.AddressChanged{}, address: config.address})
	}
}

func (r *Reporter) start(ctx context.Context, config destinationConfig) {
	r.seed++
	d := newDestination(config, r.seed, r.log)
	r.destinations[config.name] = d
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
	slices.SortFunc(all, func(a, b *destination) int { return strings.Compare(a.config.name, b.config.name) })
	return all
}

// endInterval ends the current interval and sends it to each destination.
func (r *Reporter) endInterval(ctx context.Context) {
	stats := make(map[string]delivery.Stats, len(r.destinations))
	for name, d := range r.destinations {
		stats[name] = *d.stats.Load()
	}
	var interval *metrics.Interval
	if !r.inspector.Inspect(ctx, func(b *broker.Broker, process processstate.State) {
		interval = r.recorder.EndInterval(r.clock.Wall(), r.clock.Monotonic(), b, process, stats)
	}) {
		return
	}
	for _, d := range r.sortedDestinations() {
		d.send(ctx, message{event: delivery.IntervalAdded{Interval: interval}})
	}
}
