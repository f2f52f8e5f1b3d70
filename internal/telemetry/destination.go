package telemetry

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"wheatlane/internal/delivery"
	"wheatlane/internal/metrics"
)

const (
	eventBuffer    = 8 // events of the reporter's; it waits at more, and nothing that serves requests waits for it
	dialTimeout    = 2 * time.Second
	initialBackoff = 200 * time.Millisecond
	maxBackoff     = 15 * time.Second
	// stopTimeout is how long what is left may take to leave at the end; what has not is counted lost.
	stopTimeout = 300 * time.Millisecond
)

// transport brings up connections to one collector.
type transport interface {
	open(ctx context.Context, address string) (collectorSession, error)
}

// collectorSession is a connection to a collector.
type collectorSession interface {
	// write writes an interval from a record on, and calls progress as records are taken. It returns how many
	// records in all are out when it fails; it fails once ctx ends.
	write(ctx context.Context, v *metrics.Interval, from int, progress func(records int)) (records int, err error)
	// done is closed when the other side ends the connection.
	done() <-chan struct{}
	close()
}

// plan is what a destination is set up as.
type plan struct {
	name, address string
	delivery      delivery.Config
	transport     transport
	settings      any // what the transport is made of, to compare
}

// destination carries out what its machine decides. One goroutine owns the machine; each connection has one.
type destination struct {
	plan             plan // of the reporter's goroutine, as of the last change
	inbox            chan any
	connectionEvents chan delivery.Event
	stats            atomic.Pointer[delivery.Stats]
	log              *zap.Logger

	machine   *delivery.Machine
	address   string
	startedAt time.Time
	group     *errgroup.Group
	cancel    context.CancelFunc  // of the connection; there is one at a time
	writes    chan delivery.Write // for it
}

// addressChange is a new address.
type addressChange struct{ address string }

func newDestination(p plan, seed uint64, log *zap.Logger) *destination {
	d := &destination{plan: p, inbox: make(chan any, eventBuffer), connectionEvents: make(chan delivery.Event, eventBuffer),
		log: log.With(zap.String("destination", p.name)), machine: delivery.New(p.delivery, seed), address: p.address, startedAt: time.Now()}
	d.stats.Store(&delivery.Stats{})
	return d
}

// send hands an event to the destination's goroutine.
func (d *destination) send(ctx context.Context, ev any) {
	select {
	case d.inbox <- ev:
	case <-ctx.Done():
	}
}

// run carries out what the machine decides until that is done.
func (d *destination) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.group, ctx = errgroup.WithContext(ctx)
	d.group.Go(func() error {
		defer cancel()
		return d.loop(ctx)
	})
	err := d.group.Wait()
	st := *d.stats.Load()
	d.log.Info("destination ended", zap.Uint64("delivered", st.DeliveredIntervals), zap.Uint64("lost", st.Lost),
		zap.Float64("lost_samples", st.LostSamples), zap.Uint64("breaks", st.ConnectionFailures))
	if ctx.Err() != nil {
		return nil // it was told to end, or came to its end
	}
	return err
}

func (d *destination) now() time.Duration { return time.Since(d.startedAt) }

func (d *destination) loop(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var actions []delivery.Action
		select {
		case <-ctx.Done():
			return ctx.Err()
		case ev := <-d.inbox:
			switch ev := ev.(type) {
			case addressChange:
				d.address = ev.address
				actions = d.machine.Apply(d.now(), delivery.AddressChanged{})
			case delivery.Event:
				actions = d.machine.Apply(d.now(), ev)
			}
		case ev := <-d.connectionEvents:
			actions = d.machine.Apply(d.now(), ev)
		case <-timer.C:
			actions = d.machine.Tick(d.now())
		}
		done := false
		for _, a := range actions {
			done = d.perform(ctx, a) || done
		}
		st := d.machine.Stats()
		d.stats.Store(&st)
		if done {
			return nil
		}
		if at, ok := d.machine.NextDeadline(); ok {
			timer.Reset(max(0, at-d.now()))
		} else {
			timer.Stop()
		}
	}
}

// perform carries out an action; true if it was the last.
func (d *destination) perform(ctx context.Context, a delivery.Action) bool {
	switch a := a.(type) {
	case delivery.Connect:
		at, cancel := context.WithCancel(ctx)
		d.cancel, d.writes = cancel, make(chan delivery.Write, 1)
		address, jobs := d.address, d.writes
		d.group.Go(func() error {
			defer cancel()
			d.serveConnection(ctx, at, a.Conn, address, jobs)
			return nil
		})
	case delivery.Write:
		d.writes <- a // there is room: the machine waits for the end of one before it begins another
	case delivery.Close:
		d.cancel()
	case delivery.Stopped:
		return true
	}
	return false
}

// serveConnection connects and writes what it is given until at ends. ctx is the destination's.
func (d *destination) serveConnection(ctx, at context.Context, conn int, address string, jobs <-chan delivery.Write) {
	records := 0
	began := time.Now()
	err := func() error {
		dial, cancel := context.WithTimeout(at, dialTimeout)
		s, err := d.plan.transport.open(dial, address)
		cancel()
		if err != nil {
			return err
		}
		defer s.close()
		d.notify(ctx, delivery.Connected{Conn: conn})
		for {
			select {
			case <-at.Done():
				return at.Err()
			case <-s.done():
				return errPeerClosed
			case w := <-jobs:
				records = w.FirstRecord
				n, err := s.write(at, w.Interval, w.FirstRecord, func(n int) { d.notify(ctx, delivery.Progress{Conn: conn, Records: n}) })
				if err != nil {
					records = n
					return err
				}
				d.notify(ctx, delivery.WriteCompleted{Conn: conn})
			}
		}
	}()
	d.log.Info("collector connection ended", zap.String("address", address), zap.Duration("lasted", time.Since(began)), zap.Error(err))
	d.notify(ctx, delivery.Disconnected{Conn: conn, Records: records})
}

func (d *destination) notify(ctx context.Context, ev delivery.Event) {
	select {
	case d.connectionEvents <- ev:
	case <-ctx.Done():
	}
}
